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

// memory is a key-value service in memory, shared by the views of all nodes.
type memory struct {
	mu      sync.Mutex
	version kv.Version
	items   map[string]kv.Item
	leases  map[kv.LeaseID]time.Time
	ttl     time.Duration
	next    int
	changed chan struct{}
}

func newMemory() *memory {
	return &memory{items: make(map[string]kv.Item), leases: make(map[kv.LeaseID]time.Time), changed: make(chan struct{})}
}

// expire ends leases whose time has passed. The lock is held.
func (m *memory) expire() {
	for lease, end := range m.leases {
		if time.Now().After(end) {
			m.end(lease)
		}
	}
}

func (m *memory) end(lease kv.LeaseID) {
	delete(m.leases, lease)
	for key, i := range m.items {
		if i.Lease == lease {
			delete(m.items, key)
			m.bump()
		}
	}
}

func (m *memory) bump() {
	m.version++
	close(m.changed)
	m.changed = make(chan struct{})
}

// view is the service as one node sees it.
type view struct {
	*memory
	faults sync.Mutex
	away   bool // calls fail without effect
	deaf   bool // the answer to the next transaction is lost
}

func (v *view) set(away, deaf bool) {
	v.faults.Lock()
	defer v.faults.Unlock()
	v.away, v.deaf = away, deaf
}

func (v *view) check() error {
	v.faults.Lock()
	defer v.faults.Unlock()
	if v.away {
		return problem.New(problem.Unavailable, problem.Detail{Field: "store", Remedy: "try again"})
	}
	return nil
}

