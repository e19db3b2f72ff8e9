package workers_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/timer"
	"bronzewinch.dev/lib/unit"
	"bronzewinch.dev/lib/worker"
	"bronzewinch.dev/standin/workers"

	"github.com/matryer/is"
)

var oneTask = unit.Resources{Accelerators: 1, Cores: unit.Core, Memory: unit.GiB}

type fixture struct {
	received chan worker.Kind // receives the kind of each command
	clock    *timer.Manual
	fleet    *workers.Fleet
	client   *worker.Client
}

// newFixture returns a fleet of one worker "w" with resources for two tasks, and
// a client that calls it over HTTP.
func newFixture(t *testing.T) *fixture {
	clock := timer.NewManual(time.Unix(1000, 0))
	received := make(chan worker.Kind, 100)
	fleet := workers.New(workers.Config{Clock: clock,
		OnCall: func(_ id.Worker, c worker.Command) { received <- c.Kind }, Workers: map[id.Worker]unit.Resources{"w": oneTask.Times(2)}})
	server := httptest.NewServer(fleet.Handler())
	t.Cleanup(server.Close)
	url := func(w id.Worker) (string, bool) { return server.URL + "/" + string(w), w != "nobody" }
	return &fixture{received, clock, fleet, worker.New(worker.Config{Clock: clock,
		Transport: worker.NewHTTP(worker.HTTPConfig{Client: http.DefaultClient, URL: url})})}
}

func (f *fixture) call(kind worker.Kind, epoch id.Epoch, ref worker.Ref) ([]worker.Report, error) {
	return f.client.Call(context.Background(), "w", worker.Command{Kind: kind, Shard: "place/a", Epoch: epoch,
		Tasks: []worker.Task{{Ref: ref, Resources: oneTask, LeaseExpiry: f.clock.Now().Add(workers.MaxLease)}}})
}

// TestTaskStates guards against a stand-in that runs a task without a
// reservation or after its lease has expired: that would hide scheduler bugs.
func TestTaskStates(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	ref := worker.Ref{Job: "j", Attempt: 1}
	state := func(kind worker.Kind) worker.State {
		r, err := f.call(kind, 1, ref)
		is.NoErr(err)
		return r[0].State
	}
	is.Equal(state(worker.Start), worker.Absent)
	is.Equal(state(worker.Reserve), worker.Reserved)
	is.Equal(state(worker.Start), worker.Running)
	f.clock.Advance(9 * time.Second)
	is.Equal(state(worker.Renew), worker.Running)
	f.clock.Advance(9 * time.Second)
	is.Equal(state(worker.Stop), worker.Stopped)
	is.Equal(state(worker.Reserve), worker.Rejected) // a delayed command of a stopped attempt
	ref.Attempt = 2
	is.Equal(state(worker.Reserve), worker.Reserved)
	is.Equal(state(worker.Start), worker.Running)
	f.clock.Advance(time.Minute)
	is.Equal(state(worker.Renew), worker.Absent)
	runs := f.fleet.Intervals()
	is.Equal(len(runs), 2)
	is.Equal(runs[0].End, "stopped")
	is.Equal(runs[1].To.Sub(runs[1].From), workers.MaxLease)
}

// TestErrorKinds guards against an error that means "no effect" for a command
// that may have taken effect, as when only its response was lost.
func TestErrorKinds(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	ref := worker.Ref{Job: "j", Attempt: 1}
	f.fleet.SetFaults("w", workers.Faults{LoseResponses: 1})
	_, err := f.call(worker.List, 2, ref)
	is.True(problem.Is(err, problem.Unknown))
	_, err = f.call(worker.Reserve, 1, ref)
	is.True(problem.Is(err, problem.Fenced))
	_, err = f.call(worker.Reserve, 2, ref)
	is.NoErr(err)
	f.fleet.Kill("w")
	f.fleet.Restart("w")
	_, err = f.call(worker.Start, 2, ref)
	is.True(problem.Is(err, problem.Conflict)) // the lease expiry refers to the worker's clock before its restart
	r, err := f.call(worker.Start, 2, ref)
	is.NoErr(err)
	is.Equal(r[0].State, worker.Absent)
	_, err = f.client.Call(context.Background(), "nobody", worker.Command{Kind: worker.List})
	is.True(problem.Is(err, problem.Unavailable))
	unreachable := worker.New(worker.Config{Clock: f.clock, Transport: worker.NewHTTP(worker.HTTPConfig{Client: http.DefaultClient,
		URL: func(id.Worker) (string, bool) { return "http://127.0.0.1:1", true }})})
	_, err = unreachable.Call(context.Background(), "w", worker.Command{Kind: worker.List})
	is.True(problem.Is(err, problem.Unavailable))
}

// TestDelayedRenewalDoesNotExtendLease guards against a delayed renewal that keeps
// a gang member running after the rest of its gang has ended. This happens if the
// worker counts the lease from the receipt of the renewal, not from its sending.
func TestDelayedRenewalDoesNotExtendLease(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	ref := worker.Ref{Job: "j", Attempt: 1}
	direct := worker.New(worker.Config{Clock: f.clock, Transport: f.fleet})
	call := func(kind worker.Kind) error {
		_, err := direct.Call(context.Background(), "w", worker.Command{Kind: kind, Shard: "s", Epoch: 1,
			Tasks: []worker.Task{{Ref: ref, Resources: oneTask, LeaseExpiry: f.clock.Now().Add(workers.MaxLease)}}})
		return err
	}
	is.NoErr(call(worker.Reserve))
	is.NoErr(call(worker.Start))
	f.fleet.Pause("w")
	result := make(chan error)
	go func() { result <- call(worker.Renew) }()
	for kind := range f.received {
		if kind == worker.Renew {
			break
		}
	}
	f.clock.Advance(time.Second)
	is.True(problem.Is(<-result, problem.Unknown))
	f.clock.Advance(8 * time.Second)
	f.fleet.Resume("w")
	f.clock.Advance(time.Minute)
	run := f.fleet.Intervals()[0]
	is.Equal(run.To.Sub(run.From), workers.MaxLease) // counted from the sending of the renewal, at the start of the task
}
