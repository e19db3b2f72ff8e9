package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// valueBytes is value_bytes of the settings.
const valueBytes = 1 << 20

const (
	storeAnswerTime = 4 * time.Millisecond // of a sound store
	pageItems       = 500
	pageBytes       = 1 << 20
	maxTxnEntries   = 32
)

type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     uint64 `json:"rev"`
	Created uint64 `json:"created,omitempty"`
	Lease   uint64 `json:"lease,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl, left time.Duration // left runs down only while the store is up
}

// Store is a stand-in for the platform's metadata store. While it is silent it
// executes nothing and answers nothing, not even calls that it received before, and
// leases pause. Connections stay open.
type Store struct {
	mu       sync.Mutex
	rev      uint64
	items    map[string]item
	history  []item
	leases   map[uint64]lease
	nextID   uint64
	changed  chan struct{}
	answer   time.Duration
	silent   bool
	outages  int // counts the silences, so that a call that spans one gets no answer
	writer   string
	rejected int // transactions with a value that is too large
}

func newStore() *Store {
	s := &Store{rev: 100, items: map[string]item{}, leases: map[uint64]lease{}, changed: make(chan struct{}), answer: storeAnswerTime}
	go func() {
		const step = 20 * time.Millisecond
		last := time.Now()
		for now := range time.Tick(step) {
			s.mu.Lock()
			passed := now.Sub(last)
			last = now
			if !s.silent {
				for id, l := range s.leases {
					if l.left -= passed; l.left <= 0 {
						s.endLease(id)
						continue
					}
					s.leases[id] = l
				}
			}
			s.mu.Unlock()
		}
	}()
	return s
}

// SetAnswerTime sets how long the store takes for an answer.
func (s *Store) SetAnswerTime(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer = d
}

// SetSilent starts or ends a silence.
func (s *Store) SetSilent(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = on
	if on {
		s.outages++
	}
}

// Writer returns the node that last wrote under a condition.
func (s *Store) Writer() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writer
}

// Rejected returns the number of transactions with a value that is too large.
func (s *Store) Rejected() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rejected
}

// Write writes a key as the operator and the workers do.
func (s *Store) Write(key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.put(key, b, 0)
}

// Remove removes a key as the platform does.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.remove(key)
}

func (s *Store) put(key string, value []byte, lease uint64) {
	i := item{Key: key, Value: value, Rev: s.rev, Created: s.rev, Lease: lease}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.record(i)
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.record(item{Key: key, Rev: s.rev, Deleted: true})
	}
}

// record keeps the history of the keys that are watched; the records of jobs are large.
func (s *Store) record(i item) {
	if strings.HasPrefix(i.Key, "bronzewinch/job/") || strings.HasPrefix(i.Key, "bronzewinch/progress/") {
		return
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) endLease(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.rev++
			s.remove(key)
		}
	}
}

// Handler serves the calls of one node.
func (s *Store) Handler(node string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.get)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", func(w http.ResponseWriter, r *http.Request) { s.txn(w, r, node) })
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.end)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		answer, outages := s.answer, s.outages
		s.mu.Unlock()
		time.Sleep(answer / 2)
		if s.lost(outages) {
			<-r.Context().Done()
			return
		}
		mux.ServeHTTP(&lateWriter{ResponseWriter: w, store: s, request: r, outages: outages, delay: answer / 2}, r)
	})
}

// lost reports whether the store is silent, or was since a call arrived.
func (s *Store) lost(outages int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent || s.outages != outages
}

// lateWriter sends an answer after a delay, or not at all after a silence.
type lateWriter struct {
	http.ResponseWriter
	store   *Store
	request *http.Request
	outages int
	delay   time.Duration
}

func reply(w http.ResponseWriter, status int, body any) {
	if l, ok := w.(*lateWriter); ok {
		time.Sleep(l.delay)
		if l.store.lost(l.outages) {
			<-l.request.Context().Done()
			return
		}
	}
	b, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		reply(w, 404, struct{}{})
		return
	}
	reply(w, 200, i)
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
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
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	n, size := 0, 0
	for n < len(items) && n < pageItems && (n == 0 || size+len(items[n].Value) <= pageBytes) {
		size += len(items[n].Value)
		n++
	}
	reply(w, 200, map[string]any{"items": items[:n], "has_more": n < len(items), "current_rev": rev})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	limit := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Rev > after && strings.HasPrefix(i.Key, q.Get("prefix")) {
				events = append(events, i)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, 200, map[string]any{"events": events, "current_rev": rev})
			return
		}
		select {
		case <-changed:
		case <-limit:
			reply(w, 200, map[string]any{"events": events, "current_rev": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) txn(w http.ResponseWriter, r *http.Request, node string) {
	var req struct {
		ExpectRev []item   `json:"expect_rev"`
		Writes    []item   `json:"writes"`
		Remove    []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&req) != nil || len(req.ExpectRev)+len(req.Writes)+len(req.Remove) > maxTxnEntries {
		reply(w, 400, struct{}{})
		return
	}
	status, body := s.apply(req.ExpectRev, req.Writes, req.Remove, node)
	reply(w, status, body)
}

func (s *Store) apply(expect, writes []item, remove []string, node string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range writes {
		if len(i.Value) > valueBytes {
			s.rejected++
			logf("store: transaction of %s rejected with 400: the value of %s has %d bytes, value_bytes is %d", node, i.Key, len(i.Value), valueBytes)
			return 400, struct{}{}
		}
	}
	current, failed := []item{}, false
	for _, e := range expect {
		i, ok := s.items[e.Key]
		if ok {
			current = append(current, i)
		}
		failed = failed || i.Rev != e.Rev
	}
	if failed {
		return 412, map[string]any{"items": current}
	}
	for _, i := range writes {
		if _, ok := s.leases[i.Lease]; i.Lease != 0 && !ok {
			return 404, struct{}{}
		}
	}
	if len(expect) > 0 {
		s.writer = node
	}
	s.rev++
	for _, i := range writes {
		s.put(i.Key, i.Value, i.Lease)
	}
	for _, key := range remove {
		s.remove(key)
	}
	return 200, map[string]any{"rev": s.rev}
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var req struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&req) != nil || req.TTL < 1000 {
		reply(w, 400, struct{}{})
		return
	}
	s.mu.Lock()
	s.nextID++
	id, ttl := s.nextID, time.Duration(req.TTL)*time.Millisecond
	s.leases[id] = lease{ttl, ttl}
	s.mu.Unlock()
	reply(w, 200, map[string]any{"lease": id, "ttl_ms": req.TTL})
}

func (s *Store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	l, ok := s.leases[id]
	if ok {
		l.left = l.ttl
		s.leases[id] = l
	}
	s.mu.Unlock()
	if !ok {
		reply(w, 404, struct{}{})
		return
	}
	reply(w, 200, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *Store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	_, ok := s.leases[id]
	if ok {
		s.endLease(id)
	}
	s.mu.Unlock()
	if !ok {
		reply(w, 404, struct{}{})
		return
	}
	reply(w, 200, struct{}{})
}
