// Package soakbench runs nodes of the cooperative platform as processes,
// injects random faults, and checks that clients and workers observe no
// violation of the scheduler's guarantees.
package soakbench

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"

	"bronzewinch.dev/standin/cooperative"

	"github.com/integrii/flaggy"
)

// Config configures a soak test.
type Config struct {
	Seed          uint64
	FaultDuration time.Duration
	Nodes         int
	Workers       int
	// Delegates gives the nodes links that are too small for an owner to call all
	// workers itself.
	Delegates bool
	// Dir is the directory for settings and logs. If it is empty, a temporary
	// directory is created.
	Dir string
	// Binary is the path of the daemon. If it is empty, the daemon is built.
	Binary string
}

// settleTimeout bounds the time from the end of the last fault, or of another job,
// until a job has ended. It allows for the expiry of leases and a few runs. With few
// refusals, clients submit more jobs than the workers complete within it.
const settleTimeout = 45 * time.Second

// smallLinkMbps is a link that suffices for one worker.
const smallLinkMbps = 0.1

// Result holds the counts, the injected faults and the violations of a soak.
type Result struct {
	Jobs, Accepted, Refused, Unknown, Cancelled, Completed int
	Starts                                                 int
	Faults                                                 []string
	Violations                                             []string
	Dir                                                    string
}

// Run implements the subcommand "soak" of bwbench.
func Run(args []string) error {
	c := Config{Seed: uint64(time.Now().UnixNano()), Nodes: 4, Workers: 6}
	minutes := 1.0
	sub := flaggy.NewSubcommand("soak")
	sub.Description = "run nodes as processes, inject random faults and check what clients and workers observe"
	sub.UInt64(&c.Seed, "", "seed", "seed of the faults and jobs")
	sub.Float64(&minutes, "", "minutes", "minutes during which faults are injected")
	sub.Int(&c.Nodes, "", "nodes", "number of nodes")
	sub.Int(&c.Workers, "", "workers", "number of workers")
	sub.Bool(&c.Delegates, "", "delegates", "give the nodes small links, so that the owner lets other nodes call the workers")
	sub.String(&c.Dir, "", "dir", "directory for settings and logs; a temporary one is created when it is empty")
	sub.String(&c.Binary, "", "binary", "daemon to run; built when it is empty")
	parser := flaggy.NewParser("bwbench")
	parser.AttachSubcommand(sub, 1)
	if err := parser.ParseArgs(append([]string{"soak"}, args...)); err != nil {
		return err
	}
	c.FaultDuration = time.Duration(minutes * float64(time.Minute))
	r, err := Soak(c)
	if err != nil {
		return err
	}
	fmt.Printf("seed %d: %d jobs, %d accepted, %d refused, %d unknown, %d cancelled, %d completed; %d starts; %d faults; %d violations; logs in %s\n",
		c.Seed, r.Jobs, r.Accepted, r.Refused, r.Unknown, r.Cancelled, r.Completed, r.Starts, len(r.Faults), len(r.Violations), r.Dir)
	for _, v := range r.Violations {
		fmt.Println("  " + v)
	}
	if len(r.Violations) > 0 {
		for _, f := range r.Faults {
			fmt.Println("  fault: " + f)
		}
		return fmt.Errorf("seed %d: %d violations; repeat the run with --seed %d", c.Seed, len(r.Violations), c.Seed)
	}
	return nil
}

