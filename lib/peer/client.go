package peer

import (
	"context"
	"crypto/tls"
	"fmt"
	"path"
	"sync"
	"sync/atomic"
	"time"

	"bronzewinch.dev/lib/problem"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"
)

// Limits of the delay between attempts to connect. A takeover ends within seconds,
// so a node must reconnect to a restarted peer within a second.
const (
	reconnectMin   = 100 * time.Millisecond
	reconnectMax   = time.Second
	connectTimeout = 2 * time.Second
	// connBufferSize is the size of the read buffer and of the write buffer of a
	// connection. Every node has a connection to and from every other one, so the
	// default of 32 KiB would be most of the memory of a node. Most messages are
	// smaller than 1 KB.
	connBufferSize = 4 << 10
	// silenceTimeout is how long a connection may carry no answer to unanswered calls
	// before later calls use a new one. Connections can go silent without being closed.
	silenceTimeout = time.Second
)

// PoolConfig configures a Pool.
type PoolConfig struct {
	// TLS is nil for plain TCP. For mutual TLS it contains a client certificate.
	TLS *tls.Config
	// Metrics counts the bytes of the calls by method. It may be nil.
	Metrics *metrics.Set
}

// Pool calls peers. It keeps one connection to each peer that was called.
type Pool struct {
	opts []grpc.DialOption

	mu       sync.Mutex
	conns    map[string]*conn
	replaced map[*conn]struct{} // to be closed when the calls in progress on them have ended
}

// conn is the connection to one peer.
type conn struct {
	*grpc.ClientConn
	calls int // in progress; under the lock of the pool

	mu sync.Mutex
	// unansweredSince is when the first call was sent of those that have timed out
	// since the last answer on the connection, or zero.
	unansweredSince time.Time
	answeredAt      time.Time
}

func (c *conn) answered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unansweredSince, c.answeredAt = time.Time{}, time.Now()
}

// timedOut records a call without an answer, and reports whether the connection is
// silent.
func (c *conn) timedOut(sent time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answeredAt.After(sent) {
		return false
	}
	if c.unansweredSince.IsZero() || sent.Before(c.unansweredSince) {
		c.unansweredSince = sent
	}
	return time.Since(c.unansweredSince) >= silenceTimeout
}

// NewPool returns a pool without connections.
func NewPool(c PoolConfig) *Pool {
	creds := insecure.NewCredentials()
	if c.TLS != nil {
		creds = credentials.NewTLS(c.TLS)
	}
	return &Pool{
		conns:    make(map[string]*conn),
		replaced: make(map[*conn]struct{}),
		opts: []grpc.DialOption{
			grpc.WithTransportCredentials(creds),
			grpc.WithDisableRetry(),
			grpc.WithReadBufferSize(connBufferSize),
			grpc.WithWriteBufferSize(connBufferSize),
			grpc.WithDisableServiceConfig(),
			grpc.WithStatsHandler(callTracker{c.Metrics}),
			grpc.WithConnectParams(grpc.ConnectParams{
				Backoff:           backoff.Config{BaseDelay: reconnectMin, Multiplier: 1.6, Jitter: 0.5, MaxDelay: reconnectMax},
				MinConnectTimeout: connectTimeout,
			}),
			grpc.WithDefaultCallOptions(grpc.ForceCodecV2(messageCodec{}), grpc.MaxCallRecvMsgSize(MaxMessage)),
		},
	}
}

// Call calls a method of the peer at an address, which is an IP address and port.
// If the call fails, the error is Unavailable if the request was certainly not
// sent, and Unknown otherwise. An error of the peer's handler keeps its kind.
func Call[Req, Resp any](ctx context.Context, p *Pool, address, method string, req Req) (Resp, error) {
	var reply envelope[Resp]
	conn, err := p.acquire(address)
	if err != nil {
		return reply.Value, err
	}
	defer p.release(conn)
	start, state := time.Now(), &callState{conn: conn}
	ctx = context.WithValue(ctx, callKey{}, state)
	if err := conn.Invoke(ctx, "/"+serviceName+"/"+method, &req, &reply); err != nil {
		if status.Code(err) == codes.DeadlineExceeded && state.sent.Load() && conn.timedOut(start) {
			p.replace(address, conn)
		}
		return reply.Value, callError(address, method, state.sent.Load(), err)
	}
	if reply.Err != nil {
		return reply.Value, reply.Err
	}
	return reply.Value, nil
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, c := range p.conns {
		_ = c.Close()
		delete(p.conns, address)
	}
	for c := range p.replaced {
		_ = c.Close()
	}
}

