package planner_test

import (
	"testing"
	"time"

	"bronzewinch.dev/lib/planner"
	"bronzewinch.dev/lib/task"
	"bronzewinch.dev/lib/unit"

	"github.com/matryer/is"
)

// TestServiceTaskLeavesFullRack guards against a service task that stays down for as long as
// its estimate while the rack of its data is full and others are empty.
func TestServiceTaskLeavesFullRack(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 12)
	whole := unit.Resources{Accelerators: 8, Cores: unit.Core}
	s.submit(singleStepJob(1, task.Step{Tasks: 6, DataRack: "r-0", Demand: whole, Service: true, Estimate: time.Hour}), 2)
	s.submit(singleStepJob(2, task.Step{Tasks: 3, DataRack: "r-1", Demand: whole, Service: true, Estimate: time.Hour}), 2)
	s.advance(time.Second)
	s.submit(singleStepJob(3, task.Step{Tasks: 1, DataRack: "r-0", Demand: whole, Service: true, Estimate: time.Hour}), 2)
	s.advance(3 * time.Second)
	is.True(s.startedAt["0000000000000003"] != time.Time{})
}

// TestFailuresOfServiceTasks guards against a worker that is barred because service tasks
// failed on it, which they may do at any time, and against one that is not barred although
// they fail before they are at work.
func TestFailuresOfServiceTasks(t *testing.T) {
	for _, test := range []struct {
		name    string
		percent task.Percent
		starts  bool // the next task at once
	}{{"at work", 100, true}, {"during the startup", 50, false}} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newSim(t, 1, 1)
			for n := range 2 {
				o := submitAndPlan(s, singleStepJob(n, task.Step{Tasks: 1, Service: true, Demand: unit.Resources{Accelerators: 8}}), 1)[0]
				s.planner.HandleOrderResult(s.now, o, planner.Accepted)
				s.now = s.now.Add(time.Second)
				s.planner.HandleReport(s.now, s.now, task.Report{Worker: o.Worker, Incarnation: 1,
					Active: []task.ActiveRun{{Task: o.Task, Run: o.Run, Percent: test.percent}}})
				if err := s.planner.Cancel(s.now, o.Task.Job); err != nil {
					t.Fatal(err)
				}
				s.planner.TakeChanges()
				endRun(s, o, task.EndFailed)
			}
			orders := submitAndPlan(s, singleStepJob(3, task.Step{Tasks: 1}), 1)
			is.Equal(len(orders) == 1, test.starts)
		})
	}
}
