package deployment_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"bronzewinch.dev/lib/caller"
	"bronzewinch.dev/lib/dispatch"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/operator"
	"bronzewinch.dev/lib/timer"
	"bronzewinch.dev/lib/token"
	"bronzewinch.dev/lib/worker"
	"bronzewinch.dev/standin/deployment"
)

const (
	numZones       = 2
	quickRunTime   = 300 * time.Millisecond
	serviceTime    = 20 * time.Millisecond
	readyTimeout   = 15 * time.Second
	requestTimeout = 30 * time.Second
)

var (
	bootstrap     = token.New("example-only-bootstrap-0123456789")
	operatorToken = token.New("example-only-operator-0123456789")
	accountToken  = token.New("example-only-account-0123456789")
)

// harness runs a small deployment under load and records the results that its
// callers and operators receive.
type harness struct {
	t          *testing.T
	ctx        context.Context
	deployment *deployment.Deployment
	clock      timer.Service
	http       *http.Client

	mu          sync.Mutex
	targets     []*target // the nodes that the load balancer knows
	lastPicked  int
	requests    []*callerRequest
	jobs        []id.Job // accepted jobs that must succeed
	violations  []string
	lastRequest int
}

// target is an entry node and the result of the load balancer's last health check.
type target struct {
	*deployment.Node
	ready bool
}

