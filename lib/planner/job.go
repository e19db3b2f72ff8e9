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
	queue           task.Queue
	work            float64    // demand of all tasks of an occurrence, in weighted cores
	state           task.State // empty until the job has ended
	endedAt         time.Time
	started         bool
	openOccurrences []*occurrence // occurrences that have become due and are not complete
	nextOccurrence  int           // number of the next occurrence to open
	members         int           // that are on workers, also of occurrences that are complete
	memory          unit.Bytes    // what it is counted for
	path            criticalPath
	resume          resumption
	setApart        bool // the store does not take its records
}

type occurrence struct {
	number    int
	due       time.Time
	steps     [][]*group
	remaining int             // groups that are not done
	undone    []int           // the same by step
	advice    map[int]*advice // by step, for queues with advice
}

// group is a set of tasks that start together: a gang, or one task of a step that
// is not a gang.
type group struct {
	job        *job
	occurrence *occurrence
	stepIndex  int
	firstIndex int // index of the first task in the step
	size       int

	done           bool
	run            task.RunNumber
	failures       int
	checkpoint     task.Checkpoint
	members        []*member // of the run in progress, without those that have ended
	stopping       bool
	failureCounted bool      // the failure of the run in progress is in failures
	complete       bool      // a member of the run in progress has made progress, so all were present
	gangEndedAt    time.Time // when it became known that the platform ends all members, or zero
	// unseenEnds holds runs that were ended before the ends of all members were known. A
	// failure among those ends is not in failures yet.
	unseenEnds   []task.RunNumber
	readyAt      time.Time // since when the group could start
	startedAt    time.Time
	remote       bool          // the run in progress is away from its data, or spread over racks
	restored     bool          // the run in progress was found running, so its start is not known
	expected     time.Duration // run time that was expected when the run in progress started
	stalls       int           // runs that were stopped without progress
	lowUseSince  time.Time     // since when the group waits for a rack during low use, or zero
	waitLoggedAt time.Time     // when it was last logged that the group waits
	failedOn     []id.Worker   // workers on which a run of the group has failed
}

type member struct {
	group       *group
	index       int
	worker      *worker
	incarnation task.Incarnation
	orderedAt   time.Time
	// confirmedAt is the time at which the worker answered the last order about
	// the run. If a report requested later does not list the run, the run has ended.
	confirmedAt   time.Time
	running       bool
	startPending  bool // the result of the order to start is not known yet
	stopRequested bool
	stopSentAt    time.Time // when the last order to stop was issued
	percent       task.Percent
	progressedAt  time.Time // when percent last rose
	tailLatency   time.Duration
	// pace is the pace that the worker has confirmed, for best-effort tasks.
	pace          task.Percent
	paceOrderedAt time.Time
}

func (m *member) taskName() task.Name {
	g := m.group
	return task.Name{Job: g.job.ID, Occurrence: g.occurrence.number, Step: g.stepIndex, Index: m.index}
}

func (g *group) step() *task.Step { return &g.job.Steps[g.stepIndex] }

// needsRack reports whether the group runs at full speed only within one rack.
func (g *group) needsRack() bool {
	s := g.step()
	return s.DataRack != "" || s.SameRack && g.size > 1
}

func (g *group) idle() bool { return !g.done && len(g.members) == 0 }

// Submit accepts a job. Submitting a known job again has no effect, unless it names
// another queue, which is a conflict.
func (p *Planner) Submit(now time.Time, t task.Job) error {
	if known, ok := p.jobs[t.ID]; ok {
		if known.Queue != t.Queue {
			return problem.New(problem.Conflict, problem.Detail{
				Field: "job", Value: string(t.ID), Remedy: "choose another id; this one names a job of another queue"})
		}
		return nil
	}
	if err := t.Validate(); err != nil {
		return err
	}
	q, ok := p.rules.Queues[t.Queue]
	if !ok {
		return problem.New(problem.NotFound, problem.Detail{
			Field: "queue", Value: string(t.Queue), Remedy: "use a queue of the configuration"})
	}
	if q.Priority == 0 {
		p.lastFirstPriorityAt = now
	}
	memory := JobMemory(&t)
	t.Accepted, t.Admitted = now, q
	j := &job{Job: t, queue: q, memory: memory}
	j.work = j.workOf()
	p.jobs[t.ID] = j
	p.activeJobs = append(p.activeJobs, j)
	p.newJobs = append(p.newJobs, t)
	if _, ok := p.orphans[t.ID]; ok {
		delete(p.orphans, t.ID)
		p.markDirty(j) // replaces the progress of the earlier job of this id
	}
	p.openDueOccurrences(now, j)
	p.logDecision(Decision{Event: "accepted", Job: t.ID, Reason: string(t.Queue), Fields: []any{"account", t.Account,
		"attempts", q.Attempts, "occurrences", j.occurrenceCount(), "steps", task.FormatSteps(t.Steps)}})
	return nil
}

