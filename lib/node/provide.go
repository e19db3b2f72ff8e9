package node

import (
	"context"
	"net/http"
	"time"

	"bronzewinch.dev/lib/answers"
	"bronzewinch.dev/lib/backend"
	"bronzewinch.dev/lib/burn"
	"bronzewinch.dev/lib/burnstore"
	"bronzewinch.dev/lib/caller"
	"bronzewinch.dev/lib/cluster"
	"bronzewinch.dev/lib/configsync"
	"bronzewinch.dev/lib/decision"
	"bronzewinch.dev/lib/dispatch"
	"bronzewinch.dev/lib/guarantee"
	"bronzewinch.dev/lib/history"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/journal"
	"bronzewinch.dev/lib/kv"
	"bronzewinch.dev/lib/member"
	"bronzewinch.dev/lib/netguard"
	"bronzewinch.dev/lib/operator"
	"bronzewinch.dev/lib/owner"
	"bronzewinch.dev/lib/peer"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/settings"
	"bronzewinch.dev/lib/timer"
	"bronzewinch.dev/lib/unit"
	"bronzewinch.dev/lib/vmlist"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/dig"
)

// provide adds the constructors of all components of a node to a container.
func provide(c *dig.Container, config Config) error {
	constructors := []any{
		func() settings.Daemon { return config.Settings },
		func() timer.Service { return config.Timer },
		metrics.NewSet,
		newStore, newPool, newPeerServer, newTable, newDirectory, newRouter,
		newSyncer, newRequestShards, newPlacementShards, newOwner, newExchanger,
		newRequests, newResponses, newHistory, newDispatcher, newLeavingBackends, newFront,
		newOperatorFront, newPoller, newCounts, newObserver, newBurn,
	}
	for _, f := range constructors {
		if err := c.Provide(f); err != nil {
			return err
		}
	}
	return nil
}

func newStore(s settings.Daemon, clock timer.Service, set *metrics.Set) (*kv.Client, error) {
	return kv.New(kv.Config{
		URL: s.Store.URLs[0], Name: string(s.Node.ID), Timeout: time.Duration(s.Store.Timeout),
		Rate: unit.PerSecond(s.Store.CallsPerSecond), Timer: clock, Metrics: set,
	})
}

func newPool(s settings.Daemon) (*peer.Pool, error) {
	tls, err := clientTLS(s.TLS.Peers)
	if err != nil {
		return nil, err
	}
	return peer.NewPool(peer.PoolConfig{TLS: tls}), nil
}

// minPeerMemory lets two of the largest messages arrive at the same time.
const minPeerMemory = 2 * peer.MaxMessage * unit.Bytes(1)

func newPeerServer(s settings.Daemon, clock timer.Service, set *metrics.Set) (*peer.Server, error) {
	tls, err := serverTLS(s.TLS.Peers)
	if err != nil {
		return nil, err
	}
	guard := netguard.New(netguard.Config{Name: "peers", Memory: max(minPeerMemory, unit.Bytes(s.Limits.ClientMemory)),
		Connections: s.Limits.Connections, Timer: clock, Metrics: set})
	return peer.NewServer(peer.ServerConfig{TLS: tls, Guard: guard}), nil
}

func newTable(s settings.Daemon) *member.Table { return member.NewTable(s.Node.ID) }

func newDirectory(table *member.Table, clock timer.Service) *directory {
	return &directory{table: table, clock: clock}
}

func newRouter(s settings.Daemon, d *directory, pool *peer.Pool, clock timer.Service) *cluster.Router {
	return &cluster.Router{Self: s.Node.ID, Directory: d, Pool: pool, Timer: clock}
}

func newCounts() *burn.Counts { return burn.NewCounts(burn.Config{}) }

func newObserver(s settings.Daemon, counts *burn.Counts, clock timer.Service) observer {
	return observer{counts: counts, zone: s.Node.Zone, clock: clock}
}

func newBurn(s settings.Daemon, store *kv.Client, counts *burn.Counts, syncer *configsync.Syncer, d *dispatch.Dispatcher, clock timer.Service, set *metrics.Set) *burnstore.Service {
	return burnstore.New(burnstore.Config{
		Node: s.Node.ID, Store: store, Counts: counts, ConfigSource: syncer, Clock: clock, Metrics: set,
		Decisions: func(ctx context.Context, j id.Job) ([]decision.Record, error) {
			return d.Decisions(ctx, operator.DecisionQuery{Job: j})
		},
	})
}

func newSyncer(s settings.Daemon, store *kv.Client, pool *peer.Pool, server *peer.Server, table *member.Table, obs observer, clock timer.Service, set *metrics.Set) *configsync.Syncer {
	syncer := configsync.New(configsync.Config{
		Node: s.Node.ID, Store: store, Binder: guarantee.Binder{}, Timer: clock, Metrics: set, Observer: obs,
		Peers: configPeers{pool: pool, table: table, clock: clock, self: s.Node.ID},
	})
	peer.Handle(server, sinceMethod, func(_ context.Context, q sinceRequest) (configsync.Update, error) {
		return syncer.Since(q.Revision)
	})
	peer.Handle(server, activationsMethod, func(context.Context, activationsRequest) ([]configsync.Activation, error) {
		return syncer.Activations(), nil
	})
	return syncer
}

