package requestbench

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"bronzewinch.dev/lib/answers"
	"bronzewinch.dev/lib/caller"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/unit"
	"bronzewinch.dev/standin/backends"

	libtimer "bronzewinch.dev/lib/timer"
)

// faultConfig configures a fault run.
type faultConfig struct {
	requests, backends, nodes, workers int
	progress                           io.Writer // nil for no progress messages
}

// faultReport is the result of a fault run. Lost, RunTwice, WrongResponses and
// WrongOutcomes count violations and must be zero.
type faultReport struct {
	Requests          int   `json:"requests"`
	Submissions       int64 `json:"submissions"`
	Done              int64 `json:"done"`
	NotRun            int64 `json:"notRun"`
	Unknown           int64 `json:"unknown"`
	BrokenConnections int64 `json:"broken"` // the caller received no complete response
	Runs              int   `json:"runs"`
	PeakRunning       int   `json:"peakRunning"`
	PeakConns         int   `json:"peakConnections"`

	Lost           int64    `json:"lost"`
	RunTwice       int64    `json:"doubled"`
	WrongResponses int64    `json:"crossed"`
	WrongOutcomes  int64    `json:"falselyTold"`
	Examples       []string `json:"examples,omitempty"`
}

// String formats the report as text.
func (r *faultReport) String() string {
	return fmt.Sprintf("faults  %d requests  %d submissions  told done %d notRun %d unknown %d  broken %d  runs %d  "+
		"peak running %d connections %d\nfaults  lost %d  doubled %d  crossed %d  falsely told %d  %s",
		r.Requests, r.Submissions, r.Done, r.NotRun, r.Unknown, r.BrokenConnections, r.Runs, r.PeakRunning, r.PeakConns,
		r.Lost, r.RunTwice, r.WrongResponses, r.WrongOutcomes, strings.Join(r.Examples, "; "))
}

// submissionResult is the response that a caller received to one submission.
type submissionResult struct {
	outcome         string
	connectionBroke bool
	wrongResponse   bool
}

// requestResult holds the results of all submissions of one request.
type requestResult struct {
	atMostOnce bool
	// concurrent means that the request was submitted twice at the same time.
	// One submission may then have the outcome notRun although the other ran.
	concurrent  bool
	submissions []submissionResult
}

// faultRun is the state of a fault run, with entry nodes and backend servers in
// this process.
type faultRun struct {
	config    faultConfig
	servers   []*backends.Server
	records   fixedConfig
	members   *members
	owners    *shardOwners
	responses caller.LocalResponseStore
	nodes     []atomic.Pointer[entryNode]
	client    *http.Client
	results   []requestResult
}

