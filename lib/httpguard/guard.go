// Package httpguard serves HTTP to clients that keep no limits. It bounds what each request
// and all clients together may take in memory, the connections, and the time for each
// part of a request. Package budget decides which connections give way.
package httpguard

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"bronzewinch.dev/lib/budget"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/shard"
	"bronzewinch.dev/lib/timer"
	"bronzewinch.dev/lib/unit"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"
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
	budget *budget.Budget
	conns  *shard.Map[budget.Holder, *conn]

	mu       sync.Mutex
	loggedAt time.Time
}

// New returns a Guard.
func New(c Config) *Guard {
	g := &Guard{config: c, budget: budget.New(budget.Config{Memory: c.Memory, Connections: c.Connections}),
		conns: shard.NewMap[budget.Holder, *conn]()}
	c.Metrics.NewGauge(fmt.Sprintf("bronzewinch_client_connections{listener=%q}", c.Name),
		func() float64 { return float64(g.budget.Connections()) })
	c.Metrics.NewGauge(fmt.Sprintf("bronzewinch_client_held_bytes{listener=%q}", c.Name),
		func() float64 { return float64(g.budget.Held()) })
	return g
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
// what its clients hold.
func (g *Guard) Protect(s *http.Server) {
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
func (g *Guard) Listen(l net.Listener) net.Listener { return listener{l, g} }

type listener struct {
	net.Listener
	guard *Guard
}

// Accept accepts a connection and closes those that give way to it.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	host, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err != nil {
		host = c.RemoteAddr().String()
	}
	id, evicted := l.guard.budget.Open(l.guard.now(), budget.Client(host))
	counted := &conn{Conn: c, guard: l.guard, id: id}
	l.guard.conns.Set(id, counted)
	l.guard.closeEvicted("connectionClosed", evicted)
	return counted, nil
}

func (g *Guard) now() time.Time { return g.config.Timer.Now() }

// pressureLogInterval is the least time between two log lines about closed or refused
// clients.
const pressureLogInterval = 10 * time.Second

// count counts clients that were refused or closed for a cause.
func (g *Guard) count(cause string, n int) {
	g.config.Metrics.GetOrCreateCounter(fmt.Sprintf("bronzewinch_client_refusals_total{listener=%q,cause=%q}", g.config.Name, cause)).Add(n)
	now := g.now()
	g.mu.Lock()
	due := now.Sub(g.loggedAt) >= pressureLogInterval
	if due {
		g.loggedAt = now
	}
	g.mu.Unlock()
	if due {
		klog.InfoS("clients refused or closed; see the metric for their number", "event", "clients", "listener", g.config.Name,
			"cause", cause, "connections", g.budget.Connections(), "heldBytes", int64(g.budget.Held()))
	}
}

func (g *Guard) closeEvicted(cause string, evicted []budget.Holder) {
	if len(evicted) == 0 {
		return
	}
	g.count(cause, len(evicted))
	for _, id := range evicted {
		if c, ok := g.conns.Get(id); ok {
			_ = c.Close()
		}
	}
}

// hold sets the bytes that a connection holds, and reports whether it may hold them.
func (g *Guard) hold(id budget.Holder, bytes unit.Bytes) bool {
	evicted, ok := g.budget.Hold(g.now(), id, bytes)
	g.closeEvicted("memoryClosed", evicted)
	return ok
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
	net.Conn
	guard *Guard
	id    budget.Holder
	once  sync.Once

	mu        sync.Mutex
	encrypted bool
	inHead    bool
	head      unit.Bytes // what the present head may take
}

var errNoMemory = errors.New("the clients of this node hold too much memory")

// Read reads from the client. It fails if the head takes more than is left.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	inHead := c.inHead
	switch {
	case inHead && c.encrypted:
		c.head += unit.Bytes(n) * encryptedByteCost
	case inHead:
		c.head += unit.Bytes(n)*headByteCost + unit.Bytes(bytes.Count(p[:n], []byte("\n")))*headLineCost
	}
	head := c.head
	c.mu.Unlock()
	switch {
	case !inHead:
		c.guard.budget.Progress(c.guard.now(), c.id)
	case !c.guard.hold(c.id, head):
		c.guard.count("memoryRefused", 1)
		_ = c.Close()
		return 0, errNoMemory
	}
	return n, err
}

// Close closes the connection and frees what it holds.
func (c *conn) Close() error {
	c.once.Do(func() {
		c.guard.budget.Close(c.id)
		c.guard.conns.Delete(c.id)
	})
	return c.Conn.Close()
}

// awaitHead begins to count the head of the next request.
func (c *conn) awaitHead(encrypted bool) {
	c.mu.Lock()
	c.encrypted, c.inHead, c.head = encrypted, true, 0
	c.mu.Unlock()
	c.guard.budget.Complete(c.guard.now(), c.id, false)
	c.guard.hold(c.id, 0)
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
	c, _ = nc.(*conn)
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
		if c := connOf(r.Context()); c != nil {
			c.endHead()
			if r.Body == http.NoBody {
				g.budget.Complete(g.now(), c.id, true)
			}
		}
		h.ServeHTTP(w, r)
	})
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
	_ = control.SetReadDeadline(g.now().Add(g.config.BodyTimeout))
	body, err := g.readAll(r)
	if err != nil {
		// The rest of the body is not read, so the connection can't be used again.
		w.Header().Set("Connection", "close")
		_ = control.SetReadDeadline(g.now())
		return nil, err
	}
	_ = control.SetReadDeadline(time.Time{})
	if c != nil {
		g.budget.Complete(g.now(), c.id, true)
	}
	return body, nil
}

func (g *Guard) readAll(r *http.Request) ([]byte, error) {
	tooLarge := func(size int64) error {
		g.count("bodySize", 1)
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
		g.count("bodyTime", 1)
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
	if err := c.hold(size); err != nil {
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
		if err := c.hold(next + unit.Bytes(cap(buffer))); err != nil { // both buffers for a moment
			return nil, err
		}
		buffer = append(make([]byte, 0, next), buffer...)
		_ = c.hold(next) // less than before
	}
}

// hold sets the bytes that the connection holds. Requests that came by no connection of a
// guard are not counted.
func (c *conn) hold(bytes unit.Bytes) error {
	if c == nil || c.guard.hold(c.id, bytes) {
		return nil
	}
	return c.guard.noMemory()
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

func (g *Guard) noMemory() error {
	g.count("memoryRefused", 1)
	return problem.New(problem.Overloaded, problem.Detail{Field: "memory for clients", Limit: g.config.Memory.String(),
		Remedy: "retry later; the request was not processed"})
}

// Hold sets what the request that ctx belongs to holds until its response is written. It
// returns an Overloaded error if that is more than is left.
func Hold(ctx context.Context, bytes unit.Bytes) error { return connOf(ctx).hold(bytes) }