func (v *view) Get(_ context.Context, key string) (kv.Item, error) {
	if err := v.check(); err != nil {
		return kv.Item{}, err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.expire()
	i, ok := v.items[key]
	if !ok {
		return i, problem.New(problem.NotFound, problem.Detail{Field: key, Remedy: "none"})
	}
	return i, nil
}

func (v *view) ListAll(ctx context.Context, prefix string) ([]kv.Item, kv.Version, error) {
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

func (v *view) Watch(ctx context.Context, prefix string, from kv.Version, wait time.Duration) ([]kv.Event, kv.Version, error) {
	if err := v.check(); err != nil {
		return nil, 0, err
	}
	limit := time.After(wait)
	for {
		v.mu.Lock()
		v.expire()
		version, changed := v.version, v.changed
		v.mu.Unlock()
		if version > from {
			return []kv.Event{{Item: kv.Item{Key: prefix}}}, version, nil
		}
		select {
		case <-changed:
		case <-time.After(20 * time.Millisecond): // leases end by time
		case <-limit:
			return nil, version, nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

func (v *view) Grant(_ context.Context, ttl time.Duration) (kv.LeaseID, error) {
	if err := v.check(); err != nil {
		return "", err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.next++
	lease := kv.LeaseID(strconv.Itoa(v.next))
	v.ttl = ttl
	v.leases[lease] = time.Now().Add(ttl)
	return lease, nil
}

func (v *view) KeepAlive(_ context.Context, lease kv.LeaseID) error {
	if err := v.check(); err != nil {
		return err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.expire()
	if _, ok := v.leases[lease]; !ok {
		return problem.New(problem.NotFound, problem.Detail{Field: "lease", Remedy: "none"})
	}
	v.leases[lease] = time.Now().Add(v.ttl)
	return nil
}

func (v *view) Revoke(_ context.Context, lease kv.LeaseID) error {
	if err := v.check(); err != nil {
		return err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.end(lease)
	return nil
}

func (v *view) Commit(_ context.Context, txn kv.Txn) (kv.TxnResult, error) {
	if err := v.check(); err != nil {
		return kv.TxnResult{}, err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.expire()
	for _, e := range txn.Expect {
		if v.items[e.Key].Version != e.Version {
			return kv.TxnResult{}, nil
		}
	}
	v.bump()
	for _, w := range txn.Writes {
		v.items[w.Key] = kv.Item{Key: w.Key, Value: w.Value, Version: v.version, Lease: w.Lease}
	}
	v.faults.Lock()
	defer v.faults.Unlock()
	if v.deaf {
		v.deaf = false
		return kv.TxnResult{}, problem.New(problem.Unknown, problem.Detail{Field: "store", Remedy: "repeat"})
	}
	return kv.TxnResult{Committed: true, Version: v.version}, nil
}

// holder tells of each term, and works until it is over.
type holder struct{ terms chan *election.Term }

func (h *holder) Serve(ctx context.Context, term *election.Term) error {
	h.terms <- term
	<-ctx.Done()
	return ctx.Err()
}

type candidate struct {
	*election.Election
	view  *view
	terms chan *election.Term
}

func newCandidate(t *testing.T, m *memory, name id.Node, deaf bool) *candidate {
	t.Helper()
	return newCandidateWith(t, m, name, deaf, 0)
}

func newCandidateWith(t *testing.T, m *memory, name id.Node, deaf bool, cores float64) *candidate {
	t.Helper()
	h := &holder{terms: make(chan *election.Term, 10)}
	v := &view{memory: m, deaf: deaf}
	c := &candidate{view: v, terms: h.terms, Election: election.New(election.Config{Node: name, Address: string(name) + ":1", Store: v,
		Runner: h, Timer: timer.NewSystem(), Cores: cores})}
	t.Cleanup(c.Close)
	return c
}

func await(t *testing.T, what string, terms <-chan *election.Term) *election.Term {
	t.Helper()
	select {
	case term := <-terms:
		return term
	case <-time.After(10 * time.Second):
		t.Fatalf("timeout: %s", what)
		return nil
	}
}

func awaitOwner(t *testing.T, c *candidate, want id.Node) {
	t.Helper()
	for limit := time.Now().Add(10 * time.Second); c.Owner().Node != want; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("owner %q instead of %q", c.Owner().Node, want)
		}
	}
}

// TestOneOwner guards against two owners, and against followers that don't
// learn of the owner.
func TestOneOwner(t *testing.T) {
	is := is.New(t)
	m := newMemory()
	a := newCandidate(t, m, "a", false)
	first := await(t, "the first term", a.terms)
	is.Equal(first.Fence, task.Fence(1))
	is.True(first.Valid())
	b := newCandidate(t, m, "b", false)
	awaitOwner(t, b, "a")
	is.Equal(len(b.terms), 0)
}

// TestNextOwner guards against a deployment without an owner after one has
// stopped or lost the store, and against a fence that does not rise.
func TestNextOwner(t *testing.T) {
	for _, test := range []struct {
		name string
		end  func(a *candidate)
	}{
		{"planned stop", func(a *candidate) { a.Close() }},
		{"store out of reach", func(a *candidate) { a.view.set(true, false) }},
		{"given up", func(a *candidate) {}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			m := newMemory()
			a := newCandidate(t, m, "a", false)
			first := await(t, "the first term", a.terms)
			b := newCandidate(t, m, "b", false)
			awaitOwner(t, b, "a")
			test.end(a)
			if test.name == "given up" {
				first.End(problem.New(problem.Unavailable, problem.Detail{Remedy: "none"}))
			}
			second := await(t, "the second term", b.terms)
			is.Equal(second.Fence, task.Fence(2))
			is.True(!first.Valid() || test.name != "store out of reach") // the first owner knows before the second begins
		})
	}
}

// TestLostAnswerOfCampaign guards against an owner key that nobody serves
// because the answer to its transaction was lost.
func TestLostAnswerOfCampaign(t *testing.T) {
	is := is.New(t)
	a := newCandidate(t, newMemory(), "a", true)
	term := await(t, "a term", a.terms)
	is.Equal(term.Fence, task.Fence(2))
	awaitOwner(t, a, "a")
}

// TestToldOwner guards against an older owner that replaces a newer one.
func TestToldOwner(t *testing.T) {
	is := is.New(t)
	m := newMemory()
	a := newCandidate(t, m, "a", false)
	await(t, "the term", a.terms)
	b := newCandidate(t, m, "b", false)
	awaitOwner(t, b, "a")
	b.UpdateOwner(election.Owner{Node: "c", Fence: 0})
	is.Equal(b.Owner().Node, id.Node("a"))
	b.UpdateOwner(election.Owner{Node: "c", Fence: 9})
	is.Equal(b.Owner().Node, id.Node("c"))
}

// TestStrongNodeWins guards against an owner with too little processor time
// where a better node lives.
func TestStrongNodeWins(t *testing.T) {
	m := newMemory()
	weak := newCandidateWith(t, m, "weak", false, 0.2)
	strong := newCandidateWith(t, m, "strong", false, 0.8)
	await(t, "the term", strong.terms)
	awaitOwner(t, weak, "strong")
	strong.Close()
	await(t, "the next term", weak.terms)
}

// TestHandOver guards against a deployment that waits for a lease to run out
// though the owner knows that the service turns it away and others reach it.
func TestHandOver(t *testing.T) {
	is := is.New(t)
	m := newMemory()
	a := newCandidate(t, m, "a", false)
	first := await(t, "the first term", a.terms)
	b := newCandidate(t, m, "b", false)
	awaitOwner(t, b, "a")
	is.True(!a.StoreSuspected())
	is.True(!a.Idle())
	is.True(b.Idle())
	a.view.set(true, false)
	begun := time.Now()
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
	is.Equal(second.Fence, task.Fence(2))
	is.True(time.Since(begun) < 700*time.Millisecond) // a lease lasts 1.5 s
	_, ok = a.Resign(t.Context())
	is.True(!ok)
}

// TestDeposeIsForOneFence guards against an owner that loses the key to a late
// message about an earlier one.
func TestDeposeIsForOneFence(t *testing.T) {
	is := is.New(t)
	m := newMemory()
	a := newCandidate(t, m, "a", false)
	first := await(t, "the first term", a.terms)
	first.End(problem.New(problem.Unavailable, problem.Detail{Remedy: "none"}))
	b := newCandidate(t, m, "b", false)
	second := await(t, "the second term", b.terms)
	is.NoErr(b.RevokeOwner(t.Context(), first.Fence))
	time.Sleep(time.Second)
	is.True(second.Valid())
	is.Equal(len(a.terms)+len(b.terms), 0)
}

// TestDoubtPasses guards against an owner that stays in doubt after one call
// that failed, or that hands over because its service is slow.
func TestDoubtPasses(t *testing.T) {
	is := is.New(t)
	a := newCandidate(t, newMemory(), "a", false)
	term := await(t, "the term", a.terms)
	term.StoreFailed()
	for limit := time.Now().Add(5 * time.Second); a.StoreSuspected(); time.Sleep(5 * time.Millisecond) {
		is.True(time.Now().Before(limit))
	}
	is.True(term.Valid())
}

// TestKeyOfEarlierLife guards against a node that waits for the lease that its
// own process held before it was started anew.
func TestKeyOfEarlierLife(t *testing.T) {
	is := is.New(t)
	m := newMemory()
	old := newCandidate(t, m, "a", false)
	await(t, "the first term", old.terms)
	old.view.set(true, false) // the lease of the process can't be given back
	old.Close()
	begun := time.Now()
	anew := newCandidate(t, m, "a", false)
	term := await(t, "the next term", anew.terms)
	is.Equal(term.Fence, task.Fence(2))
	is.True(time.Since(begun) < 500*time.Millisecond) // a lease lasts 1.5 s
}
