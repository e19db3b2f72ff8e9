// Package relay forwards client calls from any node to the node that owns the
// scheduler, and reports whether this node can serve calls.
package relay

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"bronzewinch.dev/lib/controller"
	"bronzewinch.dev/lib/delegate"
	"bronzewinch.dev/lib/dependency"
	"bronzewinch.dev/lib/election"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/logline"
	"bronzewinch.dev/lib/peer"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/task"
	"bronzewinch.dev/lib/timer"
	"bronzewinch.dev/lib/unit"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/semaphore"
	"k8s.io/klog/v2"
)

const (
	// minHeartbeatPeriod and heartbeatTimeout let a node detect within a second
	// that the owner is unreachable.
	minHeartbeatPeriod = 400 * time.Millisecond
	heartbeatTimeout   = 350 * time.Millisecond
	// heartbeatSpacing is the mean time between two heartbeats that the owner
	// receives. With more than forty nodes, each node sends heartbeats less often.
	heartbeatSpacing = 10 * time.Millisecond
	// ownerCheckPeriod is how often an owner checks whether it should hand over.
	ownerCheckPeriod = 100 * time.Millisecond
	// maxHeartbeatPeriod bounds the period of a node's heartbeats.
	maxHeartbeatPeriod = 2 * time.Second
	// readyHeartbeats is the number of heartbeat periods for which one reply of a
	// serving owner keeps this node ready.
	readyHeartbeats = 3
	// maxReplyPeers and maxQueriedPeers bound the nodes that a reply lists and
	// that are queried for the owner, so that traffic doesn't grow with the square
	// of the number of nodes.
	maxReplyPeers   = 8
	maxQueriedPeers = 3
	// callTimeout bounds a call to the owner. Clients time out after three
	// seconds.
	callTimeout = 2500 * time.Millisecond
	// retryAfter is the time within which a new owner usually serves calls.
	retryAfter = time.Second
)

// Names of the methods that nodes call on each other.
const (
	callMethod        = "call"
	heartbeatMethod   = "hello"
	storeProbeMethod  = "reach"
	revokeOwnerMethod = "depose"
	confirmMethod     = "confirm"
	supersedeMethod   = "supersede"
)

// Heartbeat announces a node to the owner. Nodes also send it to other nodes to
// find the owner.
type Heartbeat struct {
	Node    id.Node `cbor:"node"`
	Address string  `cbor:"address"`
	// Idle means that the sender was neither the owner nor campaigning when it knew an
	// owner with KnownFence.
	Idle       bool       `cbor:"idle,omitempty"`
	KnownFence task.Fence `cbor:"knownFence,omitempty"`
	// Delegate describes the sender if it can make calls to workers for the owner.
	Delegate *delegate.Node `cbor:"delegate,omitempty"`
	// Witness means that the sender can be a witness of the owner, in Zone.
	Witness bool    `cbor:"witness,omitempty"`
	Zone    id.Zone `cbor:"zone,omitempty"`
}

// HeartbeatReply is the state of the node that received a heartbeat.
type HeartbeatReply struct {
	Node    id.Node `cbor:"node"`
	Serving bool    `cbor:"serving"`
	// Idle means that the node is neither the owner nor campaigning.
	Idle  bool           `cbor:"idle,omitempty"`
	Owner election.Owner `cbor:"owner"`
	// Peers are the addresses of some nodes that recently sent heartbeats.
	Peers []string `cbor:"peers,omitempty"`
	// Period is the heartbeat period that the node requests.
	Period time.Duration `cbor:"period,omitempty"`
}

// Election determines which node owns the scheduler.
type Election interface {
	Owner() election.Owner
	UpdateOwner(election.Owner)
	Refresh()
	// Idle reports whether this node is neither the owner nor campaigning.
	Idle() bool
	// IdleSince returns the fence of the known owner if this node is idle. ObserveIdle
	// records that of another node.
	IdleSince() (task.Fence, bool)
	ObserveIdle(node id.Node, address string, known task.Fence)
	// StoreSuspected reports whether this node is the owner and may have lost its
	// connection to the metadata store. StoreReachable reports whether the store
	// answers this node now.
	StoreSuspected() bool
	StoreReachable(ctx context.Context) bool
	// Resign ends the term of this node. RevokeOwner revokes the owner key of an
	// owner that has resigned or whose process has ended.
	Resign(ctx context.Context) (task.Fence, bool)
	RevokeOwner(ctx context.Context, fence task.Fence) error
	Witness
	WitnessedOwner
}

// Controller processes calls while this node is the owner.
type Controller interface {
	Handle(ctx context.Context, req controller.Request) controller.Reply
	Heartbeat(from id.Node) bool
}

// Delegates receives the descriptions of the nodes that can make calls to workers.
type Delegates interface {
	Observe(now time.Duration, n delegate.Node)
	Remove(address string)
}

