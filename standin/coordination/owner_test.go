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

// members is a member list that tests set.
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

// opener counts what is open, and reports each opening and closing.
type opener struct {
	opened, closed chan *owner.Term
	atClose        atomic.Int32 // closes during which the lease held
}

func newOpener() *opener {
	return &opener{opened: make(chan *owner.Term, 1000), closed: make(chan *owner.Term, 1000)}
}

type openShard struct {
	o *opener
	t *owner.Term
}

func (o *opener) Open(_ context.Context, _ id.Shard, t *owner.Term, _ []byte, _ []journal.Entry) (owner.Shard, error) {
	o.opened <- t
	return openShard{o, t}, nil
}

func (s openShard) Close(context.Context) error {
	if s.t.Check() == nil {
		s.o.atClose.Add(1)
	}
	s.o.closed <- s.t
	return nil
}

// startOwner starts a node. A zero ttl takes the defaults.
func startOwner(s *kvservice.Service, name string, m owner.Membership, shards []id.Shard, ttl time.Duration) (*owner.Owner, *opener) {
	op := newOpener()
	return owner.New(owner.Config{Node: id.Node(name), Store: s.As(name), Membership: m, Shards: shards,
		Opener: op, TTL: ttl, RenewInterval: ttl / 3, Margin: ttl / 24}), op
}

// receive waits for a tenure for at most a stated bound.
func receive(t *testing.T, c <-chan *owner.Term, bound time.Duration) *owner.Term {
	t.Helper()
	select {
	case tenure := <-c:
		return tenure
	case <-time.After(bound):
		t.Fatalf("nothing within %v", bound)
		return nil
	}
}

// await polls a condition for at most a stated bound.
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

// certainlyRefused reports whether an append of an ended tenure says that the
// items were not written: Fenced, or Unavailable once its writer is closed.
func certainlyRefused(err error) bool {
	return problem.Is(err, problem.Fenced) || problem.Is(err, problem.Unavailable)
}

// TestTakeoverAfterCrash guards against decisions that resume later than 3 s
// after an owner failed.
func TestTakeoverAfterCrash(t *testing.T) {
	is := is.New(t)
	s := kvservice.New(kvservice.Config{})
	defer s.Close()
	m0, m1 := newMembers(2), newMembers(2)
	shard := []id.Shard{"once/00"}
	first := ownership.PreferenceOrder(shard[0], m0.list)[0].ID
	a, opA := startOwner(s, string(first), m0, shard, 0)
	old := receive(t, opA.opened, 3*time.Second)
	b, opB := startOwner(s, string(ownership.PreferenceOrder(shard[0], m0.list)[1].ID), m1, shard, 0)
	defer b.Close()
	s.Partition(string(first), true)
	next := receive(t, opB.opened, 3*time.Second) // the members still list the failed node
	is.Equal(next.Epoch(), old.Epoch()+1)
	is.True(problem.Is(old.Check(), problem.Fenced))
	_, err := old.Journal().Append(ctx, []byte("x"))
	is.True(certainlyRefused(err))
	_, err = next.Journal().Append(ctx, []byte("y"))
	is.NoErr(err)
	is.Equal(len(opB.closed), 0) // it is not returned at once to a node that is listed and failed
	s.Partition(string(first), false)
	a.Close()
}

// TestPlannedStop guards against a hand-over that waits for the lease to end,
// or that stops a shard after its lease.
func TestPlannedStop(t *testing.T) {
	is := is.New(t)
	s := kvservice.New(kvservice.Config{})
	defer s.Close()
	a, opA := startOwner(s, "n0", newMembers(2), ownedShards, 0)
	for range ownedShards {
		receive(t, opA.opened, 3*time.Second)
	}
	b, opB := startOwner(s, "n1", newMembers(2), ownedShards, 0)
	defer b.Close()
	a.Close()
	for range ownedShards {
		is.NoErr(receive(t, opB.opened, time.Second).Check()) // well under the TTL of 1.8 s
	}
	is.Equal(int(opA.atClose.Load()), len(ownedShards))
	items, err := s.As("x").List(ctx, owner.KeyPrefix, "", 10)
	is.NoErr(err)
	is.Equal(len(items), len(ownedShards))
}

