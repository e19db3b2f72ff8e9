// Package route chooses a backend server for an attempt: in the near zone
// first, the less loaded of two random choices. Each entry node holds a fixed
// share of every backend server's slots and connections, so that all nodes
// together stay within them without a central counter. A node goes beyond its
// share of the slots only into those that a server reports as free. The
// package is pure: time and the node's position among the live nodes are
// passed in.
package route

import (
	"hash/fnv"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/unit"
)

// Backend is one backend server that may get requests.
type Backend struct {
	Name    id.Backend
	Address string
	Zone    id.Zone
}

// Position is this node's position among the live entry nodes, in the order of
// their names.
type Position struct {
	Rank, Count int
}

// Config configures a Table.
type Config struct {
	Zone        id.Zone // of this node
	Slots       unit.Slots
	Connections unit.Connections
}

// Table holds the backend servers of one service. The list of servers is
// replaced as a whole; the state of each server has its own lock.
type Table struct {
	zone        id.Zone
	slots       unit.Slots
	connections unit.Connections
	snapshot    atomic.Pointer[snapshot]
	ejected     atomic.Int32
	// failureRate is the recent part of attempts that failed, over all servers.
	failureRate movingAverage
	// medianTime is the median answer time of all servers in nanoseconds, and
	// medianAt the Unix time in nanoseconds when it was computed.
	medianTime, medianAt atomic.Int64
}

type snapshot struct {
	sameZone, otherZones []*server
	position             Position
}

// Reservation is the right to send one attempt to a server. It ends with Done.
type Reservation struct {
	Backend     Backend
	Connections unit.Connections // this node's share
	Probe       bool             // the server is ejected and this attempt tests it
	borrowed    bool             // beyond this node's share
	server      *server
	started     time.Time
}

// Query describes the attempt that needs a server.
type Query struct {
	Now time.Time
	// Avoid names the server of the previous attempt.
	Avoid id.Backend
	// AllowProbe allows an ejected server. It is false for a request that must
	// not end with an unknown outcome.
	AllowProbe bool
	// borrow allows slots beyond this node's share.
	borrow bool
}

// New returns a table without servers.
func New(c Config) *Table {
	t := &Table{zone: c.Zone, slots: c.Slots, connections: c.Connections}
	t.snapshot.Store(&snapshot{position: Position{Count: 1}})
	return t
}

// Update replaces the list of servers and the node's position. A server that
// is no longer listed gets nothing more from now on; one that comes back
// starts slowly. Update is called by one goroutine at a time.
func (t *Table) Update(backends []Backend, position Position, now time.Time) {
	old := t.snapshot.Load()
	initial := len(old.servers()) == 0
	previous := make(map[id.Backend]*server)
	for _, s := range old.servers() {
		previous[s.backend.Name] = s
	}
	next := &snapshot{position: position}
	for _, b := range backends {
		s := previous[b.Name]
		if s == nil || s.backend != b {
			s = newServer(b, t, now, !initial)
		} else {
			delete(previous, b.Name)
		}
		s.setShare(shareOf(int(t.slots), b.Name, position), unit.Connections(shareOf(int(t.connections), b.Name, position)))
		if b.Zone == t.zone {
			next.sameZone = append(next.sameZone, s)
		} else {
			next.otherZones = append(next.otherZones, s)
		}
	}
	t.snapshot.Store(next)
	for _, s := range previous {
		s.remove()
	}
}

// shareOf divides a total over the nodes. The remainder goes to other nodes
// for each server, by a hash of its name, and the shares of a server add up to
// the total exactly. With more nodes than the total, some nodes get none of a
// server: they use a subset of the servers.
func shareOf(total int, name id.Backend, position Position) int {
	if position.Count <= 1 {
		return total
	}
	hash := fnv.New32a()
	hash.Write([]byte(name))
	share := total / position.Count
	remainder := total % position.Count
	if (position.Rank+int(hash.Sum32()%uint32(position.Count)))%position.Count < remainder {
		share++
	}
	return share
}

// Capacity returns the number of attempts this node may have in progress.
func (t *Table) Capacity(now time.Time) unit.Slots {
	sum := unit.Slots(0)
	for _, s := range t.snapshot.Load().servers() {
		sum += unit.Slots(s.capacity(now))
	}
	return sum
}