// OwnerObserver is told when the owner stops answering, and when one serves calls.
type OwnerObserver interface {
	OwnerLost()
	OwnerServes()
}

// Config configures a Relay.
type Config struct {
	Node    id.Node
	Address string
	Zone    id.Zone
	// Cores is the processor time of this node, in cores.
	Cores float64
	// Delegates may be nil if the owner makes all calls to workers itself.
	Delegates Delegates
	// OwnerObserver may be nil.
	OwnerObserver OwnerObserver
	// Seeds are addresses of nodes that may know the owner.
	Seeds      []string
	Election   Election
	Controller Controller
	Pool       *peer.Pool
	Server     *peer.Server
	// CallMemory bounds what the calls of other nodes that this node processes take. Zero
	// means that they are not bounded.
	CallMemory unit.Bytes
	Timer      timer.Service
}

// Relay forwards calls to the owner and monitors it with heartbeats.
type Relay struct {
	config Config
	stop   context.CancelFunc
	wg     sync.WaitGroup
	calls  *semaphore.Weighted // bytes of the calls of other nodes, or nil

	ownerHealth *dependency.Dependency
	leaving     atomic.Bool
	// Used by the heartbeat goroutine only.
	lastStoreCheck, lastInquiry, lastCandidates time.Time

	mu     sync.Mutex
	seeds  []string
	period time.Duration // heartbeat period that the owner requested
	// trackedOwner is the owner that reachableCtx refers to. The context ends when
	// that owner stops answering; the field is nil until it answers again.
	trackedOwner    election.Owner
	reachableCtx    context.Context
	cancelReachable context.CancelFunc
	lastServed      time.Time            // when the owner last reported that it serves calls
	peersSeen       map[string]time.Time // when other nodes last sent a heartbeat or were listed in a reply, by address
	candidates      map[string]candidate // nodes that can be witnesses, by address
}

// New returns a relay that answers other nodes and sends heartbeats to the
// owner.
func New(c Config) *Relay {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Relay{config: c, stop: cancel, ownerHealth: dependency.New("owner", c.Timer), seeds: c.Seeds,
		period: minHeartbeatPeriod, peersSeen: make(map[string]time.Time), candidates: make(map[string]candidate)}
	if c.CallMemory > 0 {
		r.calls = semaphore.NewWeighted(int64(c.CallMemory))
	}
	peer.Handle(c.Server, callMethod, r.handleCall)
	peer.Handle(c.Server, heartbeatMethod, r.handleHeartbeat)
	peer.Handle(c.Server, storeProbeMethod, r.handleStoreProbe)
	peer.Handle(c.Server, revokeOwnerMethod, r.handleRevokeOwner)
	peer.Handle(c.Server, confirmMethod, r.handleConfirm)
	peer.Handle(c.Server, supersedeMethod, r.handleSupersede)
	r.wg.Go(func() {
		for ctx.Err() == nil {
			start := c.Timer.Now()
			r.sendHeartbeat(ctx)
			_ = timer.Sleep(ctx, c.Timer, max(ownerCheckPeriod, r.heartbeatPeriod()-c.Timer.Now().Sub(start)))
		}
	})
	return r
}

// callMemory is what a call takes while it is processed, without its job.
const callMemory = 4 * unit.KiB

// handleCall processes a call that another node has received. All nodes together can hold
// more calls than the owner has memory for.
func (r *Relay) handleCall(ctx context.Context, req controller.Request) (controller.Reply, error) {
	if r.calls != nil {
		cost := int64(callMemory)
		if req.Job != nil {
			cost += int64(req.Job.Memory())
		}
		cost = min(cost, int64(r.config.CallMemory)) // a single call is always processed
		if !r.calls.TryAcquire(cost) {
			return controller.Reply{Outcome: controller.Refused, RetryAfter: retryAfter,
				Detail: "the owner of the scheduler has no memory for further calls; retry later"}, nil
		}
		defer r.calls.Release(cost)
	}
	return r.config.Controller.Handle(ctx, req), nil
}

// Leave makes the node report that it is not ready, before it stops.
func (r *Relay) Leave() { r.leaving.Store(true) }

// Leaving reports whether Leave was called.
func (r *Relay) Leaving() bool { return r.leaving.Load() }

// SetSeeds replaces the addresses of nodes that may know the owner.
func (r *Relay) SetSeeds(seeds []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seeds = seeds
}

// Close stops the heartbeats to other nodes.
func (r *Relay) Close() {
	r.stop()
	r.wg.Wait()
}

// Ready reports whether calls to this node are likely to be served.
func (r *Relay) Ready() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.leaving.Load() && r.config.Timer.Now().Sub(r.lastServed) < readyHeartbeats*r.period
}

