package cooperative

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"bronzewinch.dev/lib/logaudit"
	"bronzewinch.dev/lib/logline"

	"golang.org/x/sys/unix"
)

// WorldConfig configures a World.
type WorldConfig struct {
	// Binary is the daemon's program.
	Binary string
	// Dir takes the settings and the logs of the nodes.
	Dir     string
	Nodes   int
	Workers int
}

// Queue and keys of the configuration that a World writes. Queue 0 is of the
// first priority.
const (
	Host = "jobs.example"
	Key  = "key-1"
)

// Prefix returns the path prefix of a queue.
func Prefix(queue int) string { return fmt.Sprintf("/q%d/", queue) }

// Queues is the number of queues of a World.
const Queues = 3

// World is a deployment on loopback: nodes as processes, the store and the
// workers in this process, with a proxy before each.
type World struct {
	Store *Store
	Fleet *Fleet
	Cloud *Cloud
	Nodes []*Node
	// WorkerProxies stand before the workers, in order of their ids.
	WorkerProxies []*Proxy

	config  WorldConfig
	cloud   *Proxy
	version int
	servers []*http.Server
}

// Node is one process of the daemon.
type Node struct {
	Name string
	// Front is the address for clients, and Ready answers whether it is ready.
	Front, Ready string
	// Store stands between the node and the store.
	Store *Proxy
	// Settings is the path of the settings file.
	Settings string

	log    *os.File
	binary string

	mu      sync.Mutex
	process *exec.Cmd
	gone    chan struct{}
}

// Ports of nodes lie below the range from which the system takes the ports of
// outgoing connections, so that none is taken between the choice and the start.
const (
	firstPort = 20000
	lastPort  = 32000
)

var nextPort = struct {
	sync.Mutex
	port int
}{port: firstPort + os.Getpid()*37%(lastPort-firstPort)}

// freeAddress returns an address that nothing listens on.
func freeAddress() (string, error) {
	nextPort.Lock()
	defer nextPort.Unlock()
	for range lastPort - firstPort {
		if nextPort.port++; nextPort.port >= lastPort {
			nextPort.port = firstPort
		}
		address := fmt.Sprintf("127.0.0.1:%d", nextPort.port)
		if l, err := net.Listen("tcp", address); err == nil {
			return address, l.Close()
		}
	}
	return "", fmt.Errorf("no free port from %d to %d; end other test runs", firstPort, lastPort)
}

// serve serves a handler on loopback behind a proxy.
func (w *World) serve(h http.Handler) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	w.servers = append(w.servers, server)
	go func() { _ = server.Serve(l) }() // ends with Close
	return NewProxy("127.0.0.1:0", l.Addr().String())
}

