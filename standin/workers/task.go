package workers

import (
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/unit"
	"bronzewinch.dev/lib/worker"
)

// Interval is one run of a task on a worker.
type Interval struct {
	Worker id.Worker
	worker.Ref
	From, To time.Time
	// End is the reason why the run ended: done, failed, stopped, lease (expired) or
	// killed. It is empty while the task is running.
	End string
}

// Reservation is a reservation that a worker accepted at the time From.
type Reservation struct {
	Worker id.Worker
	worker.Ref
	From time.Time
}

type task struct {
	worker.Ref
	shard          id.Shard
	state          worker.State
	resources      unit.Resources
	leaseExpiry    time.Time
	startedAt      time.Time
	endsAt         time.Time
	willFail       bool      // the run ends as failed
	checkpointedAt time.Time // when the requested checkpoint is complete; zero if none was requested
	throttledAt    time.Time
}

// usesResources reports whether the task occupies resources of the worker.
func (t *task) usesResources() bool { return t.state == worker.Reserved || t.state == worker.Running }

// advance applies the events up to now that no command causes: ends of runs and
// expiries of leases.
func (w *standInWorker) advance(now time.Time) {
	for ref, t := range w.tasks {
		switch {
		case !t.usesResources():
		case t.state == worker.Running && !t.endsAt.After(now) && !t.endsAt.After(t.leaseExpiry):
			end := worker.Done
			if t.willFail {
				end = worker.Failed
			}
			w.recordRun(t, t.endsAt, string(end))
			t.state = end
		case !t.leaseExpiry.After(now):
			w.recordRun(t, t.leaseExpiry, "lease")
			delete(w.tasks, ref)
		}
	}
}

// recordRun records the interval of a run that ends, if the task was running.
func (w *standInWorker) recordRun(t *task, at time.Time, reason string) {
	if t.state == worker.Running {
		w.finished = append(w.finished, Interval{Worker: w.name, Ref: t.Ref, From: t.startedAt, To: at, End: reason})
	}
}

func (w *standInWorker) intervals(now time.Time) []Interval {
	w.advance(now)
	out := w.finished[:len(w.finished):len(w.finished)]
	for _, t := range w.tasks {
		if t.state == worker.Running {
			out = append(out, Interval{Worker: w.name, Ref: t.Ref, From: t.startedAt, To: now})
		}
	}
	return out
}

// apply checks the epoch and the boot number of a command and applies it.
func (w *standInWorker) apply(now time.Time, c worker.Command) (worker.Response, error) {
	w.advance(now)
	if c.Epoch < w.epochs[c.Shard] {
		return worker.Response{}, problem.New(problem.Fenced, problem.Detail{
			Field: "epoch", Value: string(c.Shard), Remedy: "stop sending commands; a later owner has taken over the shard"})
	}
	w.epochs[c.Shard] = c.Epoch
	if c.Boot != 0 && c.Boot != w.boot {
		return worker.Response{}, problem.New(problem.Conflict, problem.Detail{
			Field: "boot", Remedy: "the worker has restarted; list its tasks"})
	}
	response := worker.Response{Boot: w.boot, Clock: now.Sub(w.bootedAt)}
	for _, t := range c.Tasks {
		if r := w.applyToTask(now, c, t); c.Kind != worker.Renew || r.State == worker.Absent {
			response.Tasks = append(response.Tasks, r)
		}
	}
	if c.Kind == worker.Renew || c.Kind == worker.List {
		response.Tasks = append(response.Tasks, w.shardReports(now, c.Shard)...)
	}
	return response, nil
}

// applyToTask applies a command to one of its tasks and returns the task's report.
func (w *standInWorker) applyToTask(now time.Time, c worker.Command, in worker.Task) worker.Report {
	if c.Kind == worker.Reserve {
		return w.reserve(now, c.Shard, in)
	}
	t, ok := w.tasks[in.Ref]
	if c.Kind == worker.Stop {
		return w.stop(now, in.Ref, t)
	}
	if !ok {
		return worker.Report{Ref: in.Ref, State: worker.Absent, Reason: "the worker does not have the task"}
	}
	switch c.Kind {
	case worker.Start:
		w.start(now, t, in)
	case worker.Renew:
		w.extendLease(now, t, in)
	case worker.Checkpoint:
		if t.checkpointedAt.IsZero() && !w.faults.IgnoreStop {
			t.checkpointedAt = now.Add(CheckpointTime)
		}
	case worker.Throttle:
		if t.throttledAt.IsZero() {
			t.throttledAt = now
		}
	}
	w.advance(now)
	return w.report(now, t)
}

