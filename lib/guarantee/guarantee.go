// Package guarantee decides whether a fleet has the capacity for all copies of
// a set of guaranteed shapes at the same time. It binds each copy to cells. A
// cell is an amount of resources on one worker.
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

// MaxCopies is the greatest number of copies of one guaranteed shape. It equals
// the number of workers that the fleet is expected to have in two years.
const MaxCopies = 960

// maxShuffles is the number of random orders that are tried when the sorted
// orders fail. Sorted orders find a binding in nearly all cases that have one.
// The limit keeps the rejection of a set under one second at the fleet size that
// is expected in two years.
const maxShuffles = 12

// Config is the input of Bind.
type Config struct {
	Zones      []record.Zone
	Guarantees []record.Guarantee
	// GuardRackLoss requires that all copies can still be bound after the loss
	// of any one rack.
	GuardRackLoss bool
	// CopyZones holds the zones that were chosen earlier for copies whose
	// guarantee names no zone. The copies stay there.
	CopyZones []record.CopyZones
	// Previous is an earlier binding, which Bind keeps as far as possible. It may
	// be nil.
	Previous *Binding
}

// Copy is one copy of a guaranteed shape with its cells.
type Copy struct {
	Key   record.GuaranteeKey
	Index int
	Shape job.Shape
	// RequiredZone is the zone that the guarantee names or that was chosen
	// earlier for the copy. It is empty when the copy may be in any zone.
	RequiredZone id.Zone
	Zone         id.Zone
	Cells        []job.Member
}

// Binding maps all copies of a set of guarantees to cells. It is immutable.
type Binding struct {
	// Copies is sorted by account, shape name and index.
	Copies []Copy
}

// InZone returns the copies whose cells are in a zone. The binding may be nil.
func (b *Binding) InZone(zone id.Zone) []Copy {
	if b == nil {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(b.Copies), func(c Copy) bool { return c.Zone != zone })
}

// Bind binds all copies of all guarantees. The result is deterministic, so that
// all nodes get the same binding for the same Config. The error kind is Invalid
// for a guarantee that exceeds a limit, and NeverFits when there is not enough
// capacity; the error then names a shape that can't be bound, and a count or a
// shape that would fit if there is one.
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

// bindGuarded binds all copies and, with GuardRackLoss, checks the loss of each
// rack. On failure it returns a copy that can't be bound, and the rack whose loss
// was simulated, if any.
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
		if err := g.Shape.Validate("shape."); err != nil {
			return nil, err
		}
		if g.Count < 1 || g.Count > MaxCopies {
			return nil, problem.New(problem.Invalid, problem.Detail{
				Field: "count", Value: fmt.Sprint(g.Count), Limit: fmt.Sprintf("1 to %d", MaxCopies),
				Remedy: "give the number of copies of shape " + shapeName(g.Account, g.Name)})
		}
		zones := fleet.EligibleZones(cfg.Zones, g.Zone)
		if nearest, fits := fleet.NearestShape(zones, g.Shape); !fits {
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

// requiredZone returns the value of RequiredZone for a copy.
func (cfg Config) requiredZone(g record.Guarantee, index int) id.Zone {
	if g.Zone != "" {
		return g.Zone
	}
	for _, c := range cfg.CopyZones {
		if c.Account != g.Account || c.Name != g.Name || index >= len(c.Zones) {
			continue
		}
		// A zone that is no longer declared is ignored.
		if slices.ContainsFunc(cfg.Zones, func(z record.Zone) bool { return z.Name == c.Zones[index] }) {
			return c.Zones[index]
		}
	}
	return ""
}

// keepThenBind keeps the cells of previous for copies that are unchanged and
// still fit there, and binds the others. It returns a copy that can't be bound,
// or nil.
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

// bindAll binds copies one after the other, in several orders until one
// succeeds. The order by size, largest first, succeeds for most sets; the
// others are fallbacks. On failure it returns the copy that couldn't be bound in
// the first order.
func bindAll(p *pool, copies []Copy) ([]Copy, *Copy) {
	var first *Copy
	for _, order := range []func(a, b Copy) int{bySize, byMemberSize, byLocality} {
		sorted := slices.Clone(copies)
		slices.SortStableFunc(sorted, order)
		bound, failed := bindInOrder(p.without(-1), sorted)
		if failed == nil {
			return bound, nil
		}
		first = cmp.Or(first, failed)
	}
	random := rand.New(rand.NewPCG(1, uint64(len(copies)))) // the seed is fixed so that all nodes try the same orders
	shuffled := slices.Clone(copies)
	for range maxShuffles {
		random.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		if bound, failed := bindInOrder(p.without(-1), shuffled); failed == nil {
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

// firstFailingRackLoss returns the first rack after whose loss some copy can't
// be bound again, and that copy. Racks without cells are skipped. Copies must
// stay in their zones, because each zone's owner rebinds the copies of its zone
// on its own.
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
	remedy := "declare workers with enough resources; no smaller variant of the shape fits either"
	if nearest.Workers > 0 {
		remedy = fmt.Sprintf("ask for at most %v, or declare larger workers or racks", nearest)
	}
	return problem.New(problem.NeverFits, problem.Detail{
		Field: "shape", Value: shapeName(g.Account, g.Name),
		Limit: fmt.Sprintf("%v does not fit on the declared fleet", g.Shape), Remedy: remedy})
}

// capacityError returns a NeverFits error that names the shape of a copy that
// can't be bound, and how many copies of the shape would fit.
func capacityError(cfg Config, failed *Copy, lostRack id.Rack) error {
	limit := "capacity for all guaranteed shapes at the same time"
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

// maxFittingCount returns the greatest count of one guarantee, below its
// present count, with which the set can be bound. It is 0 when the set can't be
// bound even with a count of 1.
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
