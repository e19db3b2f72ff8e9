package burnstore

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"bronzewinch.dev/lib/burn"
	"bronzewinch.dev/lib/decision"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/kv"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/timer"
	"bronzewinch.dev/lib/unit"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
)

var start = time.Date(2026, 3, 4, 5, 0, 0, 0, time.UTC)

// fakeStore is a key-value service in memory. Tests inject faults with down and
// loseReply.
type fakeStore struct {
	mu        sync.Mutex
	items     map[string]kv.Item
	down      bool
	loseReply bool // the reply to the next write
	writes    int
}

func (f *fakeStore) fail(kind problem.Kind) error {
	return problem.New(kind, problem.Detail{Field: "fake store", Remedy: "test"})
}

func (f *fakeStore) Get(_ context.Context, key string) (kv.Item, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	item, ok := f.items[key]
	switch {
	case f.down:
		return kv.Item{}, f.fail(problem.Unavailable)
	case !ok:
		return kv.Item{}, f.fail(problem.NotFound)
	}
	return item, nil
}

func (f *fakeStore) Put(_ context.Context, key string, value []byte, expect kv.Version, _ kv.LeaseID) (kv.Version, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.down:
		return 0, f.fail(problem.Unavailable)
	case f.items[key].Version != expect:
		return 0, f.fail(problem.Conflict)
	}
	f.writes++
	f.items[key] = kv.Item{Key: key, Value: value, Version: kv.Version(f.writes)}
	if f.loseReply {
		f.loseReply = false
		return 0, f.fail(problem.Unknown)
	}
	return kv.Version(f.writes), nil
}

func (f *fakeStore) Delete(_ context.Context, key string, expect kv.Version) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.items[key].Version != expect {
		return f.fail(problem.Conflict)
	}
	delete(f.items, key)
	return nil
}

func (f *fakeStore) List(_ context.Context, prefix, after string, _ int) ([]kv.Item, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, f.fail(problem.Unavailable)
	}
	var list []kv.Item
	for key, item := range f.items {
		if strings.HasPrefix(key, prefix) && key > after {
			list = append(list, item)
		}
	}
	slices.SortFunc(list, func(a, b kv.Item) int { return strings.Compare(a.Key, b.Key) })
	return list[:min(len(list), 2)], nil // the service may return fewer items than requested
}

func (f *fakeStore) count(prefix string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for key := range f.items {
		if strings.HasPrefix(key, prefix) {
			n++
		}
	}
	return n
}

// staticConfig is a configuration source whose set never changes.
type staticConfig struct{ set *record.Set }

func (f staticConfig) Current() *record.Set { return f.set }

type node struct {
	*Service
	clock *timer.Manual
}

func newNode(t *testing.T, name id.Node, store Store) *node {
	t.Helper()
	set := record.NewSet()
	set.Objectives["answers"] = record.Objective{Name: "answers", Measure: record.Measure{Indicator: record.CompleteResponses},
		Target: 0.9, Window: 30 * 24 * time.Hour, Bound: record.Bound{Time: time.Second}}
	set.Objectives["urgent"] = record.Objective{Name: "urgent", Measure: record.Measure{Indicator: record.UrgentStart},
		Target: 0.9, Window: 30 * 24 * time.Hour, Bound: record.Bound{Time: time.Second}}
	clock := timer.NewManual(start)
	s := New(Config{Node: name, Store: store, Counts: burn.NewCounts(burn.Config{}), ConfigSource: staticConfig{set}, Clock: clock, Metrics: metrics.NewSet(),
		Decisions: func(_ context.Context, job id.Job) ([]decision.Record, error) {
			return []decision.Record{{Job: job, Rule: decision.RuleWait}, {Job: job, Rule: decision.RulePreempt, Reason: "victims checkpoint"}}, nil
		}})
	t.Cleanup(func() { _ = s.Close(context.Background()) })
	return &node{s, clock}
}

// observeBad observes a number of bad requests.
func (n *node) observeBad(count int) {
	for i := range count {
		n.Counts.Observe(burn.Request{Account: "skymap", Zone: "entoto", ID: id.Request(fmt.Sprint("r", i))}, n.clock.Now())
	}
}

