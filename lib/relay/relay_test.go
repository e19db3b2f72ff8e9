package relay_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"bronzewinch.dev/lib/controller"
	"bronzewinch.dev/lib/election"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/peer"
	"bronzewinch.dev/lib/relay"
	"bronzewinch.dev/lib/task"
	"bronzewinch.dev/lib/timer"

	"github.com/matryer/is"
)

// fakeElection holds the owner that the test sets.
type fakeElection struct {
	mu             sync.Mutex
	owner          election.Owner
	storeSuspected bool
	idle           bool
	storeReachable bool
	storeDelay     time.Duration // by which answers of the store are late
	failures       int           // of the next calls to the store
	resigned       bool
	revoked        task.Fence
}

func (e *fakeElection) Owner() election.Owner {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.owner
}

func (e *fakeElection) UpdateOwner(n election.Owner) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.owner = n
}

func (e *fakeElection) Refresh() {}

func (e *fakeElection) StoreSuspected() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.storeSuspected
}

func (e *fakeElection) Idle() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.idle
}

func (e *fakeElection) StoreReachable(ctx context.Context) bool {
	e.mu.Lock()
	reachable, delay, failures := e.storeReachable, e.storeDelay, e.failures
	e.failures--
	e.mu.Unlock()
	select {
	case <-time.After(delay):
		return reachable && failures <= 0
	case <-ctx.Done():
		return false
	}
}

func (e *fakeElection) Resign(context.Context) (task.Fence, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.storeSuspected, e.resigned = false, true
	return e.owner.Fence, true
}

func (e *fakeElection) RevokeOwner(_ context.Context, f task.Fence) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.revoked = f
	return nil
}

// state returns whether the node has resigned, and which fence it was told to
// depose.
func (e *fakeElection) state() (resigned bool, revoked task.Fence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.resigned, e.revoked
}

// fakeController gives one answer to every call, after it has hung while hang is open.
type fakeController struct {
	outcome    controller.Outcome
	hang       chan struct{}
	called     chan struct{}
	heartbeats chan struct{}
}

func (c *fakeController) Handle(ctx context.Context, _ controller.Request) controller.Reply {
	if c.called != nil {
		c.called <- struct{}{}
	}
	if c.hang != nil {
		select {
		case <-c.hang:
		case <-ctx.Done():
		}
	}
	return controller.Reply{Outcome: c.outcome}
}

func (c *fakeController) Heartbeat(id.Node) bool {
	if c.heartbeats != nil {
		c.heartbeats <- struct{}{}
	}
	if c.hang != nil {
		<-c.hang
	}
	return true
}

type node struct {
	*relay.Relay
	election *fakeElection
	address  string
	server   *peer.Server
}

func newNode(t *testing.T, name id.Node, c relay.Controller) *node {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := &node{election: &fakeElection{}, address: listener.Addr().String(), server: peer.NewServer(peer.ServerConfig{})}
	pool := peer.NewPool(peer.PoolConfig{})
	n.Relay = relay.New(relay.Config{Node: name, Address: n.address, Election: n.election, Controller: c, Pool: pool, Server: n.server,
		Timer: timer.NewSystem()})
	n.server.Serve(listener)
	t.Cleanup(func() {
		n.Close()
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		n.server.Close(ctx)
		pool.Close()
	})
	return n
}

func (n *node) asOwner(name id.Node, fence task.Fence) election.Owner {
	return election.Owner{Node: name, Address: n.address, Fence: fence}
}

func awaitReady(t *testing.T, n *node) {
	t.Helper()
	for range 100 {
		if n.Ready() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatal("the node did not become ready")
}

// TestCallIsRepeatedAtNextOwner guards against a call that is held until its
// deadline because the owner fell silent, and against a job that is reported
// as turned away though the silent owner may have accepted it.
func TestCallIsRepeatedAtNextOwner(t *testing.T) {
	for _, test := range []struct {
		name string
		verb controller.Verb
		next controller.Outcome
		want controller.Outcome
	}{
		{"job accepted by the next owner", controller.Submit, controller.OK, controller.OK},
		{"key revoked in between", controller.Submit, controller.Unauthorized, controller.Unknown},
		{"cancel of a job that is gone", controller.Cancel, controller.NoJob, controller.NoJob},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			unresponsive := &fakeController{outcome: controller.OK, hang: make(chan struct{}), called: make(chan struct{}, 10)}
			old := newNode(t, "old", unresponsive)
			next := newNode(t, "next", &fakeController{outcome: test.next})
			front := newNode(t, "front", &fakeController{})
			t.Cleanup(func() { close(unresponsive.hang) })
			front.election.UpdateOwner(old.asOwner("old", 1))
			done := make(chan controller.Reply, 1)
			go func() { done <- front.Handle(context.Background(), controller.Request{Verb: test.verb}) }()
			<-unresponsive.called
			front.election.UpdateOwner(next.asOwner("next", 2))
			is.Equal((<-done).Outcome, test.want)
		})
	}
}

