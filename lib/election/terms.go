package election

import (
	"context"
	"slices"
	"sync"

	"bronzewinch.dev/lib/codec"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/kv"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/task"
	"bronzewinch.dev/lib/timer"
	"bronzewinch.dev/lib/witness"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"k8s.io/klog/v2"
)

// Without the store, an owner can't know its successor, and extends the leases of runs until
// OutageGrace after its last renewal, as long as its witnesses confirm it. A new owner
// keeps the runs on silent workers until the last such lease has expired, unless it knows
// that no earlier owner may extend leases any more: because their terms have ended, or
// because their witnesses confirm them no longer. spec/lease.pml and spec/witness.pml are
// the models.

// TermRecord is the value of TermKey: what is known about the last term and those
// before it. It is written in the transaction that wins ownership.
type TermRecord struct {
	Fence   task.Fence `cbor:"fence"`
	Node    id.Node    `cbor:"node"`
	Address string     `cbor:"address"`
	// Settled means that no owner before this one may extend leases any more.
	Settled bool `cbor:"settled,omitempty"`
	// Ended means that the term has ended: its links to workers have stopped.
	Ended bool `cbor:"ended,omitempty"`
	// Witnesses are the addresses of the nodes whose confirmations this owner needs to
	// extend leases without the store. If there are none, it needs no confirmations.
	Witnesses witness.Set `cbor:"witnesses,omitempty"`
	// Earlier are the terms before this one whose owners may still extend leases, unless
	// Settled. If there are none, they are not known.
	Earlier []EarlierTerm `cbor:"earlier,omitempty"`
}

// EarlierTerm is a term whose owner may still extend leases.
type EarlierTerm struct {
	Fence     task.Fence  `cbor:"fence"`
	Node      id.Node     `cbor:"node"`
	Address   string      `cbor:"address"`
	Witnesses witness.Set `cbor:"witnesses,omitempty"`
}

// maxEarlierTerms bounds the terms in a record. An owner that follows more of them waits
// as if it knew none.
const maxEarlierTerms = 8

// DecodeTermRecord decodes the value of TermKey.
func DecodeTermRecord(b []byte) (TermRecord, error) {
	var r TermRecord
	err := cbor.Unmarshal(b, &r)
	return r, errors.Wrap(err, "term key")
}

func (r TermRecord) encode() ([]byte, error) { return codec.CBOR.Marshal(r) }

// precedes reports whether no other term was between that of the record and the one
// with a fence. Owners of an earlier version of the program write no record.
func (r TermRecord) precedes(fence task.Fence) bool { return firstFenceAfter(r.Fence) == fence }

// inheritedWitnesses returns the witnesses with which the node of c begins the term with a
// fence. It replaces those that have left once it has heard from the other nodes.
func (r TermRecord) inheritedWitnesses(fence task.Fence, c Config) witness.Set {
	if !r.precedes(fence) {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(r.Witnesses), func(a string) bool { return a == c.Address })
}

// earlierTerms are the terms before one, as far as their owners may still extend leases.
type earlierTerms struct {
	inquiry *witness.Inquiry

	mu    sync.Mutex
	known bool // false if there may be others
	terms []EarlierTerm
}

// newEarlierTerms returns the terms before the one with a fence, which the node of c begins,
// given the record of the last term. A term of the same node has ended, also if its
// process was killed. Nothing is known if the last term left no record, or a record of a
// version of the program that lists no earlier terms.
func newEarlierTerms(last TermRecord, fence task.Fence, c Config) *earlierTerms {
	e := &earlierTerms{inquiry: witness.NewInquiry()}
	if !last.precedes(fence) || !last.Settled && len(last.Earlier) == 0 {
		return e
	}
	e.known = true
	if !last.Settled {
		e.terms = slices.Clone(last.Earlier)
	}
	if !last.Ended {
		e.terms = append(e.terms, EarlierTerm{Fence: last.Fence, Node: last.Node, Address: last.Address, Witnesses: last.Witnesses})
	}
	e.remove(func(t EarlierTerm) bool { return t.Node == c.Node && t.Address == c.Address })
	return e
}

// remove removes the terms of owners that may no longer extend leases, and reports whether
// none is left.
func (e *earlierTerms) remove(over func(EarlierTerm) bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.terms = slices.DeleteFunc(e.terms, over)
	return e.known && len(e.terms) == 0
}

// ended reports whether no earlier owner may extend leases.
func (e *earlierTerms) ended() bool { return e.remove(func(EarlierTerm) bool { return false }) }

