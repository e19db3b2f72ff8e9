// Package once implements the at-most-once table of one request shard. The table
// decides whether a request that is not idempotent may run, is in progress, has run,
// or may have run. It performs no I/O: the caller journals the items that the table
// returns, and applies them to a new table after a change of owner.
package once

import (
	"slices"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/outcome"
	"bronzewinch.dev/lib/problem"
)

// Retention is the time for which the table keeps an id after its last change.
const Retention = 24 * time.Hour

// Fingerprint is a hash over service, method, path and body of a request.
type Fingerprint [32]byte

// RunNumber is the number of an allowed run of an id. It increases only after the
// earlier run certainly did not happen.
type RunNumber uint32

// Kind distinguishes intents from completions.
type Kind uint8

// The kinds of items.
const (
	// Intent is journaled before the request is forwarded.
	Intent Kind = iota + 1
	// Completion is journaled after the request has ended.
	Completion
)

// Item is one journaled change of the table.
type Item struct {
	Kind        Kind
	ID          id.Request
	Run         RunNumber
	At          time.Time
	Fingerprint Fingerprint     // of an intent
	Outcome     outcome.Outcome // of a completion
	// Node is the node that stores the response, in a completion with the outcome
	// done.
	Node id.Node
}

// Status describes whether a request may run, is in progress, has run or may have
// run.
type Status uint8

// The statuses of requests.
const (
	// Allowed means that the request may be forwarded once, after its intent is
	// durable.
	Allowed Status = iota + 1
	// InProgress means that another submission of the id is being forwarded.
	InProgress
	// Done means that the request has run and its response is known.
	Done
	// MayHaveRun means that it is unknown whether the request has run.
	MayHaveRun
	// Refused means that the request certainly did not run and can't run now.
	Refused
)

// Result is the result of Begin and Lookup.
type Result struct {
	Status Status
	// Run is the number of the allowed run, which the caller passes to Finish.
	Run RunNumber
	// Node is the node that stores the response of a request with the status Done.
	Node id.Node
}

type phase uint8

const (
	pending phase = iota // the intent is being journaled
	running
	done
	unknown
	notRun
)

type requestState struct {
	fingerprint Fingerprint
	phase       phase
	run         RunNumber
	at          time.Time
	deadline    time.Time // when a run in progress without a completion becomes unknown
	node        id.Node
}

// Config configures a Table.
type Config struct {
	// Limit is the maximum number of ids. When it is reached, the table rejects
	// new ids, because evicting an id early could let its request run twice.
	Limit int
}

// Table is the at-most-once table of one request shard. It is not safe for
// concurrent use.
type Table struct {
	limit   int
	entries map[id.Request]*requestState
	changes []change // in order of time; an id may appear several times
}

type change struct {
	id id.Request
	at time.Time
}

// New returns an empty table.
func New(config Config) *Table {
	return &Table{limit: config.Limit, entries: make(map[id.Request]*requestState)}
}

// Len returns the number of ids.
func (t *Table) Len() int { return len(t.entries) }

// completionGrace is added to the maximum duration of a run before the run becomes
// unknown. It allows for the time that the completion takes to reach the owner, and
// for slow clocks.
const completionGrace = 10 * time.Second

// Begin decides whether a request may run, if the run takes at most maxDuration.
// With the status Allowed it also returns the intent to journal; the request may be
// forwarded only after Confirm. Begin returns a Conflict error if the id was used
// for another request, and an Overloaded error if the table is full.
func (t *Table) Begin(request id.Request, fingerprint Fingerprint, maxDuration time.Duration, now time.Time) (Result, Item, error) {
	t.expire(now)
	state := t.entries[request]
	if state != nil {
		state.expireRun(now)
	}
	if state == nil {
		return t.beginRun(request, fingerprint, maxDuration, now)
	}
	if state.fingerprint != fingerprint {
		return Result{}, Item{}, problem.New(problem.Conflict, problem.Detail{
			Field: "request id", Value: string(request), Limit: "one request for each id",
			Remedy: "use a new id; another request has used this id in the last 24 hours"})
	}
	switch state.phase {
	case pending, running:
		return Result{Status: InProgress, Run: state.run}, Item{}, nil
	case done:
		return Result{Status: Done, Run: state.run, Node: state.node}, Item{}, nil
	case unknown:
		return Result{Status: MayHaveRun, Run: state.run}, Item{}, nil
	}
	return t.beginRun(request, fingerprint, maxDuration, now)
}

func (t *Table) beginRun(request id.Request, fingerprint Fingerprint, maxDuration time.Duration, now time.Time) (Result, Item, error) {
	state := t.entries[request]
	if state == nil {
		if len(t.entries) >= t.limit {
			return Result{}, Item{}, problem.New(problem.Overloaded, problem.Detail{
				Field: "request ids", Remedy: "retry later; the table of request ids of the last 24 hours is full"})
		}
		state = &requestState{fingerprint: fingerprint}
		t.entries[request] = state
	}
	state.phase = pending
	state.run++
	state.deadline = now.Add(maxDuration + completionGrace)
	t.touch(request, state, now)
	item := Item{Kind: Intent, ID: request, Run: state.run, At: now, Fingerprint: fingerprint}
	return Result{Status: Allowed, Run: state.run}, item, nil
}

