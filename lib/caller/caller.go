// Package caller serves the requests of callers. A request passes through the
// stages authenticate, receive, limit, identify, route, forward, verify and
// reply. The HTTP handlers only translate between HTTP and the types of this
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

// ConfigSource provides the configuration in force.
type ConfigSource interface {
	Current() *record.Set
}

// PositionSource provides the position of this node among the live entry nodes.
type PositionSource interface {
	Position() route.Position
}

// Backends reports which backend servers are leaving or have left according to
// the VM list.
type Backends interface {
	Leaving(id.Backend) bool
}

// Deduplicator calls the owner of the request shard of a key. Keys contain the
// account. If it is certain that the key did not run and that this run is not
// allowed, an implementation returns the status once.Refused. Conflict and
// Invalid errors of Begin concern this submission and are reported to the caller
// as notRun. A NotOwner error means that no owner was found. After any other
// error, Lookup determines whether an earlier submission of the key may have run.
type Deduplicator interface {
	Begin(ctx context.Context, key id.Request, f once.Fingerprint, longest time.Duration) (once.Result, error)
	Finish(ctx context.Context, key id.Request, run once.RunNumber, o outcome.Outcome, node id.Node) error
	// Lookup returns false if the owner has no run of the key.
	Lookup(ctx context.Context, key id.Request) (once.Result, bool, error)
}

// ResponseStore stores responses on this node and fetches them from any node. The
// hint of Fetch is the node that stores the response, or empty if unknown. Fetch
// returns a NotFound error if no response is stored for the key.
type ResponseStore interface {
	Keep(key id.Request, response answers.Response)
	Fetch(ctx context.Context, key id.Request, hint id.Node) (answers.Response, error)
}

// Sender makes one attempt of one request.
type Sender interface {
	Do(ctx context.Context, address string, r *backend.Request) backend.Result
}

// Observer is notified when a request of a known account ends. The kind is that of
// the error, or empty for a complete response.
type Observer interface {
	RequestEnded(account id.Account, request id.Request, kind problem.Kind, elapsed time.Duration)
}

// Config configures a Frontend.
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
	// Ready returns an error as long as this node has no configuration. It may be
	// nil for a node that always has one.
	Ready func() error
	// Observer may be nil.
	Observer Observer
	// MaxQueue and MaxAccountQueue are the maximum numbers of waiting requests of
	// one service and of one account.
	MaxQueue, MaxAccountQueue int
	// MaxBodyBytes bounds the total size of the request bodies in progress.
	MaxBodyBytes unit.Bytes
	// Retention is how long responses are stored. Error messages to callers
	// contain it.
	Retention time.Duration
	// ServerLimits are the limits of the HTTP server.
	ServerLimits ServerLimits
}

// Token is a bearer token as received. It is never logged.
type Token string

// Request is a decoded request of a caller.
type Request struct {
	Token   Token
	Service id.Service
	// ID is the request id that the caller chose, or empty.
	ID id.Request
	// AtMostOnce requires that requests with this id run at most once.
	AtMostOnce bool
	// Idempotent allows a retry after an attempt that may have run.
	Idempotent bool
	Arrived    time.Time
	// Timeout is the caller's time limit, or zero for the limit of the service.
	Timeout time.Duration
	Method  string
	Target  string
	Header  http.Header
	// BodySize is the announced size of the body, or -1 if unknown.
	BodySize unit.Bytes
	// ReadBody reads the body. It reads at most one byte more than the limit.
	ReadBody func(limit unit.Bytes) ([]byte, error)
}

// Reply is the result of a successful request.
type Reply struct {
	Outcome  outcome.Outcome
	Response answers.Response
	Key      id.Request
}

// Frontend accepts the requests of callers on one entry node and forwards them to
// backend servers.
type Frontend struct {
	config   Config
	services atomic.Pointer[services]
	tokens   atomic.Pointer[tokenIndex]
	path     pipe.Filter[*Request, Reply]
	counts   counts
	inFlight inFlight
	refresh  *refresher
}

// New returns a Frontend with the configuration in force and starts the goroutine
// that refreshes it.
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

// Close stops the refresh of the configuration. Requests in progress continue.
func (f *Frontend) Close() { f.refresh.close() }

// stages composes the stages of the request path.
func (f *Frontend) stages() pipe.Filter[*Request, Reply] {
	metricSet := f.config.Metrics
	attempt := pipe.Then(
		pipe.Instrument(metricSet, "route", &router{f}),
		pipe.Then(
			pipe.Instrument(metricSet, "forward", &forwarder{f.config.Sender, f.config.Clock}),
			pipe.Instrument(metricSet, "verify", &verifier{f.config.Clock})))
	admitted := pipe.Then(
		pipe.Instrument(metricSet, "identify", &deduplicator{f}),
		pipe.Then(
			pipe.Filter[identified, completed](&retrier{f, attempt}),
			pipe.Instrument(metricSet, "reply", &replier{f})))
	received := pipe.Filter[received, Reply](&limiter{f, admitted})
	return pipe.Then(
		pipe.Instrument(metricSet, "authenticate", &authenticator{f}),
		pipe.Filter[authenticated, Reply](&receiver{f, received}))
}

// Serve processes one request in all stages.
func (f *Frontend) Serve(ctx context.Context, r *Request) (Reply, error) {
	f.inFlight.start()
	defer f.inFlight.end()
	reply, err := f.path.Process(ctx, r)
	f.counts.record(reply, err)
	f.observe(r, err)
	return reply, err
}

// observe notifies the observer that a request has ended.
func (f *Frontend) observe(r *Request, err error) {
	if f.config.Observer == nil {
		return
	}
	if a, ok := f.account(r.Token); ok {
		f.config.Observer.RequestEnded(a.Name, r.ID, problem.KindOf(err), f.config.Clock.Now().Sub(r.Arrived))
	}
}
