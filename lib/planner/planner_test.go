package planner_test

import (
	"fmt"
	"testing"
	"time"

	"bronzewinch.dev/lib/codec"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/planner"
	"bronzewinch.dev/lib/task"
	"bronzewinch.dev/lib/unit"

	"github.com/matryer/is"
)

// singleStepJob returns a job of one step. Its tasks need one accelerator and one core
// each, unless the step sets a demand.
func singleStepJob(n int, step task.Step) task.Job {
	if step.Demand.IsZero() {
		step.Demand = unit.Resources{Accelerators: 1, Cores: unit.Core}
	}
	return task.Job{ID: id.Job(fmt.Sprintf("%016x", n)), Account: "c", Spec: "s", Steps: []task.Step{step}}
}

// submitAndPlan submits a job and plans once. It returns the orders.
func submitAndPlan(s *sim, j task.Job, priority int) []planner.Order {
	s.submit(j, priority)
	s.planner.Plan(s.now)
	return s.planner.TakeChanges().Orders
}

// endRun reports the end of a run after a second, and plans once.
func endRun(s *sim, o planner.Order, reason task.EndReason) planner.Changes {
	s.seq++
	s.now = s.now.Add(time.Second)
	s.planner.HandleReport(s.now, s.now, task.Report{Worker: o.Worker, Incarnation: 1, Ends: []task.EndedRun{
		{Seq: s.seq, Task: o.Task, Run: o.Run, Reason: reason}}})
	s.planner.Tick(s.now)
	s.planner.Plan(s.now)
	return s.planner.TakeChanges()
}

// TestEndsOfRuns guards against failed attempts that are not counted, and against
// attempts that are counted for runs that ended for another reason than a failure.
func TestEndsOfRuns(t *testing.T) {
	for _, test := range []struct {
		name string
		ends []task.EndReason
		want task.State
	}{
		{"success at the first attempt", []task.EndReason{task.EndDone}, task.Completed},
		{"success at the last attempt", []task.EndReason{task.EndFailed, task.EndFailed, task.EndFailed, task.EndDone}, task.Completed},
		{"all attempts failed", []task.EndReason{task.EndFailed, task.EndFailed, task.EndFailed, task.EndFailed}, task.Failed},
		{"other ends don't count", []task.EndReason{task.EndStopped, task.EndLost, task.EndGangBroken, task.EndGangIncomplete,
			task.EndStopped, task.EndDone}, task.Completed},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newSim(t, 1, 8)
			orders := submitAndPlan(s, singleStepJob(1, task.Step{Tasks: 1}), 1)
			for i, reason := range test.ends {
				is.Equal(len(orders), 1)
				is.Equal(orders[0].Kind, planner.Start)
				is.Equal(orders[0].Run, task.RunNumber(i+1))
				orders = endRun(s, orders[0], reason).Orders
			}
			is.Equal(len(orders), 0)
			status, ok := s.planner.Status("0000000000000001")
			is.True(ok)
			is.Equal(status.State, test.want)
		})
	}
}

// TestRestartFromCheckpoint guards against a run that starts without the checkpoint of
// the run before.
func TestRestartFromCheckpoint(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 2)
	first := submitAndPlan(s, singleStepJob(1, task.Step{Tasks: 1, Checkpoints: true}), 1)[0]
	s.planner.HandleReport(s.now, s.now, task.Report{Worker: first.Worker, Incarnation: 1, Ends: []task.EndedRun{
		{Seq: 1, Task: first.Task, Run: 1, Reason: task.EndStopped, Checkpoint: "saved"}}})
	s.planner.Plan(s.now)
	second := s.planner.TakeChanges().Orders[0]
	is.Equal(second.Checkpoint, task.Checkpoint("saved"))
	is.Equal(second.Run, task.RunNumber(2))
}

