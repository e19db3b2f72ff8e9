package planner

import (
	"cmp"
	"slices"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/task"
	"bronzewinch.dev/lib/unit"
)

// candidate is the room of one worker during a planning pass.
type candidate struct {
	*worker
	// free is what is free now, without what is kept for guaranteed work.
	free unit.Resources
	// freeLater is what will be free once the runs that are being stopped have
	// ended, without what is kept for guaranteed work.
	freeLater unit.Resources
}

// pass is one planning pass over all jobs.
type pass struct {
	planner    *Planner
	now        time.Time
	candidates []*candidate
	// guaranteed holds the jobs that lie within a guarantee.
	guaranteed map[*job]bool
}

// Plan starts what fits, guaranteed work first, and stops other work where a
// guarantee needs its room.
func (p *Planner) Plan(now time.Time) {
	if p.awaitsFirstReports(now) {
		return
	}
	ps := &pass{planner: p, now: now, guaranteed: p.guaranteedJobs()}
	for _, w := range p.workers {
		if !w.listed || !w.reported || w.Draining || w.reservedForUpkeep || now.Before(w.barredUntil) {
			continue
		}
		free := w.free()
		freeLater := free
		for _, m := range w.members {
			if m.stopRequested {
				freeLater = freeLater.Plus(m.group.step().Reserved())
			}
		}
		ps.candidates = append(ps.candidates, &candidate{worker: w, free: free, freeLater: freeLater})
	}
	slices.SortFunc(ps.candidates, func(a, b *candidate) int { return cmp.Compare(a.ID, b.ID) })
	for _, j := range ps.jobOrder() {
		ps.placeJob(j)
	}
}

// firstReportTimeout bounds the time for which a new owner waits for the first
// reports of all workers. They answer within milliseconds.
const firstReportTimeout = 400 * time.Millisecond

// awaitsFirstReports reports whether workers still have to answer a new owner for the
// first time. Before that their room is not known, and a guarantee would stop
// work that need not stop.
func (p *Planner) awaitsFirstReports(now time.Time) bool {
	if now.Sub(p.resumedAt) >= firstReportTimeout {
		return false
	}
	for _, w := range p.workers {
		if w.listed && !w.reported {
			return true
		}
	}
	return false
}

// guaranteedJobs returns the jobs that their accounts can claim room for: those of
// the first priority, in order of acceptance, as long as their sum stays
// within the guarantee.
func (p *Planner) guaranteedJobs() map[*job]bool {
	used := make(map[id.Account]unit.Accelerators)
	within := make(map[*job]bool)
	for _, j := range p.activeJobs {
		if j.queue.Priority != 0 {
			continue
		}
		used[j.Account] += j.largestStepAccelerators()
		if used[j.Account] <= p.rules.Guaranteed[j.Account] {
			within[j] = true
		}
	}
	return within
}

// jobOrder returns the jobs in the order in which they may take room: guaranteed
// jobs in order of acceptance, then by priority. Within a priority, jobs that
// can still meet their objective go first, by the time at which they are due:
// under overload a job that is late anyway loses less by waiting.
func (ps *pass) jobOrder() []*job {
	type ranked struct {
		j        *job
		class    int
		lateness int // 1 when the objective can't be met any more, -1 for serving jobs
		deadline time.Time
	}
	var all []ranked
	for _, j := range ps.planner.activeJobs {
		k := ranked{j: j, class: 1 + int(j.queue.Priority), deadline: ps.planner.deadline(j)}
		switch {
		case ps.guaranteed[j]:
			k.class, k.deadline = 0, j.Accepted
		case j.hasServiceTasks():
			k.lateness = -1
		case ps.missesObjective(j):
			k.lateness = 1
		}
		all = append(all, k)
	}
	slices.SortStableFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.lateness, b.lateness), a.deadline.Compare(b.deadline))
	})
	jobs := make([]*job, len(all))
	for i, k := range all {
		jobs[i] = k.j
	}
	return jobs
}

