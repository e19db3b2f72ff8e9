package task

import (
	"time"

	"bronzewinch.dev/lib/id"
)

// Progress is the durable state of a job. Together with the workers' own
// reports it is enough for a new owner to go on.
type Progress struct {
	Job id.Job `cbor:"job"`
	// State is empty until the job has ended.
	State State `cbor:"state,omitempty"`
	// Ended is the time at which the job reached its final state.
	Ended       time.Time            `cbor:"ended,omitzero"`
	Occurrences []OccurrenceProgress `cbor:"occurrences,omitempty"`
}

// OccurrenceProgress is the durable state of one occurrence that has started
// and is not over, or of the last one that is.
type OccurrenceProgress struct {
	Number    int             `cbor:"number"`
	Completed bool            `cbor:"over,omitempty"`
	Groups    []GroupProgress `cbor:"groups,omitempty"`
}

// GroupProgress is the durable state of tasks that start together: a gang, or
// one task of a step that is not a gang.
type GroupProgress struct {
	Done       bool       `cbor:"d,omitempty"`
	Run        RunNumber  `cbor:"r,omitempty"`
	Failures   int        `cbor:"f,omitempty"`
	Checkpoint Checkpoint `cbor:"c,omitempty"`
	// Placements holds the worker of each member while a run is in progress.
	Placements []Placement `cbor:"p,omitempty"`
}

// Placement is the worker to which a member of a group was ordered.
type Placement struct {
	Index       int         `cbor:"i"`
	Worker      id.Worker   `cbor:"w"`
	Incarnation Incarnation `cbor:"b,omitempty"`
}
