package scheduler

import (
	"context"

	"bronzewinch.dev/lib/codec"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/problem"
)

// write is one item for the journal stage, which calls done with the result on its
// own goroutine; done must not block. An item with a decision record is retried
// until it is durable, because later records assume it. A placement is retried even
// after done was called with an error; the record of its end follows. A write
// without an item only triggers a retry.
type write struct {
	item item
	done func(err error)
	// group contains the writes of one pass, which share a journal entry if they
	// fit into one.
	group      []write
	passNumber uint64 // of the group that the write belongs to, or 0
}

// writeLoop is the journal stage: it appends all queued items in as few journal
// entries as possible, and takes snapshots.
func (s *Scheduler) writeLoop(durable *durableState) {
	var covered id.Seq
	var retry []write
	var passCount uint64
	entries := 0
	for {
		batch, ok := s.writes.TakeBatch(context.Background(), maxBatch)
		if !ok {
			return
		}
		batch = append(retry, flatten(batch, &passCount)...)
		retry = nil
		for len(batch) > 0 {
			n, items, err := encodeEntry(batch)
			seq, err := s.appendEntry(items, err)
			retry = append(retry, s.applyResult(durable, batch[:n], err)...)
			batch = batch[n:]
			if err == nil {
				covered = seq
				entries++
				continue
			}
			// The items to retry must be written before the following items.
			retry = append(retry, s.applyResult(durable, batch, s.shardProblem(problem.Unavailable, "retry later; an earlier journal item could not be written"))...)
			batch = nil
		}
		s.unwritten.Store(int64(len(retry)))
		if entries >= EntriesPerSnapshot && s.writeSnapshot(durable, covered) {
			entries = 0
		}
	}
}

// flatten returns the writes of a batch, with those of its groups. The writes of a
// group get the same pass number.
func flatten(batch []write, passCount *uint64) []write {
	out := make([]write, 0, len(batch))
	for _, w := range batch {
		if w.item.Op != "" {
			out = append(out, w)
		}
		*passCount++
		for _, g := range w.group {
			g.passNumber = *passCount
			out = append(out, g)
		}
	}
	return out
}

// encodeEntry encodes the first n writes of a batch. It stops at the size of a
// journal entry, and splits a group only when the group alone exceeds that size.
func encodeEntry(batch []write) (n int, items [][]byte, err error) {
	size := 0
	for ; n < len(batch) && size < maxEntryBytes; n++ {
		data, err := codec.CBOR.Marshal(batch[n].item)
		if err != nil {
			return n + 1, nil, err
		}
		size += len(data)
		items = append(items, data)
	}
	for end := n; n < len(batch) && end > 0; end-- {
		if last := batch[end-1].passNumber; last == 0 || last != batch[end].passNumber {
			return end, items[:end], nil
		}
	}
	return n, items, nil
}

func (s *Scheduler) appendEntry(items [][]byte, err error) (id.Seq, error) {
	if err == nil {
		err = s.checkMayDecide()
	}
	if err != nil {
		return 0, err
	}
	ctx, cancel := s.appendContext()
	defer cancel()
	seq, err := s.stages.append.Process(ctx, items)
	if problem.Is(err, problem.Fenced) {
		s.fence()
	}
	return seq, err
}

// applyResult handles the result of an append: it applies the batch to the durable
// state if the append succeeded, and calls the done functions. It returns the
// writes to retry.
func (s *Scheduler) applyResult(durable *durableState, batch []write, err error) []write {
	var retry []write
	published := len(durable.Records)
	for i, w := range batch {
		switch {
		case err == nil:
			durable.apply(w.item)
		case w.item.Op == opDecision:
			retry = append(retry, write{item: w.item, passNumber: w.passNumber})
		case w.item.Decision != nil && !problem.Is(err, problem.Fenced):
			retry = append(retry, w)
			batch[i].done = nil // called only once the item is durable
		}
	}
	s.publish(durable.Records[published:])
	for _, w := range batch {
		if w.done != nil {
			w.done(err)
		}
	}
	return retry
}

func (s *Scheduler) writeSnapshot(durable *durableState, covered id.Seq) bool {
	store, ok := s.cfg.Journal.(Snapshotter)
	if !ok {
		return true
	}
	s.dropFlushed(durable)
	state, err := codec.CBOR.Marshal(durable)
	if err != nil {
		return false
	}
	ctx, cancel := s.appendContext()
	defer cancel()
	return store.Snapshot(ctx, state, covered) == nil
}

// appendContext returns a context that ends after AppendTimeout by the scheduler's
// clock.
func (s *Scheduler) appendContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	sub := s.cfg.Clock.After(AppendTimeout)
	go func() {
		select {
		case <-sub.C:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, func() {
		sub.Stop()
		cancel()
	}
}

func (s *Scheduler) newWrite(it item, done func(err error)) write {
	it.Version, it.At = formatVersion, s.cfg.Clock.Now()
	return write{item: it, done: done}
}

// enqueueWrite queues an item for the journal stage.
func (s *Scheduler) enqueueWrite(it item, done func(err error)) {
	if err := s.writes.Put(s.newWrite(it, done)); err != nil && done != nil {
		done(err)
	}
}

// journalWait queues an item for the journal stage and waits for the result. Once
// the item is durable, apply is called, even if ctx has ended by then.
func (s *Scheduler) journalWait(ctx context.Context, it item, apply func()) error {
	result := make(chan error, 1)
	s.enqueueWrite(it, func(err error) {
		if err == nil {
			apply()
		}
		result <- err
	})
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return s.shardProblem(problem.Unknown, "query the job, or send the same request again")
	}
}
