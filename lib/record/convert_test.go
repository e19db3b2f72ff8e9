package record

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/unit"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var names = rapid.StringMatching(`[a-z0-9]([a-z0-9.-]{0,8}[a-z0-9])?`)

func drawTokens(t *rapid.T) []TokenHash {
	return rapid.SliceOfNDistinct(rapid.Map(rapid.StringMatching(`[0-9a-f]{64}`),
		func(s string) TokenHash { return TokenHash(s) }), 1, 4, func(h TokenHash) TokenHash { return h }).Draw(t, "tokens")
}

func drawInt[T ~int | ~int64](t *rapid.T, label string, low, high int) T {
	return T(rapid.IntRange(low, high).Draw(t, label))
}

func drawName[T ~string](t *rapid.T, label string) T { return T(names.Draw(t, label)) }

func drawShapeV1(t *rapid.T) ShapeV1 {
	near := rapid.SampledFrom([]job.Locality{job.SameWorker, job.SameRack, job.SameZone}).Draw(t, "near")
	maxWorkers := 64
	if near == job.SameWorker {
		maxWorkers = 1
	}
	return ShapeV1{drawInt[unit.Workers](t, "workers", 1, maxWorkers), drawInt[unit.Accelerators](t, "accelerators", 0, 64),
		drawInt[int64](t, "cores", 1, 4096), drawInt[int64](t, "memory", 1, 65536), near}
}

func drawBackends(t *rapid.T) []BackendRecord {
	return rapid.Map(rapid.SliceOfNDistinct(rapid.IntRange(1, 999), 1, 5, rapid.ID[int]), func(ns []int) []BackendRecord {
		list := make([]BackendRecord, len(ns))
		for i, n := range ns {
			list[i] = BackendRecord{id.Backend(fmt.Sprint("b", n)), fmt.Sprint("127.0.0.1:", n), "z1"}
		}
		return list
	}).Draw(t, "backends")
}

func drawWorkersV1(t *rapid.T) []WorkerV1 {
	list := []WorkerV1{}
	for _, n := range rapid.SliceOfNDistinct(rapid.IntRange(1, 999), 0, 8, rapid.ID[int]).Draw(t, "workers") {
		list = append(list, WorkerV1{id.Worker(fmt.Sprint("w", n)), rapid.SampledFrom([]id.Rack{"r1", "r2", "r3"}).Draw(t, "rack"),
			fmt.Sprint("10.0.0.1:", n), drawInt[unit.Accelerators](t, "accelerators", 0, 2),
			drawInt[int64](t, "cores", 1, 2), drawInt[int64](t, "memory", 1, 2)})
	}
	return list
}

// drawV1 draws a record in schema v1.
func drawV1(t *rapid.T, kind Kind) bodyV1 {
	var b bodyV1
	switch kind {
	case KindOperator:
		b = &OperatorV1{Tokens: drawTokens(t)}
	case KindAccount:
		b = &AccountV1{Tokens: drawTokens(t), QuotaAccelerators: drawInt[unit.Accelerators](t, "quota", 0, 99),
			Weight: drawInt[int](t, "weight", 0, 1000), RequestsPerSecond: rapid.Float64Range(0, 1000).Draw(t, "rate"),
			Concurrency: drawInt[int](t, "concurrency", 0, 9), GuaranteedSlots: drawInt[unit.Slots](t, "slots", 0, 9)}
	case KindGuarantee:
		b = &GuaranteeV1{Account: drawName[id.Account](t, "account"), Count: drawInt[int](t, "count", 1, 1000),
			Zone: rapid.SampledFrom([]id.Zone{"", "z1"}).Draw(t, "zone"), ShapeV1: drawShapeV1(t)}
	case KindService:
		b = &ServiceV1{Slots: drawInt[unit.Slots](t, "slots", 1, 99), Connections: drawInt[unit.Connections](t, "connections", 1, 99),
			TimeoutSeconds: drawInt[int64](t, "timeout", 0, 3600), MaxRequestKB: drawInt[int64](t, "request", 0, 65536),
			MaxAnswerKB: drawInt[int64](t, "answer", 0, 65536), Backends: drawBackends(t)}
	case KindZone:
		b = &ZoneV1{Region: drawName[id.Region](t, "region"), Workers: drawWorkersV1(t)}
	case KindPolicy:
		b = &PolicyV1{CompletionWeight: rapid.Float64Range(0.1, 1000).Draw(t, "completion"),
			FragmentationWeight: rapid.Float64Range(0, 1000).Draw(t, "fragmentation"), GuardRackLoss: rapid.Bool().Draw(t, "guard"),
			MaxBypass: drawInt[int](t, "bypass", 0, 10000), CheckpointGraceSeconds: drawInt[int64](t, "grace", 0, 3600)}
	case KindObjective:
		i := rapid.SampledFrom(Indicators()).Draw(t, "indicator")
		o := &ObjectiveV1{Indicator: i, Target: unit.Share(rapid.Float64Range(0.5, 0.99999).Draw(t, "target")),
			WindowDays: drawInt[int64](t, "window", 1, 31), Bound: float64(rapid.IntRange(1001, 86400000).Draw(t, "bound")) / 1000}
		switch i {
		case Completion:
			o.SizeClass, o.Bound = rapid.SampledFrom([]SizeClass{Small, Medium, Large}).Draw(t, "class"), float64(rapid.IntRange(1001, 1000000).Draw(t, "slowdown"))/1000
		case Fragmentation:
			o.Bound = float64(rapid.IntRange(1, 1000).Draw(t, "share")) / 1000
		}
		b = o
	case KindJob:
		claim := rapid.SampledFrom([]id.Shape{"", "nightly"}).Draw(t, "claim")
		b = &JobV1{Account: drawName[id.Account](t, "account"), Zone: rapid.SampledFrom([]id.Zone{"", "z1"}).Draw(t, "zone"),
			Claim: claim, Urgent: claim != "" && rapid.Bool().Draw(t, "urgent"), DeclaredRunSeconds: drawInt[int64](t, "run", 1, 86400),
			CheckpointEverySeconds: drawInt[int64](t, "checkpoint", 0, 86400), Program: rapid.StringMatching(`[ -~]{1,20}`).Draw(t, "program"),
			ShapeV1: drawShapeV1(t)}
	}
	*b.header() = Header{Schema: V1, Kind: kind, Name: drawName[string](t, "name")}
	if kind == KindPolicy {
		b.header().Name = PolicyName
	}
	return b
}

