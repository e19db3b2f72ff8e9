package planner_test

import (
	"fmt"
	"testing"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/planner"
	"bronzewinch.dev/lib/task"
	"bronzewinch.dev/lib/unit"

	"github.com/matryer/is"
)

// single returns a job of one step.
func single(n int, step task.Step) task.Job {
	if step.Demand.IsZero() {
		step.Demand = unit.Resources{Accelerators: 1, Cores: unit.Core}
	}
	return task.Job{ID: id.Job(fmt.Sprintf("%016x", n)), Account: "c", Spec: "s", Steps: []task.Step{step}}
}

// place submits a job and plans once. It returns the orders.
func place(s *sim, j task.Job, priority int) []planner.Order {
	s.submit(j, priority)
	s.r.Plan(s.now)
	return s.r.TakeChanges().Orders
}

func ended(s *sim, o planner.Order, how task.EndReason) planner.Changes {
	s.seq++
	s.now = s.now.Add(time.Second)
	s.r.HandleReport(s.now, s.now, task.Report{Worker: o.Worker, Incarnation: 1, Ends: []task.EndedRun{
		{Seq: s.seq, Task: o.Task, Run: o.Run, Reason: how}}})
	s.r.Tick(s.now)
	s.r.Plan(s.now)
	return s.r.TakeChanges()
}

// TestEndsOfRuns guards against attempts that are not counted, or counted for
// ends that are not the task's fault.
func TestEndsOfRuns(t *testing.T) {
	for _, test := range []struct {
		name string
		ends []task.EndReason
		want task.State
	}{
		{"done at once", []task.EndReason{task.EndDone}, task.Completed},
		{"done at the last attempt", []task.EndReason{task.EndFailed, task.EndFailed, task.EndFailed, task.EndDone}, task.Completed},
		{"failed as often as allowed", []task.EndReason{task.EndFailed, task.EndFailed, task.EndFailed, task.EndFailed}, task.Failed},
		{"other ends don't count", []task.EndReason{task.EndStopped, task.EndLeaseExpired, task.EndGangBroken, task.EndGangIncomplete, task.EndStopped, task.EndDone}, task.Completed},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newSim(t, 1, 8)
			orders := place(s, single(1, task.Step{Tasks: 1}), 1)
			for i, how := range test.ends {
				is.Equal(len(orders), 1)
				is.Equal(orders[0].Kind, planner.Start)
				is.Equal(orders[0].Run, task.RunNumber(i+1))
				orders = ended(s, orders[0], how).Orders
			}
			is.Equal(len(orders), 0)
			status, ok := s.r.Status("0000000000000001")
			is.True(ok)
			is.Equal(status.State, test.want)
		})
	}
}

// TestCheckpointGoesOn guards against work that is lost though its progress
// was saved.
func TestCheckpointGoesOn(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 2)
	first := place(s, single(1, task.Step{Tasks: 1, Checkpoints: true}), 1)[0]
	s.r.HandleReport(s.now, s.now, task.Report{Worker: first.Worker, Incarnation: 1, Ends: []task.EndedRun{
		{Seq: 1, Task: first.Task, Run: 1, Reason: task.EndStopped, Checkpoint: "saved"}}})
	s.r.Plan(s.now)
	second := s.r.TakeChanges().Orders[0]
	is.Equal(second.Checkpoint, task.Checkpoint("saved"))
	is.Equal(second.Run, task.RunNumber(2))
}

// TestPlacement guards against starts where a job may not run, or runs badly.
func TestPlacement(t *testing.T) {
	whole := unit.Resources{Accelerators: 8, Cores: unit.Core}
	for _, test := range []struct {
		name   string
		step   task.Step
		starts int
		check  func(orders []planner.Order) bool
	}{
		{"no worker has the label", task.Step{Tasks: 1, Label: "b"}, 0, nil},
		{"the label of all", task.Step{Tasks: 1, Label: "a"}, 1, nil},
		{"near its data", task.Step{Tasks: 2, DataRack: "r-1"}, 2, func(o []planner.Order) bool {
			return o[0].Worker >= "w-06" && o[1].Worker >= "w-06"
		}},
		{"at most two on a worker", task.Step{Tasks: 6, MaxPerWorker: 2}, 6, func(o []planner.Order) bool {
			n := make(map[id.Worker]int)
			for _, x := range o {
				n[x.Worker]++
			}
			return len(n) == 3
		}},
		{"gang in one rack", task.Step{Tasks: 6, Gang: true, SameRack: true, Demand: whole}, 6, func(o []planner.Order) bool {
			for _, x := range o {
				if (x.Worker >= "w-06") != (o[0].Worker >= "w-06") {
					return false
				}
			}
			return true
		}},
		{"gang that no rack holds", task.Step{Tasks: 7, Gang: true, SameRack: true, Demand: whole}, 7, nil},
		{"gang that nothing holds", task.Step{Tasks: 13, Gang: true, Demand: whole}, 0, nil},
		{"more than there is room for", task.Step{Tasks: 13, Demand: whole}, 12, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newSim(t, 1, 12)
			orders := place(s, single(1, test.step), 1)
			is.Equal(len(orders), test.starts)
			if test.check != nil {
				is.True(test.check(orders))
			}
		})
	}
}

