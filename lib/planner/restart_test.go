package planner_test

import (
	"testing"

	"bronzewinch.dev/lib/planner"
	"bronzewinch.dev/lib/task"

	"github.com/matryer/is"
)

// TestStartOnRestartedWorkerIsNotRepeated guards against a second run of a task whose
// start was carried out by a later incarnation of the worker than the one it was sent to.
func TestStartOnRestartedWorkerIsNotRepeated(t *testing.T) {
	for _, test := range []struct {
		name    string
		restart func(s *sim, restarted task.Worker)
	}{
		{"restart seen in a report", func(*sim, task.Worker) {}},
		{"restart seen in the list", func(s *sim, restarted task.Worker) { s.planner.UpdateWorker(s.now, restarted) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newSim(t, 1, 2)
			start := submitAndPlan(s, singleStepJob(1, task.Step{Tasks: 1}), 1)[0]
			s.planner.HandleOrderResult(s.now, start, planner.Accepted)
			restarted := s.workers[start.Worker].Worker
			restarted.Incarnation = 2
			test.restart(s, restarted)
			s.planner.HandleReport(s.now, s.now, task.Report{Worker: start.Worker, Incarnation: 2,
				Active: []task.ActiveRun{{Task: start.Task, Run: start.Run}}})
			s.planner.Plan(s.now)
			is.Equal(len(s.planner.TakeChanges().Orders), 0)
			s.planner.HandleReport(s.now, s.now, task.Report{Worker: start.Worker, Incarnation: 2,
				Ends: []task.EndedRun{{Seq: 1, Task: start.Task, Run: start.Run, Reason: task.EndDone}}})
			status, _ := s.planner.Status(start.Task.Job)
			is.Equal(status.State, task.Completed)
		})
	}
}
