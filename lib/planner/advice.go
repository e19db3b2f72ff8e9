package planner

import (
	"cmp"
	"slices"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/task"
)

const (
	// maxAdviceWorkers bounds the workers of one request. The advice service needs
	// time for each worker; the platform's objective allows for thirty workers per
	// step.
	maxAdviceWorkers = 30
	// adviceInterval is the least time between two requests for a step. The second
	// one is made when the workers with tickets have no free capacity.
	adviceInterval = time.Second
	// ticketMargin is the validity that a ticket must have left when a start is
	// ordered, so that it is still valid when the worker carries out the order.
	ticketMargin = 500 * time.Millisecond
)

// AdviceRequest is a request to the advice service for tickets of the workers that
// may run a step.
type AdviceRequest struct {
	Job        id.Job
	Occurrence int
	Step       int
	Workers    []id.Worker
}

// Ticket permits one incarnation of a worker to start tasks of a step.
type Ticket struct {
	Worker id.Worker
	Value  string
}

type heldTicket struct {
	value       string
	incarnation task.Incarnation
	validUntil  time.Time
}

// advice is the state of the requests for advice about one step, and the tickets
// received.
type advice struct {
	pending     bool
	requestedAt time.Time
	tickets     map[id.Worker]heldTicket
	rejected    map[id.Worker]bool // workers that may never run the step
}

// adviceFor returns the advice about a step. It creates it on first use.
func (o *occurrence) adviceFor(step int) *advice {
	if o.advice == nil {
		o.advice = make(map[int]*advice)
	}
	if o.advice[step] == nil {
		o.advice[step] = &advice{tickets: make(map[id.Worker]heldTicket), rejected: make(map[id.Worker]bool)}
	}
	return o.advice[step]
}

// hasValidTicket reports whether the present incarnation of a worker has a ticket
// that stays valid until an order to it is carried out.
func (a *advice) hasValidTicket(now time.Time, w *worker) bool {
	t, ok := a.tickets[w.ID]
	return ok && t.incarnation == w.Incarnation && now.Add(ticketMargin).Before(t.validUntil)
}

// requestAdvice requests advice about further workers for a group that could not be
// placed, those with the most free accelerators first. One request per step is
// pending at a time.
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

// HandleAdvice records the answer to a request, with the tickets of the workers
// that may run the step. After an error, advice is requested again when adviceInterval
// has passed.
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
		p.logDecision(Decision{Event: "advised", Job: j.ID, Reason: "tickets for some of the requested workers"})
	}
}