// Soak runs one soak test.
func Soak(c Config) (Result, error) {
	if err := c.prepare(); err != nil {
		return Result{}, err
	}
	deployment := cooperative.DeploymentConfig{Binary: c.Binary, Dir: c.Dir, Nodes: c.Nodes, Workers: c.Workers}
	if c.Delegates {
		deployment.LinkMbps = smallLinkMbps
	}
	w, err := cooperative.StartDeployment(deployment)
	if err != nil {
		return Result{}, err
	}
	defer w.Close()
	w.Fleet.SkipUndisturbedChecks()
	if !w.AwaitReady(20 * time.Second) {
		return Result{}, fmt.Errorf("the nodes are not ready after 20s; see the logs in %s", c.Dir)
	}
	s := &soak{config: c, deployment: w, result: Result{Dir: c.Dir}, end: time.Now().Add(c.FaultDuration)}
	var wg sync.WaitGroup
	for i := range clientCount {
		wg.Go(func() { s.runClient(i, rand.New(rand.NewPCG(c.Seed, uint64(i)+1))) })
	}
	s.injectFaults(rand.New(rand.NewPCG(c.Seed, 0)))
	s.endFaults()
	wg.Wait()
	s.awaitJobs()
	s.awaitWaves()
	s.result.Starts = w.Fleet.Starts()
	s.result.Violations = append(s.result.Violations, w.Fleet.Violations()...)
	findings, err := w.Audit()
	if err != nil {
		return s.result, err
	}
	for _, f := range findings {
		s.result.Violations = append(s.result.Violations, "log audit: "+f)
	}
	return s.result, nil
}

func (c *Config) prepare() (err error) {
	if c.Dir == "" {
		if c.Dir, err = os.MkdirTemp("", "soak"); err != nil {
			return err
		}
	}
	if c.Binary == "" {
		c.Binary, err = cooperative.BuildDaemon(c.Dir)
	}
	return err
}

// soak is the state of one soak test.
type soak struct {
	config     Config
	deployment *cooperative.Deployment
	end        time.Time

	mu     sync.Mutex
	result Result
	jobs   []*job
}

