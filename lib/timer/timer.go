// Package timer is the source of time of all components. They read the time and
// subscribe to ticks through a Service, so that tests can replace the system
// clock with Manual, whose time changes only by Advance.
package timer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Service is a clock that sends ticks to subscribers.
type Service interface {
	// Now returns the current time. Differences between two results are
	// monotonic.
	Now() time.Time
	// Every returns a subscription that ticks once in each period. While the
	// subscriber has not received a tick, further ticks are dropped.
	Every(period time.Duration) *Subscription
	// After returns a subscription that ticks once, when d has elapsed.
	After(d time.Duration) *Subscription
}

// Subscription receives the ticks of a Service.
type Subscription struct {
	// C receives the time of each tick.
	C    <-chan time.Time
	stop func()
	once sync.Once
}

// Stop ends the subscription. No more ticks are sent to C. It may be called more
// than once.
func (s *Subscription) Stop() { s.once.Do(s.stop) }

// System is the Service that uses the system clock.
type System struct{}

func NewSystem() System { return System{} }

func (System) Now() time.Time { return time.Now() }

func (System) Every(period time.Duration) *Subscription {
	t := time.NewTicker(period)
	return &Subscription{C: t.C, stop: t.Stop}
}

func (System) After(d time.Duration) *Subscription {
	t := time.NewTimer(d)
	return &Subscription{C: t.C, stop: func() { t.Stop() }}
}

// Sleep waits until d has elapsed on the clock of s, or returns the error of ctx
// when ctx is done.
func Sleep(ctx context.Context, s Service, d time.Duration) error {
	sub := s.After(d)
	defer sub.Stop()
	select {
	case <-sub.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Jitter returns a random duration between d/2 and 3d/2, so that nodes that start
// at the same time do not send their requests at the same time.
func Jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return d/2 + rand.N(d)
}
