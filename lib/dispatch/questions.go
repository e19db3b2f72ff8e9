package dispatch

import (
	"cmp"
	"context"
	"maps"
	"slices"

	"bronzewinch.dev/lib/decision"
	"bronzewinch.dev/lib/history"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/operator"
	"bronzewinch.dev/lib/problem"
)

// Cancel requests the end of jobs and returns their current state. Ids without
// a job are omitted.
func (d *Dispatcher) Cancel(ctx context.Context, jobs []id.Job) ([]job.Job, error) {
	found, err := queryZones(ctx, d.allZones(), func(ctx context.Context, z id.Zone) ([]job.Job, error) {
		return d.cancel.Process(ctx, zoneRequest[[]id.Job]{z, jobs})
	})
	return mergeJobs(found), err
}

// Get returns one job.
func (d *Dispatcher) Get(ctx context.Context, j id.Job) (job.Job, error) {
	loads, err := queryZones(ctx, d.allZones(), func(ctx context.Context, z id.Zone) (Load, error) {
		return d.load.Process(ctx, zoneRequest[id.Job]{z, j})
	})
	for _, l := range loads {
		if l.Job != nil {
			return *l.Job, nil
		}
	}
	if err != nil {
		return job.Job{}, err
	}
	return job.Job{}, problem.New(problem.NotFound, problem.Detail{Field: "job", Value: string(j),
		Remedy: "list the jobs; ended jobs are kept for a limited time"})
}

// List returns the jobs of all zones, ordered by id.
func (d *Dispatcher) List(ctx context.Context, q operator.JobQuery) ([]job.Job, error) {
	zones, err := d.selectZones(q.Zone)
	if err != nil {
		return nil, err
	}
	found, err := queryZones(ctx, zones, func(ctx context.Context, z id.Zone) ([]job.Job, error) {
		return d.list.Process(ctx, zoneRequest[operator.JobQuery]{z, q})
	})
	jobs := mergeJobs(found)
	if q.Limit > 0 && len(jobs) > q.Limit {
		jobs = jobs[:q.Limit]
	}
	return jobs, err
}

// Decisions returns decision records from the shards and from the history,
// ordered by zone, epoch and version.
func (d *Dispatcher) Decisions(ctx context.Context, q operator.DecisionQuery) ([]decision.Record, error) {
	zones, err := d.selectZones(q.Zone)
	if err != nil {
		return nil, err
	}
	found, err := queryZones(ctx, zones, func(ctx context.Context, z id.Zone) ([]decision.Record, error) {
		return d.decisions.Process(ctx, zoneRequest[operator.DecisionQuery]{z, q})
	})
	if err != nil {
		return nil, err
	}
	// The shards are queried first: records that they drop meanwhile are
	// already in the history.
	archived, err := queryZones(ctx, zones, func(ctx context.Context, z id.Zone) ([]decision.Record, error) {
		return d.findInHistory(ctx, z, q, found)
	})
	for i, list := range archived {
		archived[i] = history.Merge(list, found[i])
		if q.Limit > 0 && len(archived[i]) > q.Limit {
			archived[i] = archived[i][:q.Limit]
		}
	}
	return slices.Concat(archived...), err
}

// findInHistory returns the records of the history that match a query. All
// records of a job are in one zone, so the other zones are not searched once a
// shard has returned records of the job.
func (d *Dispatcher) findInHistory(ctx context.Context, z id.Zone, q operator.DecisionQuery, found [][]decision.Record) ([]decision.Record, error) {
	for _, list := range found {
		if q.Job != "" && len(list) > 0 && list[0].Zone != z {
			return nil, nil
		}
	}
	return d.history.Find(ctx, history.Query{Zone: z, Job: q.Job, After: history.Position{Epoch: q.Epoch, Version: q.Version}, Limit: q.Limit})
}

// Workers returns the workers of a zone, or of all zones.
func (d *Dispatcher) Workers(ctx context.Context, zone id.Zone) ([]operator.Worker, error) {
	zones, err := d.selectZones(zone)
	if err != nil {
		return nil, err
	}
	found, err := queryZones(ctx, zones, func(ctx context.Context, z id.Zone) ([]operator.Worker, error) {
		return d.workers.Process(ctx, zoneRequest[struct{}]{Zone: z})
	})
	return slices.Concat(found...), err
}

// Drain starts or ends the drain of a worker. A draining worker receives no new
// work.
func (d *Dispatcher) Drain(ctx context.Context, w id.Worker, drain bool) (operator.Worker, error) {
	for name, z := range d.config.Current().Zones {
		for _, declared := range z.Workers {
			if declared.Name == w {
				return d.drain.Process(ctx, zoneRequest[drainRequest]{name, drainRequest{w, drain}})
			}
		}
	}
	return operator.Worker{}, problem.New(problem.NotFound, problem.Detail{Field: "worker", Value: string(w),
		Remedy: "list the workers; the name must be declared in a zone record"})
}

// selectZones returns the named zone, or all declared zones if the name is
// empty.
func (d *Dispatcher) selectZones(zone id.Zone) ([]id.Zone, error) {
	if zone == "" {
		return d.allZones(), nil
	}
	if _, ok := d.config.Current().Zones[zone]; !ok {
		return nil, problem.New(problem.NotFound, problem.Detail{Field: "zone", Value: string(zone),
			Remedy: "name the zone of a record in force; `bronzewinch get` lists them"})
	}
	return []id.Zone{zone}, nil
}

func (d *Dispatcher) allZones() []id.Zone { return slices.Sorted(maps.Keys(d.config.Current().Zones)) }

// mergeJobs returns the jobs of several zones, ordered by id.
func mergeJobs(found [][]job.Job) []job.Job {
	jobs := slices.Concat(found...)
	slices.SortFunc(jobs, func(a, b job.Job) int { return cmp.Compare(a.ID, b.ID) })
	return jobs
}
