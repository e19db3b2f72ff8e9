package ownership

import "time"

// Defaults of a node's lease. A failed owner's keys are gone within TTL of its
// last renewal, which leaves 1.2 s of the bound of 3 s for the takeover. Eight
// nodes renew 13.3 times a second, of the 20 writes/s that the system may use.
const (
	DefaultTTL           = 1800 * time.Millisecond
	DefaultRenewInterval = 600 * time.Millisecond
	// DefaultMargin covers clocks that run at slightly different rates.
	DefaultMargin = 100 * time.Millisecond
)

// LeaseState is what a holder can know of its lease.
type LeaseState int

const (
	// Ended means that the lease has passed, and nothing says that the store
	// was out of reach since: another node may be the owner.
	Ended LeaseState = iota
	// StoreUnreachable means that the lease is past its end and the store does not
	// answer. Another node can be the owner only if it reaches the store.
	StoreUnreachable
	// Valid means that the lease certainly holds.
	Valid
)

// Lease tracks one lease of this node from the times of its calls. Once a
// call has seen it past its end, it never becomes valid again.
type Lease struct {
	ttl, margin time.Duration
	validUntil  time.Time
	lastFailure time.Time // of the last call without an answer
	lapsed      bool
	ended       bool
}

// NewLease returns the holder of a lease that was granted by a call sent at a
// time. The lease runs from some moment after that.
func NewLease(ttl, margin time.Duration, sent time.Time) *Lease {
	return &Lease{ttl: ttl, margin: margin, validUntil: sent.Add(ttl - margin)}
}

// Renewed records the success of a renewal sent at a time. It returns false
// when the lease had already passed for this node.
func (l *Lease) Renewed(sent, now time.Time) bool {
	if l.State(now) != Valid {
		l.ended = true
		return false
	}
	l.validUntil = sent.Add(l.ttl - l.margin)
	return l.State(now) == Valid
}

// Failed records that the store did not answer a renewal.
func (l *Lease) Failed(now time.Time) { l.lastFailure = now }

// End records that the lease is given up, or that the store does not have it.
func (l *Lease) End() { l.ended = true }

// State returns the state at a time. A failure counts as a sign of an outage
// for one TTL, so a process that was paused does not take an old one for a
// present one.
func (l *Lease) State(now time.Time) LeaseState {
	l.lapsed = l.lapsed || !now.Before(l.validUntil)
	switch {
	case l.ended:
		return Ended
	case !l.lapsed:
		return Valid
	case !l.lastFailure.IsZero() && now.Sub(l.lastFailure) < l.ttl:
		return StoreUnreachable
	}
	return Ended
}
