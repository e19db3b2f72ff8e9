package peer

import (
	"context"
	"crypto/tls"
	"sync"
	"sync/atomic"
	"time"

	"bronzewinch.dev/lib/problem"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/stats"
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
)

// PoolConfig configures a Pool.
type PoolConfig struct {
	// TLS is nil for plain TCP. For mutual TLS it contains a client certificate.
	TLS *tls.Config
}

// Pool calls peers. It keeps one connection to each peer that was called.
type Pool struct {
	opts []grpc.DialOption

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// NewPool returns a pool without connections.
func NewPool(c PoolConfig) *Pool {
	creds := insecure.NewCredentials()
	if c.TLS != nil {
		creds = credentials.NewTLS(c.TLS)
	}
	return &Pool{
		conns: make(map[string]*grpc.ClientConn),
		opts: []grpc.DialOption{
			grpc.WithTransportCredentials(creds),
			grpc.WithDisableRetry(),
			grpc.WithReadBufferSize(connBufferSize),
			grpc.WithWriteBufferSize(connBufferSize),
			grpc.WithDisableServiceConfig(),
			grpc.WithStatsHandler(sentTracker{}),
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
	conn, err := p.conn(address)
	if err != nil {
		return reply.Value, err
	}
	sent := new(atomic.Bool)
	ctx = context.WithValue(ctx, sentKey{}, sent)
	if err := conn.Invoke(ctx, "/"+serviceName+"/"+method, &req, &reply); err != nil {
		return reply.Value, callError(address, method, sent.Load(), err)
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

func (p *Pool) conn(address string) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.conns[address]; ok && c.GetState() != connectivity.Shutdown {
		return c, nil
	}
	c, err := grpc.NewClient("passthrough:///"+address, p.opts...)
	if err != nil {
		return nil, errors.Wrapf(err, "peer address %q", address)
	}
	p.conns[address] = c
	return c, nil
}

// ErrNotSent marks the error of a call whose request was certainly not sent.
var ErrNotSent = errors.New("the request was not sent")

func callError(address, method string, sent bool, err error) error {
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

type sentKey struct{}

// sentTracker records for each call whether any part of the request was sent.
type sentTracker struct{}

// TagRPC returns ctx unchanged, because Call has already added the flag to it.
func (sentTracker) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC sets the flag of a call when the header of its request is sent.
func (sentTracker) HandleRPC(ctx context.Context, s stats.RPCStats) {
	if _, ok := s.(*stats.OutHeader); !ok {
		return
	}
	if sent, ok := ctx.Value(sentKey{}).(*atomic.Bool); ok {
		sent.Store(true)
	}
}

// TagConn returns ctx unchanged. stats.Handler requires it.
func (sentTracker) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn ignores events of connections. stats.Handler requires it.
func (sentTracker) HandleConn(context.Context, stats.ConnStats) {}