// Cancel ends a job and stops its runs. It returns NotFound when the job is not
// known, and leaves a job that has ended as it is.
func (p *Planner) Cancel(now time.Time, name id.Job) error {
	j, ok := p.jobs[name]
	if !ok {
		return problem.New(problem.NotFound, problem.Detail{Field: "job", Value: string(name), Remedy: "check the id"})
	}
	if j.state.Ended() {
		return nil
	}
	p.endJob(now, j, task.Cancelled, "cancelled by its submitter")
	return nil
}

// reportedState is the state that is reported to the submitter.
func (j *job) reportedState() task.State {
	switch {
	case j.state.Ended():
		return j.state
	case j.started:
		return task.Running
	}
	return task.Pending
}

func (j *job) occurrenceCount() int { return max(1, j.Occurrences) }

// maxOpenTasks bounds the tasks of the open occurrences of a job: all of them are in memory,
// and its progress is written whole with each change. Later occurrences open when earlier
// ones are complete.
const maxOpenTasks = 20000

// openDueOccurrences opens the occurrences of a job that are due.
func (p *Planner) openDueOccurrences(now time.Time, j *job) {
	for j.nextOccurrence < j.occurrenceCount() {
		due := j.Accepted
		if j.Occurrences > 0 {
			due = j.First.Add(time.Duration(j.nextOccurrence) * j.Interval)
		}
		if due.After(now) || len(j.openOccurrences) > 0 && (len(j.openOccurrences)+1)*j.TaskCount() > maxOpenTasks {
			return
		}
		j.openOccurrences = append(j.openOccurrences, newOccurrence(j, j.nextOccurrence, due))
		j.nextOccurrence++
	}
}

func newOccurrence(j *job, number int, due time.Time) *occurrence {
	o := &occurrence{number: number, due: due, undone: make([]int, 0, len(j.Steps)), steps: make([][]*group, 0, len(j.Steps))}
	for i, s := range j.Steps {
		var groups []*group
		if s.Gang {
			groups = append(groups, &group{job: j, occurrence: o, stepIndex: i, size: s.Tasks, readyAt: due})
		} else {
			for k := range s.Tasks {
				groups = append(groups, &group{job: j, occurrence: o, stepIndex: i, firstIndex: k, size: 1, readyAt: due})
			}
		}
		o.remaining += len(groups)
		o.undone = append(o.undone, len(groups))
		o.steps = append(o.steps, groups)
	}
	return o
}

// stepReady reports whether all steps that s depends on are done.
func (o *occurrence) stepReady(s task.Step) bool {
	for _, before := range s.After {
		if o.undone[before] > 0 {
			return false
		}
	}
	return true
}

// markDone records that a group of the occurrence is done.
func (o *occurrence) markDone(g *group) {
	g.done = true
	o.remaining--
	o.undone[g.stepIndex]--
}

// completeGroup marks a group as done, and completes its occurrence and its job if
// all their other groups are done.
func (p *Planner) completeGroup(now time.Time, g *group) {
	if g.done {
		return
	}
	o, j := g.occurrence, g.job
	o.markDone(g)
	p.markDirty(j)
	for i, s := range j.Steps {
		if slices.Contains(s.After, g.stepIndex) {
			for _, next := range o.steps[i] {
				next.readyAt = now
			}
		}
	}
	if o.remaining > 0 || j.state.Ended() {
		return
	}
	j.openOccurrences = slices.DeleteFunc(j.openOccurrences, func(other *occurrence) bool { return other == o })
	if len(j.openOccurrences) == 0 && j.nextOccurrence >= j.occurrenceCount() {
		p.endJob(now, j, task.Completed, "all tasks are done")
	}
}