// replace makes later calls of a peer use a new connection. The old one is closed when
// the calls in progress on it have ended.
func (p *Pool) replace(address string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[address] != c {
		return
	}
	delete(p.conns, address)
	p.replaced[c] = struct{}{}
}

// Disconnect closes the connection to a peer that has left, so that gRPC stops
// trying to reconnect.
func (p *Pool) Disconnect(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.conns[address]; ok {
		_ = c.Close()
		delete(p.conns, address)
	}
}

// acquire returns the connection to a peer for one call.
func (p *Pool) acquire(address string) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.conns[address]; ok && c.GetState() != connectivity.Shutdown {
		c.calls++
		return c, nil
	}
	client, err := grpc.NewClient("passthrough:///"+address, p.opts...)
	if err != nil {
		return nil, errors.Wrapf(err, "peer address %q", address)
	}
	c := &conn{ClientConn: client, calls: 1}
	p.conns[address] = c
	return c, nil
}

// release ends a call, and closes its connection if that was replaced and has no
// further calls.
func (p *Pool) release(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.calls--
	if _, replaced := p.replaced[c]; replaced && c.calls == 0 {
		delete(p.replaced, c)
		_ = c.Close()
	}
}

// ErrNotSent marks the error of a call whose request was certainly not sent, or not
// executed because the peer does not have the method.
var ErrNotSent = errors.New("the request was not sent")

func callError(address, method string, sent bool, err error) error {
	// A peer of another version may not have the method.
	sent = sent && status.Code(err) != codes.Unimplemented
	kind, remedy := problem.Unavailable, "retry; the request was not sent"
	if sent {
		kind, remedy = problem.Unknown, "query the result; the request may have been executed"
	}
	result := errors.WithSecondaryError(problem.New(kind, problem.Detail{
		Field: "peer call " + method, Value: address, Remedy: remedy}), err)
	if !sent {
		result = errors.Mark(result, ErrNotSent)
	}
	return result
}

// callState is the state of a call that the context carries to callTracker.
type callState struct {
	conn   *conn
	sent   atomic.Bool // any part of the request was sent
	method string
}

type callKey struct{}

// callTracker records for each call whether any part of the request was sent and when
// an answer arrived, and counts the bytes of requests and responses by method.
type callTracker struct{ set *metrics.Set }

// TagRPC records the name of the method.
func (callTracker) TagRPC(ctx context.Context, i *stats.RPCTagInfo) context.Context {
	if state, ok := ctx.Value(callKey{}).(*callState); ok {
		state.method = path.Base(i.FullMethodName)
	}
	return ctx
}

// HandleRPC records the progress of a call.
func (t callTracker) HandleRPC(ctx context.Context, s stats.RPCStats) {
	state, ok := ctx.Value(callKey{}).(*callState)
	if !ok {
		return
	}
	switch s := s.(type) {
	case *stats.OutHeader:
		state.sent.Store(true)
	case *stats.OutPayload:
		t.count("bronzewinch_peer_sent_bytes_total", state.method, s.WireLength)
	case *stats.InHeader:
		state.conn.answered()
	case *stats.InPayload:
		t.count("bronzewinch_peer_received_bytes_total", state.method, s.WireLength)
	}
}

func (t callTracker) count(counter, method string, n int) {
	if t.set != nil {
		t.set.GetOrCreateCounter(fmt.Sprintf("%s{method=%q}", counter, method)).Add(n)
	}
}

// TagConn returns ctx unchanged. stats.Handler requires it.
func (callTracker) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn ignores events of connections. stats.Handler requires it.
func (callTracker) HandleConn(context.Context, stats.ConnStats) {}
