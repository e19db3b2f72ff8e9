package caller_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"bronzewinch.dev/lib/answers"
	"bronzewinch.dev/lib/backend"
	"bronzewinch.dev/lib/caller"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/once"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/requestshard"
	"bronzewinch.dev/lib/timer"
	"bronzewinch.dev/lib/unit"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
)

type staticConfig struct{ set *record.Set }

func (c staticConfig) Current() *record.Set { return c.set }

type leavingBackends struct{ sync.Map }

func (l *leavingBackends) Leaving(b id.Backend) bool { _, ok := l.Load(b); return ok }

// memoryJournal is an in-memory journal that can be made to fail.
type memoryJournal struct {
	mu    sync.Mutex
	items [][]byte
	err   error
}

func (j *memoryJournal) Append(_ context.Context, items ...[]byte) (id.Seq, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.err != nil {
		return 0, j.err
	}
	j.items = append(j.items, items...)
	return id.Seq(len(j.items)), nil
}

func (j *memoryJournal) fail(err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.err = err
}

type alwaysOwner struct{}

func (alwaysOwner) Check() error    { return nil }
func (alwaysOwner) Epoch() id.Epoch { return 1 }

// lossyDeduplicator loses calls to the owner or the replies to them.
type lossyDeduplicator struct {
	*caller.LocalDeduplicator
	beginLost, beginReplyLost, lookupLost atomic.Bool
}

var errLost = problem.New(problem.Unknown, problem.Detail{Remedy: "retry later"})

// Begin implements caller.Deduplicator.
func (l *lossyDeduplicator) Begin(ctx context.Context, key id.Request, f once.Fingerprint, longest time.Duration) (once.Result, error) {
	if l.beginLost.Load() {
		return once.Result{}, errLost
	}
	result, err := l.LocalDeduplicator.Begin(ctx, key, f, longest)
	if l.beginReplyLost.Load() {
		return once.Result{}, errLost
	}
	return result, err
}

// Lookup implements caller.Deduplicator.
func (l *lossyDeduplicator) Lookup(ctx context.Context, key id.Request) (once.Result, bool, error) {
	if l.lookupLost.Load() {
		return once.Result{}, false, errLost
	}
	return l.LocalDeduplicator.Lookup(ctx, key)
}

// fixture is an entry node with its backend servers.
type fixture struct {
	frontend *caller.Frontend
	url      string
	journal  *memoryJournal
	dedup    *lossyDeduplicator
	leaving  *leavingBackends
	client   *http.Client
}

func hash(token string) record.TokenHash {
	h := sha256.Sum256([]byte(token))
	return record.TokenHash(hex.EncodeToString(h[:]))
}

func start(t *testing.T, handlers ...http.HandlerFunc) *fixture {
	return startLimited(t, caller.ServerLimits{}, 0, handlers...)
}

func startLimited(t *testing.T, limits caller.ServerLimits, retention time.Duration, handlers ...http.HandlerFunc) *fixture {
	t.Helper()
	set := record.NewSet()
	s := record.Service{Name: "skymap", Slots: 8, Connections: 64, Timeout: 5 * time.Second,
		MaxRequest: 64 * unit.KiB, MaxResponse: 64 * unit.KiB}
	for i, h := range handlers {
		server := httptest.NewServer(h)
		t.Cleanup(server.Close)
		s.Backends = append(s.Backends, record.Backend{Name: id.Backend(fmt.Sprintf("b%d", i)),
			Address: strings.TrimPrefix(server.URL, "http://"), Zone: "entoto"})
	}
	set.Services["skymap"] = s
	set.Accounts["school"] = record.Account{Name: "school", Tokens: []record.TokenHash{hash("secret")}, Weight: 1}
	set.Accounts["city"] = record.Account{Name: "city", Tokens: []record.TokenHash{hash("other")}, Weight: 1}
	clock := timer.NewSystem()
	f := &fixture{journal: &memoryJournal{}, leaving: &leavingBackends{}}
	local := new(caller.LocalDeduplicator)
	for i := range local {
		shard, err := requestshard.Open(requestshard.Config{Journal: f.journal, Term: alwaysOwner{}, Clock: clock, Limit: 1000})
		if err != nil {
			t.Fatal(err)
		}
		local[i] = shard
	}
	f.dedup = &lossyDeduplicator{LocalDeduplicator: local}
	sender := backend.New(backend.Config{Clock: clock})
	f.frontend = caller.New(caller.Config{
		Node: "n1", Zone: "entoto", ConfigSource: staticConfig{set}, PositionSource: caller.SingleNode{}, Backends: f.leaving, Deduplicator: f.dedup,
		Responses: caller.LocalResponseStore{Store: answers.New(answers.Config{MaxBytes: unit.MiB, Retention: retention}), Clock: clock},
		Retention: retention, ServerLimits: limits,
		Sender: sender, Clock: clock, Metrics: metrics.NewSet(), MaxQueue: 100, MaxAccountQueue: 100, MaxBodyBytes: unit.MiB,
	})
	server := httptest.NewUnstartedServer(nil)
	server.Config = caller.NewServer(f.frontend)
	server.Start()
	f.url, f.client = server.URL, server.Client()
	t.Cleanup(func() { server.Close(); f.frontend.Close(); sender.Close() })
	return f
}