// newHarness starts the nodes n1 to n3 and waits until the records are in force.
func newHarness(t *testing.T, limit time.Duration) *harness {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	t.Cleanup(cancel)
	h := &harness{t: t, ctx: ctx, clock: timer.NewSystem(), http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}}
	d, err := deployment.Start(deployment.Config{
		Records: []operator.File{{Name: "records.toml", Text: recordsText()}}, BootstrapHash: bootstrap.Hash(), Timer: h.clock,
		VMListLag:   500 * time.Millisecond,
		ServiceTime: func() time.Duration { return serviceTime },
		RunTime: func(r worker.Ref) time.Duration {
			if strings.HasPrefix(string(r.Job), "quick-") {
				return quickRunTime
			}
			return time.Hour
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	h.deployment = d
	for i := range 3 {
		h.startNode(id.Node(fmt.Sprintf("n%d", i+1)))
	}
	readyCtx, cancelReady := context.WithTimeout(ctx, readyTimeout)
	defer cancelReady()
	h.must(d.AwaitReady(readyCtx, 0, caller.Shards))
	status, body, err := h.request(h.deployment.Nodes()[0], bootstrap, "/v1/changes", operator.ChangeRequest{ChangeID: "first", Files: d.Records})
	if err != nil || status != http.StatusOK {
		t.Fatalf("apply the records: status %d, %v\n%s", status, err, body)
	}
	h.awaitOwners()
	return h
}

func (h *harness) must(err error) {
	h.t.Helper()
	if err != nil {
		h.t.Fatal(err)
	}
}

// startNode starts a node and adds it to the load balancer.
func (h *harness) startNode(name id.Node) *deployment.Node {
	h.t.Helper()
	var n *deployment.Node
	var err error
	for range 3 { // another process can take a free port before the node listens on it
		if n, err = h.deployment.StartNode(name, id.Zone(fmt.Sprintf("z%d", len(name)%numZones+1))); err == nil {
			break
		}
	}
	h.must(err)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.targets = append(h.targets, &target{Node: n, ready: len(h.targets) < 3})
	return n
}

// awaitOwners waits until all nodes are ready and all shards have an owner.
func (h *harness) awaitOwners() {
	h.t.Helper()
	ctx, cancel := context.WithTimeout(h.ctx, readyTimeout)
	defer cancel()
	h.must(h.deployment.AwaitReady(ctx, 1, caller.Shards+numZones))
}

func (h *harness) owner(zone id.Zone) *deployment.Node {
	for _, n := range h.deployment.Nodes() {
		if _, ok := n.Owned()[dispatch.ShardOf(zone)]; ok {
			return n
		}
	}
	return h.deployment.Nodes()[0]
}

// request sends a request to the operator frontend of one node.
func (h *harness) request(n *deployment.Node, t token.Token, path string, body any) (int, []byte, error) {
	method, data := http.MethodGet, []byte(nil)
	if body != nil {
		method = http.MethodPost
		data, _ = json.Marshal(body)
	}
	ctx, cancel := context.WithTimeout(h.ctx, requestTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, n.OperatorURL()+path, bytes.NewReader(data))
	if err != nil {
		return 0, nil, err
	}
	r.Header.Set("Authorization", "Bearer "+t.Reveal())
	return h.do(r)
}

func (h *harness) do(r *http.Request) (int, []byte, error) {
	resp, err := h.http.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	var b bytes.Buffer
	_, err = b.ReadFrom(resp.Body)
	return resp.StatusCode, b.Bytes(), err
}

// submit submits a job through any node and reports whether it was accepted. A
// retry is safe, as the job's id makes submissions idempotent.
func (h *harness) submit(name id.Job, text string) bool {
	for h.ctx.Err() == nil {
		n := h.nextTarget(nil)
		if n == nil {
			return false
		}
		status, body, err := h.request(n.Node, operatorToken, "/v1/jobs",
			operator.SubmitRequest{Job: name, File: operator.File{Name: "job.toml", Text: text}})
		switch {
		case err == nil && status == http.StatusOK:
			h.mu.Lock()
			h.jobs = append(h.jobs, name)
			h.mu.Unlock()
			return true
		case err == nil && status < http.StatusInternalServerError:
			h.recordViolation("job %s: status %d: %s", name, status, body)
			return false
		}
		_ = timer.Sleep(h.ctx, h.clock, 50*time.Millisecond)
	}
	return false
}

// awaitPhase waits until a job is in a phase and reports whether it was within
// limit.
func (h *harness) awaitPhase(name id.Job, phase job.Phase, limit time.Duration) bool {
	ctx, cancel := context.WithTimeout(h.ctx, limit)
	defer cancel()
	for {
		if n := h.nextTarget(nil); n != nil {
			var j job.Job
			status, body, err := h.request(n.Node, operatorToken, "/v1/jobs/"+string(name), nil)
			if err == nil && status == http.StatusOK && json.Unmarshal(body, &j) == nil && j.Phase == phase {
				return true
			}
		}
		if timer.Sleep(ctx, h.clock, 20*time.Millisecond) != nil {
			return false
		}
	}
}

func (h *harness) recordViolation(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

// jobText returns the record of a job that is a gang of two whole workers. With
// claim, the job is urgent and claims the account's guaranteed shape.
func jobText(name id.Job, claim bool) string {
	text := fmt.Sprintf("[[record]]\nschema = \"v2\"\nkind = \"job\"\nname = %q\naccount = \"a\"\nzone = \"z1\"\ndeclaredRun = \"1s\"\ncheckpointEvery = \"1s\"\nprogram = \"p\"\n", name)
	if claim {
		text += "claim = \"pair\"\nurgent = true\n"
	}
	return text + "shape = { workers = 2, locality = \"rack\", perWorker = { accelerators = 4, cores = 8, memory = \"8GiB\" } }\n"
}

// recordsText returns records with two zones of two racks with three workers
// each, four backend servers, and an account with one guaranteed shape.
func recordsText() string {
	var b strings.Builder
	fmt.Fprintf(&b, "[[record]]\nschema = \"v2\"\nkind = \"operator\"\nname = \"o\"\ntokens = [{ sha256 = %q }]\n", operatorToken.Hash())
	fmt.Fprintf(&b, "[[record]]\nschema = \"v2\"\nkind = \"account\"\nname = \"a\"\ntokens = [{ sha256 = %q }]\nrequests = { perSecond = 1000, concurrency = 500 }\n", accountToken.Hash())
	b.WriteString("[[record]]\nschema = \"v2\"\nkind = \"policy\"\nname = \"placement\"\ncheckpointGrace = \"1s\"\nweights = { completion = 1, fragmentation = 1 }\n")
	b.WriteString("[[record]]\nschema = \"v2\"\nkind = \"guarantee\"\naccount = \"a\"\nname = \"pair\"\ncount = 1\nzones = [\"z1\"]\nshape = { workers = 2, locality = \"rack\", perWorker = { accelerators = 4, cores = 8, memory = \"8GiB\" } }\n")
	b.WriteString("[[record]]\nschema = \"v2\"\nkind = \"service\"\nname = \"s\"\ntimeout = \"20s\"\nmaxRequest = \"1MiB\"\nmaxAnswer = \"1MiB\"\nperBackend = { slots = 8, connections = 64 }\nbackends = [\n")
	for i := range 4 {
		fmt.Fprintf(&b, "  { name = \"b%d\", address = \"127.0.0.1:%d\", zone = \"z%d\" },\n", i+1, 1001+i, i%numZones+1)
	}
	b.WriteString("]\n")
	for z := range numZones {
		fmt.Fprintf(&b, "[[record]]\nschema = \"v2\"\nkind = \"zone\"\nname = \"z%d\"\nregion = \"r\"\n", z+1)
		for r := range 2 {
			fmt.Fprintf(&b, "[[record.racks]]\nname = \"z%d-r%d\"\nperWorker = { accelerators = 4, cores = 8, memory = \"8GiB\" }\nworkers = [\n", z+1, r+1)
			for i := range 3 {
				fmt.Fprintf(&b, "  { name = \"z%d-r%d-w%d\", address = \"127.0.0.1:%d\" },\n", z+1, r+1, i+1, 2000+z*100+r*10+i)
			}
			b.WriteString("]\n")
		}
	}
	return b.String()
}
