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

func newBackends(n int, zone id.Zone) []route.Backend {
	list := make([]route.Backend, n)
	for i := range list {
		name := fmt.Sprintf("%s-%d", zone, i)
		list[i] = route.Backend{Name: id.Backend(name), Address: name, Zone: zone}
	}
	return list
}

func newTable(backends []route.Backend, position route.Position) *route.Table {
	t := route.New(route.Config{Zone: "near", Slots: 8, Connections: 64})
	t.Update(backends, position, start)
	return t
}

// TestShares guards against entry nodes whose shares together exceed a server's
// slots or connections, and against slots that are in no node's share.
func TestShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 12).Draw(t, "nodes")
		backends := newBackends(rapid.IntRange(1, 50).Draw(t, "backends"), "near")
		running := make(map[id.Backend]int)
		connections := make(map[id.Backend]int)
		for rank := range count {
			table := newTable(backends, route.Position{Rank: rank, Count: count})
			seen := make(map[id.Backend]bool)
			for {
				res, err := table.Pick(route.Query{Now: start})
				if err != nil {
					break
				}
				running[res.Backend.Name]++
				if !seen[res.Backend.Name] {
					connections[res.Backend.Name] += int(res.Connections)
				}
				seen[res.Backend.Name] = true
			}
		}
		for _, b := range backends {
			if running[b.Name] != 8 || connections[b.Name] > 64 {
				t.Fatalf("%s has %d running, %d connections", b.Name, running[b.Name], connections[b.Name])
			}
		}
	})
}

// TestSameZoneFirst guards against requests that are sent to another zone while
// the node's own zone has free slots, and against rejection while another zone
// has free slots.
func TestSameZoneFirst(t *testing.T) {
	is := is.New(t)
	table := newTable(append(newBackends(2, "near"), newBackends(2, "far")...), route.Position{Count: 1})
	for i := range 32 {
		res, err := table.Pick(route.Query{Now: start})
		is.NoErr(err)
		is.Equal(res.Backend.Zone == "near", i < 16)
	}
	_, err := table.Pick(route.Query{Now: start})
	is.True(problem.Is(err, problem.Overloaded))
}

// TestRemovedServer guards against new attempts to a server that was removed
// from the list, also through the list from before the removal, and against
// full load on a server right after it was added again.
func TestRemovedServer(t *testing.T) {
	is := is.New(t)
	all := newBackends(3, "near")
	table := newTable(all, route.Position{Count: 1})
	table.Update(all[1:], route.Position{Count: 1}, start)
	is.Equal(int(table.Capacity(start)), 16)
	for range 16 {
		res, err := table.Pick(route.Query{Now: start})
		is.NoErr(err)
		is.True(res.Backend.Name != all[0].Name)
	}
	table.Update(all, route.Position{Count: 1}, start)
	is.True(table.Capacity(start) <= 16+1)
	is.Equal(int(table.Capacity(start.Add(time.Second))), 24)
}

// TestShareAfterNodeLeft guards against slots that stay unused because they
// were in the share of an entry node that ended.
func TestShareAfterNodeLeft(t *testing.T) {
	is := is.New(t)
	all := newBackends(6, "near")
	table := newTable(all, route.Position{Rank: 3, Count: 8})
	is.Equal(int(table.Capacity(start)), 6)
	table.Update(all, route.Position{Rank: 1, Count: 4}, start)
	is.Equal(int(table.Capacity(start)), 12)
}

// sendRequests sends n requests one after the other, one per interval of
// simulated time. It returns the number of requests to each server and the time
// of the last one.
func sendRequests(table *route.Table, from time.Time, n int, interval time.Duration,
	respond func(id.Backend) (route.Result, time.Duration)) (map[id.Backend]int, time.Time) {
	sent := make(map[id.Backend]int)
	now := from
	for range n {
		now = now.Add(interval)
		res, err := table.Pick(route.Query{Now: now, AllowProbe: true})
		if err != nil {
			continue
		}
		sent[res.Backend.Name]++
		result, elapsed := respond(res.Backend.Name)
		table.Done(res, route.Report{Now: now.Add(elapsed), Result: result, Load: -1})
	}
	return sent, now
}

// TestEjection guards against a server that still receives requests while it is
// unreachable, loses responses, fails every request or is slow, and against a
// server that is not used again after it recovered.
func TestEjection(t *testing.T) {
	for name, fault := range map[string]struct {
		result  route.Result
		elapsed time.Duration
	}{
		"unreachable":      {route.Unreachable, time.Millisecond},
		"loses answers":    {route.Lost, time.Millisecond},
		"fails everything": {route.ServerError, time.Millisecond},
		"slow":             {route.Succeeded, 500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := newTable(newBackends(9, "near"), route.Position{Count: 1})
			faulty := true
			respond := func(b id.Backend) (route.Result, time.Duration) {
				if faulty && b == "near-0" {
					return fault.result, fault.elapsed
				}
				return route.Succeeded, 20 * time.Millisecond
			}
			_, now := sendRequests(table, start, 2000, time.Millisecond, respond)
			sent, now := sendRequests(table, now, 2000, time.Millisecond, respond)
			is.True(sent["near-0"] < 20) // only probes; an equal share would be 222
			faulty = false
			_, now = sendRequests(table, now, 40000, time.Millisecond, respond)
			sent, _ = sendRequests(table, now, 2000, time.Millisecond, respond)
			is.True(sent["near-0"] > 100)
		})
	}
}