// TestPlacement guards against starts on workers that the step excludes or cannot use
// at full speed, and against groups that do not start although they fit.
func TestPlacement(t *testing.T) {
	whole := unit.Resources{Accelerators: 8, Cores: unit.Core}
	for _, test := range []struct {
		name   string
		step   task.Step
		starts int
		check  func(orders []planner.Order) bool
	}{
		{"no worker has the label", task.Step{Tasks: 1, Label: "b"}, 0, nil},
		{"all workers have the label", task.Step{Tasks: 1, Label: "a"}, 1, nil},
		{"on the rack of its data", task.Step{Tasks: 2, DataRack: "r-1"}, 2, func(o []planner.Order) bool {
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
		{"gang larger than a rack", task.Step{Tasks: 7, Gang: true, SameRack: true, Demand: whole}, 7, nil},
		{"gang larger than all racks", task.Step{Tasks: 13, Gang: true, Demand: whole}, 0, nil},
		{"more tasks than capacity", task.Step{Tasks: 13, Demand: whole}, 12, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newSim(t, 1, 12)
			orders := submitAndPlan(s, singleStepJob(1, test.step), 1)
			is.Equal(len(orders), test.starts)
			if test.check != nil {
				is.True(test.check(orders))
			}
		})
	}
}

// TestDrainingWorker guards against starts on a draining worker, and against runs with
// checkpoints that stay on it until they lose their progress.
func TestDrainingWorker(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 2)
	first := submitAndPlan(s, singleStepJob(1, task.Step{Tasks: 1, Checkpoints: true}), 1)[0]
	leaving := s.workers[first.Worker].Worker
	leaving.Draining = true
	s.planner.UpdateWorker(s.now, leaving)
	s.planner.Plan(s.now)
	stop := s.planner.TakeChanges().Orders
	is.Equal(len(stop), 1)
	is.Equal(stop[0].Kind, planner.Stop)
	for _, o := range submitAndPlan(s, singleStepJob(2, task.Step{Tasks: 16}), 1) {
		is.True(o.Worker != first.Worker)
	}
}

// TestUnreachableWorker guards against a task that starts elsewhere while its run may
// still be present on a worker that does not answer, and against one that never starts
// again.
func TestUnreachableWorker(t *testing.T) {
	// A lease lasts for six seconds on a clock that is 2% slow.
	const lease = 6322 * time.Millisecond
	for _, test := range []struct {
		name    string
		result  planner.OrderResult // none if empty
		present time.Duration       // for which the run may be present
	}{
		{"start may still be sent for three seconds", "", 3*time.Second + lease},
		{"start accepted", planner.Accepted, lease},
		{"start not answered", planner.Unanswered, lease},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newSim(t, 1, 2)
			first := submitAndPlan(s, singleStepJob(1, task.Step{Tasks: 1}), 1)[0]
			s.planner.RecordLeaseGrant(first.Worker, s.now)
			if test.result != "" {
				s.planner.HandleOrderResult(s.now, first, test.result)
			}
			s.planner.TakeChanges()
			planAfter := func(d time.Duration) []planner.Order {
				s.now = s.now.Add(d)
				s.planner.Tick(s.now)
				s.planner.Plan(s.now)
				return s.planner.TakeChanges().Orders
			}
			is.Equal(countOrders(planAfter(test.present), planner.Start), 0)
			again := planAfter(10 * time.Millisecond)
			is.Equal(countOrders(again, planner.Start), 1)
			is.Equal(again[len(again)-1].Run, task.RunNumber(2))
		})
	}
}

