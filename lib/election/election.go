// Package election elects the node that owns the scheduler. The owner holds a
// key in the key-value service (the store) under a lease. Each change of owner
// raises the fence and changes the version of the commit key, so that neither
// workers nor the store accept calls from an earlier owner.
package election

import (
	"context"
	"strconv"
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
	"bronzewinch.dev/lib/witness"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"k8s.io/klog/v2"
)

// Keys of the key-value service.
const (
	OwnerKey  = "bronzewinch/owner"
	CommitKey = "bronzewinch/commit"
	TermKey   = "bronzewinch/term"
)

const (
	// leaseTime bounds the time without an owner after the owner has failed. It is
	// several times the response time of a slow store. It is short because an
	// unnecessary change of owner takes only a tenth of a second.
	leaseTime = 1500 * time.Millisecond
	// renewPeriod leaves time for two more attempts when a renewal fails.
	renewPeriod = 400 * time.Millisecond
	callTimeout = 700 * time.Millisecond
	// sequenceTimeout bounds several calls that follow each other.
	sequenceTimeout = 3 * callTimeout
	// suspectAge is the time since the last renewal after which an owner checks
	// whether it can still reach the store. Renewals normally happen every
	// renewPeriod.
	suspectAge = 550 * time.Millisecond
	// clockMargin allows for the drift between the clocks of this node and the
	// store during one lease.
	clockMargin = 150 * time.Millisecond
	// OutageGrace is how long after its last renewal an owner still extends the
	// leases of runs, to bridge an outage of the store, if its witnesses confirm it. A
	// new owner that does not know that this has ended waits for it before it treats
	// runs on unreachable workers as lost.
	OutageGrace   = 12 * time.Second
	minRetryPause = 150 * time.Millisecond
	// sufficientCores is the processor time that an owner needs in the users'
	// deployments. A node with less delays its campaign, by campaignDelay if it
	// has half as much, so that a node with more can become the owner first.
	sufficientCores = 0.8
	campaignDelay   = 100 * time.Millisecond
	// maxRetryPause bounds the backoff between calls to a store that does not
	// answer.
	maxRetryPause = time.Second
	// campaignCooldown is how long a node does not campaign after its term has
	// ended, so that another node can become the owner.
	campaignCooldown = 2 * time.Second
)

// Store is the part of the key-value service that an election needs.
type Store interface {
	Get(ctx context.Context, key string) (kv.Item, error)
	// ListAll returns the items under a prefix, and a version from which Watch
	// returns every later change. The version of an item is not sufficient,
	// because the store may have discarded the history after it.
	ListAll(ctx context.Context, prefix string) ([]kv.Item, kv.Version, error)
	Watch(ctx context.Context, prefix string, from kv.Version, wait time.Duration) ([]kv.Event, kv.Version, error)
	Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error)
	KeepAlive(ctx context.Context, lease kv.LeaseID) error
	Revoke(ctx context.Context, lease kv.LeaseID) error
	Commit(ctx context.Context, txn kv.Txn) (kv.TxnResult, error)
}

// Runner runs the scheduler while this node is the owner.
type Runner interface {
	// Serve runs until ctx or the term ends.
	Serve(ctx context.Context, term *Term) error
}

// Owner is the node that owns the scheduler.
type Owner struct {
	Node    id.Node    `cbor:"node"`
	Address string     `cbor:"address"`
	Fence   task.Fence `cbor:"fence"`
}

// CommitRecord is the value of the commit key: the last fence that belongs to the term
// that wrote it last, and the number of that term's last transaction. Nodes of a
// version with one fence for each term continue from the last fence.
type CommitRecord struct {
	Fence  task.Fence `cbor:"fence"`
	Number uint64     `cbor:"number"`
}

// DecodeCommitRecord decodes the value of the commit key.
func DecodeCommitRecord(b []byte) (CommitRecord, error) {
	var r CommitRecord
	err := cbor.Unmarshal(b, &r)
	return r, errors.Wrap(err, "commit key")
}

// Encode encodes the value of the commit key.
func (r CommitRecord) Encode() ([]byte, error) { return codec.CBOR.Marshal(r) }

