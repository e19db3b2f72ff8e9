// Package configsync distributes the configuration to the nodes. Accepted
// change sets are entries of a journal in the key-value service. A node applies
// them in order of revision. It receives them from a watch of the journal and,
// when the watch is behind, from its peers. A node never reverts to a lower
// revision.
package configsync

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/journal"
	"bronzewinch.dev/lib/kv"
	"bronzewinch.dev/lib/pipe"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/timer"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"
)

// Prefix is the key prefix of the configuration journal.
const Prefix = "config"

const (
	// PeerPollInterval is the interval at which a node compares its revision with
	// those of its peers.
	PeerPollInterval = time.Second
	// MaxActivations is the number of revisions for which a node stores the time
	// at which they came into force.
	MaxActivations = 1000
	// MaxRecentEntries is the number of entries that a node keeps in memory for
	// peers that are behind. A peer that is further behind receives the whole set.
	MaxRecentEntries = 256
	// EntriesPerSnapshot is the number of entries between snapshots.
	EntriesPerSnapshot = 64
	// minRetryPause and maxRetryPause bound the pause after a failed read, before
	// jitter. A change must be in force within 11 s, including after an outage.
	minRetryPause = time.Second
	maxRetryPause = 5 * time.Second
	// compactTimeout is the time limit of one compaction.
	compactTimeout = 10 * time.Second
)

// Store is the part of the key-value service that a Syncer uses.
type Store interface {
	journal.Store
	Watch(ctx context.Context, prefix string, from kv.Version) ([]kv.Event, kv.Version, error)
}

// Update is what a peer sends to a node that is behind: the entries after the
// node's revision, or a snapshot of the whole set if the peer no longer has all
// of these entries.
type Update struct {
	Snapshot []byte          `cbor:"1,keyasint,omitempty"`
	Entries  []journal.Entry `cbor:"2,keyasint,omitempty"`
}

// Peers provides access to the other entry nodes.
type Peers interface {
	// Ahead returns the addresses of the live nodes whose revision is higher than
	// the given one.
	Ahead(revision id.Revision) []string
	// Since returns the update that the node at address sends to a node with the
	// given revision.
	Since(ctx context.Context, address string, revision id.Revision) (Update, error)
}

// Observer is notified when a revision comes into force on this node. The
// parameter elapsed is the time since the change was accepted.
type Observer interface {
	RevisionInForce(revision id.Revision, elapsed time.Duration)
}

// Config configures a Syncer.
type Config struct {
	Node   id.Node
	Store  Store
	Peers  Peers
	Binder record.Binder
	Timer  timer.Service
	// Observer may be nil.
	Observer Observer
	// Metrics is the set in which the metrics are registered. It may be nil.
	Metrics *metrics.Set
}

// Activation records the time at which a revision came into force on a node.
type Activation struct {
	Revision id.Revision `cbor:"1,keyasint"`
	At       time.Time   `cbor:"2,keyasint"`
}

// Syncer keeps the set in force on this node up to date. It is safe for
// concurrent use.
type Syncer struct {
	config  Config
	decode  pipe.Filter[kv.Item, journal.Entry]
	stages  pipe.Filter[*proposal, *proposal]
	inForce *metrics.Histogram
	applied *metrics.Counter
	batch   atomic.Uint64 // batch number of the last entry that this process created
	cancel  context.CancelFunc
	wg      sync.WaitGroup

	mu          sync.Mutex
	current     *record.Set
	recent      []journal.Entry // the newest entries, in order
	activations []Activation    // those of the last revisions, in order
	loaded      bool            // whether a configuration was read
	changed     chan struct{}   // closed at the next change
}

// New returns a Syncer and starts its goroutines. Close stops them.
func New(c Config) *Syncer {
	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Syncer{
		config:  c,
		inForce: c.Metrics.GetOrCreateHistogram("bronzewinch_config_in_force_seconds"),
		applied: c.Metrics.GetOrCreateCounter("bronzewinch_config_applied_total"),
		cancel:  cancel,
		current: record.NewSet(),
		changed: make(chan struct{}),
	}
	s.batch.Store(journal.NewBatch())
	s.decode = pipe.Instrument(c.Metrics, "configDecode", pipe.Func[kv.Item, journal.Entry](decodeItem))
	s.stages = s.applyStages()
	c.Metrics.GetOrCreateGauge(fmt.Sprintf("bronzewinch_config_revision{node=%q}", c.Node),
		func() float64 { return float64(s.Current().Revision) })
	s.wg.Go(func() { s.follow(ctx) })
	s.wg.Go(func() { s.pollPeers(ctx) })
	return s
}

