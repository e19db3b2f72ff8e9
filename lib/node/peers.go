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

// Exchange sends a digest to the node at an address and returns the heartbeats
// that the digest lacks.
func (p heartbeatPeers) Exchange(ctx context.Context, address string, heartbeats []member.Heartbeat) ([]member.Heartbeat, error) {
	return peer.Call[[]member.Heartbeat, []member.Heartbeat](ctx, p.pool, address, exchangeMethod, heartbeats)
}

// sinceRequest requests the changes of the configuration after a revision.
type sinceRequest struct {
	Revision id.Revision `cbor:"1,keyasint"`
}

// activationsRequest requests the times at which revisions came into force.
type activationsRequest struct{}

// configPeers finds nodes with a newer configuration and fetches it from them.
type configPeers struct {
	pool  *peer.Pool
	table *member.Table
	clock timer.Service
	self  id.Node
}

// Ahead returns the addresses of live nodes whose revision is higher than the
// given one. The order is random, so that nodes with an old revision spread their
// calls over all of them.
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

// Since fetches the changes after a revision from the node at an address.
func (p configPeers) Since(ctx context.Context, address string, revision id.Revision) (configsync.Update, error) {
	return peer.Call[sinceRequest, configsync.Update](ctx, p.pool, address, sinceMethod, sinceRequest{revision})
}

// entryFleet gives the components of this node their view of the entry nodes.
type entryFleet struct {
	table   *member.Table
	clock   timer.Service
	self    id.Node
	changed <-chan struct{}
}

// newEntryFleet returns a view of a table. Each view has its own subscription to
// changes of the table.
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

// Changed returns a channel that receives when the result of Members has changed.
func (f *entryFleet) Changed() <-chan struct{} { return f.changed }

// Position returns this node's position among the live nodes. It includes leaving
// nodes, because they still process requests.
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
