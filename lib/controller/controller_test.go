package controller_test

import (
	"fmt"
	"testing"
	"time"

	"bronzewinch.dev/lib/controller"
	"bronzewinch.dev/lib/election"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/planner"
	"bronzewinch.dev/lib/task"

	"github.com/matryer/is"
)

const (
	jobA = "00000000000000aa"
	jobB = "00000000000000bb"
)

// TestJobRunsOnce guards against an accepted job that is never run, is run
// twice, or is not reported as completed.
func TestJobRunsOnce(t *testing.T) {
	is := is.New(t)
	c := serve(t, newFakeStore(), newFakeWorkers())
	is.Equal(c.submit(jobA).Outcome, controller.OK)
	is.Equal(c.submit(jobA).Outcome, controller.OK) // a repeated submission is the same job
	c.workers.await(t, "the start", func() bool { return len(c.workers.started) == 1 })
	c.workers.finish("worker")
	c.workers.await(t, "the acknowledgement", func() bool { return c.workers.acked == 1 })
	is.Equal(c.query(jobA).State, task.Completed)
	is.Equal(len(c.workers.started), 1)
}

// TestCallsAreValidated guards against accepting calls that have no valid key,
// no queue, or an id that can't be stored.
func TestCallsAreValidated(t *testing.T) {
	c := serve(t, newFakeStore(), newFakeWorkers())
	for _, test := range []struct {
		name string
		req  controller.Request
		want controller.Outcome
	}{
		{"unknown key", controller.Request{Verb: controller.Query, Host: testHost, Path: "/q/" + jobA, Key: "x"}, controller.Unauthorized},
		{"no key, and an empty one in the configuration", controller.Request{Verb: controller.Query, Host: testHost, Path: "/q/" + jobA}, controller.Unauthorized},
		{"unknown host", controller.Request{Verb: controller.Query, Host: "x", Path: "/q/" + jobA, Key: testKey}, controller.NoQueue},
		{"unknown job", controller.Request{Verb: controller.Query, Host: testHost, Path: "/q/" + jobA, Key: testKey}, controller.NoJob},
		{"cancel of an unknown job", controller.Request{Verb: controller.Cancel, Host: testHost, Path: "/q/" + jobA, Key: testKey}, controller.NoJob},
		{"short id", controller.Request{Verb: controller.Submit, Host: testHost, Path: "/q/1", Key: testKey, Job: &task.Job{}}, controller.Malformed},
		{"no steps", controller.Request{Verb: controller.Submit, Host: testHost, Path: "/q/" + jobA, Key: testKey, Job: &task.Job{}}, controller.Malformed},
		{"queue", controller.Request{Verb: controller.Query, Host: testHost, Path: "/q/", Key: testKey}, controller.OK},
	} {
		t.Run(test.name, func(t *testing.T) {
			is.New(t).Equal(c.Handle(t.Context(), test.req).Outcome, test.want)
		})
	}
}

// TestAccountsSeeTheirOwnJobs guards against an account that sees or cancels a job of
// another account of the same queue.
func TestAccountsSeeTheirOwnJobs(t *testing.T) {
	is := is.New(t)
	c := serve(t, newFakeStore(), newFakeWorkers())
	is.Equal(c.submit(jobA).Outcome, controller.OK)
	for _, verb := range []controller.Verb{controller.Query, controller.Cancel} {
		r := controller.Request{Verb: verb, Host: testHost, Path: "/q/" + jobA, Key: otherKey}
		is.Equal(c.Handle(t.Context(), r).Outcome, controller.NoJob)
	}
	c.workers.await(t, "the start", func() bool { return len(c.workers.started) == 1 })
	c.workers.finish("worker")
	c.workers.await(t, "the acknowledgement", func() bool { return c.workers.acked == 1 })
	is.Equal(c.query(jobA).State, task.Completed) // not cancelled by the other account
}

