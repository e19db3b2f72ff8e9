package backend_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"bronzewinch.dev/lib/backend"
	"bronzewinch.dev/lib/timer"

	"github.com/matryer/is"
)

const attemptHeaders = "Bronzewinch-Request-Id: a/r1\r\nBronzewinch-Attempt: 2\r\n"

func newRequest() *backend.Request {
	return &backend.Request{ID: "a/r1", Attempt: 2, Method: "POST", Target: "/x", Body: []byte("night"),
		Header: http.Header{}, Deadline: time.Now().Add(5 * time.Second), Connections: 1, MaxResponse: 1000}
}

// serve starts a server that answers each request with the raw bytes that raw
// returns for its number, and returns its address.
func serve(t *testing.T, raw func(request int) string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	requests := 0
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			in := bufio.NewReader(c)
			for {
				r, err := http.ReadRequest(in)
				if err != nil {
					break
				}
				_, _ = io.Copy(io.Discard, r.Body)
				requests++
				text := raw(requests)
				_, _ = io.WriteString(c, text)
				if strings.Contains(text, "close-now") || text == "" {
					break
				}
			}
			c.Close()
		}
	}()
	return l.Addr().String()
}

// TestResponses guards against a truncated, oversized or malformed response, or
// one to another request, that is accepted as complete, against a rejection
// that is taken as certain without the notRun header, and against retries in
// the client.
func TestResponses(t *testing.T) {
	for name, c := range map[string]struct {
		raw   string
		class backend.Class
	}{
		"complete":            {"HTTP/1.1 200 OK\r\n" + attemptHeaders + "Content-Length: 2\r\n\r\nok", backend.Completed},
		"chunked":             {"HTTP/1.1 200 OK\r\n" + attemptHeaders + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", backend.Completed},
		"after interim":       {"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n" + attemptHeaders + "Content-Length: 2\r\n\r\nok", backend.Completed},
		"no content":          {"HTTP/1.1 204 No Content\r\n" + attemptHeaders + "\r\n", backend.Completed},
		"server error":        {"HTTP/1.1 500 Oops\r\n" + attemptHeaders + "Content-Length: 0\r\n\r\n", backend.Completed},
		"busy":                {"HTTP/1.1 503 Busy\r\n" + attemptHeaders + "Bronzewinch-Outcome: notRun\r\nContent-Length: 0\r\n\r\n", backend.Busy},
		"busy without notRun": {"HTTP/1.1 503 Busy\r\n" + attemptHeaders + "Content-Length: 0\r\n\r\n", backend.Completed},
		"busy, other request": {"HTTP/1.1 503 Busy\r\nBronzewinch-Outcome: notRun\r\nContent-Length: 0\r\n\r\n", backend.Lost},
		"other request":       {"HTTP/1.1 200 OK\r\nBronzewinch-Request-Id: b/r1\r\nBronzewinch-Attempt: 2\r\nContent-Length: 2\r\n\r\nok", backend.Lost},
		"other attempt":       {"HTTP/1.1 200 OK\r\nBronzewinch-Request-Id: a/r1\r\nBronzewinch-Attempt: 1\r\nContent-Length: 2\r\n\r\nok", backend.Lost},
		"truncated":           {"HTTP/1.1 200 OK\r\n" + attemptHeaders + "Content-Length: 20\r\n\r\nclose-now", backend.Lost},
		"truncated chunk":     {"HTTP/1.1 200 OK\r\n" + attemptHeaders + "Transfer-Encoding: chunked\r\n\r\n14\r\nclose-now", backend.Lost},
		"without length":      {"HTTP/1.1 200 OK\r\n" + attemptHeaders + "\r\nclose-now", backend.Lost},
		"too large":           {"HTTP/1.1 200 OK\r\n" + attemptHeaders + "Content-Length: 1001\r\n\r\n" + strings.Repeat("x", 1001), backend.Lost},
		"closed":              {"", backend.Lost},
		"not HTTP":            {"220 smtp close-now\r\n", backend.Lost},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			client := backend.New(backend.Config{Clock: timer.NewSystem()})
			defer client.Close()
			var requests atomic.Int64
			address := serve(t, func(n int) string { requests.Store(int64(n)); return c.raw })
			got := client.Do(context.Background(), address, newRequest())
			is.Equal(got.Class, c.class)
			is.Equal(got.Class == backend.Completed, got.Err == nil)
			is.Equal(requests.Load(), int64(1)) // the client does not retry
		})
	}
}

// TestNotSent guards against an attempt of which nothing was sent that is
// reported as lost.
func TestNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refusing := l.Addr().String()
	l.Close()
	for name, change := range map[string]func(*backend.Request){
		"connection refused": func(*backend.Request) {},
		"deadline passed":    func(r *backend.Request) { r.Deadline = time.Now().Add(-time.Second) },
		"line break":         func(r *backend.Request) { r.Target = "/x HTTP/1.1\r\nGET /y" },
		"header break":       func(r *backend.Request) { r.Header.Set("X", "a\r\n\r\nGET /y") },
		"no connections":     func(r *backend.Request) { r.Connections = 0 },
	} {
		t.Run(name, func(t *testing.T) {
			r := newRequest()
			change(r)
			client := backend.New(backend.Config{Clock: timer.NewSystem()})
			got := client.Do(context.Background(), refusing, r)
			is.New(t).Equal(got.Class, backend.NotSent)
		})
	}
}

// TestStaleConnection guards against late bytes on a kept connection that are
// read as the response to the next request, and against an attempt that is lost
// on an idle connection because the backend server has closed it. The test
// server sends a second, unrequested response after each response; such a
// connection must not be used again.
func TestStaleConnection(t *testing.T) {
	is := is.New(t)
	complete := "HTTP/1.1 200 OK\r\n" + attemptHeaders + "Content-Length: 2\r\n\r\n"
	client := backend.New(backend.Config{Clock: timer.NewSystem()})
	defer client.Close()
	address := serve(t, func(n int) string { return fmt.Sprintf("%s%02d%s", complete, n, complete+"zz") })
	for i := range 5 {
		got := client.Do(context.Background(), address, newRequest())
		is.Equal(got.Class, backend.Completed)
		is.Equal(string(got.Response.Body), fmt.Sprintf("%02d", i+1))
	}
}

// FuzzResponse guards against bytes from a backend server that crash the
// client, or that are accepted as a complete response without the request id or
// above the size limit.
func FuzzResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\n" + attemptHeaders + "Content-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\n" + attemptHeaders + "Transfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		got := backend.ReadResponse(raw, newRequest())
		if got.Class == backend.Completed && !strings.Contains(strings.ToLower(string(raw)), "bronzewinch-request-id") {
			t.Fatalf("accepted without the request id: %q", raw)
		}
		if len(got.Response.Body) > 1000 {
			t.Fatalf("accepted a body of %d bytes, limit 1000", len(got.Response.Body))
		}
	})
}
