// Package httpguard serves HTTP to clients that keep no limits. It bounds what each request
// and all clients together may take in memory, the connections, and the time for each
// part of a request. Package budget decides which connections give way.
package httpguard

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"bronzewinch.dev/lib/budget"
	"bronzewinch.dev/lib/netguard"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/timer"
	"bronzewinch.dev/lib/unit"

	"github.com/VictoriaMetrics/metrics"
)

// Config configures a Guard.
type Config struct {
	// Name identifies the listener in metrics and logs.
	Name string
	// HeadSize bounds the request line and the headers.
	HeadSize unit.Bytes
	// BodySize bounds a body that ReadBody reads.
	BodySize unit.Bytes
	// HeadTimeout and BodyTimeout bound the time in which a client must send the head and
	// the body. IdleTimeout bounds the time between two requests.
	HeadTimeout, BodyTimeout, IdleTimeout time.Duration
	// WriteTimeout bounds the time in which a client must take a reply. It starts with the
	// reply. Zero means that the handler sets a time itself.
	WriteTimeout time.Duration
	// Memory and Connections bound what all clients hold together.
	Memory      unit.Bytes
	Connections int
	Timer       timer.Service
	Metrics     *metrics.Set
}

// Defaults of limits that depend on the VM, for nodes whose settings don't give its size.
const (
	DefaultMemory      = 32 * unit.MiB
	DefaultConnections = 1024
)

const (
	// memoryShare is the share of a VM's memory that clients may hold, as a divisor.
	memoryShare = 8
	// connectionMemory is what an open connection takes without a request: buffers of
	// net/http and the stacks of its goroutines.
	connectionMemory = 32 * unit.KiB
	// reservedFDs are the descriptors for files, and fdShare the share of the others that
	// clients may take, as a divisor. Workers, other nodes and the store need the rest.
	reservedFDs = 200
	fdShare     = 4
	// minConnections leaves room for clients on a VM that states very low limits.
	minConnections = 16
)

// MemoryFor returns the bytes that clients may hold on a VM, of which the memory is zero
// if it is not known.
func MemoryFor(vm unit.Bytes) unit.Bytes {
	if vm <= 0 {
		return DefaultMemory
	}
	return vm / memoryShare
}

// ConnectionsFor returns the connections that clients may open on a VM, of which the
// memory and the descriptors are zero if they are not known.
func ConnectionsFor(vm unit.Bytes, fds int) int {
	n := DefaultConnections
	if vm > 0 {
		n = min(n, int(MemoryFor(vm)/connectionMemory))
	}
	if fds > 0 {
		n = min(n, (fds-reservedFDs)/fdShare)
	}
	return max(n, minConnections)
}

// Guard bounds what the clients of one HTTP server take.
type Guard struct {
	config Config
	net    *netguard.Guard
}

// New returns a Guard.
func New(c Config) *Guard {
	return &Guard{config: c, net: netguard.New(netguard.Config{Name: c.Name, Memory: c.Memory, Connections: c.Connections,
		Timer: c.Timer, Metrics: c.Metrics})}
}

// NewServer returns an HTTP server with the limits of the guard.
func (g *Guard) NewServer(h http.Handler) *http.Server {
	s := &http.Server{
		Handler:           h,
		MaxHeaderBytes:    int(g.config.HeadSize),
		ReadHeaderTimeout: g.config.HeadTimeout,
		IdleTimeout:       g.config.IdleTimeout,
		ErrorLog:          log.New(io.Discard, "", 0), // faults of clients are counted, not logged
	}
	g.Protect(s)
	return s
}

// Protect lets a server, which must be served on the listener that Listen returns, count
// what its clients hold. The server offers HTTP/1 alone: a connection is counted for one
// request at a time, and with HTTP/2 it can carry hundreds.
func (g *Guard) Protect(s *http.Server) {
	s.Protocols = new(http.Protocols)
	s.Protocols.SetHTTP1(true)
	s.Handler = g.handler(s.Handler)
	s.ConnContext = withConn
	next := s.ConnState
	s.ConnState = func(nc net.Conn, state http.ConnState) {
		observeState(nc, state)
		if next != nil {
			next(nc, state)
		}
	}
}

