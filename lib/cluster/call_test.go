package cluster_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"bronzewinch.dev/lib/cluster"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/peer"
	"bronzewinch.dev/lib/pipe"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/timer"

	"github.com/matryer/is"
)

// fakeDirectory is a directory whose owner the tests set.
type fakeDirectory struct {
	mu        sync.Mutex
	owner     id.Node
	addresses map[id.Node]string
}

func (d *fakeDirectory) OwnerOf(id.Shard) (id.Node, string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.owner, d.addresses[d.owner], d.owner != ""
}

func (d *fakeDirectory) set(n id.Node) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.owner = n
}

type node struct {
	mu    sync.Mutex
	owns  bool
	calls int
	stage pipe.Filter[string, string]
}

func (n *node) local(_ context.Context, req string) (string, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.owns {
		return "", cluster.NotOwner("place/bole")
	}
	n.calls++
	return "did " + req, nil
}

// startNodes starts the nodes a and b, which share a directory.
func startNodes(t *testing.T) (a, b *node, dir *fakeDirectory) {
	t.Helper()
	dir = &fakeDirectory{addresses: make(map[id.Node]string)}
	nodes := map[id.Node]*node{"a": {}, "b": {}}
	for name, n := range nodes {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		pool := peer.NewPool(peer.PoolConfig{})
		s := peer.NewServer(peer.ServerConfig{})
		r := &cluster.Router{Self: name, Directory: dir, Pool: pool, Timer: timer.NewSystem()}
		n.stage = cluster.Serve(r, s, cluster.Call[string, string]{
			Method: "work", Local: n.local, Shard: func(string) id.Shard { return "place/bole" }})
		dir.addresses[name] = l.Addr().String()
		s.Serve(l)
		t.Cleanup(func() { pool.Close(); s.Close(context.Background()) })
	}
	return nodes["a"], nodes["b"], dir
}

// TestCallReachesOwner guards against a request that runs on a node that does not
// own the shard, or that fails while the ownership moves to another node.
func TestCallReachesOwner(t *testing.T) {
	is := is.New(t)
	a, b, dir := startNodes(t)
	b.owns = true
	dir.set("b")
	got, err := a.stage.Process(t.Context(), "x")
	is.NoErr(err)
	is.Equal(got, "did x")
	is.Equal(a.calls, 0)
	is.Equal(b.calls, 1)

	dir.set("a") // the directory names node a before it has taken over the shard
	done := make(chan error)
	go func() {
		_, err := b.stage.Process(context.Background(), "y")
		done <- err
	}()
	a.mu.Lock()
	a.owns = true
	a.mu.Unlock()
	is.NoErr(<-done)
	is.Equal(a.calls, 1)
}

// TestRetriesAfterOwnerFailure guards against a request that is not retried while
// the directory still names a node that has failed.
func TestRetriesAfterOwnerFailure(t *testing.T) {
	is := is.New(t)
	a, b, dir := startNodes(t)
	b.owns = true
	dir.mu.Lock()
	dir.addresses["failed"] = "127.0.0.1:1"
	dir.mu.Unlock()
	dir.set("failed")
	done := make(chan error)
	go func() {
		_, err := a.stage.Process(context.Background(), "x")
		done <- err
	}()
	dir.set("b")
	is.NoErr(<-done)
	is.Equal(b.calls, 1)
}

// TestNoOwner guards against a call that blocks beyond its deadline while the shard
// has no owner.
func TestNoOwner(t *testing.T) {
	is := is.New(t)
	a, _, _ := startNodes(t)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err := a.stage.Process(ctx, "x")
	is.True(problem.Is(err, problem.NotOwner))
}
