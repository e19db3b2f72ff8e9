package cooperative

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Client calls the nodes' client interface.
type Client struct {
	http *http.Client
}

// callTimeout is how long clients wait for a response.
const callTimeout = 3 * time.Second

// NewClient returns a client with its own connections.
func NewClient() *Client {
	return &Client{http: &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 2}}}
}

// Call makes one call about a job. The status is zero if no complete response
// was received.
func (c *Client) Call(method, address string, queue int, job string, body any) (int, map[string]any) {
	var reader io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			panic(err) // unreachable: tests send only values that can be encoded
		}
		reader = bytes.NewReader(b)
	}
	req, err := http.NewRequest(method, "http://"+address+PathPrefix(queue)+job, reader)
	if err != nil {
		return 0, nil
	}
	req.Host = Host
	req.Header.Set("X-Api-Key", APIKey)
	req.Header.Set("Bronzewinch-Deadline-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	var v map[string]any
	if err := json.NewDecoder(resp.Body).Decode(&v); err != nil {
		return 0, nil // truncated response
	}
	return resp.StatusCode, v
}

// JobBody returns the request body for a job whose steps run one after another.
func JobBody(steps []Step) map[string]any {
	var all []map[string]any
	for i, s := range steps {
		b := map[string]any{"count": s.Count, "gpu": s.GPU, "cpu": 500, "mem_mb": 256, "gang": s.Gang,
			"estimate_ms": s.RunTime.Milliseconds()}
		if s.isService() {
			b["long_running"], b["target_ms"], b["may_miss"] = true, s.LatencyTarget.Milliseconds(), s.MaxUnavailable
		}
		if s.BestEffort {
			b["fills"] = true
		}
		if i > 0 {
			b["after"] = []int{i - 1}
		}
		all = append(all, b)
	}
	return map[string]any{"spec": "spec", "steps": all}
}
