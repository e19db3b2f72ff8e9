// Package backend speaks HTTP/1.1 to backend servers. One call is one attempt
// of one request on one connection: nothing is retried here. net/http's
// Transport is not used, because it repeats requests by itself on a broken
// connection and does not tell whether a byte was written.
package backend

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/outcome"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/shard"
	"bronzewinch.dev/lib/timer"
	"bronzewinch.dev/lib/unit"
)

const (
	// idleTimeout closes a connection before common servers do (Go's and
	// nginx's defaults are 60 s and more), so that a request rarely meets a
	// connection that is being closed.
	idleTimeout = 30 * time.Second
	// dialTimeout is far more than a round trip between zones (3 ms) and
	// bounds the time lost on a VM that is gone.
	dialTimeout = 250 * time.Millisecond
	// maxHeaderSize bounds the status line and headers of an answer.
	maxHeaderSize = 64 * unit.KiB
	// maxInterimResponses bounds the 1xx answers before the final one.
	maxInterimResponses = 5
	// maxPooledBuffer is the greatest buffer for a request head that is kept.
	maxPooledBuffer = 16 << 10
)

// Class says what is certain about an attempt.
type Class uint8

// The classes of attempts.
const (
	// Completed means that the whole answer arrived and belongs to the attempt.
	Completed Class = iota + 1
	// Busy means that the backend server refused the attempt before running it.
	Busy
	// NotSent means that no byte of the attempt left this node.
	NotSent
	// Lost means that the attempt may have run and no usable answer arrived.
	Lost
)

// Request is one attempt of one request.
type Request struct {
	ID      id.Request
	Attempt outcome.Attempt
	Method  string
	// Target is the escaped path with the query.
	Target   string
	Header   http.Header
	Body     []byte
	Deadline time.Time
	// Connections is how many connections this node may hold to the backend
	// server.
	Connections unit.Connections
	MaxResponse unit.Bytes
}

// Response is a whole answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Result is the end of an attempt.
type Result struct {
	Class    Class
	Response Response
	// Load is the number of running requests that the backend server reported,
	// or -1.
	Load int
	// Err says why there is no answer.
	Err error
}

// Client sends attempts to backend servers.
type Client struct {
	clock       timer.Service
	pools       *shard.Map[string, *pool]
	headBuffers sync.Pool
}

// Config configures a Client.
type Config struct {
	Clock timer.Service
}

