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

// MaxResponse is the maximum size of a response. A full worker reports a few
// hundred tasks of less than 300 bytes each.
const MaxResponse = unit.MiB

// PathPrefix is the prefix of the HTTP path of every command. The kind of the
// command follows it.
const PathPrefix = "/v1/"

// HTTPConfig configures an HTTP transport.
type HTTPConfig struct {
	Client *http.Client
	// URL returns the base URL of a worker without a trailing slash, and whether
	// the worker is declared.
	URL func(id.Worker) (string, bool)
}

// HTTP is a Transport that sends commands as JSON over HTTP.
type HTTP struct{ cfg HTTPConfig }

func NewHTTP(cfg HTTPConfig) *HTTP { return &HTTP{cfg} }

// Call sends the command as a POST request.
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
		return decoded, problem.New(problem.Unknown, detail(worker, "list the worker's tasks; its response was truncated or exceeded "+MaxResponse.String()))
	}
	if resp.StatusCode != http.StatusOK {
		var p problem.Error
		if json.Unmarshal(body, &p) == nil && p.Kind != "" {
			return decoded, &p
		}
		return decoded, problem.New(problem.Unknown, detail(worker, "check the worker; it returned status "+resp.Status))
	}
	if err := json.Unmarshal(body, &decoded); err != nil {
		return decoded, problem.New(problem.Unknown, detail(worker, "check the worker; its response is not valid JSON"))
	}
	return decoded, nil
}

// sendError returns an Unavailable error when the connection could not be
// established, and an Unknown error when the worker may have received the
// command.
func sendError(worker id.Worker, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return problem.New(problem.Unavailable, detail(worker, "retry when the worker can be reached"))
	}
	return problem.New(problem.Unknown, detail(worker, "list the worker's tasks; the command may have been received, but no response arrived"))
}

func detail(worker id.Worker, remedy string) problem.Detail {
	return problem.Detail{Field: "worker", Value: string(worker), Remedy: remedy}
}
