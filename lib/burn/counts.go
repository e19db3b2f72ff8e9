package burn

import (
	"slices"
	"sync/atomic"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/shard"
)

// Limits of the counts and examples of one node.
const (
	// DefaultMaxRows is the default maximum number of rows. 42 accounts in 6
	// zones with 8 measures need 2,016 rows of good events; the other rows are
	// for causes. A row with all buckets in use takes 1.4 KB, so all rows take
	// at most 5.8 MB.
	DefaultMaxRows = 4096
	// MaxExamples is the maximum number of examples of one measure in one
	// bucket. Examples take most of a stored value: with 8 instead of 4
	// examples, it had 34 KB instead of 26 KB.
	MaxExamples = 4
	// maxCause is the maximum length of a cause in bytes.
	maxCause = 32
)

// overflowName is the account and zone of overflow rows.
const overflowName = "other"

// Config is the configuration of Counts.
type Config struct {
	// MaxRows is the maximum number of rows, not counting overflow rows. Zero
	// means DefaultMaxRows.
	MaxRows int
}

// rowCounts has the counts of one key.
type rowCounts struct{ buckets [NumResolutions]bucketList }

func (c *rowCounts) empty() bool {
	for _, r := range c.buckets {
		if len(r) > 0 {
			return false
		}
	}
	return true
}

// exampleKey identifies the examples of one measure in one bucket.
type exampleKey struct {
	measure    record.Measure
	resolution Resolution
	index      BucketIndex
}

// Counts counts the events of one node. Its rows are in shards with a lock
// each. If the limit of rows is reached, events without a row are counted in the
// overflow rows of their measure.
type Counts struct {
	maxRows  int64
	bounds   atomic.Pointer[Bounds]
	rowCount atomic.Int64
	rows     *shard.Map[Key, *rowCounts]
	examples *shard.Map[exampleKey, []Example]
}

// NewCounts returns empty counts. They ignore all events until SetBounds.
func NewCounts(c Config) *Counts {
	if c.MaxRows == 0 {
		c.MaxRows = DefaultMaxRows
	}
	n := &Counts{maxRows: int64(c.MaxRows), rows: shard.NewMap[Key, *rowCounts](), examples: shard.NewMap[exampleKey, []Example]()}
	n.bounds.Store(&Bounds{})
	return n
}

// SetBounds sets the bounds for later events.
func (c *Counts) SetBounds(b Bounds) { c.bounds.Store(&b) }

// Observe counts one event. It is called in the processing of each request, so
// it must be fast.
func (c *Counts) Observe(e Event, now time.Time) {
	s, ok := e.classify(*c.bounds.Load())
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
	for res := range numResolutions {
		at[res] = res.BucketAt(now)
	}
	c.update(s.key, func(row *rowCounts) {
		for res, i := range at {
			row.buckets[res] = row.buckets[res].add(i, i-retainedBuckets[res]+1, good, bad)
		}
	})
	if !s.good && !s.ref.IsZero() {
		c.addExample(s, at, now)
	}
}

// update calls f with the row of a key. If the row does not exist and the limit
// of rows is reached, it calls f with the overflow row.
func (c *Counts) update(k Key, f func(*rowCounts)) {
	done := false
	c.rows.Update(k, func(v *rowCounts, ok bool) (*rowCounts, bool) {
		if !ok {
			if c.rowCount.Add(1) > c.maxRows && !k.isOverflow() {
				c.rowCount.Add(-1)
				return nil, false
			}
			v = new(rowCounts)
		}
		f(v)
		done = true
		return v, true
	})
	if !done {
		c.update(k.overflow(), f)
	}
}

func (k Key) isOverflow() bool { return k == k.overflow() }

// overflow returns the key of the overflow row for k. It combines all accounts
// and zones, and all causes of bad events.
func (k Key) overflow() Key {
	o := Key{Measure: k.Measure, Account: overflowName, Zone: overflowName}
	if k.Cause != "" {
		o.Cause = CauseOther
	}
	return o
}

