package audit_test

import (
	"fmt"
	"testing"

	"bronzewinch.dev/lib/audit"
	"bronzewinch.dev/lib/decision"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/unit"

	"github.com/matryer/is"
)

var perWorker = unit.Resources{Accelerators: 8, Cores: 16 * unit.Core, Memory: 64 * unit.GiB}

// staticConfig returns the same configuration for every revision up to 9.
type staticConfig struct{ set *record.Set }

func (f staticConfig) At(r id.Revision) (*record.Set, bool) { return f.set, r < 10 }

func (f staticConfig) Discarded(id.Revision) bool { return false }

func (f staticConfig) CopyCounts(id.Revision, id.Zone) map[record.GuaranteeKey]int {
	out := make(map[record.GuaranteeKey]int)
	for key, g := range f.set.Guarantees {
		out[key] = g.Count
	}
	return out
}

// newConfig returns a configuration of one zone that has two racks with two
// workers each, and one guaranteed shape that fills a rack.
func newConfig() staticConfig {
	set := record.NewSet()
	zone := record.Zone{Name: "bole", Region: "shewa"}
	for i := range 4 {
		zone.Workers = append(zone.Workers, record.Worker{
			Name: id.Worker(fmt.Sprint("w", i)), Rack: id.Rack(fmt.Sprint("r", i/2)), Resources: perWorker})
	}
	set.Zones["bole"] = zone
	set.Accounts["lights"] = record.Account{Name: "lights"}
	set.Accounts["school"] = record.Account{Name: "school", Quota: 16}
	key := record.GuaranteeKey{Account: "lights", Name: "map"}
	set.Guarantees[key] = record.Guarantee{Account: "lights", Name: "map", Count: 1,
		Shape: job.Shape{Workers: 2, PerWorker: perWorker, Locality: job.SameRack}}
	return staticConfig{set}
}

func members(workers ...id.Worker) []job.Member {
	var out []job.Member
	for _, w := range workers {
		out = append(out, job.Member{Worker: w, Resources: perWorker})
	}
	return out
}

func spec(account id.Account, claim id.Shape, workers int) job.Spec {
	return job.Spec{Account: account, Claim: claim,
		Shape: job.Shape{Workers: unit.Workers(workers), PerWorker: perWorker, Locality: job.SameRack}}
}

func placementRecord(j id.Job, s job.Spec, workers ...id.Worker) decision.Record {
	rule := decision.RuleFree
	if s.Claim != "" {
		rule = decision.RuleClaim
	}
	return decision.Record{Zone: "bole", Epoch: 1, Job: j, Spec: s, Rule: rule, Members: members(workers...)}
}

// TestCheckerFindsEachViolation guards against a checker that accepts records
// which violate an invariant.
func TestCheckerFindsEachViolation(t *testing.T) {
	opportunistic := placementRecord("a", spec("school", "", 1), "w0")
	claim := placementRecord("c", spec("lights", "map", 2), "w0", "w1")
	with := func(r decision.Record, edit func(*decision.Record)) decision.Record {
		edit(&r)
		return r
	}
	tests := []struct {
		name    string
		records []decision.Record
		want    audit.Invariant
	}{
		{"valid", []decision.Record{opportunistic, with(claim, func(r *decision.Record) {
			r.Victims = []decision.Victim{{Job: "a", Account: "school", Members: members("w0")}}
		})}, ""},
		{"valid after release", []decision.Record{claim, {Zone: "bole", Epoch: 1, Job: "c", Rule: decision.RuleStop},
			placementRecord("d", spec("lights", "map", 2), "w2", "w3")}, ""},
		{"accelerators allocated twice", []decision.Record{opportunistic, placementRecord("b", spec("school", "", 1), "w0")}, audit.Capacity},
		{"member missing", []decision.Record{placementRecord("a", spec("school", "", 2), "w0")}, audit.WholeGang},
		{"worker twice", []decision.Record{placementRecord("a", spec("lights", "", 2), "w0", "w0")}, audit.WholeGang},
		{"gang spans two racks", []decision.Record{placementRecord("a", spec("school", "", 2), "w1", "w2")}, audit.WholeGang},
		{"unknown worker", []decision.Record{placementRecord("a", spec("school", "", 1), "w9")}, audit.WholeGang},
		{"placed twice", []decision.Record{opportunistic, opportunistic}, audit.WholeGang},
		{"claim without guarantee", []decision.Record{placementRecord("c", spec("lights", "x", 2), "w0", "w1")}, audit.ClaimCovered},
		{"claimed twice", []decision.Record{claim, placementRecord("d", spec("lights", "map", 2), "w2", "w3")}, audit.ClaimCovered},
		{"claim too large", []decision.Record{placementRecord("c", spec("lights", "map", 3), "w0", "w1")}, audit.ClaimCovered},
		{"claim waits", []decision.Record{{Zone: "bole", Epoch: 1, Job: "c", Spec: spec("lights", "map", 2), Rule: decision.RuleWait}}, audit.ClaimStarts},
		{"quota exceeded", []decision.Record{opportunistic, placementRecord("b", spec("school", "", 2), "w2", "w3")}, audit.Quota},
		{"claim preempted", []decision.Record{claim, with(opportunistic, func(r *decision.Record) {
			r.Victims = []decision.Victim{{Job: "c", Account: "lights", Members: members("w0", "w1")}}
		})}, audit.Victims},
		{"victim preempted on some workers", []decision.Record{placementRecord("b", spec("school", "", 2), "w0", "w1"), with(claim, func(r *decision.Record) {
			r.Victims = []decision.Victim{{Job: "b", Account: "school", Members: members("w0")}}
		})}, audit.Victims},
		{"rejected although it fits", []decision.Record{{Zone: "bole", Epoch: 1, Job: "a", Spec: spec("school", "", 2), Rule: decision.RuleNeverFits}}, audit.NeverFits},
		{"older epoch", []decision.Record{with(opportunistic, func(r *decision.Record) { r.Epoch = 2 }), claim}, audit.Order},
		{"unknown revision", []decision.Record{with(opportunistic, func(r *decision.Record) { r.Revision = 10 })}, audit.Order},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			report := audit.Check("bole", newConfig(), tt.records)
			if tt.want == "" {
				is.Equal(report.Findings, nil)
				return
			}
			found := false
			for _, f := range report.Findings {
				found = found || f.Invariant == tt.want
			}
			is.True(found) // the violation was not found
		})
	}
}

// TestReclaimable guards against a checker that accepts fragmentation: claims
// placed so that the remaining guaranteed shapes no longer fit, although enough
// accelerators are free in total.
func TestReclaimable(t *testing.T) {
	is := is.New(t)
	f := newConfig()
	f.set.Guarantees[record.GuaranteeKey{Account: "school", Name: "one"}] = record.Guarantee{
		Account: "school", Name: "one", Count: 2,
		Shape: job.Shape{Workers: 1, PerWorker: perWorker, Locality: job.SameWorker}}
	one := spec("school", "one", 1)
	one.Shape.Locality = job.SameWorker

	packed := audit.Check("bole", f, []decision.Record{placementRecord("a", one, "w0"), placementRecord("b", one, "w1")})
	is.Equal(packed.Findings, nil)
	spread := audit.Check("bole", f, []decision.Record{placementRecord("a", one, "w0"), placementRecord("b", one, "w2")})
	is.Equal(len(spread.Findings), 1)
	is.Equal(spread.Findings[0].Invariant, audit.Reclaimable)
	is.Equal(spread.Findings[0].Index, 1)
}
