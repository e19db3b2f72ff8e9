// Package limit decides which requests of a service run at once, wait in a
// queue or are rejected. Each account has a rate, a maximum concurrency and a
// number of guaranteed slots; the other slots are divided by weighted fair
// queueing. The queue is bounded, and requests that could not be answered
// before their deadline are rejected early. The package reads no clock: the
// time is a parameter. A queued request waits on the channel of its permit.
package limit

import (
	"math"
	"sync"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/unit"
)

const (
	// burstSeconds is how many seconds of its rate an account may use at once.
	burstSeconds = 0.25
	// meanWeight is the weight of the newest service time in the moving
	// averages.
	meanWeight = 0.05
	// minRetryAfter prevents immediate retries of rejected requests.
	minRetryAfter = 50 * time.Millisecond
)

// Account holds the limits of one account on this node.
type Account struct {
	Name id.Account
	// Rate is the maximum request rate, or zero for no limit.
	Rate unit.PerSecond
	// Concurrency is the maximum number of concurrent requests, or zero for no
	// limit.
	Concurrency int
	// Guaranteed is the number of slots for which the account has priority over
	// accounts that use at least their own guaranteed slots.
	Guaranteed unit.Slots
	// Weight is the account's weight in the division of the other slots. Values
	// below 1 count as 1.
	Weight int
}

// Config configures a Limiter.
type Config struct {
	// MaxQueue is the maximum number of queued requests of all accounts
	// together, and MaxAccountQueue that of one account.
	MaxQueue, MaxAccountQueue int
}

// Limiter applies the limits of one service on one node. A single lock protects
// its state, because fair queueing compares all accounts; each service has its
// own limiter.
type Limiter struct {
	maxQueue, maxAccountQueue int

	mu       sync.Mutex
	capacity unit.Slots
	running  int
	waiting  int
	meanTime float64 // moving average of the service time in seconds
	meanDev  float64 // moving average of the deviation from meanTime in seconds
	accounts map[id.Account]*account
}

type account struct {
	limits      Account
	running     int
	queue       []*Permit
	tokens      float64
	refilled    time.Time // when tokens was last computed
	virtualTime float64   // requests started, divided by the weight
}

// Permit is the right to run one request, at once or when Ready is closed.
type Permit struct {
	// Ready is closed when the request may run or was dropped from the queue.
	// It is nil when the request may run at once.
	Ready    chan struct{}
	account  *account
	deadline time.Time
	// minRemaining is the time that must remain when the request starts.
	minRemaining time.Duration
	started      time.Time
	state        permitState
}

type permitState uint8

const (
	waiting permitState = iota
	granted
	dropped
	released
)

// New returns a limiter with capacity 0, which queues every request.
func New(c Config) *Limiter {
	return &Limiter{maxQueue: c.MaxQueue, maxAccountQueue: c.MaxAccountQueue, accounts: make(map[id.Account]*account)}
}

// SetCapacity sets how many requests may run concurrently on this node.
func (l *Limiter) SetCapacity(slots unit.Slots, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.capacity = slots
	l.grantWaiting(now)
}

// Admit returns a permit; its request may have to wait until Ready is closed.
// If the request is rejected, Admit returns an Overloaded error and the time
// after which the caller may retry.
func (l *Limiter) Admit(limits Account, deadline, now time.Time) (*Permit, time.Duration, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.updateAccount(limits, now)
	if wait := a.takeToken(now); wait > 0 {
		return nil, max(wait, minRetryAfter), overloaded("rate", "send fewer requests a second")
	}
	permit := &Permit{account: a, deadline: deadline, minRemaining: l.minRemaining(deadline.Sub(now))}
	if len(a.queue) == 0 && l.canRun(a) {
		l.start(permit, now)
		return permit, 0, nil
	}
	if err := l.checkQueue(a, permit, now); err != nil {
		return nil, max(l.expectedWait(a), minRetryAfter), err
	}
	permit.Ready = make(chan struct{})
	if len(a.queue) == 0 {
		a.virtualTime = max(a.virtualTime, l.minVirtualTime())
	}
	a.queue = append(a.queue, permit)
	l.waiting++
	l.grantWaiting(now)
	return permit, 0, nil
}

