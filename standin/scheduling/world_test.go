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

// step is how far the time moves at once.
const step = 100 * time.Millisecond

// owner is one scheduler with its own clock, which stands still while the
// owner is paused.
type owner struct {
	*scheduler.Scheduler
	clock  *timer.Manual
	tenure *tenure
	behind time.Duration
	paused bool
}

// answer is what a caller was told about a job, and when.
type answer struct {
	result scheduler.CancelResult
	at     time.Time
}

// world is a fleet, a store, and the owners of one shard.
type world struct {
	t       *testing.T
	clock   *timer.Manual
	fleet   *workers.Fleet
	store   *store
	records *record.Set
	planner func(id.Epoch, timer.Service) scheduler.Planner
	owners  []*owner
	calls   sync.WaitGroup

	mu       sync.Mutex
	onCall   func(w id.Worker, c worker.Command)
	accepted map[id.Job]bool
	answers  map[id.Job]answer
	events   []burn.Event
	urgent   bool // claims are urgent
}

// newWorld returns a world of n workers with room for two tasks each. It must
// be made inside a synctest bubble.
func newWorld(t *testing.T, n int, run func(worker.Ref) time.Duration) *world {
	w := prepare(t, n, run)
	w.open()
	return w
}

// prepare returns a world without an owner.
func prepare(t *testing.T, n int, run func(worker.Ref) time.Duration) *world {
	w := &world{t: t, clock: timer.NewManual(time.Unix(1_000_000, 0)), store: newStore(), records: record.NewSet(),
		accepted: map[id.Job]bool{}, answers: map[id.Job]answer{}}
	fleet, zone := map[id.Worker]unit.Resources{}, record.Zone{Name: "a"}
	for i := range n {
		name := id.Worker(fmt.Sprint("w", i))
		fleet[name] = one.Times(2)
		zone.Workers = append(zone.Workers, record.Worker{Name: name, Resources: one.Times(2)})
	}
	w.records.Zones["a"] = zone
	w.fleet = workers.New(workers.Config{Clock: w.clock, Workers: fleet, RunTime: run, OnCall: w.called})
	w.planner = func(id.Epoch, timer.Service) scheduler.Planner { return newFirstFit(w.records) }
	return w
}

// called checks each start as it is sent: all reservations were made and the
// commit is durable.
func (w *world) called(name id.Worker, c worker.Command) {
	if c.Kind == worker.Start {
		holds := w.fleet.Holds()
		for _, task := range c.Tasks {
			members, ok := w.store.committed(task.Ref)
			if !ok {
				w.t.Errorf("start of %v without a commit", task.Ref)
			}
			for _, m := range members {
				if !slices.ContainsFunc(holds, func(h workers.Hold) bool { return h.Worker == m.Worker && h.Ref == task.Ref }) {
					w.t.Errorf("start of %v without the reservation on %s", task.Ref, m.Worker)
				}
			}
		}
	}
	w.mu.Lock()
	f := w.onCall
	w.mu.Unlock()
	if f != nil {
		f(name, c)
	}
}

// open makes a new owner take over.
func (w *world) open() *owner {
	epoch, items := w.store.take()
	o := &owner{clock: timer.NewManual(w.clock.Now())}
	o.tenure = &tenure{store: w.store, epoch: epoch, client: worker.New(worker.Config{Transport: w.fleet, Clock: o.clock})}
	s, err := scheduler.New(scheduler.Config{Shard: "place/a", Zone: "a", Clock: o.clock, Planner: w.planner(epoch, o.clock),
		Journal: o.tenure, Term: o.tenure, Workers: o.tenure, Records: w.records, Items: items, Observer: w})
	if err != nil {
		w.t.Fatal(err)
	}
	o.Scheduler = s
	w.mu.Lock()
	w.owners = append(w.owners, o)
	w.mu.Unlock()
	synctest.Wait()
	return o
}

// Observe keeps an event of the service-level indicators.
func (w *world) Observe(e burn.Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events = append(w.events, e)
}

// owner returns the present owner.
func (w *world) owner() *owner {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.owners[len(w.owners)-1]
}

// replace pauses the present owner and opens another.
func (w *world) replace() {
	w.owner().tenure.close()
	w.owner().paused = true
	w.open()
}

// resume lets all paused owners go on, each with its old epoch.
func (w *world) resume() {
	for _, o := range w.owners {
		if o.paused {
			o.paused = false
			o.clock.Advance(o.behind)
			o.tenure.open()
		}
	}
	synctest.Wait()
}

