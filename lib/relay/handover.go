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
	// ownProbeTimeout is how long the owner waits for the metadata store to answer
	// its own probe, and peerProbeTimeout how long it waits for the probes of
	// other nodes. The store usually answers within 4 ms, and within about 240 ms
	// when it is slow. The timeout for other nodes is much shorter, so that a
	// store that is slow for all nodes causes no handover: the next owner would
	// need more than a second until it serves calls.
	ownProbeTimeout  = 600 * time.Millisecond
	peerProbeTimeout = 200 * time.Millisecond
	// ownProbeAttempts and ownProbePause keep an owner from handing over after a
	// single rejection, for example by a rate limit that is briefly exceeded.
	ownProbeAttempts = 2
	ownProbePause    = 100 * time.Millisecond
	// storeCheckPause is the pause between checks of a suspected store. Each check calls
	// the store from several nodes, and calls to the store have a cost. It is short enough
	// for two checks within witness.Validity.
	storeCheckPause = 500 * time.Millisecond
	// resignTimeout bounds the end of the term, which takes milliseconds.
	resignTimeout = time.Second
)

// StoreProbe requests that a node check whether it reaches the metadata store.
type StoreProbe struct {
	Node id.Node `cbor:"node"`
}

// StoreProbeReply reports whether the metadata store answered the node.
type StoreProbeReply struct {
	Reachable bool `cbor:"reaches"`
}

// RevokeOwner requests that a node revoke the owner key of the owner with a
// fence, which has resigned and cannot reach the metadata store itself.
type RevokeOwner struct {
	Fence task.Fence `cbor:"fence"`
}

func (r *Relay) handleStoreProbe(ctx context.Context, _ StoreProbe) (StoreProbeReply, error) {
	return StoreProbeReply{Reachable: r.config.Election.StoreReachable(ctx)}, nil
}

func (r *Relay) handleRevokeOwner(ctx context.Context, req RevokeOwner) (struct{}, error) {
	return struct{}{}, r.config.Election.RevokeOwner(ctx, req.Fence)
}

// checkStore finds out what to do about a suspected outage of the metadata store. It
// requests the confirmations that let this owner extend leases in an outage, and hands over
// when the store answers another node and not this one. Otherwise the deployment would have
// to wait until the lease of the owner key has expired.
func (r *Relay) checkStore(ctx context.Context) {
	now := r.config.Timer.Now()
	if now.Sub(r.lastStoreCheck) < storeCheckPause {
		return
	}
	r.lastStoreCheck = now
	var wg sync.WaitGroup
	var reachable bool
	wg.Go(func() { reachable = r.probeOwnStore(ctx) })
	wg.Go(func() { r.requestConfirmations(ctx) })
	successor := r.findSuccessor(ctx)
	wg.Wait()
	if !reachable && successor != "" && ctx.Err() == nil {
		r.handOver(ctx, successor)
	}
}

// handOver resigns and lets the node at an address revoke the owner key.
func (r *Relay) handOver(ctx context.Context, successor string) {
	ctx, cancel := context.WithTimeout(ctx, resignTimeout)
	defer cancel()
	fence, ok := r.config.Election.Resign(ctx)
	if !ok {
		return
	}
	klog.InfoS("ownership handed over", "event", "term", "node", r.config.Node, "fence", fence, "to", successor,
		"cause", "the metadata store answers other nodes and not this one")
	if _, err := peer.Call[RevokeOwner, struct{}](ctx, r.config.Pool, successor, revokeOwnerMethod, RevokeOwner{Fence: fence}); err != nil {
		klog.InfoS("owner key not revoked; its lease will expire", "event", "term", "fence", fence, "cause", err)
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

// findSuccessor returns the address of another node that reaches the metadata
// store, or an empty string.
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

// revokeIdleOwner revokes the owner key of an owner whose node reports that it
// is idle, because it has resigned or its process was restarted.
func (r *Relay) revokeIdleOwner(ctx context.Context, owner election.Owner) {
	ctx, cancel := context.WithTimeout(ctx, resignTimeout)
	defer cancel()
	if err := r.config.Election.RevokeOwner(ctx, owner.Fence); err != nil && ctx.Err() == nil {
		klog.InfoS("owner key not revoked; its lease will expire", "event", "term", "fence", owner.Fence, "cause", err)
	}
	r.config.Election.Refresh()
}
