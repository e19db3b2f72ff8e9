package requestbench

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"bronzewinch.dev/lib/unit"
)

const (
	// overloadDeadline is the deadline of each request.
	overloadDeadline = 2 * time.Second
	// guaranteedShare is the fraction of the capacity that is guaranteed to
	// accountGuaranteed, and guaranteedUse the fraction of its guarantee that the
	// account uses.
	guaranteedShare = 0.25
	guaranteedUse   = 0.5
)

// overloadRow holds the measurements of one load on a number of entry nodes.
type overloadRow struct {
	Nodes    int     `json:"nodes"`
	Load     float64 `json:"load"`
	Capacity float64 `json:"capacityPerSecond"`
	// Goodput is the rate of requests that were done within their deadline, as a
	// fraction of the capacity, or of the load if it is lower.
	Goodput float64 `json:"goodputPart"`
	// Served is the rate of requests that the backend servers ran, in time or
	// not, and Busy the rate of those that they rejected as busy, both as
	// fractions of the capacity.
	Served float64 `json:"servedPart"`
	Busy   float64 `json:"busyPart"`
	// Requested is the sum of the requested service times, and Occupied the time
	// during which requests occupied slots, both as fractions of the slot time.
	// Occupied is greater on a busy machine.
	Requested float64 `json:"askedPart"`
	Occupied  float64 `json:"takenPart"`
	// Usable is the fraction of the slots that the nodes may use at the end. It
	// is less than 1 while servers are excluded.
	Usable float64 `json:"usablePart"`
	// The processor time per second of the entry nodes, the backend servers and
	// this process.
	NodeCores    float64 `json:"nodeCores"`
	BackendCores float64 `json:"backendCores"`
	BenchCores   float64 `json:"benchCores"`
	LoadAverage  string  `json:"loadAverage"`
	Guaranteed   *sample `json:"guaranteed"`
	Others       *sample `json:"others"`
}

// overload measures the goodput, and the latency of an account that stays within
// its guarantee, for each number of nodes and each load.
func (o options) overload() ([]overloadRow, error) {
	var rows []overloadRow
	for _, nodes := range o.nodes {
		for _, factor := range o.loads {
			row, err := o.overloaded(int(nodes), factor)
			if err != nil {
				return nil, err
			}
			fmt.Fprintln(o.progress(), row)
			rows = append(rows, row)
		}
	}
	return rows, nil
}

func (o options) overloaded(nodes int, factor float64) (overloadRow, error) {
	servers, err := startProcess(childConfig{Role: roleBackends, Count: o.backends, ServiceTime: o.service})
	if err != nil {
		return overloadRow{}, err
	}
	defer servers.stop()
	var urls []string
	var entries []*process
	for rank := range nodes {
		p, err := startProcess(childConfig{Role: roleEntry, Backends: servers.addresses, Position: fixedPosition{Rank: rank, Count: nodes},
			GuaranteedSlots: unit.Slots(float64(o.backends*slots) * guaranteedShare)})
		if err != nil {
			return overloadRow{}, err
		}
		defer p.stop()
		urls = append(urls, serviceURL(p))
		entries = append(entries, p)
	}
	if o.use > 0 {
		urls = urls[:min(o.use, len(urls))]
	}
	capacity := float64(o.backends*slots) / o.service.Seconds()
	guaranteedRate := capacity * guaranteedShare * guaranteedUse
	row := overloadRow{Nodes: nodes, Load: factor, Capacity: capacity}
	client := newClient(8192)
	base := load{duration: o.duration, urls: urls, deadline: overloadDeadline, size: 256, client: client}
	var wait sync.WaitGroup
	runBoth := func() {
		wait.Go(func() {
			l := base
			l.rate, l.token = unit.PerSecond(guaranteedRate), accountGuaranteed
			row.Guaranteed = l.run()
		})
		wait.Go(func() {
			l := base
			l.rate, l.token = unit.PerSecond(capacity*factor-guaranteedRate), accountOther
			row.Others = l.run()
		})
		wait.Wait()
	}
	base.duration = time.Second // warms up connections and moving averages
	runBoth()
	base.duration = o.duration
	before := total(servers, entries)
	begin := time.Now()
	steady := make(chan [2]usage, 1)
	go func() {
		time.Sleep(o.duration / 4) // as sample.from
		from := servers.usage()
		time.Sleep(o.duration * 3 / 4)
		steady <- [2]usage{from, servers.usage()}
	}()
	runBoth()
	row.setUsage(before, <-steady, total(servers, entries), time.Since(begin), o)
	row.Goodput = (row.Guaranteed.Goodput + row.Others.Goodput) / (capacity * min(factor, 1))
	return row, nil
}

// totals holds the usage of all processes of a run.
type totals struct{ servers, nodes, bench usage }

func total(servers *process, entries []*process) (t totals) {
	t.servers = servers.usage()
	for _, p := range entries {
		u := p.usage()
		t.nodes.CPU += u.CPU
		t.nodes.Capacity += u.Capacity
	}
	var self syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &self)
	t.bench.CPU = time.Duration(self.Utime.Nano() + self.Stime.Nano())
	return t
}

// setUsage sets the fields that depend on the usage of the processes.
func (r *overloadRow) setUsage(before totals, steady [2]usage, after totals, elapsed time.Duration, o options) {
	capacity := r.Capacity * o.duration.Seconds() * 3 / 4
	from, to := steady[0], steady[1]
	r.Served = float64(to.Served-from.Served) / capacity
	r.Busy = float64(to.Rejected-from.Rejected) / capacity
	slotTime := float64(o.backends*slots) * o.duration.Seconds() * 3 / 4
	r.Requested = (to.RequestedTime - from.RequestedTime).Seconds() / slotTime
	r.Occupied = (to.OccupiedTime - from.OccupiedTime).Seconds() / slotTime
	r.Usable = float64(after.nodes.Capacity) / float64(o.backends*slots)
	r.NodeCores = (after.nodes.CPU - before.nodes.CPU).Seconds() / elapsed.Seconds()
	r.BackendCores = (after.servers.CPU - before.servers.CPU).Seconds() / elapsed.Seconds()
	r.BenchCores = (after.bench.CPU - before.bench.CPU).Seconds() / elapsed.Seconds()
	r.LoadAverage = loadAverage()
}

// loadAverage returns the load average of the machine over the last minute.
func loadAverage() string {
	b, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return ""
	}
	one, _, _ := strings.Cut(string(b), " ")
	return one
}

// String formats the row as text.
func (r overloadRow) String() string {
	return fmt.Sprintf("overload  %d nodes  %.1f x %.0f/s  goodput %.1f%%  served %.1f%% busy %.1f%%  slot time asked %.1f%% taken %.1f%% usable %.0f%%"+
		"  cores: nodes %.1f backends %.1f bench %.1f load average %s\n    others: refused %d unknown %d failed %d late %d p99 %.0f ms"+
		"  guaranteed: refused %d unknown %d failed %d p50 %.0f p99 %.0f ms", r.Nodes, r.Load, r.Capacity, 100*r.Goodput,
		100*r.Served, 100*r.Busy, 100*r.Requested, 100*r.Occupied, 100*r.Usable, r.NodeCores, r.BackendCores, r.BenchCores, r.LoadAverage,
		r.Others.Rejected, r.Others.Unknown, r.Others.Failed+r.Others.Skipped, r.Others.Late, r.Others.P99,
		r.Guaranteed.Rejected, r.Guaranteed.Unknown, r.Guaranteed.Failed+r.Guaranteed.Skipped, r.Guaranteed.P50, r.Guaranteed.P99)
}
