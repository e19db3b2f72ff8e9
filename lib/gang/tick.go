package gang

import "time"

// tick sends unanswered commands again, renews the leases and checks the
// deadline of the phase.
func (g *Gang) tick(now time.Time) []Command {
	expired := !now.Before(g.deadline)
	switch g.phase {
	case Reserving:
		if expired {
			return g.end(now, NotReserved, "not all workers answered the reservation in time")
		}
		return g.resend(Reserve, reserving)
	case Committing:
		return g.commandEach(Renew, now.Add(LeaseDuration), func(*member) bool { return true })
	case Starting:
		if expired {
			return g.endBroken(now, Broken, "not all workers answered the start in time")
		}
		return g.resend(Start, starting)
	case Running:
		return g.renew(now)
	case Checkpointing:
		if expired {
			return g.stop(now)
		}
		return append(g.renew(now), g.commandEach(Checkpoint, time.Time{}, func(m *member) bool {
			return m.state == running && !m.checkpointed
		})...)
	case Stopping:
		return g.tickStopping(now, expired)
	}
	return nil
}

// resend returns a command again for each member in the given state. The end of
// the lease stays the same, so that a gang that never starts completely doesn't
// run longer.
func (g *Gang) resend(kind CommandKind, state memberState) []Command {
	var out []Command
	for i := range g.members {
		if m := &g.members[i]; m.state == state {
			out = append(out, g.command(kind, m, g.leaseEnd))
		}
	}
	return out
}

// renew extends the leases of all running members to the same time: at most
// MaxPartialRun after the oldest of their last confirmations.
func (g *Gang) renew(now time.Time) []Command {
	if g.broken {
		return nil
	}
	until := now.Add(LeaseDuration)
	for i := range g.members {
		m := &g.members[i]
		if limit := m.lastConfirmed.Add(MaxPartialRun); m.state == running && limit.Before(until) {
			until = limit
		}
	}
	return g.commandEach(Renew, until, func(m *member) bool { return m.state == running })
}

func (g *Gang) tickStopping(now time.Time, expired bool) []Command {
	var out []Command
	for i := range g.members {
		m := &g.members[i]
		switch {
		case m.ended():
		case now.After(m.leaseEnd.Add(MaxClockDrift)):
			m.state = freed
			out = append(out, Command{Kind: Free, Worker: m.worker})
		default:
			out = append(out, Command{Kind: g.stopKind(), Worker: m.worker})
			if expired && !m.fenced {
				m.fenced = true
				out = append(out, Command{Kind: Fence, Worker: m.worker})
			}
		}
	}
	return append(out, g.endIfAllEnded()...)
}
