package planner

import (
	"slices"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/task"
	"bronzewinch.dev/lib/unit"
)

type job struct {
	task.Job
	queue task.Queue
	state task.State // empty until the job has ended
	ended time.Time
	begun bool
	open  []*occurrence // occurrences that have been due, without those that are over
	next  int           // number of the next occurrence to open
}

type occurrence struct {
	number int
	due    time.Time
	steps  [][]*group
	left   int             // groups that are not done
	advice map[int]*advice // by step, for queues with advice
}

// group is a set of tasks that start together: a gang, or one other task.
type group struct {
	job        *job
	occurrence *occurrence
	step       int
	first      int // index of the first task in the step
	tasks      int

	done     bool
	run      task.RunNumber
	failures int
	saved    task.Checkpoint
	members  []*member // members of the run in progress that have not ended
	stopping bool
	faulted  bool // the run in progress has been counted as a failure
	ready    time.Time
	started  time.Time
	avoid    []id.Worker // workers on which a run of the group has failed
}

type member struct {
	group       *group
	index       int
	worker      *worker
	incarnation task.Incarnation
	ordered     time.Time
	// settled is the time at which the worker answered the last order about
	// the run. A later report that does not list the run proves that it is gone.
	settled  time.Time
	running  bool
	stop     bool
	stopped  time.Time // when the last order to stop was issued
	percent  task.Percent
	advanced time.Time // when percent last rose
	tail     time.Duration
	// pace is the pace that the worker has confirmed, for tasks that fill.
	pace        task.Percent
	paceOrdered time.Time
}

func (m *member) name() task.Name {
	g := m.group
	return task.Name{Job: g.job.ID, Occurrence: g.occurrence.number, Step: g.step, Index: m.index}
}

func (g *group) spec() *task.Step { return &g.job.Steps[g.step] }

func (g *group) idle() bool { return !g.done && len(g.members) == 0 }

// Submit accepts a job. A job that is known already is left as it is.
func (r *Planner) Submit(now time.Time, t task.Job) error {
	if known, ok := r.jobs[t.ID]; ok {
		if known.Queue != t.Queue {
			return problem.New(problem.Conflict, problem.Detail{
				Field: "job", Value: string(t.ID), Remedy: "choose another id; this one names a job of another queue"})
		}
		return nil
	}
	if err := t.Validate(); err != nil {
		return err
	}
	q, ok := r.rules.Queues[t.Queue]
	if !ok {
		return problem.New(problem.NotFound, problem.Detail{
			Field: "queue", Value: string(t.Queue), Remedy: "use a queue of the configuration"})
	}
	if q.Priority == 0 {
		r.urgent = now
	}
	t.Accepted, t.Admitted = now, q
	j := &job{Job: t, queue: q}
	r.jobs[t.ID] = j
	r.active = append(r.active, j)
	r.fresh = append(r.fresh, t)
	r.openDue(now, j)
	r.note(Decision{Event: "accepted", Job: t.ID, Reason: string(t.Queue), Fields: []any{"account", t.Account,
		"attempts", q.Attempts, "occurrences", j.occurrences(), "steps", task.FormatSteps(t.Steps)}})
	return nil
}

// Cancel ends a job. It returns NotFound when the job is not known.
func (r *Planner) Cancel(now time.Time, name id.Job) error {
	j, ok := r.jobs[name]
	if !ok {
		return problem.New(problem.NotFound, problem.Detail{Field: "job", Value: string(name), Remedy: "check the id"})
	}
	if j.state.Ended() {
		return nil
	}
	r.finish(now, j, task.Cancelled, "cancelled by its submitter")
	return nil
}

// visible is the state that a submitter sees.
func (j *job) visible() task.State {
	switch {
	case j.state.Ended():
		return j.state
	case j.begun:
		return task.Running
	}
	return task.Pending
}

func (j *job) occurrences() int { return max(1, j.Occurrences) }

// openDue opens the occurrences whose time has come.
func (r *Planner) openDue(now time.Time, j *job) {
	for j.next < j.occurrences() {
		due := j.Accepted
		if j.Occurrences > 0 {
			due = j.First.Add(time.Duration(j.next) * j.Interval)
		}
		if due.After(now) {
			return
		}
		j.open = append(j.open, newOccurrence(j, j.next, due))
		j.next++
	}
}

func newOccurrence(j *job, number int, due time.Time) *occurrence {
	o := &occurrence{number: number, due: due}
	for i, s := range j.Steps {
		var groups []*group
		if s.Gang {
			groups = append(groups, &group{job: j, occurrence: o, step: i, tasks: s.Tasks, ready: due})
		} else {
			for k := range s.Tasks {
				groups = append(groups, &group{job: j, occurrence: o, step: i, first: k, tasks: 1, ready: due})
			}
		}
		o.left += len(groups)
		o.steps = append(o.steps, groups)
	}
	return o
}

// stepReady reports whether all steps that a step depends on are done.
func (o *occurrence) stepReady(s task.Step) bool {
	for _, before := range s.After {
		for _, g := range o.steps[before] {
			if !g.done {
				return false
			}
		}
	}
	return true
}

func (r *Planner) groupDone(now time.Time, g *group) {
	if g.done {
		return
	}
	g.done = true
	o, j := g.occurrence, g.job
	o.left--
	r.touch(j)
	for i, s := range j.Steps {
		if slices.Contains(s.After, g.step) {
			for _, next := range o.steps[i] {
				next.ready = now
			}
		}
	}
	if o.left > 0 || j.state.Ended() {
		return
	}
	j.open = slices.DeleteFunc(j.open, func(other *occurrence) bool { return other == o })
	if len(j.open) == 0 && j.next >= j.occurrences() {
		r.finish(now, j, task.Completed, "all tasks are done")
	}
}

