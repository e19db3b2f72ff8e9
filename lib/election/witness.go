package election

import (
	"context"
	"slices"
	"strings"
	"time"

	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/task"
	"bronzewinch.dev/lib/timer"
	"bronzewinch.dev/lib/witness"

	"k8s.io/klog/v2"
)

const (
	// minWitnessAge is the age of a term from which on its owner chooses witnesses. By then
	// most nodes have sent it a heartbeat. An owner without witnesses keeps its successor
	// waiting if it is lost.
	minWitnessAge = 500 * time.Millisecond
	// allHeardAge is the age of a term at which each node has sent its owner a heartbeat.
	allHeardAge = 3 * time.Second
)

// ConfirmOwner reports whether this node, as a witness, knows no later owner than the one
// with a fence. If it knows one, it returns it.
func (e *Election) ConfirmOwner(fence task.Fence) (later Owner, confirmed bool) {
	if e.register.Confirm(timer.SinceBoot(), fence) {
		return Owner{}, true
	}
	if o := e.Owner(); o.Fence > fence {
		later = o
	}
	return later, false
}

// ObserveLaterOwner records an owner that asks this node as a witness of earlier owners. It
// returns for how long this node has confirmed none, and confirms none of them any more.
func (e *Election) ObserveLaterOwner(o Owner) time.Duration {
	quiet := e.register.Supersede(timer.SinceBoot(), o.Fence)
	e.UpdateOwner(o)
	return quiet
}

// WitnessesToConfirm returns the fence of this owner and the addresses of the nodes that
// can confirm it. There are none if this node is not the owner.
func (e *Election) WitnessesToConfirm() (task.Fence, witness.Set) {
	term := e.term.Load()
	if term == nil {
		return 0, nil
	}
	return term.Fence, term.confirmations.Witnesses()
}

// RecordConfirmation records that a witness has confirmed the owner with a fence, in
// answer to a request that was sent at asked, a time since boot.
func (e *Election) RecordConfirmation(fence task.Fence, address string, asked time.Duration) {
	if term := e.term.Load(); term != nil && term.Fence == fence {
		term.confirmations.Record(address, asked)
	}
}

// RecordLaterOwner ends the term with a fence because a witness knows a later owner.
func (e *Election) RecordLaterOwner(fence task.Fence, later Owner) {
	if term := e.term.Load(); term != nil && term.Fence == fence && later.Fence > fence {
		term.End(problem.New(problem.Fenced, problem.Detail{Field: "owner", Value: string(later.Node),
			Remedy: "follow the new owner; another node has taken over"}))
	}
}

// WitnessesToAsk returns this owner and the addresses of the witnesses of earlier owners
// that have not told it yet that these may no longer extend leases.
func (e *Election) WitnessesToAsk() (Owner, witness.Set) {
	term := e.term.Load()
	if term == nil || term.Settled() {
		return Owner{}, nil
	}
	var all witness.Set
	for _, t := range term.earlier.list() {
		all = append(all, term.earlier.inquiry.Outstanding(t.Witnesses)...)
	}
	slices.Sort(all)
	return Owner{Node: e.config.Node, Address: e.config.Address, Fence: term.Fence}, slices.Compact(all)
}

// RecordQuiet records for how long a witness had confirmed no owner when it answered the
// owner with a fence.
func (e *Election) RecordQuiet(fence task.Fence, address string, quiet time.Duration) {
	term := e.term.Load()
	if term == nil || term.Fence != fence || term.Settled() || !term.earlier.inquiry.Record(address, quiet) {
		return
	}
	if term.earlier.remove(func(t EarlierTerm) bool { return term.earlier.inquiry.Excludes(t.Witnesses) }) {
		term.settle("the witnesses of the earlier owner confirm it no longer")
	}
}

// SetWitnessCandidates offers the nodes that can be witnesses of this owner. If it needs
// other witnesses than it has, they are stored in the background.
func (e *Election) SetWitnessCandidates(candidates []witness.Candidate) {
	term := e.term.Load()
	if term == nil || !term.Valid() {
		return
	}
	age := timer.SinceBoot() - term.startedAt
	if age < minWitnessAge {
		return
	}
	next, ok := term.confirmations.Propose(candidates, age >= allHeardAge)
	if !ok || e.changing.Swap(true) {
		return
	}
	e.wg.Go(func() {
		defer e.changing.Store(false)
		if e.updateTerm(context.Background(), term.Fence, func(r *TermRecord) { r.Witnesses = next }) {
			term.confirmations.Adopt()
			klog.InfoS("witnesses changed", "event", "witness", "node", e.config.Node, "fence", term.Fence, "witnesses", strings.Join(next, " "))
		}
	})
}
