package history

import (
	"context"
	"slices"
	"sync"
	"time"

	"bronzewinch.dev/lib/decision"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/kv"
	"bronzewinch.dev/lib/shard"
	"bronzewinch.dev/lib/timer"
	"bronzewinch.dev/lib/unit"
)

// Lister is the part of the key-value service that a Reader uses.
type Lister interface {
	List(ctx context.Context, prefix, after string, limit int) ([]kv.Item, error)
}

// pageSize is the maximum number of segments per call. The service returns fewer
// if the response would become too large.
const pageSize = 1000

// scan calls visit in key order for each segment of the days between from and to,
// both included.
func scan(ctx context.Context, store Lister, zone id.Zone, from, to time.Time, visit func(key string, s segment) error) error {
	after := dayKey(zone, from)
	end := dayKey(zone, to.Add(day))
	for {
		items, err := store.List(ctx, zonePrefix(zone), after, pageSize)
		if err != nil || len(items) == 0 {
			return err
		}
		for _, it := range items {
			if it.Key >= end {
				return nil
			}
			s, err := openSegment(it.Key, it.Value)
			if err != nil {
				return err
			}
			if err := visit(it.Key, s); err != nil {
				return err
			}
			after = it.Key
		}
	}
}

// DefaultCacheSize is the default of ReaderConfig.CacheSize. For six zones it is
// a third of the memory that a node may use for control.
const DefaultCacheSize = 2 * unit.MiB

// ReaderConfig configures a Reader. Zero sizes and times select the defaults.
type ReaderConfig struct {
	Store Lister
	Clock timer.Service
	// CacheSize bounds the size of the cached segments of each zone.
	CacheSize unit.Bytes
	// Retention is the retention of the writers. The reader does not search for
	// older records.
	Retention time.Duration
}

// Query selects records of one zone. Empty fields match all records.
type Query struct {
	Zone    id.Zone
	Job     id.Job
	Account id.Account
	// Worker selects records in which the worker runs a member or a victim's
	// member.
	Worker id.Worker
	// From and To bound the time of the decision, inclusively.
	From, To time.Time
	// After and Limit page through the records in order of position.
	After Position
	Limit int
}

func (q *Query) matches(r *decision.Record) bool {
	return (q.Job == "" || q.Job == r.Job) && (q.Account == "" || q.Account == r.Spec.Account) &&
		(q.Worker == "" || namesWorker(r, q.Worker)) &&
		!r.At.Before(q.From) && (q.To.IsZero() || !r.At.After(q.To)) && PositionOf(*r).Compare(q.After) > 0
}

func (q *Query) mayMatch(index hashIndex) bool {
	return index.mayContain(jobNames, string(q.Job)) && index.mayContain(accountNames, string(q.Account)) && index.mayContain(workerNames, string(q.Worker))
}

func namesWorker(r *decision.Record, worker id.Worker) bool {
	for _, m := range r.Members {
		if m.Worker == worker {
			return true
		}
	}
	for _, v := range r.Victims {
		for _, m := range v.Members {
			if m.Worker == worker {
				return true
			}
		}
	}
	return false
}

// keyedSegment is a segment with its key.
type keyedSegment struct {
	key string
	segment
}

// dayCache caches the segments of a zone by day. It holds only past days to which
// no more segments are added.
type dayCache struct {
	mu       sync.Mutex
	segments map[time.Time][]keyedSegment
	bytes    unit.Bytes
}

// Reader finds records in segments. It is safe for concurrent use.
type Reader struct {
	cfg    ReaderConfig
	caches *shard.Map[id.Zone, *dayCache]
}

// NewReader returns a Reader. It does not call the store.
func NewReader(cfg ReaderConfig) *Reader {
	cfg.CacheSize = orDefault(cfg.CacheSize, DefaultCacheSize)
	cfg.Retention = orDefault(cfg.Retention, DefaultRetention)
	return &Reader{cfg: cfg, caches: shard.NewMap[id.Zone, *dayCache]()}
}

