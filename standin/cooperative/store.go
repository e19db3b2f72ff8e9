// Package cooperative implements stand-ins for the cooperative platform: its
// metadata store, its workers and its VM interface, over the platform's HTTP
// interfaces. Tests inject faults, and the stand-ins check that the orders
// they receive keep the scheduler's guarantees.
package cooperative

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// Fault is how the store fails the calls of one node.
type Fault int

// The faults of the store.
const (
	// NoFault serves calls normally.
	NoFault Fault = iota
	// RejectCalls returns status 503 without applying the call.
	RejectCalls
	// DropCalls neither applies calls nor replies to them.
	DropCalls
	// DropReplies applies writes and sends no reply.
	DropReplies
	// DelayCalls serves calls after callDelay.
	DelayCalls
)

// callDelay is sixty times the store's usual response time.
const callDelay = 240 * time.Millisecond

type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     uint64 `json:"rev"`
	Created uint64 `json:"created,omitempty"`
	Lease   uint64 `json:"lease,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// Store is the metadata store. Its state is in memory.
type Store struct {
	mu           sync.Mutex
	rev          uint64
	items        map[string]item
	history      []item
	compactedRev uint64 // history up to this revision has been discarded
	leases       map[uint64]lease
	nextID       uint64
	changed      chan struct{}
	faults       map[string]Fault
	calls        int
	silentSince  time.Time // zero while the store serves
	silences     int       // the calls that a silence interrupts get no response
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{rev: 100, compactedRev: 100, items: make(map[string]item), leases: make(map[uint64]lease),
		changed: make(chan struct{}), faults: make(map[string]Fault)}
}

// SetFault sets the fault of all later calls of a node.
func (s *Store) SetFault(node string, f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[node] = f
}

// SetSilent starts or ends an outage in which the store executes no calls, responds to
// none, and leases do not run down.
func (s *Store) SetSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case silent == !s.silentSince.IsZero():
	case silent:
		s.silentSince = time.Now()
		s.silences++
	default:
		for id, l := range s.leases {
			l.expiresAt = l.expiresAt.Add(time.Since(s.silentSince))
			s.leases[id] = l
		}
		s.silentSince = time.Time{}
	}
}

// interrupted reports whether the store is silent, or has been since a call that arrived
// after a number of silences.
func (s *Store) interrupted(silences int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.silentSince.IsZero() || s.silences != silences
}

// Compact discards the history. Watches from an earlier revision then get
// status 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedRev = nil, s.rev
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Write sets a key to the JSON of value, as operators and workers do. A nil
// value removes the key.
func (s *Store) Write(key string, value any) {
	if value == nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.rev++
		s.remove(key)
		return
	}
	b, err := json.Marshal(value)
	if err != nil {
		panic(err) // unreachable: tests write only values that can be encoded
	}
	s.WriteBytes(key, b)
}

// WriteBytes sets a key to any bytes, as a writer outside the platform's rules does.
func (s *Store) WriteBytes(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.put(key, value, 0)
}

// put sets a key at the current revision. s.mu must be held.
func (s *Store) put(key string, value []byte, lease uint64) {
	i := item{Key: key, Value: value, Rev: s.rev, Created: s.rev, Lease: lease}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.record(i)
}

// remove removes a key at the current revision. s.mu must be held.
func (s *Store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.record(item{Key: key, Rev: s.rev, Deleted: true})
	}
}

func (s *Store) record(i item) {
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// expireLeases ends the leases that have expired, and removes their keys. s.mu
// must be held.
func (s *Store) expireLeases() {
	if !s.silentSince.IsZero() {
		return
	}
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expiresAt) {
			s.endLease(id)
		}
	}
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

// Handler returns the HTTP handler for the calls of one node, so that each node
// can have its own fault.
func (s *Store) Handler(node string) http.Handler {
	r := chi.NewRouter()
	r.Use(func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(node, next, w, r) })
	})
	r.Get("/kv-key", s.get)
	r.Get("/kv-range", s.list)
	r.Get("/kv-watch", s.watch)
	r.Post("/kv-txn", s.txn)
	r.Post("/kv-lease", s.grant)
	r.Post("/kv-keep/{id}", s.keepAlive)
	r.Delete("/kv-lease-end/{id}", s.revoke)
	return r
}

// discardWriter discards a response.
type discardWriter struct{ header http.Header }

func (w discardWriter) Header() http.Header         { return w.header }
func (w discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (w discardWriter) WriteHeader(int)             {}

func (s *Store) serve(node string, next http.Handler, w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	fault, silences := s.faults[node], s.silences
	s.expireLeases()
	s.mu.Unlock()
	switch {
	case fault == RejectCalls:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case fault == DropCalls:
		<-r.Context().Done()
		return
	case fault == DelayCalls:
		time.Sleep(callDelay)
	case fault == DropReplies && r.Method != http.MethodGet:
		next.ServeHTTP(discardWriter{http.Header{}}, r)
		<-r.Context().Done()
		return
	}
	if s.interrupted(silences) {
		_, _ = io.Copy(io.Discard, r.Body) // only then does the server notice that the client has gone
		<-r.Context().Done()
		return
	}
	next.ServeHTTP(w, r)
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the client may have disconnected
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	reply(w, http.StatusOK, i)
}

// maxPageItems and maxPageBytes bound a page of a range read. A page has at least one item.
const (
	maxPageItems = 500
	maxPageBytes = 1 << 20
)

// firstPage returns the items that fit into one page.
func firstPage(items []item) []item {
	size := 0
	for n, i := range items {
		if size += len(i.Key) + len(i.Value); n > 0 && size > maxPageBytes || n == maxPageItems {
			return items[:n]
		}
	}
	return items
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	var items []item
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	rev := s.rev
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	page := firstPage(items)
	reply(w, http.StatusOK, map[string]any{"items": page, "has_more": len(page) < len(items), "current_rev": rev})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	limit := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer limit.Stop()
	expiry := time.NewTicker(50 * time.Millisecond)
	defer expiry.Stop()
	s.mu.Lock()
	silences := s.silences
	s.mu.Unlock()
	for {
		if s.interrupted(silences) {
			<-r.Context().Done()
			return
		}
		s.mu.Lock()
		s.expireLeases()
		if after < s.compactedRev {
			s.mu.Unlock()
			reply(w, http.StatusGone, struct{}{})
			return
		}
		var events []item
		for _, i := range s.history {
			if i.Rev > after && strings.HasPrefix(i.Key, q.Get("prefix")) {
				events = append(events, i)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "current_rev": rev})
			return
		}
		select {
		case <-changed:
		case <-expiry.C:
		case <-limit.C:
			reply(w, http.StatusOK, map[string]any{"events": []item{}, "current_rev": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

type txnRequest struct {
	ExpectRev []struct {
		Key string `json:"key"`
		Rev uint64 `json:"rev"`
	} `json:"expect_rev"`
	Writes []item   `json:"writes"`
	Remove []string `json:"remove"`
}

// maxTxnEntries is the maximum number of conditions, writes and removals in a
// transaction, and maxValueBytes the maximum size of a value.
const (
	maxTxnEntries = 32
	maxValueBytes = 1 << 20
)

func (s *Store) txn(w http.ResponseWriter, r *http.Request) {
	var req txnRequest
	tooLarge := func(i item) bool { return len(i.Value) > maxValueBytes }
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil || len(req.ExpectRev)+len(req.Writes)+len(req.Remove) > maxTxnEntries ||
		slices.ContainsFunc(req.Writes, tooLarge) {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := []item{}
	failed := false
	for _, e := range req.ExpectRev {
		i, ok := s.items[e.Key]
		if ok {
			current = append(current, i)
		}
		failed = failed || i.Rev != e.Rev
	}
	if failed {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, i := range req.Writes {
		if _, ok := s.leases[i.Lease]; i.Lease != 0 && !ok {
			reply(w, http.StatusNotFound, struct{}{})
			return
		}
	}
	s.rev++
	for _, i := range req.Writes {
		s.put(i.Key, i.Value, i.Lease)
	}
	for _, key := range req.Remove {
		s.remove(key)
	}
	reply(w, http.StatusOK, map[string]any{"rev": s.rev})
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var req struct {
		TTL int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil || req.TTL <= 0 {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	ttl := time.Duration(req.TTL) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	s.leases[s.nextID] = lease{ttl, time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": s.nextID, "ttl_ms": req.TTL})
}

func (s *Store) keepAlive(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(chi.URLParam(r, "id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	l.expiresAt = time.Now().Add(l.ttl)
	s.leases[id] = l
	reply(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *Store) revoke(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(chi.URLParam(r, "id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	s.endLease(id)
	reply(w, http.StatusOK, struct{}{})
}
