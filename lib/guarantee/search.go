package guarantee

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"

	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/unit"
)

// MaxSearchSteps limits the exhaustive search for cells in one zone. A step is
// the visit of one state of the zone, with some of the copies placed. The zones
// of the audit's tests need at most a few hundred steps. The limit prevents a
// set that can't be bound from blocking the placement in a large zone.
const MaxSearchSteps = 2000

// slotRef refers to a slot by the index of its rack and its index in the rack.
type slotRef struct{ rack, slot int }

// search is a backtracking search for the cells of copies in a pool of one zone.
// It tries all assignments, except those that differ only by an exchange of
// equal workers or equal racks.
type search struct {
	pool   *pool
	copies []Copy // largest first
	cells  [][]slotRef
	// visited holds the keys of states that were searched already. A key is made
	// of the number of placed copies and the free resources of each rack, without
	// the names of the racks.
	visited  map[[sha256.Size]byte]bool
	rackKeys [][]byte // nil for racks that changed
	steps    int
}

// bindExhaustive returns the copies with cells, or nil when it finds no binding.
// It returns false for complete when it ended at MaxSearchSteps, so that there
// may be a binding all the same.
func bindExhaustive(p *pool, copies []Copy) (bound []Copy, complete bool) {
	s := &search{pool: p, copies: slices.Clone(copies), cells: make([][]slotRef, len(copies)),
		visited: make(map[[sha256.Size]byte]bool), rackKeys: make([][]byte, len(p.racks))}
	slices.SortStableFunc(s.copies, bySize)
	if !s.placeFrom(0) {
		return nil, s.steps <= MaxSearchSteps
	}
	for i, c := range s.copies {
		cells := make([]job.Member, len(s.cells[i]))
		for j, at := range s.cells[i] {
			cells[j] = job.Member{Worker: p.racks[at.rack].slots[at.slot].worker, Resources: c.Shape.PerWorker}
		}
		c.Cells, c.Zone = cells, p.racks[s.cells[i][0].rack].zone
		s.copies[i] = c
	}
	return s.copies, true
}

// placeFrom finds cells for s.copies[i:]. It reports whether it found them.
func (s *search) placeFrom(i int) bool {
	if i == len(s.copies) {
		return true
	}
	if s.steps++; s.steps > MaxSearchSteps {
		return false
	}
	key := s.stateKey(i)
	if s.visited[key] || !s.mayFit(i) {
		return false
	}
	s.visited[key] = true
	shape := s.copies[i].Shape
	for _, rackRange := range s.pool.rackRanges(s.copies[i].RequiredZone, shape.Locality) {
		if fits := s.fittingSlots(rackRange, shape.PerWorker); s.chooseSlots(i, fits, int(shape.Workers), nil) {
			return true
		}
		if s.steps > MaxSearchSteps {
			return false
		}
	}
	return false
}

// fittingSlots returns the slots of a range of racks on which a member fits,
// those with the least free resources first. Equal slots of a rack are adjacent.
func (s *search) fittingSlots(rackRange [2]int, member unit.Resources) []slotRef {
	var fits []slotRef
	for i := rackRange[0]; i < rackRange[1]; i++ {
		for j := range s.pool.racks[i].slots {
			if member.Fits(s.free(slotRef{i, j})) {
				fits = append(fits, slotRef{i, j})
			}
		}
	}
	slices.SortStableFunc(fits, func(a, b slotRef) int {
		return cmp.Or(compareResources(s.free(a), s.free(b)), cmp.Compare(a.rack, b.rack))
	})
	return fits
}

