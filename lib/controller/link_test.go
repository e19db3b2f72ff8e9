package controller_test

import (
	"slices"
	"sync"
	"testing"
	"time"

	"bronzewinch.dev/lib/controller"
	"bronzewinch.dev/lib/election"
	"bronzewinch.dev/lib/kv"
	"bronzewinch.dev/lib/planner"
	"bronzewinch.dev/lib/task"
	"bronzewinch.dev/lib/unit"

	"github.com/matryer/is"
)

// firstPollAbove returns the first poll under a fence that is higher than the given one.
// The lock is held.
func (w *fakeWorkers) firstPollAbove(fence task.Fence) (controller.PollRequest, bool) {
	i := slices.IndexFunc(w.polls, func(p controller.PollRequest) bool { return p.Fence > fence })
	if i < 0 {
		return controller.PollRequest{}, false
	}
	return w.polls[i], true
}

// TestUnansweredStartIsFenced guards against a start that is carried out after it was
// given up: before the task starts again, the worker has to answer under a higher fence.
func TestUnansweredStartIsFenced(t *testing.T) {
	is := is.New(t)
	workers := newFakeWorkers()
	workers.startResults = []planner.OrderResult{planner.Unanswered, planner.Unanswered, planner.Unanswered}
	var unanswered task.Fence
	workers.beforeStart = func(o planner.Order) {
		workers.mu.Lock()
		defer workers.mu.Unlock()
		if o.Run == 2 {
			unanswered = workers.startFence
		}
	}
	c := serve(t, newFakeStore(), workers)
	is.Equal(c.submit(jobA).Outcome, controller.OK)
	workers.await(t, "the second run", func() bool { return len(workers.started) == 1 })
	workers.mu.Lock()
	defer workers.mu.Unlock()
	first, ok := workers.firstPollAbove(unanswered)
	is.True(ok)
	is.Equal(first.Until, task.ClockMillis(0)) // the worker may be another incarnation
}

// TestCallsToEarlierIncarnationAreFenced guards against a call to a worker that is carried
// out after the worker has restarted: a report of the new incarnation counts only if it
// was requested under a higher fence than all earlier calls.
func TestCallsToEarlierIncarnationAreFenced(t *testing.T) {
	for _, test := range []struct {
		name   string
		report bool // the restart is seen in a report, and the list entry follows
	}{
		{"restart seen in a report", true},
		{"restart seen in the list", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			workers := newFakeWorkers()
			lists := fakeLists{workers: testWorkers(), changes: make(chan controller.Update)}
			c := serveWithLists(t, newFakeStore(), workers, lists)
			is.Equal(c.submit(jobA).Outcome, controller.OK)
			workers.await(t, "the start", func() bool { return len(workers.started) == 1 })
			restarted := testWorkers()[0]
			restarted.Incarnation++
			workers.mu.Lock()
			workers.incarnation, workers.runs[restarted.ID] = restarted.Incarnation, nil
			highest := workers.startFence
			for _, p := range workers.polls {
				highest = max(highest, p.Fence)
			}
			workers.notify() // ends the poll in progress
			workers.mu.Unlock()
			if test.report {
				workers.await(t, "a poll with a higher fence", func() bool {
					_, ok := workers.firstPollAbove(highest)
					return ok
				})
			}
			lists.changes <- controller.Update{Version: 2, Workers: []task.Worker{restarted}}
			workers.await(t, "the second start", func() bool { return len(workers.started) == 2 })
			workers.mu.Lock()
			defer workers.mu.Unlock()
			first, ok := workers.firstPollAbove(highest)
			is.True(ok) // before the task started again
			is.Equal(first.Acked, task.EndSeq(0))
			is.Equal(first.Until, task.ClockMillis(0))
		})
	}
}

// TestStartIsNotRetriedAfterItsRunHasEnded guards against a start that is sent again after
// its run has ended: a worker that has restarted meanwhile would run the task a second time.
func TestStartIsNotRetriedAfterItsRunHasEnded(t *testing.T) {
	is := is.New(t)
	workers := newFakeWorkers()
	workers.startResults = []planner.OrderResult{planner.Unanswered}
	var attempts []task.RunNumber
	workers.beforeStart = func(o planner.Order) {
		workers.mu.Lock()
		attempts = append(attempts, o.Run)
		if len(attempts) > 1 {
			workers.mu.Unlock()
			return
		}
		workers.runs[o.Worker] = []task.ActiveRun{{Task: o.Task, Run: o.Run}}
		workers.end(o.Worker, task.EndStopped)
		workers.mu.Unlock()
		workers.await(t, "the acknowledgement", func() bool { return workers.acked == 1 })
	}
	c := serve(t, newFakeStore(), workers)
	is.Equal(c.submit(jobA).Outcome, controller.OK)
	workers.await(t, "the start of the second run", func() bool { return slices.Contains(attempts, 2) })
	workers.mu.Lock()
	defer workers.mu.Unlock()
	is.Equal(attempts, []task.RunNumber{1, 2})
}