// New returns a client without connections.
func New(c Config) *Client {
	return &Client{
		clock:       c.Clock,
		pools:       shard.NewMap[string, *pool](),
		headBuffers: sync.Pool{New: func() any { b := make([]byte, 0, 1<<10); return &b }},
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.pools.Range(func(_ string, p *pool) bool { p.closeIdle(); return true })
}

// CloseIdle closes the idle connections to a backend server that left.
func (c *Client) CloseIdle(address string) {
	if p, ok := c.pools.Get(address); ok {
		p.closeIdle()
	}
}

// Do makes one attempt. The attempt goes on until its deadline even when the
// caller is gone, because the caller may fetch the answer later; ctx only ends
// the dial.
func (c *Client) Do(ctx context.Context, address string, r *Request) Result {
	if err := r.validate(); err != nil {
		return Result{Class: NotSent, Load: -1, Err: err}
	}
	now := c.clock.Now()
	if !now.Before(r.Deadline) {
		return Result{Class: NotSent, Load: -1, Err: expiredError()}
	}
	p := c.pool(address)
	dialDeadline := now.Add(dialTimeout)
	if r.Deadline.Before(dialDeadline) {
		dialDeadline = r.Deadline
	}
	conn, err := p.get(ctx, r.Connections, now, dialDeadline)
	if err != nil {
		return Result{Class: NotSent, Load: -1, Err: err}
	}
	result, reusable := c.exchange(conn, address, r, now)
	if reusable {
		p.put(conn, r.Connections, c.clock.Now())
	} else {
		p.discard(conn)
	}
	return result
}

func (c *Client) pool(address string) (found *pool) {
	if p, ok := c.pools.Get(address); ok {
		return p
	}
	c.pools.Update(address, func(p *pool, ok bool) (*pool, bool) {
		if !ok {
			p = &pool{address: address, dialer: net.Dialer{KeepAlive: 15 * time.Second}}
		}
		found = p
		return p, true
	})
	return found
}

// exchange writes the request and reads the answer. It reports whether the
// connection can carry another attempt.
func (c *Client) exchange(conn *conn, address string, r *Request, now time.Time) (Result, bool) {
	if err := conn.netConn.SetDeadline(r.Deadline); err != nil {
		return Result{Class: NotSent, Load: -1, Err: unreachableError(err)}, false
	}
	buf := c.headBuffers.Get().(*[]byte)
	head := appendRequest((*buf)[:0], address, r, r.Deadline.Sub(now))
	n, err := conn.write(head, r.Body)
	if cap(head) <= maxPooledBuffer {
		*buf = head[:0]
		c.headBuffers.Put(buf)
	}
	if err != nil && n == 0 {
		return Result{Class: NotSent, Load: -1, Err: unreachableError(err)}, false
	}
	// A backend server that refuses early may answer before it has read the
	// whole body, so the answer is read after a failed write too.
	result, reusable := readResponse(conn, r)
	return result, reusable && err == nil
}

// readResponse reads and checks the answer.
func readResponse(conn *conn, r *Request) (Result, bool) {
	conn.limited.N = int64(maxHeaderSize + r.MaxResponse)
	httpResponse, err := readHead(conn)
	if err != nil {
		return lostResult(err), false
	}
	load := parseLoad(httpResponse.Header)
	if !matchesAttempt(httpResponse.Header, r.ID, r.Attempt) {
		return lostResult(errors.New("the answer belongs to another attempt")), false
	}
	body, err := readBody(httpResponse, r.MaxResponse)
	if err != nil {
		return lostResult(err), false
	}
	reusable := !httpResponse.Close && conn.reader.Buffered() == 0
	if httpResponse.StatusCode == http.StatusServiceUnavailable && httpResponse.Header.Get(HeaderOutcome) == string(outcome.NotRun) {
		return Result{Class: Busy, Load: load, Err: problem.New(problem.Overloaded, problem.Detail{
			Field: "backend", Remedy: "try another backend server"})}, reusable
	}
	response := Response{Status: httpResponse.StatusCode, Header: forwardableHeader(httpResponse.Header), Body: body}
	return Result{Class: Completed, Response: response, Load: load}, reusable
}

// readHead returns the first answer that is not an interim one.
func readHead(conn *conn) (*http.Response, error) {
	for range maxInterimResponses {
		httpResponse, err := http.ReadResponse(conn.reader, nil)
		if err != nil {
			return nil, err
		}
		if httpResponse.StatusCode >= 200 {
			return httpResponse, nil
		}
	}
	return nil, errors.New("too many interim answers")
}

// readBody reads the whole body. A body that ends only with the connection
// can't be told from a truncated one, so it is refused.
func readBody(httpResponse *http.Response, limit unit.Bytes) ([]byte, error) {
	defer httpResponse.Body.Close()
	chunked := len(httpResponse.TransferEncoding) > 0
	if httpResponse.ContentLength < 0 && !chunked {
		return nil, errors.New("the answer has no length")
	}
	if httpResponse.ContentLength > int64(limit) {
		return nil, errors.New("the answer is too large")
	}
	if !chunked {
		body := make([]byte, httpResponse.ContentLength)
		_, err := io.ReadFull(httpResponse.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(httpResponse.Body, int64(limit)+1))
	if err == nil && len(body) > int(limit) {
		err = errors.New("the answer is too large")
	}
	return body, err
}

func lostResult(err error) Result {
	return Result{Class: Lost, Load: -1, Err: problem.New(problem.Unknown, problem.Detail{
		Field: "answer", Remedy: "the backend server may have run the request: " + err.Error()})}
}

func unreachableError(err error) error {
	return problem.New(problem.Unavailable, problem.Detail{
		Field: "backend", Remedy: "try another backend server: " + err.Error()})
}

func expiredError() error {
	return problem.New(problem.Expired, problem.Detail{
		Field: "deadline", Remedy: "send the request again with a later deadline"})
}
