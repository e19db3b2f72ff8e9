// Package relay passes the calls of clients on any node to the node that owns
// the scheduler, and tells whether this node can serve them.
package relay

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"bronzewinch.dev/lib/controller"
	"bronzewinch.dev/lib/dependency"
	"bronzewinch.dev/lib/election"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/peer"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/task"
	"bronzewinch.dev/lib/timer"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"
)

const (
	// helloPeriod and helloTimeout let a node learn within a second that the
	// owner is out of reach.
	helloPeriod  = 400 * time.Millisecond
	helloTimeout = 350 * time.Millisecond
	// helloShare is the time between two greetings that the owner answers: with
	// more than forty nodes each greets less often.
	helloShare = 10 * time.Millisecond
	// ownerPeriod is how often an owner finds out whether it should hand over.
	ownerPeriod = 100 * time.Millisecond
	// helloMost bounds the period at which a node greets.
	helloMost = 2 * time.Second
	// readyPeriods is how many periods one answer of the owner keeps this node
	// ready.
	readyPeriods = 3
	// replyPeers and askedPeers bound the nodes that a reply names and that are
	// asked for the owner, so that traffic doesn't grow with the square of the
	// nodes.
	replyPeers = 8
	askedPeers = 3
	// callTimeout bounds a call to the owner. Clients wait three seconds.
	callTimeout = 2500 * time.Millisecond
	// retryAfter is the time in which a new owner usually is at work.
	retryAfter = time.Second
)

// Methods between nodes.
const (
	callMethod   = "call"
	helloMethod  = "hello"
	reachMethod  = "reach"
	deposeMethod = "depose"
)

// Heartbeat tells the owner that a node is in touch.
type Heartbeat struct {
	Node    id.Node `cbor:"node"`
	Address string  `cbor:"address"`
}

// HeartbeatReply tells what the node that was asked knows.
type HeartbeatReply struct {
	Node    id.Node `cbor:"node"`
	Serving bool    `cbor:"serving"`
	// Idle means that the node neither owns the scheduler nor tries to.
	Idle  bool           `cbor:"idle,omitempty"`
	Owner election.Owner `cbor:"owner"`
	// Peers are addresses of some nodes that were lately in touch.
	Peers []string `cbor:"peers,omitempty"`
	// Period is how often the owner wants to be greeted.
	Period time.Duration `cbor:"period,omitempty"`
}

// Election tells which node owns the scheduler.
type Election interface {
	Owner() election.Owner
	UpdateOwner(election.Owner)
	Refresh()
	// Idle reports whether this node neither owns the scheduler nor tries to.
	Idle() bool
	// StoreSuspected reports whether this node is the owner and may have lost the
	// metadata store, and StoreReachable whether it reaches the store now.
	StoreSuspected() bool
	StoreReachable(ctx context.Context) bool
	// Resign gives ownership up, and RevokeOwner frees the place of an owner that has
	// resigned or ended.
	Resign(ctx context.Context) (task.Fence, bool)
	RevokeOwner(ctx context.Context, fence task.Fence) error
}

// Controller decides on calls where this node is the owner.
type Controller interface {
	Handle(ctx context.Context, req controller.Request) controller.Reply
	Heartbeat(from id.Node) bool
}

// Config configures a Relay.
type Config struct {
	Node    id.Node
	Address string
	// Seeds are addresses of nodes that may know the owner.
	Seeds      []string
	Election   Election
	Controller Controller
	Pool       *peer.Pool
	Server     *peer.Server
	Timer      timer.Service
}

// Relay passes calls on.
type Relay struct {
	config Config
	stop   context.CancelFunc
	wg     sync.WaitGroup

	owner   *dependency.Dependency
	leaving atomic.Bool
	tried   time.Time // when this node last tried to hand over; used by the greeting goroutine alone

	mu     sync.Mutex
	seeds  []string
	period time.Duration // how often the owner wants to be greeted
	// contacted is the owner that contactCtx is about.
	contacted  election.Owner
	contactCtx context.Context
	contactEnd context.CancelFunc
	ready      time.Time            // when the owner last said that it serves
	peers      map[string]time.Time // addresses of other nodes, and when they were last told of
}