// Pick chooses a server and takes one of this node's slots on it. It returns
// an Overloaded error when no server has a free slot in this node's share, and
// an Unavailable error when there are no servers.
func (t *Table) Pick(q Query) (Reservation, error) {
	current := t.snapshot.Load()
	if err := t.CheckServers(); err != nil {
		return Reservation{}, err
	}
	if res, ok := t.pickProbe(current, q); ok {
		return res, nil
	}
	for _, q.borrow = range [2]bool{false, current.position.Count > 1} {
		for _, group := range [2][]*server{current.sameZone, current.otherZones} {
			if res, ok := t.pickFrom(group, q); ok {
				return res, nil
			}
		}
	}
	return Reservation{}, problem.New(problem.Overloaded, problem.Detail{
		Field: "slots", Remedy: "try again later; all slots of this node's share are in use"})
}

// CheckServers returns an Unavailable error when there are no servers.
func (t *Table) CheckServers() error {
	if current := t.snapshot.Load(); len(current.sameZone)+len(current.otherZones) > 0 {
		return nil
	}
	return problem.New(problem.Unavailable, problem.Detail{
		Field: "service", Remedy: "try again when the service has backend servers"})
}

// pickProbe takes an ejected server whose probe is due. The choice by load avoids
// ejected servers, so without this they would not be tried again.
func (t *Table) pickProbe(current *snapshot, q Query) (Reservation, bool) {
	if !q.AllowProbe || t.ejected.Load() == 0 {
		return Reservation{}, false
	}
	for _, group := range [2][]*server{current.sameZone, current.otherZones} {
		for _, s := range group {
			if !s.ejected.Load() {
				continue
			}
			if res, ok := s.tryReserve(q); ok {
				return res, true
			}
		}
	}
	return Reservation{}, false
}

// pickFrom takes the less loaded of two random servers. When neither has a
// free slot it tries the others in order, from a random one.
func (t *Table) pickFrom(servers []*server, q Query) (Reservation, bool) {
	if len(servers) == 0 {
		return Reservation{}, false
	}
	a := servers[rand.IntN(len(servers))]
	b := servers[rand.IntN(len(servers))]
	if b.load(q.Now) < a.load(q.Now) {
		a, b = b, a
	}
	for _, s := range [2]*server{a, b} {
		if res, ok := s.tryReserve(q); ok {
			return res, true
		}
	}
	start := rand.IntN(len(servers))
	for i := range servers {
		if res, ok := servers[(start+i)%len(servers)].tryReserve(q); ok {
			return res, true
		}
	}
	return Reservation{}, false
}

// Done gives the slot of a reservation back and learns from the attempt.
func (t *Table) Done(res Reservation, report Report) { res.server.done(res, report) }

// tryEject counts one more ejected server, unless a third are ejected already.
func (t *Table) tryEject() bool {
	current := t.snapshot.Load()
	maxEjected := int32((len(current.sameZone) + len(current.otherZones)) / maxEjectedDivisor)
	for {
		n := t.ejected.Load()
		if n >= maxEjected {
			return false
		}
		if t.ejected.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

// medianResponseTime returns the median answer time of the servers, or 0 when fewer
// than three have one. It is computed at most once in medianMaxAge.
func (t *Table) medianResponseTime(now time.Time) time.Duration {
	at := t.medianAt.Load()
	if now.UnixNano()-at < int64(medianMaxAge) || !t.medianAt.CompareAndSwap(at, now.UnixNano()) {
		return time.Duration(t.medianTime.Load())
	}
	var times []time.Duration
	for _, s := range t.snapshot.Load().servers() {
		if d := s.meanTime.Load(); d > 0 {
			times = append(times, time.Duration(d))
		}
	}
	medianTime := time.Duration(0)
	if len(times) >= 3 {
		medianTime = median(times)
	}
	t.medianTime.Store(int64(medianTime))
	return medianTime
}

func (s *snapshot) servers() []*server {
	all := make([]*server, 0, len(s.sameZone)+len(s.otherZones))
	return append(append(all, s.sameZone...), s.otherZones...)
}
