package caller

import (
	"context"
	"hash/fnv"
	"time"

	"bronzewinch.dev/lib/answers"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/once"
	"bronzewinch.dev/lib/outcome"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/requestshard"
	"bronzewinch.dev/lib/route"
	"bronzewinch.dev/lib/timer"
)

// Shards is the number of request shards of a deployment.
const Shards = 64

// ShardOf returns the request shard of a key, from 0 to Shards-1. The hash is the
// same in every process, because all nodes must agree on the shard.
func ShardOf(key id.Request) int {
	h := fnv.New32a()
	h.Write([]byte(key))
	return int(h.Sum32() % Shards)
}

// LocalDeduplicator is the Deduplicator of a single node that owns all request shards.
type LocalDeduplicator [Shards]*requestshard.Shard

// Begin calls Begin of the shard of the key.
func (l *LocalDeduplicator) Begin(ctx context.Context, key id.Request, f once.Fingerprint, longest time.Duration) (once.Result, error) {
	return l[ShardOf(key)].Begin(ctx, key, f, longest)
}

// Finish calls Finish of the shard of the key.
func (l *LocalDeduplicator) Finish(ctx context.Context, key id.Request, run once.RunNumber, o outcome.Outcome, node id.Node) error {
	return l[ShardOf(key)].Finish(ctx, key, run, o, node)
}

// Lookup calls Lookup of the shard of the key.
func (l *LocalDeduplicator) Lookup(ctx context.Context, key id.Request) (once.Result, bool, error) {
	return l[ShardOf(key)].Lookup(ctx, key)
}

// LocalResponseStore is the ResponseStore of a single node.
type LocalResponseStore struct {
	Store *answers.Store
	Clock timer.Service
}

// Keep stores a response on this node.
func (l LocalResponseStore) Keep(key id.Request, response answers.Response) {
	l.Store.Put(key, response, l.Clock.Now())
}

// Fetch returns a response that is stored on this node.
func (l LocalResponseStore) Fetch(_ context.Context, key id.Request, _ id.Node) (answers.Response, error) {
	if response, ok := l.Store.Get(key, l.Clock.Now()); ok {
		return response, nil
	}
	return answers.Response{}, problem.New(problem.NotFound, problem.Detail{
		Field: "answer", Limit: l.Store.Retention().String(), Remedy: "the response is no longer stored"})
}

// SingleNode is the PositionSource of a deployment with one node.
type SingleNode struct{}

// Position returns rank 0 of 1 node.
func (SingleNode) Position() route.Position { return route.Position{Rank: 0, Count: 1} }

// NoBackendLeaving implements Backends for a deployment in which no backend server
// leaves.
type NoBackendLeaving struct{}

// Leaving returns false.
func (NoBackendLeaving) Leaving(id.Backend) bool { return false }
