package planner_test

import (
	"testing"
	"time"

	"bronzewinch.dev/lib/planner"
	"bronzewinch.dev/lib/task"
	"bronzewinch.dev/lib/unit"

	"github.com/matryer/is"
)

// TestStopIsRepeated guards against a run that continues because the order to stop it
// was lost and not repeated.
func TestStopIsRepeated(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 1)
	start := submitAndPlan(s, singleStepJob(1, task.Step{Tasks: 1}), 1)[0]
	s.planner.HandleOrderResult(s.now, start, planner.Accepted)
	is.NoErr(s.planner.Cancel(s.now, start.Task.Job))
	stop := s.planner.TakeChanges().Orders[0]
	is.Equal(stop.Kind, planner.Stop)
	s.planner.HandleOrderResult(s.now, stop, planner.Unanswered)
	s.now = s.now.Add(1100 * time.Millisecond)
	s.planner.Tick(s.now)
	again := s.planner.TakeChanges().Orders
	is.Equal(len(again), 1)
	is.Equal(again[0].Kind, planner.Stop)
	s.planner.HandleOrderResult(s.now, again[0], planner.Accepted)
	s.now = s.now.Add(1100 * time.Millisecond)
	s.planner.Tick(s.now)
	is.Equal(len(s.planner.TakeChanges().Orders), 0)
}

// TestReportOfEarlierIncarnation guards against a run on a restarted worker that counts
// as lost because a report or a list entry of the earlier incarnation arrives late.
func TestReportOfEarlierIncarnation(t *testing.T) {
	for _, test := range []struct {
		name    string
		deliver func(s *sim, w task.Worker)
	}{
		{"report", func(s *sim, w task.Worker) {
			s.planner.HandleReport(s.now, s.now, task.Report{Worker: w.ID, Incarnation: w.Incarnation})
		}},
		{"list entry", func(s *sim, w task.Worker) { s.planner.UpdateWorker(s.now, w) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newSim(t, 1, 1)
			before := s.workers["w-00"].Worker
			after := before
			after.Incarnation = 2
			s.planner.UpdateWorker(s.now, after)
			s.planner.HandleReport(s.now, s.now, task.Report{Worker: after.ID, Incarnation: 2})
			start := submitAndPlan(s, singleStepJob(1, task.Step{Tasks: 1}), 1)[0]
			is.Equal(start.Incarnation, task.Incarnation(2))
			s.planner.HandleOrderResult(s.now, start, planner.Accepted)
			s.now = s.now.Add(100 * time.Millisecond)
			test.deliver(s, before)
			s.planner.Plan(s.now)
			is.Equal(len(s.planner.TakeChanges().Orders), 0)
			is.True(s.planner.Busy(after.ID))
		})
	}
}

// TestWorkerOfOtherService guards against a task that starts on a worker of another
// service than that of its queue.
func TestWorkerOfOtherService(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 1)
	other := s.workers["w-00"].Worker
	other.ID, other.Service = "w-other", "other"
	s.planner.UpdateWorker(s.now, other)
	s.planner.HandleReport(s.now, s.now, task.Report{Worker: other.ID, Incarnation: 1})
	orders := submitAndPlan(s, singleStepJob(1, task.Step{Tasks: 16}), 1)
	is.Equal(len(orders), 8)
	for _, o := range orders {
		is.Equal(o.Worker, s.workers["w-00"].ID)
	}
}

// TestTicketOfEarlierIncarnation guards against a start with a ticket that was issued
// for an earlier incarnation of the worker, which the new one does not accept.
func TestTicketOfEarlierIncarnation(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 1)
	s.planner.Configure(planner.Rules{Queues: map[task.QueueName]task.Queue{"q1": {Name: "q1", Service: simService, Priority: 1, Attempts: 4,
		Slack: 3, Advised: true}}})
	s.submit(singleStepJob(1, task.Step{Tasks: 1, Estimate: time.Second}), 1)
	s.planner.Plan(s.now)
	requests := s.planner.TakeChanges().AdviceRequests
	is.Equal(len(requests), 1)
	s.planner.HandleAdvice(requests[0], []planner.Ticket{{Worker: "w-00", Value: "ticket"}}, s.now.Add(time.Minute), nil)
	restarted := s.restartedWorker("w-00")
	s.planner.UpdateWorker(s.now, restarted)
	s.planner.HandleReport(s.now, s.now, task.Report{Worker: restarted.ID, Incarnation: 2})
	s.now = s.now.Add(2 * time.Second)
	s.planner.Plan(s.now)
	next := s.planner.TakeChanges()
	is.Equal(len(next.Orders), 0)
	is.Equal(len(next.AdviceRequests), 1)
}

