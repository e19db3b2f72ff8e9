package planner

import (
	"cmp"
	"slices"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/task"
	"bronzewinch.dev/lib/unit"
)

const (
	// unansweredBackoff is the time without starts on a worker that did not answer a
	// start, or rejected one for another reason than its capacity or the ticket.
	unansweredBackoff = 2 * time.Second
	// noCapacityBackoff is the time without starts on a worker that rejected one for lack
	// of capacity, so that its next report can show what it runs.
	noCapacityBackoff = 500 * time.Millisecond
	// failuresToBar is the number of failed runs of different jobs, without a success
	// between them, after which a worker is barred. One run in twenty fails by a fault
	// of its task, so two failures in a row most likely have their cause in the worker.
	failuresToBar = 2
	// MaxCallDelay bounds how long after it was ordered a start that had no answer may be
	// carried out. The platform delays calls by up to 12 s, and an order is sent for up
	// to orderLifetime.
	MaxCallDelay = 15 * time.Second
	// stopRetryInterval is the time after which an unanswered order to stop is repeated.
	stopRetryInterval = time.Second
	// barDuration is how long a failing worker is excluded from placement before it
	// gets runs again.
	barDuration = 8 * time.Second
	// minStallTime is the least time without progress after which a run is stopped to
	// start elsewhere. Workers report every two seconds.
	minStallTime = 1900 * time.Millisecond
	// stallShare is the share of its expected run time for which a run may show no
	// progress. Progress is reported in hundredths, and a run takes many times as long
	// on a slow worker or away from its rack, so a smaller share would stop healthy
	// runs.
	stallShare = 0.2
	// unknownRunTime is the run time that counts for stalls if none is expected. A run of
	// an hour shows its first progress after 36 s.
	unknownRunTime = 3 * time.Minute
	// maxStallDoublings bounds the doublings of the time without progress, to about an
	// hour for short tasks.
	maxStallDoublings = 10
)

type worker struct {
	task.Worker
	listed      bool // the worker is on the platform's list
	members     []*member
	candidate   *candidate // in the present pass, or nil
	used        unit.Resources
	leaseExpiry time.Time // when the last granted lease has expired even on a slow clock
	// listedIncarnation is the incarnation that the list entry describes. Labels and
	// capacity of a later one are not known.
	listedIncarnation task.Incarnation
	// restoredLeaseExpiry is when the leases that earlier owners may have granted have
	// expired even on a slow clock.
	restoredLeaseExpiry time.Time
	reported            bool         // a report has arrived in this term, and since the last start that did not reach it
	reportedAt          time.Time    // when the last report arrived
	barredUntil         time.Time    // no starts before this time
	failedJobs          []id.Job     // jobs that failed here since the last success
	reservedForUpkeep   bool         // its VM is being drained or has its upkeep
	staysUntil          time.Time    // least time until which a draining worker stays, or zero if it is not known
	vm                  id.VM        // the worker's VM, known once it is drained for an upkeep
	colocated           bool         // it runs best-effort tasks beside service tasks
	pace                task.Percent // of its best-effort tasks
	paceChangedAt       time.Time    // when pace last changed
}

func (w *worker) addMember(m *member) {
	w.members = append(w.members, m)
	m.group.job.members++
	w.used = w.used.Plus(m.group.step().Reserved())
}

func (w *worker) removeMember(m *member) {
	n := len(w.members)
	w.members = slices.DeleteFunc(w.members, func(other *member) bool { return other == m })
	if len(w.members) < n {
		m.group.job.members--
		w.used = w.used.Minus(m.group.step().Reserved())
	}
}

// described reports whether the list entry describes the present incarnation of the
// worker. A report may show a new incarnation before its entry is there.
func (w *worker) described() bool { return w.listed && w.listedIncarnation == w.Incarnation }

func (w *worker) free() unit.Resources { return w.Capacity.Minus(w.used) }

func (w *worker) findMember(name task.Name, run task.RunNumber) *member {
	for _, m := range w.members {
		if m.group.run == run && m.taskName() == name {
			return m
		}
	}
	return nil
}

// ensureWorker returns the worker of a name. It adds it if it is not known.
func (p *Planner) ensureWorker(name id.Worker) *worker {
	w, ok := p.workers[name]
	if !ok {
		w = &worker{Worker: task.Worker{ID: name}, pace: task.FullPace}
		p.workers[name] = w
		i, _ := p.findWorker(name)
		p.workersByID = slices.Insert(p.workersByID, i, w)
	}
	return w
}

