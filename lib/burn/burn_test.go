package burn

import (
	"fmt"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/unit"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var (
	start             = time.Date(2026, 3, 4, 5, 0, 0, 0, time.UTC)
	completeResponses = record.Measure{Indicator: record.CompleteResponses}
)

// objectives returns a set with one objective for each measure.
func objectives() *record.Set {
	s := record.NewSet()
	for _, i := range record.Indicators() {
		classes := []record.SizeClass{""}
		if i == record.Completion {
			classes = []record.SizeClass{record.Small, record.Medium, record.Large}
		}
		for _, c := range classes {
			name := id.Objective(strings.ToLower(string(i)) + string(c))
			s.Objectives[name] = record.Objective{Name: name, Measure: record.Measure{Indicator: i, Class: c}, Target: 0.99, Window: 30 * day,
				Bound: record.Bound{Time: time.Second, Slowdown: 2, Share: 0.25}}
		}
	}
	return s
}

func newCounts() *Counts {
	c := NewCounts(Config{})
	c.SetBounds(BoundsOf(objectives()))
	return c
}

func request(n int, done bool) Request {
	return Request{Account: id.Account(fmt.Sprint("a", n%3)), Zone: id.Zone(fmt.Sprint("z", n%2)), ID: id.Request(fmt.Sprint("r", n)), Done: done, Cause: "backend"}
}

// reportOf merges the snapshots and returns the report of a measure's objective.
func reportOf(t *testing.T, m record.Measure, now time.Time, list ...Snapshot) ObjectiveReport {
	t.Helper()
	for _, o := range Evaluate(Merge(list), objectives(), now).Objectives {
		if o.Indicator == m.Indicator && o.Class == m.Class {
			return o
		}
	}
	t.Fatalf("no objective for %v", m)
	return ObjectiveReport{}
}

// TestClassify guards against an event that is compared with the wrong field of
// the bound, or counted for the wrong measure or cause.
func TestClassify(t *testing.T) {
	completion := func(c record.SizeClass) record.Measure {
		return record.Measure{Indicator: record.Completion, Class: c}
	}
	one := func(i record.Indicator) record.Measure { return record.Measure{Indicator: i} }
	tests := []struct {
		event   Event
		measure record.Measure
		cause   Cause // empty for a good event
	}{
		{UrgentStart{Elapsed: time.Second}, one(record.UrgentStart), ""},
		{UrgentStart{Elapsed: time.Second + 1}, one(record.UrgentStart), CauseLate},
		{UrgentStart{Abandoned: true, Cause: "worker"}, one(record.UrgentStart), "worker"},
		{Reclaim{Elapsed: 2 * time.Second, Cause: "checkpoint"}, one(record.ReclaimTime), "checkpoint"},
		{Request{Done: true, Elapsed: 1, Cause: "ignored"}, completeResponses, ""},
		{Request{Done: true, Elapsed: time.Minute}, completeResponses, CauseLate},
		{Request{Elapsed: 1}, completeResponses, CauseNotDone},
		{ConfigActivation{Revision: 3, Elapsed: time.Minute}, one(record.ConfigActivation), CauseLate},
		{Completion{Accelerators: 2, Turnaround: 2 * time.Hour, RunTime: time.Hour}, completion(record.Small), ""},
		{Completion{Accelerators: 8, Turnaround: 3 * time.Hour, RunTime: time.Hour}, completion(record.Medium), CauseSlow},
		{Completion{Accelerators: 64, Turnaround: 15 * time.Second, RunTime: time.Millisecond}, completion(record.Large), ""},
		{Fragmentation{Share: 0.25}, one(record.Fragmentation), ""},
		{Fragmentation{Share: 0.26, Job: "j"}, one(record.Fragmentation), CauseFragmented},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%+v", tt.event), func(t *testing.T) {
			is := is.New(t)
			c := newCounts()
			c.Observe(tt.event, start)
			s := c.Snapshot("n", start)
			is.Equal(len(s.Rows), 1)
			is.Equal(s.Rows[0].Key.Measure, tt.measure)
			is.Equal(s.Rows[0].Key.Cause, tt.cause)
			is.Equal(s.Rows[0].Buckets[Days][0].Good == 1, tt.cause == "")
			c.SetBounds(nil) // events without an objective are not counted
			c.Observe(tt.event, start)
			is.Equal(c.Snapshot("n", start).Rows, s.Rows)
		})
	}
}