// Find returns the records that match q, sorted by position and without
// duplicates.
func (r *Reader) Find(ctx context.Context, q Query) ([]decision.Record, error) {
	now := r.cfg.Clock.Now()
	// The segments of a day are deleted one by one, so the oldest day may be
	// partly deleted.
	from, to := now.Add(-r.cfg.Retention-day), now
	if q.From.After(from) {
		from = q.From
	}
	if !q.To.IsZero() && q.To.Before(to) {
		to = q.To
	}
	segments, err := r.segments(ctx, q.Zone, from.UTC().Truncate(day), to.UTC().Truncate(day))
	if err != nil {
		return nil, err
	}
	var found []decision.Record
	seen := make(map[identity]bool)
	for i := range segments {
		if !q.mayMatch(segments[i].Table) {
			continue
		}
		list, err := segments[i].records(segments[i].key)
		if err != nil {
			return nil, err
		}
		for j := range list {
			if k := identityOf(list[j]); q.matches(&list[j]) && !seen[k] {
				seen[k] = true
				found = append(found, list[j])
			}
		}
	}
	slices.SortStableFunc(found, func(a, b decision.Record) int { return PositionOf(a).Compare(PositionOf(b)) })
	if q.Limit > 0 && len(found) > q.Limit {
		found = found[:q.Limit]
	}
	return found, nil
}

// segments returns the segments of the days between from and to, both included. It
// reads the days that are not cached. The last two days are never cached, because
// segments may still be added to them.
func (r *Reader) segments(ctx context.Context, zone id.Zone, from, to time.Time) ([]keyedSegment, error) {
	var cache *dayCache
	r.caches.Update(zone, func(old *dayCache, ok bool) (*dayCache, bool) {
		if cache = old; !ok {
			cache = &dayCache{segments: make(map[time.Time][]keyedSegment)}
		}
		return cache, true
	})
	finalBefore := r.cfg.Clock.Now().UTC().Truncate(day).Add(-day)
	all := cache.get(from, to)
	for at := from; !at.After(to); {
		if _, ok := all[at]; ok {
			at = at.Add(day)
			continue
		}
		last := at
		for next := last.Add(day); !next.After(to); next = last.Add(day) {
			if _, ok := all[next]; ok {
				break
			}
			last = next
		}
		if err := r.readDays(ctx, zone, at, last, all); err != nil {
			return nil, err
		}
		at = last.Add(day)
	}
	cache.add(all, finalBefore, r.cfg.CacheSize)
	var list []keyedSegment
	for at := from; !at.After(to); at = at.Add(day) {
		list = append(list, all[at]...)
	}
	return list, nil
}

// readDays reads the segments of days into all. A day without segments gets an
// empty entry.
func (r *Reader) readDays(ctx context.Context, zone id.Zone, from, to time.Time, all map[time.Time][]keyedSegment) error {
	for at := from; !at.After(to); at = at.Add(day) {
		all[at] = nil
	}
	return scan(ctx, r.cfg.Store, zone, from, to, func(key string, s segment) error {
		if at, ok := dayOf(zone, key); ok {
			all[at] = append(all[at], keyedSegment{key, s})
		}
		return nil
	})
}

func (c *dayCache) get(from, to time.Time) map[time.Time][]keyedSegment {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make(map[time.Time][]keyedSegment)
	for at, list := range c.segments {
		if !at.Before(from) && !at.After(to) {
			all[at] = list
		}
	}
	return all
}

// add caches the days before finalBefore, then evicts the oldest days until the
// cache fits the limit.
func (c *dayCache) add(all map[time.Time][]keyedSegment, finalBefore time.Time, limit unit.Bytes) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for at, list := range all {
		if _, ok := c.segments[at]; ok || !at.Before(finalBefore) {
			continue
		}
		c.segments[at] = list
		c.bytes += totalSize(list)
	}
	for c.bytes > limit {
		var oldest time.Time
		for at := range c.segments {
			if oldest.IsZero() || at.Before(oldest) {
				oldest = at
			}
		}
		c.bytes -= totalSize(c.segments[oldest])
		delete(c.segments, oldest)
	}
}

func totalSize(list []keyedSegment) unit.Bytes {
	n := unit.Bytes(0)
	for _, k := range list {
		n += k.size() + unit.Bytes(len(k.key))
	}
	return n
}
