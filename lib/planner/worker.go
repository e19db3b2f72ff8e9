package planner

import (
	"math"
	"slices"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/task"
	"bronzewinch.dev/lib/unit"
)

const (
	// unansweredBackoff keeps new starts off a worker that left an order unanswered.
	unansweredBackoff = 2 * time.Second
	// rejectedBackoff keeps starts off a worker that refused one for want of room,
	// until its next report.
	rejectedBackoff = 500 * time.Millisecond
	// failuresToBar is the number of failed runs of different jobs, without a
	// success between them, that bars a worker. Tasks fail by their own fault
	// one time in twenty, so two in a row are most likely the worker's.
	failuresToBar = 2
	// stopRetryInterval is the pause between orders to stop that go unanswered.
	stopRetryInterval = time.Second
	// barDuration is how long a failing worker is out of placement before it is
	// tried again.
	barDuration = 8 * time.Second
	// minStallTime is the least time without progress after which a run is moved.
	// Workers report every two seconds.
	minStallTime = 1900 * time.Millisecond
	// stallShare is the part of its expected time that a run may show no
	// progress. Progress comes in hundredths, and on slow workers or away from its
	// rack a run takes many times as long.
	stallShare = 0.2
)

type worker struct {
	task.Worker
	listed            bool // the platform's list has the worker
	members           []*member
	used              unit.Resources
	leaseExpiry       time.Time    // when the last lease granted has surely ended
	reported          bool         // it has answered this owner
	barredUntil       time.Time    // no starts before this time
	failedJobs        []id.Job     // jobs that failed here since the last success
	reservedForUpkeep bool         // its VM has its upkeep soon or now
	vm                id.VM        // set once cleared has been
	colocated         bool         // serving and filling tasks have come together
	pace              task.Percent // of the filling tasks
	paceChangedAt     time.Time    // when pace last changed
	// unconfirmedStarts are runs that were given up with an order about them unanswered.
	// The worker may still start them once it has a lease again.
	unconfirmedStarts map[task.Name]unconfirmedStart
}

type unconfirmedStart struct {
	run        task.RunNumber
	stopSentAt time.Time // when the last order to stop was issued
}

func (w *worker) addMember(m *member) {
	w.members = append(w.members, m)
	w.used = w.used.Plus(m.group.step().Reserved())
}

func (w *worker) removeMember(m *member) {
	n := len(w.members)
	w.members = slices.DeleteFunc(w.members, func(other *member) bool { return other == m })
	if len(w.members) < n {
		w.used = w.used.Minus(m.group.step().Reserved())
	}
}

func (w *worker) free() unit.Resources { return w.Capacity.Minus(w.used) }

func (w *worker) findMember(name task.Name, run task.RunNumber) *member {
	for _, m := range w.members {
		if m.group.run == run && m.taskName() == name {
			return m
		}
	}
	return nil
}

func (p *Planner) ensureWorker(name id.Worker) *worker {
	w, ok := p.workers[name]
	if !ok {
		w = &worker{Worker: task.Worker{ID: name}, pace: task.FullPace}
		p.workers[name] = w
	}
	return w
}

// UpdateWorker takes over what the platform's list says of a worker.
func (p *Planner) UpdateWorker(now time.Time, listed task.Worker) {
	w := p.ensureWorker(listed.ID)
	if w.Incarnation != 0 && listed.Incarnation < w.Incarnation {
		return
	}
	p.setIncarnation(now, w, listed.Incarnation)
	if listed.Draining && !w.Draining {
		p.logDecision(Decision{Event: "workerDraining", Worker: w.ID})
	}
	if !w.listed || w.Capacity != listed.Capacity {
		p.logDecision(Decision{Event: "workerListed", Worker: w.ID, Fields: []any{"rack", listed.Rack, "incarnation", listed.Incarnation,
			"capacity", task.FormatResources(listed.Capacity)}})
	}
	draining := listed.Draining || w.Draining && w.Incarnation == listed.Incarnation
	w.Worker, w.listed = listed, true
	w.Draining = draining
	if draining {
		p.drainWorker(now, w)
	}
}

// UnlistWorker notes that the platform's list no longer has a worker. Its runs
// count as present until its lease has run out.
func (p *Planner) UnlistWorker(now time.Time, name id.Worker) {
	w, ok := p.workers[name]
	if !ok {
		return
	}
	w.listed = false
	p.logDecision(Decision{Event: "workerUnlisted", Worker: name})
	if len(w.members) == 0 {
		delete(p.workers, name)
	}
}

