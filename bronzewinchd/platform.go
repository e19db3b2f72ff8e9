package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"bronzewinch.dev/lib/budget"
	"bronzewinch.dev/lib/controller"
	"bronzewinch.dev/lib/delegate"
	"bronzewinch.dev/lib/election"
	"bronzewinch.dev/lib/httpguard"
	"bronzewinch.dev/lib/latestart"
	"bronzewinch.dev/lib/logline"
	"bronzewinch.dev/lib/netguard"
	"bronzewinch.dev/lib/peer"
	"bronzewinch.dev/lib/relay"
	"bronzewinch.dev/lib/timer"
	"bronzewinch.dev/lib/unit"
	"bronzewinch.dev/platform"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"go.uber.org/dig"
	"k8s.io/klog/v2"
)

// platformNode contains the components of a node on the cooperative platform.
type platformNode struct {
	dig.In

	Settings       platform.Settings
	Election       *election.Election
	Relay          *relay.Relay
	Server         *peer.Server
	Delegate       *delegate.Server
	LateStartGuard *latestart.Guard
	Pool           *peer.Pool
	Workers        *platform.Workers
	Metrics        *metrics.Set
}

// runPlatform runs a node on the cooperative platform until the process receives
// SIGINT or SIGTERM.
func runPlatform(metricsPort int) error {
	closeLog, err := logToStdout()
	if err != nil {
		return err
	}
	defer closeLog()
	settings, err := platform.ReadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		return err
	}
	settings.MetricsPort = metricsPort
	limitMemory(settings.Memory)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	container := dig.New()
	for _, f := range []any{
		func() platform.Settings { return settings },
		func() timer.Service { return timer.NewSystem() },
		metrics.NewSet,
		func(s platform.Settings, set *metrics.Set) *platform.Store {
			return platform.NewStore(s.StoreAddress, set)
		},
		platform.NewWorkers,
		delegate.NewTable,
		newDelegates,
		newDelegateServer,
		func(set *metrics.Set) *peer.Pool { return peer.NewPool(peer.PoolConfig{Metrics: set}) },
		newPeerServer,
		newController, newElection, newLateStartGuard, newRelay,
	} {
		if err := container.Provide(f); err != nil {
			return err
		}
	}
	err = container.Invoke(func(n platformNode) error { return n.run(ctx, reload) })
	return dig.RootCause(err)
}

// softMemoryShare is the share of the VM's memory at which the runtime collects garbage
// ever more often. The rest is for stacks, the program and what the runtime can't collect.
const softMemoryShare = 0.8

// limitMemory sets the soft memory limit of the runtime for a VM, unless its memory is not
// known or the operator has set another limit by GOMEMLIMIT.
func limitMemory(vm unit.Bytes) {
	if vm > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(softMemoryShare * float64(vm)))
	}
}

// checkPlatform prints a confirmation if the settings are valid, and returns an error
// otherwise.
func checkPlatform() error {
	s, err := platform.ReadSettings(os.Getenv(platform.SettingsVariable))
	if err == nil {
		fmt.Printf("settings of node %s are valid\n", s.Node)
	}
	return err
}

// logToStdout redirects the log to the standard output. A slow reader of the output
// does not block the node. The returned function flushes and closes the log.
func logToStdout() (func(), error) {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	for name, value := range map[string]string{"logtostderr": "false", "one_output": "true", "stderrthreshold": "FATAL"} {
		if err := flags.Set(name, value); err != nil {
			return nil, err
		}
	}
	w := logline.New(os.Stdout)
	klog.SetOutput(w)
	return func() {
		klog.Flush()
		w.Close()
	}, nil
}

func newPeerServer(s platform.Settings, clock timer.Service, set *metrics.Set) *peer.Server {
	return peer.NewServer(peer.ServerConfig{Guard: netguard.New(netguard.Config{Name: "peers", Memory: httpguard.MemoryFor(s.Memory),
		Connections: peer.ConnectionsFor(s.Memory, s.MaxFDs), Timer: clock, Metrics: set})})
}

func newDelegates(s platform.Settings, workers *platform.Workers, table *delegate.Table, pool *peer.Pool,
	set *metrics.Set) *delegate.Workers {
	return delegate.NewWorkers(delegate.WorkersConfig{Direct: workers, Table: table, Pool: pool, Cores: s.Cores, Link: s.Link,
		Metrics: set})
}

func newDelegateServer(workers *platform.Workers, store *platform.Store, elect *election.Election, server *peer.Server) *delegate.Server {
	return delegate.NewServer(delegate.ServerConfig{Workers: workers, Owners: elect, Specs: controller.SpecReader{Store: store},
		Server: server})
}

