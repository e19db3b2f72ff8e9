package scheduler

import (
	"slices"
	"time"

	"bronzewinch.dev/lib/decision"
	"bronzewinch.dev/lib/gang"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/job"
)

// planState is the state of the plan stage. Only the goroutine of that stage
// accesses it.
type planState struct {
	planner Planner
	// exclusions counts the reasons for which a worker is excluded from
	// placement. A worker can be both lost and fenced.
	exclusions map[id.Worker]int
	// lastVersion and lastTime are the version and time of the last record.
	lastVersion uint64
	lastTime    time.Time
	revision    id.Revision
	// passWrites are the writes of the current pass.
	passWrites []write
}

// addExclusion adds one reason to exclude a worker from placement.
func (p *planState) addExclusion(w id.Worker) {
	if p.exclusions[w]++; p.exclusions[w] == 1 {
		p.planner.WorkerLost(w)
	}
}

// removeExclusion removes one reason to exclude a worker from placement. When no
// reason is left, the worker returns to placement.
func (p *planState) removeExclusion(w id.Worker) {
	if p.exclusions[w]--; p.exclusions[w] <= 0 {
		delete(p.exclusions, w)
		p.planner.WorkerRecovered(w)
	}
}

// runOnPlanner runs f on the plan stage's goroutine, before its next pass.
func (s *Scheduler) runOnPlanner(f func(p *planState)) {
	// The events of one tick bound the number of queued functions, so the queue
	// does not fill up. An error means that the scheduler is stopping.
	_ = s.changes.Put(f)
}

// requestPass requests a pass of the planner. Queued functions already lead to a
// pass, so it adds nothing to a queue that is not empty; otherwise a burst of
// submissions would fill the queue.
func (s *Scheduler) requestPass() {
	if s.changes.Len() == 0 {
		s.runOnPlanner(func(*planState) {})
	}
}

// planLoop is the plan stage: it runs the queued functions in order, then makes one
// pass over the waiting jobs.
func (s *Scheduler) planLoop() {
	p := &planState{planner: s.cfg.Planner, exclusions: make(map[id.Worker]int), revision: s.cfg.Records.Revision}
	for {
		changes, ok := s.changes.TakeBatch(s.ctx, maxBatch)
		if !ok {
			return
		}
		for _, f := range changes {
			f(p)
		}
		if s.recovery.done() && !s.isFenced() && s.cfg.Term.Check() == nil {
			_, _ = s.stages.plan.Process(s.ctx, p) // the stage returns no errors
		}
	}
}

// runPass records changes of the workers and plans all waiting jobs, oldest first.
func (s *Scheduler) runPass(p *planState) {
	var waiting []job.Job
	now := p.nextTime(s.cfg.Clock.Now())
	for _, e := range values(s.waiting) {
		if j, ok := e.plannable(now); ok {
			waiting = append(waiting, j)
		}
	}
	slices.SortFunc(waiting, func(a, b job.Job) int {
		if c := a.Submitted.Compare(b.Submitted); c != 0 {
			return c
		}
		return slices.Compare([]byte(a.ID), []byte(b.ID))
	})
	var cancelled []decision.Record
	for _, r := range s.cfg.Planner.Plan(now, waiting) {
		if r.Job == "" {
			s.addToPass(p, s.numberRecord(p, r), nil)
		} else if e, ok := s.jobs.Get(r.Job); !ok || !s.applyDecision(p, e, r) {
			if len(r.Victims) > 0 {
				break // the later decisions assume that the victims end
			}
			r.Attempt++
			s.addToPass(p, s.numberRecord(p, r), nil)
			cancelled = append(cancelled, r)
		}
	}
	s.journalPass(p, cancelled)
}

// journalPass queues the records of a pass as one write, so that no later owner
// finds only some of them: a start may depend on a reservation that is recorded
// after it. It then records the end of the placements of jobs that were cancelled
// during the pass. These placements are recorded too, because the other decisions
// of the pass assume them.
func (s *Scheduler) journalPass(p *planState, cancelled []decision.Record) {
	if len(p.passWrites) > 0 {
		_ = s.writes.Put(write{group: p.passWrites}) // an error means that the scheduler is stopping
		p.passWrites = nil
	}
	for _, r := range cancelled {
		s.journalRecord(s.numberRecord(p, decision.Record{Revision: r.Revision, At: p.nextTime(s.cfg.Clock.Now()), Job: r.Job, Attempt: r.Attempt,
			Spec: r.Spec, Submitted: r.Submitted, Rule: decision.RuleStop, Reason: "cancelled before it started"}))
	}
	if len(cancelled) > 0 {
		s.requestPass()
	}
}

