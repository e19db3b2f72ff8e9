package cooperative_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"bronzewinch.dev/standin/cooperative"

	// The tests build and run the daemon, which consists of these packages.
	// Without the imports, the go command would reuse a cached test result after a
	// change to them.
	_ "bronzewinch.dev/lib/relay"
	_ "bronzewinch.dev/platform"

	"github.com/matryer/is"
)

var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "bronzewinchd")
	if err != nil {
		panic(err)
	}
	if binary, err = cooperative.BuildDaemon(dir); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

func newDeployment(t *testing.T, nodes, workers int) *cooperative.Deployment {
	t.Helper()
	dir := t.TempDir()
	d, err := cooperative.StartDeployment(cooperative.DeploymentConfig{Binary: binary, Dir: dir, Nodes: nodes, Workers: workers})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		d.Close()
		if t.Failed() {
			showLogs(t, dir)
		}
	})
	if !d.AwaitReady(10 * time.Second) {
		t.Fatal("the nodes are not ready after 10 s")
	}
	return d
}

// showLogs adds the logs of the nodes to the test's log.
func showLogs(t *testing.T, dir string) {
	t.Helper()
	files, _ := filepath.Glob(filepath.Join(dir, "*.log"))
	for _, f := range files {
		if b, err := os.ReadFile(f); err == nil {
			t.Logf("%s:\n%s", filepath.Base(f), b)
		}
	}
}

// submit submits a job with a client's retries, and returns the last status.
func submit(d *cooperative.Deployment, queue int, job string, steps []cooperative.Step) int {
	d.Fleet.RegisterJob(job, steps)
	c := cooperative.NewClient()
	status := 0
	for try := range 8 {
		node := d.Nodes[try%len(d.Nodes)]
		if status, _ = c.Call(http.MethodPost, node.FrontAddress, queue, job, cooperative.JobBody(steps)); status == http.StatusOK {
			return status
		}
		time.Sleep(time.Second)
	}
	return status
}