// TestDroppedStartsAreRepeated guards against tasks that count as running for good because the
// queue of orders of their worker did not accept their starts.
func TestDroppedStartsAreRepeated(t *testing.T) {
	is := is.New(t)
	const tasks = 4500 // more than the queue holds
	workers := newFakeWorkers()
	full := make(chan struct{})
	workers.beforeStart = func(planner.Order) { <-full }
	c := serve(t, newFakeStore(), workers)
	reply := c.Handle(t.Context(), controller.Request{Verb: controller.Submit, Host: testHost, Path: "/q/" + jobA, Key: testKey,
		Job: &task.Job{Spec: "s", Steps: []task.Step{{Tasks: tasks, Estimate: time.Second}}}})
	is.Equal(reply.Outcome, controller.OK) // the starts are queued now
	close(full)
	workers.await(t, "the starts of all tasks", func() bool {
		if len(workers.started) < tasks {
			return false
		}
		started := make(map[task.Name]bool)
		for _, o := range workers.started {
			started[o.Task] = true
		}
		return len(started) == tasks
	})
}

// TestQueuedStartsLeaveSilentWorker guards against starts that each wait in turn for a worker
// that has stopped to answer, although another one has room for them.
func TestQueuedStartsLeaveSilentWorker(t *testing.T) {
	is := is.New(t)
	const tasks = 8
	workers := newFakeWorkers()
	listed := append(testWorkers(), testWorkers()...)
	listed[1].ID = "other"
	workers.beforeStart = func(o planner.Order) {
		workers.mu.Lock()
		defer workers.mu.Unlock()
		if workers.silent == "" {
			workers.silent = o.Worker
		}
	}
	c := serveWithLists(t, newFakeStore(), workers, fakeLists{workers: listed})
	accepted := time.Now()
	reply := c.Handle(t.Context(), controller.Request{Verb: controller.Submit, Host: testHost, Path: "/q/" + jobA, Key: testKey, Job: &task.Job{
		Spec: "s", Steps: []task.Step{{Tasks: tasks, Demand: unit.Resources{Accelerators: 1}, Estimate: time.Second}}}})
	is.Equal(reply.Outcome, controller.OK)
	// The start without an answer has to wait for the lease that it may have granted.
	workers.await(t, "the starts of the others", func() bool { return len(workers.started) == tasks-1 })
	is.True(time.Since(accepted) < 3*time.Second) // the lifetime of an order
}

// TestUnlistedWorkerIsPolledForLateStart guards against a worker that restarts under its id and
// carries out a start of an earlier owner before its entry is in the list again.
func TestUnlistedWorkerIsPolledForLateStart(t *testing.T) {
	is := is.New(t)
	store, workers := newFakeStore(), newFakeWorkers()
	workers.startResults = []planner.OrderResult{planner.Unanswered, planner.Unanswered, planner.Unanswered}
	stored := func() bool {
		items, err := store.List(t.Context(), "bronzewinch/late/", "", 0)
		return err == nil && len(items) == 1
	}
	first := serve(t, store, workers)
	is.Equal(first.submit(jobA).Outcome, controller.OK)
	workers.await(t, "the record of the unanswered start", stored)
	first.election.Close()
	workers.mu.Lock()
	polls := len(workers.polls)
	workers.mu.Unlock()
	serveWithLists(t, store, workers, fakeLists{})
	workers.await(t, "a poll of the worker by the second owner", func() bool {
		return slices.ContainsFunc(workers.polls[polls:], func(p controller.PollRequest) bool { return p.Fence >= 2*election.FencesPerTerm })
	})
	is.True(stored()) // also for the next owner
}

// TestLeaseAllowsForSlowClock guards against a lease that lasts longer than the owner
// computes, on a worker whose clock is 2% slow and that was not polled for some time.
func TestLeaseAllowsForSlowClock(t *testing.T) {
	is := is.New(t)
	c := serve(t, newFakeStore(), newFakeWorkers())
	time.Sleep(1500 * time.Millisecond) // the clock of the only report gets older
	is.Equal(c.submit(jobA).Outcome, controller.OK)
	c.workers.await(t, "the start", func() bool { return len(c.workers.started) == 1 })
	c.workers.mu.Lock()
	defer c.workers.mu.Unlock()
	is.True(c.workers.startedAfter >= 1500*time.Millisecond)
	slow := time.Duration(0.98 * float64(c.workers.startedAfter))
	is.True(c.workers.startUntil <= 1000+task.ClockMillis((slow+6*time.Second).Milliseconds()))
}