// TestShortDeadlines guards against the ejection of working servers because of
// requests with short deadlines, and against a server that never responds and
// is not ejected.
func TestShortDeadlines(t *testing.T) {
	is := is.New(t)
	for timeout, ejected := range map[time.Duration]bool{5 * time.Millisecond: false, 2 * time.Second: true} {
		table := newTable(newBackends(9, "near"), route.Position{Count: 1})
		n := 0
		_, now := sendRequests(table, start, 12000, time.Millisecond, func(b id.Backend) (route.Result, time.Duration) {
			if n++; b == "near-0" && n > 500 {
				return route.TimedOut, timeout
			}
			return route.Succeeded, 20 * time.Millisecond
		})
		is.Equal(int(table.Capacity(now)) < 9*8, ejected)
	}
}

// TestMaxEjected guards against the ejection of all servers of a service when
// every attempt fails.
func TestMaxEjected(t *testing.T) {
	is := is.New(t)
	table := newTable(newBackends(9, "near"), route.Position{Count: 1})
	_, now := sendRequests(table, start, 5000, time.Millisecond, func(id.Backend) (route.Result, time.Duration) {
		return route.Unreachable, time.Millisecond
	})
	is.Equal(int(table.Capacity(now)), 6*8)
}

// TestBusyBackoff guards against an immediate new attempt on a server that just
// rejected one as busy.
func TestBusyBackoff(t *testing.T) {
	is := is.New(t)
	table := newTable(newBackends(1, "near"), route.Position{Count: 1})
	res, err := table.Pick(route.Query{Now: start})
	is.NoErr(err)
	table.Done(res, route.Report{Now: start, Result: route.Busy, Load: 8})
	_, err = table.Pick(route.Query{Now: start})
	is.True(problem.Is(err, problem.Overloaded))
	_, err = table.Pick(route.Query{Now: start.Add(5 * time.Millisecond)})
	is.NoErr(err)
}

// TestBorrow guards against slots that stay unused while the other nodes have
// no requests, and against a node that exceeds its share when the load of the
// others returns, when it is unknown, or after a busy rejection.
func TestBorrow(t *testing.T) {
	is := is.New(t)
	table := newTable(newBackends(1, "near"), route.Position{Rank: 0, Count: 4})
	report := func(from time.Time, n, load int, result route.Result) time.Time {
		for range n {
			from = from.Add(10 * time.Millisecond)
			res, err := table.Pick(route.Query{Now: from})
			is.NoErr(err)
			table.Done(res, route.Report{Now: from, Result: result, Load: load})
		}
		return from
	}
	is.Equal(int(table.Capacity(start)), 2)
	now := report(start, 100, -1, route.Succeeded)
	is.Equal(int(table.Capacity(now)), 2) // the server reports no load
	now = report(now, 250, 0, route.Succeeded)
	is.Equal(int(table.Capacity(now)), 7) // one slot stays free for a node that was idle
	is.Equal(int(table.Capacity(now.Add(time.Second))), 2)
	now = report(now, 1, 4, route.Succeeded)
	is.Equal(int(table.Capacity(now)), 3)
	now = report(now, 1, 6, route.Succeeded)
	is.Equal(int(table.Capacity(now)), 2)
	now = report(now, 250, 0, route.Succeeded)
	now = report(now, 1, 0, route.Busy)
	is.Equal(int(table.Capacity(now)), 2)
}

// TestBusyHold guards against new attempts every few milliseconds on a slot in
// which the server still runs a request whose response was lost.
func TestBusyHold(t *testing.T) {
	is := is.New(t)
	table := newTable(newBackends(3, "near"), route.Position{Count: 1})
	now := start
	for range 2 { // the median response time becomes 400 ms
		var reservations []route.Reservation
		for range 24 {
			res, err := table.Pick(route.Query{Now: now})
			is.NoErr(err)
			reservations = append(reservations, res)
		}
		now = now.Add(400 * time.Millisecond)
		for _, res := range reservations {
			table.Done(res, route.Report{Now: now, Result: route.Succeeded, Load: 0})
		}
	}
	var last route.Reservation
	for range 24 {
		var err error
		last, err = table.Pick(route.Query{Now: now})
		is.NoErr(err)
	}
	table.Done(last, route.Report{Now: now, Result: route.Busy, Load: 8})
	_, err := table.Pick(route.Query{Now: now.Add(99 * time.Millisecond)})
	is.True(problem.Is(err, problem.Overloaded))
	_, err = table.Pick(route.Query{Now: now.Add(100 * time.Millisecond)})
	is.NoErr(err)
}
