package cooperative_test

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"bronzewinch.dev/standin/cooperative"

	// The tests run the daemon that is made of these packages. Without the
	// imports the go command would repeat an earlier result after a change there.
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
	binary = filepath.Join(dir, "bronzewinchd")
	build := exec.Command("go", "build", "-o", binary, "bronzewinch.dev/bronzewinchd")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

func newWorld(t *testing.T, nodes, workers int) *cooperative.World {
	t.Helper()
	dir := t.TempDir()
	w, err := cooperative.NewWorld(cooperative.WorldConfig{Binary: binary, Dir: dir, Nodes: nodes, Workers: workers})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		w.Close()
		if t.Failed() {
			showLogs(t, dir)
		}
	})
	if !w.AwaitReady(10 * time.Second) {
		t.Fatal("the nodes are not ready")
	}
	return w
}

// showLogs prints the logs of the nodes.
func showLogs(t *testing.T, dir string) {
	t.Helper()
	files, _ := filepath.Glob(filepath.Join(dir, "*.log"))
	for _, f := range files {
		if b, err := os.ReadFile(f); err == nil {
			t.Logf("%s:\n%s", filepath.Base(f), b)
		}
	}
}

// submit hands a job in, with the client's usual retries.
func submit(w *cooperative.World, queue int, job string, steps []cooperative.Step) int {
	w.Fleet.Define(job, steps)
	c := cooperative.NewClient()
	status := 0
	for try := range 8 {
		node := w.Nodes[try%len(w.Nodes)]
		if status, _ = c.Call(http.MethodPost, node.Front, queue, job, cooperative.JobBody(steps)); status == http.StatusOK {
			return status
		}
		time.Sleep(time.Second)
	}
	return status
}

