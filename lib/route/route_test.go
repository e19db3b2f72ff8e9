package route_test

import (
	"fmt"
	"testing"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/route"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func servers(n int, zone id.Zone) []route.Backend {
	list := make([]route.Backend, n)
	for i := range list {
		name := fmt.Sprintf("%s-%d", zone, i)
		list[i] = route.Backend{Name: id.Backend(name), Address: name, Zone: zone}
	}
	return list
}

func table(backends []route.Backend, nodes route.Position) *route.Table {
	t := route.New(route.Config{Zone: "near", Slots: 8, Connections: 64})
	t.Update(backends, nodes, start)
	return t
}

// TestShares guards against backend servers that get more than their slots or
// connections from all entry nodes together, and against slots that no node
// uses.
func TestShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 12).Draw(t, "nodes")
		backends := servers(rapid.IntRange(1, 50).Draw(t, "backends"), "near")
		running := make(map[id.Backend]int)
		connections := make(map[id.Backend]int)
		for rank := range count {
			tab := table(backends, route.Position{Rank: rank, Count: count})
			seen := make(map[id.Backend]bool)
			for {
				l, err := tab.Pick(route.Query{Now: start})
				if err != nil {
					break
				}
				running[l.Backend.Name]++
				if !seen[l.Backend.Name] {
					connections[l.Backend.Name] += int(l.Connections)
				}
				seen[l.Backend.Name] = true
			}
		}
		for _, b := range backends {
			if running[b.Name] != 8 || connections[b.Name] > 64 {
				t.Fatalf("%s has %d running, %d connections", b.Name, running[b.Name], connections[b.Name])
			}
		}
	})
}

// TestNearFirst guards against requests that cross zones although the near
// zone has free slots, and against refusals while the far zones have some.
func TestNearFirst(t *testing.T) {
	is := is.New(t)
	tab := table(append(servers(2, "near"), servers(2, "far")...), route.Position{Count: 1})
	for i := range 32 {
		l, err := tab.Pick(route.Query{Now: start})
		is.NoErr(err)
		is.Equal(l.Backend.Zone == "near", i < 16)
	}
	_, err := tab.Pick(route.Query{Now: start})
	is.True(problem.Is(err, problem.Overloaded))
}

// TestLeaving guards against new work for a server that left, also by a list
// in use before, and against a returning server that is flooded at once.
func TestLeaving(t *testing.T) {
	is := is.New(t)
	all := servers(3, "near")
	tab := table(all, route.Position{Count: 1})
	tab.Update(all[1:], route.Position{Count: 1}, start)
	is.Equal(int(tab.Capacity(start)), 16)
	for range 16 {
		l, err := tab.Pick(route.Query{Now: start})
		is.NoErr(err)
		is.True(l.Backend.Name != all[0].Name)
	}
	tab.Update(all, route.Position{Count: 1}, start)
	is.True(tab.Capacity(start) <= 16+1)
	is.Equal(int(tab.Capacity(start.Add(time.Second))), 24)
}

// TestRefill guards against slots of an ended entry node that stay unused.
func TestRefill(t *testing.T) {
	is := is.New(t)
	all := servers(6, "near")
	tab := table(all, route.Position{Rank: 3, Count: 8})
	is.Equal(int(tab.Capacity(start)), 6)
	tab.Update(all, route.Position{Rank: 1, Count: 4}, start)
	is.Equal(int(tab.Capacity(start)), 12)
}

// drive sends requests one after the other for a while of simulated time.
func drive(tab *route.Table, from time.Time, n int, gap time.Duration,
	answer func(id.Backend) (route.Result, time.Duration)) (map[id.Backend]int, time.Time) {
	sent := make(map[id.Backend]int)
	now := from
	for range n {
		now = now.Add(gap)
		l, err := tab.Pick(route.Query{Now: now, AllowProbe: true})
		if err != nil {
			continue
		}
		sent[l.Backend.Name]++
		ending, took := answer(l.Backend.Name)
		tab.Done(l, route.Report{Now: now.Add(took), Result: ending, Load: -1})
	}
	return sent, now
}

// TestEjection guards against a server that goes on getting work while it
// can't be reached, loses or fails everything or is slow, and against one that
// is never tried again.
func TestEjection(t *testing.T) {
	for name, fault := range map[string]struct {
		ending route.Result
		took   time.Duration
	}{
		"unreachable":      {route.Unreachable, time.Millisecond},
		"loses answers":    {route.Lost, time.Millisecond},
		"fails everything": {route.ServerError, time.Millisecond},
		"slow":             {route.Succeeded, 500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tab := table(servers(9, "near"), route.Position{Count: 1})
			bad := true
			answer := func(b id.Backend) (route.Result, time.Duration) {
				if bad && b == "near-0" {
					return fault.ending, fault.took
				}
				return route.Succeeded, 20 * time.Millisecond
			}
			_, now := drive(tab, start, 2000, time.Millisecond, answer)
			sent, now := drive(tab, now, 2000, time.Millisecond, answer)
			is.True(sent["near-0"] < 20) // probes only; its even part is 222
			bad = false
			_, now = drive(tab, now, 40000, time.Millisecond, answer)
			sent, _ = drive(tab, now, 2000, time.Millisecond, answer)
			is.True(sent["near-0"] > 100)
		})
	}
}

