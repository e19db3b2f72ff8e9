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
	// maxValue bounds the stored value of one node. At 32 KiB, one write in a
	// minute and a read of 8 nodes in 5 minutes are 1.4 KB/s, of the 3 KB/s
	// that a node may spend for control.
	maxValue = 32 * unit.KiB
	// maxTries bounds the writes of one round. A conflict comes from another
	// process under the same name, which is rare.
	maxTries = 3
)

// writer keeps one node's key up to date. Only one goroutine calls save.
type writer struct {
	node    id.Node
	store   Store
	counts  *burn.Counts
	clock   timer.Service
	process burn.ProcessID
	path    pipe.Filter[burn.Snapshot, kv.Version]
	// known says that version and base are what the store has.
	known   bool
	version kv.Version
	// base is the counts of an earlier process under this name. They become
	// part of counts once they are stored under this process.
	base burn.Snapshot
	seq  atomic.Uint64
	// loaded says that base is part of counts. replaced says that a later
	// process under the same name writes the key.
	loaded, replaced atomic.Bool
}

func newWriter(c Config) *writer {
	w := &writer{node: c.Node, store: c.Store, counts: c.Counts, clock: c.Clock, process: burn.ProcessID(rand.Uint64())}
	w.path = w.newPath(c.Metrics)
	return w
}

// newPath returns the path join, encode, put of one write.
func (w *writer) newPath(set *metrics.Set) pipe.Filter[burn.Snapshot, kv.Version] {
	return pipe.Then(pipe.Then(
		pipe.Instrument(set, "burn/join", pipe.Func[burn.Snapshot, burn.Snapshot](w.join)),
		pipe.Instrument(set, "burn/encode", pipe.Func[burn.Snapshot, []byte](w.encode))),
		pipe.Instrument(set, "burn/put", pipe.Func[[]byte, kv.Version](w.put)))
}

// join adds the counts of an earlier process until they are loaded.
func (w *writer) join(_ context.Context, s burn.Snapshot) (burn.Snapshot, error) {
	if w.loaded.Load() {
		return s, nil
	}
	return s.Add(w.base), nil
}

func (w *writer) encode(_ context.Context, s burn.Snapshot) ([]byte, error) {
	return encodeWithin(s, maxValue)
}

func (w *writer) put(ctx context.Context, data []byte) (kv.Version, error) {
	version, err := w.store.Put(ctx, w.key(), data, w.version, "")
	if err == nil {
		w.version = version
		w.load()
	}
	return version, err
}

func (w *writer) key() string { return Prefix + string(w.node) }

// snapshot returns the counts of this process, numbered.
func (w *writer) snapshot() burn.Snapshot {
	s := w.counts.Snapshot(w.node, w.clock.Now())
	s.Process, s.Seq = w.process, w.seq.Add(1)
	return s
}

// save writes the counts. After an error, the next call writes them.
func (w *writer) save(ctx context.Context) error {
	for range maxTries {
		if w.replaced.Load() {
			return nil
		}
		if !w.known {
			if err := w.look(ctx); err != nil || w.replaced.Load() {
				return err
			}
		}
		_, err := w.path.Process(ctx, w.snapshot())
		if err == nil {
			return nil
		}
		w.known = false
		if !problem.Is(err, problem.Conflict) {
			return err
		}
	}
	return problem.New(problem.Conflict, problem.Detail{Field: "key " + w.key(), Remedy: "give each node a name of its own"})
}

// look reads what the store has. A value of this process is a write whose
// answer was lost.
func (w *writer) look(ctx context.Context) error {
	item, err := w.store.Get(ctx, w.key())
	if err != nil && !problem.Is(err, problem.NotFound) {
		return err
	}
	w.known, w.version = true, item.Version
	if err != nil {
		return nil
	}
	s, err := Decode(item.Value)
	switch {
	case err != nil:
		klog.Errorf("burn: replace the counts of key %s, which this release can't read: %v", w.key(), err)
	case s.Process == w.process:
		w.load()
	case w.loaded.Load():
		w.replaced.Store(true)
		klog.Warningf("burn: another process writes the counts of node %s; this one stops", w.node)
	default:
		w.base = s
	}
	return nil
}

// load makes the earlier counts part of this process's own.
func (w *writer) load() {
	if !w.loaded.Load() {
		w.counts.AddSnapshot(w.base, w.clock.Now())
		w.base = burn.Snapshot{}
		w.loaded.Store(true)
	}
}

// encodeWithin folds rows until the value is small enough. Examples go last.
func encodeWithin(s burn.Snapshot, limit unit.Bytes) ([]byte, error) {
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
