package scheduler

import (
	"time"

	"bronzewinch.dev/lib/gang"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/pipe"
	"bronzewinch.dev/lib/worker"
)

// report is a worker's report about one task.
type report struct {
	worker id.Worker
	sent   time.Time // when the call was sent
	full   bool      // the answer contained all tasks of the shard
	worker.Report
}

var eventKinds = map[worker.State]gang.EventKind{
	worker.Reserved: gang.MemberReserved, worker.Running: gang.MemberRunning, worker.Done: gang.MemberDone,
	worker.Failed: gang.MemberFailed, worker.Stopped: gang.MemberStopped, worker.Rejected: gang.MemberRejected,
	worker.Absent: gang.MemberAbsent,
}

// watchLoop is the watch stage: it turns reports into events of gangs.
func (s *Scheduler) watchLoop(q *pipe.Queue[report]) {
	for {
		batch, ok := q.TakeBatch(s.ctx, maxBatch)
		if !ok {
			return
		}
		for _, r := range batch {
			s.handleReport(r)
		}
	}
}

func (s *Scheduler) handleReport(r report) {
	e, ok := s.jobs.Get(r.Job)
	if !ok || !s.isCurrent(e, r) {
		s.stopOrphan(r)
		return
	}
	event := gang.Event{Kind: eventKinds[r.State], Worker: r.worker, At: s.cfg.Clock.Now(), Sent: r.sent, Reason: r.Reason}
	s.stepGang(e, r.Attempt, event)
	if r.Checkpointed {
		event.Kind = gang.MemberCheckpointed
		s.stepGang(e, r.Attempt, event)
	}
	if r.State == worker.Running && s.overuses(e, r) {
		event.Kind, event.Reason = gang.MemberOveruse, "a task uses more than the job declared"
		s.stepGang(e, r.Attempt, event)
	}
}

func (s *Scheduler) overuses(e *jobEntry, r report) bool {
	return !r.Used.Fits(e.snapshot().Spec.Shape.PerWorker)
}

// isCurrent reports whether a task belongs to the current attempt of its job.
func (s *Scheduler) isCurrent(e *jobEntry, r report) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return (e.gang != nil || e.needsRecovery) && e.job.Attempt == r.Attempt
}

// stopOrphan stops a task that belongs to no current attempt: a reservation that an
// earlier owner did not commit, or a task left over from an attempt that has ended.
func (s *Scheduler) stopOrphan(r report) {
	if !r.full || r.State == worker.Absent {
		return
	}
	if l, ok := s.links.Get(r.worker); ok {
		_ = l.queue.Put(taskCommand{worker.Stop, worker.Task{Ref: r.Ref}}) // if the queue is full, the next list reports the task again
	}
}