// setIncarnation ends the runs of earlier incarnations of a worker.
func (p *Planner) setIncarnation(now time.Time, w *worker, incarnation task.Incarnation) {
	if w.Incarnation != 0 && w.Incarnation != incarnation {
		w.Draining, w.failedJobs, w.barredUntil, w.unconfirmedStarts = false, nil, time.Time{}, nil
		w.reservedForUpkeep, w.vm = false, ""
	}
	w.Incarnation = incarnation
	for _, m := range slices.Clone(w.members) {
		if m.incarnation != incarnation {
			p.endMember(now, m, task.EndLost, "", "the worker has started anew")
		}
	}
}

// drainWorker moves runs that lose nothing by it off a worker that leaves: those that
// can save their progress, and those that serve until they are cancelled.
func (p *Planner) drainWorker(now time.Time, w *worker) {
	for _, m := range slices.Clone(w.members) {
		if s := m.group.step(); (s.Checkpoints || s.Service) && !s.Gang {
			p.stopGroup(now, m.group, "the worker leaves")
		}
	}
}

// HandleReport takes over a worker's report on its runs. The report answers a call
// that was sent at sent.
func (p *Planner) HandleReport(now, sent time.Time, report task.Report) {
	w := p.ensureWorker(report.Worker)
	if report.Incarnation < w.Incarnation {
		return
	}
	p.setIncarnation(now, w, report.Incarnation)
	w.reported = true
	if report.Draining && !w.Draining {
		w.Draining = true
		p.logDecision(Decision{Event: "workerDraining", Worker: w.ID, Reason: "told by the worker", Age: report.Remaining})
		p.drainWorker(now, w)
	}
	asOf := report.AsOf
	if asOf.IsZero() {
		asOf = sent
	}
	listed := make(map[task.Name]struct{}, len(report.Active))
	for _, a := range report.Active {
		listed[a.Task] = struct{}{}
		p.handleActiveRun(now, asOf, w, a)
	}
	for _, e := range report.Ends {
		p.handleEndedRun(now, w, e)
	}
	for _, m := range slices.Clone(w.members) {
		if _, ok := listed[m.taskName()]; !ok && !m.confirmedAt.IsZero() && sent.After(m.confirmedAt) {
			p.endMember(now, m, task.EndLost, "", "the worker no longer lists the run")
		}
	}
	p.adjustPace(now, w)
}

// RecordLeaseGrant notes that a call that was sent at sent may have extended the lease
// of a worker.
func (p *Planner) RecordLeaseGrant(name id.Worker, sent time.Time) {
	w, ok := p.workers[name]
	if expiry := p.config.LeaseExpiry(sent); ok && expiry.After(w.leaseExpiry) {
		w.leaseExpiry = expiry
	}
}

// stallTimeout is how long a run may show no progress. It is at least the work that
// a new start would have to do again: when the run goes on after all, at most
// twice the time is lost that the better choice would have taken.
func (p *Planner) stallTimeout(m *member) time.Duration {
	s := m.group.step()
	share := stallShare
	if !s.Checkpoints {
		share = max(share, float64(m.percent)/100)
	}
	return max(minStallTime, time.Duration(share*float64(p.expectedRunTime(m.group.job, *s))))
}

func (p *Planner) handleActiveRun(now, asOf time.Time, w *worker, a task.ActiveRun) {
	m := w.findMember(a.Task, a.Run)
	if m == nil {
		p.orders = append(p.orders, Order{Kind: Stop, Worker: w.ID, Incarnation: w.Incarnation, Task: a.Task, Run: a.Run,
			Issued: now})
		p.logDecision(Decision{Event: "stop", Job: a.Task.Job, Task: a.Task, Run: a.Run, Worker: w.ID, Reason: "no record of this run"})
		return
	}
	g := m.group
	m.running, m.tailLatency = true, a.TailLatency
	p.markStarted(g.job)
	if a.Checkpoint != "" {
		g.checkpoint = a.Checkpoint
	}
	if a.Percent > m.percent || m.progressedAt.IsZero() {
		m.percent, m.progressedAt = a.Percent, asOf
	}
	if !m.stopRequested && asOf.Sub(m.progressedAt) > p.stallTimeout(m) && a.Percent < 100 && g.step().ProgressesSteadily() {
		w.barredUntil = now.Add(barDuration)
		g.failedOn = append(g.failedOn, w.ID)
		p.stopGroup(now, g, "the run makes no progress")
	}
}

// markStarted notes that a task of a job has started.
func (p *Planner) markStarted(j *job) {
	if !j.started {
		j.started = true
		p.startedJobs = append(p.startedJobs, j.ID)
	}
}

