package fleet

import (
	"slices"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/unit"
)

// ExclusionReason is the reason why a worker is excluded from placement.
type ExclusionReason string

// Reasons for excluding a worker from placement. NotExcluded means that the worker
// is not excluded.
const (
	NotExcluded ExclusionReason = ""
	Unhealthy   ExclusionReason = "unhealthy"
	Draining    ExclusionReason = "draining"
	Lost        ExclusionReason = "lost"
	// Evacuated is the reason for all workers of an evacuated zone.
	Evacuated ExclusionReason = "evacuated"
)

// Gang is a gang with allocated resources. It must not be modified after it was
// added to a Zone.
type Gang struct {
	Job     id.Job
	Account id.Account
	// Claim names the guaranteed shape that the gang uses. It is empty for an
	// opportunistic gang.
	Claim           id.Shape
	Members         []job.Member
	Locality        job.Locality
	Started         time.Time
	LastCheckpoint  time.Time
	CheckpointEvery time.Duration
	// DeclaredRun is the account's estimate of the run time.
	DeclaredRun time.Duration
	Stopping    bool
}

// NewGang returns the gang of a job with the given members.
func NewGang(j id.Job, spec job.Spec, members []job.Member, started time.Time) Gang {
	return Gang{Job: j, Account: spec.Account, Claim: spec.Claim, Members: members,
		Locality: spec.Shape.Locality, Started: started,
		CheckpointEvery: spec.CheckpointEvery, DeclaredRun: spec.DeclaredRun}
}

// Accelerators returns the total number of accelerators of all members.
func (g *Gang) Accelerators() unit.Accelerators {
	var n unit.Accelerators
	for _, m := range g.Members {
		n += m.Resources.Accelerators
	}
	return n
}

// LostWork returns the work that stopping the gang at now would lose, in
// accelerator-seconds since the last checkpoint. If the gang has fewer
// accelerators than members, its members are counted instead. A gang that is
// already stopping loses no further work.
func (g *Gang) LostWork(now time.Time) unit.Seconds {
	if g.Stopping {
		return 0
	}
	since := now.Sub(g.Started)
	if g.LastCheckpoint.After(g.Started) {
		since = now.Sub(g.LastCheckpoint)
	}
	if g.CheckpointEvery > 0 {
		since %= g.CheckpointEvery
	}
	width := max(int(g.Accelerators()), len(g.Members))
	return unit.Seconds(max(since, 0).Seconds() * float64(width))
}

// Allocation is the resources of one worker that are allocated to a gang.
type Allocation struct {
	Gang      *Gang
	Resources unit.Resources
}

// Worker is the state of a worker.
type Worker struct {
	Name  id.Worker
	Total unit.Resources
	// Free is Total minus all allocations. It is negative while a claim waits
	// for gangs that are stopping.
	Free unit.Resources
	// Claims and Opportunistic are the sums of the resources allocated to claims
	// and to opportunistic gangs.
	Claims        unit.Resources
	Opportunistic unit.Resources
	Exclusion     ExclusionReason
	Allocations   []Allocation
}

// Available returns the free resources, or none if the worker is excluded from
// placement.
func (w *Worker) Available() unit.Resources {
	if w.Exclusion != NotExcluded {
		return unit.Resources{}
	}
	return w.Free
}

// checkPlacement returns a Conflict error if member m of gang g can't be placed on
// the worker.
func (w *Worker) checkPlacement(g *Gang, m job.Member) error {
	if w.Exclusion != NotExcluded {
		return problem.New(problem.Conflict, problem.Detail{
			Field: "worker", Value: string(w.Name), Limit: "not excluded from placement; it is " + string(w.Exclusion),
			Remedy: "plan again on other workers"})
	}
	return w.checkFit(g, m)
}

// checkFit returns a Conflict error if the worker does not have the resources of
// member m of gang g.
func (w *Worker) checkFit(g *Gang, m job.Member) error {
	free := w.Free
	if g.Claim != "" {
		for _, h := range w.Allocations {
			if h.Gang.Stopping {
				free = free.Plus(h.Resources)
			}
		}
	}
	if !m.Resources.Fits(free) {
		return insufficientResources(w, m)
	}
	return nil
}

func (w *Worker) allocate(g *Gang, r unit.Resources) {
	w.Allocations = append(slices.Clip(w.Allocations), Allocation{g, r})
	w.Free = w.Free.Minus(r)
	if g.Claim != "" {
		w.Claims = w.Claims.Plus(r)
	} else {
		w.Opportunistic = w.Opportunistic.Plus(r)
	}
}

// replaceGang replaces the gang old by next in its allocation. If next is nil, it
// removes the allocation.
func (w *Worker) replaceGang(old, next *Gang) {
	i := slices.IndexFunc(w.Allocations, func(h Allocation) bool { return h.Gang == old })
	if i < 0 {
		return
	}
	r := w.Allocations[i].Resources
	w.Allocations = slices.Clone(w.Allocations)
	if next != nil {
		w.Allocations[i].Gang = next
		return
	}
	w.Allocations = slices.Delete(w.Allocations, i, i+1)
	w.Free = w.Free.Plus(r)
	if old.Claim != "" {
		w.Claims = w.Claims.Minus(r)
	} else {
		w.Opportunistic = w.Opportunistic.Minus(r)
	}
}

// Rack is the state of a rack.
type Rack struct {
	Name    id.Rack
	Workers []Worker
	Summary Summary
	// OpportunisticUsage is the number of accelerators in the rack that are
	// allocated to opportunistic gangs of each account, without gangs that are
	// stopping. Gangs that exist only in a view are not counted.
	OpportunisticUsage map[id.Account]unit.Accelerators
	// Claims contains the claims whose first member is in the rack.
	Claims []*Gang
}

