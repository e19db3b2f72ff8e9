package scheduler

import (
	"context"
	"slices"
	"strings"

	"bronzewinch.dev/lib/decision"
	"bronzewinch.dev/lib/gang"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/problem"
)

// CancelResult is the result of a cancellation.
type CancelResult string

// The results of a cancellation.
const (
	// NotRun means that no member of the job has run or will run.
	NotRun CancelResult = "notRun"
	// Stopped means that the job may have run and is no longer running.
	Stopped CancelResult = "stopped"
	// AlreadyFinished means that the job had ended before it was cancelled.
	AlreadyFinished CancelResult = "alreadyFinished"
)

// Submit accepts a job under an id that the caller chose. Submitting the same job
// again has no further effect; the same id with another spec is a Conflict. An
// error of kind Unknown means that the job may have been accepted.
func (s *Scheduler) Submit(ctx context.Context, spec job.Spec, name id.Job) (job.Job, error) {
	return s.stages.submit.Process(ctx, submission{spec, name})
}

func (s *Scheduler) submit(ctx context.Context, spec job.Spec, name id.Job) (job.Job, error) {
	if err := id.Check("job", string(name)); err != nil {
		return job.Job{}, err
	}
	if err := spec.Validate(); err != nil {
		return job.Job{}, err
	}
	if err := s.checkServing(); err != nil {
		return job.Job{}, err
	}
	if e, ok := s.jobs.Get(name); ok {
		return checkSameSpec(e, spec)
	}
	if s.backlog != nil && !s.backlog.Fits(spec.Account, JobMemory) {
		return job.Job{}, problem.New(problem.Overloaded, problem.Detail{Field: "jobs of zone " + string(s.cfg.Zone),
			Limit: s.cfg.JobMemory.String(), Remedy: "retry when some jobs have ended; this one was not accepted"})
	}
	j := job.Job{ID: name, Spec: spec, Zone: s.cfg.Zone, Phase: job.Waiting, Submitted: s.cfg.Clock.Now()}
	if err := s.journalWait(ctx, item{Op: opSubmit, ID: name, Job: &j}, func() { s.enqueue(j) }); err != nil {
		return job.Job{}, err
	}
	e, ok := s.jobs.Get(name)
	if !ok {
		return j, nil
	}
	return checkSameSpec(e, spec)
}

func checkSameSpec(e *jobEntry, spec job.Spec) (job.Job, error) {
	j := e.snapshot()
	if j.Spec != spec {
		return job.Job{}, problem.New(problem.Conflict, problem.Detail{
			Field: "job", Value: string(j.ID), Remedy: "use another id; a job with a different spec has this one"})
	}
	return j, nil
}

// enqueue is the queue stage: it adds an accepted job to the waiting jobs and
// requests a pass of the planner.
func (s *Scheduler) enqueue(j job.Job) {
	e, added := newJobEntry(jobState{Job: j}), false
	s.jobs.Update(j.ID, func(old *jobEntry, ok bool) (*jobEntry, bool) {
		if added = !ok; added {
			return e, true
		}
		return old, true
	})
	if added {
		s.countUnfinished(j)
		s.waiting.Set(j.ID, e)
		s.requestPass()
	}
}

// countUnfinished counts what a job takes until finalize.
func (s *Scheduler) countUnfinished(j job.Job) {
	if s.backlog != nil {
		s.backlog.Restore(j.Spec.Account, JobMemory)
	}
}

// Cancel cancels a job and waits until it is certain that no member of it runs.
// Concurrent cancellations are journaled in one entry.
func (s *Scheduler) Cancel(ctx context.Context, name id.Job) (CancelResult, error) {
	return s.stages.cancel.Process(ctx, name)
}

func (s *Scheduler) cancelJob(ctx context.Context, name id.Job) (CancelResult, error) {
	if err := s.checkServing(); err != nil {
		return "", err
	}
	e, ok := s.jobs.Get(name)
	if !ok {
		return "", notFound(name)
	}
	if e.snapshot().Phase.Final() {
		return cancelResult(e), nil
	}
	if err := s.journalWait(ctx, item{Op: opCancel, ID: name}, func() { s.applyCancel(e) }); err != nil {
		return "", err
	}
	select {
	case <-e.ended:
		return cancelResult(e), nil
	case <-ctx.Done():
	case <-s.fenced:
	case <-s.ctx.Done():
	}
	return "", s.shardProblem(problem.Unknown, "the cancellation is recorded; query the job until it has ended")
}

// cancelResult returns the result of cancelling a job whose phase is final. A
// repeated cancellation has the same result as the first.
func cancelResult(e *jobEntry) CancelResult {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.job.Phase != job.Cancelled:
		return AlreadyFinished
	case e.mayHaveRun:
		return Stopped
	}
	return NotRun
}

// cancelReason is the reason recorded for a job that an account or an operator
// cancelled.
const cancelReason = "cancelled on request"

// applyCancel applies a cancellation that is durable.
func (s *Scheduler) applyCancel(e *jobEntry) {
	e.mu.Lock()
	e.cancelled = true
	attempt, hasGang := e.job.Attempt, e.gang != nil
	waits := !hasGang && !e.needsRecovery && !e.job.Phase.Final()
	if waits {
		e.job.Phase, e.job.Reason = job.Cancelled, cancelReason
		s.waiting.Delete(e.job.ID)
		s.finalize(e)
	}
	e.mu.Unlock()
	if waits {
		s.runOnPlanner(func(p *planState) { s.journalRecord(s.stopRecord(p, e, cancelReason)) })
	}
	if hasGang {
		s.stepGang(e, attempt, gang.Event{Kind: gang.Cancel, At: s.cfg.Clock.Now(), Reason: cancelReason})
	}
}

// Get returns a job. Of the finished jobs only the last MaxFinished are found.
func (s *Scheduler) Get(name id.Job) (job.Job, error) {
	e, ok := s.jobs.Get(name)
	if !ok {
		return job.Job{}, notFound(name)
	}
	return e.snapshot(), nil
}

// List returns all jobs, sorted by id.
func (s *Scheduler) List() []job.Job {
	var out []job.Job
	for _, e := range values(s.jobs) {
		out = append(out, e.snapshot())
	}
	slices.SortFunc(out, func(a, b job.Job) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return out
}

// Decisions returns up to MaxDecisions of the latest decisions about a job,
// oldest first.
func (s *Scheduler) Decisions(name id.Job) ([]decision.Record, error) {
	e, ok := s.jobs.Get(name)
	if !ok {
		return nil, notFound(name)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.decisions), nil
}

func notFound(name id.Job) error {
	return problem.New(problem.NotFound, problem.Detail{
		Field: "job", Value: string(name), Remedy: "check the id; of the finished jobs only the latest are kept"})
}