func echo(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	for _, name := range []string{backend.HeaderRequestID, backend.HeaderAttempt} {
		w.Header().Set(name, r.Header.Get(name))
	}
	fmt.Fprintf(w, "%s %s %s", r.Method, r.URL.RequestURI(), body)
}

func reset(w http.ResponseWriter, r *http.Request) {
	_, _ = io.ReadAll(r.Body)
	conn, _, _ := http.NewResponseController(w).Hijack()
	conn.Close()
}

func busy(w http.ResponseWriter, r *http.Request) {
	for _, name := range []string{backend.HeaderRequestID, backend.HeaderAttempt} {
		w.Header().Set(name, r.Header.Get(name))
	}
	w.Header().Set(backend.HeaderOutcome, "notRun")
	w.WriteHeader(http.StatusServiceUnavailable)
}

type response struct {
	status  int
	outcome string
	body    string
	header  http.Header
}

func (f *fixture) send(t *testing.T, method, path, body string, header ...string) response {
	t.Helper()
	r, err := http.NewRequest(method, f.url+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer secret")
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	got, err := f.client.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer got.Body.Close()
	b, err := io.ReadAll(got.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response{got.StatusCode, got.Header.Get(backend.HeaderOutcome), string(b), got.Header}
}

const path = "/v1/services/skymap/maps/a%2Fb?zoom=3"

// TestResponseUnchanged guards against changes of the path, the body or the
// response while a request is forwarded.
func TestResponseUnchanged(t *testing.T) {
	is := is.New(t)
	f := start(t, echo)
	got := f.send(t, "POST", path, "night")
	is.Equal(got.status, 200)
	is.Equal(got.outcome, "done")
	is.Equal(got.body, "POST /maps/a%2Fb?zoom=3 night")
}

// TestOutcomes guards against reporting a wrong status, outcome or error kind to a
// caller, in particular notRun for a request that may have run.
func TestOutcomes(t *testing.T) {
	atMostOnce := []string{caller.HeaderIdempotent, "false", backend.HeaderRequestID, "r-1"}
	idempotent := []string{caller.HeaderIdempotent, "true"}
	for name, c := range map[string]struct {
		backends []http.HandlerFunc
		path     string
		header   []string
		status   int
		outcome  string
		kind     problem.Kind
	}{
		"lost, not retried":      {[]http.HandlerFunc{reset, reset}, path, atMostOnce, 502, "unknown", problem.Unknown},
		"lost, retries fail too": {[]http.HandlerFunc{reset, reset}, path, idempotent, 502, "unknown", problem.Unknown},
		"lost, then completed":   {[]http.HandlerFunc{reset, echo}, path, idempotent, 200, "done", ""},
		"busy, then completed":   {[]http.HandlerFunc{busy, echo}, path, atMostOnce, 200, "done", ""},
		"busy everywhere":        {[]http.HandlerFunc{busy, busy}, path, atMostOnce, 429, "notRun", problem.Overloaded},
		"no backend":             {nil, path, atMostOnce, 503, "notRun", problem.Unavailable},
		"no such service":        {nil, "/v1/services/x/y", nil, 404, "notRun", problem.NotFound},
		"wrong token":            {nil, path, []string{"Authorization", "Bearer guess"}, 401, "notRun", problem.Unauthenticated},
		"no id":                  {nil, path, atMostOnce[:2], 400, "notRun", problem.Invalid},
		"bad id":                 {nil, path, []string{backend.HeaderRequestID, "a/b"}, 400, "notRun", problem.Invalid},
		"bad deadline":           {nil, path, []string{backend.HeaderDeadline, "0"}, 400, "notRun", problem.Invalid},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := start(t, c.backends...)
			got := f.send(t, "POST", c.path, "x", append([]string{backend.HeaderDeadline, "500"}, c.header...)...)
			is.Equal(got.status, c.status)
			is.Equal(got.outcome, c.outcome)
			if c.kind == "" {
				return
			}
			var reply struct {
				Outcome, Kind, Remedy string
			}
			is.NoErr(json.Unmarshal([]byte(got.body), &reply))
			is.Equal(reply.Outcome, c.outcome)
			is.Equal(reply.Kind, string(c.kind))
			is.True(reply.Remedy != "")
		})
	}
}