// awaitState waits until the nodes report a state for a job.
func awaitState(t *testing.T, d *cooperative.Deployment, queue int, job, state string) {
	t.Helper()
	c := cooperative.NewClient()
	var last any
	for try := range 300 {
		status, body := c.Call(http.MethodGet, d.Nodes[try%len(d.Nodes)].FrontAddress, queue, job, nil)
		if status == http.StatusOK {
			if last = body["state"]; last == state {
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatalf("job %s: state is %v, want %s", job, last, state)
}

// checkInvariants fails the test for each violation that the stand-ins recorded
// and each finding of the log audit.
func checkInvariants(t *testing.T, d *cooperative.Deployment) {
	t.Helper()
	for _, v := range d.Fleet.Violations() {
		t.Error(v)
	}
	found, err := d.Audit()
	if err != nil {
		t.Error(err)
	}
	for _, f := range found {
		t.Error("log audit: " + f)
	}
}

const second = time.Second

// TestJobsRunToCompletion guards against jobs that do not complete, or whose
// tasks run twice, in a deployment without faults. It covers each shape of job.
func TestJobsRunToCompletion(t *testing.T) {
	d := newDeployment(t, 3, 4)
	jobs := []struct {
		name  string
		queue int
		steps []cooperative.Step
		state string
	}{
		{"single tasks", 1, []cooperative.Step{{Count: 5, GPU: 1, RunTime: second / 2}}, "completed"},
		{"gang over workers", 0, []cooperative.Step{{Count: 3, GPU: 4, Gang: true, RunTime: second / 2}}, "completed"},
		{"steps in order", 2, []cooperative.Step{{Count: 2, GPU: 1, RunTime: second / 4}, {Count: 2, GPU: 1, Gang: true, RunTime: second / 4}}, "completed"},
		{"fails once", 1, []cooperative.Step{{Count: 1, GPU: 1, RunTime: second / 4, Failures: 1}}, "completed"},
		{"fails always", 1, []cooperative.Step{{Count: 1, GPU: 1, RunTime: second / 4, Failures: 9}}, "failed"},
	}
	for i, j := range jobs {
		is.New(t).Equal(submit(d, j.queue, fmt.Sprintf("%016x", i), j.steps), http.StatusOK)
	}
	for i, j := range jobs {
		awaitState(t, d, j.queue, fmt.Sprintf("%016x", i), j.state)
		if got := d.Fleet.AllDone(fmt.Sprintf("%016x", i)); got != (j.state == "completed") {
			t.Errorf("%s: all tasks done is %v in state %s", j.name, got, j.state)
		}
	}
	checkInvariants(t, d)
}

// TestMalformedJob guards against a rejection that does not state the invalid
// field and its limit, and against a rejected job that is stored.
func TestMalformedJob(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 1, 1)
	c := cooperative.NewClient()
	status, body := c.Call(http.MethodPost, d.Nodes[0].FrontAddress, 0, "00000000000000aa", cooperative.JobBody([]cooperative.Step{{Count: 0}}))
	is.Equal(status, http.StatusBadRequest)
	is.Equal(body["error"], `steps[0].count "0" is invalid (limit: 1 to 10000); change the number of tasks`)
	status, _ = c.Call(http.MethodGet, d.Nodes[0].FrontAddress, 0, "00000000000000aa", nil)
	is.Equal(status, http.StatusGone)
}

// TestGuaranteeIsReclaimed guards against a guaranteed job that waits too long
// when lower-priority work occupies all workers and must be preempted.
func TestGuaranteeIsReclaimed(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 2, 2)
	is.Equal(submit(d, 2, "00000000000000aa", []cooperative.Step{{Count: 16, GPU: 1, RunTime: 20 * second}}), http.StatusOK)
	awaitState(t, d, 2, "00000000000000aa", "running")
	begun := time.Now()
	is.Equal(submit(d, 0, "00000000000000bb", []cooperative.Step{{Count: 1, GPU: 8, Gang: true, RunTime: second / 4}}), http.StatusOK)
	awaitState(t, d, 0, "00000000000000bb", "completed")
	is.True(time.Since(begun) < 2900*time.Millisecond)
	checkInvariants(t, d)
}

// TestOwnerIsReplaced guards against tasks that are lost, run twice or never
// finish when the owner is killed, terminated, paused, or loses its connection
// to the store, and another node takes over.
func TestOwnerIsReplaced(t *testing.T) {
	for _, test := range []struct {
		name   string
		inject func(d *cooperative.Deployment, n *cooperative.Node) error
	}{
		{"killed", func(_ *cooperative.Deployment, n *cooperative.Node) error { n.Signal(syscall.SIGKILL); return nil }},
		{"terminated", func(_ *cooperative.Deployment, n *cooperative.Node) error { n.Signal(syscall.SIGTERM); return nil }},
		{"paused", func(_ *cooperative.Deployment, n *cooperative.Node) error { return n.Pause() }},
		{"rejected by the store", func(d *cooperative.Deployment, n *cooperative.Node) error {
			d.Store.SetFault(n.Name, cooperative.RejectCalls)
			return nil
		}},
		{"one-way partition", func(_ *cooperative.Deployment, n *cooperative.Node) error {
			n.StoreProxy.SetMode(cooperative.BlockReplies)
			return nil
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			d := newDeployment(t, 3, 3)
			steps := []cooperative.Step{{Count: 4, GPU: 2, RunTime: 4 * second}}
			is.Equal(submit(d, 1, "00000000000000aa", steps), http.StatusOK)
			awaitState(t, d, 1, "00000000000000aa", "running")
			owner := d.Owner()
			is.NoErr(test.inject(d, owner))
			others := *d
			others.Nodes = nil
			for _, n := range d.Nodes {
				if n != owner {
					others.Nodes = append(others.Nodes, n)
				}
			}
			is.Equal(submit(&others, 0, "00000000000000bb", []cooperative.Step{{Count: 2, GPU: 2, Gang: true, RunTime: second / 2}}), http.StatusOK)
			awaitState(t, &others, 0, "00000000000000bb", "completed")
			awaitState(t, &others, 1, "00000000000000aa", "completed")
			owner.Signal(syscall.SIGCONT)
			owner.StoreProxy.SetMode(cooperative.Forward)
			time.Sleep(second)
			is.Equal(d.Fleet.Starts(), 6) // no task ran twice
			checkInvariants(t, d)
		})
	}
}

// TestOwnerLoadsFromSilentStore guards against a new owner that waits for good for a store
// that was silent while it read the stored jobs, and keeps its lease meanwhile.
func TestOwnerLoadsFromSilentStore(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t, 3, 3)
	steps := []cooperative.Step{{Count: 2, GPU: 1, RunTime: second}}
	is.Equal(submit(d, 1, "00000000000000aa", steps), http.StatusOK)
	for _, n := range d.Nodes {
		d.Store.SetFault(n.Name, cooperative.DelayCalls) // the owner reads for more than a second
	}
	old := d.Owner()
	<-old.Signal(syscall.SIGKILL)
	for limit := time.Now().Add(10 * second); d.Owner() == nil || d.Owner() == old; time.Sleep(5 * time.Millisecond) {
		is.True(time.Now().Before(limit)) // a new owner
	}
	time.Sleep(300 * time.Millisecond)
	d.Store.SetSilent(true)
	time.Sleep(4 * second)
	d.Store.SetSilent(false)
	for _, n := range d.Nodes {
		d.Store.SetFault(n.Name, cooperative.NoFault)
	}
	is.NoErr(old.Start())
	const recovery = 12 * second // recovery_s
	is.True(d.AwaitReady(recovery))
	awaitState(t, d, 1, "00000000000000aa", "completed")
	checkInvariants(t, d)
}

