// Package cluster reaches the owners of shards and the other entry nodes. A
// request about a shard is a stage that runs on the owner, wherever that is.
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

// Waits of a call whose shard has no owner at present. A takeover ends within
// three seconds.
const (
	ownerRetryInterval = 50 * time.Millisecond
	ownerRetryTimeout  = 3500 * time.Millisecond
)

// Directory tells which node owns a shard.
type Directory interface {
	OwnerOf(shard id.Shard) (node id.Node, address string, ok bool)
}

// Router finds and calls owners.
type Router struct {
	Self      id.Node
	Directory Directory
	Pool      *peer.Pool
	Timer     timer.Service
}

// Call is a request that the owner of a shard answers.
type Call[Req, Resp any] struct {
	// Method is the name of the peer method.
	Method string
	// Shard returns the shard that a request is about.
	Shard func(Req) id.Shard
	// Local answers on the owner. It returns a NotOwner error without effect
	// when this node does not own the shard.
	Local func(context.Context, Req) (Resp, error)
	// Idempotent says that the request may be sent again when the answer to
	// it was lost.
	Idempotent bool
}

type routed[Req, Resp any] struct {
	router *Router
	call   Call[Req, Resp]
}

// Serve registers a call as a peer method and returns the stage that answers
// it from any node. It is used before the server starts.
func Serve[Req, Resp any](r *Router, s *peer.Server, c Call[Req, Resp]) pipe.Filter[Req, Resp] {
	peer.Handle(s, c.Method, c.Local)
	return &routed[Req, Resp]{router: r, call: c}
}

// Process sends the request to the owner of its shard. While the shard has no
// owner it waits, at most for the time of a takeover.
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

// canRetry reports whether a failed request had no effect because the owner was
// not reached, or may be repeated.
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

// NotOwner returns the error of a node that does not own a shard.
func NotOwner(shard id.Shard) error {
	return problem.New(problem.NotOwner, problem.Detail{Field: "shard", Value: string(shard),
		Remedy: "try again within seconds; another node takes the shard over"})
}
