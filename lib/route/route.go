// Package route chooses a backend server for each attempt: servers in the
// node's own zone first, and among them the less loaded of two chosen at
// random. Each entry node has a fixed share of every server's slots and
// connections, so that all nodes together stay within the server's limits
// without a central counter. A node exceeds its share of the slots only by
// those that a server reports as free. The package reads no clock and no
// cluster state: the time and the node's position among the live nodes are
// parameters.
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

// Backend is a backend server that can receive requests.
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

// Config configures a Table. Slots and Connections are the limits of each
// backend server, over all entry nodes.
type Config struct {
	Zone        id.Zone // of this node
	Slots       unit.Slots
	Connections unit.Connections
}

// Table holds the backend servers of one service. Update replaces the list of
// servers atomically; the state of each server has its own lock.
type Table struct {
	zone        id.Zone
	slots       unit.Slots
	connections unit.Connections
	snapshot    atomic.Pointer[snapshot]
	ejected     atomic.Int32
	// failureRate is the moving average of the share of failed attempts, over
	// all servers.
	failureRate movingAverage
	// medianTime is the median response time of all servers in nanoseconds, and
	// medianAt the Unix time in nanoseconds at which it was computed.
	medianTime, medianAt atomic.Int64
}

// snapshot is one version of the server list and of the node's position.
type snapshot struct {
	sameZone, otherZones []*server
	position             Position
}

// Reservation is one slot on a server, reserved for one attempt. Done releases
// it.
type Reservation struct {
	Backend     Backend
	Connections unit.Connections // this node's share of the server's connections
	Probe       bool             // the server is ejected and this attempt is a probe
	borrowed    bool             // the slot is beyond this node's share
	server      *server
	started     time.Time
}

// Query describes the attempt for which Pick chooses a server.
type Query struct {
	Now time.Time
	// Avoid is the server of the previous attempt. It is chosen only when it is
	// the only server.
	Avoid id.Backend
	// AllowProbe permits the use of an ejected server. It must be false for a
	// request that must not end with an unknown outcome.
	AllowProbe bool
	// borrow permits slots beyond this node's share.
	borrow bool
}

// New returns a table without servers.
func New(c Config) *Table {
	t := &Table{zone: c.Zone, slots: c.Slots, connections: c.Connections}
	t.snapshot.Store(&snapshot{position: Position{Count: 1}})
	return t
}

// Update replaces the list of servers and the node's position. A server that is
// no longer listed receives no new attempts. A server that is added to an
// existing list, or added again, goes through slow start. Update must not be
// called concurrently.
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

// shareOf returns this node's share of a total. The nodes that get one unit of
// the remainder differ from server to server, by a hash of the server's name,
// and the shares of a server add up to exactly the total. With more nodes than
// the total, some nodes get no share of a server and use a subset of the
// servers.
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

// Capacity returns the maximum number of concurrent attempts of this node.
func (t *Table) Capacity(now time.Time) unit.Slots {
	sum := unit.Slots(0)
	for _, s := range t.snapshot.Load().servers() {
		sum += unit.Slots(s.capacity(now))
	}
	return sum
}

// Pick chooses a server and reserves a slot on it. It returns an Overloaded
// error when no server has a slot available to this node, and an Unavailable
// error when there are no servers.
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
		Field: "slots", Remedy: "retry later; all slots of this node's share are in use"})
}

// CheckServers returns an Unavailable error when the service has no servers.
func (t *Table) CheckServers() error {
	if current := t.snapshot.Load(); len(current.sameZone)+len(current.otherZones) > 0 {
		return nil
	}
	return problem.New(problem.Unavailable, problem.Detail{
		Field: "service", Remedy: "retry when the service has backend servers"})
}

// pickProbe reserves a slot on an ejected server whose next probe is due.
// pickFrom prefers the servers that are not ejected, so that without pickProbe
// an ejected server would not be probed.
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

// pickFrom reserves a slot on the less loaded of two random servers. When
// neither has one available, it tries all servers in order, beginning at a
// random one.
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

// Done releases a reservation and updates the state of its server with the
// result of the attempt.
func (t *Table) Done(res Reservation, report Report) { res.server.done(res, report) }

// tryEject reports whether one more server may be ejected, and if so counts it.
// At most a third of the servers are ejected.
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

// medianResponseTime returns the median of the servers' mean response times, or
// 0 when fewer than three servers have one. It recomputes the median at most
// once per medianMaxAge.
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
