package dispatch_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"bronzewinch.dev/lib/cluster"
	"bronzewinch.dev/lib/decision"
	"bronzewinch.dev/lib/dispatch"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/operator"
	"bronzewinch.dev/lib/peer"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/timer"
	"bronzewinch.dev/lib/unit"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
)

var perWorker = unit.Resources{Accelerators: 8, Cores: 16 * unit.Core, Memory: 64 * unit.GiB}

// fakeShard is a placement shard with a fixed load that stores its jobs.
type fakeShard struct {
	load dispatch.Load

	mu   sync.Mutex
	jobs map[id.Job]job.Job
}

func (s *fakeShard) Submit(_ context.Context, spec job.Spec, j id.Job) (job.Job, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.jobs[j]; !ok {
		s.jobs[j] = job.Job{ID: j, Spec: spec, Zone: s.load.Zone, Phase: job.Waiting}
	}
	return s.jobs[j], nil
}

func (s *fakeShard) Cancel(_ context.Context, jobs []id.Job) ([]job.Job, error) {
	var out []job.Job
	for _, j := range jobs {
		if found, ok := s.Get(j); ok {
			out = append(out, found)
		}
	}
	return out, nil
}

func (s *fakeShard) Get(j id.Job) (job.Job, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.jobs[j]
	return found, ok
}

func (s *fakeShard) List(operator.JobQuery) []job.Job {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []job.Job
	for _, j := range s.jobs {
		out = append(out, j)
	}
	return out
}

func (s *fakeShard) Decisions(operator.DecisionQuery) []decision.Record { return nil }
func (s *fakeShard) Load() dispatch.Load                                { return s.load }
func (s *fakeShard) Workers() []operator.Worker                         { return nil }

func (s *fakeShard) Drain(_ context.Context, w id.Worker, _ bool) (operator.Worker, error) {
	return operator.Worker{Name: w, Zone: s.load.Zone}, nil
}

// fakeNode is a node that owns the shards of all zones.
type fakeNode struct {
	set    *record.Set
	shards map[id.Shard]*fakeShard
}

func (n *fakeNode) Current() *record.Set { return n.set }

func (n *fakeNode) Placement(s id.Shard) (dispatch.Shard, bool) {
	shard, ok := n.shards[s]
	return shard, ok
}

func (n *fakeNode) OwnerOf(s id.Shard) (id.Node, string, bool) {
	_, ok := n.shards[s]
	return "self", "", ok
}

// newDispatcher returns a dispatcher on a node with three zones of four workers
// in one rack. The account has a guaranteed shape of a whole rack in the zones
// bole and sululta.
func newDispatcher(t *testing.T) (*fakeNode, *dispatch.Dispatcher) {
	t.Helper()
	node := &fakeNode{set: record.NewSet(), shards: make(map[id.Shard]*fakeShard)}
	node.set.Revision = 1
	for i, zone := range []id.Zone{"akaki", "bole", "sululta"} {
		z := record.Zone{Name: zone, Region: "shewa"}
		for n := range 4 {
			z.Workers = append(z.Workers, record.Worker{Name: id.Worker(fmt.Sprint(zone, "-", n)),
				Rack: id.Rack(zone) + "-r1", Resources: perWorker})
		}
		node.set.Zones[zone] = z
		node.shards[dispatch.ShardOf(zone)] = &fakeShard{jobs: make(map[id.Job]job.Job),
			load: dispatch.Load{Zone: zone, Free: unit.Accelerators(8 * (i + 1))}}
	}
	for _, zone := range []id.Zone{"bole", "sululta"} {
		g := record.Guarantee{Account: "maps", Name: "rack", Count: 1, Zone: zone,
			Shape: job.Shape{Workers: 4, PerWorker: perWorker, Locality: job.SameRack}}
		g.Name += "." + id.Shape(zone)
		node.set.Guarantees[record.GuaranteeKey{Account: "maps", Name: g.Name}] = g
	}
	d := dispatch.New(dispatch.Config{
		Router: &cluster.Router{Self: "self", Directory: node, Timer: timer.NewSystem()},
		Server: peer.NewServer(peer.ServerConfig{}), LocalShards: node, ConfigSource: node, Metrics: metrics.NewSet(),
	})
	return node, d
}

func spec(workers unit.Workers, claim id.Shape) job.Spec {
	return job.Spec{Account: "maps", Claim: claim, DeclaredRun: time.Hour, Program: "skymap/render",
		Shape: job.Shape{Workers: workers, PerWorker: perWorker, Locality: job.SameRack}}
}

