package planner

import (
	"cmp"
	"slices"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/task"
)

const (
	// maxAdviceWorkers is the number of workers asked about at once. Each costs
	// time; the platform's objective allows for thirty a step.
	maxAdviceWorkers = 30
	// adviceInterval is the time after which further workers are asked about when
	// the advised ones have no room.
	adviceInterval = time.Second
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
	validUntil  time.Time
}

// advice is what is known about the workers that may run a step.
type advice struct {
	pending     bool
	requestedAt time.Time
	tickets     map[id.Worker]heldTicket
	rejected    map[id.Worker]bool // these may never run the step
}

// advice returns what is known about a step.
func (o *occurrence) adviceFor(step int) *advice {
	if o.advice == nil {
		o.advice = make(map[int]*advice)
	}
	if o.advice[step] == nil {
		o.advice[step] = &advice{tickets: make(map[id.Worker]heldTicket), rejected: make(map[id.Worker]bool)}
	}
	return o.advice[step]
}

// hasValidTicket reports whether a worker has a ticket that lasts until an order to it
// is carried out.
func (a *advice) hasValidTicket(now time.Time, w *worker) bool {
	t, ok := a.tickets[w.ID]
	return ok && t.incarnation == w.Incarnation && now.Add(ticketMargin).Before(t.validUntil)
}

// requestAdvice asks about further workers for a group that found no room, those with
// the most free accelerators first.
func (ps *pass) requestAdvice(g *group) {
	a := g.occurrence.adviceFor(g.stepIndex)
	if a.pending || ps.now.Sub(a.requestedAt) < adviceInterval {
		return
	}
	var candidates []*candidate
	for _, c := range ps.candidates {
		if ps.isEligible(g, c) && !a.rejected[c.ID] && !a.hasValidTicket(ps.now, c.worker) && g.step().Reserved().Fits(c.Capacity) {
			candidates = append(candidates, c)
		}
	}
	if len(candidates) == 0 {
		return
	}
	slices.SortStableFunc(candidates, func(x, y *candidate) int { return -cmp.Compare(x.free.Accelerators, y.free.Accelerators) })
	request := AdviceRequest{Job: g.job.ID, Occurrence: g.occurrence.number, Step: g.stepIndex}
	for _, c := range candidates[:min(len(candidates), maxAdviceWorkers)] {
		request.Workers = append(request.Workers, c.ID)
	}
	a.pending, a.requestedAt = true, ps.now
	ps.planner.adviceRequests = append(ps.planner.adviceRequests, request)
}

// HandleAdvice takes over the answer to a question, with tickets that are valid
// until a time. An error leaves the question open for another try.
func (p *Planner) HandleAdvice(request AdviceRequest, tickets []Ticket, validUntil time.Time, err error) {
	j := p.jobs[request.Job]
	if j == nil {
		return
	}
	for _, o := range j.openOccurrences {
		if o.number != request.Occurrence {
			continue
		}
		a := o.adviceFor(request.Step)
		a.pending = false
		if err != nil {
			return
		}
		for _, name := range request.Workers {
			a.rejected[name] = true
		}
		for _, t := range tickets {
			delete(a.rejected, t.Worker)
			if w, ok := p.workers[t.Worker]; ok {
				a.tickets[t.Worker] = heldTicket{t.Value, w.Incarnation, validUntil}
			}
		}
		p.logDecision(Decision{Event: "advised", Job: j.ID, Reason: "tickets for some of the workers asked about"})
	}
}
