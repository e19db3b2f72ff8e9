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

// order is one command for one task. Without a task it asks the worker for a
// sign of life.
type order struct {
	kind worker.Kind
	task worker.Task
}

// link sends all commands to one worker, one call at a time and one call for
// all tasks of a kind.
type link struct {
	worker id.Worker
	queue  *pipe.Queue[order]
	ctx    context.Context // ends with the link
	end    context.CancelFunc

	mu    sync.Mutex
	heard time.Time // when the last answered call was sent
	lost  bool
}

func (s *Scheduler) newLink(w id.Worker) *link {
	l := &link{worker: w, queue: pipe.NewQueue[order](commandQueue), heard: s.cfg.Clock.Now()}
	l.ctx, l.end = context.WithCancel(s.ctx)
	_ = l.queue.Put(order{kind: worker.List}) // the new queue is empty
	s.deciders.Go(func() { s.drive(l) })
	return l
}

// sequence is the order in which one batch is sent. A stop comes first: a
// command of the same batch that it overtakes is refused by the worker.
var sequence = []worker.Kind{worker.Stop, worker.List, worker.Renew, worker.Start, worker.Reserve,
	worker.Checkpoint, worker.Throttle}

// dropLinks ends the links to workers that are not declared any more, once no
// gang has a member there.
func (s *Scheduler) dropLinks() {
	s.linksMu.Lock()
	defer s.linksMu.Unlock()
	gone := make(map[id.Worker]bool)
	s.links.Range(func(w id.Worker, _ *link) bool {
		gone[w] = true
		return true
	})
	for _, w := range s.records.Load().Zones[s.cfg.Zone].Workers {
		delete(gone, w.Name)
	}
	if len(gone) == 0 || !s.opening.done() {
		return
	}
	for _, e := range collect(s.active) {
		for _, m := range e.snapshot().Members {
			delete(gone, m.Worker)
		}
	}
	for w := range gone {
		if l, ok := s.links.Get(w); ok {
			s.links.Delete(w)
			s.endLink(l)
		}
	}
}

// endLink ends a link. The loss of its worker is no reason any more to keep the
// worker out, should it be declared again.
func (s *Scheduler) endLink(l *link) {
	l.end()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lost {
		l.lost = false
		s.toPlanner(func(p *planState) { p.giveBack(l.worker) })
	}
}

// drive sends what waits, until the scheduler stops.
func (s *Scheduler) drive(l *link) {
	for {
		batch, ok := l.queue.TakeAll(l.ctx, commandQueue)
		if !ok {
			return
		}
		tasks, asked := group(batch)
		for _, kind := range sequence {
			if asked[kind] {
				s.call(l, kind, tasks[kind])
			}
		}
	}
}

// group sorts a batch by kind. Of several commands for a task the last counts.
func group(batch []order) (map[worker.Kind][]worker.Task, map[worker.Kind]bool) {
	tasks, asked := make(map[worker.Kind][]worker.Task), make(map[worker.Kind]bool)
	at := make(map[order]int)
	for _, o := range batch {
		asked[o.kind] = true
		if o.task.Job == "" {
			continue
		}
		key := order{o.kind, worker.Task{Ref: o.task.Ref}}
		if i, ok := at[key]; ok {
			tasks[o.kind][i] = o.task
			continue
		}
		at[key] = len(tasks[o.kind])
		tasks[o.kind] = append(tasks[o.kind], o.task)
	}
	return tasks, asked
}

// call makes one call and passes the reports on.
func (s *Scheduler) call(l *link, kind worker.Kind, tasks []worker.Task) {
	check := s.cfg.Term.CheckContinue
	if kind.Creates() {
		check = s.cfg.Term.Check
	}
	if s.isFenced() || check() != nil {
		return
	}
	sent := s.cfg.Clock.Now()
	reports, err := s.stages.call[kind].Process(s.ctx, callTo{l.worker, worker.Command{
		Kind: kind, Shard: s.cfg.Shard, Epoch: s.cfg.Term.Epoch(), Tasks: tasks}})
	if problem.Is(err, problem.Fenced) {
		s.fence()
	}
	if err != nil {
		return
	}
	full := kind == worker.List || kind == worker.Renew
	if full && s.opening.answered(l.worker, sent, reports) {
		s.takeOver()
	}
	s.answered(l, sent)
	for _, r := range reports {
		s.passOn(report{worker: l.worker, sent: sent, full: full, Report: r})
	}
}

// answered notes a sign of life.
func (s *Scheduler) answered(l *link, sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard = sent
	if l.lost {
		l.lost = false
		s.toPlanner(func(p *planState) { p.giveBack(l.worker) })
	}
}

// tickLink asks a worker for a sign of life, and finds out that it is lost.
func (s *Scheduler) tickLink(l *link, now time.Time) {
	_ = l.queue.Put(order{kind: worker.Renew}) // the next tick repeats
	l.mu.Lock()
	silent := now.Sub(l.heard) > WorkerTimeout
	if silent && !l.lost {
		l.lost = true
		s.toPlanner(func(p *planState) { p.take(l.worker) })
	}
	l.mu.Unlock()
	if !silent {
		return
	}
	for _, e := range collect(s.active) {
		j := e.snapshot()
		for _, m := range j.Members {
			if m.Worker == l.worker {
				s.step(e, j.Attempt, gang.Event{Kind: gang.MemberLost, Worker: l.worker, At: now,
					Reason: "worker " + string(l.worker) + " is silent"})
			}
		}
	}
}

// passOn gives a report to the watch stage. Reports of one job keep their
// order. One that finds the queue full comes again with a later answer.
func (s *Scheduler) passOn(r report) {
	h := fnv.New32a()
	h.Write([]byte(r.Job))
	_ = s.reports[h.Sum32()%lanes].Put(r)
}
