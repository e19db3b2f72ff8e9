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

// TestJobRunsOnce guards against a job that is accepted and not run, run
// twice, or not shown as completed.
func TestJobRunsOnce(t *testing.T) {
	is := is.New(t)
	d := serve(t, newFakeStore(), newFakeWorkers())
	is.Equal(d.submit(jobA).Outcome, controller.OK)
	is.Equal(d.submit(jobA).Outcome, controller.OK) // a repeated submission is the same job
	d.workers.await(t, "the start", func() bool { return len(d.workers.started) == 1 })
	d.workers.finish("worker")
	d.workers.await(t, "the acknowledgement", func() bool { return d.workers.acked == 1 })
	is.Equal(d.look(jobA).State, task.Completed)
	is.Equal(len(d.workers.started), 1)
}

// TestCallsAreChecked guards against calls that are let in without a key, to
// no queue, or with an id that can't be stored.
func TestCallsAreChecked(t *testing.T) {
	d := serve(t, newFakeStore(), newFakeWorkers())
	for _, test := range []struct {
		name string
		req  controller.Request
		want controller.Outcome
	}{
		{"unknown key", controller.Request{Verb: controller.Query, Host: testHost, Path: "/q/" + jobA, Key: "x"}, controller.Unauthorized},
		{"unknown host", controller.Request{Verb: controller.Query, Host: "x", Path: "/q/" + jobA, Key: testKey}, controller.NoQueue},
		{"unknown job", controller.Request{Verb: controller.Query, Host: testHost, Path: "/q/" + jobA, Key: testKey}, controller.NoJob},
		{"cancel of an unknown job", controller.Request{Verb: controller.Cancel, Host: testHost, Path: "/q/" + jobA, Key: testKey}, controller.NoJob},
		{"short id", controller.Request{Verb: controller.Submit, Host: testHost, Path: "/q/1", Key: testKey, Job: &task.Job{}}, controller.Malformed},
		{"no steps", controller.Request{Verb: controller.Submit, Host: testHost, Path: "/q/" + jobA, Key: testKey, Job: &task.Job{}}, controller.Malformed},
		{"queue", controller.Request{Verb: controller.Query, Host: testHost, Path: "/q/", Key: testKey}, controller.OK},
	} {
		t.Run(test.name, func(t *testing.T) {
			is.New(t).Equal(d.Handle(t.Context(), test.req).Outcome, test.want)
		})
	}
}

// TestLostAnswerOfStore guards against a job that is refused or stored twice
// because the answer to its transaction was lost.
func TestLostAnswerOfStore(t *testing.T) {
	is := is.New(t)
	d := serve(t, newFakeStore(), newFakeWorkers())
	d.store.set(false, true)
	is.Equal(d.submit(jobA).Outcome, controller.OK)
	d.workers.await(t, "the start", func() bool { return len(d.workers.started) == 1 })
	item, err := d.store.Get(t.Context(), election.CommitKey)
	is.NoErr(err)
	mark, err := election.DecodeCommitRecord(item.Value)
	is.NoErr(err)
	d.store.mu.Lock()
	defer d.store.mu.Unlock()
	is.Equal(d.store.commits, 1+int(mark.Number)) // the campaign, and each transaction once
}

// TestEndIsStoredBeforeItIsAcknowledged guards against an end that a worker
// forgets before it is stored: the next owner would run the task again. The
// store takes the first end just after the worker has reported the second.
func TestEndIsStoredBeforeItIsAcknowledged(t *testing.T) {
	is := is.New(t)
	d := serve(t, newFakeStore(), newFakeWorkers())
	is.Equal(d.submit(jobA).Outcome, controller.OK)
	is.Equal(d.submit(jobB).Outcome, controller.OK)
	d.workers.await(t, "the starts", func() bool { return len(d.workers.started) == 2 })
	d.store.set(true, false)
	d.workers.finishJob("worker", jobA)
	<-d.store.refused // the cycle waits for the store with the first end
	d.workers.finishJob("worker", jobB)
	d.workers.await(t, "the report of the second end", func() bool { return d.workers.told[2] })
	d.workers.mu.Lock()
	is.Equal(d.workers.acked, task.EndSeq(0))
	d.workers.mu.Unlock()
	d.store.mu.Lock()
	d.store.down, d.store.once = false, true
	d.store.mu.Unlock()
	d.workers.await(t, "the first acknowledgement", func() bool { return d.workers.acked >= 1 })
	d.workers.mu.Lock()
	is.Equal(d.workers.acked, task.EndSeq(1))
	d.workers.mu.Unlock()
	d.store.set(false, false)
	d.workers.await(t, "the second acknowledgement", func() bool { return d.workers.acked == 2 })
	is.Equal(d.look(jobB).State, task.Completed)
}

