package planner_test

import (
	"testing"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/planner"
	"bronzewinch.dev/lib/task"
	"bronzewinch.dev/lib/unit"

	"github.com/matryer/is"
)

// drain lets a worker begin to drain that stays for a time.
func (s *sim) drain(name id.Worker, stays time.Duration) {
	w := s.workers[name].Worker
	w.Draining, w.Remaining = true, stays
	s.planner.UpdateWorker(s.now, w)
}

// TestRunsOnLeavingWorker guards against runs that are lost with a worker although they
// could have moved, and against runs that are thrown away although they end before the
// worker leaves or have nowhere else to run.
func TestRunsOnLeavingWorker(t *testing.T) {
	whole := unit.Resources{Accelerators: 8, Cores: unit.Core}
	for _, test := range []struct {
		name  string
		step  task.Step
		full  bool // all other workers are full
		stays time.Duration
		stop  bool
	}{
		{"ends in time", task.Step{Tasks: 1, Estimate: 10 * time.Second}, false, 9 * time.Second, false},
		{"ends too late", task.Step{Tasks: 1, Estimate: 10 * time.Second}, false, 5 * time.Second, true},
		{"ends too late, and does not fit elsewhere", task.Step{Tasks: 1, Estimate: 10 * time.Second}, true, 5 * time.Second, false},
		{"ends too late, and has checkpoints", task.Step{Tasks: 1, Estimate: 10 * time.Second, Checkpoints: true}, true, 5 * time.Second, true},
		{"ends in time, and has checkpoints", task.Step{Tasks: 1, Estimate: 10 * time.Second, Checkpoints: true}, false, 9 * time.Second, true},
		{"gang that ends in time, and has checkpoints",
			task.Step{Tasks: 3, Gang: true, Estimate: 10 * time.Second, Checkpoints: true}, false, 9 * time.Second, false},
		{"nothing is known about its run time", task.Step{Tasks: 1}, false, 9 * time.Second, true},
		{"it is not known how long the worker stays", task.Step{Tasks: 1, Estimate: 10 * time.Second}, false, 0, false},
		{"gang that ends too late", task.Step{Tasks: 3, Gang: true, Estimate: 10 * time.Second, Demand: whole}, false, 5 * time.Second, true},
		{"gang that ends too late, on the capacity of its own members",
			task.Step{Tasks: 11, Gang: true, Estimate: 10 * time.Second, Demand: whole}, false, 5 * time.Second, true},
		{"gang that would not fit without the worker",
			task.Step{Tasks: 12, Gang: true, Estimate: 10 * time.Second, Demand: whole}, false, 5 * time.Second, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newSim(t, 1, 12)
			orders := submitAndPlan(s, singleStepJob(1, test.step), 1)
			is.Equal(len(orders), test.step.Tasks)
			for _, o := range orders {
				s.carryOut(o)
			}
			if test.full {
				for _, o := range submitAndPlan(s, singleStepJob(2, task.Step{Tasks: 96, Estimate: time.Hour}), 1) {
					s.carryOut(o)
				}
			}
			s.now = s.now.Add(2 * time.Second)
			s.drain(orders[0].Worker, test.stays)
			s.planner.Tick(s.now)
			stops := s.planner.TakeChanges().Orders
			is.Equal(len(stops) > 0, test.stop)
			if test.stop {
				is.Equal(len(stops), test.step.Tasks)
				is.Equal(stops[0].Kind, planner.Stop)
			}
		})
	}
}

// TestProgressDecidesAboutLeaving guards against a run that is thrown away because its
// submitter's estimate is too long, although its progress shows that it ends in time.
func TestProgressDecidesAboutLeaving(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 2)
	o := submitAndPlan(s, singleStepJob(1, task.Step{Tasks: 1, Estimate: time.Minute}), 1)[0]
	s.planner.HandleOrderResult(s.now, o, planner.Accepted)
	s.now = s.now.Add(4 * time.Second)
	s.planner.HandleReport(s.now, s.now, task.Report{Worker: o.Worker, Incarnation: 1,
		Active: []task.ActiveRun{{Task: o.Task, Run: o.Run, Percent: 50}}})
	s.drain(o.Worker, 5*time.Second)
	s.planner.Tick(s.now)
	is.Equal(len(s.planner.TakeChanges().Orders), 0)
}

