package controller_test

import (
	"fmt"
	"strings"
	"testing"

	"bronzewinch.dev/lib/controller"
	"bronzewinch.dev/lib/task"
	"bronzewinch.dev/lib/unit"

	"github.com/matryer/is"
)

// submitHopeless submits a job with a spec of a size that no worker can run.
func (c *testController) submitHopeless(n int, spec unit.Bytes) controller.Reply {
	return c.handle(controller.Submit, n, &task.Job{Spec: strings.Repeat("x", int(spec)),
		Steps: []task.Step{{Tasks: 1, Demand: unit.Resources{Accelerators: 1000}}}})
}

func (c *testController) handle(verb controller.Verb, n int, j *task.Job) controller.Reply {
	return c.Handle(c.t.Context(), controller.Request{Verb: verb, Host: testHost, Path: fmt.Sprintf("/q/%016x", n), Key: testKey, Job: j})
}

// TestSubmissionsBeyondMemoryAreRefused guards against an owner that accepts jobs until it
// runs out of memory, that refuses what it has accepted, or that never accepts jobs again.
func TestSubmissionsBeyondMemoryAreRefused(t *testing.T) {
	is := is.New(t)
	store, workers := newFakeStore(), newFakeWorkers()
	c := serveBounded(t, store, workers, 128*unit.KiB)
	accepted := 0
	for c.submitHopeless(accepted, 8*unit.KiB).Outcome == controller.OK {
		accepted++
	}
	is.True(accepted > 1)
	refusal := c.submitHopeless(accepted, 8*unit.KiB)
	is.Equal(refusal.Outcome, controller.Refused)
	is.True(refusal.RetryAfter > 0)
	is.Equal(c.handle(controller.Query, accepted, nil).Outcome, controller.NoJob) // it never runs
	is.Equal(c.submitHopeless(0, 8*unit.KiB).Outcome, controller.OK)              // it is known
	is.Equal(c.submitHopeless(1000, unit.KiB).Outcome, controller.OK)             // large jobs leave room for small ones
	c.election.Close()

	// The next owner counts what it has loaded, and keeps it.
	c = serveBounded(t, store, workers, 128*unit.KiB)
	is.Equal(c.submitHopeless(accepted, 8*unit.KiB).Outcome, controller.Refused)
	for n := range accepted {
		is.Equal(c.handle(controller.Query, n, nil).State, task.Pending)
		is.Equal(c.handle(controller.Cancel, n, nil).Outcome, controller.OK)
	}
	workers.await(t, "room for new jobs", func() bool { return c.submitHopeless(accepted, 8*unit.KiB).Outcome == controller.OK })
	for n := range accepted {
		is.Equal(c.handle(controller.Query, n, nil).State, task.Cancelled)
	}
}

// TestLoadOfManyPages guards against a new owner that gives a job the progress of another,
// or none, when the records come in pages.
func TestLoadOfManyPages(t *testing.T) {
	is := is.New(t)
	store, workers := newFakeStore(), newFakeWorkers()
	const jobs = 20
	c := serveBounded(t, store, workers, unit.MiB)
	for n := range jobs {
		is.Equal(c.submitHopeless(n, 8*unit.KiB).Outcome, controller.OK)
		if n%3 == 0 {
			is.Equal(c.handle(controller.Cancel, n, nil).Outcome, controller.OK)
		}
	}
	c.election.Close()
	store.mu.Lock()
	store.pageItems = 3
	store.mu.Unlock()
	c = serveBounded(t, store, workers, unit.MiB)
	for n := range jobs {
		want := task.Pending
		if n%3 == 0 {
			want = task.Cancelled
		}
		is.Equal(c.handle(controller.Query, n, nil).State, want)
	}
}
