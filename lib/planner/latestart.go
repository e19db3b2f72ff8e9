package planner

import (
	"slices"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/task"
)

const (
	// maxLateness is the longest time after it was sent at which the platform may deliver a
	// call.
	maxLateness = 12 * time.Second
	// minAvoidedTime is the time for which a late start must be possible for a later run to be
	// stopped. A stop and a new start take about a second.
	minAvoidedTime = 1500 * time.Millisecond
)

// lateStart holds the starts that a worker may still carry out although the planner may have
// given up their runs. The worker's present incarnation rejects them by their fence. One that
// restarts under the same id has seen no fence, so the owner polls the worker meanwhile. While
// these polls are not answered, other runs of the tasks are stopped.
type lateStart struct {
	until  time.Time      // after this no start can be carried out any more
	stored bool           // the next owner finds a record of it
	record task.LateStart // what is stored, without the runs
	runs   map[task.Name]*lateRun
}

// lateRun is a run whose start is known to have had no answer, or that a worker lists without a
// record. The runs that a new owner restores are not among them, although their starts may
// have had no answer: their tasks would wait whenever workers are lost together with the owner.
type lateRun struct {
	run     task.RunNumber
	until   time.Time // when the run can no longer start, or has lost its lease if it is listed
	listed  bool      // the worker's last report lists it
	avoided bool      // a later run was stopped because of it
}

// toStore returns the record to store, with the runs in the order of their tasks.
func (l *lateStart) toStore() task.LateStart {
	record := l.record
	for name, r := range l.runs {
		record.Runs = append(record.Runs, task.LateRun{Task: name, Run: r.run})
	}
	slices.SortFunc(record.Runs, func(a, b task.LateRun) int { return a.Task.Compare(b.Task) })
	return record
}

// add adds a run, and reports whether it was not known.
func (l *lateStart) add(name task.Name, run task.RunNumber, until time.Time) bool {
	r, ok := l.runs[name]
	if !ok {
		r = &lateRun{}
		l.runs[name] = r
	}
	added := run > r.run
	r.run = max(r.run, run)
	if until.After(r.until) {
		r.until = until
	}
	return added
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
	added := fence > 0 && l.add(name, run, until.Add(maxLateness-MaxCallDelay))
	if !added && l.stored && fence <= l.record.Fence {
		return
	}
	l.stored = true
	l.record = task.LateStart{Worker: w.ID, Address: w.Address, Incarnation: w.Incarnation, Zone: w.Zone, Rack: w.Rack,
		Fence: max(l.record.Fence, fence)}
	p.dirtyLateStarts[w.ID] = struct{}{}
	p.logDecision(Decision{Event: "lateStart", Job: name.Job, Task: name, Run: run, Worker: w.ID,
		Reason: "the start was not answered; the worker may still carry it out", Fields: []any{"incarnation", w.Incarnation}})
}

// expectLateStart extends the time until which a worker may carry out a start late. It does
// not store it.
func (p *Planner) expectLateStart(name id.Worker, until time.Time) *lateStart {
	l := p.lateStarts[name]
	if l == nil {
		l = &lateStart{runs: make(map[task.Name]*lateRun)}
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
	l := p.expectLateStart(stored.Worker, now.Add(MaxCallDelay))
	for _, r := range stored.Runs {
		l.add(r.Task, r.Run, now.Add(maxLateness))
	}
	l.stored, l.record = true, stored
	l.record.Runs = nil
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

// WorkerSilent records that a worker has answered none of several polls in a row, of which the
// first was sent at since. It may have restarted, and then carries out starts that it receives
// late. Later runs of their tasks that were in progress all the while are stopped, and started
// again once the worker answers. It is called again while the worker stays silent.
func (p *Planner) WorkerSilent(now, since time.Time, name id.Worker) {
	_, known := p.silent[name]
	p.silent[name] = struct{}{}
	l := p.lateStarts[name]
	if l == nil || len(l.runs) == 0 {
		return
	}
	if w := p.workers[name]; w != nil {
		w.reported = false
	}
	if !known {
		p.logDecision(Decision{Event: "workerSilent", Worker: name, Reason: "it may carry out starts late", Fields: []any{"starts", len(l.runs)}})
	}
	for taskName, r := range l.runs {
		g := p.findGroup(taskName)
		if g != nil && now.Add(minAvoidedTime).Before(r.until) && !g.startedAt.After(since) && g.mayRunBeside(name, taskName, r.run) {
			r.avoided = true
			p.stopGroup(now, g, lateStartReason)
		}
	}
}

// lateStartReason is the reason why a task does not run.
const lateStartReason = "an earlier start of the task may be carried out"

// mayRunBeside reports whether a run of a task that a worker starts late would be beside the
// one in progress. Service tasks are not held back: the platform requires that they run
// again within seconds.
func (g *group) mayRunBeside(late id.Worker, name task.Name, run task.RunNumber) bool {
	return g.run > run && !g.step().Service &&
		slices.ContainsFunc(g.members, func(m *member) bool { return m.index == name.Index && m.worker.ID != late })
}

// AwaitsLateStart reports whether a worker may start a run late whose task has started
// elsewhere since or waits to start. Its polls must show soon when it does not answer any more.
func (p *Planner) AwaitsLateStart(name id.Worker) bool {
	l := p.lateStarts[name]
	if l == nil {
		return false
	}
	for taskName, r := range l.runs {
		if g := p.findGroup(taskName); g != nil && !g.done && !g.step().Service && (g.run > r.run || len(g.members) == 0) {
			return true
		}
	}
	return false
}

// heldGroups returns the groups that must not start: an earlier run of one of their tasks is
// listed by a worker, or a later one was stopped because of it and its worker is still silent.
func (p *Planner) heldGroups(now time.Time) map[*group]bool {
	held := make(map[*group]bool)
	for name, l := range p.lateStarts {
		_, silent := p.silent[name]
		for taskName, r := range l.runs {
			if !r.listed && !(silent && r.avoided) || !now.Before(r.until) {
				continue
			}
			if g := p.findGroup(taskName); g != nil && !g.step().Service {
				held[g] = true
			}
		}
	}
	return held
}

// noteReport records that a worker has answered. Its present incarnation carries out no start
// late any more.
func (p *Planner) noteReport(name id.Worker, truncated bool) {
	delete(p.silent, name)
	if l := p.lateStarts[name]; l != nil && !truncated { // otherwise the end of a listed run may be missing
		for _, r := range l.runs {
			r.listed = false
		}
	}
}

// noteUnrecordedRun records that a worker lists a run without a record, which has been ordered
// to stop.
func (p *Planner) noteUnrecordedRun(now time.Time, name id.Worker, a task.ActiveRun) {
	l := p.expectLateStart(name, now)
	l.add(a.Task, a.Run, p.config.LeaseExpiry(now))
	l.runs[a.Task].listed = true
}

// removeLateStarts removes the records of starts that can no longer be carried out.
func (p *Planner) removeLateStarts(now time.Time) {
	for name, l := range p.lateStarts {
		_, silent := p.silent[name]
		for taskName, r := range l.runs {
			if now.After(l.until) && (!r.listed && !(silent && r.avoided) || now.After(r.until)) {
				delete(l.runs, taskName)
			}
		}
		if !now.After(l.until) || len(l.runs) > 0 {
			continue
		}
		delete(p.lateStarts, name)
		delete(p.dirtyLateStarts, name)
		if l.stored {
			p.removedLateStarts = append(p.removedLateStarts, name)
		}
	}
	for name := range p.silent {
		if p.workers[name] == nil && p.lateStarts[name] == nil {
			delete(p.silent, name)
		}
	}
}
