package scheduling_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/scheduler"
	"bronzewinch.dev/lib/worker"
	"bronzewinch.dev/standin/workers"

	"github.com/matryer/is"
)

// withHarness runs f with a harness of six workers whose tasks run for an hour, and
// checks the runs of the tasks afterwards.
func withHarness(t *testing.T, f func(is *is.I, h *harness)) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 6, func(worker.Ref) time.Duration { return time.Hour })
		f(is.New(t), h)
		h.checkRuns()
		h.close()
	})
}

func (h *harness) phase(name id.Job) job.Phase {
	j, err := h.currentOwner().Get(name)
	if err != nil {
		return job.Phase(err.Error())
	}
	return j.Phase
}

// TestCancelWave guards against one journal write for each of many concurrent
// cancellations, and against wrong results: NotRun for a job that ran, or Stopped
// for one that did not.
func TestCancelWave(t *testing.T) {
	withHarness(t, func(is *is.I, h *harness) {
		const n = 10_000
		for i := range n {
			h.submit(id.Job(fmt.Sprint("j", i)), 2, false)
		}
		synctest.Wait()
		h.advance(2 * time.Second)
		before := h.store.entries
		h.currentOwner().term.close() // blocks an append until all cancellations are queued
		for i := range n {
			h.cancel(id.Job(fmt.Sprint("j", i)))
		}
		synctest.Wait()
		h.currentOwner().term.open()
		h.advance(time.Second)
		is.Equal(len(h.cancellations), n)
		is.True(h.store.entries-before < 20) // three entries of cancellations, a few of ends
		count := map[scheduler.CancelResult]int{}
		for _, a := range h.cancellations {
			count[a.result]++
		}
		is.Equal(count[scheduler.Stopped], 6) // six workers with room for two members each
		is.Equal(count[scheduler.NotRun], n-6)
	})
}

// TestStoreOutage guards against running work that is stopped by an outage of the
// store, and against jobs that are accepted during one although the journal, and so
// a later owner, does not contain them.
func TestStoreOutage(t *testing.T) {
	withHarness(t, func(is *is.I, h *harness) {
		h.submit("runs", 3, false)
		h.advance(time.Second)
		h.store.withLock(func() { h.store.unavailable = true })
		h.advance(time.Minute)
		is.Equal(h.phase("runs"), job.Running)
		_, err := h.currentOwner().Submit(context.Background(), h.currentOwner().List()[0].Spec, "late")
		is.True(problem.Is(err, problem.Unavailable))
		_, err = h.currentOwner().Cancel(context.Background(), "runs")
		is.True(problem.Is(err, problem.Unavailable))
		h.store.withLock(func() { h.store.unavailable = false })
		h.submit("late", 1, false)
		h.advance(time.Second)
		is.Equal(h.phase("late"), job.Running)
		is.Equal(len(h.fleet.Intervals()), 4)
	})
}

// TestUrgentClaim guards against a claim that waits longer than 3.6 s for the jobs
// that it preempts.
func TestUrgentClaim(t *testing.T) {
	withHarness(t, func(is *is.I, h *harness) {
		h.submit("low1", 6, false)
		h.submit("low2", 6, false)
		h.advance(time.Second)
		h.submit("claim", 6, true)
		h.advance(3600 * time.Millisecond)
		is.Equal(h.phase("claim"), job.Running)
		is.True(h.phase("low1") != job.Running || h.phase("low2") != job.Running) // the workers have room for two of the three jobs
	})
}

// TestPlannedStop guards against a planned stop that ends running tasks, and against
// a next owner that does not take them over.
func TestPlannedStop(t *testing.T) {
	withHarness(t, func(is *is.I, h *harness) {
		h.submit("runs", 4, false)
		h.submit("waits", 7, false)
		h.advance(time.Second)
		is.NoErr(h.currentOwner().Close(context.Background()))
		h.advance(3 * time.Second)
		h.openOwner()
		h.advance(time.Minute)
		is.Equal(h.phase("runs"), job.Running)
		is.Equal(h.phase("waits"), job.Waiting)
		is.Equal(len(h.fleet.Intervals()), 4)
		is.Equal(len(must(h.currentOwner().Decisions("runs"))), 1)
	})
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// TestRemovedWorkerIsNotPolled guards against an owner that keeps calling a worker
// which is no longer declared, and against one that stops calling it while a gang
// still has a member there.
func TestRemovedWorkerIsNotPolled(t *testing.T) {
	withHarness(t, func(is *is.I, h *harness) {
		h.submit("runs", 6, false)
		h.advance(2 * time.Second)
		reduced := *h.records
		zone := reduced.Zones["a"]
		zone.Workers = zone.Workers[:5]
		reduced.Zones = map[id.Zone]record.Zone{"a": zone}
		h.currentOwner().SetConfig(&reduced)
		var calls atomic.Int32
		h.mu.Lock()
		h.onCall = func(name id.Worker, _ worker.Command) {
			if name == "w5" {
				calls.Add(1)
			}
		}
		h.mu.Unlock()
		h.advance(20 * time.Second)
		is.Equal(h.phase("runs"), job.Running) // the gang keeps running
		is.True(calls.Load() > 10)
		h.cancel("runs")
		h.advance(5 * time.Second)
		calls.Store(0)
		h.advance(20 * time.Second)
		is.Equal(calls.Load(), int32(0))
	})
}

// TestEvacuationAfterDecision guards against work that is begun in an evacuated zone because
// it was placed before, and against a job that is lost when its placement is given up.
func TestEvacuationAfterDecision(t *testing.T) {
	withHarness(t, func(is *is.I, h *harness) {
		h.advance(time.Second)
		evacuated := *h.records
		zone := evacuated.Zones["a"]
		zone.Evacuated = true
		evacuated.Zones = map[id.Zone]record.Zone{"a": zone}
		var reservations atomic.Int32
		h.mu.Lock()
		h.onCall = func(_ id.Worker, c worker.Command) {
			if c.Kind == worker.Reserve {
				reservations.Add(1)
			}
		}
		h.mu.Unlock()
		h.submit("waits", 3, false)
		h.currentOwner().term.close() // blocks the append of the decision
		h.advance(time.Second)
		h.currentOwner().SetConfig(&evacuated)
		h.currentOwner().term.open()
		h.advance(10 * time.Second)
		is.Equal(reservations.Load(), int32(0))
		is.True(h.phase("waits") != job.Running)
		h.currentOwner().SetConfig(h.records)
		h.advance(10 * time.Second)
		is.Equal(h.phase("waits"), job.Running)
	})
}

// TestClaimWaitsForCheckpointsOnly guards against a claim that, after its victims
// have written their checkpoints, waits until the next renewal reports them.
func TestClaimWaitsForCheckpointsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarnessWithoutOwner(t, 6, func(worker.Ref) time.Duration { return time.Hour })
		h.records.Policy.CheckpointGrace = 5 * time.Second
		h.openOwner()
		h.submit("low1", 6, false)
		h.submit("low2", 6, false)
		h.advance(1200 * time.Millisecond)
		h.submit("claim", 6, true)
		h.advance(workers.CheckpointTime + 400*time.Millisecond)
		is.Equal(h.phase("claim"), job.Running)
		h.checkRuns()
		h.close()
	})
}
