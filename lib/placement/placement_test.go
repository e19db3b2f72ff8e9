package placement_test

import (
	"fmt"
	"testing"
	"time"

	"bronzewinch.dev/lib/decision"
	"bronzewinch.dev/lib/fleet"
	"bronzewinch.dev/lib/guarantee"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/placement"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/unit"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func resources(accelerators int) unit.Resources {
	return unit.Resources{Accelerators: unit.Accelerators(accelerators), Cores: unit.Core, Memory: unit.GiB}
}

func shape(workers, accelerators int, l job.Locality) job.Shape {
	return job.Shape{Workers: unit.Workers(workers), PerWorker: resources(accelerators), Locality: l}
}

func newZone(racks, workers, accelerators int) record.Zone {
	z := record.Zone{Name: "z"}
	for r := range racks {
		for w := range workers {
			z.Workers = append(z.Workers, record.Worker{Name: id.Worker(fmt.Sprintf("w%d-%d", r, w)),
				Rack:      id.Rack(fmt.Sprintf("r%d", r)),
				Resources: unit.Resources{Accelerators: unit.Accelerators(accelerators), Cores: 32 * unit.Core, Memory: 128 * unit.GiB}})
		}
	}
	return z
}

func waitingJob(name string, account id.Account, s job.Shape, claim id.Shape, at time.Time) placement.WaitingJob {
	return placement.WaitingJob{Job: job.Job{ID: id.Job(name), Submitted: at, Spec: job.Spec{Account: account, Shape: s,
		Claim: claim, DeclaredRun: time.Hour, Program: "p"}}}
}

// harness applies decisions to a zone the way the scheduler does, but stops
// victims immediately.
type harness struct {
	zone    *fleet.Zone
	planner *placement.Planner
	binding *guarantee.Binding
	cfg     placement.Config
	running map[id.Job]job.Spec
}

func newHarness(z record.Zone, guarantees []record.Guarantee, accounts map[id.Account]record.Account, policy record.Policy) (*harness, error) {
	b, err := guarantee.Bind(guarantee.Config{Zones: []record.Zone{z}, Guarantees: guarantees})
	if err != nil {
		return nil, err
	}
	state, err := fleet.New(fleet.Config{Zone: z})
	if err != nil {
		return nil, err
	}
	cfg := placement.Config{Zone: z, Accounts: accounts, Binding: b, Policy: policy}
	return &harness{zone: state, planner: placement.New(cfg), binding: b, cfg: cfg, running: make(map[id.Job]job.Spec)}, nil
}

func (h *harness) pass(now time.Time, waiting []placement.WaitingJob) (placement.Result, error) {
	res := h.planner.Pass(placement.State{View: h.zone.View(), Now: now}, waiting)
	for _, r := range res.Records {
		if len(r.Members) == 0 {
			continue
		}
		for _, v := range r.Victims {
			h.zone.Release(v.Job)
			delete(h.running, v.Job)
		}
		if err := h.zone.Reserve(fleet.NewGang(r.Job, r.Spec, r.Members, now)); err != nil {
			return res, err
		}
		h.running[r.Job] = r.Spec
	}
	return res, nil
}

// TestPassInvariants runs passes over random jobs and guarantees. It guards
// against double allocation, partial gangs, violated locality, exceeded quotas,
// and unclaimed copies that can't be claimed at the same time.
func TestPassInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		racks, workers := rapid.IntRange(1, 4).Draw(t, "racks"), rapid.IntRange(1, 6).Draw(t, "workers")
		accounts := map[id.Account]record.Account{"a": {Name: "a", Quota: 12, Weight: 1}, "b": {Name: "b", Weight: 3}}
		guarantees := []record.Guarantee{
			{Account: "a", Name: "s", Shape: drawShape(t, "ga"), Count: rapid.IntRange(1, 3).Draw(t, "na")},
			{Account: "b", Name: "s", Shape: drawShape(t, "gb"), Count: rapid.IntRange(1, 3).Draw(t, "nb")},
		}
		h, err := newHarness(newZone(racks, workers, 8), guarantees, accounts, record.DefaultPolicy)
		if err != nil {
			t.Skip("the guarantees do not fit")
		}
		var waiting []placement.WaitingJob
		now := start
		for step := range rapid.IntRange(1, 12).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "minutes")) * time.Minute)
			for i := range rapid.IntRange(0, 6).Draw(t, "arrivals") {
				waiting = append(waiting, drawJob(t, guarantees, fmt.Sprintf("j%d-%d", step, i), now))
			}
			for name := range h.running {
				if rapid.IntRange(0, 3).Draw(t, "ends") == 0 {
					h.zone.Release(name)
					delete(h.running, name)
				}
			}
			res, err := h.pass(now, waiting)
			if err != nil {
				t.Fatalf("a decision can't be applied: %v", err)
			}
			checkRecords(t, h, res.Records)
			checkState(t, h, accounts)
			waiting = stillWaiting(waiting, res)
		}
	})
}