// addExample adds a bad event to the examples at all resolutions.
func (c *Counts) addExample(s classified, at [NumResolutions]BucketIndex, now time.Time) {
	e := Example{Ref: s.ref, Account: s.key.Account, Zone: s.key.Zone, Cause: s.key.Cause, At: now}
	for res, i := range at {
		c.examples.Update(exampleKey{s.key.Measure, Resolution(res), i}, func(list []Example, _ bool) ([]Example, bool) {
			return insertExample(list, e), true
		})
	}
}

// insertExample appends an example if the list has fewer than MaxExamples.
// Otherwise, if no example has the same account, zone and cause as e, it
// replaces one whose account, zone and cause occur twice in the list, so that
// the examples are not all of one account.
func insertExample(list []Example, e Example) []Example {
	if len(list) < MaxExamples {
		return append(list, e)
	}
	if slices.ContainsFunc(list, e.sameSource) {
		return list
	}
	for i, x := range list {
		if slices.ContainsFunc(list[:i], x.sameSource) {
			list[i] = e
			break
		}
	}
	return list
}

// sameSource reports whether two examples have the same account, zone and cause.
func (e Example) sameSource(o Example) bool {
	return e.Account == o.Account && e.Zone == o.Zone && e.Cause == o.Cause
}

// EvictExpired deletes the buckets and examples that are older than all windows.
func (c *Counts) EvictExpired(now time.Time) {
	var keys []Key
	c.rows.Range(func(k Key, _ *rowCounts) bool { keys = append(keys, k); return true })
	for _, k := range keys {
		c.rows.Update(k, func(v *rowCounts, ok bool) (*rowCounts, bool) {
			if !ok {
				return nil, false
			}
			for res := range numResolutions {
				v.buckets[res] = v.buckets[res].dropBefore(res.oldestRetained(now))
			}
			if v.empty() {
				c.rowCount.Add(-1)
				return nil, false
			}
			return v, true
		})
	}
	var expired []exampleKey
	c.examples.Range(func(k exampleKey, _ []Example) bool {
		if k.index < k.resolution.oldestRetained(now) {
			expired = append(expired, k)
		}
		return true
	})
	for _, k := range expired {
		c.examples.Delete(k)
	}
}

// Snapshot evicts expired buckets and returns a copy of the rows and examples.
func (c *Counts) Snapshot(node id.Node, now time.Time) Snapshot {
	c.EvictExpired(now)
	s := Snapshot{Node: node, At: now}
	c.rows.Range(func(k Key, v *rowCounts) bool {
		row := Row{Key: k}
		for res, r := range v.buckets {
			row.Buckets[res] = append([]Bucket(nil), r...)
		}
		s.Rows = append(s.Rows, row)
		return true
	})
	c.examples.Range(func(k exampleKey, list []Example) bool {
		s.Examples = append(s.Examples, Examples{k.measure, k.resolution, k.index, append([]Example(nil), list...)})
		return true
	})
	s.sort()
	return s
}

// AddSnapshot adds the rows and examples of a snapshot. A node uses it to
// continue from the counts of an earlier process with the same node name.
func (c *Counts) AddSnapshot(s Snapshot, now time.Time) {
	for _, row := range s.Rows {
		c.update(row.Key, func(v *rowCounts) {
			for res := range numResolutions {
				for _, b := range row.Buckets[res] {
					v.buckets[res] = v.buckets[res].add(b.Index, res.oldestRetained(now), b.Good, b.Bad)
				}
			}
		})
	}
	for _, x := range s.Examples {
		c.examples.Update(exampleKey{x.Measure, x.Resolution, x.Index}, func(list []Example, _ bool) ([]Example, bool) {
			for _, e := range x.List {
				list = insertExample(list, e)
			}
			return list, true
		})
	}
}
