package scheduling_test

import (
	"testing"
	"testing/synctest"
	"time"

	"bronzewinch.dev/lib/burn"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/worker"

	"github.com/matryer/is"
)

// TestEvents guards against events for the burn report that are missing, are
// reported again after a takeover, or have a wrong time.
func TestEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness(t, 6, func(r worker.Ref) time.Duration {
			if r.Job == "claim" {
				return 20 * time.Second
			}
			return time.Hour
		})
		h.urgent = true
		h.submit("low1", 6, false)
		h.submit("low2", 6, false)
		h.advance(time.Second)
		h.submit("claim", 6, true)
		h.advance(3600 * time.Millisecond)
		h.replaceOwner()
		h.advance(time.Minute + 30*time.Second)
		count := make(map[string]int)
		for _, e := range h.events {
			switch e := e.(type) {
			case burn.UrgentStart:
				count["urgent"]++
				is.Equal(e.Job, id.Job("claim"))
				is.True(e.Elapsed > 0 && e.Elapsed <= 3600*time.Millisecond && !e.Abandoned)
			case burn.Reclaim:
				count["reclaim"]++
				is.Equal(e.Job, id.Job("claim"))
				is.True(e.Elapsed >= 0 && e.Elapsed <= 3600*time.Millisecond) // the clock advances in steps of 100 ms
			case burn.Completion:
				count["completion"]++
				is.Equal(e.Job, id.Job("claim"))
				is.True(e.RunTime >= 19*time.Second && e.Turnaround >= e.RunTime)
			case burn.Fragmentation:
				count["fragmentation"]++
			}
		}
		is.Equal(count, map[string]int{"urgent": 1, "reclaim": 1, "completion": 1, "fragmentation": 1})
		h.close()
	})
}
