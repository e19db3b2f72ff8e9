package gang

import (
	"time"

	"bronzewinch.dev/lib/id"
)

// ObservedState is the state of a member in a worker's task list.
type ObservedState string

// The observed states. It is empty for a worker that didn't answer.
const (
	ObservedReserved ObservedState = "reserved"
	ObservedRunning  ObservedState = "running"
	ObservedDone     ObservedState = "done"
	ObservedFailed   ObservedState = "failed"
	ObservedAbsent   ObservedState = "absent"
)

// Observation is the entry of a member in a worker's task list.
type Observation struct {
	State ObservedState
	// LeaseRemaining is the rest of the lease when the worker answered.
	LeaseRemaining time.Duration
}

// Recover rebuilds a gang whose commit a new owner found in the journal. It
// returns the gang and the commands that complete its start or stop what is
// left of it. The requests for the task lists were sent at sent and carried the
// new owner's epoch, so that workers which answered reject later commands of the
// earlier owner.
func Recover(cfg Config, sent, now time.Time, observations map[id.Worker]Observation) (*Gang, []Command) {
	g := New(cfg)
	g.committed = true
	// Leases of members that are started now must not end after those of members
	// that an earlier owner started. Otherwise a gang that never starts completely
	// could run partially for longer than MaxPartialRun.
	until := now.Add(LeaseDuration)
	counts := make(map[ObservedState]int)
	for i := range g.members {
		m := &g.members[i]
		o := observations[m.worker]
		counts[o.State]++
		g.applyObservation(m, o.State, sent)
		if end := sent.Add(o.LeaseRemaining); o.State == ObservedRunning && end.Before(until) {
			until = end
		}
		m.leaseEnd = now.Add(LeaseDuration + TakeoverSlack)
	}
	n := len(g.members)
	switch {
	case counts[ObservedDone] == n:
		m := &g.members[n-1]
		m.state = running
		g.started = true
		return g, g.memberDone(m, Event{At: now})
	case counts[ObservedRunning]+counts[ObservedDone] == n:
		g.phase, g.started = Running, true
		return g, g.renew(now)
	case counts[ObservedRunning]+counts[ObservedDone]+counts[ObservedReserved] == n:
		return g, g.start(now, until)
	case counts[ObservedAbsent]+counts[ObservedReserved] == n:
		return g, g.reserve(now)
	}
	g.phase, g.started, g.broken = Starting, true, true
	outcome, reason := Broken, "not all members were found after a change of owner"
	if counts[ObservedFailed] > 0 {
		outcome, reason = TaskFailed, "a member had failed before a change of owner"
	}
	return g, g.end(now, outcome, reason)
}

func (g *Gang) applyObservation(m *member, o ObservedState, sent time.Time) {
	switch o {
	case ObservedReserved:
		m.state = reserved
	case ObservedRunning:
		m.state, m.lastConfirmed = running, sent
	case ObservedDone:
		m.state = done
	default:
		m.state = starting
	}
}