func (s *soak) addViolation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.result.Violations = append(s.result.Violations, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// fault is a kind of fault. inject starts it and returns the function that ends
// it, or nil if it ends by itself.
type fault struct {
	name   string
	inject func(s *soak, r *rand.Rand) (end func())
}

// randomNode returns the owner of the scheduler in half of the cases, if there is
// one, and otherwise any node.
func randomNode(s *soak, r *rand.Rand) *cooperative.Node {
	if o := s.deployment.Owner(); o != nil && r.IntN(2) == 0 {
		return o
	}
	return s.deployment.Nodes[r.IntN(len(s.deployment.Nodes))]
}

// exitTimeout bounds the time from a signal to the exit of the process. It is
// longer than a node's shutdown grace, because another fault may pause the
// process meanwhile.
const exitTimeout = 14 * time.Second

// restartAfter returns a fault that sends a signal to a node and starts the node
// again after it has exited.
func restartAfter(sig syscall.Signal) func(*soak, *rand.Rand) func() {
	return func(s *soak, r *rand.Rand) func() {
		n := randomNode(s, r)
		exited := n.Signal(sig)
		return func() {
			select {
			case <-exited:
				s.start(n)
			case <-time.After(exitTimeout):
				s.addViolation("%s did not exit within %v of signal %v", n.Name, exitTimeout, sig)
			}
		}
	}
}

func (s *soak) start(n *cooperative.Node) {
	if err := n.Start(); err != nil {
		s.addViolation("start of %s failed: %v", n.Name, err)
	}
}

// storeFault returns a fault of the key-value service for one node or for all.
func storeFault(f cooperative.Fault, all bool) func(*soak, *rand.Rand) func() {
	return func(s *soak, r *rand.Rand) func() {
		nodes := []*cooperative.Node{randomNode(s, r)}
		if all {
			nodes = s.deployment.Nodes
		}
		for _, n := range nodes {
			s.deployment.Store.SetFault(n.Name, f)
		}
		return func() {
			for _, n := range nodes {
				s.deployment.Store.SetFault(n.Name, cooperative.NoFault)
			}
		}
	}
}

// proxyFault returns a fault on the connection of a node to the store, or of a
// worker to the nodes. In half of the cases all connections are reset at its
// end.
func proxyFault(m cooperative.ProxyMode, workers bool) func(*soak, *rand.Rand) func() {
	return func(s *soak, r *rand.Rand) func() {
		p := randomNode(s, r).StoreProxy
		if workers {
			p = s.deployment.WorkerProxies[randomWorker(s, r)]
		}
		p.SetMode(m)
		return func() {
			if r.IntN(2) == 0 {
				p.Reset()
			}
			p.SetMode(cooperative.Forward)
		}
	}
}

// randomWorker returns the index of worker 0 in half of the cases, so that faults of
// one worker overlap, and otherwise that of any worker.
func randomWorker(s *soak, r *rand.Rand) int {
	if r.IntN(2) == 0 {
		return 0
	}
	return r.IntN(s.config.Workers)
}

// workerRestart returns a fault that crashes a worker and starts the next one on
// its VM.
func workerRestart(newID bool) func(*soak, *rand.Rand) func() {
	return func(s *soak, r *rand.Rand) func() {
		s.deployment.Cloud.RestartWorker(randomWorker(s, r), cooperative.Restart{
			Downtime:      time.Duration(50+r.IntN(2000)) * time.Millisecond,
			RegisterDelay: time.Millisecond + time.Duration(r.Int64N(int64(cooperative.HeartbeatInterval+cooperative.NoticeTime))),
			NewID:         newID,
		})
		return nil
	}
}

// lateCalls returns a fault that gives calls to a worker no answer and carries them
// out later.
func lateCalls(paths ...string) func(*soak, *rand.Rand) func() {
	return func(s *soak, r *rand.Rand) func() {
		worker := randomWorker(s, r)
		s.deployment.Cloud.SetLateCalls(worker, &cooperative.LateCalls{Paths: paths, Share: 0.2 + 0.8*r.Float64(),
			MinDelay: 2 * time.Second, MaxDelay: 12 * time.Second})
		return func() { s.deployment.Cloud.SetLateCalls(worker, nil) }
	}
}

// cutOffWorker cuts a worker off from the nodes and the store for as long as its
// lease and its store entry last, and longer.
func cutOffWorker(s *soak, r *rand.Rand) func() {
	worker := randomWorker(s, r)
	p := s.deployment.WorkerProxies[worker]
	p.SetMode(cooperative.BlockAll)
	s.deployment.Cloud.CutOffWorker(worker, true)
	reset := r.IntN(2) == 0
	return func() {
		time.Sleep(cooperative.SilenceTime)
		if reset {
			p.Reset()
		}
		p.SetMode(cooperative.Forward)
		s.deployment.Cloud.CutOffWorker(worker, false)
	}
}

var faults = []fault{
	{"kill a node", restartAfter(syscall.SIGKILL)},
	{"terminate a node", restartAfter(syscall.SIGTERM)},
	{"reload a node", func(s *soak, r *rand.Rand) func() { randomNode(s, r).Signal(syscall.SIGHUP); return nil }},
	{"pause a node", func(s *soak, r *rand.Rand) func() {
		n := randomNode(s, r)
		n.Signal(syscall.SIGSTOP)
		return func() { n.Signal(syscall.SIGCONT) }
	}},
	{"kill all nodes", func(s *soak, _ *rand.Rand) func() {
		var exited []<-chan struct{}
		for _, n := range s.deployment.Nodes {
			exited = append(exited, n.Signal(syscall.SIGKILL))
		}
		return func() {
			for i, n := range s.deployment.Nodes {
				<-exited[i]
				s.start(n)
			}
		}
	}},
	{"store rejects the calls of a node", storeFault(cooperative.RejectCalls, false)},
	{"store does not answer a node", storeFault(cooperative.DropCalls, false)},
	{"store is down", storeFault(cooperative.RejectCalls, true)},
	{"store is slow", storeFault(cooperative.DelayCalls, true)},
	{"store loses responses", storeFault(cooperative.DropReplies, true)},
	{"store compacts its history", func(s *soak, _ *rand.Rand) func() { s.deployment.Store.Compact(); return nil }},
	{"node does not receive what the store sends", proxyFault(cooperative.BlockReplies, false)},
	{"node is partitioned from the store", proxyFault(cooperative.BlockAll, false)},
	{"connection to the store is slow", proxyFault(cooperative.Delay, false)},
	{"nodes do not receive what a worker sends", proxyFault(cooperative.BlockReplies, true)},
	{"worker is partitioned from the nodes", proxyFault(cooperative.BlockAll, true)},
	{"worker is cut off", cutOffWorker},
	{"worker restarts under its id", workerRestart(false)},
	{"worker restarts under its id", workerRestart(false)},
	{"worker restarts under a new id", workerRestart(true)},
	{"worker drains and is replaced", func(s *soak, r *rand.Rand) func() {
		s.deployment.Cloud.ReplaceWorker(randomWorker(s, r), time.Duration(1000+r.IntN(4000))*time.Millisecond)
		return nil
	}},
	{"orders to a worker are late", lateCalls(cooperative.StartPath, cooperative.StopPath)},
	{"calls to a worker are late", lateCalls(cooperative.StartPath, cooperative.StopPath, cooperative.PollPath)},
	{"wave of upkeep", func(s *soak, r *rand.Rand) func() {
		s.deployment.Cloud.RequestWave(s.deployment.Cloud.LastWave()+1, waveTimeLimit, 1)
		return nil
	}},
	{"evacuation of a zone", func(s *soak, r *rand.Rand) func() {
		zone := cooperative.Zone(r.IntN(s.config.Workers))
		s.deployment.Cloud.Evacuate(zone, true)
		hold := time.Duration(r.IntN(8000)) * time.Millisecond
		return func() {
			time.Sleep(hold) // longer than the other faults, as the bound is five seconds
			s.deployment.Cloud.Evacuate(zone, false)
		}
	}},
	{"configuration changes", func(s *soak, _ *rand.Rand) func() { s.deployment.Configure(); return nil }},
}

// waveTimeLimit is the time within which an upkeep wave should complete.
const waveTimeLimit = 15 * time.Second

// maxFaults is the maximum number of concurrent faults.
const maxFaults = 3

// injectFaults starts random faults at random times for the configured duration.
func (s *soak) injectFaults(r *rand.Rand) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxFaults)
	for time.Now().Before(s.end) {
		time.Sleep(time.Duration(300+r.IntN(1500)) * time.Millisecond)
		f := faults[r.IntN(len(faults))]
		duration := time.Duration(300+r.IntN(6000)) * time.Millisecond
		faultRand := rand.New(rand.NewPCG(r.Uint64(), 1))
		slots <- struct{}{}
		s.mu.Lock()
		s.result.Faults = append(s.result.Faults, fmt.Sprintf("%s %s for %v", time.Now().Format("15:04:05.000"), f.name, duration))
		s.mu.Unlock()
		end := f.inject(s, faultRand)
		wg.Go(func() {
			if end != nil {
				time.Sleep(duration)
				end()
			}
			<-slots
		})
	}
	wg.Wait()
}

