package gang_test

import (
	"fmt"
	"testing"
	"time"

	"bronzewinch.dev/lib/gang"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/job"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func config(n int) gang.Config {
	cfg := gang.Config{Job: "j", Attempt: 1, CanCheckpoint: true, CheckpointGrace: time.Second}
	for i := range n {
		cfg.Members = append(cfg.Members, job.Member{Worker: id.Worker(fmt.Sprint("w", i))})
	}
	return cfg
}

var memberEvents = []gang.EventKind{gang.MemberReserved, gang.MemberRejected, gang.MemberRunning,
	gang.MemberCheckpointed, gang.MemberDone, gang.MemberFailed, gang.MemberAbsent, gang.MemberStopped,
	gang.MemberLost, gang.MemberOveruse}

var gangEvents = []gang.EventKind{gang.Begin, gang.CommitDurable, gang.CommitFailed, gang.Cancel, gang.Preempt, gang.Tick}

// model is the state of a gang as far as its events and commands show it.
type model struct {
	reserved, started, ended map[id.Worker]bool
	lease                    map[id.Worker]time.Time
	planned, committed       bool
}

func (m *model) event(e gang.Event, phase gang.Phase) {
	switch {
	case e.Kind == gang.Begin:
		m.planned = true
	case e.Kind == gang.MemberReserved && phase == gang.Reserving:
		m.reserved[e.Worker] = true
	case e.Kind == gang.CommitDurable && phase == gang.Committing:
		m.committed = true
	case e.Kind == gang.MemberStopped && phase == gang.Stopping, e.Kind == gang.MemberDone && m.started[e.Worker]:
		m.ended[e.Worker] = true
	}
}

func (m *model) command(t *rapid.T, c gang.Command, n int, now time.Time) {
	switch c.Kind {
	case gang.Start:
		if !m.committed || len(m.reserved) != n {
			t.Fatalf("start of %s with commit %v and %d of %d reservations", c.Worker, m.committed, len(m.reserved), n)
		}
		m.started[c.Worker] = true
	case gang.Commit:
		if len(m.reserved) != n {
			t.Fatalf("commit with %d of %d reservations", len(m.reserved), n)
		}
	case gang.Free:
		if !m.ended[c.Worker] && !now.After(m.lease[c.Worker]) {
			t.Fatalf("%s freed while its task may run", c.Worker)
		}
		m.ended[c.Worker] = true
	}
	if c.Until.After(m.lease[c.Worker]) {
		m.lease[c.Worker] = c.Until
	}
}

// TestRandomEventOrders sends random events, among them late, duplicated and
// invalid ones. It guards against a start before all reservations and the
// commit, a Free for a member that may still run, a command after the end, and a
// phase that goes backwards.
func TestRandomEventOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 4).Draw(t, "members")
		cfg := config(n)
		g, now := gang.New(cfg), start
		m := &model{map[id.Worker]bool{}, map[id.Worker]bool{}, map[id.Worker]bool{}, map[id.Worker]time.Time{}, false, false}
		for range rapid.IntRange(1, 80).Draw(t, "events") {
			e := gang.Event{At: now, Sent: now}
			if rapid.Bool().Draw(t, "expected") {
				e = expectedEvent(t, g.Phase(), cfg, now)
			} else if rapid.Bool().Draw(t, "member") {
				e.Kind = rapid.SampledFrom(memberEvents).Draw(t, "kind")
				e.Worker = rapid.SampledFrom(cfg.Members).Draw(t, "worker").Worker
			} else {
				e.Kind = rapid.SampledFrom(gangEvents).Draw(t, "kind")
			}
			before := g.Phase()
			m.event(e, before)
			out := g.Step(e)
			if before == gang.Ended && len(out) > 0 {
				t.Fatalf("commands after the end: %v", out)
			}
			for _, c := range out {
				m.command(t, c, n, now)
			}
			if g.Phase() < before {
				t.Fatalf("phase went back from %d to %d", before, g.Phase())
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
		}
		checkEndsAfterCancel(t, g, m, n, now)
	})
}

