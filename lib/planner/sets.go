package planner

import (
	"cmp"
	"slices"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/unit"
)

// candidateSets returns the sets of candidates on which a group runs at full speed,
// best first, and the candidates for running remote if that is allowed now. Sets that
// include workers on which the group has failed come last. They are not left out, as
// the other workers may not have the capacity.
func (ps *pass) candidateSets(g *group) (sets [][]*candidate, remote []*candidate) {
	all := ps.eligibleForStep(g)
	preferred := all
	if len(g.failedOn) > 0 {
		preferred = slices.DeleteFunc(slices.Clone(all), func(c *candidate) bool { return slices.Contains(g.failedOn, c.ID) })
	}
	if !g.needsRack() {
		sets = append(sets, preferred)
		if len(preferred) < len(all) {
			sets = append(sets, all)
		}
		return sets, nil
	}
	sets = ps.localSets(g, preferred)
	if len(preferred) < len(all) {
		sets = append(sets, ps.localSets(g, all)...)
	}
	if ps.remoteAllowed(g, sets) {
		remote = all
	}
	return sets, remote
}

// eligibleForStep returns the candidates that may receive tasks of a group's step.
func (ps *pass) eligibleForStep(g *group) (all []*candidate) {
	key := eligibilityOf(g)
	if !g.limitedPerWorker() {
		if all, ok := ps.eligible[key]; ok {
			return all
		}
	}
	for _, c := range ps.candidates {
		if ps.maxTasksOn(g, c) > 0 {
			all = append(all, c)
		}
	}
	if !g.limitedPerWorker() {
		ps.eligible[key] = all
	}
	return all
}

// limitedPerWorker reports whether the number of the group's tasks on a worker depends
// on more than its service, labels and free capacity.
func (g *group) limitedPerWorker() bool { return g.job.queue.Advised || g.step().MaxPerWorker > 0 }

// rackSet holds the candidates of one rack.
type rackSet struct {
	rack       id.Rack
	candidates []*candidate
	free       unit.Accelerators
}

// localSets returns the candidates of each rack in which a group runs at full speed,
// the rack with the least free accelerators first.
func (ps *pass) localSets(g *group, all []*candidate) [][]*candidate {
	racks := ps.byRack(g, all)
	for i := range racks {
		racks[i].free = 0
		for _, c := range racks[i].candidates {
			racks[i].free += max(0, c.free.Accelerators)
		}
	}
	racks = slices.Clone(racks)
	slices.SortStableFunc(racks, func(a, b rackSet) int { return cmp.Compare(a.free, b.free) })
	var sets [][]*candidate
	for _, r := range racks {
		if dataRack := g.step().DataRack; dataRack == "" || r.rack == dataRack {
			sets = append(sets, r.candidates)
		}
	}
	return sets
}

// byRack groups candidates by rack, in the order of their first candidate.
func (ps *pass) byRack(g *group, all []*candidate) []rackSet {
	key := eligibilityOf(g)
	shared := !g.limitedPerWorker() && len(g.failedOn) == 0
	if racks, ok := ps.racks[key]; ok && shared {
		return racks
	}
	var racks []rackSet
	position := make(map[id.Rack]int)
	for _, c := range all {
		i, ok := position[c.Rack]
		if !ok {
			i = len(racks)
			position[c.Rack] = i
			racks = append(racks, rackSet{rack: c.Rack})
		}
		racks[i].candidates = append(racks[i].candidates, c)
	}
	if shared {
		ps.racks[key] = racks
	}
	return racks
}
