package budget_test

import (
	"fmt"
	"testing"
	"time"

	"bronzewinch.dev/lib/budget"
	"bronzewinch.dev/lib/unit"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// TestSlowCrowdGivesWay guards against an ordinary client that is refused because a crowd
// holds all the memory, and against one that is closed for the crowd.
func TestSlowCrowdGivesWay(t *testing.T) {
	is := is.New(t)
	b := budget.New(budget.Config{Memory: 10 * unit.MiB, Connections: 100})
	now, closed := start, make(map[budget.Holder]bool)
	for range 50 {
		now = now.Add(10 * time.Millisecond)
		id, _ := b.Open(now, "crowd")
		evicted, ok := b.Hold(now, id, unit.MiB)
		is.True(ok)
		for _, e := range evicted {
			closed[e] = true
		}
		is.True(b.Held() <= 10*unit.MiB)
	}
	is.Equal(len(closed), 40)
	ordinary, _ := b.Open(now, "ordinary")
	evicted, ok := b.Hold(now, ordinary, 100*unit.KiB)
	is.True(ok)
	is.Equal(len(evicted), 1)
	for range 50 { // the crowd goes on
		id, _ := b.Open(now, "crowd")
		evicted, _ := b.Hold(now, id, unit.MiB)
		for _, e := range evicted {
			is.True(e != ordinary)
		}
	}
}

// TestLargestAndSlowestGivesWay guards against a client that is closed although another
// one holds more, or has made no progress for longer.
func TestLargestAndSlowestGivesWay(t *testing.T) {
	is := is.New(t)
	b := budget.New(budget.Config{Memory: 100, Connections: 10})
	hold := func(c budget.Client, at time.Time, bytes unit.Bytes) budget.Holder {
		id, _ := b.Open(at, c)
		_, ok := b.Hold(at, id, bytes)
		is.True(ok)
		return id
	}
	fast := hold("a", start.Add(9*time.Second), 40)
	slow := hold("a", start, 30)
	served := hold("b", start, 20)
	b.SetPhase(start, served, budget.Processing)
	next, _ := b.Open(start.Add(10*time.Second), "c")
	evicted, ok := b.Hold(start.Add(10*time.Second), next, 20)
	is.True(ok)
	is.Equal(evicted, []budget.Holder{slow}) // 30 bytes for 10 s, against 40 for 1 s
	_, ok = b.Hold(start.Add(10*time.Second), next, 90)
	is.True(!ok) // it would hold the most
	is.Equal(b.Held(), unit.Bytes(80))
	b.Close(fast)
	b.Close(slow)
	_, ok = b.Hold(start.Add(10*time.Second), next, 85)
	is.True(!ok) // a complete request gives way to nobody
	is.Equal(b.Held(), unit.Bytes(40))
}

// TestConnectionsGiveWay guards against a new connection that is not accepted while others
// are open and silent.
func TestConnectionsGiveWay(t *testing.T) {
	is := is.New(t)
	b := budget.New(budget.Config{Memory: unit.MiB, Connections: 3})
	first, _ := b.Open(start, "crowd")
	active, _ := b.Open(start, "crowd")
	_, _ = b.Open(start.Add(time.Second), "ordinary")
	b.Progress(start.Add(time.Second), active)
	_, evicted := b.Open(start.Add(2*time.Second), "ordinary")
	is.Equal(evicted, []budget.Holder{first})
	is.Equal(b.Connections(), 3)
	b.Close(first) // it was already counted as closed
	is.Equal(b.Connections(), 3)
}

// TestUnreadRepliesGiveWay guards against clients that don't take their replies and hold
// connections until nobody else gets one, and against a reply that is broken off although
// its client takes it.
func TestUnreadRepliesGiveWay(t *testing.T) {
	is := is.New(t)
	b := budget.New(budget.Config{Memory: unit.MiB, Connections: 3})
	unread, _ := b.Open(start, "crowd")
	b.SetPhase(start, unread, budget.Replying)
	processed, _ := b.Open(start, "crowd")
	b.SetPhase(start, processed, budget.Processing)
	now := start.Add(time.Second)
	prompt, _ := b.Open(now, "ordinary")
	b.SetPhase(now, prompt, budget.Replying)
	next, evicted := b.Open(now, "ordinary")
	is.Equal(evicted, []budget.Holder{unread})
	b.SetPhase(now, next, budget.Processing)
	last, evicted := b.Open(now, "ordinary")
	is.Equal(evicted, []budget.Holder{last}) // no other may be closed, so the new one is
	is.Equal(b.Connections(), 3)
}

// TestCountsStayExact guards against bytes or connections that stay counted after their
// holder has gone, until nobody is served any more.
func TestCountsStayExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := budget.New(budget.Config{Memory: 1000, Connections: 5})
		now := start
		var open []budget.Holder
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond)
			if len(open) == 0 || rapid.Bool().Draw(t, "open") {
				id, _ := b.Open(now, budget.Client(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "client"))))
				open = append(open, id)
			}
			id := open[rapid.IntRange(0, len(open)-1).Draw(t, "holder")]
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				b.Close(id)
			case 1:
				b.SetPhase(now, id, rapid.SampledFrom([]budget.Phase{budget.Reading, budget.Processing, budget.Replying}).Draw(t, "phase"))
			default:
				b.Hold(now, id, unit.Bytes(rapid.IntRange(0, 600).Draw(t, "bytes")))
			}
			if b.Held() < 0 || b.Held() > 1000 || b.Connections() < 0 {
				t.Fatalf("%d bytes and %d connections are counted", b.Held(), b.Connections())
			}
		}
		for _, id := range open {
			b.Close(id)
		}
		if b.Held() != 0 || b.Connections() != 0 {
			t.Fatalf("%d bytes and %d connections are counted without holders", b.Held(), b.Connections())
		}
	})
}
