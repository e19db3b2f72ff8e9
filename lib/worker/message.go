// Package worker is the client of the protocol with the workers, which is JSON
// over HTTP. Its commands are reserve, start, renew, checkpoint, throttle, stop
// and list. Every command carries the placement shard, its epoch, and the
// attempt of each task.
package worker

import (
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/unit"
)

// Kind is the kind of a command. It is the last segment of the HTTP path.
type Kind string

// The kinds of commands. List addresses no tasks. Like every command it passes
// the epoch to the worker, which from then on rejects commands of earlier owners.
const (
	Reserve    Kind = "reserve"
	Start      Kind = "start"
	Renew      Kind = "renew"
	Checkpoint Kind = "checkpoint"
	Throttle   Kind = "throttle"
	Stop       Kind = "stop"
	List       Kind = "list"
)

// Creates reports whether a command of kind k creates work on the worker.
func (k Kind) Creates() bool { return k == Reserve || k == Start }

// Ref identifies a task on a worker.
type Ref struct {
	Job     id.Job `json:"job"`
	Attempt int    `json:"attempt"`
}

// Task is one task of a command.
type Task struct {
	Ref
	Resources unit.Resources `json:"resources,omitzero"`
	Program   string         `json:"program,omitempty"`
	// LeaseExpiry is the expiry of the lease that the command grants, on the
	// owner's clock.
	LeaseExpiry time.Time `json:"-"`
	// WorkerLeaseExpiry is LeaseExpiry on the worker's clock. The client sets it.
	// Because it is a point in time and not a duration, a command that arrives
	// late does not extend the lease.
	WorkerLeaseExpiry time.Duration `json:"lease,omitempty"`
}

// Command is a request to a worker.
type Command struct {
	Kind  Kind     `json:"-"`
	Shard id.Shard `json:"shard"`
	Epoch id.Epoch `json:"epoch"`
	// Boot identifies the run of the worker process whose clock the lease
	// expiries refer to. A worker that has restarted since rejects the command.
	Boot  uint64 `json:"boot,omitempty"`
	Tasks []Task `json:"tasks,omitempty"`
}

// State is the state of a task on a worker.
type State string

// The states of a task. Rejected and Absent occur only in responses.
const (
	Reserved State = "reserved"
	Running  State = "running"
	Done     State = "done"
	Failed   State = "failed"
	Stopped  State = "stopped"
	Rejected State = "refused"
	Absent   State = "absent"
)

// Report is the state of one task, as the worker reports it.
type Report struct {
	Ref
	State State `json:"state"`
	// LeaseRemaining is the time until the lease expires.
	LeaseRemaining time.Duration `json:"left,omitempty"`
	// Used is the resource usage that the worker measured last. It may be out of
	// date.
	Used unit.Resources `json:"used,omitzero"`
	// Checkpointed is set once the requested checkpoint is written.
	Checkpointed bool   `json:"saved,omitempty"`
	Reason       string `json:"reason,omitempty"`
}

// Response is the response to a command. It reports each task that the command
// addressed; the responses to Renew and List report all tasks of the shard.
type Response struct {
	Boot uint64 `json:"boot"` // see Command.Boot
	// Clock is the time since the worker started, on its own clock.
	Clock time.Duration `json:"clock"`
	Tasks []Report      `json:"tasks,omitempty"`
}
