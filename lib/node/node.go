// Package node assembles an entry node from its settings.
package node

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"bronzewinch.dev/lib/burnstore"
	"bronzewinch.dev/lib/caller"
	"bronzewinch.dev/lib/configsync"
	"bronzewinch.dev/lib/dispatch"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/kv"
	"bronzewinch.dev/lib/member"
	"bronzewinch.dev/lib/operator"
	"bronzewinch.dev/lib/owner"
	"bronzewinch.dev/lib/peer"
	"bronzewinch.dev/lib/settings"
	"bronzewinch.dev/lib/timer"
	"bronzewinch.dev/lib/unit"
	"bronzewinch.dev/lib/vmlist"

	"go.uber.org/dig"
	"k8s.io/klog/v2"
)

const (
	// maxBodies bounds the memory of all request bodies in progress.
	maxBodies = 256 * unit.MiB
	// listTimeout is the longest time for one read of the VM list.
	listTimeout = 2 * time.Second
	// peerStop is the longest wait for calls of peers in progress at a stop.
	peerStop = 5 * time.Second
)

// leaving is whether the node is at a planned stop.
type leaving struct{ atomic.Bool }

// Config configures a Node.
type Config struct {
	Settings settings.Daemon
	Timer    timer.Service
	// ListenPeers opens the address for peers; nil for plain TCP. Measurements
	// count the bytes of its connections.
	ListenPeers func(address string) (net.Listener, error)
}

// parts is all parts of a node.
type parts struct {
	dig.In

	Store     *kv.Client
	Pool      *peer.Pool
	Server    *peer.Server
	Syncer    *configsync.Syncer
	Owner     *owner.Owner
	Exchanger *member.Exchanger
	Poller    *vmlist.Poller
	Places    *placementShards
	Jobs      *dispatch.Dispatcher
	Callers   *caller.Frontend
	Operators *operator.Front
	Burn      *burnstore.Service
	Leaving   *leaving
}

// Node is a running entry node.
type Node struct {
	config    Config
	parts     parts
	callers   *http.Server
	operators *http.Server
	cancel    context.CancelFunc
	wg        sync.WaitGroup
}

// New starts an entry node. Close stops it.
func New(config Config) (*Node, error) {
	// An address that is in use must not leave parts behind that own shards.
	open, err := listen(config)
	if err != nil {
		return nil, err
	}
	n, err := start(config, open)
	if err != nil {
		open.close()
	}
	return n, err
}

// start builds the parts and serves the open addresses.
func start(config Config, open listeners) (*Node, error) {
	container := dig.New()
	if err := provide(container, config); err != nil {
		return nil, err
	}
	if err := container.Provide(func() *leaving { return new(leaving) }); err != nil {
		return nil, err
	}
	n := &Node{config: config}
	if err := container.Invoke(func(p parts) { n.parts = p }); err != nil {
		return nil, dig.RootCause(err)
	}
	n.serveAll(open)
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.wg.Go(func() { n.followConfiguration(ctx) })
	klog.InfoS("entry node started", "node", config.Settings.Node.ID, "zone", config.Settings.Node.Zone)
	return n, nil
}

// Ready returns why the node can't serve yet, or nil.
func (n *Node) Ready() error { return n.parts.Syncer.Ready() }

// Owned returns the shards that this node owns.
func (n *Node) Owned() map[id.Shard]id.Epoch { return n.parts.Owner.Owned() }

// Revision returns the revision of the configuration in force on this node.
func (n *Node) Revision() id.Revision { return n.parts.Syncer.Current().Revision }

// Changed returns a channel that is closed when the configuration in force on
// this node changes.
func (n *Node) Changed() <-chan struct{} { return n.parts.Syncer.Changed() }

// serveAll serves the open addresses.
func (n *Node) serveAll(open listeners) {
	s := n.config.Settings
	n.parts.Server.Serve(open.peers)
	n.callers = caller.NewServer(n.parts.Callers)
	n.serve(n.callers, open.callers)
	n.operators = &http.Server{
		Handler: n.parts.Operators, ReadTimeout: time.Duration(s.Limits.ReadTimeout),
		IdleTimeout: time.Duration(s.Limits.IdleTimeout), MaxHeaderBytes: int(s.Limits.HeaderSize),
	}
	n.serve(n.operators, open.operators)
}

// serve serves an HTTP front on an address.
func (n *Node) serve(server *http.Server, l front) {
	server.TLSConfig = l.tls
	n.wg.Go(func() {
		if l.tls == nil {
			_ = server.Serve(l)
		} else {
			_ = server.ServeTLS(l, "", "")
		}
	})
}

// followConfiguration tells the parts of each change of the configuration.
func (n *Node) followConfiguration(ctx context.Context) {
	for {
		changed := n.parts.Syncer.Changed()
		set := n.parts.Syncer.Current()
		// Placement comes first: urgent work waits for it after a failure.
		var shards []id.Shard
		for _, zone := range slices.Sorted(maps.Keys(set.Zones)) {
			shards = append(shards, dispatch.ShardOf(zone))
		}
		n.parts.Owner.SetShards(append(shards, requestShardNames()...))
		n.parts.Places.configure(set)
		n.parts.Callers.Refresh()
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// Close stops the node as planned, in this order:
//  1. /readyz of both fronts reports not ready, and the heartbeat says leaving.
//  2. For Limits.StopGrace requests are still accepted, so that the balancer
//     can see it and connections that it holds end with an answer.
//  3. The callers' address closes, and the requests in progress end.
//  4. The shards are handed over, after the calls of peers in progress.
//  5. The operators' and the peers' addresses close after the calls in progress.
//
// When ctx ends, what is still in progress is cut off.
func (n *Node) Close(ctx context.Context) error {
	klog.InfoS("entry node stops", "node", n.config.Settings.Node.ID)
	n.parts.Leaving.Store(true)
	n.parts.Callers.StartDraining()
	n.parts.Exchanger.RunRound(ctx)
	_ = timer.Sleep(ctx, n.config.Timer, time.Duration(n.config.Settings.Limits.StopGrace))
	_ = n.callers.Shutdown(ctx)
	err := n.parts.Callers.Drain(ctx)
	_ = n.callers.Close()
	_ = n.parts.Burn.Close(ctx)
	n.parts.Owner.Close()
	if n.operators.Shutdown(ctx) != nil {
		_ = n.operators.Close()
	}
	n.end()
	return err
}

// Abort ends the node without a planned stop: callers and peers are cut off,
// and nothing is handed over while the key-value service is out of reach. Tests
// of failures in one process use it.
func (n *Node) Abort() {
	_ = n.callers.Close()
	_ = n.operators.Close()
	n.parts.Exchanger.Close()
	cut, cancel := context.WithCancel(context.Background())
	cancel()
	_ = n.parts.Burn.Close(cut)
	n.parts.Server.Close(cut)
	n.parts.Owner.Close()
	n.end()
}

// end ends the remaining parts.
func (n *Node) end() {
	n.cancel()
	n.parts.Poller.Close()
	n.parts.Exchanger.Close()
	n.parts.Callers.Close()
	n.parts.Syncer.Close()
	ctx, cancel := context.WithTimeout(context.Background(), peerStop)
	defer cancel()
	n.parts.Server.Close(ctx)
	n.parts.Pool.Close()
	n.parts.Store.Close()
	n.wg.Wait()
}