// extendLease extends the lease of a task, but to no more than MaxLease from now.
func (w *standInWorker) extendLease(now time.Time, t *task, in worker.Task) {
	until := w.bootedAt.Add(in.WorkerLeaseExpiry)
	if limit := now.Add(MaxLease); until.After(limit) {
		until = limit
	}
	if until.After(t.leaseExpiry) {
		t.leaseExpiry = until
	}
}

func (w *standInWorker) reserve(now time.Time, shard id.Shard, in worker.Task) worker.Report {
	if t, ok := w.tasks[in.Ref]; ok {
		w.extendLease(now, t, in)
		return w.report(now, t)
	}
	used, rejection := unit.Resources{}, ""
	for _, t := range w.tasks {
		if t.usesResources() {
			used = used.Plus(t.resources)
		}
	}
	t := &task{Ref: in.Ref, shard: shard, state: worker.Reserved, resources: in.Resources}
	w.extendLease(now, t, in)
	switch {
	case in.Attempt <= w.highestStopped[in.Job]:
		rejection = "the attempt was stopped"
	case !in.Resources.Fits(w.resources.Minus(used)):
		rejection = "the worker has no room"
	case !t.leaseExpiry.After(now):
		rejection = "the reservation came too late"
	default:
		w.tasks[in.Ref] = t
		w.reservations = append(w.reservations, Reservation{Worker: w.name, Ref: in.Ref, From: now})
		return w.report(now, t)
	}
	return worker.Report{Ref: in.Ref, State: worker.Rejected, Reason: rejection}
}

func (w *standInWorker) start(now time.Time, t *task, in worker.Task) {
	w.extendLease(now, t, in)
	if t.state != worker.Reserved {
		return
	}
	t.state, t.startedAt = worker.Running, now
	t.endsAt = now.Add(w.runTime(t.Ref))
	if w.faults.FailTasks {
		t.willFail, t.endsAt = true, now.Add(FailureDelay)
	}
}

func (w *standInWorker) stop(now time.Time, ref worker.Ref, t *task) worker.Report {
	if t != nil && t.state == worker.Running && w.faults.IgnoreStop {
		return w.report(now, t)
	}
	if t != nil {
		w.recordRun(t, now, "stopped")
		delete(w.tasks, ref)
	}
	w.highestStopped[ref.Job] = max(w.highestStopped[ref.Job], ref.Attempt)
	return worker.Report{Ref: ref, State: worker.Stopped}
}

func (w *standInWorker) reports(now time.Time) []worker.Report {
	var out []worker.Report
	for _, t := range w.tasks {
		out = append(out, w.report(now, t))
	}
	return out
}

func (w *standInWorker) shardReports(now time.Time, shard id.Shard) []worker.Report {
	var out []worker.Report
	for _, t := range w.tasks {
		if t.shard == shard {
			out = append(out, w.report(now, t))
		}
	}
	return out
}

func (w *standInWorker) report(now time.Time, t *task) worker.Report {
	r := worker.Report{Ref: t.Ref, State: t.state}
	if t.usesResources() {
		r.LeaseRemaining = t.leaseExpiry.Sub(now)
	}
	if t.state == worker.Running {
		r.Used = w.usage(now.Add(-UsageLag), t)
		r.Checkpointed = !t.checkpointedAt.IsZero() && !now.Before(t.checkpointedAt)
	}
	if t.state == worker.Failed {
		r.Reason = "the program ended with an error"
	}
	return r
}

// usage returns the resource usage of a task at an earlier time.
func (w *standInWorker) usage(at time.Time, t *task) unit.Resources {
	switch {
	case at.Before(t.startedAt):
		return unit.Resources{}
	case w.faults.Overuse && (t.throttledAt.IsZero() || at.Before(t.throttledAt)):
		return t.resources.Times(2)
	}
	return t.resources
}
