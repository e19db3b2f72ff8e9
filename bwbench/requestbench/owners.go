package requestbench

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"bronzewinch.dev/lib/caller"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/once"
	"bronzewinch.dev/lib/outcome"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/requestshard"
	"bronzewinch.dev/lib/timer"
)

// onceFaults are the probabilities of faults between entry nodes, owners of
// request shards and their journals.
type onceFaults struct {
	appendFails   float64 // the journal rejects an append
	appendUnknown float64 // the response to an append that took effect is lost
	callLost      float64 // the response of an owner is lost
}

// shardOwners simulates the owners of all request shards and the calls to them. It
// implements caller.Deduplicator.
type shardOwners struct {
	faults *onceFaults
	shards [caller.Shards]owner
}

// owner holds the current term of one shard and the entries of its journal.
type owner struct {
	mu      sync.Mutex
	current *term
	epoch   id.Epoch
	entries [][]byte
}

// term is one period of ownership of a shard. The journal rejects appends of
// earlier terms.
type term struct {
	owner   *owner
	epoch   id.Epoch
	faults  *onceFaults
	expired atomic.Bool
	shard   *requestshard.Shard
}

func newOwners(f *onceFaults) *shardOwners {
	s := &shardOwners{faults: f}
	for i := range s.shards {
		s.takeover(i)
	}
	return s
}

// takeover starts a new term of a shard and rebuilds its state from the journal.
func (s *shardOwners) takeover(i int) {
	o := &s.shards[i]
	o.mu.Lock()
	defer o.mu.Unlock()
	o.epoch++
	if o.current != nil {
		o.current.expired.Store(true)
	}
	t := &term{owner: o, epoch: o.epoch, faults: s.faults}
	shard, err := requestshard.Open(requestshard.Config{Journal: t, Term: t, Clock: timer.NewSystem(), Limit: 1 << 20,
		Items: o.entries})
	if err != nil {
		panic(err) // can't happen: this process wrote the entries
	}
	t.shard = shard
	o.current = t
}

func (s *shardOwners) shard(key id.Request) *requestshard.Shard {
	o := &s.shards[caller.ShardOf(key)]
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.current.shard
}

// Check implements requestshard.Term.
func (t *term) Check() error {
	if t.expired.Load() {
		return fenced()
	}
	return nil
}

// Epoch implements requestshard.Term.
func (t *term) Epoch() id.Epoch { return t.epoch }

// Append implements requestshard.Journal.
func (t *term) Append(_ context.Context, items ...[]byte) (id.Seq, error) {
	if t.faults != nil && rand.Float64() < t.faults.appendFails {
		return 0, problem.New(problem.Unavailable, problem.Detail{Field: "journal", Remedy: "try again later"})
	}
	t.owner.mu.Lock()
	defer t.owner.mu.Unlock()
	if t.owner.epoch != t.epoch {
		return 0, fenced()
	}
	t.owner.entries = append(t.owner.entries, items...)
	if t.faults != nil && rand.Float64() < t.faults.appendUnknown {
		return 0, problem.New(problem.Unknown, problem.Detail{Field: "journal", Remedy: "read the entry back"})
	}
	return id.Seq(len(t.owner.entries)), nil
}

func fenced() error {
	return problem.New(problem.Fenced, problem.Detail{Field: "request shard", Remedy: "send the call to the new owner"})
}

// responseLost returns an error with the probability that the response of an
// owner is lost.
func (s *shardOwners) responseLost() error {
	if s.faults != nil && rand.Float64() < s.faults.callLost {
		return problem.New(problem.Unknown, problem.Detail{Field: "owner", Remedy: "repeat the call"})
	}
	return nil
}

// Begin implements caller.Deduplicator.
func (s *shardOwners) Begin(ctx context.Context, key id.Request, f once.Fingerprint, longest time.Duration) (once.Result, error) {
	v, err := s.shard(key).Begin(ctx, key, f, longest)
	if lost := s.responseLost(); lost != nil {
		return once.Result{}, lost
	}
	return v, err
}

// Finish implements caller.Deduplicator.
func (s *shardOwners) Finish(ctx context.Context, key id.Request, run once.RunNumber, o outcome.Outcome, node id.Node) error {
	err := s.shard(key).Finish(ctx, key, run, o, node)
	if lost := s.responseLost(); lost != nil {
		return lost
	}
	return err
}

// Lookup implements caller.Deduplicator.
func (s *shardOwners) Lookup(ctx context.Context, key id.Request) (once.Result, bool, error) {
	v, ok, err := s.shard(key).Lookup(ctx, key)
	if lost := s.responseLost(); lost != nil {
		return once.Result{}, false, lost
	}
	return v, ok, err
}
