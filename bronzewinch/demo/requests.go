package demo

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"

	"bronzewinch.dev/lib/backend"
	"bronzewinch.dev/lib/caller"
	"bronzewinch.dev/lib/outcome"
)

// callerResponse is a response to a caller: its status, outcome and body.
type callerResponse struct {
	status  int
	outcome string
	body    string
}

func (w *walkthrough) request(ctx context.Context) (string, error) {
	body := "a night's reading"
	a, err := w.call(ctx, 0, "demo-1", "", body)
	if err != nil {
		return "", err
	}
	// The simulated backend returns the request's id and body.
	if a.outcome != "done" || !strings.HasSuffix(a.body, "demo-1 "+body) {
		return "", fmt.Errorf("status %d, outcome %q, answer %q", a.status, a.outcome, a.body)
	}
	return fmt.Sprintf("outcome %s, %d bytes through %s", a.outcome, len(a.body), w.deployment.Nodes()[0].ID), nil
}

// atMostOnce sends the same non-idempotent request through two nodes. It checks
// that the backend ran it once and that both responses are the same.
func (w *walkthrough) atMostOnce(ctx context.Context) (string, error) {
	const name, body = "pay-lot-17", "pay the seller of lot 17"
	var responses []callerResponse
	for node := range 2 {
		a, err := w.call(ctx, node, name, "false", body)
		if err != nil {
			return "", err
		}
		responses = append(responses, a)
	}
	runs := 0
	for _, b := range w.deployment.Backends {
		for _, r := range b.Runs() {
			if r.Body == body {
				runs++
			}
		}
	}
	if runs != 1 || responses[0].outcome != "done" || responses[0] != responses[1] {
		return "", fmt.Errorf("the two copies of the request had %d runs, want 1, and the responses %+v", runs, responses)
	}
	return "two copies through two nodes: one run, the same answer", nil
}

// call sends one request of the calling account through a node. As callers
// should, it retries with the same id while the outcome is notRun, for example
// because a request shard is being handed over to another node.
func (w *walkthrough) call(ctx context.Context, node int, name, idempotent, body string) (callerResponse, error) {
	return poll(ctx, w, func() (callerResponse, bool, error) {
		a, err := w.send(ctx, node, name, idempotent, body)
		return a, a.outcome != string(outcome.NotRun), err
	})
}

// send sends one request without retries.
func (w *walkthrough) send(ctx context.Context, node int, name, idempotent, body string) (callerResponse, error) {
	n := w.deployment.Nodes()[node]
	url := fmt.Sprintf("%s/v1/services/%s/score", n.CallerURL(), w.roles.service)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return callerResponse{}, err
	}
	r.Header.Set("Authorization", "Bearer "+w.tokens["account/"+string(w.roles.caller)].Reveal())
	r.Header.Set(backend.HeaderRequestID, name)
	if idempotent != "" {
		r.Header.Set(caller.HeaderIdempotent, idempotent)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return callerResponse{}, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return callerResponse{resp.StatusCode, resp.Header.Get(backend.HeaderOutcome), string(text)}, err
}