// awaitState waits until a job is shown in a state.
func awaitState(t *testing.T, w *cooperative.World, queue int, job, state string) {
	t.Helper()
	c := cooperative.NewClient()
	var last any
	for try := range 300 {
		status, body := c.Call(http.MethodGet, w.Nodes[try%len(w.Nodes)].Front, queue, job, nil)
		if status == http.StatusOK {
			if last = body["state"]; last == state {
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatalf("job %s: state %v instead of %s", job, last, state)
}

func check(t *testing.T, w *cooperative.World) {
	t.Helper()
	for _, v := range w.Fleet.Violations() {
		t.Error(v)
	}
	found, err := w.Audit()
	if err != nil {
		t.Error(err)
	}
	for _, f := range found {
		t.Error("audit of the logs: " + f)
	}
}

const second = time.Second

// TestWholePath guards against jobs of any shape that do not run to their end,
// or run twice, on a calm deployment.
func TestWholePath(t *testing.T) {
	w := newWorld(t, 3, 4)
	jobs := []struct {
		name  string
		queue int
		steps []cooperative.Step
		state string
	}{
		{"single tasks", 1, []cooperative.Step{{Count: 5, GPU: 1, Work: second / 2}}, "completed"},
		{"gang over workers", 0, []cooperative.Step{{Count: 3, GPU: 4, Gang: true, Work: second / 2}}, "completed"},
		{"steps in order", 2, []cooperative.Step{{Count: 2, GPU: 1, Work: second / 4}, {Count: 2, GPU: 1, Gang: true, Work: second / 4}}, "completed"},
		{"fails once", 1, []cooperative.Step{{Count: 1, GPU: 1, Work: second / 4, Fails: 1}}, "completed"},
		{"fails always", 1, []cooperative.Step{{Count: 1, GPU: 1, Work: second / 4, Fails: 9}}, "failed"},
	}
	for i, j := range jobs {
		is.New(t).Equal(submit(w, j.queue, fmt.Sprintf("%016x", i), j.steps), http.StatusOK)
	}
	for i, j := range jobs {
		awaitState(t, w, j.queue, fmt.Sprintf("%016x", i), j.state)
		if got := w.Fleet.AllDone(fmt.Sprintf("%016x", i)); got != (j.state == "completed") {
			t.Errorf("%s: all done %v, state %s", j.name, got, j.state)
		}
	}
	check(t, w)
}

// TestMalformedJob guards against a mistake that is not named to the caller.
func TestMalformedJob(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1, 1)
	c := cooperative.NewClient()
	status, body := c.Call(http.MethodPost, w.Nodes[0].Front, 0, "00000000000000aa", cooperative.JobBody([]cooperative.Step{{Count: 0}}))
	is.Equal(status, http.StatusBadRequest)
	is.Equal(body["error"], `steps[0].count "0" is invalid (limit: 1 to 10000); change the number of tasks`)
	status, _ = c.Call(http.MethodGet, w.Nodes[0].Front, 0, "00000000000000aa", nil)
	is.Equal(status, http.StatusGone)
}

// TestGuaranteeIsReclaimed guards against a guaranteed job that waits for work
// of a lower priority that fills all workers.
func TestGuaranteeIsReclaimed(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 2, 2)
	is.Equal(submit(w, 2, "00000000000000aa", []cooperative.Step{{Count: 16, GPU: 1, Work: 20 * second}}), http.StatusOK)
	awaitState(t, w, 2, "00000000000000aa", "running")
	begun := time.Now()
	is.Equal(submit(w, 0, "00000000000000bb", []cooperative.Step{{Count: 1, GPU: 8, Gang: true, Work: second / 4}}), http.StatusOK)
	awaitState(t, w, 0, "00000000000000bb", "completed")
	is.True(time.Since(begun) < 2900*time.Millisecond)
	check(t, w)
}

// TestOwnerIsReplaced guards against work that is lost, doubled or stuck when
// the owner is killed, stopped by the platform, or loses the store.
func TestOwnerIsReplaced(t *testing.T) {
	for _, test := range []struct {
		name    string
		disturb func(w *cooperative.World, n *cooperative.Node) error
	}{
		{"killed", func(_ *cooperative.World, n *cooperative.Node) error { n.Signal(syscall.SIGKILL); return nil }},
		{"terminated", func(_ *cooperative.World, n *cooperative.Node) error { n.Signal(syscall.SIGTERM); return nil }},
		{"paused", func(_ *cooperative.World, n *cooperative.Node) error { return n.Pause() }},
		{"turned away", func(w *cooperative.World, n *cooperative.Node) error {
			w.Store.SetFault(n.Name, cooperative.Busy)
			return nil
		}},
		{"cut off one way", func(_ *cooperative.World, n *cooperative.Node) error { n.Store.Set(cooperative.Mute); return nil }},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			w := newWorld(t, 3, 3)
			steps := []cooperative.Step{{Count: 4, GPU: 2, Work: 4 * second}}
			is.Equal(submit(w, 1, "00000000000000aa", steps), http.StatusOK)
			awaitState(t, w, 1, "00000000000000aa", "running")
			owner := w.Owner()
			is.NoErr(test.disturb(w, owner))
			others := *w
			others.Nodes = nil
			for _, n := range w.Nodes {
				if n != owner {
					others.Nodes = append(others.Nodes, n)
				}
			}
			is.Equal(submit(&others, 0, "00000000000000bb", []cooperative.Step{{Count: 2, GPU: 2, Gang: true, Work: second / 2}}), http.StatusOK)
			awaitState(t, &others, 0, "00000000000000bb", "completed")
			awaitState(t, &others, 1, "00000000000000aa", "completed")
			owner.Signal(syscall.SIGCONT)
			owner.Store.Set(cooperative.Pass)
			time.Sleep(second)
			is.Equal(w.Fleet.Starts(), 6) // nothing ran twice
			check(t, w)
		})
	}
}

// TestStoreForgetsHistory guards against watches that stop, or call in a loop,
// when the store no longer keeps the history they need.
func TestStoreForgetsHistory(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 2, 1)
	w.Store.Compact()
	before := w.Store.Calls()
	time.Sleep(3 * second)
	w.Configure()
	is.Equal(submit(w, 1, "00000000000000aa", []cooperative.Step{{Count: 1, GPU: 1, Work: second / 4}}), http.StatusOK)
	awaitState(t, w, 1, "00000000000000aa", "completed")
	is.True(w.Store.Calls()-before < 100)
	check(t, w)
}

