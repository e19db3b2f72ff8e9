package gang

import "time"

// tick repeats what was not answered and checks the deadlines.
func (g *Gang) tick(now time.Time) []Command {
	late := !now.Before(g.deadline)
	switch g.phase {
	case Reserving:
		if late {
			return g.end(now, Refused, "not all workers answered the reservation in time")
		}
		return g.repeat(Reserve, asked)
	case Committing:
		return g.each(Renew, now.Add(LeaseDuration), func(*member) bool { return true })
	case Starting:
		if late {
			return g.breakUp(now, Broken, "not all workers answered the start in time")
		}
		return g.repeat(Start, starting)
	case Running:
		return g.renew(now)
	case Checkpointing:
		if late {
			return g.stop(now)
		}
		return append(g.renew(now), g.each(Checkpoint, time.Time{}, func(m *member) bool {
			return m.state == running && !m.checkpointed
		})...)
	case Stopping:
		return g.stopping(now, late)
	}
	return nil
}

// repeat sends a command again with the lease it had, so that repeats do not
// prolong a gang that never becomes whole.
func (g *Gang) repeat(kind CommandKind, state memberState) []Command {
	var out []Command
	for i := range g.members {
		if m := &g.members[i]; m.state == state {
			out = append(out, g.command(kind, m, g.until))
		}
	}
	return out
}

// renew prolongs the leases of all members together, up to the oldest proof
// that a member runs plus MaxPartialRun.
func (g *Gang) renew(now time.Time) []Command {
	if g.broken {
		return nil
	}
	until := now.Add(LeaseDuration)
	for i := range g.members {
		m := &g.members[i]
		if limit := m.confirmed.Add(MaxPartialRun); m.state == running && limit.Before(until) {
			until = limit
		}
	}
	return g.each(Renew, until, func(m *member) bool { return m.state == running })
}

func (g *Gang) stopping(now time.Time, late bool) []Command {
	var out []Command
	for i := range g.members {
		m := &g.members[i]
		switch {
		case m.over():
		case now.After(m.lease.Add(MaxClockDrift)):
			m.state = gone
			out = append(out, Command{Kind: Free, Worker: m.worker})
		default:
			out = append(out, Command{Kind: g.stopKind(), Worker: m.worker})
			if late && !m.fenced {
				m.fenced = true
				out = append(out, Command{Kind: Fence, Worker: m.worker})
			}
		}
	}
	return append(out, g.settle()...)
}
