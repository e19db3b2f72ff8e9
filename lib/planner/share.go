package planner

import (
	"bronzewinch.dev/lib/id"
)

// An account has a share of the capacity for which accounts compete: in proportion to its
// guarantee, and an equal part of what no guarantee covers. Jobs beyond the share of their
// account are placed after those of the same class that are within it. It answers accounts
// that submit many times their share at once: the others don't wait for them. A share is
// no limit, as jobs beyond it take whatever is left.

// beyondShare returns the jobs that are beyond the share of their account, of jobs in the
// order of their deadlines. Service tasks are left out: they run for as long as their job.
func (ps *pass) beyondShare(byDeadline []*job) map[*job]bool {
	shares := ps.shares(byDeadline)
	if len(shares) < 2 {
		return nil // nobody competes
	}
	used := make(map[id.Account]float64)
	beyond := make(map[*job]bool)
	for _, j := range byDeadline {
		if j.hasServiceTasks() {
			continue
		}
		used[j.Account] += j.work
		if used[j.Account] > shares[j.Account] {
			beyond[j] = true
		}
	}
	return beyond
}

// shares returns the shares of the accounts that have active jobs, in weighted cores.
func (ps *pass) shares(active []*job) map[id.Account]float64 {
	weights, sum := make(map[id.Account]float64), 0.0
	for _, j := range active {
		weights[j.Account] = 0
	}
	covered := 0.0
	for _, n := range ps.planner.rules.Guaranteed {
		covered += float64(n)
	}
	equal := max(0, float64(ps.allAccelerators)-covered) / float64(max(1, len(ps.planner.rules.Guaranteed), len(weights)))
	for a := range weights {
		weights[a] = 1 + equal + float64(ps.planner.rules.Guaranteed[a])
		sum += weights[a]
	}
	capacity := 0.0
	for _, c := range ps.candidates {
		capacity += weightedCores(c.Capacity)
	}
	for a := range weights {
		weights[a] *= capacity / sum
	}
	return weights
}

// workOf is the demand of all tasks of an occurrence in weighted cores.
func (j *job) workOf() float64 {
	work := 0.0
	for _, s := range j.Steps {
		work += float64(s.Tasks) * weightedCores(s.Reserved())
	}
	return work
}
