// Package gang implements the protocol that starts and stops all members of a
// gang together. It is a state machine that takes events and returns commands.
// It performs no I/O and reads no clock; each event carries the time.
//
// A gang is reserved on all members, committed in the journal, and started on
// all members. Its leases are renewed while every member is known to run. When
// a member ends without success, all members are stopped.
package gang

import (
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/ownership"
)

// Durations and limits of the protocol.
const (
	// LeaseDuration is how long a reservation or a task lasts on a worker without
	// renewal.
	LeaseDuration = 10 * time.Second
	// RenewInterval is the time between lease renewals.
	RenewInterval = time.Second
	// MaxPartialRun is the longest time that a gang runs with only some of its
	// members. No lease is renewed beyond MaxPartialRun after the oldest of the
	// members' last confirmations.
	MaxPartialRun = LeaseDuration + RenewInterval
	// ReserveTimeout and StartTimeout bound the phases Reserving and Starting.
	// They equal the time after which a worker that doesn't answer is considered
	// lost.
	ReserveTimeout = 3 * time.Second
	StartTimeout   = 3 * time.Second
	// StopTimeout is how long a member may take to acknowledge a stop before its
	// worker is fenced.
	StopTimeout = time.Second
	// MaxOveruseReports is how many reports of a member may show overuse before
	// the gang is ended. The first one throttles the member; the others allow for
	// reports that lag behind the throttle.
	MaxOveruseReports = 8
	// BrokenCheckpointGrace bounds the checkpoint of a broken gang, so that it
	// ends well before the leases expire.
	BrokenCheckpointGrace = 3 * time.Second
	// MaxClockDrift is added to a lease before it is considered expired. It covers
	// clocks that differ in rate by up to 1% over one lease.
	MaxClockDrift = 100 * time.Millisecond
	// TakeoverSlack is added to the leases of a gang taken over from an earlier
	// owner. That owner may have renewed them until its own lease expired, which
	// is up to this long after its last contact with the store.
	TakeoverSlack = ownership.DefaultTTL
)

// Phase is a state of the protocol.
type Phase int

// The phases of a gang, in order. A gang never returns to an earlier phase.
const (
	Planned Phase = iota
	Reserving
	Committing
	Starting
	Running
	Checkpointing
	Stopping
	Ended
)

// Outcome is the reason why a gang ended.
type Outcome string

// The outcomes of a gang. Only Succeeded, TaskFailed and Cancelled are results
// of the job itself; after the others the job can be placed again.
const (
	Succeeded    Outcome = "succeeded"
	TaskFailed   Outcome = "taskFailed"
	Cancelled    Outcome = "cancelled"
	Preempted    Outcome = "preempted"
	Broken       Outcome = "broken"       // a member was lost after the commit
	NotReserved  Outcome = "refused"      // a worker didn't make the reservation
	NotCommitted Outcome = "notCommitted" // the journal failed to store the commit
)

// Config describes one attempt to run a job.
type Config struct {
	Job           id.Job
	Attempt       int
	Members       []job.Member
	CanCheckpoint bool
	// CheckpointGrace is the time for a checkpoint before the gang is stopped.
	CheckpointGrace time.Duration
}

// Gang is the state of one attempt. It is not safe for concurrent use.
type Gang struct {
	cfg     Config
	members []member
	phase   Phase
	outcome Outcome
	reason  string
	// deadline is the time limit of the present phase, if the phase has one.
	deadline time.Time
	// leaseEnd is the end of the leases that the commands of the present phase
	// grant. Commands that are sent again keep it.
	leaseEnd time.Time
	// abortPending is set when the gang must not start although its commit is
	// still in progress.
	abortPending bool
	committed    bool // the commit is durable
	started      bool // a start command was sent
	startedAt    time.Time
	broken       bool // some member is known not to run; leases are not renewed
}

type memberState int

const (
	idle memberState = iota
	reserving
	reserved
	starting
	running
	done
	freed
)

type member struct {
	worker id.Worker
	state  memberState
	// leaseEnd is the latest end of the leases that the worker was granted, by
	// the owner's clock.
	leaseEnd time.Time
	// lastConfirmed is the latest time at which the member is known to have run
	// together with all others. The acknowledgement of a start confirms no time
	// after the gang's first start, since other members may have run alone since
	// then.
	lastConfirmed time.Time
	// checkpointed is set when the member needs no checkpoint any more.
	checkpointed   bool
	fenced         bool
	overuseReports int
}

func (m *member) ended() bool { return m.state == done || m.state == freed }

// New returns a gang in phase Planned.
func New(cfg Config) *Gang {
	g := &Gang{cfg: cfg, members: make([]member, len(cfg.Members))}
	for i, m := range cfg.Members {
		g.members[i].worker = m.Worker
	}
	return g
}

// Phase returns the present phase.
func (g *Gang) Phase() Phase { return g.phase }

// Outcome returns why the gang ended or is ending, and a human-readable reason.
// The outcome is empty until then.
func (g *Gang) Outcome() (Outcome, string) { return g.outcome, g.reason }

// Started reports whether a start command was ever sent, so that some member
// may have run.
func (g *Gang) Started() bool { return g.started }

// Step handles one event and returns the resulting commands. Events may be
// late, duplicated or out of order. In phase Ended, Step returns no commands.
func (g *Gang) Step(e Event) []Command {
	if g.phase == Ended {
		return nil
	}
	switch e.Kind {
	case Begin:
		return g.begin(e)
	case CommitDurable, CommitFailed:
		return g.commitResult(e)
	case Cancel, Preempt:
		return g.cancelOrPreempt(e)
	case Tick:
		return g.tick(e.At)
	}
	m := g.member(e.Worker)
	if m == nil || m.state == freed {
		return nil
	}
	return g.memberEvent(m, e)
}

func (g *Gang) member(w id.Worker) *member {
	for i := range g.members {
		if g.members[i].worker == w {
			return &g.members[i]
		}
	}
	return nil
}

// allMembers reports whether match holds for every member.
func (g *Gang) allMembers(match func(m *member) bool) bool {
	for i := range g.members {
		if !match(&g.members[i]) {
			return false
		}
	}
	return true
}

// commandEach returns one command for each member for which match holds.
func (g *Gang) commandEach(kind CommandKind, until time.Time, match func(m *member) bool) []Command {
	var out []Command
	for i := range g.members {
		if match(&g.members[i]) {
			out = append(out, g.command(kind, &g.members[i], until))
		}
	}
	return out
}

// command returns a command for a member and records the lease that it grants.
func (g *Gang) command(kind CommandKind, m *member, until time.Time) Command {
	if until.After(m.leaseEnd) {
		m.leaseEnd = until
	}
	return Command{Kind: kind, Worker: m.worker, Until: until}
}
