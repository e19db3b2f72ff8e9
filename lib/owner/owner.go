// Package owner manages the shards that one node owns. It claims shards by keys
// under the node's lease in the key-value service, takes over their journals, opens
// them through an Opener, and closes or hands them over.
package owner

import (
	"context"
	"slices"
	"sync"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/journal"
	"bronzewinch.dev/lib/kv"
	"bronzewinch.dev/lib/ownership"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/shard"
	"bronzewinch.dev/lib/timer"

	"github.com/VictoriaMetrics/metrics"
)

// KeyPrefix is the prefix of the keys that name the owners of shards.
const KeyPrefix = "own/"

const (
	// maxOpening bounds the shards that are opened concurrently. It lets a node
	// take over the shards of a failed one in a few rounds without delaying the
	// store's other callers.
	maxOpening = 8
	// maxHandingOver bounds the shards that are unavailable at the same time when
	// nodes join.
	maxHandingOver = 2
	// closeTimeout bounds the planned stop of one shard.
	closeTimeout = 5 * time.Second
	// minBackoff and maxBackoff bound the delay before the retry of a failed
	// claim, watch or lease grant.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 5 * time.Second
)

// Store is the part of the key-value service that ownership uses.
type Store interface {
	journal.Store
	Watch(ctx context.Context, prefix string, from kv.Version) ([]kv.Event, kv.Version, error)
	Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error)
	KeepAlive(ctx context.Context, lease kv.LeaseID) error
	Revoke(ctx context.Context, lease kv.LeaseID) error
}

// Membership provides the nodes that can own shards.
type Membership interface {
	// Members returns the nodes that are live and not leaving, as far as this
	// node knows.
	Members() []ownership.Candidate
	// Changed returns a channel that receives a value after the members have
	// changed. Only one goroutine receives from it.
	Changed() <-chan struct{}
}

// Shard is an open shard.
type Shard interface {
	// Close ends the work on the shard. During a handover the lease is still
	// valid when Close is called.
	Close(ctx context.Context) error
}

// Opener opens shards. Open returns once the shard can make decisions. The last of
// the entries is the takeover entry of the new term.
type Opener interface {
	Open(ctx context.Context, shard id.Shard, t *Term, snapshot []byte, entries []journal.Entry) (Shard, error)
}

// Config is what an Owner needs.
type Config struct {
	Node       id.Node
	Store      Store
	Membership Membership
	// Journals returns the store for the journal of a shard. If it is nil, all
	// journals are in Store.
	Journals func(id.Shard) journal.Store
	// Shards are the initial shards of the deployment; SetShards changes them.
	// The prefix of a shard's journal is the name of the shard.
	Shards []id.Shard
	Opener Opener
	// TTL, RenewInterval and Margin default to those of package ownership.
	TTL, RenewInterval, Margin time.Duration
	Timer                      timer.Service
	Metrics                    *metrics.Set
}

func (c *Config) setDefaults() {
	if c.TTL <= 0 {
		c.TTL = ownership.DefaultTTL
	}
	if c.RenewInterval <= 0 {
		c.RenewInterval = ownership.DefaultRenewInterval
	}
	if c.Margin <= 0 {
		c.Margin = ownership.DefaultMargin
	}
	if c.Journals == nil {
		c.Journals = func(id.Shard) journal.Store { return c.Store }
	}
	if c.Timer == nil {
		c.Timer = timer.NewSystem()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}
}

// Owner manages the shards of one node. It always runs three goroutines: one
// manages the lease, one watches the keys under KeyPrefix, and one starts actions
// when they are due. Each action runs on its own goroutine.
type Owner struct {
	config        Config
	states        *shard.Map[id.Shard, *shardState] // each state has its own lock
	keys          *keyTable
	leases        *leaseManager
	wake          chan struct{} // contains a token while decideLoop has to run again
	shardsChanged chan struct{} // contains a token after the shards have changed

	mu     sync.Mutex
	shards []id.Shard // of the deployment

	ctx     context.Context // ends with Close
	cancel  context.CancelFunc
	loops   sync.WaitGroup
	actions sync.WaitGroup
	claimed *metrics.Counter
	closed  *metrics.Counter
}

// New starts an owner.
func New(config Config) *Owner {
	config.setDefaults()
	o := &Owner{
		config:        config,
		states:        shard.NewMap[id.Shard, *shardState](),
		shardsChanged: make(chan struct{}, 1),
		keys:          newKeyTable(),
		wake:          make(chan struct{}, 1),
		claimed:       config.Metrics.GetOrCreateCounter("bronzewinch_owner_claims_total"),
		closed:        config.Metrics.GetOrCreateCounter("bronzewinch_owner_closes_total"),
	}
	o.ctx, o.cancel = context.WithCancel(context.Background())
	o.leases = newLeaseManager(config, o.wakeDecider)
	o.setShards(config.Shards)
	o.loops.Go(func() { o.keys.watch(o.ctx, config.Store, config.Timer, o.wakeDecider) })
	o.loops.Go(o.decideLoop)
	return o
}

// Owned returns the shards that this node has open and may keep running, with their
// epochs.
func (o *Owner) Owned() map[id.Shard]id.Epoch {
	owned := make(map[id.Shard]id.Epoch)
	for _, s := range o.allStates() {
		if t := s.openTerm(); t != nil && t.CheckContinue() == nil {
			owned[s.shard] = t.Epoch()
		}
	}
	return owned
}

// SetShards replaces the shards of the deployment, for example after a zone was
// declared. A shard that was removed stays with its owner until that node stops.
func (o *Owner) SetShards(shards []id.Shard) {
	o.setShards(shards)
	select {
	case o.shardsChanged <- struct{}{}:
	default:
	}
}

// setShards replaces the shards. decideLoop looks up the state of each shard that it finds
// named, so the states are created first.
func (o *Owner) setShards(shards []id.Shard) {
	for _, name := range shards {
		o.states.Update(name, func(s *shardState, ok bool) (*shardState, bool) {
			if !ok {
				s = newShardState(name)
			}
			return s, true
		})
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.shards = slices.Clone(shards)
}

func (o *Owner) shardNames() []id.Shard {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.shards
}

func (o *Owner) allStates() []*shardState {
	var all []*shardState
	o.states.Range(func(_ id.Shard, s *shardState) bool {
		all = append(all, s)
		return true
	})
	return all
}

// HolderOf returns the node that holds the key of a shard, according to the last
// known state of the keys.
func (o *Owner) HolderOf(shard id.Shard) (id.Node, bool) { return o.keys.holder(shard) }

// Term returns the current term of a shard that this node has open, or nil.
func (o *Owner) Term(shard id.Shard) *Term {
	if s, ok := o.states.Get(shard); ok {
		return s.openTerm()
	}
	return nil
}

// Close hands over all shards and then revokes the lease. Each shard is closed and
// its key deleted, so that another node can claim it immediately.
func (o *Owner) Close() {
	o.cancel()
	o.loops.Wait()
	o.actions.Wait() // the cancelled context ends claims in progress
	for _, s := range o.allStates() {
		if s.beginClose() {
			o.actions.Go(func() { o.closeShard(s, true) })
		}
	}
	o.actions.Wait()
	o.leases.close()
}

// wakeDecider makes decideLoop run again.
func (o *Owner) wakeDecider() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

func unavailable(what string) error {
	return problem.New(problem.Unavailable, problem.Detail{
		Field: what, Remedy: "check the key-value service; the node retries"})
}
