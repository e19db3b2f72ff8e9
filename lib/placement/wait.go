package placement

import (
	"fmt"

	"bronzewinch.dev/lib/decision"
	"bronzewinch.dev/lib/fleet"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/unit"
)

// waitReason explains why a job of a shape can't start now.
type waitReason struct {
	rule         decision.Rule
	reason       string
	alternatives []decision.Alternative
}

// explainWait returns what a shape needs, the rack that comes nearest to it,
// and the gang whose end alone would make it fit there, if there is one.
func (s *session) explainWait(shape job.Shape, alternatives []decision.Alternative) waitReason {
	wait := waitReason{rule: decision.RuleWait, alternatives: alternatives}
	if s.reservedWorkers != nil {
		available := func(_ fleet.Position, w *fleet.Worker) unit.Resources { return w.Available() }
		if found, _ := s.find(shape, searchOptions{usable: available, onlyFree: true}); found != nil {
			wait.rule = decision.RuleReserved
			wait.reason = fmt.Sprintf("needs %s; they are free in %s and kept for an older job", describeShape(shape), found.where)
			return wait
		}
	}
	wait.reason = "needs " + describeShape(shape)
	rack, free := s.nearestRack(shape)
	if rack == nil {
		return wait
	}
	wait.reason += fmt.Sprintf("; rack %s has %d free", rack.Name, free)
	if shape.Locality == job.SameZone {
		return wait
	}
	if g := sufficientGang(rack, shape); g != nil {
		wait.reason += fmt.Sprintf(" and would have them when job %s ends", g.Job)
	}
	return wait
}

func describeShape(s job.Shape) string {
	switch {
	case s.PerWorker.Accelerators == 0:
		return fmt.Sprintf("%d workers with %v and %v in one %s", s.Workers, s.PerWorker.Cores, s.PerWorker.Memory, s.Locality)
	case s.Locality == job.SameWorker:
		return fmt.Sprintf("%d accelerators on one worker", s.PerWorker.Accelerators)
	}
	return fmt.Sprintf("%d adjacent accelerators in one %s (%d on each of %d workers)",
		s.Accelerators(), s.Locality, s.PerWorker.Accelerators, s.Workers)
}

// nearestRack returns the rack on which most members fit, and of equal ones
// that with the most free accelerators. Racks that don't fit the shape even
// when empty are skipped.
func (s *session) nearestRack(shape job.Shape) (*fleet.Rack, unit.Accelerators) {
	var best *fleet.Rack
	var bestFitting unit.Workers
	for _, r := range s.view.Racks() {
		fitting := fittingWorkers(r, shape.PerWorker)
		if best != nil && (fitting < bestFitting || fitting == bestFitting && r.Summary.FreeAccelerators <= best.Summary.FreeAccelerators) {
			continue
		}
		if capable := capableWorkers(r, shape.PerWorker); capable == 0 || shape.Locality != job.SameZone && capable < shape.Workers {
			continue
		}
		best, bestFitting = r, fitting
	}
	if best == nil {
		return nil, 0
	}
	return best, best.Summary.FreeAccelerators
}

// fittingWorkers returns how many workers of a rack have enough free resources
// for a member.
func fittingWorkers(r *fleet.Rack, need unit.Resources) (n unit.Workers) {
	if !r.Summary.CanFit(need) {
		return 0
	}
	for j := range r.Workers {
		if w := &r.Workers[j]; w.Exclusion == fleet.NotExcluded && need.Fits(w.Free) {
			n++
		}
	}
	return n
}

// capableWorkers returns how many workers of a rack fit a member when empty.
func capableWorkers(r *fleet.Rack, need unit.Resources) (n unit.Workers) {
	for j := range r.Workers {
		if w := &r.Workers[j]; w.Exclusion == fleet.NotExcluded && need.Fits(w.Total) {
			n++
		}
	}
	return n
}

// sufficientGang returns a gang whose end alone would make the shape fit on the
// rack, or nil when there is none.
func sufficientGang(r *fleet.Rack, shape job.Shape) *fleet.Gang {
	missing := int(shape.Workers)
	for i := range r.Workers {
		if shape.PerWorker.Fits(r.Workers[i].Available()) {
			missing--
		}
	}
	for i := range r.Workers {
		w := &r.Workers[i]
		if w.Exclusion != fleet.NotExcluded || shape.PerWorker.Fits(w.Free) {
			continue
		}
		for _, a := range w.Allocations {
			if !shape.PerWorker.Fits(w.Free.Plus(a.Resources)) {
				continue
			}
			if missing <= 1 || len(a.Gang.Members) >= missing && workersFreedBy(r, a.Gang, shape.PerWorker) >= missing {
				return a.Gang
			}
		}
	}
	return nil
}

// workersFreedBy returns how many more workers of the rack fit a member once
// the gang has ended.
func workersFreedBy(r *fleet.Rack, g *fleet.Gang, need unit.Resources) int {
	n := 0
	for i := range r.Workers {
		w := &r.Workers[i]
		if w.Exclusion != fleet.NotExcluded || need.Fits(w.Free) {
			continue
		}
		for j := range w.Allocations {
			if w.Allocations[j].Gang == g {
				if need.Fits(w.Free.Plus(w.Allocations[j].Resources)) {
					n++
				}
				break
			}
		}
	}
	return n
}
