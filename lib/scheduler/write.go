package scheduler

import (
	"context"

	"bronzewinch.dev/lib/codec"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/problem"
)

// write is one item for the journal stage. done is called with the result, on
// the stage's goroutine; it must not block. Items with a decision record are kept until they
// are durable, since later records count on them. That holds for a placement
// also after done was told that it failed: the record of its end follows. A
// write without an item only asks to try again.
type write struct {
	item item
	done func(err error)
	// group is the writes of one pass, which share an entry if they fit.
	group      []write
	passNumber uint64 // of the group, or 0
}

// writeLoop is the journal stage: all items that wait become one append.
func (s *Scheduler) writeLoop(durable *durableState) {
	var covered id.Seq
	var retry []write
	var passCount uint64
	entries := 0
	for {
		batch, ok := s.writes.TakeAll(context.Background(), maxBatch)
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
			// What is kept must come before what follows.
			retry = append(retry, s.applyResult(durable, batch, s.shardProblem(problem.Unavailable, "send it again later"))...)
			batch = nil
		}
		s.unwritten.Store(int64(len(retry)))
		if entries >= EntriesPerSnapshot && s.writeSnapshot(durable, covered) {
			entries = 0
		}
	}
}

// flatten returns the writes of a batch, those of a group with one number.
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

// encodeEntry encodes the first writes of a batch, up to the size of an entry and
// without a part of a group where possible.
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

// applyResult applies a batch to the durable state and tells the writers. It returns
// the items to write again.
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
			batch[i].done = nil // until it is durable
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

// appendContext returns a context that ends after AppendTimeout by the clock.
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

// enqueueWrite gives an item to the journal stage.
func (s *Scheduler) enqueueWrite(it item, done func(err error)) {
	if err := s.writes.Put(s.newWrite(it, done)); err != nil && done != nil {
		done(err)
	}
}

// journalWait gives an item to the journal stage and waits for the result.
// Once the item is durable, apply is called, whether or not the caller waits.
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
		return s.shardProblem(problem.Unknown, "ask for the job, or send the same request again")
	}
}
