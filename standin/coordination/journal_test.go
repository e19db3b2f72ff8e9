package coordination

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/journal"
	"bronzewinch.dev/lib/kv"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/timer"
	"bronzewinch.dev/standin/kvservice"

	"github.com/matryer/is"
)

const prefix = "place/entoto"

// instantTimer ends every wait immediately, so that a schedule does not depend on the
// speed of the machine.
type instantTimer struct{ timer.System }

func (instantTimer) After(time.Duration) *timer.Subscription { return timer.NewSystem().After(0) }

// writerNode is one node of a schedule. Its faults depend only on its own seed and
// its own calls, so that a schedule is reproducible.
type writerNode struct {
	name       string
	random     *rand.Rand
	store      *kvservice.LocalClient
	writer     *journal.Writer
	knownItems []string // the items that the node has read or written
	lastSeq    id.Seq
	items      int

	callsBeforeOutage int           // remaining calls that succeed before an outage
	callsToRefuse     int           // remaining calls that are refused during an outage
	pauseNextPut      bool          // pause the next put before it takes effect
	paused            chan struct{} // receives a value when a put has paused
	resume            chan struct{}
	pausedAppend      chan func() // result of a paused append; not empty while one is paused
}

// chooseFault chooses the fault for one call of the node.
func (n *writerNode) chooseFault(c kvservice.Call) kvservice.Fault {
	if n.pauseNextPut && c.Op == kv.OpPut {
		n.pauseNextPut = false
		n.paused <- struct{}{}
		<-n.resume
	}
	if n.callsBeforeOutage > 0 {
		n.callsBeforeOutage--
		return kvservice.NoFault
	}
	if n.callsToRefuse > 0 {
		n.callsToRefuse--
		return kvservice.Reject
	}
	switch p := n.random.IntN(100); {
	case p < 2:
		n.callsToRefuse = n.random.IntN(12)
		return kvservice.Reject
	case p < 5:
		return kvservice.LoseRequest
	case p < 11:
		return kvservice.LoseReply
	case p < 15 && c.Op == kv.OpPut:
		if p == 14 { // the node reads the key back, then the service refuses the retry
			n.callsBeforeOutage, n.callsToRefuse = 2, 1+n.random.IntN(12)
		}
		return kvservice.DelayRequest
	}
	return kvservice.NoFault
}

type schedule struct {
	t       *testing.T
	random  *rand.Rand
	service *kvservice.Service
	nodes   []*writerNode
	results map[string]appendResult
}

func newSchedule(t *testing.T, seed uint64) *schedule {
	s := &schedule{t: t, random: rand.New(rand.NewPCG(seed, 0)), results: make(map[string]appendResult),
		service: kvservice.New(kvservice.Config{Timer: timer.NewManual(time.Unix(1000, 0))})}
	byName := make(map[string]*writerNode)
	for i := range 3 {
		n := &writerNode{name: fmt.Sprintf("n%d", i), random: rand.New(rand.NewPCG(seed, uint64(i+1))),
			paused: make(chan struct{}, 1), resume: make(chan struct{}), pausedAppend: make(chan func(), 1)}
		n.store = s.service.LocalClient(n.name)
		s.nodes = append(s.nodes, n)
		byName[n.name] = n
	}
	s.service.SetFaultHook(func(c kvservice.Call) kvservice.Fault {
		if n := byName[c.Client]; n != nil {
			return n.chooseFault(c)
		}
		return kvservice.NoFault
	})
	return s
}

// takeJournal makes a node take over the journal.
func (s *schedule) takeJournal(n *writerNode) {
	if n.writer != nil {
		n.writer.Close()
	}
	w, snapshot, entries, err := journal.TakeOver(ctx, journal.Config{
		Store: n.store, Prefix: prefix, Node: id.Node(n.name), Timer: instantTimer{}})
	if n.writer = w; err != nil {
		n.writer = nil
		return
	}
	n.knownItems = strings.Fields(string(snapshot))
	for _, e := range entries {
		for _, item := range e.Items {
			n.knownItems = append(n.knownItems, string(item))
		}
	}
	n.lastSeq = entries[len(entries)-1].Seq
}

