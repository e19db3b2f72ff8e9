package controller

import (
	"context"
	"time"

	"bronzewinch.dev/lib/planner"

	"k8s.io/klog/v2"
)

const (
	// askLimit bounds the questions that wait for the advice service, which
	// answers one call of a node at a time.
	askLimit = 64
	// adviceTimeout bounds one call. It covers thirty workers at ten times the
	// usual time for each.
	adviceTimeout = 3 * time.Second
)

// Adviser tells which workers may run a step, and for how long its tickets are
// valid.
type Adviser interface {
	Advise(ctx context.Context, q planner.AdviceRequest) (good []planner.Ticket, valid time.Duration, err error)
}

// advise asks one question after the other.
func (s *session) advise(ctx context.Context, a Adviser) {
	for {
		asks, ok := s.asks.TakeAll(ctx, 1)
		if !ok {
			return
		}
		sent := s.controller.config.Timer.Now()
		call, cancel := context.WithTimeout(ctx, adviceTimeout)
		good, valid, err := a.Advise(call, asks[0])
		cancel()
		if err != nil && ctx.Err() == nil {
			klog.InfoS("no advice", "event", "advice", "job", asks[0].Job, "step", asks[0].Step, "cause", err)
		}
		e := &adviceEvent{ask: asks[0], good: good, until: sent.Add(valid), err: err}
		if err := s.events.Put(e); err != nil && ctx.Err() == nil {
			klog.InfoS("advice dropped", "event", "advice", "job", asks[0].Job, "cause", err)
		}
	}
}

type adviceEvent struct {
	ask   planner.AdviceRequest
	good  []planner.Ticket
	until time.Time
	err   error
}

func (e *adviceEvent) apply(s *session, _ time.Time, _ *batch) {
	s.planner.HandleAdvice(e.ask, e.good, e.until, e.err)
}
