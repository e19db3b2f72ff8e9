package burn

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/record"
)

// ProcessID distinguishes processes that ran with the same node name.
type ProcessID uint64

// Row has the counts of one key. The buckets of each resolution are sorted by
// time.
type Row struct {
	Key     Key
	Buckets [NumResolutions][]Bucket
}

// Examples has the examples of one measure in one bucket.
type Examples struct {
	Measure    record.Measure
	Resolution Resolution
	Index      BucketIndex
	List       []Example
}

// Snapshot is a copy of the counts of one node at a point in time. A later
// snapshot of the same process replaces an earlier one.
type Snapshot struct {
	Node    id.Node
	Process ProcessID
	// Seq increases with each snapshot of a process.
	Seq      uint64
	At       time.Time
	Rows     []Row
	Examples []Examples
}

func compareMeasures(a, b record.Measure) int {
	return cmp.Or(cmp.Compare(a.Indicator, b.Indicator), cmp.Compare(a.Class, b.Class))
}

func compareKeys(a, b Key) int {
	return cmp.Or(compareMeasures(a.Measure, b.Measure), cmp.Compare(a.Account, b.Account),
		cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Cause, b.Cause))
}

// sort sorts the rows and examples, so that equal counts have equal snapshots.
func (s *Snapshot) sort() {
	slices.SortFunc(s.Rows, func(a, b Row) int { return compareKeys(a.Key, b.Key) })
	slices.SortFunc(s.Examples, func(a, b Examples) int {
		return cmp.Or(compareMeasures(a.Measure, b.Measure), cmp.Compare(a.Resolution, b.Resolution), cmp.Compare(a.Index, b.Index))
	})
}

// Expired reports whether the snapshot is older than all windows.
func (s Snapshot) Expired(now time.Time) bool { return Days.BucketAt(s.At) < Days.oldestRetained(now) }

// Add returns the sum of s and the snapshot of an earlier process. The sum has
// the node, process and sequence number of s.
func (s Snapshot) Add(earlier Snapshot) Snapshot {
	c := NewCounts(Config{})
	c.AddSnapshot(earlier, s.At)
	c.AddSnapshot(s, s.At)
	sum := c.Snapshot(s.Node, s.At)
	sum.Process, sum.Seq = s.Process, s.Seq
	return sum
}

// LimitRows returns the snapshot with at most n rows and the overflow rows. It
// adds the rows with the fewest bad events (if equal, with the fewest good
// events) to the overflow rows, so that totals stay exact.
func (s Snapshot) LimitRows(n int) Snapshot {
	if len(s.Rows) <= n {
		return s
	}
	eventCounts := func(r Row) (bad, good uint64) {
		for _, b := range r.Buckets[Days] {
			bad, good = bad+uint64(b.Bad), good+uint64(b.Good)
		}
		return bad, good
	}
	rows := slices.Clone(s.Rows)
	slices.SortStableFunc(rows, func(a, b Row) int {
		badA, goodA := eventCounts(a)
		badB, goodB := eventCounts(b)
		return cmp.Or(cmp.Compare(badB, badA), cmp.Compare(goodB, goodA))
	})
	c := NewCounts(Config{})
	for i := range rows {
		if i >= n {
			rows[i].Key = rows[i].Key.overflow()
		}
	}
	c.AddSnapshot(Snapshot{Rows: rows, Examples: s.Examples}, s.At)
	limited := c.Snapshot(s.Node, s.At)
	limited.Process, limited.Seq = s.Process, s.Seq
	return limited
}

// View has the merged counts of all nodes.
type View struct {
	// Sources lists the merged snapshots, sorted by node.
	Sources  []Source
	rows     map[record.Measure][]Row
	examples map[record.Measure][]Examples
}

// Source identifies a snapshot in a view.
type Source struct {
	Node id.Node   `json:"node"`
	At   time.Time `json:"at"`
}

// Merge combines the snapshots of all nodes. Of several snapshots of one process
// it uses only the newest one, so a snapshot that occurs twice, late or out of
// order does not change the result.
func Merge(list []Snapshot) View {
	type process struct {
		node    id.Node
		process ProcessID
	}
	newest := make(map[process]Snapshot)
	for _, s := range list {
		k := process{s.Node, s.Process}
		if old, ok := newest[k]; !ok || s.Seq > old.Seq {
			newest[k] = s
		}
	}
	v := View{rows: make(map[record.Measure][]Row), examples: make(map[record.Measure][]Examples)}
	for _, k := range slices.SortedFunc(maps.Keys(newest), func(a, b process) int {
		return cmp.Or(cmp.Compare(a.node, b.node), cmp.Compare(a.process, b.process))
	}) {
		s := newest[k]
		v.Sources = append(v.Sources, Source{s.Node, s.At})
		for _, r := range s.Rows {
			v.rows[r.Key.Measure] = append(v.rows[r.Key.Measure], r)
		}
		for _, x := range s.Examples {
			v.examples[x.Measure] = append(v.examples[x.Measure], x)
		}
	}
	return v
}
