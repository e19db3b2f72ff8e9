package history

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"bronzewinch.dev/lib/codec"
	"bronzewinch.dev/lib/decision"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/kv"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/timer"
	"bronzewinch.dev/lib/unit"

	"github.com/fxamacker/cbor/v2"
	"k8s.io/klog/v2"
)

// Store is the part of the key-value service that a Writer uses.
type Store interface {
	Lister
	Put(ctx context.Context, key string, value []byte, expect kv.Version, lease kv.LeaseID) (kv.Version, error)
	Delete(ctx context.Context, key string, expect kv.Version) error
}

// Defaults of Config.
const (
	// DefaultWriteInterval keeps six zones at a fifth of a write a second at most.
	DefaultWriteInterval = 30 * time.Second
	// DefaultMaxAge makes segments of a few records of a quiet zone, and 144
	// writes a day, while the journal carries ten minutes of records.
	DefaultMaxAge = 10 * time.Minute
	// DefaultBatchSize is the size of a segment before compression. It is half of
	// the greatest value of the key-value service.
	DefaultBatchSize = 512 * unit.KiB
	// DefaultRetention and DefaultSize bound what is kept of one zone.
	DefaultRetention = 30 * day
	DefaultMaxSize   = 64 * unit.MiB
)

// Config is what a Writer is made from. Zero values of the optional fields
// take the defaults.
type Config struct {
	Zone  id.Zone
	Store Store
	Clock timer.Service
	// WriteInterval is the shortest time between two writes.
	WriteInterval time.Duration
	// MaxAge is the longest time that a record waits for its segment.
	MaxAge time.Duration
	// BatchSize is the size of encoded records that makes a segment.
	BatchSize unit.Bytes
	// Retention and Size bound the age and the bytes of the zone's segments.
	Retention time.Duration
	MaxSize   unit.Bytes
}

func (c *Config) setDefaults() {
	c.WriteInterval = orDefault(c.WriteInterval, DefaultWriteInterval)
	c.MaxAge = orDefault(c.MaxAge, DefaultMaxAge)
	c.BatchSize = orDefault(c.BatchSize, DefaultBatchSize)
	c.Retention = orDefault(c.Retention, DefaultRetention)
	c.MaxSize = orDefault(c.MaxSize, DefaultMaxSize)
}

func orDefault[T ~int64](v, fallback T) T {
	if v <= 0 {
		return fallback
	}
	return v
}

// pendingRecord is a record that waits for its segment.
type pendingRecord struct {
	identity
	decidedAt time.Time
	addedAt   time.Time
	encoded   cbor.RawMessage
	// hashes is what the record can be found by.
	hashes []uint32
}

// Writer writes the records of one zone. It belongs to the owner of the zone's
// shard, whose journal holds the records that Flushed does not cover.
type Writer struct {
	cfg  Config
	stop context.CancelFunc
	done chan struct{}

	mu           sync.Mutex
	pending      []pendingRecord
	pendingBytes unit.Bytes
	flushed      Position

	// The rest is for the goroutine that writes, and for Close after it.
	recovered bool
	total     unit.Bytes
}

// New returns a writer. A new owner adds the records that the journal still
// holds; those that its predecessor stored are not written again.
func New(cfg Config) *Writer {
	cfg.setDefaults()
	ctx, stop := context.WithCancel(context.Background())
	w := &Writer{cfg: cfg, stop: stop, done: make(chan struct{})}
	ticks := cfg.Clock.Every(cfg.WriteInterval)
	go func() {
		defer close(w.done)
		defer ticks.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticks.C:
				if w.flushDue() {
					w.logError(w.flush(ctx))
				}
			}
		}
	}()
	return w
}

// Add takes records in the order in which they were made. It does not wait for
// the key-value service.
func (w *Writer) Add(records ...decision.Record) error {
	now := w.cfg.Clock.Now()
	items := make([]pendingRecord, 0, len(records))
	size := unit.Bytes(0)
	for _, r := range records {
		r.At = r.At.UTC()
		encoded, err := codec.CBOR.Marshal(r)
		if err != nil {
			return err
		}
		size += unit.Bytes(len(encoded))
		items = append(items, pendingRecord{identity: identityOf(r), decidedAt: r.At, addedAt: now, encoded: encoded, hashes: recordHashes(&r)})
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending = append(w.pending, items...)
	w.pendingBytes += size
	return nil
}

// Flushed returns the position up to which all records added are in segments.
// The owner keeps the records after it in its journal and snapshots. It can
// step back by one version when records of a version that is covered follow.
func (w *Writer) Flushed() (id.Epoch, uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.flushed
	if len(w.pending) > 0 {
		if first := w.pending[0].Position; first.Compare(p) <= 0 && first.Version > 0 {
			p = Position{first.Epoch, first.Version - 1}
		}
	}
	return p.Epoch, p.Version
}

// Close stops the writer and writes what waits, until ctx ends. Records that
// are not written then stay in the journal for the next owner.
func (w *Writer) Close(ctx context.Context) error {
	w.stop()
	<-w.done
	for w.pendingCount() > 0 {
		if err := w.flush(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Abandon stops the writer and writes nothing more.
func (w *Writer) Abandon() {
	w.stop()
	<-w.done
}

func (w *Writer) pendingCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.pending)
}

func (w *Writer) flushDue() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.pending) > 0 && (w.pendingBytes >= w.cfg.BatchSize || w.cfg.Clock.Now().Sub(w.pending[0].addedAt) >= w.cfg.MaxAge)
}

