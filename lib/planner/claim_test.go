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

// newGuaranteeSim returns a simulation in which accounts a and b have guarantees.
func newGuaranteeSim(t *testing.T, workers int, guaranteed unit.Accelerators) *sim {
	t.Helper()
	s := newSim(t, 1, workers)
	rules := planner.Rules{Queues: make(map[task.QueueName]task.Queue),
		Guaranteed: map[id.Account]unit.Accelerators{"a": guaranteed, "b": guaranteed}}
	for p := range 3 {
		rules.Queues[simQueue(p)] = task.Queue{Name: simQueue(p), Service: simService, Priority: task.Priority(p), Attempts: 4,
			Slack: 2, Target: time.Second}
	}
	s.planner.Configure(rules)
	return s
}

// countOrders returns the number of orders of a kind.
func countOrders(orders []planner.Order, kind planner.OrderKind) int {
	n := 0
	for _, o := range orders {
		if o.Kind == kind {
			n++
		}
	}
	return n
}

// TestPreemption guards against a guaranteed job that waits for work of lower
// priority, against guaranteed work that is stopped for other guaranteed work, and
// against work that is stopped for a job whose own work is less than the work lost.
func TestPreemption(t *testing.T) {
	gpus := func(n unit.Accelerators) unit.Resources { return unit.Resources{Accelerators: n, Cores: unit.Core} }
	for _, test := range []struct {
		name             string
		filler, claimant task.Step
		fillerAccount    id.Account
		claimantAccount  id.Account
		fillerPriority   int
		priority         int // of the claimant
		ran              time.Duration
		stops            int
	}{
		{"guaranteed job preempts lower priority", task.Step{Tasks: 16, Demand: gpus(1)}, task.Step{Tasks: 1, Demand: gpus(8)}, "c", "a", 2, 0,
			time.Minute, 8},
		{"guaranteed job preempts first priority without a guarantee", task.Step{Tasks: 16, Demand: gpus(1)},
			task.Step{Tasks: 1, Demand: gpus(8)}, "c", "a", 0, 0,
			time.Minute, 8},
		{"guaranteed job does not preempt guaranteed work", task.Step{Tasks: 8, MaxPerWorker: 4, Demand: gpus(1)},
			task.Step{Tasks: 1, Demand: gpus(8)}, "b", "a", 0, 0, time.Second, 0},
		{"first priority preempts when little work is lost", task.Step{Tasks: 16, Demand: gpus(1), Checkpoints: true},
			task.Step{Tasks: 1, Demand: gpus(8), Estimate: 4 * time.Second}, "c", "c", 2, 0, time.Second, 8},
		{"first priority waits when much work would be lost", task.Step{Tasks: 16, Demand: gpus(1)},
			task.Step{Tasks: 1, Demand: gpus(8), Estimate: time.Second}, "c", "c", 2, 0, time.Minute, 0},
		{"second priority waits", task.Step{Tasks: 16, Demand: gpus(1)}, task.Step{Tasks: 1, Demand: gpus(8)}, "c", "c", 2, 1, time.Second, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newGuaranteeSim(t, 2, 8)
			filler := singleStepJob(1, test.filler)
			filler.Account = test.fillerAccount
			is.Equal(countOrders(submitAndPlan(s, filler, test.fillerPriority), planner.Start), test.filler.Tasks)
			s.now = s.now.Add(test.ran)
			s.planner.RecordLeaseGrant("w-00", s.now)
			s.planner.RecordLeaseGrant("w-01", s.now)
			claimant := singleStepJob(2, test.claimant)
			claimant.Account = test.claimantAccount
			is.Equal(countOrders(submitAndPlan(s, claimant, test.priority), planner.Stop), test.stops)
		})
	}
}

// TestGuaranteedGangSpansRacksNearItsBound guards against a guaranteed gang that waits
// for a single rack beyond MaxGuaranteedWait, and against one that is spread over racks
// immediately although it runs three times as fast on one.
func TestGuaranteedGangSpansRacksNearItsBound(t *testing.T) {
	is := is.New(t)
	s := newGuaranteeSim(t, 12, 48)
	held := singleStepJob(1, task.Step{Tasks: 6, MaxPerWorker: 1, Estimate: time.Minute,
		Demand: unit.Resources{Accelerators: 1, Cores: unit.Core}})
	held.Account = "b"
	for _, w := range []id.Worker{"w-03", "w-04", "w-05"} {
		full := s.workers[w].Worker
		full.Draining = true // so that the tasks of account b occupy three workers of each rack
		s.planner.UpdateWorker(s.now, full)
	}
	submitAndPlan(s, held, 0)
	gang := singleStepJob(2, task.Step{Tasks: 6, Gang: true, SameRack: true, Estimate: time.Second,
		Demand: unit.Resources{Accelerators: 8, Cores: unit.Core}})
	gang.Account = "a"
	starts := func() int {
		s.planner.Tick(s.now)
		s.planner.Plan(s.now)
		return countOrders(s.planner.TakeChanges().Orders, planner.Start)
	}
	submitAndPlan(s, gang, 0)
	s.now = s.now.Add(1400 * time.Millisecond)
	is.Equal(starts(), 0)
	for _, w := range []id.Worker{"w-03", "w-04", "w-05"} {
		fresh := s.workers[w].Worker
		fresh.ID += "x" // new workers in the rack of which half is occupied
		s.workers[fresh.ID] = &simWorker{Worker: fresh, runs: make(map[task.Name]*simRun)}
		s.planner.UpdateWorker(s.now, fresh)
		s.report(s.workers[fresh.ID])
	}
	is.Equal(starts(), 0)
	s.now = s.now.Add(200 * time.Millisecond)
	is.Equal(starts(), 6)
}