// Granted reports whether the request may run, once Ready is closed or if it is
// nil. It returns false when the request was dropped from the queue.
func (l *Limiter) Granted(permit *Permit) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return permit.state == granted
}

// Release ends a permit, because the request ended or its caller no longer
// waits.
func (l *Limiter) Release(permit *Permit, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch permit.state {
	case granted:
		l.running--
		permit.account.running--
		l.recordServiceTime(now.Sub(permit.started).Seconds())
	case waiting:
		l.remove(permit)
	}
	permit.state = released
	l.grantWaiting(now)
}

// Load returns the numbers of running and of queued requests.
func (l *Limiter) Load() (running, waiting int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.running, l.waiting
}

// updateAccount sets the limits of an account and returns its state. It creates
// the state at the first request of the account.
func (l *Limiter) updateAccount(limits Account, now time.Time) *account {
	a := l.accounts[limits.Name]
	if a == nil {
		a = &account{refilled: now, tokens: math.Inf(1)}
		l.accounts[limits.Name] = a
	}
	limits.Weight = max(limits.Weight, 1)
	a.limits = limits
	return a
}

// takeToken takes a token from the account's token bucket. If there is none, it
// returns the time until the next token.
func (a *account) takeToken(now time.Time) time.Duration {
	rate := float64(a.limits.Rate)
	if rate <= 0 {
		return 0
	}
	maxTokens := max(1, rate*burstSeconds)
	a.tokens = min(maxTokens, a.tokens+now.Sub(a.refilled).Seconds()*rate)
	a.refilled = now
	if a.tokens < 1 {
		return time.Duration((1 - a.tokens) / rate * float64(time.Second))
	}
	a.tokens--
	return 0
}

// canRun reports whether an account may start one more request now.
func (l *Limiter) canRun(a *account) bool {
	if a.limits.Concurrency > 0 && a.running >= a.limits.Concurrency {
		return false
	}
	return l.running < int(l.capacity)
}

func (l *Limiter) start(permit *Permit, now time.Time) {
	a := permit.account
	permit.state, permit.started = granted, now
	if a.running == 0 && len(a.queue) == 0 {
		a.virtualTime = max(a.virtualTime, l.minVirtualTime())
	}
	a.running++
	a.virtualTime += 1 / float64(a.limits.Weight)
	l.running++
}

// grantWaiting starts queued requests while slots are free, and drops those
// that can no longer be answered before their deadline.
func (l *Limiter) grantWaiting(now time.Time) {
	for l.waiting > 0 && l.running < int(l.capacity) {
		a := l.nextAccount(now)
		if a == nil {
			return
		}
		permit := a.queue[0]
		a.queue[0] = nil
		a.queue = a.queue[1:]
		l.waiting--
		l.start(permit, now)
		close(permit.Ready)
	}
}

// nextAccount returns the account whose request starts next, or nil if none can
// start. An account below its guaranteed slots has priority, then the one with
// the lowest virtual time.
func (l *Limiter) nextAccount(now time.Time) *account {
	var best *account
	for _, a := range l.accounts {
		l.dropLate(a, now)
		if len(a.queue) == 0 || !l.canRun(a) {
			continue
		}
		if best == nil || a.hasPriorityOver(best) {
			best = a
		}
	}
	return best
}

// hasPriorityOver reports whether a queued request of a starts before one of
// other.
func (a *account) hasPriorityOver(other *account) bool {
	underGuarantee, otherUnderGuarantee := a.running < int(a.limits.Guaranteed), other.running < int(other.limits.Guaranteed)
	if underGuarantee != otherUnderGuarantee {
		return underGuarantee
	}
	return a.virtualTime < other.virtualTime
}

