// Package workers is a stand-in for a fleet of workers, in one process. It
// speaks the protocol of package worker over HTTP, one listener for many
// workers, and by direct calls. It can be told to fail in the ways workers
// fail, and records what truly ran and when.
package workers

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/timer"
	"bronzewinch.dev/lib/unit"
	"bronzewinch.dev/lib/worker"
)

// Times of a stand-in worker.
const (
	// Lease is the longest lease that a worker grants, for reservations and
	// tasks.
	Lease = 10 * time.Second
	// UsageLag is the age of the usage that a worker reports.
	UsageLag = 2 * time.Second
	// CheckpointTime is how long a task takes to write a checkpoint.
	CheckpointTime = 200 * time.Millisecond
	// FailAfter is how long a task runs on a worker that fails every task.
	FailAfter = 300 * time.Millisecond
)

// Config describes a Fleet.
type Config struct {
	Clock   timer.Service
	Workers map[id.Worker]unit.Resources
	// RunTime returns how long a task runs. A nil RunTime runs for an hour.
	RunTime func(worker.Ref) time.Duration
	// OnCall, when not nil, is called for each command before it takes effect.
	OnCall func(id.Worker, worker.Command)
}

// Fleet is a set of stand-in workers. It implements worker.Transport.
type Fleet struct {
	cfg     Config
	workers map[id.Worker]*machine
}

// Faults says how a worker misbehaves.
type Faults struct {
	FailTasks   bool // each task fails FailAfter after its start
	IgnoreStop  bool // stop and checkpoint have no effect
	Overuse     bool // tasks use twice what they declared until throttled
	Unreachable bool // no command arrives
	LoseAnswers int  // how many of the next answers are lost after taking effect
}

// New returns a fleet.
func New(cfg Config) *Fleet {
	if cfg.RunTime == nil {
		cfg.RunTime = func(worker.Ref) time.Duration { return time.Hour }
	}
	f := &Fleet{cfg: cfg, workers: make(map[id.Worker]*machine, len(cfg.Workers))}
	for name, r := range cfg.Workers {
		f.workers[name] = newMachine(name, r, cfg.Clock.Now(), cfg.RunTime)
	}
	return f
}

// Names returns the names of the workers in order.
func (f *Fleet) Names() []id.Worker { return slices.Sorted(maps.Keys(f.workers)) }

// SetFaults replaces the faults of a worker.
func (f *Fleet) SetFaults(name id.Worker, faults Faults) {
	f.with(name, func(m *machine) { m.faults = faults })
}

// Kill ends all tasks of a worker at once. It answers nothing until Revive,
// and remembers nothing.
func (f *Fleet) Kill(name id.Worker) {
	f.with(name, func(m *machine) { m.kill(f.cfg.Clock.Now()) })
}

// Revive starts a killed worker again.
func (f *Fleet) Revive(name id.Worker) {
	f.with(name, func(m *machine) { m.revive(f.cfg.Clock.Now()) })
}

// Pause freezes a worker: commands wait, and its tasks run no longer than
// their leases.
func (f *Fleet) Pause(name id.Worker) { f.with(name, func(m *machine) { m.paused = true }) }

// Resume ends a pause. The commands that waited take effect in their order,
// also those that their sender has given up.
func (f *Fleet) Resume(name id.Worker) {
	f.with(name, func(m *machine) { m.resume(f.cfg.Clock.Now()) })
}

// Intervals returns what ran, on all workers, up to now. The end of a run
// that goes on is now.
func (f *Fleet) Intervals() []Interval {
	var all []Interval
	for _, name := range f.Names() {
		f.with(name, func(m *machine) { all = append(all, m.intervals(f.cfg.Clock.Now())...) })
	}
	return all
}

// Holds returns the reservations that were made, on all workers.
func (f *Fleet) Holds() []Hold {
	var all []Hold
	for _, name := range f.Names() {
		f.with(name, func(m *machine) { all = append(all, m.holds...) })
	}
	return all
}

