package controller

import (
	"context"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/planner"
	"bronzewinch.dev/lib/task"
	"bronzewinch.dev/lib/unit"

	"k8s.io/klog/v2"
)

const (
	// orderTimeout and orderAttempts bound the delivery of one order. Retries are
	// safe because a worker executes each run once.
	orderTimeout    = 400 * time.Millisecond
	orderAttempts   = 3
	maxQueuedOrders = 4096
	// finishOrdersTimeout bounds the wait for the answers to the last orders of a node
	// that stops. Workers answer within milliseconds.
	finishOrdersTimeout = 200 * time.Millisecond
)

// enqueue queues an order. Orders are delivered one at a time, in this order.
func (l *link) enqueue(o planner.Order) {
	if err := l.orders.Put(o); err != nil {
		klog.InfoS("order dropped; the order queue did not accept it", "event", "order", "worker", l.name, "task", o.Task.String(), "cause", err)
		_ = l.session.events.Put(&orderResultEvent{order: o, result: planner.NotSent}) // fails only if the session has ended or the queue is full
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if o.Kind == planner.Stop {
		l.stopping[o.Task] = max(l.stopping[o.Task], o.Run)
	}
	l.busy = true
	l.signal()
}

// forgetStop records that an order to stop has been delivered or given up, so that no start
// before it is left in the queue.
func (l *link) forgetStop(o planner.Order) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o.Kind == planner.Stop && l.stopping[o.Task] <= o.Run {
		delete(l.stopping, o.Task)
	}
}

// deliverOrders delivers the queued orders until the queue is closed and empty, or ctx ends.
func (l *link) deliverOrders(ctx context.Context) {
	for {
		orders, ok := l.orders.TakeBatch(ctx, 1)
		if !ok {
			return
		}
		l.deliver(ctx, orders[0])
		l.forgetStop(orders[0])
	}
}

// awaitReport waits until a required report has arrived, has been required for longer
// than orderTimeout, or can't arrive as the session has ended. All queued starts share this
// time.
func (l *link) awaitReport(ctx context.Context) {
	clock := l.session.controller.config.Timer
	l.mu.Lock()
	awaiting, arrived := l.awaitingReport, l.reportArrived
	wait := orderTimeout - clock.Now().Sub(l.requiredAt)
	l.mu.Unlock()
	if !awaiting || wait <= 0 {
		return
	}
	after := clock.After(wait)
	defer after.Stop()
	select {
	case <-arrived:
	case <-after.C:
	case <-l.session.done:
	case <-ctx.Done():
	}
}

// deliver sends one order and retries it while no answer arrives.
func (l *link) deliver(ctx context.Context, o planner.Order) {
	if o.Kind == planner.Start {
		l.awaitReport(ctx)
	}
	l.mu.Lock()
	l.delivering, l.deliveredEnd = o, false
	l.mu.Unlock()
	release, ok := l.session.reserveStart(ctx, o)
	if !ok {
		return // the session has ended
	}
	defer release()
	result := planner.NotSent
	for attempt := range orderAttempts {
		now := l.session.controller.config.Timer.Now()
		l.mu.Lock()
		target, fence, deadline, ended := l.target, l.fence, l.leaseDeadline(now), l.deliveredEnd
		// The run was ordered to stop, the worker began to drain or its zone to be evacuated
		// while the order waited, or the worker has not answered since an earlier start.
		unfit := o.Kind == planner.Start &&
			(l.stopping[o.Task] >= o.Run || l.draining || l.awaitingReport || !l.session.mayStartIn(target.Zone))
		l.mu.Unlock()
		if ended {
			result = planner.Accepted // a worker that has restarted since would carry out the order again
			break
		}
		if unfit {
			break
		}
		if !l.session.term.Valid() || now.After(o.SendDeadline()) || target.Incarnation != o.Incarnation || deadline == 0 {
			break
		}
		callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		r, err := l.session.controller.config.Workers.SendOrder(callCtx, target, o, fence, deadline)
		cancel()
		if o.Kind == planner.Start && (err != nil || r != planner.Undelivered) {
			l.session.recordLeaseGrant(l.name, now) // before the result, from which on the planner relies on it
		}
		if err == nil {
			// A rejection does not show whether an earlier, unanswered attempt was
			// executed.
			if result != planner.Unanswered || r == planner.Accepted {
				result = r
			}
			break
		}
		if ctx.Err() != nil {
			return
		}
		result = planner.Unanswered
		l.holdReports(o, fence)
		klog.InfoS("order not answered", "event", "order", "kind", o.Kind, "task", o.Task.String(), "run", o.Run,
			"worker", o.Worker, "attempt", attempt+1, "cause", err)
	}
	if result != planner.Accepted {
		klog.InfoS("order not accepted", "event", "order", "kind", o.Kind, "task", o.Task.String(), "run", o.Run,
			"worker", o.Worker, "answer", result)
	}
	_ = l.session.events.Put(&orderResultEvent{order: o, result: result}) // fails only if the session has ended or the queue is full
	// A report that shows that the worker answers again must follow the result.
	l.releaseReports(result)
}

