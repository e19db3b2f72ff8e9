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
	// highTail and lowTail are the shares of its target above which a tail
	// lowers the pace, and below which it lets it rise. The tail is a rough
	// figure, so there is a margin on both sides.
	highTail = 0.85
	lowTail  = 0.6
	// slowFactor lowers the pace, and stopFactor does when the tail is over its
	// target. Below leastPace the filling tasks stand still: from full pace this
	// takes two reports, a quarter of the time that the platform allows.
	slowFactor = 0.5
	stopFactor = 0.2
	leastPace  = 10
	// firstPace is where the pace starts on a worker on which tasks that fill
	// and tasks that serve come together.
	firstPace task.Percent = 50
	paceStep  task.Percent = 10
	// paceTime is the time in which a tail shows the effect of a change: the
	// platform measures it over half a second.
	paceTime = 500 * time.Millisecond
	// riseTime is the pause before a rise.
	riseTime = time.Second
	// repaceTime is how often a pace is ordered again while a tail stays high,
	// as an earlier order that went unanswered may be carried out late.
	repaceTime = time.Second
)

// Colocated reports whether tasks that fill run beside tasks that serve on a worker.
// Reports of such a worker have to come often.
func (r *Planner) Colocated(name id.Worker) bool {
	w, ok := r.workers[name]
	return ok && w.fills() && w.serves()
}

// serves reports whether a task whose tail has a target is on the worker.
func (w *worker) serves() bool {
	return slices.ContainsFunc(w.members, func(m *member) bool { return m.group.spec().TailTarget > 0 })
}

// fills reports whether a task that fills is on the worker.
func (w *worker) fills() bool {
	return slices.ContainsFunc(w.members, func(m *member) bool { return m.group.spec().BestEffort })
}

// tail is the highest tail of the worker's serving tasks as a share of its target.
func (w *worker) tail() float64 {
	worst := 0.0
	for _, m := range w.members {
		if target := m.group.spec().TailTarget; target > 0 && m.running && !m.stop {
			worst = max(worst, float64(m.tail)/float64(target))
		}
	}
	return worst
}

// mix sets the pace of a worker when tasks that fill and tasks that serve come
// together there, and when they part.
func (r *Planner) mix(now time.Time, w *worker) {
	mixed := w.fills() && w.serves()
	switch {
	case !mixed:
		w.pace = task.FullPace
	case !w.mixed:
		w.pace, w.paced = firstPace, now
	}
	w.mixed = mixed
	r.orderPaces(now, w, false)
}

// followTail decides on the pace of a worker after a report.
func (r *Planner) followTail(now time.Time, w *worker) {
	r.mix(now, w)
	if !w.mixed {
		return
	}
	old, tail, since := w.pace, w.tail(), now.Sub(w.paced)
	switch {
	case since < paceTime:
	case tail >= 1:
		w.pace = lower(w.pace, stopFactor)
	case tail > highTail:
		w.pace = lower(w.pace, slowFactor)
	case tail < lowTail && since >= riseTime:
		w.pace = min(task.FullPace, w.pace+paceStep)
	}
	if w.pace != old {
		w.paced = now
		r.note(Decision{Event: "pace", Worker: w.ID, Reason: "tail of the serving tasks against its target",
			Fields: []any{"pace", w.pace, "tailShare", tail}})
	}
	r.orderPaces(now, w, tail > highTail)
}

// orderPaces orders the pace of a worker for its filling tasks where it is not
// known to be in force, and for all of them now and then if repeat is true.
func (r *Planner) orderPaces(now time.Time, w *worker, repeat bool) {
	for _, m := range w.members {
		if !m.group.spec().BestEffort || m.stop {
			continue
		}
		changed := m.pace != w.pace && m.paceOrdered != now
		if changed || repeat && now.Sub(m.paceOrdered) >= repaceTime {
			m.paceOrdered = now
			r.orders = append(r.orders, Order{Kind: Pace, Worker: w.ID, Incarnation: m.incarnation, Task: m.name(),
				Run: m.group.run, Pace: w.pace, Issued: now})
		}
	}
}

func lower(p task.Percent, factor float64) task.Percent {
	if p = task.Percent(float64(p) * factor); p < leastPace {
		return 0
	}
	return p
}

// paceAnswered takes over the answer to an order that set a pace. Without an
// answer the pace is not known, and the next report orders it again.
func (m *member) paceAnswered(o Order, a OrderResult) {
	m.pace = unknownPace
	if a == Accepted {
		m.pace = o.Pace
	}
}

// unknownPace is the pace of a run that an earlier owner started.
const unknownPace task.Percent = -1
