package placement_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"bronzewinch.dev/lib/decision"
	"bronzewinch.dev/lib/fleet"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/placement"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/unit"
)

// zoneSizes are numbers of workers in one zone: a deployment's whole fleet, one
// zone at the size expected in two years, and that whole fleet in one zone.
var zoneSizes = []int{50, 160, 960}

// newBusyHarness returns a harness with n workers or a few more, 42 accounts and
// some guarantees, about 80% of the accelerators in use, and about 16 tasks on
// each worker.
func newBusyHarness(b *testing.B, n int) *harness {
	accounts := make(map[id.Account]record.Account)
	var guarantees []record.Guarantee
	for i := range 42 {
		a := id.Account(fmt.Sprintf("team-%02d", i))
		accounts[a] = record.Account{Name: a, Weight: 1 + i%3, Quota: 400}
		if i < n/25 {
			guarantees = append(guarantees, record.Guarantee{Account: a, Name: "g", Shape: shape(2, 2, job.SameRack), Count: 1})
		}
	}
	h, err := newHarness(newZone((n+7)/8, 8, 2), guarantees, accounts, record.DefaultPolicy)
	if err != nil {
		b.Fatal(err)
	}
	random := rand.New(rand.NewPCG(1, 2))
	for i := range n * 16 {
		s := shape(1, 0, job.SameWorker)
		if i < n*16/10 {
			s = shape(1, 1, job.SameWorker)
		}
		worker := h.cfg.Zone.Workers[random.IntN(len(h.cfg.Zone.Workers))].Name
		spec := waitingJob("", id.Account(fmt.Sprintf("team-%02d", i%42)), s, "", start).Job.Spec
		_ = h.zone.Reserve(fleet.NewGang(id.Job(fmt.Sprintf("busy-%d", i)), spec,
			[]job.Member{{Worker: worker, Resources: s.PerWorker}}, start)) // fails on a full worker
	}
	return h
}

// reportP99 runs f b.N times and reports the 99th percentile.
func reportP99(b *testing.B, f func(i int)) {
	var took []time.Duration
	i := 0
	for b.Loop() {
		t := time.Now()
		f(i)
		took = append(took, time.Since(t))
		i++
	}
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-µs")
}

// BenchmarkPlan measures the decision about one single-worker job. Target: p99
// at most 1 ms.
func BenchmarkPlan(b *testing.B) {
	for _, n := range zoneSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			h := newBusyHarness(b, n)
			v := h.zone.View()
			j := waitingJob("j", "team-40", shape(1, 1, job.SameWorker), "", start).Job
			reportP99(b, func(int) { h.planner.Plan(placement.State{View: v, Now: start}, j) })
		})
	}
}

// BenchmarkPlanGang measures the decision about a gang of 64 members, or of all
// workers of a smaller zone. Target: p99 at most 10 ms.
func BenchmarkPlanGang(b *testing.B) {
	for _, n := range zoneSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			h := newBusyHarness(b, n)
			v := h.zone.View()
			j := waitingJob("j", "team-40", shape(min(64, n), 0, job.SameZone), "", start).Job
			reportP99(b, func(int) { h.planner.Plan(placement.State{View: v, Now: start}, j) })
		})
	}
}

// BenchmarkPlanClaim measures the decision about a claim that preempts gangs.
func BenchmarkPlanClaim(b *testing.B) {
	for _, n := range zoneSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			h := newBusyHarness(b, n)
			v := h.zone.View()
			j := waitingJob("j", "team-00", shape(2, 2, job.SameRack), "g", start).Job
			reportP99(b, func(int) {
				if r := h.planner.Plan(placement.State{View: v, Now: start}, j); r.Rule == decision.RuleWait || r.Rule == decision.RuleNeverFits {
					b.Fatal(r.Reason)
				}
			})
		})
	}
}

// BenchmarkPass measures a pass over 1,500 waiting jobs of many shapes, of
// which few fit. Target: at most 100 ms.
func BenchmarkPass(b *testing.B) {
	for _, n := range zoneSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			h := newBusyHarness(b, n)
			v := h.zone.View()
			random := rand.New(rand.NewPCG(3, 4))
			var waiting []placement.WaitingJob
			for i := range 1500 {
				s := job.Shape{Workers: unit.Workers(1 + random.IntN(min(64, n))), Locality: job.SameZone, PerWorker: unit.Resources{
					Accelerators: unit.Accelerators(random.IntN(3)), Cores: unit.Core * unit.Millicores(1+random.IntN(16)), Memory: unit.GiB * unit.Bytes(1+random.IntN(64))}}
				if i%2 == 0 {
					s.Workers, s.Locality = unit.Workers(1+random.IntN(8)), job.SameRack
				}
				waiting = append(waiting, waitingJob(fmt.Sprintf("j%d", i), id.Account(fmt.Sprintf("team-%02d", i%42)), s, "", start))
			}
			reportP99(b, func(int) { h.planner.Pass(placement.State{View: v, Now: start}, waiting) })
		})
	}
}

// BenchmarkReserve measures the reservation and release of a gang on one worker.
func BenchmarkReserve(b *testing.B) {
	for _, n := range zoneSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			h := newBusyHarness(b, n)
			spec := waitingJob("", "team-00", shape(1, 0, job.SameWorker), "", start).Job.Spec
			g := fleet.NewGang("j", spec, []job.Member{{Worker: "w0-0", Resources: spec.Shape.PerWorker}}, start)
			for b.Loop() {
				if err := h.zone.Reserve(g); err != nil {
					b.Fatal(err)
				}
				h.zone.Release("j")
			}
		})
	}
}

// BenchmarkState measures the memory of a zone's placement state. Target: at
// most 32 MB.
func BenchmarkState(b *testing.B) {
	for _, n := range zoneSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				h := newBusyHarness(b, n)
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(h)
			}
			b.ReportMetric(float64(after.HeapAlloc)/(1<<20)-float64(before.HeapAlloc)/(1<<20), "state-MiB")
		})
	}
}