// Summary allows the planner to skip a rack without examining its workers.
type Summary struct {
	// MaxFree is the maximum of each free resource over the eligible workers. The
	// three maxima may belong to different workers.
	MaxFree unit.Resources
	// FreeAccelerators is the sum over the eligible workers.
	FreeAccelerators unit.Accelerators
	// Eligible is the number of workers that are not excluded from placement, and
	// Idle the number of those without allocations.
	Eligible, Idle unit.Workers
}

// CanFit returns false if no worker of the rack has the resources r free. If it
// returns true, there may still be none.
func (s *Summary) CanFit(r unit.Resources) bool { return r.Fits(s.MaxFree) }

func (r *Rack) clone() *Rack {
	c := *r
	c.Workers = slices.Clone(r.Workers)
	return &c
}

func (r *Rack) summarize() {
	var s Summary
	for i := range r.Workers {
		w := &r.Workers[i]
		if w.Exclusion != NotExcluded {
			continue
		}
		s.Eligible++
		if len(w.Allocations) == 0 {
			s.Idle++
		}
		s.MaxFree.Accelerators = max(s.MaxFree.Accelerators, w.Free.Accelerators)
		s.MaxFree.Cores = max(s.MaxFree.Cores, w.Free.Cores)
		s.MaxFree.Memory = max(s.MaxFree.Memory, w.Free.Memory)
		s.FreeAccelerators += max(w.Free.Accelerators, 0)
	}
	r.Summary = s
}

// countAllocations recomputes OpportunisticUsage and Claims.
func (r *Rack) countAllocations() {
	r.OpportunisticUsage = make(map[id.Account]unit.Accelerators)
	r.Claims = nil
	for i := range r.Workers {
		for _, h := range r.Workers[i].Allocations {
			switch {
			case h.Gang.Claim != "":
				if h.Gang.Members[0].Worker == r.Workers[i].Name {
					r.Claims = append(r.Claims, h.Gang)
				}
			case h.Resources.Accelerators > 0 && !h.Gang.Stopping:
				r.OpportunisticUsage[h.Gang.Account] += h.Resources.Accelerators
			}
		}
	}
}

// View is the state of a zone at one version. The planner may add gangs to it and
// mark gangs as stopping without changing the Zone. A View must not be used by
// several goroutines at the same time.
type View struct {
	Zone      id.Zone
	Version   uint64
	positions map[id.Worker]Position
	racks     []*Rack
	owned     []bool // whether a rack is a private copy of the view
	dirty     bool   // whether any rack is owned
}

// Racks returns the racks in order of name. The caller must not modify them.
func (v *View) Racks() []*Rack { return v.racks }

// Workers returns the number of workers.
func (v *View) Workers() int { return len(v.positions) }

// Position returns the position of a worker.
func (v *View) Position(worker id.Worker) (Position, bool) {
	p, ok := v.positions[worker]
	return p, ok
}

// Worker returns the worker at a position. The caller must not modify it.
func (v *View) Worker(p Position) *Worker { return &v.racks[p.Rack].Workers[p.Worker] }

// Clone returns a copy of v. Later changes of one do not affect the other.
func (v *View) Clone() *View {
	c := *v
	c.racks = slices.Clone(v.racks)
	c.owned, c.dirty = make([]bool, len(v.racks)), false
	if v.dirty {
		clear(v.owned)
		v.dirty = false
	}
	return &c
}

// AddGang allocates the resources of a gang in the view. The caller must have
// checked that it fits.
func (v *View) AddGang(g *Gang) {
	for _, m := range g.Members {
		p := v.positions[m.Worker]
		r := v.ownRack(p.Rack)
		r.Workers[p.Worker].allocate(g, m.Resources)
	}
	if g.Claim != "" {
		r := v.racks[v.positions[g.Members[0].Worker].Rack]
		r.Claims = append(slices.Clip(r.Claims), g)
	}
	v.summarize(g)
}

// MarkStopping marks a gang as stopping in the view.
func (v *View) MarkStopping(g *Gang) {
	c := *g
	c.Stopping = true
	for _, m := range g.Members {
		p := v.positions[m.Worker]
		v.ownRack(p.Rack).Workers[p.Worker].replaceGang(g, &c)
	}
}

// Claims returns the claims with allocated resources, by rack of their first member.
func (v *View) Claims() []*Gang {
	var all []*Gang
	for _, r := range v.racks {
		all = append(all, r.Claims...)
	}
	return all
}

// OpportunisticUsage returns the number of accelerators that are allocated to
// opportunistic gangs of an account. It does not count gangs that were added to
// the view or gangs that are stopping in the Zone.
func (v *View) OpportunisticUsage(account id.Account) unit.Accelerators {
	var n unit.Accelerators
	for _, r := range v.racks {
		n += r.OpportunisticUsage[account]
	}
	return n
}

// ownRack returns a rack that the view may modify, and copies it if necessary.
func (v *View) ownRack(rack int) *Rack {
	if !v.owned[rack] {
		v.racks[rack] = v.racks[rack].clone()
		v.owned[rack], v.dirty = true, true
	}
	return v.racks[rack]
}

// summarize updates the summaries of the racks of a gang.
func (v *View) summarize(g *Gang) {
	last := -1
	for _, m := range g.Members {
		if p := v.positions[m.Worker]; p.Rack != last {
			v.racks[p.Rack].summarize()
			last = p.Rack
		}
	}
}