// expectedEvent returns the event that advances a gang in phase p, for a random
// member.
func expectedEvent(t *rapid.T, p gang.Phase, cfg gang.Config, now time.Time) gang.Event {
	kinds := map[gang.Phase]gang.EventKind{gang.Planned: gang.Begin, gang.Reserving: gang.MemberReserved,
		gang.Committing: gang.CommitDurable, gang.Starting: gang.MemberRunning, gang.Running: gang.Tick,
		gang.Checkpointing: gang.MemberCheckpointed, gang.Stopping: gang.MemberStopped, gang.Ended: gang.Tick}
	return gang.Event{Kind: kinds[p], At: now, Sent: now,
		Worker: rapid.SampledFrom(cfg.Members).Draw(t, "next").Worker}
}

// checkEndsAfterCancel cancels the gang and then sends nothing but ticks. The
// gang must end within its leases and free every member, without a further
// reservation, start or renewal.
func checkEndsAfterCancel(t *rapid.T, g *gang.Gang, m *model, n int, now time.Time) {
	if g.Phase() == gang.Ended {
		if m.planned && g.Phase() == gang.Ended && len(m.reserved) > 0 && len(m.ended) != n {
			t.Fatalf("ended with %d of %d members free", len(m.ended), n)
		}
		return
	}
	planned := g.Phase() != gang.Planned
	for _, c := range append(g.Step(gang.Event{Kind: gang.Cancel, At: now}), g.Step(gang.Event{Kind: gang.CommitFailed, At: now})...) {
		m.command(t, c, n, now)
	}
	for range 15 {
		now = now.Add(time.Second)
		for _, c := range g.Step(gang.Event{Kind: gang.Tick, At: now}) {
			m.command(t, c, n, now)
			if c.Kind == gang.Start || c.Kind == gang.Reserve || c.Kind == gang.Renew {
				t.Fatalf("%s after the cancellation", c.Kind)
			}
		}
	}
	if g.Phase() != gang.Ended || planned && len(m.ended) != n {
		t.Fatalf("phase %d, %d of %d members free long after the cancellation", g.Phase(), len(m.ended), n)
	}
}

// driveToRunning sends a new gang the events, all at start, that bring it to
// phase Running.
func driveToRunning(g *gang.Gang, cfg gang.Config) {
	g.Step(gang.Event{Kind: gang.Begin, At: start})
	for _, m := range cfg.Members {
		g.Step(gang.Event{Kind: gang.MemberReserved, Worker: m.Worker, At: start, Sent: start})
	}
	g.Step(gang.Event{Kind: gang.CommitDurable, At: start})
	for _, m := range cfg.Members {
		g.Step(gang.Event{Kind: gang.MemberRunning, Worker: m.Worker, At: start, Sent: start})
	}
}

// TestRenewalNeedsConfirmationOfAllMembers guards against renewals past
// MaxPartialRun (11 s) when one member no longer answers.
func TestRenewalNeedsConfirmationOfAllMembers(t *testing.T) {
	is := is.New(t)
	cfg := config(3)
	g := gang.New(cfg)
	driveToRunning(g, cfg)
	for i := 1; i <= 4; i++ {
		now := start.Add(time.Duration(i) * time.Second)
		for _, c := range g.Step(gang.Event{Kind: gang.Tick, At: now}) {
			is.Equal(c.Kind, gang.Renew)
			is.True(!c.Until.After(start.Add(gang.MaxPartialRun))) // w2 was last confirmed at start
		}
		for _, m := range cfg.Members[:2] {
			g.Step(gang.Event{Kind: gang.MemberRunning, Worker: m.Worker, At: now, Sent: now})
		}
	}
}

// TestPreemptionFencesUnresponsiveWorker guards against a worker that is not
// excluded from placement although a preempted member there doesn't stop within
// StopTimeout.
func TestPreemptionFencesUnresponsiveWorker(t *testing.T) {
	is := is.New(t)
	cfg := config(2)
	g := gang.New(cfg)
	driveToRunning(g, cfg)
	is.Equal(len(g.Step(gang.Event{Kind: gang.Preempt, At: start})), 2) // checkpoints
	out := g.Step(gang.Event{Kind: gang.Tick, At: start.Add(time.Second)})
	is.Equal(out[0].Kind, gang.Stop)
	g.Step(gang.Event{Kind: gang.MemberStopped, Worker: "w0", At: start.Add(time.Second)})
	out = g.Step(gang.Event{Kind: gang.Tick, At: start.Add(2 * time.Second)})
	is.Equal(out[1], gang.Command{Kind: gang.Fence, Worker: "w1"})
	is.Equal(g.Step(gang.Event{Kind: gang.Tick, At: start.Add(9 * time.Second)})[0].Kind, gang.Stop)
	out = g.Step(gang.Event{Kind: gang.Tick, At: start.Add(10*time.Second + 2*gang.MaxClockDrift)})
	is.Equal(out, []gang.Command{{Kind: gang.Free, Worker: "w1"}})
	is.Equal(g.Phase(), gang.Ended)
}