// removeWorker removes a worker that is no longer listed and has no runs.
func (p *Planner) removeWorker(name id.Worker) {
	delete(p.workers, name)
	if i, ok := p.findWorker(name); ok {
		p.workersByID = slices.Delete(p.workersByID, i, i+1)
	}
}

// findWorker returns the position of a worker in workersByID.
func (p *Planner) findWorker(name id.Worker) (int, bool) {
	return slices.BinarySearchFunc(p.workersByID, name, func(w *worker, name id.Worker) int { return cmp.Compare(w.ID, name) })
}

// UpdateWorker updates a worker to its entry in the platform's list. An entry of an
// earlier incarnation is ignored.
func (p *Planner) UpdateWorker(now time.Time, listed task.Worker) {
	w := p.ensureWorker(listed.ID)
	if w.Incarnation != 0 && listed.Incarnation < w.Incarnation {
		return
	}
	p.setIncarnation(w, listed.Incarnation)
	if !w.listed || w.Capacity != listed.Capacity {
		p.logDecision(Decision{Event: "workerListed", Worker: w.ID, Fields: []any{"rack", listed.Rack,
			"incarnation", listed.Incarnation, "capacity", task.FormatResources(listed.Capacity)}})
	}
	draining := w.Draining && w.Incarnation == listed.Incarnation
	w.Worker, w.listed, w.listedIncarnation = listed, true, listed.Incarnation
	w.Draining = draining
	if listed.Draining {
		p.setDraining(now, now, w, listed.Remaining, "")
	}
}

// UnlistWorker records that a worker is no longer on the platform's list. Its runs
// count as present until its lease has expired.
func (p *Planner) UnlistWorker(now time.Time, name id.Worker) {
	w, ok := p.workers[name]
	if !ok {
		return
	}
	w.listed = false
	p.logDecision(Decision{Event: "workerUnlisted", Worker: name})
	if len(w.members) == 0 {
		p.removeWorker(name)
	}
}

// setIncarnation sets the incarnation of a worker. Runs of an earlier incarnation count
// as present until the first report of the new one: it may carry out starts that were
// sent to the earlier one.
func (p *Planner) setIncarnation(w *worker, incarnation task.Incarnation) {
	if w.Incarnation != 0 && w.Incarnation != incarnation {
		p.logDecision(Decision{Event: "workerRestarted", Worker: w.ID, Fields: []any{"incarnation", incarnation,
			"previousIncarnation", w.Incarnation, "runs", len(w.members)}})
		w.Draining, w.staysUntil, w.failedJobs, w.barredUntil = false, time.Time{}, nil, time.Time{}
		w.reservedForUpkeep, w.vm, w.reported = false, "", false
	}
	w.Incarnation = incarnation
}

// adopt moves the record of a run to the present incarnation of its worker, which has
// carried out a start that was sent to an earlier one.
func (p *Planner) adopt(now time.Time, m *member) {
	m.incarnation, m.confirmedAt = m.worker.Incarnation, now
	m.percent, m.progressedAt, m.pace = 0, time.Time{}, unknownPace
	p.markDirty(m.group.job)
	p.logDecision(Decision{Event: "adopted", Job: m.group.job.ID, Task: m.taskName(), Run: m.group.run, Worker: m.worker.ID,
		Age: now.Sub(m.orderedAt), Fields: []any{"incarnation", m.incarnation}})
	if m.stopRequested {
		m.stopSentAt, m.confirmedAt = now, time.Time{}
		p.enqueueOrder(now, Stop, m)
	}
}

// HandleReport updates the runs of a worker to its report, which answers a call that
// was sent at sent. A report of an earlier incarnation is ignored. Runs of an earlier
// incarnation that the report does not list have ended, so the caller must request the
// first report of an incarnation with a fence that rules out calls to earlier ones.
func (p *Planner) HandleReport(now, sent time.Time, report task.Report) {
	w := p.ensureWorker(report.Worker)
	if report.Incarnation < w.Incarnation {
		return
	}
	p.setIncarnation(w, report.Incarnation)
	w.reported, w.reportedAt = true, now
	p.noteReport(w.ID, report.Truncated)
	// From the first answer on, the worker accepts no extension by an earlier owner.
	if expiry := p.config.LeaseExpiry(now); w.restoredLeaseExpiry.After(expiry) {
		w.restoredLeaseExpiry = expiry
	}
	asOf := report.AsOf
	if asOf.IsZero() {
		asOf = sent
	}
	if report.Draining {
		p.setDraining(now, asOf, w, report.Remaining, "reported by the worker")
	}
	for _, a := range report.Active {
		p.handleActiveRun(now, asOf, w, a)
	}
	for _, e := range report.Ends {
		p.handleEndedRun(now, w, e)
	}
	if !report.Truncated { // otherwise the end of any run may be missing
		p.endUnlistedRuns(now, sent, w, report.Active)
	}
	p.adjustPace(now, w)
}

