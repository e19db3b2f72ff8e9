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
	// entriesPerSnapshot is the number of appended entries after which a new snapshot
	// of a shard is stored. It bounds the entries that a takeover reads to about
	// this many.
	entriesPerSnapshot = 200
	// snapshotTimeout limits the time to encode and store one snapshot.
	snapshotTimeout = 10 * time.Second
)

// shardJournal is the journal of an owned shard. It stores a snapshot of the
// shard's state every entriesPerSnapshot entries. An item must be applied to the
// state before it is appended, so that a snapshot covers all entries up to the
// last one.
type shardJournal struct {
	shard  id.Shard
	writer *journal.Writer
	wg     sync.WaitGroup

	mu         sync.Mutex
	encode     func() ([]byte, error)
	lastSeq    id.Seq
	coveredSeq id.Seq
	storing    bool
}

func newShardJournal(shard id.Shard, w *journal.Writer) *shardJournal {
	return &shardJournal{shard: shard, writer: w, lastSeq: w.TakeoverSeq(), coveredSeq: w.TakeoverSeq()}
}

// setEncoder sets the function that encodes the state. Before the first call, no
// snapshots are stored.
func (j *shardJournal) setEncoder(encode func() ([]byte, error)) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.encode = encode
}

// Append appends items to the journal.
func (j *shardJournal) Append(ctx context.Context, items ...[]byte) (id.Seq, error) {
	seq, err := j.writer.Append(ctx, items...)
	if err == nil {
		j.recordAppend(seq)
	}
	return seq, err
}

// recordAppend records the last appended entry, and starts to store a snapshot if
// one is due and none is in progress.
func (j *shardJournal) recordAppend(seq id.Seq) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.lastSeq = max(j.lastSeq, seq)
	if j.storing || j.encode == nil || j.lastSeq < j.coveredSeq+entriesPerSnapshot {
		return
	}
	j.storing = true
	covers, encode := j.lastSeq, j.encode
	j.wg.Go(func() { j.storeSnapshot(covers, encode) })
}

func (j *shardJournal) storeSnapshot(covers id.Seq, encode func() ([]byte, error)) {
	ctx, cancel := context.WithTimeout(context.Background(), snapshotTimeout)
	defer cancel()
	data, err := encode()
	if err == nil {
		err = j.writer.Snapshot(ctx, data, covers)
	}
	if err != nil {
		klog.ErrorS(err, "storing a snapshot failed; the next snapshot will cover its entries", "shard", j.shard, "seq", covers)
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.coveredSeq, j.storing = covers, false
}

// Close waits until a snapshot in progress is stored.
func (j *shardJournal) Close() { j.wg.Wait() }
