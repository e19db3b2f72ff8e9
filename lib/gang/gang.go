// Package gang is the protocol that starts and stops all members of a gang
// together, as a state machine: events in, commands out. It performs no calls
// and reads no clock; each event carries the time.
//
// A gang is reserved on all members, committed in the journal, started on all
// members, and renewed while every member is known to run. When any member
// ends for another reason than success, all are stopped.
package gang

import (
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/ownership"
)

// Times of the protocol.
const (
	// LeaseDuration is how long a reservation or a task lasts on a worker without
	// renewal.
	LeaseDuration = 10 * time.Second
	// RenewInterval is the time between renewals.
	RenewInterval = time.Second
	// MaxPartialRun is the longest time that a gang runs with only some of its
	// members. No lease is renewed past the oldest proof that a member runs
	// plus MaxPartialRun.
	MaxPartialRun = LeaseDuration + RenewInterval
	// ReserveTimeout and StartTimeout bound the steps. They are the same as the time
	// after which a silent worker counts as lost.
	ReserveTimeout = 3 * time.Second
	StartTimeout   = 3 * time.Second
	// StopTimeout is how long a member may take to obey a stop before its worker
	// is fenced.
	StopTimeout = time.Second
	// MaxOveruseReports is how many reports in a row may show more use than declared
	// after the throttle, which allows for reports that lag.
	MaxOveruseReports = 8
	// BrokenCheckpointGrace bounds the checkpoint of a broken gang, so that it ends well
	// before the leases do.
	BrokenCheckpointGrace = 3 * time.Second
	// MaxClockDrift is added to a lease before it counts as certainly over. It covers
	// clocks that differ in rate by up to 1% over one lease.
	MaxClockDrift = 100 * time.Millisecond
	// TakeoverSlack is added to the leases of a gang taken over from an earlier
	// owner: the time by which that owner's own lease may have outlasted its
	// last contact with the store.
	TakeoverSlack = ownership.DefaultTTL
)

// Phase is where a gang stands.
type Phase int

// The phases of a gang, in order.
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

// Outcome says why a gang ended.
type Outcome string

// The outcomes of a gang. Only Succeeded, TaskFailed and Cancelled say
// something about the job itself; after the others it can be placed again.
const (
	Succeeded    Outcome = "succeeded"
	TaskFailed   Outcome = "taskFailed"
	Cancelled    Outcome = "cancelled"
	Preempted    Outcome = "preempted"
	Broken       Outcome = "broken"       // a member was lost after the commit
	Refused      Outcome = "refused"      // a reservation was not to be had
	NotCommitted Outcome = "notCommitted" // the journal did not take the commit
)

// Config describes one attempt to run a job.
type Config struct {
	Job           id.Job
	Attempt       int
	Members       []job.Member
	CanCheckpoint bool
	// Grace is the time for a checkpoint before a stop.
	CheckpointGrace time.Duration
}

// Gang is the state of one attempt. It is not safe for concurrent use.
type Gang struct {
	cfg     Config
	members []member
	phase   Phase
	outcome Outcome
	reason  string
	// deadline ends the present phase when it has one.
	deadline time.Time
	// leaseEnd ends the leases of the present step. Repeats keep it.
	leaseEnd time.Time
	// abortPending is set while a commit is in progress whose gang must not start.
	abortPending bool
	committed    bool // the commit is durable
	started      bool // a start command was given
	startedAt    time.Time
	broken       bool // some member is known not to run; nothing is renewed
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
	// leaseEnd is when the worker has certainly ended what it holds, by the
	// owner's clock.
	leaseEnd time.Time
	// lastConfirmed is the latest time at which the member is known to have run
	// with all others. The answer to a start proves no time after the gang's
	// first start: other members may have run alone since then.
	lastConfirmed time.Time
	// checkpointed is set when there is nothing more to save.
	checkpointed   bool
	fenced         bool
	overuseReports int // reports in a row of more use than declared
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

// Phase returns where the gang stands.
func (g *Gang) Phase() Phase { return g.phase }

// Outcome returns why the gang ended or is ending, and a reason for people.
// The outcome is empty while the gang is to go on.
func (g *Gang) Outcome() (Outcome, string) { return g.outcome, g.reason }

// Started reports whether a start command was ever given, so that some member
// may have run.
func (g *Gang) Started() bool { return g.started }

// Step takes one event and returns the commands that follow from it. Events
// may come late, twice or in any order. After the end there are no commands.
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

// command returns a command for a member and records the lease it grants.
func (g *Gang) command(kind CommandKind, m *member, until time.Time) Command {
	if until.After(m.leaseEnd) {
		m.leaseEnd = until
	}
	return Command{Kind: kind, Worker: m.worker, Until: until}
}
