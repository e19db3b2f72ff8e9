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
	// maxBodyMemory bounds the memory of all request bodies in progress.
	maxBodyMemory = 256 * unit.MiB
	// vmListTimeout is the longest time for one read of the VM list.
	vmListTimeout = 2 * time.Second
	// peerStopTimeout is the longest wait for calls of peers in progress at a stop.
	peerStopTimeout = 5 * time.Second
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

// components is all parts of a node.
type components struct {
	dig.In

	Store     *kv.Client
	Pool      *peer.Pool
	Server    *peer.Server
	Syncer    *configsync.Syncer
	Owner     *owner.Owner
	Exchanger *member.Exchanger
	Poller    *vmlist.Poller
	Placement *placementShards
	Jobs      *dispatch.Dispatcher
	Callers   *caller.Frontend
	Operators *operator.Front
	Burn      *burnstore.Service
	Leaving   *leaving
}

// Node is a running entry node.
type Node struct {
	config     Config
	components components
	callers    *http.Server
	operators  *http.Server
	cancel     context.CancelFunc
	wg         sync.WaitGroup
}

// New starts an entry node. Close stops it.
func New(config Config) (*Node, error) {
	// An address that is in use must not leave parts behind that own shards.
	opened, err := listen(config)
	if err != nil {
		return nil, err
	}
	n, err := start(config, opened)
	if err != nil {
		opened.close()
	}
	return n, err
}

// start builds the parts and serves the open addresses.
func start(config Config, opened listeners) (*Node, error) {
	container := dig.New()
	if err := provide(container, config); err != nil {
		return nil, err
	}
	if err := container.Provide(func() *leaving { return new(leaving) }); err != nil {
		return nil, err
	}
	n := &Node{config: config}
	if err := container.Invoke(func(p components) { n.components = p }); err != nil {
		return nil, dig.RootCause(err)
	}
	n.serveAll(opened)
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.wg.Go(func() { n.applyConfigurations(ctx) })
	klog.InfoS("entry node started", "node", config.Settings.Node.ID, "zone", config.Settings.Node.Zone)
	return n, nil
}

// Ready returns why the node can't serve yet, or nil.
func (n *Node) Ready() error { return n.components.Syncer.Ready() }

// Owned returns the shards that this node owns.
func (n *Node) Owned() map[id.Shard]id.Epoch { return n.components.Owner.Owned() }

// Revision returns the revision of the configuration in force on this node.
func (n *Node) Revision() id.Revision { return n.components.Syncer.Current().Revision }

// Changed returns a channel that is closed when the configuration in force on
// this node changes.
func (n *Node) Changed() <-chan struct{} { return n.components.Syncer.Changed() }

// serveAll serves the open addresses.
func (n *Node) serveAll(opened listeners) {
	s := n.config.Settings
	n.components.Server.Serve(opened.peers)
	n.callers = caller.NewServer(n.components.Callers)
	n.serve(n.callers, opened.callers)
	n.operators = &http.Server{
		Handler: n.components.Operators, ReadTimeout: time.Duration(s.Limits.ReadTimeout),
		IdleTimeout: time.Duration(s.Limits.IdleTimeout), MaxHeaderBytes: int(s.Limits.HeaderSize),
	}
	n.serve(n.operators, opened.operators)
}

// serve serves an HTTP front on an address.
func (n *Node) serve(server *http.Server, l frontListener) {
	server.TLSConfig = l.tls
	n.wg.Go(func() {
		if l.tls == nil {
			_ = server.Serve(l)
		} else {
			_ = server.ServeTLS(l, "", "")
		}
	})
}

// applyConfigurations tells the parts of each change of the configuration.
func (n *Node) applyConfigurations(ctx context.Context) {
	for {
		changed := n.components.Syncer.Changed()
		set := n.components.Syncer.Current()
		// Placement comes first: urgent work waits for it after a failure.
		var shards []id.Shard
		for _, zone := range slices.Sorted(maps.Keys(set.Zones)) {
			shards = append(shards, dispatch.ShardOf(zone))
		}
		n.components.Owner.SetShards(append(shards, requestShardNames()...))
		n.components.Placement.configure(set)
		n.components.Callers.Refresh()
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
	n.components.Leaving.Store(true)
	n.components.Callers.StartDraining()
	n.components.Exchanger.RunRound(ctx)
	_ = timer.Sleep(ctx, n.config.Timer, time.Duration(n.config.Settings.Limits.StopGrace))
	_ = n.callers.Shutdown(ctx)
	err := n.components.Callers.Drain(ctx)
	_ = n.callers.Close()
	_ = n.components.Burn.Close(ctx)
	n.components.Owner.Close()
	if n.operators.Shutdown(ctx) != nil {
		_ = n.operators.Close()
	}
	n.closeComponents()
	return err
}

// Abort ends the node without a planned stop: callers and peers are cut off,
// and nothing is handed over while the key-value service is out of reach. Tests
// of failures in one process use it.
func (n *Node) Abort() {
	_ = n.callers.Close()
	_ = n.operators.Close()
	n.components.Exchanger.Close()
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	_ = n.components.Burn.Close(cancelled)
	n.components.Server.Close(cancelled)
	n.components.Owner.Close()
	n.closeComponents()
}

// closeComponents ends the remaining parts.
func (n *Node) closeComponents() {
	n.cancel()
	n.components.Poller.Close()
	n.components.Exchanger.Close()
	n.components.Callers.Close()
	n.components.Syncer.Close()
	ctx, cancel := context.WithTimeout(context.Background(), peerStopTimeout)
	defer cancel()
	n.components.Server.Close(ctx)
	n.components.Pool.Close()
	n.components.Store.Close()
	n.wg.Wait()
}
