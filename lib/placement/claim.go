package placement

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"

	"bronzewinch.dev/lib/decision"
	"bronzewinch.dev/lib/fleet"
	"bronzewinch.dev/lib/guarantee"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/unit"
)

const reasonOthers = "another guaranteed shape could not be claimed any more"

// Unclaimed returns the copies of a binding that no claim of the view uses,
// with their present cells, and those that can't be held at present because
// workers are out of placement.
func Unclaimed(v *fleet.View, b *guarantee.Binding) (held, lost []guarantee.Copy) {
	r := unclaimed(v, b.InZone(v.Zone))
	return r.Bound, r.Lost
}

func unclaimed(v *fleet.View, copies []guarantee.Copy) guarantee.RebindResult {
	held := unusedOfAll(v, copies)
	if holdable(v, held) {
		return guarantee.RebindResult{Bound: held}
	}
	return guarantee.Rebind(v, held)
}

func unusedOfAll(v *fleet.View, copies []guarantee.Copy) (left []guarantee.Copy) {
	if len(copies) == 0 {
		return nil
	}
	claims := make(map[record.GuaranteeKey][]*fleet.Gang)
	for _, g := range v.Claims() {
		key := record.GuaranteeKey{Account: g.Account, Name: g.Claim}
		claims[key] = append(claims[key], g)
	}
	for len(copies) > 0 {
		n := 1
		for n < len(copies) && copies[n].Key == copies[0].Key {
			n++
		}
		left = append(left, unused(v, copies[:n], claims[copies[0].Key])...)
		copies = copies[n:]
	}
	return left
}

// unused returns the copies of one shape that its claims leave. A claim uses
// the copy whose cells it runs on. A claim that runs elsewhere uses a copy
// whose cells can't be held, or else the last one.
func unused(v *fleet.View, copies []guarantee.Copy, claims []*fleet.Gang) []guarantee.Copy {
	if len(claims) == 0 {
		return copies
	}
	left := slices.Clone(copies)
	elsewhere := 0
	for _, g := range claims {
		at := slices.IndexFunc(left, func(c guarantee.Copy) bool { return onCells(g.Members, c.Cells) })
		if at < 0 {
			elsewhere++
			continue
		}
		left = slices.Delete(left, at, at+1)
	}
	for range min(elsewhere, len(left)) {
		at := slices.IndexFunc(left, func(c guarantee.Copy) bool { return !holdable(v, []guarantee.Copy{c}) })
		if at < 0 {
			at = len(left) - 1
		}
		left = slices.Delete(left, at, at+1)
	}
	return left
}

func onCells(members, cells []job.Member) bool {
	for i, m := range members {
		if i >= len(cells) || cells[i].Worker != m.Worker {
			return false
		}
	}
	return true
}

// holdable reports whether claims leave room for all copies on their cells.
func holdable(v *fleet.View, copies []guarantee.Copy) bool {
	used := make(map[fleet.Place]unit.Resources)
	for _, c := range copies {
		for _, cell := range c.Cells {
			at, ok := v.Place(cell.Worker)
			if !ok {
				return false
			}
			w := v.Worker(at)
			used[at] = used[at].Plus(cell.Resources)
			if w.Out != fleet.In || !used[at].Fits(w.Total.Minus(w.Claims)) {
				return false
			}
		}
	}
	return true
}

// option is a way to place a claim.
type option struct {
	candidate
	victims []*fleet.Gang
	lost    unit.Seconds
	bound   bool
}

func (a *option) compare(b *option) int {
	return cmp.Or(cmp.Compare(a.lost, b.lost), cmp.Compare(len(a.victims), len(b.victims)),
		cmp.Compare(a.cost, b.cost))
}

// claim places a claim on the cells of one of its copies, or elsewhere when
// that stops less work and all other copies can still be held.
func (s *session) claim(j job.Job) decision.Record {
	key := record.GuaranteeKey{Account: j.Spec.Account, Name: j.Spec.Claim}
	before := s.undecided
	defer func() { s.undecided = before }() // the searches for this claim say nothing about the next
	options, rejected := s.boundOptions(key, j.Spec.Shape)
	best := least(options)
	if best == nil || len(best.victims) > 0 {
		more, why := s.elsewhere(key, j.Spec.Shape)
		options = append(options, onOthers(options, more)...)
		rejected = append(rejected, why...)
		best = least(options)
	}
	if best == nil {
		rec := s.record(j, decision.RuleWait)
		rec.Reason = s.claimWait(key)
		rec.Alternatives = rejected
		return rec
	}
	rec := s.record(j, claimRule(best))
	rec.Members = best.members
	rec.Costs = append(best.costs, decision.Cost{Term: TermLostWork, Value: float64(best.lost)})
	rec.Alternatives = append(rejected, alternatives(options, best)...)
	rec.Reason = claimReason(best)
	for _, v := range best.victims {
		rec.Victims = append(rec.Victims, decision.Victim{Job: v.Job, Account: v.Account,
			Members: v.Members, LostWork: v.LostWork(s.st.Now)})
		if !v.Stopping {
			s.quota.Add(v.Account, -v.Accelerators())
			s.view.Stop(v)
		}
	}
	s.place(&rec)
	s.refreshBound()
	before = s.undecided
	return rec
}

