package delegate

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"bronzewinch.dev/lib/id"
)

const (
	// nodeExpiry is how long a node can be chosen after its last heartbeat. In the
	// largest deployments nodes send heartbeats every two seconds. A worker whose node
	// fails is polled through another one after 3.1 s; if that one has failed at the
	// same time, it is no longer chosen by then, so the worker's lease is extended
	// before it ends.
	nodeExpiry = 3 * time.Second
	// suspension is how long a node that did not answer a call is not chosen.
	suspension = 5 * time.Second
)

// Table holds the nodes that can make calls for the owner. Its methods take times as
// timer.SinceBoot of this node.
type Table struct {
	mu    sync.Mutex
	nodes map[string]*entry // by address
	// present holds the nodes that can be chosen, in the order of their addresses, and
	// chosen the choice for each rack. Both are valid until presentUntil.
	present      []Node
	presentUntil time.Duration
	chosen       map[rackKey]Node
}

type entry struct {
	node           Node
	seenAt         time.Duration
	suspendedUntil time.Duration
}

type rackKey struct {
	zone id.Zone
	rack string
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{nodes: make(map[string]*entry), chosen: make(map[rackKey]Node)}
}

// Observe records a description of a node that it has just sent.
func (t *Table) Observe(now time.Duration, n Node) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.nodes[n.Address]
	if !ok {
		e = &entry{}
		t.nodes[n.Address] = e
	}
	if !ok || e.node.ID != n.ID || e.node.Zone != n.Zone || e.node.Cores != n.Cores || now-e.seenAt > nodeExpiry {
		t.presentUntil = 0
	}
	e.node, e.seenAt = n, now
}

// Remove removes a node that leaves.
func (t *Table) Remove(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.nodes[address]; ok {
		delete(t.nodes, address)
		t.presentUntil = 0
	}
}

// Suspend records that a node did not answer a call.
func (t *Table) Suspend(now time.Duration, address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.nodes[address]; ok {
		e.suspendedUntil = now + suspension
		t.presentUntil = 0
	}
}

// Choose returns the node that makes the calls to the workers of a rack, and the
// present time on that node's clock, which is not later than its true time. It returns
// false when there is no node.
func (t *Table) Choose(now time.Duration, zone id.Zone, rack string) (Node, time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now >= t.presentUntil {
		t.update(now)
	}
	key := rackKey{zone, rack}
	n, ok := t.chosen[key]
	if !ok {
		if n, ok = choose(t.present, zone, rack); !ok {
			return Node{}, 0, false
		}
		t.chosen[key] = n
	}
	e := t.nodes[n.Address]
	return e.node, e.node.Clock + now - e.seenAt, true
}

// update determines the nodes that can be chosen: those with a recent heartbeat that
// are not suspended. If more than half of them are suspended, the cause is most likely
// this node, and suspensions do not count. The lock is held.
func (t *Table) update(now time.Duration) {
	var recent, usable []Node
	until := now + suspension
	for address, e := range t.nodes {
		if now-e.seenAt > nodeExpiry {
			if now-e.seenAt > suspension {
				delete(t.nodes, address)
			}
			continue
		}
		until = min(until, e.seenAt+nodeExpiry)
		recent = append(recent, e.node)
		if now >= e.suspendedUntil {
			usable = append(usable, e.node)
		} else {
			until = min(until, e.suspendedUntil)
		}
	}
	t.present = usable
	if 2*len(usable) < len(recent) {
		t.present = recent
	}
	slices.SortFunc(t.present, func(a, b Node) int { return cmp.Compare(a.Address, b.Address) })
	t.presentUntil = max(until, now+minUpdateInterval)
	clear(t.chosen)
}

// minUpdateInterval bounds how often the present nodes are determined without a change.
const minUpdateInterval = 100 * time.Millisecond
