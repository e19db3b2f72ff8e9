package timer

import (
	"context"
	"sync"
	"time"
)

// Manual is a Service for tests whose time changes only by Advance.
type Manual struct {
	mu      sync.Mutex
	now     time.Time
	subs    map[*manualSub]struct{}
	changed chan struct{} // closed and replaced at each new subscription
}

type manualSub struct {
	c      chan time.Time
	next   time.Time
	period time.Duration // zero for a single tick
}

// NewManual returns a service whose initial time is start.
func NewManual(start time.Time) *Manual {
	return &Manual{now: start, subs: make(map[*manualSub]struct{}), changed: make(chan struct{})}
}

// Now returns the current time of m.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Every returns a subscription that ticks when Advance reaches the end of each
// period.
func (m *Manual) Every(period time.Duration) *Subscription { return m.subscribe(period, period) }

// After returns a subscription that ticks once, when Advance reaches d.
func (m *Manual) After(d time.Duration) *Subscription { return m.subscribe(d, 0) }

// Advance moves the time forward by d and sends the ticks that become due, the
// earliest first.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	end := m.now.Add(d)
	for {
		sub := m.earliest(end)
		if sub == nil {
			break
		}
		m.now = sub.next
		m.fire(sub)
	}
	m.now = end
}

// AwaitSubscribers waits until at least n subscriptions are open. Tests call it
// before Advance, so that the components under test have subscribed and receive
// the ticks.
func (m *Manual) AwaitSubscribers(ctx context.Context, n int) error {
	for {
		m.mu.Lock()
		open, changed := len(m.subs), m.changed
		m.mu.Unlock()
		if open >= n {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Subscribers returns the number of open subscriptions.
func (m *Manual) Subscribers() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.subs)
}

func (m *Manual) subscribe(first, period time.Duration) *Subscription {
	m.mu.Lock()
	defer m.mu.Unlock()
	sub := &manualSub{c: make(chan time.Time, 1), next: m.now.Add(first), period: period}
	m.subs[sub] = struct{}{}
	close(m.changed)
	m.changed = make(chan struct{})
	if first <= 0 {
		m.fire(sub)
	}
	return &Subscription{C: sub.c, stop: func() { m.remove(sub) }}
}

func (m *Manual) remove(sub *manualSub) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.subs, sub)
}

// earliest returns the subscription with the earliest tick up to end, or nil. The
// caller must hold m.mu.
func (m *Manual) earliest(end time.Time) *manualSub {
	var first *manualSub
	for sub := range m.subs {
		if sub.next.After(end) {
			continue
		}
		if first == nil || sub.next.Before(first.next) {
			first = sub
		}
	}
	return first
}

// fire sends the due tick of sub and schedules the next one, or closes a
// subscription for a single tick. The caller must hold m.mu.
func (m *Manual) fire(sub *manualSub) {
	select {
	case sub.c <- m.now:
	default:
	}
	if sub.period <= 0 {
		delete(m.subs, sub)
		return
	}
	sub.next = sub.next.Add(sub.period)
}
