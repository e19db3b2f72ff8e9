package scheduling_test

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bronzewinch.dev/lib/burn"
	"bronzewinch.dev/lib/gang"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/scheduler"
	"bronzewinch.dev/lib/timer"
	"bronzewinch.dev/lib/unit"
	"bronzewinch.dev/lib/worker"
	"bronzewinch.dev/standin/workers"
)

// timeStep is the amount by which advance moves the clocks at a time.
const timeStep = 100 * time.Millisecond

// owner is one scheduler with its own clock, which stops while the owner is paused.
// lag is the time by which it is then behind.
type owner struct {
	*scheduler.Scheduler
	clock  *timer.Manual
	term   *term
	lag    time.Duration
	paused bool
}

// cancellation is the result of a cancellation and the time at which it was returned.
type cancellation struct {
	result scheduler.CancelResult
	at     time.Time
}

// harness contains a fleet of workers, a store, and the successive owners of one
// shard.
type harness struct {
	t       *testing.T
	clock   *timer.Manual
	fleet   *workers.Fleet
	store   *store
	records *record.Set
	planner func(id.Epoch, timer.Service) scheduler.Planner
	owners  []*owner
	calls   sync.WaitGroup

	mu            sync.Mutex
	onCall        func(w id.Worker, c worker.Command)
	accepted      map[id.Job]bool
	cancellations map[id.Job]cancellation
	events        []burn.Event
	urgent        bool // claims are urgent
}

// newHarness returns a harness with n workers that have room for two tasks each, and
// one owner. It must be called inside a synctest bubble.
func newHarness(t *testing.T, n int, run func(worker.Ref) time.Duration) *harness {
	h := newHarnessWithoutOwner(t, n, run)
	h.openOwner()
	return h
}

// newHarnessWithoutOwner returns a harness without an owner.
func newHarnessWithoutOwner(t *testing.T, n int, run func(worker.Ref) time.Duration) *harness {
	h := &harness{t: t, clock: timer.NewManual(time.Unix(1_000_000, 0)), store: newStore(), records: record.NewSet(),
		accepted: map[id.Job]bool{}, cancellations: map[id.Job]cancellation{}}
	fleet, zone := map[id.Worker]unit.Resources{}, record.Zone{Name: "a"}
	for i := range n {
		name := id.Worker(fmt.Sprint("w", i))
		fleet[name] = oneAccelerator.Times(2)
		zone.Workers = append(zone.Workers, record.Worker{Name: name, Resources: oneAccelerator.Times(2)})
	}
	h.records.Zones["a"] = zone
	h.fleet = workers.New(workers.Config{Clock: h.clock, Workers: fleet, RunTime: run, OnCall: h.checkStarts})
	h.planner = func(id.Epoch, timer.Service) scheduler.Planner { return newFirstFit(h.records) }
	return h
}

// checkStarts is called for each command that is sent. For a start it checks that the
// commit is durable and that all members are reserved. It then calls onCall.
func (h *harness) checkStarts(name id.Worker, c worker.Command) {
	if c.Kind == worker.Start {
		holds := h.fleet.Reservations()
		for _, task := range c.Tasks {
			members, ok := h.store.committed(task.Ref)
			if !ok {
				h.t.Errorf("start of %v without a commit", task.Ref)
			}
			for _, m := range members {
				if !slices.ContainsFunc(holds, func(hold workers.Reservation) bool { return hold.Worker == m.Worker && hold.Ref == task.Ref }) {
					h.t.Errorf("start of %v without the reservation on %s", task.Ref, m.Worker)
				}
			}
		}
	}
	h.mu.Lock()
	f := h.onCall
	h.mu.Unlock()
	if f != nil {
		f(name, c)
	}
}

// openOwner starts a new owner, which takes over the shard.
func (h *harness) openOwner() *owner {
	epoch, items := h.store.beginEpoch()
	o := &owner{clock: timer.NewManual(h.clock.Now())}
	o.term = &term{store: h.store, epoch: epoch, client: worker.New(worker.Config{Transport: h.fleet, Clock: o.clock})}
	s, err := scheduler.New(scheduler.Config{Shard: "place/a", Zone: "a", Clock: o.clock, Planner: h.planner(epoch, o.clock),
		Journal: o.term, Term: o.term, Workers: o.term, Records: h.records, Items: items, Observer: h})
	if err != nil {
		h.t.Fatal(err)
	}
	o.Scheduler = s
	h.mu.Lock()
	h.owners = append(h.owners, o)
	h.mu.Unlock()
	synctest.Wait()
	return o
}

// Observe stores an event for the service-level indicators.
func (h *harness) Observe(e burn.Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events = append(h.events, e)
}

// currentOwner returns the latest owner.
func (h *harness) currentOwner() *owner {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.owners[len(h.owners)-1]
}

// replaceOwner pauses the current owner and opens another.
func (h *harness) replaceOwner() {
	h.currentOwner().term.close()
	h.currentOwner().paused = true
	h.openOwner()
}

// resumeOwners resumes all paused owners. Each still uses its own, earlier epoch.
func (h *harness) resumeOwners() {
	for _, o := range h.owners {
		if o.paused {
			o.paused = false
			o.clock.Advance(o.lag)
			o.term.open()
		}
	}
	synctest.Wait()
}

