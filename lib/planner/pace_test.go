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
	// harmTime is how long filling tasks may keep a serving task over its
	// target, from the platform's contract.
	harmTime = 4 * time.Second
)

// neighbours is a serving task and a filling task, and the worker that reports
// on them.
type neighbours struct {
	s              *sim
	serving, fills planner.Order
}

// newNeighbours starts both tasks on the only worker.
func newNeighbours(t *testing.T) *neighbours {
	t.Helper()
	s := newSim(t, 1, 1)
	n := &neighbours{s: s}
	n.serving = place(s, single(1, task.Step{Tasks: 1, Service: true, TailTarget: tailTarget}), 1)[0]
	n.accept(n.serving)
	n.fills = place(s, single(2, task.Step{Tasks: 1, BestEffort: true, Estimate: time.Minute}), 1)[0]
	n.accept(n.fills)
	return n
}

func (n *neighbours) accept(o planner.Order) { n.s.r.HandleOrderResult(n.s.now, o, planner.Accepted) }

// report tells of both tasks after half a second. It returns the orders that
// set a pace, without answering them.
func (n *neighbours) report(tail time.Duration) []planner.Order {
	return n.reportAfter(500*time.Millisecond, tail)
}

func (n *neighbours) reportAfter(d, tail time.Duration) []planner.Order {
	s := n.s
	s.now = s.now.Add(d)
	s.r.RecordLeaseGrant(n.serving.Worker, s.now)
	s.r.HandleReport(s.now, s.now, task.Report{Worker: n.serving.Worker, Incarnation: 1, Active: []task.ActiveRun{
		{Task: n.serving.Task, Run: n.serving.Run, Percent: 100, TailLatency: tail}, {Task: n.fills.Task, Run: n.fills.Run, Percent: 10}}})
	s.r.Tick(s.now)
	s.r.Plan(s.now)
	var paces []planner.Order
	for _, o := range s.r.TakeChanges().Orders {
		switch o.Kind {
		case planner.Pace:
			paces = append(paces, o)
		case planner.Stop:
			s.t.Errorf("task %s is stopped", o.Task)
		}
	}
	return paces
}

// TestPaceFollowsTail guards against filling tasks that keep a serving task
// over its target, and against a pace that stays low when there is no need.
func TestPaceFollowsTail(t *testing.T) {
	is := is.New(t)
	n := newNeighbours(t)
	pace := task.FullPace
	var slowed time.Duration
	for range 8 {
		for _, o := range n.report(tailTarget * 3 / 2) {
			is.Equal(o.Task, n.fills.Task)
			pace = o.Pace
			n.accept(o)
		}
		if pace > 0 {
			slowed += 500 * time.Millisecond
		}
	}
	is.Equal(pace, task.Percent(0))
	is.True(slowed <= harmTime/2) // the rest is left for reports and orders that are late
	for range 40 {
		for _, o := range n.report(tailTarget / 4) {
			is.True(o.Pace > pace)
			pace = o.Pace
			n.accept(o)
		}
	}
	is.Equal(pace, task.FullPace)
}

// TestPaceSteps guards against a pace that falls or rises where it should not:
// on a tail that is neither near its target nor far below, and before a tail can
// show the effect of the last change.
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
			n := newNeighbours(t)
			for _, o := range n.report(tailTarget * 7 / 10) {
				n.accept(o)
			}
			for _, o := range n.reportAfter(10*time.Millisecond, tailTarget*9/10) { // the first change that is due
				n.accept(o)
			}
			changes := 0
			for range test.reports {
				for _, o := range n.reportAfter(test.between, time.Duration(test.tail*float64(tailTarget))) {
					changes++
					n.accept(o)
				}
			}
			is.Equal(changes, test.changes)
		})
	}
}

// TestPaceIsOrderedUntilAnswered guards against a filling task that goes on
// because the order to slow it down was lost.
func TestPaceIsOrderedUntilAnswered(t *testing.T) {
	is := is.New(t)
	n := newNeighbours(t)
	var last planner.Order
	for range 6 {
		orders := n.report(tailTarget * 2)
		is.Equal(len(orders), 1)
		last = orders[0]
		n.s.r.HandleOrderResult(n.s.now, last, planner.Unanswered)
	}
	is.Equal(last.Pace, task.Percent(0))
	n.accept(last)
	// An earlier order without an answer may be carried out late.
	repeated := 0
	for range 6 {
		repeated += len(n.report(tailTarget * 2))
	}
	is.True(repeated > 0)
}

