package planner

import (
	"cmp"
	"slices"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/task"
	"bronzewinch.dev/lib/unit"
)

// room is the room of one worker during a planning pass.
type room struct {
	*worker
	// free is what is free now, without what is kept for guaranteed work.
	free unit.Resources
	// later is what will be free once the runs that are being stopped have
	// ended, without what is kept for guaranteed work.
	later unit.Resources
}

// pass is one planning pass over all jobs.
type pass struct {
	r     *Planner
	now   time.Time
	rooms []*room
	// protected holds the jobs that lie within a guarantee.
	protected map[*job]bool
}

// Plan starts what fits, guaranteed work first, and stops other work where a
// guarantee needs its room.
func (r *Planner) Plan(now time.Time) {
	if r.awaits(now) {
		return
	}
	p := &pass{r: r, now: now, protected: r.guaranteed()}
	for _, w := range r.workers {
		if !w.listed || !w.reported || w.Draining || w.cleared || now.Before(w.barred) {
			continue
		}
		free := w.free()
		later := free
		for _, m := range w.members {
			if m.stop {
				later = later.Plus(m.group.spec().Reserved())
			}
		}
		p.rooms = append(p.rooms, &room{worker: w, free: free, later: later})
	}
	slices.SortFunc(p.rooms, func(a, b *room) int { return cmp.Compare(a.ID, b.ID) })
	for _, j := range p.order() {
		p.place(j)
	}
}

// firstReportTime bounds the time for which a new owner waits for the first
// reports of all workers. They answer within milliseconds.
const firstReportTime = 400 * time.Millisecond

// awaits reports whether workers still have to answer a new owner for the
// first time. Before that their room is not known, and a guarantee would stop
// work that need not stop.
func (r *Planner) awaits(now time.Time) bool {
	if now.Sub(r.resumed) >= firstReportTime {
		return false
	}
	for _, w := range r.workers {
		if w.listed && !w.reported {
			return true
		}
	}
	return false
}

// guaranteed returns the jobs that their accounts can claim room for: those of
// the first priority, in order of acceptance, as long as their sum stays
// within the guarantee.
func (r *Planner) guaranteed() map[*job]bool {
	used := make(map[id.Account]unit.Accelerators)
	within := make(map[*job]bool)
	for _, j := range r.active {
		if j.queue.Priority != 0 {
			continue
		}
		used[j.Account] += j.need()
		if used[j.Account] <= r.rules.Guaranteed[j.Account] {
			within[j] = true
		}
	}
	return within
}

// order returns the jobs in the order in which they may take room: guaranteed
// jobs in order of acceptance, then by priority. Within a priority, jobs that
// can still meet their objective go first, by the time at which they are due:
// under overload a job that is late anyway loses less by waiting.
func (p *pass) order() []*job {
	type ranked struct {
		j        *job
		class    int
		late     int // 1 when the objective can't be met any more, -1 for serving jobs
		deadline time.Time
	}
	var all []ranked
	for _, j := range p.r.active {
		k := ranked{j: j, class: 1 + int(j.queue.Priority), deadline: p.r.deadline(j)}
		switch {
		case p.protected[j]:
			k.class, k.deadline = 0, j.Accepted
		case j.serves():
			k.late = -1
		case p.late(j):
			k.late = 1
		}
		all = append(all, k)
	}
	slices.SortStableFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.late, b.late), a.deadline.Compare(b.deadline))
	})
	jobs := make([]*job, len(all))
	for i, k := range all {
		jobs[i] = k.j
	}
	return jobs
}

// deadline is the objective of a job's oldest open occurrence.
func (r *Planner) deadline(j *job) time.Time {
	from := j.Accepted
	if j.Occurrences > 0 && len(j.open) > 0 {
		from = j.open[0].due
	}
	return from.Add(time.Duration(j.queue.Slack*float64(r.chain(j))) + j.queue.Target)
}

// chain is the expected time of a job's longest chain of steps.
func (r *Planner) chain(j *job) time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i, s := range j.Steps {
		var start time.Duration
		for _, a := range s.After {
			start = max(start, ends[a])
		}
		ends[i] = start + r.expected(j, s)
		longest = max(longest, ends[i])
	}
	return longest
}

// expected is the expected run time of a task.
func (r *Planner) expected(j *job, s task.Step) time.Duration {
	if e := r.runTime[j.Queue]; e != nil {
		return e.time(s.Estimate)
	}
	return s.Estimate
}

