package node

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"bronzewinch.dev/lib/decision"
	"bronzewinch.dev/lib/dispatch"
	"bronzewinch.dev/lib/fleet"
	"bronzewinch.dev/lib/history"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/operator"
	"bronzewinch.dev/lib/placer"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/scheduler"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// placementShard is a placement shard that this node owns. It implements
// dispatch.Shard with the scheduler and the placer of the zone.
type placementShard struct {
	shards    *placementShards
	shard     id.Shard
	zone      id.Zone
	addresses addresses
	placer    *placer.Placer
	scheduler *scheduler.Scheduler
	history   *history.Writer
}

// Close stops scheduling in the zone on this node. Running jobs continue.
func (p *placementShard) Close(ctx context.Context) error {
	p.shards.open.Delete(p.shard)
	err := p.scheduler.Close(ctx)
	// The next owner reads records that are not written here from the journal.
	return errors.CombineErrors(err, p.history.Close(ctx))
}

// Submit accepts a job.
func (p *placementShard) Submit(ctx context.Context, spec job.Spec, j id.Job) (job.Job, error) {
	return p.scheduler.Submit(ctx, spec, j)
}

// Cancel cancels those of the given jobs that are in the zone, and returns them
// in their new state. It runs the cancellations in parallel, so that they share
// journal entries.
func (p *placementShard) Cancel(ctx context.Context, jobs []id.Job) ([]job.Job, error) {
	found := make([]job.Job, len(jobs))
	g, ctx := errgroup.WithContext(ctx)
	for i, name := range jobs {
		if _, err := p.scheduler.Get(name); err != nil {
			continue
		}
		g.Go(func() error {
			if _, err := p.scheduler.Cancel(ctx, name); err != nil {
				return err
			}
			var err error
			found[i], err = p.scheduler.Get(name)
			return err
		})
	}
	err := g.Wait()
	return slices.DeleteFunc(found, func(j job.Job) bool { return j.ID == "" }), err
}

// Get returns a job of the zone.
func (p *placementShard) Get(name id.Job) (job.Job, bool) {
	j, err := p.scheduler.Get(name)
	return j, err == nil
}

// List returns the jobs that match a query, in the order of their ids.
func (p *placementShard) List(q operator.JobQuery) []job.Job {
	out := slices.DeleteFunc(p.scheduler.List(), func(j job.Job) bool {
		return q.Account != "" && j.Spec.Account != q.Account || q.Phase != "" && j.Phase != q.Phase ||
			len(q.IDs) > 0 && !slices.Contains(q.IDs, j.ID) || j.ID <= q.After
	})
	if q.Limit > 0 && len(out) > q.Limit {
		out = out[:q.Limit]
	}
	return out
}

// Decisions returns the decision records that match a query, oldest first. It
// covers the records that may not be in the history yet.
func (p *placementShard) Decisions(q operator.DecisionQuery) []decision.Record {
	var out []decision.Record
	if q.Job != "" {
		ofJob, _ := p.scheduler.Decisions(q.Job) // empty for a job of another zone
		out = history.Merge(ofJob, slices.DeleteFunc(p.scheduler.Records(0, 0), func(r decision.Record) bool { return r.Job != q.Job }))
	} else {
		out = p.scheduler.Records(q.Epoch, q.Version)
	}
	slices.SortStableFunc(out, func(a, b decision.Record) int {
		return cmp.Or(cmp.Compare(a.Epoch, b.Epoch), cmp.Compare(a.Version, b.Version))
	})
	if q.Limit > 0 && len(out) > q.Limit {
		out = out[:q.Limit]
	}
	return out
}

// Load returns the figures of the zone from which dispatch chooses a zone for a
// job.
func (p *placementShard) Load() dispatch.Load {
	l := p.placer.Load()
	claims := make(map[record.GuaranteeKey]int)
	for _, j := range p.scheduler.List() {
		if j.Spec.Claim != "" && !j.Phase.Final() {
			claims[record.GuaranteeKey{Account: j.Spec.Account, Name: j.Spec.Claim}]++
		}
	}
	return dispatch.Load{Zone: p.zone, Free: l.Free, Waiting: l.Waiting, Claims: claims}
}

// Workers returns the workers of the zone.
func (p *placementShard) Workers() []operator.Worker {
	states := map[fleet.ExclusionReason]operator.WorkerState{
		fleet.NotExcluded: operator.WorkerUp, fleet.Draining: operator.WorkerDraining,
		fleet.Unhealthy: operator.WorkerFailing, fleet.Lost: operator.WorkerUnreachable,
		fleet.Evacuated: operator.WorkerEvacuated,
	}
	var out []operator.Worker
	for _, w := range p.placer.Workers() {
		out = append(out, operator.Worker{Name: w.Name, Zone: p.zone, Rack: w.Rack, Address: w.Address,
			State: states[w.Out], Declared: w.Declared, Free: w.Free, Jobs: w.Jobs})
	}
	return out
}

// Drain excludes a worker from new work, or includes it again. The change is
// durable when Drain returns, so that later owners apply it too.
func (p *placementShard) Drain(ctx context.Context, w id.Worker, draining bool) (operator.Worker, error) {
	key := drainPrefix + string(p.zone) + "/" + string(w)
	item, err := p.shards.store.Get(ctx, key)
	switch exists := err == nil; {
	case err != nil && !problem.Is(err, problem.NotFound):
		return operator.Worker{}, err
	case draining && !exists:
		_, err = p.shards.store.Put(ctx, key, []byte("{}"), 0, "")
	case !draining && exists:
		err = p.shards.store.Delete(ctx, key, item.Version)
	default:
		err = nil
	}
	if err != nil {
		return operator.Worker{}, err
	}
	p.placer.SetDraining(w, draining)
	for _, worker := range p.Workers() {
		if worker.Name == w {
			return worker, nil
		}
	}
	return operator.Worker{}, problem.New(problem.NotFound, problem.Detail{Field: "worker", Value: string(w),
		Remedy: "list the workers; this one is no longer in its zone"})
}

// addresses maps the workers of a zone to their addresses.
type addresses struct {
	mu       sync.Mutex
	byWorker map[id.Worker]string
}

func (a *addresses) set(set *record.Set, zone id.Zone) {
	byWorker := make(map[id.Worker]string)
	for _, w := range set.Zones[zone].Workers {
		byWorker[w.Name] = w.Address
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.byWorker = byWorker
}

// url returns the base URL of a worker. It returns false if the worker is not in
// the configuration.
func (a *addresses) url(w id.Worker) (string, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	address, ok := a.byWorker[w]
	return "http://" + address, ok
}
