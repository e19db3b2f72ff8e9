// Package member tracks the entry nodes of the deployment. It combines the
// platform's VM list with the heartbeats that the nodes exchange. Heartbeats take
// precedence, because the list lags behind.
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
// failed. It is four exchange intervals long, so that the loss of one message does
// not make a node look failed.
const SuspectAfter = 4 * ExchangeInterval

// Heartbeat is the heartbeat of one node. Nodes forward the newest heartbeat that
// they know of each other node.
type Heartbeat struct {
	ID      id.Node `cbor:"1,keyasint"`
	Zone    id.Zone `cbor:"2,keyasint,omitempty"`
	Address string  `cbor:"3,keyasint,omitempty"`
	// Start is the start time of the process in nanoseconds since 1970. It
	// distinguishes a restarted node from its predecessor with the same id.
	Start int64 `cbor:"4,keyasint"`
	// Seq increases with each exchange that the node starts.
	Seq      uint64                `cbor:"5,keyasint"`
	Leaving  bool                  `cbor:"6,keyasint,omitempty"`
	Revision id.Revision           `cbor:"7,keyasint,omitempty"`
	Owned    map[id.Shard]id.Epoch `cbor:"8,keyasint,omitempty"`
	// StatusVersion is the Seq at which the status, that is Leaving, Revision or
	// Owned, last changed.
	StatusVersion uint64 `cbor:"9,keyasint,omitempty"`
	// WithoutStatus means that only ID, Start, Seq and StatusVersion are set. The
	// owned shards of a node rarely change and are most of the bytes of a full
	// heartbeat.
	WithoutStatus bool `cbor:"10,keyasint,omitempty"`
}

// newer reports whether h was created after other.
func (h Heartbeat) newer(other Heartbeat) bool {
	if h.Start != other.Start {
		return h.Start > other.Start
	}
	return h.Seq > other.Seq
}

// sameStatus reports whether h and other differ at most in Seq.
func (h Heartbeat) sameStatus(other Heartbeat) bool {
	return h.Start == other.Start && h.StatusVersion == other.StatusVersion
}

// withoutStatus returns h without its status.
func (h Heartbeat) withoutStatus() Heartbeat {
	return Heartbeat{ID: h.ID, Start: h.Start, Seq: h.Seq, StatusVersion: h.StatusVersion, WithoutStatus: true}
}

// Node is the state of an entry node as this node knows it, from its heartbeat and
// the VM list.
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
	receivedAt time.Time // when the last newer heartbeat was received; zero if none was
	vmState    vmlist.State
	vm         vmlist.VM
	createdAt  time.Time // when the entry was added to the table
}

// live reports whether the node counts as running. A listed node whose heartbeat
// was never received counts as live for SuspectAfter. Otherwise a node that has
// just started would treat all others as failed.
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

// Table holds the known nodes. Its entries are divided into shards, each with its
// own lock.
type Table struct {
	self    id.Node
	entries *shard.Map[id.Node, entry]

	mu          sync.Mutex
	lastLive    string // the live nodes, with a mark for leaving ones, at the last NotifySubscribers
	subscribers map[chan struct{}]struct{}
}

// NewTable returns an empty table of the node self.
func NewTable(self id.Node) *Table {
	return &Table{self: self, entries: shard.NewMap[id.Node, entry](), subscribers: make(map[chan struct{}]struct{})}
}

// Merge updates the table with those heartbeats that are newer than the known ones.
func (t *Table) Merge(heartbeats []Heartbeat, now time.Time) {
	for _, h := range heartbeats {
		t.entries.Update(h.ID, func(e entry, ok bool) (entry, bool) {
			if h.WithoutStatus && (e.receivedAt.IsZero() || h.Start != e.heartbeat.Start) {
				return e, ok // a full heartbeat will follow in a reply to this node
			}
			if !ok {
				e.createdAt = now
			}
			e.merge(h, now)
			return e, true
		})
	}
}

// merge updates the entry with a heartbeat if it is newer. It also accepts a full
// heartbeat with a newer status and a lower Seq, because a heartbeat without status
// may have arrived before it.
func (e *entry) merge(h Heartbeat, now time.Time) {
	known := !e.receivedAt.IsZero()
	if known && (h.Start < e.heartbeat.Start ||
		h.Start == e.heartbeat.Start && h.StatusVersion < e.heartbeat.StatusVersion && !h.WithoutStatus) {
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

// MergeVMList updates the table with the entry VMs of a VM list.
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

// removeFailed removes the nodes that are neither listed nor live, except the node
// itself.
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

// Heartbeats returns the newest heartbeat of each node from which one was received.
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

// Digest returns the heartbeats that this node sends to a peer. They have no status,
// except for this node's own heartbeat if its status changed in the last
// recentRounds rounds. The peer replies with newer heartbeats, and receives those
// that it lacks in a reply to its own digest.
func (t *Table) Digest(recentRounds uint64) []Heartbeat {
	heartbeats := t.Heartbeats()
	for i, h := range heartbeats {
		if h.ID != t.self || h.Seq-h.StatusVersion >= recentRounds {
			heartbeats[i] = h.withoutStatus()
		}
	}
	return heartbeats
}

// Missing returns the heartbeats that the sender of a digest lacks: full ones where
// its status is missing or old, and ones without status where only its Seq is old.
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

// Nodes returns all known nodes in the order of their ids.
func (t *Table) Nodes(now time.Time) []Node {
	var nodes []Node
	t.entries.Range(func(_ id.Node, e entry) bool {
		nodes = append(nodes, e.node(now))
		return true
	})
	slices.SortFunc(nodes, func(a, b Node) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return nodes
}

// Node returns the node with an id. It returns false if the node is not known.
func (t *Table) Node(name id.Node, now time.Time) (Node, bool) {
	e, ok := t.entries.Get(name)
	return e.node(now), ok
}

// OwnerOf returns the live node whose heartbeat reports that it owns a shard, and
// the epoch. If several nodes report it, the one with the highest epoch is
// returned.
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

// Subscribe returns a channel that receives when the set of live or leaving nodes
// changes, and a function that cancels the subscription.
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

// NotifySubscribers notifies the subscribers if the set of live or leaving nodes has
// changed since the last call.
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
