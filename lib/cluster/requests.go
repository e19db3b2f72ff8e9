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

// RequestShard returns the name of a request shard.
func RequestShard(n int) id.Shard { return id.Shard(fmt.Sprintf("%s%02d", requestPrefix, n)) }

// IsRequestShard reports whether a shard is a request shard.
func IsRequestShard(s id.Shard) bool { return strings.HasPrefix(string(s), requestPrefix) }

// LocalRequestShard is a request shard that this node owns.
type LocalRequestShard interface {
	Begin(ctx context.Context, key id.Request, f once.Fingerprint, longest time.Duration) (once.Result, error)
	Finish(ctx context.Context, key id.Request, run once.RunNumber, o outcome.Outcome, node id.Node) error
	Lookup(ctx context.Context, key id.Request) (once.Result, bool, error)
}

// LocalRequestShards returns the request shards that this node owns.
type LocalRequestShards interface {
	Request(shard id.Shard) (LocalRequestShard, bool)
}

type beginRequest struct {
	Key         id.Request
	Fingerprint once.Fingerprint
	Longest     time.Duration
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

type lookupAnswer struct {
	Verdict once.Result
	Known   bool
}

type empty struct{}

// Requests answers questions about at-most-once requests at the owners of
// their shards.
type Requests struct {
	begin  pipe.Filter[beginRequest, once.Result]
	finish pipe.Filter[finishRequest, empty]
	lookup pipe.Filter[lookupRequest, lookupAnswer]
}

// NewRequests registers the calls of request shards. A begin whose answer was
// lost is not sent again: the first may have been allowed.
func NewRequests(r *Router, s *peer.Server, here LocalRequestShards, shardOf func(id.Request) int) *Requests {
	shard := func(key id.Request) id.Shard { return RequestShard(shardOf(key)) }
	return &Requests{
		begin: Serve(r, s, Call[beginRequest, once.Result]{
			Method: "beginRequest",
			Shard:  func(q beginRequest) id.Shard { return shard(q.Key) },
			Local: func(ctx context.Context, q beginRequest) (once.Result, error) {
				o, ok := here.Request(shard(q.Key))
				if !ok {
					return once.Result{}, NotOwner(shard(q.Key))
				}
				return o.Begin(ctx, q.Key, q.Fingerprint, q.Longest)
			},
		}),
		finish: Serve(r, s, Call[finishRequest, empty]{
			Method: "finishRequest", Idempotent: true,
			Shard: func(q finishRequest) id.Shard { return shard(q.Key) },
			Local: func(ctx context.Context, q finishRequest) (empty, error) {
				o, ok := here.Request(shard(q.Key))
				if !ok {
					return empty{}, NotOwner(shard(q.Key))
				}
				return empty{}, o.Finish(ctx, q.Key, q.Run, q.Outcome, q.Node)
			},
		}),
		lookup: Serve(r, s, Call[lookupRequest, lookupAnswer]{
			Method: "lookupRequest", Idempotent: true,
			Shard: func(q lookupRequest) id.Shard { return shard(q.Key) },
			Local: func(ctx context.Context, q lookupRequest) (lookupAnswer, error) {
				o, ok := here.Request(shard(q.Key))
				if !ok {
					return lookupAnswer{}, NotOwner(shard(q.Key))
				}
				v, known, err := o.Lookup(ctx, q.Key)
				return lookupAnswer{v, known}, err
			},
		}),
	}
}

// Begin asks the owner of a key's shard whether the request may run.
func (q *Requests) Begin(ctx context.Context, key id.Request, f once.Fingerprint, longest time.Duration) (once.Result, error) {
	return q.begin.Process(ctx, beginRequest{key, f, longest})
}

// Finish tells the owner of a key's shard how a run ended.
func (q *Requests) Finish(ctx context.Context, key id.Request, run once.RunNumber, o outcome.Outcome, node id.Node) error {
	_, err := q.finish.Process(ctx, finishRequest{key, run, o, node})
	return err
}

// Lookup asks the owner of a key's shard what became of the request. It
// returns false when the owner knows of no run.
func (q *Requests) Lookup(ctx context.Context, key id.Request) (once.Result, bool, error) {
	a, err := q.lookup.Process(ctx, lookupRequest{key})
	return a.Verdict, a.Known, err
}
