// Package guarantee decides whether a set of guaranteed shapes can all be
// held at once on a fleet, and binds each copy of a shape to concrete cells:
// workers with an amount of resources.
package guarantee

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"bronzewinch.dev/lib/fleet"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/record"
)

// MaxCopies is the greatest number of copies of one guaranteed shape. It is
// the number of workers at the two-year size.
const MaxCopies = 960

// maxShuffles is the number of further orders that are tried when the sorted
// orders fail. Sorted orders find a binding in nearly all cases that have one;
// the bound keeps a refusal under a second at the two-year size.
const maxShuffles = 12

// Config holds what a set of guarantees is bound on.
type Config struct {
	Zones      []record.Zone
	Guarantees []record.Guarantee
	// GuardRackLoss asks that all shapes can still be held after any one rack
	// is lost.
	GuardRackLoss bool
	// CopyZones keeps copies in the zones that were chosen for them before.
	CopyZones []record.CopyZones
	// Previous is a binding to keep where it can be kept. It may be nil.
	Previous *Binding
}

// Copy is one copy of a guaranteed shape with its cells.
type Copy struct {
	Key   record.GuaranteeKey
	Index int
	Shape job.Shape
	// RequiredZone is the zone that the guarantee asks for or that was chosen for the
	// copy before, or empty.
	RequiredZone id.Zone
	Zone         id.Zone
	Cells        []job.Member
}

// Binding is the cells of all copies of a set of guarantees. It is not
// changed once it is made.
type Binding struct {
	// Copies is in order of account, shape and index.
	Copies []Copy
}

// InZone returns the copies whose cells are in a zone.
func (b *Binding) InZone(zone id.Zone) []Copy {
	if b == nil {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(b.Copies), func(c Copy) bool { return c.Zone != zone })
}

// Bind binds all copies of all guarantees at once. The result is the same on
// each node for the same Config. It returns an Invalid error for a guarantee
// that breaks a limit, and a NeverFits error that names the shape that can't
// be held and what would fit.
func Bind(cfg Config) (*Binding, error) {
	copies, err := expandCopies(cfg)
	if err != nil {
		return nil, err
	}
	bound, failed, rack := bindGuarded(cfg, copies)
	if failed != nil {
		return nil, capacityError(cfg, failed, rack)
	}
	slices.SortFunc(bound, compareKeys)
	return &Binding{Copies: bound}, nil
}

// bindGuarded binds all copies, and checks the loss of each rack when it is
// asked for. It returns the copy that finds no cells, and after which loss.
func bindGuarded(cfg Config, copies []Copy) (bound []Copy, failed *Copy, lostRack id.Rack) {
	full := newPool(cfg.Zones)
	full.spread = cfg.GuardRackLoss
	strategies := []func() ([]Copy, *Copy){
		func() ([]Copy, *Copy) { return keepThenBind(full, copies, cfg.Previous) },
		func() ([]Copy, *Copy) { return bindAll(full, copies) },
	}
	if cfg.Previous == nil {
		strategies = strategies[1:]
	}
	for _, bind := range strategies {
		if bound, failed = bind(); failed != nil {
			continue
		}
		if !cfg.GuardRackLoss {
			return bound, nil, ""
		}
		if failed, lostRack = firstFailingRackLoss(full, bound); failed == nil {
			return bound, nil, ""
		}
	}
	return nil, failed, lostRack
}

func expandCopies(cfg Config) ([]Copy, error) {
	var copies []Copy
	for _, g := range cfg.Guarantees {
		if err := g.Shape.Check("shape."); err != nil {
			return nil, err
		}
		if g.Count < 1 || g.Count > MaxCopies {
			return nil, problem.New(problem.Invalid, problem.Detail{
				Field: "count", Value: fmt.Sprint(g.Count), Limit: fmt.Sprintf("1 to %d", MaxCopies),
				Remedy: "give the number of copies of shape " + shapeName(g.Account, g.Name)})
		}
		zones := fleet.InZone(cfg.Zones, g.Zone)
		if nearest, fits := fleet.Nearest(zones, g.Shape); !fits {
			return nil, neverFitsError(g, nearest)
		}
		for i := range g.Count {
			copies = append(copies, Copy{Key: record.GuaranteeKey{Account: g.Account, Name: g.Name},
				Index: i, Shape: g.Shape, RequiredZone: cfg.requiredZone(g, i)})
		}
	}
	slices.SortFunc(copies, compareKeys)
	return copies, nil
}

