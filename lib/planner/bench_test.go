package planner_test

import (
	"fmt"
	"testing"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/planner"
	"bronzewinch.dev/lib/task"
	"bronzewinch.dev/lib/unit"
)

// BenchmarkPlan measures one cycle of the planner on a fleet of the largest deployment,
// at rest and with a new job of 38 tasks.
func BenchmarkPlan(b *testing.B) {
	for _, tasks := range []int{0, 38} {
		b.Run(fmt.Sprintf("newTasks=%d", tasks), func(b *testing.B) {
			p, now := newLargeFleet(b, 3000, 200)
			for i := 0; b.Loop(); i++ {
				now = now.Add(10 * time.Millisecond)
				if tasks > 0 {
					j := wideJob(id.Job(fmt.Sprintf("%016x", 1_000_000+i)), tasks)
					if err := p.Submit(now, j); err != nil {
						b.Fatal(err)
					}
				}
				p.Tick(now)
				p.Plan(now)
				c := p.TakeChanges()
				if len(c.Orders) != tasks {
					b.Fatalf("got %d orders, want %d", len(c.Orders), tasks)
				}
				if tasks > 0 { // the fleet stays as it was
					if err := p.Cancel(now, c.Jobs[0].ID); err != nil {
						b.Fatal(err)
					}
					for _, o := range c.Orders {
						p.HandleOrderResult(now, o, planner.NotSent)
					}
					p.TakeChanges()
				}
			}
		})
	}
}

func wideJob(name id.Job, tasks int) task.Job {
	return task.Job{ID: name, Queue: simQueue(2), Steps: []task.Step{{Tasks: tasks, Estimate: 6 * time.Second,
		Demand: unit.Resources{Accelerators: 1, Cores: 2800, Memory: 11 * unit.GiB}}}}
}

// newLargeFleet returns a planner with workers in racks of 12 that run the tasks of
// the given number of jobs.
func newLargeFleet(b *testing.B, workers, jobs int) (*planner.Planner, time.Time) {
	b.Helper()
	p, now := planner.New(simConfig), time.Unix(1000, 0)
	p.Configure(planner.Rules{Queues: map[task.QueueName]task.Queue{simQueue(2): {Name: simQueue(2), Service: simService, Priority: 2,
		Attempts: 4, Slack: 3, Target: 3 * time.Second}}})
	for i := range workers {
		w := task.Worker{ID: id.Worker(fmt.Sprintf("i-%010x", i*2654435761%(1<<40))), Service: simService, Rack: id.Rack(fmt.Sprintf("r-%d", i/12)),
			Incarnation: 1, Capacity: unit.Resources{Accelerators: 8, Cores: 32 * unit.Core, Memory: 128 * unit.GiB}}
		p.UpdateWorker(now, w)
		p.RecordLeaseGrant(w.ID, now.Add(time.Hour))
		p.HandleReport(now, now, task.Report{Worker: w.ID, Incarnation: 1})
	}
	for i := range jobs {
		if err := p.Submit(now, wideJob(id.Job(fmt.Sprintf("%016x", i)), 38)); err != nil {
			b.Fatal(err)
		}
	}
	p.Plan(now)
	c := p.TakeChanges()
	for _, o := range c.Orders {
		p.HandleOrderResult(now, o, planner.Accepted)
	}
	return p, now
}

// BenchmarkPlanManySteps measures a pass over jobs whose steps need nothing of each other and
// don't fit.
func BenchmarkPlanManySteps(b *testing.B) {
	p, now := newLargeFleet(b, 50, 0)
	for n := range 10 {
		j := wideJob(id.Job(fmt.Sprintf("%016x", n)), 1)
		for range 2499 {
			j.Steps = append(j.Steps, j.Steps[0])
		}
		if err := p.Submit(now, j); err != nil {
			b.Fatal(err)
		}
	}
	p.Plan(now)
	p.TakeChanges()
	for b.Loop() {
		now = now.Add(10 * time.Millisecond)
		p.Tick(now)
		p.Plan(now)
		p.TakeChanges()
	}
}
