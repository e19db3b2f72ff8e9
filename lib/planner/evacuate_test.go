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

// newZoneSim returns a simulation with six workers in each of two zones. Those of the
// first, in rack r-0, have the label "first".
func newZoneSim(t *testing.T) *sim {
	t.Helper()
	s := newSim(t, 1, 12)
	for _, w := range s.workers {
		w.Zone = "z-1"
		if w.Rack == "r-0" {
			w.Zone, w.Labels = "z-0", []string{"a", "first"}
		}
		s.planner.UpdateWorker(s.now, w.Worker)
	}
	return s
}

func zones(names ...id.Zone) map[id.Zone]struct{} {
	all := make(map[id.Zone]struct{})
	for _, z := range names {
		all[z] = struct{}{}
	}
	return all
}

// startsByZone counts the starts among orders by the zone of their worker.
func (s *sim) startsByZone(orders []planner.Order) map[id.Zone]int {
	n := map[id.Zone]int{"z-1": 0}
	for _, o := range orders {
		if o.Kind == planner.Start {
			n[s.workers[o.Worker].Zone]++
		}
	}
	return n
}

// TestEvacuatedZoneGetsNoStarts guards against starts on workers of an evacuated zone, and
// against jobs that wait for that zone although another one can run them.
func TestEvacuatedZoneGetsNoStarts(t *testing.T) {
	whole := unit.Resources{Accelerators: 8, Cores: unit.Core}
	for _, test := range []struct {
		name   string
		step   task.Step
		starts int // in the other zone
	}{
		{"more tasks than the other zone holds", task.Step{Tasks: 12, Demand: whole}, 6},
		{"data on a rack of the zone", task.Step{Tasks: 2, DataRack: "r-0"}, 2},
		{"gang in one rack", task.Step{Tasks: 6, Gang: true, SameRack: true, Demand: whole}, 6},
		{"gang that fits only into both zones", task.Step{Tasks: 7, Gang: true, Demand: whole}, 0},
		{"label of the zone", task.Step{Tasks: 1, Label: "first"}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newZoneSim(t)
			s.planner.SetEvacuated(s.now, zones("z-0"))
			test.step.Estimate = time.Second
			orders := submitAndPlan(s, singleStepJob(1, test.step), 1)
			is.Equal(s.startsByZone(orders), map[id.Zone]int{"z-1": test.starts})
			for _, o := range orders {
				s.carryOut(o)
			}
			s.planner.SetEvacuated(s.now, zones())
			s.advance(5 * time.Second)
			is.True(s.startedAt["0000000000000001"] != time.Time{}) // it was not lost
		})
	}
}

// TestGuaranteeDuringEvacuation guards against a guaranteed job that waits for an evacuated
// zone in place of preempting work in another one.
func TestGuaranteeDuringEvacuation(t *testing.T) {
	is := is.New(t)
	s := newZoneSim(t)
	whole := unit.Resources{Accelerators: 8, Cores: unit.Core}
	submitAndPlan(s, singleStepJob(1, task.Step{Tasks: 12, Demand: whole}), 2)
	s.planner.SetEvacuated(s.now, zones("z-0"))
	j := singleStepJob(2, task.Step{Tasks: 3, Demand: whole})
	j.Account = "a"
	for _, o := range submitAndPlan(s, j, 0) {
		is.Equal(o.Kind, planner.Stop)
		is.Equal(s.workers[o.Worker].Zone, id.Zone("z-1"))
	}
}

// TestRunsInEvacuatedZone guards against work that is thrown away by an evacuation, and
// against a zone that does not become empty as its tasks run on for good.
func TestRunsInEvacuatedZone(t *testing.T) {
	for _, test := range []struct {
		name  string
		step  task.Step
		full  bool // the other zone is full
		moves bool
	}{
		{"task that ends by itself", task.Step{Tasks: 1, Estimate: 10 * time.Minute}, false, false},
		{"long task with checkpoints", task.Step{Tasks: 1, Estimate: 10 * time.Minute, Checkpoints: true}, false, true},
		{"short task with checkpoints", task.Step{Tasks: 1, Estimate: 5 * time.Second, Checkpoints: true}, false, false},
		{"long gang with checkpoints", task.Step{Tasks: 3, Gang: true, Estimate: 10 * time.Minute, Checkpoints: true}, false, true},
		{"service task", task.Step{Tasks: 1, Service: true}, false, true},
		{"service task, and no room elsewhere", task.Step{Tasks: 1, Service: true}, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newZoneSim(t)
			s.planner.SetEvacuated(s.now, zones("z-1"))
			is.Equal(s.startsByZone(submitAndPlan(s, singleStepJob(1, test.step), 1))["z-0"], test.step.Tasks)
			s.planner.SetEvacuated(s.now, zones())
			s.now = s.now.Add(3 * time.Second) // until the other zone is used again
			s.planner.Tick(s.now)
			if test.full {
				submitAndPlan(s, singleStepJob(2, task.Step{Tasks: 12, Demand: unit.Resources{Accelerators: 8, Cores: unit.Core}}), 1)
			}
			s.planner.SetEvacuated(s.now, zones("z-0"))
			s.planner.Tick(s.now)
			stops := s.planner.TakeChanges().Orders
			is.Equal(len(stops) > 0, test.moves)
		})
	}
}

// TestServiceTasksLeaveOneByOne guards against an evacuation that makes more tasks of a
// service unavailable than its step allows, and against one that never moves them all.
func TestServiceTasksLeaveOneByOne(t *testing.T) {
	for _, maxUnavailable := range []int{0, 1, 2} {
		is := is.New(t)
		s := newZoneSim(t)
		s.planner.SetEvacuated(s.now, zones("z-1"))
		s.submit(singleStepJob(1, task.Step{Tasks: 5, Service: true, MaxUnavailable: maxUnavailable, Estimate: time.Second}), 1)
		s.advance(8 * time.Second)
		s.planner.SetEvacuated(s.now, zones("z-0"))
		limit, most := max(1, maxUnavailable), 0
		for range 60 {
			s.advance(500 * time.Millisecond)
			running := 0
			for _, w := range s.workers {
				running += len(w.runs)
			}
			most = max(most, 5-running)
		}
		is.True(most <= limit) // tasks without a run at the same time
		is.Equal(s.planner.EvacuatedRuns(), 0)
	}
}

// TestZoneRefillsGradually guards against a rush of starts on all workers of a zone at the
// moment its evacuation ends, and against workers that are not used again.
func TestZoneRefillsGradually(t *testing.T) {
	is := is.New(t)
	s := newZoneSim(t)
	whole := unit.Resources{Accelerators: 8, Cores: unit.Core}
	s.planner.SetEvacuated(s.now, zones("z-0", "z-1"))
	s.submit(singleStepJob(1, task.Step{Tasks: 12, Estimate: time.Minute, Demand: whole}), 1)
	s.planner.SetEvacuated(s.now, zones())
	s.planner.Tick(s.now)
	s.planner.Plan(s.now)
	first := len(s.planner.TakeChanges().Orders)
	is.True(first <= 3) // of 12
	s.now = s.now.Add(2 * time.Second)
	s.planner.Tick(s.now)
	s.planner.Plan(s.now)
	is.Equal(first+len(s.planner.TakeChanges().Orders), 12)
}
