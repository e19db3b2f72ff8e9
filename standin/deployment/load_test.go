package deployment_test

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"bronzewinch.dev/lib/backend"
	"bronzewinch.dev/lib/caller"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/timer"
	"bronzewinch.dev/standin/workers"

	"github.com/cockroachdb/errors"
)

const (
	numCallers          = 8
	callPause           = 10 * time.Millisecond
	healthCheckInterval = 200 * time.Millisecond // interval of the load balancer
	maxPartialRun       = 11 * time.Second
)

// callerRequest is one request and the result that its caller received.
type callerRequest struct {
	id            string
	nonIdempotent bool
	outcome       string
	status        int
	body          string
	err           error // the connection broke before a complete response
	node          id.Node
}

// nextTarget returns, round-robin, the next target that the load balancer
// considers ready, or any other target if there is none. It skips targets that
// refused the connection.
func (h *harness) nextTarget(refused map[*target]bool) *target {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, wantReady := range []bool{true, false} {
		for range h.targets {
			h.lastPicked++
			if t := h.targets[h.lastPicked%len(h.targets)]; !refused[t] && t.ready == wantReady {
				return t
			}
		}
	}
	return nil
}

// removeTarget removes a node that has ended from the load balancer.
func (h *harness) removeTarget(name id.Node) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.targets = slices.DeleteFunc(h.targets, func(t *target) bool { return t.ID == name })
}

// checkHealth checks the readiness of the nodes at an interval, as the platform's
// load balancer does.
func (h *harness) checkHealth(ctx context.Context) {
	for timer.Sleep(ctx, h.clock, healthCheckInterval) == nil {
		h.mu.Lock()
		targets := slices.Clone(h.targets)
		h.mu.Unlock()
		for _, t := range targets {
			checkCtx, cancel := context.WithTimeout(ctx, healthCheckInterval)
			r, _ := http.NewRequestWithContext(checkCtx, http.MethodGet, t.OperatorURL()+"/readyz", nil)
			status, _, err := h.do(r)
			cancel()
			h.mu.Lock()
			t.ready = err == nil && status == http.StatusOK
			h.mu.Unlock()
		}
	}
}

// call sends one request. It retries on another node only if the connection was
// refused, as only then the request certainly did not run.
func (h *harness) call(req *callerRequest) {
	refused := make(map[*target]bool)
	for {
		n := h.nextTarget(refused)
		if n == nil {
			req.outcome, req.err = "", errors.New("all nodes refused the connection")
			return
		}
		r, _ := http.NewRequestWithContext(h.ctx, http.MethodPost, n.CallerURL()+"/v1/services/s/x", strings.NewReader(req.id))
		r.Header.Set("Authorization", "Bearer "+accountToken.Reveal())
		r.Header.Set(backend.HeaderRequestID, req.id)
		r.Header.Set(caller.HeaderIdempotent, fmt.Sprint(!req.nonIdempotent))
		r.GetBody = nil // prevents net/http from retrying the request
		req.node = n.ID
		resp, err := h.http.Do(r)
		var dial *net.OpError
		if errors.As(err, &dial) && dial.Op == "dial" {
			refused[n] = true
			continue
		}
		if err != nil {
			req.err = err
			return
		}
		defer resp.Body.Close()
		var b strings.Builder
		buffer := make([]byte, 4096)
		for {
			k, err := resp.Body.Read(buffer)
			b.Write(buffer[:k])
			if err != nil {
				break
			}
		}
		req.status, req.outcome, req.body = resp.StatusCode, resp.Header.Get(backend.HeaderOutcome), b.String()
		return
	}
}

