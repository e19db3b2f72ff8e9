package controller

import (
	"context"
	"sync"
	"time"

	"bronzewinch.dev/lib/dependency"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/pipe"
	"bronzewinch.dev/lib/planner"
	"bronzewinch.dev/lib/task"
	"bronzewinch.dev/lib/timer"

	"k8s.io/klog/v2"
)

const (
	// pollWait is the longest time for which a worker holds a call back until
	// one of its runs ends.
	pollWait = 2 * time.Second
	// colocatedPollWait is the wait for workers on which tasks fill beside tasks that
	// serve. The worker measures tails over half a second.
	colocatedPollWait = 500 * time.Millisecond
	// pollTimeoutMargin is the time beyond the wait after which a call counts as
	// unanswered. A worker answers within milliseconds.
	pollTimeoutMargin = 700 * time.Millisecond
	// orderTimeout and orderAttempts bound one order. Orders may be repeated,
	// as a worker carries out each run once.
	orderTimeout  = 400 * time.Millisecond
	orderAttempts = 3
	// ackDelay lets the acknowledgement of the last ends on a worker wait for
	// its next start.
	ackDelay = time.Second
	// pollRetryPause is the pause between calls to a worker that does not answer.
	pollRetryPause  = 400 * time.Millisecond
	maxQueuedOrders = 4096
	// unlistedLinkRetention is how long a link outlives the entry of its worker. Entries
	// that lapsed while the store was away come back within seconds.
	unlistedLinkRetention = 30 * time.Second
)

// Target is one incarnation of a worker.
type Target struct {
	Worker      id.Worker
	Address     string
	Incarnation task.Incarnation
}

// PollRequest asks a worker for its runs, and extends their lease.
type PollRequest struct {
	Fence task.Fence
	// Until extends the lease of all runs to a time on the worker's clock,
	// unless it is zero.
	Until task.ClockMillis
	// Acked is the last end that is stored.
	Acked task.EndSeq
	Wait  time.Duration
}

// Workers calls workers.
type Workers interface {
	Poll(ctx context.Context, t Target, req PollRequest) (task.Report, error)
	// SendOrder sends an order with a lease until a time on the worker's clock.
	SendOrder(ctx context.Context, t Target, o planner.Order, fence task.Fence, until task.ClockMillis) (planner.OrderResult, error)
}

// link carries orders to one worker and its reports back. It is one shard of
// the state of workers, under its own lock.
type link struct {
	session *session
	name    id.Worker
	orders  *pipe.Queue[planner.Order]
	health  *dependency.Dependency
	wake    chan struct{}
	stop    context.CancelFunc

	mu             sync.Mutex
	target         Target
	clock          task.ClockMillis // the worker's clock at clockAt, at least
	clockAt        time.Time
	answered       bool        // the last call was answered
	busy           bool        // runs on the worker are not known to have ended
	colocated      bool        // tasks fill beside tasks that serve
	awaitingReport bool        // the planner waits for a first report
	extendedAt     time.Time   // when the last call that extends the lease was sent
	storedEnds     task.EndSeq // stored by a cycle
	ackedEnds      task.EndSeq // acknowledged to the worker
	reportedEnds   task.EndSeq // highest end in the last report
	unlistedAt     time.Time   // when the platform's list dropped the worker, or zero
}

func newLink(ctx context.Context, s *session, w task.Worker) *link {
	l := &link{session: s, name: w.ID, orders: pipe.NewQueue[planner.Order](maxQueuedOrders), wake: make(chan struct{}, 1),
		health: dependency.New("worker "+string(w.ID), s.controller.config.Timer), awaitingReport: true}
	l.target = Target{Worker: w.ID, Address: w.Address, Incarnation: w.Incarnation}
	ctx, l.stop = context.WithCancel(ctx)
	s.wg.Go(func() { l.poll(ctx) })
	s.wg.Go(func() {
		for {
			orders, ok := l.orders.TakeAll(ctx, 1)
			if !ok {
				return
			}
			l.deliver(ctx, orders[0])
		}
	})
	return l
}

