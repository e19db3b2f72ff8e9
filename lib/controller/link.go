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
	// holdWait is the longest time for which a worker holds a call back until
	// one of its runs ends.
	holdWait = 2 * time.Second
	// mixedWait is the wait for workers on which tasks fill beside tasks that
	// serve. The worker measures tails over half a second.
	mixedWait = 500 * time.Millisecond
	// holdTimeout is the time beyond the wait after which a call counts as
	// unanswered. A worker answers within milliseconds.
	holdTimeout = 700 * time.Millisecond
	// orderTimeout and orderAttempts bound one order. Orders may be repeated,
	// as a worker carries out each run once.
	orderTimeout  = 400 * time.Millisecond
	orderAttempts = 3
	// ackPause lets the acknowledgement of the last ends on a worker wait for
	// its next start.
	ackPause = time.Second
	// probePause is the pause between calls to a worker that does not answer.
	probePause = 400 * time.Millisecond
	orderLimit = 4096
	// goneTime is how long a link outlives the entry of its worker. Entries
	// that lapsed while the store was away come back within seconds.
	goneTime = 30 * time.Second
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
	Poll(ctx context.Context, t Target, h PollRequest) (task.Report, error)
	// SendOrder sends an order with a lease until a time on the worker's clock.
	SendOrder(ctx context.Context, t Target, o planner.Order, fence task.Fence, until task.ClockMillis) (planner.OrderResult, error)
}

// link carries orders to one worker and its reports back. It is one shard of
// the state of workers, under its own lock.
type link struct {
	session *session
	name    id.Worker
	orders  *pipe.Queue[planner.Order]
	contact *dependency.Dependency
	wake    chan struct{}
	stop    context.CancelFunc

	mu       sync.Mutex
	target   Target
	clock    task.ClockMillis // the worker's clock at clockAt, at least
	clockAt  time.Time
	trusted  bool        // the last call was answered
	busy     bool        // runs on the worker are not known to have ended
	mixed    bool        // tasks fill beside tasks that serve
	unheard  bool        // the planner waits for a first report
	grant    time.Time   // when the last call that extends the lease was sent
	acked    task.EndSeq // stored by a cycle
	told     task.EndSeq // acknowledged to the worker
	reported task.EndSeq // highest end in the last report
	unlisted time.Time   // when the platform's list dropped the worker, or zero
}

func newLink(ctx context.Context, s *session, w task.Worker) *link {
	l := &link{session: s, name: w.ID, orders: pipe.NewQueue[planner.Order](orderLimit), wake: make(chan struct{}, 1),
		contact: dependency.New("worker "+string(w.ID), s.controller.config.Timer), unheard: true}
	l.target = Target{Worker: w.ID, Address: w.Address, Incarnation: w.Incarnation}
	ctx, l.stop = context.WithCancel(ctx)
	s.wg.Go(func() { l.poll(ctx) })
	s.wg.Go(func() {
		for {
			orders, ok := l.orders.TakeAll(ctx, 1)
			if !ok {
				return
			}
			l.carryOut(ctx, orders[0])
		}
	})
	return l
}

// moved takes over the present incarnation and address of the worker.
func (l *link) moved(w task.Worker) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w.Incarnation < l.target.Incarnation {
		return
	}
	anew := w.Incarnation != l.target.Incarnation || !l.unlisted.IsZero()
	if w.Incarnation != l.target.Incarnation {
		l.reset()
	}
	l.target = Target{Worker: w.ID, Address: w.Address, Incarnation: w.Incarnation}
	l.unlisted = time.Time{}
	if anew {
		l.unheard = true
		l.signal()
	}
}

// drop notes that the platform's list no longer has the worker.
func (l *link) drop(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unlisted = now
}

// gone reports whether the worker has been off the list for long.
func (l *link) gone(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.unlisted.IsZero() && now.Sub(l.unlisted) > goneTime
}

// reset forgets what an earlier incarnation told. The lock is held.
func (l *link) reset() {
	l.clock, l.clockAt, l.trusted = 0, time.Time{}, false
	l.acked, l.told, l.reported = 0, 0, 0
}