func (p *Planner) handleEndedRun(now time.Time, w *worker, e task.EndedRun) {
	m := w.findMember(e.Task, e.Run)
	if m == nil {
		p.handleLateEnd(now, w.ID, e)
		return
	}
	p.markStarted(m.group.job) // the answer to the start may be lost
	switch e.Reason {
	case task.EndDone:
		w.failedJobs = nil
	case task.EndFailed:
		p.countFailure(now, w, e.Task.Job)
		m.group.failedOn = append(m.group.failedOn, w.ID)
	}
	p.endMember(now, m, e.Reason, e.Checkpoint, "reported by the worker")
}

// handleLateEnd accepts the success of a run that was given up but not replaced.
func (p *Planner) handleLateEnd(now time.Time, name id.Worker, e task.EndedRun) {
	j := p.jobs[e.Task.Job]
	if j == nil || e.Reason != task.EndDone || j.state.Ended() {
		return
	}
	for _, o := range j.openOccurrences {
		if o.number != e.Task.Occurrence || e.Task.Step >= len(o.steps) {
			continue
		}
		for _, g := range o.steps[e.Task.Step] {
			if e.Task.Index >= g.firstIndex && e.Task.Index < g.firstIndex+g.size && g.run == e.Run && g.idle() {
				p.logDecision(Decision{Event: "ended", Job: j.ID, Task: e.Task, Run: e.Run, Worker: name, Reason: string(e.Reason) + ": reported late"})
				p.completeGroup(now, g)
			}
		}
	}
}

// countFailure counts a failed run against its worker, once for each job.
func (p *Planner) countFailure(now time.Time, w *worker, name id.Job) {
	if slices.Contains(w.failedJobs, name) {
		return
	}
	w.failedJobs = append(w.failedJobs, name)
	if len(w.failedJobs) >= failuresToBar {
		w.barredUntil = now.Add(barDuration)
		w.failedJobs = w.failedJobs[:failuresToBar-1]
		p.logDecision(Decision{Event: "workerBarred", Worker: w.ID, Reason: "runs of several jobs failed on it"})
	}
}

// endMember takes a member out of the run in progress of its group.
func (p *Planner) endMember(now time.Time, m *member, endReason task.EndReason, checkpoint task.Checkpoint, reason string) {
	g, j := m.group, m.group.job
	m.worker.removeMember(m)
	if !m.worker.listed && len(m.worker.members) == 0 {
		delete(p.workers, m.worker.ID)
	}
	g.members = slices.DeleteFunc(g.members, func(other *member) bool { return other == m })
	p.markDirty(j)
	p.logDecision(Decision{Event: "ended", Job: j.ID, Task: m.taskName(), Run: g.run, Worker: m.worker.ID,
		Reason: string(endReason) + ": " + reason, Age: now.Sub(g.startedAt)})
	if checkpoint != "" {
		g.checkpoint = checkpoint
	}
	if endReason == task.EndDone && !g.step().Service {
		if !g.done {
			p.recordRunTime(now, g, m)
		}
		p.completeGroup(now, g)
	}
	if endReason == task.EndFailed && !g.failureCounted && !g.done {
		g.failureCounted = true
		g.failures++
		if g.failures >= j.queue.Attempts && !g.step().Service && !j.state.Ended() {
			p.endJob(now, j, task.Failed, "a task has failed as often as its queue allows")
		}
	}
	if len(g.members) == 0 {
		g.stopping, g.failureCounted, g.readyAt = false, false, now
	}
}

// OrderResult is a worker's answer to an order.
type OrderResult string

// The answers to an order.
const (
	// Accepted means that the order was carried out, now or before.
	Accepted OrderResult = "accepted"
	// NoCapacity means that the worker has no room for the run.
	NoCapacity OrderResult = "full"
	// Rejected means that the worker did nothing, for another reason.
	Rejected OrderResult = "refused"
	// TicketRejected means that the worker does not take the ticket of the start.
	TicketRejected OrderResult = "noTicket"
	// NotSent means that the order was not sent.
	NotSent OrderResult = "notSent"
	// Unanswered means that the order may be carried out, now or later.
	Unanswered OrderResult = "unanswered"
)