// Close stops the goroutines and waits for them.
func (s *Syncer) Close() {
	s.cancel()
	s.wg.Wait()
}

// Current returns the set in force.
func (s *Syncer) Current() *record.Set {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// Ready returns nil once a configuration was read from the key-value service or
// from a peer. Until then the node must reject requests.
func (s *Syncer) Ready() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.loaded {
		return nil
	}
	return problem.New(problem.Unavailable, problem.Detail{Field: "configuration",
		Remedy: "wait until the key-value service or another entry node responds"})
}

// Changed returns a channel that is closed when the set in force changes or is
// read for the first time.
func (s *Syncer) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Since returns the update for a peer with the given revision. It is empty if the
// peer is not behind.
func (s *Syncer) Since(revision id.Revision) (Update, error) {
	s.mu.Lock()
	set, recent, loaded := s.current, s.recent, s.loaded
	s.mu.Unlock()
	if !loaded || revision >= set.Revision {
		return Update{}, nil
	}
	if len(recent) > 0 && recent[0].Seq <= revision+1 {
		return Update{Entries: recent[revision+1-recent[0].Seq:]}, nil
	}
	snapshot, err := set.Encode()
	return Update{Snapshot: snapshot}, err
}

// install applies an entry if it is the next one, and ignores one that is already
// applied. It reports whether entries between the set in force and this one are
// missing.
func (s *Syncer) install(e journal.Entry) (gap bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case e.Seq <= s.current.Revision:
		return false, nil
	case e.Seq > s.current.Revision+1:
		return true, nil
	}
	change, err := decodeChange(e)
	if err != nil {
		return false, err
	}
	next, err := s.current.With(change, e.Seq)
	if err != nil {
		return false, err
	}
	s.setCurrent(next, change.At)
	s.recent = append(s.recent, e)
	if len(s.recent) > MaxRecentEntries {
		s.recent = s.recent[len(s.recent)-MaxRecentEntries:]
	}
	return false, nil
}

// installSet puts a whole set in force if its revision is higher than the
// current one or no configuration was read before.
func (s *Syncer) installSet(set *record.Set) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if set.Revision <= s.current.Revision && s.loaded {
		return
	}
	s.recent = nil
	s.setCurrent(set, time.Time{})
}

// Activations returns the times at which revisions came into force on this node
// since its start, at most the last MaxActivations.
func (s *Syncer) Activations() []Activation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.activations)
}

// setCurrent puts a set in force. The parameter accepted is the time at which its
// change was accepted, or zero if unknown. The caller holds the lock.
func (s *Syncer) setCurrent(next *record.Set, accepted time.Time) {
	s.current, s.loaded = next, true
	s.activations = append(s.activations, Activation{next.Revision, s.config.Timer.Now()})
	s.activations = s.activations[max(0, len(s.activations)-MaxActivations):]
	close(s.changed)
	s.changed = make(chan struct{})
	s.applied.Inc()
	if !accepted.IsZero() {
		elapsed := s.config.Timer.Now().Sub(accepted)
		s.inForce.Update(elapsed.Seconds())
		if s.config.Observer != nil {
			s.config.Observer.RevisionInForce(next.Revision, elapsed)
		}
	}
	klog.InfoS("configuration in force", "node", s.config.Node, "revision", next.Revision)
}

func decodeItem(_ context.Context, item kv.Item) (journal.Entry, error) {
	return journal.Decode(Prefix, item)
}

// decodeChange returns the change set of an entry.
func decodeChange(e journal.Entry) (record.Change, error) {
	if len(e.Items) != 1 {
		return record.Change{}, problem.New(problem.Internal, problem.Detail{
			Field: "configuration entry", Value: fmt.Sprint(e.Seq), Limit: "one change set",
			Remedy: "update this node; a newer release may have written the entry"})
	}
	return record.DecodeChange(e.Items[0])
}
