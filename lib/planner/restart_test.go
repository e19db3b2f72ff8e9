package planner_test

import (
	"testing"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/planner"
	"bronzewinch.dev/lib/task"

	"github.com/matryer/is"
)

// restartedWorker returns the list entry of a worker that has restarted under its id.
func (s *sim) restartedWorker(name id.Worker) task.Worker {
	w := s.workers[name].Worker
	w.Incarnation = 2
	return w
}

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
			restarted := s.restartedWorker(start.Worker)
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

// TestStopReachesRestartedWorker guards against a run that goes on because the order to
// stop it was sent to an earlier incarnation of its worker.
func TestStopReachesRestartedWorker(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 2)
	start := submitAndPlan(s, singleStepJob(1, task.Step{Tasks: 1}), 1)[0]
	s.planner.HandleOrderResult(s.now, start, planner.Accepted)
	is.NoErr(s.planner.Cancel(s.now, start.Task.Job))
	stop := s.planner.TakeChanges().Orders[0]
	s.planner.HandleOrderResult(s.now, stop, planner.Accepted)
	running := task.Report{Worker: start.Worker, Incarnation: 2, Active: []task.ActiveRun{{Task: start.Task, Run: start.Run}}}
	s.planner.HandleReport(s.now, s.now, running)
	orders := s.planner.TakeChanges().Orders
	is.Equal(len(orders), 1)
	is.Equal(orders[0].Kind, planner.Stop)
	is.Equal(orders[0].Incarnation, task.Incarnation(2))
	s.now = s.now.Add(1100 * time.Millisecond)
	s.planner.Tick(s.now)
	is.Equal(len(s.planner.TakeChanges().Orders), 1) // repeated, as the new incarnation has not accepted it
}

// TestUnreachableRestartedWorker guards against a second run of a task while a restarted
// worker that does not answer may still carry out its start.
func TestUnreachableRestartedWorker(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 2)
	start := submitAndPlan(s, singleStepJob(1, task.Step{Tasks: 1}), 1)[0]
	s.planner.HandleOrderResult(s.now, start, planner.Unanswered)
	restarted := s.restartedWorker(start.Worker)
	s.planner.UpdateWorker(s.now, restarted)
	s.planner.TakeChanges()
	startsAfter := func(d time.Duration) int {
		s.now = s.now.Add(d)
		s.planner.Tick(s.now)
		s.planner.Plan(s.now)
		return countOrders(s.planner.TakeChanges().Orders, planner.Start)
	}
	// The start may be carried out 15 s later, and a lease lasts for 6.32 s.
	is.Equal(startsAfter(21*time.Second), 0)
	is.Equal(startsAfter(time.Second), 1)
}

// TestRestoredRunOnRestartedWorker guards against a new owner that starts a task again
// because the list names a later incarnation of its worker than the stored record.
func TestRestoredRunOnRestartedWorker(t *testing.T) {
	is := is.New(t)
	restarted := newSim(t, 1, 1).restartedWorker("w-00")
	s := newSim(t, 1, 0)
	j := singleStepJob(1, task.Step{Tasks: 1})
	j.Queue = simQueue(1)
	s.planner.Restore(s.now, s.now.Add(time.Minute), j, task.Progress{Job: j.ID, Occurrences: []task.OccurrenceProgress{{Groups: []task.GroupProgress{
		{Run: 1, Placements: []task.Placement{{Worker: restarted.ID, Incarnation: 1}}}}}}})
	s.planner.Resume(s.now)
	s.planner.UpdateWorker(s.now, restarted)
	s.now = s.now.Add(time.Second)
	s.planner.Tick(s.now)
	s.planner.Plan(s.now)
	is.Equal(len(s.planner.TakeChanges().Orders), 0)
	s.planner.HandleReport(s.now, s.now, task.Report{Worker: restarted.ID, Incarnation: 2})
	s.planner.Plan(s.now)
	is.Equal(s.planner.TakeChanges().Orders[0].Run, task.RunNumber(2))
}

// TestRestartedWorkerAwaitsItsEntry guards against a start on a restarted worker by the
// labels and the capacity of its previous incarnation: a report may show the restart before
// the list does.
func TestRestartedWorkerAwaitsItsEntry(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 1)
	restarted := s.restartedWorker("w-00")
	restarted.Labels = []string{"b"}
	s.planner.HandleReport(s.now, s.now, task.Report{Worker: restarted.ID, Incarnation: restarted.Incarnation})
	is.Equal(len(submitAndPlan(s, singleStepJob(1, task.Step{Tasks: 1, Label: "a"}), 1)), 0)
	is.Equal(len(submitAndPlan(s, singleStepJob(2, task.Step{Tasks: 1, Label: "b"}), 1)), 0)
	s.planner.UpdateWorker(s.now, restarted)
	s.planner.Plan(s.now)
	orders := s.planner.TakeChanges().Orders
	is.Equal(len(orders), 1)
	is.Equal(orders[0].Task.Job, singleStepJob(2, task.Step{}).ID)
}
