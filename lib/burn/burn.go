// Package burn counts good and bad events of the service-level indicators on
// one entry node, merges the counts of all nodes, and computes how fast the
// objectives use their budgets of bad events and what used them. It keeps
// counts in time buckets, in shards each under its own lock, within a fixed
// bound of memory. It has no clock and no codec: package burnstore adds them.
// docs/burn.md describes the indicators.
package burn

import (
	"cmp"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/unit"
)

// Cause says in a word why an event was bad. Causes come from a small set of
// constants of the caller, because each takes a row of counts.
type Cause string

// Causes for callers that know no better one.
const (
	CauseLate       Cause = "late"
	CauseSlow       Cause = "slow"
	CauseNotDone    Cause = "notDone"
	CauseFragmented Cause = "fragmented"
	// CauseOther is the cause of the events that found no row of their own.
	CauseOther Cause = "other"
)

// Key is what counts are kept by. Good events have no cause.
type Key struct {
	Measure record.Measure
	Account id.Account
	Zone    id.Zone
	Cause   Cause
}

// Ref names what an event was about. At most one field is set.
type Ref struct {
	Job      id.Job      `json:"job,omitempty"`
	Request  id.Request  `json:"request,omitempty"`
	Revision id.Revision `json:"revision,omitempty"`
}

// IsZero reports whether r names nothing.
func (r Ref) IsZero() bool { return r == Ref{} }

func (r Ref) compare(o Ref) int {
	return cmp.Or(cmp.Compare(r.Job, o.Job), cmp.Compare(r.Request, o.Request), cmp.Compare(r.Revision, o.Revision))
}

// Example is one bad event.
type Example struct {
	Ref
	Account id.Account `json:"account,omitempty"`
	Zone    id.Zone    `json:"zone,omitempty"`
	Cause   Cause      `json:"cause"`
	At      time.Time  `json:"at"`
}

// Bounds holds the bound of each measure that has an objective.
type Bounds map[record.Measure]record.Bound

// BoundsOf returns the bounds of the objectives in force.
func BoundsOf(s *record.Set) Bounds {
	b := make(Bounds)
	if s != nil {
		for _, o := range s.Objectives {
			b[o.Measure] = o.Bound
		}
	}
	return b
}

// classified is an event after it was held against its bound.
type classified struct {
	key  Key
	good bool
	ref  Ref
}

// Event is one observation of an indicator. It reports false when no
// objective measures it.
type Event interface {
	classify(b Bounds) (classified, bool)
}

// UrgentStart is an urgent job whose whole gang runs, or that was given up.
type UrgentStart struct {
	Account id.Account
	Zone    id.Zone
	Job     id.Job
	// Elapsed is the time from submission until the whole gang ran. Abandoned says
	// that it never did.
	Elapsed   time.Duration
	Abandoned bool
	// Cause is what took the time, for example "checkpoint". It may be empty.
	Cause Cause
}

func (e UrgentStart) classify(b Bounds) (classified, bool) {
	return classifyDuration(b, record.UrgentStart, Key{Account: e.Account, Zone: e.Zone, Cause: e.Cause}, e.Elapsed, e.Abandoned, Ref{Job: e.Job})
}

// Reclaim is a claim whose guaranteed shape is free of other work.
type Reclaim struct {
	Account id.Account
	Zone    id.Zone
	Job     id.Job // the claim
	// Elapsed is the time from the decision to preempt until the last victim
	// released its workers.
	Elapsed time.Duration
	Cause   Cause
}

func (e Reclaim) classify(b Bounds) (classified, bool) {
	return classifyDuration(b, record.ReclaimTime, Key{Account: e.Account, Zone: e.Zone, Cause: e.Cause}, e.Elapsed, false, Ref{Job: e.Job})
}

// Request is a caller's request that has ended. Requests that break a limit
// of their own account, or that the caller gave up, are left out by the
// caller of Observe: they say nothing about the system.
type Request struct {
	Account id.Account
	// Zone is the zone of the entry node.
	Zone id.Zone
	ID   id.Request
	// Done says that the caller got the whole answer.
	Done    bool
	Elapsed time.Duration
	// Cause is why the request was not done, for example "unknown",
	// "overloaded" or "backend". It may be empty.
	Cause Cause
}

func (e Request) classify(b Bounds) (classified, bool) {
	cause := e.Cause
	if !e.Done && cause == "" {
		cause = CauseNotDone
	}
	return classifyDuration(b, record.CompleteResponses, Key{Account: e.Account, Zone: e.Zone, Cause: cause}, e.Elapsed, !e.Done, Ref{Request: e.ID})
}

// ConfigActivation is a revision of the configuration that came into force on this
// node.
type ConfigActivation struct {
	Zone     id.Zone // of this node
	Revision id.Revision
	// Elapsed is the time since the change was accepted.
	Elapsed time.Duration
	Cause   Cause
}

func (e ConfigActivation) classify(b Bounds) (classified, bool) {
	return classifyDuration(b, record.ConfigActivation, Key{Zone: e.Zone, Cause: e.Cause}, e.Elapsed, false, Ref{Revision: e.Revision})
}

// Completion is a job that succeeded.
type Completion struct {
	Account      id.Account
	Zone         id.Zone
	Job          id.Job
	Accelerators unit.Accelerators // of the whole gang
	// Turnaround is the time from submission to the end, and RunTime the part of it in
	// which the last attempt ran.
	Turnaround, RunTime time.Duration
	Cause               Cause
}

// minRunTime keeps jobs of a moment from counting as slow because of the time
// that one pass of placement takes.
const minRunTime = 10 * time.Second

func (e Completion) classify(b Bounds) (classified, bool) {
	m := record.Measure{Indicator: record.Completion, Class: record.SizeClassOf(e.Accelerators)}
	bound, ok := b[m]
	slowdown := unit.Slowdown(float64(max(e.Turnaround, minRunTime)) / float64(max(e.RunTime, minRunTime)))
	return newClassified(Key{m, e.Account, e.Zone, e.Cause}, slowdown <= bound.Slowdown, CauseSlow, Ref{Job: e.Job}), ok
}

// Fragmentation is one look at a zone, taken at a fixed period by the owner
// of its placement shard.
type Fragmentation struct {
	Zone id.Zone
	// Share is the share of the zone's free accelerators that are on workers
	// which are partly used. It is 0 when none are free.
	Share unit.Share
	// Account and Job are those of the oldest job that waits for adjacent
	// accelerators. They are empty when none does.
	Account id.Account
	Job     id.Job
	Cause   Cause
}

func (e Fragmentation) classify(b Bounds) (classified, bool) {
	m := record.Measure{Indicator: record.Fragmentation}
	bound, ok := b[m]
	return newClassified(Key{m, e.Account, e.Zone, e.Cause}, e.Share <= bound.Share, CauseFragmented, Ref{Job: e.Job}), ok
}

func classifyDuration(b Bounds, i record.Indicator, k Key, elapsed time.Duration, failed bool, ref Ref) (classified, bool) {
	k.Measure = record.Measure{Indicator: i}
	bound, ok := b[k.Measure]
	return newClassified(k, !failed && elapsed <= bound.Time, CauseLate, ref), ok
}

func newClassified(k Key, good bool, defaultCause Cause, ref Ref) classified {
	switch {
	case good:
		k.Cause = ""
	case k.Cause == "":
		k.Cause = defaultCause
	}
	return classified{key: k, good: good, ref: ref}
}
