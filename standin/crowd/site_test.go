//go:build crowd

package crowd_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"bronzewinch.dev/standin/cooperative"
)

// site is a deployment whose nodes are processes with the limits of the tests.
type site struct {
	*cooperative.Deployment
	t    *testing.T
	pids []int
}

// siteStartTimeout bounds the start of all nodes, and the start of an owner that loads
// what a crowd has left in the store.
const siteStartTimeout = 20 * time.Second

func startSite(t *testing.T, nodes int) *site {
	t.Helper()
	return startSiteWithWorkers(t, nodes, 1)
}

func startSiteWithWorkers(t *testing.T, nodes, workers int) *site {
	t.Helper()
	d, err := cooperative.StartDeployment(cooperative.DeploymentConfig{Binary: binary, Dir: t.TempDir(), Nodes: nodes, Workers: workers,
		MemoryMB: memoryMB, MaxFDs: maxFDs, ServeMetrics: true, SecondAccount: true})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	s := &site{Deployment: d, t: t}
	s.awaitReady()
	return s
}

// awaitReady waits until all nodes are ready, and records their processes.
func (s *site) awaitReady() {
	s.t.Helper()
	if !s.AwaitReady(siteStartTimeout) {
		s.t.Fatalf("the nodes are not ready after %v", siteStartTimeout)
	}
	s.pids = s.pids[:0]
	for _, n := range s.Nodes {
		s.pids = append(s.pids, n.PID())
	}
}

// replaceAll kills all nodes at the same time and starts them again.
func (s *site) replaceAll() {
	s.t.Helper()
	for _, n := range s.Nodes {
		<-n.Signal(syscall.SIGKILL)
	}
	for _, n := range s.Nodes {
		if err := n.Start(); err != nil {
			s.t.Fatal(err)
		}
	}
	s.awaitReady()
}

// replace kills a node, waits until another one owns the scheduler, and starts it again.
func (s *site) replace(n *cooperative.Node) {
	s.t.Helper()
	<-n.Signal(syscall.SIGKILL)
	for end := time.Now().Add(siteStartTimeout); s.Owner() == nil || s.Owner() == n; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatalf("no other node owns the scheduler %v after the end of the owner", siteStartTimeout)
		}
	}
	if err := n.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.awaitReady()
}

// owner returns the node that owns the scheduler.
func (s *site) owner() *cooperative.Node {
	s.t.Helper()
	n := s.Owner()
	if n == nil {
		s.t.Fatal("no node owns the scheduler")
	}
	return n
}

// follower returns a node that does not own the scheduler.
func (s *site) follower() *cooperative.Node {
	s.t.Helper()
	owner := s.owner()
	for _, n := range s.Nodes {
		if n != owner {
			return n
		}
	}
	s.t.Fatal("the owner is the only node")
	return nil
}

// rest waits until no node uses processor time for what a crowd has sent.
func (s *site) rest() {
	s.t.Helper()
	for _, pid := range s.pids {
		awaitRest(s.t, pid)
	}
}

// check lets an ordinary client submit a job at a node, and checks that all processes live
// within their limits.
func (s *site) check(via *cooperative.Node) {
	s.t.Helper()
	s.checkOrdinary(via)
	s.checkProcesses()
}

// ordinaryJobs numbers the jobs of ordinary clients.
var ordinaryJobs int

// checkOrdinary submits a job as an ordinary client does: a refused submission is repeated
// after the time that the refusal names.
func (s *site) checkOrdinary(via *cooperative.Node) {
	s.t.Helper()
	ordinaryJobs++
	job := fmt.Sprintf("%016x", 0xaa0000+ordinaryJobs)
	steps := []cooperative.Step{{Count: 1, GPU: 1, RunTime: 10 * time.Millisecond}}
	s.Fleet.RegisterJob(job, steps)
	body, err := json.Marshal(cooperative.JobBody(steps))
	if err != nil {
		s.t.Fatal(err)
	}
	c := newSubmitter(via.FrontAddress, "")
	defer c.close()
	var r result
	for range ordinaryAttempts {
		if r = c.call(http.MethodPost, job, body); r.status == http.StatusOK {
			s.t.Logf("ordinary request at %s: status %d", via.Name, r.status)
			return
		}
		time.Sleep(r.retryAfter)
	}
	s.t.Errorf("an ordinary request at %s got status %d in the last of %d attempts: %s", via.Name, r.status, ordinaryAttempts, r.body)
}

func (s *site) checkProcesses() {
	s.t.Helper()
	for i, n := range s.Nodes {
		pid := n.PID()
		if pid != s.pids[i] {
			s.t.Errorf("the process of %s has ended: pid %d, was %d", n.Name, pid, s.pids[i])
			continue
		}
		peak, fds := peakMB(s.t, pid), descriptors(s.t, pid)
		s.t.Logf("%s: peak %d MB, %d descriptors", n.Name, peak, fds)
		if peak > memoryMB {
			s.t.Errorf("%s: peak of %d MB, the limit is %d MB", n.Name, peak, memoryMB)
		}
		if fds > maxFDs {
			s.t.Errorf("%s: %d descriptors are open, the limit is %d", n.Name, fds, maxFDs)
		}
	}
}

