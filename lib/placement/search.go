package placement

import (
	"cmp"
	"fmt"
	"slices"

	"bronzewinch.dev/lib/decision"
	"bronzewinch.dev/lib/fleet"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/unit"
)

// The terms of a candidate's cost. Decision records contain them.
const (
	// TermFragmentation is the cost of capacity that becomes unusable for large
	// gangs: free accelerators left over on the workers, idle workers that are
	// only partly used, and use of racks with many idle workers.
	TermFragmentation = "fragmentation"
	// TermCompletion is the cost of delays to jobs: the use of bound cells, where
	// a claim can preempt the gang.
	TermCompletion = "completion"
	// TermLostWork is the work of the victims since their last checkpoints, in
	// accelerator-seconds.
	TermLostWork = "lostWork"
)

// Parts of TermFragmentation, as multiples of one worker's accelerators.
const (
	// idleWorkerCost is added when a gang uses an idle worker without filling it.
	idleWorkerCost = 1.0
	// idleRackWeight is the weight of the share of idle workers in the rack, so
	// that racks in use fill up first.
	idleRackWeight = 0.5
	// strandedWeight is the weight of the accelerators that the gang strands on a
	// worker: no member of a guaranteed shape can use them. A gang that uses
	// stranded accelerators gets the same amount as a discount.
	strandedWeight = 2.0
	// coresOnlyCost is added for a gang without accelerators on a worker that has
	// accelerators.
	coresOnlyCost = 2.0
)

// maxAlternatives is the greatest number of alternatives that one search adds
// to a record.
const maxAlternatives = 3

type scoredWorker struct {
	at                  fleet.Position
	fragmentation, risk float64
	lostWork            float64
	cost                float64
}

type candidate struct {
	members []job.Member
	where   string
	cost    float64
	costs   []decision.Cost
}

// searchOptions selects the resources that a search may use and how it weighs
// them.
type searchOptions struct {
	// usable returns what a gang can use on a worker.
	usable func(at fleet.Position, w *fleet.Worker) unit.Resources
	// onlyFree declares that usable never returns more than what is free, so
	// that the search can skip racks by their summaries.
	onlyFree bool
	// exposure is the weight of the use of bound cells; see the function exposure.
	exposure float64
	// mayPreempt adds the work that preempted gangs lose to the cost.
	mayPreempt bool
}

// find returns the candidate with the least cost, or nil when the shape fits
// nowhere, and the next best rack as an alternative.
func (s *session) find(shape job.Shape, opts searchOptions) (*candidate, []decision.Alternative) {
	if shape.Locality == job.SameZone {
		return s.findZone(shape, opts)
	}
	var best, second *candidate
	for i, r := range s.view.Racks() {
		c := s.findRack(i, r, shape, opts)
		switch {
		case c == nil:
		case best == nil || c.cost < best.cost:
			best, second = c, best
		case second == nil || c.cost < second.cost:
			second = c
		}
	}
	if best == nil {
		return nil, nil
	}
	best.setResources(shape)
	var others []decision.Alternative
	if second != nil {
		second.setResources(shape)
		others = append(others, decision.Alternative{Where: second.where, Reason: "costs more", Costs: second.costs})
	}
	return best, others
}

func (s *session) findRack(i int, r *fleet.Rack, shape job.Shape, opts searchOptions) *candidate {
	if r.Summary.Eligible < shape.Workers {
		return nil
	}
	s.scratch = s.scratch[:0]
	s.scoreRack(i, r, shape, opts)
	n := int(shape.Workers)
	if len(s.scratch) < n {
		return nil
	}
	sortScored(s.scratch)
	return s.newCandidate(s.scratch[:n], string(r.Name))
}

func (s *session) findZone(shape job.Shape, opts searchOptions) (*candidate, []decision.Alternative) {
	s.scratch = s.scratch[:0]
	for i, r := range s.view.Racks() {
		s.scoreRack(i, r, shape, opts)
	}
	n := int(shape.Workers)
	if len(s.scratch) < n {
		return nil, nil
	}
	sortScored(s.scratch)
	best := s.newCandidate(s.scratch[:n], string(s.view.Zone))
	best.setResources(shape)
	return best, nil
}

// scoreRack appends the workers of a rack on which one member fits to
// s.scratch, with their costs.
func (s *session) scoreRack(i int, r *fleet.Rack, shape job.Shape, opts searchOptions) {
	need := shape.PerWorker
	if opts.onlyFree && !r.Summary.CanFit(need) {
		return
	}
	policy := &s.planner.cfg.Policy
	rackIdle := 0.0
	if r.Summary.Eligible > 0 {
		rackIdle = idleRackWeight * float64(r.Summary.Idle) / float64(r.Summary.Eligible)
	}
	for j := range r.Workers {
		w := &r.Workers[j]
		at := fleet.Position{Rack: i, Worker: j}
		usable := opts.usable(at, w)
		if !need.Fits(usable) || w.Exclusion != fleet.NotExcluded {
			continue
		}
		c := scoredWorker{at: at, fragmentation: rackIdle + s.workerFragmentation(w, usable, need)}
		if b := s.boundResources[i][j]; !b.IsZero() {
			c.risk = opts.exposure * boundShare(need, b, w.Total)
		}
		if opts.mayPreempt {
			c.lostWork = s.lostWorkOn(w, need)
		}
		c.cost = policy.FragmentationWeight*c.fragmentation + policy.CompletionWeight*c.risk + c.lostWork
		s.scratch = append(s.scratch, c)
	}
}

