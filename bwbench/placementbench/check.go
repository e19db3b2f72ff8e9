package placementbench

import (
	"fmt"

	"bronzewinch.dev/lib/fleet"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/placement"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/unit"
)

// checkState verifies the state of a zone after a pass: no resources are allocated
// twice, gangs are complete and meet their locality, quotas are kept, and each
// unclaimed shape can be claimed by preempting opportunistic gangs only.
func (d *driver) checkState(zone int) error {
	view := d.zones[zone].state.View()
	members := make(map[id.Job]int)
	used := make(map[id.Account]unit.Accelerators)
	for _, r := range view.Racks() {
		for i := range r.Workers {
			w := &r.Workers[i]
			var sum unit.Resources
			for _, allocation := range w.Allocations {
				sum = sum.Plus(allocation.Resources)
				members[allocation.Gang.Job]++
				if allocation.Gang.Claim == "" {
					used[allocation.Gang.Account] += allocation.Resources.Accelerators
				}
			}
			if !sum.Fits(w.Total) {
				d.addViolation("worker %s has %v allocated of a total of %v", w.Name, sum, w.Total)
			}
		}
	}
	for name, n := range members {
		if want := int(d.jobs[d.jobIndex[name]].Spec.Shape.Workers); n != want {
			d.addViolation("gang %s has %d of %d members", name, n, want)
		}
	}
	for a, n := range used {
		if q := d.trace.deployment.accounts[a].Quota; q > 0 && n > q {
			// A zone counts only the usage on its own workers, which must
			// stay within the quota in each zone.
			d.addViolation("account %s uses %d accelerators, above its quota of %d", a, n, q)
		}
	}
	d.checkClaims(zone)
	return nil
}

// checkClaims verifies that the unclaimed copies fit beside the running claims,
// and that no claim waits while a copy of its shape is unclaimed.
func (d *driver) checkClaims(zone int) {
	view := d.zones[zone].state.View()
	usable, lost := placement.Unclaimed(view, d.binding)
	if len(lost) > 0 {
		d.out.lostShapes++
		if d.trace.deployment.policy.GuardRackLoss && affectedRacks(view) <= 1 {
			d.addViolation("%d copies have no usable cells, although only workers of one rack are excluded", len(lost))
		}
	}
	bound := make(map[id.Worker]unit.Resources)
	free := make(map[record.GuaranteeKey]int)
	for _, c := range usable {
		free[c.Key]++
		for _, cell := range c.Cells {
			bound[cell.Worker] = bound[cell.Worker].Plus(cell.Resources)
		}
	}
	for _, r := range view.Racks() {
		for _, w := range r.Workers {
			if b := bound[w.Name]; !b.IsZero() && !b.Plus(w.Claims).Fits(w.Total) {
				d.addViolation("worker %s: bound cells of %v and claims of %v exceed its total of %v", w.Name, b, w.Claims, w.Total)
			}
		}
	}
	for _, w := range d.queued(zone) {
		key := record.GuaranteeKey{Account: w.Job.Spec.Account, Name: w.Job.Spec.Claim}
		if key.Name != "" && free[key] > 0 {
			d.addViolation("claim %s waits although %d copies of its shape are unclaimed", w.Job.ID, free[key])
		}
	}
}

// affectedRacks returns the number of racks with excluded workers.
func affectedRacks(view *fleet.View) int {
	n := 0
	for _, r := range view.Racks() {
		if int(r.Summary.Eligible) < len(r.Workers) {
			n++
		}
	}
	return n
}

func (d *driver) addViolation(format string, args ...any) {
	d.out.violations = append(d.out.violations, fmt.Sprintf("seed %d, %s: ", d.trace.seed, d.now.Sub(start))+fmt.Sprintf(format, args...))
}
