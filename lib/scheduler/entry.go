package scheduler

import (
	"sync"
	"time"

	"bronzewinch.dev/lib/decision"
	"bronzewinch.dev/lib/gang"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/worker"
)

// jobEntry is the live state of one job. Each entry has its own lock.
type jobEntry struct {
	ended chan struct{} // closed once the job's phase is final

	mu                 sync.Mutex
	job                job.Job
	gang               *gang.Gang // of the current attempt, nil while waiting
	commitQueued       bool       // the commit of the attempt was queued for the journal
	endQueued          bool       // the end of the attempt was queued for the journal
	needsRecovery      bool       // committed by an earlier owner, not yet taken over
	allocationRecorded bool       // the placement is recorded, its end is not
	mayHaveRun         bool       // some member may have run, in any attempt
	cancelled          bool       // a cancellation is durable
	startReported      bool       // the job's first start was reported to the observer
	runningSince       time.Time  // when all members of the attempt were running
	decidedAt          time.Time  // when the attempt was placed
	failures           int        // attempts in which a task failed
	retryAt            time.Time  // the earliest time of the next attempt
	victimsLeft        int        // gangs that must end before the reservations are made
	preemptors         []preemptor
	decisions          []decision.Record
	fenced             map[id.Worker]bool // workers that did not confirm a stop
}

func newJobEntry(state jobState) *jobEntry {
	e := &jobEntry{ended: make(chan struct{}), job: state.Job, mayHaveRun: state.MayHaveRun, allocationRecorded: state.AllocationRecorded, cancelled: state.Cancelled,
		failures: state.Failures, decisions: state.Decisions, fenced: make(map[id.Worker]bool)}
	if state.Job.Phase.Final() {
		close(e.ended)
	}
	return e
}

func (e *jobEntry) snapshot() job.Job {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.job
}

// plannable returns the job and whether it may be planned now.
func (e *jobEntry) plannable(now time.Time) (job.Job, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.job, e.job.Phase == job.Waiting && !now.Before(e.retryAt)
}

// ref returns the reference of the current attempt's tasks. The caller holds the
// entry's lock.
func (e *jobEntry) ref() worker.Ref { return worker.Ref{Job: e.job.ID, Attempt: e.job.Attempt} }

// stepGang applies an event to the gang of an attempt and executes the commands
// that result. It ignores events of earlier attempts.
func (s *Scheduler) stepGang(e *jobEntry, attempt int, event gang.Event) {
	e.mu.Lock()
	var after []func()
	if e.gang != nil && e.job.Attempt == attempt {
		after = s.executeCommands(e, e.gang.Step(event))
	}
	e.mu.Unlock()
	for _, f := range after {
		f()
	}
}

func (s *Scheduler) tickJob(e *jobEntry, now time.Time) {
	e.mu.Lock()
	attempt, waits := e.job.Attempt, e.victimsLeft > 0
	e.mu.Unlock()
	if !waits {
		s.stepGang(e, attempt, gang.Event{Kind: gang.Tick, At: now})
	}
	s.finish(e)
}

// executeCommands executes commands in order. The caller holds the entry's lock,
// and calls the returned functions after releasing it.
func (s *Scheduler) executeCommands(e *jobEntry, commands []gang.Command) []func() {
	var after []func()
	for _, c := range commands {
		switch c.Kind {
		case gang.Commit:
			e.commitQueued = true
			after = append(after, s.commit(e))
		case gang.Fence:
			e.fenced[c.Worker] = true
			s.runOnPlanner(func(p *planState) { p.addExclusion(c.Worker) })
			preemptors := e.preemptors
			e.preemptors = nil
			s.victims.Delete(e.job.ID)
			after = append(after, func() { s.replanPreemptors(preemptors) })
		case gang.Free:
			s.freeMember(e, c.Worker)
		default:
			s.sendCommand(e, c)
		}
	}
	if e.gang.Started() {
		e.mayHaveRun = true
	}
	s.recordRunning(e)
	e.job.Phase = jobPhases[e.gang.Phase()]
	if e.gang.Phase() == gang.Ended {
		after = append(after, func() { s.finish(e) })
	}
	return after
}

var jobPhases = map[gang.Phase]job.Phase{
	gang.Planned: job.Reserving, gang.Reserving: job.Reserving, gang.Committing: job.Reserving,
	gang.Starting: job.Committed, gang.Running: job.Running, gang.Checkpointing: job.Stopping,
	gang.Stopping: job.Stopping, gang.Ended: job.Stopping,
}

// freeMember notifies the planner that a worker no longer runs or reserves a task
// of the job. The caller holds the entry's lock.
func (s *Scheduler) freeMember(e *jobEntry, w id.Worker) {
	name, fenced := e.job.ID, e.fenced[w]
	outcome, _ := e.gang.Outcome()
	ok := outcome != gang.TaskFailed && outcome != gang.Broken
	delete(e.fenced, w)
	s.runOnPlanner(func(p *planState) {
		p.planner.TaskEnded(w, name, ok)
		if fenced {
			p.removeExclusion(w)
		}
	})
}

