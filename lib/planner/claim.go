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
			for _, c := range ps.candidates {
				if c.worker == m.worker {
					c.freeLater = c.freeLater.Plus(victim.step().Reserved())
				}
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

// planPreemption places the tasks of a group one at a time, each on the candidate
// where the least further work is lost. It returns nil when a task fits nowhere.
func (ps *pass) planPreemption(g *group, candidates []*candidate) *preemption {
	plan := &preemption{}
	freeLater := make(map[*candidate]unit.Resources, len(candidates))
	byWorker := make(map[*worker]*candidate, len(candidates))
	placed := make(map[*candidate]int)
	for _, c := range candidates {
		freeLater[c], byWorker[c.worker] = c.freeLater, c
	}
	for range g.size {
		c, victims, cost := ps.cheapestCandidate(g, candidates, freeLater, placed, plan.victims)
		if c == nil {
			return nil
		}
		for _, v := range victims {
			for _, m := range v.members {
				if other := byWorker[m.worker]; other != nil {
					freeLater[other] = freeLater[other].Plus(v.step().Reserved())
				}
			}
		}
		freeLater[c] = freeLater[c].Minus(g.step().Reserved())
		placed[c]++
		plan.targets, plan.victims, plan.cost = append(plan.targets, c), append(plan.victims, victims...), plan.cost+cost
	}
	return plan
}

// cheapestCandidate returns the candidate on which the next task of a group fits at
// the least loss of work, with the groups to stop for it, or nil when there is none.
func (ps *pass) cheapestCandidate(g *group, candidates []*candidate,
	freeLater map[*candidate]unit.Resources, placed map[*candidate]int,
	chosen []*group) (best *candidate, victims []*group, cost float64) {
	for _, c := range candidates {
		if placed[c] >= ps.maxTasksOn(g, c) {
			continue
		}
		v, loss, ok := ps.victimsOn(g, c, freeLater[c], chosen)
		if ok && (best == nil || loss < cost || loss == cost && freeLater[c].Accelerators < freeLater[best].Accelerators) {
			best, victims, cost = c, v, loss
		}
	}
	return best, victims, cost
}

// victimsOn returns the groups that have to stop so that one more task of g fits
// on a worker, the work in core-seconds that this loses, and whether it then fits.
func (ps *pass) victimsOn(g *group, c *candidate, freeLater unit.Resources, chosen []*group) ([]*group, float64, bool) {
	demand := g.step().Reserved()
	if demand.Fits(freeLater) {
		return nil, 0, true
	}
	members := make(map[*group]int)
	var preemptible []*group
	for _, m := range c.members {
		v := m.group
		if m.stopRequested || v.stopping || v.done || !ps.isPreemptible(g, v) || slices.Contains(chosen, v) {
			continue
		}
		if members[v] == 0 {
			preemptible = append(preemptible, v)
		}
		members[v]++
	}
	slices.SortStableFunc(preemptible, func(a, b *group) int {
		return cmp.Or(-cmp.Compare(a.job.queue.Priority, b.job.queue.Priority), cmp.Compare(ps.preemptionLoss(a), ps.preemptionLoss(b)))
	})
	var victims []*group
	cost := 0.0
	for _, v := range preemptible {
		if demand.Fits(freeLater) {
			break
		}
		freeLater = freeLater.Plus(v.step().Reserved().Times(members[v]))
		victims, cost = append(victims, v), cost+ps.preemptionLoss(v)
	}
	return victims, cost, demand.Fits(freeLater)
}

// isPreemptible reports whether group v may be stopped for group g. Service tasks
// preempt work that can be repeated. They are stopped themselves only for a
// guaranteed job, and only while their step may have one more task unavailable.
func (ps *pass) isPreemptible(g, v *group) bool {
	switch {
	case ps.guaranteed[v.job]:
		return false
	case v.step().Service:
		return ps.guaranteed[g.job] && ps.planner.disruptionAllowed(v)
	case ps.guaranteed[g.job] || v.job.queue.Priority > g.job.queue.Priority:
		return true
	}
	return g.step().Service
}

// disruptionAllowed reports whether one more task of a group's step may become
// unavailable. Tasks that are already stopping count as unavailable.
func (p *Planner) disruptionAllowed(g *group) bool {
	s := g.step()
	if s.MaxUnavailable == 0 {
		return true
	}
	unavailable := 0
	for _, other := range g.occurrence.steps[g.stepIndex] {
		if other != g && !other.isAvailable() {
			unavailable++
		}
	}
	return unavailable < s.MaxUnavailable
}

// isAvailable reports whether all members of a group run and have completed their
// startup, which a service task reports as 100 percent.
func (g *group) isAvailable() bool {
	if len(g.members) < g.size || g.stopping {
		return false
	}
	for _, m := range g.members {
		if m.percent < 100 {
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