// endUnlistedRuns ends the runs that a complete report, which was requested at sent,
// does not list.
func (p *Planner) endUnlistedRuns(now, sent time.Time, w *worker, active []task.ActiveRun) {
	listed := make(map[task.Name]struct{}, len(active))
	for _, a := range active {
		listed[a.Task] = struct{}{}
	}
	for _, m := range slices.Clone(w.members) {
		_, ok := listed[m.taskName()]
		switch {
		case m.incarnation != w.Incarnation:
			p.loseMember(now, m, "the worker has restarted")
		case !ok && !m.confirmedAt.IsZero() && sent.After(m.confirmedAt):
			p.loseMember(now, m, "the worker no longer lists the run")
		}
	}
}

// loseMember ends a member of which the worker has reported no end. If nothing has shown
// that the worker carried out its start, it may still do so.
func (p *Planner) loseMember(now time.Time, m *member, reason string) {
	if until := m.orderedAt.Add(MaxCallDelay); !m.running && now.Before(until) {
		p.recordLateStart(m.worker, m.taskName(), m.group.run, 0, until)
	}
	p.endMember(now, m, task.EndLost, "", reason)
}

// RecordLeaseGrant records that a call that was sent at sent may have extended the
// lease of a worker.
func (p *Planner) RecordLeaseGrant(name id.Worker, sent time.Time) {
	w, ok := p.workers[name]
	if expiry := p.config.LeaseExpiry(sent); ok && expiry.After(w.leaseExpiry) {
		w.leaseExpiry = expiry
	}
}

// stallTimeout is how long a run may show no progress before it is stopped. It is at
// least the time of the work that a new start would have to repeat, so that waiting
// costs at most twice as much as the better of waiting and starting anew. It doubles with
// each run of the group that was stopped for it: the run may be longer than expected.
func (p *Planner) stallTimeout(m *member) time.Duration {
	s := m.group.step()
	share := stallShare
	if !s.Checkpoints {
		share = max(share, float64(m.percent)/100)
	}
	expected := p.expectedRunTime(m.group.job, *s)
	if expected == 0 {
		expected = unknownRunTime
	}
	return max(minStallTime, time.Duration(share*float64(expected))) << min(m.group.stalls, maxStallDoublings)
}

// handleActiveRun records the progress of a run. It stops a run that has no record,
// and one that stalls.
func (p *Planner) handleActiveRun(now, asOf time.Time, w *worker, a task.ActiveRun) {
	m := w.findMember(a.Task, a.Run)
	if m == nil {
		p.orders = append(p.orders, Order{Kind: Stop, Worker: w.ID, Incarnation: w.Incarnation, Task: a.Task, Run: a.Run,
			Issued: now})
		p.noteUnrecordedRun(now, w.ID, a)
		recordedRun, recordedWorker := p.recordedRun(a.Task)
		p.logDecision(Decision{Event: "stop", Job: a.Task.Job, Task: a.Task, Run: a.Run, Worker: w.ID, Reason: "no record of this run",
			Fields: []any{"incarnation", w.Incarnation, "recordedRun", recordedRun, "recordedWorker", recordedWorker}})
		return
	}
	if m.incarnation != w.Incarnation {
		p.adopt(now, m)
	}
	g := m.group
	m.running, m.tailLatency = true, a.TailLatency
	p.markStarted(g.job)
	if a.Checkpoint != "" {
		g.checkpoint = a.Checkpoint
	}
	if a.Percent > 0 {
		g.complete = true
	}
	if a.Percent > m.percent || m.progressedAt.IsZero() {
		m.percent, m.progressedAt = a.Percent, asOf
	}
	if !m.stopRequested && asOf.Sub(m.progressedAt) > p.stallTimeout(m) && a.Percent < 100 && g.step().ProgressesSteadily() {
		w.barredUntil = now.Add(barDuration)
		g.failedOn = append(g.failedOn, w.ID)
		g.stalls++
		p.stopGroup(now, g, "the run makes no progress")
	}
}

