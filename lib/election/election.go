// Package election decides which node owns the scheduler. The owner holds a key
// in the key-value service under a lease. Each change of owner raises the
// fence and replaces the version of the commit key, so that neither workers
// nor the service accept anything from an earlier owner.
package election

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"bronzewinch.dev/lib/codec"
	"bronzewinch.dev/lib/dependency"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/kv"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/task"
	"bronzewinch.dev/lib/timer"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"k8s.io/klog/v2"
)

// Keys of the key-value service.
const (
	OwnerKey  = "bronzewinch/owner"
	CommitKey = "bronzewinch/commit"
)

const (
	// leaseTime bounds the time without an owner after one has failed. It is
	// several times the answer time of a slow store. A change of owner without
	// need costs a tenth of a second, so it is short.
	leaseTime = 1500 * time.Millisecond
	// renewPeriod leaves time for two more attempts when a renewal is lost.
	renewPeriod = 400 * time.Millisecond
	callTimeout = 700 * time.Millisecond
	// doubtAge is the age of the last renewal from which an owner finds out
	// whether it has lost the service. Renewals come every renewPeriod.
	doubtAge = 550 * time.Millisecond
	// validSlack covers the difference between this node's clock and the
	// service's over one lease.
	validSlack = 150 * time.Millisecond
	// OutageGrace is how long after its last renewal an owner still extends the
	// leases of runs. It bridges an outage of the service, and a new owner waits
	// for it before it gives up runs on workers that it can't reach.
	OutageGrace = 12 * time.Second
	retryWait   = 150 * time.Millisecond
	// ampleCores is enough for the owner of the users' deployments. A node with
	// half of it leaves campaignDelay to better ones before it campaigns.
	ampleCores    = 0.8
	campaignDelay = 100 * time.Millisecond
	// retryMost bounds the pause between calls to a service that does not answer.
	retryMost = time.Second
	// restTime is how long a node that gave up ownership leaves it to others.
	restTime = 2 * time.Second
)

// Store is the part of the key-value service that ownership needs.
type Store interface {
	Get(ctx context.Context, key string) (kv.Item, error)
	// ListAll returns the items under a prefix, and a version from which Watch
	// finds every later change. The version of an item would not do: the service
	// may no longer have the history after it.
	ListAll(ctx context.Context, prefix string) ([]kv.Item, kv.Version, error)
	Watch(ctx context.Context, prefix string, from kv.Version, wait time.Duration) ([]kv.Event, kv.Version, error)
	Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error)
	KeepAlive(ctx context.Context, lease kv.LeaseID) error
	Revoke(ctx context.Context, lease kv.LeaseID) error
	Commit(ctx context.Context, txn kv.Txn) (kv.TxnResult, error)
}

// Runner does the work of an owner.
type Runner interface {
	// Serve works until ctx ends or the term is over.
	Serve(ctx context.Context, term *Term) error
}

// Owner is the node that owns the scheduler.
type Owner struct {
	Node    id.Node    `cbor:"node"`
	Address string     `cbor:"address"`
	Fence   task.Fence `cbor:"fence"`
}

// CommitRecord is the value of the commit key.
type CommitRecord struct {
	Fence  task.Fence `cbor:"fence"`
	Number uint64     `cbor:"number"`
}

// DecodeCommitRecord reads the value of the commit key.
func DecodeCommitRecord(b []byte) (CommitRecord, error) {
	var m CommitRecord
	err := cbor.Unmarshal(b, &m)
	return m, errors.Wrap(err, "commit key")
}

// Encode returns the value of the commit key.
func (m CommitRecord) Encode() ([]byte, error) { return codec.CBOR.Marshal(m) }

// Term is one time of ownership.
type Term struct {
	Fence task.Fence
	// CommitVersion is the version of the commit key at the start of the term.
	CommitVersion kv.Version

	lease   kv.LeaseID
	renewed atomic.Int64 // timer.Boot at the last renewal
	doubted atomic.Bool  // a call has failed since the last renewal
	recheck chan struct{}
	over    chan struct{} // closed when the owner's work has ended
	cancel  context.CancelCauseFunc
}

