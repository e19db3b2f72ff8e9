package peer

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"runtime/debug"
	"sync"
	"time"

	"bronzewinch.dev/lib/netguard"
	"bronzewinch.dev/lib/problem"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"
	"k8s.io/klog/v2"
)

// ServerConfig configures a Server.
type ServerConfig struct {
	// TLS is nil for plain TCP. For mutual TLS it requires client certificates.
	TLS *tls.Config
	// Guard bounds what the connections of other nodes hold. It may be nil.
	Guard *netguard.Guard
}

// Server serves the calls of other entry nodes.
type Server struct {
	grpc    *grpc.Server
	callers *callers // nil without a guard
	desc    grpc.ServiceDesc
	wg      sync.WaitGroup
}

// NewServer returns a server without handlers. Add them with Handle before the call
// of Serve.
func NewServer(c ServerConfig) *Server {
	opts := []grpc.ServerOption{grpc.ReadBufferSize(connBufferSize), grpc.WriteBufferSize(connBufferSize),
		grpc.ForceServerCodecV2(messageCodec{}),
		grpc.MaxRecvMsgSize(MaxMessage),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: 5 * time.Second, PermitWithoutStream: true}),
		grpc.ConnectionTimeout(handshakeTimeout), grpc.MaxHeaderListSize(maxHeaderSize), grpc.MaxConcurrentStreams(maxConnCalls),
	}
	if c.TLS != nil {
		opts = append(opts, grpc.Creds(credentials.NewTLS(c.TLS)))
	}
	var counted *callers
	if c.Guard != nil {
		counted = newCallers(c.Guard)
		opts = append(opts, counted.options()...)
	}
	return &Server{
		callers: counted, grpc: grpc.NewServer(opts...),
		desc: grpc.ServiceDesc{ServiceName: serviceName, HandlerType: (*any)(nil)},
	}
}

// Handle registers the handler of a method. It must be called before Serve. The
// caller receives an error of the handler with the same kind, field and remedy.
func Handle[Req, Resp any](s *Server, method string, handler func(context.Context, Req) (Resp, error)) {
	s.desc.Methods = append(s.desc.Methods, grpc.MethodDesc{
		MethodName: method,
		Handler: func(_ any, ctx context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
			var req Req
			if err := decode(&req); err != nil {
				return nil, err
			}
			resp, err := callHandler(ctx, method, handler, req)
			if err != nil {
				return &envelope[Resp]{Err: problem.As(err)}, nil
			}
			return &envelope[Resp]{Value: resp}, nil
		},
	})
}

// callHandler calls a handler. A panic of the handler fails this call only, because
// the node serves other calls and may own shards.
func callHandler[Req, Resp any](ctx context.Context, method string, handler func(context.Context, Req) (Resp, error),
	req Req) (resp Resp, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			klog.ErrorS(fmt.Errorf("%v", cause), "handler failed; report a bug with this stack", "event", "panic", "method", method,
				"stack", string(debug.Stack()))
			err = problem.New(problem.Unknown, problem.Detail{Field: "peer call " + method,
				Remedy: "query the result; the handler has failed and may have executed a part of the request"})
		}
	}()
	return handler(ctx, req)
}

// Serve starts serving calls on l, until Close. It does not block.
func (s *Server) Serve(l net.Listener) {
	s.grpc.RegisterService(&s.desc, nil)
	if s.callers != nil {
		l = s.callers.listen(l)
	}
	s.wg.Go(func() { _ = s.grpc.Serve(l) })
}

// Close stops the server after the calls in progress. When ctx is done, it aborts
// the calls that are still in progress.
func (s *Server) Close(ctx context.Context) {
	done := make(chan struct{})
	s.wg.Go(func() {
		s.grpc.GracefulStop()
		close(done)
	})
	select {
	case <-done:
	case <-ctx.Done():
		s.grpc.Stop()
	}
	s.wg.Wait()
}
