package audit

import (
	"cmp"
	"slices"

	"bronzewinch.dev/lib/decision"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/unit"
)

// maxSearchSteps bounds the steps of each search for a placement of all unclaimed
// shapes, and the worker sets considered for one shape. The first candidate
// nearly always succeeds; the bound limits the time of pathological cases.
const maxSearchSteps = 2000

// freeCapacity is the free resources of each worker of a zone, grouped by rack.
type freeCapacity struct {
	racks [][]unit.Resources
	steps int
}

// newFreeCapacity returns the resources of a zone that are not in used, leaving
// out excluded workers.
func newFreeCapacity(z record.Zone, used map[id.Worker]unit.Resources, excluded map[id.Worker]bool) *freeCapacity {
	index := make(map[id.Rack]int)
	f := &freeCapacity{}
	for _, w := range z.Workers {
		if excluded[w.Name] {
			continue
		}
		i, ok := index[w.Rack]
		if !ok {
			i = len(f.racks)
			index[w.Rack] = i
			f.racks = append(f.racks, nil)
		}
		f.racks[i] = append(f.racks[i], w.Resources.Minus(used[w.Name]))
	}
	return f
}

// fitsGang reports whether a gang of the shape fits.
func (f *freeCapacity) fitsGang(s job.Shape) bool {
	all := 0
	for _, rack := range f.racks {
		n := 0
		for _, free := range rack {
			if s.PerWorker.Fits(free) {
				n++
			}
		}
		if s.Locality != job.SameZone && n >= int(s.Workers) {
			return true
		}
		all += n
	}
	return s.Locality == job.SameZone && all >= int(s.Workers)
}

// searchResult is the result of a search with a step limit.
type searchResult int

const (
	infeasible searchResult = iota
	feasible
	undecided
)

// placeAll searches for a placement of all shapes at once. The shapes must be
// sorted by compareDifficulty. It tries the likely candidates first, and returns
// infeasible only after an exhaustive search.
func (f *freeCapacity) placeAll(shapes []job.Shape) searchResult {
	if f.search(shapes, false) == feasible {
		return feasible
	}
	f.steps = 0
	return f.search(shapes, true)
}

func (f *freeCapacity) search(shapes []job.Shape, exhaustive bool) searchResult {
	if len(shapes) == 0 {
		return feasible
	}
	if f.steps++; f.steps > maxSearchSteps {
		return undecided
	}
	result := infeasible
	first, rest := shapes[0], shapes[1:]
	for _, candidate := range f.candidates(first, exhaustive) {
		f.adjust(candidate, first.PerWorker, -1)
		got := f.search(rest, exhaustive)
		f.adjust(candidate, first.PerWorker, +1)
		if got == feasible {
			return feasible
		}
		if got == undecided {
			return undecided
		}
	}
	return result
}

// workerIndex identifies a worker by its rack and its position in the rack.
type workerIndex struct{ rack, worker int }

// candidates returns candidate sets of workers for a shape. Sets are taken from
// each rack or, for shapes with zone locality, from the whole zone: the fullest
// and the emptiest workers that fit or, if exhaustive, all sets that differ in
// more than interchangeable workers.
func (f *freeCapacity) candidates(s job.Shape, exhaustive bool) [][]workerIndex {
	var out [][]workerIndex
	var zone []workerIndex
	n := int(s.Workers)
	for i, rack := range f.racks {
		var fits []workerIndex
		for j, free := range rack {
			if s.PerWorker.Fits(free) {
				fits = append(fits, workerIndex{i, j})
			}
		}
		zone = append(zone, fits...)
		if s.Locality != job.SameZone && len(fits) >= n {
			out = append(out, f.workerSets(fits, n, exhaustive)...)
		}
	}
	if s.Locality == job.SameZone && len(zone) >= n {
		out = f.workerSets(zone, n, exhaustive)
	}
	return out
}

func (f *freeCapacity) workerSets(fits []workerIndex, n int, exhaustive bool) [][]workerIndex {
	slices.SortStableFunc(fits, func(a, b workerIndex) int {
		fa, fb := f.racks[a.rack][a.worker], f.racks[b.rack][b.worker]
		return cmp.Or(cmp.Compare(fa.Accelerators, fb.Accelerators), cmp.Compare(fa.Cores, fb.Cores),
			cmp.Compare(fa.Memory, fb.Memory), cmp.Compare(a.rack, b.rack))
	})
	if exhaustive {
		return f.combinations(fits, n, nil, nil)
	}
	out := [][]workerIndex{slices.Clone(fits[:n])}
	if len(fits) > n {
		out = append(out, slices.Clone(fits[len(fits)-n:]))
	}
	return out
}

