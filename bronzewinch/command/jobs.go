package command

import (
	"context"
	"fmt"
	"net/url"
	"time"

	"bronzewinch.dev/bronzewinch/client"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/operator"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/timer"
	"bronzewinch.dev/lib/token"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"
)

func jobHeader(t *table) { t.row("JOB", "ACCOUNT", "ZONE", "PHASE", "SHAPE", "CLAIM", "REASON") }

func jobRow(t *table, j job.Job) {
	t.row(j.ID, j.Spec.Account, j.Zone, j.Phase, j.Spec.Shape, j.Spec.Claim, j.Reason)
}

type submitCommand struct {
	id      string
	wait    bool
	timeout time.Duration
}

func (*submitCommand) Info() Info {
	return Info{Name: "submit", Args: "FILE", Summary: "Submit the job record of a file.", MinArgs: 1, MaxArgs: 1,
		Example: "bronzewinch submit examples/cooperative/jobs/nightly.toml"}
}

func (c *submitCommand) Flags(sub *flaggy.Subcommand) {
	sub.String(&c.id, "", "id", "id of the job; submitting again with the same id returns the same job (the record's name and a random part)")
	sub.Bool(&c.wait, "", "wait", "watch the job until it ends")
	sub.Duration(&c.timeout, "", "timeout", "longest time that -wait continues while no node answers (1m)")
}

func (c *submitCommand) Run(ctx context.Context, e *Env) error {
	files, err := readFiles(e.Args)
	if err != nil {
		return err
	}
	if len(files) != 1 {
		return newUsageError("arguments", fmt.Sprint(len(files)), "one file", "submit each job on its own")
	}
	records, err := record.ParseFile(files[0].Name, []byte(files[0].Text))
	if err != nil {
		return err
	}
	if c.id == "" {
		name := records[0].Key().Name
		c.id = name[:min(len(name), 40)] + "-" + string(token.Random().Hash()[:12])
	}
	cl, err := e.Client()
	if err != nil {
		return err
	}
	j, err := client.Post[job.Job](ctx, cl, "/v1/jobs", operator.SubmitRequest{Job: id.Job(c.id), File: files[0]})
	if err != nil {
		if problem.Is(err, problem.Unknown) || ctx.Err() != nil {
			return errors.Wrapf(err, "submit again with -id %s, which returns the same job", c.id)
		}
		return err
	}
	if c.wait {
		return watch{interval: time.Second, timeout: c.timeout}.run(ctx, e, cl, j.ID)
	}
	return show(e, j, func(t *table) { jobHeader(t); jobRow(t, j) })
}

type cancelCommand struct{}

func (*cancelCommand) Info() Info {
	return Info{Name: "cancel", Args: "JOB...", Summary: "Cancel jobs.", MinArgs: 1, MaxArgs: -1, Example: "bronzewinch cancel nightly-4c1f20aa9b03"}
}

func (*cancelCommand) Flags(*flaggy.Subcommand) {}

func (*cancelCommand) Run(ctx context.Context, e *Env) error {
	cl, err := e.Client()
	if err != nil {
		return err
	}
	var req operator.CancelRequest
	for _, name := range e.Args {
		req.Jobs = append(req.Jobs, id.Job(name))
	}
	result, err := client.Post[operator.CancelResult](ctx, cl, "/v1/jobs/cancel", req)
	if err != nil {
		return err
	}
	writeTable := func(t *table) {
		if len(result.Jobs) > 0 {
			jobTable(t, result.Jobs)
		}
	}
	if err := show(e, result, writeTable); err != nil {
		return err
	}
	if len(result.NotFound) > 0 {
		return problem.New(problem.NotFound, problem.Detail{Field: "jobs", Value: fmt.Sprint(result.NotFound), Remedy: "list the jobs with `bronzewinch jobs`"})
	}
	return nil
}

func jobTable(t *table, jobs []job.Job) {
	jobHeader(t)
	for _, j := range jobs {
		jobRow(t, j)
	}
}

type jobsCommand struct {
	account, zone, phase string
	limit                int
}

func (*jobsCommand) Info() Info {
	return Info{Name: "jobs", Summary: "List jobs; an account sees its own.", Example: "bronzewinch jobs -phase waiting -zone entoto"}
}

func (c *jobsCommand) Flags(sub *flaggy.Subcommand) {
	sub.String(&c.account, "", "account", "jobs of this account only")
	sub.String(&c.zone, "", "zone", "jobs of this zone only")
	sub.String(&c.phase, "", "phase", "jobs in this phase only")
	sub.Int(&c.limit, "", "limit", "maximum number of jobs to list (100)")
}