// TestServiceTasks guards against service tasks that are not restarted, that end their
// job, or more than MaxUnavailable of which are stopped.
func TestServiceTasks(t *testing.T) {
	is := is.New(t)
	s := newGuaranteeSim(t, 2, 16)
	service := singleStepJob(1, task.Step{Tasks: 2, MaxPerWorker: 1, Service: true, MaxUnavailable: 1,
		Demand: unit.Resources{Accelerators: 4, Cores: unit.Core}})
	is.Equal(countOrders(submitAndPlan(s, singleStepJob(2, task.Step{Tasks: 16}), 1), planner.Start), 16)
	// Service tasks preempt work that can be repeated.
	is.Equal(countOrders(submitAndPlan(s, service, 1), planner.Stop), 8)
	s.planner.Plan(s.now)
	for _, w := range s.workers {
		var ends []task.EndedRun
		for i := range 16 {
			s.seq++
			ends = append(ends, task.EndedRun{Seq: s.seq, Task: task.Name{Job: "0000000000000002", Index: i}, Run: 1,
				Reason: task.EndStopped})
		}
		s.planner.HandleReport(s.now, s.now, task.Report{Worker: w.ID, Incarnation: 1, Ends: ends})
	}
	s.planner.Plan(s.now)
	var serviceStarts []planner.Order
	for _, o := range s.planner.TakeChanges().Orders {
		if o.Kind == planner.Start && o.Task.Job == service.ID {
			serviceStarts = append(serviceStarts, o)
		}
	}
	is.Equal(len(serviceStarts), 2)
	for _, o := range serviceStarts {
		s.planner.HandleReport(s.now, s.now, task.Report{Worker: o.Worker, Incarnation: 1,
			Active: []task.ActiveRun{{Task: o.Task, Run: o.Run, Percent: 100}}})
	}
	// A guaranteed job that needs both workers stops only as many tasks as the step may
	// have unavailable.
	guaranteed := singleStepJob(3, task.Step{Tasks: 2, Demand: unit.Resources{Accelerators: 8, Cores: unit.Core}})
	guaranteed.Account = "a"
	stopped := 0
	for _, o := range submitAndPlan(s, guaranteed, 0) {
		if o.Kind == planner.Stop && o.Task.Job == service.ID {
			stopped++
		}
	}
	is.Equal(stopped, 1)
	// The job continues when one of its tasks ends by itself, even with success.
	o := serviceStarts[0]
	if s.workers[o.Worker] == nil {
		t.Fatal("no worker")
	}
	endRun(s, o, task.EndDone)
	status, _ := s.planner.Status(service.ID)
	is.Equal(status.State, task.Running)
}

// TestGangPreemptsWithinMaxUnavailable guards against a guaranteed gang that stops more
// tasks of a service step at once than may be unavailable.
func TestGangPreemptsWithinMaxUnavailable(t *testing.T) {
	is := is.New(t)
	s := newGuaranteeSim(t, 2, 16)
	service := singleStepJob(1, task.Step{Tasks: 2, MaxPerWorker: 1, Service: true, MaxUnavailable: 1,
		Demand: unit.Resources{Accelerators: 4, Cores: unit.Core}})
	for _, o := range submitAndPlan(s, service, 1) {
		s.planner.HandleReport(s.now, s.now, task.Report{Worker: o.Worker, Incarnation: 1,
			Active: []task.ActiveRun{{Task: o.Task, Run: o.Run, Percent: 100}}})
	}
	gang := singleStepJob(2, task.Step{Tasks: 2, Gang: true, Demand: unit.Resources{Accelerators: 8, Cores: unit.Core}})
	gang.Account = "a"
	is.Equal(countOrders(submitAndPlan(s, gang, 0), planner.Stop), 0) // both tasks would have to stop
}

// TestTaskOnSilentWorkerIsUnavailable guards against a stop that makes a second task of a
// service step unavailable, while the first one may be lost with a worker that is silent.
func TestTaskOnSilentWorkerIsUnavailable(t *testing.T) {
	for _, test := range []struct {
		name   string
		silent time.Duration
		stops  int
	}{
		{"between two reports", 2 * time.Second, 1},
		{"without a report", 4 * time.Second, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newGuaranteeSim(t, 2, 16)
			reporting := s.workers["w-01"].Worker
			reporting.Labels = []string{"b"}
			s.planner.UpdateWorker(s.now, reporting)
			report := func(o planner.Order) {
				s.planner.HandleReport(s.now, s.now, task.Report{Worker: o.Worker, Incarnation: 1,
					Active: []task.ActiveRun{{Task: o.Task, Run: o.Run, Percent: 100}}})
			}
			starts := submitAndPlan(s, singleStepJob(1, task.Step{Tasks: 2, MaxPerWorker: 1, Service: true, MaxUnavailable: 1,
				Demand: unit.Resources{Accelerators: 4, Cores: unit.Core}}), 1)
			is.Equal(len(starts), 2)
			report(starts[0])
			report(starts[1])
			s.now = s.now.Add(test.silent)
			for _, o := range starts {
				if o.Worker == reporting.ID {
					report(o)
				}
			}
			guaranteed := singleStepJob(2, task.Step{Tasks: 1, Label: "b", Demand: unit.Resources{Accelerators: 8, Cores: unit.Core}})
			guaranteed.Account = "a"
			is.Equal(countOrders(submitAndPlan(s, guaranteed, 0), planner.Stop), test.stops)
		})
	}
}
