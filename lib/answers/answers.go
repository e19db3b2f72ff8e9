// Package answers keeps whole answers for a stated time, so that a caller that
// lost its connection can fetch them. It is bounded by time and bytes, in
// shards that each have their own lock.
package answers

import (
	"hash/maphash"
	"net/http"
	"sync"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/unit"
)

// DefaultRetention is how long an answer is kept when the Config does not say.
const DefaultRetention = 10 * time.Minute

const shardCount = 16

// entryOverhead is the approximate memory of an answer besides its body and
// headers.
const entryOverhead = unit.Bytes(256)

// Response is a whole answer to a request.
type Response struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
}

// Config configures a Store.
type Config struct {
	// MaxBytes bounds the memory of all answers.
	MaxBytes unit.Bytes
	// Retention is how long an answer is kept at most; DefaultRetention when zero.
	Retention time.Duration
}

// Store keeps answers. When the bytes are used up it forgets the oldest.
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
	order   []*entry // the oldest first; a replaced answer stays until its turn
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

// Retention returns how long an answer is kept at most.
func (s *Store) Retention() time.Duration { return s.retention }

// Put keeps an answer. An answer that is larger than a shard's bytes is not
// kept.
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

// Get returns the answer of a request, and whether it is kept.
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

// Bytes returns the memory in use.
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

// evict forgets answers that are too old or too many. The lock is held.
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
