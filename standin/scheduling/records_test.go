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

// oneSet is a configuration that never changes.
type oneSet struct {
	set     *record.Set
	binding *guarantee.Binding
}

func (s oneSet) At(id.Revision) (*record.Set, bool)             { return s.set, true }
func (s oneSet) Lost(id.Revision) bool                          { return false }
func (s oneSet) Binding(id.Revision) (*guarantee.Binding, bool) { return s.binding, true }
func (s oneSet) Owed(_ id.Revision, zone id.Zone) map[record.GuaranteeKey]int {
	return s.binding.CopyCounts(zone)
}

// placerWorld returns a world with the planner of real shards and a guaranteed
// shape of two workers.
func placerWorld(t *testing.T, run func(worker.Ref) time.Duration) (*world, oneSet) {
	is := is.New(t)
	w := prepare(t, 6, run)
	w.records.Policy.MaxBypass = 3
	w.records.Accounts["acme"] = record.Account{Name: "acme", Weight: 1}
	w.records.Guarantees[record.GuaranteeKey{Account: "acme", Name: "c"}] = record.Guarantee{
		Account: "acme", Name: "c", Count: 1, Shape: job.Shape{Workers: 2, PerWorker: one, Locality: job.SameZone}}
	binding, err := guarantee.BindSet(w.records)
	is.NoErr(err)
	w.planner = func(epoch id.Epoch, clock timer.Service) scheduler.Planner {
		p, err := placer.New(placer.Config{Zone: "a", Epoch: epoch, Clock: clock, Records: w.records})
		is.NoErr(err)
		return p
	}
	w.open()
	return w, oneSet{w.records, binding}
}

// durable returns the decision records of the journal, each once.
func (w *world) durable() []decision.Record {
	var out []decision.Record
	_, items := w.store.take()
	for _, data := range items {
		var it struct {
			Decision *decision.Record `cbor:"decision"`
		}
		if err := cbor.Unmarshal(data, &it); err != nil {
			w.t.Fatal(err)
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

// TestRecordsPassAudit guards against records that leave out what a check
// needs: the end of a hold, a worker that is out, or an uncommitted placement
// of an earlier owner. BW_SEED=n runs schedule n alone.
func TestRecordsPassAudit(t *testing.T) { schedules(t, "BW_AUDIT_SEEDS", 100, audited) }

func audited(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 2))
	w, sets := placerWorld(t, runTimes(seed))
	underFaults(w, rng, func(name id.Job) {
		claim, size := rng.IntN(6) == 0, 1+rng.IntN(5)
		if claim {
			size = 2
		}
		w.submit(name, size, claim)
	})
	heal(w)
	w.advance(30 * time.Second)
	w.check()
	w.close()
	log := w.durable()
	report := audit.Check("a", sets, log)
	for _, f := range report.Findings {
		t.Errorf("record %d, job %s: %s: %s", f.Index, f.Job, f.Promise, f.Detail)
	}
	player := replay.New("a", sets)
	for _, r := range log {
		player.Add(r)
	}
	for _, d := range player.Report().Differences {
		t.Errorf("record %d, job %s: replay: %s", d.Index, d.Job, d.Reason)
	}
	if t.Failed() {
		for i, r := range log {
			t.Logf("%3d %d/%d %s %-4s #%d %-10s %d %s", i, r.Epoch, r.Version, r.At.Format("04:05.000000000"), r.Job, r.Attempt, r.Rule, len(r.Members), decision.Explain(r))
		}
	}
}

// TestReservationSurvives guards against a takeover that forgets how often the
// job with the reservation was passed.
func TestReservationSurvives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, _ := placerWorld(t, func(worker.Ref) time.Duration { return time.Hour })
		for i := range 5 {
			w.submit(id.Job(fmt.Sprint("low", i)), 2, false)
		}
		w.advance(time.Second)
		w.submit("large", 6, false)
		w.advance(2 * time.Second)
		w.submit("small", 1, false)
		w.advance(2 * time.Second)
		before := must(w.owner().Decisions("large"))
		last := before[len(before)-1]
		is.True(last.Bypassed > 0)
		w.replace()
		w.advance(2 * time.Second)
		after := must(w.owner().Decisions("large"))
		is.True(after[len(after)-1].Bypassed >= last.Bypassed)
		is.Equal(slices.Sorted(slices.Values(after[len(after)-1].Target)), slices.Sorted(slices.Values(last.Target)))
		w.close()
	})
}
