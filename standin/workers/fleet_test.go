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

var one = unit.Resources{Accelerators: 1, Cores: unit.Core, Memory: unit.GiB}

type bench struct {
	arrived chan worker.Kind // receives the kind of each command
	clock   *timer.Manual
	fleet   *workers.Fleet
	client  *worker.Client
}

// newBench returns a fleet of one worker "w" with room for two tasks, and a
// client that speaks to it over HTTP.
func newBench(t *testing.T) *bench {
	clock := timer.NewManual(time.Unix(1000, 0))
	arrived := make(chan worker.Kind, 100)
	fleet := workers.New(workers.Config{Clock: clock,
		OnCall: func(_ id.Worker, c worker.Command) { arrived <- c.Kind }, Workers: map[id.Worker]unit.Resources{"w": one.Times(2)}})
	server := httptest.NewServer(fleet.Handler())
	t.Cleanup(server.Close)
	url := func(w id.Worker) (string, bool) { return server.URL + "/" + string(w), w != "nobody" }
	return &bench{arrived, clock, fleet, worker.New(worker.Config{Clock: clock,
		Transport: worker.NewHTTP(worker.HTTPConfig{Client: http.DefaultClient, URL: url})})}
}

func (b *bench) call(kind worker.Kind, epoch id.Epoch, ref worker.Ref) ([]worker.Report, error) {
	return b.client.Call(context.Background(), "w", worker.Command{Kind: kind, Shard: "place/a", Epoch: epoch,
		Tasks: []worker.Task{{Ref: ref, Resources: one, LeaseExpiry: b.clock.Now().Add(workers.Lease)}}})
}

// TestLifeOfATask guards against a stand-in that runs work without a
// reservation or past its lease, which would hide faults of the scheduler.
func TestLifeOfATask(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	ref := worker.Ref{Job: "j", Attempt: 1}
	state := func(kind worker.Kind) worker.State {
		r, err := b.call(kind, 1, ref)
		is.NoErr(err)
		return r[0].State
	}
	is.Equal(state(worker.Start), worker.Absent)
	is.Equal(state(worker.Reserve), worker.Reserved)
	is.Equal(state(worker.Start), worker.Running)
	b.clock.Advance(9 * time.Second)
	is.Equal(state(worker.Renew), worker.Running)
	b.clock.Advance(9 * time.Second)
	is.Equal(state(worker.Stop), worker.Stopped)
	is.Equal(state(worker.Reserve), worker.Rejected) // a late command of a stopped attempt
	ref.Attempt = 2
	is.Equal(state(worker.Reserve), worker.Reserved)
	is.Equal(state(worker.Start), worker.Running)
	b.clock.Advance(time.Minute)
	is.Equal(state(worker.Renew), worker.Absent)
	runs := b.fleet.Intervals()
	is.Equal(len(runs), 2)
	is.Equal(runs[0].End, "stopped")
	is.Equal(runs[1].To.Sub(runs[1].From), workers.Lease)
}

// TestErrors guards against errors that make a caller believe that a command
// had no effect when it may have had one.
func TestErrors(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	ref := worker.Ref{Job: "j", Attempt: 1}
	b.fleet.SetFaults("w", workers.Faults{LoseAnswers: 1})
	_, err := b.call(worker.List, 2, ref)
	is.True(problem.Is(err, problem.Unknown))
	_, err = b.call(worker.Reserve, 1, ref)
	is.True(problem.Is(err, problem.Fenced))
	_, err = b.call(worker.Reserve, 2, ref)
	is.NoErr(err)
	b.fleet.Kill("w")
	b.fleet.Revive("w")
	_, err = b.call(worker.Start, 2, ref)
	is.True(problem.Is(err, problem.Conflict)) // the lease counts in the clock before the start
	r, err := b.call(worker.Start, 2, ref)
	is.NoErr(err)
	is.Equal(r[0].State, worker.Absent)
	_, err = b.client.Call(context.Background(), "nobody", worker.Command{Kind: worker.List})
	is.True(problem.Is(err, problem.Unavailable))
	gone := worker.New(worker.Config{Clock: b.clock, Transport: worker.NewHTTP(worker.HTTPConfig{Client: http.DefaultClient,
		URL: func(id.Worker) (string, bool) { return "http://127.0.0.1:1", true }})})
	_, err = gone.Call(context.Background(), "w", worker.Command{Kind: worker.List})
	is.True(problem.Is(err, problem.Unavailable))
}

// TestLateCommandGrantsNoLongerLease guards against a renewal that is held up
// on its way and keeps a member alive after the rest of its gang has ended.
func TestLateCommandGrantsNoLongerLease(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	ref := worker.Ref{Job: "j", Attempt: 1}
	direct := worker.New(worker.Config{Clock: b.clock, Transport: b.fleet})
	call := func(kind worker.Kind) error {
		_, err := direct.Call(context.Background(), "w", worker.Command{Kind: kind, Shard: "s", Epoch: 1,
			Tasks: []worker.Task{{Ref: ref, Resources: one, LeaseExpiry: b.clock.Now().Add(workers.Lease)}}})
		return err
	}
	is.NoErr(call(worker.Reserve))
	is.NoErr(call(worker.Start))
	b.fleet.Pause("w")
	answered := make(chan error)
	go func() { answered <- call(worker.Renew) }()
	for kind := range b.arrived {
		if kind == worker.Renew {
			break
		}
	}
	b.clock.Advance(time.Second)
	is.True(problem.Is(<-answered, problem.Unknown))
	b.clock.Advance(8 * time.Second)
	b.fleet.Resume("w")
	b.clock.Advance(time.Minute)
	run := b.fleet.Intervals()[0]
	is.Equal(run.To.Sub(run.From), workers.Lease) // the renewal was sent at the start
}