// TestOutageOfStoreKeepsRuns guards against runs that are given up because
// their reports waited for the store while their lease was extended.
func TestOutageOfStoreKeepsRuns(t *testing.T) {
	if testing.Short() {
		t.Skip("takes nine seconds")
	}
	is := is.New(t)
	d := serve(t, newFakeStore(), newFakeWorkers())
	is.Equal(d.submit(jobA).Outcome, controller.OK)
	d.workers.await(t, "the start", func() bool { return len(d.workers.started) == 1 })
	d.store.set(true, false)
	go d.submit(jobB) // makes the cycle wait for the store
	time.Sleep(8 * time.Second)
	d.store.set(false, false)
	d.workers.await(t, "the second start", func() bool { return len(d.workers.started) >= 2 })
	time.Sleep(300 * time.Millisecond)
	d.workers.mu.Lock()
	defer d.workers.mu.Unlock()
	is.Equal(len(d.workers.started), 2) // jobA was not started again
}

// TestNextOwnerGoesOn guards against work that a new owner starts again, or
// forgets, after the earlier owner has ended.
func TestNextOwnerGoesOn(t *testing.T) {
	is := is.New(t)
	store, workers := newFakeStore(), newFakeWorkers()
	first := serve(t, store, workers)
	is.Equal(first.submit(jobA).Outcome, controller.OK)
	workers.await(t, "the start", func() bool { return len(workers.started) == 1 })
	first.election.Close()
	second := serve(t, store, workers)
	is.Equal(second.look(jobA).State, task.Running)
	workers.finish("worker")
	workers.await(t, "the acknowledgement", func() bool { return workers.acked == 1 })
	is.Equal(second.look(jobA).State, task.Completed)
	is.Equal(len(workers.started), 1)
	item, err := store.Get(t.Context(), election.CommitKey)
	is.NoErr(err)
	mark, err := election.DecodeCommitRecord(item.Value)
	is.NoErr(err)
	is.Equal(mark.Fence, task.Fence(2))
}

// TestNoRefusalOfPendingJob guards against a job that runs though a repeated
// submission was told that it does not: the first attempt waits for the store.
func TestNoRefusalOfPendingJob(t *testing.T) {
	is := is.New(t)
	d := serve(t, newFakeStore(), newFakeWorkers())
	d.store.set(true, false)
	first := make(chan controller.Outcome, 1)
	go func() { first <- d.submit(jobA).Outcome }()
	<-d.store.refused
	for n := 0; ; n++ { // until the owner refuses what it does not have
		if d.submitWithin(fmt.Sprintf("%016x", n), 50*time.Millisecond).Outcome == controller.Refused {
			break
		}
	}
	is.Equal(d.submit(jobA).Outcome, controller.Unknown)
	d.store.set(false, false)
	is.Equal(<-first, controller.OK)
}

// TestWorkerComesBack guards against a worker that is never used again after
// its entry had lapsed while the store was away.
func TestWorkerComesBack(t *testing.T) {
	is := is.New(t)
	lists := fakeLists{workers: testWorkers(), changes: make(chan controller.Update)}
	d := serveLists(t, newFakeStore(), newFakeWorkers(), lists)
	is.Equal(d.submit(jobA).Outcome, controller.OK)
	d.workers.await(t, "the start", func() bool { return len(d.workers.started) == 1 })
	d.workers.finish("worker")
	d.workers.await(t, "the acknowledgement", func() bool { return d.workers.acked == 1 })
	lists.changes <- controller.Update{Version: 2, Removed: []id.Worker{"worker"}}
	lists.changes <- controller.Update{Version: 3, Workers: testWorkers()}
	is.Equal(d.submit(jobB).Outcome, controller.OK)
	d.workers.await(t, "the second start", func() bool { return len(d.workers.started) == 2 })
}

// TestRefusalAfterNoAnswer guards against a start that counts as refused though
// an earlier attempt may still be carried out: it has to be stopped first.
func TestRefusalAfterNoAnswer(t *testing.T) {
	is := is.New(t)
	workers := newFakeWorkers()
	workers.script = []planner.OrderResult{planner.Unanswered, planner.NoCapacity}
	d := serve(t, newFakeStore(), workers)
	is.Equal(d.submit(jobA).Outcome, controller.OK)
	workers.await(t, "the second run", func() bool { return len(workers.started) == 1 })
	workers.mu.Lock()
	defer workers.mu.Unlock()
	is.Equal(workers.started[0].Run, task.RunNumber(2))
	is.Equal(workers.stopped, 1)
}

// TestOldGreetingsDoNotEndNewTerm guards against an owner that gives up as cut
// off because other nodes greeted it in an earlier term and not yet in this one.
func TestOldGreetingsDoNotEndNewTerm(t *testing.T) {
	is := is.New(t)
	store, workers := newFakeStore(), newFakeWorkers()
	d := newController(store, workers, fakeLists{workers: testWorkers()})
	d.Heartbeat("other")
	time.Sleep(2200 * time.Millisecond) // greetings older than two seconds make an owner doubt
	own := own(t, d, store, workers)
	time.Sleep(500 * time.Millisecond)
	is.Equal(own.Owner().Fence, task.Fence(1))
	is.True(d.Heartbeat(""))
}
