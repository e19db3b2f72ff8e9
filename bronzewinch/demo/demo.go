// Package demo runs an example deployment in one process on loopback and
// demonstrates it step by step: records, a gang, a reclaim, requests, the
// failure of a node.
package demo

import (
	"context"
	"fmt"
	"io"
	"io/fs"
	"path"
	"strings"
	"text/tabwriter"
	"time"

	"bronzewinch.dev/bronzewinch/client"
	"bronzewinch.dev/examples"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/operator"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/timer"
	"bronzewinch.dev/lib/token"
	"bronzewinch.dev/lib/worker"
	"bronzewinch.dev/standin/deployment"

	"github.com/cockroachdb/errors"
)

const (
	// stepTimeout is the longest time for one step.
	stepTimeout = 15 * time.Second
	// quickRun and longRun are the run times of tasks on the simulated workers,
	// and serviceTime is the time of a request on a simulated backend.
	quickRun    = 700 * time.Millisecond
	longRun     = time.Hour
	serviceTime = 5 * time.Millisecond
	// listLag is the delay until the VM list shows a change.
	listLag = time.Second
)

// quickPrefix starts the ids of jobs that end within the demo.
const quickPrefix = "quick-"

// Config configures a run of the demo.
type Config struct {
	// Deployment is "cooperative" or "authority".
	Deployment string
	// Keep keeps the deployment running after the steps until the context ends.
	Keep  bool
	Out   io.Writer
	Timer timer.Service
}

// step is one step of the walkthrough. It returns a summary of what it observed,
// for display.
type step struct {
	name string
	run  func(ctx context.Context) (string, error)
}

// walkthrough is the state that the steps share.
type walkthrough struct {
	config     Config
	deployment *deployment.Deployment
	operator   *client.Client
	bootstrap  token.Token
	tokens     map[string]token.Token // by "operator/NAME" and "account/NAME"
	revision   id.Revision
	roles      roles
}

// Run starts the deployment and runs the steps. It returns the error of the first
// step that failed.
func Run(ctx context.Context, c Config) error {
	w, err := newWalkthrough(c)
	if err != nil {
		return err
	}
	defer w.deployment.Close()
	results, stepErr := w.runSteps(ctx)
	printTable(c.Out, results)
	if stepErr != nil {
		return stepErr
	}
	if c.Keep {
		w.printAddresses()
		<-ctx.Done()
	}
	return nil
}

func newWalkthrough(c Config) (*walkthrough, error) {
	files, err := readRecords(c.Deployment)
	if err != nil {
		return nil, err
	}
	w := &walkthrough{config: c, bootstrap: token.Random()}
	if w.tokens, err = readTokens(c.Deployment); err != nil {
		return nil, err
	}
	w.deployment, err = deployment.Start(deployment.Config{
		Records: files, BootstrapHash: w.bootstrap.Hash(), Timer: c.Timer, VMListLag: listLag,
		RunTime: func(r worker.Ref) time.Duration {
			if strings.HasPrefix(string(r.Job), quickPrefix) {
				return quickRun
			}
			return longRun
		},
		ServiceTime: func() time.Duration { return serviceTime },
	})
	if err != nil {
		return nil, err
	}
	w.roles, err = rolesOf(c.Deployment, w.deployment.Set)
	return w, err
}

// result is the outcome of one step.
type result struct {
	name, summary string
	took          time.Duration
	failed        bool
}

// runSteps runs the steps in order until one fails.
func (w *walkthrough) runSteps(ctx context.Context) ([]result, error) {
	var results []result
	for _, s := range w.allSteps() {
		stepCtx, cancel := context.WithTimeout(ctx, stepTimeout)
		start := w.config.Timer.Now()
		summary, err := s.run(stepCtx)
		cancel()
		r := result{s.name, summary, w.config.Timer.Now().Sub(start), err != nil}
		if err != nil {
			r.summary = err.Error()
		}
		fmt.Fprintf(w.config.Out, "%-6s %6.2fs  %s: %s\n", r.status(), r.took.Seconds(), r.name, r.summary)
		results = append(results, r)
		if err != nil {
			return results, errors.Wrapf(err, "step %q", s.name)
		}
	}
	return results, nil
}

func (r result) status() string {
	if r.failed {
		return "FAILED"
	}
	return "ok"
}

func printTable(out io.Writer, results []result) {
	fmt.Fprintln(out)
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "STEP\tRESULT\tSECONDS")
	for _, r := range results {
		fmt.Fprintf(t, "%s\t%s\t%.2f\n", r.name, r.status(), r.took.Seconds())
	}
	_ = t.Flush()
}

// printAddresses prints how to reach the deployment that keeps running.
func (w *walkthrough) printAddresses() {
	fmt.Fprintln(w.config.Out, "\nThe deployment stays up until Ctrl-C. Tokens are in examples/"+w.config.Deployment+"/tokens.txt.")
	for _, n := range w.deployment.Nodes() {
		fmt.Fprintf(w.config.Out, "node %s: callers %s, operators %s\n", n.ID, n.CallerURL(), n.OperatorURL())
	}
	n := w.deployment.Nodes()[0]
	fmt.Fprintf(w.config.Out, "\n  bronzewinch -address %s -tokenFile examples/%s/operator.token nodes\n", n.OperatorURL(), w.config.Deployment)
	fmt.Fprintf(w.config.Out, "  curl -H 'Authorization: Bearer %s' -d reading %s/v1/services/%s/score\n",
		w.tokens["account/"+string(w.roles.caller)].Reveal(), n.CallerURL(), w.roles.service)
}

// readRecords returns the record files of an example.
func readRecords(name string) ([]operator.File, error) {
	dir := path.Join(name, "records")
	entries, err := fs.ReadDir(examples.Files, dir)
	if err != nil {
		return nil, problem.New(problem.NotFound, problem.Detail{Field: "deployment", Value: name,
			Limit: "cooperative or authority", Remedy: "choose one of the two"})
	}
	var files []operator.File
	for _, e := range entries {
		data, err := fs.ReadFile(examples.Files, path.Join(dir, e.Name()))
		if err != nil {
			return nil, err
		}
		files = append(files, operator.File{Name: e.Name(), Text: string(data)})
	}
	return files, nil
}

// readTokens returns the example tokens of a deployment.
func readTokens(name string) (map[string]token.Token, error) {
	data, err := fs.ReadFile(examples.Files, path.Join(name, "tokens.txt"))
	if err != nil {
		return nil, err
	}
	tokens := make(map[string]token.Token)
	for line := range strings.Lines(string(data)) {
		owner, text, ok := strings.Cut(strings.TrimSpace(line), " ")
		if ok && owner != "#" {
			tokens[owner] = token.New(text)
		}
	}
	return tokens, nil
}