// TestSubmitChoosesZone guards against jobs sent to a zone that can't run them
// or that has fewer spare accelerators than another, and against claims sent to
// a zone without a copy of the shape.
func TestSubmitChoosesZone(t *testing.T) {
	tests := []struct {
		name string
		spec job.Spec
		want id.Zone
		kind problem.Kind
	}{
		{"most spare accelerators", spec(2, ""), "sululta", ""},
		{"requested zone", func() job.Spec { s := spec(2, ""); s.Zone = "akaki"; return s }(), "akaki", ""},
		{"claim", spec(4, "rack.bole"), "bole", ""},
		{"claim of an unknown shape", spec(4, "other"), "", problem.NotFound},
		{"claim in another zone", func() job.Spec { s := spec(4, "rack.bole"); s.Zone = "akaki"; return s }(), "", problem.Invalid},
		{"never fits", spec(5, ""), "", problem.NeverFits},
		{"no workers", spec(0, ""), "", problem.Invalid},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, d := newDispatcher(t)
			j, err := d.Submit(t.Context(), "j1", tt.spec)
			is.Equal(problem.KindOf(err), tt.kind)
			is.Equal(j.Zone, tt.want)
		})
	}
}

// TestSubmitAgain guards against a job that is accepted in two zones: the
// response to its first submission is lost, it is submitted again, and
// meanwhile another zone has become the best.
func TestSubmitAgain(t *testing.T) {
	is := is.New(t)
	node, d := newDispatcher(t)
	first, err := d.Submit(t.Context(), "j1", spec(2, ""))
	is.NoErr(err)
	node.shards[dispatch.ShardOf("akaki")].load.Free = 1000 // now the best zone
	again, err := d.Submit(t.Context(), "j1", spec(2, ""))
	is.NoErr(err)
	is.Equal(again.Zone, first.Zone)
	jobs, err := d.List(t.Context(), operator.JobQuery{})
	is.NoErr(err)
	is.Equal(len(jobs), 1)
}

// TestSubmitAvoidsEvacuatedZones guards against a job that waits in an evacuated zone although
// another one can run it, and against one that is refused, or accepted a second time, as
// all its zones are evacuated.
func TestSubmitAvoidsEvacuatedZones(t *testing.T) {
	is := is.New(t)
	node, d := newDispatcher(t)
	evacuate := func(name id.Zone) {
		z := node.set.Zones[name]
		z.Evacuated = true
		node.set.Zones[name] = z
	}
	for n, want := range []id.Zone{"sululta", "bole", "akaki", "sululta"} {
		name := id.Job(fmt.Sprint("j", n))
		j, err := d.Submit(t.Context(), name, spec(2, ""))
		is.NoErr(err)
		is.Equal(j.Zone, want)
		evacuate(want)
		again, err := d.Submit(t.Context(), name, spec(2, ""))
		is.NoErr(err)
		is.Equal(again.Zone, want)
	}
}

// TestNeverFitsNamesNearestShape guards against a NeverFits error that does not
// name a shape that could run.
func TestNeverFitsNamesNearestShape(t *testing.T) {
	is := is.New(t)
	_, d := newDispatcher(t)
	_, err := d.Submit(t.Context(), "j1", spec(5, ""))
	is.Equal(problem.As(err).Remedy,
		"ask for at most 4 x (8 accelerators, 16 cores, 64 GiB) in one rack, which could run")
}

// TestUnreachableZone guards against a job that is accepted a second time while
// the zone that may already have it is unreachable.
func TestUnreachableZone(t *testing.T) {
	is := is.New(t)
	node, d := newDispatcher(t)
	delete(node.shards, dispatch.ShardOf("akaki"))
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := d.Submit(ctx, "j1", spec(2, ""))
	is.True(problem.Is(err, problem.NotOwner))
	for _, z := range node.shards {
		is.Equal(len(z.jobs), 0)
	}
}

// TestCallsReachAllZones guards against requests that are answered from one
// zone only.
func TestCallsReachAllZones(t *testing.T) {
	is := is.New(t)
	_, d := newDispatcher(t)
	for i, zone := range []id.Zone{"akaki", "bole"} {
		s := spec(1, "")
		s.Zone = zone
		_, err := d.Submit(t.Context(), id.Job(fmt.Sprint("j", i)), s)
		is.NoErr(err)
	}
	cancelled, err := d.Cancel(t.Context(), []id.Job{"j0", "j1", "unknown"})
	is.NoErr(err)
	is.Equal(len(cancelled), 2)
	j, err := d.Get(t.Context(), "j1")
	is.NoErr(err)
	is.Equal(j.Zone, id.Zone("bole"))
	_, err = d.Get(t.Context(), "unknown")
	is.True(problem.Is(err, problem.NotFound))
	worker, err := d.Drain(t.Context(), "bole-2", true)
	is.NoErr(err)
	is.Equal(worker.Zone, id.Zone("bole"))
	_, err = d.Drain(t.Context(), "other", true)
	is.True(problem.Is(err, problem.NotFound))
}