// FencesPerTerm is the number of fences of a term. It is a power of ten so that the
// fences in logs show the number of the term, and small enough that a fence remains an
// exact number in JSON for a billion terms.
const FencesPerTerm = 1_000_000

// firstFenceAfter returns the first fence of the term that follows a term with the
// given fence.
func firstFenceAfter(f task.Fence) task.Fence { return (f/FencesPerTerm + 1) * FencesPerTerm }

// Term is one period in which this node is the owner.
type Term struct {
	// Fence is the first fence of the term. FencesPerTerm fences from this one on
	// belong to the term.
	Fence task.Fence
	// CommitVersion is the version of the commit key at the start of the term.
	CommitVersion kv.Version

	raises        atomic.Uint64 // calls of NextFence
	earlier       *earlierTerms
	settled       atomic.Bool   // no earlier owner may extend leases
	settledNow    chan struct{} // receives a value when settled has become true
	confirmations *witness.Confirmations

	lease     kv.LeaseID
	startedAt time.Duration // timer.SinceBoot at the start of the term
	renewedAt atomic.Int64  // timer.SinceBoot at the last renewal
	suspected atomic.Bool   // a call to the store has failed since the last renewal
	renewNow  chan struct{}
	done      chan struct{} // closed when the runner has returned
	cancel    context.CancelCauseFunc
}

// Valid reports whether the lease is certain to be still valid, so that no
// other node can be the owner.
func (t *Term) Valid() bool { return t.sinceRenewal() < leaseTime-clockMargin }

// MayExtendLeases reports whether the owner may still extend the leases of
// runs. Once its own lease has expired, it needs the confirmations of its witnesses.
func (t *Term) MayExtendLeases() bool {
	return t.Valid() || t.sinceRenewal() < OutageGrace && t.confirmations.Sufficient(timer.SinceBoot())
}

// CommitRecord returns the record of a transaction of the term.
func (t *Term) CommitRecord(number uint64) CommitRecord {
	return CommitRecord{Fence: t.Fence + FencesPerTerm - 1, Number: number}
}

// LastFence returns the highest fence of the term that is in use.
func (t *Term) LastFence() task.Fence {
	return t.Fence + task.Fence(min(t.raises.Load(), FencesPerTerm-1))
}

// NextFence returns a fence that is higher than all that are in use. It ends the term
// when the fences of the term are used up.
func (t *Term) NextFence() task.Fence {
	if t.raises.Add(1) >= FencesPerTerm {
		t.End(problem.New(problem.Overloaded, problem.Detail{Field: "fences of the term", Limit: strconv.Itoa(FencesPerTerm),
			Remedy: "none needed; the next term has new ones"}))
	}
	return t.LastFence()
}

// End ends the term. The cause is logged.
func (t *Term) End(cause error) { t.cancel(cause) }

// StoreFailed records that a call of the owner to the store has failed, and
// triggers an immediate renewal of the lease.
func (t *Term) StoreFailed() {
	t.suspected.Store(true)
	select {
	case t.renewNow <- struct{}{}:
	default:
	}
}

func (t *Term) sinceRenewal() time.Duration {
	return timer.SinceBoot() - time.Duration(t.renewedAt.Load())
}

// Config configures an Election.
type Config struct {
	Node    id.Node
	Address string
	Store   Store
	Runner  Runner
	Timer   timer.Service
	// Cores is the processor time of this node, in cores. Zero counts as
	// sufficient.
	Cores float64
}

// Election follows the owner key and campaigns when there is no owner.
type Election struct {
	config      Config
	refresh     chan struct{}
	storeHealth *dependency.Dependency
	stop        context.CancelFunc
	wg          sync.WaitGroup
	active      atomic.Bool          // a campaign or a term is in progress
	term        atomic.Pointer[Term] // nil while this node is not the owner
	register    *witness.Register
	changing    atomic.Bool // a change of the witnesses is being stored

	mu          sync.Mutex
	owner       Owner
	cooldownEnd time.Time
}

// New returns an Election that has started to follow the owner key.
func New(c Config) *Election {
	ctx, cancel := context.WithCancel(context.Background())
	e := &Election{config: c, refresh: make(chan struct{}, 1), storeHealth: dependency.New("ownerKey", c.Timer), stop: cancel,
		register: witness.NewRegister(timer.SinceBoot())}
	e.wg.Go(func() { e.followOwner(ctx) })
	return e
}

