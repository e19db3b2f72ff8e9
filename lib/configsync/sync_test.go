package configsync_test

import (
	"context"
	"crypto/sha256"
	"fmt"
	"testing"
	"time"

	"bronzewinch.dev/lib/configsync"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/timer"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

// emptyBinder returns no copies of guaranteed shapes.
type emptyBinder struct{}

func (emptyBinder) Bind(*record.Set) ([]record.CopyZones, error) { return nil, nil }

// cluster consists of nodes with a common store and a manual clock.
type cluster struct {
	t     *testing.T
	store *fakeStore
	peers *fakePeers
	clock *timer.Manual
}

func newCluster(t *testing.T) *cluster {
	return &cluster{t: t, store: newFakeStore(), clock: timer.NewManual(start),
		peers: &fakePeers{nodes: make(map[string]*configsync.Syncer)}}
}

func (c *cluster) node(name string, store configsync.Store) *configsync.Syncer {
	s := configsync.New(configsync.Config{Node: id.Node(name), Store: store, Peers: c.peers,
		Binder: emptyBinder{}, Timer: c.clock})
	c.peers.add(name, s)
	c.t.Cleanup(s.Close)
	return s
}

// await advances the clock until a node has a revision in force.
func (c *cluster) await(s *configsync.Syncer, revision id.Revision) {
	c.t.Helper()
	limit := time.After(10 * time.Second) // in real time; reached only if the test hangs
	for {
		changed := s.Changed()
		if s.Ready() == nil && s.Current().Revision >= revision {
			return
		}
		c.clock.Advance(configsync.PeerPollInterval)
		select {
		case <-changed:
		case <-time.After(time.Millisecond):
		case <-limit:
			c.t.Fatalf("revision %d is not in force within 10 s; revision %d is", revision, s.Current().Revision)
		}
	}
}

// change returns a change set that creates an operator record or, with a base
// revision, changes it.
func change(name, note string, base id.Revision) record.Change {
	text := fmt.Sprintf("schema = 'v2'\nkind = 'operator'\nname = %q\nnote = %q\nbaseRevision = %d\ntokens = [{sha256 = '%x'}]\n",
		name, note, base, sha256.Sum256([]byte(name)))
	r, err := record.Parse(text)
	if err != nil {
		panic(err)
	}
	c := record.Change{ID: record.ChangeID(name + note), Author: "ops", At: start}
	c.Put(r)
	return c
}

// TestChangesReachAllNodes guards against a node that does not receive a change,
// either while it runs or, if it starts later, from the snapshot and journal.
func TestChangesReachAllNodes(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	a, b := c.node("a", c.store), c.node("b", c.store)
	c.await(a, 0)
	for i := range 3 * configsync.EntriesPerSnapshot {
		rev, err := a.Apply(t.Context(), change(fmt.Sprint("op-", i), "", 0))
		is.NoErr(err)
		is.Equal(rev, id.Revision(i+1))
	}
	c.await(b, 3*configsync.EntriesPerSnapshot)
	late := c.node("late", c.store)
	c.await(late, 3*configsync.EntriesPerSnapshot)
	is.Equal(len(late.Current().Operators), 3*configsync.EntriesPerSnapshot)
}

// TestLostResponse guards against a change that is reported as failed or applied
// twice if the response to the write is lost.
func TestLostResponse(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	a := c.node("a", c.store)
	c.await(a, 0)
	c.store.set(func(f *fakeStore) { f.loseResponses = 1 })
	first := change("ops", "", 0)
	rev, err := a.Apply(t.Context(), first)
	is.NoErr(err)
	is.Equal(rev, id.Revision(1))
	again, err := a.Apply(t.Context(), first) // the operator's client retries
	is.NoErr(err)
	is.Equal(again, id.Revision(1))
	is.Equal(c.store.puts, 1)
}

// TestConflictingChanges guards against silently losing a change when two
// operators change the same record through different nodes.
func TestConflictingChanges(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	a, b := c.node("a", c.store), c.node("b", c.store)
	c.await(a, 0)
	_, err := a.Apply(t.Context(), change("ops", "", 0))
	is.NoErr(err)
	c.await(b, 1)
	type result struct {
		err error
	}
	results := make(chan result, 2)
	for i, s := range []*configsync.Syncer{a, b} {
		go func() {
			_, err := s.Apply(context.Background(), change("ops", fmt.Sprint("by", i), 1))
			results <- result{err}
		}()
	}
	var conflicts []*record.ConflictError
	for range 2 {
		if r := <-results; r.err != nil {
			var conflict *record.ConflictError
			is.True(errors.As(r.err, &conflict))
			conflicts = append(conflicts, conflict)
		}
	}
	is.Equal(len(conflicts), 1)
	is.True(conflicts[0].CurrentText != "" && conflicts[0].Text != "")
	c.await(a, 2)
	c.await(b, 2)
	is.Equal(a.Current().Records(), b.Current().Records())
}

// TestStoreDown guards against a node that, during an outage of the store,
// serves without a configuration, reverts to an earlier one, or reports that a
// change was rejected although it may be in force.
func TestStoreDown(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	a := c.node("a", c.store)
	c.await(a, 0)
	_, err := a.Apply(t.Context(), change("ops", "", 0))
	is.NoErr(err)
	c.store.set(func(f *fakeStore) { f.down = true })

	_, err = a.Apply(t.Context(), change("late", "", 0))
	is.True(problem.Is(err, problem.Unavailable))
	is.Equal(a.Current().Revision, id.Revision(1))

	booted := c.node("booted", c.store) // receives the configuration from a
	c.await(booted, 1)
	is.Equal(booted.Current().Records(), a.Current().Records())

	alone := newCluster(t)
	alone.store.set(func(f *fakeStore) { f.down = true })
	s := alone.node("alone", alone.store)
	is.True(problem.Is(s.Ready(), problem.Unavailable))
	_, err = s.Apply(t.Context(), change("ops", "", 0))
	is.True(problem.Is(err, problem.Unavailable))
}

// staleStore is an earlier copy of a store, as a cache would return it.
type staleStore struct{ *fakeStore }

// TestNeverReverts guards against a node that reverts to an earlier revision when
// its store or a peer returns an older state.
func TestNeverReverts(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	a := c.node("a", c.store)
	c.await(a, 0)
	_, err := a.Apply(t.Context(), change("ops", "", 0))
	is.NoErr(err)
	old := newFakeStore()
	for k, v := range c.store.items {
		old.items[k] = v
	}
	old.version = c.store.version
	_, err = a.Apply(t.Context(), change("ops", "newer", 1))
	is.NoErr(err)

	behind := c.node("behind", staleStore{old})
	c.await(behind, 2) // the stale journal ends at revision 1; node a has revision 2
	old.set(func(*fakeStore) {})
	c.clock.Advance(10 * configsync.PeerPollInterval)
	is.Equal(behind.Current().Revision, id.Revision(2))
	u, err := behind.Since(0)
	is.NoErr(err)
	is.True(len(u.Snapshot) > 0 || len(u.Entries) == 2)
}

// fixedBinder binds the copies of guaranteed shapes to fixed zones.
type fixedBinder struct{ copies []record.CopyZones }

func (b fixedBinder) Bind(*record.Set) ([]record.CopyZones, error) { return b.copies, nil }

// TestCopiesAgree guards against nodes that bind the copies of a guarantee to
// other zones than the node that accepted the change, whether they receive the
// change from the journal, a snapshot or a peer.
func TestCopiesAgree(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	want := []record.CopyZones{{Account: "maps", Name: "rack", Zones: []id.Zone{"bole", "akaki"}}}
	a := configsync.New(configsync.Config{Node: "a", Store: c.store, Peers: c.peers, Binder: fixedBinder{want}, Timer: c.clock})
	t.Cleanup(a.Close)
	c.peers.add("a", a)
	c.await(a, 0)
	for i := range configsync.EntriesPerSnapshot + 1 {
		_, err := a.Apply(t.Context(), change(fmt.Sprint("op-", i), "", 0))
		is.NoErr(err)
	}
	late := c.node("late", c.store)
	c.await(late, configsync.EntriesPerSnapshot+1)
	is.Equal(late.Current().Copies, want)
	then, err := late.Current().AtRevision(2)
	is.NoErr(err)
	is.Equal(then.Copies, want)
	c.store.set(func(f *fakeStore) { f.down = true })
	fromPeer := c.node("peer", c.store)
	c.await(fromPeer, configsync.EntriesPerSnapshot+1)
	is.Equal(fromPeer.Current().Copies, want)
}

// TestReadBackoffInOutage guards against a node that reads the store every second
// during an outage, because the pause between retries does not grow.
func TestReadBackoffInOutage(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	c.store.set(func(f *fakeStore) { f.down = true })
	c.node("a", c.store)
	const subscribers = 2 // the ticker of pollPeers and the pause after a failed read
	for range 120 {
		is.NoErr(c.clock.AwaitSubscribers(t.Context(), subscribers))
		c.clock.Advance(time.Second / 2)
	}
	c.store.set(func(f *fakeStore) {
		is.True(f.gets >= 8)  // it continues to retry
		is.True(f.gets <= 30) // a constant pause results in 40 to 120 reads
	})
}
