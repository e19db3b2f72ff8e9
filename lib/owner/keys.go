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

// keyState is the last state of one shard's key that the watch returned.
type keyState struct {
	lease       kv.LeaseID // empty when there is no key
	node        id.Node
	version     kv.Version
	absentSince time.Time // when the watch reported that there is no key
}

// keyTable contains the states of the keys of all shards, which one watch keeps up
// to date.
type keyTable struct {
	mu       sync.Mutex
	loadedAt time.Time // when all keys were last listed, zero before the first time
	states   map[id.Shard]keyState
}

func newKeyTable() *keyTable { return &keyTable{states: make(map[id.Shard]keyState)} }

// get returns the state of a shard's key. It returns false until the keys have been
// loaded.
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

// watch watches the keys until ctx ends, and calls changed after each change. After
// an Expired error it lists all keys again.
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

// apply applies events to the table. If the events are a complete listing, keys
// that it doesn't contain are absent. It returns whether anything may have changed.
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
