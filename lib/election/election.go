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
	// suspectAge is the age of the last renewal from which an owner finds out
	// whether it has lost the service. Renewals come every renewPeriod.
	suspectAge = 550 * time.Millisecond
	// clockMargin covers the difference between this node's clock and the
	// service's over one lease.
	clockMargin = 150 * time.Millisecond
	// OutageGrace is how long after its last renewal an owner still extends the
	// leases of runs. It bridges an outage of the service, and a new owner waits
	// for it before it gives up runs on workers that it can't reach.
	OutageGrace   = 12 * time.Second
	minRetryPause = 150 * time.Millisecond
	// sufficientCores is enough for the owner of the users' deployments. A node with
	// half of it leaves campaignDelay to better ones before it campaigns.
	sufficientCores = 0.8
	campaignDelay   = 100 * time.Millisecond
	// maxRetryPause bounds the pause between calls to a service that does not answer.
	maxRetryPause = time.Second
	// campaignCooldown is how long a node that gave up ownership leaves it to others.
	campaignCooldown = 2 * time.Second
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
	var r CommitRecord
	err := cbor.Unmarshal(b, &r)
	return r, errors.Wrap(err, "commit key")
}

// Encode returns the value of the commit key.
func (r CommitRecord) Encode() ([]byte, error) { return codec.CBOR.Marshal(r) }

// Term is one time of ownership.
type Term struct {
	Fence task.Fence
	// CommitVersion is the version of the commit key at the start of the term.
	CommitVersion kv.Version

	lease     kv.LeaseID
	renewedAt atomic.Int64 // timer.Boot at the last renewal
	suspected atomic.Bool  // a call has failed since the last renewal
	renewNow  chan struct{}
	done      chan struct{} // closed when the owner's work has ended
	cancel    context.CancelCauseFunc
}

// Valid reports whether no other node can own the scheduler.
func (t *Term) Valid() bool { return t.sinceRenewal() < leaseTime-clockMargin }

// MayExtendLeases reports whether leases of runs may still be extended.
func (t *Term) MayExtendLeases() bool { return t.sinceRenewal() < OutageGrace }

// End gives ownership up.
func (t *Term) End(cause error) { t.cancel(cause) }

// StoreFailed notes that a call of the owner to the service has failed, and has the
// lease renewed at once.
func (t *Term) StoreFailed() {
	t.suspected.Store(true)
	select {
	case t.renewNow <- struct{}{}:
	default:
	}
}

func (t *Term) sinceRenewal() time.Duration { return timer.Boot() - time.Duration(t.renewedAt.Load()) }

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
	config      Config
	refresh     chan struct{}
	storeHealth *dependency.Dependency
	stop        context.CancelFunc
	wg          sync.WaitGroup
	campaigning atomic.Bool          // a campaign or a term is in progress
	term        atomic.Pointer[Term] // nil while this node is not the owner

	mu          sync.Mutex
	owner       Owner
	cooldownEnd time.Time
}

// New starts to follow the owner.
func New(c Config) *Election {
	ctx, cancel := context.WithCancel(context.Background())
	e := &Election{config: c, refresh: make(chan struct{}, 1), storeHealth: dependency.New("ownerKey", c.Timer), stop: cancel}
	e.wg.Go(func() { e.followOwner(ctx) })
	return e
}

// Close gives ownership up and stops.
func (e *Election) Close() {
	e.stop()
	e.wg.Wait()
}

// Owner returns the owner as last seen. Its Node is empty when there is none.
func (e *Election) Owner() Owner {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.owner
}

// UpdateOwner takes over an owner that another node has told of.
func (e *Election) UpdateOwner(o Owner) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Fence > e.owner.Fence {
		e.owner = o
	}
}

// Idle reports whether this node neither owns the scheduler nor tries to.
func (e *Election) Idle() bool { return !e.campaigning.Load() }

// StoreSuspected reports whether this node is the owner and may have lost the service.
func (e *Election) StoreSuspected() bool {
	term := e.term.Load()
	return term != nil && (term.suspected.Load() || term.sinceRenewal() > suspectAge)
}

// StoreReachable reports whether this node reaches the service now.
func (e *Election) StoreReachable(ctx context.Context) bool {
	_, err := e.config.Store.Get(ctx, CommitKey)
	return err == nil || problem.Is(err, problem.NotFound)
}

