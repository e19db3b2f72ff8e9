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

// Config configures a Client.
type Config struct {
	// Addresses are tried in order, for example "http://10.0.0.1:8081".
	Addresses []string
	Token     token.Token
	// CA is a PEM file with the certificate authorities of the nodes. Empty means
	// the system's authorities.
	CA string
	// Timeout limits one request to one address.
	Timeout time.Duration
	// Rounds is how often all addresses are tried. Zero means 3.
	Rounds int
	Clock  timer.Service
}

// Limits of the client.
const (
	defaultRounds    = 3
	maxResponseBytes = 64 << 20
	// baseBackoff is the delay before the second round, before jitter. It doubles
	// with each further round.
	baseBackoff = 300 * time.Millisecond
)

// Client sends requests to the operator frontends of entry nodes. All these
// requests are idempotent, since changes and jobs carry ids that the sender
// chose. So a request whose response was lost is sent to the next address.
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
	// A proxy that is set in the environment must not receive the token.
	transport.Proxy = nil
	if c.CA != "" {
		pem, err := os.ReadFile(c.CA)
		pool := x509.NewCertPool()
		if err != nil || !pool.AppendCertsFromPEM(pem) {
			return nil, problem.New(problem.Invalid, problem.Detail{Field: "ca", Value: c.CA, Limit: "a PEM file with certificates", Remedy: "correct the context"})
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: pool}
	}
	// A redirect could send the token to another server.
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
		return resp, problem.New(problem.Internal, problem.Detail{Field: "answer", Limit: "JSON", Remedy: "check that the address is that of an entry node's operator frontend"})
	}
	return resp, nil
}

// tryAddresses sends a request to all addresses, in several rounds, until one
// gives a result that a retry can't change.
func (c *Client) tryAddresses(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	// An earlier attempt may have taken effect, also if a later one is rejected.
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
			Remedy: "its outcome is unknown; check with `bronzewinch history` or `bronzewinch jobs` whether it took effect before you send it again"})
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
		return nil, problem.New(problem.Unknown, problem.Detail{Field: "answer", Limit: "64 MiB, complete", Remedy: "request fewer items"})
	}
	if resp.StatusCode != http.StatusOK {
		return nil, responseError(resp.StatusCode, data)
	}
	return data, nil
}

// transportError returns an Unavailable error for a request that was not sent, an
// Unknown error for one that may have arrived. The error of the library contains
// the address but no headers, so it doesn't reveal the token.
func transportError(url string, err error) error {
	kind := problem.Unknown
	if isDialError(err) {
		kind = problem.Unavailable
	}
	return problem.New(kind, problem.Detail{Field: "entry node", Value: url, Remedy: "check the address and the node: " + errors.UnwrapAll(err).Error()})
}

// responseError returns the error in a node's response, with the kind that the
// node gave.
func responseError(status int, data []byte) error {
	var body operator.ErrorBody
	if err := json.Unmarshal(data, &body); err != nil || body.Problem.Kind == "" {
		kind := problem.Internal
		if status >= http.StatusInternalServerError {
			kind = problem.Unavailable
		}
		return problem.New(kind, problem.Detail{Field: "answer", Value: fmt.Sprint(status), Remedy: "check that the address is that of an entry node's operator frontend"})
	}
	switch {
	case body.Conflict != nil:
		return body.Conflict
	case len(body.Mistakes) > 0:
		return body.Mistakes
	}
	return &body.Problem
}
