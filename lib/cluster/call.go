// Package cluster routes requests to the owners of shards, and calls the other entry
// nodes. A request about a shard is a pipeline stage that runs on the node that owns
// the shard.
package cluster

import (
	"context"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/peer"
	"bronzewinch.dev/lib/pipe"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/timer"

	"github.com/cockroachdb/errors"
)

// The interval and timeout of retries while the owner of a shard is not known or
// can't be reached. A takeover ends within three seconds.
const (
	ownerRetryInterval = 50 * time.Millisecond
	ownerRetryTimeout  = 3500 * time.Millisecond
)

// Directory finds the owners of shards.
type Directory interface {
	// OwnerOf returns the owner of a shard and its address. It returns false if the
	// owner is not known.
	OwnerOf(shard id.Shard) (node id.Node, address string, ok bool)
}

// Router holds what a node needs to find and call the owners of shards.
type Router struct {
	Self      id.Node
	Directory Directory
	Pool      *peer.Pool
	Timer     timer.Service
}

// Call is a type of request that the owner of a shard handles.
type Call[Req, Resp any] struct {
	// Method is the name of the peer method.
	Method string
	// Shard returns the shard whose owner handles a request.
	Shard func(Req) id.Shard
	// Local handles a request on the owner. If this node does not own the shard, it
	// has no effect and the error is NotOwner.
	Local func(context.Context, Req) (Resp, error)
	// Idempotent means that the request may be sent again if its response was lost.
	Idempotent bool
}

type routed[Req, Resp any] struct {
	router *Router
	call   Call[Req, Resp]
}

// Serve registers a call as a peer method and returns the stage that sends its
// requests to the owner from any node. It must be called before the server starts.
func Serve[Req, Resp any](r *Router, s *peer.Server, c Call[Req, Resp]) pipe.Filter[Req, Resp] {
	peer.Handle(s, c.Method, c.Local)
	return &routed[Req, Resp]{router: r, call: c}
}

// Process sends the request to the owner of its shard. While the owner is not known
// or can't be reached, it retries for ownerRetryTimeout.
func (f *routed[Req, Resp]) Process(ctx context.Context, req Req) (Resp, error) {
	shard := f.call.Shard(req)
	deadline := f.router.Timer.Now().Add(ownerRetryTimeout)
	for {
		resp, err := f.callOnce(ctx, shard, req)
		if !f.canRetry(err) || f.router.Timer.Now().After(deadline) {
			return resp, err
		}
		if timer.Sleep(ctx, f.router.Timer, timer.Jitter(ownerRetryInterval)) != nil {
			return resp, err
		}
	}
}

func (f *routed[Req, Resp]) callOnce(ctx context.Context, shard id.Shard, req Req) (Resp, error) {
	node, address, ok := f.router.Directory.OwnerOf(shard)
	switch {
	case !ok:
		var none Resp
		return none, NotOwner(shard)
	case node == f.router.Self:
		return f.call.Local(ctx, req)
	}
	return peer.Call[Req, Resp](ctx, f.router.Pool, address, f.call.Method, req)
}

// canRetry reports whether a failed request may be sent again, because it did not
// reach the owner and had no effect, or because the call is idempotent.
func (f *routed[Req, Resp]) canRetry(err error) bool {
	if errors.Is(err, peer.ErrNotSent) {
		return true
	}
	switch problem.KindOf(err) {
	case problem.NotOwner:
		return true
	case problem.Unknown:
		return f.call.Idempotent
	}
	return false
}

// NotOwner returns the error of a request to a node that does not own the shard.
func NotOwner(shard id.Shard) error {
	return problem.New(problem.NotOwner, problem.Detail{Field: "shard", Value: string(shard),
		Remedy: "retry in a few seconds; another node is taking over the shard"})
}
