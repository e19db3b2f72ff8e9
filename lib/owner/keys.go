package owner

import (
	"context"
	"strings"
	"sync"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/kv"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/timer"
)

// keyState is what the watch showed last of one shard's key.
type keyState struct {
	lease       kv.LeaseID // empty when there is no key
	node        id.Node
	version     kv.Version
	absentSince time.Time // when the key became absent
}

// keyTable follows the keys of all shards with one watch.
type keyTable struct {
	mu       sync.Mutex
	loadedAt time.Time // zero until the first view is complete
	states   map[id.Shard]keyState
}

func newKeyTable() *keyTable { return &keyTable{states: make(map[id.Shard]keyState)} }

// get returns the state of a shard's key, and false before the first view.
func (t *keyTable) get(shard id.Shard) (keyState, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.states[shard]
	if !ok {
		s.absentSince = t.loadedAt
	}
	return s, !t.loadedAt.IsZero()
}

// holder returns the node that holds a shard's key.
func (t *keyTable) holder(shard id.Shard) (id.Node, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.states[shard]
	return s.node, s.lease != ""
}

// watch watches until ctx ends and calls changed after each change.
func (t *keyTable) watch(ctx context.Context, store Store, clock timer.Service, changed func()) {
	var from kv.Version
	backoff := minBackoff
	for ctx.Err() == nil {
		events, next, err := store.Watch(ctx, KeyPrefix, from)
		if err != nil {
			if problem.Is(err, problem.Expired) {
				from = 0
			}
			if timer.Sleep(ctx, clock, timer.Jitter(backoff)) != nil {
				return
			}
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff = minBackoff
		if t.apply(events, from == 0, next, clock.Now()) {
			changed()
		}
		from = next
	}
}

// apply takes over events, or a whole view, in which a key that is not there
// is absent. It returns whether anything may have changed.
func (t *keyTable) apply(events []kv.Event, complete bool, version kv.Version, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if complete {
		t.loadedAt = now
		for shard, s := range t.states {
			if s.lease != "" && s.version <= version {
				t.states[shard] = keyState{version: version, absentSince: now}
			}
		}
	}
	for _, e := range events {
		shard := id.Shard(strings.TrimPrefix(e.Key, KeyPrefix))
		if e.Deleted {
			t.states[shard] = keyState{version: e.Version, absentSince: now}
		} else {
			t.states[shard] = keyState{lease: e.Lease, node: id.Node(e.Value), version: e.Version}
		}
	}
	return complete || len(events) > 0
}
