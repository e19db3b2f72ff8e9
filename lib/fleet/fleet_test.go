package fleet_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"bronzewinch.dev/lib/fleet"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/unit"

	"github.com/matryer/is"
)

func resources(acc int) unit.Resources {
	return unit.Resources{Accelerators: unit.Accelerators(acc), Cores: unit.Core, Memory: unit.GiB}
}

func newZone(t testing.TB, racks, workers int) *fleet.Zone {
	z := record.Zone{Name: "z"}
	for i := range racks * workers {
		z.Workers = append(z.Workers, record.Worker{Name: id.Worker(fmt.Sprintf("w%d", i)),
			Rack: id.Rack(fmt.Sprintf("r%02d", i/workers)), Resources: unit.Resources{Accelerators: 8, Cores: 32 * unit.Core, Memory: 128 * unit.GiB}})
	}
	state, err := fleet.New(fleet.Config{Zone: z})
	if err != nil {
		t.Fatal(err)
	}
	return state
}

func gang(name id.Job, claim id.Shape, acc int, workers ...id.Worker) fleet.Gang {
	g := fleet.Gang{Job: name, Account: "a", Claim: claim}
	for _, w := range workers {
		g.Members = append(g.Members, job.Member{Worker: w, Resources: resources(acc)})
	}
	return g
}

// TestReserveAllOrNothing guards against a failed Reserve that allocates the
// resources of some members.
func TestReserveAllOrNothing(t *testing.T) {
	is := is.New(t)
	z := newZone(t, 2, 2)
	is.NoErr(z.Reserve(gang("first", "", 6, "w3")))
	before := z.Version()
	err := z.Reserve(gang("second", "", 4, "w0", "w1", "w3"))
	is.True(problem.Is(err, problem.Conflict))
	is.Equal(z.Version(), before)
	is.Equal(z.View().Racks()[0].Summary.FreeAccelerators, unit.Accelerators(16))
	is.True(problem.Is(z.Reserve(gang("third", "", 1, "none")), problem.NotFound))
	is.True(z.Release("first"))
	is.True(!z.Release("first"))
	is.Equal(z.Version(), before+1)
	is.NoErr(z.SetExclusion("w0", fleet.Unhealthy))
	is.True(problem.Is(z.Reserve(gang("fourth", "", 1, "w0")), problem.Conflict))
}

// TestClaimUsesStoppingGangs guards against allocating to an opportunistic gang the
// resources for which a claim waits, and against allocating to a claim the
// resources of a gang that is not stopping.
func TestClaimUsesStoppingGangs(t *testing.T) {
	is := is.New(t)
	z := newZone(t, 1, 1)
	is.NoErr(z.Reserve(gang("work", "", 8, "w0")))
	is.True(problem.Is(z.Reserve(gang("claim", "s", 4, "w0")), problem.Conflict))
	z.MarkStopping("work")
	is.NoErr(z.Reserve(gang("claim", "s", 4, "w0")))
	is.True(problem.Is(z.Reserve(gang("other", "", 1, "w0")), problem.Conflict))
	is.True(problem.Is(z.Reserve(gang("claim2", "s", 5, "w0")), problem.Conflict))
	z.Release("work")
	is.NoErr(z.Reserve(gang("other", "", 4, "w0")))
	w := z.View().Racks()[0].Workers[0]
	is.Equal(w.Claims.Accelerators, unit.Accelerators(4))
	is.Equal(w.Opportunistic.Accelerators, unit.Accelerators(4))
}

// TestViewIsStable guards against a view that shows a change made after it was
// created, and against a change of the view that affects the zone.
func TestViewIsStable(t *testing.T) {
	is := is.New(t)
	z := newZone(t, 2, 2)
	v := z.View()
	is.NoErr(z.Reserve(gang("j", "", 8, "w0")))
	is.Equal(v.Racks()[0].Workers[0].Free.Accelerators, unit.Accelerators(8))
	g := gang("planned", "", 8, "w1")
	v.AddGang(&g)
	is.Equal(z.View().Racks()[0].Workers[1].Free.Accelerators, unit.Accelerators(8))
}

// TestConcurrentReserve guards against deadlock and double allocation when gangs
// with common racks are reserved concurrently.
func TestConcurrentReserve(t *testing.T) {
	is := is.New(t)
	z := newZone(t, 4, 2)
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			for k := range 50 {
				name := id.Job(fmt.Sprintf("j%d-%d", i, k))
				a, b := id.Worker(fmt.Sprintf("w%d", (i+k)%8)), id.Worker(fmt.Sprintf("w%d", (i+k+3)%8))
				if z.Reserve(gang(name, "", 5, a, b)) == nil {
					z.RecordCheckpoint(name, time.Unix(int64(k), 0))
					z.Release(name)
				}
			}
		})
	}
	wg.Wait()
	for _, r := range z.View().Racks() {
		is.Equal(r.Summary.FreeAccelerators, unit.Accelerators(16))
		is.Equal(r.Summary.Idle, unit.Workers(2))
	}
}
