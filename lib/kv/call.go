package kv

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"

	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/timer"
)

const (
	// maxReply limits the size of a reply in bytes. Values are up to 1 MiB and
	// encoded in base64; the service shortens a list of such values to a few.
	maxReply = 16 << 20
	// readAttempts, minRetryDelay and maxRetryDelay limit the retries of a read.
	readAttempts  = 3
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = time.Second
)

// read makes a call that changes nothing, and retries it within the retry budget.
// If no reply arrives, the error is Unavailable and not Unknown, because the call
// had no effect.
func read[Req, Resp any](ctx context.Context, c *Client, op Op, req Req, timeout time.Duration) (Resp, error) {
	delay := minRetryDelay
	for attempt := 1; ; attempt++ {
		resp, err := callOnce[Req, Resp](ctx, c, op, req, timeout)
		kind := problem.KindOf(err)
		if kind != problem.Unavailable && kind != problem.Unknown {
			return resp, err
		}
		if attempt == readAttempts || ctx.Err() != nil || !c.retryBudget.Allow() {
			return resp, unavailableError(op, err)
		}
		if timer.Sleep(ctx, c.config.Timer, timer.Jitter(delay)) != nil {
			return resp, unavailableError(op, err)
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

// write makes a call without retries. If the reply is lost, only the caller can
// find out whether the write took effect, so it decides whether to retry.
func write[Req, Resp any](ctx context.Context, c *Client, op Op, req Req) (Resp, error) {
	return callOnce[Req, Resp](ctx, c, op, req, c.config.Timeout)
}

func callOnce[Req, Resp any](ctx context.Context, c *Client, op Op, req Req, timeout time.Duration) (Resp, error) {
	var resp Resp
	body, err := json.Marshal(req)
	if err != nil {
		return resp, problem.New(problem.Internal, problem.Detail{Field: string(op), Remedy: err.Error()})
	}
	if err := c.waitForLimiter(ctx, op); err != nil {
		return resp, err
	}
	c.callCounters[op].Inc()
	reply, err := c.send(ctx, op, body, timeout)
	if err != nil {
		c.countError(op, err)
		return resp, err
	}
	if err := json.Unmarshal(reply, &resp); err != nil {
		return resp, unknownError(op, err)
	}
	return resp, nil
}

// waitForLimiter waits until the rate limit allows a call. A lease renewal takes
// its token without waiting, so that a queue of other calls does not make the lease
// expire.
func (c *Client) waitForLimiter(ctx context.Context, op Op) error {
	if op == OpKeepAlive {
		c.limiter.Reserve()
		return nil
	}
	if c.bulkLimiter != nil {
		if err := c.bulkLimiter.Wait(ctx); err != nil {
			return unavailableError(op, err)
		}
	}
	if err := c.limiter.Wait(ctx); err != nil {
		return unavailableError(op, err)
	}
	return nil
}

// send sends one HTTP request. A failure before the request has a connection is
// Unavailable, because nothing can have reached the service. A later failure is
// Unknown.
func (c *Client) send(ctx context.Context, op Op, body []byte, timeout time.Duration) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	connected := false // set on this goroutine, before the request is written
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true }})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.config.URL+"/v1/"+string(op), bytes.NewReader(body))
	if err != nil {
		return nil, unavailableError(op, err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(ClientHeader, c.config.Name)
	resp, err := c.http.Do(req)
	if err != nil {
		if connected {
			return nil, unknownError(op, err)
		}
		return nil, unavailableError(op, err)
	}
	defer resp.Body.Close()
	reply, err := io.ReadAll(io.LimitReader(resp.Body, maxReply))
	if err != nil {
		return nil, unknownError(op, err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, statusError(op, resp.StatusCode, reply)
	}
	return reply, nil
}

// statusError returns the error for a reply with a status code other than 200. Only
// a typed error of the service proves that the call had no effect; any other reply
// is Unknown.
func statusError(op Op, status int, reply []byte) error {
	var e problem.Error
	if err := json.Unmarshal(reply, &e); err != nil || e.Kind == "" {
		return unknownError(op, fmt.Errorf("status %d without a typed error", status))
	}
	if e.Kind == problem.Overloaded {
		e.Kind = problem.Unavailable
	}
	return &e
}

func (c *Client) countError(op Op, err error) {
	c.config.Metrics.GetOrCreateCounter(fmt.Sprintf("bronzewinch_kv_errors_total{op=%q,kind=%q}",
		op, problem.KindOf(err))).Inc()
}

func unavailableError(op Op, err error) error {
	return problem.New(problem.Unavailable, problem.Detail{
		Field: "key-value service", Value: string(op),
		Remedy: "retry later; the call had no effect: " + err.Error()})
}

func unknownError(op Op, err error) error {
	return problem.New(problem.Unknown, problem.Detail{
		Field: "result of a call to the key-value service", Value: string(op),
		Remedy: "read the key to find out whether the write took effect: " + err.Error()})
}