// recordedRun returns the number of the last run of a task, and its worker while it is
// in progress.
func (p *Planner) recordedRun(name task.Name) (task.RunNumber, id.Worker) {
	g := p.findGroup(name)
	if g == nil {
		return 0, ""
	}
	for _, m := range g.members {
		if m.index == name.Index {
			return g.run, m.worker.ID
		}
	}
	return g.run, ""
}

// findGroup returns the group of a task, or nil if its occurrence is not open.
func (p *Planner) findGroup(name task.Name) *group {
	j := p.jobs[name.Job]
	if j == nil {
		return nil
	}
	for _, o := range j.openOccurrences {
		if o.number != name.Occurrence || name.Step >= len(o.steps) {
			continue
		}
		// A step has one group, or one for each task. It can have 10,000 tasks.
		groups, i := o.steps[name.Step], 0
		if len(groups) > 1 {
			i = name.Index
		}
		if i >= len(groups) || name.Index >= groups[i].firstIndex+groups[i].size {
			return nil
		}
		return groups[i]
	}
	return nil
}

// markStarted records that the first task of a job has started.
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
	p.markStarted(m.group.job) // the answer to the start may have been lost
	switch e.Reason {
	case task.EndDone:
		w.failedJobs = nil
	case task.EndFailed:
		if !m.group.step().Service || m.percent < 100 { // a service task may fail at any time, once it is at work
			p.countFailure(now, w, e.Task.Job)
		}
		m.group.failedOn = append(m.group.failedOn, w.ID)
	}
	m.group.noteGangEnd(now, e.Reason)
	p.endMember(now, m, e.Reason, e.Checkpoint, "reported by the worker")
}

// handleLateEnd accepts the success of a run that the planner has already ended, and counts
// its failure. A later run in progress is stopped, as the task is done. Service tasks start
// again however they end.
func (p *Planner) handleLateEnd(now time.Time, name id.Worker, e task.EndedRun) {
	g := p.findGroup(e.Task)
	if g != nil && e.Reason == task.EndFailed {
		p.countUnseenFailure(now, g, e.Run)
	}
	if g == nil || e.Reason != task.EndDone || g.step().Service || g.job.state.Ended() || e.Run > g.run || e.Run == g.run && !g.idle() {
		return
	}
	p.logDecision(Decision{Event: "ended", Job: g.job.ID, Task: e.Task, Run: e.Run, Worker: name,
		Reason: string(e.Reason) + ": reported late"})
	p.stopGroup(now, g, "an earlier run of the task has ended as done")
	p.completeGroup(now, g)
}

// countFailure counts a failed run against its worker, once for each job, and bars
// the worker after failuresToBar failures.
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

// endMember removes a member from the run in progress of its group, and completes
// the group or counts its failure according to endReason.
func (p *Planner) endMember(now time.Time, m *member, endReason task.EndReason, checkpoint task.Checkpoint, reason string) {
	g, j := m.group, m.group.job
	m.worker.removeMember(m)
	if !m.worker.listed && len(m.worker.members) == 0 {
		p.removeWorker(m.worker.ID)
	}
	g.members = slices.DeleteFunc(g.members, func(other *member) bool { return other == m })
	p.markDirty(j)
	d := Decision{Event: "ended", Job: j.ID, Task: m.taskName(), Run: g.run, Worker: m.worker.ID,
		Reason: string(endReason) + ": " + reason, Age: now.Sub(g.startedAt), Fields: []any{"incarnation", m.incarnation}}
	if endReason == task.EndDone {
		d.Expected = g.expected
	}
	p.logDecision(d)
	if checkpoint != "" {
		g.checkpoint = checkpoint
	}
	if endReason == task.EndDone && !g.step().Service {
		if !g.done {
			p.learnRunTime(now, g, m)
		}
		p.completeGroup(now, g)
	}
	if endReason == task.EndFailed && !g.failureCounted && !g.done {
		g.failureCounted = true
		p.countFailedRun(now, g)
	}
	if len(g.members) == 0 {
		g.stopping, g.failureCounted, g.readyAt = false, false, now
		g.complete, g.gangEndedAt = false, time.Time{}
	}
}

// countFailedRun counts a failed run of a group, and ends its job after the last attempt.
func (p *Planner) countFailedRun(now time.Time, g *group) {
	g.failures++
	if j := g.job; g.failures >= j.queue.Attempts && !g.step().Service && !j.state.Ended() {
		p.endJob(now, j, task.Failed, "a task has failed as often as its queue allows")
	}
}

