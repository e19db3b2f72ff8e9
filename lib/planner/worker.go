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
	// suspectTime keeps new starts off a worker that left an order unanswered.
	suspectTime = 2 * time.Second
	// fullTime keeps starts off a worker that refused one for want of room,
	// until its next report.
	fullTime = 500 * time.Millisecond
	// faultsInRow is the number of failed runs of different jobs, without a
	// success between them, that bars a worker. Tasks fail by their own fault
	// one time in twenty, so two in a row are most likely the worker's.
	faultsInRow = 2
	// restopTime is the pause between orders to stop that go unanswered.
	restopTime = time.Second
	// barTime is how long a failing worker is out of placement before it is
	// tried again.
	barTime = 8 * time.Second
	// stallTime is the least time without progress after which a run is moved.
	// Workers report every two seconds.
	stallTime = 1900 * time.Millisecond
	// stallShare is the part of its expected time that a run may show no
	// progress. Progress comes in hundredths, and on slow workers or away from its
	// rack a run takes many times as long.
	stallShare = 0.2
)

type worker struct {
	task.Worker
	listed   bool // the platform's list has the worker
	members  []*member
	used     unit.Resources
	lapse    time.Time    // when the last lease granted has surely ended
	reported bool         // it has answered this owner
	barred   time.Time    // no starts before this time
	faults   []id.Job     // jobs that failed here since the last success
	cleared  bool         // its VM has its upkeep soon or now
	vm       id.VM        // set once cleared has been
	mixed    bool         // serving and filling tasks have come together
	pace     task.Percent // of the filling tasks
	paced    time.Time    // when pace last changed
	// doubts are runs that were given up with an order about them unanswered.
	// The worker may still start them once it has a lease again.
	doubts map[task.Name]doubt
}

type doubt struct {
	run     task.RunNumber
	stopped time.Time // when the last order to stop was issued
}

func (w *worker) add(m *member) {
	w.members = append(w.members, m)
	w.used = w.used.Plus(m.group.spec().Reserved())
}

func (w *worker) drop(m *member) {
	n := len(w.members)
	w.members = slices.DeleteFunc(w.members, func(other *member) bool { return other == m })
	if len(w.members) < n {
		w.used = w.used.Minus(m.group.spec().Reserved())
	}
}

func (w *worker) free() unit.Resources { return w.Capacity.Minus(w.used) }

func (w *worker) find(name task.Name, run task.RunNumber) *member {
	for _, m := range w.members {
		if m.group.run == run && m.name() == name {
			return m
		}
	}
	return nil
}

func (r *Planner) worker(name id.Worker) *worker {
	w, ok := r.workers[name]
	if !ok {
		w = &worker{Worker: task.Worker{ID: name}, pace: task.FullPace}
		r.workers[name] = w
	}
	return w
}

// UpdateWorker takes over what the platform's list says of a worker.
func (r *Planner) UpdateWorker(now time.Time, info task.Worker) {
	w := r.worker(info.ID)
	if w.Incarnation != 0 && info.Incarnation < w.Incarnation {
		return
	}
	r.reborn(now, w, info.Incarnation)
	if info.Draining && !w.Draining {
		r.note(Decision{Event: "workerDraining", Worker: w.ID})
	}
	if !w.listed || w.Capacity != info.Capacity {
		r.note(Decision{Event: "workerListed", Worker: w.ID, Fields: []any{"rack", info.Rack, "incarnation", info.Incarnation,
			"capacity", task.FormatResources(info.Capacity)}})
	}
	draining := info.Draining || w.Draining && w.Incarnation == info.Incarnation
	w.Worker, w.listed = info, true
	w.Draining = draining
	if draining {
		r.drain(now, w)
	}
}

// UnlistWorker notes that the platform's list no longer has a worker. Its runs
// count as present until its lease has run out.
func (r *Planner) UnlistWorker(now time.Time, name id.Worker) {
	w, ok := r.workers[name]
	if !ok {
		return
	}
	w.listed = false
	r.note(Decision{Event: "workerUnlisted", Worker: name})
	if len(w.members) == 0 {
		delete(r.workers, name)
	}
}