// startAppend starts an append and returns a channel that receives a function, which
// records the result.
func (s *schedule) startAppend(n *writerNode) chan func() {
	var names []string
	var items [][]byte
	for range 1 + s.random.IntN(3) {
		n.items++
		names = append(names, itemName(n.name, n.items))
		items = append(items, []byte(names[len(names)-1]))
	}
	done := make(chan func(), 1)
	w := n.writer
	go func() {
		seq, err := w.Append(ctx, items...)
		done <- func() { s.recordResult(n, names, seq, err) }
	}()
	return done
}

func (s *schedule) recordResult(n *writerNode, names []string, seq id.Seq, err error) {
	result := resultUnknown
	switch problem.KindOf(err) {
	case "":
		result = resultStored
		n.knownItems, n.lastSeq = append(n.knownItems, names...), seq
	case problem.Fenced, problem.Conflict, problem.Unavailable:
		result = resultNotStored
	case problem.Unknown:
	default:
		s.t.Fatalf("append: %v", err)
	}
	for _, name := range names {
		s.results[name] = result
	}
}

// step performs one random operation of one node.
func (s *schedule) step() {
	n := s.nodes[s.random.IntN(len(s.nodes))]
	p := s.random.IntN(100)
	switch {
	case p < 8:
		s.service.DeliverDelayed()
	case len(n.pausedAppend) > 0:
		if p < 40 {
			s.resumeAppend(n)
		}
	case n.writer == nil || p < 20:
		s.takeJournal(n)
	case p < 35:
		s.pauseAppend(n)
	case p < 50:
		err := n.writer.Snapshot(ctx, []byte(strings.Join(n.knownItems, " ")), n.lastSeq)
		if err != nil && problem.Is(err, problem.Internal) {
			s.t.Fatalf("snapshot: %v", err)
		}
	default:
		(<-s.startAppend(n))()
	}
}

// pauseAppend starts an append whose write is paused before it takes effect. The
// append may also end before that, if its writer is fenced.
func (s *schedule) pauseAppend(n *writerNode) {
	n.pauseNextPut = true
	done := s.startAppend(n)
	select {
	case <-n.paused:
		go func() { n.pausedAppend <- <-done }()
		n.pausedAppend <- nil
	case result := <-done:
		n.pauseNextPut = false
		result()
	}
}

func (s *schedule) resumeAppend(n *writerNode) {
	<-n.pausedAppend
	n.resume <- struct{}{}
	(<-n.pausedAppend)()
}

func (s *schedule) finish() {
	for _, n := range s.nodes {
		if len(n.pausedAppend) > 0 {
			s.resumeAppend(n)
		}
		if n.writer != nil {
			n.writer.Close()
		}
	}
	s.service.DeliverDelayed()
	s.service.SetFaultHook(nil)
}

// TestJournalFaults guards against an entry that is applied twice, an append that
// takes effect although it was reported as failed or the reverse, a fenced writer
// that still commits, and a reader that misses entries. The schedules combine lost,
// delayed and refused calls, paused writers, takeovers and compactions.
func TestJournalFaults(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newSchedule(t, seed)
			defer s.service.Close()
			for range 80 {
				s.step()
			}
			s.finish()
			items := committedItems(t, s.service, prefix)
			checkResults(t, items, s.results)
			checkRead(t, s.service.LocalClient("checker"), prefix, items)
		})
	})
}

// TestGroupCommit guards against one write for each append under load, an entry above
// the size limit, and an append that is lost when appends are combined.
func TestGroupCommit(t *testing.T) {
	is := is.New(t)
	s := kvservice.New(kvservice.Config{})
	defer s.Close()
	blocked := make(chan struct{})
	var once sync.Once
	w, _, _, err := journal.TakeOver(ctx, journal.Config{Store: s.LocalClient("n"), Prefix: prefix, Node: "n"})
	is.NoErr(err)
	defer w.Close()
	s.SetFaultHook(func(c kvservice.Call) kvservice.Fault {
		if c.Op == kv.OpPut {
			once.Do(func() { <-blocked })
		}
		return kvservice.NoFault
	})
	before := s.Counts()[kv.OpPut]
	const calls, size = 10_000, 500
	var started, done sync.WaitGroup
	started.Add(calls)
	for i := range calls {
		done.Go(func() {
			item := make([]byte, size)
			copy(item, itemName("n", i))
			started.Done()
			if _, err := w.Append(ctx, item); err != nil {
				t.Error(err)
			}
		})
	}
	started.Wait()
	close(blocked)
	done.Wait()
	is.True(s.Counts()[kv.OpPut]-before < 100) // 5 MB fill 6 entries; a few late callers may add some
	_, entries, err := journal.Read(ctx, s.LocalClient("n"), prefix)
	is.NoErr(err)
	n := 0
	for _, e := range entries {
		n += len(e.Items)
		is.True(len(e.Items)*size <= int(journal.MaxEntry))
	}
	is.Equal(n, calls)
	_, err = w.Append(ctx, make([]byte, journal.MaxEntry))
	is.True(problem.Is(err, problem.Invalid))
}

