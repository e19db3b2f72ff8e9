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
	// DefaultMaxWaiting lets a wave of 10,000 cancellations wait.
	DefaultMaxWaiting = 1 << 16
	// takeAttempts bounds the races of one Take.
	takeAttempts = 8
	// doubtFirst and doubtMost are the pauses between attempts to learn the
	// result of an entry.
	doubtFirst = 50 * time.Millisecond
	doubtMost  = time.Second
)

// Config is what Take needs.
type Config struct {
	Store  Store
	Prefix string
	Node   id.Node
	// CheckLease is called before each write of a new entry. An error of it ends
	// the writer: a lease that has passed does not become valid again.
	CheckLease func() error
	// MaxWaiting bounds the Append calls that wait.
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

// TakeOver reads a journal and appends a takeover entry with the next epoch. From
// then on every append of an earlier writer fails. It returns the writer, the
// snapshot and the entries up to the takeover entry.
func TakeOver(ctx context.Context, config Config) (*Writer, []byte, []Entry, error) {
	config.setDefaults()
	batch := NewBatch()
	for range takeAttempts {
		c, err := read(ctx, config.Store, config.Prefix)
		if err != nil {
			return nil, nil, nil, err
		}
		last, epoch := c.end()
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

// Writer appends entries under one epoch. It is safe for use by several
// goroutines.
type Writer struct {
	config Config
	epoch  id.Epoch
	first  id.Seq // the takeover entry
	queue  *queue

	next  id.Seq // used by the committing goroutine
	batch uint64

	cancel  context.CancelFunc
	done    sync.WaitGroup
	entries *metrics.Counter
	items   *metrics.Counter
}

func newWriter(config Config, takeover Entry) *Writer {
	ctx, cancel := context.WithCancel(context.Background())
	label := fmt.Sprintf("{journal=%q}", config.Prefix)
	w := &Writer{
		config:  config,
		epoch:   takeover.Epoch,
		first:   takeover.Seq,
		queue:   newQueue(config.MaxWaiting),
		next:    takeover.Seq + 1,
		batch:   takeover.Batch + 1,
		cancel:  cancel,
		entries: config.Metrics.GetOrCreateCounter("bronzewinch_journal_entries_total" + label),
		items:   config.Metrics.GetOrCreateCounter("bronzewinch_journal_items_total" + label),
	}
	w.done.Go(func() {
		for {
			select {
			case <-ctx.Done():
				w.queue.end(stopped())
				return
			case <-w.queue.ready:
			}
			if group := w.queue.take(); len(group) > 0 {
				w.commit(ctx, group)
			}
		}
	})
	return w
}

// Epoch returns the writer's epoch.
func (w *Writer) Epoch() id.Epoch { return w.epoch }

// TakeoverSeq returns the sequence number of the writer's takeover entry.
func (w *Writer) TakeoverSeq() id.Seq { return w.first }

// Append adds the items to the journal in one entry, together with those of
// other calls that wait, and returns once they are durable. Fenced means that
// another writer took over and the items are certainly not in the journal.
// Unavailable means that they were not written. Unknown means that they may be.
func (w *Writer) Append(ctx context.Context, items ...[]byte) (id.Seq, error) {
	c := newCall(items)
	if c.size > int(MaxEntry) {
		return 0, problem.New(problem.Invalid, problem.Detail{
			Field: "items of one append", Limit: MaxEntry.String(), Remedy: "append them in smaller groups"})
	}
	if err := w.queue.put(c); err != nil {
		return 0, err
	}
	select {
	case r := <-c.done:
		return r.seq, r.err
	case <-ctx.Done():
	}
	return w.queue.giveUp(c, ctx.Err())
}

// Snapshot stores the state after the entry covers, and deletes the entries up
// to it.
func (w *Writer) Snapshot(ctx context.Context, state []byte, covers id.Seq) error {
	if err := w.config.CheckLease(); err != nil {
		return err
	}
	return Compact(ctx, w.config.Store, w.config.Prefix, state, covers)
}

// Close ends the writer and waits for its goroutine. Appends that wait are not
// written; the result of one in progress may be unknown.
func (w *Writer) Close() {
	w.cancel()
	w.done.Wait()
}

// commit writes one entry and delivers its result. While the result is open,
// it tries again: no later entry may be written before.
func (w *Writer) commit(ctx context.Context, group []*call) {
	e := Entry{Seq: w.next, Epoch: w.epoch, Writer: w.config.Node, Batch: w.batch}
	w.batch++
	for _, c := range group {
		e.Items = append(e.Items, c.items...)
	}
	value, err := encode(e)
	if err != nil {
		deliver(group, 0, err)
		return
	}
	pause := doubtFirst
	for attempt := 0; ; attempt++ {
		v, err := w.write(ctx, e, value)
		if err == nil && v != absent {
			w.settle(group, e, v)
			return
		}
		if w.failed(group, err, attempt > 0) {
			return
		}
		if attempt > 0 {
			w.queue.refuse(refusal(w.config.Prefix))
		}
		if timer.Sleep(ctx, w.config.Timer, timer.Jitter(pause)) != nil {
			deliver(group, 0, doubt(EntryKey(w.config.Prefix, e.Seq), ctx.Err()))
			return
		}
		pause = min(2*pause, doubtMost)
	}
}

func (w *Writer) write(ctx context.Context, e Entry, value []byte) (verdict, error) {
	if err := w.config.CheckLease(); err != nil {
		w.queue.end(err)
		return absent, err
	}
	return appendEntry(ctx, w.config.Store, w.config.Prefix, e, value)
}

// settle delivers a result that is known.
func (w *Writer) settle(group []*call, e Entry, v verdict) {
	switch v {
	case committed:
		w.next++
		w.queue.accept()
		w.entries.Inc()
		w.items.Add(len(e.Items))
		deliver(group, e.Seq, nil)
	case lost:
		w.queue.end(fenced(w.config.Prefix))
		deliver(group, 0, fenced(w.config.Prefix))
	default:
		w.queue.end(fenced(w.config.Prefix))
		deliver(group, 0, doubt(EntryKey(w.config.Prefix, e.Seq), nil))
	}
}

// failed delivers an error after which the entry is not tried again. An entry
// with an open result is given up only when the writer has ended.
func (w *Writer) failed(group []*call, err error, open bool) bool {
	kind := problem.KindOf(err)
	if err == nil || kind == problem.Unknown {
		return false
	}
	if open {
		if w.queue.ended() == nil {
			return false
		}
		err = doubt(w.config.Prefix, err)
	}
	deliver(group, 0, err)
	return true
}

func fenced(prefix string) error {
	return problem.New(problem.Fenced, problem.Detail{
		Field: "writer of journal", Value: prefix, Remedy: "send it to the shard's present owner"})
}

func stopped() error {
	return problem.New(problem.Unavailable, problem.Detail{
		Field: "journal writer", Remedy: "send it to the shard's next owner; this one is stopping"})
}

func refusal(prefix string) error {
	return problem.New(problem.Unavailable, problem.Detail{
		Field: "journal", Value: prefix,
		Remedy: "try again later; the key-value service does not answer and this was not written"})
}
