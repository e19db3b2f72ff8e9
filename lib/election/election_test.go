package election_test

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"time"

	"bronzewinch.dev/lib/election"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/kv"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/task"
	"bronzewinch.dev/lib/timer"

	"github.com/matryer/is"
)

// memoryStore is a key-value service in memory, shared by the views of all nodes.
type memoryStore struct {
	mu        sync.Mutex
	version   kv.Version
	items     map[string]kv.Item
	leases    map[kv.LeaseID]time.Time
	ttl       time.Duration
	nextLease int
	changed   chan struct{}
}

func newMemoryStore() *memoryStore {
	return &memoryStore{items: make(map[string]kv.Item), leases: make(map[kv.LeaseID]time.Time), changed: make(chan struct{})}
}

// expireLeases ends the leases that have expired. The lock is held.
func (s *memoryStore) expireLeases() {
	for lease, end := range s.leases {
		if time.Now().After(end) {
			s.endLease(lease)
		}
	}
}

func (s *memoryStore) endLease(lease kv.LeaseID) {
	delete(s.leases, lease)
	for key, i := range s.items {
		if i.Lease == lease {
			delete(s.items, key)
			s.incrementVersion()
		}
	}
}

func (s *memoryStore) incrementVersion() {
	s.version++
	close(s.changed)
	s.changed = make(chan struct{})
}

// nodeView is one node's connection to the store.
type nodeView struct {
	*memoryStore
	faultsMu    sync.Mutex
	unreachable bool // calls fail without effect
	loseReply   bool // the reply to the next transaction is lost
	// silentRevokes is the number of the next revocations that get no answer and have no
	// effect.
	silentRevokes int
}

func (v *nodeView) setFaults(unreachable, loseReply bool) {
	v.faultsMu.Lock()
	defer v.faultsMu.Unlock()
	v.unreachable, v.loseReply = unreachable, loseReply
}

func (v *nodeView) checkReachable() error {
	v.faultsMu.Lock()
	defer v.faultsMu.Unlock()
	if v.unreachable {
		return problem.New(problem.Unavailable, problem.Detail{Field: "store", Remedy: "retry later"})
	}
	return nil
}

func (v *nodeView) Get(_ context.Context, key string) (kv.Item, error) {
	if err := v.checkReachable(); err != nil {
		return kv.Item{}, err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.expireLeases()
	i, ok := v.items[key]
	if !ok {
		return i, problem.New(problem.NotFound, problem.Detail{Field: key, Remedy: "none"})
	}
	return i, nil
}

func (v *nodeView) ListAll(ctx context.Context, prefix string) ([]kv.Item, kv.Version, error) {
	i, err := v.Get(ctx, prefix)
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case problem.Is(err, problem.NotFound):
		return nil, v.version, nil
	case err != nil:
		return nil, 0, err
	}
	return []kv.Item{i}, v.version, nil
}

