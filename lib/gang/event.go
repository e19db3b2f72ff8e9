package gang

import (
	"time"

	"bronzewinch.dev/lib/id"
)

// EventKind tells events apart.
type EventKind string

// The events of a gang. Those in the second group are about one member.
const (
	Begin         EventKind = "plan" // begin
	CommitDurable EventKind = "durable"
	CommitFailed  EventKind = "notDurable"
	Cancel        EventKind = "cancel"
	Preempt       EventKind = "preempt"
	Tick          EventKind = "tick" // once in RenewInterval; checks the deadlines

	MemberReserved     EventKind = "reserved"
	MemberRefused      EventKind = "refused"
	MemberRunning      EventKind = "running" // also acknowledges a start
	MemberCheckpointed EventKind = "checkpointed"
	MemberDone         EventKind = "done"
	MemberFailed       EventKind = "failed"
	// MemberAbsent is an answer of the worker that it does not have the task.
	MemberAbsent EventKind = "absent"
	// MemberStopped is the acknowledgement of a stop. The worker accepts no
	// later command for the attempt.
	MemberStopped EventKind = "stopped"
	// MemberOveruse is a report of more use than the job declared.
	MemberOveruse EventKind = "overuse"
	// MemberLost is a worker that is silent for too long.
	MemberLost EventKind = "lost"
)

// Event is something that happened to a gang.
type Event struct {
	Kind   EventKind
	At     time.Time
	Worker id.Worker
	// Sent is when the call was sent whose answer the event is. What the
	// answer reports was true at Sent or later.
	Sent   time.Time
	Reason string
}

// CommandKind tells commands apart.
type CommandKind string

// The commands of a gang. Commit is for the journal and Fence and Free for the
// owner's own state; the others are for a worker.
const (
	Reserve    CommandKind = "reserve"
	Commit     CommandKind = "commit"
	Start      CommandKind = "start"
	Renew      CommandKind = "renew"
	Checkpoint CommandKind = "checkpoint"
	Throttle   CommandKind = "throttle"
	// Release gives a reservation back before any start.
	Release CommandKind = "release"
	Stop    CommandKind = "stop"
	// Fence keeps the worker out of placement until the Free of the member.
	Fence CommandKind = "fence"
	// Free says that the member certainly holds nothing on its worker.
	Free CommandKind = "free"
)

// Command is something to do for a gang.
type Command struct {
	Kind   CommandKind
	Worker id.Worker
	// Until is when the lease that the command grants ends, by the owner's
	// clock, however late the command arrives.
	Until time.Time
}