// Listen returns a listener whose connections are counted.
func (g *Guard) Listen(l net.Listener) net.Listener {
	return g.net.Listener(l, func(c *netguard.Conn) netguard.Receiver { return &conn{Conn: c, guard: g} })
}

const (
	// headByteCost and headLineCost are the bytes that net/http needs for each byte and
	// each line of a head. For heads of short lines 49 to 105 bytes a line were measured.
	headByteCost unit.Bytes = 3
	headLineCost unit.Bytes = 128
	// encryptedByteCost is for connections with TLS, of which the lines are not seen: each
	// line of a head has three bytes or more.
	encryptedByteCost = headByteCost + headLineCost/3
)

// conn is a connection of a client. Until the head of a request is read, it counts what
// the head may take.
type conn struct {
	*netguard.Conn
	guard *Guard

	mu        sync.Mutex
	encrypted bool
	inHead    bool
	head      unit.Bytes // what the present head may take
}

// Received counts what the client has sent. It returns false if the head takes more than is
// left.
func (c *conn) Received(b []byte) bool {
	c.mu.Lock()
	inHead := c.inHead
	switch {
	case inHead && c.encrypted:
		c.head += unit.Bytes(len(b)) * encryptedByteCost
	case inHead:
		c.head += unit.Bytes(len(b))*headByteCost + unit.Bytes(bytes.Count(b, []byte("\n")))*headLineCost
	}
	head := c.head
	c.mu.Unlock()
	if !inHead {
		c.Progress()
		return true
	}
	return c.Hold(head)
}

// awaitHead begins to count the head of the next request.
func (c *conn) awaitHead(encrypted bool) {
	c.mu.Lock()
	c.encrypted, c.inHead, c.head = encrypted, true, 0
	c.mu.Unlock()
	c.SetPhase(budget.Reading)
	c.Hold(0)
}

// endHead ends the count of a head that was read completely. The head counts until its
// memory is free.
func (c *conn) endHead() {
	c.mu.Lock()
	c.inHead = false
	c.mu.Unlock()
}

type connKey struct{}

// guarded returns the conn that serves a connection of net/http, or nil, and whether it is
// encrypted.
func guarded(nc net.Conn) (c *conn, encrypted bool) {
	if t, ok := nc.(*tls.Conn); ok {
		nc, encrypted = t.NetConn(), true
	}
	if counted, ok := nc.(*netguard.Conn); ok {
		c, _ = counted.Receiver().(*conn)
	}
	return c, encrypted
}

func withConn(ctx context.Context, nc net.Conn) context.Context {
	if c, _ := guarded(nc); c != nil {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

func observeState(nc net.Conn, state http.ConnState) {
	if c, encrypted := guarded(nc); c != nil && (state == http.StateNew || state == http.StateIdle) {
		c.awaitHead(encrypted)
	}
}

// handler calls h for requests whose heads have been read completely. A request without a
// body is complete with its head.
func (g *Guard) handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r.Context())
		if c == nil {
			h.ServeHTTP(w, r)
			return
		}
		c.endHead()
		if r.Body == http.NoBody {
			c.SetPhase(budget.Processing)
		}
		reply := &replyWriter{ResponseWriter: w, guard: g, conn: c}
		if g.config.WriteTimeout > 0 {
			_ = http.NewResponseController(w).SetWriteDeadline(time.Time{}) // of the previous reply
		}
		h.ServeHTTP(reply, r)
		reply.begin() // the rest is written after the handler
	})
}

// replyWriter observes when the reply to a request begins.
type replyWriter struct {
	http.ResponseWriter
	guard *Guard
	conn  *conn
	begun bool
}

// Unwrap lets http.ResponseController find the methods of the connection.
func (w *replyWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *replyWriter) begin() {
	if w.begun {
		return
	}
	w.begun = true
	w.conn.SetPhase(budget.Replying)
	if timeout := w.guard.config.WriteTimeout; timeout > 0 {
		_ = http.NewResponseController(w.ResponseWriter).SetWriteDeadline(w.guard.net.Now().Add(timeout))
	}
}

func (w *replyWriter) WriteHeader(status int) {
	w.begin()
	w.ResponseWriter.WriteHeader(status)
}