// deadline is the objective of a job's oldest open occurrence.
func (p *Planner) deadline(j *job) time.Time {
	from := j.Accepted
	if j.Occurrences > 0 && len(j.openOccurrences) > 0 {
		from = j.openOccurrences[0].due
	}
	return from.Add(time.Duration(j.queue.Slack*float64(p.criticalPath(j))) + j.queue.Target)
}

// criticalPath is the expected time of a job's longest chain of steps.
func (p *Planner) criticalPath(j *job) time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i, s := range j.Steps {
		var start time.Duration
		for _, a := range s.After {
			start = max(start, ends[a])
		}
		ends[i] = start + p.expectedRunTime(j, s)
		longest = max(longest, ends[i])
	}
	return longest
}

// expectedRunTime is the expected run time of a task.
func (p *Planner) expectedRunTime(j *job, s task.Step) time.Duration {
	if e := p.runTimes[j.Queue]; e != nil {
		return e.expected(s.Estimate)
	}
	return s.Estimate
}

func (ps *pass) placeJob(j *job) {
	for _, o := range j.openOccurrences {
		for i, s := range j.Steps {
			if !o.stepReady(s) {
				continue
			}
			for _, g := range o.steps[i] {
				if g.idle() && !ps.placeGroup(g) {
					if j.queue.Advised {
						ps.requestAdvice(g)
					}
					break // the other tasks of the step need the same room
				}
			}
		}
	}
}

// placeGroup starts a group if it fits. Otherwise it claims room for a group
// that may, and keeps it for the group until the runs there have ended. It
// returns false when there is no room for the group, now or soon.
func (ps *pass) placeGroup(g *group) bool {
	freeNow := func(c *candidate) unit.Resources { return minResources(c.free, c.freeLater) }
	freeLater := func(c *candidate) unit.Resources { return c.freeLater }
	sets, remote := ps.candidateSets(g)
	if ps.mustLeaveHeadroom(g) {
		return false
	}
	for _, set := range sets {
		if targets := pack(g, set, ps, freeNow); targets != nil {
			ps.startGroup(g, targets)
			return true
		}
	}
	if ps.mayPreempt(g) {
		for _, set := range sets {
			if ps.reserve(g, pack(g, set, ps, freeLater)) {
				return true
			}
		}
		if ps.reserve(g, ps.preempt(g, sets)) {
			return true
		}
	}
	if remote == nil {
		return false
	}
	if targets := pack(g, remote, ps, freeNow); targets != nil {
		ps.startGroup(g, targets)
		return true
	}
	return ps.guaranteed[g.job] && (ps.reserve(g, pack(g, remote, ps, freeLater)) || ps.reserve(g, ps.preempt(g, [][]*candidate{remote})))
}

// headroomShare is the part of all accelerators that lower work leaves free while it
// can still wait. It holds some three gangs of the first priority, which are
// late when they first have to stop other work.
const headroomShare = 0.12

// headroomDuration is how long headroom is kept after the last job of the first
// priority, so that a deployment without such jobs uses all it has.
const headroomDuration = 30 * time.Second

// mustLeaveHeadroom reports whether a group waits to leave headroom. It answers a load of
// nearly all accelerators with bursts of the first priority.
func (ps *pass) mustLeaveHeadroom(g *group) bool {
	s := g.step()
	if s.Reserved().Accelerators == 0 || g.job.queue.Priority == 0 || s.Service || ps.missesObjective(g.job) || ps.now.Sub(ps.planner.lastUrgentAt) > headroomDuration {
		return false
	}
	var free, all unit.Accelerators
	for _, c := range ps.candidates {
		free += max(0, c.free.Accelerators)
		all += c.Capacity.Accelerators
	}
	free -= s.Reserved().Accelerators * unit.Accelerators(g.size)
	return float64(free) < headroomShare*float64(all)
}

// reserve takes rooms out of the rest of the pass.
func (ps *pass) reserve(g *group, targets []*candidate) bool {
	for _, c := range targets {
		c.free = c.free.Minus(g.step().Reserved())
		c.freeLater = c.freeLater.Minus(g.step().Reserved())
	}
	return targets != nil
}

