package burn

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/record"
)

// ProcessID tells two processes that ran under one node's name apart.
type ProcessID uint64

// Row is the counts of one key. Buckets are in order of time.
type Row struct {
	Key     Key
	Buckets [NumResolutions][]Bucket
}

// Examples is the examples of one measure in one bucket.
type Examples struct {
	Measure    record.Measure
	Resolution Resolution
	Index      BucketIndex
	List       []Example
}

// Snapshot is the counts of one node at a time. A later snapshot of the same
// process replaces an earlier one.
type Snapshot struct {
	Node    id.Node
	Process ProcessID
	// Seq rises with each snapshot of a process.
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

// sort makes equal counts have equal snapshots.
func (s *Snapshot) sort() {
	slices.SortFunc(s.Rows, func(a, b Row) int { return compareKeys(a.Key, b.Key) })
	slices.SortFunc(s.Examples, func(a, b Examples) int {
		return cmp.Or(compareMeasures(a.Measure, b.Measure), cmp.Compare(a.Resolution, b.Resolution), cmp.Compare(a.Index, b.Index))
	})
}

// Expired reports whether no window reaches the snapshot any more.
func (s Snapshot) Expired(now time.Time) bool { return Days.BucketAt(s.At) < Days.oldestRetained(now) }

// Add returns the sum of two snapshots of different processes, under the
// name of the first.
func (s Snapshot) Add(earlier Snapshot) Snapshot {
	c := NewCounts(Config{})
	c.AddSnapshot(earlier, s.At)
	c.AddSnapshot(s, s.At)
	sum := c.Snapshot(s.Node, s.At)
	sum.Process, sum.Seq = s.Process, s.Seq
	return sum
}

// LimitRows returns the snapshot with at most n rows. The rows with the fewest
// events are added to those of all other accounts and zones, so totals stay
// exact. Rows of bad events stay longest.
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

// View is the merged counts of all nodes.
type View struct {
	// Sources is the snapshots that were merged, in order of node.
	Sources  []Source
	rows     map[record.Measure][]Row
	examples map[record.Measure][]Examples
}

// Source is a node's part of a view.
type Source struct {
	Node id.Node   `json:"node"`
	At   time.Time `json:"at"`
}

// Merge returns the sum of the counts of all nodes. Of several snapshots of
// one process only the newest counts, so a snapshot that comes twice, late or
// out of order does not change the result.
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