// advance moves the time on.
func (w *world) advance(d time.Duration) {
	for ; d > 0; d -= step {
		w.clock.Advance(step)
		for _, o := range w.owners {
			if o.paused {
				o.behind += step
			} else {
				o.clock.Advance(step)
			}
		}
		synctest.Wait()
	}
}

func (w *world) submit(name id.Job, n int, claim bool) {
	spec := job.Spec{Account: "acme", Shape: job.Shape{Workers: unit.Workers(n), PerWorker: one, Locality: job.SameZone},
		DeclaredRun: time.Hour, Program: "p", CheckpointEvery: time.Minute}
	if claim {
		spec.Claim, spec.Urgent = "c", w.urgent
	}
	o := w.owner()
	w.calls.Go(func() {
		if _, err := o.Submit(context.Background(), spec, name); err == nil {
			w.mu.Lock()
			w.accepted[name] = true
			w.mu.Unlock()
		}
	})
}

func (w *world) cancel(name id.Job) {
	o := w.owner()
	w.calls.Go(func() {
		result, err := o.Cancel(context.Background(), name)
		w.mu.Lock()
		defer w.mu.Unlock()
		if err == nil {
			w.answers[name] = answer{result, w.clock.Now()}
		} else if problem.KindOf(err) == problem.Internal {
			w.t.Errorf("cancel %s: %v", name, err)
		}
	})
}

// close ends all owners.
func (w *world) close() {
	w.resume()
	for _, o := range w.owners {
		if err := o.Close(context.Background()); err != nil {
			w.t.Error(err)
		}
	}
	w.calls.Wait()
}

// check checks the invariants against what the workers truly ran.
func (w *world) check() {
	runs := make(map[id.Job][]workers.Interval)
	for _, run := range w.fleet.Intervals() {
		runs[run.Job] = append(runs[run.Job], run)
	}
	for name, list := range runs {
		a, told := w.answers[name]
		for i, x := range list {
			if told && a.result == scheduler.NotRun {
				w.t.Errorf("%s was told notRun and ran on %s from %v", name, x.Worker, x.From)
			}
			if told && x.To.After(a.at) {
				w.t.Errorf("%s was told %s and ran on", name, a.result)
			}
			for _, y := range list[:i] {
				if x.From.Before(y.To) && y.From.Before(x.To) && (x.Attempt != y.Attempt || x.Worker == y.Worker) {
					w.t.Errorf("%s ran twice at once: %+v %+v", name, x, y)
				}
			}
		}
		w.checkWhole(name, list)
	}
}

// checkWhole checks that no attempt of a job ran with only some members for
// longer than the bound. A member that is done counts as there.
func (w *world) checkWhole(name id.Job, list []workers.Interval) {
	attempts := make(map[int][]workers.Interval)
	var times []time.Time
	for _, x := range list {
		attempts[x.Attempt] = append(attempts[x.Attempt], x)
		times = append(times, x.From, x.To)
	}
	slices.SortFunc(times, time.Time.Compare)
	for attempt, runs := range attempts {
		members, _ := w.store.committed(worker.Ref{Job: name, Attempt: attempt})
		var since time.Time
		for _, at := range times {
			running, there := 0, 0
			for _, x := range runs {
				if !x.From.After(at) && x.To.After(at) {
					running, there = running+1, there+1
				} else if x.End == "done" && !x.To.After(at) {
					there++
				}
			}
			partial := running > 0 && there < len(members)
			if !since.IsZero() && at.Sub(since) > gang.MaxPartialRun {
				w.t.Errorf("%s attempt %d ran with some members from %v to %v", name, attempt, since, at)
			}
			if !partial {
				since = time.Time{}
			} else if since.IsZero() {
				since = at
			}
		}
	}
}

// allEnded reports whether nothing is left to wait for.
func (w *world) allEnded() bool {
	for _, j := range w.owner().List() {
		if !j.Phase.Final() {
			return false
		}
	}
	return true
}

// checkEnded checks that each accepted job has come to an end.
func (w *world) checkEnded() {
	for name := range w.accepted {
		j, err := w.owner().Get(name)
		if err != nil || !j.Phase.Final() {
			w.t.Errorf("%s was accepted and has not ended: %v %v %s", name, j.Phase, err, j.Reason)
		}
	}
}

// runTimes returns run times between 1 and 20 s that depend only on the seed
// and the task.
func runTimes(seed uint64) func(worker.Ref) time.Duration {
	return func(ref worker.Ref) time.Duration {
		h := fnv.New64a()
		fmt.Fprint(h, seed, ref)
		return time.Second + time.Duration(rand.New(rand.NewPCG(h.Sum64(), 0)).Int64N(int64(19*time.Second)))
	}
}
