package election_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"bronzewinch.dev/lib/codec"
	"bronzewinch.dev/lib/election"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/kv"
	"bronzewinch.dev/lib/task"
	"bronzewinch.dev/lib/timer"
	"bronzewinch.dev/lib/witness"

	"github.com/matryer/is"
)

// readTerm returns the record of the last term.
func readTerm(t *testing.T, store *memoryStore) election.TermRecord {
	t.Helper()
	is := is.New(t)
	item, err := (&nodeView{memoryStore: store}).Get(t.Context(), election.TermKey)
	is.NoErr(err)
	record, err := election.DecodeTermRecord(item.Value)
	is.NoErr(err)
	return record
}

// setWitnesses changes the witnesses in the record of the last term.
func setWitnesses(t *testing.T, store *memoryStore, addresses ...string) {
	t.Helper()
	is := is.New(t)
	record := readTerm(t, store)
	record.Witnesses = addresses
	value, err := codec.CBOR.Marshal(record)
	is.NoErr(err)
	_, err = (&nodeView{memoryStore: store}).Commit(t.Context(), kv.Txn{Writes: []kv.Write{{Key: election.TermKey, Value: value}}})
	is.NoErr(err)
}

// TestWitnessesSettleEarlierTerm guards against a new owner that keeps the runs of silent
// workers for the time of an outage although the store was up and the earlier owner's node
// is gone, and against one that relies on too few witnesses.
func TestWitnessesSettleEarlierTerm(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore()
	a := newCandidate(t, store, "a", false)
	await(t, "the first term", a.terms)
	setWitnesses(t, store, "b:1", "c:1", "d:1")
	b := newCandidate(t, store, "b", false)
	awaitOwner(t, b, "a")
	a.store.setFaults(true, false)
	second := await(t, "the second term", b.terms)
	owner, ask := b.WitnessesToAsk()
	is.Equal(owner, election.Owner{Node: "b", Address: "b:1", Fence: second.Fence})
	is.Equal(ask, witness.Set{"b:1", "c:1", "d:1"})
	b.RecordQuiet(second.Fence, "c:1", time.Hour)
	b.RecordQuiet(second.Fence, "d:1", time.Second) // it may have confirmed a second ago
	b.RecordQuiet(second.Fence, "e:1", time.Hour)   // no witness
	b.RecordQuiet(second.Fence-1, "d:1", time.Hour) // an answer to an earlier owner
	is.True(!second.Settled())
	b.RecordQuiet(second.Fence, "d:1", time.Hour)
	is.True(second.Settled())
	_, ask = b.WitnessesToAsk()
	is.Equal(len(ask), 0)
}

// TestWitnessesOfAllEarlierTerms guards against an owner that asks the witnesses of its
// predecessor only, although that had not learned that its own predecessor had ended.
func TestWitnessesOfAllEarlierTerms(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore()
	a := newCandidate(t, store, "a", false)
	await(t, "the first term", a.terms)
	setWitnesses(t, store, "w:1")
	b := newCandidate(t, store, "b", false)
	awaitOwner(t, b, "a")
	a.store.setFaults(true, false)
	await(t, "the second term", b.terms)
	setWitnesses(t, store, "x:1")
	c := newCandidate(t, store, "c", false)
	awaitOwner(t, c, "b")
	b.store.setFaults(true, false)
	third := await(t, "the third term", c.terms)
	_, ask := c.WitnessesToAsk()
	is.Equal(ask, witness.Set{"w:1", "x:1"})
	c.RecordQuiet(third.Fence, "x:1", time.Hour)
	is.True(!third.Settled())
	c.ObserveIdle("a", "a:1", third.Fence)
	is.True(third.Settled())
}

// changingView changes the witnesses of the last owner between the reads and the transaction
// of a campaign.
type changingView struct {
	*nodeView
	t       *testing.T
	changed bool
}

func (v *changingView) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	if !v.changed {
		v.changed = true
		setWitnesses(v.t, v.memoryStore, "new:1")
	}
	return v.nodeView.Grant(ctx, ttl)
}

// TestCampaignReadsLastWitnesses guards against a new owner that asks witnesses which its
// predecessor has replaced.
func TestCampaignReadsLastWitnesses(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore()
	a := newCandidate(t, store, "a", false)
	await(t, "the first term", a.terms)
	setWitnesses(t, store, "old:1")
	a.store.setFaults(true, false)
	runner := &fakeRunner{terms: make(chan *election.Term, 10)}
	b := election.New(election.Config{Node: "b", Address: "b:1", Store: &changingView{nodeView: &nodeView{memoryStore: store}, t: t},
		Runner: runner, Timer: timer.NewSystem()})
	t.Cleanup(b.Close)
	await(t, "the second term", runner.terms)
	_, ask := b.WitnessesToAsk()
	is.Equal(ask, witness.Set{"new:1"})
}