// heartbeatPeriod returns the period at which this node sends heartbeats to the
// owner or, if it is the owner, checks its own state.
func (r *Relay) heartbeatPeriod() time.Duration {
	if r.config.Election.Owner().Node == r.config.Node {
		return ownerCheckPeriod
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.period
}

// Handle forwards a call to the owner and returns the owner's reply. Calls may
// be repeated because a job is identified by its id. When the owner stops
// answering, a call that may have reached it is sent again to the next owner,
// and any other call is refused immediately.
func (r *Relay) Handle(ctx context.Context, req controller.Request) controller.Reply {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := false
	for ctx.Err() == nil {
		reachable, owner := r.reachableContext()
		if owner.Node == r.config.Node {
			reply := r.config.Controller.Handle(ctx, req)
			if !sent || conclusive(req.Verb, reply.Outcome) {
				return reply
			}
		} else if reachable != nil {
			reply, err := r.forward(ctx, reachable, owner, req)
			if err == nil && (!sent || conclusive(req.Verb, reply.Outcome)) {
				return reply
			}
			sent = sent || !problem.Is(err, problem.Unavailable)
		}
		if !sent {
			r.config.Election.Refresh()
			return controller.Reply{Outcome: controller.Refused, Detail: "the owner of the scheduler is unreachable; retry later",
				RetryAfter: retryAfter}
		}
		if timer.Sleep(ctx, r.config.Timer, forwardRetryPause) != nil {
			break
		}
	}
	return controller.Reply{Outcome: controller.Unknown, Detail: "the call may have been executed; repeat it with the same job id"}
}

// conclusive reports whether the reply to a repeated call determines its
// outcome. A job that is rejected at the second attempt may have been accepted
// at the first, for example because its key was revoked in between.
func conclusive(v controller.Verb, o controller.Outcome) bool {
	return o == controller.OK || v != controller.Submit && o != controller.Refused
}

// forwardRetryPause is the pause before a call is sent again.
const forwardRetryPause = 100 * time.Millisecond

// forward sends a call to the owner. It cancels the call when reachable ends.
func (r *Relay) forward(ctx, reachable context.Context, owner election.Owner, req controller.Request) (controller.Reply, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(reachable, cancel)()
	reply, err := peer.Call[controller.Request, controller.Reply](ctx, r.config.Pool, owner.Address, callMethod, req)
	if err != nil {
		klog.InfoS("call not answered by the owner", "event", "relay", "verb", req.Verb, "path", logline.Shorten(req.Path), "owner", owner.Node,
			"fence", owner.Fence, "cause", err)
		r.config.Election.Refresh()
	}
	return reply, err
}

// reachableContext returns the owner, and a context that ends when the owner
// stops answering heartbeats. The context is nil if the owner does not answer
// or its address is not known.
func (r *Relay) reachableContext() (context.Context, election.Owner) {
	owner := r.config.Election.Owner()
	r.mu.Lock()
	defer r.mu.Unlock()
	if owner.Address == "" {
		return nil, owner
	}
	if owner.Fence > r.trackedOwner.Fence {
		r.setReachable(owner)
	}
	return r.reachableCtx, owner
}

// setReachable tracks a reachable owner with a new context. The lock is held.
func (r *Relay) setReachable(owner election.Owner) {
	if r.cancelReachable != nil {
		r.cancelReachable()
	}
	r.trackedOwner = owner
	r.reachableCtx, r.cancelReachable = context.WithCancel(context.Background())
}

// markUnreachable ends the context of an owner that does not answer.
func (r *Relay) markUnreachable(owner election.Owner) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if owner.Fence < r.trackedOwner.Fence {
		return
	}
	if r.cancelReachable != nil {
		r.cancelReachable()
	}
	r.trackedOwner, r.reachableCtx, r.cancelReachable = owner, nil, nil
}

// markReachable creates a context for an owner that answers again.
func (r *Relay) markReachable(owner election.Owner) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reachableCtx == nil || r.trackedOwner.Fence != owner.Fence {
		r.setReachable(owner)
	}
}

func (r *Relay) handleHeartbeat(_ context.Context, h Heartbeat) (HeartbeatReply, error) {
	now := r.config.Timer.Now()
	r.observeDelegate(h)
	r.observeCandidate(now, h)
	if h.Idle {
		r.config.Election.ObserveIdle(h.Node, h.Address, h.KnownFence)
	}
	r.mu.Lock()
	r.peersSeen[h.Address] = now
	period := min(maxHeartbeatPeriod, max(minHeartbeatPeriod, heartbeatSpacing*time.Duration(len(r.peersSeen))))
	r.mu.Unlock()
	return HeartbeatReply{Node: r.config.Node, Idle: r.config.Election.Idle(), Serving: r.config.Controller.Heartbeat(h.Node),
		Owner: r.config.Election.Owner(), Peers: r.recentPeers(now, maxReplyPeers), Period: period}, nil
}

