package latestart_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"bronzewinch.dev/lib/controller"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/latestart"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/task"
	"bronzewinch.dev/lib/timer"
	"bronzewinch.dev/lib/witness"

	"github.com/matryer/is"
)

// fakeRecords holds the records of the last owner. The first reads fail.
type fakeRecords struct {
	mu        sync.Mutex
	failures  int
	witnesses witness.Set
	late      []task.LateStart
}

func (r *fakeRecords) ReadWitnesses(context.Context) (witness.Set, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failures > 0 {
		r.failures--
		return nil, problem.New(problem.Unavailable, problem.Detail{Field: "store", Remedy: "retry"})
	}
	return r.witnesses, nil
}

func (r *fakeRecords) ReadLateStarts(context.Context) ([]task.LateStart, error) { return r.late, nil }

// fakePoller answers each poll at once, and passes it on.
type fakePoller chan poll

type poll struct {
	worker  id.Worker
	request controller.PollRequest
}

func (p fakePoller) Poll(ctx context.Context, t controller.Target, req controller.PollRequest) (task.Report, error) {
	select {
	case p <- poll{t.Worker, req}:
		return task.Report{}, nil
	case <-ctx.Done():
		return task.Report{}, ctx.Err()
	}
}

func newGuard(t *testing.T, address string, records *fakeRecords) (*latestart.Guard, fakePoller) {
	t.Helper()
	polls := make(fakePoller)
	g := latestart.New(latestart.Config{Address: address, Records: records, Poller: polls, Timer: timer.NewSystem()})
	t.Cleanup(g.Close)
	return g, polls
}

// TestWorkersArePolledWhileOwnerIsLost guards against a worker that restarts while no node
// owns the scheduler, and carries out a start of the lost owner.
func TestWorkersArePolledWhileOwnerIsLost(t *testing.T) {
	is := is.New(t)
	g, polls := newGuard(t, "b", &fakeRecords{failures: 1, witnesses: witness.Set{"a", "b"},
		late: []task.LateStart{{Worker: "w", Fence: 1000007}}})
	g.OwnerLost()
	for range 2 {
		p := <-polls
		is.Equal(p.worker, id.Worker("w"))
		is.Equal(p.request.Fence, task.Fence(1000008)) // above that of the start
		is.Equal(p.request.Until, task.ClockMillis(0)) // no lease is extended
		is.Equal(p.request.Acked, task.EndSeq(0))      // no end is acknowledged
		g.OwnerLost()                                  // no second set of polls
	}
	g.OwnerServes()
	select {
	case <-polls: // in progress when the owner came back
	case <-time.After(200 * time.Millisecond):
	}
	select {
	case <-polls:
		t.Fatal("the worker is polled although an owner serves")
	case <-time.After(300 * time.Millisecond):
	}
	g.OwnerLost()
	<-polls
}

// TestWitnessesShareWorkers guards against a worker that fewer than two witnesses poll, and
// against polls by all nodes of a large deployment.
func TestWitnessesShareWorkers(t *testing.T) {
	is := is.New(t)
	records := &fakeRecords{witnesses: witness.Set{"c", "a", "d", "b"}, late: []task.LateStart{{Worker: "no fence"}}}
	for i := range 8 {
		records.late = append(records.late, task.LateStart{Worker: id.Worker(fmt.Sprint("w", i)), Fence: 1})
	}
	polledBy := make(map[id.Worker]int)
	for _, address := range []string{"a", "b", "c", "d", "not a witness"} {
		g, polls := newGuard(t, address, records)
		g.OwnerLost()
		polled := make(map[id.Worker]bool)
		for deadline := time.After(300 * time.Millisecond); deadline != nil; {
			select {
			case p := <-polls:
				polled[p.worker] = true
			case <-deadline:
				deadline = nil
			}
		}
		for w := range polled {
			polledBy[w]++
		}
		g.Close()
	}
	is.Equal(len(polledBy), 8)
	for _, n := range polledBy {
		is.Equal(n, 2)
	}
}
