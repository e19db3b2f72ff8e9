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

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"
)

const (
	// pollWait is how long a worker holds a poll open while none of its runs ends.
	pollWait = 2 * time.Second
	// colocatedPollWait is the wait for workers that run best-effort tasks beside
	// service tasks. Workers measure tail latency over half a second.
	colocatedPollWait = 500 * time.Millisecond
	// pollTimeoutMargin is added to the wait of a poll to get its timeout. A
	// worker answers within milliseconds.
	pollTimeoutMargin = 700 * time.Millisecond
	// ackDelay postpones the acknowledgement of the last ended runs on a worker,
	// so that it can be sent with the poll for the worker's next start.
	ackDelay = time.Second
	// pollRetryPause is the pause between polls of a worker that does not answer.
	// lateStartRetryPause replaces it while a start to the worker may be carried out late: if
	// the worker has restarted, nothing but the next poll keeps it from that.
	pollRetryPause      = 400 * time.Millisecond
	lateStartRetryPause = 100 * time.Millisecond
	// lateStartPollWait and lateStartTimeoutMargin replace pollWait and pollTimeoutMargin
	// where the late start would be a second run of its task. A restart behind a cut shows
	// only by polls that are not answered.
	lateStartPollWait      = 300 * time.Millisecond
	lateStartTimeoutMargin = 300 * time.Millisecond
	// maxMissedPolls is the number of polls in a row without an answer after which a worker
	// counts as silent. The platform leaves single calls without an answer.
	maxMissedPolls = 3
	// unlistedLinkRetention is how long a link is kept after its worker has left
	// the list. Entries that expired during a store outage return within seconds.
	unlistedLinkRetention = 30 * time.Second
)

// Target addresses one incarnation of a worker.
type Target struct {
	Worker      id.Worker
	Address     string
	Incarnation task.Incarnation
	// Zone and Rack are the location of the worker.
	Zone id.Zone
	Rack id.Rack
}

func targetOf(w task.Worker) Target {
	return Target{Worker: w.ID, Address: w.Address, Incarnation: w.Incarnation, Zone: w.Zone, Rack: w.Rack}
}

// PollRequest requests a report on a worker's runs and extends their lease.
type PollRequest struct {
	Fence task.Fence
	// Until is the new end of the lease of all runs, on the worker's clock. Zero
	// does not extend the lease.
	Until task.ClockMillis
	// Acked is the number of the last ended run that the owner has stored. The
	// worker stops reporting ended runs up to it.
	Acked task.EndSeq
	// Wait is how long the worker may hold the request open.
	Wait time.Duration
}

// Workers sends polls and orders to workers.
type Workers interface {
	Poll(ctx context.Context, t Target, req PollRequest) (task.Report, error)
	// SendOrder sends an order with a lease that ends at a time on the worker's
	// clock.
	SendOrder(ctx context.Context, t Target, o planner.Order, fence task.Fence, until task.ClockMillis) (planner.OrderResult, error)
}

// LoadObserver is implemented by Workers that adapt to the number of workers that the
// owner calls.
type LoadObserver interface {
	SetWorkers(n int)
}

// link sends orders to one worker and receives its reports. It is one shard of
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
	fence          task.Fence       // of all calls to the worker
	abortPoll      func()           // ends the poll in progress
	clock          task.ClockMillis // lower bound of the worker's clock at clockAt
	clockAt        time.Time
	answered       bool                         // the last poll was answered, and all starts since
	missedPolls    int                          // polls in a row that were not answered
	missedSince    time.Time                    // when the first of the last maxMissedPolls was sent
	busy           bool                         // some runs on the worker are not known to have ended
	lateRunMatters bool                         // a task that the worker may start late has another run, or waits for one
	colocated      bool                         // best-effort tasks run beside service tasks
	awaitingReport bool                         // the planner needs a first report
	requiredAt     time.Time                    // when awaitingReport became true
	reportArrived  chan struct{}                // closed when awaitingReport becomes false
	storedEnds     task.EndSeq                  // highest number stored by a cycle
	ackedEnds      task.EndSeq                  // highest number acknowledged to the worker
	reportedEnds   task.EndSeq                  // highest number in any report
	unlistedAt     time.Time                    // when the worker left the platform's list, or zero
	draining       bool                         // the worker accepts no more starts
	stopping       map[task.Name]task.RunNumber // runs whose order to stop is queued
	delivering     planner.Order
	deliveredEnd   bool // a report has listed the end of the run that delivering is about
	retrying       bool // an attempt to deliver a start had no answer
	// lateStartUntil is until when a start that had no answer may be carried out, also one
	// of an earlier owner.
	lateStartUntil time.Time
}