// combinations appends to out every extension of chosen by n of the sorted
// workers in fits. Of workers in one rack with equal free resources, which are
// adjacent in fits, it uses only the first ones, since they are interchangeable.
func (f *freeCapacity) combinations(fits []workerIndex, n int, chosen []workerIndex, out [][]workerIndex) [][]workerIndex {
	if n == 0 {
		return append(out, slices.Clone(chosen))
	}
	if len(fits) < n || len(out) > maxSearchSteps {
		return out
	}
	equal := 1
	for equal < len(fits) && fits[equal].rack == fits[0].rack &&
		f.racks[fits[0].rack][fits[equal].worker] == f.racks[fits[0].rack][fits[0].worker] {
		equal++
	}
	for take := min(equal, n); take >= 0; take-- {
		out = f.combinations(fits[equal:], n-take, append(slices.Clip(chosen), fits[:take]...), out)
	}
	return out
}

func (f *freeCapacity) adjust(places []workerIndex, per unit.Resources, sign int) {
	for _, p := range places {
		f.racks[p.rack][p.worker] = f.racks[p.rack][p.worker].Plus(per.Times(sign))
	}
}

// claimedResources returns the resources allocated to claims on each worker.
func (c *Checker) claimedResources() map[id.Worker]unit.Resources {
	claimed := make(map[id.Worker]unit.Resources)
	for _, alloc := range c.allocations {
		if alloc.claim == "" {
			continue
		}
		for _, m := range alloc.members {
			claimed[m.Worker] = claimed[m.Worker].Plus(m.Resources)
		}
	}
	return claimed
}

// unclaimedShapes returns the unclaimed guaranteed shapes, the hardest to place
// first.
func (c *Checker) unclaimedShapes(revision id.Revision, set *record.Set) []job.Shape {
	var shapes []job.Shape
	for key, copies := range c.configs.CopyCounts(revision, c.zone) {
		for range copies - c.claimCount(key) {
			shapes = append(shapes, set.Guarantees[key].Shape)
		}
	}
	slices.SortFunc(shapes, compareDifficulty)
	return shapes
}

// compareDifficulty orders shapes by how hard they are to place, the hardest
// first.
func compareDifficulty(a, b job.Shape) int {
	return cmp.Or(cmp.Compare(b.Accelerators(), a.Accelerators()),
		cmp.Compare(b.PerWorker.Accelerators, a.PerWorker.Accelerators), cmp.Compare(b.Workers, a.Workers),
		cmp.Compare(b.PerWorker.Cores, a.PerWorker.Cores), cmp.Compare(b.PerWorker.Memory, a.PerWorker.Memory),
		cmp.Compare(a.Locality, b.Locality))
}

// checkReclaimable checks that all unclaimed shapes fit in addition to the
// running claims. While workers are excluded, it may be that they did not fit
// before the placement either; the record then counts as unchecked. claimedBefore
// is the resources allocated to claims before the placement.
func (c *Checker) checkReclaimable(r decision.Record, set *record.Set, claimedBefore map[id.Worker]unit.Resources) {
	c.countCheck(Reclaimable)
	unclaimed := c.unclaimedShapes(r.Revision, set)
	switch newFreeCapacity(set.Zones[c.zone], c.claimedResources(), c.excluded).placeAll(unclaimed) {
	case infeasible:
		if c.anyExcluded() {
			required := slices.Clone(unclaimed)
			if r.Spec.Claim != "" {
				required = append(required, set.Guarantees[record.GuaranteeKey{Account: r.Spec.Account, Name: r.Spec.Claim}].Shape)
				slices.SortFunc(required, compareDifficulty)
			}
			if newFreeCapacity(set.Zones[c.zone], claimedBefore, c.excluded).placeAll(required) != feasible {
				c.addUnchecked(Reclaimable, reasonOutage)
				return
			}
		}
		c.addFinding(Reclaimable, r, "the %d unclaimed guaranteed shapes don't all fit in addition to the claims", len(unclaimed))
	case undecided:
		c.report.Undecided++
	}
}
