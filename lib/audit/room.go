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

// maxSearchSteps bounds each search for a way to hold all unclaimed shapes, and
// the sets of workers looked at for one shape. The first guess nearly always
// succeeds; the bound keeps a bad case finite.
const maxSearchSteps = 2000

// freeCapacity is what is left of a zone when only claims are held.
type freeCapacity struct {
	racks [][]unit.Resources
	steps int
}

// newFreeCapacity returns the room that the holds in used leave of a zone, without the
// workers that are out.
func newFreeCapacity(z record.Zone, used map[id.Worker]unit.Resources, out map[id.Worker]bool) *freeCapacity {
	index := make(map[id.Rack]int)
	f := &freeCapacity{}
	for _, w := range z.Workers {
		if out[w.Name] {
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

// fitsGang reports whether one gang of a shape fits.
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

// searchResult is the result of a bounded search.
type searchResult int

const (
	infeasible searchResult = iota
	feasible
	undecided
)

// placeAll searches for a way to hold all shapes at once. Shapes come the
// hardest to place first. It tries the likely ways first, and all ways before
// it says no.
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

// workerIndex is a worker by rack and position.
type workerIndex struct{ rack, worker int }

// candidates returns candidate sets of workers for a shape: for each rack, and for a
// gang without rack locality in the zone, the fullest and the emptiest workers
// that fit, or all sets that differ in more than equal workers.
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

// combinations appends all ways to add n of the sorted places to chosen. Of
// equal workers in one rack, which stand together, the first are taken.
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

// claimedResources returns what claims hold on each worker.
func (c *Checker) claimedResources() map[id.Worker]unit.Resources {
	claimed := make(map[id.Worker]unit.Resources)
	for _, h := range c.allocations {
		if h.claim == "" {
			continue
		}
		for _, m := range h.members {
			claimed[m.Worker] = claimed[m.Worker].Plus(m.Resources)
		}
	}
	return claimed
}

// unclaimedShapes returns the shapes that no claim uses, the hardest to place first.
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

func compareDifficulty(a, b job.Shape) int {
	return cmp.Or(cmp.Compare(b.Accelerators(), a.Accelerators()),
		cmp.Compare(b.PerWorker.Accelerators, a.PerWorker.Accelerators), cmp.Compare(b.Workers, a.Workers),
		cmp.Compare(b.PerWorker.Cores, a.PerWorker.Cores), cmp.Compare(b.PerWorker.Memory, a.PerWorker.Memory),
		cmp.Compare(a.Locality, b.Locality))
}

// checkReclaimable checks that all unclaimed shapes can be held beside the claims.
// While workers are out, a placement may at most keep it as it was: before is
// what claims held before it.
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
		c.addFinding(Reclaimable, r, "the %d unclaimed guaranteed shapes can't all be held beside the claims", len(unclaimed))
	case undecided:
		c.report.Undecided++
	}
}