// TestGangOfLostWorkerStartsAgain guards against a gang that waits for the lease of a member
// on a worker that is gone, although the end of its other members shows that the member has
// ended as well, and against one that starts again while that member may still start.
func TestGangOfLostWorkerStartsAgain(t *testing.T) {
	for _, test := range []struct {
		name     string
		answered bool         // all starts were answered
		percent  task.Percent // that the other member has reported
		reason   task.EndReason
		restarts bool
	}{
		{"complete by its progress", false, 1, task.EndGangBroken, true},
		{"complete by the answers to its starts", true, 0, task.EndGangBroken, true},
		{"a member failed", false, 1, task.EndFailed, true},
		{"a start is not answered, and no member has made progress", false, 0, task.EndGangBroken, false},
		{"a member waited in vain for the others", false, 0, task.EndGangIncomplete, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newSim(t, 1, 4)
			orders := submitAndPlan(s, singleStepJob(1, task.Step{Tasks: 2, Gang: true, Estimate: 10 * time.Second,
				Demand: unit.Resources{Accelerators: 8, Cores: unit.Core}}), 1)
			is.Equal(len(orders), 2)
			other := orders[1]
			for _, o := range orders {
				s.planner.RecordLeaseGrant(o.Worker, s.now)
				if test.answered || o == other || test.percent > 0 {
					s.planner.HandleOrderResult(s.now, o, planner.Accepted)
				}
			}
			s.now = s.now.Add(time.Second)
			s.planner.HandleReport(s.now, s.now, task.Report{Worker: other.Worker, Incarnation: 1,
				Active: []task.ActiveRun{{Task: other.Task, Run: 1, Percent: test.percent}}})
			s.now = s.now.Add(time.Second)
			s.planner.HandleReport(s.now, s.now, task.Report{Worker: other.Worker, Incarnation: 1,
				Ends: []task.EndedRun{{Seq: 1, Task: other.Task, Run: 1, Reason: test.reason}}})
			s.planner.TakeChanges()
			s.now = s.now.Add(500 * time.Millisecond)
			s.planner.Tick(s.now)
			s.planner.Plan(s.now)
			starts := 0
			for _, o := range s.planner.TakeChanges().Orders {
				if o.Kind == planner.Start {
					starts++
				}
			}
			is.Equal(starts == 2, test.restarts)
			if test.restarts {
				return
			}
			s.now = s.now.Add(10 * time.Second) // the leases have expired
			s.planner.Tick(s.now)
			s.planner.Plan(s.now)
			is.True(len(s.planner.TakeChanges().Orders) > 0)
		})
	}
}

// TestUnseenFailureOfGang guards against a gang that starts again although a failure that
// its lost worker reports later was its last attempt.
func TestUnseenFailureOfGang(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 8)
	j := singleStepJob(1, task.Step{Tasks: 2, Gang: true, Estimate: 10 * time.Second, Demand: unit.Resources{Accelerators: 8, Cores: unit.Core}})
	orders := submitAndPlan(s, j, 1)
	attempts, starts := 4, 0 // as the queues of the simulation allow
	for len(orders) > 0 {
		starts++
		silent, other := orders[0], orders[1]
		for _, o := range orders {
			s.planner.RecordLeaseGrant(o.Worker, s.now)
			s.planner.HandleOrderResult(s.now, o, planner.Accepted)
		}
		s.now = s.now.Add(time.Second)
		s.planner.HandleReport(s.now, s.now, task.Report{Worker: other.Worker, Incarnation: 1,
			Ends: []task.EndedRun{{Seq: task.EndSeq(starts), Task: other.Task, Run: other.Run, Reason: task.EndGangBroken}}})
		s.planner.TakeChanges()
		s.now = s.now.Add(time.Second)
		s.planner.Tick(s.now)
		s.planner.Plan(s.now)
		orders = s.planner.TakeChanges().Orders
		s.planner.HandleReport(s.now, s.now, task.Report{Worker: silent.Worker, Incarnation: 1,
			Ends: []task.EndedRun{{Seq: task.EndSeq(starts), Task: silent.Task, Run: silent.Run, Reason: task.EndFailed}}})
	}
	is.True(starts <= attempts)
	status, _ := s.planner.Status(j.ID)
	is.True(starts < attempts || status.State == task.Failed)
}
