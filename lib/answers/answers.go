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

const shards = 16

// overhead is the approximate memory of an answer besides its body and
// headers.
const overhead = unit.Bytes(256)

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
	keep   time.Duration
	seed   maphash.Seed
	shards [shards]part
}

type part struct {
	limit unit.Bytes
	keep  time.Duration

	mu    sync.Mutex
	bytes unit.Bytes
	kept  map[id.Request]*kept
	order []*kept // the oldest first; a replaced answer stays until its turn
}

type kept struct {
	key    id.Request
	answer Response
	size   unit.Bytes
	at     time.Time
}

// New returns an empty store.
func New(c Config) *Store {
	if c.Retention == 0 {
		c.Retention = DefaultRetention
	}
	s := &Store{keep: c.Retention, seed: maphash.MakeSeed()}
	for i := range s.shards {
		s.shards[i].keep = c.Retention
		s.shards[i].limit = c.MaxBytes / shards
		s.shards[i].kept = make(map[id.Request]*kept)
	}
	return s
}

// Retention returns how long an answer is kept at most.
func (s *Store) Retention() time.Duration { return s.keep }

// Put keeps an answer. An answer that is larger than a shard's bytes is not
// kept.
func (s *Store) Put(key id.Request, a Response, now time.Time) {
	p := s.part(key)
	k := &kept{key: key, answer: a, size: sizeOf(key, a), at: now}
	if k.size > p.limit {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.kept[key] = k
	p.order = append(p.order, k)
	p.bytes += k.size
	p.trim(now)
}

// Get returns the answer of a request, and whether it is kept.
func (s *Store) Get(key id.Request, now time.Time) (Response, bool) {
	p := s.part(key)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trim(now)
	k, ok := p.kept[key]
	if !ok {
		return Response{}, false
	}
	return k.answer, true
}

// Bytes returns the memory in use.
func (s *Store) Bytes() unit.Bytes {
	sum := unit.Bytes(0)
	for i := range s.shards {
		p := &s.shards[i]
		p.mu.Lock()
		sum += p.bytes
		p.mu.Unlock()
	}
	return sum
}

func (s *Store) part(key id.Request) *part {
	return &s.shards[maphash.String(s.seed, string(key))%shards]
}

// trim forgets answers that are too old or too many. The lock is held.
func (p *part) trim(now time.Time) {
	n := 0
	for ; n < len(p.order) && (p.bytes > p.limit || now.Sub(p.order[n].at) > p.keep); n++ {
		k := p.order[n]
		p.order[n] = nil
		p.bytes -= k.size
		if p.kept[k.key] == k {
			delete(p.kept, k.key)
		}
	}
	p.order = p.order[n:]
}

func sizeOf(key id.Request, a Response) unit.Bytes {
	size := overhead + unit.Bytes(len(key)+len(a.Body))
	for name, values := range a.Header {
		size += unit.Bytes(len(name))
		for _, v := range values {
			size += unit.Bytes(len(v))
		}
	}
	return size
}