// holdReports discards reports until a start that had no answer is delivered or
// given up: if its run ended and the worker restarted, the next attempt would start a
// run that the planner has ended.
func (l *link) holdReports(o planner.Order, fence task.Fence) {
	if o.Kind != planner.Start {
		return
	}
	l.mu.Lock()
	l.retrying = true
	l.lateStartUntil = l.session.controller.config.Timer.Now().Add(planner.MaxCallDelay)
	l.mu.Unlock()
	// No report can end the run from here on, so no cycle stores its end without this event.
	if err := l.session.events.Put(unansweredStartEvent{o, fence}); err != nil {
		klog.InfoS("unanswered start not stored; a later owner does not poll the worker for it", "event", "lateStart", "worker", l.name,
			"task", o.Task.String(), "run", o.Run, "cause", err)
	}
}

// releaseReports requests a report under a new fence if reports were held, and a report if
// the order did not reach the worker.
func (l *link) releaseReports(result planner.OrderResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.retrying {
		l.retrying = false
		l.raiseFence("a start was not answered")
	}
	if result == planner.Undelivered {
		l.requireReport()
	}
}

const (
	// largeSpec is the size from which the spec of a start is counted while it is sent. The
	// platform allows 4,000 bytes.
	largeSpec = 4 * unit.KiB
	// specCopies is how often a spec is in memory while it is sent: encoded, and in the
	// buffers of the encoder.
	specCopies = 3
)

// reserveStart waits until there is memory to send a start with a large spec. All workers may
// start tasks of such jobs at the same time. It returns a function that frees the memory, or
// false if ctx has ended.
func (s *session) reserveStart(ctx context.Context, o planner.Order) (release func(), ok bool) {
	if s.starting == nil || unit.Bytes(len(o.Spec)) <= largeSpec {
		return func() {}, true
	}
	size := int64(min(specCopies*unit.Bytes(len(o.Spec)), s.controller.config.StartMemory)) // a single one is always sent
	if err := s.starting.Acquire(ctx, size); err != nil {
		return nil, false
	}
	return func() { s.starting.Release(size) }, true
}

// unansweredStartEvent is an attempt to deliver a start that had no answer.
type unansweredStartEvent struct {
	order planner.Order
	fence task.Fence
}

func (e unansweredStartEvent) apply(s *session, now time.Time, _ *deferredWork) {
	s.planner.RecordUnansweredStart(now, e.order, e.fence)
}

type orderResultEvent struct {
	order  planner.Order
	result planner.OrderResult
}

func (e *orderResultEvent) apply(s *session, now time.Time, _ *deferredWork) {
	s.planner.HandleOrderResult(now, e.order, e.result)
}

// finishOrders sends the orders that have been released, and waits for their answers. If a
// node that stops cancelled them, the next owner would find gangs of which only some members
// were started, and would have to stop them.
func (s *session) finishOrders() {
	s.links.Range(func(_ id.Worker, l *link) bool {
		l.orders.Close()
		return true
	})
	finished := make(chan struct{})
	s.wg.Go(func() {
		s.deliveries.Wait()
		close(finished)
	})
	timeout := s.controller.config.Timer.After(finishOrdersTimeout)
	defer timeout.Stop()
	select {
	case <-finished:
	case <-timeout.C:
		klog.InfoS("orders not answered; the next owner asks their workers", "event", "term", "fence", s.term.Fence)
	}
}
