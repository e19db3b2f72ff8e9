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
	// DefaultWriteInterval limits six zones together to 0.2 writes per second.
	DefaultWriteInterval = 30 * time.Second
	// DefaultMaxAge limits the records that stay only in the journal to those of
	// ten minutes. The cost is that a zone with little traffic writes small
	// segments, up to 144 per day.
	DefaultMaxAge = 10 * time.Minute
	// DefaultBatchSize is the size of a segment before compression. It is half the
	// maximum size of a value in the key-value service.
	DefaultBatchSize = 512 * unit.KiB
	// DefaultRetention and DefaultMaxSize bound the stored history of one zone.
	DefaultRetention = 30 * day
	DefaultMaxSize   = 64 * unit.MiB
)

// Config configures a Writer. Zero values of the optional fields select the
// defaults.
type Config struct {
	Zone  id.Zone
	Store Store
	Clock timer.Service
	// WriteInterval is the minimum time between two writes.
	WriteInterval time.Duration
	// MaxAge is the time after which a pending record is written even if the batch
	// is smaller than BatchSize.
	MaxAge time.Duration
	// BatchSize is the size of the encoded records at which a segment is written.
	BatchSize unit.Bytes
	// Retention and MaxSize bound the age and total size of the zone's segments.
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

// pendingRecord is a record that is not written to a segment yet.
type pendingRecord struct {
	identity
	decidedAt time.Time
	addedAt   time.Time
	encoded   cbor.RawMessage
	// hashes is the result of recordHashes for the record.
	hashes []uint32
}

// Writer writes the records of one zone. The owner of the zone's shard runs it;
// the shard's journal contains the records after the position that Flushed
// returns.
type Writer struct {
	cfg  Config
	stop context.CancelFunc
	done chan struct{}

	mu           sync.Mutex
	pending      []pendingRecord
	pendingBytes unit.Bytes
	flushed      Position

	// The fields below are used only by the writing goroutine and, after it has
	// ended, by Close.
	recovered bool
	total     unit.Bytes
}

// New returns a running Writer. A new owner adds the records that are still in the
// journal; the writer skips those that the previous owner has stored.
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

// Add enqueues records, which must be in the order in which they were made. It does
// not wait for the key-value service.
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

// Flushed returns the position up to which all added records are in segments. The
// owner keeps the records after it in its journal and snapshots. The position can
// decrease by one version if records of an already flushed version are added.
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

// Close stops the writer and writes the pending records, until ctx ends. Records
// that are not written by then remain in the journal for the next owner.
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

// Abandon stops the writer without writing the pending records.
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

// logError logs a failed write or deletion, unless the store is unavailable. The
// writer retries both.
func (w *Writer) logError(err error) {
	if err != nil && !problem.Is(err, problem.Unavailable) {
		klog.ErrorS(err, "write decision history; will retry", "zone", w.cfg.Zone)
	}
}

// flush writes one segment of pending records and then deletes old segments.
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
		// The segment may have been written. Before the retry, recoverState reads
		// the stored segments.
		w.recovered = false
		return err
	case problem.Invalid:
		klog.ErrorS(err, "decision records exceed the maximum value size and are left out of the history", "zone", w.cfg.Zone, "records", len(batch))
	default:
		return err
	}
	w.removeStored(len(batch))
	w.logError(w.prune(ctx))
	return nil
}

// nextBatch returns the first pending records of one day, up to the size of a
// segment. Where possible, it does not split the records of a version.
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

// removeStored removes the first n pending records, which have been stored.
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

// recoverState removes the pending records that are already stored, by a previous
// owner or by an attempt with an unknown outcome, and finds the Total of the
// newest segment. It reads the days of the pending records, and earlier days until
// it finds a segment.
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

// removeDuplicates removes those of the first n pending records that are in
// stored.
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

// maxDeletions bounds the number of segments deleted after a write.
const maxDeletions = 4

// prune deletes the oldest segments while they exceed the retention or the size
// limit.
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
