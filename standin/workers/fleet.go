// Package workers implements a stand-in for a fleet of workers in one process.
// It serves the protocol of package worker, over HTTP with one listener for many
// workers, and by direct calls. Tests inject the faults of real workers, and the
// fleet records which tasks ran and when.
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
	// MaxLease is the longest lease that a worker grants to reservations and tasks.
	MaxLease = 10 * time.Second
	// UsageLag is the age of the resource usage that a worker reports.
	UsageLag = 2 * time.Second
	// CheckpointTime is how long a task takes to write a checkpoint.
	CheckpointTime = 200 * time.Millisecond
	// FailureDelay is how long a task runs on a worker with the fault FailTasks.
	FailureDelay = 300 * time.Millisecond
)

// Config configures a Fleet.
type Config struct {
	Clock   timer.Service
	Workers map[id.Worker]unit.Resources
	// RunTime returns how long a task runs. If it is nil, tasks run for an hour.
	RunTime func(worker.Ref) time.Duration
	// OnCall, if not nil, is called with each command before it takes effect.
	OnCall func(id.Worker, worker.Command)
}

// Fleet is a set of stand-in workers. It implements worker.Transport.
type Fleet struct {
	cfg     Config
	workers map[id.Worker]*standInWorker
}

// Faults are the faults of a worker.
type Faults struct {
	FailTasks     bool // each task fails FailureDelay after its start
	IgnoreStop    bool // stop and checkpoint commands have no effect
	Overuse       bool // tasks use twice what they declared until throttled
	Unreachable   bool // commands fail without effect
	LoseResponses int  // number of next commands whose response is lost after they took effect
}

// New returns a fleet with all workers running and without faults.
func New(cfg Config) *Fleet {
	if cfg.RunTime == nil {
		cfg.RunTime = func(worker.Ref) time.Duration { return time.Hour }
	}
	f := &Fleet{cfg: cfg, workers: make(map[id.Worker]*standInWorker, len(cfg.Workers))}
	for name, r := range cfg.Workers {
		f.workers[name] = newStandInWorker(name, r, cfg.Clock.Now(), cfg.RunTime)
	}
	return f
}

// Names returns the names of the workers in sorted order.
func (f *Fleet) Names() []id.Worker { return slices.Sorted(maps.Keys(f.workers)) }

// SetFaults replaces the faults of a worker.
func (f *Fleet) SetFaults(name id.Worker, faults Faults) {
	f.withWorker(name, func(w *standInWorker) { w.faults = faults })
}

// Kill ends all tasks of a worker at once, and the worker loses its state. It is
// unavailable until Restart.
func (f *Fleet) Kill(name id.Worker) {
	f.withWorker(name, func(w *standInWorker) { w.kill(f.cfg.Clock.Now()) })
}

// Restart starts a killed worker again, with an empty state.
func (f *Fleet) Restart(name id.Worker) {
	f.withWorker(name, func(w *standInWorker) { w.restart(f.cfg.Clock.Now()) })
}

// Pause pauses a worker: commands wait until Resume, and tasks end when their
// leases expire.
func (f *Fleet) Pause(name id.Worker) { f.withWorker(name, func(w *standInWorker) { w.paused = true }) }

// Resume ends a pause. The commands that waited take effect in order, including
// those whose sender has timed out.
func (f *Fleet) Resume(name id.Worker) {
	f.withWorker(name, func(w *standInWorker) { w.resume(f.cfg.Clock.Now()) })
}

// Intervals returns the runs on all workers so far. An interval of a task that is
// still running ends now.
func (f *Fleet) Intervals() []Interval {
	var all []Interval
	for _, name := range f.Names() {
		f.withWorker(name, func(w *standInWorker) { all = append(all, w.intervals(f.cfg.Clock.Now())...) })
	}
	return all
}

// Reservations returns all reservations made so far on all workers.
func (f *Fleet) Reservations() []Reservation {
	var all []Reservation
	for _, name := range f.Names() {
		f.withWorker(name, func(w *standInWorker) { all = append(all, w.reservations...) })
	}
	return all
}

