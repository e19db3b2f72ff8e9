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
	view        atomic.Pointer[view]
	ejected     atomic.Int32
	// failing is the recent part of attempts that failed, over all servers.
	failing average
	// typical is the median answer time of all servers in nanoseconds, and
	// typicalAt the Unix time in nanoseconds when it was computed.
	typical, typicalAt atomic.Int64
}

type view struct {
	near, far []*server
	nodes     Position
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
	t.view.Store(&view{nodes: Position{Count: 1}})
	return t
}

// Update replaces the list of servers and the node's position. A server that
// is no longer listed gets nothing more from now on; one that comes back
// starts slowly. Update is called by one goroutine at a time.
func (t *Table) Update(backends []Backend, nodes Position, now time.Time) {
	old := t.view.Load()
	first := len(old.all()) == 0
	known := make(map[id.Backend]*server)
	for _, s := range old.all() {
		known[s.backend.Name] = s
	}
	next := &view{nodes: nodes}
	for _, b := range backends {
		s := known[b.Name]
		if s == nil || s.backend != b {
			s = newServer(b, t, now, !first)
		} else {
			delete(known, b.Name)
		}
		s.share(shareOf(int(t.slots), b.Name, nodes), unit.Connections(shareOf(int(t.connections), b.Name, nodes)))
		if b.Zone == t.zone {
			next.near = append(next.near, s)
		} else {
			next.far = append(next.far, s)
		}
	}
	t.view.Store(next)
	for _, s := range known {
		s.leave()
	}
}

// shareOf divides a total over the nodes. The remainder goes to other nodes
// for each server, by a hash of its name, and the shares of a server add up to
// the total exactly. With more nodes than the total, some nodes get none of a
// server: they use a subset of the servers.
func shareOf(total int, name id.Backend, nodes Position) int {
	if nodes.Count <= 1 {
		return total
	}
	hash := fnv.New32a()
	hash.Write([]byte(name))
	share := total / nodes.Count
	rest := total % nodes.Count
	if (nodes.Rank+int(hash.Sum32()%uint32(nodes.Count)))%nodes.Count < rest {
		share++
	}
	return share
}

// Capacity returns the number of attempts this node may have in progress.
func (t *Table) Capacity(now time.Time) unit.Slots {
	sum := unit.Slots(0)
	for _, s := range t.view.Load().all() {
		sum += unit.Slots(s.usable(now))
	}
	return sum
}

// Pick chooses a server and takes one of this node's slots on it. It returns
// an Overloaded error when no server has a free slot in this node's share, and
// an Unavailable error when there are no servers.
func (t *Table) Pick(q Query) (Reservation, error) {
	v := t.view.Load()
	if err := t.CheckServers(); err != nil {
		return Reservation{}, err
	}
	if l, ok := t.probe(v, q); ok {
		return l, nil
	}
	for _, q.borrow = range [2]bool{false, v.nodes.Count > 1} {
		for _, group := range [2][]*server{v.near, v.far} {
			if l, ok := t.pickFrom(group, q); ok {
				return l, nil
			}
		}
	}
	return Reservation{}, problem.New(problem.Overloaded, problem.Detail{
		Field: "slots", Remedy: "try again later; all slots of this node's share are in use"})
}

// CheckServers returns an Unavailable error when there are no servers.
func (t *Table) CheckServers() error {
	if v := t.view.Load(); len(v.near)+len(v.far) > 0 {
		return nil
	}
	return problem.New(problem.Unavailable, problem.Detail{
		Field: "service", Remedy: "try again when the service has backend servers"})
}

// probe takes an ejected server whose probe is due. The choice by load avoids
// ejected servers, so without this they would not be tried again.
func (t *Table) probe(v *view, q Query) (Reservation, bool) {
	if !q.AllowProbe || t.ejected.Load() == 0 {
		return Reservation{}, false
	}
	for _, group := range [2][]*server{v.near, v.far} {
		for _, s := range group {
			if !s.ejected.Load() {
				continue
			}
			if l, ok := s.take(q); ok {
				return l, true
			}
		}
	}
	return Reservation{}, false
}

// pickFrom takes the less loaded of two random servers. When neither has a
// free slot it tries the others in order, from a random one.
func (t *Table) pickFrom(group []*server, q Query) (Reservation, bool) {
	if len(group) == 0 {
		return Reservation{}, false
	}
	a := group[rand.IntN(len(group))]
	b := group[rand.IntN(len(group))]
	if b.load(q.Now) < a.load(q.Now) {
		a, b = b, a
	}
	for _, s := range [2]*server{a, b} {
		if l, ok := s.take(q); ok {
			return l, true
		}
	}
	start := rand.IntN(len(group))
	for i := range group {
		if l, ok := group[(start+i)%len(group)].take(q); ok {
			return l, true
		}
	}
	return Reservation{}, false
}

// Done gives the slot of a reservation back and learns from the attempt.
func (t *Table) Done(l Reservation, r Report) { l.server.done(l, r) }

// mayEject counts one more ejected server, unless a third are ejected already.
func (t *Table) mayEject() bool {
	v := t.view.Load()
	limit := int32((len(v.near) + len(v.far)) / maxEjectedDivisor)
	for {
		n := t.ejected.Load()
		if n >= limit {
			return false
		}
		if t.ejected.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

// typicalTime returns the median answer time of the servers, or 0 when fewer
// than three have one. It is computed at most once in typicalAge.
func (t *Table) typicalTime(now time.Time) time.Duration {
	at := t.typicalAt.Load()
	if now.UnixNano()-at < int64(typicalAge) || !t.typicalAt.CompareAndSwap(at, now.UnixNano()) {
		return time.Duration(t.typical.Load())
	}
	var times []time.Duration
	for _, s := range t.view.Load().all() {
		if d := s.meanTime.Load(); d > 0 {
			times = append(times, time.Duration(d))
		}
	}
	typical := time.Duration(0)
	if len(times) >= 3 {
		typical = median(times)
	}
	t.typical.Store(int64(typical))
	return typical
}

func (v *view) all() []*server {
	all := make([]*server, 0, len(v.near)+len(v.far))
	return append(append(all, v.near...), v.far...)
}
