package placementbench

import (
	"cmp"
	"slices"
	"time"

	"bronzewinch.dev/lib/decision"
	"bronzewinch.dev/lib/fleet"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/placement"
	"bronzewinch.dev/lib/quota"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/unit"
)

// decider makes one placement pass over all waiting jobs of a zone.
type decider interface {
	Pass(st placement.State, waiting []placement.WaitingJob) placement.Result
}

// baseline is a scheduler without preemption. It starts all jobs, claims
// included, in order of arrival, and enforces quotas.
type baseline struct {
	accounts map[id.Account]record.Account
	// easy enables EASY backfilling: a later job may start if, by the declared
	// run times, it does not delay the first waiting job. Without it, jobs start
	// in strict FIFO order.
	easy bool
	// bestFit selects the workers with the fewest accelerators left over,
	// instead of the first ones that fit.
	bestFit bool
}

// shadow is the expected start of the first waiting job (the shadow time of EASY
// backfilling) and the workers that it is expected to start on.
type shadow struct {
	at      time.Time
	workers map[id.Worker]bool
}

// Pass implements decider.
func (b *baseline) Pass(st placement.State, waiting []placement.WaitingJob) placement.Result {
	view := st.View.Clone()
	usage := quota.NewUsage(b.accounts)
	for _, r := range view.Racks() {
		for a, n := range r.OpportunisticUsage {
			usage.Add(a, n)
		}
	}
	var res placement.Result
	var head *shadow
	for _, w := range waiting {
		spec := w.Job.Spec
		if spec.Claim == "" && !usage.Allows(spec.Account, spec.Shape.Accelerators()) {
			continue
		}
		members := b.fit(view, spec.Shape)
		if members == nil && head == nil {
			if head = b.shadow(view, spec.Shape, st.Now); !b.easy {
				break
			}
		}
		if members == nil || head != nil && !head.allows(members, st.Now.Add(spec.DeclaredRun)) {
			continue
		}
		g := fleet.NewGang(w.Job.ID, spec, members, st.Now)
		view.AddGang(&g)
		if spec.Claim == "" {
			usage.Add(spec.Account, g.Accelerators())
		}
		res.Records = append(res.Records, decision.Record{Job: w.Job.ID, Spec: spec, Rule: decision.RuleFree, Members: members})
	}
	return res
}

// allows reports whether a job on these workers that ends at the given time
// leaves the expected start of the first waiting job unchanged.
func (s *shadow) allows(members []job.Member, end time.Time) bool {
	if !end.After(s.at) {
		return true
	}
	return !slices.ContainsFunc(members, func(m job.Member) bool { return s.workers[m.Worker] })
}

// shadow returns the earliest declared end of running gangs after which the
// shape fits, and the workers that it then fits on. Overdue gangs count as
// ending now.
func (b *baseline) shadow(view *fleet.View, s job.Shape, now time.Time) *shadow {
	type end struct {
		at     time.Time
		worker fleet.Position
		amount unit.Resources
	}
	var ends []end
	free := make(map[fleet.Position]unit.Resources)
	for i, r := range view.Racks() {
		for j := range r.Workers {
			at := fleet.Position{Rack: i, Worker: j}
			free[at] = r.Workers[j].Available()
			for _, a := range r.Workers[j].Allocations {
				e := a.Gang.Started.Add(a.Gang.DeclaredRun)
				if e.Before(now) {
					e = now
				}
				ends = append(ends, end{e, at, a.Resources})
			}
		}
	}
	slices.SortStableFunc(ends, func(a, b end) int { return a.at.Compare(b.at) })
	for i, e := range ends {
		free[e.worker] = free[e.worker].Plus(e.amount)
		if i+1 < len(ends) && ends[i+1].at.Equal(e.at) {
			continue
		}
		members := b.fitFree(view, s, func(at fleet.Position, _ *fleet.Worker) unit.Resources { return free[at] })
		if members == nil {
			continue
		}
		expected := &shadow{at: e.at, workers: make(map[id.Worker]bool)}
		for _, m := range members {
			expected.workers[m.Worker] = true
		}
		return expected
	}
	return &shadow{at: now.Add(job.MaxDeclaredRun)}
}

// fit returns the members for a shape on the resources that are available now,
// or nil.
func (b *baseline) fit(view *fleet.View, s job.Shape) []job.Member {
	return b.fitFree(view, s, func(_ fleet.Position, w *fleet.Worker) unit.Resources { return w.Available() })
}

// candidate is a worker that fits one member, and the accelerators that would
// be left over.
type candidate struct {
	worker   id.Worker
	leftover unit.Accelerators
}

// fitFree returns the members for a shape on the resources that free returns for
// each worker, or nil.
func (b *baseline) fitFree(view *fleet.View, s job.Shape, free func(fleet.Position, *fleet.Worker) unit.Resources) []job.Member {
	var best, candidates []candidate
	bestLeft := unit.Accelerators(-1)
	racks := view.Racks()
	for i, r := range racks {
		if s.Locality != job.SameZone {
			candidates = candidates[:0]
		}
		for j := range r.Workers {
			w := &r.Workers[j]
			if f := free(fleet.Position{Rack: i, Worker: j}, w); w.Exclusion == fleet.NotExcluded && s.PerWorker.Fits(f) {
				candidates = append(candidates, candidate{w.Name, f.Accelerators - s.PerWorker.Accelerators})
			}
		}
		if s.Locality == job.SameZone && i < len(racks)-1 || len(candidates) < int(s.Workers) {
			continue
		}
		if b.bestFit {
			slices.SortStableFunc(candidates, func(x, y candidate) int { return cmp.Compare(x.leftover, y.leftover) })
		}
		var leftover unit.Accelerators
		for _, x := range candidates[:s.Workers] {
			leftover += x.leftover
		}
		if best == nil || b.bestFit && leftover < bestLeft {
			best, bestLeft = slices.Clone(candidates[:s.Workers]), leftover
		}
	}
	var members []job.Member
	for _, x := range best {
		members = append(members, job.Member{Worker: x.worker, Resources: s.PerWorker})
	}
	return members
}