// TestOutage guards against an owner that creates work without a valid lease,
// one that drops running work because the store is away, and one that does not
// resume.
func TestOutage(t *testing.T) {
	is := is.New(t)
	s := kvservice.New(kvservice.Config{})
	defer s.Close()
	a, op := startOwner(s, "n0", newMembers(1), ownedShards[:1], 300*time.Millisecond)
	defer a.Close()
	tenure := receive(t, op.opened, 3*time.Second)
	s.SetOutage(true)
	await(t, 3*time.Second, "end of the lease", func() bool { return tenure.Check() != nil })
	is.True(problem.Is(tenure.Check(), problem.Fenced))
	is.NoErr(tenure.CheckContinue())
	_, err := tenure.Journal().Append(ctx, []byte("x"))
	is.True(problem.Is(err, problem.Fenced))
	is.Equal(a.Owned()[ownedShards[0]], tenure.Epoch())
	is.Equal(len(op.closed), 0)
	s.SetOutage(false)
	next := receive(t, op.opened, 6*time.Second)
	is.True(next.Epoch() > tenure.Epoch())
	is.True(problem.Is(tenure.CheckContinue(), problem.Fenced))
	is.NoErr(next.Check())
}

// TestPause guards against an owner that goes on after its process was paused
// past the lease.
func TestPause(t *testing.T) {
	is := is.New(t)
	clock := timer.NewManual(time.Unix(1000, 0))
	s := kvservice.New(kvservice.Config{Timer: clock})
	defer s.Close()
	m := newMembers(1)
	op := newOpener()
	a := owner.New(owner.Config{Node: "n0", Store: s.As("n0"), Membership: m,
		Shards: ownedShards[:1], Opener: op, Timer: clock})
	defer a.Close()
	var tenure *owner.Term
	for tenure == nil { // the jitter of the claim passes on the manual clock
		select {
		case tenure = <-op.opened:
		case <-time.After(time.Millisecond):
			clock.Advance(10 * time.Millisecond)
		}
	}
	is.NoErr(tenure.Check())
	clock.Advance(time.Hour)
	is.True(problem.Is(tenure.Check(), problem.Fenced))
	is.True(problem.Is(tenure.CheckContinue(), problem.Fenced))
	_, err := tenure.Journal().Append(ctx, []byte("x"))
	is.True(certainlyRefused(err))
}

// TestJoin guards against a node that joins and gets no shards, one that gets
// them all at once, and shards that move more than once.
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
		receive(t, opA.opened, 3*time.Second)
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
		receive(t, opB.opened, 5*time.Second)
	}
	is.Equal(len(opA.closed), want)
	is.Equal(len(a.Owned()), len(shards)-want)
	is.Equal(len(opB.closed), 0)
	is.Equal(len(opA.opened), 0)
}

