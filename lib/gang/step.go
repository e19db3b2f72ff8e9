package gang

import (
	"time"
)

func (g *Gang) begin(e Event) []Command {
	if g.phase != Planned {
		return nil
	}
	return g.reserve(e.At)
}

func (g *Gang) reserve(now time.Time) []Command {
	g.phase = Reserving
	g.deadline, g.leaseEnd = now.Add(ReserveTimeout), now.Add(LeaseDuration)
	for i := range g.members {
		g.members[i].state = reserving
	}
	return g.commandEach(Reserve, g.leaseEnd, func(*member) bool { return true })
}

// commitResult handles the result of the commit.
func (g *Gang) commitResult(e Event) []Command {
	if g.phase != Committing {
		return nil
	}
	g.committed = e.Kind == CommitDurable
	switch {
	case g.abortPending:
		return g.stop(e.At)
	case !g.committed:
		return g.end(e.At, NotCommitted, e.Reason)
	}
	return g.start(e.At, e.At.Add(LeaseDuration))
}

// start starts all members. It is called once every member is reserved and the
// commit is durable.
func (g *Gang) start(now, until time.Time) []Command {
	// until is at most LeaseDuration after the first start of any member.
	g.phase, g.started, g.startedAt = Starting, true, until.Add(-LeaseDuration)
	g.deadline, g.leaseEnd = now.Add(StartTimeout), until
	out := g.commandEach(Start, until, func(m *member) bool { return m.state == reserved })
	for i := range g.members {
		switch m := &g.members[i]; {
		case m.state == reserved:
			m.state = starting
		case m.state == running && g.startedAt.Before(m.lastConfirmed):
			m.lastConfirmed = g.startedAt // until now the member ran without the others
		}
	}
	return out
}

// cancelOrPreempt handles a cancellation or a preemption. A cancellation
// replaces the outcome of a gang that is already ending.
func (g *Gang) cancelOrPreempt(e Event) []Command {
	outcome := Cancelled
	if e.Kind == Preempt {
		outcome = Preempted
	}
	switch g.phase {
	case Running:
		if outcome == Preempted {
			return g.checkpoint(e.At, outcome, e.Reason, g.cfg.CheckpointGrace)
		}
	case Checkpointing, Stopping:
		if outcome != Cancelled {
			return nil
		}
		g.outcome, g.reason = outcome, e.Reason
		if g.phase == Stopping {
			return nil
		}
	}
	return g.end(e.At, outcome, e.Reason)
}

// end stops the gang without a checkpoint. When a commit is in progress, it
// waits for the result first, because the result decides whether a later owner
// finds the gang in the journal.
func (g *Gang) end(now time.Time, outcome Outcome, reason string) []Command {
	if g.outcome == "" || outcome == Cancelled {
		g.outcome, g.reason = outcome, reason
	}
	if g.phase == Planned { // no command was sent to a worker
		g.phase = Ended
		return nil
	}
	if g.phase == Committing && !g.committed && outcome != NotCommitted {
		g.abortPending = true
		return nil
	}
	return g.stop(now)
}

// endBroken ends a gang when at least one member is known not to run.
func (g *Gang) endBroken(now time.Time, outcome Outcome, reason string) []Command {
	g.broken = true
	switch g.phase {
	case Running:
		return g.checkpoint(now, outcome, reason, min(g.cfg.CheckpointGrace, BrokenCheckpointGrace))
	case Checkpointing:
		if g.allCheckpointed() {
			return g.stop(now)
		}
		// The checkpoint must end before the leases expire, as they are no longer
		// renewed.
		if limit := now.Add(BrokenCheckpointGrace); g.deadline.After(limit) {
			g.deadline = limit
		}
		return nil
	case Stopping:
		return nil
	}
	return g.end(now, outcome, reason)
}

func (g *Gang) checkpoint(now time.Time, outcome Outcome, reason string, grace time.Duration) []Command {
	if !g.cfg.CanCheckpoint || grace <= 0 {
		return g.end(now, outcome, reason)
	}
	g.phase, g.outcome, g.reason = Checkpointing, outcome, reason
	g.deadline = now.Add(grace)
	if g.allCheckpointed() {
		return g.stop(now)
	}
	return g.commandEach(Checkpoint, time.Time{}, func(m *member) bool { return m.state == running && !m.checkpointed })
}

// allCheckpointed reports whether no member still needs a checkpoint.
func (g *Gang) allCheckpointed() bool {
	return g.allMembers(func(m *member) bool { return m.checkpointed || m.ended() })
}

// stop stops every member that is not known to have stopped.
func (g *Gang) stop(now time.Time) []Command {
	g.phase = Stopping
	g.deadline = now.Add(StopTimeout)
	out := g.commandEach(g.stopKind(), time.Time{}, func(m *member) bool { return m.state != freed })
	return append(out, g.endIfAllEnded()...)
}

