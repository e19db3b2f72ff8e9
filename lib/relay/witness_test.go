package relay_test

import (
	"sync"
	"testing"
	"time"

	"bronzewinch.dev/lib/election"
	"bronzewinch.dev/lib/task"
	"bronzewinch.dev/lib/witness"

	"github.com/matryer/is"
)

// fakeWitnesses records the calls about witnesses.
type fakeWitnesses struct {
	mu sync.Mutex

	// As a witness.
	later     election.Owner // known to this witness
	confirmed task.Fence     // last owner that was confirmed
	told      election.Owner // last owner that has asked

	// As an owner.
	fence        task.Fence
	witnesses    witness.Set
	asker        election.Owner
	ask          witness.Set
	confirmedBy  map[string]bool
	quiet        map[string]time.Duration
	successor    election.Owner
	candidates   []witness.Candidate
	timesOffered int
}

func (f *fakeWitnesses) ConfirmOwner(fence task.Fence) (election.Owner, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.later.Fence > fence {
		return f.later, false
	}
	f.confirmed = fence
	return election.Owner{}, true
}

func (f *fakeWitnesses) ObserveLaterOwner(o election.Owner) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.told = o
	return time.Minute
}

func (f *fakeWitnesses) WitnessesToConfirm() (task.Fence, witness.Set) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fence, f.witnesses
}

func (f *fakeWitnesses) RecordConfirmation(fence task.Fence, address string, asked time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.confirmedBy == nil {
		f.confirmedBy = make(map[string]bool)
	}
	f.confirmedBy[address] = fence == f.fence && asked > 0
}

func (f *fakeWitnesses) RecordLaterOwner(_ task.Fence, later election.Owner) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.successor = later
}

func (f *fakeWitnesses) WitnessesToAsk() (election.Owner, witness.Set) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.asker, f.ask
}

func (f *fakeWitnesses) RecordQuiet(_ task.Fence, address string, quiet time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.quiet == nil {
		f.quiet = make(map[string]time.Duration)
	}
	f.quiet[address] = quiet
}

func (f *fakeWitnesses) SetWitnessCandidates(c []witness.Candidate) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.candidates = c
	f.timesOffered++
}

// await waits until a condition on the recorded calls is true.
func (f *fakeWitnesses) await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for limit := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		f.mu.Lock()
		done := ok()
		f.mu.Unlock()
		if done {
			return
		}
		if time.Now().After(limit) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// TestOwnerRequestsConfirmations guards against an owner that gets no confirmations while
// it suspects the store, and against one that does not learn of a later owner.
func TestOwnerRequestsConfirmations(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	owner := newNode(t, "owner", &fakeController{})
	confirming, informed := newNode(t, "p", &fakeController{}), newNode(t, "q", &fakeController{})
	later := election.Owner{Node: "later", Address: "l:1", Fence: 9}
	informed.election.later = later
	w := &owner.election.fakeWitnesses
	w.mu.Lock()
	w.fence, w.witnesses = 3, witness.Set{confirming.address, informed.address, "127.0.0.1:1"}
	w.mu.Unlock()
	owner.election.UpdateOwner(owner.asOwner("owner", 3))
	time.Sleep(300 * time.Millisecond)
	w.mu.Lock()
	is.Equal(len(w.confirmedBy), 0) // the store is not suspected
	w.mu.Unlock()
	owner.election.mu.Lock()
	owner.election.storeSuspected = true
	owner.election.mu.Unlock()
	w.await(t, "the answers", func() bool { return len(w.confirmedBy) == 1 && w.successor.Fence > 0 })
	is.True(w.confirmedBy[confirming.address])
	is.Equal(w.successor, later)
	confirming.election.await(t, "the confirmation", func() bool { return confirming.election.confirmed == 3 })
}

// TestNewOwnerAsksWitnesses guards against a new owner that does not ask each witness of
// the earlier one, itself among them.
func TestNewOwnerAsksWitnesses(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	owner, other := newNode(t, "owner", &fakeController{}), newNode(t, "p", &fakeController{})
	w := &owner.election.fakeWitnesses
	w.mu.Lock()
	w.asker, w.ask = owner.asOwner("owner", 5), witness.Set{owner.address, other.address, "127.0.0.1:1"}
	w.mu.Unlock()
	owner.election.UpdateOwner(owner.asOwner("owner", 5))
	w.await(t, "the answers", func() bool { return len(w.quiet) == 2 })
	is.Equal(w.quiet[owner.address], time.Minute)
	is.Equal(w.quiet[other.address], time.Minute)
	other.election.await(t, "the question", func() bool { return other.election.told == owner.asOwner("owner", 5) })
}

// TestWitnessCandidates guards against witnesses that are leaving or were never heard from.
func TestWitnessCandidates(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	owner := newNode(t, "owner", &fakeController{})
	staying, leaving := newNode(t, "p", &fakeController{}), newNode(t, "q", &fakeController{})
	for _, n := range []*node{staying, leaving} {
		n.election.UpdateOwner(owner.asOwner("owner", 3))
		awaitReady(t, n) // the owner has received a heartbeat
	}
	leaving.Leave()
	w := &owner.election.fakeWitnesses
	is.Equal(w.timesOffered, 0)
	owner.election.UpdateOwner(owner.asOwner("owner", 3))
	w.await(t, "the candidates", func() bool {
		return len(w.candidates) == 1 && w.candidates[0].Address == staying.address
	})
}