// commit is the commit stage: it returns a function that journals the commit of
// the current attempt. The caller holds the entry's lock.
func (s *Scheduler) commit(e *jobEntry) func() {
	it := item{Op: opCommit, ID: e.job.ID, Attempt: e.job.Attempt, Members: e.job.Members}
	return func() {
		s.enqueueWrite(it, func(err error) {
			event := gang.Event{Kind: gang.CommitDurable, At: s.cfg.Clock.Now()}
			if err != nil {
				event.Kind, event.Reason = gang.CommitFailed, err.Error()
			}
			s.stepGang(e, it.Attempt, event)
		})
	}
}

// sendCommand queues a command on the worker's link. The caller holds the entry's
// lock.
func (s *Scheduler) sendCommand(e *jobEntry, c gang.Command) {
	l, ok := s.links.Get(c.Worker)
	if !ok {
		return
	}
	task := worker.Task{Ref: e.ref(), LeaseExpiry: c.Until}
	kind := commandKinds[c.Kind]
	if kind.Creates() {
		task.Resources, task.Program = e.job.Spec.Shape.PerWorker, e.job.Spec.Program
	}
	// Put fails when the queue is full or closed; a later tick repeats the command.
	_ = l.queue.Put(taskCommand{kind, task})
}

var commandKinds = map[gang.CommandKind]worker.Kind{
	gang.Reserve: worker.Reserve, gang.Start: worker.Start, gang.Renew: worker.Renew,
	gang.Checkpoint: worker.Checkpoint, gang.Throttle: worker.Throttle,
	gang.Release: worker.Stop, gang.Stop: worker.Stop,
}

// finish is the finish stage: it journals the end of an attempt whose gang has
// ended.
func (s *Scheduler) finish(e *jobEntry) {
	e.mu.Lock()
	if e.gang == nil || e.gang.Phase() != gang.Ended || e.endQueued {
		e.mu.Unlock()
		return
	}
	e.endQueued = true
	it := s.endItem(e)
	uncommitted := !e.commitQueued && it.Phase == job.Waiting
	e.mu.Unlock()
	s.runOnPlanner(func(p *planState) {
		stop := s.releaseAllocation(p, e, it.Reason)
		if uncommitted { // without a commit the job is still waiting in the journal
			if stop != nil {
				s.journalRecord(*stop)
			}
			s.applyEnd(e, it, nil)
			return
		}
		// The end and its record are one item, so that no later owner finds a
		// committed gang whose placement has ended according to the records.
		it.Decision = stop
		s.enqueueWrite(it, func(err error) { s.applyEnd(e, it, err) })
	})
}

// endItem returns the journal item for the end of an attempt. The caller holds the
// entry's lock.
func (s *Scheduler) endItem(e *jobEntry) item {
	outcome, reason := e.gang.Outcome()
	it := item{Op: opEnd, ID: e.job.ID, Attempt: e.job.Attempt, Phase: job.Waiting, Reason: reason, MayHaveRun: e.mayHaveRun, Failures: e.failures}
	if outcome == gang.TaskFailed {
		it.Failures++
	}
	switch {
	case outcome == gang.Succeeded:
		it.Phase = job.Succeeded
	case outcome == gang.Cancelled || e.cancelled:
		it.Phase = job.Cancelled
	case it.Failures >= MaxFailures:
		it.Phase = job.Failed
	}
	return it
}

// applyEnd applies the end of an attempt after its append. If the append failed, a
// later tick retries.
func (s *Scheduler) applyEnd(e *jobEntry, it item, err error) {
	e.mu.Lock()
	e.endQueued = false
	if err != nil {
		e.mu.Unlock()
		return
	}
	if e.cancelled && it.Phase == job.Waiting { // cancelled during the append
		it.Phase = job.Cancelled
	}
	e.gang, e.commitQueued, e.failures = nil, false, it.Failures
	e.job.Phase, e.job.Reason, e.job.Members = it.Phase, it.Reason, nil
	preemptors := e.preemptors
	e.preemptors = nil
	s.victims.Delete(it.ID)
	s.active.Delete(it.ID)
	if it.Phase.Final() {
		s.finalize(e)
	} else {
		// The delay prevents a loop of passes when each attempt fails
		// immediately, as during an outage of the store.
		e.retryAt = s.cfg.Clock.Now().Add(TickInterval)
		s.waiting.Set(it.ID, e)
	}
	e.mu.Unlock()
	for _, p := range preemptors {
		s.victimEnded(p)
	}
}

// finalize records the end of a job whose phase is final. The caller holds the
// entry's lock.
func (s *Scheduler) finalize(e *jobEntry) {
	e.job.Ended = s.cfg.Clock.Now()
	s.observeEnd(e)
	close(e.ended)
	if s.backlog != nil {
		s.backlog.Release(e.job.Spec.Account, JobMemory)
	}
	s.finishedMu.Lock()
	defer s.finishedMu.Unlock()
	s.finished = append(s.finished, e.job.ID)
	for len(s.finished) > MaxFinished {
		s.jobs.Delete(s.finished[0])
		s.finished = s.finished[1:]
	}
}
