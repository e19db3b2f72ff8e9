// Package dispatch accepts jobs and requests about jobs and workers on any
// entry node. It validates a job, chooses its availability zone, and forwards
// it to the owner of that zone's placement shard.
package dispatch

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"

	"bronzewinch.dev/lib/cluster"
	"bronzewinch.dev/lib/decision"
	"bronzewinch.dev/lib/fleet"
	"bronzewinch.dev/lib/guarantee"
	"bronzewinch.dev/lib/history"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/operator"
	"bronzewinch.dev/lib/peer"
	"bronzewinch.dev/lib/pipe"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/record"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"
)

// placePrefix is the prefix of the names of placement shards.
const placePrefix = "place/"

// ShardOf returns the placement shard of a zone.
func ShardOf(zone id.Zone) id.Shard { return id.Shard(placePrefix + string(zone)) }

// Shard is a placement shard that this node owns.
type Shard interface {
	Submit(ctx context.Context, spec job.Spec, j id.Job) (job.Job, error)
	Cancel(ctx context.Context, jobs []id.Job) ([]job.Job, error)
	Get(j id.Job) (job.Job, bool)
	List(q operator.JobQuery) []job.Job
	Decisions(q operator.DecisionQuery) []decision.Record
	Load() Load
	Workers() []operator.Worker
	Drain(ctx context.Context, w id.Worker, drain bool) (operator.Worker, error)
}

// LocalShards finds the placement shards that this node owns.
type LocalShards interface {
	Placement(shard id.Shard) (Shard, bool)
}

// ConfigSource returns the current configuration.
type ConfigSource interface {
	Current() *record.Set
}

// History finds decision records that the owners of the shards wrote to the
// history.
type History interface {
	Find(ctx context.Context, q history.Query) ([]decision.Record, error)
}

// Config configures a Dispatcher.
type Config struct {
	Router       *cluster.Router
	Server       *peer.Server
	LocalShards  LocalShards
	ConfigSource ConfigSource
	History      History
	Metrics      *metrics.Set
}

// zoneRequest is a request to the owner of a zone's shard.
type zoneRequest[T any] struct {
	Zone id.Zone `cbor:"1,keyasint"`
	Body T       `cbor:"2,keyasint"`
}

type submission struct {
	Job  id.Job   `cbor:"1,keyasint"`
	Spec job.Spec `cbor:"2,keyasint"`
}

type drainRequest struct {
	Worker id.Worker `cbor:"1,keyasint"`
	Drain  bool      `cbor:"2,keyasint"`
}

// Dispatcher handles requests about the jobs and workers of all zones.
type Dispatcher struct {
	config    ConfigSource
	history   History
	accept    pipe.Filter[submission, job.Job]
	load      pipe.Filter[zoneRequest[id.Job], Load]
	submit    pipe.Filter[zoneRequest[submission], job.Job]
	cancel    pipe.Filter[zoneRequest[[]id.Job], []job.Job]
	list      pipe.Filter[zoneRequest[operator.JobQuery], []job.Job]
	decisions pipe.Filter[zoneRequest[operator.DecisionQuery], []decision.Record]
	workers   pipe.Filter[zoneRequest[struct{}], []operator.Worker]
	drain     pipe.Filter[zoneRequest[drainRequest], operator.Worker]

	mu            sync.Mutex
	binding       *guarantee.Binding // of the configuration at boundRevision
	boundRevision id.Revision
}

// New registers the calls to placement shards and returns a dispatcher.
func New(c Config) *Dispatcher {
	d := &Dispatcher{config: c.ConfigSource, history: c.History}
	d.load = registerCall(c, "zoneLoad", true, func(_ context.Context, s Shard, j id.Job) (Load, error) {
		l := s.Load()
		if j != "" {
			if found, ok := s.Get(j); ok {
				l.Job = &found
			}
		}
		return l, nil
	})
	d.submit = registerCall(c, "submitJob", true, func(ctx context.Context, s Shard, q submission) (job.Job, error) {
		return s.Submit(ctx, q.Spec, q.Job)
	})
	d.cancel = registerCall(c, "cancelJobs", true, func(ctx context.Context, s Shard, jobs []id.Job) ([]job.Job, error) {
		return s.Cancel(ctx, jobs)
	})
	d.list = registerCall(c, "listJobs", true, func(_ context.Context, s Shard, q operator.JobQuery) ([]job.Job, error) {
		return s.List(q), nil
	})
	d.decisions = registerCall(c, "decisions", true, func(_ context.Context, s Shard, q operator.DecisionQuery) ([]decision.Record, error) {
		return s.Decisions(q), nil
	})
	d.workers = registerCall(c, "workers", true, func(_ context.Context, s Shard, _ struct{}) ([]operator.Worker, error) {
		return s.Workers(), nil
	})
	d.drain = registerCall(c, "drainWorker", true, func(ctx context.Context, s Shard, q drainRequest) (operator.Worker, error) {
		return s.Drain(ctx, q.Worker, q.Drain)
	})
	d.accept = pipe.Then(
		pipe.Instrument(c.Metrics, "jobCheck", pipe.Func[submission, submission](checkSubmission)),
		pipe.Then(
			pipe.Instrument(c.Metrics, "jobZone", pipe.Func[submission, zoneRequest[submission]](d.assignZone)),
			pipe.Instrument(c.Metrics, "jobForward", d.submit)))
	return d
}

