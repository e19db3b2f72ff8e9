package node

import (
	"context"
	"math/rand/v2"

	"bronzewinch.dev/lib/configsync"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/member"
	"bronzewinch.dev/lib/ownership"
	"bronzewinch.dev/lib/peer"
	"bronzewinch.dev/lib/route"
	"bronzewinch.dev/lib/timer"
)

// The peer methods of membership and configuration.
const (
	exchangeMethod    = "exchange"
	sinceMethod       = "configSince"
	activationsMethod = "configMoments"
)

// heartbeatPeers exchanges heartbeats over peer calls.
type heartbeatPeers struct {
	pool *peer.Pool
}

// Exchange sends beats to the node at an address and returns those it knows.
func (p heartbeatPeers) Exchange(ctx context.Context, address string, heartbeats []member.Heartbeat) ([]member.Heartbeat, error) {
	return peer.Call[[]member.Heartbeat, []member.Heartbeat](ctx, p.pool, address, exchangeMethod, heartbeats)
}

// sinceRequest asks for the configuration after a revision.
type sinceRequest struct {
	Revision id.Revision `cbor:"1,keyasint"`
}

// activationsRequest asks when revisions came into force.
type activationsRequest struct{}

// configPeers finds nodes with a newer configuration.
type configPeers struct {
	pool  *peer.Pool
	table *member.Table
	clock timer.Service
	self  id.Node
}

// Ahead returns the addresses of live nodes with a revision above one, in
// random order, so that many nodes that are behind ask different peers.
func (p configPeers) Ahead(revision id.Revision) []string {
	var out []string
	for _, n := range p.table.Nodes(p.clock.Now()) {
		if n.ID != p.self && n.Live && n.Revision > revision {
			out = append(out, n.Address)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// Since asks the node at an address for what follows a revision.
func (p configPeers) Since(ctx context.Context, address string, revision id.Revision) (configsync.Update, error) {
	return peer.Call[sinceRequest, configsync.Update](ctx, p.pool, address, sinceMethod, sinceRequest{revision})
}

// entryFleet is the entry nodes as the parts of this node see them.
type entryFleet struct {
	table   *member.Table
	clock   timer.Service
	self    id.Node
	changed <-chan struct{}
}

// newEntryFleet returns the view of a table with a subscription of its own.
func newEntryFleet(table *member.Table, clock timer.Service, self id.Node) *entryFleet {
	changed, _ := table.Subscribe()
	return &entryFleet{table: table, clock: clock, self: self, changed: changed}
}

// Members returns the nodes that can own shards.
func (f *entryFleet) Members() []ownership.Candidate {
	var out []ownership.Candidate
	for _, n := range f.table.Nodes(f.clock.Now()) {
		if n.Live && !n.Leaving {
			out = append(out, ownership.Candidate{ID: n.ID, Zone: n.Zone})
		}
	}
	return out
}

// Changed receives when Members has changed.
func (f *entryFleet) Changed() <-chan struct{} { return f.changed }

// Position returns this node's position among the live nodes. A node that
// leaves still counts while it finishes requests.
func (f *entryFleet) Position() route.Position {
	var position route.Position
	for _, n := range f.table.Nodes(f.clock.Now()) {
		if !n.Live && n.ID != f.self {
			continue
		}
		if n.ID == f.self {
			position.Rank = position.Count
		}
		position.Count++
	}
	return position
}

// Others returns the addresses of the other live nodes.
func (f *entryFleet) Others() map[id.Node]string {
	out := make(map[id.Node]string)
	for _, n := range f.table.Nodes(f.clock.Now()) {
		if n.Live && n.ID != f.self {
			out[n.ID] = n.Address
		}
	}
	return out
}
