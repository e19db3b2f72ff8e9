package relay

import (
	"context"
	"sync"
	"time"

	"bronzewinch.dev/lib/election"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/peer"
	"bronzewinch.dev/lib/task"
	"bronzewinch.dev/lib/timer"
	"bronzewinch.dev/lib/witness"
)

const (
	// witnessTimeout bounds one call of a witness, which answers from memory.
	witnessTimeout = 350 * time.Millisecond
	// inquiryPause is the pause between rounds in which a new owner asks the witnesses of
	// earlier owners.
	inquiryPause = 300 * time.Millisecond
	// candidatesPause is the pause between checks whether the owner needs other witnesses.
	candidatesPause = 500 * time.Millisecond
	// candidateExpiry is how long a node can be chosen as a witness after its last
	// heartbeat. Heartbeats are sent every two seconds at least.
	candidateExpiry = 5 * time.Second
)

// Witness is the state of this node as a witness of owners.
type Witness interface {
	ConfirmOwner(fence task.Fence) (later election.Owner, confirmed bool)
	ObserveLaterOwner(o election.Owner) (quiet time.Duration)
}

// WitnessedOwner is the state of this node as an owner that has witnesses, and that asks
// those of earlier owners.
type WitnessedOwner interface {
	WitnessesToConfirm() (task.Fence, witness.Set)
	RecordConfirmation(fence task.Fence, address string, asked time.Duration)
	RecordLaterOwner(fence task.Fence, later election.Owner)
	WitnessesToAsk() (election.Owner, witness.Set)
	RecordQuiet(fence task.Fence, address string, quiet time.Duration)
	SetWitnessCandidates([]witness.Candidate)
}

// Confirm requests that a witness confirm that it knows no later owner.
type Confirm struct {
	Fence task.Fence `cbor:"fence"`
}

// ConfirmReply is the answer of a witness. Later is the later owner that it knows, if any.
type ConfirmReply struct {
	Confirmed bool           `cbor:"confirmed,omitempty"`
	Later     election.Owner `cbor:"later"`
}

// Supersede announces a new owner to a witness of an earlier one.
type Supersede struct {
	Owner election.Owner `cbor:"owner"`
}

// SupersedeReply reports for how long the witness has confirmed no owner.
type SupersedeReply struct {
	Quiet time.Duration `cbor:"quiet"`
}

func (r *Relay) handleConfirm(_ context.Context, req Confirm) (ConfirmReply, error) {
	later, ok := r.config.Election.ConfirmOwner(req.Fence)
	return ConfirmReply{Confirmed: ok, Later: later}, nil
}

func (r *Relay) handleSupersede(_ context.Context, req Supersede) (SupersedeReply, error) {
	return SupersedeReply{Quiet: r.config.Election.ObserveLaterOwner(req.Owner)}, nil
}

// forEachWitness calls f for each address concurrently, with witnessTimeout.
func forEachWitness(ctx context.Context, addresses witness.Set, f func(ctx context.Context, address string)) {
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, a := range addresses {
		wg.Go(func() { f(ctx, a) })
	}
	wg.Wait()
}

// requestConfirmations requests the confirmations that let this owner extend leases
// without the store.
func (r *Relay) requestConfirmations(ctx context.Context) {
	fence, addresses := r.config.Election.WitnessesToConfirm()
	forEachWitness(ctx, addresses, func(ctx context.Context, address string) {
		asked := timer.SinceBoot()
		reply, err := peer.Call[Confirm, ConfirmReply](ctx, r.config.Pool, address, confirmMethod, Confirm{Fence: fence})
		switch {
		case err != nil: // requested again while the store is suspected
		case reply.Confirmed:
			r.config.Election.RecordConfirmation(fence, address, asked)
		default:
			r.config.Election.RecordLaterOwner(fence, reply.Later)
		}
	})
}

// askWitnesses asks the witnesses of earlier owners whether these may still extend leases.
func (r *Relay) askWitnesses(ctx context.Context) {
	owner, addresses := r.config.Election.WitnessesToAsk()
	now := r.config.Timer.Now()
	if len(addresses) == 0 || now.Sub(r.lastInquiry) < inquiryPause {
		return
	}
	r.lastInquiry = now
	forEachWitness(ctx, addresses, func(ctx context.Context, address string) {
		if address == r.config.Address {
			r.config.Election.RecordQuiet(owner.Fence, address, r.config.Election.ObserveLaterOwner(owner))
			return
		}
		reply, err := peer.Call[Supersede, SupersedeReply](ctx, r.config.Pool, address, supersedeMethod, Supersede{Owner: owner})
		if err == nil { // otherwise it is asked again
			r.config.Election.RecordQuiet(owner.Fence, address, reply.Quiet)
		}
	})
}

// candidate is a node that can be a witness.
type candidate struct {
	zone   id.Zone
	seenAt time.Time
}

// observeCandidate records whether the sender of a heartbeat can be a witness.
func (r *Relay) observeCandidate(now time.Time, h Heartbeat) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if h.Witness {
		r.candidates[h.Address] = candidate{zone: h.Zone, seenAt: now}
	} else {
		delete(r.candidates, h.Address)
	}
}

// offerWitnesses offers the nodes that have recently sent heartbeats as witnesses.
func (r *Relay) offerWitnesses() {
	now := r.config.Timer.Now()
	if now.Sub(r.lastCandidates) < candidatesPause {
		return
	}
	r.lastCandidates = now
	var all []witness.Candidate
	r.mu.Lock()
	for address, c := range r.candidates {
		if now.Sub(c.seenAt) > candidateExpiry {
			delete(r.candidates, address)
			continue
		}
		all = append(all, witness.Candidate{Address: address, Zone: c.zone})
	}
	r.mu.Unlock()
	r.config.Election.SetWitnessCandidates(all)
}