// TestStoreCompaction guards against watches that stop, or that retry in a tight
// loop, after the store has discarded the history from which they resume.
func TestStoreCompaction(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 2, 1)
	d.Store.Compact()
	before := d.Store.Calls()
	time.Sleep(3 * second)
	d.Configure()
	is.Equal(submit(d, 1, "00000000000000aa", []cooperative.Step{{Count: 1, GPU: 1, RunTime: second / 4}}), http.StatusOK)
	awaitState(t, d, 1, "00000000000000aa", "completed")
	is.True(d.Store.Calls()-before < 100)
	checkInvariants(t, d)
}

// TestOddEntries guards against an owner that ends, that no longer follows the list of
// workers, or that calls what an invalid entry names, after another writer has left
// invalid entries on the list, under new names and under that of a worker.
func TestOddEntries(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 2, 1)
	var calls atomic.Int32
	other := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls.Add(1) }))
	t.Cleanup(other.Close)
	worker := d.Fleet.NewWorker("i-late", 0, nil)
	server := httptest.NewServer(worker.Handler())
	t.Cleanup(server.Close)
	entry := func(s *httptest.Server) map[string]any {
		return worker.StoreEntry(strings.TrimPrefix(s.URL, "http://"), "zone-0", "r-0", "ready")
	}
	valid, err := json.Marshal(entry(other))
	is.NoErr(err)
	with := func(field, value string) []byte { // the last value of a field counts
		return fmt.Appendf(nil, `%s,%q:%s}`, bytes.TrimSuffix(valid, []byte("}")), field, value)
	}
	const depth = 100_000
	nested := strings.Repeat("[", depth) + strings.Repeat("]", depth)
	odd := [][]byte{nil, []byte("\x00\xff"), []byte(nested), []byte(strings.Repeat("[", depth)), []byte("null"), with("unused", nested), with("labels", nested),
		with("capacity", strings.Repeat(`{"cpu":`, depth)+"1"+strings.Repeat("}", depth)), with("capacity", `{"cpu":1e400,"mem_mb":1,"gpu":8}`),
		with("capacity", `{"cpu":1000,"mem_mb":8796093022208,"gpu":8}`), with("capacity", `{"cpu":1000,"mem_mb":1024,"gpu":-8}`),
		with("born", "9223372036854775807"), with("born", "9223372036854775808"), with("seq", `"1"`), with("slots", "1e400"), with("state", `"asleep"`),
		with("address", `"127.0.0.1:65536"`), with("address", `"127.0.0.1:0"`), with("address", `"a\u0000b:80"`), with("zone", "3")}
	owner := d.Owner()
	for i, value := range odd {
		d.Store.WriteBytes(fmt.Sprintf("servers/odd-%d", i), value)
		d.Store.WriteBytes("servers/i-late", value)
	}
	for _, key := range []string{"servers/", "servers/a\r\nb", "servers/\u00e9"} {
		d.Store.WriteBytes(key, valid)
	}
	time.Sleep(second)
	d.Store.Write("servers/i-late", entry(server))
	// The gang needs all workers.
	gang := []cooperative.Step{{Count: 2, GPU: cooperative.WorkerGPUs, Gang: true, RunTime: second / 4}}
	is.Equal(submit(d, 1, "00000000000000aa", gang), http.StatusOK)
	awaitState(t, d, 1, "00000000000000aa", "completed")
	is.Equal(d.Owner(), owner)
	for _, n := range d.Nodes {
		select {
		case <-n.Signal(syscall.Signal(0)):
			t.Errorf("%s has exited", n.Name)
		default:
		}
	}
	<-owner.Signal(syscall.SIGKILL) // the next owner reads the list with the invalid entries
	is.Equal(submit(d, 1, "00000000000000bb", gang), http.StatusOK)
	awaitState(t, d, 1, "00000000000000bb", "completed")
	is.Equal(calls.Load(), int32(0))
	checkInvariants(t, d)
}

