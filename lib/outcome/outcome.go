// Package outcome decides what a caller is told about its request, from what
// happened to each attempt. It reports NotRun only when it is certain that no
// backend server ran the request, whatever arrives later.
package outcome

// Outcome is what became of a request.
type Outcome string

// The outcomes of a request.
const (
	// Done means that a backend server ran the request and its whole answer is
	// known.
	Done Outcome = "done"
	// NotRun means that certainly no backend server ran the request.
	NotRun Outcome = "notRun"
	// Unknown means that a backend server may have run the request.
	Unknown Outcome = "unknown"
)

// Parse returns the outcome with a name, and whether there is one.
func Parse(name string) (Outcome, bool) {
	switch o := Outcome(name); o {
	case Done, NotRun, Unknown:
		return o, true
	}
	return "", false
}

// Attempt numbers the attempts of one request, from 1.
type Attempt uint32

// MaxAttempts bounds the attempts of one request. The retry budget is spent
// long before; the bound keeps a tracker at a fixed size.
const MaxAttempts = 8

type attemptState uint8

const (
	started   attemptState = iota // started, nothing is known to be sent
	sent                          // a byte may have reached the backend server
	notRun                        // certain: the backend server did not run it
	lost                          // ended without an answer after it may have been sent
	completed                     // a whole answer was accepted
)

// Tracker follows the attempts of one request. Its zero value has no attempt.
// It is used by one goroutine at a time.
type Tracker struct {
	attempts [MaxAttempts]attemptState
	count    Attempt
}

// New returns a tracker without attempts.
func New() *Tracker { return new(Tracker) }

// Start begins the next attempt. It returns false when MaxAttempts have been
// started or when an attempt is answered already.
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
// After Refused it withdraws the certainty.
func (t *Tracker) Sent(a Attempt) {
	switch s := t.attempt(a); {
	case s == nil:
	case *s == started:
		*s = sent
	case *s == notRun:
		*s = lost
	}
}

// Refused records that the attempt certainly did not run: nothing was sent,
// or the backend server said so. It changes nothing once the attempt is lost,
// because the refusal may then belong to something else.
func (t *Tracker) Refused(a Attempt) {
	if s := t.attempt(a); s != nil && (*s == started || *s == sent) {
		*s = notRun
	}
}

// Failed records that the attempt ended without a whole answer. The attempt
// did not run when nothing was sent, and is lost otherwise.
func (t *Tracker) Failed(a Attempt) {
	switch s := t.attempt(a); {
	case s == nil:
	case *s == started:
		*s = notRun
	case *s == sent:
		*s = lost
	}
}

// Completed records that the whole answer was accepted. It returns false for a
// late answer, whose attempt has ended, and for a second answer; neither may
// be used.
func (t *Tracker) Completed(a Attempt) bool {
	s := t.attempt(a)
	if s == nil || (*s != started && *s != sent) || t.Outcome() == Done {
		return false
	}
	*s = completed
	return true
}

// Outcome returns what the caller may be told now. An attempt that is still
// open could be sent later, so it counts as unknown.
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

// MayRetry reports whether another attempt keeps the promise made to the
// caller: a request that is not idempotent is attempted again only when
// certainly no earlier attempt ran.
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
