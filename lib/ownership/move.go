package ownership

import "time"

const (
	// claimDelayStep is the head start of each node in the succession. It is several
	// times a claim's duration, and small against the bound of 3 s.
	claimDelayStep = 120 * time.Millisecond
	// maxClaimDelay bounds the wait of the last in the succession.
	maxClaimDelay = time.Second
	// handOverDelay is how long another node must have been the preferred owner
	// before a shard is returned to it, so that a flapping node gets nothing.
	handOverDelay = 2 * time.Second
	// handOverInterval is the time between two returns of one shard. It bounds the
	// moves when two nodes disagree about the members.
	handOverInterval = 30 * time.Second
)

// Action is what a node does about a shard.
type Action int

// The moves.
const (
	// NoAction changes nothing.
	NoAction Action = iota
	// Claim writes the shard's key and opens the shard.
	Claim
	// Drop closes a shard that the node no longer owns.
	Drop
	// HandOver closes a shard in good order for its preferred owner.
	HandOver
)

// View is what a node knows of one shard.
type View struct {
	// Open is whether the node has the shard open.
	Open bool
	// Owned is whether the key and the lease of an open shard are still the
	// node's own, as far as it knows. A lease past its end counts as owned
	// while the store is unreachable.
	Owned bool
	// Free is whether the shard has no key in the store, and FreeSince is when
	// the node learned it.
	Free      bool
	FreeSince time.Time
	// Rank is the node's place in the succession.
	Rank int
	// Candidate is whether the node is a member that may own shards.
	Candidate bool
	// OtherPreferredSince is when another live node became the preferred owner, or when
	// the shard was opened if that was later: the node that is preferred may
	// have failed and still be listed.
	OtherPreferredSince time.Time
	// HandedOverAt is when the node last returned the shard.
	HandedOverAt time.Time
	// RetryAt is the earliest time of the next claim after a failure.
	RetryAt time.Time
	// Jitter is a random number between 0 and 1, drawn anew for each shard and
	// change of its key.
	Jitter float64
}

// Next returns the move to make at a time, or Stay and the time of the next
// decision, zero when only a change of the view matters.
func Next(v View, now time.Time) (Action, time.Time) {
	switch {
	case v.Open && !v.Owned:
		return Drop, time.Time{}
	case v.Open && v.Rank > 0:
		return actionAt(HandOver, later(jitter(v.OtherPreferredSince, handOverDelay, v.Jitter), v.HandedOverAt.Add(handOverInterval)), now)
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

// jitter returns a time up to d after t, and at least half of d.
func jitter(t time.Time, d time.Duration, random float64) time.Time {
	return t.Add(d/2 + time.Duration(random*float64(d/2)))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
