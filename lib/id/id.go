// Package id defines a type for each kind of identifier, so that the compiler
// rejects a job id where a worker id is expected.
package id

import (
	"strings"

	"bronzewinch.dev/lib/problem"
)

// Account names a client account.
type Account string

// Job names a job. Job ids are unique within a deployment.
type Job string

// Worker names a worker.
type Worker string

// Rack names a rack of workers.
type Rack string

// Zone names an availability zone.
type Zone string

// Region names a region, which contains availability zones.
type Region string

// Node names an entry node: a daemon on a VM of its own.
type Node string

// VM names a VM that runs workers, one at a time.
type VM string

// Service names a service that backend servers offer.
type Service string

// Backend names one backend server of a service.
type Backend string

// Request names one request of a caller.
type Request string

// Shape names a guaranteed shape within its client account.
type Shape string

// Operator names a person or program that changes the configuration.
type Operator string

// Objective names a service-level objective.
type Objective string

// Shard names a partition of the state, which is owned by one node at a time, for
// example "place/entoto" or "once/07".
type Shard string

// Epoch is the fencing token of a shard. It increases whenever the owner of the
// shard changes.
type Epoch uint64

// Seq is the position of an entry in a journal. The first entry has Seq 1.
type Seq uint64

// Revision is the position of a change set in the configuration journal.
type Revision = Seq

// MaxLen is the maximum length of a name in bytes. Names occur in keys of the
// key-value service and in HTTP paths.
const MaxLen = 63

func invalidRune(r rune) bool {
	return (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-' && r != '.'
}

// Check returns an Invalid error that names field unless name is a valid
// identifier: 1 to MaxLen lower-case letters, digits, '-' and '.', with a letter or
// digit first and last.
func Check(field, name string) error {
	switch {
	case name == "":
		return problem.New(problem.Invalid, problem.Detail{
			Field: field, Limit: "1 to 63 characters", Remedy: "give a name"})
	case len(name) > MaxLen:
		return problem.New(problem.Invalid, problem.Detail{
			Field: field, Value: name, Limit: "1 to 63 characters", Remedy: "shorten the name"})
	case strings.ContainsFunc(name, invalidRune) || strings.Trim(name, "-.") != name:
		return problem.New(problem.Invalid, problem.Detail{
			Field: field, Value: name, Limit: "lower-case letters, digits, '-' and '.'",
			Remedy: "use only these, with a letter or digit first and last"})
	}
	return nil
}