// chooseSlots tries the combinations of chosen and n more of the slots in fits
// for copy i, until the copies after i can be placed too. Of equal slots of a
// rack it uses only the first ones.
func (s *search) chooseSlots(i int, fits []slotRef, n int, chosen []slotRef) bool {
	if n == 0 {
		return s.placeOn(i, chosen)
	}
	if len(fits) < n || s.steps > MaxSearchSteps {
		return false
	}
	equal := 1
	for equal < len(fits) && fits[equal].rack == fits[0].rack && s.free(fits[equal]) == s.free(fits[0]) {
		equal++
	}
	for take := min(equal, n); take >= 0; take-- {
		if s.chooseSlots(i, fits[equal:], n-take, append(slices.Clip(chosen), fits[:take]...)) {
			return true
		}
	}
	return false
}

func (s *search) placeOn(i int, chosen []slotRef) bool {
	member := s.copies[i].Shape.PerWorker
	s.addFree(chosen, member.Times(-1))
	s.cells[i] = chosen
	ok := s.placeFrom(i + 1)
	s.addFree(chosen, member)
	return ok
}

func (s *search) free(at slotRef) unit.Resources { return s.pool.racks[at.rack].slots[at.slot].free }

func (s *search) addFree(slots []slotRef, amount unit.Resources) {
	for _, at := range slots {
		free := &s.pool.racks[at.rack].slots[at.slot].free
		*free = free.Plus(amount)
		s.rackKeys[at.rack] = nil
	}
}

// mayFit checks a necessary condition for placing s.copies[i:]: for each member
// size, the zone's workers together must fit as many members of that size as
// there are members at least as large.
func (s *search) mayFit(i int) bool {
	remaining := s.copies[i:]
	for j, c := range remaining {
		member := c.Shape.PerWorker
		if j > 0 && member == remaining[j-1].Shape.PerWorker {
			continue
		}
		need := 0
		for _, d := range remaining {
			if member.Fits(d.Shape.PerWorker) {
				need += int(d.Shape.Workers)
			}
		}
		for r := range s.pool.racks {
			for k := range s.pool.racks[r].slots {
				need -= fittingMembers(s.pool.racks[r].slots[k].free, member)
			}
		}
		if need > 0 {
			return false
		}
	}
	return true
}

// fittingMembers returns how many members of a size fit into free resources.
func fittingMembers(free, member unit.Resources) int {
	if !member.Fits(free) || member.IsZero() {
		return 0
	}
	n := int64(1) << 32
	if member.Accelerators > 0 {
		n = min(n, int64(free.Accelerators/member.Accelerators))
	}
	if member.Cores > 0 {
		n = min(n, int64(free.Cores/member.Cores))
	}
	if member.Memory > 0 {
		n = min(n, int64(free.Memory/member.Memory))
	}
	return int(n)
}

// stateKey returns the key of the present state for visited, with i copies
// placed.
func (s *search) stateKey(i int) [sha256.Size]byte {
	for r := range s.rackKeys {
		if s.rackKeys[r] == nil {
			s.rackKeys[r] = rackKey(s.pool.racks[r].slots)
		}
	}
	racks := slices.Clone(s.rackKeys)
	slices.SortFunc(racks, slices.Compare)
	all := binary.AppendUvarint(nil, uint64(i))
	for _, r := range racks {
		all = binary.AppendUvarint(all, uint64(len(r)))
		all = append(all, r...)
	}
	return sha256.Sum256(all)
}

func rackKey(slots []slot) []byte {
	free := make([]unit.Resources, len(slots))
	for i := range slots {
		free[i] = slots[i].free
	}
	slices.SortFunc(free, compareResources)
	key := make([]byte, 0, 12*len(free))
	for _, f := range free {
		key = binary.AppendVarint(key, int64(f.Accelerators))
		key = binary.AppendVarint(key, int64(f.Cores))
		key = binary.AppendVarint(key, int64(f.Memory))
	}
	return key
}

func compareResources(a, b unit.Resources) int {
	return cmp.Or(cmp.Compare(a.Accelerators, b.Accelerators), cmp.Compare(a.Cores, b.Cores), cmp.Compare(a.Memory, b.Memory))
}
