package node

import (
	"context"
	"net/http"
	"strings"
	"time"

	"bronzewinch.dev/lib/configsync"
	"bronzewinch.dev/lib/dispatch"
	"bronzewinch.dev/lib/history"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/journal"
	"bronzewinch.dev/lib/kv"
	"bronzewinch.dev/lib/owner"
	"bronzewinch.dev/lib/placer"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/scheduler"
	"bronzewinch.dev/lib/settings"
	"bronzewinch.dev/lib/shard"
	"bronzewinch.dev/lib/timer"
	"bronzewinch.dev/lib/unit"
	"bronzewinch.dev/lib/worker"

	"github.com/VictoriaMetrics/metrics"
)

// drainPrefix is the prefix of the keys of workers that operators drain, by
// zone.
const drainPrefix = "drain/"

// Without it the journal of a shard would grow for ever.
var _ scheduler.Snapshotter = (*journal.Writer)(nil)

// placementShards opens the placement shards that this node owns.
type placementShards struct {
	clock  timer.Service
	store  *kv.Client
	syncer *configsync.Syncer
	kept   settings.History
	watch  observer
	set    *metrics.Set
	open   *shard.Map[id.Shard, *place]
}

func newPlacementShards(s settings.Daemon, clock timer.Service, store *kv.Client, syncer *configsync.Syncer, watch observer, set *metrics.Set) *placementShards {
	return &placementShards{clock: clock, store: store, syncer: syncer, kept: s.History, watch: watch, set: set, open: shard.NewMap[id.Shard, *place]()}
}

// Placement returns a placement shard that this node owns.
func (p *placementShards) Placement(s id.Shard) (dispatch.Shard, bool) {
	o, ok := p.open.Get(s)
	return o, ok
}

// configure puts a set of records in force on all open shards.
func (p *placementShards) configure(set *record.Set) {
	p.open.Range(func(_ id.Shard, o *place) bool {
		o.addresses.set(set, o.zone)
		o.scheduler.SetConfig(set)
		return true
	})
}

// Open takes over the placement of a zone: it rebuilds the jobs from the
// journal and asks the workers what they run.
func (p *placementShards) Open(ctx context.Context, s id.Shard, t *owner.Term, snapshot []byte, entries []journal.Entry) (owner.Shard, error) {
	zone := id.Zone(strings.TrimPrefix(string(s), "place/"))
	set := p.syncer.Current()
	draining, err := p.draining(ctx, zone)
	if err != nil {
		return nil, err
	}
	o := &place{shards: p, shard: s, zone: zone}
	o.addresses.set(set, zone)
	o.placer, err = placer.New(placer.Config{Zone: zone, Epoch: t.Epoch(), Clock: p.clock, Records: set, Draining: draining})
	if err != nil {
		return nil, err
	}
	o.history = history.New(history.Config{Zone: zone, Store: p.store, Clock: p.clock, MaxAge: time.Duration(p.kept.Delay),
		Retention: time.Duration(p.kept.Retention), Size: unit.Bytes(p.kept.SizePerZone)})
	o.scheduler, err = scheduler.New(scheduler.Config{
		Shard: s, Zone: zone, Clock: p.clock, Planner: o.placer, Journal: t.Journal(), Term: t, History: o.history, Observer: p.watch, Metrics: p.set,
		Workers: worker.New(worker.Config{Clock: p.clock, Transport: worker.NewHTTP(worker.HTTPConfig{
			Client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}, URL: o.addresses.url})}),
		Records: set, Snapshot: snapshot, Items: itemsOf(entries),
	})
	if err != nil {
		o.history.Abandon()
		return nil, err
	}
	p.open.Set(s, o)
	// A change between Current and Set would be missed by configure.
	o.addresses.set(p.syncer.Current(), zone)
	o.scheduler.SetConfig(p.syncer.Current())
	return o, nil
}

// draining returns the workers of a zone that operators drain.
func (p *placementShards) draining(ctx context.Context, zone id.Zone) ([]id.Worker, error) {
	prefix := drainPrefix + string(zone) + "/"
	var out []id.Worker
	after := ""
	for {
		items, err := p.store.List(ctx, prefix, after, 1000)
		if err != nil || len(items) == 0 {
			return out, err
		}
		for _, item := range items {
			out = append(out, id.Worker(strings.TrimPrefix(item.Key, prefix)))
		}
		after = items[len(items)-1].Key
	}
}