// TestRecover checks the phase and commands of a committed gang after a change
// of owner. It guards against a takeover that starts, renews or stops the wrong
// members.
func TestRecover(t *testing.T) {
	for _, c := range []struct {
		name     string
		observed [2]gang.ObservedState
		phase    gang.Phase
		kind     gang.CommandKind
		n        int
	}{
		{"all run", [2]gang.ObservedState{gang.ObservedRunning, gang.ObservedRunning}, gang.Running, gang.Renew, 2},
		{"start completes", [2]gang.ObservedState{gang.ObservedRunning, gang.ObservedReserved}, gang.Starting, gang.Start, 1},
		{"none started", [2]gang.ObservedState{gang.ObservedReserved, gang.ObservedReserved}, gang.Starting, gang.Start, 2},
		{"reservations expired", [2]gang.ObservedState{gang.ObservedAbsent, gang.ObservedReserved}, gang.Reserving, gang.Reserve, 2},
		{"one missing", [2]gang.ObservedState{gang.ObservedRunning, gang.ObservedAbsent}, gang.Stopping, gang.Stop, 2},
		{"one failed", [2]gang.ObservedState{gang.ObservedRunning, gang.ObservedFailed}, gang.Stopping, gang.Stop, 2},
		{"one without an answer", [2]gang.ObservedState{gang.ObservedReserved, ""}, gang.Stopping, gang.Stop, 2},
		{"all done", [2]gang.ObservedState{gang.ObservedDone, gang.ObservedDone}, gang.Ended, gang.Stop, 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			observations := map[id.Worker]gang.Observation{"w0": {State: c.observed[0], LeaseRemaining: 4 * time.Second}, "w1": {State: c.observed[1], LeaseRemaining: 9 * time.Second}}
			g, out := gang.Recover(config(2), start, start, observations)
			is.Equal(g.Phase(), c.phase)
			is.Equal(len(out), c.n)
			is.Equal(out[0].Kind, c.kind)
			if c.name == "start completes" {
				is.Equal(out[0].Until, start.Add(4*time.Second)) // the lease end of the running member
			}
		})
	}
}

// TestRenewalLimitCountsFromFirstStart guards against a gang that runs partially
// for longer than MaxPartialRun: its members start at different times, one is
// lost right after its start, and the last start is taken as the confirmation of
// all members.
func TestRenewalLimitCountsFromFirstStart(t *testing.T) {
	is := is.New(t)
	cfg := config(2)
	g := gang.New(cfg)
	g.Step(gang.Event{Kind: gang.Begin, At: start})
	for _, m := range cfg.Members {
		g.Step(gang.Event{Kind: gang.MemberReserved, Worker: m.Worker, At: start, Sent: start})
	}
	g.Step(gang.Event{Kind: gang.CommitDurable, At: start}) // sends the starts
	late := start.Add(2 * time.Second)
	g.Step(gang.Event{Kind: gang.MemberRunning, Worker: cfg.Members[0].Worker, At: start, Sent: start})
	for _, m := range cfg.Members {
		g.Step(gang.Event{Kind: gang.MemberRunning, Worker: m.Worker, At: late, Sent: late})
	}
	is.Equal(g.Phase(), gang.Running)
	renewals := 0
	for _, c := range g.Step(gang.Event{Kind: gang.Tick, At: late}) {
		if c.Kind == gang.Renew {
			renewals++
			is.True(!c.Until.After(start.Add(gang.MaxPartialRun))) // the limit counts from the first start
		}
	}
	is.Equal(renewals, 2)
}
