// Package limit decides which requests of a service run now, wait or are
// refused: a rate and a concurrency for each account, slots that an account
// can always get, fair shares of the rest, and a bounded queue that refuses
// early what can't be answered in time. The package is pure: time is passed
// in, and a waiting request blocks on a channel of its own.
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
	// burstSeconds is how much of a second's rate an account may use at once.
	burstSeconds = 0.25
	// meanWeight is the weight of the newest service time in the average.
	meanWeight = 0.05
	// minRetryAfter keeps refused callers from asking again at once.
	minRetryAfter = 50 * time.Millisecond
)

// Account holds the limits of an account on this node.
type Account struct {
	Name id.Account
	// Rate is the greatest rate of requests, zero for no limit.
	Rate unit.PerSecond
	// Concurrency is the greatest number of requests in progress, zero for no
	// limit.
	Concurrency int
	// Guaranteed is the number of slots that the account gets before others.
	Guaranteed unit.Slots
	// Weight is the share of the slots that are over. It is at least 1.
	Weight int
}

// Config configures a Table.
type Config struct {
	// MaxQueue is the greatest number of waiting requests of all accounts, and
	// MaxAccountQueue of one account.
	MaxQueue, MaxAccountQueue int
}

// Limiter holds the limits of one service on one node. Its state has one lock,
// because fair shares compare all accounts; each service has its own table.
type Limiter struct {
	maxQueue, maxAccountQueue int

	mu       sync.Mutex
	capacity unit.Slots
	running  int
	waiting  int
	meanTime float64 // seconds of service
	meanDev  float64 // mean deviation from meanTime
	accounts map[id.Account]*account
}

type account struct {
	limits      Account
	running     int
	queue       []*Permit
	tokens      float64
	refilled    time.Time
	virtualTime float64 // virtual time: work done by weight
}

// Permit is the right to run one request, now or when Ready is closed.
type Permit struct {
	// Ready is closed when the request may run or was dropped. It is nil when
	// it may run at once.
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

// New returns a table with capacity 0, where every request waits.
func New(c Config) *Limiter {
	return &Limiter{maxQueue: c.MaxQueue, maxAccountQueue: c.MaxAccountQueue, accounts: make(map[id.Account]*account)}
}

// SetCapacity sets how many requests may run at once on this node.
func (l *Limiter) SetCapacity(slots unit.Slots, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.capacity = slots
	l.grantWaiting(now)
}

// Admit returns a permit, or an Overloaded error with the time after which
// another try makes sense.
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

// Granted reports whether the request of a permit whose Ready is closed, or
// nil, may run. It is false when the request was dropped.
func (l *Limiter) Granted(permit *Permit) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return permit.state == granted
}

// Release ends a permit: the request ended, or its caller stopped waiting.
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

// Load returns the numbers of running and of waiting requests.
func (l *Limiter) Load() (running, waiting int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.running, l.waiting
}

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

// takeToken takes a token of the rate, or returns when there will be one.
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

// grantWaiting starts waiting requests while there is room, and drops those that can
// no longer be answered in time.
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

// nextAccount returns the account whose turn it is: one under its guaranteed slots
// first, then the one that used least by its weight.
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

func (a *account) hasPriorityOver(other *account) bool {
	underGuarantee, otherUnderGuarantee := a.running < int(a.limits.Guaranteed), other.running < int(other.limits.Guaranteed)
	if underGuarantee != otherUnderGuarantee {
		return underGuarantee
	}
	return a.virtualTime < other.virtualTime
}

// dropLate drops the requests at the head of an account's queue that can't be
// answered in time any more.
func (l *Limiter) dropLate(a *account, now time.Time) {
	for len(a.queue) > 0 && a.queue[0].deadline.Before(now.Add(a.queue[0].minRemaining)) {
		permit := a.queue[0]
		a.queue = a.queue[1:]
		l.waiting--
		permit.state = dropped
		close(permit.Ready)
	}
}

// checkQueue refuses a request that finds the queue full or that could not be
// answered in time.
func (l *Limiter) checkQueue(a *account, permit *Permit, now time.Time) error {
	// An account under its guaranteed slots always finds a place.
	guaranteed := a.running+len(a.queue) < 2*int(a.limits.Guaranteed)
	if !guaranteed && (l.waiting >= l.maxQueue || len(a.queue) >= l.maxAccountQueue) {
		return overloaded("queue", "try again later")
	}
	if permit.deadline.Before(now.Add(l.expectedWait(a) + permit.minRemaining)) {
		return overloaded("deadline", "try again later, or with a later deadline")
	}
	return nil
}

// expectedWait estimates the wait of a new request of an account: its place in
// its own queue by the rate at which the account's share of slots becomes free.
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

// minRemaining estimates the time that a request must have left when it starts. Four
// mean deviations above the mean cover 98% of exponential service times, so
// that few slots are spent on answers that come too late. A request with a
// short deadline needs at most most of it.
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

// minVirtualTime returns the least virtual time of the accounts that are active, so
// that an account that was idle can't claim the time it did not use.
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