// reborn ends the runs of earlier incarnations of a worker.
func (r *Planner) reborn(now time.Time, w *worker, born task.Incarnation) {
	if w.Incarnation != 0 && w.Incarnation != born {
		w.Draining, w.faults, w.barred, w.doubts = false, nil, time.Time{}, nil
		w.cleared, w.vm = false, ""
	}
	w.Incarnation = born
	for _, m := range slices.Clone(w.members) {
		if m.incarnation != born {
			r.memberEnded(now, m, task.EndLeaseExpired, "", "the worker has started anew")
		}
	}
}

// drain moves runs that lose nothing by it off a worker that leaves: those that
// can save their progress, and those that serve until they are cancelled.
func (r *Planner) drain(now time.Time, w *worker) {
	for _, m := range slices.Clone(w.members) {
		if s := m.group.spec(); (s.Checkpoints || s.Service) && !s.Gang {
			r.stopGroup(now, m.group, "the worker leaves")
		}
	}
}

// HandleReport takes over a worker's report on its runs. The report answers a call
// that was sent at sent.
func (r *Planner) HandleReport(now, sent time.Time, rep task.Report) {
	w := r.worker(rep.Worker)
	if rep.Incarnation < w.Incarnation {
		return
	}
	r.reborn(now, w, rep.Incarnation)
	w.reported = true
	if rep.Draining && !w.Draining {
		w.Draining = true
		r.note(Decision{Event: "workerDraining", Worker: w.ID, Reason: "told by the worker", Age: rep.Remaining})
		r.drain(now, w)
	}
	asOf := rep.AsOf
	if asOf.IsZero() {
		asOf = sent
	}
	listed := make(map[task.Name]struct{}, len(rep.Active))
	for _, a := range rep.Active {
		listed[a.Task] = struct{}{}
		r.heardActive(now, asOf, w, a)
	}
	for _, e := range rep.Ends {
		r.heardEnd(now, w, e)
	}
	for _, m := range slices.Clone(w.members) {
		if _, ok := listed[m.name()]; !ok && !m.settled.IsZero() && sent.After(m.settled) {
			r.memberEnded(now, m, task.EndLeaseExpired, "", "the worker no longer lists the run")
		}
	}
	r.followTail(now, w)
}

// RecordLeaseGrant notes that a call that was sent at sent may have extended the lease
// of a worker.
func (r *Planner) RecordLeaseGrant(name id.Worker, sent time.Time) {
	w, ok := r.workers[name]
	if lapse := r.config.LeaseExpiry(sent); ok && lapse.After(w.lapse) {
		w.lapse = lapse
	}
}

// patience is how long a run may show no progress. It is at least the work that
// a new start would have to do again: when the run goes on after all, at most
// twice the time is lost that the better choice would have taken.
func (r *Planner) patience(m *member) time.Duration {
	s := m.group.spec()
	share := stallShare
	if !s.Checkpoints {
		share = max(share, float64(m.percent)/100)
	}
	return max(stallTime, time.Duration(share*float64(r.expected(m.group.job, *s))))
}

func (r *Planner) heardActive(now, asOf time.Time, w *worker, a task.ActiveRun) {
	m := w.find(a.Task, a.Run)
	if m == nil {
		r.orders = append(r.orders, Order{Kind: Stop, Worker: w.ID, Incarnation: w.Incarnation, Task: a.Task, Run: a.Run,
			Issued: now})
		r.note(Decision{Event: "stop", Job: a.Task.Job, Task: a.Task, Run: a.Run, Worker: w.ID, Reason: "no record of this run"})
		return
	}
	g := m.group
	m.running, m.tail = true, a.TailLatency
	r.begin(g.job)
	if a.Checkpoint != "" {
		g.saved = a.Checkpoint
	}
	if a.Percent > m.percent || m.advanced.IsZero() {
		m.percent, m.advanced = a.Percent, asOf
	}
	if !m.stop && asOf.Sub(m.advanced) > r.patience(m) && a.Percent < 100 && g.spec().ProgressesSteadily() {
		w.barred = now.Add(barTime)
		g.avoid = append(g.avoid, w.ID)
		r.stopGroup(now, g, "the run makes no progress")
	}
}