func drawShape(t *rapid.T, label string) job.Shape {
	l := rapid.SampledFrom([]job.Locality{job.SameWorker, job.SameRack, job.SameZone}).Draw(t, label+"-locality")
	n := rapid.IntRange(1, 4).Draw(t, label+"-workers")
	if l == job.SameWorker {
		n = 1
	}
	return shape(n, rapid.IntRange(0, 8).Draw(t, label+"-accelerators"), l)
}

func drawJob(t *rapid.T, guarantees []record.Guarantee, name string, now time.Time) placement.WaitingJob {
	if rapid.IntRange(0, 2).Draw(t, "kind") == 0 {
		g := rapid.SampledFrom(guarantees).Draw(t, "claim")
		return waitingJob(name, g.Account, g.Shape, g.Name, now)
	}
	return waitingJob(name, rapid.SampledFrom([]id.Account{"a", "b"}).Draw(t, "account"), drawShape(t, "job"), "", now)
}

func stillWaiting(waiting []placement.WaitingJob, res placement.Result) []placement.WaitingJob {
	decided := make(map[id.Job]bool)
	for _, r := range res.Records {
		decided[r.Job] = len(r.Members) > 0 || r.Rule == decision.RuleNeverFits
	}
	var left []placement.WaitingJob
	for _, j := range waiting {
		if !decided[j.Job.ID] {
			j.Reservation = res.Reservations[j.Job.ID]
			left = append(left, j)
		}
	}
	return left
}

func checkRecords(t *rapid.T, h *harness, records []decision.Record) {
	for _, r := range records {
		if r.Reason == "" {
			t.Fatalf("the decision about %s gives no reason", r.Job)
		}
		if len(r.Members) == 0 {
			continue
		}
		if len(r.Members) != int(r.Spec.Shape.Workers) {
			t.Fatalf("%s starts with %d of %d members", r.Job, len(r.Members), r.Spec.Shape.Workers)
		}
		racks := make(map[int]bool)
		for _, m := range r.Members {
			at, _ := h.zone.View().Position(m.Worker)
			racks[at.Rack] = true
		}
		if r.Spec.Shape.Locality == job.SameRack && len(racks) > 1 {
			t.Fatalf("%s is spread over %d racks", r.Job, len(racks))
		}
	}
}

func checkState(t *rapid.T, h *harness, accounts map[id.Account]record.Account) {
	v := h.zone.View()
	held := make(map[id.Account]unit.Accelerators)
	for _, r := range v.Racks() {
		for _, worker := range r.Workers {
			sum := unit.Resources{}
			for _, h := range worker.Allocations {
				sum = sum.Plus(h.Resources)
				if h.Gang.Claim == "" {
					held[h.Gang.Account] += h.Resources.Accelerators
				}
			}
			if !sum.Fits(worker.Total) || worker.Total.Minus(sum) != worker.Free {
				t.Fatalf("worker %s holds %v of %v with %v free", worker.Name, sum, worker.Total, worker.Free)
			}
		}
	}
	for a, n := range held {
		if q := accounts[a].Quota; q > 0 && n > q {
			t.Fatalf("account %s holds %d of its quota of %d", a, n, q)
		}
	}
	checkClaimable(t, h)
}