// startLoad sends requests and submits jobs until stop is called.
func (h *harness) startLoad() (stop func()) {
	ctx, cancel := context.WithCancel(h.ctx)
	var wg sync.WaitGroup
	wg.Go(func() { h.checkHealth(ctx) })
	for range numCallers {
		wg.Go(func() {
			for ctx.Err() == nil {
				h.mu.Lock()
				h.lastRequest++
				req := &callerRequest{id: fmt.Sprintf("r%d", h.lastRequest), nonIdempotent: h.lastRequest%2 == 0}
				h.mu.Unlock()
				h.call(req)
				h.mu.Lock()
				h.requests = append(h.requests, req)
				h.mu.Unlock()
				_ = timer.Sleep(ctx, h.clock, callPause)
			}
		})
	}
	wg.Go(func() {
		for i := 0; ctx.Err() == nil; i++ {
			name := id.Job(fmt.Sprintf("quick-%d", i))
			h.submit(name, jobText(name, false))
			_ = timer.Sleep(ctx, h.clock, quickRunTime)
		}
	})
	wg.Go(func() { h.checkRevisions(ctx) })
	return func() {
		cancel()
		wg.Wait()
	}
}

// checkRevisions checks that no node returns to an earlier configuration.
func (h *harness) checkRevisions(ctx context.Context) {
	highest := make(map[id.Node]id.Revision)
	for timer.Sleep(ctx, h.clock, 10*time.Millisecond) == nil {
		for _, n := range h.deployment.Nodes() {
			if n.Ready() != nil {
				continue // a starting node does not serve yet
			}
			if r := n.Revision(); r < highest[n.ID] {
				h.recordViolation("node %s returned from revision %d to %d", n.ID, highest[n.ID], r)
			} else {
				highest[n.ID] = r
			}
		}
	}
}

// checkRequests compares the results that callers received with the requests that
// the backend servers ran, and returns the number of requests by outcome. During
// planned faults, no connection may break and no outcome may be unknown.
func (h *harness) checkRequests(planned bool) map[string]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	runs := make(map[string]int)
	for _, b := range h.deployment.Backends {
		for _, r := range b.Runs() {
			runs[r.Request]++
		}
	}
	counts := make(map[string]int)
	for _, req := range h.requests {
		key := "a/" + req.id
		counts[req.outcome]++
		violation := ""
		switch {
		case req.nonIdempotent && runs[key] > 1:
			violation = "ran more than once"
		case req.err != nil && planned:
			violation = "lost its connection"
		case req.err != nil:
			counts["connection lost"]++
		case req.outcome == "done" && req.status == http.StatusOK && (req.body != key+" "+req.id || runs[key] == 0):
			violation = "got a response of another request, or did not run"
		case req.outcome == "notRun" && runs[key] > 0:
			violation = "ran although its outcome is notRun"
		case req.outcome == "unknown" && planned:
			violation = "has the outcome unknown after a planned fault"
		case req.outcome != "done" && req.outcome != "notRun" && req.outcome != "unknown":
			violation = "has no valid outcome"
		}
		if violation != "" {
			h.violations = append(h.violations, fmt.Sprintf("request %s %s: via %s, status %d, runs %d, error %v, body %.200s", req.id, violation, req.node, req.status, runs[key], req.err, req.body))
		}
	}
	h.violations = append(h.violations, findPartialGangs(h.deployment.Workers.Intervals())...)
	return counts
}

// findPartialGangs describes the gangs that ran with only one of their two
// members for longer than maxPartialRun.
func findPartialGangs(all []workers.Interval) []string {
	type gang struct {
		job     id.Job
		attempt int
	}
	edges := make(map[gang]map[time.Time]int)
	for _, i := range all {
		g := gang{i.Job, i.Attempt}
		if edges[g] == nil {
			edges[g] = make(map[time.Time]int)
		}
		edges[g][i.From]++
		edges[g][i.To]--
	}
	var findings []string
	for g, at := range edges {
		times := slices.SortedFunc(maps.Keys(at), time.Time.Compare)
		running, partial := 0, time.Duration(0)
		for i, now := range times {
			if i > 0 && running > 0 && running < 2 {
				partial += now.Sub(times[i-1])
			}
			running += at[now]
		}
		if partial > maxPartialRun {
			findings = append(findings, fmt.Sprintf("gang %v ran with one of two members for %v; the limit is %v", g, partial, maxPartialRun))
		}
	}
	return findings
}
