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

// taskCommand is one command for one task. Without a task it asks the worker for a
// sign of life.
type taskCommand struct {
	kind worker.Kind
	task worker.Task
}

// link sends all commands to one worker, one call at a time and one call for
// all tasks of a kind.
type link struct {
	worker id.Worker
	queue  *pipe.Queue[taskCommand]
	ctx    context.Context // ends with the link
	cancel context.CancelFunc

	mu           sync.Mutex
	lastAnswered time.Time // when the last answered call was sent
	lost         bool
}

func (s *Scheduler) newLink(w id.Worker) *link {
	l := &link{worker: w, queue: pipe.NewQueue[taskCommand](commandQueueSize), lastAnswered: s.cfg.Clock.Now()}
	l.ctx, l.cancel = context.WithCancel(s.ctx)
	_ = l.queue.Put(taskCommand{kind: worker.List}) // the new queue is empty
	s.loops.Go(func() { s.sendLoop(l) })
	return l
}

// sendOrder is the order in which one batch is sent. A stop comes first: a
// command of the same batch that it overtakes is refused by the worker.
var sendOrder = []worker.Kind{worker.Stop, worker.List, worker.Renew, worker.Start, worker.Reserve,
	worker.Checkpoint, worker.Throttle}

// removeUndeclaredLinks ends the links to workers that are not declared any more, once no
// gang has a member there.
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

// closeLink ends a link. The loss of its worker is no reason any more to keep the
// worker out, should it be declared again.
func (s *Scheduler) closeLink(l *link) {
	l.cancel()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lost {
		l.lost = false
		s.runOnPlanner(func(p *planState) { p.removeExclusion(l.worker) })
	}
}

// sendLoop sends what waits, until the scheduler stops.
func (s *Scheduler) sendLoop(l *link) {
	for {
		batch, ok := l.queue.TakeAll(l.ctx, commandQueueSize)
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

// groupByKind sorts a batch by kind. Of several commands for a task the last counts.
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

// callWorker makes one call and passes the reports on.
func (s *Scheduler) callWorker(l *link, kind worker.Kind, tasks []worker.Task) {
	check := s.cfg.Term.CheckContinue
	if kind.Creates() {
		check = s.cfg.Term.Check
	}
	if s.isFenced() || check() != nil {
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

// recordAnswer notes a sign of life.
func (s *Scheduler) recordAnswer(l *link, sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastAnswered = sent
	if l.lost {
		l.lost = false
		s.runOnPlanner(func(p *planState) { p.removeExclusion(l.worker) })
	}
}

// checkLink asks a worker for a sign of life, and finds out that it is lost.
func (s *Scheduler) checkLink(l *link, now time.Time) {
	_ = l.queue.Put(taskCommand{kind: worker.Renew}) // the next tick repeats
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

// enqueueReport gives a report to the watch stage. Reports of one job keep their
// order. One that finds the queue full comes again with a later answer.
func (s *Scheduler) enqueueReport(r report) {
	h := fnv.New32a()
	h.Write([]byte(r.Job))
	_ = s.reports[h.Sum32()%reportQueueCount].Put(r)
}
