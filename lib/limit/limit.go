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
	// burst is how much of a second's rate an account may use at once.
	burst = 0.25
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
	queueLimit, accountLimit int

	mu       sync.Mutex
	capacity unit.Slots
	running  int
	waiting  int
	meanTime float64 // seconds of service
	meanDev  float64 // mean deviation from meanTime
	accounts map[id.Account]*account
}

type account struct {
	limits  Account
	running int
	queue   []*Permit
	tokens  float64
	filled  time.Time
	fair    float64 // virtual time: work done by weight
}

// Permit is the right to run one request, now or when Ready is closed.
type Permit struct {
	// Ready is closed when the request may run or was dropped. It is nil when
	// it may run at once.
	Ready    chan struct{}
	owner    *account
	deadline time.Time
	// need is the time that must remain when the request starts.
	need    time.Duration
	started time.Time
	state   ticketState
}

type ticketState uint8

const (
	waiting ticketState = iota
	granted
	dropped
	released
)

// New returns a table with capacity 0, where every request waits.
func New(c Config) *Limiter {
	return &Limiter{queueLimit: c.MaxQueue, accountLimit: c.MaxAccountQueue, accounts: make(map[id.Account]*account)}
}

// SetCapacity sets how many requests may run at once on this node.
func (t *Limiter) SetCapacity(slots unit.Slots, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.capacity = slots
	t.grant(now)
}

// Admit returns a permit, or an Overloaded error with the time after which
// another try makes sense.
func (t *Limiter) Admit(limits Account, deadline, now time.Time) (*Permit, time.Duration, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.account(limits, now)
	if wait := a.takeToken(now); wait > 0 {
		return nil, max(wait, minRetryAfter), overloaded("rate", "send fewer requests a second")
	}
	ticket := &Permit{owner: a, deadline: deadline, need: t.need(deadline.Sub(now))}
	if len(a.queue) == 0 && t.mayRun(a) {
		t.start(ticket, now)
		return ticket, 0, nil
	}
	if err := t.checkQueue(a, ticket, now); err != nil {
		return nil, max(t.expectedWait(a), minRetryAfter), err
	}
	ticket.Ready = make(chan struct{})
	if len(a.queue) == 0 {
		a.fair = max(a.fair, t.minFair())
	}
	a.queue = append(a.queue, ticket)
	t.waiting++
	t.grant(now)
	return ticket, 0, nil
}

// Granted reports whether the request of a permit whose Ready is closed, or
// nil, may run. It is false when the request was dropped.
func (t *Limiter) Granted(ticket *Permit) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return ticket.state == granted
}

// Release ends a permit: the request ended, or its caller stopped waiting.
func (t *Limiter) Release(ticket *Permit, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch ticket.state {
	case granted:
		t.running--
		ticket.owner.running--
		t.learn(now.Sub(ticket.started).Seconds())
	case waiting:
		t.remove(ticket)
	}
	ticket.state = released
	t.grant(now)
}

// Load returns the numbers of running and of waiting requests.
func (t *Limiter) Load() (running, waiting int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.running, t.waiting
}