func newLink(ctx context.Context, s *session, w task.Worker) *link {
	l := &link{session: s, name: w.ID, orders: pipe.NewQueue[planner.Order](maxQueuedOrders), wake: make(chan struct{}, 1),
		health: dependency.New("worker "+string(w.ID), s.controller.config.Timer), awaitingReport: true, reportArrived: make(chan struct{}),
		fence: s.term.LastFence(), abortPoll: func() {}, stopping: make(map[task.Name]task.RunNumber)}
	l.target, l.draining = targetOf(w), w.Draining
	l.lateStartUntil, l.lateRunMatters = s.planner.LateStartUntil(w.ID), s.planner.AwaitsLateStart(w.ID)
	polling, stopPolling := context.WithCancel(ctx)
	sending, stopSending := context.WithCancel(s.sending)
	l.stop = func() {
		stopPolling()
		stopSending()
	}
	s.wg.Go(func() { l.poll(polling) })
	s.deliveries.Go(func() { l.deliverOrders(sending) })
	return l
}

// update applies a list entry of the worker, unless it is of an earlier
// incarnation.
func (l *link) update(w task.Worker) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w.Incarnation < l.target.Incarnation {
		return
	}
	if w.Incarnation != l.target.Incarnation {
		l.startIncarnation(w.Incarnation)
	}
	if !l.unlistedAt.IsZero() {
		l.requireReport()
	}
	l.target, l.draining = targetOf(w), l.draining || w.Draining
	l.unlistedAt = time.Time{}
}

// markUnlisted records that the platform's list no longer contains the worker.
func (l *link) markUnlisted(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unlistedAt = now
}

// expired reports whether the worker has been unlisted for longer than
// unlistedLinkRetention.
func (l *link) expired(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.unlistedAt.IsZero() && now.Sub(l.unlistedAt) > unlistedLinkRetention
}

// startIncarnation discards the state of the previous incarnation, and requests the
// first report of the new one. The lock is held.
func (l *link) startIncarnation(incarnation task.Incarnation) {
	l.target.Incarnation = incarnation
	l.clock, l.clockAt = 0, time.Time{}
	l.storedEnds, l.ackedEnds, l.reportedEnds = 0, 0, 0
	l.draining = false
	l.raiseFence("the worker has restarted")
}

// raiseFence ensures that the present incarnation of the worker carries out no earlier
// call once it has answered the next one. The platform may deliver a call seconds
// late, also to an incarnation for which it was not meant. Reports that were
// requested before do not count. The lock is held.
func (l *link) raiseFence(reason string) {
	l.fence = l.session.term.NextFence()
	l.answered = false
	l.abortPoll()
	l.requireReport()
	klog.InfoS("calls to the worker get a new fence", "event", "fence", "worker", l.name, "incarnation", l.target.Incarnation,
		"fence", l.fence, "reason", reason)
}

// requireReport polls the worker until it answers. Until then it gets no starts. The lock
// is held.
func (l *link) requireReport() {
	if !l.awaitingReport {
		l.awaitingReport, l.reportArrived = true, make(chan struct{})
		l.requiredAt = l.session.controller.config.Timer.Now()
	}
	l.signal()
}