// Resign gives ownership up. It returns the fence once the owner's work has
// ended, or false when there is none to give up or ctx ends before.
func (e *Election) Resign(ctx context.Context) (task.Fence, bool) {
	term := e.term.Load()
	if term == nil {
		return 0, false
	}
	term.End(problem.New(problem.Unavailable, problem.Detail{
		Field: "metadata store", Remedy: "let a node that reaches it become the owner"}))
	select {
	case <-term.done:
		return term.Fence, true
	case <-ctx.Done():
		return 0, false
	}
}

// RevokeOwner frees the owner key of an owner that has resigned or whose process has
// ended. It does nothing once the key has another fence.
func (e *Election) RevokeOwner(ctx context.Context, fence task.Fence) error {
	items, _, err := e.config.Store.ListAll(ctx, OwnerKey)
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
		klog.InfoS("owner deposed", "event", "term", "node", e.config.Node, "owner", o.Node, "fence", fence)
		if err := e.config.Store.Revoke(ctx, item.Lease); err != nil && !problem.Is(err, problem.NotFound) {
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
func (e *Election) Refresh() {
	select {
	case e.refresh <- struct{}{}:
	default:
	}
}

func (e *Election) setOwner(o Owner) {
	e.mu.Lock()
	changed := e.owner != o
	e.owner = o
	e.mu.Unlock()
	if changed {
		klog.InfoS("owner changed", "event", "owner", "node", e.config.Node, "owner", o.Node, "fence", o.Fence)
	}
}

func (e *Election) followOwner(ctx context.Context) {
	pause := minRetryPause
	for ctx.Err() == nil {
		version, found, err := e.readOwner(ctx)
		if ctx.Err() == nil {
			e.storeHealth.Observe(err)
		}
		if err == nil {
			pause = minRetryPause
		}
		switch {
		case err != nil:
			_ = timer.Sleep(ctx, e.config.Timer, pause)
			pause = min(2*pause, maxRetryPause)
		case !found && !e.coolingDown():
			if delay := e.startDelay(); delay > 0 {
				_ = timer.Sleep(ctx, e.config.Timer, delay)
				if _, found, err := e.readOwner(ctx); found || err != nil {
					continue
				}
			}
			if err := e.campaign(ctx); err != nil && ctx.Err() == nil {
				klog.InfoS("ownership not won", "event", "campaign", "node", e.config.Node, "cause", err)
				_ = timer.Sleep(ctx, e.config.Timer, timer.Jitter(minRetryPause))
			}
		case !found:
			_ = timer.Sleep(ctx, e.config.Timer, minRetryPause)
		case e.isOwn(e.Owner()):
			// Nothing is followed during a term, so the key is of an earlier life
			// of this node, or of a term that it has given up.
			if err := e.RevokeOwner(ctx, e.Owner().Fence); err != nil && ctx.Err() == nil {
				klog.InfoS("owner key not freed; its lease runs out by itself", "event", "term", "node", e.config.Node, "cause", err)
				_ = timer.Sleep(ctx, e.config.Timer, minRetryPause)
			}
		default:
			e.awaitChange(ctx, version)
		}
	}
}

// isOwn reports whether an owner is this node.
func (e *Election) isOwn(o Owner) bool {
	return o.Node == e.config.Node && o.Address == e.config.Address
}

// startDelay is the time for which this node leaves a campaign to nodes with more
// processor time.
func (e *Election) startDelay() time.Duration {
	if e.config.Cores <= 0 || e.config.Cores >= sufficientCores {
		return 0
	}
	return time.Duration((sufficientCores/e.config.Cores - 1) * float64(campaignDelay))
}

func (e *Election) coolingDown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.config.Timer.Now().Before(e.cooldownEnd)
}

// readOwner returns whether there is an owner, and the version to watch from.
func (e *Election) readOwner(ctx context.Context) (kv.Version, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	items, version, err := e.config.Store.ListAll(ctx, OwnerKey)
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
		e.setOwner(o)
		return version, true, nil
	}
	e.setOwner(Owner{Fence: e.Owner().Fence})
	return 0, false, nil
}

// watchTimeout bounds the time for which a watch that hears nothing is trusted.
const watchTimeout = 3 * time.Second

