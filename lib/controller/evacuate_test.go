package controller_test

import (
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"bronzewinch.dev/lib/controller"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/planner"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/task"

	"github.com/matryer/is"
)

const (
	emptyZone id.Zone = "zone"
	otherZone id.Zone = "other"
)

// evacuationTest is a controller with a worker in each of two zones.
type evacuationTest struct {
	*testController
	lists fakeLists
}

func zoneWorkers() []task.Worker {
	workers := append(testWorkers(), testWorkers()...)
	workers[1].ID, workers[1].Zone, workers[1].Rack = "worker-2", otherZone, "rack-2"
	return workers
}

// newEvacuationTest returns the test and a function that sets the zones that are
// evacuated in the complete state.
func newEvacuationTest(t *testing.T, workers *fakeWorkers) (*evacuationTest, func(zones ...id.Zone)) {
	t.Helper()
	lists := fakeLists{workers: zoneWorkers(), configs: make(chan configAnswer), evacuated: &atomic.Pointer[map[id.Zone]bool]{}}
	set := func(zones ...id.Zone) {
		all := make(map[id.Zone]bool)
		for _, z := range zones {
			all[z] = true
		}
		lists.evacuated.Store(&all)
	}
	set()
	return &evacuationTest{testController: serveWithLists(t, newFakeStore(), workers, lists), lists: lists}, set
}

func evacuate(zone id.Zone, requested bool) configAnswer {
	return configAnswer{update: controller.Update{Version: 2, Evacuations: map[id.Zone]bool{zone: requested}}}
}

// startedOn reports whether a start has been carried out by the worker in a zone. The
// lock is held.
func (w *fakeWorkers) startedOn(zone id.Zone) bool {
	return slices.ContainsFunc(w.started, func(o planner.Order) bool {
		return slices.ContainsFunc(zoneWorkers(), func(other task.Worker) bool { return other.ID == o.Worker && other.Zone == zone })
	})
}

// TestEvacuatedZoneReceivesNoStart guards against a start that reaches a worker of a zone
// after a request to evacuate the zone is known, at each step between the decision to
// start and the call to the worker.
func TestEvacuatedZoneReceivesNoStart(t *testing.T) {
	for _, test := range []struct {
		name string
		// evacuate lets the request become known at one step, and submits the job.
		evacuate func(t *testing.T, c *evacuationTest, set func(...id.Zone))
	}{
		{"before the decision", func(t *testing.T, c *evacuationTest, _ func(...id.Zone)) {
			c.lists.configs <- evacuate(emptyZone, true)
			c.lists.configs <- configAnswer{} // the first one has been applied
			is.New(t).Equal(c.submit(jobA).Outcome, controller.OK)
		}},
		{"while an attempt to send the start has no answer", func(t *testing.T, c *evacuationTest, _ func(...id.Zone)) {
			c.workers.startResults = []planner.OrderResult{planner.Unanswered}
			c.workers.beforeStart = func(o planner.Order) {
				if o.Worker == "worker" && o.Run == 1 {
					c.lists.configs <- evacuate(emptyZone, true)
					c.lists.configs <- configAnswer{}
				}
			}
			is.New(t).Equal(c.submit(jobA).Outcome, controller.OK)
		}},
		{"while the start waits behind another one", func(t *testing.T, c *evacuationTest, _ func(...id.Zone)) {
			c.workers.startResults = []planner.OrderResult{planner.NoCapacity}
			blocked, entered := make(chan struct{}), make(chan struct{}, 10)
			c.workers.beforeStart = func(o planner.Order) {
				if o.Worker == "worker" {
					entered <- struct{}{}
					<-blocked
				}
			}
			is.New(t).Equal(c.submit(jobB).Outcome, controller.OK)
			<-entered
			is.New(t).Equal(c.submit(jobA).Outcome, controller.OK) // fits beside jobB, so its start is queued
			c.lists.configs <- evacuate(emptyZone, true)
			c.lists.configs <- configAnswer{}
			close(blocked)
		}},
		{"with the complete state, after the history was lost", func(t *testing.T, c *evacuationTest, set func(...id.Zone)) {
			set(emptyZone)
			c.lists.configs <- configAnswer{err: problem.New(problem.Expired, problem.Detail{Field: "history", Remedy: "read"})}
			c.lists.configs <- configAnswer{}
			is.New(t).Equal(c.submit(jobA).Outcome, controller.OK)
		}},
		{"after a withdrawal and a new request", func(t *testing.T, c *evacuationTest, _ func(...id.Zone)) {
			for _, requested := range []bool{true, false, true} {
				c.lists.configs <- evacuate(emptyZone, requested)
			}
			c.lists.configs <- configAnswer{}
			is.New(t).Equal(c.submit(jobA).Outcome, controller.OK)
		}},
		{"by a new owner", func(t *testing.T, c *evacuationTest, set func(...id.Zone)) {
			set(emptyZone)
			c.election.Close()
			next := serveWithLists(t, c.store, c.workers, c.lists)
			is.New(t).Equal(next.submit(jobA).Outcome, controller.OK)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			workers := newFakeWorkers()
			c, set := newEvacuationTest(t, workers)
			test.evacuate(t, c, set)
			workers.await(t, "the start in the other zone", func() bool { return workers.startedOn(otherZone) })
			workers.mu.Lock()
			defer workers.mu.Unlock()
			is.True(!workers.startedOn(emptyZone))
		})
	}
}