func claimRule(o *option) decision.Rule {
	switch {
	case len(o.victims) > 0:
		return decision.RulePreempt
	case o.bound:
		return decision.RuleClaim
	}
	return decision.RuleFree
}

func claimReason(o *option) string {
	place := "free resources"
	if o.bound {
		place = "the cells bound to its shape"
	}
	if len(o.victims) == 0 {
		return fmt.Sprintf("placed on %s in %s", place, o.where)
	}
	return fmt.Sprintf("placed on %s in %s after %d opportunistic gangs stop, which loses %.0f accelerator-seconds",
		place, o.where, len(o.victims), float64(o.lost))
}

func (s *session) claimWait(key record.GuaranteeKey) string {
	total, left := 0, 0
	for _, c := range s.p.copies {
		if c.Key == key {
			total++
		}
	}
	for _, c := range slices.Concat(s.unclaimed, s.lost) {
		if c.Key == key {
			left++
		}
	}
	if left == 0 {
		return fmt.Sprintf("all %d copies of guaranteed shape %s are claimed", total, key.Name)
	}
	reason := fmt.Sprintf("the cells of guaranteed shape %s are on workers that are out of placement, and ", key.Name)
	if s.undecided {
		return reason + fmt.Sprintf("the search for others ended at its bound of %d steps; return workers to placement",
			guarantee.MaxSearchSteps)
	}
	return reason + "no others can hold it"
}

// boundOptions returns an option for each unclaimed copy of a shape.
func (s *session) boundOptions(key record.GuaranteeKey, shape job.Shape) (options []option, rejected []decision.Alternative) {
	for _, c := range s.unclaimed {
		if c.Key != key {
			continue
		}
		o := option{bound: true}
		o.where = s.cellsWhere(c)
		for _, cell := range c.Cells[:shape.Workers] {
			o.members = append(o.members, job.Member{Worker: cell.Worker, Resources: shape.PerWorker})
		}
		if !s.chooseVictims(&o) {
			rejected = append(rejected, decision.Alternative{Where: o.where, Reason: "gangs there can't be stopped"})
			continue
		}
		if s.rebound && !s.keepsOthers(key, &o, len(s.unclaimed)-1) {
			rejected = append(rejected, decision.Alternative{Where: o.where, Reason: reasonOthers, Costs: o.costs})
			continue
		}
		options = append(options, o)
		if len(o.victims) == 0 {
			break
		}
	}
	return options, rejected
}

func (s *session) cellsWhere(c guarantee.Copy) string {
	at, ok := s.view.Place(c.Cells[0].Worker)
	if !ok || c.Shape.Locality == job.SameZone {
		return string(c.Zone)
	}
	return string(s.view.Racks()[at.Rack].Name)
}

// elsewhere looks for cells that no other unclaimed copy is bound to: free
// ones, or else those where stopping gangs loses least work.
func (s *session) elsewhere(key record.GuaranteeKey, shape job.Shape) (options []option, rejected []decision.Alternative) {
	own := s.copyToUse(key)
	if own < 0 {
		return nil, nil
	}
	ways := []capacity{{onlyFree: true, of: func(at fleet.Place, w *fleet.Worker) unit.Resources {
		return smaller(s.unbound(at, w), w.Available())
	}}, {of: s.unbound, evict: true}}
	others := len(s.unclaimed)
	if own < len(s.unclaimed) {
		others--
		s.addBound(s.unclaimed[own], -1)
		defer s.addBound(s.unclaimed[own], 1)
	}
	for _, room := range ways {
		found, _ := s.find(shape, room)
		if found == nil {
			continue
		}
		o := option{candidate: *found}
		if !s.chooseVictims(&o) {
			continue
		}
		if !s.keepsOthers(key, &o, others) {
			rejected = append(rejected, decision.Alternative{Where: o.where,
				Reason: reasonOthers, Costs: o.costs})
			continue
		}
		return append(options, o), rejected
	}
	return options, rejected
}

// onOthers returns the options on other workers than the ones known.
func onOthers(known, more []option) []option {
	return slices.DeleteFunc(more, func(m option) bool {
		return slices.ContainsFunc(known, func(k option) bool { return slices.Equal(k.members, m.members) })
	})
}

// copyToUse returns the position of the copy that a claim elsewhere uses: in
// unclaimed, or its length when a lost copy is used, or -1 without any.
func (s *session) copyToUse(key record.GuaranteeKey) int {
	is := func(c guarantee.Copy) bool { return c.Key == key }
	if slices.ContainsFunc(s.lost, is) {
		return len(s.unclaimed)
	}
	for i := len(s.unclaimed) - 1; i >= 0; i-- {
		if is(s.unclaimed[i]) {
			return i
		}
	}
	return -1
}