// TestReload guards against a process that ends on SIGHUP.
func TestReload(t *testing.T) {
	w := newWorld(t, 1, 1)
	select {
	case <-w.Nodes[0].Signal(syscall.SIGHUP):
		t.Fatal("the process ended on SIGHUP")
	case <-time.After(second):
	}
	is.New(t).True(w.Nodes[0].IsReady())
}

// TestFillsAreSlowedDown guards against filling tasks that keep a serving task
// over its target, and against a deployment that does without them.
func TestFillsAreSlowedDown(t *testing.T) {
	w := newWorld(t, 2, 1)
	serving := []cooperative.Step{{Count: 1, GPU: 1, Target: 200 * time.Millisecond}}
	fills := []cooperative.Step{{Count: 2, GPU: 1, Fills: true, Work: 8 * second}}
	if status := submit(w, 1, "00000000000000d1", serving); status != http.StatusOK {
		t.Fatalf("status %d", status)
	}
	if status := submit(w, 2, "00000000000000d2", fills); status != http.StatusOK {
		t.Fatalf("status %d", status)
	}
	awaitState(t, w, 2, "00000000000000d2", "completed")
	awaitState(t, w, 1, "00000000000000d1", "running")
	check(t, w)
}

// TestWaveOfUpkeep guards against a wave that is not carried out, that takes
// too many machines or serving tasks away at once, or that loses jobs, while the
// owner is killed in the middle.
func TestWaveOfUpkeep(t *testing.T) {
	w := newWorld(t, 3, 4)
	serving := []cooperative.Step{{Count: 3, GPU: 1, Target: 200 * time.Millisecond, MayMiss: 1}}
	if status := submit(w, 1, "00000000000000e1", serving); status != http.StatusOK {
		t.Fatalf("status %d", status)
	}
	awaitState(t, w, 1, "00000000000000e1", "running")
	const wave = 3
	w.Cloud.Ask(wave, 30*second, 1)
	var jobs []string
	for n := range 5 {
		job := fmt.Sprintf("00000000000001%02x", n)
		jobs = append(jobs, job)
		if status := submit(w, 2, job, []cooperative.Step{{Count: 4, GPU: 2, Work: second}}); status != http.StatusOK {
			t.Fatalf("status %d", status)
		}
		if n == 2 {
			owner := w.Owner()
			<-owner.Signal(syscall.SIGKILL)
			if err := owner.Start(); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(second)
	}
	end := time.Now().Add(40 * second)
	for {
		state, begun := w.Cloud.State(wave)
		if state == "completed" && !begun {
			t.Fatal("the wave is shown as completed too early")
		}
		if state == "completed" {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("the wave is %q", state)
		}
		time.Sleep(100 * time.Millisecond)
	}
	for _, job := range jobs {
		awaitState(t, w, 2, job, "completed")
	}
	check(t, w)
}

// TestSettingsAreReadAgain guards against a settings file that changes without
// a signal and is not noticed, and against a mistake in it that ends a node.
func TestSettingsAreReadAgain(t *testing.T) {
	w := newWorld(t, 1, 1)
	n := w.Nodes[0]
	text, err := os.ReadFile(n.Settings)
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct{ text, says string }{
		{"node = ", "settings refused"},
		{strings.Replace(string(text), "seeds = [", `seeds = ["127.0.0.1:1",`, 1), "settings read again"},
	} {
		if err := os.WriteFile(n.Settings, []byte(test.text), 0o600); err != nil {
			t.Fatal(err)
		}
		for limit := time.Now().Add(10 * second); !strings.Contains(n.Log(), test.says); time.Sleep(50 * time.Millisecond) {
			if time.Now().After(limit) {
				t.Fatalf("the log does not say %q", test.says)
			}
		}
	}
	if !n.IsReady() {
		t.Error("the node is not ready")
	}
}