// TestZoneIsUsedAfterEvacuation guards against a zone that gets no starts any more after
// the request to evacuate it was withdrawn, also if only the complete state shows that.
func TestZoneIsUsedAfterEvacuation(t *testing.T) {
	for _, test := range []struct {
		name     string
		withdraw configAnswer
	}{
		{"withdrawn", evacuate(emptyZone, false)},
		{"missing from the complete state, after the history was lost", configAnswer{err: problem.New(problem.Expired, problem.Detail{Field: "history", Remedy: "read"})}},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			workers := newFakeWorkers()
			c, set := newEvacuationTest(t, workers)
			set(otherZone)
			for _, zone := range []id.Zone{emptyZone, otherZone} {
				c.lists.configs <- evacuate(zone, true)
			}
			c.lists.configs <- configAnswer{}
			is.Equal(c.submit(jobA).Outcome, controller.OK)
			c.lists.configs <- test.withdraw
			workers.await(t, "a start in the zone", func() bool { return workers.startedOn(emptyZone) })
		})
	}
}

// TestStaleConfigurationSendsNoStart guards against starts by an owner that can commit but
// has had no confirmation of the requests to evacuate zones for so long that one may be
// in force.
func TestStaleConfigurationSendsNoStart(t *testing.T) {
	is := is.New(t)
	workers := newFakeWorkers()
	held := make(chan struct{})
	workers.beforeStart = func(planner.Order) {
		select {
		case <-held:
		case <-time.After(10 * time.Second):
		}
	}
	c, _ := newEvacuationTest(t, workers)
	job := func(name string) {
		is.Equal(c.submit(name).Outcome, controller.OK)
	}
	job(jobA)
	job(jobB) // waits behind the first start on the same worker
	stale := time.Now().Add(testEvacuationDelay)
	for time.Now().Before(stale) {
		c.lists.configs <- configAnswer{err: problem.New(problem.Unknown, problem.Detail{Field: "store", Remedy: "repeat"})}
	}
	workers.mu.Lock()
	before := len(workers.started)
	workers.mu.Unlock()
	close(held)
	for range 5 {
		c.lists.configs <- configAnswer{err: problem.New(problem.Unknown, problem.Detail{Field: "store", Remedy: "repeat"})}
	}
	workers.mu.Lock()
	is.Equal(len(workers.started), before)
	workers.mu.Unlock()
	c.lists.configs <- configAnswer{update: controller.Update{Version: 2}}
	workers.await(t, "the starts after a confirmation", func() bool { return len(workers.started) >= 2 })
}
