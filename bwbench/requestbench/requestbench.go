// Package requestbench measures the request path with stand-in backend servers:
// its overhead and its behaviour under overload and in outages. In a run with
// injected faults it also checks that no request is lost, no at-most-once request
// runs twice, and no caller receives the response to another request or a wrong
// outcome.
package requestbench

import (
	"encoding/json"
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
	experiment string
	json       bool
	svg        string
	duration   time.Duration
	requests   int
	backends   int
	service    time.Duration
	child      bool
	nodes      numbers
	loads      numbers
	use        int
}

// numbers is a flag value with a list of numbers.
type numbers []float64

// Set parses a comma-separated list of numbers.
func (n *numbers) Set(s string) error {
	*n = nil
	for part := range strings.SplitSeq(s, ",") {
		v, err := strconv.ParseFloat(part, 64)
		if err != nil || v <= 0 {
			return problem.New(problem.Invalid, problem.Detail{Field: "list", Value: s, Limit: "numbers above 0",
				Remedy: "specify a comma-separated list such as 1,2,4"})
		}
		*n = append(*n, v)
	}
	return nil
}

// String formats the list as Set parses it.
func (n *numbers) String() string {
	parts := make([]string, len(*n))
	for i, v := range *n {
		parts[i] = strconv.FormatFloat(v, 'g', -1, 64)
	}
	return strings.Join(parts, ",")
}

// report holds the results of a run. The results of experiments that were not
// run are empty.
type report struct {
	Overhead []overheadRow `json:"overhead,omitempty"`
	Overload []overloadRow `json:"overload,omitempty"`
	Outage   *outageReport `json:"outage,omitempty"`
	Faults   *faultReport  `json:"faults,omitempty"`
}

// Run implements the subcommand "requests" of bwbench.
func Run(args []string) error {
	o := options{nodes: numbers{1, 2, 4, 8}, loads: numbers{0.5, 1, 2, 3}}
	flags := flag.NewFlagSet("requests", flag.ContinueOnError)
	flags.StringVar(&o.experiment, "run", "all", "experiment to run: overhead, overload, outage, faults or all")
	flags.BoolVar(&o.json, "json", false, "print the results as JSON")
	flags.StringVar(&o.svg, "svg", "", "write a plot to this file")
	flags.DurationVar(&o.duration, "duration", 5*time.Second, "duration of each measurement")
	flags.IntVar(&o.requests, "requests", 100000, "number of requests of the fault run")
	flags.IntVar(&o.backends, "backends", 50, "number of backend servers")
	flags.DurationVar(&o.service, "service-time", 100*time.Millisecond,
		"mean service time; with 8 slots for each backend server it sets the capacity")
	flags.Var(&o.nodes, "nodes", "numbers of entry nodes of the overload run")
	flags.Var(&o.loads, "loads", "loads of the overload run, as multiples of the capacity")
	flags.IntVar(&o.use, "use", 0, "number of entry nodes that receive requests in the overload run; 0 for all")
	flags.BoolVar(&o.child, "child", false, "run as a child process of the benchmark (internal)")
	if err := flags.Parse(args); err != nil {
		return err
	}
	if o.child {
		return child()
	}
	r, err := o.measure()
	if err != nil {
		return err
	}
	return o.write(r, os.Stdout)
}

func (o options) measure() (r report, err error) {
	selected := func(name string) bool { return o.experiment == "all" || o.experiment == name }
	known := false
	if selected("overhead") {
		known = true
		if r.Overhead, err = o.overhead(); err != nil {
			return r, err
		}
	}
	if selected("overload") {
		known = true
		if r.Overload, err = o.overload(); err != nil {
			return r, err
		}
	}
	if selected("outage") {
		known = true
		if r.Outage, err = o.outage(); err != nil {
			return r, err
		}
	}
	if selected("faults") {
		known = true
		if r.Faults, err = runFaults(faultConfig{requests: o.requests, backends: o.backends, nodes: 4, workers: 256, progress: os.Stderr}); err != nil {
			return r, err
		}
		fmt.Fprintln(o.progress(), r.Faults)
	}
	if !known {
		return r, problem.New(problem.Invalid, problem.Detail{Field: "run", Value: o.experiment,
			Limit: "overhead, overload, outage, faults or all", Remedy: "choose one of these"})
	}
	return r, nil
}

// progress returns the writer for results of single measurements. With -json it
// is the standard error, because the standard output contains only the report.
func (o options) progress() io.Writer {
	if o.json {
		return os.Stderr
	}
	return os.Stdout
}

// write writes the plot and the JSON report, if the options request them.
func (o options) write(r report, out io.Writer) error {
	if o.svg != "" {
		if err := os.WriteFile(o.svg, plot(r), 0o644); err != nil {
			return err
		}
	}
	if !o.json {
		return nil
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}
