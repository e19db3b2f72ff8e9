package node

import (
	"context"
	"sync"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/journal"

	"k8s.io/klog/v2"
)

const (
	// compactEvery is the number of appends between snapshots of a shard. A
	// takeover reads at most about this many entries.
	compactEvery = 200
	// compactLimit is the longest time for one snapshot.
	compactLimit = 10 * time.Second
)

// shardLog is the journal of an owned shard. It stores a snapshot of the state
// after each compactEvery entries. The state must hold an item before the item
// is appended, so that the snapshot covers all entries up to the last one.
type shardLog struct {
	shard  id.Shard
	writer *journal.Writer
	wg     sync.WaitGroup

	mu      sync.Mutex
	state   func() ([]byte, error)
	last    id.Seq
	covered id.Seq
	running bool
}

func newShardLog(shard id.Shard, w *journal.Writer) *shardLog {
	return &shardLog{shard: shard, writer: w, last: w.TakeoverSeq(), covered: w.TakeoverSeq()}
}

// setState sets the function that encodes the state. Until then no snapshot is
// stored.
func (l *shardLog) setState(state func() ([]byte, error)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = state
}

// Append appends items to the journal.
func (l *shardLog) Append(ctx context.Context, items ...[]byte) (id.Seq, error) {
	seq, err := l.writer.Append(ctx, items...)
	if err == nil {
		l.note(seq)
	}
	return seq, err
}

// note starts a snapshot when one is due.
func (l *shardLog) note(seq id.Seq) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last = max(l.last, seq)
	if l.running || l.state == nil || l.last < l.covered+compactEvery {
		return
	}
	l.running = true
	covers, state := l.last, l.state
	l.wg.Go(func() { l.compact(covers, state) })
}

func (l *shardLog) compact(covers id.Seq, state func() ([]byte, error)) {
	ctx, cancel := context.WithTimeout(context.Background(), compactLimit)
	defer cancel()
	data, err := state()
	if err == nil {
		err = l.writer.Snapshot(ctx, data, covers)
	}
	if err != nil {
		klog.ErrorS(err, "snapshot not stored; the next one covers it", "shard", l.shard, "seq", covers)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.covered, l.running = covers, false
}

// Close waits for a snapshot in progress.
func (l *shardLog) Close() { l.wg.Wait() }
