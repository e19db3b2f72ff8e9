// Package caller serves callers. A request passes through the stages
// authenticate, receive, limit, identify, route, forward, verify and reply;
// the HTTP front end only translates between HTTP and the types of this
// package.
package caller

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"bronzewinch.dev/lib/answers"
	"bronzewinch.dev/lib/backend"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/once"
	"bronzewinch.dev/lib/outcome"
	"bronzewinch.dev/lib/pipe"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/route"
	"bronzewinch.dev/lib/timer"
	"bronzewinch.dev/lib/unit"

	"github.com/VictoriaMetrics/metrics"
)

// ConfigSource gives the configuration in force.
type ConfigSource interface {
	Current() *record.Set
}

// PositionSource gives this node's position among the live entry nodes.
type PositionSource interface {
	Position() route.Position
}

// Backends tells which backend servers are leaving or gone, by the VM list.
type Backends interface {
	Leaving(id.Backend) bool
}

// Deduplicator reaches the owner of the request shard of an id. Keys are scoped by
// account. An implementation that is certain that the key did not run and that
// this run is not allowed returns the status once.Refused. Conflict and
// Invalid errors of Begin are about this submission and are told as notRun. A
// NotOwner error means that no owner was found. After any other error Lookup
// decides whether an earlier submission of the key may have run.
type Deduplicator interface {
	Begin(ctx context.Context, key id.Request, f once.Fingerprint, longest time.Duration) (once.Result, error)
	Finish(ctx context.Context, key id.Request, run once.RunNumber, o outcome.Outcome, node id.Node) error
	// Lookup returns false when the owner has no run of the key.
	Lookup(ctx context.Context, key id.Request) (once.Result, bool, error)
}

// ResponseStore keeps answers on this node, and fetches them from any node. The
// node that keeps the answer may be given as a hint, and is empty otherwise.
// A key without a kept answer gives a NotFound error.
type ResponseStore interface {
	Keep(key id.Request, a answers.Response)
	Fetch(ctx context.Context, key id.Request, hint id.Node) (answers.Response, error)
}

// Sender makes one attempt of one request.
type Sender interface {
	Do(ctx context.Context, address string, r *backend.Request) backend.Result
}

// Observer is told how each request of a known account ended. The kind is that
// of the error, empty for a whole answer.
type Observer interface {
	RequestEnded(account id.Account, request id.Request, kind problem.Kind, took time.Duration)
}

// Config configures a Front.
type Config struct {
	Node           id.Node
	Zone           id.Zone
	ConfigSource   ConfigSource
	PositionSource PositionSource
	Backends       Backends
	Deduplicator   Deduplicator
	Responses      ResponseStore
	Sender         Sender
	Clock          timer.Service
	Metrics        *metrics.Set
	// Ready returns why this node has no configuration yet, or nil. It may be
	// nil for a node that always has one.
	Ready func() error
	// Observer may be nil.
	Observer Observer
	// MaxQueue is the greatest number of waiting requests of a service, and
	// MaxAccountQueue of one account.
	MaxQueue, MaxAccountQueue int
	// MaxBodyBytes bounds the memory of all request bodies in progress.
	MaxBodyBytes unit.Bytes
	// Retention is how long answers are kept. It is shown to callers.
	Retention time.Duration
	// ServerLimits bounds the HTTP front end.
	ServerLimits ServerLimits
}

// Token is a bearer token as presented. It is never logged.
type Token string

// Request is one request of a caller, decoded.
type Request struct {
	Token   Token
	Service id.Service
	// ID is the caller's id, empty when it gave none.
	ID id.Request
	// AtMostOnce asks that the id runs at most once.
	AtMostOnce bool
	// Idempotent allows another attempt after one that may have run.
	Idempotent bool
	Arrived    time.Time
	// Timeout is the time the caller gives, zero for the service's.
	Timeout time.Duration
	Method  string
	Target  string
	Header  http.Header
	// BodySize is the announced size of the body, or -1.
	BodySize unit.Bytes
	// ReadBody reads the body up to a limit.
	ReadBody func(limit unit.Bytes) ([]byte, error)
}

// Reply is what a caller is told.
type Reply struct {
	Outcome  outcome.Outcome
	Response answers.Response
	Key      id.Request
}

// Frontend is the request path of one entry node.
type Frontend struct {
	config   Config
	services atomic.Pointer[services]
	tokens   atomic.Pointer[tokenIndex]
	path     pipe.Filter[*Request, Reply]
	counts   counts
	inFlight inFlight
	refresh  *refresher
}

// New returns a front with the records in force, and starts the goroutine that
// follows changes.
func New(c Config) *Frontend {
	c.ServerLimits = c.ServerLimits.withDefaults()
	if c.Retention == 0 {
		c.Retention = answers.DefaultRetention
	}
	f := &Frontend{config: c, counts: newCounts(c.Metrics)}
	f.inFlight.init()
	f.services.Store(&services{})
	f.path = f.stages()
	f.refresh = newRefresher(f, c.Clock)
	return f
}

// Close stops following changes. Requests in progress go on.
func (f *Frontend) Close() { f.refresh.close() }

// stages joins the stages of the request path.
func (f *Frontend) stages() pipe.Filter[*Request, Reply] {
	metricSet := f.config.Metrics
	attempt := pipe.Then(
		pipe.Named(metricSet, "route", &router{f}),
		pipe.Then(
			pipe.Named(metricSet, "forward", &forwarder{f.config.Sender, f.config.Clock}),
			pipe.Named(metricSet, "verify", &verifier{f.config.Clock})))
	admitted := pipe.Then(
		pipe.Named(metricSet, "identify", &deduplicator{f}),
		pipe.Then(
			pipe.Filter[identified, completed](&retrier{f, attempt}),
			pipe.Named(metricSet, "reply", &replier{f})))
	received := pipe.Filter[received, Reply](&limiter{f, admitted})
	return pipe.Then(
		pipe.Named(metricSet, "authenticate", &authenticator{f}),
		pipe.Filter[authenticated, Reply](&receiver{f, received}))
}

// Serve passes one request through all stages.
func (f *Frontend) Serve(ctx context.Context, r *Request) (Reply, error) {
	f.inFlight.start()
	defer f.inFlight.end()
	reply, err := f.path.Process(ctx, r)
	f.counts.record(reply, err)
	f.observe(r, err)
	return reply, err
}

// observe tells the observer of a request that has ended.
func (f *Frontend) observe(r *Request, err error) {
	if f.config.Observer == nil {
		return
	}
	if a, ok := f.account(r.Token); ok {
		f.config.Observer.RequestEnded(a.Name, r.ID, problem.KindOf(err), f.config.Clock.Now().Sub(r.Arrived))
	}
}
