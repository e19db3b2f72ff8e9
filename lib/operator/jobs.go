package operator

import (
	"context"
	"fmt"
	"slices"

	"bronzewinch.dev/lib/decision"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/pipe"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/record"

	"github.com/go-chi/chi/v5"
)

// Limits on the jobs and decisions of one request. MaxCancel allows for clients
// that cancel 10,000 jobs at once.
const (
	MaxCancel    = 10000
	maxJobs      = 1000
	maxDecisions = 1000
	// maxSkip allows paging through all records of a planner pass over 10,000 jobs,
	// which have the same version.
	maxSkip = 100000
)

func (f *Frontend) jobRoutes(r chi.Router) {
	r.Post("/jobs", handle(f, "submit", Everyone, f.submit))
	r.Post("/jobs/cancel", handle(f, "cancel", Everyone, f.cancel))
	r.Get("/jobs", handle(f, "jobs", Everyone, f.listJobs))
	r.Get("/jobs/{job}", handle(f, "job", Everyone, f.job))
	r.Get("/jobs/{job}/decisions", handle(f, "decisions", Everyone, f.decisions))
	r.Get("/jobs/{job}/explain", handle(f, "explain", Everyone, f.explain))
	r.Get("/zones/{zone}/decisions", handle(f, "log", Operators, f.zoneDecisions))
}

func jobNotFound(name id.Job) error {
	return problem.New(problem.NotFound, problem.Detail{Field: "job", Value: string(name), Remedy: "list the jobs with `bronzewinch jobs`"})
}

// submission is a job submission that passes through the stages of newJobPipe.
type submission struct {
	caller Caller
	req    SubmitRequest
	spec   job.Spec
}

// newJobPipe returns the stages of a job submission. The last one calls
// Jobs.Submit, which assigns the zone and forwards the job to the zone's owner.
func (f *Frontend) newJobPipe() pipe.Filter[submission, job.Job] {
	return pipe.Then(pipe.Then(
		pipe.Instrument(f.Metrics, "job/decode", pipe.Func[submission, submission](decodeJob)),
		pipe.Instrument(f.Metrics, "job/check", pipe.Func[submission, submission](f.checkJob))),
		pipe.Instrument(f.Metrics, "job/submit", pipe.Func[submission, job.Job](func(ctx context.Context, s submission) (job.Job, error) {
			return f.Jobs.Submit(ctx, s.req.Job, s.spec)
		})))
}

// decodeJob is the stage that parses the job record.
func decodeJob(_ context.Context, s submission) (submission, error) {
	if err := id.Check("job", string(s.req.Job)); err != nil {
		return s, err
	}
	records, err := record.ParseFile(s.req.File.Name, []byte(s.req.File.Text))
	if err != nil {
		return s, err
	}
	if len(records) != 1 {
		return s, problem.New(problem.Invalid, problem.Detail{Field: "file", Value: fmt.Sprint(len(records), " records"),
			Limit: "one record of kind job", Remedy: "submit each job on its own"})
	}
	s.spec, err = records[0].JobSpec()
	return s, err
}

// checkJob is the stage that checks that the caller may submit the job and that
// the records it names exist.
func (f *Frontend) checkJob(_ context.Context, s submission) (submission, error) {
	if !s.caller.MayAccess(s.spec.Account) {
		return s, problem.New(problem.Denied, problem.Detail{Field: "account", Value: string(s.spec.Account),
			Limit: string(s.caller.Account), Remedy: "submit jobs of your own account"})
	}
	return s, f.checkNames(s.spec)
}

func (f *Frontend) submit(ctx context.Context, c Caller, req SubmitRequest) (job.Job, error) {
	return f.jobs.Process(ctx, submission{caller: c, req: req})
}

// checkNames returns an error if the job names an account, zone or guarantee that
// has no record in force.
func (f *Frontend) checkNames(spec job.Spec) error {
	s := f.Configuration.Current()
	missing := func(field, name, kind string) error {
		return problem.New(problem.NotFound, problem.Detail{Field: field, Value: name, Limit: "a record of kind " + kind + " in force",
			Remedy: "correct the name, or apply the record first"})
	}
	if _, ok := s.Accounts[spec.Account]; !ok {
		return missing("account", string(spec.Account), "account")
	}
	if _, ok := s.Zones[spec.Zone]; !ok && spec.Zone != "" {
		return missing("zone", string(spec.Zone), "zone")
	}
	if _, ok := s.Guarantees[record.GuaranteeKey{Account: spec.Account, Name: spec.Claim}]; !ok && spec.Claim != "" {
		return missing("claim", string(spec.Claim), "guarantee")
	}
	return nil
}

// visibleJob returns a job if the caller may access it. For a job of another
// account it returns the same error as for an unknown job, so that an account
// can't discover the ids of others' jobs.
func (f *Frontend) visibleJob(ctx context.Context, c Caller, name id.Job) (job.Job, error) {
	j, err := f.Jobs.Get(ctx, name)
	if err != nil {
		return job.Job{}, err
	}
	if !c.MayAccess(j.Spec.Account) {
		return job.Job{}, jobNotFound(name)
	}
	return j, nil
}

