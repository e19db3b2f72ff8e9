package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"bronzewinch.dev/lib/configsync"
	"bronzewinch.dev/lib/dispatch"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/member"
	"bronzewinch.dev/lib/operator"
	"bronzewinch.dev/lib/peer"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/timer"
)

// configuration gives the operator API access to the configuration in force and its
// history.
type configuration struct {
	*configsync.Syncer
	table *member.Table
	clock timer.Service
	self  id.Node
	pool  *peer.Pool
}

// activationsTimeout limits the wait for the reply of a node.
const activationsTimeout = time.Second

// InForceSince returns when revisions came into force on each live node. It calls
// all other live nodes in parallel.
func (c configuration) InForceSince(ctx context.Context) (map[id.Revision][]operator.NodeTime, error) {
	ctx, cancel := context.WithTimeout(ctx, activationsTimeout)
	defer cancel()
	nodes := slices.DeleteFunc(c.table.Nodes(c.clock.Now()), func(n member.Node) bool { return !n.Live })
	activations := make([][]configsync.Activation, len(nodes))
	var wg sync.WaitGroup
	for i, n := range nodes {
		if n.ID == c.self {
			activations[i] = c.Activations()
			continue
		}
		wg.Go(func() {
			// A node that does not reply in time is missing from the result.
			activations[i], _ = peer.Call[activationsRequest, []configsync.Activation](ctx, c.pool, n.Address, activationsMethod, activationsRequest{})
		})
	}
	wg.Wait()
	since := make(map[id.Revision][]operator.NodeTime)
	for i, n := range nodes {
		for _, m := range activations[i] {
			since[m.Revision] = append(since[m.Revision], operator.NodeTime{Node: n.ID, At: m.At})
		}
	}
	return since, nil
}

// History returns the accepted changes, oldest first.
func (c configuration) History(context.Context) ([]record.AcceptedChange, error) {
	return c.Current().History(), nil
}

// InForce returns the revision in force on each live node.
func (c configuration) InForce(context.Context) ([]operator.NodeRevision, error) {
	var out []operator.NodeRevision
	for _, n := range c.table.Nodes(c.clock.Now()) {
		revision := n.Revision
		if n.ID == c.self {
			revision = c.Current().Revision
		}
		if n.Live {
			out = append(out, operator.NodeRevision{Node: n.ID, Zone: n.Zone, Revision: revision})
		}
	}
	return out, nil
}

// entryNodes gives the operator API access to the lists of entry nodes and workers.
type entryNodes struct {
	*dispatch.Dispatcher
	table *member.Table
	clock timer.Service
}

// Nodes returns all entry nodes that are known on this node.
func (e entryNodes) Nodes(context.Context) ([]operator.Node, error) {
	var out []operator.Node
	for _, n := range e.table.Nodes(e.clock.Now()) {
		out = append(out, operator.Node(n))
	}
	return out, nil
}