// dropLate drops requests at the head of an account's queue that can no longer
// be answered before their deadline.
func (l *Limiter) dropLate(a *account, now time.Time) {
	for len(a.queue) > 0 && a.queue[0].deadline.Before(now.Add(a.queue[0].minRemaining)) {
		permit := a.queue[0]
		a.queue = a.queue[1:]
		l.waiting--
		permit.state = dropped
		close(permit.Ready)
	}
}

// checkQueue rejects a request if the queue is full or if the request could not
// be answered before its deadline.
func (l *Limiter) checkQueue(a *account, permit *Permit, now time.Time) error {
	// An account may queue requests up to twice its guaranteed slots, including
	// the running ones, even if the queue is full, so that the requests of
	// other accounts do not keep it below its guarantee.
	guaranteed := a.running+len(a.queue) < 2*int(a.limits.Guaranteed)
	if !guaranteed && (l.waiting >= l.maxQueue || len(a.queue) >= l.maxAccountQueue) {
		return overloaded("queue", "retry later")
	}
	if permit.deadline.Before(now.Add(l.expectedWait(a) + permit.minRemaining)) {
		return overloaded("deadline", "retry later, or with a later deadline")
	}
	return nil
}

// expectedWait estimates how long a new request of an account would be queued:
// its position in the account's queue, divided by the rate at which slots of
// the account's weighted share become free.
func (l *Limiter) expectedWait(a *account) time.Duration {
	if l.capacity == 0 || l.meanTime == 0 {
		return 0
	}
	weights := 0
	for _, b := range l.accounts {
		if len(b.queue) > 0 || b.running > 0 || b == a {
			weights += b.limits.Weight
		}
	}
	slots := float64(l.capacity) * float64(a.limits.Weight) / float64(weights)
	slots = max(slots, float64(a.limits.Guaranteed))
	if c := a.limits.Concurrency; c > 0 {
		slots = min(slots, float64(c))
	}
	return time.Duration(float64(len(a.queue)+1) / slots * l.meanTime * float64(time.Second))
}

// minRemaining estimates the time that a request must have left when it starts.
// The mean plus four mean deviations covers 98% of exponentially distributed
// service times, so that few slots are used for responses that arrive after the
// deadline. The result is at most 70% of the remaining time, so that a request
// with a short deadline can be queued at all.
func (l *Limiter) minRemaining(remaining time.Duration) time.Duration {
	usual := time.Duration((l.meanTime + 4*l.meanDev) * float64(time.Second))
	return min(usual, remaining*7/10)
}

// recordServiceTime adds a service time to the moving averages.
func (l *Limiter) recordServiceTime(seconds float64) {
	if l.meanTime == 0 {
		l.meanTime = seconds
		return
	}
	l.meanDev += meanWeight * (math.Abs(seconds-l.meanTime) - l.meanDev)
	l.meanTime += meanWeight * (seconds - l.meanTime)
}

// minVirtualTime returns the lowest virtual time of the active accounts. An
// account that becomes active starts from it, so that it does not gain priority
// from the time in which it was idle.
func (l *Limiter) minVirtualTime() float64 {
	minimum := math.Inf(1)
	for _, a := range l.accounts {
		if a.running > 0 || len(a.queue) > 0 {
			minimum = min(minimum, a.virtualTime)
		}
	}
	if math.IsInf(minimum, 1) {
		return 0
	}
	return minimum
}

func (l *Limiter) remove(permit *Permit) {
	a := permit.account
	for i, queued := range a.queue {
		if queued == permit {
			a.queue = append(a.queue[:i], a.queue[i+1:]...)
			l.waiting--
			return
		}
	}
}

func overloaded(field, remedy string) error {
	return problem.New(problem.Overloaded, problem.Detail{Field: field, Remedy: remedy})
}
