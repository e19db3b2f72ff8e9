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

// inWorld runs f in a world of six workers whose tasks run for an hour.
func inWorld(t *testing.T, f func(is *is.I, w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 6, func(worker.Ref) time.Duration { return time.Hour })
		f(is.New(t), w)
		w.check()
		w.close()
	})
}

func (w *world) phase(name id.Job) job.Phase {
	j, err := w.owner().Get(name)
	if err != nil {
		return job.Phase(err.Error())
	}
	return j.Phase
}

// TestCancelWave guards against a wave of cancellations that costs a write
// each, or answers that are not true.
func TestCancelWave(t *testing.T) {
	inWorld(t, func(is *is.I, w *world) {
		const n = 10_000
		for i := range n {
			w.submit(id.Job(fmt.Sprint("j", i)), 2, false)
		}
		synctest.Wait()
		w.advance(2 * time.Second)
		before := w.store.entries
		w.owner().tenure.close() // an append takes longer than the wave
		for i := range n {
			w.cancel(id.Job(fmt.Sprint("j", i)))
		}
		synctest.Wait()
		w.owner().tenure.open()
		w.advance(time.Second)
		is.Equal(len(w.answers), n)
		is.True(w.store.entries-before < 20) // three of cancellations, some of ends
		count := map[scheduler.CancelResult]int{}
		for _, a := range w.answers {
			count[a.result]++
		}
		is.Equal(count[scheduler.Stopped], 6) // six workers with room for two members each
		is.Equal(count[scheduler.NotRun], n-6)
	})
}

// TestStoreOutage guards against an outage that stops running work, or that
// accepts jobs which no later owner would know.
func TestStoreOutage(t *testing.T) {
	inWorld(t, func(is *is.I, w *world) {
		w.submit("runs", 3, false)
		w.advance(time.Second)
		w.store.set(func() { w.store.down = true })
		w.advance(time.Minute)
		is.Equal(w.phase("runs"), job.Running)
		_, err := w.owner().Submit(context.Background(), w.owner().List()[0].Spec, "late")
		is.True(problem.Is(err, problem.Unavailable))
		_, err = w.owner().Cancel(context.Background(), "runs")
		is.True(problem.Is(err, problem.Unavailable))
		w.store.set(func() { w.store.down = false })
		w.submit("late", 1, false)
		w.advance(time.Second)
		is.Equal(w.phase("late"), job.Running)
		is.Equal(len(w.fleet.Intervals()), 4)
	})
}

// TestUrgentClaim guards against a claim that waits longer than 3.6 s for
// work it preempts.
func TestUrgentClaim(t *testing.T) {
	inWorld(t, func(is *is.I, w *world) {
		w.submit("low1", 6, false)
		w.submit("low2", 6, false)
		w.advance(time.Second)
		w.submit("claim", 6, true)
		w.advance(3600 * time.Millisecond)
		is.Equal(w.phase("claim"), job.Running)
		is.True(w.phase("low1") != job.Running || w.phase("low2") != job.Running) // there is room for two of three
	})
}

// TestPlannedStop guards against a planned stop that ends running work, and a
// next owner that does not know it.
func TestPlannedStop(t *testing.T) {
	inWorld(t, func(is *is.I, w *world) {
		w.submit("runs", 4, false)
		w.submit("waits", 7, false)
		w.advance(time.Second)
		is.NoErr(w.owner().Close(context.Background()))
		w.advance(3 * time.Second)
		w.open()
		w.advance(time.Minute)
		is.Equal(w.phase("runs"), job.Running)
		is.Equal(w.phase("waits"), job.Waiting)
		is.Equal(len(w.fleet.Intervals()), 4)
		is.Equal(len(must(w.owner().Decisions("runs"))), 1)
	})
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// TestRemovedWorkerIsNotPolled guards against calls without end to a worker
// that is no longer declared, and against a gang there that is forgotten.
func TestRemovedWorkerIsNotPolled(t *testing.T) {
	inWorld(t, func(is *is.I, w *world) {
		w.submit("runs", 6, false)
		w.advance(2 * time.Second)
		less := *w.records
		zone := less.Zones["a"]
		zone.Workers = zone.Workers[:5]
		less.Zones = map[id.Zone]record.Zone{"a": zone}
		w.owner().SetConfig(&less)
		var calls atomic.Int32
		w.mu.Lock()
		w.onCall = func(name id.Worker, _ worker.Command) {
			if name == "w5" {
				calls.Add(1)
			}
		}
		w.mu.Unlock()
		w.advance(20 * time.Second)
		is.Equal(w.phase("runs"), job.Running) // the gang goes on
		is.True(calls.Load() > 10)
		w.cancel("runs")
		w.advance(5 * time.Second)
		calls.Store(0)
		w.advance(20 * time.Second)
		is.Equal(calls.Load(), int32(0))
	})
}

// TestClaimWaitsForCheckpointsOnly guards against a claim that waits for the
// next renewal of its victims after they wrote their checkpoints.
func TestClaimWaitsForCheckpointsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := prepare(t, 6, func(worker.Ref) time.Duration { return time.Hour })
		w.records.Policy.CheckpointGrace = 5 * time.Second
		w.open()
		w.submit("low1", 6, false)
		w.submit("low2", 6, false)
		w.advance(1200 * time.Millisecond)
		w.submit("claim", 6, true)
		w.advance(workers.CheckpointTime + 400*time.Millisecond)
		is.Equal(w.phase("claim"), job.Running)
		w.check()
		w.close()
	})
}
