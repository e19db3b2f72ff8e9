// Package node builds an entry node from its settings and runs it.
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
	"bronzewinch.dev/lib/httpguard"
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

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/dig"
	"k8s.io/klog/v2"
)

const (
	// maxBodyMemory limits the memory for the bodies of all requests in progress.
	maxBodyMemory = 256 * unit.MiB
	// vmListTimeout limits the time of one read of the VM list.
	vmListTimeout = 2 * time.Second
	// operatorWriteTimeout is the time in which an operator must take a reply. Replies can
	// be long, as those with the decisions of a job.
	operatorWriteTimeout = time.Minute
	// peerStopTimeout limits the wait for peer calls in progress when the node stops.
	peerStopTimeout = 5 * time.Second
)

// leaving is true while the node executes a planned stop.
type leaving struct{ atomic.Bool }

// Config configures a Node.
type Config struct {
	Settings settings.Daemon
	Timer    timer.Service
	// ListenPeers opens the listener for peers. If it is nil, the node listens on
	// plain TCP. Benchmarks use it to count the bytes of the connections.
	ListenPeers func(address string) (net.Listener, error)
}

// components holds the components of a node, which dig injects by their types.
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
	Operators *operator.Frontend
	Burn      *burnstore.Service
	Leaving   *leaving
	Clock     timer.Service
	Metrics   *metrics.Set
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

// New starts an entry node. Stop it with Close.
func New(config Config) (*Node, error) {
	// The node opens its listeners before it starts any component. If an address is
	// in use, no component is left running that owns shards.
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

// start builds the components and serves the listeners.
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

// Ready returns an error with the reason while the node can't serve yet.
func (n *Node) Ready() error { return n.components.Syncer.Ready() }

// Owned returns the shards that this node owns.
func (n *Node) Owned() map[id.Shard]id.Epoch { return n.components.Owner.Owned() }

// Revision returns the revision of the configuration in force on this node.
func (n *Node) Revision() id.Revision { return n.components.Syncer.Current().Revision }

// Changed returns a channel that is closed when the configuration in force on
// this node changes.
func (n *Node) Changed() <-chan struct{} { return n.components.Syncer.Changed() }

// serveAll starts serving all listeners.
func (n *Node) serveAll(opened listeners) {
	s := n.config.Settings
	n.components.Server.Serve(opened.peers)
	n.callers = caller.NewServer(n.components.Callers)
	n.serve("callers", n.callers, opened.callers, 0) // the frontend bounds the time itself
	n.operators = &http.Server{
		Handler: n.components.Operators, ReadTimeout: time.Duration(s.Limits.ReadTimeout),
		IdleTimeout: time.Duration(s.Limits.IdleTimeout), MaxHeaderBytes: int(s.Limits.HeaderSize),
	}
	n.serve("operators", n.operators, opened.operators, operatorWriteTimeout)
}

// serve starts an HTTP server on a listener. The guard closes the connections that hold the
// most when its clients exceed their limits.
func (n *Node) serve(name string, server *http.Server, l frontListener, writeTimeout time.Duration) {
	limits := n.config.Settings.Limits
	guard := httpguard.New(httpguard.Config{Name: name, Memory: unit.Bytes(limits.ClientMemory), Connections: limits.Connections,
		WriteTimeout: writeTimeout, Timer: n.components.Clock, Metrics: n.components.Metrics})
	guard.Protect(server)
	l.Listener = guard.Listen(l.Listener)
	server.TLSConfig = l.tls
	n.wg.Go(func() {
		if l.tls == nil {
			_ = server.Serve(l)
		} else {
			_ = server.ServeTLS(l, "", "")
		}
	})
}

// applyConfigurations applies the configuration in force, and each later one, to
// the components.
func (n *Node) applyConfigurations(ctx context.Context) {
	for {
		changed := n.components.Syncer.Changed()
		set := n.components.Syncer.Current()
		// The placement shards come first, because after a failure urgent work waits
		// for their takeover.
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

// Close executes a planned stop, in this order:
//  1. /readyz for callers and for operators reports not ready, and the heartbeat
//     reports the node as leaving.
//  2. Requests are accepted for a further Limits.StopGrace, so that the load
//     balancer can detect the stop and requests on its open connections still get
//     a response.
//  3. The callers' listener closes, and the requests in progress finish.
//  4. The shards are handed over, after the peer calls in progress.
//  5. The listeners for operators and peers close, after the calls in progress.
//
// When ctx is done, calls that are still in progress are aborted.
func (n *Node) Close(ctx context.Context) error {
	klog.InfoS("stopping entry node", "node", n.config.Settings.Node.ID)
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

// Abort stops the node without a planned stop. It closes the connections of
// callers and peers, and hands no shards over while the key-value service is
// unreachable. Tests use it to simulate failures of nodes in one process.
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

// closeComponents closes the components that run until the end of a stop.
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
