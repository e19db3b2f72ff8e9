package gate_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"bronzewinch.dev/lib/desk"
	"bronzewinch.dev/lib/gate"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/peer"
	"bronzewinch.dev/lib/task"
	"bronzewinch.dev/lib/tenure"
	"bronzewinch.dev/lib/timer"

	"github.com/matryer/is"
)

// fakeOwners holds the owner that the test sets.
type fakeOwners struct {
	mu    sync.Mutex
	owner tenure.Owner
}

func (o *fakeOwners) Owner() tenure.Owner {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.owner
}

func (o *fakeOwners) Told(n tenure.Owner) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.owner = n
}

func (o *fakeOwners) Check() {}

// fakeDesk gives one answer to every call, after it has hung while hang is open.
type fakeDesk struct {
	outcome desk.Outcome
	hang    chan struct{}
	called  chan struct{}
	greeted chan struct{}
}

func (d *fakeDesk) Handle(ctx context.Context, _ desk.Request) desk.Reply {
	if d.called != nil {
		d.called <- struct{}{}
	}
	if d.hang != nil {
		select {
		case <-d.hang:
		case <-ctx.Done():
		}
	}
	return desk.Reply{Outcome: d.outcome}
}

func (d *fakeDesk) Hello(id.Node) bool {
	if d.greeted != nil {
		d.greeted <- struct{}{}
	}
	if d.hang != nil {
		<-d.hang
	}
	return true
}

type node struct {
	*gate.Gate
	owners  *fakeOwners
	address string
	server  *peer.Server
}

func newNode(t *testing.T, name id.Node, d gate.Desk) *node {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := &node{owners: &fakeOwners{}, address: listener.Addr().String(), server: peer.NewServer(peer.ServerConfig{})}
	pool := peer.NewPool(peer.PoolConfig{})
	n.Gate = gate.New(gate.Config{Node: name, Address: n.address, Owners: n.owners, Desk: d, Pool: pool, Server: n.server,
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

func (n *node) owner(name id.Node, fence task.Fence) tenure.Owner {
	return tenure.Owner{Node: name, Address: n.address, Fence: fence}
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
		verb desk.Verb
		next desk.Outcome
		want desk.Outcome
	}{
		{"job accepted by the next owner", desk.Submit, desk.OK, desk.OK},
		{"key revoked in between", desk.Submit, desk.Unauthorized, desk.Unknown},
		{"cancel of a job that is gone", desk.Cancel, desk.NoJob, desk.NoJob},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			silent := &fakeDesk{outcome: desk.OK, hang: make(chan struct{}), called: make(chan struct{}, 10)}
			old := newNode(t, "old", silent)
			next := newNode(t, "next", &fakeDesk{outcome: test.next})
			front := newNode(t, "front", &fakeDesk{})
			t.Cleanup(func() { close(silent.hang) })
			front.owners.Told(old.owner("old", 1))
			done := make(chan desk.Reply, 1)
			go func() { done <- front.Handle(context.Background(), desk.Request{Verb: test.verb}) }()
			<-silent.called
			front.owners.Told(next.owner("next", 2))
			is.Equal((<-done).Outcome, test.want)
		})
	}
}

// TestSilentOwnerRefusesAtOnce guards against callers that wait for an owner
// that is known not to answer.
func TestSilentOwnerRefusesAtOnce(t *testing.T) {
	is := is.New(t)
	silent := &fakeDesk{hang: make(chan struct{}), greeted: make(chan struct{}, 100)}
	old := newNode(t, "old", silent)
	t.Cleanup(func() { close(silent.hang) })
	front := newNode(t, "front", &fakeDesk{})
	front.owners.Told(old.owner("old", 1))
	<-silent.greeted
	<-silent.greeted // the second greeting follows when the first has gone unanswered
	begun := time.Now()
	reply := front.Handle(context.Background(), desk.Request{Verb: desk.Submit})
	is.Equal(reply.Outcome, desk.Refused)
	is.True(reply.RetryAfter > 0)
	is.True(time.Since(begun) < 100*time.Millisecond)
	is.True(!front.Ready())
}

// TestReadyFollowsOwner guards against a node that takes calls it can't serve,
// and one that is not ready though the owner serves.
func TestReadyFollowsOwner(t *testing.T) {
	is := is.New(t)
	owner := newNode(t, "owner", &fakeDesk{outcome: desk.OK})
	front := newNode(t, "front", &fakeDesk{})
	front.owners.Told(owner.owner("owner", 1))
	awaitReady(t, front)
	front.Leave()
	is.True(!front.Ready())
}

// TestOwnerIsLearntFromPeers guards against a node that the store turns away
// and that never learns of a new owner.
func TestOwnerIsLearntFromPeers(t *testing.T) {
	owner := newNode(t, "owner", &fakeDesk{outcome: desk.OK})
	knowing := newNode(t, "knowing", &fakeDesk{})
	knowing.owners.Told(owner.owner("owner", 5))
	front := newNode(t, "front", &fakeDesk{})
	front.Reseed([]string{knowing.address})
	awaitReady(t, front)
	is.New(t).Equal(front.owners.Owner().Node, id.Node("owner"))
}