// Close ends the term of this node, if any, and stops following the owner key.
func (e *Election) Close() {
	e.stop()
	e.wg.Wait()
}

// Owner returns the last known owner. Its Node is empty if there is none.
func (e *Election) Owner() Owner {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.owner
}

// OwnerFence returns the fence of the last known owner, also after its term.
func (e *Election) OwnerFence() task.Fence { return e.Owner().Fence }

// UpdateOwner stores an owner that another node has reported, if its fence is
// higher than that of the known owner.
func (e *Election) UpdateOwner(o Owner) {
	e.register.Observe(o.Fence)
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Fence > e.owner.Fence {
		e.owner = o
	}
}

// Idle reports whether this node is neither the owner nor campaigning.
func (e *Election) Idle() bool { return !e.active.Load() }

// StoreSuspected reports whether this node is the owner and may have lost its
// connection to the store.
func (e *Election) StoreSuspected() bool {
	term := e.term.Load()
	return term != nil && (term.suspected.Load() || term.sinceRenewal() > suspectAge)
}

// StoreReachable reports whether the store answers this node now.
func (e *Election) StoreReachable(ctx context.Context) bool {
	_, err := e.config.Store.Get(ctx, CommitKey)
	return err == nil || problem.Is(err, problem.NotFound)
}

// Resign ends the term of this node. It returns the fence of the term once the
// runner has returned, or false if this node is not the owner or ctx ends
// first.
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

// RevokeOwner records that the term of an owner has ended and revokes the lease of the
// owner key. It is called after the owner has resigned or its process has ended. It
// does nothing if the key has another fence.
func (e *Election) RevokeOwner(ctx context.Context, fence task.Fence) error {
	ctx, cancel := context.WithTimeout(ctx, sequenceTimeout)
	defer cancel()
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
		klog.InfoS("revoking owner key", "event", "term", "node", e.config.Node, "owner", o.Node, "fence", fence)
		e.recordEnd(ctx, fence)
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

// Refresh triggers an immediate read of the owner key. Callers use it when the
// owner does not answer.
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
				klog.InfoS("campaign failed", "event", "campaign", "node", e.config.Node, "cause", err)
				_ = timer.Sleep(ctx, e.config.Timer, timer.Jitter(minRetryPause))
			}
		case !found:
			_ = timer.Sleep(ctx, e.config.Timer, minRetryPause)
		case e.isOwn(e.Owner()):
			// The key is not read during a term, so this one is left from an
			// earlier process of this node or from a term that has ended.
			if err := e.RevokeOwner(ctx, e.Owner().Fence); err != nil && ctx.Err() == nil {
				klog.InfoS("owner key not revoked; its lease will expire", "event", "term", "node", e.config.Node, "cause", err)
				_ = timer.Sleep(ctx, e.config.Timer, minRetryPause)
			}
		default:
			e.awaitChange(ctx, version)
		}
	}
}

// isOwn reports whether an owner entry names this node.
func (e *Election) isOwn(o Owner) bool {
	return o.Node == e.config.Node && o.Address == e.config.Address
}

// startDelay returns how long this node delays its campaign so that a node with
// more processor time can become the owner first.
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

// readOwner reads the owner key. It returns the version to watch from, and
// whether there is an owner.
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
		e.register.ObserveStored(o.Fence)
		e.setOwner(o)
		return version, true, nil
	}
	e.setOwner(Owner{Fence: e.Owner().Fence})
	return 0, false, nil
}

// watchTimeout bounds how long a watch without events is relied on before it is
// renewed.
const watchTimeout = 3 * time.Second

// awaitChange returns when the owner key has changed, the watch has failed, or
// Refresh was called.
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
		// Every failed call triggers a Refresh. Reading the key more often than
		// this would only add load to the store.
		_ = timer.Sleep(context.WithoutCancel(ctx), e.config.Timer, minRetryPause)
	case <-ctx.Done():
	}
}