// TestAttemptsAreCounted guards against failures that are lost at a change of owner,
// counted for each member of a gang, or counted for service tasks.
func TestAttemptsAreCounted(t *testing.T) {
	whole := unit.Resources{Accelerators: 8, Cores: unit.Core}
	for _, test := range []struct {
		name     string
		step     task.Step
		restored int // failures that an earlier owner has stored
		runs     int // further runs, all of whose members fail
		want     task.State
	}{
		{"restored", task.Step{Tasks: 1}, 3, 1, task.Failed},
		{"restored, one less", task.Step{Tasks: 1}, 2, 1, task.Running},
		{"gang", task.Step{Tasks: 2, Gang: true, Demand: whole}, 0, 3, task.Running},
		{"gang, one more", task.Step{Tasks: 2, Gang: true, Demand: whole}, 0, 4, task.Failed},
		{"service task", task.Step{Tasks: 1, Service: true}, 0, 6, task.Running},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newSim(t, 1, 6)
			j := singleStepJob(1, test.step)
			j.Queue = simQueue(1) // four attempts
			s.planner.Restore(s.now, s.now, j, task.Progress{Job: j.ID, Occurrences: []task.OccurrenceProgress{{
				Groups: []task.GroupProgress{{Run: task.RunNumber(test.restored), Failures: test.restored}}}}})
			s.planner.Resume(s.now)
			for range test.runs {
				s.now = s.now.Add(10 * time.Second) // workers are no longer barred
				for _, w := range s.workers {
					s.report(w)
				}
				s.planner.Plan(s.now)
				orders := s.planner.TakeChanges().Orders
				is.Equal(len(orders), test.step.Tasks)
				for _, o := range orders {
					s.seq++
					s.planner.HandleReport(s.now, s.now, task.Report{Worker: o.Worker, Incarnation: 1, Ends: []task.EndedRun{
						{Seq: s.seq, Task: o.Task, Run: o.Run, Reason: task.EndFailed}}})
				}
			}
			status, ok := s.planner.Status(j.ID)
			is.True(ok)
			is.Equal(status.State, test.want)
		})
	}
}

// TestStall guards against runs that make no progress and are not stopped, and against
// healthy runs that are stopped because their progress is reported in coarse steps or
// in a report that arrives late.
func TestStall(t *testing.T) {
	type report struct {
		after   time.Duration // between the last report and this one
		percent task.Percent
	}
	sec := time.Second
	for _, test := range []struct {
		name      string
		step      task.Step
		reportAge time.Duration // age of a report on arrival
		reports   []report
		stopped   bool
	}{
		{"no progress", task.Step{Estimate: 2500 * time.Millisecond}, 0, []report{{sec / 2, 10}, {2 * sec, 10}}, true},
		{"no progress from the start", task.Step{Estimate: 2500 * time.Millisecond}, 0, []report{{2 * sec, 0}}, true},
		{"slow progress", task.Step{Estimate: 2500 * time.Millisecond}, 0, []report{{2 * sec, 10}, {2 * sec, 11}, {2 * sec, 12}}, false},
		{"long task", task.Step{Estimate: 5 * time.Minute}, 0, []report{{2 * sec, 0}, {2 * sec, 0}, {2 * sec, 0}, {2 * sec, 0}}, false},
		{"long task without progress", task.Step{Estimate: time.Minute}, 0, []report{{sec, 1}, {7 * sec, 1}, {6 * sec, 1}}, true},
		{"much work done", task.Step{Estimate: 10 * sec}, 0, []report{{6 * sec, 60}, {3 * sec, 60}}, false},
		{"much work done, long ago", task.Step{Estimate: 10 * sec}, 0, []report{{6 * sec, 60}, {3 * sec, 60}, {4 * sec, 60}}, true},
		{"much work saved", task.Step{Estimate: 10 * sec, Checkpoints: true}, 0, []report{{6 * sec, 60}, {3 * sec, 60}}, true},
		{"at 100 percent", task.Step{Estimate: 2500 * time.Millisecond}, 0, []report{{2 * sec, 100}, {2 * sec, 100}}, false},
		{"old reports", task.Step{Estimate: 2500 * time.Millisecond}, 3 * sec, []report{{3 * sec, 0}, {sec, 0}}, false},
		{"service task", task.Step{Service: true}, 0, []report{{2 * sec, 50}, {9 * sec, 50}}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newSim(t, 1, 2)
			test.step.Tasks = 1
			start := submitAndPlan(s, singleStepJob(1, test.step), 1)[0]
			s.planner.HandleOrderResult(s.now, start, planner.Accepted)
			stopped := false
			for _, r := range test.reports {
				s.now = s.now.Add(r.after)
				s.planner.RecordLeaseGrant(start.Worker, s.now)
				s.planner.HandleReport(s.now, s.now.Add(-2*sec), task.Report{Worker: start.Worker, Incarnation: 1,
					AsOf: s.now.Add(-test.reportAge), Active: []task.ActiveRun{{Task: start.Task, Run: start.Run, Percent: r.percent}}})
				for _, o := range s.planner.TakeChanges().Orders {
					stopped = stopped || o.Kind == planner.Stop
				}
			}
			is.Equal(stopped, test.stopped)
		})
	}
}