// Tasks returns the current tasks of a worker.
func (f *Fleet) Tasks(name id.Worker) []worker.Report {
	var out []worker.Report
	f.withWorker(name, func(w *standInWorker) {
		w.advance(f.cfg.Clock.Now())
		out = w.reports(f.cfg.Clock.Now())
	})
	return out
}

// Call executes a command on a worker. It implements worker.Transport.
func (f *Fleet) Call(ctx context.Context, name id.Worker, c worker.Command) (worker.Response, error) {
	w, ok := f.workers[name]
	if !ok {
		return worker.Response{}, unavailable(name)
	}
	if f.cfg.OnCall != nil {
		f.cfg.OnCall(name, c)
	}
	w.mu.Lock()
	if w.dead || w.faults.Unreachable {
		w.mu.Unlock()
		return worker.Response{}, unavailable(name)
	}
	if !w.paused {
		defer w.mu.Unlock()
		return w.execute(f.cfg.Clock.Now(), c)
	}
	delayed := &delayedCall{command: c, result: make(chan result, 1)}
	w.delayed = append(w.delayed, delayed)
	w.mu.Unlock()
	select {
	case r := <-delayed.result:
		return r.response, r.err
	case <-ctx.Done():
		return worker.Response{}, noResponse(name)
	}
}

func (f *Fleet) withWorker(name id.Worker, do func(w *standInWorker)) {
	if w, ok := f.workers[name]; ok {
		w.mu.Lock()
		defer w.mu.Unlock()
		do(w)
	}
}

// delayedCall is a command that waits until its paused worker resumes.
type delayedCall struct {
	command worker.Command
	result  chan result
}

type result struct {
	response worker.Response
	err      error
}

// standInWorker is the state of one worker. Its methods require w.mu to be held.
type standInWorker struct {
	name      id.Worker
	resources unit.Resources
	runTime   func(worker.Ref) time.Duration

	mu             sync.Mutex
	faults         Faults
	dead           bool
	paused         bool
	delayed        []*delayedCall
	boot           uint64
	bootedAt       time.Time
	epochs         map[id.Shard]id.Epoch
	tasks          map[worker.Ref]*task
	highestStopped map[id.Job]int // the highest stopped attempt of each job
	finished       []Interval
	reservations   []Reservation
}

func newStandInWorker(name id.Worker, r unit.Resources, now time.Time, run func(worker.Ref) time.Duration) *standInWorker {
	w := &standInWorker{name: name, resources: r, runTime: run, bootedAt: now}
	w.reset()
	return w
}

func (w *standInWorker) reset() {
	w.boot++
	w.epochs = make(map[id.Shard]id.Epoch)
	w.tasks = make(map[worker.Ref]*task)
	w.highestStopped = make(map[id.Job]int)
}

func (w *standInWorker) kill(now time.Time) {
	w.advance(now)
	for _, t := range w.tasks {
		w.recordRun(t, now, "killed")
	}
	w.dead, w.paused, w.delayed = true, false, nil
	w.reset()
}

func (w *standInWorker) restart(now time.Time) {
	if w.dead {
		w.dead, w.bootedAt = false, now
	}
}

func (w *standInWorker) resume(now time.Time) {
	w.paused = false
	for _, c := range w.delayed {
		response, err := w.execute(now, c.command)
		c.result <- result{response, err}
	}
	w.delayed = nil
}

// execute applies a command. With the fault LoseResponses it drops the response.
func (w *standInWorker) execute(now time.Time, c worker.Command) (worker.Response, error) {
	response, err := w.apply(now, c)
	if w.faults.LoseResponses > 0 {
		w.faults.LoseResponses--
		return worker.Response{}, noResponse(w.name)
	}
	return response, err
}

func unavailable(name id.Worker) error {
	return problem.New(problem.Unavailable, problem.Detail{
		Field: "worker", Value: string(name), Remedy: "retry when the worker is reachable"})
}

func noResponse(name id.Worker) error {
	return problem.New(problem.Unknown, problem.Detail{
		Field: "worker", Value: string(name), Remedy: "no response was received; list the worker's tasks to see whether the command took effect"})
}
