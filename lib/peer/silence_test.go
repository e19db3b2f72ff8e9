package peer_test

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"bronzewinch.dev/lib/peer"
	"bronzewinch.dev/lib/problem"

	"github.com/matryer/is"
)

// proxy forwards connections to a server. After silence, the connections that were
// opened before stay open and carry nothing; new ones work.
type proxy struct {
	net.Listener
	target     string
	generation atomic.Int64

	mu    sync.Mutex
	conns []net.Conn
}

func startProxy(t *testing.T, target string) *proxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{Listener: l, target: target}
	go p.accept()
	t.Cleanup(func() {
		_ = l.Close()
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, c := range p.conns {
			_ = c.Close()
		}
	})
	return p
}

func (p *proxy) silence() { p.generation.Add(1) }

func (p *proxy) accept() {
	for {
		in, err := p.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		p.mu.Lock()
		p.conns = append(p.conns, in, out)
		p.mu.Unlock()
		generation := p.generation.Load()
		go p.copy(out, in, generation)
		go p.copy(in, out, generation)
	}
}

func (p *proxy) copy(dst, src net.Conn, generation int64) {
	buffer := make([]byte, 4096)
	for {
		n, err := src.Read(buffer)
		if p.generation.Load() != generation {
			_, _ = io.Copy(io.Discard, src)
			_ = dst.Close()
			return
		}
		if _, writeErr := dst.Write(buffer[:n]); err != nil || writeErr != nil {
			_ = dst.Close()
			return
		}
	}
}

// TestSilentConnection guards against a node that can't call another one any more,
// because their connection went silent without being closed.
func TestSilentConnection(t *testing.T) {
	is := is.New(t)
	addr, s := startServer(t, func(_ context.Context, q request) (response, error) { return response(q), nil })
	defer s.Close(t.Context())
	forwarder := startProxy(t, addr)
	p := peer.NewPool(peer.PoolConfig{})
	defer p.Close()
	call := func(timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		_, err := peer.Call[request, response](ctx, p, forwarder.Addr().String(), "upper", request{"hello"})
		return err
	}
	is.NoErr(call(5 * time.Second))
	forwarder.silence()
	is.True(problem.Is(call(200*time.Millisecond), problem.Unknown))
	var err error
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); { // nodes find a new owner within three seconds
		if err = call(200 * time.Millisecond); err == nil {
			break
		}
	}
	is.NoErr(err)
}

// TestSlowCallKeepsConnection guards against a call without an answer that closes the
// connection while other calls on it are answered.
func TestSlowCallKeepsConnection(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	addr, s := startServer(t, func(ctx context.Context, q request) (response, error) {
		if q.Text == "slow" {
			select {
			case <-release:
			case <-ctx.Done():
			}
		}
		return response(q), nil
	})
	defer s.Close(t.Context())
	forwarder := startProxy(t, addr)
	p := peer.NewPool(peer.PoolConfig{})
	defer p.Close()
	call := func(text string, timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		_, err := peer.Call[request, response](ctx, p, forwarder.Addr().String(), "upper", request{text})
		return err
	}
	var wg sync.WaitGroup
	wg.Go(func() { is.True(call("slow", 500*time.Millisecond) != nil) })
	for range 20 {
		is.NoErr(call("fast", 5*time.Second))
		time.Sleep(30 * time.Millisecond) // answers keep arriving during the slow call
	}
	wg.Wait()
	close(release)
	forwarder.mu.Lock()
	defer forwarder.mu.Unlock()
	is.Equal(len(forwarder.conns), 2) // both ends of one connection
}

// TestPanicInHandler guards against a fault in the handling of one call that ends the
// whole node.
func TestPanicInHandler(t *testing.T) {
	is := is.New(t)
	addr, s := startServer(t, func(_ context.Context, q request) (response, error) {
		if q.Text == "bad" {
			var none []string
			_ = none[len(q.Text)]
		}
		return response(q), nil
	})
	defer s.Close(t.Context())
	p := peer.NewPool(peer.PoolConfig{})
	defer p.Close()
	_, err := peer.Call[request, response](t.Context(), p, addr, "upper", request{"bad"})
	is.True(problem.Is(err, problem.Unknown)) // the handler may have had effects
	_, err = peer.Call[request, response](t.Context(), p, addr, "upper", request{"good"})
	is.NoErr(err)
}

// TestReplacedConnectionFinishesItsCalls guards against a call in progress that is cut off
// because another call on its connection was not answered in time.
func TestReplacedConnectionFinishesItsCalls(t *testing.T) {
	is := is.New(t)
	release, started, never := make(chan struct{}), make(chan struct{}, 1), make(chan struct{})
	addr, s := startServer(t, func(ctx context.Context, q request) (response, error) {
		if q.Text == "slow" {
			started <- struct{}{}
			select {
			case <-release:
			case <-ctx.Done():
			}
		}
		if q.Text == "never" {
			<-never // the end of the call's time may reach the server before the client
		}
		return response(q), nil
	})
	defer s.Close(t.Context())
	defer close(never)
	forwarder := startProxy(t, addr)
	p := peer.NewPool(peer.PoolConfig{})
	defer p.Close()
	call := func(text string, timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		_, err := peer.Call[request, response](ctx, p, forwarder.Addr().String(), "upper", request{text})
		return err
	}
	slow := make(chan error, 1)
	go func() { slow <- call("slow", 20*time.Second) }()
	<-started
	is.True(call("never", 1200*time.Millisecond) != nil)
	is.NoErr(call("fast", 5*time.Second)) // on a new connection
	time.Sleep(4 * time.Second)           // longer than any other call between nodes takes
	close(release)
	is.NoErr(<-slow)
}
