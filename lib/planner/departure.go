package planner

import (
	"slices"
	"time"

	"bronzewinch.dev/lib/task"
	"bronzewinch.dev/lib/unit"
)

const (
	// departureInterval is the time between two looks at the runs on draining workers.
	// Workers report every two seconds, and stay for some seconds after they have begun to
	// drain.
	departureInterval = 200 * time.Millisecond
	// minPercentForRate is the progress from which the speed of a run is known well enough
	// to expect its end from it. Progress is reported in whole percent.
	minPercentForRate = 10
	// gangEndTimeout is the time after the end of a gang after which a member on a worker
	// that has not reported since counts as ended. Workers that can answer report an end
	// within milliseconds.
	gangEndTimeout = 300 * time.Millisecond
)

// setDraining records that a worker drains, and for how long it stays at least as of a
// time. The duration is zero if it is not known.
func (p *Planner) setDraining(now, asOf time.Time, w *worker, remaining time.Duration, reason string) {
	begins := !w.Draining
	w.Draining = true
	if remaining > 0 {
		w.staysUntil = asOf.Add(remaining)
	}
	if begins {
		p.logDecision(Decision{Event: "workerDraining", Worker: w.ID, Reason: reason, Age: remaining})
		p.leaveWorkers(now, []*worker{w})
	}
}

// leaveDrainingWorkers stops runs on draining workers that would be lost with them.
func (p *Planner) leaveDrainingWorkers(now time.Time) {
	if now.Sub(p.departuresAt) < departureInterval {
		return
	}
	p.departuresAt = now
	var draining []*worker
	for _, w := range p.workersByID {
		if w.Draining && len(w.members) > 0 {
			draining = append(draining, w)
		}
	}
	p.leaveWorkers(now, draining)
}

func (p *Planner) leaveWorkers(now time.Time, draining []*worker) {
	var ps *pass // made for the first run that needs it
	for _, w := range draining {
		for _, m := range slices.Clone(w.members) {
			g := m.group
			if g.stopping || g.done || !p.endsAfterDeparture(m) {
				continue
			}
			if s := g.step(); !s.Checkpoints && !s.Service {
				if w.staysUntil.IsZero() {
					continue // it may stay for much longer
				}
				if ps == nil {
					ps = newPass(p, now)
				}
				if !ps.fitsElsewhere(g) {
					continue
				}
			}
			p.stopGroup(now, g, "the worker is draining")
		}
	}
}

// endsAfterDeparture reports whether a run on a draining worker is expected to end only
// after the worker has left. Gangs of service tasks stay until they are ended: no time is
// better than another.
func (p *Planner) endsAfterDeparture(m *member) bool {
	s := m.group.step()
	if s.Service || s.Checkpoints && !s.Gang {
		// A move costs a task with checkpoints its restore. A run that is lost with its
		// worker waits until its lease has expired.
		return !s.Gang
	}
	end, ok := p.expectedEnd(m)
	return !ok || end.After(m.worker.staysUntil)
}

// expectedEnd returns the time at which a run is expected to end: from the progress that it
// has reported, or else from the expected run time. It returns false if neither is known.
func (p *Planner) expectedEnd(m *member) (time.Time, bool) {
	total := p.expectedRunTime(m.group.job, *m.group.step())
	if m.percent >= minPercentForRate && m.group.checkpoint == "" {
		total = m.progressedAt.Sub(m.orderedAt) * 100 / time.Duration(m.percent)
	}
	left := total * time.Duration(100-m.percent) / 100
	return m.progressedAt.Add(left), total > 0 && !m.progressedAt.IsZero()
}

// fitsElsewhere reports whether a group fits on workers that take starts, with the
// capacity that its own members would free there. It reserves that capacity.
func (ps *pass) fitsElsewhere(g *group) bool {
	own := make(map[*candidate]unit.Resources)
	for _, m := range g.members {
		if c := m.worker.candidate; c != nil {
			own[c] = own[c].Plus(g.step().Reserved())
		}
	}
	available := func(c *candidate) unit.Resources { return c.freeLater.Plus(own[c]) }
	sets, _ := ps.candidateSets(g)
	for _, set := range sets {
		targets := pack(g, set, ps, available)
		if targets == nil {
			continue
		}
		for c, r := range own {
			ps.take(c, unit.Resources{}.Minus(r))
		}
		return ps.reserve(g, targets)
	}
	return false
}

// noteGangEnd records that a worker has reported that a member of a complete gang ended
// other than by an order. The platform then ends all members.
func (g *group) noteGangEnd(now time.Time, reason task.EndReason) {
	// Ends that are not reported may be failures, so the next run must not be the one after
	// the last attempt.
	mayStartAgain := reason == task.EndFailed || g.failures+len(g.unseenEnds)+1 < g.job.queue.Attempts
	if g.size > 1 && g.isComplete() && !g.stopping && g.gangEndedAt.IsZero() && mayStartAgain &&
		(reason == task.EndGangBroken || reason == task.EndFailed) {
		g.gangEndedAt = now
	}
}

// countUnseenFailure counts a failure that a worker reports of a run that the planner has
// ended before it knew the ends of all members.
func (p *Planner) countUnseenFailure(now time.Time, g *group, run task.RunNumber) {
	i := slices.Index(g.unseenEnds, run)
	if i < 0 {
		return
	}
	g.unseenEnds = slices.DeleteFunc(g.unseenEnds, func(other task.RunNumber) bool { return other == run })
	p.countFailedRun(now, g)
	p.markDirty(g.job)
}

// isComplete reports whether the start of each member of the run in progress has certainly
// been carried out: all have been answered, or a member has made progress, which it does
// only when all are present.
func (g *group) isComplete() bool {
	return g.complete || len(g.members) == g.size && !slices.ContainsFunc(g.members, func(m *member) bool { return !m.running })
}

// endBrokenGangs ends the members of gangs that have ended on workers that have not
// reported since.
func (p *Planner) endBrokenGangs(now time.Time) {
	for _, w := range slices.Clone(p.workersByID) { // the end of the last run removes an unlisted worker
		for _, m := range slices.Clone(w.members) {
			ended := m.group.gangEndedAt
			if !ended.IsZero() && now.Sub(ended) >= gangEndTimeout && w.reportedAt.Before(ended) && m.running {
				if !m.group.failureCounted {
					m.group.unseenEnds = append(m.group.unseenEnds, m.group.run)
				}
				p.endMember(now, m, task.EndGangBroken, "", "the gang has ended, and the worker does not answer")
			}
		}
	}
}
