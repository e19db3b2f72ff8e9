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

// searchSteps bounds each search for a way to hold all unclaimed shapes, and
// the sets of workers looked at for one shape. The first guess nearly always
// succeeds; the bound keeps a bad case finite.
const searchSteps = 2000

// room is what is left of a zone when only claims are held.
type room struct {
	racks [][]unit.Resources
	steps int
}

// newRoom returns the room that the holds in used leave of a zone, without the
// workers that are out.
func newRoom(z record.Zone, used map[id.Worker]unit.Resources, out map[id.Worker]bool) *room {
	index := make(map[id.Rack]int)
	r := &room{}
	for _, w := range z.Workers {
		if out[w.Name] {
			continue
		}
		i, ok := index[w.Rack]
		if !ok {
			i = len(r.racks)
			index[w.Rack] = i
			r.racks = append(r.racks, nil)
		}
		r.racks[i] = append(r.racks[i], w.Resources.Minus(used[w.Name]))
	}
	return r
}

// fitsAlone reports whether one gang of a shape fits.
func (r *room) fitsAlone(s job.Shape) bool {
	all := 0
	for _, rack := range r.racks {
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

// answer is the result of a bounded search.
type answer int

const (
	no answer = iota
	yes
	undecided
)

// holdAll searches for a way to hold all shapes at once. Shapes come the
// hardest to place first. It tries the likely ways first, and all ways before
// it says no.
func (r *room) holdAll(shapes []job.Shape) answer {
	if r.search(shapes, false) == yes {
		return yes
	}
	r.steps = 0
	return r.search(shapes, true)
}

func (r *room) search(shapes []job.Shape, all bool) answer {
	if len(shapes) == 0 {
		return yes
	}
	if r.steps++; r.steps > searchSteps {
		return undecided
	}
	result := no
	first, rest := shapes[0], shapes[1:]
	for _, try := range r.ways(first, all) {
		r.change(try, first.PerWorker, -1)
		got := r.search(rest, all)
		r.change(try, first.PerWorker, +1)
		if got == yes {
			return yes
		}
		if got == undecided {
			return undecided
		}
	}
	return result
}

// place is a worker by rack and position.
type place struct{ rack, worker int }

// ways returns candidate sets of workers for a shape: for each rack, and for a
// gang without rack locality in the zone, the fullest and the emptiest workers
// that fit, or all sets that differ in more than equal workers.
func (r *room) ways(s job.Shape, all bool) [][]place {
	var out [][]place
	var zone []place
	n := int(s.Workers)
	for i, rack := range r.racks {
		var fits []place
		for j, free := range rack {
			if s.PerWorker.Fits(free) {
				fits = append(fits, place{i, j})
			}
		}
		zone = append(zone, fits...)
		if s.Locality != job.SameZone && len(fits) >= n {
			out = append(out, r.sets(fits, n, all)...)
		}
	}
	if s.Locality == job.SameZone && len(zone) >= n {
		out = r.sets(zone, n, all)
	}
	return out
}

func (r *room) sets(fits []place, n int, all bool) [][]place {
	slices.SortStableFunc(fits, func(a, b place) int {
		fa, fb := r.racks[a.rack][a.worker], r.racks[b.rack][b.worker]
		return cmp.Or(cmp.Compare(fa.Accelerators, fb.Accelerators), cmp.Compare(fa.Cores, fb.Cores),
			cmp.Compare(fa.Memory, fb.Memory), cmp.Compare(a.rack, b.rack))
	})
	if all {
		return r.combinations(fits, n, nil, nil)
	}
	out := [][]place{slices.Clone(fits[:n])}
	if len(fits) > n {
		out = append(out, slices.Clone(fits[len(fits)-n:]))
	}
	return out
}

// combinations appends all ways to add n of the sorted places to chosen. Of
// equal workers in one rack, which stand together, the first are taken.
func (r *room) combinations(fits []place, n int, chosen []place, out [][]place) [][]place {
	if n == 0 {
		return append(out, slices.Clone(chosen))
	}
	if len(fits) < n || len(out) > searchSteps {
		return out
	}
	equal := 1
	for equal < len(fits) && fits[equal].rack == fits[0].rack &&
		r.racks[fits[0].rack][fits[equal].worker] == r.racks[fits[0].rack][fits[0].worker] {
		equal++
	}
	for take := min(equal, n); take >= 0; take-- {
		out = r.combinations(fits[equal:], n-take, append(slices.Clip(chosen), fits[:take]...), out)
	}
	return out
}

func (r *room) change(places []place, per unit.Resources, sign int) {
	for _, p := range places {
		r.racks[p.rack][p.worker] = r.racks[p.rack][p.worker].Plus(per.Times(sign))
	}
}

// claimedRoom returns what claims hold on each worker.
func (c *Checker) claimedRoom() map[id.Worker]unit.Resources {
	claimed := make(map[id.Worker]unit.Resources)
	for _, h := range c.held {
		if h.claim == "" {
			continue
		}
		for _, m := range h.members {
			claimed[m.Worker] = claimed[m.Worker].Plus(m.Resources)
		}
	}
	return claimed
}

// open returns the shapes that no claim uses, the hardest to place first.
func (c *Checker) open(revision id.Revision, set *record.Set) []job.Shape {
	var open []job.Shape
	for key, owed := range c.sets.CopyCounts(revision, c.zone) {
		for range owed - c.claims(key) {
			open = append(open, set.Guarantees[key].Shape)
		}
	}
	slices.SortFunc(open, harder)
	return open
}

func harder(a, b job.Shape) int {
	return cmp.Or(cmp.Compare(b.Accelerators(), a.Accelerators()),
		cmp.Compare(b.PerWorker.Accelerators, a.PerWorker.Accelerators), cmp.Compare(b.Workers, a.Workers),
		cmp.Compare(b.PerWorker.Cores, a.PerWorker.Cores), cmp.Compare(b.PerWorker.Memory, a.PerWorker.Memory),
		cmp.Compare(a.Locality, b.Locality))
}

// reclaimable checks that all unclaimed shapes can be held beside the claims.
// While workers are out, a placement may at most keep it as it was: before is
// what claims held before it.
func (c *Checker) reclaimable(r decision.Record, set *record.Set, before map[id.Worker]unit.Resources) {
	c.checked(Reclaimable)
	open := c.open(r.Revision, set)
	switch newRoom(set.Zones[c.zone], c.claimedRoom(), c.out).holdAll(open) {
	case no:
		if c.anyOut() {
			held := slices.Clone(open)
			if r.Spec.Claim != "" {
				held = append(held, set.Guarantees[record.GuaranteeKey{Account: r.Spec.Account, Name: r.Spec.Claim}].Shape)
				slices.SortFunc(held, harder)
			}
			if newRoom(set.Zones[c.zone], before, c.out).holdAll(held) != yes {
				c.skip(Reclaimable, reasonOutage)
				return
			}
		}
		c.find(Reclaimable, r, "the %d unclaimed guaranteed shapes can't all be held beside the claims", len(open))
	case undecided:
		c.report.Undecided++
	}
}