func newOwner(s settings.Daemon, store *kv.Client, table *member.Table, requests *requestShards, placements *placementShards, d *directory, clock timer.Service, set *metrics.Set) *owner.Owner {
	bulk := store.Bulk()
	o := owner.New(owner.Config{
		Node: s.Node.ID, Store: store, Membership: newEntryFleet(table, clock, s.Node.ID), Shards: requestShardNames(),
		// Appends to the journals of request shards increase with the load of callers.
		// They must not delay claims of shards and the placement of jobs.
		Journals: func(name id.Shard) journal.Store {
			if cluster.IsRequestShard(name) {
				return bulk
			}
			return store
		},
		Opener: opener{"once": requests, "place": placements}, Timer: clock, Metrics: set,
	})
	d.owner.Store(o)
	return o
}

// requestShardNames returns the names of all request shards.
func requestShardNames() []id.Shard {
	var names []id.Shard
	for n := range caller.Shards {
		names = append(names, cluster.RequestShard(n))
	}
	return names
}

func newExchanger(s settings.Daemon, table *member.Table, pool *peer.Pool, server *peer.Server, syncer *configsync.Syncer, o *owner.Owner, leavingFlag *leaving, clock timer.Service) *member.Exchanger {
	exchanger := member.NewExchanger(member.Config{
		Self: s.Node.ID, Zone: s.Node.Zone, Address: s.Listen.Peers, Timer: clock,
		Peers: heartbeatPeers{pool}, Table: table,
		Status: func() member.Status {
			return member.Status{Leaving: leavingFlag.Load(), Revision: syncer.Current().Revision, Owned: o.Owned()}
		},
	})
	peer.Handle(server, exchangeMethod, exchanger.HandleExchange)
	return exchanger
}

func newRequests(r *cluster.Router, server *peer.Server, shards *requestShards) *cluster.Requests {
	return cluster.NewRequests(r, server, shards, caller.ShardOf)
}

func newResponses(s settings.Daemon, r *cluster.Router, server *peer.Server, table *member.Table, clock timer.Service) *cluster.Responses {
	store := answers.New(answers.Config{
		MaxBytes: unit.Bytes(s.Limits.AnswerMemory), Retention: time.Duration(s.Limits.AnswerRetention)})
	return cluster.NewResponses(r, server, newEntryFleet(table, clock, s.Node.ID), store)
}

func newHistory(s settings.Daemon, store *kv.Client, clock timer.Service) *history.Reader {
	return history.NewReader(history.ReaderConfig{Store: store, Clock: clock, Retention: time.Duration(s.History.Retention)})
}

func newDispatcher(r *cluster.Router, server *peer.Server, placements *placementShards, syncer *configsync.Syncer, reader *history.Reader, set *metrics.Set) *dispatch.Dispatcher {
	return dispatch.New(dispatch.Config{Router: r, Server: server, LocalShards: placements, ConfigSource: syncer, History: reader, Metrics: set})
}

func newFront(s settings.Daemon, syncer *configsync.Syncer, table *member.Table, l *leavingBackends, requests *cluster.Requests, responses *cluster.Responses, obs observer, clock timer.Service, set *metrics.Set) *caller.Frontend {
	f := caller.New(caller.Config{
		Node: s.Node.ID, Zone: s.Node.Zone, ConfigSource: syncer, PositionSource: newEntryFleet(table, clock, s.Node.ID),
		Backends: l, Deduplicator: requests, Responses: responses, Sender: backend.New(backend.Config{Clock: clock}),
		Clock: clock, Metrics: set, MaxQueue: s.Limits.QueueLength, MaxAccountQueue: s.Limits.QueueLength,
		MaxBodyBytes: maxBodyMemory, Observer: obs, Ready: syncer.Ready, Retention: time.Duration(s.Limits.AnswerRetention),
		ServerLimits: caller.ServerLimits{
			Connections: s.Limits.Connections, HeaderSize: unit.Bytes(s.Limits.HeaderSize),
			ReadTimeout: time.Duration(s.Limits.ReadTimeout), IdleTimeout: time.Duration(s.Limits.IdleTimeout),
		},
	})
	l.setOnChange(f.Refresh)
	return f
}

func newOperatorFront(s settings.Daemon, pool *peer.Pool, b *burnstore.Service, syncer *configsync.Syncer, table *member.Table, d *dispatch.Dispatcher, leavingFlag *leaving, clock timer.Service, set *metrics.Set) *operator.Frontend {
	return operator.New(operator.Config{
		Configuration: configuration{syncer, table, clock, s.Node.ID, pool},
		Jobs:          d, Cluster: entryNodes{d, table, clock}, Binder: guarantee.Binder{},
		Ready: func() error { return readiness(leavingFlag, syncer) }, Clock: clock, Metrics: set, MaxBody: unit.Bytes(s.Limits.OperatorBodySize),
		Reports:     map[string]operator.Report{"burn": b.Report},
		MaxRequests: s.Limits.OperatorRequests, Bootstrap: s.Bootstrap.TokenHash,
	})
}

// readiness returns an error with the reason while the load balancer should send
// no requests to the node.
func readiness(leavingFlag *leaving, syncer *configsync.Syncer) error {
	if leavingFlag.Load() {
		return problem.New(problem.Unavailable, problem.Detail{Field: "node", Value: "leaving", Remedy: "use another entry node; this one is shutting down"})
	}
	return syncer.Ready()
}

func newPoller(s settings.Daemon, exchanger *member.Exchanger, l *leavingBackends, clock timer.Service, set *metrics.Set) *vmlist.Poller {
	return vmlist.NewPoller(vmlist.PollerConfig{
		Reader:   vmlist.New(vmlist.Config{URL: s.VMList.URL, Timeout: vmListTimeout, HTTP: &http.Client{}}),
		Interval: time.Duration(s.VMList.Every), Timer: clock, Metrics: set,
		Receivers: []func(vmlist.List){exchanger.HandleVMList, l.HandleVMList},
	})
}
