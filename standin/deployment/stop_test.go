package deployment_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"bronzewinch.dev/lib/backend"
	"bronzewinch.dev/lib/timer"
	"bronzewinch.dev/lib/vmlist"

	"github.com/matryer/is"
)

// TestStopOrder guards against a planned stop that closes the node's addresses
// before the load balancer and the other nodes can notice, that does not release
// its shards, or that accepts requests for longer than the shutdown grace.
func TestStopOrder(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, harnessTimeout)
	n, other := h.target("n1"), h.target("n2")
	stopped := make(chan error, 1)
	start := h.clock.Now()
	go func() { stopped <- n.Stop(h.ctx) }()
	readyStatus := func(url string) int {
		r, _ := http.NewRequestWithContext(h.ctx, http.MethodGet, url+"/readyz", nil)
		status, _, _ := h.do(r)
		return status
	}
	for readyStatus(n.OperatorURL()) == http.StatusOK {
		is.NoErr(timer.Sleep(h.ctx, h.clock, time.Millisecond))
	}
	is.True(h.clock.Now().Sub(start) < healthCheckInterval) // not ready at once
	is.Equal(readyStatus(n.CallerURL()), http.StatusServiceUnavailable)
	// The load balancer may not have noticed yet, so requests are still served.
	r, _ := http.NewRequestWithContext(h.ctx, http.MethodPost, n.CallerURL()+"/v1/services/s/x", strings.NewReader("late"))
	r.Header.Set("Authorization", "Bearer "+accountToken.Reveal())
	resp, err := h.http.Do(r)
	is.NoErr(err)
	is.Equal(resp.Header.Get(backend.HeaderOutcome), "done")
	is.True(resp.Close) // the connection closes after the response
	is.NoErr(resp.Body.Close())
	// The other nodes are notified that the node is leaving while its address is open.
	for {
		_, body, err := h.request(other.Node, operatorToken, "/v1/nodes", nil)
		is.NoErr(err)
		if strings.Contains(string(body), `"leaving":true`) {
			break
		}
		is.NoErr(timer.Sleep(h.ctx, h.clock, 10*time.Millisecond))
	}
	is.Equal(readyStatus(n.CallerURL()), http.StatusServiceUnavailable)
	for readyStatus(n.CallerURL()) != 0 {
		is.NoErr(timer.Sleep(h.ctx, h.clock, 10*time.Millisecond))
	}
	is.True(h.clock.Now().Sub(start) < 2*time.Second) // the shutdown grace is 1 s
	is.NoErr(<-stopped)
	is.Equal(len(n.Owned()), 0)
	h.removeTarget("n1")
	h.awaitOwners() // the other nodes own all shards
}

// TestLeavingEntryVM guards against a node that keeps owning shards after the
// platform has marked its VM as leaving.
func TestLeavingEntryVM(t *testing.T) {
	h := newHarness(t, harnessTimeout)
	n := h.owner("z1")
	h.deployment.VMList.Set(vmlist.VM{Name: string(n.ID), Role: vmlist.Entry, Zone: n.Zone, State: vmlist.Leaving})
	for len(n.Owned()) > 0 {
		if timer.Sleep(h.ctx, h.clock, 50*time.Millisecond) != nil {
			t.Fatalf("node %s still owns %d shards", n.ID, len(n.Owned()))
		}
	}
}
