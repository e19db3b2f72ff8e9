package scheduler

import (
	"sync"
	"time"

	"bronzewinch.dev/lib/gang"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/worker"
)

// opening collects the workers' lists after a change of owner. Nothing is
// decided before all have answered, or have been silent for Silence.
type opening struct {
	mu       sync.Mutex
	deadline time.Time
	expected map[id.Worker]bool
	sent     time.Time // of the earliest list
	seen     map[worker.Ref]map[id.Worker]gang.Observation
	heard    map[id.Worker]bool
	taken    bool // takeOver has begun
	over     bool // takeOver has ended
}

func newOpening(now time.Time) *opening {
	return &opening{deadline: now.Add(WorkerTimeout), expected: make(map[id.Worker]bool),
		seen: make(map[worker.Ref]map[id.Worker]gang.Observation), heard: make(map[id.Worker]bool)}
}

func (o *opening) expect(w id.Worker) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.taken {
		o.expected[w] = true
	}
}

// answered takes a list, and reports whether it was the last to wait for.
func (o *opening) answered(w id.Worker, sent time.Time, reports []worker.Report) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.taken || o.heard[w] {
		return false
	}
	o.heard[w] = true
	if o.sent.IsZero() || sent.Before(o.sent) {
		o.sent = sent
	}
	for _, r := range reports {
		if o.seen[r.Ref] == nil {
			o.seen[r.Ref] = make(map[id.Worker]gang.Observation)
		}
		o.seen[r.Ref][w] = gang.Observation{State: gang.ObservedState(r.State), LeaseRemaining: r.Left}
	}
	return len(o.heard) == len(o.expected)
}

func (o *opening) overdue(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.taken && !now.Before(o.deadline)
}

func (o *opening) done() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.over
}

// begin reports whether the caller is the one to take over.
func (o *opening) begin() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	first := !o.taken
	o.taken = true
	return first
}

func (o *opening) end() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.over, o.seen = true, nil
}

// of returns what the lists say of the members of an attempt. Once the
// takeover has begun the lists do not change.
func (o *opening) of(ref worker.Ref, members []job.Member) map[id.Worker]gang.Observation {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make(map[id.Worker]gang.Observation)
	for _, m := range members {
		seen, ok := o.seen[ref][m.Worker]
		if !ok && o.heard[m.Worker] {
			seen.State = gang.ObservedAbsent
		}
		out[m.Worker] = seen
	}
	return out
}

// load fills the tables from the durable state.
func (s *Scheduler) load(durable *durableState) {
	inForce := durable.inForce()
	s.toPlanner(func(p *planState) { p.planner.RestoreRecords(inForce) })
	for name, a := range durable.Jobs {
		e := newEntry(*a)
		s.jobs.Set(name, e)
		if a.Holds && (e.job.Phase == job.Waiting || e.job.Phase.Final()) { // placed, and not committed
			s.toPlanner(func(p *planState) {
				if r := s.release(p, e, "the owner of the zone changed before the gang started"); r != nil {
					s.keep(*r)
				}
			})
		}
		switch {
		case e.job.Phase == job.Waiting:
			s.waiting.Set(name, e)
		case !e.job.Phase.Final():
			e.recover, e.commit = true, true
			j := e.job
			s.toPlanner(func(p *planState) { p.planner.Reserve(j, j.Members) })
		}
	}
	s.finished = append(s.finished, durable.Finished...)
	s.publish(durable.Records)
}

// takeOver completes or stops the gangs that earlier owners committed.
func (s *Scheduler) takeOver() {
	if !s.opening.begin() {
		return
	}
	for _, e := range collect(s.jobs) {
		s.resume(e)
	}
	s.opening.end()
	s.wakePlanner()
}

func (s *Scheduler) resume(e *entry) {
	e.mu.Lock()
	if !e.recover {
		e.mu.Unlock()
		return
	}
	e.recover = false
	var commands []gang.Command
	now := s.cfg.Clock.Now()
	e.gang, commands = gang.Recover(s.gangConfig(e.job), s.opening.sent, now, s.opening.of(e.ref(), e.job.Members))
	if e.gang.Phase() == gang.Running { // an earlier owner reported the start
		e.started, e.runFrom = true, e.job.Started
	}
	s.active.Set(e.job.ID, e)
	after := s.perform(e, commands)
	if e.cancelled {
		after = append(after, s.perform(e, e.gang.Step(gang.Event{Kind: gang.Cancel, At: now}))...)
	}
	e.mu.Unlock()
	for _, f := range after {
		f()
	}
}