// checkClaimable submits a claim for each unclaimed copy in one pass. Each must
// be placed.
func checkClaimable(t *rapid.T, h *harness) {
	v := h.zone.View()
	left := make(map[record.GuaranteeKey]int)
	shapes := make(map[record.GuaranteeKey]job.Shape)
	for _, c := range h.binding.Copies {
		left[c.Key]++
		shapes[c.Key] = c.Shape
	}
	for _, g := range v.Claims() {
		left[record.GuaranteeKey{Account: g.Account, Name: g.Claim}]--
	}
	var claims []placement.WaitingJob
	for key, n := range left {
		for i := range n {
			claims = append(claims, waitingJob(fmt.Sprintf("check-%s-%s-%d", key.Account, key.Name, i), key.Account, shapes[key], key.Name, start))
		}
	}
	for _, r := range h.planner.Pass(placement.State{View: v, Now: start}, claims).Records {
		if len(r.Members) == 0 {
			t.Fatalf("unclaimed shape of %s can't be claimed: %s", r.Spec.Account, r.Reason)
		}
	}
}

// TestPlanRules checks the rule and the reason of a decision: free placement, a
// shape or quota that is too large, a job that has to wait, and a claim on a
// shape that isn't guaranteed.
func TestPlanRules(t *testing.T) {
	accounts := map[id.Account]record.Account{"a": {Quota: 24}}
	g := []record.Guarantee{{Account: "b", Name: "half", Shape: shape(2, 8, job.SameRack), Count: 1}}
	cases := []struct {
		name   string
		job    placement.WaitingJob
		rule   decision.Rule
		reason string
	}{
		{"free", waitingJob("j", "a", shape(1, 4, job.SameWorker), "", start), decision.RuleFree, "placed on free resources in r0"},
		{"never", waitingJob("j", "c", shape(5, 8, job.SameRack), "", start), decision.RuleNeverFits,
			"no declared workers of zone z can ever hold 5 x (8 accelerators, 1 cores, 1 GiB) in one rack; the nearest shape that can run is 4 x (8 accelerators, 1 cores, 1 GiB) in one rack"},
		{"quota too small", waitingJob("j", "a", shape(4, 8, job.SameRack), "", start), decision.RuleNeverFits,
			"needs 32 accelerators; the quota of account a is 24; ask for at most that many"},
		{"wait", waitingJob("j", "c", shape(4, 8, job.SameRack), "", start), decision.RuleWait,
			"needs 32 adjacent accelerators in one rack (8 on each of 4 workers); rack r0 has 28 free and would have them when job x ends"},
		{"unknown claim", waitingJob("j", "a", shape(1, 1, job.SameWorker), "none", start), decision.RuleNeverFits,
			`account a has no guaranteed shape "none" in zone z; submit the job without a claim, or claim one it has`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h, err := newHarness(newZone(1, 4, 8), g, accounts, record.DefaultPolicy)
			is.NoErr(err)
			x := waitingJob("x", "c", shape(1, 4, job.SameWorker), "", start)
			is.NoErr(h.zone.Reserve(fleet.NewGang("x", x.Job.Spec, []job.Member{{Worker: "w0-0", Resources: resources(4)}}, start)))
			rec := h.planner.Plan(placement.State{View: h.zone.View(), Now: start}, c.job.Job)
			is.Equal(rec.Rule, c.rule)
			is.Equal(rec.Reason, c.reason)
		})
	}
}

