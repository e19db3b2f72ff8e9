package ownership

import "time"

const (
	// claimDelayStep is the delay between the claims of successive nodes in the
	// order of succession. It is several times the duration of a claim, and small
	// compared to the 3 s within which a takeover has to be complete.
	claimDelayStep = 120 * time.Millisecond
	// maxClaimDelay bounds the delay of the last node in the succession.
	maxClaimDelay = time.Second
	// handoverDelay is how long another node must have been the preferred owner
	// before a shard is handed over to it, so that a flapping node gets no shards.
	handoverDelay = 2 * time.Second
	// handoverInterval is the shortest time between two handovers of one shard. It
	// limits the number of handovers when two nodes disagree about the members.
	handoverInterval = 30 * time.Second
)

// Action is what a node does with a shard.
type Action int

// The actions.
const (
	// NoAction leaves the shard as it is.
	NoAction Action = iota
	// Claim writes the shard's key and opens the shard.
	Claim
	// Drop closes a shard that the node no longer owns.
	Drop
	// Handover closes a shard and deletes its key, so that its preferred owner can
	// claim it.
	Handover
)

// View is what a node knows about one shard.
type View struct {
	// Open is whether the node has the shard open.
	Open bool
	// Owned is whether, as far as the node knows, it still has the key and the
	// lease of an open shard. An expired lease counts while the store is
	// unreachable.
	Owned bool
	// Free is whether the shard has no key in the store, and FreeSince is when the
	// node received that information.
	Free      bool
	FreeSince time.Time
	// Rank is the node's rank in the succession, as returned by the function Rank.
	Rank int
	// Candidate is whether the node is a member that may own shards.
	Candidate bool
	// OtherPreferredSince is when another live node became the preferred owner, or
	// when the shard was opened if that was later: a preferred node that has
	// failed may still be among the members.
	OtherPreferredSince time.Time
	// HandedOverAt is when the node last handed the shard over.
	HandedOverAt time.Time
	// RetryAt is the earliest time of the next claim after a failure.
	RetryAt time.Time
	// Jitter is a random number between 0 and 1, drawn anew for each shard and
	// change of its key.
	Jitter float64
}

// Next returns the action to take at a time. If none is due, it returns NoAction and
// the time at which one becomes due, or zero if only a change of the view can make
// one due.
func Next(v View, now time.Time) (Action, time.Time) {
	switch {
	case v.Open && !v.Owned:
		return Drop, time.Time{}
	case v.Open && v.Rank > 0:
		return actionAt(Handover, later(jitter(v.OtherPreferredSince, handoverDelay, v.Jitter), v.HandedOverAt.Add(handoverInterval)), now)
	case !v.Open && v.Free && v.Candidate:
		wait := min(time.Duration(v.Rank)*claimDelayStep, maxClaimDelay)
		return actionAt(Claim, later(jitter(v.FreeSince.Add(wait), claimDelayStep/2, v.Jitter), v.RetryAt), now)
	}
	return NoAction, time.Time{}
}

func actionAt(action Action, at, now time.Time) (Action, time.Time) {
	if now.Before(at) {
		return NoAction, at
	}
	return action, time.Time{}
}

// jitter returns a time between d/2 and d after t.
func jitter(t time.Time, d time.Duration, random float64) time.Time {
	return t.Add(d/2 + time.Duration(random*float64(d/2)))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