func (l *link) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// send queues an order. Orders reach the worker in turn.
func (l *link) send(o planner.Order) {
	if err := l.orders.Put(o); err != nil {
		klog.InfoS("order dropped", "event", "order", "worker", l.name, "task", o.Task.String(), "cause", err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.busy = true
	l.signal()
}

// release lets the link go on after a cycle has stored what a report told. Only
// its ends are acknowledged: a later report may wait for the next cycle.
func (l *link) release(e *reportEvent, busy, mixed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.report.Incarnation == l.target.Incarnation {
		l.acked = max(l.acked, e.lastEnd())
	}
	l.busy, l.mixed = busy, mixed
	l.signal()
}

// granted returns when the last call that extends the lease was sent.
func (l *link) granted() (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.grant, !l.grant.IsZero()
}

// until is the worker's clock in MaxLease from now, or zero when its clock is
// not known.
func (l *link) until(now time.Time) task.ClockMillis {
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
		pending, unheard, busy := l.acked > l.told, l.unheard, l.busy || l.unheard
		l.mu.Unlock()
		if !busy && pending {
			l.pause(ctx, ackPause)
			l.mu.Lock()
			busy = l.busy
			l.mu.Unlock()
		}
		if !busy && !pending {
			select {
			case <-l.wake:
			case <-ctx.Done():
			}
			continue
		}
		if l.ask(ctx, unheard || !busy) {
			l.pause(ctx, holdWait) // until the cycle has stored the report
			continue
		}
		_ = timer.Sleep(ctx, l.session.controller.config.Timer, probePause)
	}
}

// pause waits for a signal, for d at most.
func (l *link) pause(ctx context.Context, d time.Duration) {
	after := l.session.controller.config.Timer.After(d)
	defer after.Stop()
	select {
	case <-l.wake:
	case <-after.C:
	case <-ctx.Done():
	}
}

// ask makes one call for a report. Its answer comes at once if quick is true.
func (l *link) ask(ctx context.Context, quick bool) bool {
	clock := l.session.controller.config.Timer
	now := clock.Now()
	l.mu.Lock()
	target := l.target
	h := PollRequest{Fence: l.session.term.Fence, Acked: l.acked, Wait: holdWait}
	if l.mixed {
		h.Wait = mixedWait
	}
	if l.trusted {
		h.Until = l.until(now)
	}
	if h.Until > 0 {
		l.grant = now
	}
	if quick || !l.trusted || l.acked < l.reported {
		h.Wait = 0
	}
	l.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, h.Wait+holdTimeout)
	defer cancel()
	report, err := l.session.controller.config.Workers.Poll(call, target, h)
	if err != nil {
		l.failed(ctx, err)
		return false
	}
	l.mu.Lock()
	if report.Incarnation < l.target.Incarnation {
		l.mu.Unlock()
		return true // the platform's list already has the next life of the worker
	}
	if report.Incarnation != l.target.Incarnation {
		l.reset()
		l.target.Incarnation = report.Incarnation
	}
	l.clock, l.clockAt, l.told = report.Clock, clock.Now(), h.Acked
	// An answer that arrives late, as to a node that was suspended, is no newer
	// than the end of the wait.
	report.AsOf = now.Add(h.Wait)
	if l.clockAt.Before(report.AsOf) {
		report.AsOf = l.clockAt
	}
	l.trusted, l.unheard = true, false
	l.contact.Observe(nil)
	e := &reportEvent{link: l, sent: now, report: report}
	l.reported = max(l.reported, e.lastEnd())
	l.mu.Unlock()
	if err := l.session.events.Put(e); err != nil && ctx.Err() == nil {
		klog.InfoS("report dropped; the next one repeats it", "event", "report", "worker", l.name, "cause", err)
	}
	return true
}

// failed notes an unanswered call. The call may still extend the lease, so
// later calls to the worker grant nothing until one is answered.
func (l *link) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	l.mu.Lock()
	l.trusted = false
	l.mu.Unlock()
	l.contact.Observe(err)
}

type reportEvent struct {
	link   *link
	sent   time.Time
	report task.Report
}

func (e *reportEvent) apply(s *session, now time.Time, b *batch) {
	s.planner.HandleReport(now, e.sent, e.report)
	b.heard = append(b.heard, e)
}

// lastEnd is the highest end that the report tells of.
func (e *reportEvent) lastEnd() task.EndSeq {
	var last task.EndSeq
	for _, end := range e.report.Ends {
		last = max(last, end.Seq)
	}
	return last
}

type answerEvent struct {
	order  planner.Order
	answer planner.OrderResult
}

func (e *answerEvent) apply(s *session, now time.Time, _ *batch) {
	s.planner.HandleOrderResult(now, e.order, e.answer)
}

// carryOut sends one order, and sends it again if no answer comes.
func (l *link) carryOut(ctx context.Context, o planner.Order) {
	answer := planner.NotSent
	for attempt := range orderAttempts {
		now := l.session.controller.config.Timer.Now()
		l.mu.Lock()
		target, until := l.target, l.until(now)
		if until > 0 && o.Kind == planner.Start {
			l.grant = now
		}
		l.mu.Unlock()
		if !l.session.term.Valid() || now.After(o.SendDeadline()) || target.Incarnation != o.Incarnation || until == 0 {
			break
		}
		call, cancel := context.WithTimeout(ctx, orderTimeout)
		a, err := l.session.controller.config.Workers.SendOrder(call, target, o, l.session.term.Fence, until)
		cancel()
		if err == nil {
			// A refusal does not tell what became of an attempt without an answer.
			if answer != planner.Unanswered || a == planner.Accepted {
				answer = a
			}
			break
		}
		if ctx.Err() != nil {
			return
		}
		answer = planner.Unanswered
		klog.InfoS("order not answered", "event", "order", "kind", o.Kind, "task", o.Task.String(), "run", o.Run,
			"worker", o.Worker, "attempt", attempt+1, "cause", err)
	}
	if answer != planner.Accepted {
		klog.InfoS("order not accepted", "event", "order", "kind", o.Kind, "task", o.Task.String(), "run", o.Run,
			"worker", o.Worker, "answer", answer)
	}
	_ = l.session.events.Put(&answerEvent{order: o, answer: answer}) // refused only when the session is over or far behind
}