// update takes over the present incarnation and address of the worker.
func (l *link) update(w task.Worker) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w.Incarnation < l.target.Incarnation {
		return
	}
	needsReport := w.Incarnation != l.target.Incarnation || !l.unlistedAt.IsZero()
	if w.Incarnation != l.target.Incarnation {
		l.resetIncarnation()
	}
	l.target = Target{Worker: w.ID, Address: w.Address, Incarnation: w.Incarnation}
	l.unlistedAt = time.Time{}
	if needsReport {
		l.awaitingReport = true
		l.signal()
	}
}

// markUnlisted notes that the platform's list no longer has the worker.
func (l *link) markUnlisted(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unlistedAt = now
}

// expired reports whether the worker has been off the list for long.
func (l *link) expired(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.unlistedAt.IsZero() && now.Sub(l.unlistedAt) > unlistedLinkRetention
}

// resetIncarnation forgets what an earlier incarnation told. The lock is held.
func (l *link) resetIncarnation() {
	l.clock, l.clockAt, l.answered = 0, time.Time{}, false
	l.storedEnds, l.ackedEnds, l.reportedEnds = 0, 0, 0
}

func (l *link) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// enqueue queues an order. Orders reach the worker in turn.
func (l *link) enqueue(o planner.Order) {
	if err := l.orders.Put(o); err != nil {
		klog.InfoS("order dropped", "event", "order", "worker", l.name, "task", o.Task.String(), "cause", err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.busy = true
	l.signal()
}

// confirmReport lets the link go on after a cycle has stored what a report told. Only
// its ends are acknowledged: a later report may wait for the next cycle.
func (l *link) confirmReport(e *reportEvent, busy, colocated bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.report.Incarnation == l.target.Incarnation {
		l.storedEnds = max(l.storedEnds, e.maxEndSeq())
	}
	l.busy, l.colocated = busy, colocated
	l.signal()
}

// lastExtension returns when the last call that extends the lease was sent.
func (l *link) lastExtension() (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.extendedAt, !l.extendedAt.IsZero()
}

// leaseDeadline is the worker's clock in MaxLease from now, or zero when its clock is
// not known.
func (l *link) leaseDeadline(now time.Time) task.ClockMillis {
	if l.clockAt.IsZero() || !l.session.term.MayExtendLeases() {
		return 0
	}
	return l.clock + task.ClockMillis(now.Sub(l.clockAt).Milliseconds()) +
		task.ClockMillis(l.session.controller.config.Planner.MaxLease.Milliseconds())
}

// poll asks for reports as long as the worker is busy or has ends that are
// not acknowledged.
func (l *link) poll(ctx context.Context) {
	for ctx.Err() == nil {
		l.mu.Lock()
		unacked, awaitingReport, busy := l.storedEnds > l.ackedEnds, l.awaitingReport, l.busy || l.awaitingReport
		l.mu.Unlock()
		if !busy && unacked {
			l.waitSignal(ctx, ackDelay)
			l.mu.Lock()
			busy = l.busy
			l.mu.Unlock()
		}
		if !busy && !unacked {
			select {
			case <-l.wake:
			case <-ctx.Done():
			}
			continue
		}
		if l.pollOnce(ctx, awaitingReport || !busy) {
			l.waitSignal(ctx, pollWait) // until the cycle has stored the report
			continue
		}
		_ = timer.Sleep(ctx, l.session.controller.config.Timer, pollRetryPause)
	}
}

// waitSignal waits for a signal, for d at most.
func (l *link) waitSignal(ctx context.Context, d time.Duration) {
	after := l.session.controller.config.Timer.After(d)
	defer after.Stop()
	select {
	case <-l.wake:
	case <-after.C:
	case <-ctx.Done():
	}
}

// pollOnce makes one call for a report. Its answer comes at once if quick is true.
func (l *link) pollOnce(ctx context.Context, immediate bool) bool {
	timers := l.session.controller.config.Timer
	now := timers.Now()
	l.mu.Lock()
	target := l.target
	req := PollRequest{Fence: l.session.term.Fence, Acked: l.storedEnds, Wait: pollWait}
	if l.colocated {
		req.Wait = colocatedPollWait
	}
	if l.answered {
		req.Until = l.leaseDeadline(now)
	}
	if req.Until > 0 {
		l.extendedAt = now
	}
	if immediate || !l.answered || l.storedEnds < l.reportedEnds {
		req.Wait = 0
	}
	l.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, req.Wait+pollTimeoutMargin)
	defer cancel()
	report, err := l.session.controller.config.Workers.Poll(callCtx, target, req)
	if err != nil {
		l.pollFailed(ctx, err)
		return false
	}
	l.mu.Lock()
	if report.Incarnation < l.target.Incarnation {
		l.mu.Unlock()
		return true // the platform's list already has the next life of the worker
	}
	if report.Incarnation != l.target.Incarnation {
		l.resetIncarnation()
		l.target.Incarnation = report.Incarnation
	}
	l.clock, l.clockAt, l.ackedEnds = report.Clock, timers.Now(), req.Acked
	// An answer that arrives late, as to a node that was suspended, is no newer
	// than the end of the wait.
	report.AsOf = now.Add(req.Wait)
	if l.clockAt.Before(report.AsOf) {
		report.AsOf = l.clockAt
	}
	l.answered, l.awaitingReport = true, false
	l.health.Observe(nil)
	e := &reportEvent{link: l, sent: now, report: report}
	l.reportedEnds = max(l.reportedEnds, e.maxEndSeq())
	l.mu.Unlock()
	if err := l.session.events.Put(e); err != nil && ctx.Err() == nil {
		klog.InfoS("report dropped; the next one repeats it", "event", "report", "worker", l.name, "cause", err)
	}
	return true
}

// pollFailed notes an unanswered call. The call may still extend the lease, so
// later calls to the worker grant nothing until one is answered.
func (l *link) pollFailed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	l.mu.Lock()
	l.answered = false
	l.mu.Unlock()
	l.health.Observe(err)
}

