package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the platform's store, from PROTOCOL.md and the settings in DEPLOY.md.
const (
	storeLatency  = 4 * time.Millisecond
	maxTxnEntries = 32
	maxValueBytes = 1 << 20
	maxPageItems  = 500
	maxPageBytes  = 1 << 20
)

type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     uint64 `json:"rev"`
	Created uint64 `json:"created,omitempty"`
	Lease   uint64 `json:"lease"`
	Deleted bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// store is the platform's metadata store. It keeps its whole history.
type store struct {
	mu      sync.Mutex
	rev     uint64
	items   map[string]item
	history []item
	leases  map[uint64]lease
	lastID  uint64
	changed chan struct{}
	// latency is the time that passes before a call is executed.
	latency time.Duration
	// onTxn is called, with the lock held, when a conditional write has been executed.
	onTxn func(entries int)
	// refused counts the conditional writes that were answered with 400.
	refused     int
	refusedText string
}

func newStore() *store {
	return &store{rev: 100, items: make(map[string]item), leases: make(map[uint64]lease), changed: make(chan struct{}), latency: storeLatency}
}

func (s *store) setLatency(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latency = d
}

func (s *store) setOnTxn(f func(entries int)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onTxn = f
}

func (s *store) read(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

// write sets a key as operators and minions do, or removes it if value is nil.
func (s *store) write(key string, value any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	if value == nil {
		s.remove(key)
		return
	}
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.put(item{Key: key, Value: b})
}

func (s *store) put(i item) {
	i.Rev, i.Created = s.rev, s.rev
	if old, ok := s.items[i.Key]; ok {
		i.Created = old.Created
	}
	s.items[i.Key] = i
	s.record(i)
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.record(item{Key: key, Rev: s.rev, Deleted: true})
	}
}

func (s *store) record(i item) {
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expiresAt) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.rev++
			s.remove(key)
		}
	}
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.get)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.txn)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.end)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		d := s.latency
		s.mu.Unlock()
		time.Sleep(d)
		s.mu.Lock()
		s.expire()
		s.mu.Unlock()
		mux.ServeHTTP(w, r)
	})
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		answer(w, http.StatusNotFound, struct{}{})
		return
	}
	answer(w, http.StatusOK, i)
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	rev := s.rev
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	n, size := 0, 0
	for n < len(items) && n < maxPageItems {
		if size += len(items[n].Key) + len(items[n].Value); n > 0 && size > maxPageBytes {
			break
		}
		n++
	}
	answer(w, http.StatusOK, map[string]any{"items": items[:n], "has_more": n < len(items), "current_rev": rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	limit := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer limit.Stop()
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for {
		s.mu.Lock()
		s.expire()
		events := []item{}
		first, _ := slices.BinarySearchFunc(s.history, after+1, func(i item, rev uint64) int { return int(i.Rev) - int(rev) })
		for _, i := range s.history[first:] {
			if strings.HasPrefix(i.Key, q.Get("prefix")) {
				events = append(events, i)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "current_rev": rev})
			return
		}
		select {
		case <-changed:
		case <-tick.C:
		case <-limit.C:
			answer(w, http.StatusOK, map[string]any{"events": events, "current_rev": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var req struct {
		ExpectRev []struct {
			Key string `json:"key"`
			Rev uint64 `json:"rev"`
		} `json:"expect_rev"`
		Writes []item   `json:"writes"`
		Remove []string `json:"remove"`
	}
	err := json.NewDecoder(r.Body).Decode(&req)
	s.mu.Lock()
	defer s.mu.Unlock()
	entries := len(req.ExpectRev) + len(req.Writes) + len(req.Remove)
	reason := ""
	if err != nil || entries > maxTxnEntries {
		reason = "malformed"
	}
	for _, i := range req.Writes {
		if len(i.Value) > maxValueBytes {
			reason = "value of " + i.Key + " has " + strconv.Itoa(len(i.Value)) + " bytes"
		}
	}
	if reason != "" {
		s.refused++
		s.refusedText = reason
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	current, failed := []item{}, false
	for _, e := range req.ExpectRev {
		i, ok := s.items[e.Key]
		if ok {
			current = append(current, i)
		}
		failed = failed || i.Rev != e.Rev
	}
	if failed {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, i := range req.Writes {
		if _, ok := s.leases[i.Lease]; i.Lease != 0 && !ok {
			answer(w, http.StatusNotFound, struct{}{})
			return
		}
	}
	s.rev++
	for _, i := range req.Writes {
		s.put(i)
	}
	for _, key := range req.Remove {
		s.remove(key)
	}
	if s.onTxn != nil {
		s.onTxn(entries)
	}
	answer(w, http.StatusOK, map[string]any{"rev": s.rev})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var req struct {
		TTL int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil || req.TTL <= 0 {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	ttl := time.Duration(req.TTL) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	s.leases[s.lastID] = lease{ttl, time.Now().Add(ttl)}
	answer(w, http.StatusOK, map[string]any{"lease": s.lastID, "ttl_ms": req.TTL})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		answer(w, http.StatusNotFound, struct{}{})
		return
	}
	l.expiresAt = time.Now().Add(l.ttl)
	s.leases[id] = l
	answer(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		answer(w, http.StatusNotFound, struct{}{})
		return
	}
	s.endLease(id)
	answer(w, http.StatusOK, struct{}{})
}
