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

const reasonBreaksGuarantee = "another guaranteed shape could not be claimed any more"

// Unclaimed returns the copies of a binding that no claim in the view uses.
// usable holds those with usable cells, which may differ from the cells of the
// binding, and lost those without, because workers are excluded from placement.
func Unclaimed(v *fleet.View, b *guarantee.Binding) (usable, lost []guarantee.Copy) {
	r := rebindUnclaimed(v, b.InZone(v.Zone))
	return r.Bound, r.Lost
}

func rebindUnclaimed(v *fleet.View, copies []guarantee.Copy) guarantee.RebindResult {
	unclaimed := unclaimedCopies(v, copies)
	if cellsUsable(v, unclaimed) {
		return guarantee.RebindResult{Bound: unclaimed}
	}
	return guarantee.Rebind(v, unclaimed)
}

func unclaimedCopies(v *fleet.View, copies []guarantee.Copy) (left []guarantee.Copy) {
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
		left = append(left, unclaimedOfShape(v, copies[:n], claims[copies[0].Key])...)
		copies = copies[n:]
	}
	return left
}

// unclaimedOfShape returns the copies of one shape that its claims don't use.
// A claim uses the copy whose cells it runs on. A claim that runs on other
// workers uses a copy whose own cells are not usable, or else the last one.
func unclaimedOfShape(v *fleet.View, copies []guarantee.Copy, claims []*fleet.Gang) []guarantee.Copy {
	if len(claims) == 0 {
		return copies
	}
	left := slices.Clone(copies)
	onOtherWorkers := 0
	for _, g := range claims {
		at := slices.IndexFunc(left, func(c guarantee.Copy) bool { return runsOnCells(g.Members, c.Cells) })
		if at < 0 {
			onOtherWorkers++
			continue
		}
		left = slices.Delete(left, at, at+1)
	}
	for range min(onOtherWorkers, len(left)) {
		at := slices.IndexFunc(left, func(c guarantee.Copy) bool { return !cellsUsable(v, []guarantee.Copy{c}) })
		if at < 0 {
			at = len(left) - 1
		}
		left = slices.Delete(left, at, at+1)
	}
	return left
}

func runsOnCells(members, cells []job.Member) bool {
	for i, m := range members {
		if i >= len(cells) || cells[i].Worker != m.Worker {
			return false
		}
	}
	return true
}

// cellsUsable reports whether all copies fit on their cells at the same time,
// next to the running claims. Opportunistic gangs are ignored, as claims may
// preempt them.
func cellsUsable(v *fleet.View, copies []guarantee.Copy) bool {
	used := make(map[fleet.Position]unit.Resources)
	for _, c := range copies {
		for _, cell := range c.Cells {
			at, ok := v.Position(cell.Worker)
			if !ok {
				return false
			}
			w := v.Worker(at)
			used[at] = used[at].Plus(cell.Resources)
			if w.Exclusion != fleet.NotExcluded || !used[at].Fits(w.Total.Minus(w.Claims)) {
				return false
			}
		}
	}
	return true
}

// option is one way to place a claim, with the gangs that it preempts.
type option struct {
	candidate
	victims      []*fleet.Gang
	lostWork     unit.Seconds
	onBoundCells bool
}

func (a *option) compare(b *option) int {
	return cmp.Or(cmp.Compare(a.lostWork, b.lostWork), cmp.Compare(len(a.victims), len(b.victims)),
		cmp.Compare(a.cost, b.cost))
}

// decideClaim places a claim on the cells of one of its copies. It chooses
// other workers when that loses less work and leaves usable cells for all other
// unclaimed copies.
func (s *session) decideClaim(j job.Job) decision.Record {
	key := record.GuaranteeKey{Account: j.Spec.Account, Name: j.Spec.Claim}
	before := s.undecided
	defer func() { s.undecided = before }() // a search that ended early for this claim doesn't concern the next
	options, rejected := s.boundOptions(key, j.Spec.Shape)
	best := cheapest(options)
	if best == nil || len(best.victims) > 0 {
		more, moreRejected := s.unboundOptions(key, j.Spec.Shape)
		options = append(options, excludeKnown(options, more)...)
		rejected = append(rejected, moreRejected...)
		best = cheapest(options)
	}
	if best == nil {
		rec := s.newRecord(j, decision.RuleWait)
		rec.Reason = s.claimWaitReason(key)
		rec.Alternatives = rejected
		return rec
	}
	rec := s.newRecord(j, claimRule(best))
	rec.Members = best.members
	rec.Costs = append(best.costs, decision.Cost{Term: TermLostWork, Value: float64(best.lostWork)})
	rec.Alternatives = append(rejected, alternatives(options, best)...)
	rec.Reason = claimReason(best)
	for _, v := range best.victims {
		rec.Victims = append(rec.Victims, decision.Victim{Job: v.Job, Account: v.Account,
			Members: v.Members, LostWork: v.LostWork(s.state.Now)})
		if !v.Stopping {
			s.quota.Add(v.Account, -v.Accelerators())
			s.view.MarkStopping(v)
		}
	}
	s.applyToView(&rec)
	s.refreshBound()
	before = s.undecided
	return rec
}