// TestUndeliveredStart guards against starts that a worker can't take, because it has crashed
// and is still listed, and that keep the runs that were lost with it from starting elsewhere.
func TestUndeliveredStart(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 2)
	lost := submitAndPlan(s, singleStepJob(1, task.Step{Tasks: 1, Service: true}), 1)[0]
	s.planner.RecordLeaseGrant(lost.Worker, s.now)
	s.planner.HandleOrderResult(s.now, lost, planner.Accepted)
	granted := s.now
	fill := task.Step{Tasks: 16, Demand: unit.Resources{Accelerators: 1}} // the tasks that do not fit wait
	orders := submitAndPlan(s, singleStepJob(2, fill), 1)
	undelivered := 0
	for end := granted.Add(6322 * time.Millisecond); s.now.Before(end); s.now = s.now.Add(100 * time.Millisecond) {
		for _, o := range orders {
			switch {
			case o.Kind != planner.Start:
			case o.Worker == lost.Worker:
				undelivered++
				s.planner.HandleOrderResult(s.now, o, planner.Undelivered)
			default:
				s.planner.RecordLeaseGrant(o.Worker, s.now)
				s.planner.HandleOrderResult(s.now, o, planner.Accepted)
			}
		}
		s.planner.Tick(s.now)
		s.planner.Plan(s.now)
		orders = s.planner.TakeChanges().Orders
	}
	is.Equal(undelivered, 7)             // those of the first pass: it gets no further ones without a report
	is.True(s.planner.Busy(lost.Worker)) // until its lease has expired
	s.now = granted.Add(6330 * time.Millisecond)
	s.planner.Tick(s.now)
	is.True(!s.planner.Busy(lost.Worker))
	s.planner.HandleReport(s.now, s.now, task.Report{Worker: lost.Worker, Incarnation: 1})
	s.planner.Plan(s.now)
	is.True(countOrders(s.planner.TakeChanges().Orders, planner.Start) > 0) // it answers again
}

// TestRestartedWorker guards against runs that count as present on a worker that has
// restarted under the same id.
func TestRestartedWorker(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 1)
	first := submitAndPlan(s, singleStepJob(1, task.Step{Tasks: 1}), 1)[0]
	restarted := s.restartedWorker(first.Worker)
	s.planner.UpdateWorker(s.now, restarted)
	s.planner.Plan(s.now)
	is.Equal(len(s.planner.TakeChanges().Orders), 0) // the new incarnation may run it until it reports
	s.planner.HandleReport(s.now, s.now, task.Report{Worker: first.Worker, Incarnation: 2})
	s.planner.Plan(s.now)
	again := s.planner.TakeChanges().Orders
	is.Equal(len(again), 1)
	is.Equal(again[0].Incarnation, task.Incarnation(2))
}

// TestUnansweredStart guards against a gang that runs with only some of its members. If
// one start is unanswered and may still be carried out, all members have to stop.
func TestUnansweredStart(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 3)
	orders := submitAndPlan(s, singleStepJob(1, task.Step{Tasks: 3, Gang: true,
		Demand: unit.Resources{Accelerators: 8, Cores: 1}}), 1)
	is.Equal(len(orders), 3)
	s.planner.HandleOrderResult(s.now, orders[0], planner.Accepted)
	s.planner.HandleOrderResult(s.now, orders[1], planner.Unanswered)
	stops := s.planner.TakeChanges().Orders
	is.Equal(len(stops), 3)
	for _, o := range stops {
		is.Equal(o.Kind, planner.Stop)
	}
}

// TestUnknownRunIsStopped guards against a run that continues although the planner has
// no record of it.
func TestUnknownRunIsStopped(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 1)
	stray := task.Name{Job: "00000000000000ff"}
	s.planner.HandleReport(s.now, s.now, task.Report{Worker: "w-00", Incarnation: 1, Active: []task.ActiveRun{{Task: stray, Run: 4}}})
	orders := s.planner.TakeChanges().Orders
	is.Equal(len(orders), 1)
	is.Equal(orders[0].Kind, planner.Stop)
	is.Equal(orders[0].Task, stray)
}