// addToPass adds a record to the writes of the current pass.
func (s *Scheduler) addToPass(p *planState, r decision.Record, done func(err error)) {
	p.passWrites = append(p.passWrites, s.newWrite(item{Op: opDecision, ID: r.Job, Decision: &r}, done))
}

// applyDecision begins the attempt of a job that was placed, or records why the
// job waits. It returns false when the job can no longer be placed, for example
// after a cancellation. No command is sent to a worker before the decision is
// durable, so that a later owner never reuses the number of an attempt.
func (s *Scheduler) applyDecision(p *planState, e *jobEntry, r decision.Record) bool {
	placed := len(r.Members) > 0
	e.mu.Lock()
	if e.gang != nil || e.job.Phase != job.Waiting {
		e.mu.Unlock()
		return !placed
	}
	if !placed && !worthRecording(e.decisions, r) {
		e.mu.Unlock()
		return true
	}
	r = s.numberRecord(p, r)
	r.Attempt = e.job.Attempt
	e.job.Reason = r.Reason
	if placed {
		r.Attempt++
		s.beginAttempt(e, r)
		p.planner.Reserve(e.job, r.Members)
	}
	e.decisions = appendDecision(e.decisions, r)
	e.mu.Unlock()
	if placed {
		s.addToPass(p, r, func(err error) { s.reserve(e, r, err) })
	} else {
		s.addToPass(p, r, nil)
	}
	return true
}

// beginAttempt creates the gang of an attempt. The caller holds the entry's lock.
func (s *Scheduler) beginAttempt(e *jobEntry, r decision.Record) {
	s.waiting.Delete(r.Job)
	e.job.Attempt, e.job.Members, e.job.Phase = r.Attempt, r.Members, job.Reserving
	e.gang = gang.New(s.gangConfig(e.job))
	e.victimsLeft = len(r.Victims)
	e.allocationRecorded = true
	e.runningSince, e.decidedAt = time.Time{}, s.cfg.Clock.Now()
	s.active.Set(r.Job, e)
}

func (s *Scheduler) gangConfig(j job.Job) gang.Config {
	return gang.Config{Job: j.ID, Attempt: j.Attempt, Members: j.Members,
		CanCheckpoint: j.Spec.CheckpointEvery > 0, CheckpointGrace: s.recordSet.Load().Policy.CheckpointGrace}
}

// reserve is the reserve stage: it starts the reservations once the decision is
// durable and, for a preemption, the victims have ended.
func (s *Scheduler) reserve(e *jobEntry, r decision.Record, err error) {
	now := s.cfg.Clock.Now()
	if err != nil {
		// A gang without reservations ends immediately, and the job waits again.
		s.stepGang(e, r.Attempt, gang.Event{Kind: gang.Preempt, At: now, Reason: err.Error()})
		return
	}
	if len(r.Victims) == 0 {
		s.stepGang(e, r.Attempt, gang.Event{Kind: gang.Begin, At: now})
		return
	}
	for _, v := range r.Victims {
		s.preempt(preemptor{e, r.Attempt}, v.Job)
	}
}

// preemptor is an attempt that waits for the end of the gangs that it preempts.
type preemptor struct {
	entry   *jobEntry
	attempt int
}

// preempt stops a victim and registers p to be notified of its end.
func (s *Scheduler) preempt(p preemptor, name id.Job) {
	v, ok := s.jobs.Get(name)
	if !ok {
		s.victimEnded(p)
		return
	}
	v.mu.Lock()
	attempt, active := v.job.Attempt, v.gang != nil
	if active {
		v.preemptors = append(v.preemptors, p)
		s.victims.Set(name, v)
	}
	v.mu.Unlock()
	if !active {
		s.victimEnded(p)
		return
	}
	s.stepGang(v, attempt, gang.Event{Kind: gang.Preempt, At: s.cfg.Clock.Now(), Reason: "preempted by a claim"})
}

// victimEnded records the end of one victim, and starts the reservations after the
// end of the last one.
func (s *Scheduler) victimEnded(p preemptor) {
	e := p.entry
	e.mu.Lock()
	ready := false
	if e.job.Attempt == p.attempt {
		e.victimsLeft--
		if ready = e.victimsLeft == 0; ready {
			s.observeReclaim(e)
		}
	}
	e.mu.Unlock()
	if ready {
		s.stepGang(e, p.attempt, gang.Event{Kind: gang.Begin, At: s.cfg.Clock.Now()})
	}
}

// replanPreemptors ends the attempts that wait for a victim which ignores its
// stop, so that their jobs are planned again. The victim's workers stay excluded
// from placement until its leases have ended.
func (s *Scheduler) replanPreemptors(preemptors []preemptor) {
	for _, p := range preemptors {
		s.stepGang(p.entry, p.attempt, gang.Event{Kind: gang.Preempt, At: s.cfg.Clock.Now(),
			Reason: "a preempted gang ignored its stop"})
	}
}