// Tasks returns the present tasks of a worker.
func (f *Fleet) Tasks(name id.Worker) []worker.Report {
	var out []worker.Report
	f.with(name, func(m *machine) {
		m.settle(f.cfg.Clock.Now())
		out = m.reports(f.cfg.Clock.Now())
	})
	return out
}

// Call gives a command to a worker, as worker.Transport asks for.
func (f *Fleet) Call(ctx context.Context, name id.Worker, c worker.Command) (worker.Response, error) {
	m, ok := f.workers[name]
	if !ok {
		return worker.Response{}, unavailable(name)
	}
	if f.cfg.OnCall != nil {
		f.cfg.OnCall(name, c)
	}
	m.mu.Lock()
	if m.dead || m.faults.Unreachable {
		m.mu.Unlock()
		return worker.Response{}, unavailable(name)
	}
	if !m.paused {
		defer m.mu.Unlock()
		return m.answer(f.cfg.Clock.Now(), c)
	}
	late := &lateCall{command: c, result: make(chan result, 1)}
	m.late = append(m.late, late)
	m.mu.Unlock()
	select {
	case r := <-late.result:
		return r.answer, r.err
	case <-ctx.Done():
		return worker.Response{}, lost(name)
	}
}

func (f *Fleet) with(name id.Worker, do func(m *machine)) {
	if m, ok := f.workers[name]; ok {
		m.mu.Lock()
		defer m.mu.Unlock()
		do(m)
	}
}

// lateCall is a command that waits for the end of a pause.
type lateCall struct {
	command worker.Command
	result  chan result
}

type result struct {
	answer worker.Response
	err    error
}

// machine is one worker.
type machine struct {
	name      id.Worker
	resources unit.Resources
	runTime   func(worker.Ref) time.Duration

	mu       sync.Mutex
	faults   Faults
	dead     bool
	paused   bool
	late     []*lateCall
	boot     uint64
	bootAt   time.Time
	epochs   map[id.Shard]id.Epoch
	tasks    map[worker.Ref]*task
	stopped  map[id.Job]int // the highest attempt that was stopped
	finished []Interval
	holds    []Hold
}

func newMachine(name id.Worker, r unit.Resources, now time.Time, run func(worker.Ref) time.Duration) *machine {
	m := &machine{name: name, resources: r, runTime: run, bootAt: now}
	m.forget()
	return m
}

func (m *machine) forget() {
	m.boot++
	m.epochs = make(map[id.Shard]id.Epoch)
	m.tasks = make(map[worker.Ref]*task)
	m.stopped = make(map[id.Job]int)
}

func (m *machine) kill(now time.Time) {
	m.settle(now)
	for _, t := range m.tasks {
		m.end(t, now, "killed")
	}
	m.dead, m.paused, m.late = true, false, nil
	m.forget()
}

func (m *machine) revive(now time.Time) {
	if m.dead {
		m.dead, m.bootAt = false, now
	}
}

func (m *machine) resume(now time.Time) {
	m.paused = false
	for _, c := range m.late {
		a, err := m.answer(now, c.command)
		c.result <- result{a, err}
	}
	m.late = nil
}

// answer applies a command, and loses the answer when told to.
func (m *machine) answer(now time.Time, c worker.Command) (worker.Response, error) {
	a, err := m.apply(now, c)
	if m.faults.LoseAnswers > 0 {
		m.faults.LoseAnswers--
		return worker.Response{}, lost(m.name)
	}
	return a, err
}

func unavailable(name id.Worker) error {
	return problem.New(problem.Unavailable, problem.Detail{
		Field: "worker", Value: string(name), Remedy: "try again once the worker can be reached"})
}

func lost(name id.Worker) error {
	return problem.New(problem.Unknown, problem.Detail{
		Field: "worker", Value: string(name), Remedy: "list the worker's tasks; no answer came"})
}
