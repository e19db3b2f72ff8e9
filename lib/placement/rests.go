package placement

import (
	"time"

	"bronzewinch.dev/lib/guarantee"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/unit"
)

// strandedTable holds, for each number of free accelerators on a worker, how
// many of them no combination of members of guaranteed shapes can use.
type strandedTable []unit.Accelerators

// newStrandedTable returns the table for the members of copies, for up to
// maxFree free accelerators. Without copies, no accelerator counts as stranded.
func newStrandedTable(copies []guarantee.Copy, maxFree unit.Accelerators) strandedTable {
	t := make(strandedTable, maxFree+1)
	sizes := make(map[unit.Accelerators]bool)
	for _, c := range copies {
		if n := c.Shape.PerWorker.Accelerators; n > 0 {
			sizes[n] = true
		}
	}
	if len(sizes) == 0 {
		return t
	}
	for free := range t {
		t[free] = unit.Accelerators(free)
		for n := range sizes {
			if int(n) <= free {
				t[free] = min(t[free], t[free-int(n)])
			}
		}
	}
	return t
}

func (t strandedTable) of(free unit.Accelerators) unit.Accelerators {
	return t[min(max(free, 0), unit.Accelerators(len(t)-1))]
}

// delayScale is how long a job waits for a better placement when it would
// strand as many accelerators as it uses, at equal policy weights.
const delayScale = 1 * time.Hour

// maxDelay is the longest time that a job waits for a better placement.
const maxDelay = 12 * time.Hour

// delayLimit returns how long after its submission a job waits for a better
// placement than one that strands the given number of accelerators.
func (s *session) delayLimit(spec job.Spec, stranded unit.Accelerators) time.Duration {
	policy := &s.planner.cfg.Policy
	if stranded <= 0 || spec.Urgent || policy.FragmentationWeight <= 0 {
		return 0
	}
	if policy.CompletionWeight <= 0 {
		return maxDelay
	}
	strandedRatio := float64(stranded) / float64(max(spec.Shape.Accelerators(), 1))
	return time.Duration(min(float64(maxDelay), float64(delayScale)*strandedRatio*policy.FragmentationWeight/policy.CompletionWeight))
}

// shouldDelay reports whether a job waits for a better placement. Jobs are
// delayed only while the job with the reservation waits: the start of that
// job, or the end of a gang that it waits for, triggers the next pass.
func (s *session) shouldDelay(j job.Job, stranded unit.Accelerators) bool {
	return s.reservationPending && s.state.Now.Sub(j.Submitted) < s.delayLimit(j.Spec, stranded)
}

// strandedBy returns how many accelerators the given members would strand in
// addition to those that are stranded already.
func (s *session) strandedBy(members []job.Member) (n unit.Accelerators) {
	for _, m := range members {
		at, _ := s.view.Position(m.Worker)
		free := s.view.Worker(at).Available().Accelerators
		n += s.planner.stranded.of(free-m.Resources.Accelerators) - s.planner.stranded.of(free)
	}
	return n
}
