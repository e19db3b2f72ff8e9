package replay_test

import (
	"fmt"
	"testing"

	"bronzewinch.dev/lib/decision"
	"bronzewinch.dev/lib/guarantee"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/replay"
	"bronzewinch.dev/lib/unit"

	"github.com/matryer/is"
)

var wholeWorker = unit.Resources{Accelerators: 8, Cores: unit.Core, Memory: unit.GiB}

// staticConfig has the same configuration at revisions 1 and 2.
type staticConfig struct{ set *record.Set }

func newStaticConfig() staticConfig {
	s := record.NewSet()
	z := record.Zone{Name: "z"}
	for n := range 3 {
		z.Workers = append(z.Workers, record.Worker{Name: id.Worker(fmt.Sprint("w", n)), Rack: "r", Resources: wholeWorker})
	}
	s.Zones["z"] = z
	return staticConfig{s}
}

func (s staticConfig) At(r id.Revision) (*record.Set, bool) { return s.set, r == 1 || r == 2 }

func (s staticConfig) Binding(r id.Revision) (*guarantee.Binding, bool) {
	b, err := guarantee.BindSet(s.set)
	return b, err == nil && r <= 2
}

func placementRecord(j id.Job, w id.Worker, revision id.Revision) decision.Record {
	return decision.Record{Zone: "z", Epoch: 1, Version: 1, Revision: revision, Job: j, Rule: decision.RuleFree,
		Spec:    job.Spec{Account: "a", Shape: job.Shape{Workers: 1, PerWorker: wholeWorker, Locality: job.SameWorker}},
		Members: []job.Member{{Worker: w, Resources: wholeWorker}}}
}

// TestReplay guards against a replay that accepts a placement which the planner
// would not make, and against one that compares placements although the state or
// the configuration before them is not known.
func TestReplay(t *testing.T) {
	waiting := placementRecord("old", "", 1)
	waiting.Rule, waiting.Members, waiting.Target = decision.RuleWait, nil, []id.Worker{"w0"}
	workerExcluded := decision.Record{Revision: 1, Rule: decision.RuleWorkerExcluded, Members: []job.Member{{Worker: "w0"}}}
	stop := decision.Record{Revision: 1, Rule: decision.RuleStop, Job: "a"}
	for _, tt := range []struct {
		name        string
		partial     bool
		records     []decision.Record
		differences int
		skipped     string
	}{
		{"same", false, []decision.Record{placementRecord("a", "w0", 1), placementRecord("b", "w1", 1)}, 0, ""},
		{"another worker", false, []decision.Record{placementRecord("a", "w2", 1)}, 1, ""},
		{"worker released", false, []decision.Record{placementRecord("a", "w0", 1), stop, placementRecord("b", "w0", 1)}, 0, ""},
		{"configuration changed", false, []decision.Record{placementRecord("a", "w0", 1), placementRecord("b", "w1", 2)}, 0, ""},
		{"worker excluded", false, []decision.Record{workerExcluded, placementRecord("a", "w1", 1)}, 0, ""},
		{"same worker twice", false, []decision.Record{placementRecord("a", "w0", 1), placementRecord("b", "w0", 1), placementRecord("c", "w1", 1)}, 1, replay.ReasonState},
		{"records missing", true, []decision.Record{placementRecord("a", "w2", 1)}, 0, replay.ReasonState},
		{"configuration missing", false, []decision.Record{placementRecord("a", "w2", 3)}, 0, replay.ReasonConfig},
		{"reservation", false, []decision.Record{waiting, placementRecord("a", "w2", 1)}, 0, replay.ReasonReserved},
		{"reservation in the same pass", false, []decision.Record{placementRecord("a", "w2", 1), waiting}, 0, replay.ReasonReserved},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p := replay.New("z", newStaticConfig())
			if tt.partial {
				p.MarkPartial()
			}
			for _, r := range tt.records {
				p.Add(r)
			}
			report := p.Report()
			is.Equal(len(report.Differences), tt.differences)
			if tt.skipped != "" {
				is.Equal(report.Skipped, map[string]int{tt.skipped: 1})
			} else {
				is.Equal(len(report.Skipped), 0)
			}
		})
	}
}