// TestRatesAndBudget guards against a report with a wrong burn rate, budget,
// contributor or number of examples.
func TestRatesAndBudget(t *testing.T) {
	is := is.New(t)
	c := newCounts()
	for n := range 1000 {
		c.Observe(request(n, true), start.Add(-10*day))
	}
	for n := range 100 {
		c.Observe(request(n, n%10 != 0), start)
	}
	r := reportOf(t, completeResponses, start, c.Snapshot("n", start))
	is.Equal(len(r.Windows), 5)
	is.Equal(r.Windows[0].Total, Total{90, 10})
	is.True(r.Windows[0].Rate > 9.99 && r.Windows[0].Rate < 10.01)
	own := r.Windows[4]
	is.Equal(own.Total, Total{1090, 10})
	is.True(r.BudgetLeft > 0.0908 && r.BudgetLeft < 0.0910) // 10 of 11 allowed bad events
	is.Equal(own.Causes, []Contributor{{"backend", 10, 1}})
	is.Equal(own.Accounts[0], Contributor{"a0", 4, 0.4})
	is.Equal(len(own.Examples), MaxExamples) // all are in one bucket
	is.Equal(len(r.Days), 2)
	is.Equal(r.Hours, []Point{{start, Total{90, 10}}})
	// After 4 days, all buckets but those of days have expired, and after 32
	// days all buckets.
	later := start.Add(4 * day)
	is.Equal(reportOf(t, completeResponses, later, c.Snapshot("n", later)).Windows[3].Total, Total{})
	later = start.Add(32 * day)
	is.Equal(len(c.Snapshot("n", later).Rows), 0)
}

// TestAlerts guards against an alert that fires after the outage has ended, and
// against one that fires for a single bad event.
func TestAlerts(t *testing.T) {
	tests := []struct {
		name       string
		bad, good  int
		ago        time.Duration
		fast, slow bool
	}{
		{"quiet", 0, 100, 0, false, false},
		{"one bad event", 1, 0, 0, false, false},
		{"outage now", 50, 50, 0, true, true},
		{"outage two hours ago", 50, 50, 2 * time.Hour, false, true},
		{"outage a day ago", 50, 50, day, false, false},
		{"slow leak", 2, 98, 0, false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := newCounts()
			for n := range tt.bad + tt.good {
				c.Observe(request(n, n >= tt.bad), start.Add(-tt.ago))
			}
			r := reportOf(t, completeResponses, start, c.Snapshot("n", start))
			is.Equal(r.Alerts[0].Firing, tt.fast)
			is.Equal(r.Alerts[1].Firing, tt.slow)
			is.True(r.Alerts[0].Threshold > 14.39 && r.Alerts[0].Threshold < 14.41) // 2% of 30 days in an hour
		})
	}
}

// TestMergeIsIdempotent guards against merged counts that change when snapshots
// are read twice, out of order or together with older ones of the same process.
func TestMergeIsIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all, newest []Snapshot
		want := Total{}
		for n := range rapid.IntRange(1, 4).Draw(t, "nodes") {
			c := newCounts()
			for seq := range rapid.IntRange(1, 3).Draw(t, "snapshots") {
				events := rapid.IntRange(0, 20).Draw(t, "events")
				for range events {
					bad := rapid.Bool().Draw(t, "bad")
					c.Observe(request(rapid.IntRange(0, 9).Draw(t, "n"), !bad), start)
					if bad {
						want.Bad++
					} else {
						want.Good++
					}
				}
				s := c.Snapshot(id.Node(fmt.Sprint("n", n)), start)
				s.Seq = uint64(seq + 1)
				all = append(all, s)
			}
			newest = append(newest, all[len(all)-1])
		}
		shuffled := rapid.Permutation(append(all, all...)).Draw(t, "order")
		set := objectives()
		got := Evaluate(Merge(shuffled), set, start)
		if !reflect.DeepEqual(got, Evaluate(Merge(newest), set, start)) {
			t.Fatalf("the report depends on repeated or older snapshots: %+v", got)
		}
		for _, o := range got.Objectives {
			if o.Indicator == record.CompleteResponses && o.Windows[0].Total != want {
				t.Fatalf("%+v, want %+v", o.Windows[0].Total, want)
			}
		}
	})
}

// TestRowsAndExamplesAreBounded guards against memory use that grows with the
// number of accounts, causes or bad events, and against wrong totals when rows
// are added to the overflow rows.
func TestRowsAndExamplesAreBounded(t *testing.T) {
	is := is.New(t)
	c := NewCounts(Config{MaxRows: 20})
	c.SetBounds(BoundsOf(objectives()))
	for n := range 500 {
		c.Observe(Request{Account: id.Account(fmt.Sprint("a", n)), ID: id.Request(fmt.Sprint("r", n)), Cause: Cause(strings.Repeat("long", 20))}, start)
	}
	s := c.Snapshot("n", start)
	is.True(len(s.Rows) <= 21)
	is.Equal(len(s.Examples), NumResolutions)
	is.Equal(len(s.Examples[0].List), MaxExamples)
	is.Equal(reportOf(t, completeResponses, start, s).Windows[0].Bad, uint64(500))
	limited := s.LimitRows(3)
	is.True(len(limited.Rows) <= 4)
	is.Equal(reportOf(t, completeResponses, start, limited).Windows[0].Bad, uint64(500))
	is.Equal(reportOf(t, completeResponses, start, s.Add(limited)).Windows[0].Bad, uint64(1000))
}

