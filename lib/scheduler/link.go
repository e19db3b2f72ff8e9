package scheduler

import (
	"context"
	"hash/fnv"
	"sync"
	"time"

	"bronzewinch.dev/lib/gang"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/pipe"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/worker"
)

// taskCommand is one command for one task. A List or Renew command without a task
// only polls the worker.
type taskCommand struct {
	kind worker.Kind
	task worker.Task
}

// link sends the commands for one worker. It makes one call at a time, and
// combines the queued commands of one kind in a call.
type link struct {
	worker id.Worker
	queue  *pipe.Queue[taskCommand]
	ctx    context.Context // ends when the link is closed
	cancel context.CancelFunc

	mu           sync.Mutex
	lastAnswered time.Time // when the last call that was answered was sent
	lost         bool
}

func (s *Scheduler) newLink(w id.Worker) *link {
	l := &link{worker: w, queue: pipe.NewQueue[taskCommand](commandQueueSize), lastAnswered: s.cfg.Clock.Now()}
	l.ctx, l.cancel = context.WithCancel(s.ctx)
	_ = l.queue.Put(taskCommand{kind: worker.List}) // can't fail: the new queue is empty
	s.loops.Go(func() { s.sendLoop(l) })
	return l
}

// sendOrder is the order in which the commands of one batch are sent. Stops come
// first; the worker then rejects a command for the same task that was queued
// before the stop.
var sendOrder = []worker.Kind{worker.Stop, worker.List, worker.Renew, worker.Start, worker.Reserve,
	worker.Checkpoint, worker.Throttle}

// removeUndeclaredLinks closes the links to workers that are no longer declared
// and have no member of an active gang.
func (s *Scheduler) removeUndeclaredLinks() {
	s.linksMu.Lock()
	defer s.linksMu.Unlock()
	undeclared := make(map[id.Worker]bool)
	s.links.Range(func(w id.Worker, _ *link) bool {
		undeclared[w] = true
		return true
	})
	for _, w := range s.recordSet.Load().Zones[s.cfg.Zone].Workers {
		delete(undeclared, w.Name)
	}
	if len(undeclared) == 0 || !s.recovery.done() {
		return
	}
	for _, e := range values(s.active) {
		for _, m := range e.snapshot().Members {
			delete(undeclared, m.Worker)
		}
	}
	for w := range undeclared {
		if l, ok := s.links.Get(w); ok {
			s.links.Delete(w)
			s.closeLink(l)
		}
	}
}

// closeLink closes a link. If its worker was lost, the exclusion ends, so that the
// worker can be placed on if it is declared again.
func (s *Scheduler) closeLink(l *link) {
	l.cancel()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lost {
		l.lost = false
		s.runOnPlanner(func(p *planState) { p.removeExclusion(l.worker) })
	}
}

// sendLoop sends the queued commands until the link is closed.
func (s *Scheduler) sendLoop(l *link) {
	for {
		batch, ok := l.queue.TakeBatch(l.ctx, commandQueueSize)
		if !ok {
			return
		}
		tasks, present := groupByKind(batch)
		for _, kind := range sendOrder {
			if present[kind] {
				s.callWorker(l, kind, tasks[kind])
			}
		}
	}
}

// groupByKind groups the tasks of a batch by the kind of their command, and returns
// which kinds are present. Of several commands of one kind for a task it keeps the
// last.
func groupByKind(batch []taskCommand) (map[worker.Kind][]worker.Task, map[worker.Kind]bool) {
	tasks, present := make(map[worker.Kind][]worker.Task), make(map[worker.Kind]bool)
	index := make(map[taskCommand]int)
	for _, c := range batch {
		present[c.kind] = true
		if c.task.Job == "" {
			continue
		}
		key := taskCommand{c.kind, worker.Task{Ref: c.task.Ref}}
		if i, ok := index[key]; ok {
			tasks[c.kind][i] = c.task
			continue
		}
		index[key] = len(tasks[c.kind])
		tasks[c.kind] = append(tasks[c.kind], c.task)
	}
	return tasks, present
}

// callWorker sends one command to a worker and enqueues the reports of the answer.
func (s *Scheduler) callWorker(l *link, kind worker.Kind, tasks []worker.Task) {
	check := s.cfg.Term.CheckContinue
	if kind.Creates() {
		check = s.cfg.Term.Check
	}
	if s.isFenced() || check() != nil {
		return
	}
	if kind == worker.Reserve && s.recordSet.Load().Zones[s.cfg.Zone].Evacuated {
		s.rejectReservations(l, tasks)
		return
	}
	sent := s.cfg.Clock.Now()
	reports, err := s.stages.call[kind].Process(s.ctx, workerCall{l.worker, worker.Command{
		Kind: kind, Shard: s.cfg.Shard, Epoch: s.cfg.Term.Epoch(), Tasks: tasks}})
	if problem.Is(err, problem.Fenced) {
		s.fence()
	}
	if err != nil {
		return
	}
	full := kind == worker.List || kind == worker.Renew
	if full && s.recovery.addList(l.worker, sent, reports) {
		s.takeOver()
	}
	s.recordAnswer(l, sent)
	for _, r := range reports {
		s.enqueueReport(report{worker: l.worker, sent: sent, full: full, Report: r})
	}
}

// rejectReservations ends the attempts whose reservations have not been sent when the
// zone was evacuated, so that their jobs wait again.
func (s *Scheduler) rejectReservations(l *link, tasks []worker.Task) {
	for _, t := range tasks {
		s.enqueueReport(report{worker: l.worker, sent: s.cfg.Clock.Now(),
			Report: worker.Report{Ref: t.Ref, State: worker.Rejected, Reason: "the zone is evacuated"}})
	}
}

// recordAnswer records that a worker answered a call sent at a time, and ends the
// exclusion of a worker that was lost.
func (s *Scheduler) recordAnswer(l *link, sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastAnswered = sent
	if l.lost {
		l.lost = false
		s.runOnPlanner(func(p *planState) { p.removeExclusion(l.worker) })
	}
}

// checkLink polls a worker, and marks it as lost if it has not answered within
// WorkerTimeout.
func (s *Scheduler) checkLink(l *link, now time.Time) {
	_ = l.queue.Put(taskCommand{kind: worker.Renew}) // if the queue is full, the next tick retries
	l.mu.Lock()
	timedOut := now.Sub(l.lastAnswered) > WorkerTimeout
	if timedOut && !l.lost {
		l.lost = true
		s.runOnPlanner(func(p *planState) { p.addExclusion(l.worker) })
	}
	l.mu.Unlock()
	if !timedOut {
		return
	}
	for _, e := range values(s.active) {
		j := e.snapshot()
		for _, m := range j.Members {
			if m.Worker == l.worker {
				s.stepGang(e, j.Attempt, gang.Event{Kind: gang.MemberLost, Worker: l.worker, At: now,
					Reason: "worker " + string(l.worker) + " is silent"})
			}
		}
	}
}

// enqueueReport queues a report for the watch stage. Reports of one job go to the
// same queue and so keep their order. If the queue is full, the report is dropped;
// a later answer of the worker repeats it.
func (s *Scheduler) enqueueReport(r report) {
	h := fnv.New32a()
	h.Write([]byte(r.Job))
	_ = s.reports[h.Sum32()%reportQueueCount].Put(r)
}
