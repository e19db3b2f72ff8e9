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

// Bounds of the waits between attempts to connect. Takeovers end within
// seconds, so a restarted peer must be found again within one.
const (
	reconnectMin   = 100 * time.Millisecond
	reconnectMax   = time.Second
	connectTimeout = 2 * time.Second
	// connBufferSize is the size of the buffers of one connection. Every node has a
	// connection to and from every other one, and most messages are under 1 KB;
	// the default of 32 KiB would be most of the memory of a node.
	connBufferSize = 4 << 10
)

// PoolConfig configures a Pool.
type PoolConfig struct {
	// TLS is nil for plain TCP. For mutual TLS it holds a client certificate.
	TLS *tls.Config
}

// Pool holds one connection to each peer that was called.
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

// Call calls a method of the peer at an address, which is an IP address and
// port. A failure of the call is Unavailable when the request certainly did
// not leave this node, and Unknown otherwise.
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

// Disconnect closes the connection to a peer that is gone, so that no goroutine
// tries to reach it again.
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

// ErrNotSent marks the error of a call that certainly did not leave this node.
var ErrNotSent = errors.New("the request was not sent")

func callError(address, method string, sent bool, err error) error {
	kind, remedy := problem.Unavailable, "try again; the request was not sent"
	if sent {
		kind, remedy = problem.Unknown, "ask for the result; the request may have been carried out"
	}
	result := errors.WithSecondaryError(problem.New(kind, problem.Detail{
		Field: "peer call " + method, Value: address, Remedy: remedy}), err)
	if !sent {
		result = errors.Mark(result, ErrNotSent)
	}
	return result
}

type sentKey struct{}

// sentTracker notes for each call whether any of it left this node.
type sentTracker struct{}

// TagRPC returns ctx, which Call has prepared.
func (sentTracker) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC notes that the header of a request was sent.
func (sentTracker) HandleRPC(ctx context.Context, s stats.RPCStats) {
	if _, ok := s.(*stats.OutHeader); !ok {
		return
	}
	if sent, ok := ctx.Value(sentKey{}).(*atomic.Bool); ok {
		sent.Store(true)
	}
}

// TagConn returns ctx.
func (sentTracker) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn does nothing.
func (sentTracker) HandleConn(context.Context, stats.ConnStats) {}
