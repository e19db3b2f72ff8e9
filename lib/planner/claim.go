package planner

import (
	"cmp"
	"slices"
	"time"

	"bronzewinch.dev/lib/unit"
)

// preempt frees capacity for a group in one of several sets of candidates by
// stopping other groups, with the least work lost. It returns the candidate of each
// task, or nil when preemption would not free enough or would lose too much work.
func (ps *pass) preempt(g *group, sets [][]*candidate) []*candidate {
	var best *preemption
	for _, set := range sets {
		if option := ps.planPreemption(g, set); option != nil && (best == nil || option.cost < best.cost) {
			best = option
		}
	}
	if best == nil || !ps.guaranteed[g.job] && !g.step().Service && best.cost > ps.maxLoss(g) {
		return nil
	}
	for _, victim := range best.victims {
		for _, m := range victim.members {
			if c := m.worker.candidate; c != nil {
				c.freeLater = c.freeLater.Plus(victim.step().Reserved())
			}
		}
		ps.planner.stopGroup(ps.now, victim, "job "+string(g.job.ID)+" of account "+string(g.job.Account)+" preempts the run")
	}
	return best.targets
}

// preemption is a placement for a group that needs other groups to be stopped.
type preemption struct {
	targets []*candidate // one for each task
	victims []*group
	cost    float64 // core-seconds lost
}

// trial is the state of a candidate while a preemption is planned.
type trial struct {
	number int // of the plan that the state belongs to
	free   unit.Resources
	placed int // tasks of the group
	// next is the preemption that one more task of the group needs. It is known until
	// a decision of the plan changes the candidate.
	next      victims
	nextKnown bool
}

// victims are the groups on a candidate that have to stop so that one more task fits.
type victims struct {
	groups []*group
	cost   float64 // core-seconds lost
	fits   bool
}

// planPreemption places the tasks of a group one at a time, each on the candidate
// where the least further work is lost. It returns nil when a task fits nowhere.
func (ps *pass) planPreemption(g *group, candidates []*candidate) *preemption {
	plan := &preemption{}
	ps.trials++
	for _, c := range candidates {
		c.trial = trial{number: ps.trials, free: c.freeLater}
	}
	for range g.size {
		c := ps.cheapestCandidate(g, candidates, plan.victims)
		if c == nil {
			return nil
		}
		next := c.trial.next
		for _, v := range next.groups {
			for _, m := range v.members {
				if other := m.worker.candidate; other != nil && other.trial.number == ps.trials {
					other.trial.free = other.trial.free.Plus(v.step().Reserved())
					other.trial.nextKnown = false
				}
			}
		}
		if slices.ContainsFunc(next.groups, func(v *group) bool { return v.step().Service }) {
			for _, other := range candidates { // their steps may have no more tasks unavailable
				other.trial.nextKnown = false
			}
		}
		c.trial.free = c.trial.free.Minus(g.step().Reserved())
		c.trial.placed++
		c.trial.nextKnown = false
		plan.targets, plan.victims, plan.cost = append(plan.targets, c), append(plan.victims, next.groups...), plan.cost+next.cost
	}
	return plan
}

// cheapestCandidate returns the candidate on which the next task of a group fits at
// the least loss of work, or nil when there is none.
func (ps *pass) cheapestCandidate(g *group, candidates []*candidate, chosen []*group) (best *candidate) {
	limited := g.limitedPerWorker()
	for _, c := range candidates {
		t := &c.trial
		if limited && t.placed >= ps.maxTasksOn(g, c) {
			continue
		}
		if !t.nextKnown {
			t.next, t.nextKnown = ps.victimsOn(g, c, chosen), true
		}
		if t.next.fits && (best == nil || t.next.cost < best.trial.next.cost ||
			t.next.cost == best.trial.next.cost && t.free.Accelerators < best.trial.free.Accelerators) {
			best = c
		}
	}
	return best
}