// TestRestore guards against a new owner that repeats completed tasks, starts tasks again
// that may still run, or reuses a run number.
func TestRestore(t *testing.T) {
	is := is.New(t)
	previous := newSim(t, 1, 2)
	orders := submitAndPlan(previous, singleStepJob(1, task.Step{Tasks: 3, Checkpoints: true}), 1)
	endRun(previous, orders[0], task.EndDone)
	previous.planner.HandleOrderResult(previous.now, orders[1], planner.Accepted)
	endRun(previous, orders[2], task.EndFailed)
	j := previous.jobs["0000000000000001"]
	progress := task.Progress{Job: j.ID, Occurrences: []task.OccurrenceProgress{{Groups: []task.GroupProgress{
		{Done: true, Run: 1}, {Run: 1, Placements: []task.Placement{{Index: 1, Worker: "w-00", Incarnation: 1}}},
		{Run: 1, Failures: 1, Checkpoint: "x"}}}}}
	s := newSim(t, 2, 2)
	s.planner.Restore(s.now, s.now.Add(time.Minute), j, progress)
	s.planner.Resume(s.now)
	s.planner.Plan(s.now)
	started := s.planner.TakeChanges().Orders
	is.Equal(len(started), 1)
	is.Equal(started[0].Task.Index, 2)
	is.Equal(started[0].Run, task.RunNumber(2))
	is.Equal(started[0].Checkpoint, task.Checkpoint("x"))
	// The worker no longer lists the run.
	s.now = s.now.Add(time.Second)
	s.planner.HandleReport(s.now, s.now, task.Report{Worker: "w-00", Incarnation: 1})
	s.planner.Plan(s.now)
	is.Equal(s.planner.TakeChanges().Orders[0].Run, task.RunNumber(2))
}

// TestOccurrences guards against occurrences that start before they are due, and against
// a job that is completed before its last occurrence.
func TestOccurrences(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 1)
	j := singleStepJob(1, task.Step{Tasks: 1, Estimate: time.Second})
	j.Occurrences, j.First, j.Interval = 2, s.now.Add(3*time.Second), 2*time.Second
	s.submit(j, 1)
	s.advance(2900 * time.Millisecond)
	is.Equal(len(s.highestRun), 0)
	s.advance(1500 * time.Millisecond)
	is.Equal(len(s.highestRun), 1)
	status, _ := s.planner.Status(j.ID)
	is.Equal(status.State, task.Running)
	s.advance(3 * time.Second)
	is.Equal(len(s.highestRun), 2)
	status, _ = s.planner.Status(j.ID)
	is.Equal(status.State, task.Completed)
}

// TestNewOwnerAwaitsFirstReports guards against a new owner that preempts work for a
// guaranteed job because it has no reports of free workers yet, and against one that
// waits without bound for a worker that does not answer.
func TestNewOwnerAwaitsFirstReports(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 2)
	p := planner.New(simConfig)
	p.Configure(planner.Rules{Queues: map[task.QueueName]task.Queue{"q0": {Name: "q0", Service: simService, Attempts: 1}}})
	p.Resume(s.now)
	for _, w := range s.workers {
		p.UpdateWorker(s.now, w.Worker)
	}
	j := singleStepJob(1, task.Step{Tasks: 1})
	j.Queue = "q0"
	is.NoErr(p.Submit(s.now, j))
	p.HandleReport(s.now, s.now, task.Report{Worker: "w-00", Incarnation: 1})
	p.Plan(s.now)
	is.Equal(len(p.TakeChanges().Orders), 0)
	p.Plan(s.now.Add(500 * time.Millisecond))
	is.Equal(len(p.TakeChanges().Orders), 1)
}

// TestFailedGangRestarts guards against a gang that never starts again because it has
// failed on workers without which the capacity is too small.
func TestFailedGangRestarts(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 4)
	orders := submitAndPlan(s, singleStepJob(1, task.Step{Tasks: 3, Gang: true,
		Demand: unit.Resources{Accelerators: 8, Cores: 1}}), 1)
	is.Equal(len(orders), 3)
	for _, o := range orders {
		s.planner.HandleReport(s.now, s.now, task.Report{Worker: o.Worker, Incarnation: 1, Ends: []task.EndedRun{
			{Seq: 1, Task: o.Task, Run: 1, Reason: task.EndFailed}}})
	}
	s.planner.Plan(s.now)
	is.Equal(countOrders(s.planner.TakeChanges().Orders, planner.Start), 3)
}