// runFaults sends requests while it injects faults, and compares the outcomes
// that callers received with the requests that the backend servers ran.
func runFaults(c faultConfig) (*faultReport, error) {
	servers, list, err := newBackends(c.backends, func() time.Duration { return rand.N(3 * time.Millisecond) }, true)
	if err != nil {
		return nil, err
	}
	clock := libtimer.NewSystem()
	run := &faultRun{config: c, servers: servers, records: fixedConfig{configuration(list, 0)},
		members: newMembers(c.nodes), owners: newOwners(&onceFaults{0.005, 0.005, 0.005}),
		responses: caller.LocalResponseStore{Store: answers.New(answers.Config{MaxBytes: 256 * unit.MiB}), Clock: clock},
		nodes:     make([]atomic.Pointer[entryNode], c.nodes), client: newClient(1024), results: make([]requestResult, c.requests)}
	for i := range run.nodes {
		if err := run.startNode(i); err != nil {
			return nil, err
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	var faults sync.WaitGroup
	faults.Go(func() { run.injectFaults(ctx) })
	run.send()
	cancel()
	faults.Wait()
	run.close()
	return run.check(), nil
}

func (f *faultRun) startNode(i int) error {
	e, err := newEntryNode(entryNodeConfig{name: id.Node(fmt.Sprintf("n%d", i)), configSource: f.records, positionSource: memberPosition{f.members, i},
		backends: f.members, deduplicator: f.owners, responses: f.responses})
	if err == nil {
		f.nodes[i].Store(e)
	}
	return err
}

// close stops the nodes and then the servers, and waits until no server runs a
// request.
func (f *faultRun) close() {
	for i := range f.nodes {
		f.nodes[i].Load().kill()
	}
	for _, s := range f.servers {
		s.SetFaults(backends.FaultMix{})
		_ = s.Start() // fails unless the server was killed
		_ = s.Stop(context.Background())
	}
	for _, s := range f.servers {
		s.Wait()
	}
}

// send sends all requests from a number of concurrent callers.
func (f *faultRun) send() {
	var next atomic.Int64
	var wait sync.WaitGroup
	for range f.config.workers {
		wait.Go(func() {
			for {
				i := int(next.Add(1)) - 1
				if i >= f.config.requests {
					return
				}
				f.request(i)
				if f.config.progress != nil && i%100000 == 0 && i > 0 {
					fmt.Fprintf(f.config.progress, "%d requests sent\n", i)
				}
			}
		})
	}
	wait.Wait()
}

// request submits one request. If the outcome is not done, an at-most-once
// request is submitted again with the same id, to a random node, up to 3 times.
func (f *faultRun) request(i int) {
	s := &f.results[i]
	s.atMostOnce = i%2 == 0
	if s.concurrent = i%50 == 0; s.concurrent {
		f.submitTwice(i, s)
		return
	}
	tries := 1
	if s.atMostOnce {
		tries = 4
	}
	for n := range tries {
		t := f.submit(i, s.atMostOnce)
		s.submissions = append(s.submissions, t)
		// One request in 10 is submitted again although it is done.
		if t.outcome == "done" && (n > 0 || i%10 != 0) {
			return
		}
	}
}

// submitTwice submits a request twice at the same time.
func (f *faultRun) submitTwice(i int, s *requestResult) {
	s.submissions = make([]submissionResult, 2)
	var wait sync.WaitGroup
	for n := range s.submissions {
		wait.Go(func() { s.submissions[n] = f.submit(i, s.atMostOnce) })
	}
	wait.Wait()
}

func (f *faultRun) submit(i int, atMostOnce bool) submissionResult {
	node := f.nodes[rand.IntN(len(f.nodes))].Load()
	request, err := http.NewRequest(http.MethodPost, node.url+"/v1/services/"+serviceName+"/x", strings.NewReader(payload(i)))
	if err != nil {
		return submissionResult{connectionBroke: true}
	}
	request.Header.Set("Authorization", "Bearer "+accountOther)
	request.Header.Set("Bronzewinch-Request-Id", requestID(i))
	request.Header.Set("Bronzewinch-Deadline", "1000")
	request.Header.Set("Bronzewinch-Idempotent", fmt.Sprint(!atMostOnce))
	response, err := f.client.Do(request)
	if err != nil {
		return submissionResult{connectionBroke: true}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return submissionResult{connectionBroke: true}
	}
	t := submissionResult{outcome: response.Header.Get("Bronzewinch-Outcome")}
	if t.outcome == "done" && response.StatusCode < 400 {
		t.wrongResponse = string(body) != accountOther+"/"+requestID(i)+" "+payload(i)
	}
	return t
}

func requestID(i int) string { return fmt.Sprintf("r-%d", i) }

func payload(i int) string { return fmt.Sprintf("payload-%d", i) }

// check compares the outcomes that callers received with the requests that ran.
func (f *faultRun) check() *faultReport {
	r := &faultReport{Requests: f.config.requests}
	runs := make(map[string]int, f.config.requests)
	for _, s := range f.servers {
		stats := s.Stats()
		r.PeakRunning, r.PeakConns = max(r.PeakRunning, stats.Peak), max(r.PeakConns, stats.ConnectionPeak)
		for _, run := range s.Runs() {
			r.Runs++
			runs[run.Request]++
			if want := strings.Replace(run.Request, accountOther+"/r-", "payload-", 1); run.Body != want {
				r.addExample(&r.WrongResponses, "%s ran with the body %s of another request", run.Request, run.Body)
			}
		}
	}
	for i := range f.results {
		r.checkRequest(requestID(i), &f.results[i], runs[accountOther+"/"+requestID(i)])
	}
	return r
}

func (r *faultReport) checkRequest(name string, s *requestResult, ran int) {
	if len(s.submissions) == 0 {
		r.addExample(&r.Lost, "%s has no submission result", name)
	}
	if s.atMostOnce && ran > 1 {
		r.addExample(&r.RunTwice, "%s ran %d times", name, ran)
	}
	for n, t := range s.submissions {
		r.Submissions++
		switch {
		case t.wrongResponse:
			r.addExample(&r.WrongResponses, "%s received the response to another request", name)
		case t.connectionBroke:
			r.BrokenConnections++
		case t.outcome == "done":
			r.Done++
			if ran == 0 {
				r.addExample(&r.WrongOutcomes, "%s has the outcome done but did not run", name)
			}
		case t.outcome == "notRun":
			r.NotRun++
			if n == len(s.submissions)-1 && ran > 0 && !s.concurrent {
				r.addExample(&r.WrongOutcomes, "%s has the outcome notRun but ran %d times", name, ran)
			}
		case t.outcome == "unknown":
			r.Unknown++
		default:
			r.addExample(&r.Lost, "%s has the invalid outcome %q", name, t.outcome)
		}
	}
}

// maxExamples bounds the examples of violations in the report.
const maxExamples = 5

func (r *faultReport) addExample(count *int64, format string, args ...any) {
	*count++
	if len(r.Examples) < maxExamples {
		r.Examples = append(r.Examples, fmt.Sprintf(format, args...))
	}
}
