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

func table(capacity unit.Slots) *limit.Limiter {
	t := limit.New(limit.Config{MaxQueue: 1000, MaxAccountQueue: 500})
	t.SetCapacity(capacity, start)
	return t
}

func runs(t *limit.Limiter, k *limit.Permit) bool { return t.Granted(k) }

// TestRate guards against an account above its rate, and against a burst that
// adds up while the account is idle.
func TestRate(t *testing.T) {
	is := is.New(t)
	tab := table(1000)
	a := limit.Account{Name: "a", Rate: 100}
	now := start.Add(time.Hour)
	passed := 0
	for range 1000 {
		now = now.Add(time.Millisecond)
		k, wait, err := tab.Admit(a, now.Add(time.Second), now)
		if err != nil {
			is.True(problem.Is(err, problem.Overloaded))
			is.True(wait > 0)
			continue
		}
		passed++
		tab.Release(k, now)
	}
	is.True(passed >= 100 && passed <= 126) // the rate and a burst of a quarter
}

// TestConcurrency guards against an account above its concurrency, and against
// its queue that holds up others.
func TestConcurrency(t *testing.T) {
	is := is.New(t)
	tab := table(10)
	a := limit.Account{Name: "a", Concurrency: 2}
	var tickets []*limit.Permit
	for range 3 {
		k, _, err := tab.Admit(a, start.Add(time.Minute), start)
		is.NoErr(err)
		tickets = append(tickets, k)
	}
	is.True(runs(tab, tickets[1]))
	is.True(!runs(tab, tickets[2]))
	other, _, err := tab.Admit(limit.Account{Name: "b"}, start.Add(time.Minute), start)
	is.NoErr(err)
	is.True(runs(tab, other))
	tab.Release(tickets[0], start)
	is.True(runs(tab, tickets[2]))
}

// TestFairShares guards against an account that takes the slots of others by
// sending more, and against a guarantee that waits for others.
func TestFairShares(t *testing.T) {
	is := is.New(t)
	tab := table(10)
	accounts := []limit.Account{{Name: "flood", Weight: 1}, {Name: "heavy", Weight: 3}, {Name: "sure", Weight: 1, Guaranteed: 4}}
	far := start.Add(time.Hour)
	var tickets []*limit.Permit
	owner := make(map[*limit.Permit]id.Account)
	for range 200 {
		for _, a := range accounts {
			k, _, err := tab.Admit(a, far, start)
			is.NoErr(err)
			tickets = append(tickets, k)
			owner[k] = a.Name
		}
	}
	served := make(map[id.Account]float64)
	for range 200 { // the first running request ends
		i := slices.IndexFunc(tickets, func(k *limit.Permit) bool { return runs(tab, k) })
		served[owner[tickets[i]]]++
		tab.Release(tickets[i], start)
		tickets = slices.Delete(tickets, i, i+1)
	}
	is.True(served["sure"] >= 0.35*200) // 4 of 10 slots, less the start
	ratio := served["heavy"] / served["flood"]
	is.True(ratio > 2.5 && ratio < 3.5)
	tab = table(2)
	k1, _, _ := tab.Admit(accounts[0], far, start)
	_, _, _ = tab.Admit(accounts[0], far, start)
	waits, _, _ := tab.Admit(accounts[0], far, start)
	sure, _, _ := tab.Admit(accounts[2], far, start)
	tab.Release(k1, start)
	is.True(runs(tab, sure))
	is.True(!runs(tab, waits))
}

// TestDeadlines guards against slots spent on requests that can't be answered
// in time, and against a refusal that comes late.
func TestDeadlines(t *testing.T) {
	is := is.New(t)
	tab := table(1)
	a := limit.Account{Name: "a"}
	now := start
	for range 50 { // learn that a request takes 100 ms
		k, _, err := tab.Admit(a, now.Add(time.Second), now)
		is.NoErr(err)
		now = now.Add(100 * time.Millisecond)
		tab.Release(k, now)
	}
	running, _, _ := tab.Admit(a, now.Add(time.Second), now)
	soon, _, err := tab.Admit(a, now.Add(350*time.Millisecond), now)
	is.NoErr(err)
	_, wait, err := tab.Admit(a, now.Add(150*time.Millisecond), now)
	is.True(problem.Is(err, problem.Overloaded))
	is.True(wait >= 50*time.Millisecond)
	tab.Release(running, now.Add(340*time.Millisecond)) // 10 ms are too few
	<-soon.Ready
	is.True(!runs(tab, soon))
}

// TestQueueBound guards against memory that grows with the load.
func TestQueueBound(t *testing.T) {
	is := is.New(t)
	tab := table(1)
	refused := 0
	for i := range 3000 {
		name := id.Account([]string{"a", "b", "c"}[i%3])
		if _, _, err := tab.Admit(limit.Account{Name: name}, start.Add(time.Hour), start); err != nil {
			refused++
		}
	}
	_, waiting := tab.Load()
	is.Equal(waiting, 1000)
	is.Equal(refused, 1999)
}

// TestNeverAboveCapacity guards against a count that is wrong after any order
// of admissions, releases and changes of capacity.
func TestNeverAboveCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tab := table(3)
		capacity, now := 3, start
		var tickets []*limit.Permit
		granted := func() (n int) {
			for _, k := range tickets {
				if runs(tab, k) {
					n++
				}
			}
			return n
		}
		for _, op := range rapid.SliceOfN(rapid.IntRange(0, 9), 1, 100).Draw(t, "ops") {
			now = now.Add(time.Millisecond)
			before := granted()
			switch {
			case op < 5:
				a := limit.Account{Name: id.Account(rune('a' + op)), Weight: op, Concurrency: op, Guaranteed: unit.Slots(op % 2)}
				if k, _, err := tab.Admit(a, now.Add(20*time.Millisecond), now); err == nil {
					tickets = append(tickets, k)
				}
			case op < 8 && len(tickets) > 0:
				i := op % len(tickets)
				tab.Release(tickets[i], now)
				tickets = append(tickets[:i], tickets[i+1:]...)
			default:
				capacity = op - 5
				tab.SetCapacity(unit.Slots(capacity), now)
			}
			running, waiting := tab.Load()
			if running != granted() || running > max(capacity, before) || waiting < 0 {
				t.Fatalf("running %d, granted %d, waiting %d, capacity %d", running, granted(), waiting, capacity)
			}
		}
	})
}
