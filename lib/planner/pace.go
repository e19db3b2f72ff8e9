package planner

import (
	"slices"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/task"
)

// Tasks that fill disturb tasks that serve on the same worker, by amounts that
// differ and change within seconds. Each worker therefore has a pace for its
// filling tasks that follows the tails of its serving tasks: it falls by a
// factor as soon as a tail comes near its target, and rises by steps while all
// tails are well below.
const (
	// highTailShare and lowTail are the shares of its target above which a tail
	// lowers the pace, and below which it lets it rise. The tail is a rough
	// figure, so there is a margin on both sides.
	highTailShare = 0.85
	lowTailShare  = 0.6
	// nearTargetFactor lowers the pace, and stopFactor does when the tail is over its
	// target. Below leastPace the filling tasks stand still: from full pace this
	// takes two reports, a quarter of the time that the platform allows.
	nearTargetFactor = 0.5
	overTargetFactor = 0.2
	minPace          = 10
	// initialPace is where the pace starts on a worker on which tasks that fill
	// and tasks that serve come together.
	initialPace task.Percent = 50
	paceStep    task.Percent = 10
	// tailWindow is the time in which a tail shows the effect of a change: the
	// platform measures it over half a second.
	tailWindow = 500 * time.Millisecond
	// raiseInterval is the pause before a rise.
	raiseInterval = time.Second
	// paceRepeatInterval is how often a pace is ordered again while a tail stays high,
	// as an earlier order that went unanswered may be carried out late.
	paceRepeatInterval = time.Second
)

// Colocated reports whether tasks that fill run beside tasks that serve on a worker.
// Reports of such a worker have to come often.
func (p *Planner) Colocated(name id.Worker) bool {
	w, ok := p.workers[name]
	return ok && w.hasBestEffort() && w.hasTailTarget()
}

// hasTailTarget reports whether a task whose tail has a target is on the worker.
func (w *worker) hasTailTarget() bool {
	return slices.ContainsFunc(w.members, func(m *member) bool { return m.group.step().TailTarget > 0 })
}

// hasBestEffort reports whether a task that fills is on the worker.
func (w *worker) hasBestEffort() bool {
	return slices.ContainsFunc(w.members, func(m *member) bool { return m.group.step().BestEffort })
}

// tailShare is the highest tail of the worker's serving tasks as a share of its target.
func (w *worker) tailShare() float64 {
	worst := 0.0
	for _, m := range w.members {
		if target := m.group.step().TailTarget; target > 0 && m.running && !m.stopRequested {
			worst = max(worst, float64(m.tailLatency)/float64(target))
		}
	}
	return worst
}

// updateColocation sets the pace of a worker when tasks that fill and tasks that serve come
// together there, and when they part.
func (p *Planner) updateColocation(now time.Time, w *worker) {
	colocated := w.hasBestEffort() && w.hasTailTarget()
	switch {
	case !colocated:
		w.pace = task.FullPace
	case !w.colocated:
		w.pace, w.paceChangedAt = initialPace, now
	}
	w.colocated = colocated
	p.orderPaces(now, w, false)
}

// adjustPace decides on the pace of a worker after a report.
func (p *Planner) adjustPace(now time.Time, w *worker) {
	p.updateColocation(now, w)
	if !w.colocated {
		return
	}
	old, share, since := w.pace, w.tailShare(), now.Sub(w.paceChangedAt)
	switch {
	case since < tailWindow:
	case share >= 1:
		w.pace = lowerPace(w.pace, overTargetFactor)
	case share > highTailShare:
		w.pace = lowerPace(w.pace, nearTargetFactor)
	case share < lowTailShare && since >= raiseInterval:
		w.pace = min(task.FullPace, w.pace+paceStep)
	}
	if w.pace != old {
		w.paceChangedAt = now
		p.logDecision(Decision{Event: "pace", Worker: w.ID, Reason: "tail of the serving tasks against its target",
			Fields: []any{"pace", w.pace, "tailShare", share}})
	}
	p.orderPaces(now, w, share > highTailShare)
}

// orderPaces orders the pace of a worker for its filling tasks where it is not
// known to be in force, and for all of them now and then if repeat is true.
func (p *Planner) orderPaces(now time.Time, w *worker, repeat bool) {
	for _, m := range w.members {
		if !m.group.step().BestEffort || m.stopRequested {
			continue
		}
		changed := m.pace != w.pace && m.paceOrderedAt != now
		if changed || repeat && now.Sub(m.paceOrderedAt) >= paceRepeatInterval {
			m.paceOrderedAt = now
			p.orders = append(p.orders, Order{Kind: Pace, Worker: w.ID, Incarnation: m.incarnation, Task: m.taskName(),
				Run: m.group.run, Pace: w.pace, Issued: now})
		}
	}
}

func lowerPace(p task.Percent, factor float64) task.Percent {
	if p = task.Percent(float64(p) * factor); p < minPace {
		return 0
	}
	return p
}

// handlePaceResult takes over the answer to an order that set a pace. Without an
// answer the pace is not known, and the next report orders it again.
func (m *member) handlePaceResult(o Order, result OrderResult) {
	m.pace = unknownPace
	if result == Accepted {
		m.pace = o.Pace
	}
}

// unknownPace is the pace of a run that an earlier owner started.
const unknownPace task.Percent = -1
