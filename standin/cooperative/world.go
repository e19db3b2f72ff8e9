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

// DeploymentConfig configures a Deployment.
type DeploymentConfig struct {
	// Binary is the daemon's program.
	Binary string
	// Dir takes the settings and the logs of the nodes.
	Dir     string
	Nodes   int
	Workers int
}

// Queue and keys of the configuration that a Deployment writes. Queue 0 is of the
// first priority.
const (
	Host   = "jobs.example"
	APIKey = "key-1"
)

// PathPrefix returns the path prefix of a queue.
func PathPrefix(queue int) string { return fmt.Sprintf("/q%d/", queue) }

// NumQueues is the number of queues of a Deployment.
const NumQueues = 3

// Deployment is a deployment on loopback: nodes as processes, the store and the
// workers in this process, with a proxy before each.
type Deployment struct {
	Store *Store
	Fleet *Fleet
	Cloud *Cloud
	Nodes []*Node
	// WorkerProxies stand before the workers, in order of their ids.
	WorkerProxies []*Proxy

	config     DeploymentConfig
	cloudProxy *Proxy
	version    int
	servers    []*http.Server
}

// Node is one process of the daemon.
type Node struct {
	Name string
	// FrontAddress is the address for clients, and Ready answers whether it is ready.
	FrontAddress, ReadinessAddress string
	// StoreProxy stands between the node and the store.
	StoreProxy *Proxy
	// SettingsPath is the path of the settings file.
	SettingsPath string

	log    *os.File
	binary string

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
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
func (d *Deployment) serve(h http.Handler) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	d.servers = append(d.servers, server)
	go func() { _ = server.Serve(l) }() // ends with Close
	return NewProxy("127.0.0.1:0", l.Addr().String())
}

// StartDeployment starts a deployment.
func StartDeployment(c DeploymentConfig) (*Deployment, error) {
	d := &Deployment{Store: NewStore(), Fleet: NewFleet(), config: c}
	d.Cloud = newCloud(d.Fleet, d.Store)
	cloud, err := d.serve(d.Cloud.Handler())
	if err != nil {
		return nil, err
	}
	d.cloudProxy = cloud
	d.Configure()
	for i := range c.Workers {
		s := &slot{}
		p, err := d.serve(s)
		if err != nil {
			return nil, err
		}
		d.WorkerProxies = append(d.WorkerProxies, p)
		d.Cloud.add(&vm{name: fmt.Sprintf("m-%03d", i), address: p.Address(), rack: fmt.Sprintf("r-%d", i/4), slot: s})
	}
	var seeds []string
	for i := range c.Nodes {
		n, err := d.newNode(fmt.Sprintf("node-%d", i), &seeds)
		if err != nil {
			return nil, err
		}
		d.Nodes = append(d.Nodes, n)
	}
	for _, n := range d.Nodes {
		if err := n.Start(); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// Configure writes a new version of the configuration.
func (d *Deployment) Configure() {
	d.version += 3
	var routes []map[string]any
	for q := range NumQueues {
		routes = append(routes, map[string]any{"name": fmt.Sprintf("queue-%d", q), "host": Host, "prefix": PathPrefix(q),
			"service": "service", "priority": q, "attempts": 3, "slack_factor": 3.0, "target_latency_ms": 500})
	}
	d.Store.Write("op/config", map[string]any{"version": d.version, "routes": routes,
		"services": []map[string]any{{"name": "service", "enforces_capacity": true}},
		"tenants": []map[string]any{{"name": "account", "api_keys": []string{APIKey},
			"guaranteed": map[string]int{"gpu": d.config.Workers * WorkerGPUs / 2}}}})
}

func (d *Deployment) newNode(name string, seeds *[]string) (*Node, error) {
	p, err := d.serve(d.Store.Handler(name))
	if err != nil {
		return nil, err
	}
	n := &Node{Name: name, StoreProxy: p, binary: d.config.Binary, SettingsPath: filepath.Join(d.config.Dir, name+".toml")}
	var control string
	for _, a := range []*string{&n.FrontAddress, &n.ReadinessAddress, &control} {
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
		n.FrontAddress, n.ReadinessAddress, control, maxLease.Milliseconds(), stopDuration.Milliseconds(), upkeepTime.Seconds(), p.Address(), d.cloudProxy.Address())
	if err := os.WriteFile(n.SettingsPath, []byte(text), 0o600); err != nil {
		return nil, err
	}
	n.log, err = os.OpenFile(filepath.Join(d.config.Dir, name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
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
	c.Env = append(os.Environ(), "BRONZEWINCH_BOOT="+n.SettingsPath)
	c.Stdout, c.Stderr = n.log, n.log
	if err := c.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.process, n.exited = c, exited
	go func() {
		_ = c.Wait() // a killed process ends with an error
		n.mu.Lock()
		defer n.mu.Unlock()
		n.process = nil
		close(exited)
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
	return n.exited
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
	resp, err := client.Get("http://" + n.ReadinessAddress + "/ready")
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// AwaitReady returns whether all nodes are ready within limit.
func (d *Deployment) AwaitReady(limit time.Duration) bool {
	end := time.Now().Add(limit)
	for {
		ready := true
		for _, n := range d.Nodes {
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
func (d *Deployment) Audit() ([]string, error) {
	var lines []logline.Line
	for _, n := range d.Nodes {
		f, err := os.Open(n.log.Name())
		if err != nil {
			return nil, err
		}
		nodeLines, err := logline.Read(n.Name, f)
		_ = f.Close() // it was only read
		if err != nil {
			return nil, err
		}
		lines = append(lines, nodeLines...)
	}
	report := logaudit.Check(lines)
	if report.Decisions == 0 {
		return nil, fmt.Errorf("the logs in %s hold no decisions", d.config.Dir)
	}
	var findings []string
	for _, f := range report.Findings {
		findings = append(findings, fmt.Sprintf("%s %s of job %s: %s", f.Time.Format("15:04:05.000"), f.Invariant, f.Job, f.Reason))
	}
	return findings, nil
}

// Close ends all processes that the world has started.
func (d *Deployment) Close() {
	for _, n := range d.Nodes {
		<-n.Signal(syscall.SIGKILL)
		n.StoreProxy.Close()
		_ = n.log.Close()
	}
	d.Cloud.close()
	for _, p := range append(d.WorkerProxies, d.cloudProxy) {
		p.Close()
	}
	for _, s := range d.servers {
		_ = s.Close()
	}
}

// Owner returns the node that the store names as the owner, or nil.
func (d *Deployment) Owner() *Node {
	d.Store.mu.Lock()
	value := d.Store.items["bronzewinch/owner"].Value
	d.Store.mu.Unlock()
	for _, n := range d.Nodes {
		if bytes.Contains(value, []byte(n.Name)) {
			return n
		}
	}
	return nil
}
