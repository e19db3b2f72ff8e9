// Package member holds what a node knows of the other entry nodes. It joins
// the platform's VM list, which lags, with the heartbeats that nodes pass to
// each other; a node's own observations go before the list.
package member

import (
	"slices"
	"strings"
	"sync"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/shard"
	"bronzewinch.dev/lib/vmlist"
)

// SuspectAfter is the time without a heartbeat after which a node counts as
// failed. It is four exchanges long, so that one lost message does not matter.
const SuspectAfter = 4 * ExchangeInterval

// Heartbeat is the heartbeat of one node. Nodes pass on the newest beat of each
// other node that they know.
type Heartbeat struct {
	ID      id.Node `cbor:"1,keyasint"`
	Zone    id.Zone `cbor:"2,keyasint,omitempty"`
	Address string  `cbor:"3,keyasint,omitempty"`
	// Start tells a restarted node from its predecessor with the same id. It
	// is the time of the start in nanoseconds since 1970.
	Start int64 `cbor:"4,keyasint"`
	// Seq rises with each exchange of the node.
	Seq      uint64                `cbor:"5,keyasint"`
	Leaving  bool                  `cbor:"6,keyasint,omitempty"`
	Revision id.Revision           `cbor:"7,keyasint,omitempty"`
	Owned    map[id.Shard]id.Epoch `cbor:"8,keyasint,omitempty"`
	// StatusVersion is Count when anything else of the beat changed last.
	StatusVersion uint64 `cbor:"9,keyasint,omitempty"`
	// WithoutStatus says that only ID, Start, Count and Changed are set. The shards of
	// a node rarely change and are most of the bytes of a beat.
	WithoutStatus bool `cbor:"10,keyasint,omitempty"`
}

// newer reports whether b was sent after old.
func (h Heartbeat) newer(other Heartbeat) bool {
	if h.Start != other.Start {
		return h.Start > other.Start
	}
	return h.Seq > other.Seq
}

// sameStatus reports whether b says the same of the node as old, but for the
// count.
func (h Heartbeat) sameStatus(other Heartbeat) bool {
	return h.Start == other.Start && h.StatusVersion == other.StatusVersion
}

// withoutStatus returns b without its status.
func (h Heartbeat) withoutStatus() Heartbeat {
	return Heartbeat{ID: h.ID, Start: h.Start, Seq: h.Seq, StatusVersion: h.StatusVersion, WithoutStatus: true}
}

// Node is what is known of one entry node.
type Node struct {
	ID       id.Node
	Zone     id.Zone
	Address  string
	Live     bool
	Leaving  bool
	Revision id.Revision
	Owned    map[id.Shard]id.Epoch
}

type entry struct {
	heartbeat  Heartbeat
	receivedAt time.Time // when beat last got newer; zero if never
	vmState    vmlist.State
	vm         vmlist.VM
	createdAt  time.Time // when the entry was made
}

// live reports whether the node counts as running. A node that was listed but
// never heard counts as live for SuspectAfter, so that a node that starts
// does not take the whole fleet for failed.
func (e entry) live(now time.Time) bool {
	last := e.receivedAt
	if last.IsZero() {
		last = e.createdAt
	}
	return now.Sub(last) < SuspectAfter
}

func (e entry) node(now time.Time) Node {
	n := Node{
		ID: e.heartbeat.ID, Zone: e.heartbeat.Zone, Address: e.heartbeat.Address, Live: e.live(now),
		Leaving: e.heartbeat.Leaving || e.vmState == vmlist.Leaving, Revision: e.heartbeat.Revision, Owned: e.heartbeat.Owned,
	}
	if e.receivedAt.IsZero() {
		n.ID, n.Zone, n.Address = id.Node(e.vm.Name), e.vm.Zone, e.vm.Address
	}
	return n
}

// Table holds the nodes. Its entries are split into shards.
type Table struct {
	self    id.Node
	entries *shard.Map[id.Node, entry]

	mu          sync.Mutex
	lastLive    string // the live and leaving nodes at the last Changed
	subscribers map[chan struct{}]struct{}
}

// NewTable returns a table that knows no node.
func NewTable(self id.Node) *Table {
	return &Table{self: self, entries: shard.NewMap[id.Node, entry](), subscribers: make(map[chan struct{}]struct{})}
}

// Merge takes over what is newer in some beats than what is known.
func (t *Table) Merge(heartbeats []Heartbeat, now time.Time) {
	for _, h := range heartbeats {
		t.entries.Update(h.ID, func(e entry, ok bool) (entry, bool) {
			if h.WithoutStatus && (e.receivedAt.IsZero() || h.Start != e.heartbeat.Start) {
				return e, ok // the whole beat comes with an answer to this node
			}
			if !ok {
				e.createdAt = now
			}
			e.merge(h, now)
			return e, true
		})
	}
}

