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
	// reachTimeout is the time in which the owner's own question to the metadata
	// store has to be answered, and peerTimeout the one for other nodes. The store
	// answers within 4 ms, and on slow days within 240 ms, more or less. Other
	// nodes get much less, so that a store that is slow for all makes no owner
	// hand over: the next one would need more than a second to be at work.
	reachTimeout = 600 * time.Millisecond
	peerTimeout  = 200 * time.Millisecond
	// reachTries and reachPause keep an owner that is refused once, as by a rate
	// that is used up for a moment, from handing over.
	reachTries = 2
	reachPause = 100 * time.Millisecond
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

func (g *Relay) answerReach(ctx context.Context, _ StoreProbe) (StoreProbeReply, error) {
	return StoreProbeReply{Reachable: g.config.Election.StoreReachable(ctx)}, nil
}

func (g *Relay) answerDepose(ctx context.Context, d RevokeOwner) (struct{}, error) {
	return struct{}{}, g.config.Election.RevokeOwner(ctx, d.Fence)
}

// handOver gives ownership up when the metadata store does not answer this node
// and answers another one. Without it the deployment would wait until the lease
// of the owner key has run out.
func (g *Relay) handOver(ctx context.Context) {
	now := g.config.Timer.Now()
	if now.Sub(g.tried) < handOverPause {
		return
	}
	g.tried = now
	var wg sync.WaitGroup
	var own bool
	wg.Go(func() { own = g.reaches(ctx) })
	successor := g.reaching(ctx)
	wg.Wait()
	if own || successor == "" || ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, resignTimeout)
	defer cancel()
	fence, ok := g.config.Election.Resign(ctx)
	if !ok {
		return
	}
	klog.InfoS("ownership handed over", "event", "term", "node", g.config.Node, "fence", fence, "to", successor,
		"cause", "the metadata store answers other nodes and not this one")
	if _, err := peer.Call[RevokeOwner, struct{}](ctx, g.config.Pool, successor, deposeMethod, RevokeOwner{Fence: fence}); err != nil {
		klog.InfoS("owner key not freed; its lease runs out by itself", "event", "term", "fence", fence, "cause", err)
	}
}

// reaches reports whether this node reaches the metadata store.
func (g *Relay) reaches(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	for range reachTries {
		if g.config.Election.StoreReachable(ctx) {
			return true
		}
		if timer.Sleep(ctx, g.config.Timer, reachPause) != nil {
			return false
		}
	}
	return false
}

// reaching returns the address of another node that reaches the metadata store,
// or an empty text.
func (g *Relay) reaching(ctx context.Context) string {
	addresses := g.others("")
	found := make(chan string, len(addresses))
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, a := range addresses {
		wg.Go(func() {
			r, err := peer.Call[StoreProbe, StoreProbeReply](ctx, g.config.Pool, a, reachMethod, StoreProbe{Node: g.config.Node})
			if err == nil && r.Reachable {
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

// depose frees the place of an owner whose node says that it is idle: its
// process has resigned or was started anew.
func (g *Relay) depose(ctx context.Context, owner election.Owner) {
	ctx, cancel := context.WithTimeout(ctx, resignTimeout)
	defer cancel()
	if err := g.config.Election.RevokeOwner(ctx, owner.Fence); err != nil && ctx.Err() == nil {
		klog.InfoS("owner key not freed; its lease runs out by itself", "event", "term", "fence", owner.Fence, "cause", err)
	}
	g.config.Election.Refresh()
}