func (p *pass) place(j *job) {
	for _, o := range j.open {
		for i, s := range j.Steps {
			if !o.stepReady(s) {
				continue
			}
			for _, g := range o.steps[i] {
				if g.idle() && !p.placeGroup(g) {
					if j.queue.Advised {
						p.ask(g)
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
func (p *pass) placeGroup(g *group) bool {
	now := func(m *room) unit.Resources { return minimum(m.free, m.later) }
	later := func(m *room) unit.Resources { return m.later }
	sets, remote := p.sets(g)
	if p.yields(g) {
		return false
	}
	for _, set := range sets {
		if rooms := pack(g, set, p, now); rooms != nil {
			p.start(g, rooms)
			return true
		}
	}
	if p.mayClaim(g) {
		for _, set := range sets {
			if p.keep(g, pack(g, set, p, later)) {
				return true
			}
		}
		if p.keep(g, p.claim(g, sets)) {
			return true
		}
	}
	if remote == nil {
		return false
	}
	if rooms := pack(g, remote, p, now); rooms != nil {
		p.start(g, rooms)
		return true
	}
	return p.protected[g.job] && (p.keep(g, pack(g, remote, p, later)) || p.keep(g, p.claim(g, [][]*room{remote})))
}

// headroom is the part of all accelerators that lower work leaves free while it
// can still wait. It holds some three gangs of the first priority, which are
// late when they first have to stop other work.
const headroom = 0.12

// headroomTime is how long headroom is kept after the last job of the first
// priority, so that a deployment without such jobs uses all it has.
const headroomTime = 30 * time.Second

// yields reports whether a group waits to leave headroom. It answers a load of
// nearly all accelerators with bursts of the first priority.
func (p *pass) yields(g *group) bool {
	s := g.spec()
	if s.Reserved().Accelerators == 0 || g.job.queue.Priority == 0 || s.Service || p.late(g.job) || p.now.Sub(p.r.urgent) > headroomTime {
		return false
	}
	var free, all unit.Accelerators
	for _, m := range p.rooms {
		free += max(0, m.free.Accelerators)
		all += m.Capacity.Accelerators
	}
	free -= s.Reserved().Accelerators * unit.Accelerators(g.tasks)
	return float64(free) < headroom*float64(all)
}

// keep takes rooms out of the rest of the pass.
func (p *pass) keep(g *group, rooms []*room) bool {
	for _, m := range rooms {
		m.free = m.free.Minus(g.spec().Reserved())
		m.later = m.later.Minus(g.spec().Reserved())
	}
	return rooms != nil
}

// mayClaim reports whether other work may be stopped for a group: always for
// guaranteed jobs and for tasks that serve until they are cancelled, and for
// jobs of the first priority that can still meet their objective.
func (p *pass) mayClaim(g *group) bool {
	return p.protected[g.job] || g.spec().Service || g.job.queue.Priority == 0 && !p.late(g.job)
}

// late reports whether a job can't meet its objective any more.
func (p *pass) late(j *job) bool {
	return p.now.Add(p.r.chain(j)).After(p.r.deadline(j))
}

func (p *pass) start(g *group, rooms []*room) {
	s := g.spec()
	g.run++
	g.started, g.stopping, g.faulted = p.now, false, false
	for i, m := range rooms {
		m.free, m.later = m.free.Minus(s.Reserved()), m.later.Minus(s.Reserved())
		mem := &member{group: g, index: g.first + i, worker: m.worker, incarnation: m.Incarnation, ordered: p.now,
			advanced: p.now, pace: task.FullPace}
		g.members = append(g.members, mem)
		m.add(mem)
		p.r.order(p.now, Start, mem)
		p.r.mix(p.now, m.worker)
		p.r.note(Decision{Event: "start", Job: g.job.ID, Task: mem.name(), Run: g.run, Worker: m.ID, Age: p.now.Sub(g.ready)})
	}
	p.r.touch(g.job)
}

func minimum(a, b unit.Resources) unit.Resources {
	return unit.Resources{Accelerators: min(a.Accelerators, b.Accelerators), Cores: min(a.Cores, b.Cores),
		Memory: min(a.Memory, b.Memory)}
}

// count is how many tasks of a demand fit into free, at most most.
func count(demand, free unit.Resources, most int) int {
	n := most
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

// allowed reports whether a group may run on a worker at all, and how many of
// its tasks.
func (p *pass) allowed(g *group, m *room) int {
	s := g.spec()
	if !p.allowedKind(g, m) || g.job.queue.Advised && !g.occurrence.advised(g.step).valid(p.now, m.worker) {
		return 0
	}
	if s.MaxPerWorker == 0 {
		return g.tasks
	}
	most := s.MaxPerWorker
	for _, other := range m.members {
		o := other.group
		if o.job == g.job && o.occurrence == g.occurrence && o.step == g.step {
			most--
		}
	}
	return min(g.tasks, max(0, most))
}

// allowedKind reports whether a worker belongs to the service of a group's
// queue and has the label that its step asks for.
func (p *pass) allowedKind(g *group, m *room) bool {
	s := g.spec()
	return m.Service == g.job.queue.Service && (s.Label == "" || slices.Contains(m.Labels, s.Label))
}

// sets returns the sets of rooms in which a group runs at full speed, best
// first, and the rooms for running remote if that is allowed now. Workers on
// which the group has failed come last: other workers may not have the room.
func (p *pass) sets(g *group) (sets [][]*room, remote []*room) {
	good, all := p.candidates(g)
	s := g.spec()
	if s.DataRack == "" && (!s.SameRack || g.tasks == 1) {
		return [][]*room{good, all}, nil
	}
	sets = append(p.near(g, good), p.near(g, all)...)
	if p.remoteAllowed(g, sets) {
		remote = all
	}
	return sets, remote
}

// candidates returns the rooms that a group may use, first without the workers
// on which it has failed.
func (p *pass) candidates(g *group) (good, all []*room) {
	for _, m := range p.rooms {
		if p.allowed(g, m) == 0 {
			continue
		}
		all = append(all, m)
		if !slices.Contains(g.avoid, m.ID) {
			good = append(good, m)
		}
	}
	return good, all
}

// near returns the rooms of each rack in which a group runs at full speed, the
// fullest rack first.
func (p *pass) near(g *group, all []*room) [][]*room {
	s := g.spec()
	racks := make(map[id.Rack][]*room)
	var names []id.Rack
	for _, m := range all {
		if s.DataRack != "" && m.Rack != s.DataRack {
			continue
		}
		if racks[m.Rack] == nil {
			names = append(names, m.Rack)
		}
		racks[m.Rack] = append(racks[m.Rack], m)
	}
	free := func(name id.Rack) (sum unit.Accelerators) {
		for _, m := range racks[name] {
			sum += max(0, m.free.Accelerators)
		}
		return sum
	}
	slices.SortStableFunc(names, func(a, b id.Rack) int { return cmp.Compare(free(a), free(b)) })
	var sets [][]*room
	for _, name := range names {
		sets = append(sets, racks[name])
	}
	return sets
}

// urgentTime is the part of the bound on a guaranteed start that is left for
// stopping other work and starting, when a rack has not come free until then.
const urgentTime = time.Second

// remoteAllowed reports whether a group may run away from its data or over
// several racks: at once when no rack could ever hold it, for guaranteed work
// when its bound is near, and else when it has waited as long as running
// remote costs.
func (p *pass) remoteAllowed(g *group, sets [][]*room) bool {
	waited := p.now.Sub(g.ready)
	if p.protected[g.job] && waited > p.r.config.MaxGuaranteedWait-p.r.config.MaxStopTime-urgentTime {
		return true
	}
	capacity := func(m *room) unit.Resources { return m.Capacity }
	possible := false
	for _, near := range sets {
		if pack(g, near, p, capacity) != nil {
			possible = true
		}
	}
	cost := time.Duration((p.r.config.RemoteFactor - 1) * float64(p.r.expected(g.job, *g.spec())))
	return !possible || waited > cost
}

// mixes is 1 when a task of a step that fills would come beside one that serves
// on a worker, or the other way round.
func mixes(s *task.Step, w *worker) int {
	if s.BestEffort && w.serves() || s.TailTarget > 0 && w.fills() {
		return 1
	}
	return 0
}

// pack puts the tasks of a group on the rooms with the least free
// accelerators, so that empty workers stay empty for large tasks.
func pack(g *group, rooms []*room, p *pass, avail func(*room) unit.Resources) []*room {
	s := g.spec()
	type choice struct {
		m     *room
		n     int
		mixes int // 1 when a task that fills would come beside one that serves
		free  unit.Resources
	}
	var choices []choice
	total := 0
	for _, m := range rooms {
		free := avail(m)
		if n := count(s.Reserved(), free, p.allowed(g, m)); n > 0 {
			choices = append(choices, choice{m, n, mixes(s, m.worker), free})
			total += n
		}
	}
	if total < g.tasks {
		return nil
	}
	slices.SortStableFunc(choices, func(a, b choice) int {
		return cmp.Or(cmp.Compare(a.mixes, b.mixes), cmp.Compare(a.free.Accelerators, b.free.Accelerators),
			cmp.Compare(a.free.Cores, b.free.Cores))
	})
	placed := make([]*room, 0, g.tasks)
	for _, c := range choices {
		for range c.n {
			if len(placed) == g.tasks {
				return placed
			}
			placed = append(placed, c.m)
		}
	}
	return placed
}
