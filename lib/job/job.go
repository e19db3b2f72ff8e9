// Package job holds the types of jobs and the states a job goes through.
package job

import (
	"fmt"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/unit"
)

// Locality says how near the workers of a gang must be to each other.
type Locality string

// The localities, the nearest first.
const (
	SameWorker Locality = "worker"
	SameRack   Locality = "rack"
	SameZone   Locality = "zone"
)

// Valid reports whether l is one of the localities.
func (l Locality) Valid() bool {
	return l == SameWorker || l == SameRack || l == SameZone
}

// Shape is what a gang needs: the same resources on each of a number of
// distinct workers that are near each other.
type Shape struct {
	Workers   unit.Workers   `json:"workers"`
	PerWorker unit.Resources `json:"perWorker"`
	Locality  Locality       `json:"locality"`
}

// Accelerators returns the accelerators of all workers together.
func (s Shape) Accelerators() unit.Accelerators {
	return s.PerWorker.Accelerators * unit.Accelerators(s.Workers)
}

// String formats the shape for people.
func (s Shape) String() string {
	return fmt.Sprintf("%d x (%v) in one %s", s.Workers, s.PerWorker, s.Locality)
}

// MaxWorkers is the greatest number of workers of one gang.
const MaxWorkers unit.Workers = 64

// Validate returns an Invalid error that names the first part of s that breaks a
// limit. The field names start with prefix.
func (s Shape) Validate(prefix string) error {
	switch {
	case s.Workers < 1 || s.Workers > MaxWorkers:
		return invalid(prefix+"workers", fmt.Sprint(int(s.Workers)), "1 to 64", "split the job or ask for more on each worker")
	case s.PerWorker.Accelerators < 0:
		return invalid(prefix+"accelerators", fmt.Sprint(int(s.PerWorker.Accelerators)), "0 or more", "give a number of accelerators for each worker")
	case s.PerWorker.Cores <= 0:
		return invalid(prefix+"cores", fmt.Sprint(int64(s.PerWorker.Cores)), "more than 0", "give the cores for each worker")
	case s.PerWorker.Memory <= 0:
		return invalid(prefix+"memory", fmt.Sprint(int64(s.PerWorker.Memory)), "more than 0", "give the memory for each worker")
	case !s.Locality.Valid():
		return invalid(prefix+"locality", string(s.Locality), "worker, rack or zone", "choose how near the workers must be")
	case s.Locality == SameWorker && s.Workers != 1:
		return invalid(prefix+"workers", fmt.Sprint(int(s.Workers)), "1 with locality worker", "use locality rack or zone")
	}
	return nil
}

// Spec is a job as its account asked for it.
type Spec struct {
	Account id.Account `json:"account"`
	// Zone restricts the job to one availability zone. It is empty for any.
	Zone  id.Zone `json:"zone,omitempty"`
	Shape Shape   `json:"shape"`
	// Claim names the guaranteed shape of the account that the job uses. It
	// is empty for an opportunistic job.
	Claim id.Shape `json:"claim,omitempty"`
	// Urgent asks for a start within the urgent bound. Only claims can be
	// urgent.
	Urgent bool `json:"urgent,omitempty"`
	// DeclaredRun is the account's estimate of the run time. It may be far off.
	DeclaredRun time.Duration `json:"declaredRun"`
	// CheckpointEvery is the time between the checkpoints of the job, zero
	// when it can't checkpoint.
	CheckpointEvery time.Duration `json:"checkpointEvery,omitempty"`
	// Program is what the workers run, for example "skymap/render".
	Program string `json:"program"`
}

// Limits of a Spec.
const (
	MaxDeclaredRun = 30 * 24 * time.Hour
	MaxProgramLen  = 256
)

// Validate returns an Invalid error that names the first part of s that breaks a
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

// Phase is where a job stands.
type Phase string

// The phases of a job. Waiting, Reserving, Committed, Running and Stopping
// can change; the others are final.
const (
	// Waiting is accepted and not yet placed.
	Waiting Phase = "waiting"
	// Reserving has workers chosen, and reservations are being made.
	Reserving Phase = "reserving"
	// Committed has all reservations and a durable commit; starts are sent.
	Committed Phase = "committed"
	// Running has every member of the gang running.
	Running Phase = "running"
	// Stopping is being stopped as a whole gang.
	Stopping Phase = "stopping"
	// Succeeded ended with every member done.
	Succeeded Phase = "succeeded"
	// Failed ended with a member that failed for a reason of the job's own.
	Failed Phase = "failed"
	// Cancelled ended because its account asked for it.
	Cancelled Phase = "cancelled"
)

// Final reports whether a job in phase p changes no more.
func (p Phase) Final() bool {
	return p == Succeeded || p == Failed || p == Cancelled
}

// Member is the part of a gang on one worker.
type Member struct {
	Worker    id.Worker      `json:"worker"`
	Resources unit.Resources `json:"resources"`
}

// Job is a job with its present state. Times are those of the owner's clock.
type Job struct {
	ID   id.Job `json:"id"`
	Spec Spec   `json:"spec"`
	// Zone is the availability zone whose owner has the job.
	Zone  id.Zone `json:"zone"`
	Phase Phase   `json:"phase"`
	// Attempt counts placements. Commands to workers carry it, so that a late
	// answer from an earlier placement is told apart.
	Attempt   int       `json:"attempt"`
	Members   []Member  `json:"members,omitempty"`
	Submitted time.Time `json:"submitted"`
	Started   time.Time `json:"started,omitzero"`
	Ended     time.Time `json:"ended,omitzero"`
	// Reason says why the job is in its phase, for people.
	Reason string `json:"reason,omitempty"`
}

func invalid(field, value, limit, remedy string) error {
	return problem.New(problem.Invalid, problem.Detail{Field: field, Value: value, Limit: limit, Remedy: remedy})
}
