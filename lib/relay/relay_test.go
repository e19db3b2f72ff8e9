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
	"bronzewinch.dev/lib/unit"

	"github.com/matryer/is"
)

// fakeElection is an Election with an owner and faults that the test sets.
type fakeElection struct {
	fakeWitnesses
	mu             sync.Mutex
	owner          election.Owner
	storeSuspected bool
	idle           bool
	storeReachable bool
	storeDelay     time.Duration // delay of the store's answers
	failures       int           // number of the next calls to the store that fail
	resigned       bool
	revoked        task.Fence
	idleNodes      map[id.Node]task.Fence // as ObserveIdle recorded them
}

func (e *fakeElection) Owner() election.Owner {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.owner
}

func (e *fakeElection) UpdateOwner(o election.Owner) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.owner = o
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

func (e *fakeElection) IdleSince() (task.Fence, bool) { return e.Owner().Fence, e.Idle() }

func (e *fakeElection) ObserveIdle(node id.Node, _ string, known task.Fence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.idleNodes == nil {
		e.idleNodes = make(map[id.Node]task.Fence)
	}
	e.idleNodes[node] = known
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

// state returns whether the node has resigned, and the fence of the owner that
// it was requested to revoke.
func (e *fakeElection) state() (resigned bool, revoked task.Fence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.resigned, e.revoked
}

// fakeController gives the same reply to every call. If hang is not nil, it
// replies only once hang is closed.
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
	return newNodeWithMemory(t, name, c, 0)
}

