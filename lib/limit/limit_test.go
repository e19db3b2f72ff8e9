package limit_test

import (
	"slices"
	"testing"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/limit"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/unit"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func newLimiter(capacity unit.Slots) *limit.Limiter {
	l := limit.New(limit.Config{MaxQueue: 1000, MaxAccountQueue: 500})
	l.SetCapacity(capacity, start)
	return l
}

func granted(l *limit.Limiter, p *limit.Permit) bool { return l.Granted(p) }

// TestRate guards against an account that exceeds its rate, and against a burst
// that grows while the account is idle.
func TestRate(t *testing.T) {
	is := is.New(t)
	l := newLimiter(1000)
	a := limit.Account{Name: "a", Rate: 100}
	now := start.Add(time.Hour)
	passed := 0
	for range 1000 {
		now = now.Add(time.Millisecond)
		p, wait, err := l.Admit(a, now.Add(time.Second), now)
		if err != nil {
			is.True(problem.Is(err, problem.Overloaded))
			is.True(wait > 0)
			continue
		}
		passed++
		l.Release(p, now)
	}
	is.True(passed >= 100 && passed <= 126) // the rate, and a burst of 0.25 s of it
}

// TestConcurrency guards against an account that exceeds its concurrency, and
// against its queued requests blocking other accounts.
func TestConcurrency(t *testing.T) {
	is := is.New(t)
	l := newLimiter(10)
	a := limit.Account{Name: "a", Concurrency: 2}
	var permits []*limit.Permit
	for range 3 {
		p, _, err := l.Admit(a, start.Add(time.Minute), start)
		is.NoErr(err)
		permits = append(permits, p)
	}
	is.True(granted(l, permits[1]))
	is.True(!granted(l, permits[2]))
	other, _, err := l.Admit(limit.Account{Name: "b"}, start.Add(time.Minute), start)
	is.NoErr(err)
	is.True(granted(l, other))
	l.Release(permits[0], start)
	is.True(granted(l, permits[2]))
}

// TestFairShares guards against an account that gets more than its weighted
// share by sending more requests, and against guaranteed slots that are not
// given priority.
func TestFairShares(t *testing.T) {
	is := is.New(t)
	l := newLimiter(10)
	accounts := []limit.Account{{Name: "flood", Weight: 1}, {Name: "heavy", Weight: 3}, {Name: "sure", Weight: 1, Guaranteed: 4}}
	deadline := start.Add(time.Hour)
	var permits []*limit.Permit
	owner := make(map[*limit.Permit]id.Account)
	for range 200 {
		for _, a := range accounts {
			p, _, err := l.Admit(a, deadline, start)
			is.NoErr(err)
			permits = append(permits, p)
			owner[p] = a.Name
		}
	}
	served := make(map[id.Account]float64)
	for range 200 { // the oldest running request ends
		i := slices.IndexFunc(permits, func(p *limit.Permit) bool { return granted(l, p) })
		served[owner[permits[i]]]++
		l.Release(permits[i], start)
		permits = slices.Delete(permits, i, i+1)
	}
	is.True(served["sure"] >= 0.35*200) // 4 of 10 slots, less at the start
	ratio := served["heavy"] / served["flood"]
	is.True(ratio > 2.5 && ratio < 3.5)
	l = newLimiter(2)
	first, _, _ := l.Admit(accounts[0], deadline, start)
	_, _, _ = l.Admit(accounts[0], deadline, start)
	queued, _, _ := l.Admit(accounts[0], deadline, start)
	guaranteed, _, _ := l.Admit(accounts[2], deadline, start)
	l.Release(first, start)
	is.True(granted(l, guaranteed))
	is.True(!granted(l, queued))
}

// TestDeadlines guards against slots used for requests that can't be answered
// before their deadline, and against such requests being rejected only after
// they waited.
func TestDeadlines(t *testing.T) {
	is := is.New(t)
	l := newLimiter(1)
	a := limit.Account{Name: "a"}
	now := start
	for range 50 { // the mean service time becomes 100 ms
		p, _, err := l.Admit(a, now.Add(time.Second), now)
		is.NoErr(err)
		now = now.Add(100 * time.Millisecond)
		l.Release(p, now)
	}
	running, _, _ := l.Admit(a, now.Add(time.Second), now)
	queued, _, err := l.Admit(a, now.Add(350*time.Millisecond), now)
	is.NoErr(err)
	_, wait, err := l.Admit(a, now.Add(150*time.Millisecond), now)
	is.True(problem.Is(err, problem.Overloaded))
	is.True(wait >= 50*time.Millisecond)
	l.Release(running, now.Add(340*time.Millisecond)) // the 10 ms that remain are too short
	<-queued.Ready
	is.True(!granted(l, queued))
}

// TestQueueBound guards against a queue whose memory grows with the load.
func TestQueueBound(t *testing.T) {
	is := is.New(t)
	l := newLimiter(1)
	rejected := 0
	for i := range 3000 {
		name := id.Account([]string{"a", "b", "c"}[i%3])
		if _, _, err := l.Admit(limit.Account{Name: name}, start.Add(time.Hour), start); err != nil {
			rejected++
		}
	}
	_, waiting := l.Load()
	is.Equal(waiting, 1000)
	is.Equal(rejected, 1999)
}

// TestNeverAboveCapacity guards against wrong counts of running requests after
// any order of admissions, releases and changes of the capacity.
func TestNeverAboveCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLimiter(3)
		capacity, now := 3, start
		var permits []*limit.Permit
		countGranted := func() (n int) {
			for _, p := range permits {
				if granted(l, p) {
					n++
				}
			}
			return n
		}
		for _, op := range rapid.SliceOfN(rapid.IntRange(0, 9), 1, 100).Draw(t, "ops") {
			now = now.Add(time.Millisecond)
			before := countGranted()
			switch {
			case op < 5:
				a := limit.Account{Name: id.Account(rune('a' + op)), Weight: op, Concurrency: op, Guaranteed: unit.Slots(op % 2)}
				if p, _, err := l.Admit(a, now.Add(20*time.Millisecond), now); err == nil {
					permits = append(permits, p)
				}
			case op < 8 && len(permits) > 0:
				i := op % len(permits)
				l.Release(permits[i], now)
				permits = append(permits[:i], permits[i+1:]...)
			default:
				capacity = op - 5
				l.SetCapacity(unit.Slots(capacity), now)
			}
			running, waiting := l.Load()
			if running != countGranted() || running > max(capacity, before) || waiting < 0 {
				t.Fatalf("running %d, granted %d, waiting %d, capacity %d", running, countGranted(), waiting, capacity)
			}
		}
	})
}
