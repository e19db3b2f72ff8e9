package owner

import (
	"sync/atomic"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/journal"
	"bronzewinch.dev/lib/ownership"
	"bronzewinch.dev/lib/problem"
)

// Lease provides the state of the lease that a term depends on, at the time of the
// call by the monotonic clock.
type Lease interface{ State() ownership.LeaseState }

// Term is one period in which a node owns a shard. Its epoch is higher than that of
// all earlier terms of the shard.
type Term struct {
	shard   id.Shard
	lease   Lease
	journal *journal.Writer
	ended   atomic.Bool
}

// NewTerm returns a term of a shard whose journal was taken over by writer.
func NewTerm(shard id.Shard, lease Lease, writer *journal.Writer) *Term {
	return &Term{shard: shard, lease: lease, journal: writer}
}

// Shard returns the shard.
func (t *Term) Shard() id.Shard { return t.shard }

// Epoch returns the fencing number of this term.
func (t *Term) Epoch() id.Epoch { return t.journal.Epoch() }

// Journal returns the writer of the shard's journal. It rejects appends once Check
// returns an error.
func (t *Term) Journal() *journal.Writer { return t.journal }

// Check returns nil while the lease is certainly valid. Call it immediately before
// each command that creates work. It returns a Fenced error once the lease has
// expired, also if the process was paused meanwhile, and never returns nil again.
// The remedy of the error distinguishes an owner that can't reach the store, for
// which CheckContinue returns nil, from one that another node may have replaced.
func (t *Term) Check() error {
	switch {
	case t.ended.Load():
		return t.fenced("send the request to the shard's current owner; this node has closed the shard")
	case t.state() == ownership.Valid:
		return nil
	case t.state() == ownership.StoreUnreachable:
		return t.fenced("retry when the key-value service is reachable; until then only running work continues")
	}
	return t.fenced("send the request to the shard's current owner; the lease has expired")
}

// CheckContinue returns nil while the lease is certainly valid, and also if it has
// expired while this node can't reach the store. In that time the node may still
// send commands under this epoch that stop work or keep existing work running. If
// another node reaches the store and takes over, the workers reject these commands
// by their epoch.
func (t *Term) CheckContinue() error {
	if t.ended.Load() || t.state() == ownership.Ended {
		return t.fenced("send the request to the shard's current owner; the lease has expired")
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
