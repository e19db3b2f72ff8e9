// Package worker speaks to workers over HTTP and JSON: reserve, start, renew,
// checkpoint, throttle, stop and list. Every command carries the placement
// shard, its epoch, and the attempt of each task.
package worker

import (
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/unit"
)

// Kind tells commands apart. It is the last part of the HTTP path.
type Kind string

// The commands. List addresses no tasks; it makes the epoch known to the
// worker, so that commands of earlier owners are refused from then on.
const (
	Reserve    Kind = "reserve"
	Start      Kind = "start"
	Renew      Kind = "renew"
	Checkpoint Kind = "checkpoint"
	Throttle   Kind = "throttle"
	Stop       Kind = "stop"
	List       Kind = "list"
)

// Creates reports whether a command of kind k makes work that was not there.
func (k Kind) Creates() bool { return k == Reserve || k == Start }

// Ref names a task on a worker.
type Ref struct {
	Job     id.Job `json:"job"`
	Attempt int    `json:"attempt"`
}

// Task is a task as a command addresses it.
type Task struct {
	Ref
	Resources unit.Resources `json:"resources,omitzero"`
	Program   string         `json:"program,omitempty"`
	// LeaseExpiry ends the lease that the command grants, by the owner's clock.
	LeaseExpiry time.Time `json:"-"`
	// WorkerLeaseExpiry is LeaseExpiry by the worker's clock. The client sets it, so that a
	// command that arrives late grants no longer a lease.
	WorkerLeaseExpiry time.Duration `json:"lease,omitempty"`
}

// Command is one call to a worker.
type Command struct {
	Kind  Kind     `json:"-"`
	Shard id.Shard `json:"shard"`
	Epoch id.Epoch `json:"epoch"`
	// Boot names the start of the worker whose clock the leases count in. A
	// worker that started again since refuses the command.
	Boot  uint64 `json:"boot,omitempty"`
	Tasks []Task `json:"tasks,omitempty"`
}

// State is the state of a task on a worker.
type State string

// The states of a task. Refused and Absent are answers only.
const (
	Reserved State = "reserved"
	Running  State = "running"
	Done     State = "done"
	Failed   State = "failed"
	Stopped  State = "stopped"
	Rejected State = "refused"
	Absent   State = "absent"
)

// Report says how a task stands.
type Report struct {
	Ref
	State State `json:"state"`
	// LeaseRemaining is the rest of the lease.
	LeaseRemaining time.Duration `json:"left,omitempty"`
	// Used is the use that the worker measured last. It lags.
	Used unit.Resources `json:"used,omitzero"`
	// Checkpointed is set once the checkpoint that was asked for is written.
	Checkpointed bool   `json:"saved,omitempty"`
	Reason       string `json:"reason,omitempty"`
}

// Response is the answer to a command. It reports each task that the command
// addressed; the answers to Renew and List report all tasks of the shard.
type Response struct {
	Boot uint64 `json:"boot"`
	// Clock is the time since the worker started, by its own clock.
	Clock time.Duration `json:"clock"`
	Tasks []Report      `json:"tasks,omitempty"`
}
