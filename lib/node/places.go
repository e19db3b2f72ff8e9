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

// drainPrefix is the prefix of the keys that mark workers as draining. It is
// followed by the zone and the worker.
const drainPrefix = "drain/"

// The scheduler stores snapshots only if its journal is a Snapshotter. Without
// them the journal of a shard would grow without bound.
var _ scheduler.Snapshotter = (*journal.Writer)(nil)

// placementShards opens the placement shards that this node owns.
type placementShards struct {
	clock           timer.Service
	store           *kv.Client
	syncer          *configsync.Syncer
	historySettings settings.History
	jobMemory       unit.Bytes // of the unfinished jobs of a zone
	observer        observer
	set             *metrics.Set
	open            *shard.Map[id.Shard, *placementShard]
}

func newPlacementShards(s settings.Daemon, clock timer.Service, store *kv.Client, syncer *configsync.Syncer, obs observer, set *metrics.Set) *placementShards {
	return &placementShards{clock: clock, store: store, syncer: syncer, historySettings: s.History, jobMemory: unit.Bytes(s.Limits.JobMemory), observer: obs, set: set, open: shard.NewMap[id.Shard, *placementShard]()}
}

// Placement returns a placement shard that this node owns.
func (p *placementShards) Placement(s id.Shard) (dispatch.Shard, bool) {
	placement, ok := p.open.Get(s)
	return placement, ok
}

// configure applies a configuration to all open shards.
func (p *placementShards) configure(set *record.Set) {
	p.open.Range(func(_ id.Shard, placement *placementShard) bool {
		placement.addresses.set(set, placement.zone)
		placement.scheduler.SetConfig(set)
		return true
	})
}

// Open takes over the placement of a zone. It restores the jobs from the journal
// and requests the list of running tasks from each worker.
func (p *placementShards) Open(ctx context.Context, s id.Shard, t *owner.Term, snapshot []byte, entries []journal.Entry) (owner.Shard, error) {
	zone := id.Zone(strings.TrimPrefix(string(s), "place/"))
	set := p.syncer.Current()
	draining, err := p.draining(ctx, zone)
	if err != nil {
		return nil, err
	}
	placement := &placementShard{shards: p, shard: s, zone: zone}
	placement.addresses.set(set, zone)
	placement.placer, err = placer.New(placer.Config{Zone: zone, Epoch: t.Epoch(), Clock: p.clock, Records: set, Draining: draining})
	if err != nil {
		return nil, err
	}
	placement.history = history.New(history.Config{Zone: zone, Store: p.store, Clock: p.clock, MaxAge: time.Duration(p.historySettings.Delay),
		Retention: time.Duration(p.historySettings.Retention), MaxSize: unit.Bytes(p.historySettings.SizePerZone)})
	placement.scheduler, err = scheduler.New(scheduler.Config{
		Shard: s, Zone: zone, Clock: p.clock, Planner: placement.placer, Journal: t.Journal(), Term: t, History: placement.history, Observer: p.observer, Metrics: p.set,
		Workers: worker.New(worker.Config{Clock: p.clock, Transport: worker.NewHTTP(worker.HTTPConfig{
			Client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}, URL: placement.addresses.url})}),
		JobMemory: p.jobMemory, Records: set, Snapshot: snapshot, Items: itemsOf(entries),
	})
	if err != nil {
		placement.history.Abandon()
		return nil, err
	}
	p.open.Set(s, placement)
	// configure does not reach a shard before Set, so it may have missed a change of
	// the configuration since the call of Current.
	placement.addresses.set(p.syncer.Current(), zone)
	placement.scheduler.SetConfig(p.syncer.Current())
	return placement, nil
}

// draining returns the workers of a zone that are marked as draining.
func (p *placementShards) draining(ctx context.Context, zone id.Zone) ([]id.Worker, error) {
	prefix := drainPrefix + string(zone) + "/"
	var draining []id.Worker
	after := ""
	for {
		items, err := p.store.List(ctx, prefix, after, 1000)
		if err != nil || len(items) == 0 {
			return draining, err
		}
		for _, item := range items {
			draining = append(draining, id.Worker(strings.TrimPrefix(item.Key, prefix)))
		}
		after = items[len(items)-1].Key
	}
}
