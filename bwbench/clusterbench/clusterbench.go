// Package clusterbench runs complete entry nodes in one process on loopback,
// with stand-ins for the platform. For several sizes of a deployment it measures
// the cost of the control plane: the time to take over shards and to distribute
// configuration changes, calls to the key-value service, network traffic,
// processor time and memory.
package clusterbench

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"bronzewinch.dev/lib/problem"
)

// options holds the flags of the command.
type options struct {
	nodes, workers sizes
	// baseNodes is the number of nodes while the number of workers varies, and
	// baseWorkers the number of workers while the number of nodes varies.
	baseNodes, baseWorkers int
	tasks                  int
	changes, fewChanges    int
	rate                   float64
	rest, baseline         time.Duration
	outage                 time.Duration
	json                   bool
}

// sizes is a flag value with a list of numbers.
type sizes []int

// String formats the numbers as Set parses them.
func (s *sizes) String() string {
	return strings.Trim(strings.Join(strings.Fields(fmt.Sprint(*s)), ","), "[]")
}

// Set parses a comma-separated list of numbers.
func (s *sizes) Set(text string) error {
	*s = nil
	for _, part := range strings.Split(text, ",") {
		n, err := strconv.Atoi(part)
		if err != nil || n < 1 {
			return problem.New(problem.Invalid, problem.Detail{Field: "size", Value: part, Limit: "1 or more",
				Remedy: "specify a comma-separated list of whole numbers"})
		}
		*s = append(*s, n)
	}
	return nil
}

// Run implements the subcommand "cluster" of bwbench.
func Run(args []string) error {
	o := options{nodes: sizes{3, 8, 16, 32}, workers: sizes{50, 240, 960}}
	flags := flag.NewFlagSet("cluster", flag.ContinueOnError)
	flags.Var(&o.nodes, "nodes", "numbers of entry nodes, at -base-workers workers")
	flags.Var(&o.workers, "workers", "numbers of workers, at -base-nodes entry nodes")
	flags.IntVar(&o.baseNodes, "base-nodes", 8, "number of entry nodes while the number of workers varies")
	flags.IntVar(&o.baseWorkers, "base-workers", 50, "number of workers while the number of nodes varies")
	flags.IntVar(&o.tasks, "tasks", 16000, "running tasks at the largest number of workers; other sizes have the same number per worker")
	flags.IntVar(&o.changes, "changes", 800, "configuration changes at the largest number of workers")
	flags.IntVar(&o.fewChanges, "few-changes", 60, "configuration changes at each of the other sizes")
	flags.Float64Var(&o.rate, "rate", 10, "configuration changes per second")
	flags.DurationVar(&o.rest, "rest", 6*time.Second, "duration of the measurement at rest")
	flags.DurationVar(&o.baseline, "baseline", 3*time.Second, "duration of the measurement of the baseline, in which nodes poll the configuration")
	flags.DurationVar(&o.outage, "outage", 0, "run only an outage of the key-value service of this duration, with -base-nodes entry nodes")
	flags.BoolVar(&o.json, "json", false, "print the results as JSON")
	if err := flags.Parse(args); err != nil {
		return err
	}
	return o.run(context.Background(), os.Stdout)
}

func (o options) run(ctx context.Context, out io.Writer) error {
	r, failure := o.measure(ctx)
	if !o.json {
		r.print(out) // includes the sizes that were measured before a failure
		return failure
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return errors.Join(failure, encoder.Encode(r))
}

// size is the size of a deployment.
type size struct {
	Nodes   int `json:"nodes"`
	Workers int `json:"workers"`
	Tasks   int `json:"tasks"`
}

// plan returns the sizes to measure, without duplicates.
func (o options) plan() []size {
	var out []size
	seen := make(map[size]bool)
	maxWorkers := 0
	for _, w := range o.workers {
		maxWorkers = max(maxWorkers, w)
	}
	add := func(nodes, workers int) {
		s := size{nodes, workers, o.tasks * workers / max(1, maxWorkers)}
		if !seen[s] {
			seen[s] = true
			out = append(out, s)
		}
	}
	for _, n := range o.nodes {
		add(n, o.baseWorkers)
	}
	for _, w := range o.workers {
		add(o.baseNodes, w)
	}
	return out
}

func (o options) measure(ctx context.Context) (r report, err error) {
	if o.outage > 0 {
		outage, err := o.measureOutage(ctx)
		r.Outage = &outage
		return r, err
	}
	defer func() { r.fit(o) }()
	for _, s := range o.plan() {
		row, err := o.measureSize(ctx, s)
		if err != nil {
			return r, err
		}
		r.Rows = append(r.Rows, row)
		fmt.Fprintf(os.Stderr, "%d nodes, %d workers: measured\n", s.Nodes, s.Workers)
	}
	return r, nil
}

// measureSize starts a deployment of one size and measures it.
func (o options) measureSize(ctx context.Context, s size) (row, error) {
	r := row{size: s}
	c, err := startCluster(ctx, s)
	if err != nil {
		return r, err
	}
	defer c.close()
	r.Tasks = c.runningTasks()
	r.Rest = c.measureRates(ctx, o.rest)
	r.Memory = liveMemory()
	r.Resident = residentMemory()
	if r.Poll, err = c.measurePolling(ctx, o.baseline, r.Rest); err != nil {
		return r, err
	}
	changes := o.fewChanges
	if s.Workers >= max(o.baseWorkers, maxOf(o.workers)) {
		changes = o.changes
	}
	if r.InForce, r.Conflicts, r.Change, err = c.measureChanges(ctx, changes, o.rate); err != nil {
		return r, err
	}
	if r.Takeover, err = c.measureTakeover(ctx); err != nil {
		return r, err
	}
	r.Load = loadAverage()
	return r, nil
}

func maxOf(s []int) int {
	most := 0
	for _, n := range s {
		most = max(most, n)
	}
	return most
}