// registerCall registers a call to the owner of a zone's shard.
func registerCall[Req, Resp any](c Config, method string, idempotent bool, handle func(context.Context, Shard, Req) (Resp, error)) pipe.Filter[zoneRequest[Req], Resp] {
	return cluster.Serve(c.Router, c.Server, cluster.Call[zoneRequest[Req], Resp]{
		Method: method, Idempotent: idempotent,
		Shard: func(q zoneRequest[Req]) id.Shard { return ShardOf(q.Zone) },
		Local: func(ctx context.Context, q zoneRequest[Req]) (Resp, error) {
			s, ok := c.LocalShards.Placement(ShardOf(q.Zone))
			if !ok {
				var none Resp
				return none, cluster.NotOwner(ShardOf(q.Zone))
			}
			return handle(ctx, s, q.Body)
		},
	})
}

// Submit accepts a job durably. If a job with the same id and spec was accepted
// before, Submit returns its current state. A job that no declared zone can
// ever run is rejected with a NeverFits error, which names the nearest shape
// that could run.
func (d *Dispatcher) Submit(ctx context.Context, j id.Job, spec job.Spec) (job.Job, error) {
	return d.accept.Process(ctx, submission{j, spec})
}

func checkSubmission(_ context.Context, s submission) (submission, error) {
	if err := id.Check("job", string(s.Job)); err != nil {
		return s, err
	}
	return s, s.Spec.Validate()
}

// assignZone chooses the zone of a job: the zone that already has the job, or
// else the best of those that could run it.
func (d *Dispatcher) assignZone(ctx context.Context, s submission) (zoneRequest[submission], error) {
	set := d.config.Current()
	zones, err := d.candidateZones(set, s.Spec)
	if err != nil {
		return zoneRequest[submission]{}, err
	}
	loads, err := queryZones(ctx, zones, func(ctx context.Context, z id.Zone) (Load, error) {
		return d.load.Process(ctx, zoneRequest[id.Job]{z, s.Job})
	})
	if err != nil {
		return zoneRequest[submission]{}, err
	}
	for _, l := range loads {
		if l.Job != nil {
			return zoneRequest[submission]{l.Zone, s}, nil
		}
	}
	key := record.GuaranteeKey{Account: s.Spec.Account, Name: s.Spec.Claim}
	loads = openZones(set, loads)
	zone := chooseZone(s.Spec, loads, func(z id.Zone) int { return d.bindingFor(set).CopyCounts(z)[key] })
	return zoneRequest[submission]{zone, s}, nil
}

// candidateZones returns the zones that could run a job.
func (d *Dispatcher) candidateZones(set *record.Set, spec job.Spec) ([]id.Zone, error) {
	if spec.Claim != "" {
		return d.claimZones(set, spec)
	}
	var fitting []id.Zone
	var declared []record.Zone
	for name, z := range set.Zones {
		if spec.Zone != "" && spec.Zone != name {
			continue
		}
		declared = append(declared, z)
		if _, ok := fleet.NearestShape([]record.Zone{z}, spec.Shape); ok {
			fitting = append(fitting, name)
		}
	}
	if len(fitting) > 0 {
		return fitting, nil
	}
	slices.SortFunc(declared, func(a, b record.Zone) int { return cmp.Compare(a.Name, b.Name) })
	nearest, _ := fleet.NearestShape(declared, spec.Shape)
	remedy := "declare a zone with workers"
	if nearest.Workers > 0 {
		remedy = fmt.Sprintf("ask for at most %v, which could run", nearest)
	}
	return nil, problem.New(problem.NeverFits, problem.Detail{
		Field: "shape", Value: spec.Shape.String(), Limit: "the declared fleet", Remedy: remedy})
}

// claimZones returns the zones in which copies of a claimed shape are bound.
func (d *Dispatcher) claimZones(set *record.Set, spec job.Spec) ([]id.Zone, error) {
	key := record.GuaranteeKey{Account: spec.Account, Name: spec.Claim}
	g, ok := set.Guarantees[key]
	if !ok {
		return nil, problem.New(problem.NotFound, problem.Detail{Field: "claim", Value: string(spec.Claim),
			Limit:  "a guaranteed shape of account " + string(spec.Account),
			Remedy: "claim a guaranteed shape of the account, or submit the job without a claim"})
	}
	var zones []id.Zone
	for z := range set.Zones {
		if (spec.Zone == "" || spec.Zone == z) && d.bindingFor(set).CopyCounts(z)[key] > 0 {
			zones = append(zones, z)
		}
	}
	if len(zones) == 0 {
		return nil, problem.New(problem.Invalid, problem.Detail{Field: "zone", Value: string(spec.Zone),
			Limit: fmt.Sprintf("a zone with a copy of shape %s", g.Name), Remedy: "leave the zone empty"})
	}
	return zones, nil
}

// bindingFor returns the binding of the guarantees of a configuration. It
// caches the binding of the last revision.
func (d *Dispatcher) bindingFor(set *record.Set) *guarantee.Binding {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.binding == nil || d.boundRevision != set.Revision {
		b, err := guarantee.BindSet(set)
		if err != nil { // not expected, because only valid configurations are accepted
			b = &guarantee.Binding{}
		}
		d.binding, d.boundRevision = b, set.Revision
	}
	return d.binding
}

// queryZones queries the owners of the zones concurrently. It returns an error
// if any query fails.
func queryZones[T any](ctx context.Context, zones []id.Zone, query func(context.Context, id.Zone) (T, error)) ([]T, error) {
	results := make([]T, len(zones))
	g, ctx := errgroup.WithContext(ctx)
	for i, z := range zones {
		g.Go(func() error {
			result, err := query(ctx, z)
			results[i] = result
			return err
		})
	}
	return results, g.Wait()
}
