package placementbench

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"runtime"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"

	"bronzewinch.dev/lib/guarantee"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/pipe"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/record"

	"github.com/integrii/flaggy"
)

// Command implements the subcommand "placement" of bwbench.
type Command struct {
	seeds          int
	first          int
	checkRuns      int
	threads        int
	onlyDeployment string
	load           float64
	weights        weights
	maxBypass      int
	json           bool
	output         io.Writer
	policies       []string
	loads          []float64
}

// NewCommand returns the subcommand with default settings.
func NewCommand() *Command {
	return &Command{seeds: 10, first: 1, threads: 4, output: os.Stdout,
		policies: []string{policyPlanner, policyFIFO, policyEASY}, loads: []float64{0.7, 0.9, 1.1}}
}

// Flags registers the flags of the subcommand.
func (c *Command) Flags(s *flaggy.Subcommand) {
	s.Int(&c.seeds, "", "seeds", "number of seeds for each deployment and load")
	s.Int(&c.first, "", "first-seed", "first seed; settings were tuned on seeds 101 to 105, and figures are reported for 1 to 10")
	s.Float64(&c.weights.fragmentation, "", "fragmentation-weight", "FragmentationWeight for all deployments; 0 keeps the value of each")
	s.Float64(&c.weights.completion, "", "completion-weight", "CompletionWeight for all deployments; 0 keeps the value of each")
	s.Int(&c.maxBypass, "", "max-bypass", "MaxBypass for all deployments; 0 keeps the value of each")
	s.Int(&c.checkRuns, "", "check", "run this many short seeded runs that check the guarantees, instead of the comparison")
	s.Int(&c.threads, "", "threads", "number of concurrent runs")
	s.String(&c.onlyDeployment, "", "deployment", "run only this deployment: cooperative, authority or two-years")
	s.Float64(&c.load, "", "load", "run only this load, for example 0.9")
	s.Bool(&c.json, "", "json", "write the report as JSON")
}

// weights override the weights of the deployments where they are above zero.
type weights struct {
	fragmentation, completion float64
}

// override applies the weights and the bypass limit of the flags to all
// deployments.
func (c *Command) override(fleets []deployment) {
	for i := range fleets {
		p := &fleets[i].policy
		p.FragmentationWeight = cmp.Or(c.weights.fragmentation, p.FragmentationWeight)
		p.CompletionWeight = cmp.Or(c.weights.completion, p.CompletionWeight)
		p.MaxBypass = cmp.Or(c.maxBypass, p.MaxBypass)
	}
}

// runSpec specifies one run.
type runSpec struct {
	deployment deployment
	load       float64
	seed       uint64
	policy     string
	checks     bool
}

// Run runs the experiment and writes the report.
func (c *Command) Run() error {
	if c.seeds < 1 || c.first < 1 || c.threads < 1 || c.checkRuns < 0 {
		return problem.New(problem.Invalid, problem.Detail{Field: "seeds, first-seed, threads or check", Limit: "1 or more", Remedy: "give a number above 0"})
	}
	if c.load > 0 {
		c.loads = []float64{c.load}
	}
	fleets := deployments()
	c.override(fleets)
	if c.onlyDeployment != "" {
		fleets = slices.DeleteFunc(fleets, func(d deployment) bool { return d.name != c.onlyDeployment })
		if len(fleets) == 0 {
			return problem.New(problem.Invalid, problem.Detail{Field: "deployment", Value: c.onlyDeployment,
				Limit: "cooperative, authority or two-years", Remedy: "choose one of these"})
		}
	}
	if c.checkRuns > 0 {
		return c.runChecks(fleets)
	}
	outs, err := runAll(c.specs(fleets), c.threads)
	if err != nil {
		return err
	}
	return c.write(summarize(outs))
}

func (c *Command) specs(fleets []deployment) []runSpec {
	var specs []runSpec
	for _, d := range fleets {
		for _, load := range c.loads {
			for seed := range c.seeds {
				for _, p := range c.policies {
					specs = append(specs, runSpec{deployment: d, load: load, seed: uint64(c.first + seed), policy: p})
				}
			}
		}
	}
	return specs
}

// stages returns the pipeline of one run: it generates the trace and replays it.
func stages() pipe.Filter[runSpec, *outcome] {
	type ready struct {
		spec  runSpec
		trace *trace
	}
	generate := pipe.Func[runSpec, ready](func(_ context.Context, s runSpec) (ready, error) {
		t, err := newTrace(s)
		return ready{s, t}, err
	})
	drive := pipe.Func[ready, *outcome](func(_ context.Context, r ready) (*outcome, error) {
		d, err := newDriver(r.trace, r.spec.policy, r.spec.checks)
		if err != nil {
			return nil, err
		}
		return d.out, d.run()
	})
	return pipe.Then(generate, drive)
}

