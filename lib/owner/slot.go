package owner

import (
	"context"
	"sync"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/journal"
	"bronzewinch.dev/lib/kv"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/timer"
)

// phase is the phase of a shard on this node.
type phase int

const (
	phaseIdle phase = iota
	phaseOpening
	phaseOpen
	phaseHandingOver
	phaseClosing
)

// shardState is the state of one shard on this node. Each state has its own lock.
type shardState struct {
	shard id.Shard

	mu         sync.Mutex
	phase      phase
	lease      *nodeLease // lease, term and opened are set while the shard is open
	term       *Term
	opened     Shard
	openedAt   time.Time
	keyVersion kv.Version // zero when the deletion of the key is not certain

	seenVersion         kv.Version
	jitter              float64
	preferred           id.Node
	otherPreferredSince time.Time
	handedOverAt        time.Time
	retryAt             time.Time
	backoff             time.Duration
}

func newShardState(shard id.Shard) *shardState { return &shardState{shard: shard} }

func (s *shardState) currentPhase() phase {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.phase
}

func (s *shardState) setPhase(p phase) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.phase = p
}

func (s *shardState) setKeyVersion(v kv.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keyVersion = v
}

func (s *shardState) setHandedOver(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handedOverAt = now
}

// openTerm returns the term of an open shard, or nil.
func (s *shardState) openTerm() *Term {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase != phaseOpen {
		return nil
	}
	return s.term
}

// beginClose sets the phase of an open shard to closing. It returns false if the
// shard is not open.
func (s *shardState) beginClose() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase != phaseOpen {
		return false
	}
	s.phase = phaseClosing
	return true
}

func (s *shardState) setOpen(lease *nodeLease, t *Term, opened Shard, version kv.Version, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.phase, s.lease, s.term, s.opened, s.keyVersion = phaseOpen, lease, t, opened, version
	s.openedAt, s.backoff = now, 0
}

// setFailed records a failed claim, and doubles the delay before the next one up to
// maxBackoff.
func (s *shardState) setFailed(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backoff = min(max(minBackoff, 2*s.backoff), maxBackoff)
	s.phase, s.retryAt = phaseIdle, now.Add(timer.Jitter(s.backoff))
}

// claim writes the shard's key, takes over its journal and opens it.
func (o *Owner) claim(s *shardState, lease *nodeLease) {
	version, err := o.writeKey(s.shard, lease)
	if err != nil {
		o.claimFailed(s)
		return
	}
	t, opened, err := o.openShard(s.shard, lease)
	if err != nil {
		s.setKeyVersion(o.deleteKey(s.shard, version))
		o.claimFailed(s)
		return
	}
	s.setOpen(lease, t, opened, version, o.config.Timer.Now())
	o.claimed.Inc()
}

func (o *Owner) claimFailed(s *shardState) {
	s.setFailed(o.config.Timer.Now())
	o.leases.release()
}

// writeKey writes the shard's key under the lease. If the result is unknown, it
// reads the key back. A write whose answer was lost can also take effect later; the
// next claim then finds a key that belongs to this lease.
func (o *Owner) writeKey(shard id.Shard, lease *nodeLease) (kv.Version, error) {
	key := KeyPrefix + string(shard)
	version, err := o.config.Store.Put(o.ctx, key, []byte(o.config.Node), 0, lease.id)
	if k := problem.KindOf(err); k != problem.Unknown && k != problem.Conflict {
		return version, err
	}
	item, err := o.config.Store.Get(o.ctx, key)
	if err != nil {
		return 0, err
	}
	if item.Lease != lease.id {
		return 0, unavailable("key of shard " + string(shard))
	}
	return item.Version, nil
}

func (o *Owner) openShard(shard id.Shard, lease *nodeLease) (*Term, Shard, error) {
	t := NewTerm(shard, lease, nil)
	w, snapshot, entries, err := journal.TakeOver(o.ctx, journal.Config{
		Store: o.config.Journals(shard), Prefix: string(shard), Node: o.config.Node,
		CheckLease: t.Check, Timer: o.config.Timer, Metrics: o.config.Metrics,
	})
	if err != nil {
		return nil, nil, err
	}
	t.journal = w
	opened, err := o.config.Opener.Open(o.ctx, shard, t, snapshot, entries)
	if err != nil {
		t.end()
		w.Close()
		return nil, nil, err
	}
	return t, opened, nil
}

// closeShard closes a shard. In a handover the shard is closed while the lease is
// valid, and the key is deleted last. Otherwise the term ends first, because another
// node may own the shard already.
func (o *Owner) closeShard(s *shardState, handover bool) {
	s.mu.Lock()
	t, opened, version := s.term, s.opened, s.keyVersion
	s.mu.Unlock()
	if !handover {
		t.end()
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	// The error is ignored: if the shard still makes decisions, its journal
	// rejects them as fenced.
	_ = opened.Close(ctx)
	t.end()
	t.journal.Close()
	if handover {
		version = o.deleteKey(s.shard, version)
	}
	s.mu.Lock()
	s.keyVersion = version
	s.phase, s.lease, s.term, s.opened = phaseIdle, nil, nil, nil
	s.mu.Unlock()
	o.leases.release()
	o.closed.Inc()
}

// deleteKey deletes the shard's key if it still has the version that this node
// wrote. It makes up to two attempts, and returns the version, or zero when the key
// may still exist. In that case the node claims the shard again, or the key is
// deleted when the lease ends.
func (o *Owner) deleteKey(shard id.Shard, version kv.Version) kv.Version {
	ctx, cancel := context.WithTimeout(context.Background(), o.config.RenewInterval)
	defer cancel()
	for range 2 {
		err := o.config.Store.Delete(ctx, KeyPrefix+string(shard), version)
		if k := problem.KindOf(err); k != problem.Unknown && k != problem.Unavailable {
			return version
		}
	}
	return 0
}
