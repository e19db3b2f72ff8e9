package journal

import (
	"context"
	"fmt"
	"sync"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/timer"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// DefaultMaxWaiting is large enough for 10,000 concurrent cancellations.
	DefaultMaxWaiting = 1 << 16
	// takeOverAttempts is the maximum number of attempts of one TakeOver. An
	// attempt fails if another writer appends an entry first.
	takeOverAttempts = 8
	// minRetryPause and maxRetryPause bound the pause between attempts to write
	// an entry whose result is unknown. The pause doubles after each attempt.
	minRetryPause = 50 * time.Millisecond
	maxRetryPause = time.Second
)

// Config configures a Writer.
type Config struct {
	Store  Store
	Prefix string
	Node   id.Node
	// CheckLease is called before each write of an entry. If it returns an
	// error, the writer rejects all further appends, because an expired lease
	// does not become valid again. It may be nil.
	CheckLease func() error
	// MaxWaiting is the maximum number of Append calls that wait.
	MaxWaiting int
	Timer      timer.Service
	Metrics    *metrics.Set
}

func (c *Config) setDefaults() {
	if c.CheckLease == nil {
		c.CheckLease = func() error { return nil }
	}
	if c.MaxWaiting <= 0 {
		c.MaxWaiting = DefaultMaxWaiting
	}
	if c.Timer == nil {
		c.Timer = timer.NewSystem()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}
}

// TakeOver reads a journal and appends a takeover entry with the next epoch.
// After that, every append of an earlier writer fails. TakeOver returns the
// writer, the snapshot, and the entries after the snapshot up to and including
// the takeover entry.
func TakeOver(ctx context.Context, config Config) (*Writer, []byte, []Entry, error) {
	config.setDefaults()
	batch := NewBatch()
	for range takeOverAttempts {
		c, err := read(ctx, config.Store, config.Prefix)
		if err != nil {
			return nil, nil, nil, err
		}
		last, epoch := c.last()
		e := Entry{Seq: last + 1, Epoch: epoch + 1, Writer: config.Node, Batch: batch, Takeover: true}
		batch++
		if err := config.CheckLease(); err != nil {
			return nil, nil, nil, err
		}
		err = AppendAt(ctx, config.Store, config.Prefix, e)
		if problem.Is(err, problem.Conflict) {
			continue
		}
		if err != nil {
			return nil, nil, nil, err
		}
		return newWriter(config, e), c.state, append(c.entries, e), nil
	}
	return nil, nil, nil, conflict(config.Prefix)
}

// Writer appends entries under one epoch. It is safe for concurrent use.
type Writer struct {
	config      Config
	epoch       id.Epoch
	takeoverSeq id.Seq
	queue       *queue

	// The number and batch of the next entry. Only the writer's goroutine uses
	// them.
	nextSeq   id.Seq
	nextBatch uint64

	cancel  context.CancelFunc
	done    sync.WaitGroup
	entries *metrics.Counter
	items   *metrics.Counter
}

func newWriter(config Config, takeover Entry) *Writer {
	ctx, cancel := context.WithCancel(context.Background())
	label := fmt.Sprintf("{journal=%q}", config.Prefix)
	w := &Writer{
		config:      config,
		epoch:       takeover.Epoch,
		takeoverSeq: takeover.Seq,
		queue:       newQueue(config.MaxWaiting),
		nextSeq:     takeover.Seq + 1,
		nextBatch:   takeover.Batch + 1,
		cancel:      cancel,
		entries:     config.Metrics.GetOrCreateCounter("bronzewinch_journal_entries_total" + label),
		items:       config.Metrics.GetOrCreateCounter("bronzewinch_journal_items_total" + label),
	}
	w.done.Go(func() {
		for {
			select {
			case <-ctx.Done():
				w.queue.close(writerClosed())
				return
			case <-w.queue.ready:
			}
			if group := w.queue.takeGroup(); len(group) > 0 {
				w.commit(ctx, group)
			}
		}
	})
	return w
}

func (w *Writer) Epoch() id.Epoch { return w.epoch }

// TakeoverSeq returns the sequence number of the writer's takeover entry.
func (w *Writer) TakeoverSeq() id.Seq { return w.takeoverSeq }