// observeDelegate records whether the sender of a heartbeat can make calls to workers.
func (r *Relay) observeDelegate(h Heartbeat) {
	switch {
	case r.config.Delegates == nil:
	case h.Delegate != nil:
		r.config.Delegates.Observe(timer.SinceBoot(), *h.Delegate)
	default:
		r.config.Delegates.Remove(h.Address)
	}
}

// describe returns the description of this node for its heartbeats, or nil if it can't
// make calls to workers for the owner.
func (r *Relay) describe() *delegate.Node {
	if r.config.Delegates == nil || r.Leaving() {
		return nil
	}
	return &delegate.Node{ID: r.config.Node, Address: r.config.Address, Zone: r.config.Zone, Cores: r.config.Cores,
		Clock: timer.SinceBoot()}
}

// peerExpiry is how long a node counts as a peer after its last heartbeat or
// listing.
const peerExpiry = 30 * time.Second

// recentPeers returns the addresses of up to limit peers, chosen at random, and
// removes expired peers.
func (r *Relay) recentPeers(now time.Time, limit int) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []string
	for a, at := range r.peersSeen {
		if now.Sub(at) > peerExpiry {
			delete(r.peersSeen, a)
			r.config.Pool.Disconnect(a)
			continue
		}
		all = append(all, a)
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(limit, len(all))]
}

// sendHeartbeat sends a heartbeat to the owner and processes the reply. If the
// owner does not answer, it queries other nodes for the owner. On the owner
// itself, it calls the witnesses and checks whether to hand over.
func (r *Relay) sendHeartbeat(ctx context.Context) {
	owner := r.config.Election.Owner()
	if owner.Node == r.config.Node {
		if r.config.Controller.Heartbeat("") {
			r.markServed()
		}
		r.askWitnesses(ctx)
		r.offerWitnesses()
		if r.config.Election.StoreSuspected() {
			r.checkStore(ctx)
		}
		return
	}
	if owner.Address != "" {
		if reply, err := r.callHeartbeat(ctx, owner.Address); err == nil {
			r.markReachable(owner)
			r.ownerHealth.Observe(nil)
			r.setPeriod(reply.Period)
			if reply.Serving {
				r.markServed()
			}
			if reply.Owner.Fence > owner.Fence {
				r.config.Election.UpdateOwner(reply.Owner)
			} else if reply.Idle && reply.Node == owner.Node {
				r.revokeIdleOwner(ctx, owner)
			}
			return
		}
		if ctx.Err() == nil {
			r.ownerHealth.Observe(errors.Newf("owner %s with fence %d does not answer", owner.Node, owner.Fence))
		}
		r.markUnreachable(owner)
		if r.config.OwnerObserver != nil && ctx.Err() == nil {
			r.config.OwnerObserver.OwnerLost()
		}
		r.config.Election.Refresh()
	}
	r.queryOthers(ctx, owner)
}

// otherNodes returns the addresses of some peers and of the seeds, except this
// node and the excluded address.
func (r *Relay) otherNodes(excluded string) []string {
	addresses := r.recentPeers(r.config.Timer.Now(), maxQueriedPeers)
	r.mu.Lock()
	addresses = append(addresses, r.seeds...)
	r.mu.Unlock()
	slices.Sort(addresses)
	return slices.DeleteFunc(slices.Compact(addresses), func(a string) bool {
		return a == "" || a == excluded || a == r.config.Address
	})
}

func (r *Relay) queryOthers(ctx context.Context, owner election.Owner) {
	var wg sync.WaitGroup
	for _, a := range r.otherNodes(owner.Address) {
		wg.Go(func() {
			if reply, err := r.callHeartbeat(ctx, a); err == nil && reply.Owner.Fence > owner.Fence {
				r.config.Election.UpdateOwner(reply.Owner)
			}
		})
	}
	wg.Wait()
}

func (r *Relay) callHeartbeat(ctx context.Context, address string) (HeartbeatReply, error) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	known, idle := r.config.Election.IdleSince()
	reply, err := peer.Call[Heartbeat, HeartbeatReply](ctx, r.config.Pool, address, heartbeatMethod,
		Heartbeat{Node: r.config.Node, Address: r.config.Address, Idle: idle, KnownFence: known, Delegate: r.describe(),
			Witness: !r.Leaving(), Zone: r.config.Zone})
	if err != nil {
		return reply, err
	}
	now := r.config.Timer.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range reply.Peers {
		if a != r.config.Address {
			r.peersSeen[a] = now
		}
	}
	return reply, nil
}

func (r *Relay) setPeriod(p time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.period = max(minHeartbeatPeriod, p)
}

func (r *Relay) markServed() {
	if r.config.OwnerObserver != nil {
		r.config.OwnerObserver.OwnerServes()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastServed = r.config.Timer.Now()
}
