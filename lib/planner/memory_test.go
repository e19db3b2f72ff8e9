package planner_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/planner"
	"bronzewinch.dev/lib/task"
	"bronzewinch.dev/lib/unit"

	"github.com/matryer/is"
)

// waitingJob is a job whose tasks wait for workers that don't exist.
func waitingJob(n, steps, tasks int) task.Job {
	j := task.Job{ID: id.Job(fmt.Sprintf("%016x", n)), Queue: "q", Account: "a", Spec: "s"}
	for range steps {
		j.Steps = append(j.Steps, task.Step{Tasks: tasks, Demand: unit.Resources{Accelerators: 1, Cores: unit.Core}, Label: "label"})
	}
	return j
}

func heap() unit.Bytes {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return unit.Bytes(m.HeapAlloc)
}

// TestJobMemoryCoversTheHeap guards against jobs that take more memory than they are
// counted for.
func TestJobMemoryCoversTheHeap(t *testing.T) {
	for _, test := range []struct{ jobs, steps, tasks int }{{20, 2500, 1}, {10, 1, 10000}, {5000, 1, 1}, {2000, 3, 16}} {
		t.Run(fmt.Sprint(test), func(t *testing.T) {
			p := planner.New(planner.Config{Retention: time.Minute})
			p.Configure(planner.Rules{Queues: map[task.QueueName]task.Queue{"q": {Name: "q"}}})
			now, before, counted := time.Unix(1000, 0), heap(), unit.Bytes(0)
			for n := range test.jobs {
				j := waitingJob(n, test.steps, test.tasks)
				counted += planner.JobMemory(&j)
				if err := p.Submit(now, j); err != nil {
					t.Fatal(err)
				}
			}
			p.TakeChanges()
			if took := heap() - before; took > counted {
				t.Errorf("the jobs take %v, and are counted for %v", took, counted)
			}
			runtime.KeepAlive(p)
		})
	}
}

// TestEndedJobIsTrimmed guards against ended jobs that keep their memory, and their records
// in the store, until their state is forgotten, and against memory that stays counted.
func TestEndedJobIsTrimmed(t *testing.T) {
	is := is.New(t)
	p := planner.New(planner.Config{Retention: time.Minute})
	p.Configure(planner.Rules{Queues: map[task.QueueName]task.Queue{"q": {Name: "q"}}})
	now := time.Unix(1000, 0)
	large := waitingJob(1, 1000, 1)
	counted := planner.JobMemory(&large)
	is.NoErr(p.Submit(now, large))
	stored := p.TakeChanges().Jobs[0]
	is.NoErr(p.Cancel(now, large.ID))
	ended := p.TakeChanges().Progress[0]
	p.Tick(now.Add(time.Second))
	c := p.TakeChanges()
	is.Equal(len(c.Freed), 1)
	is.True(c.Freed[0].Bytes > counted-2*unit.KiB)
	is.Equal(len(c.Jobs), 1) // replaces the stored record
	is.Equal(len(c.Jobs[0].Steps), 0)
	is.Equal(c.Progress[0].State, task.Cancelled)
	status, ok := p.Status(large.ID)
	is.True(ok && status.State == task.Cancelled && status.Account == "a")
	freed := c.Freed[0].Bytes
	p.Tick(now.Add(2 * time.Minute))
	c = p.TakeChanges()
	is.Equal(c.Removed, []id.Job{large.ID})
	is.Equal(freed+c.Freed[0].Bytes, counted)

	// The next owner trims a record that was not replaced, and takes the replaced one.
	for _, record := range []struct {
		job      task.Job
		progress task.Progress
	}{{stored, ended}, {task.Job{ID: large.ID, Queue: "q", Account: "a"}, task.Progress{Job: large.ID, State: task.Cancelled, Ended: now}}} {
		next := planner.New(planner.Config{Retention: time.Minute})
		next.Restore(now, now, record.job, record.progress)
		next.Resume(now)
		status, ok := next.Status(large.ID)
		is.True(ok && status.State == task.Cancelled)
		next.Plan(now)
		is.Equal(len(next.TakeChanges().Orders), 0)
	}
}

// TestCompletedGangKeepsItsRuns guards against a job that is trimmed while members of its gang
// are still on their workers: one end as done completes the gang.
func TestCompletedGangKeepsItsRuns(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 2)
	orders := submitAndPlan(s, singleStepJob(1, task.Step{Tasks: 2, Gang: true}), 1)
	is.Equal(len(orders), 2)
	endRun(s, orders[0], task.EndDone)
	status, ok := s.planner.Status(orders[0].Task.Job)
	is.True(ok && status.State == task.Completed)
	is.Equal(len(s.planner.TakeChanges().Freed), 0)
	is.True(!s.planner.Colocated(orders[1].Worker)) // looks at the steps of all runs
	is.True(s.planner.Busy(orders[1].Worker))
	freed := endRun(s, orders[1], task.EndGangBroken).Freed
	is.Equal(len(freed), 1)
	is.True(!s.planner.Busy(orders[1].Worker))
}
