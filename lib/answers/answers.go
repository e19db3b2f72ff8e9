// Package answers stores complete responses for a limited time, so that a
// caller that lost its connection can fetch them. The store is bounded in time
// and bytes, and divided into shards, each with its own lock.
package answers

import (
	"hash/maphash"
	"net/http"
	"sync"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/unit"
)

// DefaultRetention is the retention time if the Config does not set one.
const DefaultRetention = 10 * time.Minute

const shardCount = 16

// entryOverhead is the approximate memory of an entry in bytes, besides its
// key, body and headers.
const entryOverhead = unit.Bytes(256)

// Response is a complete response to a request.
type Response struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
}

// Config configures a Store.
type Config struct {
	// MaxBytes bounds the memory of all responses.
	MaxBytes unit.Bytes
	// Retention is the maximum time for which a response is stored, or zero for
	// DefaultRetention.
	Retention time.Duration
}

// Store stores responses. When MaxBytes is reached, it evicts the oldest.
type Store struct {
	retention time.Duration
	seed      maphash.Seed
	shards    [shardCount]shard
}

type shard struct {
	maxBytes  unit.Bytes
	retention time.Duration

	mu      sync.Mutex
	bytes   unit.Bytes
	entries map[id.Request]*entry
	order   []*entry // oldest first, including replaced entries
}

type entry struct {
	key      id.Request
	response Response
	size     unit.Bytes
	storedAt time.Time
}

// New returns an empty store.
func New(c Config) *Store {
	if c.Retention == 0 {
		c.Retention = DefaultRetention
	}
	s := &Store{retention: c.Retention, seed: maphash.MakeSeed()}
	for i := range s.shards {
		s.shards[i].retention = c.Retention
		s.shards[i].maxBytes = c.MaxBytes / shardCount
		s.shards[i].entries = make(map[id.Request]*entry)
	}
	return s
}

// Retention returns the maximum time for which a response is stored.
func (s *Store) Retention() time.Duration { return s.retention }

// Put stores a response. A response that is larger than the bytes of one shard
// is not stored.
func (s *Store) Put(key id.Request, r Response, now time.Time) {
	sh := s.shardFor(key)
	e := &entry{key: key, response: r, size: sizeOf(key, r), storedAt: now}
	if e.size > sh.maxBytes {
		return
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.entries[key] = e
	sh.order = append(sh.order, e)
	sh.bytes += e.size
	sh.evict(now)
}

// Get returns the response to a request, and whether it is stored.
func (s *Store) Get(key id.Request, now time.Time) (Response, bool) {
	sh := s.shardFor(key)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.evict(now)
	e, ok := sh.entries[key]
	if !ok {
		return Response{}, false
	}
	return e.response, true
}

// Bytes returns the approximate memory of the stored responses.
func (s *Store) Bytes() unit.Bytes {
	total := unit.Bytes(0)
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.Lock()
		total += sh.bytes
		sh.mu.Unlock()
	}
	return total
}

func (s *Store) shardFor(key id.Request) *shard {
	return &s.shards[maphash.String(s.seed, string(key))%shardCount]
}

// evict removes the oldest entries while they are past their retention or
// exceed the bytes of the shard. The caller must hold sh.mu.
func (sh *shard) evict(now time.Time) {
	n := 0
	for ; n < len(sh.order) && (sh.bytes > sh.maxBytes || now.Sub(sh.order[n].storedAt) > sh.retention); n++ {
		e := sh.order[n]
		sh.order[n] = nil
		sh.bytes -= e.size
		if sh.entries[e.key] == e {
			delete(sh.entries, e.key)
		}
	}
	sh.order = sh.order[n:]
}

func sizeOf(key id.Request, r Response) unit.Bytes {
	size := entryOverhead + unit.Bytes(len(key)+len(r.Body))
	for name, values := range r.Header {
		size += unit.Bytes(len(name))
		for _, v := range values {
			size += unit.Bytes(len(v))
		}
	}
	return size
}
