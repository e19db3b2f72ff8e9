// Package job defines jobs, the shapes of their gangs, and the phases of their
// life cycle.
package job

import (
	"fmt"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/unit"
)

// Locality is the topology constraint on the workers of a gang.
type Locality string

// The localities, from the strictest to the least strict.
const (
	SameWorker Locality = "worker"
	SameRack   Locality = "rack"
	SameZone   Locality = "zone"
)

// Valid reports whether l is one of the localities.
func (l Locality) Valid() bool {
	return l == SameWorker || l == SameRack || l == SameZone
}

// Shape is the resource request of a gang: the same resources on each of a
// number of distinct workers within one locality.
type Shape struct {
	Workers   unit.Workers   `json:"workers"`
	PerWorker unit.Resources `json:"perWorker"`
	Locality  Locality       `json:"locality"`
}

// Accelerators returns the total number of accelerators on all workers.
func (s Shape) Accelerators() unit.Accelerators {
	return s.PerWorker.Accelerators * unit.Accelerators(s.Workers)
}

// String formats the shape for messages, for example "2 x (8 accelerators, 16
// cores, 64 GiB) in one rack".
func (s Shape) String() string {
	return fmt.Sprintf("%d x (%v) in one %s", s.Workers, s.PerWorker, s.Locality)
}

// MaxWorkers is the maximum number of workers of one gang.
const MaxWorkers unit.Workers = 64

// Validate returns an Invalid error for the first field of s that violates a
// limit. The field names in the error start with prefix.
func (s Shape) Validate(prefix string) error {
	switch {
	case s.Workers < 1 || s.Workers > MaxWorkers:
		return invalid(prefix+"workers", fmt.Sprint(int(s.Workers)), "1 to 64", "split the job, or request more resources on each worker")
	case s.PerWorker.Accelerators < 0:
		return invalid(prefix+"accelerators", fmt.Sprint(int(s.PerWorker.Accelerators)), "0 or more", "give a number of accelerators for each worker")
	case s.PerWorker.Cores <= 0:
		return invalid(prefix+"cores", fmt.Sprint(int64(s.PerWorker.Cores)), "more than 0", "give the cores for each worker")
	case s.PerWorker.Memory <= 0:
		return invalid(prefix+"memory", fmt.Sprint(int64(s.PerWorker.Memory)), "more than 0", "give the memory for each worker")
	case !s.Locality.Valid():
		return invalid(prefix+"locality", string(s.Locality), "worker, rack or zone", "choose one of these localities")
	case s.Locality == SameWorker && s.Workers != 1:
		return invalid(prefix+"workers", fmt.Sprint(int(s.Workers)), "1 with locality worker", "use locality rack or zone")
	}
	return nil
}

// Spec is the specification of a job as its account submitted it.
type Spec struct {
	Account id.Account `json:"account"`
	// Zone restricts the job to one availability zone. It is empty for any.
	Zone  id.Zone `json:"zone,omitempty"`
	Shape Shape   `json:"shape"`
	// Claim names the guaranteed shape of the account under which the job is
	// placed. It is empty for an opportunistic job.
	Claim id.Shape `json:"claim,omitempty"`
	// Urgent requests a start within the urgent bound. Only jobs with a Claim
	// can be urgent.
	Urgent bool `json:"urgent,omitempty"`
	// DeclaredRun is the account's estimate of the run time. It may be
	// inaccurate.
	DeclaredRun time.Duration `json:"declaredRun"`
	// CheckpointEvery is the interval between checkpoints of the job. Zero means
	// that the job does not support checkpoints.
	CheckpointEvery time.Duration `json:"checkpointEvery,omitempty"`
	// Program names the program that the workers run, for example "skymap/render".
	Program string `json:"program"`
}

// Limits of a Spec.
const (
	MaxDeclaredRun = 30 * 24 * time.Hour
	MaxProgramLen  = 256
)

// Validate returns an Invalid error for the first field of s that violates a
// limit.
func (s Spec) Validate() error {
	if err := id.Check("account", string(s.Account)); err != nil {
		return err
	}
	if err := s.Shape.Validate(""); err != nil {
		return err
	}
	switch {
	case s.DeclaredRun <= 0 || s.DeclaredRun > MaxDeclaredRun:
		return invalid("declaredRun", s.DeclaredRun.String(), "more than 0s, at most 720h", "give an estimate of the run time")
	case s.CheckpointEvery < 0:
		return invalid("checkpointEvery", s.CheckpointEvery.String(), "0s or more", "give 0s when the job can't checkpoint")
	case s.Program == "" || len(s.Program) > MaxProgramLen:
		return invalid("program", s.Program, "1 to 256 bytes", "name the program that the workers run")
	case s.Urgent && s.Claim == "":
		return invalid("urgent", "true", "only with a claim", "claim a guaranteed shape, or submit the job without urgent")
	}
	return nil
}

// Phase is a phase in the life cycle of a job.
type Phase string

// The phases of a job. Succeeded, Failed and Cancelled are final.
const (
	// Waiting means that the job is accepted and not yet placed.
	Waiting Phase = "waiting"
	// Reserving means that workers are chosen and reservations are in progress.
	Reserving Phase = "reserving"
	// Committed means that all reservations are made, the commit is durable, and
	// start commands are being sent.
	Committed Phase = "committed"
	// Running means that every member of the gang runs.
	Running Phase = "running"
	// Stopping means that all members of the gang are being stopped.
	Stopping Phase = "stopping"
	// Succeeded means that every member ended without an error.
	Succeeded Phase = "succeeded"
	// Failed means that a member ended with an error that the job itself caused.
	Failed Phase = "failed"
	// Cancelled means that the account cancelled the job.
	Cancelled Phase = "cancelled"
)

// Final reports whether p is a final phase.
func (p Phase) Final() bool {
	return p == Succeeded || p == Failed || p == Cancelled
}

// Member is the part of a gang on one worker.
type Member struct {
	Worker    id.Worker      `json:"worker"`
	Resources unit.Resources `json:"resources"`
}

// Job is a job and its current state. Times are taken from the owner's clock.
type Job struct {
	ID   id.Job `json:"id"`
	Spec Spec   `json:"spec"`
	// Zone is the availability zone whose owner schedules the job.
	Zone  id.Zone `json:"zone"`
	Phase Phase   `json:"phase"`
	// Attempt counts the placements of the job. Commands to workers carry it, so
	// that a late response to an earlier placement can be recognized.
	Attempt   int       `json:"attempt"`
	Members   []Member  `json:"members,omitempty"`
	Submitted time.Time `json:"submitted"`
	Started   time.Time `json:"started,omitzero"`
	Ended     time.Time `json:"ended,omitzero"`
	// Reason explains to users why the job is in its phase.
	Reason string `json:"reason,omitempty"`
}

func invalid(field, value, limit, remedy string) error {
	return problem.New(problem.Invalid, problem.Detail{Field: field, Value: value, Limit: limit, Remedy: remedy})
}