// mayPreempt reports whether other work may be stopped for a group: always for
// guaranteed jobs and for tasks that serve until they are cancelled, and for
// jobs of the first priority that can still meet their objective.
func (ps *pass) mayPreempt(g *group) bool {
	return ps.guaranteed[g.job] || g.step().Service || g.job.queue.Priority == 0 && !ps.missesObjective(g.job)
}

// missesObjective reports whether a job can't meet its objective any more.
func (ps *pass) missesObjective(j *job) bool {
	return ps.now.Add(ps.planner.criticalPath(j)).After(ps.planner.deadline(j))
}

func (ps *pass) startGroup(g *group, targets []*candidate) {
	s := g.step()
	g.run++
	g.startedAt, g.stopping, g.failureCounted = ps.now, false, false
	for i, c := range targets {
		c.free, c.freeLater = c.free.Minus(s.Reserved()), c.freeLater.Minus(s.Reserved())
		m := &member{group: g, index: g.firstIndex + i, worker: c.worker, incarnation: c.Incarnation, orderedAt: ps.now,
			progressedAt: ps.now, pace: task.FullPace}
		g.members = append(g.members, m)
		c.addMember(m)
		ps.planner.enqueueOrder(ps.now, Start, m)
		ps.planner.updateColocation(ps.now, c.worker)
		ps.planner.logDecision(Decision{Event: "start", Job: g.job.ID, Task: m.taskName(), Run: g.run, Worker: c.ID, Age: ps.now.Sub(g.readyAt)})
	}
	ps.planner.markDirty(g.job)
}

func minResources(a, b unit.Resources) unit.Resources {
	return unit.Resources{Accelerators: min(a.Accelerators, b.Accelerators), Cores: min(a.Cores, b.Cores),
		Memory: min(a.Memory, b.Memory)}
}

// fitCount is how many tasks of a demand fit into free, at most most.
func fitCount(demand, free unit.Resources, limit int) int {
	n := limit
	if free.Accelerators < 0 || free.Cores < 0 || free.Memory < 0 {
		return 0
	}
	if demand.Accelerators > 0 {
		n = min(n, int(free.Accelerators/demand.Accelerators))
	}
	if demand.Cores > 0 {
		n = min(n, int(free.Cores/demand.Cores))
	}
	if demand.Memory > 0 {
		n = min(n, int(free.Memory/demand.Memory))
	}
	return n
}

// maxTasksOn reports whether a group may run on a worker at all, and how many of
// its tasks.
func (ps *pass) maxTasksOn(g *group, c *candidate) int {
	s := g.step()
	if !ps.isEligible(g, c) || g.job.queue.Advised && !g.occurrence.adviceFor(g.stepIndex).hasValidTicket(ps.now, c.worker) {
		return 0
	}
	if s.MaxPerWorker == 0 {
		return g.size
	}
	limit := s.MaxPerWorker
	for _, other := range c.members {
		o := other.group
		if o.job == g.job && o.occurrence == g.occurrence && o.stepIndex == g.stepIndex {
			limit--
		}
	}
	return min(g.size, max(0, limit))
}

// isEligible reports whether a worker belongs to the service of a group's
// queue and has the label that its step asks for.
func (ps *pass) isEligible(g *group, c *candidate) bool {
	s := g.step()
	return c.Service == g.job.queue.Service && (s.Label == "" || slices.Contains(c.Labels, s.Label))
}

// candidateSets returns the sets of rooms in which a group runs at full speed, best
// first, and the rooms for running remote if that is allowed now. Workers on
// which the group has failed come last: other workers may not have the room.
func (ps *pass) candidateSets(g *group) (sets [][]*candidate, remote []*candidate) {
	preferred, all := ps.eligibleCandidates(g)
	s := g.step()
	if s.DataRack == "" && (!s.SameRack || g.size == 1) {
		return [][]*candidate{preferred, all}, nil
	}
	sets = append(ps.localSets(g, preferred), ps.localSets(g, all)...)
	if ps.remoteAllowed(g, sets) {
		remote = all
	}
	return sets, remote
}