// TestRestoredLeaseIsLimited guards against a new owner that starts a run elsewhere while
// the lease that an earlier owner granted may last, and against one that waits longer
// once no earlier owner extends leases.
func TestRestoredLeaseIsLimited(t *testing.T) {
	for _, test := range []struct {
		name         string
		limit        bool
		first, after time.Duration // the run has not started elsewhere at first, and has after
	}{
		{"earlier owner may extend", false, 17 * time.Second, 18500 * time.Millisecond},
		{"earlier owner has ended", true, 6 * time.Second, 7 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newSim(t, 3, 2)
			delete(s.workers, "w-00") // it does not answer, and its entry has expired
			s.planner.UnlistWorker(s.now, "w-00")
			j := singleStepJob(1, task.Step{Tasks: 1, Estimate: time.Minute})
			j.Queue = simQueue(1)
			s.jobs[j.ID] = j
			s.planner.Restore(s.now, simConfig.LeaseExpiry(s.now.Add(12*time.Second)), j, task.Progress{Job: j.ID,
				Occurrences: []task.OccurrenceProgress{{Groups: []task.GroupProgress{
					{Run: 1, Placements: []task.Placement{{Worker: "w-00", Incarnation: 1}}}}}}})
			s.planner.Resume(s.now)
			if test.limit {
				s.planner.LimitRestoredLeases(simConfig.LeaseExpiry(s.now))
			}
			s.advance(test.first)
			is.Equal(len(s.workers["w-01"].runs), 0)
			s.advance(test.after - test.first)
			is.Equal(len(s.workers["w-01"].runs), 1)
		})
	}
}

// TestLateSuccess guards against a service task that is never started again because a run of
// it that the planner has given up is reported as done, and against a second run of another
// task in that case.
func TestLateSuccess(t *testing.T) {
	for _, test := range []struct {
		name  string
		step  task.Step
		state task.State
		runs  int // after the report
	}{
		{"service task", task.Step{Tasks: 1, Service: true}, task.Running, 1},
		{"gang of service tasks", task.Step{Tasks: 2, Service: true, Gang: true}, task.Running, 2},
		{"other task", task.Step{Tasks: 1}, task.Completed, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newSim(t, 1, 1)
			starts := submitAndPlan(s, singleStepJob(1, test.step), 1)
			for _, o := range starts {
				s.planner.HandleOrderResult(s.now, o, planner.Accepted)
			}
			s.now = s.now.Add(time.Minute)
			s.planner.Tick(s.now)
			is.True(!s.planner.Busy(starts[0].Worker)) // its lease has expired
			is.Equal(countOrders(endRun(s, starts[0], task.EndDone).Orders, planner.Start), test.runs)
			status, _ := s.planner.Status(starts[0].Task.Job)
			is.Equal(status.State, test.state)
		})
	}
}

// TestServiceTaskStoredAsDone guards against a service task that is not started because an
// earlier version of an owner has stored it as done.
func TestServiceTaskStoredAsDone(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 1)
	j := singleStepJob(1, task.Step{Tasks: 2, Service: true})
	j.Queue = simQueue(1)
	s.planner.Restore(s.now, s.now, j, task.Progress{Job: j.ID, Occurrences: []task.OccurrenceProgress{{
		Groups: []task.GroupProgress{{Run: 1, Done: true}, {Run: 1}}}}})
	s.planner.Resume(s.now)
	s.now = s.now.Add(time.Second)
	s.planner.Plan(s.now)
	orders := s.planner.TakeChanges().Orders
	is.Equal(countOrders(orders, planner.Start), 2)
	is.Equal(orders[0].Run, task.RunNumber(2))
}

// TestRejectedStartsAreNotBegun guards against a new owner that takes a job as running whose
// starts were all rejected, and against one that takes a job as pending that has run.
func TestRejectedStartsAreNotBegun(t *testing.T) {
	for _, test := range []struct {
		name   string
		result planner.OrderResult
		want   task.State
	}{{"rejected", planner.Rejected, task.Pending}, {"accepted and stopped", planner.Accepted, task.Running}} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newSim(t, 1, 2)
			j := singleStepJob(1, task.Step{Tasks: 1})
			s.submit(j, 1)
			s.planner.Plan(s.now)
			changes := s.planner.TakeChanges()
			o := changes.Orders[0]
			s.planner.HandleOrderResult(s.now, o, test.result)
			if test.result == planner.Accepted {
				s.planner.HandleReport(s.now, s.now, task.Report{Worker: o.Worker, Incarnation: 1,
					Ends: []task.EndedRun{{Seq: 1, Task: o.Task, Run: o.Run, Reason: task.EndStopped}}})
			}
			stored := s.planner.TakeChanges().Progress
			is.Equal(len(stored), 1)
			next := newSim(t, 1, 2)
			next.planner.Restore(next.now, next.now, changes.Jobs[0], stored[0])
			next.planner.Resume(next.now)
			status, ok := next.planner.Status(j.ID)
			is.True(ok)
			is.Equal(status.State, test.want)
			is.Equal(len(next.planner.PendingJobs()) == 0, test.want == task.Running)
		})
	}
}
