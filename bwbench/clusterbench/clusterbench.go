// Package clusterbench runs whole entry nodes in one process on loopback, with
// stand-ins for the platform, and measures what the control of a deployment
// costs at several sizes: takeover of shards, distribution of the
// configuration, calls to the key-value service, bytes, processor time and
// memory.
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

// options are the flags of the command.
type options struct {
	nodes, workers sizes
	// baseNodes and baseWorkers are what the other series keeps fixed.
	baseNodes, baseWorkers int
	tasks                  int
	changes, fewChanges    int
	rate                   float64
	rest, baseline         time.Duration
	outage                 time.Duration
	json                   bool
}

// sizes is a flag with several numbers.
type sizes []int

// String formats the numbers as the flag takes them.
func (s *sizes) String() string {
	return strings.Trim(strings.Join(strings.Fields(fmt.Sprint(*s)), ","), "[]")
}

// Set parses the numbers.
func (s *sizes) Set(text string) error {
	*s = nil
	for _, part := range strings.Split(text, ",") {
		n, err := strconv.Atoi(part)
		if err != nil || n < 1 {
			return problem.New(problem.Invalid, problem.Detail{Field: "size", Value: part, Limit: "1 or more",
				Remedy: "give whole numbers with commas between them"})
		}
		*s = append(*s, n)
	}
	return nil
}

// Run measures the sizes that the arguments name and prints the results.
func Run(args []string) error {
	o := options{nodes: sizes{3, 8, 16, 32}, workers: sizes{50, 240, 960}}
	flags := flag.NewFlagSet("cluster", flag.ContinueOnError)
	flags.Var(&o.nodes, "nodes", "numbers of entry nodes, at -base-workers workers")
	flags.Var(&o.workers, "workers", "numbers of workers, at -base-nodes entry nodes")
	flags.IntVar(&o.baseNodes, "base-nodes", 8, "entry nodes of the series of workers")
	flags.IntVar(&o.baseWorkers, "base-workers", 50, "workers of the series of nodes")
	flags.IntVar(&o.tasks, "tasks", 16000, "running tasks at the greatest number of workers; fewer workers have as many each")
	flags.IntVar(&o.changes, "changes", 800, "configuration changes at the greatest number of workers")
	flags.IntVar(&o.fewChanges, "few-changes", 60, "configuration changes at each other size")
	flags.Float64Var(&o.rate, "rate", 10, "configuration changes in a second")
	flags.DurationVar(&o.rest, "rest", 6*time.Second, "time of the measurement at rest")
	flags.DurationVar(&o.baseline, "baseline", 3*time.Second, "time of the measurement with nodes that poll")
	flags.DurationVar(&o.outage, "outage", 0, "run only this experiment: an outage of the key-value service of this length, at -base-nodes")
	flags.BoolVar(&o.json, "json", false, "print the results as JSON")
	if err := flags.Parse(args); err != nil {
		return err
	}
	return o.run(context.Background(), os.Stdout)
}

func (o options) run(ctx context.Context, out io.Writer) error {
	r, failure := o.measure(ctx)
	if !o.json {
		r.print(out) // what was measured before a failure, too
		return failure
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return errors.Join(failure, encoder.Encode(r))
}

// size is one size of the deployment.
type size struct {
	Nodes   int `json:"nodes"`
	Workers int `json:"workers"`
	Tasks   int `json:"tasks"`
}

// plan returns the sizes to measure, each once.
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

// measureSize starts one size and measures it.
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
