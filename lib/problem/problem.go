// Package problem defines the typed errors of the system. An error has a kind, and
// its message names the field, the value, the limit and the remedy.
package problem

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
)

// Kind classifies errors, so that programs can handle them.
type Kind string

// The kinds of errors.
const (
	// Invalid means that the input violates a documented limit.
	Invalid Kind = "invalid"
	// NotFound means that no object with the name exists.
	NotFound Kind = "notFound"
	// Conflict means that a change is based on an outdated version.
	Conflict Kind = "conflict"
	// Denied means that the caller is not authorized for the operation.
	Denied Kind = "denied"
	// Unauthenticated means that the caller has no valid token.
	Unauthenticated Kind = "unauthenticated"
	// NeverFits means that the declared fleet can never run the job.
	NeverFits Kind = "neverFits"
	// Overloaded means that the request is rejected because a limit or quota is
	// currently reached. It may be retried later.
	Overloaded Kind = "overloaded"
	// Unavailable means that a component can't be reached now.
	Unavailable Kind = "unavailable"
	// Fenced means that a command or a write has an epoch that is no longer
	// valid.
	Fenced Kind = "fenced"
	// NotOwner means that the node that received the request does not own the
	// shard. The request had no effect.
	NotOwner Kind = "notOwner"
	// Expired means that a deadline has passed.
	Expired Kind = "expired"
	// Unknown means that it is not known whether the operation took effect.
	Unknown Kind = "unknown"
	// Internal means a fault of the program itself.
	Internal Kind = "internal"
)

// Kinds returns all kinds, so that tests can check that a table has an entry for
// each kind.
func Kinds() []Kind {
	return []Kind{Invalid, NotFound, Conflict, Denied, Unauthenticated, NeverFits, Overloaded, Unavailable, Fenced,
		NotOwner, Expired, Unknown, Internal}
}

// Detail describes the cause of an error and its remedy. Every field except
// Remedy may be empty.
type Detail struct {
	Field  string `json:"field,omitempty"`
	Value  string `json:"value,omitempty"`
	Limit  string `json:"limit,omitempty"`
	Remedy string `json:"remedy"`
}

// Error is a typed error.
type Error struct {
	Kind Kind `json:"kind"`
	Detail
}

// New returns an error of the given kind.
func New(kind Kind, d Detail) error {
	return &Error{Kind: kind, Detail: d}
}

// Error returns a message such as
// `workers "0" is invalid (limit: 1 to 64); ask for at least one worker`.
func (e *Error) Error() string {
	var b strings.Builder
	if e.Field != "" {
		b.WriteString(e.Field)
		if e.Value != "" {
			fmt.Fprintf(&b, " %q", e.Value)
		}
		b.WriteString(" is ")
	}
	b.WriteString(string(e.Kind))
	if e.Limit != "" {
		fmt.Fprintf(&b, " (limit: %s)", e.Limit)
	}
	if e.Remedy != "" {
		b.WriteString("; ")
		b.WriteString(e.Remedy)
	}
	return b.String()
}

// KindOf returns the kind of the first typed error in the chain of err. It
// returns Internal for an error without a kind, and "" for nil.
func KindOf(err error) Kind {
	if err == nil {
		return ""
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}

// Is reports whether KindOf(err) equals kind.
func Is(err error, kind Kind) bool { return KindOf(err) == kind }

// As returns the first typed error in the chain of err. For an error without a
// kind it returns an Internal error with the message of err as its Remedy.
func As(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Kind: Internal, Detail: Detail{Remedy: err.Error()}}
}
