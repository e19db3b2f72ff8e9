// Package shard provides a concurrent map that is split into shards, each with its
// own lock, so that goroutines that use different keys rarely contend for a lock.
package shard

import (
	"hash/maphash"
	"sync"
)

// Count is the number of shards of a Map. It is several times the number of
// cores of an entry VM, so that two running threads rarely contend for the same
// lock.
const Count = 64

// Map is a concurrent map. Functions that are passed to its methods run with the
// lock of a shard held: they must not block, and must not call methods of the
// map.
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

// Get returns the value of a key and whether the key exists.
func (m *Map[K, V]) Get(key K) (V, bool) {
	s := m.shardFor(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.m[key]
	return v, ok
}

func (m *Map[K, V]) Set(key K, value V) {
	s := m.shardFor(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.m[key] = value
}

func (m *Map[K, V]) Delete(key K) {
	s := m.shardFor(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.m, key)
}

// Update calls f with the current value of a key and whether the key exists. It
// then sets the key to the value that f returns, or deletes it when f returns
// false. No other change of the key happens in between.
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

// Range calls f for each key, one shard at a time, until f returns false. A key
// that exists during the whole call is visited exactly once. Changes during the
// call may or may not be visible.
func (m *Map[K, V]) Range(f func(key K, value V) bool) {
	for i := range m.shards {
		if !m.shards[i].rangeOver(f) {
			return
		}
	}
}

// Drain calls f for each key and removes it. A key that is set during the call is
// visited now or remains for the next call.
func (m *Map[K, V]) Drain(f func(key K, value V)) {
	for i := range m.shards {
		m.shards[i].drain(f)
	}
}

func (s *mapShard[K, V]) drain(f func(key K, value V)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, v := range s.m {
		f(k, v)
	}
	clear(s.m)
}

// Len returns the number of keys. Changes during the call may or may not be
// counted.
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