type reportEvent struct {
	link   *link
	sent   time.Time
	report task.Report
}

func (e *reportEvent) apply(s *session, now time.Time, work *deferredWork) {
	s.planner.HandleReport(now, e.sent, e.report)
	work.reports = append(work.reports, e)
}

// maxEndSeq is the highest end that the report tells of.
func (e *reportEvent) maxEndSeq() task.EndSeq {
	var highest task.EndSeq
	for _, end := range e.report.Ends {
		highest = max(highest, end.Seq)
	}
	return highest
}

type orderResultEvent struct {
	order  planner.Order
	result planner.OrderResult
}

func (e *orderResultEvent) apply(s *session, now time.Time, _ *deferredWork) {
	s.planner.HandleOrderResult(now, e.order, e.result)
}

// deliver sends one order, and sends it again if no answer comes.
func (l *link) deliver(ctx context.Context, o planner.Order) {
	result := planner.NotSent
	for attempt := range orderAttempts {
		now := l.session.controller.config.Timer.Now()
		l.mu.Lock()
		target, deadline := l.target, l.leaseDeadline(now)
		if deadline > 0 && o.Kind == planner.Start {
			l.extendedAt = now
		}
		l.mu.Unlock()
		if !l.session.term.Valid() || now.After(o.SendDeadline()) || target.Incarnation != o.Incarnation || deadline == 0 {
			break
		}
		callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		r, err := l.session.controller.config.Workers.SendOrder(callCtx, target, o, l.session.term.Fence, deadline)
		cancel()
		if err == nil {
			// A refusal does not tell what became of an attempt without an answer.
			if result != planner.Unanswered || r == planner.Accepted {
				result = r
			}
			break
		}
		if ctx.Err() != nil {
			return
		}
		result = planner.Unanswered
		klog.InfoS("order not answered", "event", "order", "kind", o.Kind, "task", o.Task.String(), "run", o.Run,
			"worker", o.Worker, "attempt", attempt+1, "cause", err)
	}
	if result != planner.Accepted {
		klog.InfoS("order not accepted", "event", "order", "kind", o.Kind, "task", o.Task.String(), "run", o.Run,
			"worker", o.Worker, "answer", result)
	}
	_ = l.session.events.Put(&orderResultEvent{order: o, result: result}) // refused only when the session is over or far behind
}