// victimsOn returns the groups that have to stop so that one more task of g fits on a
// candidate, without those that are already chosen.
func (ps *pass) victimsOn(g *group, c *candidate, chosen []*group) victims {
	demand, free := g.step().Reserved(), c.trial.free
	if demand.Fits(free) {
		return victims{fits: true}
	}
	type option struct {
		group   *group
		members int
		loss    float64
	}
	var options []option
	for _, m := range c.members {
		v := m.group
		if m.stopRequested || v.stopping || v.done {
			continue
		}
		if i := slices.IndexFunc(options, func(o option) bool { return o.group == v }); i >= 0 {
			options[i].members++
			continue
		}
		if ps.isPreemptible(g, v) && !slices.Contains(chosen, v) {
			options = append(options, option{v, 1, ps.preemptionLoss(v)})
		}
	}
	slices.SortStableFunc(options, func(a, b option) int {
		return cmp.Or(-cmp.Compare(a.group.job.queue.Priority, b.group.job.queue.Priority), cmp.Compare(a.loss, b.loss))
	})
	var found victims
	for _, o := range options {
		if demand.Fits(free) {
			break
		}
		if o.group.step().Service && !ps.planner.disruptionAllowed(ps.now, o.group, slices.Concat(chosen, found.groups)...) {
			continue
		}
		free = free.Plus(o.group.step().Reserved().Times(o.members))
		found.groups, found.cost = append(found.groups, o.group), found.cost+o.loss
	}
	found.fits = demand.Fits(free)
	return found
}

// isPreemptible reports whether group v may be stopped for group g. Service tasks
// preempt work that can be repeated. They are stopped themselves only for a
// guaranteed job, and as far as disruptionAllowed.
func (ps *pass) isPreemptible(g, v *group) bool {
	switch {
	case ps.guaranteed[v.job]:
		return false
	case v.step().Service:
		return ps.guaranteed[g.job]
	case ps.guaranteed[g.job] || v.job.queue.Priority > g.job.queue.Priority:
		return true
	}
	return g.step().Service
}

// disruptionAllowed reports whether one more task of a group's step may become
// unavailable. Tasks that are already stopping, and those of groups chosen to stop with
// it, count as unavailable.
func (p *Planner) disruptionAllowed(now time.Time, g *group, chosen ...*group) bool {
	limit := g.step().MaxUnavailable
	return limit == 0 || g.unavailableOthers(now, chosen...) < limit
}

// unavailableOthers returns the number of the other groups of a group's step that are not
// available, or are among those chosen to stop.
func (g *group) unavailableOthers(now time.Time, chosen ...*group) int {
	unavailable := 0
	for _, other := range g.occurrence.steps[g.stepIndex] {
		if other != g && (!other.isAvailable(now) || slices.Contains(chosen, other)) {
			unavailable++
		}
	}
	return unavailable
}

// availabilityTimeout is the age up to which a report shows that the tasks of its worker
// are available. Workers that run tasks report every two seconds.
const availabilityTimeout = 3 * time.Second

// isAvailable reports whether all members of a group run and have completed their
// startup, which a service task reports as 100 percent. A member on a silent worker is
// not available: it counts as running until its lease has expired, but may be lost.
func (g *group) isAvailable(now time.Time) bool {
	if len(g.members) < g.size || g.stopping {
		return false
	}
	for _, m := range g.members {
		if m.percent < 100 || now.Sub(m.worker.reportedAt) > availabilityTimeout {
			return false
		}
	}
	return true
}

// maxLoss is the most work in core-seconds that may be lost for a group of a job
// that is not guaranteed: the expected work of the group itself.
func (ps *pass) maxLoss(g *group) float64 {
	s := g.step()
	return weightedCores(s.Demand) * float64(g.size) * ps.planner.expectedRunTime(g.job, *s).Seconds()
}

// coresPerAccelerator is the number of cores that cost as much as one accelerator,
// from the price list of the platform.
const coresPerAccelerator = 8

// restartOverhead is the time that a stop and a new start take beyond the lost work.
const restartOverhead = 500 * time.Millisecond

// preemptionLoss is the work in core-seconds that is lost when a group is stopped.
// Work of a higher priority has a greater weight, as less time is left to its objective.
func (ps *pass) preemptionLoss(g *group) float64 {
	s := g.step()
	ran := ps.now.Sub(g.startedAt)
	if s.Checkpoints {
		ran = min(ran, ps.planner.config.RestoreTime)
	}
	return weightedCores(s.Demand) * float64(len(g.members)) * (ran + restartOverhead).Seconds() / float64(1+g.job.queue.Priority)
}

// weightedCores is a demand in cores. Each accelerator counts as coresPerAccelerator
// cores.
func weightedCores(d unit.Resources) float64 {
	return float64(d.Cores)/float64(unit.Core) + coresPerAccelerator*float64(d.Accelerators)
}