func (c *jobsCommand) Run(ctx context.Context, e *Env) error {
	cl, err := e.Client()
	if err != nil {
		return err
	}
	all := operator.JobList{Jobs: []job.Job{}}
	for len(all.Jobs) < c.limit {
		query := url.Values{"limit": {fmt.Sprint(c.limit - len(all.Jobs))}}
		setNonEmpty(query, "account", c.account)
		setNonEmpty(query, "zone", c.zone)
		setNonEmpty(query, "phase", c.phase)
		setNonEmpty(query, "after", string(all.After))
		page, err := client.Get[operator.JobList](ctx, cl, "/v1/jobs?"+query.Encode())
		if err != nil {
			return err
		}
		all.Jobs, all.After = append(all.Jobs, page.Jobs...), page.After
		if page.After == "" {
			break
		}
	}
	return show(e, all, func(t *table) {
		jobTable(t, all.Jobs)
		if all.After != "" {
			t.row("there are more jobs; raise -limit")
		}
	})
}

type watchCommand struct{ watch }

func (*watchCommand) Info() Info {
	return Info{Name: "watch", Args: "JOB", Summary: "Follow a job until it ends. Ctrl-C leaves the job as it is.", MinArgs: 1, MaxArgs: 1,
		Example: "bronzewinch watch nightly-4c1f20aa9b03"}
}

func (c *watchCommand) Flags(sub *flaggy.Subcommand) {
	sub.Duration(&c.interval, "", "every", "time between two polls (1s)")
	sub.Duration(&c.timeout, "", "timeout", "longest time that the command continues while no node answers (1m)")
}

func (c *watchCommand) Run(ctx context.Context, e *Env) error {
	cl, err := e.Client()
	if err != nil {
		return err
	}
	return c.run(ctx, e, cl, id.Job(e.Args[0]))
}

// defaultUnreachableTimeout is how long a watch continues while no node answers,
// unless a flag sets another time. Nodes that fail are replaced within seconds.
const defaultUnreachableTimeout = time.Minute

// watch polls a job until it ends.
type watch struct {
	interval time.Duration
	// timeout is the longest time that the watch continues while no node
	// answers.
	timeout time.Duration
}

// run shows a job whenever its phase, reason or attempt changes. Each poll
// tries all nodes of the context.
func (w watch) run(ctx context.Context, e *Env, cl *client.Client, name id.Job) error {
	var last job.Job
	lastResponse, unreachable := e.Clock.Now(), false
	for {
		j, err := client.Get[job.Job](ctx, cl, "/v1/jobs/"+url.PathEscape(string(name)))
		switch {
		case err == nil:
			if unreachable {
				fmt.Fprintln(e.Err, "a node answers again")
			}
			lastResponse, unreachable = e.Clock.Now(), false
		case ctx.Err() != nil:
			return errors.Newf("job %s goes on", name)
		case problem.Is(err, problem.Unavailable) || problem.Is(err, problem.Unknown):
			if unreachableFor := e.Clock.Now().Sub(lastResponse); unreachableFor >= w.timeout {
				return problem.New(problem.Unavailable, problem.Detail{Field: "contact", Value: fmt.Sprintf("no node answers for %v", w.timeout),
					Remedy: fmt.Sprintf("job %s goes on; follow it with `bronzewinch watch %s` once a node answers", name, name)})
			}
			if !unreachable {
				fmt.Fprintf(e.Err, "no node answers; trying again for %v: %v\n", w.timeout, err)
			}
			j, unreachable = last, true
		default:
			return err
		}
		if j.Phase != last.Phase || j.Reason != last.Reason || j.Attempt != last.Attempt {
			if err := show(e, j, func(t *table) { t.row(e.Clock.Now().Format(time.TimeOnly), j.ID, j.Phase, j.Reason) }); err != nil {
				return err
			}
		}
		last = j
		if j.Phase.Final() {
			if j.Phase != job.Succeeded {
				return &statusError{StatusJobFailed, fmt.Sprintf("job %s is %s; see `bronzewinch explain %s`", j.ID, j.Phase, j.ID)}
			}
			return nil
		}
		if timer.Sleep(ctx, e.Clock, w.interval) != nil {
			return errors.Newf("job %s goes on", name)
		}
	}
}

type explainCommand struct{}

func (*explainCommand) Info() Info {
	return Info{Name: "explain", Args: "JOB", Summary: "Explain in plain words what was decided about a job and why.", MinArgs: 1, MaxArgs: 1,
		Example: "bronzewinch explain nightly-4c1f20aa9b03"}
}

func (*explainCommand) Flags(*flaggy.Subcommand) {}

func (*explainCommand) Run(ctx context.Context, e *Env) error {
	cl, err := e.Client()
	if err != nil {
		return err
	}
	x, err := client.Get[operator.Explanation](ctx, cl, "/v1/jobs/"+url.PathEscape(e.Args[0])+"/explain")
	if err != nil {
		return err
	}
	return show(e, x, func(t *table) {
		for _, line := range x.Lines {
			t.row(line)
		}
	})
}
