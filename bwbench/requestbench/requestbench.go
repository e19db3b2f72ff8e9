// Package requestbench measures the request path against stand-in backend
// servers: its cost, its behaviour under overload and in an outage, and, over
// many requests with faults, whether any was lost, doubled, crossed or falsely
// told.
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

// options are the flags of the command.
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

// numbers is a flag with a list of numbers.
type numbers []float64

// Set reads numbers with commas between them.
func (n *numbers) Set(s string) error {
	*n = nil
	for part := range strings.SplitSeq(s, ",") {
		v, err := strconv.ParseFloat(part, 64)
		if err != nil || v <= 0 {
			return problem.New(problem.Invalid, problem.Detail{Field: "list", Value: s, Limit: "numbers above 0",
				Remedy: "write it as 1,2,4"})
		}
		*n = append(*n, v)
	}
	return nil
}

// String formats the list as Set reads it.
func (n *numbers) String() string {
	parts := make([]string, len(*n))
	for i, v := range *n {
		parts[i] = strconv.FormatFloat(v, 'g', -1, 64)
	}
	return strings.Join(parts, ",")
}

// report is what a run measured. A part that was not run is empty.
type report struct {
	Overhead []overheadRow `json:"overhead,omitempty"`
	Overload []overloadRow `json:"overload,omitempty"`
	Outage   *outageReport `json:"outage,omitempty"`
	Faults   *faultReport  `json:"faults,omitempty"`
}

// Run runs the experiments that the arguments name and prints the results.
func Run(args []string) error {
	o := options{nodes: numbers{1, 2, 4, 8}, loads: numbers{0.5, 1, 2, 3}}
	flags := flag.NewFlagSet("requests", flag.ContinueOnError)
	flags.StringVar(&o.experiment, "run", "all", "overhead, overload, outage, faults or all")
	flags.BoolVar(&o.json, "json", false, "print the results as JSON")
	flags.StringVar(&o.svg, "svg", "", "write a plot to this file")
	flags.DurationVar(&o.duration, "duration", 5*time.Second, "time of each measurement")
	flags.IntVar(&o.requests, "requests", 100000, "number of requests of the fault run")
	flags.IntVar(&o.backends, "backends", 50, "number of backend servers")
	flags.DurationVar(&o.service, "service-time", 100*time.Millisecond,
		"mean service time; with 8 slots for each backend server it sets the capacity")
	flags.Var(&o.nodes, "nodes", "numbers of entry nodes of the overload run")
	flags.Var(&o.loads, "loads", "loads of the overload run, as multiples of the capacity")
	flags.IntVar(&o.use, "use", 0, "number of entry nodes that callers of the overload run use; 0 for all")
	flags.BoolVar(&o.child, "child", false, "used by the command itself")
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
			Limit: "overhead, overload, outage, faults or all", Remedy: "name one of these"})
	}
	return r, nil
}

// progress is where results are told as they come. With -json the standard
// output is for the report alone.
func (o options) progress() io.Writer {
	if o.json {
		return os.Stderr
	}
	return os.Stdout
}

// write writes the report and the plot that the options ask for.
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
