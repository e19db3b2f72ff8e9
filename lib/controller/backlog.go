package controller

import (
	"bronzewinch.dev/lib/planner"
)

// admit decides whether a submitted job is valid and has room beside the accepted ones. If
// not, it returns the reply. A job of which an earlier submission waits for a cycle may have
// been accepted, so its repetition is not refused.
func (s *session) admit(e *callEvent, undecided bool) (Reply, bool) {
	if err := e.Job.Validate(); err != nil {
		return Reply{Outcome: Malformed, Detail: err.Error()}, false
	}
	e.Job.CompactDependencies()
	if s.backlog == nil {
		return Reply{}, true
	}
	size := planner.JobMemory(e.Job)
	switch {
	case s.backlog.Admit(e.account, size):
	case undecided:
		s.backlog.Restore(e.account, size) // until the planner finds that the job is known
	default:
		s.controller.metrics.refusedJobs.Inc()
		return Reply{Outcome: Refused, RetryAfter: backlogRetryAfter,
			Detail: "accepted jobs take the memory of the scheduler; retry when some have ended, or submit smaller jobs"}, false
	}
	e.admitted = size
	return Reply{}, true
}

// withdraw ends the count of a submission that has not become a job.
func (s *session) withdraw(e *callEvent) {
	if e.admitted > 0 {
		s.backlog.Release(e.account, e.admitted)
		e.admitted = 0
	}
}

// releaseFreed ends the count of what jobs no longer take.
func (s *session) releaseFreed(freed []planner.Freed) {
	if s.backlog == nil {
		return
	}
	for _, f := range freed {
		s.backlog.Release(f.Account, f.Bytes)
	}
}

// heldByJobs returns the bytes that accepted jobs take.
func (s *session) heldByJobs() int64 {
	if s.backlog == nil {
		return 0
	}
	return int64(s.backlog.Held())
}