func (w *replyWriter) Write(b []byte) (int, error) {
	w.begin()
	return w.ResponseWriter.Write(b)
}

// minBodyBuffer is the size of the buffer with which the read of a body begins.
const minBodyBuffer = 4 * unit.KiB

// ReadBody reads the body of a request. It discards the headers of the request, which may
// take much more memory than the body. A client that sends too much or too slowly, or for
// whom no memory is left, gets an Invalid, Expired or Overloaded error, and its connection
// is closed after the response.
func (g *Guard) ReadBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	c := connOf(r.Context())
	r.Header = http.Header{}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(g.net.Now().Add(g.config.BodyTimeout))
	body, err := g.readAll(r)
	if err != nil {
		// The rest of the body is not read, so the connection can't be used again.
		w.Header().Set("Connection", "close")
		_ = control.SetReadDeadline(g.net.Now())
		return nil, err
	}
	_ = control.SetReadDeadline(time.Time{})
	if c != nil {
		c.SetPhase(budget.Processing)
	}
	return body, nil
}

func (g *Guard) readAll(r *http.Request) ([]byte, error) {
	tooLarge := func(size int64) error {
		g.net.Count("bodySize", 1)
		return problem.New(problem.Invalid, problem.Detail{Field: "body", Value: unit.Bytes(size).String(),
			Limit: g.config.BodySize.String(), Remedy: "send a smaller body; this one was not processed"})
	}
	if r.ContentLength > int64(g.config.BodySize) {
		return nil, tooLarge(r.ContentLength)
	}
	body, err := ReadAll(r, g.config.BodySize)
	switch {
	case problem.Is(err, problem.Overloaded):
		return nil, err
	case isTimeout(err):
		g.net.Count("bodyTime", 1)
		return nil, problem.New(problem.Expired, problem.Detail{Field: "body", Limit: g.config.BodyTimeout.String(),
			Remedy: "send the body faster; this one was not processed"})
	case err != nil:
		return nil, problem.New(problem.Invalid, problem.Detail{Field: "body", Value: err.Error(),
			Remedy: "send a complete body; this one was not processed"})
	case unit.Bytes(len(body)) > g.config.BodySize:
		return nil, tooLarge(int64(len(body)))
	}
	return body, nil
}

// ReadAll reads the body of a request, and at most one byte more than the limit. The buffer
// grows with what has arrived, whatever length the client has announced. It returns an
// Overloaded error if no memory is left for the client.
func ReadAll(r *http.Request, limit unit.Bytes) ([]byte, error) {
	c := connOf(r.Context())
	size := min(minBodyBuffer, limit+1)
	if r.ContentLength >= 0 {
		size = min(size, unit.Bytes(r.ContentLength)+1)
	}
	if err := c.reserve(size); err != nil {
		return nil, err
	}
	buffer := make([]byte, 0, size)
	for {
		n, err := r.Body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		switch {
		case err == io.EOF, err == nil && unit.Bytes(len(buffer)) > limit:
			return buffer, nil
		case err != nil:
			return nil, err
		case len(buffer) < cap(buffer):
			continue
		}
		next := min(2*unit.Bytes(cap(buffer)), limit+1)
		if err := c.reserve(next + unit.Bytes(cap(buffer))); err != nil { // both buffers for a moment
			return nil, err
		}
		buffer = append(make([]byte, 0, next), buffer...)
		_ = c.reserve(next) // less than before
	}
}

// reserve sets the bytes that the connection holds. Requests that came by no connection of a
// guard are not counted.
func (c *conn) reserve(bytes unit.Bytes) error {
	if c == nil || c.Hold(bytes) {
		return nil
	}
	return c.guard.noMemory()
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

func (g *Guard) noMemory() error {
	g.net.Count("memoryRefused", 1)
	return problem.New(problem.Overloaded, problem.Detail{Field: "memory for clients", Limit: g.config.Memory.String(),
		Remedy: "retry later; the request was not processed"})
}

// Hold sets what the request that ctx belongs to holds until its response is written. It
// returns an Overloaded error if that is more than is left.
func Hold(ctx context.Context, bytes unit.Bytes) error { return connOf(ctx).reserve(bytes) }
