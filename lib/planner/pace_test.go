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

const (
	tailTarget = 100 * time.Millisecond
	// maxTimeOverTarget is how long best-effort tasks may keep the tail latency of a
	// service task above its target, from the platform's contract.
	maxTimeOverTarget = 4 * time.Second
)

// colocatedTasks is a service task and a best-effort task on the only worker of a
// simulation.
type colocatedTasks struct {
	sim                 *sim
	service, bestEffort planner.Order
}

// startColocated starts a service task and a best-effort task on the same worker.
func startColocated(t *testing.T) *colocatedTasks {
	t.Helper()
	s := newSim(t, 1, 1)
	c := &colocatedTasks{sim: s}
	c.service = submitAndPlan(s, singleStepJob(1, task.Step{Tasks: 1, Service: true, TailTarget: tailTarget}), 1)[0]
	c.accept(c.service)
	c.bestEffort = submitAndPlan(s, singleStepJob(2, task.Step{Tasks: 1, BestEffort: true, Estimate: time.Minute}), 1)[0]
	c.accept(c.bestEffort)
	return c
}

func (c *colocatedTasks) accept(o planner.Order) {
	c.sim.planner.HandleOrderResult(c.sim.now, o, planner.Accepted)
}

// report reports on both tasks after half a second, with a tail latency of the service
// task. It returns the orders that set a pace, without answering them.
func (c *colocatedTasks) report(tail time.Duration) []planner.Order {
	return c.reportAfter(500*time.Millisecond, tail)
}

func (c *colocatedTasks) reportAfter(d, tail time.Duration) []planner.Order {
	s := c.sim
	s.now = s.now.Add(d)
	s.planner.RecordLeaseGrant(c.service.Worker, s.now)
	s.planner.HandleReport(s.now, s.now, task.Report{Worker: c.service.Worker, Incarnation: 1, Active: []task.ActiveRun{
		{Task: c.service.Task, Run: c.service.Run, Percent: 100, TailLatency: tail},
		{Task: c.bestEffort.Task, Run: c.bestEffort.Run, Percent: 10}}})
	s.planner.Tick(s.now)
	s.planner.Plan(s.now)
	var paces []planner.Order
	for _, o := range s.planner.TakeChanges().Orders {
		switch o.Kind {
		case planner.Pace:
			paces = append(paces, o)
		case planner.Stop:
			s.t.Errorf("task %s is ordered to stop", o.Task)
		}
	}
	return paces
}

// TestPaceFollowsTail guards against best-effort tasks that keep the tail latency of a
// service task above its target, and against a pace that stays low after the tail
// latency has fallen.
func TestPaceFollowsTail(t *testing.T) {
	is := is.New(t)
	c := startColocated(t)
	pace := task.FullPace
	var slowed time.Duration
	for range 8 {
		for _, o := range c.report(tailTarget * 3 / 2) {
			is.Equal(o.Task, c.bestEffort.Task)
			pace = o.Pace
			c.accept(o)
		}
		if pace > 0 {
			slowed += 500 * time.Millisecond
		}
	}
	is.Equal(pace, task.Percent(0))
	is.True(slowed <= maxTimeOverTarget/2) // the rest is left for reports and orders that are late
	for range 40 {
		for _, o := range c.report(tailTarget / 4) {
			is.True(o.Pace > pace)
			pace = o.Pace
			c.accept(o)
		}
	}
	is.Equal(pace, task.FullPace)
}

// TestPaceSteps guards against a pace that changes on a tail latency that is neither
// near its target nor far below, or before the tail latency can show the effect of the
// last change.
func TestPaceSteps(t *testing.T) {
	for _, test := range []struct {
		name    string
		tail    float64 // share of the target
		reports int
		between time.Duration
		changes int
	}{
		{"near the target", 0.9, 1, 500 * time.Millisecond, 1},
		{"in between", 0.7, 4, time.Second, 0},
		{"far below", 0.2, 1, time.Second, 1},
		{"reports in quick succession", 0.9, 4, 100 * time.Millisecond, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := startColocated(t)
			for _, o := range c.report(tailTarget * 7 / 10) {
				c.accept(o)
			}
			for _, o := range c.reportAfter(10*time.Millisecond, tailTarget*9/10) { // so that a first change has been made
				c.accept(o)
			}
			changes := 0
			for range test.reports {
				for _, o := range c.reportAfter(test.between, time.Duration(test.tail*float64(tailTarget))) {
					changes++
					c.accept(o)
				}
			}
			is.Equal(changes, test.changes)
		})
	}
}

// TestPaceOrderIsRepeated guards against a best-effort task that keeps its speed because
// the order to slow it down was lost.
func TestPaceOrderIsRepeated(t *testing.T) {
	is := is.New(t)
	c := startColocated(t)
	var last planner.Order
	for range 6 {
		orders := c.report(tailTarget * 2)
		is.Equal(len(orders), 1)
		last = orders[0]
		c.sim.planner.HandleOrderResult(c.sim.now, last, planner.Unanswered)
	}
	is.Equal(last.Pace, task.Percent(0))
	c.accept(last)
	// An earlier, unanswered order may be carried out after the accepted one.
	repeated := 0
	for range 6 {
		repeated += len(c.report(tailTarget * 2))
	}
	is.True(repeated > 0)
}

