package planner

import (
	"cmp"
	"slices"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/task"
	"bronzewinch.dev/lib/unit"
)

// candidate is a worker that may receive tasks during a planning pass.
type candidate struct {
	*worker
	// free is the capacity that is free now, less what the pass has reserved.
	free unit.Resources
	// freeLater is the capacity that will be free once the runs that are being stopped
	// have ended, less what the pass has reserved.
	freeLater unit.Resources
	trial     trial
}

// pass is one planning pass over all jobs.
type pass struct {
	planner    *Planner
	now        time.Time
	candidates []*candidate
	// guaranteed holds the jobs that are within the guarantee of their account.
	guaranteed map[*job]bool
	// freeAccelerators and allAccelerators are sums over the candidates.
	freeAccelerators, allAccelerators unit.Accelerators
	// eligible holds the candidates for steps without conditions on single workers.
	eligible map[eligibility][]*candidate
	racks    map[eligibility][]rackSet // the same by rack
	choices  []choice                  // for reuse
	trials   int                       // preemptions that were planned
	misfits  []misfit
	vain     int             // attempts to place a group that failed
	held     map[*group]bool // groups that must not start now
}

// eligibility is the part of a step's conditions that the service and the labels of a
// worker meet or not.
type eligibility struct {
	service id.Service
	label   string
}

func newPass(p *Planner, now time.Time) *pass {
	ps := &pass{planner: p, now: now, guaranteed: p.guaranteedJobs(), eligible: make(map[eligibility][]*candidate),
		racks: make(map[eligibility][]rackSet), held: p.heldGroups(now)}
	ps.addCandidates()
	return ps
}

// take reserves resources on a candidate for the rest of the pass.
func (ps *pass) take(c *candidate, demand unit.Resources) {
	ps.freeAccelerators -= max(0, c.free.Accelerators)
	c.free, c.freeLater = c.free.Minus(demand), c.freeLater.Minus(demand)
	ps.freeAccelerators += max(0, c.free.Accelerators)
}

// Plan starts the groups that fit, those of guaranteed jobs first, and stops other
// work where a guaranteed job needs its capacity.
func (p *Planner) Plan(now time.Time) {
	if p.awaitsFirstReports(now) || !p.hasWaitingGroups() {
		return
	}
	ps := newPass(p, now)
	for _, j := range ps.jobOrder() {
		ps.placeJob(j)
	}
}

// hasWaitingGroups reports whether a group could start if it had the capacity.
func (p *Planner) hasWaitingGroups() bool {
	for _, j := range p.activeJobs {
		for _, o := range j.openOccurrences {
			for i, s := range j.Steps {
				if slices.ContainsFunc(o.steps[i], (*group).idle) && o.stepReady(s) {
					return true
				}
			}
		}
	}
	return false
}

// addCandidates adds the workers that may receive tasks, in the order of their ids.
func (ps *pass) addCandidates() {
	p := ps.planner
	p.candidates = slices.Grow(p.candidates[:0], len(p.workersByID)) // pointers to its elements stay valid
	for _, w := range p.workersByID {
		w.candidate = nil
		if !w.described() || !w.reported || w.Draining || w.reservedForUpkeep || ps.now.Before(w.barredUntil) || p.isEvacuated(ps.now, w) {
			continue
		}
		free := w.free()
		freeLater := free
		for _, m := range w.members {
			if m.stopRequested {
				freeLater = freeLater.Plus(m.group.step().Reserved())
			}
		}
		p.candidates = append(p.candidates, candidate{worker: w, free: free, freeLater: freeLater})
		ps.freeAccelerators += max(0, free.Accelerators)
		ps.allAccelerators += w.Capacity.Accelerators
	}
	for i := range p.candidates {
		c := &p.candidates[i]
		c.worker.candidate = c
		ps.candidates = append(ps.candidates, c)
	}
}

// firstReportTimeout bounds the time for which a new owner waits for the first
// reports of all workers. Workers usually answer within milliseconds.
const firstReportTimeout = 400 * time.Millisecond

// awaitsFirstReports reports whether a new owner still waits for the first report of
// a worker. Until then the free capacity of that worker is not known, and a
// guaranteed job could preempt work although another worker is free.
func (p *Planner) awaitsFirstReports(now time.Time) bool {
	if now.Sub(p.resumedAt) >= firstReportTimeout {
		return false
	}
	for _, w := range p.workers {
		if w.listed && !w.reported && !p.isEvacuated(now, w) {
			return true
		}
	}
	return false
}

// guaranteedJobs returns the jobs that are within the guarantee of their account:
// those of the first priority, in order of acceptance, as long as the sum of their
// accelerators stays within the guarantee.
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