func (l *link) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// confirmReport lets the link poll again after a cycle has stored the contents
// of a report. Only the ended runs of that report are acknowledged, because a
// later report may still wait for the next cycle.
func (l *link) confirmReport(e *reportEvent, busy, colocated, lateRunMatters bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.report.Incarnation == l.target.Incarnation {
		l.storedEnds = max(l.storedEnds, e.maxEndSeq())
	}
	if lateRunMatters && !l.lateRunMatters {
		// The next poll may have begun before this cycle was stored, with a wait in which the
		// worker could restart unnoticed.
		l.answered = false
		l.abortPoll()
	}
	l.busy, l.colocated, l.lateRunMatters = busy, colocated, lateRunMatters
	l.signal()
}

// leaseDeadline returns the latest time on the worker's clock that is certain to be
// no more than MaxLease from now, or zero when the clock is not known or leases may no
// longer be extended.
func (l *link) leaseDeadline(now time.Time) task.ClockMillis {
	if l.clockAt.IsZero() || !l.session.term.MayExtendLeases() {
		return 0
	}
	return l.clock + task.ClockMillis(planner.WorkerTime(now.Sub(l.clockAt)).Milliseconds()) +
		task.ClockMillis(l.session.controller.config.Planner.MaxLease.Milliseconds())
}

// mayStartLate reports whether the worker may still carry out a start that had no answer.
// The present incarnation rejects it by its fence. The next one has seen no fence, so it must
// be polled before the start reaches it. The lock is held.
func (l *link) mayStartLate() bool {
	return l.session.controller.config.Timer.Now().Before(l.lateStartUntil)
}

// poll requests reports as long as the worker is busy, has ended runs that are not
// acknowledged, or may carry out a start late.
func (l *link) poll(ctx context.Context) {
	for ctx.Err() == nil {
		l.mu.Lock()
		unacked, awaitingReport := l.storedEnds > l.ackedEnds, l.awaitingReport
		busy := l.busy || l.awaitingReport || l.mayStartLate()
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
		_ = timer.Sleep(ctx, l.session.controller.config.Timer, l.retryPause())
	}
}

// retryPause returns the pause after a poll that was not answered.
func (l *link) retryPause() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.mayStartLate() {
		return lateStartRetryPause
	}
	return pollRetryPause
}

// waitSignal waits for a signal for at most d.
func (l *link) waitSignal(ctx context.Context, d time.Duration) {
	after := l.session.controller.config.Timer.After(d)
	defer after.Stop()
	select {
	case <-l.wake:
	case <-after.C:
	case <-ctx.Done():
	}
}

// errPollReplaced ends a poll that is followed by one with another fence or wait.
var errPollReplaced = errors.New("replaced by the next poll")

// pollOnce polls the worker once and reports whether the next poll can follow at
// once. With immediate, the worker does not wait for a run to end.
func (l *link) pollOnce(ctx context.Context, immediate bool) bool {
	now := l.session.controller.config.Timer.Now()
	callCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	target, req, timeout := l.preparePoll(now, immediate, func() { cancel(errPollReplaced) })
	callCtx, stop := context.WithTimeout(callCtx, timeout)
	defer stop()
	report, err := l.session.controller.config.Workers.Poll(callCtx, target, req)
	if ctx.Err() != nil {
		return false
	}
	if err != nil && errors.Is(context.Cause(callCtx), errPollReplaced) {
		return true
	}
	if err != nil {
		return l.pollFailed(now, req, err)
	}
	if e := l.acceptReport(now, req, report); e != nil {
		if err := l.session.events.Put(e); err != nil && ctx.Err() == nil {
			klog.InfoS("report dropped; the next report repeats it", "event", "report", "worker", l.name, "cause", err)
		}
	}
	return true
}