// finish puts a job into a final state and stops what still runs of it.
func (r *Planner) finish(now time.Time, j *job, state task.State, reason string) {
	j.state, j.ended = state, now
	r.active = slices.DeleteFunc(r.active, func(other *job) bool { return other == j })
	for _, o := range j.open {
		for _, groups := range o.steps {
			for _, g := range groups {
				r.stopGroup(now, g, "the job has ended")
			}
		}
	}
	r.touch(j)
	r.note(Decision{Event: string(state), Job: j.ID, Reason: reason, Age: now.Sub(j.Accepted)})
}

// stopGroup orders all members of a group to stop.
func (r *Planner) stopGroup(now time.Time, g *group, reason string) {
	if len(g.members) == 0 || g.stopping {
		return
	}
	g.stopping = true
	for _, m := range g.members {
		m.stop, m.stopped, m.settled = true, now, time.Time{}
		r.order(now, Stop, m)
		r.note(Decision{Event: "stop", Job: g.job.ID, Task: m.name(), Run: g.run, Worker: m.worker.ID, Reason: reason,
			Age: now.Sub(g.started)})
	}
}

// progress returns the durable state of a job.
func (j *job) progress() task.Progress {
	p := task.Progress{Job: j.ID, State: j.state, Ended: j.ended}
	open := make(map[int]*occurrence, len(j.open))
	for _, o := range j.open {
		open[o.number] = o
	}
	for k := range j.next {
		o, ok := open[k]
		if !ok {
			p.Occurrences = append(p.Occurrences, task.OccurrenceProgress{Number: k, Completed: true})
			continue
		}
		op := task.OccurrenceProgress{Number: k}
		for _, groups := range o.steps {
			for _, g := range groups {
				op.Groups = append(op.Groups, g.progress())
			}
		}
		p.Occurrences = append(p.Occurrences, op)
	}
	return p
}

func (g *group) progress() task.GroupProgress {
	p := task.GroupProgress{Done: g.done, Run: g.run, Failures: g.failures, Checkpoint: g.saved}
	for _, m := range g.members {
		p.Placements = append(p.Placements, task.Placement{Index: m.index, Worker: m.worker.ID, Incarnation: m.incarnation})
	}
	return p
}

// Restore adds a job that an earlier owner stored. Members of runs in progress
// count as present on their workers until a report or the lapse of the
// earlier owner's grants tells otherwise.
func (r *Planner) Restore(now, lapse time.Time, t task.Job, p task.Progress) {
	q, ok := r.rules.Queues[t.Queue]
	if !ok {
		q = t.Admitted
	}
	j := &job{Job: t, queue: q, state: p.State, ended: p.Ended}
	r.jobs[t.ID] = j
	if !j.state.Ended() {
		r.active = append(r.active, j)
	}
	for _, op := range p.Occurrences {
		j.next = op.Number + 1
		if op.Completed {
			j.begun = true
			continue
		}
		due := t.Accepted
		if t.Occurrences > 0 {
			due = t.First.Add(time.Duration(op.Number) * t.Interval)
		}
		o := newOccurrence(j, op.Number, due)
		j.open = append(j.open, o)
		at := 0
		for _, groups := range o.steps {
			for _, g := range groups {
				if at < len(op.Groups) {
					r.restoreGroup(now, lapse, g, op.Groups[at])
				}
				at++
			}
		}
	}
	r.openDue(now, j)
}

func (r *Planner) restoreGroup(now, lapse time.Time, g *group, p task.GroupProgress) {
	g.done, g.run, g.failures, g.saved = p.Done, p.Run, p.Failures, p.Checkpoint
	g.started = now
	if p.Done {
		g.occurrence.left--
	}
	g.job.begun = g.job.begun || p.Run > 0
	for _, place := range p.Placements {
		w := r.worker(place.Worker)
		if lapse.After(w.lapse) {
			w.lapse = lapse
		}
		m := &member{group: g, index: place.Index, worker: w, incarnation: place.Incarnation, ordered: now,
			settled: now, advanced: now, pace: unknownPace}
		g.members = append(g.members, m)
		w.add(m)
		r.note(Decision{Event: "restored", Job: g.job.ID, Task: m.name(), Run: g.run, Worker: w.ID})
	}
}

// Resume orders the accepted jobs by their time and stops the runs of jobs
// that ended. It is called once, after the last Restore.
func (r *Planner) Resume(now time.Time) {
	r.resumed = now
	slices.SortStableFunc(r.active, func(a, b *job) int { return a.Accepted.Compare(b.Accepted) })
	for _, j := range r.jobs {
		if !j.state.Ended() {
			continue
		}
		for _, o := range j.open {
			for _, groups := range o.steps {
				for _, g := range groups {
					r.stopGroup(now, g, "the job has ended")
				}
			}
		}
	}
}

// need is the number of accelerators of a job's largest step.
func (j *job) need() unit.Accelerators {
	var most unit.Accelerators
	for _, s := range j.Steps {
		most = max(most, s.Demand.Accelerators*unit.Accelerators(s.Tasks))
	}
	return most
}

// serves reports whether a job has tasks that run until it is cancelled.
func (j *job) serves() bool {
	return slices.ContainsFunc(j.Steps, func(s task.Step) bool { return s.Service })
}
