// Package backend sends HTTP/1.1 requests to backend servers. One call is one
// attempt of one request on one connection; the package never retries. It does
// not use net/http's Transport, which retries some requests on a broken
// connection and does not report whether any byte was written.
package backend

import (
	"context"
	"errors"
	"fmt"
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
	// idleTimeout is shorter than the idle timeouts of common servers (Go and
	// nginx use 60 s or more), so that a request is rarely sent on a connection
	// that the server is closing.
	idleTimeout = 30 * time.Second
	// dialTimeout is much longer than a round trip between zones (3 ms), and
	// bounds the time lost on a VM that is gone.
	dialTimeout = 250 * time.Millisecond
	// maxHeaderSize bounds the status line and headers of a response.
	maxHeaderSize = 64 * unit.KiB
	// maxInterimResponses bounds the number of responses read, of which all but
	// the last are interim (1xx).
	maxInterimResponses = 5
	// maxPooledBuffer is the capacity of the largest request head buffer, in
	// bytes, that is returned to the pool.
	maxPooledBuffer = 16 << 10
)

// Class classifies the result of an attempt by what is certain about it.
type Class uint8

// The classes of results.
const (
	// Completed means that the complete response arrived and belongs to the
	// attempt.
	Completed Class = iota + 1
	// Busy means that the backend server rejected the attempt before running
	// it.
	Busy
	// NotSent means that no byte of the attempt left this node.
	NotSent
	// Lost means that the attempt may have run and that no usable response
	// arrived.
	Lost
)

// Request is one attempt of one request.
type Request struct {
	ID      id.Request
	Attempt outcome.Attempt
	Method  string
	// Target is the escaped path and query.
	Target   string
	Header   http.Header
	Body     []byte
	Deadline time.Time
	// Connections is the maximum number of connections from this node to the
	// backend server.
	Connections unit.Connections
	MaxResponse unit.Bytes
}

// Response is a complete response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Result is the result of an attempt.
type Result struct {
	Class    Class
	Response Response
	// Load is the number of running requests that the backend server reported,
	// or -1 if it reported none.
	Load int
	// Err is the reason why there is no response. It is nil for Completed.
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

// CloseIdle closes the idle connections to a backend server that was removed.
func (c *Client) CloseIdle(address string) {
	if p, ok := c.pools.Get(address); ok {
		p.closeIdle()
	}
}

// Do makes one attempt. The attempt continues until its deadline even if the
// caller has disconnected, because the caller may fetch the response later; ctx
// cancels only the dial.
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

// exchange writes the request and reads the response. It reports whether the
// connection can be used for another attempt.
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
	// A backend server that rejects a request may respond before it has read
	// the whole body, so the response is read after a failed write too.
	result, reusable := readResponse(conn, r)
	return result, reusable && err == nil
}

// readResponse reads and checks the response. It reports whether the connection
// can be used for another attempt.
func readResponse(conn *conn, r *Request) (Result, bool) {
	conn.limited.N = int64(maxHeaderSize + r.MaxResponse)
	httpResponse, err := readHead(conn)
	if err != nil {
		return lostResult(err), false
	}
	load := parseLoad(httpResponse.Header)
	if !matchesAttempt(httpResponse.Header, r.ID, r.Attempt) {
		return lostResult(errors.New("the response belongs to another attempt")), false
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

// readHead reads the status line and headers of the first response that is not
// interim.
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
	return nil, fmt.Errorf("no final response after %d interim responses", maxInterimResponses)
}

// readBody reads the complete body. It rejects a body that is delimited only by
// the end of the connection, because such a body can't be distinguished from a
// truncated one.
func readBody(httpResponse *http.Response, limit unit.Bytes) ([]byte, error) {
	defer httpResponse.Body.Close()
	chunked := len(httpResponse.TransferEncoding) > 0
	if httpResponse.ContentLength < 0 && !chunked {
		return nil, errors.New("the response has neither a Content-Length nor a chunked body")
	}
	if httpResponse.ContentLength > int64(limit) {
		return nil, fmt.Errorf("the response body of %d bytes exceeds the limit of %d bytes", httpResponse.ContentLength, limit)
	}
	if !chunked {
		body := make([]byte, httpResponse.ContentLength)
		_, err := io.ReadFull(httpResponse.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(httpResponse.Body, int64(limit)+1))
	if err == nil && len(body) > int(limit) {
		err = fmt.Errorf("the response body exceeds the limit of %d bytes", limit)
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
