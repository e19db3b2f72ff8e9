// Package client sends requests of operators and client accounts to entry
// nodes.
package client

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"bronzewinch.dev/lib/operator"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/timer"
	"bronzewinch.dev/lib/token"

	"github.com/cockroachdb/errors"
)

// Config is what a Client is made from.
type Config struct {
	// Addresses are tried in order, for example "http://10.0.0.1:8081".
	Addresses []string
	Token     token.Token
	// CA is a PEM file with the authorities of the nodes' certificates. It is
	// empty for those of the system.
	CA string
	// Timeout is the longest time for one try.
	Timeout time.Duration
	// Rounds is how often all addresses are tried, 3 when zero.
	Rounds int
	Clock  timer.Service
}

// Limits of the client.
const (
	defaultRounds    = 3
	maxResponseBytes = 64 << 20
	// baseBackoff is the time between two rounds, before jitter.
	baseBackoff = 300 * time.Millisecond
)

// Client sends requests. All requests of the operators' front can be sent
// again without a second effect, since changes and jobs carry ids that their
// sender chose. So a request whose answer was lost is sent to the next
// address.
type Client struct {
	Config
	http *http.Client
}

// New returns a client.
func New(c Config) (*Client, error) {
	if c.Rounds == 0 {
		c.Rounds = defaultRounds
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	// A proxy of the environment must not see the token.
	transport.Proxy = nil
	if c.CA != "" {
		pem, err := os.ReadFile(c.CA)
		pool := x509.NewCertPool()
		if err != nil || !pool.AppendCertsFromPEM(pem) {
			return nil, problem.New(problem.Invalid, problem.Detail{Field: "ca", Value: c.CA, Limit: "a PEM file with certificates", Remedy: "correct the context"})
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: pool}
	}
	// A redirect could take the token elsewhere.
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{c, &http.Client{Transport: transport, Timeout: c.Timeout, CheckRedirect: noRedirect}}, nil
}

// Get sends a request without a body.
func Get[Resp any](ctx context.Context, c *Client, path string) (Resp, error) {
	return send[Resp](ctx, c, http.MethodGet, path, nil)
}

// Post sends a request with a body.
func Post[Resp any](ctx context.Context, c *Client, path string, req any) (Resp, error) {
	return sendValue[Resp](ctx, c, http.MethodPost, path, req)
}

// Put sends a request with a body that replaces a value.
func Put[Resp any](ctx context.Context, c *Client, path string, req any) (Resp, error) {
	return sendValue[Resp](ctx, c, http.MethodPut, path, req)
}

func sendValue[Resp any](ctx context.Context, c *Client, method, path string, req any) (Resp, error) {
	body, err := json.Marshal(req)
	if err != nil {
		var none Resp
		return none, err
	}
	return send[Resp](ctx, c, method, path, body)
}

func send[Resp any](ctx context.Context, c *Client, method, path string, body []byte) (Resp, error) {
	var resp Resp
	data, err := c.tryAddresses(ctx, method, path, body)
	if err != nil {
		return resp, err
	}
	if err := json.Unmarshal(data, &resp); err != nil {
		return resp, problem.New(problem.Internal, problem.Detail{Field: "answer", Limit: "JSON", Remedy: "check that the address is the operators' front of an entry node"})
	}
	return resp, nil
}

// tryAddresses tries all addresses until one gives an answer that more tries can't
// change.
func (c *Client) tryAddresses(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	// An earlier try may have taken effect, whatever a later one says.
	maybeApplied := false
	var err error
	for round := range c.Rounds {
		if round > 0 {
			if timer.Sleep(ctx, c.Clock, timer.Jitter(baseBackoff<<(round-1))) != nil {
				break
			}
		}
		for _, address := range c.Addresses {
			var data []byte
			data, err = c.sendOnce(ctx, method, strings.TrimRight(address, "/")+path, body)
			switch problem.KindOf(err) {
			case problem.Unavailable, problem.Overloaded, problem.Fenced, problem.NotOwner:
			case problem.Unknown, problem.Expired:
				maybeApplied = true
			default:
				return data, err
			}
			if ctx.Err() != nil {
				break
			}
		}
	}
	if maybeApplied && method != http.MethodGet {
		return nil, problem.New(problem.Unknown, problem.Detail{Field: "request", Value: method + " " + path,
			Remedy: "no answer came; look with `bronzewinch history` or `bronzewinch jobs` whether it took effect before you send it again"})
	}
	return nil, err
}

// sendOnce sends a request to one address.
func (c *Client) sendOnce(ctx context.Context, method, url string, body []byte) ([]byte, error) {
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, problem.New(problem.Invalid, problem.Detail{Field: "address", Value: url, Limit: "an http or https address", Remedy: "correct the context"})
	}
	r.Header.Set("Authorization", "Bearer "+c.Token.Reveal())
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return nil, transportError(url, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil || len(data) > maxResponseBytes {
		return nil, problem.New(problem.Unknown, problem.Detail{Field: "answer", Limit: "64 MiB, complete", Remedy: "ask for fewer items"})
	}
	if resp.StatusCode != http.StatusOK {
		return nil, responseError(resp.StatusCode, data)
	}
	return data, nil
}

// transportError tells a request that did not leave from one without an answer. The
// library's error holds the address but no headers.
func transportError(url string, err error) error {
	kind := problem.Unknown
	if isDialError(err) {
		kind = problem.Unavailable
	}
	return problem.New(kind, problem.Detail{Field: "entry node", Value: url, Remedy: "check the address and the node: " + errors.UnwrapAll(err).Error()})
}

// responseError makes the error of an answer, of the kind that the node gave.
func responseError(status int, data []byte) error {
	var body operator.ErrorBody
	if err := json.Unmarshal(data, &body); err != nil || body.Problem.Kind == "" {
		kind := problem.Internal
		if status >= http.StatusInternalServerError {
			kind = problem.Unavailable
		}
		return problem.New(kind, problem.Detail{Field: "answer", Value: fmt.Sprint(status), Remedy: "check that the address is the operators' front of an entry node"})
	}
	switch {
	case body.Conflict != nil:
		return body.Conflict
	case len(body.Mistakes) > 0:
		return body.Mistakes
	}
	return &body.Problem
}