// awaitChange returns when the owner key has changed, or after Refresh.
func (e *Election) awaitChange(ctx context.Context, version kv.Version) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	e.wg.Go(func() {
		defer close(done)
		for ctx.Err() == nil {
			events, next, err := e.config.Store.Watch(ctx, OwnerKey, version, watchTimeout)
			if err != nil || len(events) > 0 {
				return
			}
			version = max(version, next)
		}
	})
	select {
	case <-done:
	case <-e.refresh:
		cancel()
		<-done
		// Pokes come with each failed call; reading more often than this would
		// only load the service.
		_ = timer.Sleep(context.WithoutCancel(ctx), e.config.Timer, minRetryPause)
	case <-ctx.Done():
	}
}

// campaign tries to become the owner, and works as the owner until the term
// is over.
func (e *Election) campaign(ctx context.Context) error {
	e.campaigning.Store(true)
	defer e.campaigning.Store(false)
	term, err := e.acquire(ctx)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	term.cancel = cancel
	e.setOwner(Owner{Node: e.config.Node, Address: e.config.Address, Fence: term.Fence})
	klog.InfoS("ownership won", "event", "term", "node", e.config.Node, "fence", term.Fence)
	e.term.Store(term)
	var wg sync.WaitGroup
	wg.Go(func() { e.renewLease(ctx, term) })
	err = e.config.Runner.Serve(ctx, term)
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	cancel(err)
	wg.Wait()
	e.term.Store(nil)
	e.campaigning.Store(false)
	close(term.done)
	klog.InfoS("ownership ended", "event", "term", "node", e.config.Node, "fence", term.Fence, "cause", err)
	e.mu.Lock()
	e.owner = Owner{Fence: term.Fence}
	e.cooldownEnd = e.config.Timer.Now().Add(campaignCooldown)
	e.mu.Unlock()
	ending, done := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer done()
	if err := e.config.Store.Revoke(ending, term.lease); err != nil && !problem.Is(err, problem.NotFound) {
		klog.InfoS("lease not ended; it runs out by itself", "event", "term", "cause", err)
	}
	return nil
}

// acquire writes the owner key and raises the fence in one transaction.
func (e *Election) acquire(ctx context.Context) (*Term, error) {
	ctx, cancel := context.WithTimeout(ctx, 3*callTimeout)
	defer cancel()
	var record CommitRecord
	item, err := e.config.Store.Get(ctx, CommitKey)
	switch {
	case problem.Is(err, problem.NotFound):
	case err != nil:
		return nil, err
	default:
		if record, err = DecodeCommitRecord(item.Value); err != nil {
			return nil, err
		}
	}
	sent := timer.Boot()
	lease, err := e.config.Store.Grant(ctx, leaseTime)
	if err != nil {
		return nil, err
	}
	record = CommitRecord{Fence: record.Fence + 1}
	value, err := record.Encode()
	if err != nil {
		return nil, err
	}
	owner, err := codec.CBOR.Marshal(Owner{Node: e.config.Node, Address: e.config.Address, Fence: record.Fence})
	if err != nil {
		return nil, err
	}
	result, err := e.config.Store.Commit(ctx, kv.Txn{
		Expect: []kv.Expect{{Key: OwnerKey}, {Key: CommitKey, Version: item.Version}},
		Writes: []kv.Write{{Key: OwnerKey, Value: owner, Lease: lease}, {Key: CommitKey, Value: value}},
	})
	if err == nil && !result.Committed {
		err = problem.New(problem.Conflict, problem.Detail{Field: "owner key", Remedy: "follow the node that has won"})
	}
	if err != nil {
		// A lost answer may hide success; the lease must not keep the key then.
		_ = e.config.Store.Revoke(context.WithoutCancel(ctx), lease)
		return nil, err
	}
	term := &Term{Fence: record.Fence, CommitVersion: result.Version, lease: lease, renewNow: make(chan struct{}, 1),
		done: make(chan struct{})}
	term.renewedAt.Store(int64(sent))
	return term, nil
}

// renewLease keeps the lease of a term until the term is over.
func (e *Election) renewLease(ctx context.Context, term *Term) {
	tick := e.config.Timer.Every(renewPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-term.renewNow:
		}
		sent := timer.Boot()
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := e.config.Store.KeepAlive(callCtx, term.lease)
		cancel()
		if ctx.Err() == nil {
			e.storeHealth.Observe(err)
		}
		switch {
		case err == nil:
			term.renewedAt.Store(int64(sent))
			term.suspected.Store(false)
		case problem.Is(err, problem.NotFound):
			term.End(errors.Wrap(err, "the lease of the owner key has ended"))
			return
		default:
			term.suspected.Store(true)
		}
	}
}