// TestBucketList guards against events that are counted in a wrong bucket, or
// lost, when the clock jumps or a node has no events for some time.
func TestBucketList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r bucketList
		want, newest := make(map[BucketIndex]uint32), BucketIndex(0)
		for _, i := range rapid.SliceOfN(rapid.IntRange(100, 160), 1, 80).Draw(t, "at") {
			at := BucketIndex(i)
			newest = max(newest, at)
			r = r.add(at, at-12, 1, 0)
			want[at]++
			for old := range want {
				if old < at-12 && !containsBucket(r, old) {
					delete(want, old)
				}
			}
		}
		for n, b := range r.dropBefore(newest - 12) {
			if b.Good != want[b.Index] || n > 0 && r[n-1].Index >= b.Index {
				t.Fatalf("%v, want %v", r, want)
			}
		}
	})
}

func containsBucket(r bucketList, i BucketIndex) bool {
	for _, b := range r {
		if b.Index == i {
			return true
		}
	}
	return false
}

// TestConcurrentObserve guards against events that are lost when goroutines
// observe events and take snapshots at the same time. Run it with the race
// detector to find data races.
func TestConcurrentObserve(t *testing.T) {
	is := is.New(t)
	c := newCounts()
	var wg sync.WaitGroup
	for w := range 8 {
		wg.Go(func() {
			for n := range 500 {
				c.Observe(request(n, n%2 == 0), start)
				if n%100 == w {
					c.Snapshot("n", start)
				}
			}
		})
	}
	wg.Wait()
	is.Equal(reportOf(t, completeResponses, start, c.Snapshot("n", start)).Windows[0].Total, Total{2000, 2000})
}

// TestWindowText guards against a window whose text is parsed as another window.
func TestWindowText(t *testing.T) {
	is := is.New(t)
	for w, want := range map[Window]string{Window5m: "5m", Window1h: "1h", Window6h: "6h", Window3d: "3d", Window(30 * day): "30d", Window(day): "24h", Window(25 * time.Hour): "25h", Window(time.Hour + 30*time.Second): "1h0m30s"} {
		is.Equal(w.String(), want)
		var read Window
		is.NoErr(read.UnmarshalText([]byte(want)))
		is.Equal(read, w)
	}
	var w Window
	is.True(w.UnmarshalText([]byte("0d")) != nil)
	is.True(w.UnmarshalText([]byte("-1h")) != nil)
}

// fill observes events of 42 accounts in 6 zones over a number of hours.
func fill(c *Counts, hours int) {
	for n := range 42 * 6 * 4 * hours {
		a, z := id.Account(fmt.Sprint("team-", n%42)), id.Zone(fmt.Sprint("zone-", n/42%6))
		now := start.Add(-time.Duration(n%(12*hours)) * 5 * time.Minute)
		c.Observe(Request{Account: a, Zone: z, ID: id.Request(fmt.Sprint("request-", n)), Done: n%50 != 0, Cause: "backend"}, now)
		c.Observe(Completion{Account: a, Zone: z, Job: id.Job(fmt.Sprint("job-", n)), Accelerators: unit.Accelerators(n % 20), Turnaround: time.Hour, RunTime: time.Hour / time.Duration(1+n%3)}, now)
	}
}

func BenchmarkObserve(b *testing.B) {
	c := newCounts()
	fill(c, 72)
	for name, done := range map[string]bool{"good": true, "bad": false} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				c.Observe(Request{Account: "team-7", Zone: "zone-3", ID: "request-1", Done: done, Elapsed: 1, Cause: "backend"}, start)
			}
		})
		b.Run(name+"Contended", func(b *testing.B) {
			b.RunParallel(func(pb *testing.PB) {
				for n := 0; pb.Next(); n++ {
					c.Observe(Request{Account: "team-7", Zone: "zone-3", ID: "request-1", Done: done, Elapsed: 1, Cause: "backend"}, start)
				}
			})
		})
	}
}

func BenchmarkEvaluate(b *testing.B) {
	c := newCounts()
	fill(c, 72)
	s := c.Snapshot("n", start)
	var list []Snapshot
	for n := range 8 {
		s.Node = id.Node(fmt.Sprint("n", n))
		list = append(list, s)
	}
	set := objectives()
	for b.Loop() {
		Evaluate(Merge(list), set, start)
	}
	b.ReportMetric(float64(len(s.Rows)), "rows/node")
}
