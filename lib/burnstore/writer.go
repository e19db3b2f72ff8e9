package burnstore

import (
	"context"
	"math/rand/v2"
	"sync/atomic"

	"bronzewinch.dev/lib/burn"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/kv"
	"bronzewinch.dev/lib/pipe"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/timer"
	"bronzewinch.dev/lib/unit"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"
)

const (
	// maxValueSize is the maximum size of the stored value of one node. With 32
	// KiB, one write in a minute and a read of 8 nodes in 5 minutes use 1.4 KB/s
	// of the 3 KB/s that a node may use for control traffic.
	maxValueSize = 32 * unit.KiB
	// maxWriteAttempts is the maximum number of write attempts in one round. A
	// conflict is caused by another process with the same node name, which is
	// rare.
	maxWriteAttempts = 3
)

// writer writes the counts of one node to its key. Only one goroutine at a time
// may call save.
type writer struct {
	node     id.Node
	store    Store
	counts   *burn.Counts
	clock    timer.Service
	process  burn.ProcessID
	pipeline pipe.Filter[burn.Snapshot, kv.Version]
	// versionKnown means that version and previous match the stored value of the
	// key. It is false before the first read and after a failed write.
	versionKnown bool
	version      kv.Version
	// previous has the counts of an earlier process with this node name. They
	// are added to counts after this process has stored the sum.
	previous burn.Snapshot
	seq      atomic.Uint64
	// previousAdded means that previous was added to counts. superseded means
	// that a later process with the same node name writes the key.
	previousAdded, superseded atomic.Bool
}

func newWriter(c Config) *writer {
	w := &writer{node: c.Node, store: c.Store, counts: c.Counts, clock: c.Clock, process: burn.ProcessID(rand.Uint64())}
	w.pipeline = w.newPipeline(c.Metrics)
	return w
}

// newPipeline returns the pipeline of one write: join, encode, put.
func (w *writer) newPipeline(set *metrics.Set) pipe.Filter[burn.Snapshot, kv.Version] {
	return pipe.Then(pipe.Then(
		pipe.Instrument(set, "burn/join", pipe.Func[burn.Snapshot, burn.Snapshot](w.withPrevious)),
		pipe.Instrument(set, "burn/encode", pipe.Func[burn.Snapshot, []byte](w.encode))),
		pipe.Instrument(set, "burn/put", pipe.Func[[]byte, kv.Version](w.put)))
}

// withPrevious adds the counts of an earlier process to s, unless they are
// already part of this process's counts.
func (w *writer) withPrevious(_ context.Context, s burn.Snapshot) (burn.Snapshot, error) {
	if w.previousAdded.Load() {
		return s, nil
	}
	return s.Add(w.previous), nil
}

func (w *writer) encode(_ context.Context, s burn.Snapshot) ([]byte, error) {
	return encodeWithLimit(s, maxValueSize)
}

func (w *writer) put(ctx context.Context, data []byte) (kv.Version, error) {
	version, err := w.store.Put(ctx, w.key(), data, w.version, "")
	if err == nil {
		w.version = version
		w.addPrevious()
	}
	return version, err
}

func (w *writer) key() string { return Prefix + string(w.node) }

// snapshot returns the counts of this process with the next sequence number.
func (w *writer) snapshot() burn.Snapshot {
	s := w.counts.Snapshot(w.node, w.clock.Now())
	s.Process, s.Seq = w.process, w.seq.Add(1)
	return s
}

// save writes the counts. It retries after a conflict; after any other error,
// the next call writes them.
func (w *writer) save(ctx context.Context) error {
	for range maxWriteAttempts {
		if w.superseded.Load() {
			return nil
		}
		if !w.versionKnown {
			if err := w.readStored(ctx); err != nil || w.superseded.Load() {
				return err
			}
		}
		_, err := w.pipeline.Process(ctx, w.snapshot())
		if err == nil {
			return nil
		}
		w.versionKnown = false
		if !problem.Is(err, problem.Conflict) {
			return err
		}
	}
	return problem.New(problem.Conflict, problem.Detail{Field: "key " + w.key(), Remedy: "give each node a different name; another process writes this key"})
}

// readStored reads the stored version and value of the key. If the value is from
// this process, an earlier write succeeded and its reply was lost.
func (w *writer) readStored(ctx context.Context) error {
	item, err := w.store.Get(ctx, w.key())
	if err != nil && !problem.Is(err, problem.NotFound) {
		return err
	}
	w.versionKnown, w.version = true, item.Version
	if err != nil {
		return nil
	}
	s, err := Decode(item.Value)
	switch {
	case err != nil:
		klog.Errorf("burn: overwriting the counts of key %s, which this release can't decode: %v", w.key(), err)
	case s.Process == w.process:
		w.addPrevious()
	case w.previousAdded.Load():
		w.superseded.Store(true)
		klog.Warningf("burn: another process writes the counts of node %s; this process no longer writes them", w.node)
	default:
		w.previous = s
	}
	return nil
}

// addPrevious adds the counts of the earlier process to this process's counts,
// once.
func (w *writer) addPrevious() {
	if !w.previousAdded.Load() {
		w.counts.AddSnapshot(w.previous, w.clock.Now())
		w.previous = burn.Snapshot{}
		w.previousAdded.Store(true)
	}
}

// encodeWithLimit encodes the snapshot with fewer and fewer rows until the value
// is within the limit. If it is too large even with overflow rows only, it omits
// the examples.
func encodeWithLimit(s burn.Snapshot, limit unit.Bytes) ([]byte, error) {
	for n := len(s.Rows); ; n /= 2 {
		data, err := Encode(s.LimitRows(n))
		if err != nil || unit.Bytes(len(data)) <= limit {
			return data, err
		}
		if n == 0 {
			s.Examples = nil
			return Encode(s.LimitRows(0))
		}
	}
}