// eligibleCandidates returns the rooms that a group may use, first without the workers
// on which it has failed.
func (ps *pass) eligibleCandidates(g *group) (preferred, all []*candidate) {
	for _, c := range ps.candidates {
		if ps.maxTasksOn(g, c) == 0 {
			continue
		}
		all = append(all, c)
		if !slices.Contains(g.failedOn, c.ID) {
			preferred = append(preferred, c)
		}
	}
	return preferred, all
}

// localSets returns the rooms of each rack in which a group runs at full speed, the
// fullest rack first.
func (ps *pass) localSets(g *group, all []*candidate) [][]*candidate {
	s := g.step()
	byRack := make(map[id.Rack][]*candidate)
	var racks []id.Rack
	for _, c := range all {
		if s.DataRack != "" && c.Rack != s.DataRack {
			continue
		}
		if byRack[c.Rack] == nil {
			racks = append(racks, c.Rack)
		}
		byRack[c.Rack] = append(byRack[c.Rack], c)
	}
	free := func(rack id.Rack) (sum unit.Accelerators) {
		for _, c := range byRack[rack] {
			sum += max(0, c.free.Accelerators)
		}
		return sum
	}
	slices.SortStableFunc(racks, func(a, b id.Rack) int { return cmp.Compare(free(a), free(b)) })
	var sets [][]*candidate
	for _, rack := range racks {
		sets = append(sets, byRack[rack])
	}
	return sets
}

// remoteStartMargin is the part of the bound on a guaranteed start that is left for
// stopping other work and starting, when a rack has not come free until then.
const remoteStartMargin = time.Second

// remoteAllowed reports whether a group may run away from its data or over
// several racks: at once when no rack could ever hold it, for guaranteed work
// when its bound is near, and else when it has waited as long as running
// remote costs.
func (ps *pass) remoteAllowed(g *group, sets [][]*candidate) bool {
	waited := ps.now.Sub(g.readyAt)
	if ps.guaranteed[g.job] && waited > ps.planner.config.MaxGuaranteedWait-ps.planner.config.MaxStopTime-remoteStartMargin {
		return true
	}
	capacity := func(c *candidate) unit.Resources { return c.Capacity }
	possible := false
	for _, set := range sets {
		if pack(g, set, ps, capacity) != nil {
			possible = true
		}
	}
	cost := time.Duration((ps.planner.config.RemoteFactor - 1) * float64(ps.planner.expectedRunTime(g.job, *g.step())))
	return !possible || waited > cost
}

// colocates is 1 when a task of a step that fills would come beside one that serves
// on a worker, or the other way round.
func colocates(s *task.Step, w *worker) int {
	if s.BestEffort && w.hasTailTarget() || s.TailTarget > 0 && w.hasBestEffort() {
		return 1
	}
	return 0
}

// pack puts the tasks of a group on the rooms with the least free
// accelerators, so that empty workers stay empty for large tasks.
func pack(g *group, candidates []*candidate, ps *pass, available func(*candidate) unit.Resources) []*candidate {
	s := g.step()
	type choice struct {
		m         *candidate
		fits      int
		colocates int // 1 when a task that fills would come beside one that serves
		free      unit.Resources
	}
	var choices []choice
	total := 0
	for _, c := range candidates {
		free := available(c)
		if fits := fitCount(s.Reserved(), free, ps.maxTasksOn(g, c)); fits > 0 {
			choices = append(choices, choice{c, fits, colocates(s, c.worker), free})
			total += fits
		}
	}
	if total < g.size {
		return nil
	}
	slices.SortStableFunc(choices, func(a, b choice) int {
		return cmp.Or(cmp.Compare(a.colocates, b.colocates), cmp.Compare(a.free.Accelerators, b.free.Accelerators),
			cmp.Compare(a.free.Cores, b.free.Cores))
	})
	placed := make([]*candidate, 0, g.size)
	for _, c := range choices {
		for range c.fits {
			if len(placed) == g.size {
				return placed
			}
			placed = append(placed, c.m)
		}
	}
	return placed
}