func (f *Frontend) job(ctx context.Context, c Caller, req JobRequest) (job.Job, error) {
	return f.visibleJob(ctx, c, req.Job)
}

func (f *Frontend) cancel(ctx context.Context, c Caller, req CancelRequest) (CancelResult, error) {
	if len(req.Jobs) == 0 || len(req.Jobs) > MaxCancel {
		return CancelResult{}, problem.New(problem.Invalid, problem.Detail{Field: "jobs", Value: fmt.Sprint(len(req.Jobs)),
			Limit: "1 to 10000", Remedy: "cancel fewer jobs at once"})
	}
	found, err := f.Jobs.List(ctx, JobQuery{Account: c.Account, IDs: req.Jobs})
	if err != nil {
		return CancelResult{}, err
	}
	permitted := make(map[id.Job]bool)
	for _, j := range found {
		permitted[j.ID] = c.MayAccess(j.Spec.Account)
	}
	result := CancelResult{Jobs: []job.Job{}}
	var accepted []id.Job
	handled := make(map[id.Job]bool)
	for _, name := range req.Jobs {
		switch {
		case handled[name]:
		case permitted[name]:
			accepted = append(accepted, name)
		default:
			result.NotFound = append(result.NotFound, name)
		}
		handled[name] = true
	}
	if len(accepted) == 0 {
		return result, nil
	}
	result.Jobs, err = f.Jobs.Cancel(ctx, accepted)
	return result, err
}

func (f *Frontend) listJobs(ctx context.Context, c Caller, req JobsRequest) (JobList, error) {
	if c.Account != "" {
		if req.Account != "" && req.Account != c.Account {
			return JobList{}, problem.New(problem.Denied, problem.Detail{Field: "account", Value: string(req.Account),
				Limit: string(c.Account), Remedy: "list the jobs of your own account"})
		}
		req.Account = c.Account
	}
	limit := pageLimit(req.Limit, maxJobs)
	list, err := f.Jobs.List(ctx, JobQuery{Account: req.Account, Zone: req.Zone, Phase: req.Phase, After: req.After, Limit: limit})
	if err != nil {
		return JobList{}, err
	}
	result := JobList{Jobs: slices.DeleteFunc(slices.Clone(list), func(j job.Job) bool { return !c.MayAccess(j.Spec.Account) })}
	if len(list) >= limit {
		result.After = list[len(list)-1].ID
	}
	return result, nil
}

func (f *Frontend) decisions(ctx context.Context, c Caller, req DecisionsRequest) (Decisions, error) {
	if _, err := f.visibleJob(ctx, c, req.Job); err != nil {
		return Decisions{}, err
	}
	list, err := f.Jobs.Decisions(ctx, DecisionQuery{Job: req.Job, Limit: pageLimit(req.Limit, maxDecisions)})
	if err != nil {
		return Decisions{}, err
	}
	return Decisions{Decisions: redact(c, list)}, nil
}

func (f *Frontend) zoneDecisions(ctx context.Context, _ Caller, req ZoneDecisionsRequest) (Decisions, error) {
	if req.Skip > maxSkip {
		return Decisions{}, problem.New(problem.Invalid, problem.Detail{Field: "skip", Value: fmt.Sprint(req.Skip),
			Limit: fmt.Sprint("at most ", maxSkip), Remedy: "continue after the version of the last record"})
	}
	limit := pageLimit(req.Limit, maxDecisions)
	list, err := f.Jobs.Decisions(ctx, DecisionQuery{Zone: req.Zone, Epoch: req.Epoch, Version: req.After, Limit: req.Skip + limit})
	list = list[min(req.Skip, len(list)):]
	return Decisions{Decisions: list[:min(limit, len(list))]}, err
}

func (f *Frontend) explain(ctx context.Context, c Caller, req JobRequest) (Explanation, error) {
	j, err := f.visibleJob(ctx, c, req.Job)
	if err != nil {
		return Explanation{}, err
	}
	list, err := f.Jobs.Decisions(ctx, DecisionQuery{Job: req.Job, Limit: maxDecisions})
	if err != nil {
		return Explanation{}, err
	}
	return Explanation{Job: j, Lines: Explain(j, redact(c, list))}, nil
}

// redact removes from decisions what an account may not see: which jobs of other
// accounts were preempted, and the rejected alternatives and reason texts, which
// describe the state of the fleet. Operators see everything.
func redact(c Caller, list []decision.Record) []decision.Record {
	if c.Operator != "" {
		return list
	}
	redacted := make([]decision.Record, 0, len(list))
	for _, d := range list {
		if d.Spec.Account != c.Account {
			continue
		}
		d.Alternatives, d.Reason = nil, ""
		victims := make([]decision.Victim, len(d.Victims))
		for i, v := range d.Victims {
			if v.Account == c.Account {
				victims[i] = v
			}
		}
		d.Victims = victims
		redacted = append(redacted, d)
	}
	return redacted
}
