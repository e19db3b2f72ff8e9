package guarantee

import (
	"cmp"
	"maps"
	"slices"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/record"
)

// BindSet binds the guarantees of a set of records. The result depends only on
// the set, so that all nodes have the same binding at a revision.
func BindSet(s *record.Set) (*Binding, error) {
	zones := slices.SortedFunc(maps.Values(s.Zones), func(a, b record.Zone) int { return cmp.Compare(a.Name, b.Name) })
	guarantees := slices.SortedFunc(maps.Values(s.Guarantees), func(a, b record.Guarantee) int {
		return cmp.Or(cmp.Compare(a.Account, b.Account), cmp.Compare(a.Name, b.Name))
	})
	return Bind(Config{Zones: zones, Guarantees: guarantees, GuardRackLoss: s.Policy.GuardRackLoss, CopyZones: s.Copies})
}

// Binder implements record.Binder with BindSet: it rejects a set of records
// when its guaranteed shapes can't all be bound.
type Binder struct{}

// Bind binds the guarantees of a set and returns the zones of the copies whose
// guarantee names no zone. Copies stay in their zones when all shapes can be
// bound that way. Otherwise the zones of all these copies are chosen again.
func (Binder) Bind(s *record.Set) ([]record.CopyZones, error) {
	b, err := BindSet(s)
	if err != nil {
		unpinned := s.Clone()
		unpinned.Copies = nil
		if b, err = BindSet(unpinned); err != nil {
			return nil, err
		}
	}
	pinned := s.Clone()
	pinned.Copies = b.copyZones(s)
	_, err = BindSet(pinned) // all nodes will bind the set with these zones
	return pinned.Copies, err
}

// copyZones returns the zones of the copies whose guarantee names no zone.
func (b *Binding) copyZones(s *record.Set) []record.CopyZones {
	var out []record.CopyZones
	for _, c := range b.Copies {
		if s.Guarantees[c.Key].Zone != "" {
			continue
		}
		if n := len(out); n == 0 || out[n-1].Account != c.Key.Account || out[n-1].Name != c.Key.Name {
			out = append(out, record.CopyZones{Account: c.Key.Account, Name: c.Key.Name})
		}
		last := &out[len(out)-1]
		last.Zones = append(last.Zones, c.Zone)
	}
	return out
}

// CopyCounts returns the number of copies of each guaranteed shape that are
// bound in a zone.
func (b *Binding) CopyCounts(zone id.Zone) map[record.GuaranteeKey]int {
	counts := make(map[record.GuaranteeKey]int)
	for _, c := range b.InZone(zone) {
		counts[c.Key]++
	}
	return counts
}