func (t *Limiter) account(limits Account, now time.Time) *account {
	a := t.accounts[limits.Name]
	if a == nil {
		a = &account{filled: now, tokens: math.Inf(1)}
		t.accounts[limits.Name] = a
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
	most := max(1, rate*burst)
	a.tokens = min(most, a.tokens+now.Sub(a.filled).Seconds()*rate)
	a.filled = now
	if a.tokens < 1 {
		return time.Duration((1 - a.tokens) / rate * float64(time.Second))
	}
	a.tokens--
	return 0
}

// mayRun reports whether an account may start one more request now.
func (t *Limiter) mayRun(a *account) bool {
	if a.limits.Concurrency > 0 && a.running >= a.limits.Concurrency {
		return false
	}
	return t.running < int(t.capacity)
}

func (t *Limiter) start(ticket *Permit, now time.Time) {
	a := ticket.owner
	ticket.state, ticket.started = granted, now
	if a.running == 0 && len(a.queue) == 0 {
		a.fair = max(a.fair, t.minFair())
	}
	a.running++
	a.fair += 1 / float64(a.limits.Weight)
	t.running++
}

// grant starts waiting requests while there is room, and drops those that can
// no longer be answered in time.
func (t *Limiter) grant(now time.Time) {
	for t.waiting > 0 && t.running < int(t.capacity) {
		a := t.next(now)
		if a == nil {
			return
		}
		ticket := a.queue[0]
		a.queue[0] = nil
		a.queue = a.queue[1:]
		t.waiting--
		t.start(ticket, now)
		close(ticket.Ready)
	}
}

// next returns the account whose turn it is: one under its guaranteed slots
// first, then the one that used least by its weight.
func (t *Limiter) next(now time.Time) *account {
	var best *account
	for _, a := range t.accounts {
		t.dropLate(a, now)
		if len(a.queue) == 0 || !t.mayRun(a) {
			continue
		}
		if best == nil || a.before(best) {
			best = a
		}
	}
	return best
}

func (a *account) before(b *account) bool {
	under, other := a.running < int(a.limits.Guaranteed), b.running < int(b.limits.Guaranteed)
	if under != other {
		return under
	}
	return a.fair < b.fair
}

// dropLate drops the requests at the head of an account's queue that can't be
// answered in time any more.
func (t *Limiter) dropLate(a *account, now time.Time) {
	for len(a.queue) > 0 && a.queue[0].deadline.Before(now.Add(a.queue[0].need)) {
		ticket := a.queue[0]
		a.queue = a.queue[1:]
		t.waiting--
		ticket.state = dropped
		close(ticket.Ready)
	}
}

// checkQueue refuses a request that finds the queue full or that could not be
// answered in time.
func (t *Limiter) checkQueue(a *account, ticket *Permit, now time.Time) error {
	// An account under its guaranteed slots always finds a place.
	guaranteed := a.running+len(a.queue) < 2*int(a.limits.Guaranteed)
	if !guaranteed && (t.waiting >= t.queueLimit || len(a.queue) >= t.accountLimit) {
		return overloaded("queue", "try again later")
	}
	if ticket.deadline.Before(now.Add(t.expectedWait(a) + ticket.need)) {
		return overloaded("deadline", "try again later, or with a later deadline")
	}
	return nil
}

// expectedWait estimates the wait of a new request of an account: its place in
// its own queue by the rate at which the account's share of slots becomes free.
func (t *Limiter) expectedWait(a *account) time.Duration {
	if t.capacity == 0 || t.meanTime == 0 {
		return 0
	}
	weights := 0
	for _, b := range t.accounts {
		if len(b.queue) > 0 || b.running > 0 || b == a {
			weights += b.limits.Weight
		}
	}
	slots := float64(t.capacity) * float64(a.limits.Weight) / float64(weights)
	slots = max(slots, float64(a.limits.Guaranteed))
	if c := a.limits.Concurrency; c > 0 {
		slots = min(slots, float64(c))
	}
	return time.Duration(float64(len(a.queue)+1) / slots * t.meanTime * float64(time.Second))
}

// need estimates the time that a request must have left when it starts. Four
// mean deviations above the mean cover 98% of exponential service times, so
// that few slots are spent on answers that come too late. A request with a
// short deadline needs at most most of it.
func (t *Limiter) need(left time.Duration) time.Duration {
	usual := time.Duration((t.meanTime + 4*t.meanDev) * float64(time.Second))
	return min(usual, left*7/10)
}

// learn adds a service time to the moving averages.
func (t *Limiter) learn(took float64) {
	if t.meanTime == 0 {
		t.meanTime = took
		return
	}
	t.meanDev += meanWeight * (math.Abs(took-t.meanTime) - t.meanDev)
	t.meanTime += meanWeight * (took - t.meanTime)
}

// minFair returns the least virtual time of the accounts that are active, so
// that an account that was idle can't claim the time it did not use.
func (t *Limiter) minFair() float64 {
	least := math.Inf(1)
	for _, a := range t.accounts {
		if a.running > 0 || len(a.queue) > 0 {
			least = min(least, a.fair)
		}
	}
	if math.IsInf(least, 1) {
		return 0
	}
	return least
}

func (t *Limiter) remove(ticket *Permit) {
	a := ticket.owner
	for i, w := range a.queue {
		if w == ticket {
			a.queue = append(a.queue[:i], a.queue[i+1:]...)
			t.waiting--
			return
		}
	}
}

func overloaded(field, remedy string) error {
	return problem.New(problem.Overloaded, problem.Detail{Field: field, Remedy: remedy})
}
