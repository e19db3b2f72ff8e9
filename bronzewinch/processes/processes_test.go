// Package processes_test runs the programs as separate processes that communicate
// over TCP, as the README describes.
package processes_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"bronzewinch.dev/lib/timer"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

const (
	testTimeout = 2 * time.Minute
	maxStopTime = 20 * time.Second
	callers     = 4
)

// The example declares ports from firstDeclaredPort on. The test maps them to a
// random base port, so that concurrent runs on one machine use different ports.
// The highest declared port is 23901, so all ports are below 20000: from there on,
// the nodes of standin/cooperative listen, whose tests run at the same time. The
// command line would get their answers at the addresses of nodes that the test
// does not start.
const (
	firstDeclaredPort = 21000
	lowestBasePort    = 10000
	basePortRange     = 7000
)

// declaredAddress matches an address of the examples.
var declaredAddress = regexp.MustCompile(`127\.0\.0\.1:2\d{4}`)

// rig is a directory with the built programs, and the files of the example with
// mapped ports.
type rig struct {
	t        *testing.T
	ctx      context.Context
	dir      string
	basePort int
}

func newRig(t *testing.T, ctx context.Context) *rig {
	t.Helper()
	r := &rig{t: t, ctx: ctx, dir: t.TempDir(), basePort: lowestBasePort + rand.IntN(basePortRange)}
	for _, program := range []string{"standin", "bronzewinchd", "bronzewinch"} {
		cmd := exec.CommandContext(ctx, "go", "build", "-o", filepath.Join(r.dir, program), ".")
		cmd.Dir = filepath.Join("..", "..", program)
		if out, err := cmd.CombinedOutput(); err != nil {
			t.Fatalf("build %s: %v\n%s", program, err, out)
		}
	}
	root := filepath.Join("..", "..", "examples", "cooperative")
	err := filepath.WalkDir(root, func(path string, e os.DirEntry, err error) error {
		if err != nil || e.IsDir() {
			return err
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		to := filepath.Join(r.dir, strings.TrimPrefix(path, root))
		if err := os.MkdirAll(filepath.Dir(to), 0o700); err != nil {
			return err
		}
		return os.WriteFile(to, []byte(declaredAddress.ReplaceAllStringFunc(string(data), r.mapAddress)), 0o600)
	})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// mapAddress returns the address that replaces a declared one. Its port lies below
// the ephemeral ports, so that no outgoing connection of the system takes it.
func (r *rig) mapAddress(address string) string {
	var n int
	if _, err := fmt.Sscanf(address, "127.0.0.1:%d", &n); err != nil {
		r.t.Fatal(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", n-firstDeclaredPort+r.basePort)
}

// start starts a program, which is killed at the end of the test if it still runs.
func (r *rig) start(program string, args ...string) *exec.Cmd {
	r.t.Helper()
	cmd := exec.CommandContext(r.ctx, filepath.Join(r.dir, program), args...)
	log, err := os.Create(filepath.Join(r.dir, program+args[len(args)-1][strings.LastIndex(args[len(args)-1], "/")+1:]+".log"))
	if err != nil {
		r.t.Fatal(err)
	}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() {
		if cmd.ProcessState == nil {
			_ = cmd.Process.Kill()
			_ = cmd.Wait()
		}
		_ = log.Close()
		if data, err := os.ReadFile(log.Name()); err == nil && r.t.Failed() {
			r.t.Logf("%s:\n%s", filepath.Base(log.Name()), data)
		}
	})
	return cmd
}

// command runs the command line and retries while the exit status is 7
// (unavailable), until it succeeds or the test times out.
func (r *rig) command(args ...string) string {
	r.t.Helper()
	for {
		cmd := exec.CommandContext(r.ctx, filepath.Join(r.dir, "bronzewinch"), args...)
		cmd.Dir = r.dir
		out, err := cmd.CombinedOutput()
		if err == nil {
			return string(out)
		}
		var exit *exec.ExitError
		if !errors.As(err, &exit) || exit.ExitCode() != 7 || timer.Sleep(r.ctx, timer.NewSystem(), 200*time.Millisecond) != nil {
			r.t.Fatalf("%v: %v\n%s", args, err, out)
		}
	}
}

// TestProcesses guards against programs that work only in one process, and
// against a node that, on SIGTERM, cuts off a request or doesn't hand over its
// shards.
func TestProcesses(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	r := newRig(t, ctx)
	r.start("standin", "-listen", r.mapAddress("127.0.0.1:23900"), "-vmList", r.mapAddress("127.0.0.1:23901"), "-runTime", "500ms",
		"-nodes", filepath.Join(r.dir, "nodes"), "-records", filepath.Join(r.dir, "records"))
	var nodes []*exec.Cmd
	for i := range 3 {
		nodes = append(nodes, r.start("bronzewinchd", "-settings", filepath.Join(r.dir, "nodes", fmt.Sprintf("cooperative-%d.toml", i+1))))
	}
	r.command("apply", "records", "-contexts", "contexts.toml", "-context", "bootstrap")
	// The first lists lack nodes whose heartbeat has not arrived yet.
	for strings.Count(r.command("nodes", "-contexts", "contexts.toml"), "place/") < 3 {
		is.NoErr(timer.Sleep(ctx, timer.NewSystem(), 200*time.Millisecond))
	}
	out := r.command("submit", "jobs/opportunistic.toml", "-wait", "-contexts", "contexts.toml")
	is.True(strings.Contains(out, "succeeded"))

	stop := r.load()
	is.NoErr(nodes[1].Process.Signal(syscall.SIGTERM))
	start := time.Now()
	is.NoErr(nodes[1].Wait()) // exit status 0
	is.True(time.Since(start) < maxStopTime)
	outcomes := stop()
	is.True(outcomes["done"] > 0)
	is.Equal(len(outcomes), 1) // the only outcome is done: no request was cut off, none is unknown
	out = r.command("submit", "jobs/nightly.toml", "-wait", "-contexts", "contexts.toml")
	is.True(strings.Contains(out, "succeeded"))
}

// load sends requests to the first two nodes, and uses the other one when a
// connection is refused. Stop ends the load and returns the number of requests
// with each outcome.
func (r *rig) load() (stop func() map[string]int) {
	ctx, cancel := context.WithCancel(r.ctx)
	tokens, err := os.ReadFile(filepath.Join(r.dir, "tokens.txt"))
	if err != nil {
		r.t.Fatal(err)
	}
	_, token, _ := strings.Cut(string(tokens), "account/members ")
	token, _, _ = strings.Cut(token, "\n")
	outcomes := make(map[string]int)
	var mu sync.Mutex
	var wg sync.WaitGroup
	started := make(chan struct{}, callers)
	for i := range callers {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				outcome := r.call(token, fmt.Sprintf("c%d-%d", i, n), (i+n)%2)
				mu.Lock()
				outcomes[outcome]++
				mu.Unlock()
				if n == 0 {
					started <- struct{}{}
				}
			}
		})
	}
	for range callers {
		<-started
	}
	return func() map[string]int {
		cancel()
		wg.Wait()
		return outcomes
	}
}

// call sends one non-idempotent request. It opens a new connection for each
// request, as the load balancer does.
func (r *rig) call(token, name string, node int) string {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for range 2 {
		address := r.mapAddress([]string{"127.0.0.1:23000", "127.0.0.1:23010"}[node])
		q, _ := http.NewRequestWithContext(r.ctx, http.MethodPost, "http://"+address+"/v1/services/skymap/score", bytes.NewReader([]byte(name)))
		q.Header.Set("Authorization", "Bearer "+token)
		q.Header.Set("Bronzewinch-Request-Id", name)
		q.Header.Set("Bronzewinch-Idempotent", "false")
		q.GetBody = nil
		resp, err := client.Do(q)
		var dial *net.OpError
		if errors.As(err, &dial) && dial.Op == "dial" {
			node = 1 - node
			continue
		}
		if err != nil {
			return err.Error()
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil || !strings.HasSuffix(string(body), name) {
			return fmt.Sprintf("%s with %v and %s", resp.Header.Get("Bronzewinch-Outcome"), err, body)
		}
		return resp.Header.Get("Bronzewinch-Outcome")
	}
	return "refused"
}