// TestDrainingWorker guards against starts on a worker that leaves, and against
// progress that is lost with it.
func TestDrainingWorker(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 2)
	first := place(s, single(1, task.Step{Tasks: 1, Checkpoints: true}), 1)[0]
	leaving := s.workers[first.Worker].Worker
	leaving.Draining = true
	s.r.UpdateWorker(s.now, leaving)
	s.r.Plan(s.now)
	stop := s.r.TakeChanges().Orders
	is.Equal(len(stop), 1)
	is.Equal(stop[0].Kind, planner.Stop)
	for _, o := range place(s, single(2, task.Step{Tasks: 16}), 1) {
		is.True(o.Worker != first.Worker)
	}
}

// TestUnreachableWorker guards against a task that starts elsewhere while its
// run may go on, and against one that never starts again.
func TestUnreachableWorker(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 2)
	first := place(s, single(1, task.Step{Tasks: 1}), 1)[0]
	s.r.HandleOrderResult(s.now, first, planner.Accepted)
	s.r.RecordLeaseGrant(first.Worker, s.now)
	s.r.TakeChanges()
	pass := func(d time.Duration) []planner.Order {
		s.now = s.now.Add(d)
		s.r.Tick(s.now)
		s.r.Plan(s.now)
		return s.r.TakeChanges().Orders
	}
	// The start may be sent for another three seconds, and its lease lasts six
	// seconds on a clock that is 2% slow.
	is.Equal(len(pass(9*time.Second)), 0)
	again := pass(time.Second)
	is.Equal(len(again), 1)
	is.Equal(again[0].Run, task.RunNumber(2))
}

// TestRebornWorker guards against runs that are awaited on a worker that has
// started anew under its id.
func TestRebornWorker(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 1)
	first := place(s, single(1, task.Step{Tasks: 1}), 1)[0]
	reborn := s.workers[first.Worker].Worker
	reborn.Incarnation = 2
	s.r.UpdateWorker(s.now, reborn)
	s.r.Plan(s.now)
	again := s.r.TakeChanges().Orders
	is.Equal(len(again), 1)
	is.Equal(again[0].Incarnation, task.Incarnation(2))
}

// TestUnansweredStart guards against a gang that runs with some members: one
// start that may be carried out late stops the others.
func TestUnansweredStart(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 3)
	orders := place(s, single(1, task.Step{Tasks: 3, Gang: true, Demand: unit.Resources{Accelerators: 8, Cores: 1}}), 1)
	is.Equal(len(orders), 3)
	s.r.HandleOrderResult(s.now, orders[0], planner.Accepted)
	s.r.HandleOrderResult(s.now, orders[1], planner.Unanswered)
	stops := s.r.TakeChanges().Orders
	is.Equal(len(stops), 3)
	for _, o := range stops {
		is.Equal(o.Kind, planner.Stop)
	}
}

// TestStrayRun guards against a run that goes on though no record has it.
func TestStrayRun(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 1)
	stray := task.Name{Job: "00000000000000ff"}
	s.r.HandleReport(s.now, s.now, task.Report{Worker: "w-00", Incarnation: 1, Active: []task.ActiveRun{{Task: stray, Run: 4}}})
	orders := s.r.TakeChanges().Orders
	is.Equal(len(orders), 1)
	is.Equal(orders[0].Kind, planner.Stop)
	is.Equal(orders[0].Task, stray)
}