func newController(s platform.Settings, store *platform.Store, workers *delegate.Workers, clock timer.Service,
	set *metrics.Set) *controller.Controller {
	c := controller.Config{Node: s.Node, Store: store, Lists: platform.ListWatcher{Store: store}, Workers: workers,
		Planner: s.Planner, MaxValue: s.MaxValue, JobMemory: budget.JobMemoryFor(s.Memory), StartMemory: budget.StartMemoryFor(s.Memory),
		MaxEvacuationDelay: s.MaxEvacuationDelay, Timer: clock, Metrics: set}
	if adviser := platform.NewAdviser(s.AdviceAddress, set); adviser != nil {
		c.Adviser = adviser
	}
	if vms := platform.NewVMs(s.VMListAddress, set); vms != nil {
		c.VMs = vms
	}
	return controller.New(c)
}

func newElection(s platform.Settings, store *platform.Store, ctrl *controller.Controller, clock timer.Service) *election.Election {
	return election.New(election.Config{Node: s.Node, Address: s.PeerAddress, Store: store, Runner: ctrl, Timer: clock,
		Cores: s.Cores})
}

func newLateStartGuard(s platform.Settings, store *platform.Store, workers *platform.Workers, clock timer.Service) *latestart.Guard {
	return latestart.New(latestart.Config{Address: s.PeerAddress, Poller: workers, Timer: clock, Records: struct {
		controller.LateStartReader
		election.WitnessReader
	}{controller.LateStartReader{Store: store}, election.WitnessReader{Store: store}}})
}

func newRelay(s platform.Settings, elect *election.Election, ctrl *controller.Controller, pool *peer.Pool, server *peer.Server,
	delegates *delegate.Table, guard *latestart.Guard, clock timer.Service) *relay.Relay {
	return relay.New(relay.Config{Node: s.Node, Address: s.PeerAddress, Zone: s.Zone, Cores: s.Cores, Delegates: delegates, OwnerObserver: guard, Seeds: s.Seeds, Election: elect, Controller: ctrl, Pool: pool,
		Server: server, CallMemory: httpguard.MemoryFor(s.Memory), Timer: clock})
}

// settingsPollInterval is how often the settings file is checked for changes. The file
// may change without a signal, and its seeds may be three seconds out of date.
const settingsPollInterval = time.Second

// fileState is compared with an earlier state to detect a change of a file.
type fileState struct {
	modified time.Time
	size     int64
}

func statFile(path string) fileState {
	info, err := os.Stat(path)
	if err != nil {
		return fileState{} // the file is being replaced, or reading it will report the error
	}
	return fileState{info.ModTime(), info.Size()}
}

// awaitStop waits until ctx is done. On SIGHUP, and when the settings file has changed,
// it reloads the file.
func (n platformNode) awaitStop(ctx context.Context, reload <-chan os.Signal) {
	path := os.Getenv(platform.SettingsVariable)
	last := statFile(path)
	ticker := timer.NewSystem().Every(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
		case <-ticker.C:
			if statFile(path) == last {
				continue
			}
		}
		last = statFile(path)
		n.reload(path)
	}
}

// reload reads the settings file and applies its seeds. If the file is invalid, the
// previous settings stay in force.
func (n platformNode) reload(path string) {
	s, err := platform.ReadSettings(path)
	if err != nil {
		klog.ErrorS(err, "settings refused; the previous ones stay in force", "event", "reload", "node", n.Settings.Node)
		return
	}
	n.Relay.SetSeeds(s.Seeds)
	klog.InfoS("settings read again", "event", "reload", "node", s.Node, "seeds", s.Seeds)
}

// shutdownMargin is the part of the shutdown grace time that is reserved for the last
// steps of a shutdown on a slow VM.
const shutdownMargin = 2 * time.Second

// drainDelay is how long a stopping node continues to serve requests, so that the
// platform has detected that the node is not ready and sends no more of them.
const drainDelay = 2500 * time.Millisecond

func (n platformNode) run(ctx context.Context, reload <-chan os.Signal) error {
	listener, err := net.Listen("tcp", n.Settings.PeerAddress)
	if err != nil {
		return errors.Wrap(err, "listen for connections of other nodes")
	}
	n.Server.Serve(listener)
	frontend, err := platform.NewFrontend(n.Settings, n.Relay, n.Metrics)
	if err != nil {
		return errors.Wrap(err, "listen for connections of clients")
	}
	klog.InfoS("node started", "event", "start", "node", n.Settings.Node, "zone", n.Settings.Zone, "version", version)
	n.awaitStop(ctx, reload)
	klog.InfoS("node stops", "event", "stop", "node", n.Settings.Node)
	shutdownCtx, cancel := context.WithTimeout(context.Background(), n.Settings.ShutdownGrace-shutdownMargin)
	defer cancel()
	n.Relay.Leave()
	n.Election.Close()
	_ = timer.Sleep(shutdownCtx, timer.NewSystem(), drainDelay)
	frontend.Close(shutdownCtx)
	n.Relay.Close()
	n.LateStartGuard.Close()
	n.Server.Close(shutdownCtx)
	n.Pool.Close()
	n.Workers.Close()
	return nil
}
