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

	"k8s.io/klog/v2"
)

const (
	// ownProbeTimeout is the time in which the owner's own question to the metadata
	// store has to be answered, and peerProbeTimeout the one for other nodes. The store
	// answers within 4 ms, and on slow days within 240 ms, more or less. Other
	// nodes get much less, so that a store that is slow for all makes no owner
	// hand over: the next one would need more than a second to be at work.
	ownProbeTimeout  = 600 * time.Millisecond
	peerProbeTimeout = 200 * time.Millisecond
	// ownProbeAttempts and ownProbePause keep an owner that is refused once, as by a rate
	// that is used up for a moment, from handing over.
	ownProbeAttempts = 2
	ownProbePause    = 100 * time.Millisecond
	// handOverPause is the pause between attempts to hand over. Each asks the
	// store from some nodes, and calls have a price.
	handOverPause = 500 * time.Millisecond
	// resignTimeout bounds the end of the owner's work, which takes milliseconds.
	resignTimeout = time.Second
)

// StoreProbe asks a node whether it reaches the metadata store.
type StoreProbe struct {
	Node id.Node `cbor:"node"`
}

// StoreProbeReply tells whether it does.
type StoreProbeReply struct {
	Reachable bool `cbor:"reaches"`
}

// RevokeOwner tells a node that the owner with a fence has given up and could not
// tell the metadata store.
type RevokeOwner struct {
	Fence task.Fence `cbor:"fence"`
}

func (r *Relay) handleStoreProbe(ctx context.Context, _ StoreProbe) (StoreProbeReply, error) {
	return StoreProbeReply{Reachable: r.config.Election.StoreReachable(ctx)}, nil
}

func (r *Relay) handleRevokeOwner(ctx context.Context, req RevokeOwner) (struct{}, error) {
	return struct{}{}, r.config.Election.RevokeOwner(ctx, req.Fence)
}

// handOver gives ownership up when the metadata store does not answer this node
// and answers another one. Without it the deployment would wait until the lease
// of the owner key has run out.
func (r *Relay) handOver(ctx context.Context) {
	now := r.config.Timer.Now()
	if now.Sub(r.lastHandOverAttempt) < handOverPause {
		return
	}
	r.lastHandOverAttempt = now
	var wg sync.WaitGroup
	var reachable bool
	wg.Go(func() { reachable = r.probeOwnStore(ctx) })
	successor := r.findSuccessor(ctx)
	wg.Wait()
	if reachable || successor == "" || ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, resignTimeout)
	defer cancel()
	fence, ok := r.config.Election.Resign(ctx)
	if !ok {
		return
	}
	klog.InfoS("ownership handed over", "event", "term", "node", r.config.Node, "fence", fence, "to", successor,
		"cause", "the metadata store answers other nodes and not this one")
	if _, err := peer.Call[RevokeOwner, struct{}](ctx, r.config.Pool, successor, revokeOwnerMethod, RevokeOwner{Fence: fence}); err != nil {
		klog.InfoS("owner key not freed; its lease runs out by itself", "event", "term", "fence", fence, "cause", err)
	}
}

// probeOwnStore reports whether this node reaches the metadata store.
func (r *Relay) probeOwnStore(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, ownProbeTimeout)
	defer cancel()
	for range ownProbeAttempts {
		if r.config.Election.StoreReachable(ctx) {
			return true
		}
		if timer.Sleep(ctx, r.config.Timer, ownProbePause) != nil {
			return false
		}
	}
	return false
}

// findSuccessor returns the address of another node that reaches the metadata store,
// or an empty text.
func (r *Relay) findSuccessor(ctx context.Context) string {
	addresses := r.otherNodes("")
	found := make(chan string, len(addresses))
	ctx, cancel := context.WithTimeout(ctx, peerProbeTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, a := range addresses {
		wg.Go(func() {
			reply, err := peer.Call[StoreProbe, StoreProbeReply](ctx, r.config.Pool, a, storeProbeMethod, StoreProbe{Node: r.config.Node})
			if err == nil && reply.Reachable {
				found <- a
				cancel()
			}
		})
	}
	wg.Wait()
	select {
	case a := <-found:
		return a
	default:
		return ""
	}
}

// revokeIdleOwner frees the place of an owner whose node says that it is idle: its
// process has resigned or was started anew.
func (r *Relay) revokeIdleOwner(ctx context.Context, owner election.Owner) {
	ctx, cancel := context.WithTimeout(ctx, resignTimeout)
	defer cancel()
	if err := r.config.Election.RevokeOwner(ctx, owner.Fence); err != nil && ctx.Err() == nil {
		klog.InfoS("owner key not freed; its lease runs out by itself", "event", "term", "fence", owner.Fence, "cause", err)
	}
	r.config.Election.Refresh()
}
