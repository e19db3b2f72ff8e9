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

// spot is a slot by rack and position.
type spot struct{ rack, slot int }

// search tries all ways to give copies cells in a pool of one zone, but for
// ways that differ in equal workers or equal racks only.
type search struct {
	pool   *pool
	copies []Copy // the hardest to place first
	cells  [][]spot
	// seen holds the states from which no way was found, by the number of
	// copies placed and what is left of each rack, whatever the rack's name.
	seen     map[[sha256.Size]byte]bool
	rackKeys [][]byte // nil where a rack changed
	steps    int
}

// bindComplete returns the copies with cells, or nil. It reports whether the
// search came to its end; when it reached MaxSearchSteps, there may be cells
// that it did not find.
func bindComplete(p *pool, copies []Copy) (bound []Copy, ended bool) {
	s := &search{pool: p, copies: slices.Clone(copies), cells: make([][]spot, len(copies)),
		seen: make(map[[sha256.Size]byte]bool), rackKeys: make([][]byte, len(p.racks))}
	slices.SortStableFunc(s.copies, bySize)
	if !s.place(0) {
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

// place finds cells for the copies from position i on.
func (s *search) place(i int) bool {
	if i == len(s.copies) {
		return true
	}
	if s.steps++; s.steps > MaxSearchSteps {
		return false
	}
	key := s.key(i)
	if s.seen[key] || !s.enough(i) {
		return false
	}
	s.seen[key] = true
	shape := s.copies[i].Shape
	for _, group := range s.pool.groups(s.copies[i].RequiredZone, shape.Locality) {
		if fits := s.fitting(group, shape.PerWorker); s.choose(i, fits, int(shape.Workers), nil) {
			return true
		}
		if s.steps > MaxSearchSteps {
			return false
		}
	}
	return false
}

// fitting returns the slots of a range of racks with room for a piece, the
// tightest first. Equal slots of a rack stand together.
func (s *search) fitting(group [2]int, piece unit.Resources) []spot {
	var fits []spot
	for i := group[0]; i < group[1]; i++ {
		for j := range s.pool.racks[i].slots {
			if piece.Fits(s.free(spot{i, j})) {
				fits = append(fits, spot{i, j})
			}
		}
	}
	slices.SortStableFunc(fits, func(a, b spot) int {
		return cmp.Or(compareResources(s.free(a), s.free(b)), cmp.Compare(a.rack, b.rack))
	})
	return fits
}

// choose adds n of the slots to chosen in all ways, and of equal slots of a
// rack the first ones only, until the copies after i can be placed.
func (s *search) choose(i int, fits []spot, n int, chosen []spot) bool {
	if n == 0 {
		return s.try(i, chosen)
	}
	if len(fits) < n || s.steps > MaxSearchSteps {
		return false
	}
	equal := 1
	for equal < len(fits) && fits[equal].rack == fits[0].rack && s.free(fits[equal]) == s.free(fits[0]) {
		equal++
	}
	for take := min(equal, n); take >= 0; take-- {
		if s.choose(i, fits[equal:], n-take, append(slices.Clip(chosen), fits[:take]...)) {
			return true
		}
	}
	return false
}

func (s *search) try(i int, chosen []spot) bool {
	piece := s.copies[i].Shape.PerWorker
	s.change(chosen, piece.Times(-1))
	s.cells[i] = chosen
	ok := s.place(i + 1)
	s.change(chosen, piece)
	return ok
}

func (s *search) free(at spot) unit.Resources { return s.pool.racks[at.rack].slots[at.slot].free }

func (s *search) change(spots []spot, by unit.Resources) {
	for _, at := range spots {
		free := &s.pool.racks[at.rack].slots[at.slot].free
		*free = free.Plus(by)
		s.rackKeys[at.rack] = nil
	}
}

// enough reports whether the pieces of the copies from i on can be in the zone
// by their number: for each size of piece, all workers together must hold as
// many pieces of that size as there are pieces that are at least as large.
func (s *search) enough(i int) bool {
	left := s.copies[i:]
	for j, c := range left {
		piece := c.Shape.PerWorker
		if j > 0 && piece == left[j-1].Shape.PerWorker {
			continue
		}
		need := 0
		for _, d := range left {
			if piece.Fits(d.Shape.PerWorker) {
				need += int(d.Shape.Workers)
			}
		}
		for r := range s.pool.racks {
			for k := range s.pool.racks[r].slots {
				need -= pieces(s.pool.racks[r].slots[k].free, piece)
			}
		}
		if need > 0 {
			return false
		}
	}
	return true
}

// pieces returns how many pieces fit into what is free.
func pieces(free, piece unit.Resources) int {
	if !piece.Fits(free) || piece.IsZero() {
		return 0
	}
	n := int64(1) << 32
	if piece.Accelerators > 0 {
		n = min(n, int64(free.Accelerators/piece.Accelerators))
	}
	if piece.Cores > 0 {
		n = min(n, int64(free.Cores/piece.Cores))
	}
	if piece.Memory > 0 {
		n = min(n, int64(free.Memory/piece.Memory))
	}
	return int(n)
}

// key identifies the copies that are left and what the racks have left.
func (s *search) key(i int) [sha256.Size]byte {
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
