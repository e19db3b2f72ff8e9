package planner

import (
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/task"
)

// lateStart is a start that a worker may still carry out although the planner may have given
// up its run. The worker's present incarnation rejects it by its fence. One that restarts
// under the same id has seen no fence, so the owner polls the worker meanwhile.
type lateStart struct {
	until  time.Time  // after this the start can no longer be carried out
	stored bool       // the next owner finds a record of it
	fence  task.Fence // highest fence in the record
}

// RecordUnansweredStart records that a start was sent with a fence and no answer has
// arrived. The record is stored no later than the end of its run, so that the next owner
// knows it too.
func (p *Planner) RecordUnansweredStart(now time.Time, o Order, fence task.Fence) {
	if w, ok := p.workers[o.Worker]; ok {
		p.recordLateStart(w, o.Task, o.Run, fence, now.Add(MaxCallDelay))
	}
}

// recordLateStart records that a worker may carry out the start of a run until a time. The
// fence is zero if it is not known.
func (p *Planner) recordLateStart(w *worker, name task.Name, run task.RunNumber, fence task.Fence, until time.Time) {
	l := p.expectLateStart(w.ID, until)
	if l.stored && fence <= l.fence {
		return
	}
	l.stored, l.fence = true, max(l.fence, fence)
	p.newLateStarts = append(p.newLateStarts, task.LateStart{Worker: w.ID, Address: w.Address, Incarnation: w.Incarnation,
		Zone: w.Zone, Rack: w.Rack, Fence: l.fence})
	p.logDecision(Decision{Event: "lateStart", Job: name.Job, Task: name, Run: run, Worker: w.ID,
		Reason: "the start was not answered; the worker may still carry it out", Fields: []any{"incarnation", w.Incarnation}})
}

// expectLateStart extends the time until which a worker may carry out a start late. It does
// not store it.
func (p *Planner) expectLateStart(name id.Worker, until time.Time) *lateStart {
	l := p.lateStarts[name]
	if l == nil {
		l = &lateStart{}
		p.lateStarts[name] = l
	}
	if until.After(l.until) {
		l.until = until
	}
	return l
}

// RestoreLateStart adds the record of an earlier owner. Its age is not known, as the clocks
// of two nodes can't be compared.
func (p *Planner) RestoreLateStart(now time.Time, stored task.LateStart) {
	p.lateStarts[stored.Worker] = &lateStart{until: now.Add(MaxCallDelay), stored: true, fence: stored.Fence}
	p.logDecision(Decision{Event: "lateStart", Worker: stored.Worker, Reason: "an earlier owner had no answer to a start",
		Fields: []any{"incarnation", stored.Incarnation}})
}

// LateStartUntil returns the time until which a worker may carry out a start late, or the
// zero time.
func (p *Planner) LateStartUntil(name id.Worker) time.Time {
	if l := p.lateStarts[name]; l != nil {
		return l.until
	}
	return time.Time{}
}

// removeLateStarts removes the records of starts that can no longer be carried out.
func (p *Planner) removeLateStarts(now time.Time) {
	for name, l := range p.lateStarts {
		if !now.After(l.until) {
			continue
		}
		delete(p.lateStarts, name)
		if l.stored {
			p.removedLateStarts = append(p.removedLateStarts, name)
		}
	}
}
