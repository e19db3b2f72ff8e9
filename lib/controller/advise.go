package controller

import (
	"context"
	"time"

	"bronzewinch.dev/lib/planner"

	"k8s.io/klog/v2"
)

const (
	// maxQueuedAdviceRequests bounds the requests that wait for the advice
	// service, which answers one call per node at a time.
	maxQueuedAdviceRequests = 64
	// adviceTimeout bounds one call. It allows for thirty workers at ten times the
	// usual time per worker.
	adviceTimeout = 3 * time.Second
)

// Adviser requests tickets for the workers that may run a step. The tickets are
// valid for the returned time.
type Adviser interface {
	Advise(ctx context.Context, q planner.AdviceRequest) (tickets []planner.Ticket, valid time.Duration, err error)
}

// requestAdvice sends the queued requests to the advice service one at a time.
func (s *session) requestAdvice(ctx context.Context, adviser Adviser) {
	for {
		requests, ok := s.adviceRequests.TakeBatch(ctx, 1)
		if !ok {
			return
		}
		sent := s.controller.config.Timer.Now()
		callCtx, cancel := context.WithTimeout(ctx, adviceTimeout)
		tickets, valid, err := adviser.Advise(callCtx, requests[0])
		cancel()
		if err != nil && ctx.Err() == nil {
			klog.InfoS("advice request failed", "event", "advice", "job", requests[0].Job, "step", requests[0].Step, "cause", err)
		}
		e := &adviceEvent{request: requests[0], tickets: tickets, validUntil: sent.Add(valid), err: err}
		if err := s.events.Put(e); err != nil && ctx.Err() == nil {
			klog.InfoS("advice dropped; the event queue did not accept it", "event", "advice", "job", requests[0].Job, "cause", err)
		}
	}
}

type adviceEvent struct {
	request    planner.AdviceRequest
	tickets    []planner.Ticket
	validUntil time.Time
	err        error
}

func (e *adviceEvent) apply(s *session, _ time.Time, _ *deferredWork) {
	s.planner.HandleAdvice(e.request, e.tickets, e.validUntil, e.err)
}