// drawV2 draws a record in schema v2. It may have values that schema v1 can't
// express.
func drawV2(t *rapid.T, kind Kind) bodyV2 {
	b := upgrade(drawV1(t, kind))
	x := b.headerV2()
	x.Note = rapid.SampledFrom([]string{"", "a \"note\"\nin two lines"}).Draw(t, "note")
	if rapid.Bool().Draw(t, "labelled") {
		x.Labels = map[string]string{"team.x": "sky", "é": ""}
	}
	onlyV2 := rapid.Bool().Draw(t, "odd")
	switch r := b.(type) {
	case *OperatorV2:
		r.Tokens[0].Note = rapid.SampledFrom([]string{"", "laptop"}).Draw(t, "tokenNote")
	case *GuaranteeV2:
		if onlyV2 {
			r.Zones, r.Shape.PerWorker.Cores = []id.Zone{"z1", "z2"}, 0.125
		}
	case *ServiceV2:
		if onlyV2 {
			r.Timeout, r.MaxAnswer = Duration(1500*time.Millisecond), 1025
		}
	case *ZoneV2:
		if onlyV2 {
			r.Evacuated = rapid.Bool().Draw(t, "evacuated")
			r.Racks = append(r.Racks, RackV2{Name: "r9", PerWorker: ResourcesV2{1, 0.5, Size(unit.MiB)}, Workers: []WorkerV2{}})
		}
	case *PolicyV2:
		if onlyV2 {
			r.CheckpointGrace = Duration(time.Millisecond)
		}
	case *ObjectiveV2:
		if onlyV2 {
			r.Window += Duration(time.Hour)
			if r.Window > Duration(MaxObjectiveWindow) {
				r.Window = Duration(25 * time.Hour)
			}
			if r.Bound.Time > 0 {
				r.Bound.Time = Duration(time.Duration(r.Bound.Time) - time.Microsecond)
			}
		}
	case *JobV2:
		if onlyV2 {
			r.DeclaredRun, r.Shape.PerWorker.Memory = Duration(90*time.Millisecond), Size(unit.MiB)
		}
	}
	return b
}

// TestConvertRoundTrip guards against a field that is lost or changed when a
// record is converted to the other schema version and back, or is formatted as
// text and parsed.
func TestConvertRoundTrip(t *testing.T) {
	for _, kind := range Kinds() {
		t.Run(string(kind), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				var b body = drawV1(t, kind)
				if rapid.Bool().Draw(t, "v2") {
					b = drawV2(t, kind)
				}
				r := newRecord(b)
				read, err := Parse(r.Text())
				if err != nil {
					t.Fatalf("%v\n%s", err, r.Text())
				}
				first := read.Text()
				other := map[Schema]Schema{V1: V2, V2: V1}[r.Schema()]
				converted, err := read.Convert(other)
				if r.Schema() == V2 && err != nil {
					if !problem.Is(err, problem.Invalid) || !strings.Contains(err.Error(), r.Key().String()) {
						t.Fatalf("the error does not name the record: %v", err)
					}
					return
				}
				if err != nil {
					t.Fatal(err)
				}
				reread, err := Parse(converted.Text())
				if err != nil {
					t.Fatalf("%v\n%s", err, converted.Text())
				}
				back, err := reread.Convert(r.Schema())
				if err != nil || back.Text() != first {
					t.Fatalf("%v\n%s\nbecame\n%s", err, first, back.Text())
				}
			})
		})
	}
}

// TestConvertReportsLostFields guards against a conversion to schema v1 that
// drops fields without an error. The error names each of them.
func TestConvertReportsLostFields(t *testing.T) {
	is := is.New(t)
	r, err := Parse(`schema = "v2"
kind = "guarantee"
name = "nightly"
account = "skymap"
count = 1
zones = ["z1", "z2"]
note = "why"
[labels]
a = "b"
[shape]
workers = 2
locality = "rack"
[shape.perWorker]
accelerators = 8
cores = 1.5
memory = "512MiB"
`)
	is.NoErr(err)
	_, err = r.Convert(V1)
	for _, field := range []string{"labels", "note", "zones", "shape.perWorker.cores", "shape.perWorker.memory"} {
		is.True(strings.Contains(err.Error(), "guarantee/skymap/nightly "+field+" "))
	}
	_, err = r.Convert("v3")
	is.True(problem.Is(err, problem.Invalid))
}