// endJob puts a job into a final state and stops its remaining runs.
func (p *Planner) endJob(now time.Time, j *job, state task.State, reason string) {
	j.state, j.endedAt = state, now
	p.activeJobs = slices.DeleteFunc(p.activeJobs, func(other *job) bool { return other == j })
	p.untrimmedJobs = append(p.untrimmedJobs, j)
	for _, o := range j.openOccurrences {
		for _, groups := range o.steps {
			for _, g := range groups {
				p.stopGroup(now, g, "the job has ended")
			}
		}
	}
	p.markDirty(j)
	p.logDecision(Decision{Event: string(state), Job: j.ID, Reason: reason, Age: now.Sub(j.Accepted)})
}

// SetApart ends a job whose records the store does not take, so that all other jobs can go on.
// Its runs are stopped. From then on its record holds only its final state.
func (p *Planner) SetApart(now time.Time, name id.Job) {
	j, ok := p.jobs[name]
	if !ok {
		return
	}
	j.setApart = true
	if j.state.Ended() {
		p.markDirty(j)
		return
	}
	p.endJob(now, j, task.Failed, "the store does not take its records")
}

// Refuse removes a job of which nothing has been stored. No order about it has been sent.
func (p *Planner) Refuse(name id.Job) {
	j, ok := p.jobs[name]
	if !ok {
		return
	}
	for _, o := range j.openOccurrences {
		for _, groups := range o.steps {
			for _, g := range groups {
				for _, m := range g.members {
					m.worker.removeMember(m)
				}
			}
		}
	}
	delete(p.jobs, name)
	delete(p.dirtyJobs, name)
	p.activeJobs = slices.DeleteFunc(p.activeJobs, func(other *job) bool { return other == j })
	p.resizeMemory(j, 0)
	p.logDecision(Decision{Event: "refused", Job: name, Reason: "the store does not take its records"})
}

// stopGroup orders the workers to stop all members of a group.
func (p *Planner) stopGroup(now time.Time, g *group, reason string) {
	if len(g.members) == 0 || g.stopping {
		return
	}
	g.stopping = true
	for _, m := range g.members {
		m.stopRequested, m.stopSentAt, m.confirmedAt = true, now, time.Time{}
		p.enqueueOrder(now, Stop, m)
		p.logDecision(Decision{Event: "stop", Job: g.job.ID, Task: m.taskName(), Run: g.run, Worker: m.worker.ID, Reason: reason,
			Age: now.Sub(g.startedAt), Fields: []any{"incarnation", m.incarnation}})
	}
}