// TestLostStoreReply guards against a job that is refused or stored twice
// because the store's reply to its transaction was lost.
func TestLostStoreReply(t *testing.T) {
	is := is.New(t)
	c := serve(t, newFakeStore(), newFakeWorkers())
	c.store.setFaults(false, true)
	is.Equal(c.submit(jobA).Outcome, controller.OK)
	c.workers.await(t, "the start", func() bool { return len(c.workers.started) == 1 })
	item, err := c.store.Get(t.Context(), election.CommitKey)
	is.NoErr(err)
	record, err := election.DecodeCommitRecord(item.Value)
	is.NoErr(err)
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	is.Equal(c.store.commits, 1+int(record.Number)) // the campaign, and each transaction once
}

// TestEndIsStoredBeforeItIsAcknowledged guards against acknowledging an ended
// run before it is stored. The worker would discard it, and the next owner
// would run the task again. Here the store accepts the first ended run just
// after the worker has reported the second.
func TestEndIsStoredBeforeItIsAcknowledged(t *testing.T) {
	is := is.New(t)
	c := serve(t, newFakeStore(), newFakeWorkers())
	is.Equal(c.submit(jobA).Outcome, controller.OK)
	is.Equal(c.submit(jobB).Outcome, controller.OK)
	c.workers.await(t, "the starts", func() bool { return len(c.workers.started) == 2 })
	c.store.setFaults(true, false)
	c.workers.finishJob("worker", jobA)
	<-c.store.refused // the cycle waits for the store to accept the first ended run
	c.workers.finishJob("worker", jobB)
	c.workers.await(t, "the report of the second ended run", func() bool { return c.workers.reported[2] })
	c.workers.mu.Lock()
	is.Equal(c.workers.acked, task.EndSeq(0))
	c.workers.mu.Unlock()
	c.store.mu.Lock()
	c.store.down, c.store.downAfterNext = false, true
	c.store.mu.Unlock()
	c.workers.await(t, "the first acknowledgement", func() bool { return c.workers.acked >= 1 })
	c.workers.mu.Lock()
	is.Equal(c.workers.acked, task.EndSeq(1))
	c.workers.mu.Unlock()
	c.store.setFaults(false, false)
	c.workers.await(t, "the second acknowledgement", func() bool { return c.workers.acked == 2 })
	is.Equal(c.query(jobB).State, task.Completed)
}

// TestRunsSurviveStoreOutage guards against treating runs as lost after a store
// outage. During the outage their reports wait for the cycle, while their lease
// is still extended.
func TestRunsSurviveStoreOutage(t *testing.T) {
	if testing.Short() {
		t.Skip("takes nine seconds")
	}
	is := is.New(t)
	c := serve(t, newFakeStore(), newFakeWorkers())
	is.Equal(c.submit(jobA).Outcome, controller.OK)
	c.workers.await(t, "the start", func() bool { return len(c.workers.started) == 1 })
	c.store.setFaults(true, false)
	go c.submit(jobB) // makes the cycle wait for the store
	time.Sleep(8 * time.Second)
	c.store.setFaults(false, false)
	c.workers.await(t, "the second start", func() bool { return len(c.workers.started) >= 2 })
	time.Sleep(300 * time.Millisecond)
	c.workers.mu.Lock()
	defer c.workers.mu.Unlock()
	is.Equal(len(c.workers.started), 2) // jobA was not started again
}

// TestNewOwnerContinuesWork guards against a new owner that restarts or loses
// the work of the previous owner.
func TestNewOwnerContinuesWork(t *testing.T) {
	is := is.New(t)
	store, workers := newFakeStore(), newFakeWorkers()
	first := serve(t, store, workers)
	is.Equal(first.submit(jobA).Outcome, controller.OK)
	workers.await(t, "the start", func() bool { return len(workers.started) == 1 })
	first.election.Close()
	second := serve(t, store, workers)
	is.Equal(second.query(jobA).State, task.Running)
	workers.finish("worker")
	workers.await(t, "the acknowledgement", func() bool { return workers.acked == 1 })
	is.Equal(second.query(jobA).State, task.Completed)
	is.Equal(len(workers.started), 1)
	item, err := store.Get(t.Context(), election.CommitKey)
	is.NoErr(err)
	record, err := election.DecodeCommitRecord(item.Value)
	is.NoErr(err)
	is.Equal(record.Fence, task.Fence(3*election.FencesPerTerm-1)) // the last fence of the second term
}

