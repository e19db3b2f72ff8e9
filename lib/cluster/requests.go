package cluster

import (
	"context"
	"fmt"
	"strings"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/once"
	"bronzewinch.dev/lib/outcome"
	"bronzewinch.dev/lib/peer"
	"bronzewinch.dev/lib/pipe"
)

// requestPrefix is the prefix of the names of request shards.
const requestPrefix = "once/"

// RequestShard returns the name of the request shard with number n.
func RequestShard(n int) id.Shard { return id.Shard(fmt.Sprintf("%s%02d", requestPrefix, n)) }

// IsRequestShard reports whether a shard is a request shard.
func IsRequestShard(s id.Shard) bool { return strings.HasPrefix(string(s), requestPrefix) }

// LocalRequestShard is a request shard that this node owns.
type LocalRequestShard interface {
	Begin(ctx context.Context, key id.Request, f once.Fingerprint, maxDuration time.Duration) (once.Result, error)
	Finish(ctx context.Context, key id.Request, run once.RunNumber, o outcome.Outcome, node id.Node) error
	Lookup(ctx context.Context, key id.Request) (once.Result, bool, error)
}

// LocalRequestShards finds the request shards that this node owns.
type LocalRequestShards interface {
	// Request returns a request shard. It returns false if this node does not own it.
	Request(shard id.Shard) (LocalRequestShard, bool)
}

type beginRequest struct {
	Key         id.Request
	Fingerprint once.Fingerprint
	MaxDuration time.Duration `cbor:"Longest"`
}

type finishRequest struct {
	Key     id.Request
	Run     once.RunNumber
	Outcome outcome.Outcome
	Node    id.Node
}

type lookupRequest struct {
	Key id.Request
}

type lookupReply struct {
	Result once.Result `cbor:"Verdict"`
	Known  bool
}

type emptyReply struct{}

// Requests calls the owners of request shards to execute requests at most once.
type Requests struct {
	begin  pipe.Filter[beginRequest, once.Result]
	finish pipe.Filter[finishRequest, emptyReply]
	lookup pipe.Filter[lookupRequest, lookupReply]
}

// NewRequests registers the calls of request shards. The call for Begin is not sent
// again if its response was lost, because the owner may already have allowed the run.
func NewRequests(r *Router, s *peer.Server, local LocalRequestShards, shardOf func(id.Request) int) *Requests {
	shard := func(key id.Request) id.Shard { return RequestShard(shardOf(key)) }
	return &Requests{
		begin: Serve(r, s, Call[beginRequest, once.Result]{
			Method: "beginRequest",
			Shard:  func(q beginRequest) id.Shard { return shard(q.Key) },
			Local: func(ctx context.Context, q beginRequest) (once.Result, error) {
				o, ok := local.Request(shard(q.Key))
				if !ok {
					return once.Result{}, NotOwner(shard(q.Key))
				}
				return o.Begin(ctx, q.Key, q.Fingerprint, q.MaxDuration)
			},
		}),
		finish: Serve(r, s, Call[finishRequest, emptyReply]{
			Method: "finishRequest", Idempotent: true,
			Shard: func(q finishRequest) id.Shard { return shard(q.Key) },
			Local: func(ctx context.Context, q finishRequest) (emptyReply, error) {
				o, ok := local.Request(shard(q.Key))
				if !ok {
					return emptyReply{}, NotOwner(shard(q.Key))
				}
				return emptyReply{}, o.Finish(ctx, q.Key, q.Run, q.Outcome, q.Node)
			},
		}),
		lookup: Serve(r, s, Call[lookupRequest, lookupReply]{
			Method: "lookupRequest", Idempotent: true,
			Shard: func(q lookupRequest) id.Shard { return shard(q.Key) },
			Local: func(ctx context.Context, q lookupRequest) (lookupReply, error) {
				o, ok := local.Request(shard(q.Key))
				if !ok {
					return lookupReply{}, NotOwner(shard(q.Key))
				}
				result, known, err := o.Lookup(ctx, q.Key)
				return lookupReply{result, known}, err
			},
		}),
	}
}

// Begin requests permission for a run from the owner of the key's shard.
func (r *Requests) Begin(ctx context.Context, key id.Request, f once.Fingerprint, maxDuration time.Duration) (once.Result, error) {
	return r.begin.Process(ctx, beginRequest{key, f, maxDuration})
}

// Finish reports the outcome of a run to the owner of the key's shard.
func (r *Requests) Finish(ctx context.Context, key id.Request, run once.RunNumber, o outcome.Outcome, node id.Node) error {
	_, err := r.finish.Process(ctx, finishRequest{key, run, o, node})
	return err
}

// Lookup queries the result of a request from the owner of the key's shard. It
// returns false if the owner has no run of the request.
func (r *Requests) Lookup(ctx context.Context, key id.Request) (once.Result, bool, error) {
	reply, err := r.lookup.Process(ctx, lookupRequest{key})
	return reply.Result, reply.Known, err
}
