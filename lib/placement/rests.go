package placement

import (
	"time"

	"bronzewinch.dev/lib/guarantee"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/unit"
)

// strandedTable holds, for each number of free accelerators on a worker, how many of
// them members of guaranteed shapes can't use.
type strandedTable []unit.Accelerators

// newStrandedTable returns the rests for the members of copies on workers with up to
// maxFree accelerators. Without copies, nothing counts as a rest.
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

// delayScale is how long a job waits for a better place at equal weights,
// when it would make as many accelerators unusable as it uses itself.
const delayScale = 1 * time.Hour

// maxDelay bounds the wait for a better place.
const maxDelay = 12 * time.Hour

// delayLimit is how long a job waits for a better place than one in which it
// makes rest accelerators unusable for members of guaranteed shapes.
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

// shouldDelay reports whether a job waits for a better place. Jobs wait only while
// another one waits for room: its start, or the end of the gangs that it
// waits for, leads to the next decision.
func (s *session) shouldDelay(j job.Job, stranded unit.Accelerators) bool {
	return s.reservationPending && s.state.Now.Sub(j.Submitted) < s.delayLimit(j.Spec, stranded)
}

// strandedBy returns how many more accelerators members make unusable for those
// of guaranteed shapes.
func (s *session) strandedBy(members []job.Member) (n unit.Accelerators) {
	for _, m := range members {
		at, _ := s.view.Place(m.Worker)
		free := s.view.Worker(at).Available().Accelerators
		n += s.planner.stranded.of(free-m.Resources.Accelerators) - s.planner.stranded.of(free)
	}
	return n
}
