package guarantee

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"

	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/unit"
)

// MaxSearchSteps bounds the complete search for cells in one zone. A step is one
// state of the zone that is looked at, with some of the copies placed. The
// worlds of the audit's tests need at most a few hundred; the bound keeps a
// set that can't be held from stopping the placement of a large zone.
const MaxSearchSteps = 2000

// slotRef is a slot by rack and position.
type slotRef struct{ rack, slot int }

// search tries all ways to give copies cells in a pool of one zone, but for
// ways that differ in equal workers or equal racks only.
type search struct {
	pool   *pool
	copies []Copy // the hardest to place first
	cells  [][]slotRef
	// visited holds the states from which no way was found, by the number of
	// copies placed and what is left of each rack, whatever the rack's name.
	visited  map[[sha256.Size]byte]bool
	rackKeys [][]byte // nil where a rack changed
	steps    int
}

// bindExhaustive returns the copies with cells, or nil. It reports whether the
// search came to its end; when it reached MaxSearchSteps, there may be cells
// that it did not find.
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

// placeFrom finds cells for the copies from position i on.
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

// fittingSlots returns the slots of a range of racks with room for a piece, the
// tightest first. Equal slots of a rack stand together.
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

// chooseSlots adds n of the slots to chosen in all ways, and of equal slots of a
// rack the first ones only, until the copies after i can be placed.
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

// mayFit reports whether the pieces of the copies from i on can be in the zone
// by their number: for each size of piece, all workers together must hold as
// many pieces of that size as there are pieces that are at least as large.
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

// fittingMembers returns how many pieces fit into what is free.
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

// stateKey identifies the copies that are left and what the racks have left.
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
