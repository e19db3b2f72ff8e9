package placer_test

import (
	"fmt"
	"testing"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/placer"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/timer"
	"bronzewinch.dev/lib/unit"

	"github.com/matryer/is"
)

var (
	start         = time.Unix(1000, 0)
	fullResources = unit.Resources{Accelerators: 8, Cores: 16 * unit.Core, Memory: 64 * unit.GiB}
)

// newRecords returns a set of records whose zone has the workers w0, w1 and so
// on in one rack. A worker with zero resources is left out.
func newRecords(revision id.Revision, workers ...unit.Resources) *record.Set {
	s := record.NewSet()
	s.Revision = revision
	z := record.Zone{Name: "bole", Region: "shewa"}
	for i, r := range workers {
		if !r.IsZero() {
			z.Workers = append(z.Workers, record.Worker{Name: id.Worker(fmt.Sprint("w", i)), Rack: "r1", Resources: r})
		}
	}
	s.Zones["bole"] = z
	return s
}

func newPlacer(t *testing.T, s *record.Set) *placer.Placer {
	t.Helper()
	p, err := placer.New(placer.Config{Zone: "bole", Epoch: 1, Clock: timer.NewManual(start), Records: s})
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func waitingJob(name id.Job, workers unit.Workers) job.Job {
	return job.Job{ID: name, Zone: "bole", Phase: job.Waiting, Submitted: start, Spec: job.Spec{Account: "maps",
		DeclaredRun: time.Hour, Program: "p", Shape: job.Shape{Workers: workers, PerWorker: fullResources, Locality: job.SameZone}}}
}

// planAndReserve plans one job and reserves its members. It returns nil when the
// job has to wait.
func planAndReserve(p *placer.Placer, j job.Job) []job.Member {
	for _, r := range p.Plan(start, []job.Job{j}) {
		if r.Job == j.ID && len(r.Members) > 0 {
			p.Reserve(j, r.Members)
			return r.Members
		}
	}
	return nil
}

// TestZoneChangeKeepsGangResources guards against double allocation of
// accelerators when a zone record changes while a gang runs in the zone.
func TestZoneChangeKeepsGangResources(t *testing.T) {
	half := unit.Resources{Accelerators: 4, Cores: 8 * unit.Core, Memory: 32 * unit.GiB}
	tests := []struct {
		name  string
		after []unit.Resources // of w0, w1, w2; the gang runs on w0 and w1
		want  id.Worker        // of the next job
	}{
		{"unchanged", []unit.Resources{fullResources, fullResources, fullResources}, "w2"},
		{"a worker was removed", []unit.Resources{{}, fullResources, fullResources}, "w2"},
		{"a worker has less", []unit.Resources{half, fullResources, fullResources}, "w2"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p := newPlacer(t, newRecords(1, fullResources, fullResources))
			is.Equal(len(planAndReserve(p, waitingJob("gang", 2))), 2)
			p.SetConfig(newRecords(2, tt.after...))
			members := planAndReserve(p, waitingJob("next", 1))
			is.Equal(len(members), 1)
			is.Equal(members[0].Worker, tt.want)
			is.Equal(len(planAndReserve(p, waitingJob("third", 1))), 0) // no worker is free
			p.Release("gang")
			is.Equal(len(planAndReserve(p, waitingJob("third", 1))), 1) // the gang's workers are free again
		})
	}
}

// TestOvercommittedWorkerStaysOut guards against jobs that are placed on a
// worker whose gang still holds more than the changed zone record declares.
func TestOvercommittedWorkerStaysOut(t *testing.T) {
	is := is.New(t)
	p := newPlacer(t, newRecords(1, fullResources))
	is.Equal(len(planAndReserve(p, waitingJob("gang", 1))), 1)
	less := fullResources
	less.Accelerators = 4
	p.SetConfig(newRecords(2, less))
	small := waitingJob("small", 1)
	small.Spec.Shape.PerWorker = unit.Resources{Accelerators: 1, Cores: unit.Core, Memory: unit.GiB}
	is.Equal(len(planAndReserve(p, small)), 0)
	p.Release("gang")
	is.Equal(len(planAndReserve(p, small)), 1)
}

// TestGangOnDrainingWorkerKeepsResources guards against double allocation when
// a worker of a gang begins to drain before the gang is reserved: the gang is
// restored by the next owner of the zone, or the drain begins after the decision
// that places it.
func TestGangOnDrainingWorkerKeepsResources(t *testing.T) {
	tests := []struct {
		name  string
		place func(t *testing.T, gang job.Job) *placer.Placer
	}{
		{"next owner", func(t *testing.T, gang job.Job) *placer.Placer {
			members := planAndReserve(newPlacer(t, newRecords(1, fullResources, fullResources)), gang)
			next, err := placer.New(placer.Config{Zone: "bole", Epoch: 2, Clock: timer.NewManual(start),
				Records: newRecords(1, fullResources, fullResources), Draining: []id.Worker{"w0"}})
			if err != nil {
				t.Fatal(err)
			}
			next.Reserve(gang, members)
			return next
		}},
		{"drain after the decision", func(t *testing.T, gang job.Job) *placer.Placer {
			p := newPlacer(t, newRecords(1, fullResources, fullResources))
			decisions := p.Plan(start, []job.Job{gang})
			p.SetDraining("w0", true)
			p.Reserve(gang, decisions[0].Members)
			return p
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p := tt.place(t, waitingJob("gang", 2))
			is.Equal(len(planAndReserve(p, waitingJob("next", 1))), 0) // w1 is not free
			p.SetDraining("w0", false)
			is.Equal(len(planAndReserve(p, waitingJob("next", 1))), 0) // w0 is not free either
			p.Release("gang")
			is.Equal(len(planAndReserve(p, waitingJob("next", 2))), 2)
		})
	}
}

// TestEvacuatedZone guards against a gang that is placed in an evacuated zone, against one
// that stops because its zone is evacuated, and against a zone that is not used again.
func TestEvacuatedZone(t *testing.T) {
	is := is.New(t)
	evacuated := newRecords(2, fullResources, fullResources)
	z := evacuated.Zones["bole"]
	z.Evacuated = true
	evacuated.Zones["bole"] = z
	p := newPlacer(t, newRecords(1, fullResources, fullResources))
	is.Equal(len(planAndReserve(p, waitingJob("runs", 1))), 1)
	p.SetConfig(evacuated)
	records := p.Plan(start, []job.Job{waitingJob("waits", 1)})
	is.Equal(len(records), 3) // both workers, and the job
	is.Equal(records[0].Reason, "its zone is evacuated")
	is.Equal(len(records[2].Members), 0)
	is.Equal(p.Workers()[0].Jobs, []id.Job{"runs"})
	p.SetConfig(newRecords(3, fullResources, fullResources))
	is.Equal(len(planAndReserve(p, waitingJob("waits", 1))), 1)
}