// checkKept checks that no job is lost whose acceptance was told.
func (s *site) checkKept(via *cooperative.Node, c submitters, accepted []string) {
	s.t.Helper()
	client := newSubmitter(via.FrontAddress, "")
	defer client.close()
	if c.secondAccount {
		client.key = cooperative.SecondAPIKey
	}
	lost := 0
	for _, job := range accepted {
		var r result
		for range ordinaryAttempts {
			if r = client.call(http.MethodGet, job, nil); r.status == http.StatusOK || r.status == http.StatusGone {
				break
			}
			time.Sleep(r.retryAfter)
		}
		if r.status != http.StatusOK {
			if lost++; lost == 1 {
				s.t.Errorf("accepted job %s: status %d, %s", job, r.status, r.body)
			}
		}
	}
	s.t.Logf("%d of %d accepted jobs are known", len(accepted)-lost, len(accepted))
	if lost > 0 {
		s.t.Errorf("%d of %d accepted jobs are lost", lost, len(accepted))
	}
}

// result is the response to a call, or the status 0 if there was none.
type result struct {
	status     int
	retryAfter time.Duration
	body       string
}

// submitter makes calls to one node over a connection that stays open.
type submitter struct {
	address, key string
	client       *http.Client
}

// callTimeout bounds a call of a submitter. A node answers or refuses a call within the
// three seconds for which its clients wait.
const callTimeout = 10 * time.Second

// newSubmitter returns a submitter with connections from a local address, or from any if
// it is empty.
func newSubmitter(address, local string) *submitter {
	d := &net.Dialer{}
	if local != "" {
		d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(local)}
	}
	return &submitter{address: address, key: cooperative.APIKey, client: &http.Client{Timeout: callTimeout,
		Transport: &http.Transport{DialContext: d.DialContext, MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1}}}
}

func (s *submitter) close() { s.client.CloseIdleConnections() }

// call makes a call about a job of queue 1.
func (s *submitter) call(method, job string, body []byte) result {
	req, err := http.NewRequestWithContext(context.Background(), method, "http://"+s.address+cooperative.PathPrefix(1)+job, bytes.NewReader(body))
	if err != nil {
		return result{body: err.Error()}
	}
	req.Host = cooperative.Host
	req.Header.Set("X-Api-Key", s.key)
	resp, err := s.client.Do(req)
	if err != nil {
		return result{body: err.Error()}
	}
	defer func() { _ = resp.Body.Close() }()
	b, _ := io.ReadAll(resp.Body)
	seconds, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
	return result{resp.StatusCode, time.Duration(seconds) * time.Second, strings.TrimSpace(string(b))}
}

// submitters is a crowd whose clients submit valid jobs, each under an id of its own, over
// connections that stay open.
type submitters struct {
	clients, rounds int
	body            []byte
	// steps are the steps of the body, for the workers.
	steps []cooperative.Step
	// cancel lets the clients cancel each accepted job at once.
	cancel bool
	// secondAccount lets the clients use another account than the ordinary ones. Their jobs
	// are like ordinary jobs, so that only their account distinguishes them.
	secondAccount bool
	// local returns the address of a client. It may be nil.
	local func(client int) string
}

// submit lets the crowd submit at a node, and returns the accepted jobs that are not
// cancelled.
func (s *site) submit(via *cooperative.Node, c submitters) []string {
	s.t.Helper()
	var mu sync.Mutex
	var accepted []string
	statuses := make(map[int]int)
	var wg sync.WaitGroup
	for n := range c.clients {
		local := ""
		if c.local != nil {
			local = c.local(n)
		}
		wg.Go(func() {
			client := newSubmitter(via.FrontAddress, local)
			defer client.close()
			if c.secondAccount {
				client.key = cooperative.SecondAPIKey
			}
			for round := range c.rounds {
				job := fmt.Sprintf("%08x%08x", n+1, round)
				s.Fleet.RegisterJob(job, c.steps)
				r := client.call(http.MethodPost, job, c.body)
				cancelled := c.cancel && r.status == http.StatusOK && client.call(http.MethodDelete, job, nil).status == http.StatusOK
				mu.Lock()
				statuses[r.status]++
				if r.status == http.StatusOK && !cancelled {
					accepted = append(accepted, job)
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	s.t.Logf("submissions by status: %v", statuses)
	return accepted
}

// dialer opens the connections of a crowd.
type dialer interface {
	Dial(network, address string) (net.Conn, error)
}

// openClients opens connections from a crowd to an address, lets each client send, and
// leaves the connections open until the end of the test. Connections that are refused are
// left out.
func openClients(t *testing.T, address string, clients int, d dialer, send func(net.Conn) error) {
	t.Helper()
	var wg sync.WaitGroup
	for range clients {
		conn, err := d.Dial("tcp", address)
		if err != nil {
			continue // a listener may refuse a crowd
		}
		t.Cleanup(func() { _ = conn.Close() })
		wg.Go(func() {
			_ = conn.SetDeadline(time.Now().Add(sendTimeout))
			_ = send(conn) // the node may refuse or close the connection
		})
	}
	wg.Wait()
}

// stopTimeout bounds a planned stop. It is far more than the six seconds after which the
// platform kills a process.
const stopTimeout = 30 * time.Second

// roll stops a node in a planned way and starts it again.
func (s *site) roll(n *cooperative.Node) {
	s.t.Helper()
	select {
	case <-n.Signal(syscall.SIGTERM):
	case <-time.After(stopTimeout):
		s.t.Fatalf("%s has not ended %v after SIGTERM", n.Name, stopTimeout)
	}
	if err := n.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.awaitReady()
}