func claimRule(o *option) decision.Rule {
	switch {
	case len(o.victims) > 0:
		return decision.RulePreempt
	case o.onBoundCells:
		return decision.RuleClaim
	}
	return decision.RuleFree
}

func claimReason(o *option) string {
	location := "free resources"
	if o.onBoundCells {
		location = "the cells bound to its shape"
	}
	if len(o.victims) == 0 {
		return fmt.Sprintf("placed on %s in %s", location, o.where)
	}
	return fmt.Sprintf("placed on %s in %s after %d opportunistic gangs stop, which loses %.0f accelerator-seconds",
		location, o.where, len(o.victims), float64(o.lostWork))
}

func (s *session) claimWaitReason(key record.GuaranteeKey) string {
	total, left := 0, 0
	for _, c := range s.planner.copies {
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

// boundOptions returns an option for each unclaimed copy of a shape, up to the
// first one that preempts no gang.
func (s *session) boundOptions(key record.GuaranteeKey, shape job.Shape) (options []option, rejected []decision.Alternative) {
	for _, c := range s.unclaimed {
		if c.Key != key {
			continue
		}
		o := option{onBoundCells: true}
		o.where = s.cellsLocation(c)
		for _, cell := range c.Cells[:shape.Workers] {
			o.members = append(o.members, job.Member{Worker: cell.Worker, Resources: shape.PerWorker})
		}
		if !s.chooseVictims(&o) {
			rejected = append(rejected, decision.Alternative{Where: o.where, Reason: "gangs there can't be stopped"})
			continue
		}
		if s.rebound && !s.othersKeepCells(key, &o, len(s.unclaimed)-1) {
			rejected = append(rejected, decision.Alternative{Where: o.where, Reason: reasonBreaksGuarantee, Costs: o.costs})
			continue
		}
		options = append(options, o)
		if len(o.victims) == 0 {
			break
		}
	}
	return options, rejected
}

func (s *session) cellsLocation(c guarantee.Copy) string {
	at, ok := s.view.Position(c.Cells[0].Worker)
	if !ok || c.Shape.Locality == job.SameZone {
		return string(c.Zone)
	}
	return string(s.view.Racks()[at.Rack].Name)
}

// unboundOptions searches for workers with resources that no other unclaimed
// copy is bound to: free resources first, and otherwise those where preemption
// loses the least work.
func (s *session) unboundOptions(key record.GuaranteeKey, shape job.Shape) (options []option, rejected []decision.Alternative) {
	copyIndex := s.copyForUnboundClaim(key)
	if copyIndex < 0 {
		return nil, nil
	}
	searches := []searchOptions{{onlyFree: true, usable: func(at fleet.Position, w *fleet.Worker) unit.Resources {
		return minResources(s.unboundOn(at, w), w.Available())
	}}, {usable: s.unboundOn, mayPreempt: true}}
	others := len(s.unclaimed)
	if copyIndex < len(s.unclaimed) {
		others--
		s.addBound(s.unclaimed[copyIndex], -1)
		defer s.addBound(s.unclaimed[copyIndex], 1)
	}
	for _, opts := range searches {
		found, _ := s.find(shape, opts)
		if found == nil {
			continue
		}
		o := option{candidate: *found}
		if !s.chooseVictims(&o) {
			continue
		}
		if !s.othersKeepCells(key, &o, others) {
			rejected = append(rejected, decision.Alternative{Where: o.where,
				Reason: reasonBreaksGuarantee, Costs: o.costs})
			continue
		}
		return append(options, o), rejected
	}
	return options, rejected
}

// excludeKnown returns the options of more whose members differ from those of
// all known options.
func excludeKnown(known, more []option) []option {
	return slices.DeleteFunc(more, func(m option) bool {
		return slices.ContainsFunc(known, func(k option) bool { return slices.Equal(k.members, m.members) })
	})
}

// copyForUnboundClaim returns which copy a claim uses that runs on unbound
// resources: the index in s.unclaimed, len(s.unclaimed) for a lost copy, or -1
// when no copy is left.
func (s *session) copyForUnboundClaim(key record.GuaranteeKey) int {
	hasKey := func(c guarantee.Copy) bool { return c.Key == key }
	if slices.ContainsFunc(s.lost, hasKey) {
		return len(s.unclaimed)
	}
	for i := len(s.unclaimed) - 1; i >= 0; i-- {
		if hasKey(s.unclaimed[i]) {
			return i
		}
	}
	return -1
}

// unboundOn returns what a claim can use on a worker outside the cells of
// unclaimed copies, when it may preempt all opportunistic gangs there.
func (s *session) unboundOn(at fleet.Position, w *fleet.Worker) unit.Resources {
	if w.Exclusion != fleet.NotExcluded {
		return unit.Resources{}
	}
	return w.Total.Minus(w.Claims).Minus(s.boundResources[at.Rack][at.Worker])
}

// othersKeepCells reports whether at least the given number of other copies have
// usable cells after the claim is placed on the members of o.
func (s *session) othersKeepCells(key record.GuaranteeKey, o *option, others int) bool {
	after := s.view.Clone()
	after.AddGang(&fleet.Gang{Account: key.Account, Claim: key.Name, Members: o.members})
	r := rebindUnclaimed(after, s.planner.copies)
	s.undecided = s.undecided || r.Undecided
	return len(r.Bound) >= others
}

// chooseVictims sets o.victims to gangs whose stop makes the members fit, and
// o.lostWork to their work. It adds the gang with the least lost work for each
// worker that it helps until the members fit, then drops gangs that are not
// needed. It reports false when no preemption makes the members fit.
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
	if s.lacksResources(o.members, chosen) {
		return false
	}
	s.dropUnneededVictims(o, chosen)
	for _, v := range o.victims {
		o.lostWork += v.LostWork(s.state.Now)
	}
	return true
}

// cheapestVictim returns the opportunistic gang with the least lost work per
// worker on which a member doesn't fit yet, or nil when none is needed or left.
func (s *session) cheapestVictim(members []job.Member, chosen map[*fleet.Gang]bool) *fleet.Gang {
	workersHelped := make(map[*fleet.Gang]float64)
	var order []*fleet.Gang
	for _, m := range members {
		at, _ := s.view.Position(m.Worker)
		w := s.view.Worker(at)
		if m.Resources.Fits(freeAfterStopping(w, chosen)) {
			continue
		}
		for _, a := range w.Allocations {
			if a.Gang.Claim != "" || chosen[a.Gang] {
				continue
			}
			if workersHelped[a.Gang] == 0 {
				order = append(order, a.Gang)
			}
			workersHelped[a.Gang]++
		}
	}
	var best *fleet.Gang
	bestCost := math.Inf(1)
	for _, g := range order {
		if cost := (float64(g.LostWork(s.state.Now)) + 1) / workersHelped[g]; cost < bestCost {
			best, bestCost = g, cost
		}
	}
	return best
}

// dropUnneededVictims removes victims without which the members still fit. It
// tries those with the most lost work first.
func (s *session) dropUnneededVictims(o *option, chosen map[*fleet.Gang]bool) {
	order := slices.Clone(o.victims)
	slices.SortStableFunc(order, func(a, b *fleet.Gang) int {
		return cmp.Or(cmp.Compare(b.LostWork(s.state.Now), a.LostWork(s.state.Now)), strings.Compare(string(a.Job), string(b.Job)))
	})
	for _, g := range order {
		delete(chosen, g)
		if s.lacksResources(o.members, chosen) {
			chosen[g] = true
		}
	}
	o.victims = slices.DeleteFunc(o.victims, func(g *fleet.Gang) bool { return !chosen[g] })
}

func (s *session) lacksResources(members []job.Member, stopped map[*fleet.Gang]bool) bool {
	for _, m := range members {
		at, ok := s.view.Position(m.Worker)
		if !ok || !m.Resources.Fits(freeAfterStopping(s.view.Worker(at), stopped)) {
			return true
		}
	}
	return false
}

func freeAfterStopping(w *fleet.Worker, stopped map[*fleet.Gang]bool) unit.Resources {
	free := w.Available()
	if len(stopped) == 0 {
		return free
	}
	for _, a := range w.Allocations {
		if stopped[a.Gang] && w.Exclusion == fleet.NotExcluded {
			free = free.Plus(a.Resources)
		}
	}
	return free
}

func cheapest(options []option) *option {
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
				Costs:  append(slices.Clone(o.costs), decision.Cost{Term: TermLostWork, Value: float64(o.lostWork)})})
		}
	}
	return out
}

func minResources(a, b unit.Resources) unit.Resources {
	return unit.Resources{Accelerators: min(a.Accelerators, b.Accelerators),
		Cores: min(a.Cores, b.Cores), Memory: min(a.Memory, b.Memory)}
}