// TestClaimPreemptsLeastLostWork guards against a claim that preempts a gang
// with more lost work than another one whose stop is enough, and against a
// preemption of only part of a gang.
func TestClaimPreemptsLeastLostWork(t *testing.T) {
	is := is.New(t)
	g := []record.Guarantee{{Account: "b", Name: "one", Shape: shape(1, 8, job.SameWorker), Count: 2}}
	h, err := newHarness(newZone(1, 2, 8), g, nil, record.DefaultPolicy)
	is.NoErr(err)
	for i, ago := range []time.Duration{3 * time.Hour, time.Hour} {
		spec := waitingJob("", "c", shape(1, 8, job.SameWorker), "", start).Job.Spec
		worker := id.Worker(fmt.Sprintf("w0-%d", i))
		is.NoErr(h.zone.Reserve(fleet.NewGang(id.Job(worker), spec, []job.Member{{Worker: worker, Resources: resources(8)}}, start.Add(-ago))))
	}
	rec := h.planner.Plan(placement.State{View: h.zone.View(), Now: start}, waitingJob("j", "b", g[0].Shape, "one", start).Job)
	is.Equal(rec.Rule, decision.RulePreempt)
	is.Equal(len(rec.Victims), 1)
	is.Equal(rec.Victims[0].Job, id.Job("w0-1")) // loses one hour of work, not three
	is.Equal(len(rec.Alternatives), 1)
}

// TestMaxBypass guards against starvation of a large job when small ones keep
// arriving: after MaxBypass of them its reservation must be closed.
func TestMaxBypass(t *testing.T) {
	is := is.New(t)
	policy := record.DefaultPolicy
	policy.MaxBypass = 3
	h, err := newHarness(newZone(1, 2, 8), nil, nil, policy)
	is.NoErr(err)
	small := shape(1, 4, job.SameWorker)
	now := start
	_, err = h.pass(now, []placement.WaitingJob{waitingJob("s0", "a", small, "", now)})
	is.NoErr(err)
	waiting := []placement.WaitingJob{waitingJob("large", "b", shape(2, 8, job.SameRack), "", now)}
	for i := 1; i <= 10; i++ { // one small job arrives and one ends in each round
		now = now.Add(time.Minute)
		waiting = append(waiting, waitingJob(fmt.Sprintf("s%d", i), "a", small, "", now))
		res, err := h.pass(now, waiting)
		is.NoErr(err)
		waiting = stillWaiting(waiting, res)
		h.zone.Release(id.Job(fmt.Sprintf("s%d", i-1)))
		delete(h.running, id.Job(fmt.Sprintf("s%d", i-1)))
	}
	_, runs := h.zone.Gang("large")
	is.True(runs)
	left := 0
	for _, j := range waiting {
		if j.Job.Spec.Account == "a" {
			left++
		}
	}
	is.Equal(left, 7) // three of ten small jobs started before the large one
}

// TestDelaysForBetterPlacement guards against a job that strands accelerators
// while a gang with a reservation waits, and against a job that is delayed
// longer than its limit, although it is urgent, or although no gang waits.
func TestDelaysForBetterPlacement(t *testing.T) {
	cases := []struct {
		name   string
		gang   bool
		urgent bool
		age    time.Duration
		rule   decision.Rule
	}{
		{"delayed", true, false, 19 * time.Minute, decision.RulePacking},
		{"delay limit reached", true, false, 20 * time.Minute, decision.RuleBackfill}, // a job of 3 strands 1 accelerator: a third of delayScale
		{"urgent", true, true, 0, decision.RuleBackfill},
		{"no gang", false, false, 0, decision.RuleFree},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h, err := newHarness(newZone(1, 2, 8), []record.Guarantee{{Account: "g", Name: "s", Shape: shape(1, 4, job.SameWorker), Count: 1}},
				nil, record.DefaultPolicy)
			is.NoErr(err)
			_, err = h.pass(start, []placement.WaitingJob{waitingJob("s0", "a", shape(1, 4, job.SameWorker), "", start)})
			is.NoErr(err)
			j := waitingJob("j", "a", shape(1, 3, job.SameWorker), "", start)
			j.Job.Spec.Urgent = c.urgent
			waiting := []placement.WaitingJob{j}
			if c.gang {
				waiting = append(waiting, waitingJob("gang", "b", shape(2, 8, job.SameRack), "", start.Add(-time.Hour)))
			}
			res, err := h.pass(start.Add(c.age), waiting)
			is.NoErr(err)
			for _, r := range res.Records {
				if r.Job == "j" {
					is.Equal(r.Rule, c.rule)
				}
			}
		})
	}
}