// lostWorkOn returns the work that is lost when gangs on a worker are stopped
// until a member fits, those that lose least first.
func (s *session) lostWorkOn(w *fleet.Worker, need unit.Resources) float64 {
	free := w.Free
	if need.Fits(free) {
		return 0
	}
	allocations := slices.DeleteFunc(slices.Clone(w.Allocations), func(a fleet.Allocation) bool { return a.Gang.Claim != "" })
	slices.SortStableFunc(allocations, func(a, b fleet.Allocation) int {
		return cmp.Compare(a.Gang.LostWork(s.state.Now), b.Gang.LostWork(s.state.Now))
	})
	lostWork := 0.0
	for _, a := range allocations {
		lostWork += float64(a.Gang.LostWork(s.state.Now))
		if free = free.Plus(a.Resources); need.Fits(free) {
			break
		}
	}
	return lostWork
}

func (s *session) workerFragmentation(w *fleet.Worker, free, need unit.Resources) float64 {
	if w.Total.Accelerators == 0 {
		return 0
	}
	if need.Accelerators == 0 {
		return coresOnlyCost
	}
	total := float64(w.Total.Accelerators)
	left := float64(free.Accelerators-need.Accelerators) / total
	if len(w.Allocations) == 0 && left > 0 {
		left += idleWorkerCost
	}
	stranded := s.planner.stranded.of(free.Accelerators-need.Accelerators) - s.planner.stranded.of(free.Accelerators)
	return left + strandedWeight*float64(stranded)/total
}

// boundShare returns the share of a worker that the gang takes from bound cells.
func boundShare(need, bound, total unit.Resources) float64 {
	if total.Accelerators == 0 || need.Accelerators == 0 {
		return float64(min(need.Cores, bound.Cores)) / float64(max(total.Cores, 1))
	}
	return float64(min(need.Accelerators, bound.Accelerators)) / float64(total.Accelerators)
}

func (s *session) newCandidate(from []scoredWorker, where string) *candidate {
	c := &candidate{where: where, members: make([]job.Member, 0, len(from))}
	var fragmentation, risk, lostWork float64
	for _, w := range from {
		fragmentation += w.fragmentation
		lostWork += w.lostWork
		risk += w.risk
		c.members = append(c.members, job.Member{Worker: s.view.Worker(w.at).Name})
	}
	n := float64(len(from))
	c.costs = []decision.Cost{{Term: TermFragmentation, Value: fragmentation / n}, {Term: TermCompletion, Value: risk / n}}
	c.cost = (s.planner.cfg.Policy.FragmentationWeight*fragmentation+s.planner.cfg.Policy.CompletionWeight*risk)/n + lostWork
	return c
}

func (c *candidate) setResources(shape job.Shape) {
	for i := range c.members {
		c.members[i].Resources = shape.PerWorker
	}
}

// shortfall is what a rack offers for a shape that doesn't fit.
type shortfall struct {
	rack    int
	fitting unit.Workers // on which a member fits
	free    unit.Accelerators
}

// shortfalls returns the racks that come nearest to the shape as rejected
// alternatives, in order of members that fit, then of free accelerators.
func (s *session) shortfalls(shape job.Shape, opts searchOptions) []decision.Alternative {
	var best [maxAlternatives]shortfall
	n := 0
	for i, r := range s.view.Racks() {
		lack := s.shortfallOn(i, r, shape.PerWorker, opts)
		at := n
		for at > 0 && (lack.fitting > best[at-1].fitting || lack.fitting == best[at-1].fitting && lack.free > best[at-1].free) {
			at--
		}
		if at == maxAlternatives {
			continue
		}
		n = min(n+1, maxAlternatives)
		copy(best[at+1:n], best[at:n-1])
		best[at] = lack
	}
	out := make([]decision.Alternative, n)
	for i, lack := range best[:n] {
		out[i] = decision.Alternative{Where: string(s.view.Racks()[lack.rack].Name),
			Reason: fmt.Sprintf("%d accelerators free; room for %d of %d members", lack.free, lack.fitting, shape.Workers)}
	}
	return out
}

func (s *session) shortfallOn(i int, r *fleet.Rack, need unit.Resources, opts searchOptions) shortfall {
	lack := shortfall{rack: i}
	if opts.onlyFree && s.reservedWorkers == nil && !r.Summary.CanFit(need) {
		lack.free = r.Summary.FreeAccelerators
		return lack
	}
	for j := range r.Workers {
		usable := opts.usable(fleet.Position{Rack: i, Worker: j}, &r.Workers[j])
		lack.free += max(usable.Accelerators, 0)
		if need.Fits(usable) {
			lack.fitting++
		}
	}
	return lack
}

func sortScored(c []scoredWorker) {
	slices.SortFunc(c, func(a, b scoredWorker) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.at.Rack, b.at.Rack), cmp.Compare(a.at.Worker, b.at.Worker))
	})
}
