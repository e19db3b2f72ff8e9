package ownership

import "time"

// Defaults of a node's lease. The keys of a failed owner are deleted within
// DefaultTTL of its last renewal. Of the 3 s within which a takeover has to be
// complete, this leaves 1.2 s for the takeover itself. Eight nodes make 13.3
// renewals per second, of the 20 writes per second that the system may make.
const (
	DefaultTTL           = 1800 * time.Millisecond
	DefaultRenewInterval = 600 * time.Millisecond
	// DefaultMargin allows for clocks that run at slightly different rates.
	DefaultMargin = 100 * time.Millisecond
)

// LeaseState is the state of a lease as far as its node can know it.
type LeaseState int

const (
	// Ended means that the lease has expired or was revoked and there is no sign
	// of an outage of the store, so that another node may be the owner.
	Ended LeaseState = iota
	// StoreUnreachable means that the lease has expired and the store does not
	// answer. Another node can be the owner only if it can reach the store.
	StoreUnreachable
	// Valid means that the lease is certainly in force.
	Valid
)

// Lease tracks the validity of one lease of this node from the times at which the
// node sent its calls. Once a call has found it expired, it never becomes valid
// again.
type Lease struct {
	ttl, margin time.Duration
	validUntil  time.Time
	lastFailure time.Time // of the last renewal without an answer
	expired     bool
	ended       bool
}

// NewLease returns a lease that was granted by a call sent at a time. Its TTL counts
// from then, because the store granted it no earlier.
func NewLease(ttl, margin time.Duration, sent time.Time) *Lease {
	return &Lease{ttl: ttl, margin: margin, validUntil: sent.Add(ttl - margin)}
}

// Renewed records that a renewal sent at a time has succeeded. It returns false if
// the lease had already expired for this node.
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

// End records that the lease was revoked, or that the store does not have it.
func (l *Lease) End() { l.ended = true }

// State returns the state at a time. A failed renewal counts as a sign of an outage
// for one TTL only, so that a process that was paused does not mistake an earlier
// outage for a current one.
func (l *Lease) State(now time.Time) LeaseState {
	l.expired = l.expired || !now.Before(l.validUntil)
	switch {
	case l.ended:
		return Ended
	case !l.expired:
		return Valid
	case !l.lastFailure.IsZero() && now.Sub(l.lastFailure) < l.ttl:
		return StoreUnreachable
	}
	return Ended
}
