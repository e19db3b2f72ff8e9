package planner

import (
	"cmp"
	"slices"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/task"
)

const (
	// adviceWorkers is the number of workers asked about at once. Each costs
	// time; the platform's objective allows for thirty a step.
	adviceWorkers = 30
	// adviceWait is the time after which further workers are asked about when
	// the advised ones have no room.
	adviceWait = time.Second
	// ticketMargin is the part of a ticket's time that an order may take.
	ticketMargin = 500 * time.Millisecond
)

// AdviceRequest is a question which workers may run a step.
type AdviceRequest struct {
	Job        id.Job
	Occurrence int
	Step       int
	Workers    []id.Worker
}

// Ticket lets a worker start tasks of a step during one of its lives.
type Ticket struct {
	Worker id.Worker
	Value  string
}

type heldTicket struct {
	value       string
	incarnation task.Incarnation
	until       time.Time
}

// advice is what is known about the workers that may run a step.
type advice struct {
	asking  bool
	asked   time.Time
	tickets map[id.Worker]heldTicket
	refused map[id.Worker]bool // these may never run the step
}

// advice returns what is known about a step.
func (o *occurrence) advised(step int) *advice {
	if o.advice == nil {
		o.advice = make(map[int]*advice)
	}
	if o.advice[step] == nil {
		o.advice[step] = &advice{tickets: make(map[id.Worker]heldTicket), refused: make(map[id.Worker]bool)}
	}
	return o.advice[step]
}

// valid reports whether a worker has a ticket that lasts until an order to it
// is carried out.
func (a *advice) valid(now time.Time, w *worker) bool {
	t, ok := a.tickets[w.ID]
	return ok && t.incarnation == w.Incarnation && now.Add(ticketMargin).Before(t.until)
}

// ask asks about further workers for a group that found no room, those with
// the most free accelerators first.
func (p *pass) ask(g *group) {
	a := g.occurrence.advised(g.step)
	if a.asking || p.now.Sub(a.asked) < adviceWait {
		return
	}
	var rooms []*room
	for _, m := range p.rooms {
		if p.allowedKind(g, m) && !a.refused[m.ID] && !a.valid(p.now, m.worker) && g.spec().Reserved().Fits(m.Capacity) {
			rooms = append(rooms, m)
		}
	}
	if len(rooms) == 0 {
		return
	}
	slices.SortStableFunc(rooms, func(x, y *room) int { return -cmp.Compare(x.free.Accelerators, y.free.Accelerators) })
	q := AdviceRequest{Job: g.job.ID, Occurrence: g.occurrence.number, Step: g.step}
	for _, m := range rooms[:min(len(rooms), adviceWorkers)] {
		q.Workers = append(q.Workers, m.ID)
	}
	a.asking, a.asked = true, p.now
	p.r.asks = append(p.r.asks, q)
}

// HandleAdvice takes over the answer to a question, with tickets that are valid
// until a time. An error leaves the question open for another try.
func (r *Planner) HandleAdvice(q AdviceRequest, good []Ticket, until time.Time, err error) {
	j := r.jobs[q.Job]
	if j == nil {
		return
	}
	for _, o := range j.open {
		if o.number != q.Occurrence {
			continue
		}
		a := o.advised(q.Step)
		a.asking = false
		if err != nil {
			return
		}
		for _, name := range q.Workers {
			a.refused[name] = true
		}
		for _, t := range good {
			delete(a.refused, t.Worker)
			if w, ok := r.workers[t.Worker]; ok {
				a.tickets[t.Worker] = heldTicket{t.Value, w.Incarnation, until}
			}
		}
		r.note(Decision{Event: "advised", Job: j.ID, Reason: "tickets for some of the workers asked about"})
	}
}
