package burn

import (
	"slices"
	"sync/atomic"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/shard"
)

// Limits of what one node keeps.
const (
	// DefaultMaxRows bounds the rows. 42 accounts in 6 zones have 8 measures,
	// which is 2,016 rows of good events; the rest is for causes. A row with
	// every bucket in use takes 1.4 KB, so all rows take at most 5.8 MB.
	DefaultMaxRows = 4096
	// MaxExamples bounds the examples of one measure in one bucket. Examples
	// are most of a stored value: with 8 it was 34 KB instead of 26 KB.
	MaxExamples = 4
	// maxCause bounds the length of a cause in bytes.
	maxCause = 32
)

// other stands for the account and zone of events without a row of their own.
const other = "other"

// Config is what Counts is made from.
type Config struct {
	// MaxRows bounds the rows, DefaultMaxRows when zero.
	MaxRows int
}

// cell is the counts of one key.
type cell struct{ rings [NumResolutions]ring }

func (c *cell) empty() bool {
	for _, r := range c.rings {
		if len(r) > 0 {
			return false
		}
	}
	return true
}

// exampleKey names the examples of one bucket.
type exampleKey struct {
	measure record.Measure
	level   Resolution
	index   BucketIndex
}

// Counts counts the events of one node. Its rows are in shards, each under
// its own lock.
type Counts struct {
	maxKeys  int64
	bounds   atomic.Pointer[Bounds]
	keys     atomic.Int64
	cells    *shard.Map[Key, *cell]
	examples *shard.Map[exampleKey, []Example]
}

// NewCounts returns counts without events or bounds.
func NewCounts(c Config) *Counts {
	if c.MaxRows == 0 {
		c.MaxRows = DefaultMaxRows
	}
	n := &Counts{maxKeys: int64(c.MaxRows), cells: shard.NewMap[Key, *cell](), examples: shard.NewMap[exampleKey, []Example]()}
	n.bounds.Store(&Bounds{})
	return n
}

// SetBounds sets the bounds that later events are held against.
func (c *Counts) SetBounds(b Bounds) { c.bounds.Store(&b) }

// Observe counts one event. It is on the path of requests.
func (c *Counts) Observe(e Event, now time.Time) {
	s, ok := e.sample(*c.bounds.Load())
	if !ok {
		return
	}
	if len(s.key.Cause) > maxCause {
		s.key.Cause = s.key.Cause[:maxCause]
	}
	good, bad := uint32(1), uint32(0)
	if !s.good {
		good, bad = 0, 1
	}
	var at [NumResolutions]BucketIndex
	for l := range levels {
		at[l] = l.BucketAt(now)
	}
	c.update(s.key, func(cell *cell) {
		for l, i := range at {
			cell.rings[l] = cell.rings[l].add(i, i-kept[l]+1, good, bad)
		}
	})
	if !s.good && !s.ref.IsZero() {
		c.keep(s, at, now)
	}
}

// update calls f with the row of a key. When there is no room for a new row,
// it is the row of all other accounts and zones.
func (c *Counts) update(k Key, f func(*cell)) {
	done := false
	c.cells.Update(k, func(v *cell, ok bool) (*cell, bool) {
		if !ok {
			if c.keys.Add(1) > c.maxKeys && !k.isOther() {
				c.keys.Add(-1)
				return nil, false
			}
			v = new(cell)
		}
		f(v)
		done = true
		return v, true
	})
	if !done {
		c.update(k.other(), f)
	}
}

func (k Key) isOther() bool { return k == k.other() }

func (k Key) other() Key {
	o := Key{Measure: k.Measure, Account: other, Zone: other}
	if k.Cause != "" {
		o.Cause = CauseOther
	}
	return o
}

// keep adds an example to the buckets of all levels.
func (c *Counts) keep(s sample, at [NumResolutions]BucketIndex, now time.Time) {
	e := Example{Ref: s.ref, Account: s.key.Account, Zone: s.key.Zone, Cause: s.key.Cause, At: now}
	for l, i := range at {
		c.examples.Update(exampleKey{s.key.Measure, Resolution(l), i}, func(list []Example, _ bool) ([]Example, bool) {
			return keepExample(list, e), true
		})
	}
}

// keepExample adds an example while there is room. After that, it replaces
// one of an account, zone and cause that has two, so that a single account
// does not hide the others.
func keepExample(list []Example, e Example) []Example {
	if len(list) < MaxExamples {
		return append(list, e)
	}
	if slices.ContainsFunc(list, e.like) {
		return list
	}
	for i, x := range list {
		if slices.ContainsFunc(list[:i], x.like) {
			list[i] = e
			break
		}
	}
	return list
}

// like reports whether two events had the same account, zone and cause.
func (e Example) like(o Example) bool {
	return e.Account == o.Account && e.Zone == o.Zone && e.Cause == o.Cause
}

// EvictExpired drops the buckets that no window reaches any more.
func (c *Counts) EvictExpired(now time.Time) {
	var keys []Key
	c.cells.Range(func(k Key, _ *cell) bool { keys = append(keys, k); return true })
	for _, k := range keys {
		c.cells.Update(k, func(v *cell, ok bool) (*cell, bool) {
			if !ok {
				return nil, false
			}
			for l := range levels {
				v.rings[l] = v.rings[l].since(l.oldest(now))
			}
			if v.empty() {
				c.keys.Add(-1)
				return nil, false
			}
			return v, true
		})
	}
	var old []exampleKey
	c.examples.Range(func(k exampleKey, _ []Example) bool {
		if k.index < k.level.oldest(now) {
			old = append(old, k)
		}
		return true
	})
	for _, k := range old {
		c.examples.Delete(k)
	}
}

// Snapshot returns a copy of the rows and examples.
func (c *Counts) Snapshot(node id.Node, now time.Time) Snapshot {
	c.EvictExpired(now)
	s := Snapshot{Node: node, At: now}
	c.cells.Range(func(k Key, v *cell) bool {
		row := Row{Key: k}
		for l, r := range v.rings {
			row.Buckets[l] = append([]Bucket(nil), r...)
		}
		s.Rows = append(s.Rows, row)
		return true
	})
	c.examples.Range(func(k exampleKey, list []Example) bool {
		s.Examples = append(s.Examples, Examples{k.measure, k.level, k.index, append([]Example(nil), list...)})
		return true
	})
	s.sort()
	return s
}

// AddSnapshot adds the rows and examples of a snapshot, for a node that goes on from
// what an earlier process under its name has counted.
func (c *Counts) AddSnapshot(s Snapshot, now time.Time) {
	for _, row := range s.Rows {
		c.update(row.Key, func(v *cell) {
			for l := range levels {
				for _, b := range row.Buckets[l] {
					v.rings[l] = v.rings[l].add(b.Index, l.oldest(now), b.Good, b.Bad)
				}
			}
		})
	}
	for _, x := range s.Examples {
		c.examples.Update(exampleKey{x.Measure, x.Resolution, x.Index}, func(list []Example, _ bool) ([]Example, bool) {
			for _, e := range x.List {
				list = keepExample(list, e)
			}
			return list, true
		})
	}
}
