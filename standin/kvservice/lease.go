package kvservice

import (
	"fmt"
	"sync"
	"time"

	"bronzewinch.dev/lib/kv"
)

// leases is the table of leases. Lock order: put acquires its lock while it holds
// the lock of an item's shard, so revoke releases it before it locks a shard.
type leases struct {
	mu     sync.Mutex
	lastID int
	byID   map[kv.LeaseID]*lease
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
	keys      map[string]struct{}
}

func (l *leases) grant(ttl time.Duration, now time.Time) kv.LeaseID {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastID++
	id := kv.LeaseID(fmt.Sprintf("lease-%d", l.lastID))
	l.byID[id] = &lease{ttl: ttl, expiresAt: now.Add(ttl), keys: make(map[string]struct{})}
	return id
}

func (l *leases) keepAlive(id kv.LeaseID, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	le, ok := l.byID[id]
	if ok {
		le.expiresAt = now.Add(le.ttl)
	}
	return ok
}

func (l *leases) attach(id kv.LeaseID, key string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	le, ok := l.byID[id]
	if ok {
		le.keys[key] = struct{}{}
	}
	return ok
}

// end removes a lease and returns the keys attached to it.
func (l *leases) end(id kv.LeaseID) (map[string]struct{}, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	le, ok := l.byID[id]
	if !ok {
		return nil, false
	}
	delete(l.byID, id)
	return le.keys, true
}

func (l *leases) expired(now time.Time) []kv.LeaseID {
	l.mu.Lock()
	defer l.mu.Unlock()
	var ids []kv.LeaseID
	for id, le := range l.byID {
		if !now.Before(le.expiresAt) {
			ids = append(ids, id)
		}
	}
	return ids
}

// expireLeases revokes the leases that have expired. Every call does this first,
// so that no call returns a key whose lease has expired.
func (s *Service) expireLeases() {
	for _, id := range s.leases.expired(s.timer.Now()) {
		s.revoke(id)
	}
}

func (s *Service) revoke(id kv.LeaseID) bool {
	keys, ok := s.leases.end(id)
	for key := range keys {
		sh := s.shardOf(key)
		sh.mu.Lock()
		if item, found := sh.items[key]; found && item.Lease == id {
			s.deleteItem(sh, item)
		}
		sh.mu.Unlock()
	}
	return ok
}
