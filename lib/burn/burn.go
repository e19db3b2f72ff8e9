// Package burn counts the good and bad events of the service-level indicators
// on one entry node, merges the counts of all nodes, and computes the burn rate
// of each objective: how fast it uses its budget of bad events, and which
// accounts, zones and causes use it. The counts are in time buckets, in shards
// with a lock each, and their memory is limited. The package has no clock and
// no encoding; package burnstore adds them. docs/burn.md describes the
// indicators.
package burn

import (
	"cmp"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/unit"
)

// Cause is the reason why an event was bad, in one word. Callers use a small
// set of constants, because each cause takes a row of counts.
type Cause string

// Default causes for events without a more specific one.
const (
	CauseLate       Cause = "late"
	CauseSlow       Cause = "slow"
	CauseNotDone    Cause = "notDone"
	CauseFragmented Cause = "fragmented"
	// CauseOther is the cause of bad events that are counted in an overflow
	// row.
	CauseOther Cause = "other"
)

// Key identifies a row of counts. Good events have no cause.
type Key struct {
	Measure record.Measure
	Account id.Account
	Zone    id.Zone
	Cause   Cause
}

// Ref refers to the job, request or revision of an event. At most one field is
// set.
type Ref struct {
	Job      id.Job      `json:"job,omitempty"`
	Request  id.Request  `json:"request,omitempty"`
	Revision id.Revision `json:"revision,omitempty"`
}

// IsZero reports whether no field is set.
func (r Ref) IsZero() bool { return r == Ref{} }

func (r Ref) compare(o Ref) int {
	return cmp.Or(cmp.Compare(r.Job, o.Job), cmp.Compare(r.Request, o.Request), cmp.Compare(r.Revision, o.Revision))
}

// Example is one bad event that reports show as an example.
type Example struct {
	Ref
	Account id.Account `json:"account,omitempty"`
	Zone    id.Zone    `json:"zone,omitempty"`
	Cause   Cause      `json:"cause"`
	At      time.Time  `json:"at"`
}

// Bounds has the bound of each measure with an objective.
type Bounds map[record.Measure]record.Bound

// BoundsOf returns the bounds of the objectives of a set, none for nil.
func BoundsOf(s *record.Set) Bounds {
	b := make(Bounds)
	if s != nil {
		for _, o := range s.Objectives {
			b[o.Measure] = o.Bound
		}
	}
	return b
}

// classified is an event that was compared with its bound.
type classified struct {
	key  Key
	good bool
	ref  Ref
}

// Event is one observation of an indicator.
type Event interface {
	// classify compares the event with its bound. It returns false if no
	// objective uses the indicator.
	classify(b Bounds) (classified, bool)
}

// UrgentStart is the event that the whole gang of an urgent job runs, or that
// the job ended without that.
type UrgentStart struct {
	Account id.Account
	Zone    id.Zone
	Job     id.Job
	// Elapsed is the time from submission until the whole gang ran. Abandoned
	// means that it never ran.
	Elapsed   time.Duration
	Abandoned bool
	// Cause is the cause of the delay, for example "checkpoint". It may be
	// empty.
	Cause Cause
}

func (e UrgentStart) classify(b Bounds) (classified, bool) {
	return classifyDuration(b, record.UrgentStart, Key{Account: e.Account, Zone: e.Zone, Cause: e.Cause}, e.Elapsed, e.Abandoned, Ref{Job: e.Job})
}

// Reclaim is the event that other jobs have released the workers of a claimed
// guaranteed shape.
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

// Request is the end of a caller's request. The caller of Observe must exclude
// requests that exceeded a limit of their own account or that the caller
// cancelled, because they say nothing about the quality of the service.
type Request struct {
	Account id.Account
	// Zone is the zone of the entry node.
	Zone id.Zone
	ID   id.Request
	// Done means that the caller received the complete response.
	Done    bool
	Elapsed time.Duration
	// Cause is the reason why the request was not done, for example "unknown",
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

// ConfigActivation is the event that a revision of the configuration came into
// force on this node.
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

// Completion is the successful end of a job.
type Completion struct {
	Account      id.Account
	Zone         id.Zone
	Job          id.Job
	Accelerators unit.Accelerators // of the whole gang
	// Turnaround is the time from submission to the end. RunTime is the part of
	// it in which the last attempt ran.
	Turnaround, RunTime time.Duration
	Cause               Cause
}

// minRunTime is the lower limit of both times in a slowdown. Without it, very
// short jobs would count as slow because of the duration of one placement pass.
const minRunTime = 10 * time.Second

func (e Completion) classify(b Bounds) (classified, bool) {
	m := record.Measure{Indicator: record.Completion, Class: record.SizeClassOf(e.Accelerators)}
	bound, ok := b[m]
	slowdown := unit.Slowdown(float64(max(e.Turnaround, minRunTime)) / float64(max(e.RunTime, minRunTime)))
	return newClassified(Key{m, e.Account, e.Zone, e.Cause}, slowdown <= bound.Slowdown, CauseSlow, Ref{Job: e.Job}), ok
}

// Fragmentation is one sample of the fragmentation of a zone. The owner of the
// zone's placement shard takes samples at a fixed interval.
type Fragmentation struct {
	Zone id.Zone
	// Share is the share of the zone's free accelerators that are on partly used
	// workers. It is 0 if no accelerators are free.
	Share unit.Share
	// Account and Job identify the oldest job that waits for adjacent
	// accelerators. They are empty if there is no such job.
	Account id.Account
	Job     id.Job
	Cause   Cause
}

func (e Fragmentation) classify(b Bounds) (classified, bool) {
	m := record.Measure{Indicator: record.Fragmentation}
	bound, ok := b[m]
	return newClassified(Key{m, e.Account, e.Zone, e.Cause}, e.Share <= bound.Share, CauseFragmented, Ref{Job: e.Job}), ok
}

// classifyDuration classifies an event as good if it did not fail and its
// elapsed time is within the bound.
func classifyDuration(b Bounds, i record.Indicator, k Key, elapsed time.Duration, failed bool, ref Ref) (classified, bool) {
	k.Measure = record.Measure{Indicator: i}
	bound, ok := b[k.Measure]
	return newClassified(k, !failed && elapsed <= bound.Time, CauseLate, ref), ok
}

// newClassified removes the cause of a good event, and sets the default cause of
// a bad event without one.
func newClassified(k Key, good bool, defaultCause Cause, ref Ref) classified {
	switch {
	case good:
		k.Cause = ""
	case k.Cause == "":
		k.Cause = defaultCause
	}
	return classified{key: k, good: good, ref: ref}
}