// begin notes that a task of a job has started.
func (r *Planner) begin(j *job) {
	if !j.begun {
		j.begun = true
		r.begun = append(r.begun, j.ID)
	}
}

func (r *Planner) heardEnd(now time.Time, w *worker, e task.EndedRun) {
	m := w.find(e.Task, e.Run)
	if m == nil {
		r.lateEnd(now, w.ID, e)
		return
	}
	r.begin(m.group.job) // the answer to the start may be lost
	switch e.Reason {
	case task.EndDone:
		w.faults = nil
	case task.EndFailed:
		r.blame(now, w, e.Task.Job)
		m.group.avoid = append(m.group.avoid, w.ID)
	}
	r.memberEnded(now, m, e.Reason, e.Checkpoint, "reported by the worker")
}

// lateEnd accepts the success of a run that was given up but not replaced.
func (r *Planner) lateEnd(now time.Time, name id.Worker, e task.EndedRun) {
	j := r.jobs[e.Task.Job]
	if j == nil || e.Reason != task.EndDone || j.state.Ended() {
		return
	}
	for _, o := range j.open {
		if o.number != e.Task.Occurrence || e.Task.Step >= len(o.steps) {
			continue
		}
		for _, g := range o.steps[e.Task.Step] {
			if e.Task.Index >= g.first && e.Task.Index < g.first+g.tasks && g.run == e.Run && g.idle() {
				r.note(Decision{Event: "ended", Job: j.ID, Task: e.Task, Run: e.Run, Worker: name, Reason: string(e.Reason) + ": reported late"})
				r.groupDone(now, g)
			}
		}
	}
}

// blame counts a failed run against its worker, once for each job.
func (r *Planner) blame(now time.Time, w *worker, name id.Job) {
	if slices.Contains(w.faults, name) {
		return
	}
	w.faults = append(w.faults, name)
	if len(w.faults) >= faultsInRow {
		w.barred = now.Add(barTime)
		w.faults = w.faults[:faultsInRow-1]
		r.note(Decision{Event: "workerBarred", Worker: w.ID, Reason: "runs of several jobs failed on it"})
	}
}