// OrderResult is the result of an order to a worker.
type OrderResult string

// The results of an order.
const (
	// Accepted means that the worker has carried out the order, now or before.
	Accepted OrderResult = "accepted"
	// NoCapacity means that the worker lacks the free capacity for the run.
	NoCapacity OrderResult = "full"
	// Rejected means that the worker did nothing, for another reason.
	Rejected OrderResult = "refused"
	// Undelivered means that the order did not reach the worker: no connection to its
	// address was opened, or another worker answers there.
	Undelivered OrderResult = "undelivered"
	// TicketRejected means that the worker did not accept the ticket of the start.
	TicketRejected OrderResult = "noTicket"
	// NotSent means that the order was not sent.
	NotSent OrderResult = "notSent"
	// Unanswered means that no answer arrived: the order may have been carried out, or
	// may still be.
	Unanswered OrderResult = "unanswered"
)

// HandleOrderResult records the result of an order to a worker. If the order may have
// extended a lease, RecordLeaseGrant is called before.
func (p *Planner) HandleOrderResult(now time.Time, o Order, result OrderResult) {
	w, ok := p.workers[o.Worker]
	if !ok {
		return
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
		if result == Accepted { // only after this does the worker reject a delayed start
			m.confirmedAt = now
		}
		return
	}
	g := m.group
	m.startPending = false
	switch result {
	case Accepted:
		m.running = true
		p.markStarted(g.job)
		if !m.stopRequested {
			m.confirmedAt, m.progressedAt = now, now
		}
	case Unanswered:
		w.barredUntil, w.reported = now.Add(unansweredBackoff), false
		p.stopGroup(now, g, "a start was not answered")
	default:
		w.barredUntil = now.Add(noCapacityBackoff)
		switch {
		case result == TicketRejected:
			delete(g.occurrence.adviceFor(g.stepIndex).tickets, w.ID)
		case result == Rejected:
			w.barredUntil = now.Add(unansweredBackoff)
		case result == Undelivered:
			w.barredUntil, w.reported = now.Add(unansweredBackoff), false
		}
		p.endMember(now, m, task.EndLost, "", "start "+string(result))
		p.stopGroup(now, g, "a member of the gang could not start")
	}
}

// Tick opens occurrences that are due, ends the runs of workers whose lease has
// expired, repeats unanswered orders to stop, advances the waves and evacuations, and
// discards what ended jobs no longer need.
func (p *Planner) Tick(now time.Time) {
	p.runTimes.refresh(now)
	for _, j := range p.activeJobs {
		p.openDueOccurrences(now, j)
	}
	for _, w := range slices.Clone(p.workersByID) { // the end of the last run removes an unlisted worker
		if len(w.members) > 0 && p.leasesExpired(now, w) {
			for _, m := range slices.Clone(w.members) {
				if !p.mayStartLate(now, m) {
					p.loseMember(now, m, "the worker did not answer before its lease expired")
				}
			}
		}
	}
	for _, w := range p.workersByID {
		for _, m := range w.members {
			if m.stopRequested && m.confirmedAt.IsZero() && now.Sub(m.stopSentAt) > stopRetryInterval {
				m.stopSentAt = now
				p.enqueueOrder(now, Stop, m)
			}
		}
	}
	p.endBrokenGangs(now)
	p.leaveDrainingWorkers(now)
	p.removeLateStarts(now)
	p.advanceWaves(now)
	p.advanceEvacuations(now)
	p.removeOldJobs(now)
	p.trimEndedJobs()
}

// leasesExpired reports whether no call can have given the runs on a worker a lease that
// lasts until now. A start extends the leases of all runs on its worker. Until its result
// is known it may have been sent at any time up to its deadline.
func (p *Planner) leasesExpired(now time.Time, w *worker) bool {
	pending := func(m *member) bool {
		return m.startPending && !now.After(p.config.LeaseExpiry(m.orderedAt.Add(orderLifetime)))
	}
	return now.After(w.leaseExpiry) && now.After(w.restoredLeaseExpiry) && !slices.ContainsFunc(w.members, pending)
}

// mayStartLate reports whether a worker that has restarted may still carry out the start
// of a run, or still have the lease that the start granted.
func (p *Planner) mayStartLate(now time.Time, m *member) bool {
	restarted := m.worker.Incarnation != 0 && m.incarnation != m.worker.Incarnation
	return restarted && !now.After(p.config.LeaseExpiry(m.orderedAt.Add(MaxCallDelay)))
}