// logError logs a failure. The records stay and are tried again.
func (w *Writer) logError(err error) {
	if err != nil && !problem.Is(err, problem.Unavailable) {
		klog.ErrorS(err, "write decision history", "zone", w.cfg.Zone)
	}
}

// flush writes one segment.
func (w *Writer) flush(ctx context.Context) error {
	if !w.recovered {
		if err := w.recoverState(ctx); err != nil {
			return err
		}
		w.recovered = true
	}
	batch := w.nextBatch()
	if len(batch) == 0 {
		return nil
	}
	value, s, err := encodeSegment(batch, w.total)
	if err != nil {
		return err
	}
	key := segmentKey(w.cfg.Zone, batch[0].decidedAt, batch[0].Position, s.Sum)
	_, err = w.cfg.Store.Put(ctx, key, value, 0, "")
	switch problem.KindOf(err) {
	case "":
		w.total = s.Total
	case problem.Conflict, problem.Unknown:
		// The segment may be there: the next try looks before it writes.
		w.recovered = false
		return err
	case problem.Invalid:
		klog.ErrorS(err, "decision records are too large to store and are left out of the history", "zone", w.cfg.Zone, "records", len(batch))
	default:
		return err
	}
	w.removeStored(len(batch))
	w.logError(w.prune(ctx))
	return nil
}

// nextBatch returns the first pending records of one day, up to the size of a
// segment and, where possible, not part of a version.
func (w *Writer) nextBatch() []pendingRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	size, n, versionEnd := unit.Bytes(0), 0, 0
	for n < len(w.pending) {
		it := w.pending[n]
		if n > 0 && it.Position != w.pending[n-1].Position {
			versionEnd = n
		}
		size += unit.Bytes(len(it.encoded))
		if n > 0 && (size > w.cfg.BatchSize || dayKey(w.cfg.Zone, it.decidedAt) != dayKey(w.cfg.Zone, w.pending[0].decidedAt)) {
			if versionEnd > 0 {
				n = versionEnd
			}
			break
		}
		n++
	}
	return slices.Clone(w.pending[:n])
}

// removeStored removes the first n pending records, which are stored.
func (w *Writer) removeStored(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, it := range w.pending[:n] {
		w.pendingBytes -= unit.Bytes(len(it.encoded))
		if it.Compare(w.flushed) > 0 {
			w.flushed = it.Position
		}
	}
	w.pending = slices.Clone(w.pending[n:])
}

// recoverState drops the pending records that a predecessor stored, and finds the
// total of the newest segment. It reads the days of the pending records, and
// earlier days while it has found no segment.
func (w *Writer) recoverState(ctx context.Context) error {
	w.mu.Lock()
	pending := slices.Clone(w.pending)
	w.mu.Unlock()
	if len(pending) == 0 {
		return nil
	}
	first, last := pending[0].decidedAt, pending[0].decidedAt
	for _, it := range pending {
		if it.decidedAt.Before(first) {
			first = it.decidedAt
		}
		if it.decidedAt.After(last) {
			last = it.decidedAt
		}
	}
	oldest := last.Add(-w.cfg.Retention)
	stored := make(map[identity]bool)
	found := false
	for at := last.UTC().Truncate(day); at.After(oldest) && (!found || !at.Before(first.UTC().Truncate(day))); at = at.Add(-day) {
		err := scan(ctx, w.cfg.Store, w.cfg.Zone, at, at, func(key string, s segment) error {
			found = true
			w.total = max(w.total, s.Total)
			return addIdentities(stored, key, &s)
		})
		if err != nil {
			return err
		}
	}
	w.removeDuplicates(len(pending), stored)
	return nil
}

func addIdentities(stored map[identity]bool, key string, s *segment) error {
	list, err := s.records(key)
	for _, r := range list {
		stored[identityOf(r)] = true
	}
	return err
}

// removeDuplicates drops those of the first n pending records that are stored.
func (w *Writer) removeDuplicates(n int, stored map[identity]bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var remaining []pendingRecord
	for i, it := range w.pending {
		if i >= n || !stored[it.identity] {
			remaining = append(remaining, it)
			continue
		}
		w.pendingBytes -= unit.Bytes(len(it.encoded))
		if it.Compare(w.flushed) > 0 {
			w.flushed = it.Position
		}
	}
	w.pending = remaining
}

// maxDeletions bounds the deletions after one write.
const maxDeletions = 4

// prune deletes the oldest segments that pass the retention or the size.
func (w *Writer) prune(ctx context.Context) error {
	oldest := w.cfg.Clock.Now().Add(-w.cfg.Retention)
	list, err := w.cfg.Store.List(ctx, zonePrefix(w.cfg.Zone), "", maxDeletions)
	if err != nil {
		return err
	}
	for _, it := range list {
		at, ok := dayOf(w.cfg.Zone, it.Key)
		s, err := openSegment(it.Key, it.Value)
		expired := !ok || at.Add(day).Before(oldest)
		oversize := err == nil && w.total-s.Total+s.size() > w.cfg.MaxSize
		if !expired && !oversize || !strings.HasPrefix(it.Key, zonePrefix(w.cfg.Zone)) {
			return nil
		}
		if err := w.cfg.Store.Delete(ctx, it.Key, it.Version); err != nil && !problem.Is(err, problem.NotFound) {
			return err
		}
	}
	return nil
}
