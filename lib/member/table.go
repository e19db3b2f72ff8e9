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
func (b Heartbeat) newer(old Heartbeat) bool {
	if b.Start != old.Start {
		return b.Start > old.Start
	}
	return b.Seq > old.Seq
}

// sameStatus reports whether b says the same of the node as old, but for the
// count.
func (b Heartbeat) sameStatus(old Heartbeat) bool {
	return b.Start == old.Start && b.StatusVersion == old.StatusVersion
}

// brief returns b without its status.
func (b Heartbeat) brief() Heartbeat {
	return Heartbeat{ID: b.ID, Start: b.Start, Seq: b.Seq, StatusVersion: b.StatusVersion, WithoutStatus: true}
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
	beat   Heartbeat
	heard  time.Time // when beat last got newer; zero if never
	listed vmlist.State
	vm     vmlist.VM
	since  time.Time // when the entry was made
}

// live reports whether the node counts as running. A node that was listed but
// never heard counts as live for SuspectAfter, so that a node that starts
// does not take the whole fleet for failed.
func (e entry) live(now time.Time) bool {
	last := e.heard
	if last.IsZero() {
		last = e.since
	}
	return now.Sub(last) < SuspectAfter
}

func (e entry) node(now time.Time) Node {
	n := Node{
		ID: e.beat.ID, Zone: e.beat.Zone, Address: e.beat.Address, Live: e.live(now),
		Leaving: e.beat.Leaving || e.listed == vmlist.Leaving, Revision: e.beat.Revision, Owned: e.beat.Owned,
	}
	if e.heard.IsZero() {
		n.ID, n.Zone, n.Address = id.Node(e.vm.Name), e.vm.Zone, e.vm.Address
	}
	return n
}

// Table holds the nodes. Its entries are split into shards.
type Table struct {
	self    id.Node
	entries *shard.Map[id.Node, entry]

	mu   sync.Mutex
	live string // the live and leaving nodes at the last Changed
	subs map[chan struct{}]struct{}
}

// NewTable returns a table that knows no node.
func NewTable(self id.Node) *Table {
	return &Table{self: self, entries: shard.NewMap[id.Node, entry](), subs: make(map[chan struct{}]struct{})}
}

// Merge takes over what is newer in some beats than what is known.
func (t *Table) Merge(beats []Heartbeat, now time.Time) {
	for _, b := range beats {
		t.entries.Update(b.ID, func(e entry, ok bool) (entry, bool) {
			if b.WithoutStatus && (e.heard.IsZero() || b.Start != e.beat.Start) {
				return e, ok // the whole beat comes with an answer to this node
			}
			if !ok {
				e.since = now
			}
			e.merge(b, now)
			return e, true
		})
	}
}

// merge takes over a beat. A whole beat with a later status counts even if a
// brief one with a higher count came before it.
func (e *entry) merge(b Heartbeat, now time.Time) {
	known := !e.heard.IsZero()
	if known && (b.Start < e.beat.Start || b.Start == e.beat.Start && b.StatusVersion < e.beat.StatusVersion && !b.WithoutStatus) {
		return
	}
	if known && !b.newer(e.beat) {
		if !b.WithoutStatus && b.StatusVersion > e.beat.StatusVersion {
			b.Seq = e.beat.Seq
			e.beat = b
		}
		return
	}
	e.heard = now
	if b.WithoutStatus {
		e.beat.Seq = b.Seq
		return
	}
	e.beat = b
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
				e.since = now
			}
			e.listed, e.vm = vm.State, vm
			return e, true
		})
	}
	t.removeFailed(listed, now)
}

// removeFailed removes the nodes that are neither listed nor live.
func (t *Table) removeFailed(listed map[id.Node]bool, now time.Time) {
	var gone []id.Node
	t.entries.Range(func(name id.Node, e entry) bool {
		if !listed[name] && !e.live(now) && name != t.self {
			gone = append(gone, name)
		}
		return true
	})
	for _, name := range gone {
		t.entries.Delete(name)
	}
}

// Heartbeats returns the newest beat of each node that was heard.
func (t *Table) Heartbeats() []Heartbeat {
	var beats []Heartbeat
	t.entries.Range(func(_ id.Node, e entry) bool {
		if !e.heard.IsZero() {
			beats = append(beats, e.beat)
		}
		return true
	})
	return beats
}

// Digest returns what this node tells a peer: the whole beat of itself when its
// status changed within the last rounds, and brief beats else. The peer answers
// with what is newer, and asks in its own turn for what it lacks.
func (t *Table) Digest(recent uint64) []Heartbeat {
	beats := t.Heartbeats()
	for i, b := range beats {
		if b.ID != t.self || b.Seq-b.StatusVersion >= recent {
			beats[i] = b.brief()
		}
	}
	return beats
}

// Missing returns what a peer lacks that offered some beats: whole beats where
// it does not have the status, and brief ones where only the count is newer.
func (t *Table) Missing(offered []Heartbeat) []Heartbeat {
	theirs := make(map[id.Node]Heartbeat, len(offered))
	for _, b := range offered {
		theirs[b.ID] = b
	}
	var out []Heartbeat
	for _, b := range t.Heartbeats() {
		their, ok := theirs[b.ID]
		switch {
		case !ok || b.Start > their.Start || b.Start == their.Start && b.StatusVersion > their.StatusVersion:
			out = append(out, b)
		case b.sameStatus(their) && b.Seq > their.Seq:
			out = append(out, b.brief())
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
		if epoch := e.beat.Owned[s]; epoch > highest && e.live(now) {
			owner, highest = e.node(now), epoch
		}
		return true
	})
	return owner, highest, highest > 0
}

// Subscribe returns a channel that receives when the set of live or leaving
// nodes changes, and a function that ends the subscription.
func (t *Table) Subscribe() (<-chan struct{}, func()) {
	c := make(chan struct{}, 1)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.subs[c] = struct{}{}
	return c, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.subs, c)
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
	if b.String() == t.live {
		return
	}
	t.live = b.String()
	for c := range t.subs {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}
