package coordination

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/journal"
	"bronzewinch.dev/lib/kv"
	"bronzewinch.dev/lib/owner"
	"bronzewinch.dev/lib/ownership"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/timer"
	"bronzewinch.dev/standin/kvservice"

	"github.com/matryer/is"
)

var ownedShards = []id.Shard{"place/entoto", "place/bole", "once/00", "once/01"}

// members is a membership whose list the tests set.
type members struct {
	mu      sync.Mutex
	list    []ownership.Candidate
	changed chan struct{}
}

func newMembers(n int) *members {
	m := &members{changed: make(chan struct{}, 1)}
	for i := range n {
		m.list = append(m.list, ownership.Candidate{ID: id.Node(fmt.Sprintf("n%d", i))})
	}
	return m
}

func (m *members) Members() []ownership.Candidate {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.list
}

func (m *members) Changed() <-chan struct{} { return m.changed }

func (m *members) set(list []ownership.Candidate) {
	m.mu.Lock()
	m.list = list
	m.mu.Unlock()
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

// fakeOpener opens shards that do nothing, and reports the term of each shard that is
// opened or closed.
type fakeOpener struct {
	opened, closed  chan *owner.Term
	closedWithLease atomic.Int32 // shards that were closed while their lease was valid
}

func newFakeOpener() *fakeOpener {
	return &fakeOpener{opened: make(chan *owner.Term, 1000), closed: make(chan *owner.Term, 1000)}
}

type openShard struct {
	opener *fakeOpener
	term   *owner.Term
}

func (o *fakeOpener) Open(_ context.Context, _ id.Shard, t *owner.Term, _ []byte, _ []journal.Entry) (owner.Shard, error) {
	o.opened <- t
	return openShard{o, t}, nil
}

func (s openShard) Close(context.Context) error {
	if s.term.Check() == nil {
		s.opener.closedWithLease.Add(1)
	}
	s.opener.closed <- s.term
	return nil
}

// startOwner starts the owner of a node. With a zero ttl it uses the default lease.
func startOwner(service *kvservice.Service, name string, membership owner.Membership, shards []id.Shard, ttl time.Duration) (*owner.Owner, *fakeOpener) {
	opener := newFakeOpener()
	return owner.New(owner.Config{Node: id.Node(name), Store: service.LocalClient(name), Membership: membership, Shards: shards,
		Opener: opener, TTL: ttl, RenewInterval: ttl / 3, Margin: ttl / 24}), opener
}

// receiveTerm returns the next term from a channel. It fails the test if none arrives
// within bound.
func receiveTerm(t *testing.T, c <-chan *owner.Term, bound time.Duration) *owner.Term {
	t.Helper()
	select {
	case term := <-c:
		return term
	case <-time.After(bound):
		t.Fatalf("no shard was opened or closed within %v", bound)
		return nil
	}
}

// await polls a condition. It fails the test if the condition is not met within bound.
func await(t *testing.T, bound time.Duration, what string, done func() bool) {
	t.Helper()
	end := time.Now().Add(bound)
	for !done() {
		if time.Now().After(end) {
			t.Fatalf("%s: not within %v", what, bound)
		}
		_ = timer.Sleep(ctx, timer.NewSystem(), 5*time.Millisecond)
	}
}

// certainlyNotWritten reports whether the error of an append in an ended term says
// that the items were not written: Fenced, or Unavailable once the writer is closed.
func certainlyNotWritten(err error) bool {
	return problem.Is(err, problem.Fenced) || problem.Is(err, problem.Unavailable)
}

// TestTakeoverAfterCrash guards against a takeover that takes longer than 3 s after
// the failure of an owner, and against a failed owner that still commits.
func TestTakeoverAfterCrash(t *testing.T) {
	is := is.New(t)
	s := kvservice.New(kvservice.Config{})
	defer s.Close()
	m0, m1 := newMembers(2), newMembers(2)
	shard := []id.Shard{"once/00"}
	first := ownership.PreferenceOrder(shard[0], m0.list)[0].ID
	a, opA := startOwner(s, string(first), m0, shard, 0)
	oldTerm := receiveTerm(t, opA.opened, 3*time.Second)
	b, opB := startOwner(s, string(ownership.PreferenceOrder(shard[0], m0.list)[1].ID), m1, shard, 0)
	defer b.Close()
	s.Partition(string(first), true)
	newTerm := receiveTerm(t, opB.opened, 3*time.Second) // the members still list the failed node
	is.Equal(newTerm.Epoch(), oldTerm.Epoch()+1)
	is.True(problem.Is(oldTerm.Check(), problem.Fenced))
	_, err := oldTerm.Journal().Append(ctx, []byte("x"))
	is.True(certainlyNotWritten(err))
	_, err = newTerm.Journal().Append(ctx, []byte("y"))
	is.NoErr(err)
	is.Equal(len(opB.closed), 0) // not handed over to the failed node, although the members still list it
	s.Partition(string(first), false)
	a.Close()
}

// TestPlannedStop guards against a handover that waits until the lease has expired,
// or that closes a shard only after its lease has ended.
func TestPlannedStop(t *testing.T) {
	is := is.New(t)
	s := kvservice.New(kvservice.Config{})
	defer s.Close()
	a, opA := startOwner(s, "n0", newMembers(2), ownedShards, 0)
	for range ownedShards {
		receiveTerm(t, opA.opened, 3*time.Second)
	}
	b, opB := startOwner(s, "n1", newMembers(2), ownedShards, 0)
	defer b.Close()
	a.Close()
	for range ownedShards {
		is.NoErr(receiveTerm(t, opB.opened, time.Second).Check()) // well under the TTL of 1.8 s
	}
	is.Equal(int(opA.closedWithLease.Load()), len(ownedShards))
	items, err := s.LocalClient("x").List(ctx, owner.KeyPrefix, "", 10)
	is.NoErr(err)
	is.Equal(len(items), len(ownedShards))
}

// TestOutage guards against an owner that creates work without a valid lease, that
// stops running work because the store is unreachable, or that does not open the
// shard again after the outage.
func TestOutage(t *testing.T) {
	is := is.New(t)
	s := kvservice.New(kvservice.Config{})
	defer s.Close()
	a, opener := startOwner(s, "n0", newMembers(1), ownedShards[:1], 300*time.Millisecond)
	defer a.Close()
	term := receiveTerm(t, opener.opened, 3*time.Second)
	s.SetOutage(true)
	await(t, 3*time.Second, "end of the lease", func() bool { return term.Check() != nil })
	is.True(problem.Is(term.Check(), problem.Fenced))
	is.NoErr(term.CheckContinue())
	_, err := term.Journal().Append(ctx, []byte("x"))
	is.True(problem.Is(err, problem.Fenced))
	is.Equal(a.Owned()[ownedShards[0]], term.Epoch())
	is.Equal(len(opener.closed), 0)
	s.SetOutage(false)
	newTerm := receiveTerm(t, opener.opened, 6*time.Second)
	is.True(newTerm.Epoch() > term.Epoch())
	is.True(problem.Is(term.CheckContinue(), problem.Fenced))
	is.NoErr(newTerm.Check())
}

// TestPause guards against an owner that continues to make decisions after its process
// was paused until the lease had expired.
func TestPause(t *testing.T) {
	is := is.New(t)
	clock := timer.NewManual(time.Unix(1000, 0))
	s := kvservice.New(kvservice.Config{Timer: clock})
	defer s.Close()
	m := newMembers(1)
	opener := newFakeOpener()
	a := owner.New(owner.Config{Node: "n0", Store: s.LocalClient("n0"), Membership: m,
		Shards: ownedShards[:1], Opener: opener, Timer: clock})
	defer a.Close()
	var term *owner.Term
	for term == nil { // advance the manual clock past the jitter of the claim
		select {
		case term = <-opener.opened:
		case <-time.After(time.Millisecond):
			clock.Advance(10 * time.Millisecond)
		}
	}
	is.NoErr(term.Check())
	clock.Advance(time.Hour)
	is.True(problem.Is(term.Check(), problem.Fenced))
	is.True(problem.Is(term.CheckContinue(), problem.Fenced))
	_, err := term.Journal().Append(ctx, []byte("x"))
	is.True(certainlyNotWritten(err))
}

// TestJoin guards against a joining node that gets no shards or more than its share,
// and against shards that move more than once.
func TestJoin(t *testing.T) {
	is := is.New(t)
	s := kvservice.New(kvservice.Config{})
	defer s.Close()
	var shards []id.Shard
	for i := range 8 {
		shards = append(shards, id.Shard(fmt.Sprintf("once/%02d", i)))
	}
	m0, m1 := newMembers(1), newMembers(2)
	a, opA := startOwner(s, "n0", m0, shards, 0)
	defer a.Close()
	for range shards {
		receiveTerm(t, opA.opened, 3*time.Second)
	}
	b, opB := startOwner(s, "n1", m1, shards, 0)
	defer b.Close()
	m0.set(m1.list)
	want := 0
	for _, n := range ownership.Assign(shards, m1.list) {
		if n == "n1" {
			want++
		}
	}
	for range want {
		receiveTerm(t, opB.opened, 5*time.Second)
	}
	is.Equal(len(opA.closed), want)
	is.Equal(len(a.Owned()), len(shards)-want)
	is.Equal(len(opB.closed), 0)
	is.Equal(len(opA.opened), 0)
}

// TestCallsAtRest guards against unnecessary calls to the store. While nothing changes,
// an owner makes one renewal per interval, and each node has one open watch.
func TestCallsAtRest(t *testing.T) {
	is := is.New(t)
	s := kvservice.New(kvservice.Config{})
	defer s.Close()
	const ttl = 300 * time.Millisecond
	a, opener := startOwner(s, "n0", newMembers(1), ownedShards, ttl)
	defer a.Close()
	for range ownedShards {
		receiveTerm(t, opener.opened, 3*time.Second)
	}
	b, _ := startOwner(s, "n1", newMembers(1), ownedShards, ttl)
	defer b.Close()
	renewals := func() uint64 { return s.Counts()[kv.OpKeepAlive] }
	from := renewals()
	await(t, 3*time.Second, "renewal", func() bool { return renewals() > from })
	before, start := s.Counts(), time.Now()
	await(t, 9*time.Second, "renewals", func() bool { return renewals() >= before[kv.OpKeepAlive]+10 })
	after, periods := s.Counts(), uint64(time.Since(start)/(ttl/3))+1
	is.True(after[kv.OpKeepAlive]-before[kv.OpKeepAlive] <= periods)
	for _, opener := range kv.Ops {
		if opener != kv.OpKeepAlive {
			is.Equal(after[opener]-before[opener], uint64(0))
		}
	}
}

// faultNode is one node of the fault schedules of owners.
type faultNode struct {
	name      string
	mu        sync.Mutex
	owner     *owner.Owner
	items     int
	pauseLock sync.RWMutex // write-locked while the node's calls are paused
}

func (n *faultNode) get() *owner.Owner {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.owner
}

// TestOwnerFaults guards against two owners that commit at the same time, an append
// whose result is reported wrongly, and a shard that stays without an owner. The
// schedules combine partitions, outages, paused calls, lost answers, crashes and
// restarts. A seed reproduces the sequence of faults, but not their interleaving
// with the calls.
func TestOwnerFaults(t *testing.T) {
	first, last := uint64(1), uint64(4)
	if *seed != 0 {
		first, last = *seed, *seed
	}
	for scheduleSeed := first; scheduleSeed <= last; scheduleSeed++ {
		t.Run(fmt.Sprint(scheduleSeed), func(t *testing.T) {
			t.Parallel()
			runFaultSchedule(t, rand.New(rand.NewPCG(scheduleSeed, 99)))
		})
	}
}

func runFaultSchedule(t *testing.T, random *rand.Rand) {
	const ttl = 240 * time.Millisecond
	s := kvservice.New(kvservice.Config{})
	defer s.Close()
	byName := make(map[string]*faultNode)
	var nodes []*faultNode
	for i := range 3 {
		n := &faultNode{name: fmt.Sprintf("n%d", i)}
		n.owner, _ = startOwner(s, n.name, newMembers(3), ownedShards, ttl)
		nodes = append(nodes, n)
		byName[n.name] = n
	}
	s.SetFaultHook(func(c kvservice.Call) kvservice.Fault {
		if n := byName[c.Client]; n != nil {
			n.pauseLock.RLock()
			defer n.pauseLock.RUnlock()
			if c.Op.Writes() && rand.IntN(40) == 0 {
				return []kvservice.Fault{kvservice.LoseReply, kvservice.LoseRequest, kvservice.DelayRequest}[rand.IntN(3)]
			}
		}
		return kvservice.NoFault
	})
	var mu sync.Mutex
	results := make(map[id.Shard]map[string]appendResult)
	for _, shard := range ownedShards {
		results[shard] = make(map[string]appendResult)
	}
	work, stop := context.WithCancel(ctx)
	var workers sync.WaitGroup
	for _, n := range nodes {
		workers.Go(func() { appendLoop(work, n, &mu, results) })
	}
	for range 30 {
		injectFault(s, random, nodes, ttl)
		checkOneOwner(t, nodes)
	}
	s.SetFaultHook(nil)
	s.DeliverDelayed()
	for _, shard := range ownedShards {
		await(t, 10*time.Second, "an owner of "+string(shard), func() bool {
			for _, n := range nodes {
				term := n.get().Term(shard)
				if term == nil || term.Check() != nil {
					continue
				}
				_, err := term.Journal().Append(ctx, []byte("last"))
				return err == nil
			}
			return false
		})
	}
	stop()
	workers.Wait()
	for _, n := range nodes {
		n.get().Close()
	}
	for _, shard := range ownedShards {
		items := committedItems(t, s, string(shard))
		checkResults(t, removeItem(items, "last"), results[shard])
	}
}

func removeItem(items []string, name string) []string {
	var rest []string
	for _, item := range items {
		if item != name {
			rest = append(rest, item)
		}
	}
	return rest
}

// appendLoop appends to the shards that a node has open and records the results.
func appendLoop(ctx context.Context, n *faultNode, mu *sync.Mutex, results map[id.Shard]map[string]appendResult) {
	for timer.Sleep(ctx, timer.NewSystem(), 3*time.Millisecond) == nil {
		for _, shard := range ownedShards {
			term := n.get().Term(shard)
			if term == nil || term.Check() != nil {
				continue
			}
			n.items++
			name := itemName(n.name, n.items)
			short, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			_, err := term.Journal().Append(short, []byte(name))
			cancel()
			result := resultNotStored
			switch problem.KindOf(err) {
			case "":
				result = resultStored
			case problem.Unknown:
				result = resultUnknown
			}
			mu.Lock()
			results[shard][name] = result
			mu.Unlock()
		}
	}
}

// injectFault injects one fault, waits for up to 1.5 times the TTL, and ends the fault.
func injectFault(s *kvservice.Service, random *rand.Rand, nodes []*faultNode, ttl time.Duration) {
	n := nodes[random.IntN(len(nodes))]
	wait := func(d time.Duration) { _ = timer.Sleep(ctx, timer.NewSystem(), d) }
	duration := time.Duration(random.Int64N(int64(3 * ttl / 2)))
	switch random.IntN(6) {
	case 0:
		s.Partition(n.name, true)
		wait(duration)
		s.Partition(n.name, false)
	case 1:
		s.SetOutage(true)
		wait(duration)
		s.SetOutage(false)
	case 2:
		n.pauseLock.Lock()
		wait(duration)
		n.pauseLock.Unlock()
	case 3:
		s.DeliverDelayed()
		wait(duration / 4)
	case 4: // planned restart
		n.get().Close()
		n.restart(s, ttl)
	case 5: // crash: its keys stay until the lease ends
		s.Partition(n.name, true)
		n.get().Close()
		s.Partition(n.name, false)
		n.restart(s, ttl)
	}
}

func (n *faultNode) restart(s *kvservice.Service, ttl time.Duration) {
	o, _ := startOwner(s, n.name, newMembers(3), ownedShards, ttl)
	n.mu.Lock()
	n.owner = o
	n.mu.Unlock()
}

// checkOneOwner fails the test if two terms of a shard are valid at the same time. It
// checks the first one again after the second was found valid, because terms may end
// between the two checks.
func checkOneOwner(t *testing.T, nodes []*faultNode) {
	t.Helper()
	for _, shard := range ownedShards {
		var valid []*owner.Term
		for _, n := range nodes {
			if term := n.get().Term(shard); term != nil && term.Check() == nil {
				valid = append(valid, term)
			}
		}
		if len(valid) > 1 && valid[0].Check() == nil {
			t.Fatalf("%s has owners with epochs %d and %d", shard, valid[0].Epoch(), valid[1].Epoch())
		}
	}
}

// TestShardsAreAddedWhileOthersAreClaimed guards against a node that crashes because a shard
// is named before its state exists.
func TestShardsAreAddedWhileOthersAreClaimed(t *testing.T) {
	const owners, added = 8, 300
	var wg sync.WaitGroup
	for range owners {
		wg.Go(func() {
			s := kvservice.New(kvservice.Config{})
			defer s.Close()
			shards := make([]id.Shard, 0, 61+added)
			for i := range 61 {
				shards = append(shards, id.Shard(fmt.Sprintf("once/%02d", i)))
			}
			o, _ := startOwner(s, "n0", newMembers(1), shards, 0)
			defer o.Close()
			for i := range added {
				shards = append(shards, id.Shard(fmt.Sprintf("place/%d", i)))
				o.SetShards(shards)
			}
		})
	}
	wg.Wait()
}