// TestRestore guards against a new owner that forgets what is done, starts
// again what may run, or reuses a run number.
func TestRestore(t *testing.T) {
	is := is.New(t)
	old := newSim(t, 1, 2)
	orders := place(old, single(1, task.Step{Tasks: 3, Checkpoints: true}), 1)
	ended(old, orders[0], task.EndDone)
	old.r.HandleOrderResult(old.now, orders[1], planner.Accepted)
	ended(old, orders[2], task.EndFailed)
	j := old.jobs["0000000000000001"]
	progress := task.Progress{Job: j.ID, Occurrences: []task.OccurrenceProgress{{Groups: []task.GroupProgress{
		{Done: true, Run: 1}, {Run: 1, Placements: []task.Placement{{Index: 1, Worker: "w-00", Incarnation: 1}}}, {Run: 1, Failures: 1, Checkpoint: "x"}}}}}
	s := newSim(t, 2, 2)
	s.r.Restore(s.now, s.now.Add(time.Minute), j, progress)
	s.r.Resume(s.now)
	s.r.Plan(s.now)
	started := s.r.TakeChanges().Orders
	is.Equal(len(started), 1)
	is.Equal(started[0].Task.Index, 2)
	is.Equal(started[0].Run, task.RunNumber(2))
	is.Equal(started[0].Checkpoint, task.Checkpoint("x"))
	// The worker has no such run any more.
	s.now = s.now.Add(time.Second)
	s.r.HandleReport(s.now, s.now, task.Report{Worker: "w-00", Incarnation: 1})
	s.r.Plan(s.now)
	is.Equal(s.r.TakeChanges().Orders[0].Run, task.RunNumber(2))
}

// TestOccurrences guards against occurrences that start early, or that end a
// job before the last one.
func TestOccurrences(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 1)
	j := single(1, task.Step{Tasks: 1, Estimate: time.Second})
	j.Occurrences, j.First, j.Interval = 2, s.now.Add(3*time.Second), 2*time.Second
	s.submit(j, 1)
	s.advance(2900 * time.Millisecond)
	is.Equal(len(s.highest), 0)
	s.advance(1500 * time.Millisecond)
	is.Equal(len(s.highest), 1)
	status, _ := s.r.Status(j.ID)
	is.Equal(status.State, task.Running)
	s.advance(3 * time.Second)
	is.Equal(len(s.highest), 2)
	status, _ = s.r.Status(j.ID)
	is.Equal(status.State, task.Completed)
}

// TestNewOwnerMeetsWorkersFirst guards against work that a new owner stops for
// a guarantee because it does not know the free workers yet, and against one
// that waits for a worker that does not answer.
func TestNewOwnerMeetsWorkersFirst(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 2)
	r := planner.New(simConfig)
	r.Configure(planner.Rules{Queues: map[task.QueueName]task.Queue{"q0": {Name: "q0", Service: simService, Attempts: 1}}})
	r.Resume(s.now)
	for _, w := range s.workers {
		r.UpdateWorker(s.now, w.Worker)
	}
	j := single(1, task.Step{Tasks: 1})
	j.Queue = "q0"
	is.NoErr(r.Submit(s.now, j))
	r.HandleReport(s.now, s.now, task.Report{Worker: "w-00", Incarnation: 1})
	r.Plan(s.now)
	is.Equal(len(r.TakeChanges().Orders), 0)
	r.Plan(s.now.Add(500 * time.Millisecond))
	is.Equal(len(r.TakeChanges().Orders), 1)
}

// TestFailedGangStartsAgain guards against a gang that never starts again
// because it has failed on workers without which there is no room.
func TestFailedGangStartsAgain(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 4)
	orders := place(s, single(1, task.Step{Tasks: 3, Gang: true, Demand: unit.Resources{Accelerators: 8, Cores: 1}}), 1)
	is.Equal(len(orders), 3)
	for _, o := range orders {
		s.r.HandleReport(s.now, s.now, task.Report{Worker: o.Worker, Incarnation: 1, Ends: []task.EndedRun{
			{Seq: 1, Task: o.Task, Run: 1, Reason: task.EndFailed}}})
	}
	s.r.Plan(s.now)
	is.Equal(count(s.r.TakeChanges().Orders, planner.Start), 3)
}

// TestRestoreWithoutQueue guards against a job that fails or stops because its
// queue has left the configuration before a change of owner.
func TestRestoreWithoutQueue(t *testing.T) {
	is := is.New(t)
	j := single(1, task.Step{Tasks: 1})
	j.Queue = simQueue(1)
	j.Admitted = task.Queue{Name: j.Queue, Service: simService, Priority: 1, Attempts: 4}
	s := newSim(t, 1, 1)
	s.r.Configure(planner.Rules{})
	s.r.Restore(s.now, s.now, j, task.Progress{Job: j.ID, Occurrences: []task.OccurrenceProgress{{Groups: []task.GroupProgress{{Run: 1, Failures: 1}}}}})
	s.r.Resume(s.now)
	s.r.Plan(s.now)
	orders := s.r.TakeChanges().Orders
	is.Equal(len(orders), 1)
	ended(s, orders[0], task.EndFailed)
	status, _ := s.r.Status(j.ID)
	is.Equal(status.State, task.Running)
}

