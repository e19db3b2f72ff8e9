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
	group []write
	pass  uint64 // of the group, or 0
}

// write is the journal stage: all items that wait become one append.
func (s *Scheduler) write(durable *durableState) {
	var covers id.Seq
	var kept []write
	var passes uint64
	entries := 0
	for {
		batch, ok := s.writes.TakeAll(context.Background(), maxBatch)
		if !ok {
			return
		}
		batch = append(kept, flatten(batch, &passes)...)
		kept = nil
		for len(batch) > 0 {
			n, items, err := encode(batch)
			seq, err := s.append(items, err)
			kept = append(kept, s.settle(durable, batch[:n], err)...)
			batch = batch[n:]
			if err == nil {
				covers = seq
				entries++
				continue
			}
			// What is kept must come before what follows.
			kept = append(kept, s.settle(durable, batch, s.problem(problem.Unavailable, "send it again later"))...)
			batch = nil
		}
		s.owed.Store(int64(len(kept)))
		if entries >= EntriesPerSnapshot && s.snapshot(durable, covers) {
			entries = 0
		}
	}
}

// flatten returns the writes of a batch, those of a group with one number.
func flatten(batch []write, passes *uint64) []write {
	out := make([]write, 0, len(batch))
	for _, w := range batch {
		if w.item.Op != "" {
			out = append(out, w)
		}
		*passes++
		for _, g := range w.group {
			g.pass = *passes
			out = append(out, g)
		}
	}
	return out
}

// encode encodes the first writes of a batch, up to the size of an entry and
// without a part of a group where possible.
func encode(batch []write) (n int, items [][]byte, err error) {
	size := 0
	for ; n < len(batch) && size < maxEntry; n++ {
		data, err := codec.CBOR.Marshal(batch[n].item)
		if err != nil {
			return n + 1, nil, err
		}
		size += len(data)
		items = append(items, data)
	}
	for whole := n; n < len(batch) && whole > 0; whole-- {
		if last := batch[whole-1].pass; last == 0 || last != batch[whole].pass {
			return whole, items[:whole], nil
		}
	}
	return n, items, nil
}

func (s *Scheduler) append(items [][]byte, err error) (id.Seq, error) {
	if err == nil {
		err = s.mayDecide()
	}
	if err != nil {
		return 0, err
	}
	ctx, cancel := s.withTimeout()
	defer cancel()
	seq, err := s.stages.append.Process(ctx, items)
	if problem.Is(err, problem.Fenced) {
		s.fence()
	}
	return seq, err
}

// settle applies a batch to the durable state and tells the writers. It returns
// the items to write again.
func (s *Scheduler) settle(durable *durableState, batch []write, err error) []write {
	var kept []write
	known := len(durable.Records)
	for i, w := range batch {
		switch {
		case err == nil:
			durable.apply(w.item)
		case w.item.Op == opDecision:
			kept = append(kept, write{item: w.item, pass: w.pass})
		case w.item.Decision != nil && !problem.Is(err, problem.Fenced):
			kept = append(kept, w)
			batch[i].done = nil // until it is durable
		}
	}
	s.publish(durable.Records[known:])
	for _, w := range batch {
		if w.done != nil {
			w.done(err)
		}
	}
	return kept
}

func (s *Scheduler) snapshot(durable *durableState, covers id.Seq) bool {
	store, ok := s.cfg.Journal.(Snapshotter)
	if !ok {
		return true
	}
	s.forget(durable)
	state, err := codec.CBOR.Marshal(durable)
	if err != nil {
		return false
	}
	ctx, cancel := s.withTimeout()
	defer cancel()
	return store.Snapshot(ctx, state, covers) == nil
}

// withTimeout returns a context that ends after AppendTimeout by the clock.
func (s *Scheduler) withTimeout() (context.Context, context.CancelFunc) {
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

// journal gives an item to the journal stage.
func (s *Scheduler) journal(it item, done func(err error)) {
	if err := s.writes.Put(s.newWrite(it, done)); err != nil && done != nil {
		done(err)
	}
}

// journalWait gives an item to the journal stage and waits for the result.
// Once the item is durable, apply is called, whether or not the caller waits.
func (s *Scheduler) journalWait(ctx context.Context, it item, apply func()) error {
	result := make(chan error, 1)
	s.journal(it, func(err error) {
		if err == nil {
			apply()
		}
		result <- err
	})
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return s.problem(problem.Unknown, "ask for the job, or send the same request again")
	}
}
