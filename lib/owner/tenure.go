package owner

import (
	"sync/atomic"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/journal"
	"bronzewinch.dev/lib/ownership"
	"bronzewinch.dev/lib/problem"
)

// Lease tells the state of the lease that a tenure depends on, by the
// monotonic clock at the moment of the call.
type Lease interface{ State() ownership.LeaseState }

// Term is one period in which a node owns a shard.
type Term struct {
	shard   id.Shard
	lease   Lease
	journal *journal.Writer
	ended   atomic.Bool
}

// NewTerm returns the tenure of a shard whose journal was taken over.
func NewTerm(shard id.Shard, lease Lease, writer *journal.Writer) *Term {
	return &Term{shard: shard, lease: lease, journal: writer}
}

// Shard returns the shard.
func (t *Term) Shard() id.Shard { return t.shard }

// Epoch returns the fencing number of this tenure.
func (t *Term) Epoch() id.Epoch { return t.journal.Epoch() }

// Journal returns the writer of the shard's journal. It refuses appends once Check
// does.
func (t *Term) Journal() *journal.Writer { return t.journal }

// Check returns nil while the lease certainly holds. Call it just before each
// command that creates work. It returns Fenced once the lease has passed, also
// when the process was paused, and does not return to nil after that. The
// message tells an owner whose store does not answer (CheckContinue then returns
// nil) from one that another node may have replaced.
func (t *Term) Check() error {
	switch {
	case t.ended.Load():
		return t.fenced("send it to the shard's present owner; this node gave the shard up")
	case t.state() == ownership.Valid:
		return nil
	case t.state() == ownership.StoreUnreachable:
		return t.fenced("try again when the key-value service answers; until then only running work continues")
	}
	return t.fenced("send it to the shard's present owner; the lease has passed")
}

// CheckContinue returns nil while the lease certainly holds, and also while it is
// past its end and the store does not answer this node. Commands that only
// stop work, or keep existing work running, may then go on under this epoch.
// If another node reaches the store and takes over, the workers reject them by
// their epoch.
func (t *Term) CheckContinue() error {
	if t.ended.Load() || t.state() == ownership.Ended {
		return t.fenced("send it to the shard's present owner; the lease has passed")
	}
	return nil
}

func (t *Term) state() ownership.LeaseState { return t.lease.State() }

// end makes both checks fail from now on.
func (t *Term) end() { t.ended.Store(true) }

func (t *Term) fenced(remedy string) error {
	return problem.New(problem.Fenced, problem.Detail{
		Field: "owner of shard", Value: string(t.shard), Remedy: remedy})
}