// TestStartThatMayComeLate guards against a task that starts elsewhere while a
// start without an answer may still be carried out: a refused stop proves
// nothing, and neither does a lease that has ended.
func TestStartThatMayComeLate(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 2)
	first := place(s, single(1, task.Step{Tasks: 1}), 1)[0]
	s.r.HandleOrderResult(s.now, first, planner.Unanswered)
	stop := s.r.TakeChanges().Orders[0]
	is.Equal(stop.Kind, planner.Stop)
	s.r.HandleOrderResult(s.now, stop, planner.Rejected)
	s.now = s.now.Add(time.Second)
	s.r.RecordLeaseGrant(first.Worker, s.now)
	s.r.HandleReport(s.now, s.now, task.Report{Worker: first.Worker, Incarnation: 1})
	s.r.Plan(s.now)
	is.Equal(count(s.r.TakeChanges().Orders, planner.Start), 0)
	// The worker does not answer until its lease has ended.
	s.now = s.now.Add(time.Minute)
	s.r.Tick(s.now)
	s.r.Plan(s.now)
	orders := s.r.TakeChanges().Orders
	is.Equal(count(orders, planner.Start), 1)
	is.Equal(count(orders, planner.Stop), 1) // of the first run, as long as the stop has no answer
	for _, o := range orders {
		if o.Kind == planner.Stop {
			is.Equal(o.Run, task.RunNumber(1))
			s.r.HandleOrderResult(s.now, o, planner.Accepted)
		}
	}
	s.now = s.now.Add(2 * time.Second)
	s.r.Tick(s.now)
	is.Equal(count(s.r.TakeChanges().Orders, planner.Stop), 0)
}

// TestReportFromBeforeStart guards against a run that counts as gone because a
// report that was asked for before its start does not list it: the task would
// run twice.
func TestReportFromBeforeStart(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 2)
	start := place(s, single(1, task.Step{Tasks: 1}), 1)[0]
	asked := s.now
	s.now = s.now.Add(50 * time.Millisecond)
	s.r.HandleOrderResult(s.now, start, planner.Accepted)
	s.now = s.now.Add(50 * time.Millisecond)
	empty := task.Report{Worker: start.Worker, Incarnation: 1}
	s.r.HandleReport(s.now, asked, empty)
	s.r.Plan(s.now)
	is.Equal(len(s.r.TakeChanges().Orders), 0)
	s.r.HandleReport(s.now, s.now, empty) // asked for after the start was answered
	s.r.Plan(s.now)
	orders := s.r.TakeChanges().Orders
	is.Equal(len(orders), 1)
	is.Equal(orders[0].Run, task.RunNumber(2))
}

// TestRestoredJobsKeepTheirOrder guards against a new owner that lets later
// jobs of the first priority take the guarantee before earlier ones.
func TestRestoredJobsKeepTheirOrder(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 4) // account a is guaranteed 9 accelerators
	for n := range 8 {
		j := single(n, task.Step{Tasks: 1, Demand: unit.Resources{Accelerators: 8, Cores: unit.Core}})
		j.Account, j.Queue, j.Accepted = "a", simQueue(0), s.now.Add(-time.Duration(n)*time.Second)
		s.r.Restore(s.now, s.now, j, task.Progress{Job: j.ID})
	}
	s.r.Resume(s.now)
	s.r.Plan(s.now)
	orders := s.r.TakeChanges().Orders
	is.Equal(len(orders), 4)
	is.Equal(orders[0].Task.Job, single(7, task.Step{}).ID) // the first that was accepted
}

// TestFailingWorkerIsLeftOut guards against a worker that fails all that it
// starts and is given the next task at once.
func TestFailingWorkerIsLeftOut(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 2)
	fill := single(1, task.Step{Tasks: 1, Demand: unit.Resources{Accelerators: 8, Cores: unit.Core}})
	other := place(s, fill, 1)[0].Worker
	var bad id.Worker
	for n := range 2 {
		o := place(s, single(10+n, task.Step{Tasks: 1}), 1)[0]
		is.True(o.Worker != other)
		bad = o.Worker
		is.NoErr(s.r.Cancel(s.now, o.Task.Job)) // so that it does not start again
		ended(s, o, task.EndFailed)
	}
	is.Equal(len(place(s, single(20, task.Step{Tasks: 1}), 1)), 0)
	s.now = s.now.Add(9 * time.Second)
	s.r.RecordLeaseGrant(other, s.now)
	s.r.Plan(s.now)
	orders := s.r.TakeChanges().Orders
	is.Equal(len(orders), 1)
	is.Equal(orders[0].Worker, bad)
}