// TestCallFailsFastWhenOwnerUnresponsive guards against callers that wait for an owner
// that is known not to answer.
func TestCallFailsFastWhenOwnerUnresponsive(t *testing.T) {
	is := is.New(t)
	unresponsive := &fakeController{hang: make(chan struct{}), heartbeats: make(chan struct{}, 100)}
	old := newNode(t, "old", unresponsive)
	t.Cleanup(func() { close(unresponsive.hang) })
	front := newNode(t, "front", &fakeController{})
	front.election.UpdateOwner(old.asOwner("old", 1))
	<-unresponsive.heartbeats
	<-unresponsive.heartbeats // the second greeting follows when the first has gone unanswered
	begun := time.Now()
	reply := front.Handle(context.Background(), controller.Request{Verb: controller.Submit})
	is.Equal(reply.Outcome, controller.Refused)
	is.True(reply.RetryAfter > 0)
	is.True(time.Since(begun) < 100*time.Millisecond)
	is.True(!front.Ready())
}

// TestReadyFollowsOwner guards against a node that takes calls it can't serve,
// and one that is not ready though the owner serves.
func TestReadyFollowsOwner(t *testing.T) {
	is := is.New(t)
	owner := newNode(t, "owner", &fakeController{outcome: controller.OK})
	front := newNode(t, "front", &fakeController{})
	front.election.UpdateOwner(owner.asOwner("owner", 1))
	awaitReady(t, front)
	front.Leave()
	is.True(!front.Ready())
}

// TestOwnerIsDiscoveredFromPeers guards against a node that the store turns away
// and that never learns of a new owner.
func TestOwnerIsDiscoveredFromPeers(t *testing.T) {
	owner := newNode(t, "owner", &fakeController{outcome: controller.OK})
	informed := newNode(t, "knowing", &fakeController{})
	informed.election.UpdateOwner(owner.asOwner("owner", 5))
	front := newNode(t, "front", &fakeController{})
	front.SetSeeds([]string{informed.address})
	awaitReady(t, front)
	is.New(t).Equal(front.election.Owner().Node, id.Node("owner"))
}

// TestHeartbeatTrafficIsBounded guards against traffic between nodes that grows with
// the square of their number.
func TestHeartbeatTrafficIsBounded(t *testing.T) {
	is := is.New(t)
	owner := newNode(t, "owner", &fakeController{})
	pool := peer.NewPool(peer.PoolConfig{})
	defer pool.Close()
	var last relay.HeartbeatReply
	for n := range 100 {
		var err error
		last, err = peer.Call[relay.Heartbeat, relay.HeartbeatReply](t.Context(), pool, owner.address, "hello",
			relay.Heartbeat{Node: id.Node(fmt.Sprint("n", n)), Address: fmt.Sprint("127.0.0.1:", n+1)})
		is.NoErr(err)
	}
	is.Equal(len(last.Peers), 8)
	is.Equal(last.Period, time.Second)
}

// TestOwnerHandsOver guards against an owner that keeps the scheduler though the
// metadata store turns it away, and against one that gives it up though it or
// no other node reaches the store.
func TestOwnerHandsOver(t *testing.T) {
	for _, test := range []struct {
		name                                   string
		suspected, ownReachable, peerReachable bool
		storeDelay                             time.Duration // for the owner; others get their answers at once
		failures                               int
		want                                   bool
	}{
		{"turned away", true, false, true, 0, 0, true},
		{"store is silent", true, false, true, 10 * time.Second, 0, true},
		{"nobody reaches the store", true, false, false, 0, 0, false},
		{"one call failed before", true, true, true, 0, 0, false},
		{"one refusal in between", true, true, true, 0, 1, false},
		{"slow store", true, true, true, 450 * time.Millisecond, 0, false}, // nearly twice the time of a slow day
		{"no doubt", false, false, true, 0, 0, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			owner := newNode(t, "owner", &fakeController{})
			peers := []*node{newNode(t, "p", &fakeController{}), newNode(t, "q", &fakeController{})}
			for i, p := range peers {
				p.election.UpdateOwner(owner.asOwner("owner", 3))
				p.election.storeReachable = test.peerReachable && i == 0
				awaitReady(t, p) // the owner has heard of the node
			}
			owner.election.mu.Lock()
			owner.election.owner = owner.asOwner("owner", 3)
			owner.election.storeSuspected, owner.election.storeReachable = test.suspected, test.ownReachable
			owner.election.storeDelay, owner.election.failures = test.storeDelay, test.failures
			owner.election.mu.Unlock()
			time.Sleep(time.Second)
			resigned, _ := owner.election.state()
			is.Equal(resigned, test.want)
			_, first := peers[0].election.state()
			_, second := peers[1].election.state()
			is.Equal(second, task.Fence(0)) // it could not depose anybody
			is.Equal(first == 3, test.want)
		})
	}
}

// TestKeyOfRestartedOwnerIsRevoked guards against waiting for the lease of an owner whose
// process was started anew and knows nothing of it.
func TestKeyOfRestartedOwnerIsRevoked(t *testing.T) {
	for _, test := range []struct {
		name string
		node id.Node
		idle bool
		want task.Fence
	}{{"started anew", "owner", true, 3}, {"at work", "owner", false, 0}, {"another node at the address", "other", true, 0}} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			owner := newNode(t, test.node, &fakeController{})
			owner.election.mu.Lock()
			owner.election.idle = test.idle
			owner.election.mu.Unlock()
			follower := newNode(t, "follower", &fakeController{})
			follower.election.UpdateOwner(owner.asOwner("owner", 3))
			time.Sleep(time.Second)
			_, revoked := follower.election.state()
			is.Equal(revoked, test.want)
		})
	}
}