// advance advances the clocks of the harness and of the owners that are not paused.
func (h *harness) advance(d time.Duration) {
	for ; d > 0; d -= timeStep {
		h.clock.Advance(timeStep)
		for _, o := range h.owners {
			if o.paused {
				o.lag += timeStep
			} else {
				o.clock.Advance(timeStep)
			}
		}
		synctest.Wait()
	}
}

func (h *harness) submit(name id.Job, n int, claim bool) {
	spec := job.Spec{Account: "acme", Shape: job.Shape{Workers: unit.Workers(n), PerWorker: oneAccelerator, Locality: job.SameZone},
		DeclaredRun: time.Hour, Program: "p", CheckpointEvery: time.Minute}
	if claim {
		spec.Claim, spec.Urgent = "c", h.urgent
	}
	o := h.currentOwner()
	h.calls.Go(func() {
		if _, err := o.Submit(context.Background(), spec, name); err == nil {
			h.mu.Lock()
			h.accepted[name] = true
			h.mu.Unlock()
		}
	})
}

func (h *harness) cancel(name id.Job) {
	o := h.currentOwner()
	h.calls.Go(func() {
		result, err := o.Cancel(context.Background(), name)
		h.mu.Lock()
		defer h.mu.Unlock()
		if err == nil {
			h.cancellations[name] = cancellation{result, h.clock.Now()}
		} else if problem.KindOf(err) == problem.Internal {
			h.t.Errorf("cancel %s: %v", name, err)
		}
	})
}

// close resumes and closes all owners.
func (h *harness) close() {
	h.resumeOwners()
	for _, o := range h.owners {
		if err := o.Close(context.Background()); err != nil {
			h.t.Error(err)
		}
	}
	h.calls.Wait()
}

// checkRuns checks the invariants against the intervals in which the workers really
// ran tasks.
func (h *harness) checkRuns() {
	runs := make(map[id.Job][]workers.Interval)
	for _, run := range h.fleet.Intervals() {
		runs[run.Job] = append(runs[run.Job], run)
	}
	for name, list := range runs {
		a, cancelled := h.cancellations[name]
		for i, x := range list {
			if cancelled && a.result == scheduler.NotRun {
				h.t.Errorf("cancellation of %s returned notRun, but it ran on %s from %v", name, x.Worker, x.From)
			}
			if cancelled && x.To.After(a.at) {
				h.t.Errorf("cancellation of %s returned %s, but it kept running", name, a.result)
			}
			for _, y := range list[:i] {
				if x.From.Before(y.To) && y.From.Before(x.To) && (x.Attempt != y.Attempt || x.Worker == y.Worker) {
					h.t.Errorf("%s ran twice at the same time: %+v %+v", name, x, y)
				}
			}
		}
		h.checkPartialRuns(name, list)
	}
}

// checkPartialRuns checks that no attempt of a job ran with only some members for
// longer than the bound. A member that has succeeded counts as running.
func (h *harness) checkPartialRuns(name id.Job, list []workers.Interval) {
	attempts := make(map[int][]workers.Interval)
	var times []time.Time
	for _, x := range list {
		attempts[x.Attempt] = append(attempts[x.Attempt], x)
		times = append(times, x.From, x.To)
	}
	slices.SortFunc(times, time.Time.Compare)
	for attempt, runs := range attempts {
		members, _ := h.store.committed(worker.Ref{Job: name, Attempt: attempt})
		var partialSince time.Time
		for _, at := range times {
			running, present := 0, 0
			for _, x := range runs {
				if !x.From.After(at) && x.To.After(at) {
					running, present = running+1, present+1
				} else if x.End == "done" && !x.To.After(at) {
					present++
				}
			}
			partial := running > 0 && present < len(members)
			if !partialSince.IsZero() && at.Sub(partialSince) > gang.MaxPartialRun {
				h.t.Errorf("%s attempt %d ran with only some of its members from %v to %v", name, attempt, partialSince, at)
			}
			if !partial {
				partialSince = time.Time{}
			} else if partialSince.IsZero() {
				partialSince = at
			}
		}
	}
}

// allEnded reports whether all jobs have ended.
func (h *harness) allEnded() bool {
	for _, j := range h.currentOwner().List() {
		if !j.Phase.Final() {
			return false
		}
	}
	return true
}

// checkEnded checks that each accepted job has ended.
func (h *harness) checkEnded() {
	for name := range h.accepted {
		j, err := h.currentOwner().Get(name)
		if err != nil || !j.Phase.Final() {
			h.t.Errorf("%s was accepted and has not ended: %v %v %s", name, j.Phase, err, j.Reason)
		}
	}
}

// runTimes returns a function that returns run times between 1 s and 20 s, which
// depend only on the seed and the task.
func runTimes(seed uint64) func(worker.Ref) time.Duration {
	return func(ref worker.Ref) time.Duration {
		h := fnv.New64a()
		fmt.Fprint(h, seed, ref)
		return time.Second + time.Duration(rand.New(rand.NewPCG(h.Sum64(), 0)).Int64N(int64(19*time.Second)))
	}
}