// Valid reports whether no other node can own the scheduler.
func (t *Term) Valid() bool { return t.age() < leaseTime-validSlack }

// MayExtendLeases reports whether leases of runs may still be extended.
func (t *Term) MayExtendLeases() bool { return t.age() < OutageGrace }

// End gives ownership up.
func (t *Term) End(cause error) { t.cancel(cause) }

// StoreFailed notes that a call of the owner to the service has failed, and has the
// lease renewed at once.
func (t *Term) StoreFailed() {
	t.doubted.Store(true)
	select {
	case t.recheck <- struct{}{}:
	default:
	}
}

func (t *Term) age() time.Duration { return timer.Boot() - time.Duration(t.renewed.Load()) }

// Config configures a Election.
type Config struct {
	Node    id.Node
	Address string
	Store   Store
	Runner  Runner
	Timer   timer.Service
	// Cores is the processor time of this node. Zero counts as enough.
	Cores float64
}

// Election follows the owner key, and campaigns when there is no owner.
type Election struct {
	config  Config
	recheck chan struct{}
	store   *dependency.Dependency
	stop    context.CancelFunc
	wg      sync.WaitGroup
	active  atomic.Bool          // a campaign or a term is in progress
	term    atomic.Pointer[Term] // nil while this node is not the owner

	mu    sync.Mutex
	owner Owner
	rest  time.Time
}

// New starts to follow the owner.
func New(c Config) *Election {
	ctx, cancel := context.WithCancel(context.Background())
	t := &Election{config: c, recheck: make(chan struct{}, 1), store: dependency.New("ownerKey", c.Timer), stop: cancel}
	t.wg.Go(func() { t.follow(ctx) })
	return t
}

// Close gives ownership up and stops.
func (t *Election) Close() {
	t.stop()
	t.wg.Wait()
}

// Owner returns the owner as last seen. Its Node is empty when there is none.
func (t *Election) Owner() Owner {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.owner
}

// UpdateOwner takes over an owner that another node has told of.
func (t *Election) UpdateOwner(o Owner) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if o.Fence > t.owner.Fence {
		t.owner = o
	}
}

// Idle reports whether this node neither owns the scheduler nor tries to.
func (t *Election) Idle() bool { return !t.active.Load() }

// StoreSuspected reports whether this node is the owner and may have lost the service.
func (t *Election) StoreSuspected() bool {
	term := t.term.Load()
	return term != nil && (term.doubted.Load() || term.age() > doubtAge)
}

// StoreReachable reports whether this node reaches the service now.
func (t *Election) StoreReachable(ctx context.Context) bool {
	_, err := t.config.Store.Get(ctx, CommitKey)
	return err == nil || problem.Is(err, problem.NotFound)
}

// Resign gives ownership up. It returns the fence once the owner's work has
// ended, or false when there is none to give up or ctx ends before.
func (t *Election) Resign(ctx context.Context) (task.Fence, bool) {
	term := t.term.Load()
	if term == nil {
		return 0, false
	}
	term.End(problem.New(problem.Unavailable, problem.Detail{
		Field: "metadata store", Remedy: "let a node that reaches it become the owner"}))
	select {
	case <-term.over:
		return term.Fence, true
	case <-ctx.Done():
		return 0, false
	}
}

// RevokeOwner frees the owner key of an owner that has resigned or whose process has
// ended. It does nothing once the key has another fence.
func (t *Election) RevokeOwner(ctx context.Context, fence task.Fence) error {
	items, _, err := t.config.Store.ListAll(ctx, OwnerKey)
	if err != nil {
		return err
	}
	for _, item := range items {
		o, err := decodeOwner(item)
		if err != nil {
			return err
		}
		if item.Key != OwnerKey || o.Fence != fence {
			continue
		}
		klog.InfoS("owner deposed", "event", "term", "node", t.config.Node, "owner", o.Node, "fence", fence)
		if err := t.config.Store.Revoke(ctx, item.Lease); err != nil && !problem.Is(err, problem.NotFound) {
			return err
		}
	}
	return nil
}