// preparePoll returns the request and the timeout of the next poll, which abort ends early.
func (l *link) preparePoll(now time.Time, immediate bool, abort func()) (Target, PollRequest, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.abortPoll = abort
	req := PollRequest{Fence: l.fence, Wait: pollWait}
	if l.colocated {
		req.Wait = colocatedPollWait
	}
	// After a poll without an answer the worker may be another incarnation, with other
	// ended runs and another clock.
	if l.answered {
		req.Until = l.leaseDeadline(now)
		if l.storedEnds > l.ackedEnds {
			req.Acked = l.storedEnds
		}
	}
	if req.Until > 0 {
		l.session.recordLeaseGrant(l.name, now)
	}
	margin := pollTimeoutMargin
	if (l.lateRunMatters || l.missedPolls >= maxMissedPolls) && l.mayStartLate() {
		margin, req.Wait = lateStartTimeoutMargin, min(req.Wait, lateStartPollWait)
	}
	if immediate || !l.answered || l.storedEnds < l.reportedEnds {
		req.Wait = 0
	}
	return l.target, req, req.Wait + margin
}

// acceptReport records the answer to a poll that was sent at sent. It returns nil if
// the report does not count.
func (l *link) acceptReport(sent time.Time, req PollRequest, report task.Report) *reportEvent {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.fence != req.Fence, l.retrying:
		return nil
	case report.Incarnation < l.target.Incarnation:
		// The list has a later incarnation. If that is wrong, runs must not be kept on
		// record by the leases of a worker whose reports do not count.
		l.answered = false
		return nil
	case report.Incarnation != l.target.Incarnation:
		l.startIncarnation(report.Incarnation)
		return nil // calls to the previous incarnation may still take effect after this report
	}
	l.clock, l.clockAt, l.ackedEnds = report.Clock, l.session.controller.config.Timer.Now(), max(l.ackedEnds, req.Acked)
	// An answer that arrives late, for example because this node was suspended, is
	// no newer than the end of the wait.
	report.AsOf = sent.Add(req.Wait)
	if l.clockAt.Before(report.AsOf) {
		report.AsOf = l.clockAt
	}
	l.answered, l.missedPolls = true, 0
	if l.awaitingReport {
		l.awaitingReport = false
		close(l.reportArrived)
	}
	l.draining = l.draining || report.Draining
	l.health.Observe(nil)
	for _, end := range report.Ends {
		if end.Task == l.delivering.Task && end.Run == l.delivering.Run {
			l.deliveredEnd = true
		}
	}
	e := &reportEvent{link: l, sent: sent, report: report}
	l.reportedEnds = max(l.reportedEnds, e.maxEndSeq())
	return e
}

// pollFailed records that a poll sent at sent was not answered, and reports whether the next
// one can follow at once because it has a new fence. The poll may still extend the lease, so later polls
// do not extend it until one is answered.
func (l *link) pollFailed(sent time.Time, req PollRequest, err error) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fence != req.Fence {
		return true
	}
	l.answered = false
	l.health.Observe(err)
	if l.missedPolls%maxMissedPolls == 0 {
		l.missedSince = sent
	}
	if l.missedPolls++; l.missedPolls%maxMissedPolls == 0 && l.mayStartLate() {
		l.requireReport() // it is polled until it answers, and gets no starts before
		// It fails only if the session has ended or the queue is full, and is repeated.
		_ = l.session.events.Put(silentEvent{l.name, l.missedSince})
	}
	return false
}

// silentEvent is a worker that has answered none of maxMissedPolls polls, of which the first was
// sent at since.
type silentEvent struct {
	worker id.Worker
	since  time.Time
}

func (e silentEvent) apply(s *session, now time.Time, _ *deferredWork) {
	s.planner.WorkerSilent(now, e.since, e.worker)
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

// maxEndSeq returns the highest number of the ended runs in the report.
func (e *reportEvent) maxEndSeq() task.EndSeq {
	var highest task.EndSeq
	for _, end := range e.report.Ends {
		highest = max(highest, end.Seq)
	}
	return highest
}
