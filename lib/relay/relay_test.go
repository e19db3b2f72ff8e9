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
	mu       sync.Mutex
	owner    election.Owner
	doubtful bool
	idle     bool
	reaches  bool
	slow     time.Duration // by which answers of the store are late
	failures int           // of the next calls to the store
	resigned bool
	deposed  task.Fence
}

func (o *fakeElection) Owner() election.Owner {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.owner
}

func (o *fakeElection) UpdateOwner(n election.Owner) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.owner = n
}

func (o *fakeElection) Refresh() {}

func (o *fakeElection) StoreSuspected() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.doubtful
}

func (o *fakeElection) Idle() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.idle
}

func (o *fakeElection) StoreReachable(ctx context.Context) bool {
	o.mu.Lock()
	reaches, slow, failures := o.reaches, o.slow, o.failures
	o.failures--
	o.mu.Unlock()
	select {
	case <-time.After(slow):
		return reaches && failures <= 0
	case <-ctx.Done():
		return false
	}
}

func (o *fakeElection) Resign(context.Context) (task.Fence, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.doubtful, o.resigned = false, true
	return o.owner.Fence, true
}

func (o *fakeElection) RevokeOwner(_ context.Context, f task.Fence) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.deposed = f
	return nil
}

// state returns whether the node has resigned, and which fence it was told to
// depose.
func (o *fakeElection) state() (resigned bool, deposed task.Fence) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.resigned, o.deposed
}

// fakeController gives one answer to every call, after it has hung while hang is open.
type fakeController struct {
	outcome controller.Outcome
	hang    chan struct{}
	called  chan struct{}
	greeted chan struct{}
}

func (d *fakeController) Handle(ctx context.Context, _ controller.Request) controller.Reply {
	if d.called != nil {
		d.called <- struct{}{}
	}
	if d.hang != nil {
		select {
		case <-d.hang:
		case <-ctx.Done():
		}
	}
	return controller.Reply{Outcome: d.outcome}
}

func (d *fakeController) Heartbeat(id.Node) bool {
	if d.greeted != nil {
		d.greeted <- struct{}{}
	}
	if d.hang != nil {
		<-d.hang
	}
	return true
}

type node struct {
	*relay.Relay
	owners  *fakeElection
	address string
	server  *peer.Server
}

func newNode(t *testing.T, name id.Node, d relay.Controller) *node {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := &node{owners: &fakeElection{}, address: listener.Addr().String(), server: peer.NewServer(peer.ServerConfig{})}
	pool := peer.NewPool(peer.PoolConfig{})
	n.Relay = relay.New(relay.Config{Node: name, Address: n.address, Election: n.owners, Controller: d, Pool: pool, Server: n.server,
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

func (n *node) owner(name id.Node, fence task.Fence) election.Owner {
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

// TestCallGoesToNextOwner guards against a call that is held until its
// deadline because the owner fell silent, and against a job that is reported
// as turned away though the silent owner may have accepted it.
func TestCallGoesToNextOwner(t *testing.T) {
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
			silent := &fakeController{outcome: controller.OK, hang: make(chan struct{}), called: make(chan struct{}, 10)}
			old := newNode(t, "old", silent)
			next := newNode(t, "next", &fakeController{outcome: test.next})
			front := newNode(t, "front", &fakeController{})
			t.Cleanup(func() { close(silent.hang) })
			front.owners.UpdateOwner(old.owner("old", 1))
			done := make(chan controller.Reply, 1)
			go func() { done <- front.Handle(context.Background(), controller.Request{Verb: test.verb}) }()
			<-silent.called
			front.owners.UpdateOwner(next.owner("next", 2))
			is.Equal((<-done).Outcome, test.want)
		})
	}
}

// TestSilentOwnerRefusesAtOnce guards against callers that wait for an owner
// that is known not to answer.
func TestSilentOwnerRefusesAtOnce(t *testing.T) {
	is := is.New(t)
	silent := &fakeController{hang: make(chan struct{}), greeted: make(chan struct{}, 100)}
	old := newNode(t, "old", silent)
	t.Cleanup(func() { close(silent.hang) })
	front := newNode(t, "front", &fakeController{})
	front.owners.UpdateOwner(old.owner("old", 1))
	<-silent.greeted
	<-silent.greeted // the second greeting follows when the first has gone unanswered
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
	front.owners.UpdateOwner(owner.owner("owner", 1))
	awaitReady(t, front)
	front.Leave()
	is.True(!front.Ready())
}

// TestOwnerIsLearntFromPeers guards against a node that the store turns away
// and that never learns of a new owner.
func TestOwnerIsLearntFromPeers(t *testing.T) {
	owner := newNode(t, "owner", &fakeController{outcome: controller.OK})
	knowing := newNode(t, "knowing", &fakeController{})
	knowing.owners.UpdateOwner(owner.owner("owner", 5))
	front := newNode(t, "front", &fakeController{})
	front.SetSeeds([]string{knowing.address})
	awaitReady(t, front)
	is.New(t).Equal(front.owners.Owner().Node, id.Node("owner"))
}

// TestGreetingsAreBounded guards against traffic between nodes that grows with
// the square of their number.
func TestGreetingsAreBounded(t *testing.T) {
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
		name               string
		doubtful, own, one bool
		slow               time.Duration // for the owner; others get their answers at once
		failures           int
		want               bool
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
				p.owners.UpdateOwner(owner.owner("owner", 3))
				p.owners.reaches = test.one && i == 0
				awaitReady(t, p) // the owner has heard of the node
			}
			owner.owners.mu.Lock()
			owner.owners.owner = owner.owner("owner", 3)
			owner.owners.doubtful, owner.owners.reaches = test.doubtful, test.own
			owner.owners.slow, owner.owners.failures = test.slow, test.failures
			owner.owners.mu.Unlock()
			time.Sleep(time.Second)
			resigned, _ := owner.owners.state()
			is.Equal(resigned, test.want)
			_, first := peers[0].owners.state()
			_, second := peers[1].owners.state()
			is.Equal(second, task.Fence(0)) // it could not depose anybody
			is.Equal(first == 3, test.want)
		})
	}
}

// TestDeadOwnerIsDeposed guards against waiting for the lease of an owner whose
// process was started anew and knows nothing of it.
func TestDeadOwnerIsDeposed(t *testing.T) {
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
			owner.owners.mu.Lock()
			owner.owners.idle = test.idle
			owner.owners.mu.Unlock()
			follower := newNode(t, "follower", &fakeController{})
			follower.owners.UpdateOwner(owner.owner("owner", 3))
			time.Sleep(time.Second)
			_, deposed := follower.owners.state()
			is.Equal(deposed, test.want)
		})
	}
}
