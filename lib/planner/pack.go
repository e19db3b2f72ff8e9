package planner

import (
	"cmp"
	"slices"

	"bronzewinch.dev/lib/task"
	"bronzewinch.dev/lib/unit"
)

// choice is a candidate on which tasks of a group fit.
type choice struct {
	candidate *candidate
	fits      int
	colocates int // 1 when best-effort and service tasks would be colocated
	free      unit.Resources
}

// compare orders choices: those with the least free accelerators first, so that empty
// workers stay empty for large tasks, and those on which best-effort and service tasks
// would be colocated last.
func (a choice) compare(b choice) int {
	return cmp.Or(cmp.Compare(a.colocates, b.colocates), cmp.Compare(a.free.Accelerators, b.free.Accelerators),
		cmp.Compare(a.free.Cores, b.free.Cores))
}

// pack places the tasks of a group on eligible candidates in the order of their
// choices. It returns nil when not all tasks fit.
func pack(g *group, candidates []*candidate, ps *pass, available func(*candidate) unit.Resources) []*candidate {
	s := g.step()
	demand := s.Reserved()
	ps.choices = ps.choices[:0]
	total := 0
	for _, c := range candidates {
		free := available(c)
		if !demand.Fits(free) {
			continue
		}
		limit := g.size
		if g.limitedPerWorker() {
			limit = ps.maxTasksOn(g, c)
		}
		fits := fitCount(demand, free, limit)
		if fits == 0 {
			continue
		}
		next := choice{c, fits, colocates(s, c.worker), free}
		switch total += fits; {
		case g.size > 1 || len(ps.choices) == 0:
			ps.choices = append(ps.choices, next)
		case next.compare(ps.choices[0]) < 0: // a single task needs the first choice only
			ps.choices[0] = next
		}
	}
	if total < g.size {
		return nil
	}
	slices.SortStableFunc(ps.choices, choice.compare)
	placed := make([]*candidate, 0, g.size)
	for _, c := range ps.choices {
		for range c.fits {
			if len(placed) == g.size {
				return placed
			}
			placed = append(placed, c.candidate)
		}
	}
	return placed
}

// colocates is 1 when placing a task of the step on the worker would put a
// best-effort task beside a service task with a tail target, and 0 otherwise.
func colocates(s *task.Step, w *worker) int {
	if s.BestEffort && w.hasTailTarget() || s.TailTarget > 0 && w.hasBestEffort() {
		return 1
	}
	return 0
}

func minResources(a, b unit.Resources) unit.Resources {
	return unit.Resources{Accelerators: min(a.Accelerators, b.Accelerators), Cores: min(a.Cores, b.Cores),
		Memory: min(a.Memory, b.Memory)}
}

// fitCount is the number of tasks of a demand that fit into free, at most limit.
func fitCount(demand, free unit.Resources, limit int) int {
	n := limit
	if free.Accelerators < 0 || free.Cores < 0 || free.Memory < 0 {
		return 0
	}
	if demand.Accelerators > 0 {
		n = min(n, int(free.Accelerators/demand.Accelerators))
	}
	if demand.Cores > 0 {
		n = min(n, int(free.Cores/demand.Cores))
	}
	if demand.Memory > 0 {
		n = min(n, int(free.Memory/demand.Memory))
	}
	return n
}
