package scheduling_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"bronzewinch.dev/lib/audit"
	"bronzewinch.dev/lib/decision"
	"bronzewinch.dev/lib/guarantee"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/placer"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/replay"
	"bronzewinch.dev/lib/scheduler"
	"bronzewinch.dev/lib/timer"
	"bronzewinch.dev/lib/worker"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
)

// staticConfig is a configuration source whose configuration never changes.
type staticConfig struct {
	set     *record.Set
	binding *guarantee.Binding
}

func (c staticConfig) At(id.Revision) (*record.Set, bool)             { return c.set, true }
func (c staticConfig) Discarded(id.Revision) bool                     { return false }
func (c staticConfig) Binding(id.Revision) (*guarantee.Binding, bool) { return c.binding, true }
func (c staticConfig) CopyCounts(_ id.Revision, zone id.Zone) map[record.GuaranteeKey]int {
	return c.binding.CopyCounts(zone)
}

// newPlacerHarness returns a harness with the planner that production shards use and
// a guaranteed shape of two workers.
func newPlacerHarness(t *testing.T, run func(worker.Ref) time.Duration) (*harness, staticConfig) {
	is := is.New(t)
	h := newHarnessWithoutOwner(t, 6, run)
	h.records.Policy.MaxBypass = 3
	h.records.Accounts["acme"] = record.Account{Name: "acme", Weight: 1}
	h.records.Guarantees[record.GuaranteeKey{Account: "acme", Name: "c"}] = record.Guarantee{
		Account: "acme", Name: "c", Count: 1, Shape: job.Shape{Workers: 2, PerWorker: oneAccelerator, Locality: job.SameZone}}
	binding, err := guarantee.BindSet(h.records)
	is.NoErr(err)
	h.planner = func(epoch id.Epoch, clock timer.Service) scheduler.Planner {
		p, err := placer.New(placer.Config{Zone: "a", Epoch: epoch, Clock: clock, Records: h.records})
		is.NoErr(err)
		return p
	}
	h.openOwner()
	return h, staticConfig{h.records, binding}
}

// journaledRecords returns the decision records in the journal, without duplicates.
func (h *harness) journaledRecords() []decision.Record {
	var out []decision.Record
	_, items := h.store.beginEpoch()
	for _, data := range items {
		var it struct {
			Decision *decision.Record `cbor:"decision"`
		}
		if err := cbor.Unmarshal(data, &it); err != nil {
			h.t.Fatal(err)
		}
		if it.Decision == nil {
			continue
		}
		if n := len(out); n > 0 && out[n-1].Epoch == it.Decision.Epoch && out[n-1].Version >= it.Decision.Version {
			continue
		}
		out = append(out, *it.Decision)
	}
	return out
}

// TestRecordsPassAudit guards against decision records that lack what the audit and
// the replay need: the end of a placement, the exclusion of a worker, or an
// uncommitted placement of an earlier owner. BW_AUDIT_SEEDS sets the number of
// schedules; BW_SEED=n runs only schedule n.
func TestRecordsPassAudit(t *testing.T) { runSchedules(t, "BW_AUDIT_SEEDS", 100, runAuditSchedule) }

func runAuditSchedule(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 2))
	h, sets := newPlacerHarness(t, runTimes(seed))
	runUnderFaults(h, rng, func(name id.Job) {
		claim, size := rng.IntN(6) == 0, 1+rng.IntN(5)
		if claim {
			size = 2
		}
		h.submit(name, size, claim)
	})
	clearFaults(h)
	h.advance(30 * time.Second)
	h.checkRuns()
	h.close()
	records := h.journaledRecords()
	report := audit.Check("a", sets, records)
	for _, f := range report.Findings {
		t.Errorf("record %d, job %s: %s: %s", f.Index, f.Job, f.Invariant, f.Detail)
	}
	player := replay.New("a", sets)
	for _, r := range records {
		player.Add(r)
	}
	for _, d := range player.Report().Differences {
		t.Errorf("record %d, job %s: replay: %s", d.Index, d.Job, d.Reason)
	}
	if t.Failed() {
		for i, r := range records {
			t.Logf("%3d %d/%d %s %-4s #%d %-10s %d %s", i, r.Epoch, r.Version, r.At.Format("04:05.000000000"), r.Job, r.Attempt, r.Rule, len(r.Members), decision.Explain(r))
		}
	}
}

// TestReservationSurvives guards against a takeover after which the waiting job with
// the reservation loses its target or its count of jobs that bypassed it.
func TestReservationSurvives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h, _ := newPlacerHarness(t, func(worker.Ref) time.Duration { return time.Hour })
		for i := range 5 {
			h.submit(id.Job(fmt.Sprint("low", i)), 2, false)
		}
		h.advance(time.Second)
		h.submit("large", 6, false)
		h.advance(2 * time.Second)
		h.submit("small", 1, false)
		h.advance(2 * time.Second)
		before := must(h.currentOwner().Decisions("large"))
		last := before[len(before)-1]
		is.True(last.Bypassed > 0)
		h.replaceOwner()
		h.advance(2 * time.Second)
		after := must(h.currentOwner().Decisions("large"))
		is.True(after[len(after)-1].Bypassed >= last.Bypassed)
		is.Equal(slices.Sorted(slices.Values(after[len(after)-1].Target)), slices.Sorted(slices.Values(last.Target)))
		h.close()
	})
}