func (v *nodeView) Watch(ctx context.Context, prefix string, from kv.Version, wait time.Duration) ([]kv.Event, kv.Version, error) {
	if err := v.checkReachable(); err != nil {
		return nil, 0, err
	}
	limit := time.After(wait)
	for {
		v.mu.Lock()
		v.expireLeases()
		version, changed := v.version, v.changed
		v.mu.Unlock()
		if version > from {
			return []kv.Event{{Item: kv.Item{Key: prefix}}}, version, nil
		}
		select {
		case <-changed:
		case <-time.After(20 * time.Millisecond): // leases may have expired
		case <-limit:
			return nil, version, nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

func (v *nodeView) Grant(_ context.Context, ttl time.Duration) (kv.LeaseID, error) {
	if err := v.checkReachable(); err != nil {
		return "", err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.nextLease++
	lease := kv.LeaseID(strconv.Itoa(v.nextLease))
	v.ttl = ttl
	v.leases[lease] = time.Now().Add(ttl)
	return lease, nil
}

func (v *nodeView) KeepAlive(_ context.Context, lease kv.LeaseID) error {
	if err := v.checkReachable(); err != nil {
		return err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.expireLeases()
	if _, ok := v.leases[lease]; !ok {
		return problem.New(problem.NotFound, problem.Detail{Field: "lease", Remedy: "none"})
	}
	v.leases[lease] = time.Now().Add(v.ttl)
	return nil
}

// takeSilentRevoke reports whether the next revocation gets no answer.
func (v *nodeView) takeSilentRevoke() bool {
	v.faultsMu.Lock()
	defer v.faultsMu.Unlock()
	v.silentRevokes--
	return v.silentRevokes >= 0
}

func (v *nodeView) Revoke(ctx context.Context, lease kv.LeaseID) error {
	if err := v.checkReachable(); err != nil {
		return err
	}
	if v.takeSilentRevoke() {
		<-ctx.Done()
		return ctx.Err()
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.endLease(lease)
	return nil
}

func (v *nodeView) Commit(_ context.Context, txn kv.Txn) (kv.TxnResult, error) {
	if err := v.checkReachable(); err != nil {
		return kv.TxnResult{}, err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.expireLeases()
	for _, e := range txn.Expect {
		if v.items[e.Key].Version != e.Version {
			return kv.TxnResult{}, nil
		}
	}
	v.incrementVersion()
	for _, w := range txn.Writes {
		v.items[w.Key] = kv.Item{Key: w.Key, Value: w.Value, Version: v.version, Lease: w.Lease}
	}
	v.faultsMu.Lock()
	defer v.faultsMu.Unlock()
	if v.loseReply {
		v.loseReply = false
		return kv.TxnResult{}, problem.New(problem.Unknown, problem.Detail{Field: "store", Remedy: "repeat"})
	}
	return kv.TxnResult{Committed: true, Version: v.version}, nil
}

// fakeRunner sends each term to the test and runs until the term ends.
type fakeRunner struct{ terms chan *election.Term }

func (r *fakeRunner) Serve(ctx context.Context, term *election.Term) error {
	r.terms <- term
	<-ctx.Done()
	return ctx.Err()
}

type candidate struct {
	*election.Election
	store *nodeView
	terms chan *election.Term
}

func newCandidate(t *testing.T, store *memoryStore, name id.Node, loseReply bool) *candidate {
	t.Helper()
	return newCandidateWithCores(t, store, name, loseReply, 0)
}

func newCandidateWithCores(t *testing.T, store *memoryStore, name id.Node, loseReply bool, cores float64) *candidate {
	t.Helper()
	return newCandidateWithView(t, &nodeView{memoryStore: store, loseReply: loseReply}, name, cores)
}

func newCandidateWithView(t *testing.T, v *nodeView, name id.Node, cores float64) *candidate {
	t.Helper()
	runner := &fakeRunner{terms: make(chan *election.Term, 10)}
	c := &candidate{store: v, terms: runner.terms, Election: election.New(election.Config{Node: name, Address: string(name) + ":1", Store: v,
		Runner: runner, Timer: timer.NewSystem(), Cores: cores})}
	t.Cleanup(c.Close)
	return c
}

func await(t *testing.T, what string, terms <-chan *election.Term) *election.Term {
	t.Helper()
	select {
	case term := <-terms:
		return term
	case <-time.After(10 * time.Second):
		t.Fatalf("timed out waiting for %s", what)
		return nil
	}
}

func awaitOwner(t *testing.T, c *candidate, want id.Node) {
	t.Helper()
	for limit := time.Now().Add(10 * time.Second); c.Owner().Node != want; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("timed out waiting for an owner: got %q, want %q", c.Owner().Node, want)
		}
	}
}

// TestOneOwner guards against two owners at a time, and against followers that
// don't discover the owner.
func TestOneOwner(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore()
	a := newCandidate(t, store, "a", false)
	first := await(t, "the first term", a.terms)
	is.Equal(first.Fence, task.Fence(election.FencesPerTerm))
	is.True(first.Valid())
	b := newCandidate(t, store, "b", false)
	awaitOwner(t, b, "a")
	is.Equal(len(b.terms), 0)
}

// TestNextOwner guards against a deployment that stays without an owner after
// the owner has stopped, lost the store or resigned, and against a fence that
// is not incremented.
func TestNextOwner(t *testing.T) {
	for _, test := range []struct {
		name string
		end  func(a *candidate)
	}{
		{"planned stop", func(a *candidate) { a.Close() }},
		{"store out of reach", func(a *candidate) { a.store.setFaults(true, false) }},
		{"resigned", func(a *candidate) {}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			store := newMemoryStore()
			a := newCandidate(t, store, "a", false)
			first := await(t, "the first term", a.terms)
			b := newCandidate(t, store, "b", false)
			awaitOwner(t, b, "a")
			test.end(a)
			if test.name == "resigned" {
				first.End(problem.New(problem.Unavailable, problem.Detail{Remedy: "none"}))
			}
			second := await(t, "the second term", b.terms)
			is.Equal(second.Fence, task.Fence(2*election.FencesPerTerm))
			is.True(!first.Valid() || test.name != "store out of reach") // the first owner's term is invalid before the second begins
		})
	}
}

// TestLostReplyOfCampaign guards against an owner key that belongs to no
// running term because the reply to its transaction was lost.
func TestLostReplyOfCampaign(t *testing.T) {
	is := is.New(t)
	a := newCandidate(t, newMemoryStore(), "a", true)
	term := await(t, "a term", a.terms)
	is.Equal(term.Fence, task.Fence(2*election.FencesPerTerm))
	awaitOwner(t, a, "a")
}

// TestUnansweredRevocation guards against a node that no longer follows the owner key or
// campaigns because the store did not answer a revocation.
func TestUnansweredRevocation(t *testing.T) {
	t.Run("after a campaign", func(t *testing.T) {
		t.Parallel()
		v := &nodeView{memoryStore: newMemoryStore(), loseReply: true, silentRevokes: 1}
		await(t, "a term", newCandidateWithView(t, v, "a", 0).terms)
	})
	t.Run("of the own key after a restart", func(t *testing.T) {
		t.Parallel()
		store := newMemoryStore()
		old := newCandidate(t, store, "a", false)
		await(t, "the first term", old.terms)
		old.store.setFaults(true, false) // the process can't revoke its lease
		old.Close()
		v := &nodeView{memoryStore: store, silentRevokes: 1}
		await(t, "the next term", newCandidateWithView(t, v, "a", 0).terms)
	})
}

// TestFencesRiseOverTerms guards against a new owner whose calls workers reject because
// the previous owner has raised the fence further.
func TestFencesRiseOverTerms(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore()
	a := newCandidate(t, store, "a", false)
	first := await(t, "the first term", a.terms)
	highest := first.Fence
	for range election.FencesPerTerm {
		is.Equal(first.LastFence(), highest)
		next := first.NextFence()
		if next <= highest {
			break // the term has no more fences and ends
		}
		highest = next
	}
	item, err := (&nodeView{memoryStore: store}).Get(t.Context(), election.CommitKey)
	is.NoErr(err)
	record, err := election.DecodeCommitRecord(item.Value)
	is.NoErr(err)
	is.True(record.Fence >= highest) // nodes of an earlier version take the next fence
	b := newCandidate(t, store, "b", false)
	second := await(t, "the second term", b.terms)
	is.True(second.Fence > highest)
}

// TestUpdateOwnerKeepsHighestFence guards against a late report of an earlier
// owner that replaces a newer one.
func TestUpdateOwnerKeepsHighestFence(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore()
	a := newCandidate(t, store, "a", false)
	await(t, "the term", a.terms)
	b := newCandidate(t, store, "b", false)
	awaitOwner(t, b, "a")
	b.UpdateOwner(election.Owner{Node: "c", Fence: 0})
	is.Equal(b.Owner().Node, id.Node("a"))
	b.UpdateOwner(election.Owner{Node: "c", Fence: 9 * election.FencesPerTerm})
	is.Equal(b.Owner().Node, id.Node("c"))
}

// TestNodeWithMoreCoresWins guards against an owner with too little processor
// time when a node with more is running.
func TestNodeWithMoreCoresWins(t *testing.T) {
	store := newMemoryStore()
	weak := newCandidateWithCores(t, store, "weak", false, 0.2)
	strong := newCandidateWithCores(t, store, "strong", false, 0.8)
	await(t, "the term", strong.terms)
	awaitOwner(t, weak, "strong")
	strong.Close()
	await(t, "the next term", weak.terms)
}

// TestHandOver guards against a deployment that waits for the owner's lease to
// expire although the owner has found that only other nodes can reach the
// store.
func TestHandOver(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore()
	a := newCandidate(t, store, "a", false)
	first := await(t, "the first term", a.terms)
	b := newCandidate(t, store, "b", false)
	awaitOwner(t, b, "a")
	is.True(!a.StoreSuspected())
	is.True(!a.Idle())
	is.True(b.Idle())
	a.store.setFaults(true, false)
	start := time.Now()
	first.StoreFailed() // a call of the owner has failed
	for !a.StoreSuspected() || a.StoreReachable(t.Context()) {
		time.Sleep(5 * time.Millisecond)
	}
	is.True(b.StoreReachable(t.Context()))
	fence, ok := a.Resign(t.Context())
	is.True(ok)
	is.True(a.Idle())
	is.NoErr(b.RevokeOwner(t.Context(), fence))
	second := await(t, "the second term", b.terms)
	is.Equal(second.Fence, task.Fence(2*election.FencesPerTerm))
	is.True(time.Since(start) < 700*time.Millisecond) // a lease lasts 1.5 s
	_, ok = a.Resign(t.Context())
	is.True(!ok)
}

// TestRevokeOwnerChecksFence guards against an owner that loses the owner key
// because of a late message about an earlier owner.
func TestRevokeOwnerChecksFence(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore()
	a := newCandidate(t, store, "a", false)
	first := await(t, "the first term", a.terms)
	first.End(problem.New(problem.Unavailable, problem.Detail{Remedy: "none"}))
	b := newCandidate(t, store, "b", false)
	second := await(t, "the second term", b.terms)
	is.NoErr(b.RevokeOwner(t.Context(), first.Fence))
	time.Sleep(time.Second)
	is.True(second.Valid())
	is.Equal(len(a.terms)+len(b.terms), 0)
}

// TestSuspicionEndsAfterRenewal guards against an owner that keeps suspecting
// the store after a single failed call, and would hand over although the
// store is only slow.
func TestSuspicionEndsAfterRenewal(t *testing.T) {
	is := is.New(t)
	a := newCandidate(t, newMemoryStore(), "a", false)
	term := await(t, "the term", a.terms)
	term.StoreFailed()
	for limit := time.Now().Add(5 * time.Second); a.StoreSuspected(); time.Sleep(5 * time.Millisecond) {
		is.True(time.Now().Before(limit))
	}
	is.True(term.Valid())
}

// TestOwnKeyAfterRestart guards against a restarted node that waits for the
// lease of its earlier process to expire.
func TestOwnKeyAfterRestart(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore()
	old := newCandidate(t, store, "a", false)
	await(t, "the first term", old.terms)
	old.store.setFaults(true, false) // the process can't revoke its lease
	old.Close()
	start := time.Now()
	restarted := newCandidate(t, store, "a", false)
	term := await(t, "the next term", restarted.terms)
	is.Equal(term.Fence, task.Fence(2*election.FencesPerTerm))
	is.True(time.Since(start) < 500*time.Millisecond) // a lease lasts 1.5 s
}