// memberEnded takes a member out of the run in progress of its group.
func (r *Planner) memberEnded(now time.Time, m *member, how task.EndReason, saved task.Checkpoint, reason string) {
	g, j := m.group, m.group.job
	m.worker.drop(m)
	if !m.worker.listed && len(m.worker.members) == 0 {
		delete(r.workers, m.worker.ID)
	}
	g.members = slices.DeleteFunc(g.members, func(other *member) bool { return other == m })
	r.touch(j)
	r.note(Decision{Event: "ended", Job: j.ID, Task: m.name(), Run: g.run, Worker: m.worker.ID,
		Reason: string(how) + ": " + reason, Age: now.Sub(g.started)})
	if saved != "" {
		g.saved = saved
	}
	if how == task.EndDone && !g.spec().Service {
		if !g.done {
			r.learn(now, g, m)
		}
		r.groupDone(now, g)
	}
	if how == task.EndFailed && !g.faulted && !g.done {
		g.faulted = true
		g.failures++
		if g.failures >= j.queue.Attempts && !g.spec().Service && !j.state.Ended() {
			r.finish(now, j, task.Failed, "a task has failed as often as its queue allows")
		}
	}
	if len(g.members) == 0 {
		g.stopping, g.faulted, g.ready = false, false, now
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
func (r *Planner) HandleOrderResult(now time.Time, o Order, a OrderResult) {
	w, ok := r.workers[o.Worker]
	if !ok {
		return
	}
	if o.Kind == Stop && a == Accepted && w.doubts[o.Task].run == o.Run {
		delete(w.doubts, o.Task)
	}
	m := w.find(o.Task, o.Run)
	if m == nil || m.incarnation != o.Incarnation {
		return
	}
	if o.Kind == Pace {
		m.paceAnswered(o, a)
		return
	}
	if o.Kind == Stop {
		if a == Accepted { // only then is a start that is carried out late refused
			m.settled = now
		}
		return
	}
	g := m.group
	switch a {
	case Accepted:
		m.running = true
		r.begin(g.job)
		if !m.stop {
			m.settled, m.advanced = now, now
		}
	case Unanswered:
		w.barred = now.Add(suspectTime)
		r.stopGroup(now, g, "a start was not answered")
	default:
		w.barred = now.Add(fullTime)
		switch {
		case a == TicketRejected:
			delete(g.occurrence.advised(g.step).tickets, w.ID)
		case a == Rejected:
			w.barred = now.Add(suspectTime)
		}
		r.memberEnded(now, m, task.EndLeaseExpired, "", "start "+string(a))
		r.stopGroup(now, g, "a member of the gang could not start")
	}
}

// Tick opens occurrences that are due, gives up runs on workers whose lease
// has surely ended, and removes jobs that ended long ago.
func (r *Planner) Tick(now time.Time) {
	for _, j := range r.active {
		r.openDue(now, j)
	}
	for _, w := range r.workers {
		if len(w.members) > 0 && now.After(w.lapse) {
			for _, m := range slices.Clone(w.members) {
				if m.settled.IsZero() {
					w.doubtful(m)
				}
				r.memberEnded(now, m, task.EndLeaseExpired, "", "the worker did not answer until its lease ended")
			}
		}
	}
	for _, w := range r.workers {
		for _, m := range w.members {
			if m.stop && m.settled.IsZero() && now.Sub(m.stopped) > restopTime {
				m.stopped = now
				r.order(now, Stop, m)
			}
		}
		r.stopDoubts(now, w)
	}
	r.tendWaves(now)
	for name, j := range r.jobs {
		if j.state.Ended() && now.Sub(j.ended) > r.config.Retention {
			delete(r.jobs, name)
			r.removed = append(r.removed, name)
		}
	}
}

// doubtful notes that a run may still be started late.
func (w *worker) doubtful(m *member) {
	if w.doubts == nil {
		w.doubts = make(map[task.Name]doubt)
	}
	w.doubts[m.name()] = doubt{run: m.group.run}
}

// stopDoubts orders runs to stop that were given up and may still be started.
func (r *Planner) stopDoubts(now time.Time, w *worker) {
	for name, d := range w.doubts {
		if now.Sub(d.stopped) > restopTime {
			w.doubts[name] = doubt{d.run, now}
			r.orders = append(r.orders, Order{Kind: Stop, Worker: w.ID, Incarnation: w.Incarnation, Task: name, Run: d.run, Issued: now})
		}
	}
}

// estimate is the moving geometric mean of the time that runs of a queue take
// against the submitters' estimates. Estimates are off by factors, so a plain
// mean would follow the few that are far too low.
type estimate struct {
	logRatio float64
	runs     int
}

// learnWeight is the least weight of the newest run in an estimate.
const learnWeight = 0.1

// time returns the expected time of a run.
func (e *estimate) time(submitted time.Duration) time.Duration {
	return time.Duration(math.Exp(e.logRatio) * float64(submitted))
}

func (r *Planner) learn(now time.Time, g *group, m *member) {
	s := g.spec()
	if s.Estimate <= 0 || s.BestEffort || g.saved != "" || !now.After(m.ordered) {
		return
	}
	e := r.runTime[g.job.Queue]
	if e == nil {
		e = &estimate{}
		r.runTime[g.job.Queue] = e
	}
	ratio := float64(now.Sub(m.ordered)) / float64(s.Estimate)
	e.runs++
	e.logRatio += max(learnWeight, 1/float64(e.runs+1)) * (math.Log(ratio) - e.logRatio)
}