// TestAtMostOnce guards against running a duplicate again, accepting an id that
// was used for another request, and returning a response to another account.
func TestAtMostOnce(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	f := start(t, func(w http.ResponseWriter, r *http.Request) { runs.Add(1); echo(w, r) })
	header := []string{caller.HeaderIdempotent, "false", backend.HeaderRequestID, "pay-7"}
	first := f.send(t, "POST", path, "x", header...)
	second := f.send(t, "POST", path, "x", header...)
	is.Equal(first.outcome, "done")
	is.Equal(second.body, first.body)
	is.Equal(runs.Load(), int64(1))
	other := f.send(t, "POST", path, "y", header...)
	is.Equal(other.status, 409)
	is.Equal(other.outcome, "notRun")
	is.Equal(f.send(t, "GET", "/v1/requests/pay-7", "").body, first.body)
	hidden := f.send(t, "GET", "/v1/requests/pay-7", "", "Authorization", "Bearer other")
	is.Equal(hidden.status, 404)
}

// TestJournalDown guards against running a request that is not idempotent without
// a durable entry in the journal, and against rejecting an idempotent request
// during an outage of the journal.
func TestJournalDown(t *testing.T) {
	is := is.New(t)
	f := start(t, echo)
	header := []string{caller.HeaderIdempotent, "false", backend.HeaderRequestID, "r"}
	for _, kind := range []problem.Kind{problem.Unavailable, problem.Unknown, problem.Fenced} {
		f.journal.fail(problem.New(kind, problem.Detail{Remedy: "wait"}))
		is.Equal(f.send(t, "POST", path, "x", header...).outcome, "notRun")
	}
	is.Equal(f.send(t, "POST", path, "x", caller.HeaderIdempotent, "true").outcome, "done")
	f.journal.fail(nil)
	is.Equal(f.send(t, "POST", path, "x", header...).outcome, "done")
}

// TestOwnerUnreachable guards against wrong outcomes if calls to the owner of the
// request shard are lost: unknown although a lookup shows that no submission ran,
// and notRun although one may have run or the lookup fails too.
func TestOwnerUnreachable(t *testing.T) {
	is := is.New(t)
	f := start(t, echo)
	send := func(key string) response {
		return f.send(t, "POST", path, "x", caller.HeaderIdempotent, "false", backend.HeaderRequestID, key)
	}
	is.Equal(send("ran").outcome, "done")
	f.dedup.beginLost.Store(true)
	is.Equal(send("new").outcome, "notRun")
	is.Equal(send("ran").outcome, "unknown")
	f.dedup.lookupLost.Store(true)
	is.Equal(send("new").outcome, "unknown") // another node may have forwarded it
	f.dedup.beginLost.Store(false)
	f.dedup.lookupLost.Store(false)
	is.Equal(send("new").outcome, "done")
	f.dedup.beginReplyLost.Store(true)
	is.Equal(send("allowed").outcome, "unknown")
}