// list returns the terms for the record of the present one, or nil if they are not known.
func (e *earlierTerms) list() []EarlierTerm {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.known || len(e.terms) > maxEarlierTerms {
		return nil
	}
	return slices.Clone(e.terms)
}

// Settled reports whether no earlier owner may extend leases any more.
func (t *Term) Settled() bool { return t.settled.Load() }

// settle records that no earlier owner may extend leases any more.
func (t *Term) settle(evidence string) {
	if t.settled.Swap(true) {
		return
	}
	klog.InfoS("earlier terms have ended", "event", "term", "fence", t.Fence, "evidence", evidence,
		"ageMs", (timer.SinceBoot() - t.startedAt).Milliseconds())
	t.settledNow <- struct{}{} // settled changes once, so there is room
}

// ObserveIdle records that a node was neither the owner nor campaigning when it knew an
// owner with the given fence. Its terms up to that fence have ended.
func (e *Election) ObserveIdle(node id.Node, address string, known task.Fence) {
	term := e.term.Load()
	if term == nil || term.Settled() {
		return
	}
	if term.earlier.remove(func(t EarlierTerm) bool { return t.Node == node && t.Address == address && t.Fence <= known }) {
		term.settle("the earlier owner's node reports that its term has ended")
	}
}

// IdleSince returns the fence of the owner that this node knows if it is neither the
// owner nor campaigning. The fence is read first: a term that has the fence, or an
// earlier one, has ended if this node is idle afterwards.
func (e *Election) IdleSince() (task.Fence, bool) {
	fence := e.Owner().Fence
	return fence, e.Idle()
}

// WitnessReader reads the witnesses of the last owner.
type WitnessReader struct{ Store getter }

// ReadWitnesses returns the addresses of the witnesses.
func (r WitnessReader) ReadWitnesses(ctx context.Context) (witness.Set, error) {
	record, _, err := readRecord(ctx, r.Store, TermKey, DecodeTermRecord)
	return record.Witnesses, err
}

type getter interface {
	Get(ctx context.Context, key string) (kv.Item, error)
}

// readRecord reads the record of a key and its version. Both are zero if there is none.
func readRecord[T any](ctx context.Context, store getter, key string, decode func([]byte) (T, error)) (record T, version kv.Version, err error) {
	item, err := store.Get(ctx, key)
	switch {
	case problem.Is(err, problem.NotFound):
		return record, 0, nil
	case err != nil:
		return record, 0, err
	}
	record, err = decode(item.Value)
	return record, item.Version, err
}

func (e *Election) termRecord(term *Term) TermRecord {
	r := TermRecord{Fence: term.Fence, Node: e.config.Node, Address: e.config.Address, Settled: term.Settled(),
		Witnesses: term.confirmations.Witnesses()}
	if !r.Settled {
		r.Earlier = term.earlier.list()
	}
	return r
}

// recordSettled stores that no owner before a term may extend leases. If that fails, a
// later owner waits longer than needed.
func (e *Election) recordSettled(ctx context.Context, term *Term) {
	e.updateTerm(ctx, term.Fence, func(r *TermRecord) { r.Settled, r.Earlier = true, nil })
}

// recordEnd stores that a term has ended.
func (e *Election) recordEnd(ctx context.Context, fence task.Fence) {
	e.updateTerm(ctx, fence, func(r *TermRecord) { r.Ended = true })
}

// maxUpdateAttempts bounds the attempts to change a record that other calls change at the
// same time.
const maxUpdateAttempts = 3

// updateTerm changes the record of the last term if that has the given fence. It reports
// whether the record is known to have the change.
func (e *Election) updateTerm(ctx context.Context, fence task.Fence, change func(*TermRecord)) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for range maxUpdateAttempts {
		r, version, err := readRecord(ctx, e.config.Store, TermKey, DecodeTermRecord)
		if err == nil && r.Fence != fence {
			return false
		}
		var result kv.TxnResult
		if err == nil {
			change(&r)
			result, err = e.writeTerm(ctx, r, version)
		}
		if err != nil {
			klog.InfoS("term record not updated; a later owner may keep the runs of silent workers longer", "event", "term",
				"node", e.config.Node, "fence", fence, "cause", err)
			return false
		}
		if result.Committed {
			return true
		}
	}
	return false
}

// writeTerm replaces a version of the record of the last term.
func (e *Election) writeTerm(ctx context.Context, r TermRecord, version kv.Version) (kv.TxnResult, error) {
	value, err := r.encode()
	if err != nil {
		return kv.TxnResult{}, err
	}
	return e.config.Store.Commit(ctx, kv.Txn{Expect: []kv.Expect{{Key: TermKey, Version: version}},
		Writes: []kv.Write{{Key: TermKey, Value: value}}})
}