// progress returns the state of a job to store.
func (j *job) progress() task.Progress {
	p := task.Progress{Job: j.ID, State: j.state, Ended: j.endedAt, Started: j.started}
	if j.setApart {
		return p
	}
	open := make(map[int]*occurrence, len(j.openOccurrences))
	for _, o := range j.openOccurrences {
		open[o.number] = o
	}
	for k := range j.nextOccurrence {
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
	p := task.GroupProgress{Done: g.done, Run: g.run, Failures: g.failures, Checkpoint: g.checkpoint, UnseenEnds: g.unseenEnds}
	for _, m := range g.members {
		p.Placements = append(p.Placements, task.Placement{Index: m.index, Worker: m.worker.ID, Incarnation: m.incarnation})
	}
	return p
}

// Restore adds a job that an earlier owner stored. Members of runs in progress
// count as present on their workers until a report does not list them or the leases
// that the earlier owner granted have expired, at leaseExpiry.
func (p *Planner) Restore(now, leaseExpiry time.Time, t task.Job, stored task.Progress) {
	q, ok := p.rules.Queues[t.Queue]
	if !ok {
		q = t.Admitted
	}
	j := &job{Job: t, queue: q, state: stored.State, endedAt: stored.Ended, started: stored.Started, memory: JobMemory(&t)}
	j.work = j.workOf()
	p.jobs[t.ID] = j
	if len(t.Steps) == 0 && !j.state.Ended() {
		p.failWithoutSteps(now, j)
		return
	}
	if !j.state.Ended() {
		p.activeJobs = append(p.activeJobs, j)
	}
	for _, op := range stored.Occurrences {
		j.nextOccurrence = op.Number + 1
		if op.Completed {
			j.started = true
			continue
		}
		due := t.Accepted
		if t.Occurrences > 0 {
			due = t.First.Add(time.Duration(op.Number) * t.Interval)
		}
		o := newOccurrence(j, op.Number, due)
		j.openOccurrences = append(j.openOccurrences, o)
		next := 0
		for _, groups := range o.steps {
			for _, g := range groups {
				if next < len(op.Groups) {
					p.restoreGroup(now, leaseExpiry, g, op.Groups[next])
				}
				next++
			}
		}
	}
	switch {
	case !j.state.Ended():
		p.openDueOccurrences(now, j)
	case j.members == 0:
		p.trim(j)
	default:
		p.untrimmedJobs = append(p.untrimmedJobs, j)
	}
}

// failWithoutSteps ends a job of which only the record without steps is stored. Earlier versions
// could discard the steps of a job in one transaction, and be lost before they stored its final
// state in the next. Runs of it that workers list are stopped, as they have no record.
func (p *Planner) failWithoutSteps(now time.Time, j *job) {
	j.state, j.endedAt = task.Failed, now
	p.resizeMemory(j, endedJobMemory)
	p.markDirty(j)
	p.logDecision(Decision{Event: "stepsLost", Job: j.ID, Age: now.Sub(j.Accepted),
		Reason: "its steps were discarded before its final state was stored; submit it again under another id if its result is missing"})
}

// DiscardProgress records that there is stored progress of a job that is not known. It is
// removed, so that a later job of the same id does not begin with it.
func (p *Planner) DiscardProgress(name id.Job) { p.orphans[name] = struct{}{} }

func (p *Planner) restoreGroup(now, leaseExpiry time.Time, g *group, stored task.GroupProgress) {
	// Earlier versions stored service tasks as done if a late report said so.
	if stored.Done && !g.step().Service {
		g.occurrence.markDone(g)
	}
	g.run, g.failures, g.checkpoint, g.unseenEnds = stored.Run, stored.Failures, stored.Checkpoint, stored.UnseenEnds
	g.startedAt, g.restored = now, true
	g.job.started = g.job.started || g.done || len(stored.Placements) > 0
	for _, placement := range stored.Placements {
		w := p.ensureWorker(placement.Worker)
		w.restoredLeaseExpiry = leaseExpiry
		p.expectLateStart(w.ID, now.Add(MaxCallDelay)) // the earlier owner may not have known the answer to the start
		m := &member{group: g, index: placement.Index, worker: w, incarnation: placement.Incarnation, orderedAt: now,
			confirmedAt: now, progressedAt: now, pace: unknownPace}
		g.members = append(g.members, m)
		w.addMember(m)
		p.logDecision(Decision{Event: "restored", Job: g.job.ID, Task: m.taskName(), Run: g.run, Worker: w.ID,
			Fields: []any{"incarnation", m.incarnation, "leaseMs", leaseExpiry.Sub(now).Milliseconds()}})
	}
}

// LimitRestoredLeases records that no lease that an earlier owner granted lasts longer
// than until leaseExpiry.
func (p *Planner) LimitRestoredLeases(leaseExpiry time.Time) {
	for _, w := range p.workersByID {
		if w.restoredLeaseExpiry.After(leaseExpiry) {
			w.restoredLeaseExpiry = leaseExpiry
		}
	}
	p.logDecision(Decision{Event: "leasesLimited", Reason: "the terms of all earlier owners have ended"})
}

// Resume sorts the restored jobs by the time of their acceptance, and stops the
// runs of jobs that have ended. It is called once, after the last Restore.
func (p *Planner) Resume(now time.Time) {
	p.resumedAt = now
	slices.SortStableFunc(p.activeJobs, func(a, b *job) int { return a.Accepted.Compare(b.Accepted) })
	for _, j := range p.jobs {
		if !j.state.Ended() {
			continue
		}
		for _, o := range j.openOccurrences {
			for _, groups := range o.steps {
				for _, g := range groups {
					p.stopGroup(now, g, "the job has ended")
				}
			}
		}
	}
}

// largestStepAccelerators is the number of accelerators that the largest step of a
// job needs.
func (j *job) largestStepAccelerators() unit.Accelerators {
	var largest unit.Accelerators
	for _, s := range j.Steps {
		largest = max(largest, s.Demand.Accelerators*unit.Accelerators(s.Tasks))
	}
	return largest
}

// hasServiceTasks reports whether a job has tasks that run until it is cancelled.
func (j *job) hasServiceTasks() bool {
	return slices.ContainsFunc(j.Steps, func(s task.Step) bool { return s.Service })
}

// hasRuns reports whether a task of the job has a run in progress.
func (j *job) hasRuns() bool {
	for _, o := range j.openOccurrences {
		for _, groups := range o.steps {
			if slices.ContainsFunc(groups, func(g *group) bool { return len(g.members) > 0 }) {
				return true
			}
		}
	}
	return false
}