// unbound is what a claim can use on a worker when it may stop all
// opportunistic gangs there.
func (s *session) unbound(at fleet.Place, w *fleet.Worker) unit.Resources {
	if w.Out != fleet.In {
		return unit.Resources{}
	}
	return w.Total.Minus(w.Claims).Minus(s.bound[at.Rack][at.Worker])
}

// keepsOthers reports whether at least a number of copies can be held after
// the claim is placed.
func (s *session) keepsOthers(key record.GuaranteeKey, o *option, others int) bool {
	after := s.view.Clone()
	after.Hold(&fleet.Gang{Account: key.Account, Claim: key.Name, Members: o.members})
	r := unclaimed(after, s.p.copies)
	s.undecided = s.undecided || r.Undecided
	return len(r.Bound) >= others
}

// chooseVictims sets the gangs to stop so that the members fit: least lost
// work, then fewest gangs. It reports whether stopping gangs is enough.
func (s *session) chooseVictims(o *option) bool {
	chosen := make(map[*fleet.Gang]bool)
	for {
		best := s.cheapestVictim(o.members, chosen)
		if best == nil {
			break
		}
		chosen[best] = true
		o.victims = append(o.victims, best)
	}
	if s.short(o.members, chosen) {
		return false
	}
	s.dropSpare(o, chosen)
	for _, v := range o.victims {
		o.lost += v.LostWork(s.st.Now)
	}
	return true
}

// cheapestVictim returns the gang that loses least work for each worker that
// lacks room and that it helps, or nil when none is needed or left.
func (s *session) cheapestVictim(members []job.Member, chosen map[*fleet.Gang]bool) *fleet.Gang {
	helps := make(map[*fleet.Gang]float64)
	var order []*fleet.Gang
	for _, m := range members {
		at, _ := s.view.Place(m.Worker)
		w := s.view.Worker(at)
		if m.Resources.Fits(freeWithout(w, chosen)) {
			continue
		}
		for _, h := range w.Holds {
			if h.Gang.Claim != "" || chosen[h.Gang] {
				continue
			}
			if helps[h.Gang] == 0 {
				order = append(order, h.Gang)
			}
			helps[h.Gang]++
		}
	}
	var best *fleet.Gang
	bestCost := math.Inf(1)
	for _, g := range order {
		if cost := (float64(g.LostWork(s.st.Now)) + 1) / helps[g]; cost < bestCost {
			best, bestCost = g, cost
		}
	}
	return best
}

// dropSpare removes victims that the others make unnecessary, the most lost
// work first.
func (s *session) dropSpare(o *option, chosen map[*fleet.Gang]bool) {
	order := slices.Clone(o.victims)
	slices.SortStableFunc(order, func(a, b *fleet.Gang) int {
		return cmp.Or(cmp.Compare(b.LostWork(s.st.Now), a.LostWork(s.st.Now)), strings.Compare(string(a.Job), string(b.Job)))
	})
	for _, g := range order {
		delete(chosen, g)
		if s.short(o.members, chosen) {
			chosen[g] = true
		}
	}
	o.victims = slices.DeleteFunc(o.victims, func(g *fleet.Gang) bool { return !chosen[g] })
}

func (s *session) short(members []job.Member, stopped map[*fleet.Gang]bool) bool {
	for _, m := range members {
		at, ok := s.view.Place(m.Worker)
		if !ok || !m.Resources.Fits(freeWithout(s.view.Worker(at), stopped)) {
			return true
		}
	}
	return false
}

func freeWithout(w *fleet.Worker, stopped map[*fleet.Gang]bool) unit.Resources {
	free := w.Available()
	if len(stopped) == 0 {
		return free
	}
	for _, h := range w.Holds {
		if stopped[h.Gang] && w.Out == fleet.In {
			free = free.Plus(h.Resources)
		}
	}
	return free
}

func least(options []option) *option {
	var best *option
	for i := range options {
		if best == nil || options[i].compare(best) < 0 {
			best = &options[i]
		}
	}
	return best
}

func alternatives(options []option, best *option) []decision.Alternative {
	var out []decision.Alternative
	for i := range options {
		if o := &options[i]; o != best && len(out) < maxAlternatives {
			out = append(out, decision.Alternative{Where: o.where,
				Reason: fmt.Sprintf("would stop %d gangs", len(o.victims)),
				Costs:  append(slices.Clone(o.costs), decision.Cost{Term: TermLostWork, Value: float64(o.lost)})})
		}
	}
	return out
}

func smaller(a, b unit.Resources) unit.Resources {
	return unit.Resources{Accelerators: min(a.Accelerators, b.Accelerators),
		Cores: min(a.Cores, b.Cores), Memory: min(a.Memory, b.Memory)}
}