// TestCallsAtRest guards against calls that a node makes without a reason: at
// rest, an owner renews once a period, and a node holds one watch.
func TestCallsAtRest(t *testing.T) {
	is := is.New(t)
	s := kvservice.New(kvservice.Config{})
	defer s.Close()
	const ttl = 300 * time.Millisecond
	a, op := startOwner(s, "n0", newMembers(1), ownedShards, ttl)
	defer a.Close()
	for range ownedShards {
		receive(t, op.opened, 3*time.Second)
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
	for _, op := range kv.Ops {
		if op != kv.OpKeepAlive {
			is.Equal(after[op]-before[op], uint64(0))
		}
	}
}

// chaosNode is one node of the schedules of owners.
type chaosNode struct {
	name  string
	mu    sync.Mutex
	owner *owner.Owner
	items int
	gate  sync.RWMutex // write-locked while the node's calls are paused
}

func (n *chaosNode) get() *owner.Owner {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.owner
}

// TestOwnerFaults guards against two owners that commit at a time, an append
// whose result is reported wrongly, and a shard that stays without an owner,
// under partitions, outages, paused calls, lost answers, crashes and restarts
// in combination. The moves repeat with a seed; their interleaving does not.
func TestOwnerFaults(t *testing.T) {
	first, last := uint64(1), uint64(4)
	if *seed != 0 {
		first, last = *seed, *seed
	}
	for sd := first; sd <= last; sd++ {
		t.Run(fmt.Sprint(sd), func(t *testing.T) {
			t.Parallel()
			runChaos(t, rand.New(rand.NewPCG(sd, 99)))
		})
	}
}

func runChaos(t *testing.T, random *rand.Rand) {
	const ttl = 240 * time.Millisecond
	s := kvservice.New(kvservice.Config{})
	defer s.Close()
	byName := make(map[string]*chaosNode)
	var nodes []*chaosNode
	for i := range 3 {
		n := &chaosNode{name: fmt.Sprintf("n%d", i)}
		n.owner, _ = startOwner(s, n.name, newMembers(3), ownedShards, ttl)
		nodes = append(nodes, n)
		byName[n.name] = n
	}
	s.SetHook(func(c kvservice.Call) kvservice.Fault {
		if n := byName[c.Client]; n != nil {
			n.gate.RLock()
			defer n.gate.RUnlock()
			if c.Op.Writes() && rand.IntN(40) == 0 {
				return []kvservice.Fault{kvservice.LoseAnswer, kvservice.LoseRequest, kvservice.Late}[rand.IntN(3)]
			}
		}
		return kvservice.NoFault
	})
	var mu sync.Mutex
	fates := make(map[id.Shard]map[string]fate)
	for _, shard := range ownedShards {
		fates[shard] = make(map[string]fate)
	}
	work, stop := context.WithCancel(ctx)
	var workers sync.WaitGroup
	for _, n := range nodes {
		workers.Go(func() { appendLoop(work, n, &mu, fates) })
	}
	for range 30 {
		chaosStep(s, random, nodes, ttl)
		checkOneOwner(t, nodes)
	}
	s.SetHook(nil)
	s.DeliverLate()
	for _, shard := range ownedShards {
		await(t, 10*time.Second, "an owner of "+string(shard), func() bool {
			for _, n := range nodes {
				tenure := n.get().Term(shard)
				if tenure == nil || tenure.Check() != nil {
					continue
				}
				_, err := tenure.Journal().Append(ctx, []byte("last"))
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
		checkFates(t, without(items, "last"), fates[shard])
	}
}

func without(items []string, name string) []string {
	var rest []string
	for _, item := range items {
		if item != name {
			rest = append(rest, item)
		}
	}
	return rest
}

// appendLoop appends to the shards that a node has open and records what it is
// told.
func appendLoop(ctx context.Context, n *chaosNode, mu *sync.Mutex, fates map[id.Shard]map[string]fate) {
	for timer.Sleep(ctx, timer.NewSystem(), 3*time.Millisecond) == nil {
		for _, shard := range ownedShards {
			tenure := n.get().Term(shard)
			if tenure == nil || tenure.Check() != nil {
				continue
			}
			n.items++
			name := itemName(n.name, n.items)
			short, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			_, err := tenure.Journal().Append(short, []byte(name))
			cancel()
			f := notStored
			switch problem.KindOf(err) {
			case "":
				f = stored
			case problem.Unknown:
				f = inDoubt
			}
			mu.Lock()
			fates[shard][name] = f
			mu.Unlock()
		}
	}
}

// chaosStep makes one fault, holds it for up to three TTL, and ends it.
func chaosStep(s *kvservice.Service, random *rand.Rand, nodes []*chaosNode, ttl time.Duration) {
	n := nodes[random.IntN(len(nodes))]
	hold := func(d time.Duration) { _ = timer.Sleep(ctx, timer.NewSystem(), d) }
	length := time.Duration(random.Int64N(int64(3 * ttl / 2)))
	switch random.IntN(6) {
	case 0:
		s.Partition(n.name, true)
		hold(length)
		s.Partition(n.name, false)
	case 1:
		s.SetOutage(true)
		hold(length)
		s.SetOutage(false)
	case 2:
		n.gate.Lock()
		hold(length)
		n.gate.Unlock()
	case 3:
		s.DeliverLate()
		hold(length / 4)
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

func (n *chaosNode) restart(s *kvservice.Service, ttl time.Duration) {
	o, _ := startOwner(s, n.name, newMembers(3), ownedShards, ttl)
	n.mu.Lock()
	n.owner = o
	n.mu.Unlock()
}

// checkOneOwner fails when a tenure is valid before and after another one of
// the same shard was seen as valid.
func checkOneOwner(t *testing.T, nodes []*chaosNode) {
	t.Helper()
	for _, shard := range ownedShards {
		var valid []*owner.Term
		for _, n := range nodes {
			if tenure := n.get().Term(shard); tenure != nil && tenure.Check() == nil {
				valid = append(valid, tenure)
			}
		}
		if len(valid) > 1 && valid[0].Check() == nil {
			t.Fatalf("%s has owners with epochs %d and %d", shard, valid[0].Epoch(), valid[1].Epoch())
		}
	}
}
