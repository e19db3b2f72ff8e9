package guarantee

import (
	"cmp"
	"slices"
	"strings"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/unit"
)

// slot holds the resources of a worker that are not bound yet.
type slot struct {
	worker id.Worker
	free   unit.Resources
}

type poolRack struct {
	zone  id.Zone
	name  id.Rack
	slots []slot
}

// pool is the capacity that copies are bound to. Its order is fixed, so that
// all nodes get the same binding.
type pool struct {
	racks []poolRack
	// spread prefers the zone with the most free accelerators to the best fit in
	// any zone, so that each zone has spare capacity for the loss of a rack.
	spread    bool
	positions map[id.Worker][2]int // index of the rack and of the slot in it
}

func newPool(zones []record.Zone) *pool {
	p := &pool{positions: make(map[id.Worker][2]int)}
	zones = slices.Clone(zones)
	slices.SortFunc(zones, func(a, b record.Zone) int { return strings.Compare(string(a.Name), string(b.Name)) })
	for _, z := range zones {
		workers := slices.Clone(z.Workers)
		slices.SortFunc(workers, func(a, b record.Worker) int {
			return cmp.Or(strings.Compare(string(a.Rack), string(b.Rack)), strings.Compare(string(a.Name), string(b.Name)))
		})
		for _, w := range workers {
			p.add(z.Name, w.Rack, w.Name, w.Resources)
		}
	}
	return p
}

// add appends a worker. The workers of a rack must be added consecutively.
func (p *pool) add(zone id.Zone, rack id.Rack, worker id.Worker, free unit.Resources) {
	n := len(p.racks)
	if n == 0 || p.racks[n-1].zone != zone || p.racks[n-1].name != rack {
		p.racks = append(p.racks, poolRack{zone: zone, name: rack})
		n++
	}
	r := &p.racks[n-1]
	p.positions[worker] = [2]int{n - 1, len(r.slots)}
	r.slots = append(r.slots, slot{worker, free})
}

// without returns a copy of p in which the rack at an index has no free
// resources. With -1, all racks keep theirs.
func (p *pool) without(rack int) *pool {
	c := &pool{positions: p.positions, spread: p.spread, racks: slices.Clone(p.racks)}
	for i := range c.racks {
		c.racks[i].slots = slices.Clone(c.racks[i].slots)
		if i != rack {
			continue
		}
		for j := range c.racks[i].slots {
			c.racks[i].slots[j].free = unit.Resources{}
		}
	}
	return c
}

func (p *pool) slot(w id.Worker) *slot {
	at, ok := p.positions[w]
	if !ok {
		return nil
	}
	return &p.racks[at[0]].slots[at[1]]
}

// take subtracts the cells from the free resources. It changes nothing and
// returns false when a cell doesn't fit.
func (p *pool) take(cells []job.Member) bool {
	for _, c := range cells {
		if s := p.slot(c.Worker); s == nil || !c.Resources.Fits(s.free) {
			return false
		}
	}
	for _, c := range cells {
		s := p.slot(c.Worker)
		s.free = s.free.Minus(c.Resources)
	}
	return true
}

// bind takes cells for a shape by best fit: the workers with the fewest free
// accelerators, in the rack or zone with the fewest free accelerators. An empty
// zone means any zone. It returns false when the shape fits nowhere.
func (p *pool) bind(zone id.Zone, s job.Shape) ([]job.Member, id.Zone, bool) {
	var best []*slot
	var bestZone id.Zone
	var bestZoneFree, bestFree unit.Accelerators
	for _, rackRange := range p.rackRanges(zone, s.Locality) {
		chosen, free, ok := bestFit(p.racks[rackRange[0]:rackRange[1]], s)
		if !ok {
			continue
		}
		name := p.racks[rackRange[0]].zone
		zoneFree := unit.Accelerators(0)
		if p.spread {
			zoneFree = p.freeInZone(name)
		}
		if best == nil || zoneFree > bestZoneFree || zoneFree == bestZoneFree && free < bestFree {
			best, bestZoneFree, bestFree, bestZone = chosen, zoneFree, free, name
		}
	}
	if best == nil {
		return nil, "", false
	}
	cells := make([]job.Member, len(best))
	for i, b := range best {
		b.free = b.free.Minus(s.PerWorker)
		cells[i] = job.Member{Worker: b.worker, Resources: s.PerWorker}
	}
	return cells, bestZone, true
}

// freeInZone returns the number of free accelerators in a zone.
func (p *pool) freeInZone(zone id.Zone) unit.Accelerators {
	var n unit.Accelerators
	for _, r := range p.racks {
		if r.zone != zone {
			continue
		}
		for _, s := range r.slots {
			n += s.free.Accelerators
		}
	}
	return n
}

// rackRanges returns the ranges of rack indices, each within one zone, over
// which a gang of the given locality may spread. An empty zone means all zones.
func (p *pool) rackRanges(zone id.Zone, l job.Locality) [][2]int {
	var ranges [][2]int
	for i, r := range p.racks {
		if zone != "" && r.zone != zone {
			continue
		}
		if n := len(ranges); l == job.SameZone && n > 0 && p.racks[ranges[n-1][0]].zone == r.zone {
			ranges[n-1][1] = i + 1
			continue
		}
		ranges = append(ranges, [2]int{i, i + 1})
	}
	return ranges
}

func bestFit(racks []poolRack, s job.Shape) (chosen []*slot, free unit.Accelerators, ok bool) {
	var fitting []*slot
	for i := range racks {
		for j := range racks[i].slots {
			slot := &racks[i].slots[j]
			free += slot.free.Accelerators
			if s.PerWorker.Fits(slot.free) {
				fitting = append(fitting, slot)
			}
		}
	}
	if len(fitting) < int(s.Workers) {
		return nil, 0, false
	}
	slices.SortStableFunc(fitting, func(a, b *slot) int {
		return cmp.Or(cmp.Compare(a.free.Accelerators, b.free.Accelerators),
			cmp.Compare(a.free.Cores, b.free.Cores))
	})
	chosen = fitting[:s.Workers]
	if s.Locality == job.SameWorker {
		free = chosen[0].free.Accelerators
	}
	return chosen, free, true
}
