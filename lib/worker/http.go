package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/unit"

	"github.com/cockroachdb/errors"
)

// MaxResponse is the greatest size of an answer that is read. A full worker
// reports a few hundred tasks of under 300 bytes each.
const MaxResponse = unit.MiB

// PathPrefix starts the HTTP path of every command; the kind follows.
const PathPrefix = "/v1/"

// HTTPConfig describes an HTTP transport.
type HTTPConfig struct {
	Client *http.Client
	// URL returns the base URL of a worker, without a slash at the end, and
	// whether the worker is declared.
	URL func(id.Worker) (string, bool)
}

// HTTP is the transport over HTTP and JSON.
type HTTP struct{ cfg HTTPConfig }

// NewHTTP returns a transport.
func NewHTTP(cfg HTTPConfig) *HTTP { return &HTTP{cfg} }

// Call posts the command.
func (h *HTTP) Call(ctx context.Context, worker id.Worker, c Command) (Response, error) {
	base, ok := h.cfg.URL(worker)
	if !ok {
		return Response{}, problem.New(problem.Unavailable, detail(worker, "declare the worker in a zone record"))
	}
	body, err := json.Marshal(c)
	if err != nil {
		return Response{}, errors.Wrapf(err, "encode a %s command", c.Kind)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+PathPrefix+string(c.Kind), bytes.NewReader(body))
	if err != nil {
		return Response{}, problem.New(problem.Unavailable, detail(worker, "correct the worker's address: "+err.Error()))
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := h.cfg.Client.Do(req)
	if err != nil {
		return Response{}, sendError(worker, err)
	}
	defer resp.Body.Close()
	return decode(worker, resp)
}

func decode(worker id.Worker, resp *http.Response) (Response, error) {
	var decoded Response
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(MaxResponse)+1))
	if err != nil || unit.Bytes(len(body)) > MaxResponse {
		return decoded, problem.New(problem.Unknown, detail(worker, "list the worker's tasks; its answer was not whole"))
	}
	if resp.StatusCode != http.StatusOK {
		var p problem.Error
		if json.Unmarshal(body, &p) == nil && p.Kind != "" {
			return decoded, &p
		}
		return decoded, problem.New(problem.Unknown, detail(worker, "check the worker; it answered "+resp.Status))
	}
	if err := json.Unmarshal(body, &decoded); err != nil {
		return decoded, problem.New(problem.Unknown, detail(worker, "check the worker; its answer is not valid JSON"))
	}
	return decoded, nil
}

// sendError tells a worker that was not reached from one that may have the
// command.
func sendError(worker id.Worker, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return problem.New(problem.Unavailable, detail(worker, "try again once the worker can be reached"))
	}
	return problem.New(problem.Unknown, detail(worker, "list the worker's tasks; no answer came"))
}

func detail(worker id.Worker, remedy string) problem.Detail {
	return problem.Detail{Field: "worker", Value: string(worker), Remedy: remedy}
}