func (g *Gang) stopKind() CommandKind {
	if g.started {
		return Stop
	}
	return Release
}

// memberEvent handles an event that concerns one member.
func (g *Gang) memberEvent(m *member, e Event) []Command {
	switch e.Kind {
	case MemberReserved:
		return g.memberReserved(m, e)
	case MemberRunning:
		return g.memberRunning(m, e)
	case MemberCheckpointed:
		m.checkpointed = true
		if g.phase == Checkpointing && g.allCheckpointed() {
			return g.stop(e.At)
		}
	case MemberOveruse:
		return g.memberOveruse(m, e)
	case MemberDone:
		return g.memberDone(m, e)
	case MemberFailed:
		if g.started && m.state != done {
			m.checkpointed = true
			return g.endBroken(e.At, TaskFailed, e.Reason)
		}
	case MemberStopped:
		return g.memberStopped(m, e)
	case MemberRejected, MemberAbsent, MemberLost:
		return g.memberMissing(m, e)
	}
	return nil
}

func (g *Gang) memberReserved(m *member, e Event) []Command {
	if g.phase != Reserving || m.state != reserving {
		return nil
	}
	m.state = reserved
	if !g.allMembers(func(m *member) bool { return m.state == reserved }) {
		return nil
	}
	if g.committed { // an earlier owner committed the gang
		return g.start(e.At, e.At.Add(LeaseDuration))
	}
	g.phase = Committing
	return []Command{{Kind: Commit}}
}

func (g *Gang) memberRunning(m *member, e Event) []Command {
	if m.state != starting && m.state != running {
		return nil
	}
	switch {
	case m.state == starting:
		m.lastConfirmed = g.startedAt
	case e.Sent.After(m.lastConfirmed):
		m.lastConfirmed = e.Sent
	}
	m.state = running
	g.enterRunningIfStarted()
	return nil
}

// enterRunningIfStarted changes the phase to Running once all members have
// started.
func (g *Gang) enterRunningIfStarted() {
	if g.phase == Starting && g.allMembers(func(m *member) bool { return m.state == running || m.state == done }) {
		g.phase = Running
	}
}

func (g *Gang) memberDone(m *member, e Event) []Command {
	if m.state != starting && m.state != running {
		return nil
	}
	m.state = done
	if g.allMembers(func(m *member) bool { return m.state == done }) && g.outcome != Cancelled {
		g.phase, g.outcome, g.reason = Ended, Succeeded, ""
		// On the stop, the worker deletes the result.
		all := func(*member) bool { return true }
		return append(g.commandEach(Stop, time.Time{}, all), g.commandEach(Free, time.Time{}, all)...)
	}
	if g.phase == Checkpointing && g.allCheckpointed() {
		return g.stop(e.At)
	}
	if g.phase == Stopping {
		return g.endIfAllEnded()
	}
	g.enterRunningIfStarted()
	return nil
}

// memberOveruse throttles a member on its first overuse report, and ends the
// gang when overuse is reported more than MaxOveruseReports times.
func (g *Gang) memberOveruse(m *member, e Event) []Command {
	if m.state != running || g.phase != Running {
		return nil
	}
	m.overuseReports++
	switch {
	case m.overuseReports > MaxOveruseReports:
		return g.endBroken(e.At, TaskFailed, e.Reason)
	case m.overuseReports == 1:
		return []Command{{Kind: Throttle, Worker: m.worker}}
	}
	return nil
}

// memberStopped handles the acknowledgement of a stop. When no stop was sent, it
// handles the member as missing.
func (g *Gang) memberStopped(m *member, e Event) []Command {
	if g.phase != Stopping {
		return g.memberMissing(m, e)
	}
	m.state = freed
	return append([]Command{{Kind: Free, Worker: m.worker}}, g.endIfAllEnded()...)
}

// memberMissing handles a member that is not, or may not be, on its worker. The
// member is freed only after its stop is acknowledged or its lease has expired,
// because an earlier command may still arrive at the worker.
func (g *Gang) memberMissing(m *member, e Event) []Command {
	if m.state == done || g.phase == Stopping {
		return nil
	}
	if g.started {
		m.checkpointed = true
		return g.endBroken(e.At, Broken, e.Reason)
	}
	return g.end(e.At, NotReserved, e.Reason)
}

// endIfAllEnded ends the gang once all members have ended, and frees those that
// ended with success.
func (g *Gang) endIfAllEnded() []Command {
	if !g.allMembers((*member).ended) {
		return nil
	}
	g.phase = Ended
	return g.commandEach(Free, time.Time{}, func(m *member) bool { return m.state == done })
}