func decodeOwner(item kv.Item) (o Owner, err error) {
	err = cbor.Unmarshal(item.Value, &o)
	return o, errors.Wrap(err, "owner key")
}

// Refresh makes the node read the owner key at once, because the owner did not
// answer.
func (t *Election) Refresh() {
	select {
	case t.recheck <- struct{}{}:
	default:
	}
}

func (t *Election) set(o Owner) {
	t.mu.Lock()
	changed := t.owner != o
	t.owner = o
	t.mu.Unlock()
	if changed {
		klog.InfoS("owner changed", "event", "owner", "node", t.config.Node, "owner", o.Node, "fence", o.Fence)
	}
}

func (t *Election) follow(ctx context.Context) {
	pause := retryWait
	for ctx.Err() == nil {
		version, found, err := t.read(ctx)
		if ctx.Err() == nil {
			t.store.Observe(err)
		}
		if err == nil {
			pause = retryWait
		}
		switch {
		case err != nil:
			_ = timer.Sleep(ctx, t.config.Timer, pause)
			pause = min(2*pause, retryMost)
		case !found && !t.resting():
			if delay := t.delay(); delay > 0 {
				_ = timer.Sleep(ctx, t.config.Timer, delay)
				if _, found, err := t.read(ctx); found || err != nil {
					continue
				}
			}
			if err := t.campaign(ctx); err != nil && ctx.Err() == nil {
				klog.InfoS("ownership not won", "event", "campaign", "node", t.config.Node, "cause", err)
				_ = timer.Sleep(ctx, t.config.Timer, timer.Jitter(retryWait))
			}
		case !found:
			_ = timer.Sleep(ctx, t.config.Timer, retryWait)
		case t.isOwn(t.Owner()):
			// Nothing is followed during a term, so the key is of an earlier life
			// of this node, or of a term that it has given up.
			if err := t.RevokeOwner(ctx, t.Owner().Fence); err != nil && ctx.Err() == nil {
				klog.InfoS("owner key not freed; its lease runs out by itself", "event", "term", "node", t.config.Node, "cause", err)
				_ = timer.Sleep(ctx, t.config.Timer, retryWait)
			}
		default:
			t.wait(ctx, version)
		}
	}
}

// isOwn reports whether an owner is this node.
func (t *Election) isOwn(o Owner) bool {
	return o.Node == t.config.Node && o.Address == t.config.Address
}

// delay is the time for which this node leaves a campaign to nodes with more
// processor time.
func (t *Election) delay() time.Duration {
	if t.config.Cores <= 0 || t.config.Cores >= ampleCores {
		return 0
	}
	return time.Duration((ampleCores/t.config.Cores - 1) * float64(campaignDelay))
}

func (t *Election) resting() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.config.Timer.Now().Before(t.rest)
}

// read returns whether there is an owner, and the version to watch from.
func (t *Election) read(ctx context.Context) (kv.Version, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	items, version, err := t.config.Store.ListAll(ctx, OwnerKey)
	if err != nil {
		return 0, false, err
	}
	for _, item := range items {
		if item.Key != OwnerKey {
			continue
		}
		o, err := decodeOwner(item)
		if err != nil {
			return 0, false, err
		}
		t.set(o)
		return version, true, nil
	}
	t.set(Owner{Fence: t.Owner().Fence})
	return 0, false, nil
}

// watchWait bounds the time for which a watch that hears nothing is trusted.
const watchWait = 3 * time.Second

// wait returns when the owner key has changed, or after Refresh.
func (t *Election) wait(ctx context.Context, version kv.Version) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	t.wg.Go(func() {
		defer close(done)
		for ctx.Err() == nil {
			events, next, err := t.config.Store.Watch(ctx, OwnerKey, version, watchWait)
			if err != nil || len(events) > 0 {
				return
			}
			version = max(version, next)
		}
	})
	select {
	case <-done:
	case <-t.recheck:
		cancel()
		<-done
		// Pokes come with each failed call; reading more often than this would
		// only load the service.
		_ = timer.Sleep(context.WithoutCancel(ctx), t.config.Timer, retryWait)
	case <-ctx.Done():
	}
}