// TestLeavingBackend guards against forwarding requests to a backend server that is
// leaving.
func TestLeavingBackend(t *testing.T) {
	is := is.New(t)
	var a, b atomic.Int64
	f := start(t,
		func(w http.ResponseWriter, r *http.Request) { a.Add(1); echo(w, r) },
		func(w http.ResponseWriter, r *http.Request) { b.Add(1); echo(w, r) })
	f.leaving.Store(id.Backend("b0"), true)
	f.frontend.Refresh()
	for range 20 {
		is.Equal(f.send(t, "GET", path, "").outcome, "done")
	}
	is.Equal(a.Load(), int64(0))
	is.Equal(b.Load(), int64(20))
}

// TestBounds guards against requests that use unlimited memory: a large body, a
// body of unknown size, large headers or many headers.
func TestBounds(t *testing.T) {
	is := is.New(t)
	f := start(t, echo)
	large := strings.Repeat("x", 65<<10)
	got := f.send(t, "POST", path, large)
	is.Equal(got.status, 400)
	is.Equal(got.outcome, "notRun")
	is.Equal(f.send(t, "POST", path, "x", "Large", strings.Repeat("x", 30<<10)).status, 431)
	var many []string
	for i := range 70 {
		many = append(many, fmt.Sprintf("H-%d", i), "x")
	}
	is.Equal(f.send(t, "POST", path, "x", many...).status, 400)
	r, err := http.NewRequest("POST", f.url+path, io.MultiReader(strings.NewReader(large)))
	is.NoErr(err)
	r.Header.Set("Authorization", "Bearer secret")
	chunked, err := f.client.Do(r)
	is.NoErr(err)
	chunked.Body.Close()
	is.Equal(chunked.StatusCode, 400)
}

// TestHeaders guards against forwarding the token or an internal header to a
// backend server or a caller, and against dropping headers of the application.
func TestHeaders(t *testing.T) {
	is := is.New(t)
	seen := make(chan http.Header, 1)
	f := start(t, func(w http.ResponseWriter, r *http.Request) {
		seen <- r.Header.Clone()
		w.Header().Set("Etag", "e1")
		w.Header().Set("Bronzewinch-Load", "3")
		echo(w, r)
	})
	got := f.send(t, "POST", path, "x", "Accept-Language", "am", "Connection", "X-Hop", "X-Hop", "1",
		caller.HeaderIdempotent, "true", backend.HeaderDeadline, "700")
	h := <-seen
	is.Equal(h.Get("Accept-Language"), "am")
	is.Equal(h.Get("Authorization")+h.Get("X-Hop")+h.Get(caller.HeaderIdempotent), "")
	is.True(h.Get(backend.HeaderDeadline) != "")
	is.Equal(got.header.Get("Etag"), "e1")
	is.Equal(got.header.Get("Bronzewinch-Load"), "")
}

// TestDrain guards against a planned stop that interrupts a request in progress.
func TestDrain(t *testing.T) {
	is := is.New(t)
	started, release := make(chan struct{}), make(chan struct{})
	f := start(t, func(w http.ResponseWriter, r *http.Request) { close(started); <-release; echo(w, r) })
	result := make(chan response, 1)
	go func() { result <- f.send(t, "GET", path, "") }()
	<-started
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.True(f.frontend.Drain(ctx) != nil) // one request is in progress
	is.Equal(f.send(t, "GET", "/readyz", "").status, 503)
	close(release)
	is.NoErr(f.frontend.Drain(context.Background()))
	is.Equal((<-result).outcome, "done")
}

// FuzzHeaders guards against header values that crash the node or that are
// accepted although they exceed the documented limits.
func FuzzHeaders(f *testing.F) {
	f.Add("pay-7", "250")
	f.Add("a/b", "-1")
	f.Add("~x", "99999999999999999999")
	f.Fuzz(func(t *testing.T, request, deadline string) {
		if got, err := caller.ParseID(request); err == nil && (len(got) > 128 || strings.ContainsAny(string(got), "/~ \r\n")) {
			t.Fatalf("accepted the id %q", got)
		}
		if d, err := caller.ParseDeadline(deadline); err == nil && (d < 0 || d > 24*time.Hour) {
			t.Fatalf("accepted the deadline %v", d)
		}
	})
}