// TestPendingJobIsNotRefused guards against refusing a repeated submission
// whose first attempt still waits for the store. The job would run although its
// caller has received a refusal.
func TestPendingJobIsNotRefused(t *testing.T) {
	is := is.New(t)
	c := serve(t, newFakeStore(), newFakeWorkers())
	c.store.setFaults(true, false)
	first := make(chan controller.Outcome, 1)
	go func() { first <- c.submit(jobA).Outcome }()
	<-c.store.refused
	for n := 0; ; n++ { // until the owner refuses jobs that it does not know
		if c.submitWithin(fmt.Sprintf("%016x", n), 50*time.Millisecond).Outcome == controller.Refused {
			break
		}
	}
	is.Equal(c.submit(jobA).Outcome, controller.Unknown)
	c.store.setFaults(false, false)
	is.Equal(<-first, controller.OK)
}

// TestRelistedWorkerIsUsedAgain guards against a worker that is never used
// again after its list entry expired during a store outage.
func TestRelistedWorkerIsUsedAgain(t *testing.T) {
	is := is.New(t)
	lists := fakeLists{workers: testWorkers(), changes: make(chan controller.Update)}
	c := serveWithLists(t, newFakeStore(), newFakeWorkers(), lists)
	is.Equal(c.submit(jobA).Outcome, controller.OK)
	c.workers.await(t, "the start", func() bool { return len(c.workers.started) == 1 })
	c.workers.finish("worker")
	c.workers.await(t, "the acknowledgement", func() bool { return c.workers.acked == 1 })
	lists.changes <- controller.Update{Version: 2, Removed: []id.Worker{"worker"}}
	lists.changes <- controller.Update{Version: 3, Workers: testWorkers()}
	is.Equal(c.submit(jobB).Outcome, controller.OK)
	c.workers.await(t, "the second start", func() bool { return len(c.workers.started) == 2 })
}

// TestRejectionAfterUnansweredStart guards against treating a start as rejected
// while an earlier, unanswered attempt may still be executed. That run must be
// stopped before the next one starts.
func TestRejectionAfterUnansweredStart(t *testing.T) {
	is := is.New(t)
	workers := newFakeWorkers()
	workers.startResults = []planner.OrderResult{planner.Unanswered, planner.NoCapacity}
	c := serve(t, newFakeStore(), workers)
	is.Equal(c.submit(jobA).Outcome, controller.OK)
	workers.await(t, "the second run", func() bool { return len(workers.started) == 1 })
	workers.mu.Lock()
	defer workers.mu.Unlock()
	is.Equal(workers.started[0].Run, task.RunNumber(2))
	is.Equal(workers.stopped, 1)
}

// TestOldHeartbeatsDoNotEndNewTerm guards against an owner that ends its term
// as isolated because its only heartbeats are from an earlier term.
func TestOldHeartbeatsDoNotEndNewTerm(t *testing.T) {
	is := is.New(t)
	store, workers := newFakeStore(), newFakeWorkers()
	c := newController(store, workers, fakeLists{workers: testWorkers()})
	c.Heartbeat("other")
	time.Sleep(2200 * time.Millisecond) // an owner is isolated when its last heartbeat is two seconds old
	owner := becomeOwner(t, c, store, workers)
	time.Sleep(500 * time.Millisecond)
	is.Equal(owner.Owner().Fence, task.Fence(election.FencesPerTerm))
	is.True(c.Heartbeat(""))
}