// awaitWaves waits until the last wave has completed. It does not check earlier
// waves: each wave covers all VMs, so earlier ones may overlap with it.
func (s *soak) awaitWaves() {
	deadline := time.Now().Add(2 * waveTimeLimit)
	for wave := s.deployment.Cloud.LastWave(); wave > 0; {
		state, begun := s.deployment.Cloud.WaveState(wave)
		switch {
		case state == "completed" && !begun:
			s.addViolation("wave %d is reported as completed before upkeep has begun on all VMs", wave)
			return
		case state == "completed":
			return
		case time.Now().After(deadline):
			s.addViolation("wave %d is still %q %v after the jobs have ended", wave, state, 2*waveTimeLimit)
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// endFaults ends every fault: it resumes the processes, clears the faults of the
// store and the proxies, and starts each node that is not running.
func (s *soak) endFaults() {
	for _, n := range s.deployment.Nodes {
		n.Signal(syscall.SIGCONT)
		s.deployment.Store.SetFault(n.Name, cooperative.NoFault)
		n.StoreProxy.SetMode(cooperative.Forward)
		s.start(n)
	}
	for i, p := range s.deployment.WorkerProxies {
		p.SetMode(cooperative.Forward)
		s.deployment.Cloud.CutOffWorker(i, false)
		s.deployment.Cloud.SetLateCalls(i, nil)
	}
}
