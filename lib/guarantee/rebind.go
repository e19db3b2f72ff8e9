package guarantee

import (
	"slices"

	"bronzewinch.dev/lib/fleet"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/unit"
)

// RebindResult is the result of Rebind.
type RebindResult struct {
	// Bound holds the copies with their present cells.
	Bound []Copy
	// Lost holds the copies that can't be bound at present, with their previous
	// cells.
	Lost []Copy
	// Undecided is set when the search ended at MaxSearchSteps: there may be a
	// binding for the lost copies that it didn't reach.
	Undecided bool
}

// Rebind moves unclaimed copies of one zone to other cells when their workers
// are excluded from placement, or when claims that run on other cells than their
// bound ones use the resources. The other unclaimed copies keep their cells,
// unless some copy then can't be bound. In that case Rebind tries greedy orders
// for all copies, and then an exhaustive search of up to MaxSearchSteps.
func Rebind(v *fleet.View, unclaimed []Copy) RebindResult {
	var bound, lost []Copy
	p := &pool{positions: make(map[id.Worker][2]int)}
	for _, r := range v.Racks() {
		for i := range r.Workers {
			w := &r.Workers[i]
			free := w.Total.Minus(w.Claims)
			if w.Exclusion != fleet.NotExcluded {
				free = unit.Resources{}
			}
			p.add(v.Zone, r.Name, w.Name, free)
		}
	}
	full := p.without(-1)
	var displaced []Copy
	for _, c := range unclaimed {
		if p.take(c.Cells) {
			bound = append(bound, c)
		} else {
			displaced = append(displaced, c)
		}
	}
	slices.SortStableFunc(displaced, bySize)
	for _, c := range displaced {
		cells, _, ok := p.bind(v.Zone, c.Shape)
		if !ok {
			lost = append(lost, c)
			continue
		}
		c.Cells = cells
		bound = append(bound, c)
	}
	undecided := false
	if len(lost) > 0 {
		rebound, failed := bindAll(full, requireZone(v.Zone, unclaimed))
		if failed != nil {
			var complete bool
			rebound, complete = bindExhaustive(full, requireZone(v.Zone, unclaimed))
			undecided = !complete
		}
		if rebound != nil {
			bound, lost = rebound, nil
		}
	}
	slices.SortFunc(bound, compareKeys)
	return RebindResult{Bound: bound, Lost: lost, Undecided: undecided}
}

func requireZone(zone id.Zone, copies []Copy) []Copy {
	copies = slices.Clone(copies)
	for i := range copies {
		copies[i].RequiredZone = zone
	}
	return copies
}