// campaign tries to become the owner and, if it succeeds, runs the term to its
// end.
func (e *Election) campaign(ctx context.Context) error {
	e.active.Store(true)
	defer e.active.Store(false)
	term, err := e.acquire(ctx)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	term.cancel = cancel
	e.register.ObserveStored(term.Fence)
	e.setOwner(Owner{Node: e.config.Node, Address: e.config.Address, Fence: term.Fence})
	klog.InfoS("ownership acquired", "event", "term", "node", e.config.Node, "fence", term.Fence)
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
	e.active.Store(false)
	close(term.done)
	klog.InfoS("ownership ended", "event", "term", "node", e.config.Node, "fence", term.Fence, "cause", err)
	e.mu.Lock()
	e.owner = Owner{Fence: term.Fence}
	e.cooldownEnd = e.config.Timer.Now().Add(campaignCooldown)
	e.mu.Unlock()
	ending, done := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer done()
	e.recordEnd(ending, term.Fence)
	if err := e.config.Store.Revoke(ending, term.lease); err != nil && !problem.Is(err, problem.NotFound) {
		klog.InfoS("owner lease not revoked; it will expire", "event", "term", "cause", err)
	}
	return nil
}

// acquire writes the owner key and the first fence of the new term in one transaction.
func (e *Election) acquire(ctx context.Context) (*Term, error) {
	ctx, cancel := context.WithTimeout(ctx, sequenceTimeout)
	defer cancel()
	record, version, err := readRecord(ctx, e.config.Store, CommitKey, DecodeCommitRecord)
	if err != nil {
		return nil, err
	}
	last, termVersion, err := readRecord(ctx, e.config.Store, TermKey, DecodeTermRecord)
	if err != nil {
		return nil, err
	}
	sent := timer.SinceBoot()
	lease, err := e.config.Store.Grant(ctx, leaseTime)
	if err != nil {
		return nil, err
	}
	fence := firstFenceAfter(record.Fence)
	term := &Term{Fence: fence, earlier: newEarlierTerms(last, fence, e.config), lease: lease, startedAt: sent,
		confirmations: witness.NewConfirmations(last.inheritedWitnesses(fence, e.config)),
		settledNow:    make(chan struct{}, 1), renewNow: make(chan struct{}, 1), done: make(chan struct{})}
	term.settled.Store(record == CommitRecord{} || term.earlier.ended())
	termRecord, err := e.termRecord(term).encode()
	if err != nil {
		return nil, err
	}
	value, err := term.CommitRecord(0).Encode()
	if err != nil {
		return nil, err
	}
	owner, err := codec.CBOR.Marshal(Owner{Node: e.config.Node, Address: e.config.Address, Fence: term.Fence})
	if err != nil {
		return nil, err
	}
	result, err := e.config.Store.Commit(ctx, kv.Txn{
		// The last owner may have changed its witnesses since its record was read.
		Expect: []kv.Expect{{Key: OwnerKey}, {Key: CommitKey, Version: version}, {Key: TermKey, Version: termVersion}},
		Writes: []kv.Write{{Key: OwnerKey, Value: owner, Lease: lease}, {Key: CommitKey, Value: value}, {Key: TermKey, Value: termRecord}},
	})
	if err == nil && !result.Committed {
		err = problem.New(problem.Conflict, problem.Detail{Field: "owner key", Remedy: "follow the node that has become the owner"})
	}
	if err != nil {
		// The transaction may have succeeded even though its response was lost. The
		// lease is revoked so that it does not keep the owner key.
		ending, done := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
		defer done()
		_ = e.config.Store.Revoke(ending, lease)
		return nil, err
	}
	term.CommitVersion = result.Version
	term.renewedAt.Store(int64(sent))
	return term, nil
}

// renewLease renews the lease of a term until the term ends.
func (e *Election) renewLease(ctx context.Context, term *Term) {
	tick := e.config.Timer.Every(renewPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-term.renewNow:
		case <-term.settledNow:
			e.wg.Go(func() { e.recordSettled(ctx, term) }) // a slow store must not delay renewals
			continue
		}
		if !term.settled.Load() && timer.SinceBoot()-term.startedAt > OutageGrace {
			term.settle("no earlier owner may extend leases any more")
		}
		sent := timer.SinceBoot()
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
			term.End(errors.Wrap(err, "the lease of the owner key has expired or was revoked"))
			return
		default:
			term.suspected.Store(true)
		}
	}
}