// New returns a relay that answers other nodes and keeps in touch with the
// owner.
func New(c Config) *Relay {
	ctx, cancel := context.WithCancel(context.Background())
	g := &Relay{config: c, stop: cancel, owner: dependency.New("owner", c.Timer), seeds: c.Seeds, period: helloPeriod, peers: make(map[string]time.Time)}
	peer.Handle(c.Server, callMethod, func(ctx context.Context, req controller.Request) (controller.Reply, error) {
		return c.Controller.Handle(ctx, req), nil
	})
	peer.Handle(c.Server, helloMethod, g.answerHello)
	peer.Handle(c.Server, reachMethod, g.answerReach)
	peer.Handle(c.Server, deposeMethod, g.answerDepose)
	g.wg.Go(func() {
		for ctx.Err() == nil {
			begun := c.Timer.Now()
			g.greet(ctx)
			_ = timer.Sleep(ctx, c.Timer, max(ownerPeriod, g.greetPeriod()-c.Timer.Now().Sub(begun)))
		}
	})
	return g
}

// Leave makes the node say that it is not ready, before it stops.
func (g *Relay) Leave() { g.leaving.Store(true) }

// Leaving reports whether Leave was called.
func (g *Relay) Leaving() bool { return g.leaving.Load() }

// SetSeeds replaces the addresses of nodes that may know the owner.
func (g *Relay) SetSeeds(seeds []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.seeds = seeds
}

// Close ends the contact with other nodes.
func (g *Relay) Close() {
	g.stop()
	g.wg.Wait()
}

// Ready reports whether calls to this node are likely to be served.
func (g *Relay) Ready() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.leaving.Load() && g.config.Timer.Now().Sub(g.ready) < readyPeriods*g.period
}

// greetPeriod is how often the owner is greeted, or looks after itself.
func (g *Relay) greetPeriod() time.Duration {
	if g.config.Election.Owner().Node == g.config.Node {
		return ownerPeriod
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.period
}

// Handle has a call decided on by the owner. Calls may be repeated, as a job
// is known by its id: when the owner falls silent, a call that was sent to it
// is sent to the next owner, and one that was not is refused at once.
func (g *Relay) Handle(ctx context.Context, req controller.Request) controller.Reply {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := false
	for ctx.Err() == nil {
		contact, owner := g.contact()
		if owner.Node == g.config.Node {
			reply := g.config.Controller.Handle(ctx, req)
			if !sent || final(req.Verb, reply.Outcome) {
				return reply
			}
		} else if contact != nil {
			reply, err := g.relay(ctx, contact, owner, req)
			if err == nil && (!sent || final(req.Verb, reply.Outcome)) {
				return reply
			}
			sent = sent || !problem.Is(err, problem.Unavailable)
		}
		if !sent {
			g.config.Election.Refresh()
			return controller.Reply{Outcome: controller.Refused, Detail: "the owner is out of reach; try again", RetryAfter: retryAfter}
		}
		if timer.Sleep(ctx, g.config.Timer, retryPause) != nil {
			break
		}
	}
	return controller.Reply{Outcome: controller.Unknown, Detail: "send the call again with the same id; it may have been carried out"}
}

// final reports whether the answer to a repeated call tells what became of it.
// A job that is turned away at the second attempt may have been accepted at
// the first: its key may have been revoked in between.
func final(v controller.Verb, o controller.Outcome) bool {
	return o == controller.OK || v != controller.Submit && o != controller.Refused
}

// retryPause is the pause before a call is sent to the next owner.
const retryPause = 100 * time.Millisecond

// relay sends a call to the owner, until contact ends.
func (g *Relay) relay(ctx, contact context.Context, owner election.Owner, req controller.Request) (controller.Reply, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(contact, cancel)()
	reply, err := peer.Call[controller.Request, controller.Reply](ctx, g.config.Pool, owner.Address, callMethod, req)
	if err != nil {
		klog.InfoS("call not answered by the owner", "event", "relay", "verb", req.Verb, "path", req.Path, "owner", owner.Node,
			"fence", owner.Fence, "cause", err)
		g.config.Election.Refresh()
	}
	return reply, err
}

// contact returns the owner, and a context that ends when the owner falls
// silent. The context is nil when the owner is not known to answer.
func (g *Relay) contact() (context.Context, election.Owner) {
	owner := g.config.Election.Owner()
	g.mu.Lock()
	defer g.mu.Unlock()
	if owner.Address == "" {
		return nil, owner
	}
	if owner.Fence > g.contacted.Fence {
		g.renewContact(owner)
	}
	return g.contactCtx, owner
}

// renewContact begins a new contact. The lock is held.
func (g *Relay) renewContact(owner election.Owner) {
	if g.contactEnd != nil {
		g.contactEnd()
	}
	g.contacted = owner
	g.contactCtx, g.contactEnd = context.WithCancel(context.Background())
}

// silent ends the contact with an owner that does not answer.
func (g *Relay) silent(owner election.Owner) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if owner.Fence < g.contacted.Fence {
		return
	}
	if g.contactEnd != nil {
		g.contactEnd()
	}
	g.contacted, g.contactCtx, g.contactEnd = owner, nil, nil
}

