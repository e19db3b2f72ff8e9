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
	// End says why the run ended: done, failed, stopped, lease, killed. It is
	// empty while the task runs.
	End string
}

// Hold is one reservation.
type Hold struct {
	Worker id.Worker
	worker.Ref
	From time.Time
}

type task struct {
	worker.Ref
	shard     id.Shard
	state     worker.State
	resources unit.Resources
	lease     time.Time
	from      time.Time // start of the run
	runsUntil time.Time
	fails     bool      // ends as failed
	savedAt   time.Time // when the checkpoint asked for is written
	throttled time.Time
}

// holds reports whether the task takes resources.
func (t *task) holds() bool { return t.state == worker.Reserved || t.state == worker.Running }

// settle applies what happened by itself up to now: ends of runs and leases.
func (m *machine) settle(now time.Time) {
	for ref, t := range m.tasks {
		switch {
		case !t.holds():
		case t.state == worker.Running && !t.runsUntil.After(now) && !t.runsUntil.After(t.lease):
			end := worker.Done
			if t.fails {
				end = worker.Failed
			}
			m.end(t, t.runsUntil, string(end))
			t.state = end
		case !t.lease.After(now):
			m.end(t, t.lease, "lease")
			delete(m.tasks, ref)
		}
	}
}

// end records the run of a task that was running.
func (m *machine) end(t *task, at time.Time, why string) {
	if t.state == worker.Running {
		m.finished = append(m.finished, Interval{Worker: m.name, Ref: t.Ref, From: t.from, To: at, End: why})
	}
}

func (m *machine) intervals(now time.Time) []Interval {
	m.settle(now)
	out := m.finished[:len(m.finished):len(m.finished)]
	for _, t := range m.tasks {
		if t.state == worker.Running {
			out = append(out, Interval{Worker: m.name, Ref: t.Ref, From: t.from, To: now})
		}
	}
	return out
}

// apply checks the epoch and the boot and applies a command.
func (m *machine) apply(now time.Time, c worker.Command) (worker.Response, error) {
	m.settle(now)
	if c.Epoch < m.epochs[c.Shard] {
		return worker.Response{}, problem.New(problem.Fenced, problem.Detail{
			Field: "epoch", Value: string(c.Shard), Remedy: "stop; a later owner has the shard"})
	}
	m.epochs[c.Shard] = c.Epoch
	if c.Boot != 0 && c.Boot != m.boot {
		return worker.Response{}, problem.New(problem.Conflict, problem.Detail{
			Field: "boot", Remedy: "list the worker's tasks; it has started again"})
	}
	a := worker.Response{Boot: m.boot, Clock: now.Sub(m.bootAt)}
	for _, t := range c.Tasks {
		if r := m.command(now, c, t); c.Kind != worker.Renew || r.State == worker.Absent {
			a.Tasks = append(a.Tasks, r)
		}
	}
	if c.Kind == worker.Renew || c.Kind == worker.List {
		a.Tasks = append(a.Tasks, m.reportsOf(now, c.Shard)...)
	}
	return a, nil
}

// command applies one part of a command to one task.
func (m *machine) command(now time.Time, c worker.Command, in worker.Task) worker.Report {
	if c.Kind == worker.Reserve {
		return m.reserve(now, c.Shard, in)
	}
	t, ok := m.tasks[in.Ref]
	if c.Kind == worker.Stop {
		return m.stop(now, in.Ref, t)
	}
	if !ok {
		return worker.Report{Ref: in.Ref, State: worker.Absent, Reason: "the worker does not have the task"}
	}
	switch c.Kind {
	case worker.Start:
		m.start(now, t, in)
	case worker.Renew:
		m.grant(now, t, in)
	case worker.Checkpoint:
		if t.savedAt.IsZero() && !m.faults.IgnoreStop {
			t.savedAt = now.Add(CheckpointTime)
		}
	case worker.Throttle:
		if t.throttled.IsZero() {
			t.throttled = now
		}
	}
	m.settle(now)
	return m.report(now, t)
}

// grant prolongs the lease of a task, never past Lease from now.
func (m *machine) grant(now time.Time, t *task, in worker.Task) {
	until := m.bootAt.Add(in.WorkerLeaseExpiry)
	if limit := now.Add(Lease); until.After(limit) {
		until = limit
	}
	if until.After(t.lease) {
		t.lease = until
	}
}

func (m *machine) reserve(now time.Time, shard id.Shard, in worker.Task) worker.Report {
	if t, ok := m.tasks[in.Ref]; ok {
		m.grant(now, t, in)
		return m.report(now, t)
	}
	used, reason := unit.Resources{}, ""
	for _, t := range m.tasks {
		if t.holds() {
			used = used.Plus(t.resources)
		}
	}
	t := &task{Ref: in.Ref, shard: shard, state: worker.Reserved, resources: in.Resources}
	m.grant(now, t, in)
	switch {
	case in.Attempt <= m.stopped[in.Job]:
		reason = "the attempt was stopped"
	case !in.Resources.Fits(m.resources.Minus(used)):
		reason = "the worker has no room"
	case !t.lease.After(now):
		reason = "the reservation came too late"
	default:
		m.tasks[in.Ref] = t
		m.holds = append(m.holds, Hold{Worker: m.name, Ref: in.Ref, From: now})
		return m.report(now, t)
	}
	return worker.Report{Ref: in.Ref, State: worker.Rejected, Reason: reason}
}

func (m *machine) start(now time.Time, t *task, in worker.Task) {
	m.grant(now, t, in)
	if t.state != worker.Reserved {
		return
	}
	t.state, t.from = worker.Running, now
	t.runsUntil = now.Add(m.runTime(t.Ref))
	if m.faults.FailTasks {
		t.fails, t.runsUntil = true, now.Add(FailAfter)
	}
}

func (m *machine) stop(now time.Time, ref worker.Ref, t *task) worker.Report {
	if t != nil && t.state == worker.Running && m.faults.IgnoreStop {
		return m.report(now, t)
	}
	if t != nil {
		m.end(t, now, "stopped")
		delete(m.tasks, ref)
	}
	m.stopped[ref.Job] = max(m.stopped[ref.Job], ref.Attempt)
	return worker.Report{Ref: ref, State: worker.Stopped}
}

func (m *machine) reports(now time.Time) []worker.Report {
	var out []worker.Report
	for _, t := range m.tasks {
		out = append(out, m.report(now, t))
	}
	return out
}

func (m *machine) reportsOf(now time.Time, shard id.Shard) []worker.Report {
	var out []worker.Report
	for _, t := range m.tasks {
		if t.shard == shard {
			out = append(out, m.report(now, t))
		}
	}
	return out
}

func (m *machine) report(now time.Time, t *task) worker.Report {
	r := worker.Report{Ref: t.Ref, State: t.state}
	if t.holds() {
		r.LeaseRemaining = t.lease.Sub(now)
	}
	if t.state == worker.Running {
		r.Used = m.usage(now.Add(-UsageLag), t)
		r.Checkpointed = !t.savedAt.IsZero() && !now.Before(t.savedAt)
	}
	if t.state == worker.Failed {
		r.Reason = "the program ended with an error"
	}
	return r
}

// usage returns the use of a task at an earlier time.
func (m *machine) usage(at time.Time, t *task) unit.Resources {
	switch {
	case at.Before(t.from):
		return unit.Resources{}
	case m.faults.Overuse && (t.throttled.IsZero() || at.Before(t.throttled)):
		return t.resources.Times(2)
	}
	return t.resources
}