// Confirm records that the intent of a run is durable. It returns false if the run
// is no longer the pending one.
func (t *Table) Confirm(request id.Request, run RunNumber) bool {
	state := t.entries[request]
	if state == nil || state.run != run || state.phase != pending {
		return false
	}
	state.phase = running
	return true
}

// Withdraw records that a pending run was not allowed after all. Its intent may be
// in the journal, so the run number is not reused; a later submission may run under
// the next number.
func (t *Table) Withdraw(request id.Request, run RunNumber) {
	if state := t.entries[request]; state != nil && state.run == run && state.phase == pending {
		state.phase = notRun
	}
}

// Finish records the outcome of a run and returns the completion to journal. It
// returns false if there is nothing to record, because the run is not the latest one
// or has already ended.
func (t *Table) Finish(request id.Request, run RunNumber, result outcome.Outcome, node id.Node, now time.Time) (Item, bool) {
	item := Item{Kind: Completion, ID: request, Run: run, At: now, Outcome: result, Node: node}
	return item, t.complete(item)
}

// complete applies a completion, and returns whether it changed the state. A run
// that became unknown can still become done or notRun, if its entry node reports the
// outcome after a change of owner.
func (t *Table) complete(item Item) bool {
	state := t.entries[item.ID]
	if state == nil || state.run != item.Run || (state.phase != running && state.phase != unknown) {
		return false
	}
	before := state.phase
	switch item.Outcome {
	case outcome.Done:
		state.phase, state.node = done, item.Node
	case outcome.NotRun:
		state.phase = notRun
	default:
		state.phase = unknown
	}
	if state.phase == before {
		return false
	}
	t.touch(item.ID, state, item.At)
	return true
}

// Apply applies a journaled item, in order to rebuild the table. The run of an
// intent is unknown until its completion follows, because the entry node may have
// forwarded the request.
func (t *Table) Apply(item Item) {
	switch item.Kind {
	case Intent:
		state := t.entries[item.ID]
		if state == nil {
			state = &requestState{}
			t.entries[item.ID] = state
		}
		if item.Run < state.run {
			return
		}
		state.fingerprint, state.phase, state.run = item.Fingerprint, unknown, item.Run
		t.touch(item.ID, state, item.At)
	case Completion:
		t.complete(item)
	}
}

// expireRun makes a run unknown if its entry node has not reported the outcome by
// the deadline: the node has failed, or the reply that allowed the run was lost.
func (s *requestState) expireRun(now time.Time) {
	if s.phase == running && now.After(s.deadline) {
		s.phase = unknown
	}
}

// Lookup returns the status of an id, and false if the table has no run of it.
func (t *Table) Lookup(request id.Request, now time.Time) (Result, bool) {
	state := t.entries[request]
	if state == nil || state.phase == notRun {
		return Result{}, false
	}
	state.expireRun(now)
	status := InProgress
	switch state.phase {
	case done:
		status = Done
	case unknown:
		status = MayHaveRun
	}
	return Result{Status: status, Run: state.run, Node: state.node}, true
}

// Items returns items from which Apply can rebuild the table, oldest first.
func (t *Table) Items(now time.Time) []Item {
	t.expire(now)
	items := make([]Item, 0, 2*len(t.entries))
	for request, state := range t.entries {
		items = append(items, Item{Kind: Intent, ID: request, Run: state.run, At: state.at, Fingerprint: state.fingerprint})
		result := outcome.Unknown
		switch state.phase {
		case done:
			result = outcome.Done
		case notRun:
			result = outcome.NotRun
		default:
			continue
		}
		items = append(items, Item{Kind: Completion, ID: request, Run: state.run, At: state.at, Outcome: result, Node: state.node})
	}
	slices.SortStableFunc(items, func(a, b Item) int { return a.At.Compare(b.At) })
	return items
}

// touch records the time of a change. The latest change of an id determines when the
// id expires.
func (t *Table) touch(request id.Request, state *requestState, now time.Time) {
	if now.After(state.at) {
		state.at = now
	}
	t.changes = append(t.changes, change{request, state.at})
}

// expire removes ids whose last change is longer ago than Retention.
func (t *Table) expire(now time.Time) {
	n := 0
	for ; n < len(t.changes) && now.Sub(t.changes[n].at) > Retention; n++ {
		c := t.changes[n]
		state := t.entries[c.id]
		if state == nil || state.at.After(c.at) {
			continue
		}
		delete(t.entries, c.id)
	}
	t.changes = t.changes[n:]
}