// TestRestoreWithoutQueue guards against a job that fails or does not start because its
// queue was removed from the configuration before a change of owner.
func TestRestoreWithoutQueue(t *testing.T) {
	is := is.New(t)
	j := singleStepJob(1, task.Step{Tasks: 1})
	j.Queue = simQueue(1)
	j.Admitted = task.Queue{Name: j.Queue, Service: simService, Priority: 1, Attempts: 4}
	s := newSim(t, 1, 1)
	s.planner.Configure(planner.Rules{})
	s.planner.Restore(s.now, s.now, j, task.Progress{Job: j.ID, Occurrences: []task.OccurrenceProgress{{
		Groups: []task.GroupProgress{{Run: 1, Failures: 1}}}}})
	s.planner.Resume(s.now)
	s.planner.Plan(s.now)
	orders := s.planner.TakeChanges().Orders
	is.Equal(len(orders), 1)
	endRun(s, orders[0], task.EndFailed)
	status, _ := s.planner.Status(j.ID)
	is.Equal(status.State, task.Running)
}

// TestUnconfirmedStart guards against a task that starts elsewhere while an unanswered
// start of it may still be carried out. A rejected stop does not prevent that; only an
// accepted stop or the expiry of the lease does.
func TestUnconfirmedStart(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 2)
	first := submitAndPlan(s, singleStepJob(1, task.Step{Tasks: 1}), 1)[0]
	s.planner.HandleOrderResult(s.now, first, planner.Unanswered)
	stop := s.planner.TakeChanges().Orders[0]
	is.Equal(stop.Kind, planner.Stop)
	s.planner.HandleOrderResult(s.now, stop, planner.Rejected)
	s.now = s.now.Add(time.Second)
	s.planner.RecordLeaseGrant(first.Worker, s.now)
	s.planner.HandleReport(s.now, s.now, task.Report{Worker: first.Worker, Incarnation: 1})
	s.planner.Plan(s.now)
	is.Equal(countOrders(s.planner.TakeChanges().Orders, planner.Start), 0)
	s.now = s.now.Add(1100 * time.Millisecond)
	s.planner.Tick(s.now)
	s.planner.Plan(s.now)
	orders := s.planner.TakeChanges().Orders
	is.Equal(countOrders(orders, planner.Start), 0)
	is.Equal(countOrders(orders, planner.Stop), 1) // repeated until it is accepted
	// The worker does not answer until its lease has ended.
	s.now = s.now.Add(time.Minute)
	s.planner.Tick(s.now)
	s.planner.Plan(s.now)
	orders = s.planner.TakeChanges().Orders
	is.Equal(len(orders), 1)
	is.Equal(orders[0].Kind, planner.Start)
	is.Equal(orders[0].Run, task.RunNumber(2))
}

// TestReportFromBeforeStart guards against a run that counts as lost because a report
// that was requested before its start does not list it: the task would run twice.
func TestReportFromBeforeStart(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 2)
	start := submitAndPlan(s, singleStepJob(1, task.Step{Tasks: 1}), 1)[0]
	requestedAt := s.now
	s.now = s.now.Add(50 * time.Millisecond)
	s.planner.HandleOrderResult(s.now, start, planner.Accepted)
	s.now = s.now.Add(50 * time.Millisecond)
	empty := task.Report{Worker: start.Worker, Incarnation: 1}
	s.planner.HandleReport(s.now, requestedAt, empty)
	s.planner.Plan(s.now)
	is.Equal(len(s.planner.TakeChanges().Orders), 0)
	s.planner.HandleReport(s.now, s.now, empty) // requested after the start was answered
	s.planner.Plan(s.now)
	orders := s.planner.TakeChanges().Orders
	is.Equal(len(orders), 1)
	is.Equal(orders[0].Run, task.RunNumber(2))
}