// TestShortDeadlines guards against callers with short deadlines that make
// good servers look bad, and against a silent server that is never ejected.
func TestShortDeadlines(t *testing.T) {
	is := is.New(t)
	for wait, ejected := range map[time.Duration]bool{5 * time.Millisecond: false, 2 * time.Second: true} {
		tab := table(servers(9, "near"), route.Position{Count: 1})
		n := 0
		_, now := drive(tab, start, 12000, time.Millisecond, func(b id.Backend) (route.Result, time.Duration) {
			if n++; b == "near-0" && n > 500 {
				return route.TimedOut, wait
			}
			return route.Succeeded, 20 * time.Millisecond
		})
		is.Equal(int(tab.Capacity(now)) < 9*8, ejected)
	}
}

// TestEjectionBound guards against a wave of failures that removes a service.
func TestEjectionBound(t *testing.T) {
	is := is.New(t)
	tab := table(servers(9, "near"), route.Position{Count: 1})
	_, now := drive(tab, start, 5000, time.Millisecond, func(id.Backend) (route.Result, time.Duration) {
		return route.Unreachable, time.Millisecond
	})
	is.Equal(int(tab.Capacity(now)), 6*8)
}

// TestBusy guards against a server that is asked again right after it refused.
func TestBusy(t *testing.T) {
	is := is.New(t)
	tab := table(servers(1, "near"), route.Position{Count: 1})
	l, err := tab.Pick(route.Query{Now: start})
	is.NoErr(err)
	tab.Done(l, route.Report{Now: start, Result: route.Busy, Load: 8})
	_, err = tab.Pick(route.Query{Now: start})
	is.True(problem.Is(err, problem.Overloaded))
	_, err = tab.Pick(route.Query{Now: start.Add(5 * time.Millisecond)})
	is.NoErr(err)
}

// TestBorrow guards against slots that stay unused while the other nodes have
// no requests, and against a node that keeps them when the others come back or
// when nothing is known about their load.
func TestBorrow(t *testing.T) {
	is := is.New(t)
	tab := table(servers(1, "near"), route.Position{Rank: 0, Count: 4})
	report := func(from time.Time, n, load int, e route.Result) time.Time {
		for range n {
			from = from.Add(10 * time.Millisecond)
			l, err := tab.Pick(route.Query{Now: from})
			is.NoErr(err)
			tab.Done(l, route.Report{Now: from, Result: e, Load: load})
		}
		return from
	}
	is.Equal(int(tab.Capacity(start)), 2)
	now := report(start, 100, -1, route.Succeeded)
	is.Equal(int(tab.Capacity(now)), 2) // the server reports no load
	now = report(now, 250, 0, route.Succeeded)
	is.Equal(int(tab.Capacity(now)), 7) // one is left for a node that was idle
	is.Equal(int(tab.Capacity(now.Add(time.Second))), 2)
	now = report(now, 1, 4, route.Succeeded)
	is.Equal(int(tab.Capacity(now)), 3)
	now = report(now, 1, 6, route.Succeeded)
	is.Equal(int(tab.Capacity(now)), 2)
	now = report(now, 250, 0, route.Succeeded)
	now = report(now, 1, 0, route.Busy)
	is.Equal(int(tab.Capacity(now)), 2)
}

// TestBusySlot guards against a slot that runs a request whose answer was lost
// and that is asked for again every few milliseconds.
func TestBusySlot(t *testing.T) {
	is := is.New(t)
	tab := table(servers(3, "near"), route.Position{Count: 1})
	now := start
	for range 2 { // the usual answer time becomes 400 ms
		var leases []route.Reservation
		for range 24 {
			l, err := tab.Pick(route.Query{Now: now})
			is.NoErr(err)
			leases = append(leases, l)
		}
		now = now.Add(400 * time.Millisecond)
		for _, l := range leases {
			tab.Done(l, route.Report{Now: now, Result: route.Succeeded, Load: 0})
		}
	}
	var last route.Reservation
	for range 24 {
		var err error
		last, err = tab.Pick(route.Query{Now: now})
		is.NoErr(err)
	}
	tab.Done(last, route.Report{Now: now, Result: route.Busy, Load: 8})
	_, err := tab.Pick(route.Query{Now: now.Add(99 * time.Millisecond)})
	is.True(problem.Is(err, problem.Overloaded))
	_, err = tab.Pick(route.Query{Now: now.Add(100 * time.Millisecond)})
	is.NoErr(err)
}