// jobOrder returns the jobs in the order in which they are placed: guaranteed jobs
// in order of acceptance, then the others by priority. Within a priority, jobs with
// service tasks go first, then jobs within the share of their account, then the others.
// Of these, jobs that can still meet their objective go before the rest, each by deadline:
// under overload a job that is late anyway loses less by waiting.
func (ps *pass) jobOrder() []*job {
	type ranked struct {
		j        *job
		class    int
		beyond   int // 1 when the job is beyond the share of its account
		lateness int // 1 when the objective can't be met any more, -1 for jobs with service tasks
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
	slices.SortStableFunc(all, func(a, b ranked) int { return a.deadline.Compare(b.deadline) })
	jobs := make([]*job, len(all))
	for i, k := range all {
		jobs[i] = k.j
	}
	beyond := ps.beyondShare(jobs)
	for i := range all {
		if beyond[all[i].j] && all[i].class > 0 {
			all[i].beyond = 1
		}
	}
	slices.SortStableFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.beyond, b.beyond), cmp.Compare(a.lateness, b.lateness))
	})
	for i, k := range all {
		jobs[i] = k.j
	}
	return jobs
}

// deadline is the time by which the oldest open occurrence of a job has to be
// complete to meet the objective of its queue.
func (p *Planner) deadline(j *job) time.Time {
	from := j.Accepted
	if j.Occurrences > 0 && len(j.openOccurrences) > 0 {
		from = j.openOccurrences[0].due
	}
	return from.Add(time.Duration(j.queue.Slack*float64(p.criticalPath(j))) + j.queue.Target)
}

// criticalPath keeps the result of longestChain until the expected run times change. A pass
// needs it for each step of a job.
type criticalPath struct {
	known    bool
	version  uint64 // of the expected run times
	duration time.Duration
}

// criticalPath returns the expected run time of a job's longest chain of dependent steps.
func (p *Planner) criticalPath(j *job) time.Duration {
	if version := p.runTimes.version; !j.path.known || j.path.version != version {
		j.path = criticalPath{known: true, version: version, duration: p.longestChain(j)}
	}
	return j.path.duration
}