// TestReloadSignal guards against a process that exits on SIGHUP, which is Go's
// default, instead of reloading its settings.
func TestReloadSignal(t *testing.T) {
	d := newDeployment(t, 1, 1)
	select {
	case <-d.Nodes[0].Signal(syscall.SIGHUP):
		t.Fatal("the process exited on SIGHUP")
	case <-time.After(second):
	}
	is.New(t).True(d.Nodes[0].IsReady())
}

// TestBestEffortTasksAreThrottled guards against best-effort tasks that keep a
// service task on the same worker over its latency target, and against a
// scheduler that avoids this by not running them at all.
func TestBestEffortTasksAreThrottled(t *testing.T) {
	d := newDeployment(t, 2, 1)
	service := []cooperative.Step{{Count: 1, GPU: 1, LatencyTarget: 200 * time.Millisecond}}
	bestEffort := []cooperative.Step{{Count: 2, GPU: 1, BestEffort: true, RunTime: 8 * second}}
	if status := submit(d, 1, "00000000000000d1", service); status != http.StatusOK {
		t.Fatalf("status %d", status)
	}
	if status := submit(d, 2, "00000000000000d2", bestEffort); status != http.StatusOK {
		t.Fatalf("status %d", status)
	}
	awaitState(t, d, 2, "00000000000000d2", "completed")
	awaitState(t, d, 1, "00000000000000d1", "running")
	checkInvariants(t, d)
}

// TestUpkeepWave guards against an upkeep wave that does not complete, that takes
// too many VMs or service tasks down at once, or that loses jobs, when the owner
// is killed during the wave.
func TestUpkeepWave(t *testing.T) {
	d := newDeployment(t, 3, 4)
	service := []cooperative.Step{{Count: 3, GPU: 1, LatencyTarget: 200 * time.Millisecond, MaxUnavailable: 1}}
	if status := submit(d, 1, "00000000000000e1", service); status != http.StatusOK {
		t.Fatalf("status %d", status)
	}
	awaitState(t, d, 1, "00000000000000e1", "running")
	const wave = 3
	d.Cloud.RequestWave(wave, 30*second, 1)
	var jobs []string
	for n := range 5 {
		job := fmt.Sprintf("00000000000001%02x", n)
		jobs = append(jobs, job)
		if status := submit(d, 2, job, []cooperative.Step{{Count: 4, GPU: 2, RunTime: second}}); status != http.StatusOK {
			t.Fatalf("status %d", status)
		}
		if n == 2 {
			owner := d.Owner()
			<-owner.Signal(syscall.SIGKILL)
			if err := owner.Start(); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(second)
	}
	end := time.Now().Add(40 * second)
	for {
		state, allBegun := d.Cloud.WaveState(wave)
		if state == "completed" && !allBegun {
			t.Fatal("the wave is reported as completed before the upkeep of all VMs has begun")
		}
		if state == "completed" {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("the wave is %q after 40 s, want completed", state)
		}
		time.Sleep(100 * time.Millisecond)
	}
	for _, job := range jobs {
		awaitState(t, d, 2, job, "completed")
	}
	checkInvariants(t, d)
}

// TestSettingsAreReloaded guards against a node that does not notice a changed
// settings file without a signal, and against one that exits when the file is
// invalid.
func TestSettingsAreReloaded(t *testing.T) {
	d := newDeployment(t, 1, 1)
	n := d.Nodes[0]
	text, err := os.ReadFile(n.SettingsPath)
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct{ text, logged string }{
		{"node = ", "settings refused"},
		{strings.Replace(string(text), "seeds = [", `seeds = ["127.0.0.1:1",`, 1), "settings read again"},
	} {
		if err := os.WriteFile(n.SettingsPath, []byte(test.text), 0o600); err != nil {
			t.Fatal(err)
		}
		for limit := time.Now().Add(10 * second); !strings.Contains(n.Log(), test.logged); time.Sleep(50 * time.Millisecond) {
			if time.Now().After(limit) {
				t.Fatalf("no line %q in the log after 10 s", test.logged)
			}
		}
	}
	if !n.IsReady() {
		t.Error("the node is not ready after the reloads")
	}
}