// TestTruncatedReport guards against a run that counts as lost although it has succeeded,
// because the report does not contain all ended runs: the task would run twice.
func TestTruncatedReport(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 2)
	start := submitAndPlan(s, singleStepJob(1, task.Step{Tasks: 1}), 1)[0]
	s.planner.HandleOrderResult(s.now, start, planner.Accepted)
	s.now = s.now.Add(time.Second)
	other := task.EndedRun{Seq: 1, Task: task.Name{Job: "00000000000000ff"}, Run: 1, Reason: task.EndStopped}
	s.planner.HandleReport(s.now, s.now, task.Report{Worker: start.Worker, Incarnation: 1, Ends: []task.EndedRun{other}, Truncated: true})
	s.planner.Plan(s.now)
	is.Equal(len(s.planner.TakeChanges().Orders), 0)
	end := task.EndedRun{Seq: 2, Task: start.Task, Run: start.Run, Reason: task.EndDone}
	s.planner.HandleReport(s.now, s.now, task.Report{Worker: start.Worker, Incarnation: 1, Ends: []task.EndedRun{end}})
	status, _ := s.planner.Status(start.Task.Job)
	is.Equal(status.State, task.Completed)
}

// TestRestoredJobsKeepOrder guards against a new owner that counts later jobs of the
// first priority against a guarantee before earlier ones.
func TestRestoredJobsKeepOrder(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 4) // account a is guaranteed 9 accelerators
	for n := range 8 {
		j := singleStepJob(n, task.Step{Tasks: 1, Demand: unit.Resources{Accelerators: 8, Cores: unit.Core}})
		j.Account, j.Queue, j.Accepted = "a", simQueue(0), s.now.Add(-time.Duration(n)*time.Second)
		s.planner.Restore(s.now, s.now, j, task.Progress{Job: j.ID})
	}
	s.planner.Resume(s.now)
	s.planner.Plan(s.now)
	orders := s.planner.TakeChanges().Orders
	is.Equal(len(orders), 4)
	is.Equal(orders[0].Task.Job, singleStepJob(7, task.Step{}).ID) // the job that was accepted first
}

// TestFailingWorkerIsBarred guards against a worker on which every run fails and which
// still gets the next task.
func TestFailingWorkerIsBarred(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 2)
	occupying := singleStepJob(1, task.Step{Tasks: 1, Demand: unit.Resources{Accelerators: 8, Cores: unit.Core}})
	occupied := submitAndPlan(s, occupying, 1)[0].Worker
	var failing id.Worker
	for n := range 2 {
		o := submitAndPlan(s, singleStepJob(10+n, task.Step{Tasks: 1}), 1)[0]
		is.True(o.Worker != occupied)
		failing = o.Worker
		is.NoErr(s.planner.Cancel(s.now, o.Task.Job)) // so that it does not start again
		endRun(s, o, task.EndFailed)
	}
	is.Equal(len(submitAndPlan(s, singleStepJob(20, task.Step{Tasks: 1}), 1)), 0)
	s.now = s.now.Add(9 * time.Second)
	s.planner.RecordLeaseGrant(occupied, s.now)
	s.planner.Plan(s.now)
	orders := s.planner.TakeChanges().Orders
	is.Equal(len(orders), 1)
	is.Equal(orders[0].Worker, failing)
}

