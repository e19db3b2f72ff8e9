package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// node is one process of the project's daemon, started with the command of the deploy
// file.
type node struct {
	name, ip              string
	front, ready, control string
	settings              string
	log                   *os.File

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
}

// The command of the role in deploy/system.toml.
var command = []string{"target/bronzewinchd", "-platform", "-metrics", "9464"}

// nodeIPs returns loopback addresses on which the ports that a node needs are free. Each
// node has an address of its own, as the deploy file gives all nodes the same port for
// metrics.
func nodeIPs(count int) ([]string, error) {
	first := os.Getpid() % 200
	for i := range 200 {
		block := 20 + (first+i)%200
		var ips []string
		for n := range count {
			ip := fmt.Sprintf("127.0.%d.%d", block, n+1)
			if portsFree(ip) {
				ips = append(ips, ip)
			}
		}
		if len(ips) == count {
			return ips, nil
		}
	}
	return nil, fmt.Errorf("no free loopback addresses")
}

// portsFree reports whether nothing listens on the ports of a node.
func portsFree(ip string) bool {
	for _, port := range []string{"9464", "8521", "8523", "8526"} {
		l, err := net.Listen("tcp", ip+":"+port)
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// writeSettings writes the settings file of a node, with the fields that DEPLOY.md shows
// and the bounds of a site.
func (n *node) writeSettings(w *world, seeds []string) error {
	text := fmt.Sprintf("node = %q\nrole = \"node\"\nclass = \"edge\"\nserves = [\"edge\",\"control_plane\"]\nip = %q\nzone = \"entoto\"\nregion = \"shewa\"\n",
		n.name, n.ip) +
		fmt.Sprintf("port_range = [7000,7015]\nseeds = [%s]\nbootstrap = true\nin_tolerance = false\ndiscovery = \"platform\"\nentry = \"vip\"\nheartbeat_ms = 1500\n", quoted(seeds)) +
		"contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"tenants\",\"platform\",\"advice\",\"upkeep\",\"sharing\"]\norders = \"rpc\"\nadvice = \"\"\n" +
		fmt.Sprintf("[zones]\nentoto = \"shewa\"\n[listen]\nfront = %q\nready = %q\ncontrol = %q\n", n.front, n.ready, n.control) +
		"[limits]\ncpu_share = 0.4\ncores = 1\nmemory_mb = 284\nmax_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 0\n" +
		"[fault_tolerance]\nmachines = 2\nzones = 0\nregions = 0\n" + w.bounds.settings +
		fmt.Sprintf("[platform]\naddress = %q\nform = \"kv\"\nwrites_per_s = 400\nreads_per_s = 2000\nhistory_s = 20\nvalue_bytes = 1048576\nttl_min_ms = 1000\n", w.storeAddress) +
		fmt.Sprintf("[cloud]\naddress = %q\nrate_per_s = 60.0\nduties = [\"upkeep\"]\nduty_per_s = 60.0\n", w.cloudAddress)
	return os.WriteFile(n.settings, []byte(text), 0o600)
}

func quoted(all []string) string {
	var q []string
	for _, s := range all {
		q = append(q, fmt.Sprintf("%q", s))
	}
	return strings.Join(q, ",")
}

func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := exec.Command(command[0], command[1:]...)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BRONZEWINCH_BOOT=" + n.settings}
	c.Stdout, c.Stderr = n.log, n.log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // if this process is killed
	if err := c.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.process, n.exited = c, exited
	go func() {
		_ = c.Wait() // a killed process returns an error
		close(exited)
	}()
	return nil
}

// signal sends a signal to the node's process.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		_ = n.process.Process.Signal(s) // it may have exited
	}
}

// kill kills the node's process and waits until it has gone.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

func (n *node) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := client.Get("http://" + n.ready + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func newNode(dir, name, ip string) (*node, error) {
	n := &node{name: name, ip: ip, front: ip + ":8521", ready: ip + ":8523", control: ip + ":8526", settings: filepath.Join(dir, name+".toml")}
	var err error
	n.log, err = os.Create(filepath.Join(dir, name+".log"))
	return n, err
}
