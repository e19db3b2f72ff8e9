package guarantee_test

import (
	"fmt"
	"strings"
	"testing"

	"bronzewinch.dev/lib/guarantee"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/unit"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func newZone(name string, racks, workers int) record.Zone {
	z := record.Zone{Name: id.Zone(name)}
	for i := range racks * workers {
		z.Workers = append(z.Workers, record.Worker{Name: id.Worker(fmt.Sprintf("%s-w%d", name, i)), Rack: id.Rack(fmt.Sprintf("%s-r%d", name, i/workers)),
			Resources: unit.Resources{Accelerators: 8, Cores: 32 * unit.Core, Memory: 128 * unit.GiB}})
	}
	return z
}

func newGuarantee(account string, workers, acc, count int, l job.Locality) record.Guarantee {
	return record.Guarantee{Account: id.Account(account), Name: "s", Count: count, Shape: job.Shape{Workers: unit.Workers(workers),
		PerWorker: unit.Resources{Accelerators: unit.Accelerators(acc), Cores: unit.Core, Memory: unit.GiB}, Locality: l}}
}

// TestBind guards against a set that is accepted although the fleet lacks the
// capacity for it, or rejected although it fits, and against rejections without
// a remedy.
func TestBind(t *testing.T) {
	cases := []struct {
		name  string
		set   []record.Guarantee
		guard bool
		err   string // a substring of the message
	}{
		{"exact fill", []record.Guarantee{newGuarantee("a", 3, 8, 2, job.SameRack), newGuarantee("b", 1, 8, 2, job.SameWorker)}, false, ""},
		{"count alone would pass", []record.Guarantee{newGuarantee("a", 1, 5, 9, job.SameWorker)}, false, "set its count to at most 8"},
		{"too wide for a rack", []record.Guarantee{newGuarantee("a", 5, 8, 1, job.SameRack)}, false, "ask for at most 4 x (8 accelerators"},
		{"wide in the zone", []record.Guarantee{newGuarantee("a", 8, 8, 1, job.SameZone)}, false, ""},
		{"rack lost", []record.Guarantee{newGuarantee("a", 8, 8, 1, job.SameZone)}, true, "after the loss of rack"},
		{"rack to spare", []record.Guarantee{newGuarantee("a", 4, 8, 1, job.SameRack)}, true, ""},
		{"bad count", []record.Guarantee{newGuarantee("a", 1, 1, 0, job.SameRack)}, false, "count"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b, err := guarantee.Bind(guarantee.Config{Zones: []record.Zone{newZone("z", 2, 4)}, Guarantees: c.set, GuardRackLoss: c.guard})
			if c.err != "" {
				is.True(problem.Is(err, problem.NeverFits) || problem.Is(err, problem.Invalid))
				is.True(strings.Contains(err.Error(), c.err)) // names the remedy
				return
			}
			is.NoErr(err)
			is.True(len(b.Copies) > 0)
		})
	}
}

// TestBindKeepsPreviousCells guards against copies that move to other cells when
// a guarantee is added for which there is free capacity, and against cells that
// overlap or violate the locality of a shape.
func TestBindKeepsPreviousCells(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := []record.Zone{newZone("y", 3, 4), newZone("z", 2, 4)}
		set := []record.Guarantee{
			newGuarantee("a", rapid.IntRange(1, 4).Draw(t, "wa"), rapid.IntRange(1, 8).Draw(t, "aa"), rapid.IntRange(1, 4).Draw(t, "ca"), job.SameRack),
			newGuarantee("b", rapid.IntRange(1, 6).Draw(t, "wb"), rapid.IntRange(1, 8).Draw(t, "ab"), rapid.IntRange(1, 4).Draw(t, "cb"), job.SameZone),
		}
		cfg := guarantee.Config{Zones: zones, Guarantees: set}
		b, err := guarantee.Bind(cfg)
		if err != nil {
			return
		}
		checkCells(t, zones, b)
		cfg.Previous = b
		cfg.Guarantees = append([]record.Guarantee{newGuarantee("c", 1, 1, 1, job.SameWorker)}, set...)
		next, err := guarantee.Bind(cfg)
		if err != nil {
			return
		}
		checkCells(t, zones, next)
		moved := 0
		for i, c := range b.Copies {
			if fmt.Sprint(c) != fmt.Sprint(next.Copies[i]) {
				moved++
			}
		}
		free := 5 * 4 * 8
		for _, c := range b.Copies {
			free -= int(c.Shape.Accelerators())
		}
		if free > 0 && moved > 0 {
			t.Fatalf("%d copies moved though there was room for the new one", moved)
		}
	})
}

func checkCells(t *rapid.T, zones []record.Zone, b *guarantee.Binding) {
	free := make(map[id.Worker]unit.Resources)
	rack := make(map[id.Worker]id.Rack)
	for _, z := range zones {
		for _, w := range z.Workers {
			free[w.Name], rack[w.Name] = w.Resources, w.Rack
		}
	}
	for _, c := range b.Copies {
		if len(c.Cells) != int(c.Shape.Workers) {
			t.Fatalf("copy of %v has %d cells", c.Key, len(c.Cells))
		}
		for _, cell := range c.Cells {
			if free[cell.Worker] = free[cell.Worker].Minus(cell.Resources); !(unit.Resources{}).Fits(free[cell.Worker]) {
				t.Fatalf("worker %s is bound twice", cell.Worker)
			}
			if c.Shape.Locality == job.SameRack && rack[cell.Worker] != rack[c.Cells[0].Worker] {
				t.Fatalf("copy of %v is spread over racks", c.Key)
			}
		}
	}
}