// newNodeWithMemory is like newNode, with a bound of the calls of other nodes.
func newNodeWithMemory(t *testing.T, name id.Node, c relay.Controller, callMemory unit.Bytes) *node {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := &node{election: &fakeElection{}, address: listener.Addr().String(), server: peer.NewServer(peer.ServerConfig{})}
	pool := peer.NewPool(peer.PoolConfig{})
	n.Relay = relay.New(relay.Config{Node: name, Address: n.address, Election: n.election, Controller: c, Pool: pool, Server: n.server,
		CallMemory: callMemory, Timer: timer.NewSystem()})
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

// TestCallIsRepeatedAtNextOwner guards against a call that waits until its
// deadline because the owner has stopped answering, and against reporting a job
// as rejected although the unresponsive owner may have accepted it.
func TestCallIsRepeatedAtNextOwner(t *testing.T) {
	for _, test := range []struct {
		name string
		verb controller.Verb
		next controller.Outcome
		want controller.Outcome
	}{
		{"job accepted by the next owner", controller.Submit, controller.OK, controller.OK},
		{"key revoked in between", controller.Submit, controller.Unauthorized, controller.Unknown},
		{"cancel of a job that no longer exists", controller.Cancel, controller.NoJob, controller.NoJob},
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

// TestCallFailsFastWhenOwnerUnresponsive guards against callers that wait for
// an owner whose heartbeats have already failed.
func TestCallFailsFastWhenOwnerUnresponsive(t *testing.T) {
	is := is.New(t)
	unresponsive := &fakeController{hang: make(chan struct{}), heartbeats: make(chan struct{}, 100)}
	old := newNode(t, "old", unresponsive)
	t.Cleanup(func() { close(unresponsive.hang) })
	front := newNode(t, "front", &fakeController{})
	front.election.UpdateOwner(old.asOwner("old", 1))
	<-unresponsive.heartbeats
	<-unresponsive.heartbeats // the second heartbeat is sent after the first has timed out
	start := time.Now()
	reply := front.Handle(context.Background(), controller.Request{Verb: controller.Submit})
	is.Equal(reply.Outcome, controller.Refused)
	is.True(reply.RetryAfter > 0)
	is.True(time.Since(start) < 100*time.Millisecond)
	is.True(!front.Ready())
}

// TestCallsOfOtherNodesAreBounded guards against an owner that runs out of memory because
// the other nodes together forward more than it can hold, and against a large job that is
// refused by an idle owner.
func TestCallsOfOtherNodesAreBounded(t *testing.T) {
	is := is.New(t)
	busy := &fakeController{outcome: controller.OK, hang: make(chan struct{}), called: make(chan struct{}, 10)}
	owner := newNodeWithMemory(t, "owner", busy, 64*unit.KiB)
	front := newNode(t, "front", &fakeController{})
	front.election.UpdateOwner(owner.asOwner("owner", 1))
	large := controller.Request{Verb: controller.Submit, Job: &task.Job{Steps: make([]task.Step, 1000)}}
	done := make(chan controller.Reply, 1)
	go func() { done <- front.Handle(context.Background(), large) }()
	<-busy.called
	is.Equal(front.Handle(context.Background(), controller.Request{Verb: controller.Query}).Outcome, controller.Refused)
	close(busy.hang)
	is.Equal((<-done).Outcome, controller.OK)
	is.Equal(front.Handle(context.Background(), large).Outcome, controller.OK)
}

// TestReadyFollowsOwner guards against a node that is not ready although the
// owner serves calls, and against a node that stays ready after Leave.
func TestReadyFollowsOwner(t *testing.T) {
	is := is.New(t)
	owner := newNode(t, "owner", &fakeController{outcome: controller.OK})
	front := newNode(t, "front", &fakeController{})
	front.election.UpdateOwner(owner.asOwner("owner", 1))
	awaitReady(t, front)
	front.Leave()
	is.True(!front.Ready())
}

// TestOwnerIsDiscoveredFromPeers guards against a node that the store rejects
// and that therefore never discovers a new owner.
func TestOwnerIsDiscoveredFromPeers(t *testing.T) {
	owner := newNode(t, "owner", &fakeController{outcome: controller.OK})
	informed := newNode(t, "informed", &fakeController{})
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

// TestOwnerHandsOver guards against an owner that stays the owner although the
// metadata store rejects its calls, and against an owner that resigns although
// it still reaches the store or no other node does.
func TestOwnerHandsOver(t *testing.T) {
	for _, test := range []struct {
		name                                   string
		suspected, ownReachable, peerReachable bool
		storeDelay                             time.Duration // of the owner's calls; those of other nodes are answered immediately
		failures                               int
		want                                   bool
	}{
		{"store rejects the owner", true, false, true, 0, 0, true},
		{"store does not answer the owner", true, false, true, 10 * time.Second, 0, true},
		{"nobody reaches the store", true, false, false, 0, 0, false},
		{"one call failed before", true, true, true, 0, 0, false},
		{"one refusal in between", true, true, true, 0, 1, false},
		{"slow store", true, true, true, 450 * time.Millisecond, 0, false}, // nearly twice the response time of a slow store
		{"store not suspected", false, false, true, 0, 0, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			owner := newNode(t, "owner", &fakeController{})
			peers := []*node{newNode(t, "p", &fakeController{}), newNode(t, "q", &fakeController{})}
			for i, p := range peers {
				p.election.UpdateOwner(owner.asOwner("owner", 3))
				p.election.storeReachable = test.peerReachable && i == 0
				awaitReady(t, p) // the owner has received a heartbeat of the node
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
			is.Equal(second, task.Fence(0)) // this node does not reach the store, so it is not requested to revoke
			is.Equal(first == 3, test.want)
		})
	}
}

// TestKeyOfRestartedOwnerIsRevoked guards against waiting for the lease of an
// owner to expire although its process was restarted and no longer holds that
// lease.
func TestKeyOfRestartedOwnerIsRevoked(t *testing.T) {
	for _, test := range []struct {
		name string
		node id.Node
		idle bool
		want task.Fence
	}{{"restarted", "owner", true, 3}, {"still serving", "owner", false, 0}, {"another node at the address", "other", true, 0}} {
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

// TestHeartbeatReportsIdleNode guards against an owner that is not told that the earlier
// owner's node has restarted.
func TestHeartbeatReportsIdleNode(t *testing.T) {
	is := is.New(t)
	owner := newNode(t, "owner", &fakeController{outcome: controller.OK})
	front := newNode(t, "front", &fakeController{})
	front.election.mu.Lock()
	front.election.idle = true
	front.election.mu.Unlock()
	front.election.UpdateOwner(owner.asOwner("owner", 7))
	awaitReady(t, front)
	owner.election.mu.Lock()
	defer owner.election.mu.Unlock()
	is.Equal(owner.election.idleNodes["front"], task.Fence(7))
}
