package caller

import (
	"errors"
	"time"

	"bronzewinch.dev/lib/outcome"
	"bronzewinch.dev/lib/problem"
)

// Failure is an error with the outcome that is reported to the caller.
type Failure struct {
	Outcome outcome.Outcome
	// RetryAfter is the time after which the caller may retry, or zero.
	RetryAfter time.Duration
	cause      error
}

// Error returns the message of the cause.
func (f *Failure) Error() string { return f.cause.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.cause }

func failed(o outcome.Outcome, retryAfter time.Duration, cause error) error {
	return &Failure{Outcome: o, RetryAfter: retryAfter, cause: cause}
}

// notRun returns the failure of a stage before the request is forwarded.
func notRun(kind problem.Kind, d problem.Detail) error {
	return failed(outcome.NotRun, 0, problem.New(kind, d))
}

// FailureOf returns the Failure that err wraps. For any other error the outcome is
// unknown, because the request may have run.
func FailureOf(err error) *Failure {
	var f *Failure
	if errors.As(err, &f) {
		return f
	}
	return &Failure{Outcome: outcome.Unknown, cause: err}
}
