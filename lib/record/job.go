package record

import (
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/problem"
)

// JobV1 is a submitted job in schema v1.
type JobV1 struct {
	Header
	Account                id.Account `toml:"account"`
	Zone                   id.Zone    `toml:"zone,omitempty"`
	Claim                  id.Shape   `toml:"claim,omitempty"`
	Urgent                 bool       `toml:"urgent,omitempty"`
	DeclaredRunSeconds     int64      `toml:"declaredRunSeconds"`
	CheckpointEverySeconds int64      `toml:"checkpointEverySeconds,omitempty"`
	Program                string     `toml:"program"`
	ShapeV1
}

// JobV2 is a submitted job in schema v2.
type JobV2 struct {
	HeaderV2
	Account         id.Account `toml:"account"`
	Zone            id.Zone    `toml:"zone,omitempty"`
	Claim           id.Shape   `toml:"claim,omitempty"`
	Urgent          bool       `toml:"urgent,omitempty"`
	DeclaredRun     Duration   `toml:"declaredRun"`
	CheckpointEvery Duration   `toml:"checkpointEvery,omitempty"`
	Program         string     `toml:"program"`
	Shape           ShapeV2    `toml:"shape"`
}

func checkJob(r *report, account id.Account, zone id.Zone, claim id.Shape, urgent bool, program string) {
	r.checkID("account", string(account))
	if zone != "" {
		r.checkID("zone", string(zone))
	}
	if claim != "" {
		r.checkID("claim", string(claim))
	}
	if urgent && claim == "" {
		r.add("urgent", "true", "only with a claim", "claim a guaranteed shape, or submit the job without urgent")
	}
	if program == "" || len(program) > job.MaxProgramLen {
		r.add("program", program, "1 to 256 bytes", "name the program that the workers run")
	}
}

func (j *JobV1) check(r *report) {
	checkJob(r, j.Account, j.Zone, j.Claim, j.Urgent, j.Program)
	checkSeconds(r, "declaredRunSeconds", j.DeclaredRunSeconds, time.Second, job.MaxDeclaredRun)
	checkSeconds(r, "checkpointEverySeconds", j.CheckpointEverySeconds, 0, job.MaxDeclaredRun)
	j.ShapeV1.check(r)
}

func (j *JobV2) check(r *report) {
	checkJob(r, j.Account, j.Zone, j.Claim, j.Urgent, j.Program)
	checkDuration(r, "declaredRun", j.DeclaredRun, time.Millisecond, job.MaxDeclaredRun)
	checkDuration(r, "checkpointEvery", j.CheckpointEvery, 0, job.MaxDeclaredRun)
	j.Shape.check(r)
}

func (j *JobV1) toV2() bodyV2 {
	return &JobV2{Account: j.Account, Zone: j.Zone, Claim: j.Claim, Urgent: j.Urgent, DeclaredRun: durationFromSeconds(j.DeclaredRunSeconds),
		CheckpointEvery: durationFromSeconds(j.CheckpointEverySeconds), Program: j.Program, Shape: j.ShapeV1.toV2()}
}

func (j *JobV2) toV1(r *report) bodyV1 {
	return &JobV1{Account: j.Account, Zone: j.Zone, Claim: j.Claim, Urgent: j.Urgent, Program: j.Program,
		DeclaredRunSeconds:     wholeSeconds(r, "declaredRun", j.DeclaredRun),
		CheckpointEverySeconds: wholeSeconds(r, "checkpointEvery", j.CheckpointEvery), ShapeV1: j.Shape.toV1(r)}
}

// addTo does nothing, because jobs are submitted and are not part of a set.
func (j *JobV2) addTo(*Set) {}

func (j *JobV2) removeFrom(*Set) {}

// JobSpec returns the specification of the job in a record of kind job.
func (r Record) JobSpec() (job.Spec, error) {
	j, ok := r.asV2().(*JobV2)
	if !ok {
		return job.Spec{}, problem.New(problem.Invalid, problem.Detail{Field: "kind", Value: string(r.key.Kind),
			Limit: "job", Remedy: "use `bronzewinch apply` for records of other kinds"})
	}
	spec := job.Spec{Account: j.Account, Zone: j.Zone, Shape: j.Shape.toShape(), Claim: j.Claim, Urgent: j.Urgent,
		DeclaredRun: time.Duration(j.DeclaredRun), CheckpointEvery: time.Duration(j.CheckpointEvery), Program: j.Program}
	return spec, spec.Validate()
}
