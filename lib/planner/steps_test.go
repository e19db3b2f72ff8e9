package planner_test

import (
	"fmt"
	"testing"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/planner"
	"bronzewinch.dev/lib/predict"
	"bronzewinch.dev/lib/task"
	"bronzewinch.dev/lib/unit"

	"github.com/matryer/is"
)

// TestEveryStepIsTried guards against a step that never starts because many others of its
// job, which no worker can run, are tried before it.
func TestEveryStepIsTried(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 2)
	j := singleStepJob(1, task.Step{Tasks: 1, Label: "none-0"})
	for n := range 1000 {
		j.Steps = append(j.Steps, task.Step{Tasks: 1, Demand: j.Steps[0].Demand, Label: fmt.Sprintf("none-%d", n)})
	}
	j.Steps = append(j.Steps, task.Step{Tasks: 1, Demand: j.Steps[0].Demand})
	orders := submitAndPlan(s, j, 1)
	for range 10 {
		s.planner.Plan(s.now)
		orders = append(orders, s.planner.TakeChanges().Orders...)
	}
	is.Equal(len(orders), 1)
	is.Equal(orders[0].Task.Step, 1001)
}

// TestEveryOccurrenceIsTried guards against an occurrence that never starts because steps of
// many earlier ones, which no worker can run, are tried before it.
func TestEveryOccurrenceIsTried(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 1)
	j := singleStepJob(1, task.Step{Tasks: 1, Demand: unit.Resources{Accelerators: 8, Cores: unit.Core}})
	j.Steps = append(j.Steps, task.Step{Tasks: 1, Demand: j.Steps[0].Demand, Label: "none", After: []int{0}})
	j.Occurrences, j.First = 400, s.now
	orders, started := submitAndPlan(s, j, 1), 0
	for range 3 * j.Occurrences {
		if len(orders) == 0 { // the pass has ended at the second steps of earlier occurrences
			s.planner.Plan(s.now)
			orders = s.planner.TakeChanges().Orders
			continue
		}
		started++
		orders = endRun(s, orders[0], task.EndDone).Orders
	}
	is.Equal(started, j.Occurrences)
}

// TestSmallerGroupsFitAfterMisfits guards against groups that are taken for groups that
// did not fit although they need less, or something else.
func TestSmallerGroupsFitAfterMisfits(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 1)
	demand := func(accelerators unit.Accelerators, cores unit.Millicores) unit.Resources {
		return unit.Resources{Accelerators: accelerators, Cores: cores}
	}
	j := singleStepJob(1, task.Step{Tasks: 1, Demand: demand(9, unit.Core)})
	j.Steps = append(j.Steps, task.Step{Tasks: 1, Demand: demand(1, 1000*unit.Core)}, task.Step{Tasks: 9, Gang: true, Demand: demand(1, unit.Core)},
		task.Step{Tasks: 1, Demand: demand(9, 2*unit.Core)}, task.Step{Tasks: 5, Gang: true, Demand: demand(1, unit.Core)}, task.Step{Tasks: 1, Demand: demand(3, unit.Core)})
	var steps []int
	for _, o := range submitAndPlan(s, j, 1) {
		steps = append(steps, o.Task.Step)
	}
	is.Equal(steps, []int{4, 4, 4, 4, 4, 5})
}

// TestRepeatedDependencies guards against steps that start before those that they depend
// on, or never, when these are named several times.
func TestRepeatedDependencies(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 2)
	j := singleStepJob(1, task.Step{Tasks: 1})
	j.Steps = append(j.Steps, task.Step{Tasks: 1, Demand: j.Steps[0].Demand, After: []int{0, 0, 0}})
	j.CompactDependencies()
	is.Equal(j.Steps[1].After, []int{0})
	orders := submitAndPlan(s, j, 1)
	is.Equal(len(orders), 1)
	is.Equal(endRun(s, orders[0], task.EndDone).Orders[0].Task.Step, 1)
}

// countingRunTimes counts predictions.
type countingRunTimes struct {
	*predict.Predictor
	predictions int
}

func (c *countingRunTimes) Predict(s predict.Subject) predict.Prediction {
	c.predictions++
	return c.Predictor.Predict(s)
}

// TestPassOverManySteps guards against a pass that looks at all steps of a job again for each
// of them: callers wait for its end. Each step has an estimate of its own, so each look is a
// prediction, as only some are kept.
func TestPassOverManySteps(t *testing.T) {
	const steps = 9000
	runTimes := &countingRunTimes{Predictor: predict.New()}
	config := simConfig
	config.RunTimes = runTimes
	p, now := planner.New(config), time.Unix(1000, 0)
	p.Configure(planner.Rules{Queues: map[task.QueueName]task.Queue{"q": {Name: "q", Service: simService, Priority: 1, Slack: 3}}})
	worker := task.Worker{ID: "w", Service: simService, Incarnation: 1, Capacity: unit.Resources{Accelerators: 1, Cores: unit.Core}}
	p.UpdateWorker(now, worker)
	p.HandleReport(now, now, task.Report{Worker: "w", Incarnation: 1})
	j := task.Job{ID: id.Job(fmt.Sprintf("%016x", 1)), Queue: "q"}
	for n := range steps {
		j.Steps = append(j.Steps, task.Step{Tasks: 1, Estimate: time.Duration(n+1) * time.Second, Demand: unit.Resources{Accelerators: 2}})
	}
	is.New(t).NoErr(p.Submit(now, j))
	for range 5 {
		now = now.Add(time.Second)
		p.Tick(now)
		p.Plan(now)
	}
	if runTimes.predictions > 3*steps {
		t.Errorf("%d predictions for %d steps in five passes", runTimes.predictions, steps)
	}
}
