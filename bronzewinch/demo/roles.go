package demo

import (
	"io/fs"
	"path"
	"strings"

	"bronzewinch.dev/examples"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/unit"
)

// roles holds the jobs, the calling account and the service of the walkthrough.
type roles struct {
	claim   job.Spec // the urgent claim of the example
	filler  job.Spec // an opportunistic gang on every worker of the claim's zone
	caller  id.Account
	service id.Service
}

// rolesOf chooses the roles from the example's jobs and records. The calling
// account is the first one, by name, that does not own the urgent claim and whose
// quota allows one accelerator on every worker of the claim's zone.
func rolesOf(name string, set *record.Set) (roles, error) {
	var r roles
	dir := path.Join(name, "jobs")
	entries, err := fs.ReadDir(examples.Files, dir)
	if err != nil {
		return r, err
	}
	for _, e := range entries {
		data, err := fs.ReadFile(examples.Files, path.Join(dir, e.Name()))
		if err != nil {
			return r, err
		}
		records, err := record.ParseFile(e.Name(), data)
		if err != nil {
			return r, err
		}
		if spec, err := records[0].JobSpec(); err == nil && spec.Urgent {
			r.claim = spec
		}
	}
	workers := unit.Workers(len(set.Zones[r.claim.Zone].Workers))
	for account, a := range set.Accounts {
		if account != r.claim.Account && (a.Quota == 0 || a.Quota >= unit.Accelerators(workers)) &&
			(r.caller == "" || account < r.caller) {
			r.caller = account
		}
	}
	for service := range set.Services {
		r.service = service
	}
	if r.caller == "" || r.service == "" || r.claim.Account == "" {
		return r, problem.New(problem.Invalid, problem.Detail{Field: "example", Value: name,
			Remedy: "give the example an urgent claim, a service, and an account whose quota covers a zone"})
	}
	r.filler = job.Spec{
		Account: r.caller, Zone: r.claim.Zone, DeclaredRun: r.claim.DeclaredRun, CheckpointEvery: r.claim.CheckpointEvery,
		Program: "filler",
		Shape: job.Shape{Workers: workers, Locality: job.SameZone,
			PerWorker: unit.Resources{Accelerators: 1, Cores: unit.Core, Memory: unit.GiB}},
	}
	return r, nil
}

// recordText returns the text of a job's record.
func recordText(name string, s job.Spec) string {
	var b strings.Builder
	writeJob(&b, name, s)
	return b.String()
}
