// Package shard holds a table whose state is split into shards, each under
// its own lock, so that threads that work on different keys rarely wait for
// each other.
package shard

import (
	"hash/maphash"
	"sync"
)

// Count is the number of shards of a Map. It is several times the number of
// cores of an entry VM, so that two busy threads seldom meet on one lock.
const Count = 64

// Map is a table in shards. Its functions run under one shard's lock: they
// must not block, and must not call the map again.
type Map[K comparable, V any] struct {
	seed   maphash.Seed
	shards [Count]mapShard[K, V]
}

type mapShard[K comparable, V any] struct {
	mu sync.Mutex
	m  map[K]V
}

// NewMap returns an empty map.
func NewMap[K comparable, V any]() *Map[K, V] {
	m := &Map[K, V]{seed: maphash.MakeSeed()}
	for i := range m.shards {
		m.shards[i].m = make(map[K]V)
	}
	return m
}

// Get returns the value of a key.
func (m *Map[K, V]) Get(key K) (V, bool) {
	s := m.shardFor(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.m[key]
	return v, ok
}

// Set sets the value of a key.
func (m *Map[K, V]) Set(key K, value V) {
	s := m.shardFor(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.m[key] = value
}

// Delete removes a key.
func (m *Map[K, V]) Delete(key K) {
	s := m.shardFor(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.m, key)
}

// Update calls f with the present value of a key, and whether there is one.
// It then sets the key to what f returns, or removes it when f returns false.
func (m *Map[K, V]) Update(key K, f func(value V, ok bool) (V, bool)) {
	s := m.shardFor(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.m[key]
	if v, keep := f(old, ok); keep {
		s.m[key] = v
	} else if ok {
		delete(s.m, key)
	}
}

// Range calls f for each key, one shard at a time, until f returns false. It
// sees each key that is there during the whole call once.
func (m *Map[K, V]) Range(f func(key K, value V) bool) {
	for i := range m.shards {
		if !m.shards[i].rangeOver(f) {
			return
		}
	}
}

// Len returns the number of keys.
func (m *Map[K, V]) Len() int {
	n := 0
	for i := range m.shards {
		s := &m.shards[i]
		s.mu.Lock()
		n += len(s.m)
		s.mu.Unlock()
	}
	return n
}

func (m *Map[K, V]) shardFor(key K) *mapShard[K, V] {
	return &m.shards[maphash.Comparable(m.seed, key)%Count]
}

func (s *mapShard[K, V]) rangeOver(f func(key K, value V) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, v := range s.m {
		if !f(k, v) {
			return false
		}
	}
	return true
}