// badTotal reads the stored counts again and returns the number of bad requests
// in the report.
func (n *node) badTotal(t *testing.T) uint64 {
	t.Helper()
	n.mu.Lock()
	n.cachedAt = time.Time{}
	n.mu.Unlock()
	r, err := n.Report(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	windows := r.(burn.Report).Objectives[1].Windows
	return windows[len(windows)-1].Bad
}

// TestCountsSurviveFaults guards against counts that are lost or counted twice.
// The faults are an outage of the store, writes whose reply is lost, and a new
// process with the same node name while the earlier one still writes.
func TestCountsSurviveFaults(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	store := &fakeStore{items: make(map[string]kv.Item)}
	a, second := newNode(t, "n1", store), newNode(t, "n2", store)
	second.observeBad(100)
	is.NoErr(second.writer.save(ctx))
	a.observeBad(1)
	store.down = true
	is.True(problem.Is(a.writer.save(ctx), problem.Unavailable))
	is.Equal(a.badTotal(t), uint64(1)) // the report uses the counts of this process
	store.down, store.loseReply = false, true
	is.True(problem.Is(a.writer.save(ctx), problem.Unknown))
	is.Equal(a.badTotal(t), uint64(101))
	a.observeBad(1)
	is.NoErr(a.writer.save(ctx))
	is.Equal(a.badTotal(t), uint64(102))
	is.Equal(second.badTotal(t), uint64(102))

	b := newNode(t, "n1", store) // replaces a
	b.observeBad(10)
	is.Equal(b.badTotal(t), uint64(112))
	is.NoErr(b.writer.readStored(ctx)) // b reads the counts that a stored, and then a writes again
	a.observeBad(1)
	is.NoErr(a.writer.save(ctx))
	store.loseReply = true
	is.True(problem.Is(b.writer.save(ctx), problem.Unknown))
	is.Equal(b.badTotal(t), uint64(113))
	is.NoErr(b.writer.save(ctx))
	is.Equal(b.badTotal(t), uint64(113))
	is.Equal(second.badTotal(t), uint64(113))
	a.observeBad(1000)
	is.NoErr(a.writer.save(ctx)) // a was paused, and detects that b has superseded it
	is.True(a.writer.superseded.Load())
	is.Equal(second.badTotal(t), uint64(113))
	is.Equal(a.badTotal(t), uint64(113))
}

// TestExpiredCountsAreDeleted guards against keys of removed nodes that stay in
// the store forever. A value that can't be decoded is not deleted, because a
// newer release may have written it.
func TestExpiredCountsAreDeleted(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	store := &fakeStore{items: make(map[string]kv.Item)}
	for n := range 5 {
		expired := newNode(t, id.Node(fmt.Sprint("gone-", n)), store)
		expired.observeBad(1)
		is.NoErr(expired.writer.save(ctx))
	}
	store.items["burn/new"] = kv.Item{Key: "burn/new", Value: []byte("another format"), Version: 9}
	n := newNode(t, "n1", store)
	is.Equal(n.badTotal(t), uint64(5)) // read in pages, without the value that can't be decoded
	n.clock.Advance(31 * 24 * time.Hour)
	is.NoErr(n.refresh(ctx))
	is.Equal(store.count("burn/gone"), 5)
	n.clock.Advance(24 * time.Hour)
	is.NoErr(n.refresh(ctx))
	is.Equal(store.count("burn/gone"), 0)
	is.Equal(store.count("burn/new"), 1) // a value that can't be decoded is not deleted
}

// TestReportDecisionsAndMetrics guards against examples without the decision
// about their job, and against metrics that lack a window or remain after their
// objective was removed.
func TestReportDecisionsAndMetrics(t *testing.T) {
	is := is.New(t)
	n := newNode(t, "n1", &fakeStore{items: make(map[string]kv.Item)})
	n.Counts.Observe(burn.UrgentStart{Account: "skymap", Zone: "entoto", Job: "j1", Elapsed: time.Minute}, start)
	n.observeBad(2)
	r, err := n.Report(context.Background())
	is.NoErr(err)
	urgent := r.(burn.Report).Objectives[0]
	is.Equal(urgent.Windows[0].Examples[0].Decision.Reason, "victims checkpoint")
	var text bytes.Buffer
	n.Metrics.WritePrometheus(&text)
	for _, line := range []string{`bronzewinch_burn_rate{objective="answers",window="5m"} 10`, `bronzewinch_burn_rate{objective="answers",window="30d"} 10`,
		`bronzewinch_burn_alert{objective="answers",alert="slow"} 1`, `bronzewinch_burn_budget_left{objective="urgent"} -9`} {
		is.True(strings.Contains(strings.ReplaceAll(text.String(), "9.999999999999998", "10"), line[:len(line)-3]))
	}
	n.gauges.set(burn.Report{}, start)
	text.Reset()
	n.Metrics.WritePrometheus(&text)
	is.True(!strings.Contains(text.String(), "bronzewinch_burn_rate"))
}

// TestCodec guards against counts that change when they are encoded and decoded,
// and against corrupt values that make the decoder panic.
func TestCodec(t *testing.T) {
	is := is.New(t)
	s := newSnapshot(6, 12, 60)
	data, err := Encode(s)
	is.NoErr(err)
	got, err := Decode(data)
	is.NoErr(err)
	is.True(reflect.DeepEqual(got, s))
	small, err := encodeWithLimit(s, 4*unit.KiB)
	is.NoErr(err)
	is.True(len(small) <= int(4*unit.KiB))
	for n := range len(data) / 97 {
		broken := slices.Clone(data)
		broken[n*97] ^= 0xff
		if _, err := Decode(broken); err != nil {
			is.True(problem.Is(err, problem.Invalid))
		}
	}
	_, err = Decode(nil)
	is.True(problem.Is(err, problem.Invalid))
}

// newSnapshot returns counts of requests and jobs of 42 accounts over a number
// of hours. About one request in fifty is bad.
func newSnapshot(zones, hours, perMinute int) burn.Snapshot {
	c := burn.NewCounts(burn.Config{})
	c.SetBounds(burn.Bounds{{Indicator: record.CompleteResponses}: {Time: time.Second}, {Indicator: record.Completion, Class: record.Small}: {Slowdown: 2}})
	random := rand.New(rand.NewPCG(1, 2))
	causes := []burn.Cause{"backend", "unknown", "overloaded", "late"}
	for n := range hours * 60 * perMinute {
		a, z := id.Account(fmt.Sprint("team-", random.IntN(42))), id.Zone(fmt.Sprint("zone-", random.IntN(zones)))
		at := start.Add(-time.Duration(random.IntN(hours*3600)) * time.Second) // stored times are in whole seconds
		c.Observe(burn.Request{Account: a, Zone: z, ID: id.Request(fmt.Sprintf("%016x", random.Uint64())), Done: random.IntN(50) > 0, Cause: causes[random.IntN(4)]}, at)
		if n%10 == 0 {
			c.Observe(burn.Completion{Account: a, Zone: z, Job: id.Job(fmt.Sprint("job-", n)), Turnaround: time.Hour, RunTime: time.Hour / time.Duration(1+random.IntN(3))}, at)
		}
	}
	s := c.Snapshot("n1", start)
	s.Process, s.Seq = 7, 8
	return s
}

// BenchmarkEncode reports the size of the value of one node, for docs/burn.md,
// at the system size expected in two years: for a node that counts events of its
// own zone only, and for one that counts those of all zones.
func BenchmarkEncode(b *testing.B) {
	for _, zones := range []int{1, 6} {
		for _, hours := range []int{24, 72, 24 * 30} {
			b.Run(fmt.Sprint(zones, "zones/", hours, "h"), func(b *testing.B) {
				s := newSnapshot(zones, hours, 60*72/hours)
				var data []byte
				for b.Loop() {
					data, _ = Encode(s)
				}
				b.ReportMetric(float64(len(data)), "bytes")
				b.ReportMetric(float64(len(s.Rows)), "rows")
			})
		}
	}
}
