package node

import (
	"time"

	"bronzewinch.dev/lib/burn"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/timer"
)

// observer records the events of this node in the counts of the burn report.
type observer struct {
	counts *burn.Counts
	zone   id.Zone
	clock  timer.Service
}

// RequestEnded counts a completed request. It does not count rejections that are
// the caller's own fault, because they say nothing about the service.
func (o observer) RequestEnded(account id.Account, request id.Request, kind problem.Kind, elapsed time.Duration) {
	switch kind {
	case problem.Invalid, problem.NotFound, problem.Conflict, problem.Denied, problem.Unauthenticated:
		return
	}
	o.counts.Observe(burn.Request{Account: account, Zone: o.zone, ID: request, Done: kind == "",
		Elapsed: elapsed, Cause: burn.Cause(kind)}, o.clock.Now())
}

// Observe counts an event of a zone that this node owns.
func (o observer) Observe(e burn.Event) { o.counts.Observe(e, o.clock.Now()) }

// RevisionInForce counts a change of the configuration and the time it took to
// come into force.
func (o observer) RevisionInForce(revision id.Revision, elapsed time.Duration) {
	o.counts.Observe(burn.ConfigActivation{Zone: o.zone, Revision: revision, Elapsed: elapsed}, o.clock.Now())
}
