package controller_test

import (
	"fmt"
	"testing"

	"bronzewinch.dev/lib/controller"
	"bronzewinch.dev/lib/predict"
	"bronzewinch.dev/lib/task"
	"bronzewinch.dev/lib/unit"

	"github.com/matryer/is"
)

// TestRunTimesSurviveOwner guards against a new owner that has learned nothing about run
// times, against a call to the store of its own for them, and against a stored record that
// can't be read and ends the term.
func TestRunTimesSurviveOwner(t *testing.T) {
	is := is.New(t)
	store, workers := newFakeStore(), newFakeWorkers()
	first := serve(t, store, workers)
	const jobs = 5
	for n := range jobs {
		is.Equal(first.submit(fmt.Sprintf("%016x", n)).Outcome, controller.OK)
		workers.await(t, "the start", func() bool { return len(workers.started) == n+1 })
		workers.finish("worker")
		workers.await(t, "the acknowledgement", func() bool { return workers.acked == task.EndSeq(n+1) })
	}
	const key = "bronzewinch/runtimes"
	stored, err := store.Get(t.Context(), key)
	is.NoErr(err) // with the end of the first run
	p := predict.New()
	is.NoErr(p.Restore(stored.Value))
	expected := p.Predict(predict.Subject{Queue: testQueue, Account: "account", Shape: predict.ShapeOf(task.Step{Demand: unit.Resources{Accelerators: 4}})})
	is.True(expected.Steps <= 1) // so one run is not enough
	progress, err := store.Get(t.Context(), fmt.Sprintf("bronzewinch/progress/%016x", 0))
	is.NoErr(err)
	is.Equal(stored.Version, progress.Version) // written by the same transaction
	first.election.Close()
	store.mu.Lock()
	item := store.items[key]
	item.Value = []byte("not a snapshot")
	store.items[key] = item
	store.mu.Unlock()
	second := serve(t, store, workers)
	is.Equal(second.submit(jobA).Outcome, controller.OK)
	workers.await(t, "the start by the next owner", func() bool { return len(workers.started) == jobs+1 })
}