// TestWaitingGangIsLogged guards against a gang that waits without a line that says why.
func TestWaitingGangIsLogged(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 12)
	whole := unit.Resources{Accelerators: 8, Cores: unit.Core}
	submitAndPlan(s, singleStepJob(1, task.Step{Tasks: 8, Gang: true, Demand: whole}), 1)
	submitAndPlan(s, singleStepJob(2, task.Step{Tasks: 6, Gang: true, SameRack: true, Demand: whole, Estimate: time.Minute}), 1)
	var waiting []planner.Decision
	for range 9 {
		s.now = s.now.Add(time.Second)
		s.planner.Plan(s.now)
		for _, d := range s.planner.TakeChanges().Decisions {
			if d.Event == "waiting" {
				waiting = append(waiting, d)
			}
		}
	}
	is.Equal(len(waiting), 1)
	is.Equal(waiting[0].Job, singleStepJob(2, task.Step{}).ID)
	is.Equal(waiting[0].Reason, "no rack has enough free capacity")
	is.Equal(waiting[0].Fields, []any{"step", 0, "tasks", 6, "remoteAfterMs", int64(120000)})
}

// TestWaitForRackWhileMostCapacityIsFree guards against a gang that waits for a rack for as
// long as its estimate allows, with most of the capacity unused.
func TestWaitForRackWhileMostCapacityIsFree(t *testing.T) {
	whole := unit.Resources{Accelerators: 8, Cores: unit.Core}
	for _, test := range []struct {
		name     string
		occupied int // workers of each of the four racks, which have six each
		step     task.Step
		atOnce   int // starts
		later    int // starts after two seconds
	}{
		{"most capacity is free", 2, task.Step{Tasks: 5, Gang: true, SameRack: true}, 0, 5},
		{"most capacity is in use", 4, task.Step{Tasks: 3, Gang: true, SameRack: true}, 0, 0},
		{"other tasks of the job run", 0, task.Step{Tasks: 7, DataRack: "r-0"}, 6, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newSim(t, 1, 24)
			for i := range 4 {
				occupant := task.Step{Tasks: max(1, test.occupied), DataRack: id.Rack(fmt.Sprintf("r-%d", i)), Demand: whole, Estimate: time.Minute}
				if test.occupied > 0 {
					submitAndPlan(s, singleStepJob(10+i, occupant), 1)
				}
			}
			test.step.Demand, test.step.Estimate = whole, time.Minute
			is.Equal(len(submitAndPlan(s, singleStepJob(1, test.step), 1)), test.atOnce)
			startsAfter := func(d time.Duration) int {
				s.now = s.now.Add(d)
				s.planner.Plan(s.now)
				return countOrders(s.planner.TakeChanges().Orders, planner.Start)
			}
			is.Equal(startsAfter(1900*time.Millisecond), 0)
			is.Equal(startsAfter(200*time.Millisecond), test.later)
			is.Equal(startsAfter(8*time.Second), 0)
		})
	}
}

// TestProgressOfManyOccurrencesFitsTheStore guards against a job with so many tasks at the same
// time that its progress exceeds what the store takes, which would end each term.
func TestProgressOfManyOccurrencesFitsTheStore(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 1)
	j := singleStepJob(1, task.Step{Tasks: 3000, Demand: unit.Resources{Memory: 1}})
	j.Occurrences, j.First = 30, s.now // all are due
	s.submit(j, 1)
	s.planner.Plan(s.now)
	changes := s.planner.TakeChanges()
	orders := changes.Orders
	is.True(len(orders) > 10000 && len(orders) <= 20000)
	is.Equal(len(changes.Progress), 1)
	for _, o := range orders {
		s.planner.HandleOrderResult(s.now, o, planner.Accepted)
	}
	b, err := codec.CBOR.Marshal(changes.Progress[0])
	is.NoErr(err)
	is.True(len(b) < 1<<20)
	ends := []task.EndedRun{}
	for n, o := range orders[:3000] {
		ends = append(ends, task.EndedRun{Seq: task.EndSeq(n + 1), Task: o.Task, Run: o.Run, Reason: task.EndDone})
	}
	s.planner.HandleReport(s.now, s.now, task.Report{Worker: orders[0].Worker, Incarnation: 1, Ends: ends, Truncated: true})
	s.planner.Tick(s.now)
	s.planner.Plan(s.now)
	is.Equal(len(s.planner.TakeChanges().Orders), 3000) // the next occurrence
}
