package node

import (
	"context"
	"strings"

	"bronzewinch.dev/lib/cluster"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/journal"
	"bronzewinch.dev/lib/owner"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/requestshard"
	"bronzewinch.dev/lib/shard"
	"bronzewinch.dev/lib/timer"
)

// idsPerShard limits the number of request ids that one request shard stores. At
// about 200 bytes per id, a node that owns an eighth of the 64 shards uses at most
// 13 MB for them.
const idsPerShard = 8000

// requestShards opens the request shards that this node owns.
type requestShards struct {
	clock timer.Service
	open  *shard.Map[id.Shard, *requestshard.Shard]
}

func newRequestShards(clock timer.Service) *requestShards {
	return &requestShards{clock: clock, open: shard.NewMap[id.Shard, *requestshard.Shard]()}
}

// Request returns a request shard that this node owns.
func (r *requestShards) Request(s id.Shard) (cluster.LocalRequestShard, bool) {
	requestShard, ok := r.open.Get(s)
	return requestShard, ok
}

// Open restores a request shard from its journal.
func (r *requestShards) Open(_ context.Context, s id.Shard, t *owner.Term, snapshot []byte, entries []journal.Entry) (owner.Shard, error) {
	shardJournal := newShardJournal(s, t.Journal())
	requestShard, err := requestshard.Open(requestshard.Config{
		Journal: shardJournal, Term: t, Clock: r.clock, Limit: idsPerShard, Snapshot: snapshot, Items: itemsOf(entries),
	})
	if err != nil {
		return nil, err
	}
	shardJournal.setEncoder(requestShard.Snapshot)
	r.open.Set(s, requestShard)
	return openRequestShard{r, s, requestShard, shardJournal}, nil
}

// openRequestShard is a request shard that this node owns and must close before a
// handover.
type openRequestShard struct {
	shards  *requestShards
	name    id.Shard
	shard   *requestshard.Shard
	journal *shardJournal
}

// Close stops serving the shard on this node, after the calls in progress.
func (o openRequestShard) Close(ctx context.Context) error {
	o.shards.open.Delete(o.name)
	o.shard.Close(ctx)
	o.journal.Close()
	return nil
}

func itemsOf(entries []journal.Entry) [][]byte {
	var items [][]byte
	for _, e := range entries {
		items = append(items, e.Items...)
	}
	return items
}

// opener maps the kind of a shard, the first part of its name, to the Opener of
// that kind.
type opener map[string]owner.Opener

// Open opens a shard with the Opener of its kind.
func (o opener) Open(ctx context.Context, s id.Shard, t *owner.Term, snapshot []byte, entries []journal.Entry) (owner.Shard, error) {
	kind, _, _ := strings.Cut(string(s), "/")
	kindOpener, ok := o[kind]
	if !ok {
		return nil, problem.New(problem.Internal, problem.Detail{Field: "shard", Value: string(s),
			Limit: "place/<zone> or once/<number>", Remedy: "update this node; a newer release may have created the shard"})
	}
	return kindOpener.Open(ctx, s, t, snapshot, entries)
}
