package gang

import (
	"time"

	"bronzewinch.dev/lib/id"
)

// EventKind is the kind of an Event.
type EventKind string

// The events of a gang. Those in the second group concern one member.
const (
	Begin         EventKind = "plan" // starts the protocol
	CommitDurable EventKind = "durable"
	CommitFailed  EventKind = "notDurable"
	Cancel        EventKind = "cancel"
	Preempt       EventKind = "preempt"
	Tick          EventKind = "tick" // every RenewInterval; checks the deadlines

	MemberReserved     EventKind = "reserved"
	MemberRejected     EventKind = "refused"
	MemberRunning      EventKind = "running" // also acknowledges a start
	MemberCheckpointed EventKind = "checkpointed"
	MemberDone         EventKind = "done"
	MemberFailed       EventKind = "failed"
	// MemberAbsent is the worker's answer that it doesn't have the task.
	MemberAbsent EventKind = "absent"
	// MemberStopped is the acknowledgement of a stop. The worker rejects later
	// commands for the attempt.
	MemberStopped EventKind = "stopped"
	// MemberOveruse is a report that the member uses more than the job declared.
	MemberOveruse EventKind = "overuse"
	// MemberLost means that the worker didn't answer within the time limit.
	MemberLost EventKind = "lost"
)

// Event is an input of the state machine.
type Event struct {
	Kind   EventKind
	At     time.Time
	Worker id.Worker
	// Sent is when the call was sent that the event answers. The answer
	// describes the member's state at Sent or later.
	Sent   time.Time
	Reason string
}

// CommandKind is the kind of a Command.
type CommandKind string

// The commands of a gang. Commit goes to the journal. Fence and Free concern
// the owner's own state. All others go to a worker.
const (
	Reserve    CommandKind = "reserve"
	Commit     CommandKind = "commit"
	Start      CommandKind = "start"
	Renew      CommandKind = "renew"
	Checkpoint CommandKind = "checkpoint"
	Throttle   CommandKind = "throttle"
	// Release cancels a reservation of a gang that was never started.
	Release CommandKind = "release"
	Stop    CommandKind = "stop"
	// Fence excludes the worker from placement until the Free for the member.
	Fence CommandKind = "fence"
	// Free releases the member's resources in the owner's state. By then, the
	// worker has acknowledged the stop or the member's lease has expired.
	Free CommandKind = "free"
)

// Command is an output of the state machine.
type Command struct {
	Kind   CommandKind
	Worker id.Worker
	// Until is the end of the lease that the command grants, by the owner's
	// clock. It doesn't depend on when the command arrives.
	Until time.Time
}