// Append adds the items to the journal in one entry, which may also contain the
// items of other waiting calls, and returns when the entry is durable. A Fenced
// error means that another writer took over and the items are certainly not in
// the journal. An Unavailable error means that they were not written. After an
// Unknown error they may be in the journal.
func (w *Writer) Append(ctx context.Context, items ...[]byte) (id.Seq, error) {
	a := newPendingAppend(items)
	if a.size > int(MaxEntry) {
		return 0, problem.New(problem.Invalid, problem.Detail{
			Field: "items of one append", Limit: MaxEntry.String(), Remedy: "append them in smaller groups"})
	}
	if err := w.queue.put(a); err != nil {
		return 0, err
	}
	select {
	case r := <-a.done:
		return r.seq, r.err
	case <-ctx.Done():
	}
	return w.queue.cancel(a, ctx.Err())
}

// Snapshot stores the state after the entry with the number covered, and deletes
// the entries up to that number.
func (w *Writer) Snapshot(ctx context.Context, state []byte, covered id.Seq) error {
	if err := w.config.CheckLease(); err != nil {
		return err
	}
	return Compact(ctx, w.config.Store, w.config.Prefix, state, covered)
}

// Close stops the writer and waits for its goroutine. Pending appends are not
// written; the result of an entry in progress may be unknown.
func (w *Writer) Close() {
	w.cancel()
	w.done.Wait()
}

// commit writes one entry and delivers its result to the appends of the group.
// While the result is unknown it writes the same entry again, because no later
// entry may be written before the result is known.
func (w *Writer) commit(ctx context.Context, group []*pendingAppend) {
	e := Entry{Seq: w.nextSeq, Epoch: w.epoch, Writer: w.config.Node, Batch: w.nextBatch}
	w.nextBatch++
	for _, a := range group {
		e.Items = append(e.Items, a.items...)
	}
	value, err := encode(e)
	if err != nil {
		deliver(group, 0, err)
		return
	}
	pause := minRetryPause
	for attempt := 0; ; attempt++ {
		status, err := w.write(ctx, e, value)
		if err == nil && status != notFound {
			w.deliverStatus(group, e, status)
			return
		}
		if w.deliverFailure(group, err, attempt > 0) {
			return
		}
		if attempt > 0 {
			w.queue.suspend(storeUnavailable(w.config.Prefix))
		}
		if timer.Sleep(ctx, w.config.Timer, timer.Jitter(pause)) != nil {
			deliver(group, 0, unknownResult(EntryKey(w.config.Prefix, e.Seq), ctx.Err()))
			return
		}
		pause = min(2*pause, maxRetryPause)
	}
}

func (w *Writer) write(ctx context.Context, e Entry, value []byte) (appendStatus, error) {
	if err := w.config.CheckLease(); err != nil {
		w.queue.close(err)
		return notFound, err
	}
	return appendEntry(ctx, w.config.Store, w.config.Prefix, e, value)
}

// deliverStatus delivers the result of an entry whose status is final.
func (w *Writer) deliverStatus(group []*pendingAppend, e Entry, status appendStatus) {
	switch status {
	case committed:
		w.nextSeq++
		w.queue.resume()
		w.entries.Inc()
		w.items.Add(len(e.Items))
		deliver(group, e.Seq, nil)
	case notAppended:
		w.queue.close(fenced(w.config.Prefix))
		deliver(group, 0, fenced(w.config.Prefix))
	default:
		w.queue.close(fenced(w.config.Prefix))
		deliver(group, 0, unknownResult(EntryKey(w.config.Prefix, e.Seq), nil))
	}
}

// deliverFailure delivers an error after which the entry is not written again,
// and reports whether it did. An entry that an earlier attempt may have written
// is retried until the queue is closed.
func (w *Writer) deliverFailure(group []*pendingAppend, err error, attempted bool) bool {
	kind := problem.KindOf(err)
	if err == nil || kind == problem.Unknown {
		return false
	}
	if attempted {
		if w.queue.closeCause() == nil {
			return false
		}
		err = unknownResult(w.config.Prefix, err)
	}
	deliver(group, 0, err)
	return true
}

func fenced(prefix string) error {
	return problem.New(problem.Fenced, problem.Detail{
		Field: "writer of journal", Value: prefix, Remedy: "send it to the current owner of the shard"})
}

func writerClosed() error {
	return problem.New(problem.Unavailable, problem.Detail{
		Field: "journal writer", Remedy: "send it to the next owner of the shard; this one is stopping"})
}

func storeUnavailable(prefix string) error {
	return problem.New(problem.Unavailable, problem.Detail{
		Field: "journal", Value: prefix,
		Remedy: "retry later; the key-value service does not respond, and the items were not written"})
}
