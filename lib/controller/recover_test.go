package controller_test

import (
	"testing"
	"time"

	"bronzewinch.dev/lib/controller"
	"bronzewinch.dev/lib/election"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/task"
	"bronzewinch.dev/lib/timer"

	"github.com/matryer/is"
)

// TestPanicEndsTermOnly guards against a fault in the decisions of the owner that ends the
// process, with the calls of clients that it forwards.
func TestPanicEndsTermOnly(t *testing.T) {
	is := is.New(t)
	store, workers := newFakeStore(), newFakeWorkers()
	c := serve(t, store, workers)
	store.mu.Lock()
	store.panicNext = true
	store.mu.Unlock()
	is.Equal(c.submitWithin(jobA, 3*time.Second).Outcome, controller.Unknown) // it may have been stored
	workers.await(t, "the second term", func() bool { return c.Heartbeat("") })
	is.Equal(c.election.Owner().Fence, task.Fence(2*election.FencesPerTerm))
	is.Equal(c.submit(jobB).Outcome, controller.OK)
}

// TestLoadOutlastsStoreOutage guards against an owner that ends its term because the store
// does not answer while it loads, so that after the outage callers wait for the next one.
func TestLoadOutlastsStoreOutage(t *testing.T) {
	is := is.New(t)
	store, workers := newFakeStore(), newFakeWorkers()
	store.listsDown = true
	c := newController(store, workers, fakeLists{workers: testWorkers()})
	e := election.New(election.Config{Node: "node", Address: "a", Store: store, Runner: c, Timer: timer.NewSystem()})
	t.Cleanup(e.Close)
	workers.await(t, "reads of the stored jobs", func() bool {
		store.mu.Lock()
		defer store.mu.Unlock()
		return store.refusedLists >= 3
	})
	is.True(!c.Heartbeat("")) // it does not serve without the stored jobs
	store.mu.Lock()
	store.listsDown = false
	store.mu.Unlock()
	workers.await(t, "the end of the load", func() bool { return c.Heartbeat("") })
	is.Equal(e.Owner().Fence, task.Fence(election.FencesPerTerm))
}

// TestRestartUsesPresentLists guards against an owner that after a restart uses a worker
// that has left, or accepts a key that was withdrawn, while there was no owner.
func TestRestartUsesPresentLists(t *testing.T) {
	is := is.New(t)
	store, workers := newFakeStore(), newFakeWorkers()
	first := serve(t, store, workers)
	is.Equal(first.submit(jobA).Outcome, controller.OK)
	workers.await(t, "the start", func() bool { return len(workers.started) == 1 })
	first.election.Close()
	other := testWorkers()
	other[0].ID = "other"
	second := serveWithLists(t, store, workers, fakeLists{workers: other, key: "new key"})
	is.Equal(second.submit(jobB).Outcome, controller.Unauthorized)
	reply := second.Handle(t.Context(), controller.Request{Verb: controller.Submit, Host: testHost, Path: "/q/" + jobB, Key: "new key",
		Job: &task.Job{Spec: "s", Steps: []task.Step{{Tasks: 1}}}})
	is.Equal(reply.Outcome, controller.OK)
	workers.await(t, "the start of the second job", func() bool { return len(workers.started) == 2 })
	workers.mu.Lock()
	defer workers.mu.Unlock()
	is.Equal(workers.started[1].Worker, id.Worker("other"))
}