// campaign tries to become the owner, and works as the owner until the term
// is over.
func (t *Election) campaign(ctx context.Context) error {
	t.active.Store(true)
	defer t.active.Store(false)
	term, err := t.win(ctx)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	term.cancel = cancel
	t.set(Owner{Node: t.config.Node, Address: t.config.Address, Fence: term.Fence})
	klog.InfoS("ownership won", "event", "term", "node", t.config.Node, "fence", term.Fence)
	t.term.Store(term)
	var wg sync.WaitGroup
	wg.Go(func() { t.renew(ctx, term) })
	err = t.config.Runner.Serve(ctx, term)
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	cancel(err)
	wg.Wait()
	t.term.Store(nil)
	t.active.Store(false)
	close(term.over)
	klog.InfoS("ownership ended", "event", "term", "node", t.config.Node, "fence", term.Fence, "cause", err)
	t.mu.Lock()
	t.owner = Owner{Fence: term.Fence}
	t.rest = t.config.Timer.Now().Add(restTime)
	t.mu.Unlock()
	ending, done := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer done()
	if err := t.config.Store.Revoke(ending, term.lease); err != nil && !problem.Is(err, problem.NotFound) {
		klog.InfoS("lease not ended; it runs out by itself", "event", "term", "cause", err)
	}
	return nil
}

// win writes the owner key and raises the fence in one transaction.
func (t *Election) win(ctx context.Context) (*Term, error) {
	ctx, cancel := context.WithTimeout(ctx, 3*callTimeout)
	defer cancel()
	var mark CommitRecord
	item, err := t.config.Store.Get(ctx, CommitKey)
	switch {
	case problem.Is(err, problem.NotFound):
	case err != nil:
		return nil, err
	default:
		if mark, err = DecodeCommitRecord(item.Value); err != nil {
			return nil, err
		}
	}
	sent := timer.Boot()
	lease, err := t.config.Store.Grant(ctx, leaseTime)
	if err != nil {
		return nil, err
	}
	mark = CommitRecord{Fence: mark.Fence + 1}
	value, err := mark.Encode()
	if err != nil {
		return nil, err
	}
	owner, err := codec.CBOR.Marshal(Owner{Node: t.config.Node, Address: t.config.Address, Fence: mark.Fence})
	if err != nil {
		return nil, err
	}
	result, err := t.config.Store.Commit(ctx, kv.Txn{
		Expect: []kv.Expect{{Key: OwnerKey}, {Key: CommitKey, Version: item.Version}},
		Writes: []kv.Write{{Key: OwnerKey, Value: owner, Lease: lease}, {Key: CommitKey, Value: value}},
	})
	if err == nil && !result.Committed {
		err = problem.New(problem.Conflict, problem.Detail{Field: "owner key", Remedy: "follow the node that has won"})
	}
	if err != nil {
		// A lost answer may hide success; the lease must not keep the key then.
		_ = t.config.Store.Revoke(context.WithoutCancel(ctx), lease)
		return nil, err
	}
	term := &Term{Fence: mark.Fence, CommitVersion: result.Version, lease: lease, recheck: make(chan struct{}, 1),
		over: make(chan struct{})}
	term.renewed.Store(int64(sent))
	return term, nil
}

// renew keeps the lease of a term until the term is over.
func (t *Election) renew(ctx context.Context, term *Term) {
	tick := t.config.Timer.Every(renewPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-term.recheck:
		}
		sent := timer.Boot()
		call, cancel := context.WithTimeout(ctx, callTimeout)
		err := t.config.Store.KeepAlive(call, term.lease)
		cancel()
		if ctx.Err() == nil {
			t.store.Observe(err)
		}
		switch {
		case err == nil:
			term.renewed.Store(int64(sent))
			term.doubted.Store(false)
		case problem.Is(err, problem.NotFound):
			term.End(errors.Wrap(err, "the lease of the owner key has ended"))
			return
		default:
			term.doubted.Store(true)
		}
	}
}
