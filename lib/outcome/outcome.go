// Package outcome derives the outcome of a request, as reported to its caller,
// from the events of its attempts. It reports NotRun only when it is certain
// that no backend server ran the request, and no later event can change that.
package outcome

// Outcome is the outcome of a request.
type Outcome string

// The outcomes of a request.
const (
	// Done means that a backend server ran the request and its complete
	// response arrived.
	Done Outcome = "done"
	// NotRun means that it is certain that no backend server ran the request.
	NotRun Outcome = "notRun"
	// Unknown means that a backend server may have run the request.
	Unknown Outcome = "unknown"
)

// Parse returns the outcome with the given name, and false if there is none.
func Parse(name string) (Outcome, bool) {
	switch o := Outcome(name); o {
	case Done, NotRun, Unknown:
		return o, true
	}
	return "", false
}

// Attempt is the number of an attempt of one request, from 1.
type Attempt uint32

// MaxAttempts bounds the attempts of one request, so that a tracker has a fixed
// size. The retry budget is used up long before.
const MaxAttempts = 8

type attemptState uint8

const (
	started   attemptState = iota // nothing is known to have been sent
	sent                          // a byte may have reached the backend server
	notRun                        // the backend server certainly did not run it
	lost                          // ended without a complete response, and may have been sent
	completed                     // a complete response was accepted
)

// Tracker records the events of the attempts of one request. The zero value has
// no attempts. A Tracker must not be used concurrently.
type Tracker struct {
	attempts [MaxAttempts]attemptState
	count    Attempt
}

// New returns a tracker without attempts.
func New() *Tracker { return new(Tracker) }

// Start begins the next attempt. It returns false if MaxAttempts were started
// or if an attempt is completed.
func (t *Tracker) Start() (Attempt, bool) {
	if t.count == MaxAttempts || t.Outcome() == Done {
		return 0, false
	}
	t.count++
	return t.count, true
}

// Attempts returns the number of attempts that were started.
func (t *Tracker) Attempts() Attempt { return t.count }

// Sent records that a byte of the attempt may have reached the backend server.
// After Refused, it makes the outcome of the attempt uncertain again.
func (t *Tracker) Sent(a Attempt) {
	switch s := t.attempt(a); {
	case s == nil:
	case *s == started:
		*s = sent
	case *s == notRun:
		*s = lost
	}
}

// Refused records that the attempt certainly did not run: nothing was sent, or
// the backend server rejected it. It has no effect on a lost attempt, because
// the rejection may belong to something else.
func (t *Tracker) Refused(a Attempt) {
	if s := t.attempt(a); s != nil && (*s == started || *s == sent) {
		*s = notRun
	}
}

// Failed records that the attempt ended without a complete response. If nothing
// was sent, the attempt did not run; otherwise it is lost.
func (t *Tracker) Failed(a Attempt) {
	switch s := t.attempt(a); {
	case s == nil:
	case *s == started:
		*s = notRun
	case *s == sent:
		*s = lost
	}
}

// Completed records that the complete response to the attempt arrived, and
// reports whether the response may be used. It returns false for a late
// response to an attempt that has ended, and if another attempt is completed.
func (t *Tracker) Completed(a Attempt) bool {
	s := t.attempt(a)
	if s == nil || (*s != started && *s != sent) || t.Outcome() == Done {
		return false
	}
	*s = completed
	return true
}

// Outcome returns the outcome so far. An attempt that has not ended may still
// be sent, so it counts as unknown.
func (t *Tracker) Outcome() Outcome {
	result := NotRun
	for _, s := range t.attempts[:t.count] {
		switch s {
		case completed:
			return Done
		case started, sent, lost:
			result = Unknown
		}
	}
	return result
}

// MayRetry reports whether another attempt is allowed. A request that is not
// idempotent is retried only when it is certain that no earlier attempt ran.
func (t *Tracker) MayRetry(idempotent bool) bool {
	switch t.Outcome() {
	case NotRun:
		return t.count < MaxAttempts
	case Unknown:
		return idempotent && t.count < MaxAttempts
	}
	return false
}

func (t *Tracker) attempt(a Attempt) *attemptState {
	if a < 1 || a > t.count {
		return nil
	}
	return &t.attempts[a-1]
}