// TestPaceReturnsWhenServingEnds guards against filling tasks that stay slow
// on a worker on which nothing serves any more.
func TestPaceReturnsWhenServingEnds(t *testing.T) {
	is := is.New(t)
	n := newNeighbours(t)
	for range 4 {
		for _, o := range n.report(tailTarget * 2) {
			n.accept(o)
		}
	}
	s := n.s
	is.NoErr(s.r.Cancel(s.now, n.serving.Task.Job))
	s.r.HandleReport(s.now, s.now, task.Report{Worker: n.serving.Worker, Incarnation: 1,
		Active: []task.ActiveRun{{Task: n.fills.Task, Run: n.fills.Run, Percent: 10}},
		Ends:   []task.EndedRun{{Seq: 1, Task: n.serving.Task, Run: n.serving.Run, Reason: task.EndStopped}}})
	var pace task.Percent
	for _, o := range s.r.TakeChanges().Orders {
		if o.Kind == planner.Pace {
			pace = o.Pace
		}
	}
	is.Equal(pace, task.FullPace)
}

// TestNewOwnerSetsPace guards against a pace that an earlier owner set and the
// new one does not know.
func TestNewOwnerSetsPace(t *testing.T) {
	for _, test := range []struct {
		name    string
		serving bool
	}{{"beside a serving task", true}, {"alone", false}} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newSim(t, 1, 1)
			fills := single(2, task.Step{Tasks: 1, BestEffort: true, Estimate: time.Minute})
			serving := single(1, task.Step{Tasks: 1, Service: true, TailTarget: tailTarget})
			rep := task.Report{Worker: "w-00", Incarnation: 1}
			for _, j := range []task.Job{fills, serving} {
				if len(j.Steps) == 0 || j.Steps[0].Service && !test.serving {
					continue
				}
				j.Queue = simQueue(1)
				s.r.Restore(s.now, s.now.Add(time.Minute), j, task.Progress{Job: j.ID, Occurrences: []task.OccurrenceProgress{{
					Groups: []task.GroupProgress{{Run: 1, Placements: []task.Placement{{Worker: "w-00", Incarnation: 1}}}}}}})
				rep.Active = append(rep.Active, task.ActiveRun{Task: task.Name{Job: j.ID}, Run: 1, Percent: 50, TailLatency: time.Millisecond})
			}
			s.r.Resume(s.now)
			s.r.HandleReport(s.now, s.now, rep)
			orders := s.r.TakeChanges().Orders
			is.Equal(len(orders), 1)
			is.Equal(orders[0].Kind, planner.Pace)
			is.Equal(orders[0].Task.Job, fills.ID)
			is.Equal(orders[0].Pace < task.FullPace, test.serving)
		})
	}
}

// TestFillsPlacement guards against filling tasks that take cores from others,
// or that run beside serving tasks while other workers are free.
func TestFillsPlacement(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 2)
	all := unit.Resources{Accelerators: 1, Cores: 32 * unit.Core}
	serving := place(s, single(1, task.Step{Tasks: 1, Service: true, TailTarget: tailTarget, Demand: all}), 1)
	is.Equal(len(serving), 1)
	orders := place(s, single(2, task.Step{Tasks: 10, BestEffort: true, Demand: all}), 1)
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
	beside := serving[0].Worker
	is.Equal(len(starts), 2)
	is.Equal(starts[beside], 2) // the other worker has eight accelerators
	is.Equal(len(paces), 1)     // beside a serving task they start slowly
	is.Equal(paces[beside], 2)
	next := place(s, single(3, task.Step{Tasks: 1, Demand: all}), 1)
	is.Equal(len(next), 0) // no accelerator is left beside the free cores
}

// TestFillsKeepWhenSlow guards against filling tasks that are moved as hanging
// though other tasks leave them no processor time.
func TestFillsKeepWhenSlow(t *testing.T) {
	is := is.New(t)
	n := newNeighbours(t)
	for range 20 {
		n.report(tailTarget / 2)
	}
	status, ok := n.s.r.Status(n.fills.Task.Job)
	is.True(ok)
	is.Equal(status.State, task.Running)
	is.True(n.s.r.Colocated(n.fills.Worker)) // reports must come often beside a serving task
}