func newTrace(s runSpec) (*trace, error) {
	b, err := guarantee.Bind(guarantee.Config{Zones: s.deployment.zones, Guarantees: s.deployment.guarantees,
		GuardRackLoss: s.deployment.policy.GuardRackLoss})
	if err != nil {
		return nil, err
	}
	copyZones := make(map[record.GuaranteeKey][]id.Zone)
	for _, c := range b.Copies {
		copyZones[c.Key] = append(copyZones[c.Key], c.Zone)
	}
	t := &trace{deployment: s.deployment, load: s.load, seed: s.seed, copyZones: copyZones}
	t.generate()
	return t, nil
}

// runAll runs all specs on a number of threads and returns the outcomes in the
// order of the specs.
func runAll(specs []runSpec, threads int) ([]*outcome, error) {
	run := stages()
	outs := make([]*outcome, len(specs))
	errs := make([]error, threads)
	next := make(chan int)
	var wg sync.WaitGroup
	for t := range threads {
		wg.Go(func() {
			for i := range next {
				out, err := run.Process(context.Background(), specs[i])
				if err != nil {
					errs[t] = cmp.Or(errs[t], err)
					continue
				}
				outs[i] = out
			}
		})
	}
	for i := range specs {
		next <- i
	}
	close(next)
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return outs, nil
}

// runChecks performs short runs of varied load on all deployments and verifies
// the state after each pass.
func (c *Command) runChecks(fleets []deployment) error {
	const batch = 200 // runs per batch; bounds the memory for outcomes
	violations, lost, decisions := 0, 0, 0
	for first := 0; first < c.checkRuns; first += batch {
		outs, err := runAll(checkSpecs(fleets, first, min(batch, c.checkRuns-first)), c.threads)
		if err != nil {
			return err
		}
		for _, o := range outs {
			violations += len(o.violations)
			lost += o.lostShapes
			decisions += len(o.passTimes)
			for _, v := range o.violations[:min(3, len(o.violations))] {
				fmt.Fprintln(c.output, o.trace.deployment.name, v)
			}
		}
	}
	fmt.Fprintf(c.output, "%d runs, %d passes: %d violations; in %d states lost workers left a shape without cells\n",
		c.checkRuns, decisions, violations, lost)
	if violations > 0 {
		return problem.New(problem.Internal, problem.Detail{Field: "guarantees", Remedy: "repeat a run with its seed from the output above"})
	}
	return nil
}

// checkSpecs returns short runs: one day with few jobs, many claims and many
// worker failures.
func checkSpecs(fleets []deployment, first, count int) []runSpec {
	specs := make([]runSpec, count)
	for i := range specs {
		n := first + i
		d := fleets[n%len(fleets)]
		d.days, d.claimShare, d.failuresPerDay = 1, 0.4, 4
		d.jobsPerDay = 80
		specs[i] = runSpec{deployment: d, load: 0.7 + 0.1*float64(n%5), seed: uint64(n + 1), policy: policyPlanner, checks: true}
	}
	return specs
}

func (c *Command) write(rows []row) error {
	if c.json {
		e := json.NewEncoder(c.output)
		e.SetIndent("", "  ")
		return e.Encode(rows)
	}
	w := tabwriter.NewWriter(c.output, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join([]string{"deployment", "load", "policy", "run h", "mean h", "p50", "p95", "p99", "small", "medium", "large",
		"slowdown", "longest wait h", "fragmentation", "lost work", "evicted", "reclaim p99 s", "pass p99 ms", "most waiting", "free", "aged", "over bound"}, "\t"))
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%.1f\t%s\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.1f\t%.1f\t%.4f\t%.4f\t%d\t%.1f\t%.2f\t%d\t%.3f\t%d\t%d\n",
			r.Deployment, r.Load, r.Policy, r.Run.Mean/3600, r.Completion.Mean/3600, r.Completion.P50/3600, r.Completion.P95/3600, r.Completion.P99/3600,
			r.BySize[sizeSmall].Mean/3600, r.BySize[sizeMedium].Mean/3600, r.BySize[sizeLarge].Mean/3600, r.Slowdown.Mean,
			r.LongestWait/3600, r.Fragmentation, r.LostWork, r.Evicted, r.Reclaim.P99, r.PassMillis.P99, r.MaxWaiting, r.Free, r.Aged, r.OverBound)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	_, err := fmt.Fprintf(c.output, "memory of all runs at once: %d MiB\n", m.Sys>>20)
	return err
}