// TestPaceRisesWhenServiceEnds guards against best-effort tasks that stay slow on a
// worker that no longer runs a service task.
func TestPaceRisesWhenServiceEnds(t *testing.T) {
	is := is.New(t)
	c := startColocated(t)
	for range 4 {
		for _, o := range c.report(tailTarget * 2) {
			c.accept(o)
		}
	}
	s := c.sim
	is.NoErr(s.planner.Cancel(s.now, c.service.Task.Job))
	s.planner.HandleReport(s.now, s.now, task.Report{Worker: c.service.Worker, Incarnation: 1,
		Active: []task.ActiveRun{{Task: c.bestEffort.Task, Run: c.bestEffort.Run, Percent: 10}},
		Ends:   []task.EndedRun{{Seq: 1, Task: c.service.Task, Run: c.service.Run, Reason: task.EndStopped}}})
	var pace task.Percent
	for _, o := range s.planner.TakeChanges().Orders {
		if o.Kind == planner.Pace {
			pace = o.Pace
		}
	}
	is.Equal(pace, task.FullPace)
}

// TestNewOwnerSetsPace guards against a pace that remains as an earlier owner has set
// it: a new owner does not know that pace.
func TestNewOwnerSetsPace(t *testing.T) {
	for _, test := range []struct {
		name    string
		service bool
	}{{"beside a service task", true}, {"alone", false}} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newSim(t, 1, 1)
			bestEffort := singleStepJob(2, task.Step{Tasks: 1, BestEffort: true, Estimate: time.Minute})
			service := singleStepJob(1, task.Step{Tasks: 1, Service: true, TailTarget: tailTarget})
			report := task.Report{Worker: "w-00", Incarnation: 1}
			for _, j := range []task.Job{bestEffort, service} {
				if len(j.Steps) == 0 || j.Steps[0].Service && !test.service {
					continue
				}
				j.Queue = simQueue(1)
				s.planner.Restore(s.now, s.now.Add(time.Minute), j, task.Progress{Job: j.ID, Occurrences: []task.OccurrenceProgress{{
					Groups: []task.GroupProgress{{Run: 1, Placements: []task.Placement{{Worker: "w-00", Incarnation: 1}}}}}}})
				report.Active = append(report.Active, task.ActiveRun{Task: task.Name{Job: j.ID}, Run: 1,
					Percent: 50, TailLatency: time.Millisecond})
			}
			s.planner.Resume(s.now)
			s.planner.HandleReport(s.now, s.now, report)
			orders := s.planner.TakeChanges().Orders
			is.Equal(len(orders), 1)
			is.Equal(orders[0].Kind, planner.Pace)
			is.Equal(orders[0].Task.Job, bestEffort.ID)
			is.Equal(orders[0].Pace < task.FullPace, test.service)
		})
	}
}

// TestBestEffortPlacement guards against best-effort tasks whose cores count against the
// capacity of a worker, or that run beside service tasks while other workers are free.
func TestBestEffortPlacement(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 2)
	all := unit.Resources{Accelerators: 1, Cores: 32 * unit.Core}
	service := submitAndPlan(s, singleStepJob(1, task.Step{Tasks: 1, Service: true, TailTarget: tailTarget, Demand: all}), 1)
	is.Equal(len(service), 1)
	orders := submitAndPlan(s, singleStepJob(2, task.Step{Tasks: 10, BestEffort: true, Demand: all}), 1)
	starts, paces := make(map[id.Worker]int), make(map[id.Worker]int)
	for _, o := range orders {
		switch o.Kind {
		case planner.Start:
			starts[o.Worker]++
		case planner.Pace:
			paces[o.Worker]++
			is.True(o.Pace < task.FullPace)
		}
	}
	beside := service[0].Worker
	is.Equal(len(starts), 2)
	is.Equal(starts[beside], 2) // the other worker has eight accelerators
	is.Equal(len(paces), 1)     // the pace is reduced immediately beside a service task
	is.Equal(paces[beside], 2)
	next := submitAndPlan(s, singleStepJob(3, task.Step{Tasks: 1, Demand: all}), 1)
	is.Equal(len(next), 0) // cores are free, but no accelerator is
}

// TestSlowBestEffortTaskIsKept guards against best-effort tasks that are stopped as
// stalled while other tasks leave them no processor time.
func TestSlowBestEffortTaskIsKept(t *testing.T) {
	is := is.New(t)
	c := startColocated(t)
	for range 20 {
		c.report(tailTarget / 2)
	}
	status, ok := c.sim.planner.Status(c.bestEffort.Task.Job)
	is.True(ok)
	is.Equal(status.State, task.Running)
	is.True(c.sim.planner.Colocated(c.bestEffort.Worker)) // the worker has to be polled more often
}

// TestRestartedWorkerGetsPace guards against a best-effort task that a restarted worker
// runs at full pace while the planner takes its former pace for granted.
func TestRestartedWorkerGetsPace(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 1)
	starts := submitAndPlan(s, singleStepJob(1, task.Step{Tasks: 1, Service: true, TailTarget: 100 * time.Millisecond}), 1)
	starts = append(starts, submitAndPlan(s, singleStepJob(2, task.Step{Tasks: 1, BestEffort: true}), 1)...)
	for _, o := range starts {
		s.planner.HandleOrderResult(s.now, o, planner.Accepted)
	}
	report := func(incarnation task.Incarnation) []planner.Order {
		s.now = s.now.Add(600 * time.Millisecond)
		s.planner.HandleReport(s.now, s.now, task.Report{Worker: "w-00", Incarnation: incarnation, Active: []task.ActiveRun{
			{Task: starts[0].Task, Run: 1, Percent: 100, TailLatency: 70 * time.Millisecond}, {Task: starts[1].Task, Run: 1}}})
		orders := s.planner.TakeChanges().Orders
		for _, o := range orders {
			s.planner.HandleOrderResult(s.now, o, planner.Accepted)
		}
		return orders
	}
	report(1)
	is.Equal(countOrders(report(1), planner.Pace), 0)
	is.True(countOrders(report(2), planner.Pace) > 0)
}