// requiredZone returns the zone that a copy must be in, or none.
func (cfg Config) requiredZone(g record.Guarantee, index int) id.Zone {
	if g.Zone != "" {
		return g.Zone
	}
	for _, c := range cfg.CopyZones {
		if c.Account != g.Account || c.Name != g.Name || index >= len(c.Zones) {
			continue
		}
		// A zone that is no longer declared is not kept.
		if slices.ContainsFunc(cfg.Zones, func(z record.Zone) bool { return z.Name == c.Zones[index] }) {
			return c.Zones[index]
		}
	}
	return ""
}

// keepThenBind keeps the cells of the previous binding and binds the rest.
func keepThenBind(full *pool, copies []Copy, previous *Binding) ([]Copy, *Copy) {
	type copyID struct {
		key   record.GuaranteeKey
		index int
	}
	previousCopies := make(map[copyID]Copy, len(previous.Copies))
	for _, c := range previous.Copies {
		previousCopies[copyID{c.Key, c.Index}] = c
	}
	p := full.without(-1)
	var kept, rest []Copy
	for _, c := range copies {
		previousCopy, ok := previousCopies[copyID{c.Key, c.Index}]
		if ok && previousCopy.Shape == c.Shape && (c.RequiredZone == "" || c.RequiredZone == previousCopy.Zone) && p.take(previousCopy.Cells) {
			previousCopy.RequiredZone = c.RequiredZone
			kept = append(kept, previousCopy)
		} else {
			rest = append(rest, c)
		}
	}
	bound, failed := bindAll(p, rest)
	return append(kept, bound...), failed
}

// bindAll tries several orders. Large pieces first is the rule that binds
// most sets; the others serve sets where it fails.
func bindAll(full *pool, copies []Copy) ([]Copy, *Copy) {
	var first *Copy
	for _, order := range []func(a, b Copy) int{bySize, byMemberSize, byLocality} {
		sorted := slices.Clone(copies)
		slices.SortStableFunc(sorted, order)
		bound, failed := bindInOrder(full.without(-1), sorted)
		if failed == nil {
			return bound, nil
		}
		first = cmp.Or(first, failed)
	}
	random := rand.New(rand.NewPCG(1, uint64(len(copies)))) // a fixed seed: each node tries the same orders
	shuffled := slices.Clone(copies)
	for range maxShuffles {
		random.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		if bound, failed := bindInOrder(full.without(-1), shuffled); failed == nil {
			return bound, nil
		}
	}
	return nil, first
}

func bindInOrder(p *pool, copies []Copy) ([]Copy, *Copy) {
	bound := make([]Copy, 0, len(copies))
	for i, c := range copies {
		var ok bool
		if c.Cells, c.Zone, ok = p.bind(c.RequiredZone, c.Shape); !ok {
			return nil, &copies[i]
		}
		bound = append(bound, c)
	}
	return bound, nil
}

// firstFailingRackLoss returns the first rack after whose loss the shapes can't all be
// held, with the copy that finds no cells. A rack without cells is no loss.
// Copies stay in their zones, because the owner of a zone binds them again by
// itself.
func firstFailingRackLoss(full *pool, bound []Copy) (*Copy, id.Rack) {
	used := make(map[int]bool)
	bound = slices.Clone(bound)
	for i, c := range bound {
		bound[i].RequiredZone = c.Zone
		for _, cell := range c.Cells {
			used[full.positions[cell.Worker][0]] = true
		}
	}
	for i := range full.racks {
		if !used[i] {
			continue
		}
		left := full.without(i)
		if _, failed := keepThenBind(left, bound, &Binding{Copies: bound}); failed == nil {
			continue
		}
		if _, failed := bindAll(left, bound); failed != nil {
			return failed, full.racks[i].name
		}
	}
	return nil, ""
}