// TestNoLeaseForEarlierIncarnation guards against runs that stay on record for ever: the
// reports of a worker with an earlier start time than listed do not count, but each poll
// would extend the lease of its runs.
func TestNoLeaseForEarlierIncarnation(t *testing.T) {
	is := is.New(t)
	workers := newFakeWorkers()
	c := serve(t, newFakeStore(), workers)
	is.Equal(c.submit(jobA).Outcome, controller.OK)
	workers.await(t, "the start", func() bool { return len(workers.started) == 1 })
	workers.mu.Lock()
	workers.incarnation = testWorkers()[0].Incarnation - 1
	polls := len(workers.polls)
	workers.notify() // ends the poll in progress
	workers.mu.Unlock()
	workers.await(t, "two more polls", func() bool { return len(workers.polls) > polls+1 })
	workers.mu.Lock()
	defer workers.mu.Unlock()
	for _, p := range workers.polls[polls+1:] {
		is.Equal(p.Until, task.ClockMillis(0))
	}
}

// TestReportDuringRetryDoesNotCount guards against a second run of a task whose first run
// is reported as ended while its start is sent again, to a worker that has just restarted.
func TestReportDuringRetryDoesNotCount(t *testing.T) {
	is := is.New(t)
	workers := newFakeWorkers()
	workers.startResults = []planner.OrderResult{planner.Unanswered}
	attempts := 0
	workers.beforeStart = func(o planner.Order) {
		if attempts++; attempts != 2 {
			return
		}
		workers.mu.Lock()
		workers.runs[o.Worker] = []task.ActiveRun{{Task: o.Task, Run: o.Run}}
		workers.end(o.Worker, task.EndStopped)
		workers.mu.Unlock()
		workers.await(t, "the report of the end", func() bool { return workers.reported[1] })
		time.Sleep(100 * time.Millisecond) // the planner would end the run now
		workers.mu.Lock()
		workers.ends[o.Worker], workers.incarnation = nil, testWorkers()[0].Incarnation+1
		workers.mu.Unlock()
	}
	c := serve(t, newFakeStore(), workers)
	is.Equal(c.submit(jobA).Outcome, controller.OK)
	workers.await(t, "the start", func() bool { return len(workers.started) > 0 })
	workers.mu.Lock()
	polls := len(workers.polls)
	workers.mu.Unlock()
	workers.await(t, "three more polls", func() bool { return len(workers.polls) > polls+2 })
	workers.finish("worker")
	workers.await(t, "the acknowledgement", func() bool { return workers.acked == 2 })
	is.Equal(c.query(jobA).State, task.Completed)
	workers.mu.Lock()
	defer workers.mu.Unlock()
	is.Equal(len(workers.started), 1)
}

// TestQueuedStartIsNotSentToDrainingWorker guards against a start that waits behind a slow
// order and reaches the worker after it has begun to drain.
func TestQueuedStartIsNotSentToDrainingWorker(t *testing.T) {
	is := is.New(t)
	workers := newFakeWorkers()
	lists := fakeLists{workers: testWorkers(), changes: make(chan controller.Update)}
	var c *testController
	slow := true
	workers.beforeStart = func(planner.Order) {
		if !slow {
			return
		}
		slow = false
		draining := testWorkers()
		draining[0].Draining = true
		for version := range kv.Version(2) { // when the second update is taken, the first is queued
			lists.changes <- controller.Update{Version: 2 + version, Workers: draining}
		}
		is.Equal(c.submit(jobB).Outcome, controller.OK) // after the first update
	}
	c = serveWithLists(t, newFakeStore(), workers, lists)
	reply := c.Handle(t.Context(), controller.Request{Verb: controller.Submit, Host: testHost, Path: "/q/" + jobA, Key: testKey,
		Job: &task.Job{Spec: "s", Steps: []task.Step{{Tasks: 2, Demand: unit.Resources{Accelerators: 4}, Estimate: time.Second}}}})
	is.Equal(reply.Outcome, controller.OK)
	workers.await(t, "the first start", func() bool { return len(workers.started) >= 1 })
	other := testWorkers()
	other[0].ID = "other"
	lists.changes <- controller.Update{Version: 4, Workers: other}
	workers.await(t, "the other starts", func() bool { return len(workers.started) >= 3 })
	workers.mu.Lock()
	defer workers.mu.Unlock()
	for _, o := range workers.started[1:] {
		is.Equal(o.Worker, other[0].ID)
	}
}

// TestStoppingOwnerFinishesOrders guards against an owner that stops between the starts of a
// gang: the next owner would have to stop the members that run, and start the gang again.
func TestStoppingOwnerFinishesOrders(t *testing.T) {
	is := is.New(t)
	workers := newFakeWorkers()
	started := make(chan struct{})
	var once sync.Once
	var c *testController
	workers.beforeStart = func(planner.Order) {
		once.Do(func() {
			close(started)
			workers.await(t, "the end of the session", func() bool { return !c.Heartbeat("") })
		})
	}
	c = serve(t, newFakeStore(), workers)
	reply := c.Handle(t.Context(), controller.Request{Verb: controller.Submit, Host: testHost, Path: "/q/" + jobA, Key: testKey,
		Job: &task.Job{Spec: "s", Steps: []task.Step{{Tasks: 2, Gang: true, Demand: unit.Resources{Accelerators: 4}, Estimate: time.Second}}}})
	is.Equal(reply.Outcome, controller.OK)
	<-started
	c.election.Close()
	is.Equal(len(workers.started), 2)
}