// merge takes over a beat. A whole beat with a later status counts even if a
// brief one with a higher count came before it.
func (e *entry) merge(h Heartbeat, now time.Time) {
	known := !e.receivedAt.IsZero()
	if known && (h.Start < e.heartbeat.Start || h.Start == e.heartbeat.Start && h.StatusVersion < e.heartbeat.StatusVersion && !h.WithoutStatus) {
		return
	}
	if known && !h.newer(e.heartbeat) {
		if !h.WithoutStatus && h.StatusVersion > e.heartbeat.StatusVersion {
			h.Seq = e.heartbeat.Seq
			e.heartbeat = h
		}
		return
	}
	e.receivedAt = now
	if h.WithoutStatus {
		e.heartbeat.Seq = h.Seq
		return
	}
	e.heartbeat = h
}

// MergeVMList takes over what the VM list says of entry VMs.
func (t *Table) MergeVMList(list vmlist.List, now time.Time) {
	listed := make(map[id.Node]bool)
	for _, vm := range list.VMs {
		if vm.Role != vmlist.Entry {
			continue
		}
		name := id.Node(vm.Name)
		listed[name] = true
		t.entries.Update(name, func(e entry, ok bool) (entry, bool) {
			if !ok {
				e.createdAt = now
			}
			e.vmState, e.vm = vm.State, vm
			return e, true
		})
	}
	t.removeFailed(listed, now)
}

// removeFailed removes the nodes that are neither listed nor live.
func (t *Table) removeFailed(listed map[id.Node]bool, now time.Time) {
	var removed []id.Node
	t.entries.Range(func(name id.Node, e entry) bool {
		if !listed[name] && !e.live(now) && name != t.self {
			removed = append(removed, name)
		}
		return true
	})
	for _, name := range removed {
		t.entries.Delete(name)
	}
}

// Heartbeats returns the newest beat of each node that was heard.
func (t *Table) Heartbeats() []Heartbeat {
	var heartbeats []Heartbeat
	t.entries.Range(func(_ id.Node, e entry) bool {
		if !e.receivedAt.IsZero() {
			heartbeats = append(heartbeats, e.heartbeat)
		}
		return true
	})
	return heartbeats
}

// Digest returns what this node tells a peer: the whole beat of itself when its
// status changed within the last rounds, and brief beats else. The peer answers
// with what is newer, and asks in its own turn for what it lacks.
func (t *Table) Digest(recent uint64) []Heartbeat {
	heartbeats := t.Heartbeats()
	for i, h := range heartbeats {
		if h.ID != t.self || h.Seq-h.StatusVersion >= recent {
			heartbeats[i] = h.withoutStatus()
		}
	}
	return heartbeats
}

// Missing returns what a peer lacks that offered some beats: whole beats where
// it does not have the status, and brief ones where only the count is newer.
func (t *Table) Missing(digest []Heartbeat) []Heartbeat {
	inDigest := make(map[id.Node]Heartbeat, len(digest))
	for _, h := range digest {
		inDigest[h.ID] = h
	}
	var out []Heartbeat
	for _, h := range t.Heartbeats() {
		known, ok := inDigest[h.ID]
		switch {
		case !ok || h.Start > known.Start || h.Start == known.Start && h.StatusVersion > known.StatusVersion:
			out = append(out, h)
		case h.sameStatus(known) && h.Seq > known.Seq:
			out = append(out, h.withoutStatus())
		}
	}
	return out
}

// Nodes returns all known nodes in the order of their names.
func (t *Table) Nodes(now time.Time) []Node {
	var nodes []Node
	t.entries.Range(func(_ id.Node, e entry) bool {
		nodes = append(nodes, e.node(now))
		return true
	})
	slices.SortFunc(nodes, func(a, b Node) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return nodes
}

// Node returns one node.
func (t *Table) Node(name id.Node, now time.Time) (Node, bool) {
	e, ok := t.entries.Get(name)
	return e.node(now), ok
}

// OwnerOf returns the live node that says it owns a shard, under the highest
// epoch when more than one says so.
func (t *Table) OwnerOf(s id.Shard, now time.Time) (Node, id.Epoch, bool) {
	var owner Node
	var highest id.Epoch
	t.entries.Range(func(_ id.Node, e entry) bool {
		if epoch := e.heartbeat.Owned[s]; epoch > highest && e.live(now) {
			owner, highest = e.node(now), epoch
		}
		return true
	})
	return owner, highest, highest > 0
}

// Subscribe returns a channel that receives when the set of live or leaving
// nodes changes, and a function that ends the subscription.
func (t *Table) Subscribe() (<-chan struct{}, func()) {
	changes := make(chan struct{}, 1)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.subscribers[changes] = struct{}{}
	return changes, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.subscribers, changes)
	}
}

// NotifySubscribers tells the subscribers when the set of live or leaving nodes is not
// the same as at the last call.
func (t *Table) NotifySubscribers(now time.Time) {
	var b strings.Builder
	for _, n := range t.Nodes(now) {
		if n.Live {
			b.WriteString(string(n.ID))
			if n.Leaving {
				b.WriteByte('!')
			}
			b.WriteByte(' ')
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if b.String() == t.lastLive {
		return
	}
	t.lastLive = b.String()
	for c := range t.subscribers {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}