func neverFitsError(g record.Guarantee, nearest job.Shape) error {
	remedy := "declare workers that can hold it; nothing near it fits"
	if nearest.Workers > 0 {
		remedy = fmt.Sprintf("ask for at most %v, or declare larger workers or racks", nearest)
	}
	return problem.New(problem.NeverFits, problem.Detail{
		Field: "shape", Value: shapeName(g.Account, g.Name),
		Limit: fmt.Sprintf("the declared fleet has no place for %v", g.Shape), Remedy: remedy})
}

// capacityError names the shape that finds no cells and how many copies would fit.
func capacityError(cfg Config, failed *Copy, lostRack id.Rack) error {
	limit := "all guaranteed shapes held at once"
	if lostRack != "" {
		limit += fmt.Sprintf(" after the loss of rack %s", lostRack)
	}
	remedy := "remove a guarantee, or declare more workers"
	if n := maxFittingCount(cfg, failed.Key); n > 0 {
		remedy = fmt.Sprintf("set its count to at most %d, or declare more workers", n)
	}
	return problem.New(problem.NeverFits, problem.Detail{
		Field: "shape", Value: shapeName(failed.Key.Account, failed.Key.Name), Limit: limit, Remedy: remedy})
}

// maxFittingCount returns the greatest count of one guarantee with which the set
// can be held, zero when it can't be held even without it.
func maxFittingCount(cfg Config, key record.GuaranteeKey) int {
	index := slices.IndexFunc(cfg.Guarantees, func(g record.Guarantee) bool {
		return g.Account == key.Account && g.Name == key.Name
	})
	low, high := 0, cfg.Guarantees[index].Count-1
	for low < high {
		mid := (low + high + 1) / 2
		if fitsWithCount(cfg, index, mid) {
			low = mid
		} else {
			high = mid - 1
		}
	}
	if low == 0 || !fitsWithCount(cfg, index, low) {
		return 0
	}
	return low
}

func fitsWithCount(cfg Config, index, count int) bool {
	cfg.Guarantees = slices.Clone(cfg.Guarantees)
	cfg.Guarantees[index].Count = count
	copies, err := expandCopies(cfg)
	if err != nil {
		return false
	}
	cfg.Previous = nil
	_, failed, _ := bindGuarded(cfg, copies)
	return failed == nil
}

func shapeName(a id.Account, s id.Shape) string { return string(a) + "/" + string(s) }

func compareKeys(a, b Copy) int {
	return cmp.Or(strings.Compare(string(a.Key.Account), string(b.Key.Account)),
		strings.Compare(string(a.Key.Name), string(b.Key.Name)), cmp.Compare(a.Index, b.Index))
}

func bySize(a, b Copy) int {
	return cmp.Or(cmp.Compare(b.Shape.Accelerators(), a.Shape.Accelerators()), byMemberSize(a, b))
}

func byMemberSize(a, b Copy) int {
	return cmp.Or(cmp.Compare(b.Shape.PerWorker.Accelerators, a.Shape.PerWorker.Accelerators),
		cmp.Compare(b.Shape.Workers, a.Shape.Workers), cmp.Compare(b.Shape.PerWorker.Cores, a.Shape.PerWorker.Cores),
		compareKeys(a, b))
}

func byLocality(a, b Copy) int {
	rank := map[job.Locality]int{job.SameRack: 0, job.SameZone: 1, job.SameWorker: 2}
	return cmp.Or(cmp.Compare(rank[a.Shape.Locality], rank[b.Shape.Locality]), bySize(a, b))
}
