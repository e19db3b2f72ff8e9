package task

import (
	"time"

	"bronzewinch.dev/lib/id"
)

// Progress is the stored state of a job. With it and the reports of the workers, a new
// owner can continue the job.
type Progress struct {
	Job id.Job `cbor:"job"`
	// State is empty until the job has ended.
	State State `cbor:"state,omitempty"`
	// Ended is the time at which the job reached its final state.
	Ended time.Time `cbor:"ended,omitzero"`
	// Started means that a task had started when the record was written. Runs of which all
	// starts were rejected don't count.
	Started     bool                 `cbor:"started,omitempty"`
	Occurrences []OccurrenceProgress `cbor:"occurrences,omitempty"`
}

// OccurrenceProgress is the stored state of one occurrence that has become due.
type OccurrenceProgress struct {
	Number    int             `cbor:"number"`
	Completed bool            `cbor:"over,omitempty"`
	Groups    []GroupProgress `cbor:"groups,omitempty"`
}

// GroupProgress is the stored state of tasks that start together: a gang, or one task
// of a step that is not a gang.
type GroupProgress struct {
	Done       bool       `cbor:"d,omitempty"`
	Run        RunNumber  `cbor:"r,omitempty"`
	Failures   int        `cbor:"f,omitempty"`
	Checkpoint Checkpoint `cbor:"c,omitempty"`
	// Placements holds the workers of the members that have not ended, while a run is in
	// progress.
	Placements []Placement `cbor:"p,omitempty"`
	// UnseenEnds holds runs of a gang that were ended before the ends of all members were
	// known.
	UnseenEnds []RunNumber `cbor:"u,omitempty"`
}

// Placement is the worker on which a member of a group was ordered to start.
type Placement struct {
	Index       int         `cbor:"i"`
	Worker      id.Worker   `cbor:"w"`
	Incarnation Incarnation `cbor:"b,omitempty"`
}

// LateStart is the stored record of a worker that may still carry out a start that got no
// answer. A new owner polls the worker, also while it is not listed.
type LateStart struct {
	Worker      id.Worker   `cbor:"w"`
	Address     string      `cbor:"a"`
	Incarnation Incarnation `cbor:"b,omitempty"`
	Zone        id.Zone     `cbor:"z,omitempty"`
	Rack        id.Rack     `cbor:"r,omitempty"`
	// Fence is the fence of the start, or zero if it is not known.
	Fence Fence `cbor:"f,omitempty"`
	// Runs holds the runs that the worker may start late. Earlier versions did not store them.
	Runs []LateRun `cbor:"s,omitempty"`
}

// LateRun is a run that a worker may start late.
type LateRun struct {
	Task Name      `cbor:"t"`
	Run  RunNumber `cbor:"n"`
}