// TestAppendDuringOutage guards against an append that blocks until the end of an
// outage, and one that is reported as certainly failed although its entry was sent.
func TestAppendDuringOutage(t *testing.T) {
	is := is.New(t)
	s := kvservice.New(kvservice.Config{})
	defer s.Close()
	w, _, _, err := journal.TakeOver(ctx, journal.Config{Store: s.LocalClient("n"), Prefix: prefix, Node: "n"})
	is.NoErr(err)
	defer w.Close()
	s.SetOutage(true)
	_, err = w.Append(ctx, []byte("a"))
	is.True(problem.Is(err, problem.Unavailable))
	s.SetOutage(false)
	s.SetFaultHook(func(c kvservice.Call) kvservice.Fault {
		if c.Op == kv.OpPut {
			s.SetOutage(true)
			return kvservice.LoseReply
		}
		return kvservice.NoFault
	})
	short, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
	defer cancel()
	_, err = w.Append(short, []byte("b"))
	is.True(problem.Is(err, problem.Unknown))
	_, err = w.Append(ctx, []byte("c")) // returns immediately, because the store does not answer
	is.True(problem.Is(err, problem.Unavailable))
	s.SetFaultHook(nil)
	s.SetOutage(false)
	for problem.Is(err, problem.Unavailable) { // until the writer knows the result of "b"
		is.NoErr(timer.Sleep(ctx, timer.NewSystem(), 10*time.Millisecond))
		_, err = w.Append(ctx, []byte("d"))
	}
	is.NoErr(err)
	is.Equal(committedItems(t, s, prefix), []string{"b", "d"})
}

// TestReadDuringCompaction guards against a reader that returns an incomplete journal,
// because another writer compacts the journal between two of the reader's calls.
func TestReadDuringCompaction(t *testing.T) {
	is := is.New(t)
	s := kvservice.New(kvservice.Config{})
	defer s.Close()
	w, _, _, err := journal.TakeOver(ctx, journal.Config{Store: s.LocalClient("n"), Prefix: prefix, Node: "n"})
	is.NoErr(err)
	defer w.Close()
	for _, op := range []kv.Op{kv.OpGet, kv.OpList} {
		seq, err := w.Append(ctx, []byte("x"))
		is.NoErr(err)
		calls := 0
		s.SetFaultHook(func(c kvservice.Call) kvservice.Fault {
			if c.Client == "reader" && c.Op == op {
				if calls++; calls == 1 {
					is.NoErr(w.Snapshot(ctx, []byte(op), seq))
				}
			}
			return kvservice.NoFault
		})
		snapshot, entries, err := journal.Read(ctx, s.LocalClient("reader"), prefix)
		is.NoErr(err)
		is.Equal(string(snapshot), string(op))
		is.Equal(len(entries), 0)
		s.SetFaultHook(nil)
	}
}

// TestLargeSnapshot guards against a snapshot that fails because it exceeds the size
// limit of one value, and against parts of earlier snapshots that are not deleted.
func TestLargeSnapshot(t *testing.T) {
	is := is.New(t)
	s := kvservice.New(kvservice.Config{})
	defer s.Close()
	w, _, _, err := journal.TakeOver(ctx, journal.Config{Store: s.LocalClient("n"), Prefix: prefix, Node: "n"})
	is.NoErr(err)
	defer w.Close()
	for range 3 {
		seq, err := w.Append(ctx, []byte("x"))
		is.NoErr(err)
		is.NoErr(w.Snapshot(ctx, make([]byte, 3<<20), seq))
	}
	items, err := s.LocalClient("n").List(ctx, prefix+"/", "", 100)
	is.NoErr(err)
	is.Equal(len(items), 5) // four parts and the manifest
	state, entries, err := journal.Read(ctx, s.LocalClient("n"), prefix)
	is.NoErr(err)
	is.Equal(len(state), 3<<20)
	is.Equal(len(entries), 0)
}
