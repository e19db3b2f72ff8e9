package planner

import "bronzewinch.dev/lib/unit"

// misfit describes groups that did not fit during a pass. Capacity only shrinks during a
// pass, so groups that need the same or more don't fit either. It answers jobs with many
// steps, each of which would be compared with all workers.
type misfit struct {
	eligibility
	demand unit.Resources
	size   int
}

// maxMisfits bounds the misfits that a group is compared with.
const maxMisfits = 16

// dependsOnCapacityOnly reports whether nothing but free capacity decides whether a group
// starts: it runs on any rack, with any tasks beside it, and preempts nothing.
func (ps *pass) dependsOnCapacityOnly(g *group) bool {
	return !g.needsRack() && !g.limitedPerWorker() && !ps.mayPreempt(g)
}

// isMisfit reports whether a group needs the same as one that did not fit, or more.
func (ps *pass) isMisfit(g *group) bool {
	if len(ps.misfits) == 0 || !ps.dependsOnCapacityOnly(g) {
		return false
	}
	key, demand := eligibilityOf(g), g.step().Reserved()
	for _, m := range ps.misfits {
		if m.eligibility == key && g.size >= m.size && m.demand.Fits(demand) {
			return true
		}
	}
	return false
}

// addMisfit records that a group did not fit.
func (ps *pass) addMisfit(g *group) {
	if len(ps.misfits) < maxMisfits && ps.dependsOnCapacityOnly(g) {
		ps.misfits = append(ps.misfits, misfit{eligibilityOf(g), g.step().Reserved(), g.size})
	}
}

func eligibilityOf(g *group) eligibility { return eligibility{g.job.queue.Service, g.step().Label} }