// answered begins a contact with an owner that answers again.
func (g *Relay) answered(owner election.Owner) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.contactCtx == nil || g.contacted.Fence != owner.Fence {
		g.renewContact(owner)
	}
}

func (g *Relay) answerHello(_ context.Context, h Heartbeat) (HeartbeatReply, error) {
	now := g.config.Timer.Now()
	g.mu.Lock()
	g.peers[h.Address] = now
	period := min(helloMost, max(helloPeriod, helloShare*time.Duration(len(g.peers))))
	g.mu.Unlock()
	return HeartbeatReply{Node: g.config.Node, Idle: g.config.Election.Idle(), Serving: g.config.Controller.Heartbeat(h.Node),
		Owner: g.config.Election.Owner(), Peers: g.known(now, replyPeers), Period: period}, nil
}

// peerTime is how long a node that is not heard of counts as a peer.
const peerTime = 30 * time.Second

// known returns up to most nodes that were lately in touch, chosen at random.
func (g *Relay) known(now time.Time, most int) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var all []string
	for a, at := range g.peers {
		if now.Sub(at) > peerTime {
			delete(g.peers, a)
			g.config.Pool.Forget(a)
			continue
		}
		all = append(all, a)
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(most, len(all))]
}

// greet keeps in touch with the owner. When the owner does not answer, other
// nodes are asked who the owner is.
func (g *Relay) greet(ctx context.Context) {
	owner := g.config.Election.Owner()
	if owner.Node == g.config.Node {
		if g.config.Controller.Heartbeat("") {
			g.served()
		}
		if g.config.Election.StoreSuspected() {
			g.handOver(ctx)
		}
		return
	}
	if owner.Address != "" {
		if r, err := g.hello(ctx, owner.Address); err == nil {
			g.answered(owner)
			g.owner.Observe(nil)
			g.setPeriod(r.Period)
			if r.Serving {
				g.served()
			}
			if r.Owner.Fence > owner.Fence {
				g.config.Election.UpdateOwner(r.Owner)
			} else if r.Idle && r.Node == owner.Node {
				g.depose(ctx, owner)
			}
			return
		}
		if ctx.Err() == nil {
			g.owner.Observe(errors.Newf("owner %s with fence %d does not answer", owner.Node, owner.Fence))
		}
		g.silent(owner)
		g.config.Election.Refresh()
	}
	g.askOthers(ctx, owner)
}

// others returns the addresses of some other nodes, without one of them.
func (g *Relay) others(without string) []string {
	addresses := g.known(g.config.Timer.Now(), askedPeers)
	g.mu.Lock()
	addresses = append(addresses, g.seeds...)
	g.mu.Unlock()
	slices.Sort(addresses)
	return slices.DeleteFunc(slices.Compact(addresses), func(a string) bool {
		return a == "" || a == without || a == g.config.Address
	})
}

func (g *Relay) askOthers(ctx context.Context, owner election.Owner) {
	var wg sync.WaitGroup
	for _, a := range g.others(owner.Address) {
		wg.Go(func() {
			if r, err := g.hello(ctx, a); err == nil && r.Owner.Fence > owner.Fence {
				g.config.Election.UpdateOwner(r.Owner)
			}
		})
	}
	wg.Wait()
}

func (g *Relay) hello(ctx context.Context, address string) (HeartbeatReply, error) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	r, err := peer.Call[Heartbeat, HeartbeatReply](ctx, g.config.Pool, address, helloMethod,
		Heartbeat{Node: g.config.Node, Address: g.config.Address})
	if err != nil {
		return r, err
	}
	now := g.config.Timer.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, a := range r.Peers {
		if a != g.config.Address {
			g.peers[a] = now
		}
	}
	return r, nil
}

func (g *Relay) setPeriod(p time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.period = max(helloPeriod, p)
}

func (g *Relay) served() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ready = g.config.Timer.Now()
}