// longestChain computes what criticalPath returns.
func (p *Planner) longestChain(j *job) time.Duration {
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

// maxVainSteps bounds the steps of a job that are tried in vain in a pass, and maxVainAttempts
// those of all jobs beyond it. A job can have 10,000 steps that need nothing of each other,
// and callers wait for the end of the pass.
const (
	maxVainSteps    = 8
	maxVainAttempts = 256
)

// resumption is the step of an occurrence with which the next pass over a job begins.
type resumption struct {
	occurrence int // its number
	step       int
}

// placeJob starts the groups of a job that fit. If too many steps don't fit, the next pass
// begins with those that were not tried.
func (ps *pass) placeJob(j *job) {
	from, vain := j.resume, 0
	j.resume = resumption{}
	first := max(0, slices.IndexFunc(j.openOccurrences, func(o *occurrence) bool { return o.number >= from.occurrence }))
	for k := range j.openOccurrences {
		o := j.openOccurrences[(first+k)%len(j.openOccurrences)]
		skipped := 0
		if o.number == from.occurrence {
			skipped = from.step
		}
		for n := range j.Steps {
			i := (skipped + n) % len(j.Steps)
			if !o.stepReady(j.Steps[i]) || ps.placeStep(j, o, i) {
				continue
			}
			ps.vain++
			if vain++; vain >= maxVainSteps && ps.vain >= maxVainAttempts {
				j.resume = resumption{o.number, i + 1}
				return
			}
		}
	}
}

// placeStep starts the idle groups of a step. It returns false if one does not fit.
func (ps *pass) placeStep(j *job, o *occurrence, step int) bool {
	for _, g := range o.steps[step] {
		if ps.held[g] {
			ps.logWaiting(g, lateStartReason)
			continue
		}
		if g.idle() && !ps.placeGroup(g) {
			if j.queue.Advised {
				ps.requestAdvice(g)
			}
			return false // the other tasks of the step need the same resources
		}
	}
	return true
}

// placeGroup starts a group if it fits. Otherwise, if the group may preempt other
// work, it reserves capacity that is being freed, or preempts runs and reserves
// theirs; a later pass starts the group when they have ended. It returns false when
// the group has to leave headroom, or has no capacity now and none is being freed.
func (ps *pass) placeGroup(g *group) bool {
	const notEnoughCapacity = "not enough free capacity"
	freeNow := func(c *candidate) unit.Resources { return minResources(c.free, c.freeLater) }
	freeLater := func(c *candidate) unit.Resources { return c.freeLater }
	sets, remote := ps.candidateSets(g)
	if ps.mustLeaveHeadroom(g) {
		ps.logWaiting(g, "headroom is kept for jobs of the first priority")
		return false
	}
	if ps.isMisfit(g) {
		ps.logWaiting(g, notEnoughCapacity)
		return false
	}
	for _, set := range sets {
		if targets := pack(g, set, ps, freeNow); targets != nil {
			ps.startGroup(g, targets)
			return true
		}
	}
	const reserved = "the capacity for it is being freed"
	if ps.mayPreempt(g) {
		for _, set := range sets {
			if ps.reserve(g, pack(g, set, ps, freeLater)) {
				ps.logWaiting(g, reserved)
				return true
			}
		}
		if ps.reserve(g, ps.preempt(g, sets)) {
			ps.logWaiting(g, reserved)
			return true
		}
	}
	if remote == nil {
		if zones := ps.zonesToAwait(g); len(zones) > 0 {
			ps.logWaiting(g, "only workers in zones under evacuation may run it", "zones", zones)
		} else if g.needsRack() {
			ps.logWaiting(g, "no rack has enough free capacity", "remoteAfterMs", ps.remoteWait(g).Milliseconds())
		} else {
			ps.addMisfit(g)
			ps.logWaiting(g, notEnoughCapacity)
		}
		return false
	}
	if targets := pack(g, remote, ps, freeNow); targets != nil {
		ps.startGroup(g, targets)
		return true
	}
	if ps.guaranteed[g.job] && (ps.reserve(g, pack(g, remote, ps, freeLater)) ||
		ps.reserve(g, ps.preempt(g, [][]*candidate{remote}))) {
		ps.logWaiting(g, reserved)
		return true
	}
	ps.logWaiting(g, "not enough free capacity, also on other racks")
	return false
}

// waitLogInterval is the time after which a group that waits is logged, and logged again.
const waitLogInterval = 5 * time.Second

// logWaiting logs why a group does not start.
func (ps *pass) logWaiting(g *group, reason string, fields ...any) {
	waited := ps.now.Sub(g.readyAt)
	if waited < waitLogInterval || ps.now.Sub(g.waitLoggedAt) < waitLogInterval {
		return
	}
	g.waitLoggedAt = ps.now
	ps.planner.logDecision(Decision{Event: "waiting", Job: g.job.ID, Reason: reason, Age: waited,
		Fields: append([]any{"step", g.stepIndex, "tasks", g.size}, fields...)})
}

// headroomShare is the share of all accelerators that work of lower priorities leaves
// free while it can still meet its objective. It is enough for about three gangs of
// the first priority, which would miss their target if they had to preempt work first.
const headroomShare = 0.12

// headroomDuration is how long headroom is kept after the last job of the first
// priority was accepted, so that a deployment without such jobs uses all accelerators.
const headroomDuration = 30 * time.Second

// mustLeaveHeadroom reports whether a group has to wait so that headroom stays free.
// Headroom is for a load that uses nearly all accelerators while jobs of the first
// priority arrive in bursts.
func (ps *pass) mustLeaveHeadroom(g *group) bool {
	s := g.step()
	if s.Reserved().Accelerators == 0 || g.job.queue.Priority == 0 || s.Service || ps.missesObjective(g.job) ||
		ps.now.Sub(ps.planner.lastFirstPriorityAt) > headroomDuration {
		return false
	}
	free := ps.freeAccelerators - s.Reserved().Accelerators*unit.Accelerators(g.size)
	return float64(free) < headroomShare*float64(ps.allAccelerators)
}

// reserve reserves the resources of a group's tasks on their targets for the rest of
// the pass. It returns false when targets is nil.
func (ps *pass) reserve(g *group, targets []*candidate) bool {
	for _, c := range targets {
		ps.take(c, g.step().Reserved())
	}
	return targets != nil
}

// mayPreempt reports whether other work may be stopped for a group: always for
// guaranteed jobs and for service tasks, and for jobs of the first priority that can
// still meet their objective.
func (ps *pass) mayPreempt(g *group) bool {
	return ps.guaranteed[g.job] || g.step().Service || g.job.queue.Priority == 0 && !ps.missesObjective(g.job)
}

// missesObjective reports whether a job can no longer meet its objective, even if it
// started now.
func (ps *pass) missesObjective(j *job) bool {
	return ps.now.Add(ps.planner.criticalPath(j)).After(ps.planner.deadline(j))
}

func (ps *pass) startGroup(g *group, targets []*candidate) {
	s := g.step()
	g.run++
	g.startedAt, g.stopping, g.failureCounted = ps.now, false, false
	g.restored, g.remote, g.expected = false, g.runsRemote(targets), ps.planner.expectedRunTime(g.job, *s)
	for i, c := range targets {
		ps.take(c, s.Reserved())
		m := &member{group: g, index: g.firstIndex + i, worker: c.worker, incarnation: c.Incarnation, orderedAt: ps.now,
			progressedAt: ps.now, pace: task.FullPace, startPending: true}
		g.members = append(g.members, m)
		c.addMember(m)
		ps.planner.enqueueOrder(ps.now, Start, m)
		ps.planner.updateColocation(ps.now, c.worker)
		ps.planner.logDecision(Decision{Event: "start", Job: g.job.ID, Task: m.taskName(), Run: g.run, Worker: c.ID,
			Age: ps.now.Sub(g.readyAt), Fields: []any{"incarnation", m.incarnation}})
	}
	ps.planner.markDirty(g.job)
}

// maxTasksOn is the number of tasks of a group that may run on a worker, regardless
// of its free capacity. It is zero when the worker is not eligible or has no ticket.
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

// isEligible reports whether a worker belongs to the service of a group's queue and
// has the label that its step requires.
func (ps *pass) isEligible(g *group, c *candidate) bool {
	s := g.step()
	return c.Service == g.job.queue.Service && (s.Label == "" || slices.Contains(c.Labels, s.Label))
}

// remoteStartMargin is the part of MaxGuaranteedWait, beside the time of a stop, that
// is left to preempt work and start the group on several racks when no single rack
// has become free before.
const remoteStartMargin = time.Second

// remoteAllowed reports whether a group may run away from its data or over several
// racks: immediately when no rack is large enough for it, for a guaranteed job when
// its MaxGuaranteedWait is nearly over, when its job has no runs although most of the
// capacity has been free for lowUseWait, and otherwise when it has waited longer than
// the additional run time that remote tasks need.
func (ps *pass) remoteAllowed(g *group, sets [][]*candidate) bool {
	if ps.now.Sub(g.readyAt) > ps.remoteWait(g) || ps.waitsDuringLowUse(g) {
		return true
	}
	capacity := func(c *candidate) unit.Resources { return c.Capacity }
	for _, set := range sets {
		if pack(g, set, ps, capacity) != nil {
			return false
		}
	}
	return true
}

// remoteWait is how long a group waits for a rack that is large enough for it.
func (ps *pass) remoteWait(g *group) time.Duration {
	config := ps.planner.config
	wait := time.Duration((config.RemoteFactor - 1) * float64(ps.planner.expectedRunTime(g.job, *g.step())))
	if g.step().Service {
		// It has no run time that a wait could save.
		wait = serviceRemoteWait
	}
	if ps.guaranteed[g.job] {
		wait = min(wait, config.MaxGuaranteedWait-config.MaxStopTime-remoteStartMargin)
	}
	return wait
}

// serviceRemoteWait is how long a service task waits for a rack. The platform requires that
// it runs again six seconds after its last run, of which reports and a preemption need some.
const serviceRemoteWait = time.Second

const (
	// lowUseWait is how long a job without runs waits for a rack while most of the
	// capacity of its service is free. The platform requires its start within three
	// seconds. Remote runs then take no capacity that others need, and the run time
	// that is expected from the submitter's estimate may be several times too long.
	lowUseWait = 2 * time.Second
	// lowUseShare is the share of each resource up to which use is low. It is above
	// the half of the platform's rule, as a run counts here until its end is reported.
	lowUseShare = 0.6
)

// waitsDuringLowUse reports whether a group of a job without runs has waited for
// lowUseWait while the use of its service was low.
func (ps *pass) waitsDuringLowUse(g *group) bool {
	if g.job.hasRuns() || !ps.isLowUse(g.job.queue.Service) {
		g.lowUseSince = time.Time{}
		return false
	}
	if g.lowUseSince.Before(g.readyAt) {
		g.lowUseSince = ps.now
	}
	return ps.now.Sub(g.lowUseSince) >= lowUseWait
}

// isLowUse reports whether no resource of a service's workers is used by more than
// lowUseShare.
func (ps *pass) isLowUse(service id.Service) bool {
	var used, all unit.Resources
	for _, c := range ps.candidates {
		if c.Service == service {
			used, all = used.Plus(c.Capacity.Minus(c.free)), all.Plus(c.Capacity)
		}
	}
	return float64(used.Accelerators) <= lowUseShare*float64(all.Accelerators) &&
		float64(used.Cores) <= lowUseShare*float64(all.Cores) && float64(used.Memory) <= lowUseShare*float64(all.Memory)
}
