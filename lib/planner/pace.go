package planner

import (
	"slices"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/task"
)

// Best-effort tasks slow down service tasks on the same worker, by amounts that
// differ between tasks and change within seconds. Each worker therefore has a pace
// for its best-effort tasks that follows the tail latencies of its service tasks:
// it is multiplied by a factor below one as soon as a tail latency comes near its
// target, and rises by steps while all of them are well below their targets.
const (
	// highTailShare and lowTailShare are shares of the target of a tail latency. The
	// pace falls above the first, and rises below the second. The measured tail latency
	// is imprecise, so there is a margin on both sides.
	highTailShare = 0.85
	lowTailShare  = 0.6
	// nearTargetFactor is applied to the pace when a tail latency is near its target,
	// and overTargetFactor when it has reached it. Below minPace (percent) the
	// best-effort tasks are paused: from full pace this takes two reports, a quarter of
	// the time that the platform allows.
	nearTargetFactor = 0.5
	overTargetFactor = 0.2
	minPace          = 10
	// initialPace is the pace of a worker when best-effort tasks and service tasks
	// start to run side by side on it.
	initialPace task.Percent = 50
	paceStep    task.Percent = 10
	// tailWindow is the time after which the tail latency shows the effect of a change
	// of the pace: the platform measures it over half a second.
	tailWindow = 500 * time.Millisecond
	// raiseInterval is the least time between a change of the pace and a rise.
	raiseInterval = time.Second
	// paceRepeatInterval is the time after which a pace is ordered again while a tail
	// latency stays high: an earlier order that went unanswered may have been carried
	// out later and have set another pace.
	paceRepeatInterval = time.Second
)

// Colocated reports whether best-effort tasks run beside service tasks on a worker.
// The worker then has to be polled more often, as the pace follows its reports.
func (p *Planner) Colocated(name id.Worker) bool {
	w, ok := p.workers[name]
	return ok && w.hasBestEffort() && w.hasTailTarget()
}

// hasTailTarget reports whether the worker runs a task with a target for its tail
// latency.
func (w *worker) hasTailTarget() bool {
	return slices.ContainsFunc(w.members, func(m *member) bool { return m.group.step().TailTarget > 0 })
}

// hasBestEffort reports whether the worker runs a best-effort task.
func (w *worker) hasBestEffort() bool {
	return slices.ContainsFunc(w.members, func(m *member) bool { return m.group.step().BestEffort })
}

// tailShare is the highest tail latency of the worker's service tasks as a share of
// its target.
func (w *worker) tailShare() float64 {
	worst := 0.0
	for _, m := range w.members {
		if target := m.group.step().TailTarget; target > 0 && m.running && !m.stopRequested {
			worst = max(worst, float64(m.tailLatency)/float64(target))
		}
	}
	return worst
}

// updateColocation sets the pace of a worker to initialPace when best-effort tasks
// and service tasks start to run side by side on it, and to full pace when they no
// longer do.
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

// adjustPace adjusts the pace of a worker to the tail latencies of a new report.
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
		p.logDecision(Decision{Event: "pace", Worker: w.ID, Reason: "tail latency of the service tasks against its target",
			Fields: []any{"pace", w.pace, "tailShare", share}})
	}
	p.orderPaces(now, w, share > highTailShare)
}

// orderPaces orders the pace of a worker for those best-effort tasks for which the
// worker has not confirmed it. If repeat is set, it also orders it again for the
// others, every paceRepeatInterval.
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

// lowerPace multiplies a pace by a factor. A result below minPace becomes zero.
func lowerPace(p task.Percent, factor float64) task.Percent {
	if p = task.Percent(float64(p) * factor); p < minPace {
		return 0
	}
	return p
}

// handlePaceResult records the result of an order that sets a pace. If the order was
// not accepted, the pace is unknown and is ordered again after the next report.
func (m *member) handlePaceResult(o Order, result OrderResult) {
	m.pace = unknownPace
	if result == Accepted {
		m.pace = o.Pace
	}
}

// unknownPace stands for the pace of a run that an earlier owner started, or of
// which the last order was not accepted.
const unknownPace task.Percent = -1
