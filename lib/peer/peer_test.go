package peer_test

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"bronzewinch.dev/lib/peer"
	"bronzewinch.dev/lib/problem"

	"github.com/matryer/is"
)

type request struct {
	Text string `cbor:"text"`
}

type response struct {
	Text string `cbor:"text"`
}

func startServer(t testing.TB, handler func(context.Context, request) (response, error)) (string, *peer.Server) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := peer.NewServer(peer.ServerConfig{})
	peer.Handle(s, "upper", handler)
	s.Serve(l)
	return l.Addr().String(), s
}

// TestErrorKeepsItsKind guards against an error of a handler that the caller
// receives as a failure of the connection, and would therefore retry.
func TestErrorKeepsItsKind(t *testing.T) {
	is := is.New(t)
	addr, s := startServer(t, func(_ context.Context, q request) (response, error) {
		if q.Text == "bad" {
			return response{}, problem.New(problem.Conflict, problem.Detail{Field: "text", Remedy: "change the text"})
		}
		return response{strings.ToUpper(q.Text)}, nil
	})
	defer s.Close(t.Context())
	p := peer.NewPool(peer.PoolConfig{})
	defer p.Close()
	a, err := peer.Call[request, response](t.Context(), p, addr, "upper", request{"hello"})
	is.NoErr(err)
	is.Equal(a.Text, "HELLO")
	_, err = peer.Call[request, response](t.Context(), p, addr, "upper", request{"bad"})
	is.True(problem.Is(err, problem.Conflict))
	is.Equal(problem.As(err).Remedy, "change the text")
}

// TestTimesKeepNanoseconds guards against an encoding that truncates times to
// seconds. Records of two passes within a second would then have the same time.
func TestTimesKeepNanoseconds(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := peer.NewServer(peer.ServerConfig{})
	peer.Handle(s, "echo", func(_ context.Context, at time.Time) (time.Time, error) { return at, nil })
	s.Serve(l)
	defer s.Close(t.Context())
	p := peer.NewPool(peer.PoolConfig{})
	defer p.Close()
	sent := time.Unix(1_000_000, 123_456_789)
	got, err := peer.Call[time.Time, time.Time](t.Context(), p, l.Addr().String(), "echo", sent)
	is.NoErr(err)
	is.True(got.Equal(sent))
}

// TestNotSentIsUnavailable guards against a call whose request was not sent, but
// whose error says that it may have been executed.
func TestNotSentIsUnavailable(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := l.Addr().String()
	is.NoErr(l.Close())
	p := peer.NewPool(peer.PoolConfig{})
	defer p.Close()
	_, err = peer.Call[request, response](t.Context(), p, addr, "upper", request{"hello"})
	is.True(problem.Is(err, problem.Unavailable))
}

// TestSentIsUnknown guards against a call whose response was lost, but whose error
// says that it was not executed.
func TestSentIsUnknown(t *testing.T) {
	is := is.New(t)
	started := make(chan struct{})
	addr, s := startServer(t, func(ctx context.Context, _ request) (response, error) {
		close(started)
		<-ctx.Done()
		return response{}, ctx.Err()
	})
	p := peer.NewPool(peer.PoolConfig{})
	defer p.Close()
	result := make(chan error)
	go func() {
		_, err := peer.Call[request, response](context.Background(), p, addr, "upper", request{"hello"})
		result <- err
	}()
	<-started
	stopped, cancel := context.WithCancel(t.Context())
	cancel()
	s.Close(stopped)
	is.True(problem.Is(<-result, problem.Unknown))
}

// TestCloseFinishesCalls guards against a planned stop that aborts a call in
// progress.
func TestCloseFinishesCalls(t *testing.T) {
	is := is.New(t)
	started, release := make(chan struct{}), make(chan struct{})
	addr, s := startServer(t, func(context.Context, request) (response, error) {
		close(started)
		<-release
		return response{"complete"}, nil
	})
	p := peer.NewPool(peer.PoolConfig{})
	defer p.Close()
	result := make(chan error)
	go func() {
		_, err := peer.Call[request, response](context.Background(), p, addr, "upper", request{"hello"})
		result <- err
	}()
	<-started
	closed := make(chan struct{})
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		s.Close(ctx)
		close(closed)
	}()
	close(release)
	is.NoErr(<-result)
	<-closed
}

// BenchmarkCall measures calls over loopback.
func BenchmarkCall(b *testing.B) {
	addr, s := startServer(b, func(_ context.Context, q request) (response, error) { return response(q), nil })
	defer s.Close(b.Context())
	p := peer.NewPool(peer.PoolConfig{})
	defer p.Close()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := peer.Call[request, response](b.Context(), p, addr, "upper", request{"hello"}); err != nil {
				b.Fatal(err)
			}
		}
	})
}
