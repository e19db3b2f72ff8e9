// Package owner is the runtime of shard ownership on one node. It claims
// shards under the node's lease in the key-value service, opens them through
// the consumer's Opener after a takeover of their journal, and gives them up.
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
	// maxOpening lets a node take over the shards of a failed one in a few
	// rounds without holding up the store's other callers.
	maxOpening = 8
	// maxHandingOver bounds the shards that stand still at once when nodes join.
	maxHandingOver = 2
	// closeTimeout bounds the planned stop of one shard.
	closeTimeout = 5 * time.Second
	// minBackoff and maxBackoff bound the pauses after a failed claim, watch or
	// grant.
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

// Membership tells which nodes can own shards.
type Membership interface {
	// Members returns the nodes that are live and not leaving, as this node
	// sees them.
	Members() []ownership.Candidate
	// Changed receives when Members has changed. It has one receiver.
	Changed() <-chan struct{}
}

// Shard is an open shard.
type Shard interface {
	// Close ends the work on the shard. At a planned stop the lease still
	// holds during the call.
	Close(ctx context.Context) error
}

// Opener opens the shards of a consumer. Open returns once the shard can make
// decisions; its Tenure and the entries end with the takeover entry.
type Opener interface {
	Open(ctx context.Context, shard id.Shard, t *Term, snapshot []byte, entries []journal.Entry) (Shard, error)
}

// Config is what an Owner needs.
type Config struct {
	Node       id.Node
	Store      Store
	Membership Membership
	// Journals returns the store for the journal of a shard; nil for Store.
	Journals func(id.Shard) journal.Store
	// Shards are the shards of the deployment at first; SetShards changes them.
	// The journal of a shard has the shard's name as its prefix.
	Shards []id.Shard
	Opener Opener
	// TTL, Renew and Margin take the defaults of package ownership when zero.
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

// Owner owns shards for one node. Three goroutines run at rest: one renews the
// lease while shards are held, one holds the watch of KeyPrefix, and one waits
// for a reason to decide. Claims and closes run on their own goroutines.
type Owner struct {
	config        Config
	states        *shard.Map[id.Shard, *shardState] // each slot has its own lock
	keys          *keyTable
	leases        *leaseManager
	wake          chan struct{} // holds a token while a decision is due
	shardsChanged chan struct{} // holds a token while the shards have changed

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

// Owned returns the shards that this node has open, with their epochs.
func (o *Owner) Owned() map[id.Shard]id.Epoch {
	owned := make(map[id.Shard]id.Epoch)
	for _, s := range o.allStates() {
		if t := s.openTerm(); t != nil && t.CheckContinue() == nil {
			owned[s.shard] = t.Epoch()
		}
	}
	return owned
}

// SetShards names the shards of the deployment, for example after a zone was
// declared. A shard that is no longer named stays with its owner until that
// node stops.
func (o *Owner) SetShards(shards []id.Shard) {
	o.setShards(shards)
	select {
	case o.shardsChanged <- struct{}{}:
	default:
	}
}

func (o *Owner) setShards(shards []id.Shard) {
	o.mu.Lock()
	o.shards = slices.Clone(shards)
	o.mu.Unlock()
	for _, name := range shards {
		o.states.Update(name, func(s *shardState, ok bool) (*shardState, bool) {
			if !ok {
				s = newShardState(name)
			}
			return s, true
		})
	}
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

// HolderOf returns the node that holds a shard by the newest view of the keys.
func (o *Owner) HolderOf(shard id.Shard) (id.Node, bool) { return o.keys.holder(shard) }

// Term returns the tenure of an open shard, or nil.
func (o *Owner) Term(shard id.Shard) *Term {
	if s, ok := o.states.Get(shard); ok {
		return s.openTerm()
	}
	return nil
}

// Close hands over all shards: each is closed, then its key is deleted, so that
// the next node claims it at once. It then ends the lease.
func (o *Owner) Close() {
	o.cancel()
	o.loops.Wait()
	o.actions.Wait() // claims in progress end with the context
	for _, s := range o.allStates() {
		if s.beginClose() {
			o.actions.Go(func() { o.closeShard(s, true) })
		}
	}
	o.actions.Wait()
	o.leases.close()
}

// wakeDecider makes the deciding goroutine look again.
func (o *Owner) wakeDecider() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

func unavailable(what string) error {
	return problem.New(problem.Unavailable, problem.Detail{
		Field: what, Remedy: "the node tries again; check the key-value service"})
}