// ownWithWitnesses returns an owner that has stored witnesses and then lost the store, and
// its term.
func ownWithWitnesses(t *testing.T, addresses ...string) (*memoryStore, *candidate, *election.Term) {
	t.Helper()
	store := newMemoryStore()
	a := newCandidate(t, store, "a", false)
	term := await(t, "the term", a.terms)
	var candidates []witness.Candidate
	for _, address := range addresses {
		candidates = append(candidates, witness.Candidate{Address: address})
	}
	for limit := time.Now().Add(10 * time.Second); len(readTerm(t, store).Witnesses) == 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatal("timed out waiting for the witnesses to be stored")
		}
		a.SetWitnessCandidates(candidates)
	}
	for limit := time.Now().Add(time.Second); ; time.Sleep(10 * time.Millisecond) {
		_, adopted := a.WitnessesToConfirm()
		if slices.Equal(adopted, addresses) {
			break
		}
		if time.Now().After(limit) {
			t.Fatalf("witnesses are %v, want %v", adopted, addresses)
		}
	}
	a.store.setFaults(true, false)
	return store, a, term
}

// TestConfirmedOwnerExtendsLeases guards against runs that are lost in an outage of the
// store, and against an owner that extends leases although its witnesses don't confirm it.
func TestConfirmedOwnerExtendsLeases(t *testing.T) {
	is := is.New(t)
	_, a, term := ownWithWitnesses(t, "b:1", "c:1", "d:1")
	is.True(term.MayExtendLeases())
	for limit := time.Now().Add(10 * time.Second); term.Valid(); time.Sleep(10 * time.Millisecond) {
		is.True(time.Now().Before(limit))
	}
	is.True(!term.MayExtendLeases())
	asked := timer.SinceBoot()
	a.RecordConfirmation(term.Fence, "b:1", asked)
	a.RecordConfirmation(term.Fence+election.FencesPerTerm, "c:1", asked) // of another term
	is.True(!term.MayExtendLeases())
	a.RecordConfirmation(term.Fence, "c:1", asked)
	is.True(term.MayExtendLeases())
	for limit := time.Now().Add(10 * time.Second); term.MayExtendLeases(); time.Sleep(10 * time.Millisecond) {
		is.True(time.Now().Before(limit))
	}
	is.True(timer.SinceBoot()-asked >= witness.Validity)
}

// TestOwnerLearnsOfLaterOwner guards against an owner without the store that goes on
// although a witness knows its successor.
func TestOwnerLearnsOfLaterOwner(t *testing.T) {
	is := is.New(t)
	store, a, term := ownWithWitnesses(t, "b:1")
	b := newCandidate(t, store, "b", false)
	awaitOwner(t, b, "a")
	_, confirmed := b.ConfirmOwner(term.Fence)
	is.True(confirmed)
	next := election.Owner{Node: "c", Address: "c:1", Fence: term.Fence + election.FencesPerTerm}
	is.True(b.ObserveLaterOwner(next) < time.Second)
	later, confirmed := b.ConfirmOwner(term.Fence)
	is.True(!confirmed)
	is.Equal(later, next)
	a.RecordLaterOwner(term.Fence, election.Owner{Fence: term.Fence}) // not later
	is.True(!a.Idle())
	a.RecordLaterOwner(term.Fence, later)
	for limit := time.Now().Add(10 * time.Second); !a.Idle(); time.Sleep(10 * time.Millisecond) {
		is.True(time.Now().Before(limit))
	}
}

// TestInheritedWitnesses guards against an owner whose successor can't know that it has
// ended, because it had not yet chosen witnesses.
func TestInheritedWitnesses(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore()
	a := newCandidate(t, store, "a", false)
	await(t, "the first term", a.terms)
	setWitnesses(t, store, "b:1", "c:1")
	a.Close()
	b := newCandidate(t, store, "b", false)
	second := await(t, "the second term", b.terms)
	record := readTerm(t, store)
	is.Equal(record.Fence, second.Fence)
	is.Equal(record.Witnesses, witness.Set{"c:1"}) // without the owner itself
	is.Equal(record.Node, id.Node("b"))
	fence, confirm := b.WitnessesToConfirm()
	is.Equal(fence, task.Fence(second.Fence))
	is.Equal(confirm, witness.Set{"c:1"})
}