// NewWorld starts a deployment.
func NewWorld(c WorldConfig) (*World, error) {
	w := &World{Store: NewStore(), Fleet: NewFleet(), config: c}
	w.Cloud = newCloud(w.Fleet, w.Store)
	cloud, err := w.serve(w.Cloud.Handler())
	if err != nil {
		return nil, err
	}
	w.cloud = cloud
	w.Configure()
	for i := range c.Workers {
		s := &slot{}
		p, err := w.serve(s)
		if err != nil {
			return nil, err
		}
		w.WorkerProxies = append(w.WorkerProxies, p)
		w.Cloud.add(&machine{name: fmt.Sprintf("m-%03d", i), address: p.Address(), rack: fmt.Sprintf("r-%d", i/4), slot: s})
	}
	var seeds []string
	for i := range c.Nodes {
		n, err := w.newNode(fmt.Sprintf("node-%d", i), &seeds)
		if err != nil {
			return nil, err
		}
		w.Nodes = append(w.Nodes, n)
	}
	for _, n := range w.Nodes {
		if err := n.Start(); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// Configure writes a new version of the configuration.
func (w *World) Configure() {
	w.version += 3
	var routes []map[string]any
	for q := range Queues {
		routes = append(routes, map[string]any{"name": fmt.Sprintf("queue-%d", q), "host": Host, "prefix": Prefix(q),
			"service": "service", "priority": q, "attempts": 3, "slack_factor": 3.0, "target_latency_ms": 500})
	}
	w.Store.Write("op/config", map[string]any{"version": w.version, "routes": routes,
		"services": []map[string]any{{"name": "service", "enforces_capacity": true}},
		"tenants": []map[string]any{{"name": "account", "api_keys": []string{Key},
			"guaranteed": map[string]int{"gpu": w.config.Workers * WorkerGPUs / 2}}}})
}

func (w *World) newNode(name string, seeds *[]string) (*Node, error) {
	p, err := w.serve(w.Store.Handler(name))
	if err != nil {
		return nil, err
	}
	n := &Node{Name: name, Store: p, binary: w.config.Binary, Settings: filepath.Join(w.config.Dir, name+".toml")}
	var control string
	for _, a := range []*string{&n.Front, &n.Ready, &control} {
		if *a, err = freeAddress(); err != nil {
			return nil, err
		}
	}
	if len(*seeds) < 3 {
		*seeds = append(*seeds, control)
	}
	text := fmt.Sprintf("node = %q\nzone = \"zone\"\nip = \"127.0.0.1\"\nseeds = [", name)
	for _, s := range *seeds {
		text += fmt.Sprintf("%q,", s)
	}
	text += fmt.Sprintf("]\n[listen]\nfront = %q\nready = %q\ncontrol = %q\n[bounds]\ngrace_s = 6\nhold_max_ms = %d\n"+
		"stop_ms = %d\nstatus_s = 120\nreclaim_ms = 2900\nremote_factor = 3\nrestore_ms = 600\nupkeep_s = %g\nlease_ms = 1000\n"+
		"[platform]\naddress = %q\n[cloud]\naddress = %q\n",
		n.Front, n.Ready, control, holdMax.Milliseconds(), stopTime.Milliseconds(), upkeepTime.Seconds(), p.Address(), w.cloud.Address())
	if err := os.WriteFile(n.Settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	n.log, err = os.OpenFile(filepath.Join(w.config.Dir, name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	return n, err
}

// Start starts the process of a node that has none.
func (n *Node) Start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		return nil
	}
	c := exec.Command(n.binary, "-platform")
	c.Env = append(os.Environ(), "BRONZEWINCH_BOOT="+n.Settings)
	c.Stdout, c.Stderr = n.log, n.log
	if err := c.Start(); err != nil {
		return err
	}
	gone := make(chan struct{})
	n.process, n.gone = c, gone
	go func() {
		_ = c.Wait() // a killed process ends with an error
		n.mu.Lock()
		defer n.mu.Unlock()
		n.process = nil
		close(gone)
	}()
	return nil
}

// Signal sends a signal to the process of a node, if it has one. It returns a
// channel that is closed when that process is gone.
func (n *Node) Signal(s syscall.Signal) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil {
		none := make(chan struct{})
		close(none)
		return none
	}
	_ = n.process.Process.Signal(s) // it may have ended
	return n.gone
}

// Pause stops the process of a node with SIGSTOP and returns when all of its
// threads are stopped. A busy thread can run on for some milliseconds after
// the signal is sent.
func (n *Node) Pause() error {
	n.Signal(syscall.SIGSTOP)
	n.mu.Lock()
	process := n.process
	n.mu.Unlock()
	if process == nil {
		return nil
	}
	for {
		err := unix.Waitid(unix.P_PID, process.Process.Pid, nil, unix.WSTOPPED|unix.WNOWAIT, nil)
		if err != unix.EINTR {
			return err
		}
	}
}

// Log returns what the node has logged so far.
func (n *Node) Log() string {
	b, err := os.ReadFile(n.log.Name())
	if err != nil {
		return err.Error()
	}
	return string(b)
}

// IsReady asks a node whether it is ready.
func (n *Node) IsReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := client.Get("http://" + n.Ready + "/ready")
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// AwaitReady returns whether all nodes are ready within limit.
func (w *World) AwaitReady(limit time.Duration) bool {
	end := time.Now().Add(limit)
	for {
		ready := true
		for _, n := range w.Nodes {
			ready = ready && n.IsReady()
		}
		if ready || time.Now().After(end) {
			return ready
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// Audit checks the decisions that the nodes have logged. It returns one text for
// each finding.
func (w *World) Audit() ([]string, error) {
	var lines []logline.Line
	for _, n := range w.Nodes {
		f, err := os.Open(n.log.Name())
		if err != nil {
			return nil, err
		}
		some, err := logline.Read(n.Name, f)
		_ = f.Close() // it was only read
		if err != nil {
			return nil, err
		}
		lines = append(lines, some...)
	}
	report := logaudit.Check(lines)
	if report.Decisions == 0 {
		return nil, fmt.Errorf("the logs in %s hold no decisions", w.config.Dir)
	}
	var found []string
	for _, f := range report.Findings {
		found = append(found, fmt.Sprintf("%s %s of job %s: %s", f.Time.Format("15:04:05.000"), f.Invariant, f.Job, f.Reason))
	}
	return found, nil
}

// Close ends all processes that the world has started.
func (w *World) Close() {
	for _, n := range w.Nodes {
		<-n.Signal(syscall.SIGKILL)
		n.Store.Close()
		_ = n.log.Close()
	}
	w.Cloud.close()
	for _, p := range append(w.WorkerProxies, w.cloud) {
		p.Close()
	}
	for _, s := range w.servers {
		_ = s.Close()
	}
}

// Owner returns the node that the store names as the owner, or nil.
func (w *World) Owner() *Node {
	w.Store.mu.Lock()
	value := w.Store.items["bronzewinch/owner"].Value
	w.Store.mu.Unlock()
	for _, n := range w.Nodes {
		if bytes.Contains(value, []byte(n.Name)) {
			return n
		}
	}
	return nil
}
