package timer_test

import (
	"context"
	"testing"
	"time"

	"bronzewinch.dev/lib/timer"

	"github.com/matryer/is"
)

// TestManual guards against ticks of Manual that are early, late or duplicated,
// which would hide faults in all tests that use it.
func TestManual(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	m := timer.NewManual(start)
	every := m.Every(time.Second)
	once := m.After(1500 * time.Millisecond)
	m.Advance(999 * time.Millisecond)
	is.Equal(len(every.C), 0)
	m.Advance(time.Millisecond)
	is.Equal(<-every.C, start.Add(time.Second))
	m.Advance(time.Second)
	is.Equal(<-once.C, start.Add(1500*time.Millisecond))
	is.Equal(<-every.C, start.Add(2*time.Second))
	is.Equal(m.Subscribers(), 1) // the subscription for a single tick is closed
	every.Stop()
	every.Stop()
	is.Equal(m.Subscribers(), 0)
	is.Equal(m.Now(), start.Add(2*time.Second))
}

// TestSleepEndsWithContext guards against a shutdown that is delayed until a
// timer expires.
func TestSleepEndsWithContext(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.Equal(timer.Sleep(ctx, timer.NewManual(time.Unix(0, 0)), time.Hour), context.Canceled)
}