// HandleOrderResult takes over the answer to an order.
func (p *Planner) HandleOrderResult(now time.Time, o Order, result OrderResult) {
	w, ok := p.workers[o.Worker]
	if !ok {
		return
	}
	if o.Kind == Stop && result == Accepted && w.unconfirmedStarts[o.Task].run == o.Run {
		delete(w.unconfirmedStarts, o.Task)
	}
	m := w.findMember(o.Task, o.Run)
	if m == nil || m.incarnation != o.Incarnation {
		return
	}
	if o.Kind == Pace {
		m.handlePaceResult(o, result)
		return
	}
	if o.Kind == Stop {
		if result == Accepted { // only then is a start that is carried out late refused
			m.confirmedAt = now
		}
		return
	}
	g := m.group
	switch result {
	case Accepted:
		m.running = true
		p.markStarted(g.job)
		if !m.stopRequested {
			m.confirmedAt, m.progressedAt = now, now
		}
	case Unanswered:
		w.barredUntil = now.Add(unansweredBackoff)
		p.stopGroup(now, g, "a start was not answered")
	default:
		w.barredUntil = now.Add(rejectedBackoff)
		switch {
		case result == TicketRejected:
			delete(g.occurrence.adviceFor(g.stepIndex).tickets, w.ID)
		case result == Rejected:
			w.barredUntil = now.Add(unansweredBackoff)
		}
		p.endMember(now, m, task.EndLost, "", "start "+string(result))
		p.stopGroup(now, g, "a member of the gang could not start")
	}
}

// Tick opens occurrences that are due, gives up runs on workers whose lease
// has surely ended, and removes jobs that ended long ago.
func (p *Planner) Tick(now time.Time) {
	for _, j := range p.activeJobs {
		p.openDueOccurrences(now, j)
	}
	for _, w := range p.workers {
		if len(w.members) > 0 && now.After(w.leaseExpiry) {
			for _, m := range slices.Clone(w.members) {
				if m.confirmedAt.IsZero() {
					w.addUnconfirmedStart(m)
				}
				p.endMember(now, m, task.EndLost, "", "the worker did not answer until its lease ended")
			}
		}
	}
	for _, w := range p.workers {
		for _, m := range w.members {
			if m.stopRequested && m.confirmedAt.IsZero() && now.Sub(m.stopSentAt) > stopRetryInterval {
				m.stopSentAt = now
				p.enqueueOrder(now, Stop, m)
			}
		}
		p.stopUnconfirmedStarts(now, w)
	}
	p.advanceWaves(now)
	for name, j := range p.jobs {
		if j.state.Ended() && now.Sub(j.endedAt) > p.config.Retention {
			delete(p.jobs, name)
			p.removedJobs = append(p.removedJobs, name)
		}
	}
}

// addUnconfirmedStart notes that a run may still be started late.
func (w *worker) addUnconfirmedStart(m *member) {
	if w.unconfirmedStarts == nil {
		w.unconfirmedStarts = make(map[task.Name]unconfirmedStart)
	}
	w.unconfirmedStarts[m.taskName()] = unconfirmedStart{run: m.group.run}
}

// stopUnconfirmedStarts orders runs to stop that were given up and may still be started.
func (p *Planner) stopUnconfirmedStarts(now time.Time, w *worker) {
	for name, d := range w.unconfirmedStarts {
		if now.Sub(d.stopSentAt) > stopRetryInterval {
			w.unconfirmedStarts[name] = unconfirmedStart{d.run, now}
			p.orders = append(p.orders, Order{Kind: Stop, Worker: w.ID, Incarnation: w.Incarnation, Task: name, Run: d.run, Issued: now})
		}
	}
}

// runTimeRatio is the moving geometric mean of the time that runs of a queue take
// against the submitters' estimates. Estimates are off by factors, so a plain
// mean would follow the few that are far too low.
type runTimeRatio struct {
	logRatio float64
	runs     int
}

// minSampleWeight is the least weight of the newest run in an estimate.
const minSampleWeight = 0.1

// expected returns the expected time of a run.
func (e *runTimeRatio) expected(submitted time.Duration) time.Duration {
	return time.Duration(math.Exp(e.logRatio) * float64(submitted))
}

func (p *Planner) recordRunTime(now time.Time, g *group, m *member) {
	s := g.step()
	if s.Estimate <= 0 || s.BestEffort || g.checkpoint != "" || !now.After(m.orderedAt) {
		return
	}
	e := p.runTimes[g.job.Queue]
	if e == nil {
		e = &runTimeRatio{}
		p.runTimes[g.job.Queue] = e
	}
	ratio := float64(now.Sub(m.orderedAt)) / float64(s.Estimate)
	e.runs++
	e.logRatio += max(minSampleWeight, 1/float64(e.runs+1)) * (math.Log(ratio) - e.logRatio)
}
