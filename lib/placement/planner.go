// Package placement chooses workers for gangs. Claims, the jobs that use a
// guaranteed shape, are placed first and may preempt opportunistic gangs. All
// other jobs are opportunistic and share the remaining capacity. Decisions are
// made on a view of one zone. The package doesn't modify the zone; the caller
// applies the decisions.
package placement

import (
	"fmt"
	"time"

	"bronzewinch.dev/lib/decision"
	"bronzewinch.dev/lib/fleet"
	"bronzewinch.dev/lib/guarantee"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/quota"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/shard"
	"bronzewinch.dev/lib/unit"
)

// Config holds the zone's records that a Planner decides under.
type Config struct {
	// Zone is the zone as declared.
	Zone record.Zone
	// Accounts holds the quotas and weights.
	Accounts map[id.Account]record.Account
	// Binding maps the copies of all guaranteed shapes to cells. It may be nil.
	Binding *guarantee.Binding
	Policy  record.Policy
}

// State is the input of one decision: a view of the zone, the time, and the
// epoch and revision that the decision records name.
type State struct {
	View     *fleet.View
	Now      time.Time
	Epoch    id.Epoch
	Revision id.Revision
}

// Planner places the jobs of one zone under one configuration. It is safe for
// concurrent use.
type Planner struct {
	cfg          Config
	copies       []guarantee.Copy
	stranded     strandedTable
	nearestCache *shard.Map[job.Shape, nearestShape]
}

type nearestShape struct {
	shape job.Shape
	fits  bool
}

// maxCachedShapes bounds the memory of nearestCache.
const maxCachedShapes = 4096

// New returns a Planner for the zone of cfg.
func New(cfg Config) *Planner {
	p := &Planner{cfg: cfg, copies: cfg.Binding.InZone(cfg.Zone.Name),
		nearestCache: shard.NewMap[job.Shape, nearestShape]()}
	var maxAccelerators unit.Accelerators
	for _, w := range cfg.Zone.Workers {
		maxAccelerators = max(maxAccelerators, w.Resources.Accelerators)
	}
	var all []guarantee.Copy
	if cfg.Binding != nil {
		all = cfg.Binding.Copies
	}
	p.stranded = newStrandedTable(all, maxAccelerators)
	return p
}

// Plan decides about one job without regard to other waiting jobs.
func (p *Planner) Plan(st State, j job.Job) decision.Record {
	s := newSession(p, st)
	s.quota.Add(j.Spec.Account, st.View.OpportunisticUsage(j.Spec.Account))
	return s.decide(j)
}

// rejectInfeasible returns a decision with RuleNeverFits, and true, when the job
// can't run in the zone whatever other jobs release.
func (s *session) rejectInfeasible(j job.Job) (decision.Record, bool) {
	spec := j.Spec
	rec := s.newRecord(j, decision.RuleNeverFits)
	if spec.Zone != "" && spec.Zone != s.planner.cfg.Zone.Name {
		rec.Reason = fmt.Sprintf("the job asks for zone %s; submit it there", spec.Zone)
		return rec, true
	}
	if spec.Claim != "" {
		if reason := s.planner.infeasibleClaimReason(spec); reason != "" {
			rec.Reason = reason
			return rec, true
		}
		return rec, false
	}
	nearest := s.planner.nearestFeasible(spec.Shape)
	if limit, ok := s.quota.Limit(spec.Account); ok && spec.Shape.Accelerators() > limit {
		rec.Reason = fmt.Sprintf("needs %d accelerators; the quota of account %s is %d; ask for at most that many",
			spec.Shape.Accelerators(), spec.Account, limit)
		return rec, true
	}
	if nearest.fits {
		return rec, false
	}
	rec.Reason = fmt.Sprintf("no declared workers of zone %s can ever hold %v; ", s.planner.cfg.Zone.Name, spec.Shape)
	if nearest.shape.Workers > 0 {
		rec.Reason += fmt.Sprintf("the nearest shape that can run is %v", nearest.shape)
	} else {
		rec.Reason += "nothing near it can run"
	}
	return rec, true
}

func (p *Planner) infeasibleClaimReason(spec job.Spec) string {
	for _, c := range p.copies {
		if c.Key != (record.GuaranteeKey{Account: spec.Account, Name: spec.Claim}) {
			continue
		}
		if fitsCopy(spec.Shape, c.Shape) {
			return ""
		}
		return fmt.Sprintf("the claim needs %v; guaranteed shape %s is %v; ask for no more than that",
			spec.Shape, spec.Claim, c.Shape)
	}
	return fmt.Sprintf("account %s has no guaranteed shape %q in zone %s; submit the job without a claim, or claim one it has",
		spec.Account, spec.Claim, p.cfg.Zone.Name)
}

// fitsCopy reports whether a gang of one shape fits into the cells of a copy
// of another.
func fitsCopy(gang, cells job.Shape) bool {
	if gang.Workers > cells.Workers || !gang.PerWorker.Fits(cells.PerWorker) {
		return false
	}
	switch cells.Locality {
	case job.SameWorker:
		return true
	case job.SameRack:
		return gang.Locality != job.SameWorker || gang.Workers == 1
	}
	return gang.Locality == job.SameZone || gang.Workers == 1
}

func (p *Planner) nearestFeasible(s job.Shape) nearestShape {
	if n, ok := p.nearestCache.Get(s); ok {
		return n
	}
	var n nearestShape
	n.shape, n.fits = fleet.NearestShape([]record.Zone{p.cfg.Zone}, s)
	if p.nearestCache.Len() < maxCachedShapes {
		p.nearestCache.Set(s, n)
	}
	return n
}

// session is the state of one Plan or Pass. Its view includes the gangs that
// were placed earlier in the same session.
type session struct {
	planner *Planner
	state   State
	view    *fleet.View
	// unclaimed holds the copies that no claim uses, with their present cells.
	unclaimed []guarantee.Copy
	// lost holds the unclaimed copies that have no usable cells at present.
	lost []guarantee.Copy
	// undecided is set when a search for cells ended at
	// guarantee.MaxSearchSteps.
	undecided bool
	// rebound is set when unclaimed copies had to move to other cells than
	// those of the binding.
	rebound bool
	// boundResources holds what the cells of unclaimed copies take, by rack and
	// worker.
	boundResources [][]unit.Resources
	quota          *quota.Usage
	// waitCache holds the reason why a shape doesn't fit. Free capacity for
	// opportunistic jobs only shrinks during a pass, so that an entry stays
	// valid.
	waitCache map[job.Shape]waitReason
	// reservedWorkers marks the workers of a closed reservation, by rack and
	// worker. It is nil while there is none.
	reservedWorkers [][]bool
	// reservationPending is set while the job with the reservation waits.
	reservationPending bool
	// scratch is a buffer that searches reuse.
	scratch []scoredWorker
}

func newSession(p *Planner, st State) *session {
	s := &session{planner: p, state: st, view: st.View.Clone(), quota: quota.NewUsage(p.cfg.Accounts),
		waitCache: make(map[job.Shape]waitReason)}
	s.refreshBound()
	return s
}

// refreshBound recomputes the unclaimed copies and their cells.
func (s *session) refreshBound() {
	s.unclaimed, s.lost, s.undecided = unclaimedCopies(s.view, s.planner.copies), nil, false
	if s.rebound = !cellsUsable(s.view, s.unclaimed); s.rebound {
		r := guarantee.Rebind(s.view, s.unclaimed)
		s.unclaimed, s.lost, s.undecided = r.Bound, r.Lost, r.Undecided
	}
	racks := s.view.Racks()
	s.boundResources = make([][]unit.Resources, len(racks))
	all := make([]unit.Resources, s.view.Workers())
	for i := range racks {
		n := len(racks[i].Workers)
		s.boundResources[i], all = all[:n:n], all[n:]
	}
	for _, c := range s.unclaimed {
		s.addBound(c, 1)
	}
}

func (s *session) addBound(c guarantee.Copy, n int) {
	for _, cell := range c.Cells {
		if at, ok := s.view.Position(cell.Worker); ok {
			b := &s.boundResources[at.Rack][at.Worker]
			*b = b.Plus(cell.Resources.Times(n))
		}
	}
}

func (s *session) newRecord(j job.Job, rule decision.Rule) decision.Record {
	return decision.Record{Zone: s.view.Zone, Epoch: s.state.Epoch, Version: s.state.View.Version, Revision: s.state.Revision,
		At: s.state.Now, Job: j.ID, Attempt: j.Attempt, Spec: j.Spec, Submitted: j.Submitted, Rule: rule}
}

// decide plans one job and, when it is placed, adds its gang to the view.
func (s *session) decide(j job.Job) decision.Record {
	if rec, rejected := s.rejectInfeasible(j); rejected {
		return rec
	}
	if j.Spec.Claim != "" {
		return s.decideClaim(j)
	}
	return s.decideOpportunistic(j)
}

func (s *session) applyToView(rec *decision.Record) {
	g := fleet.NewGang(rec.Job, rec.Spec, rec.Members, s.state.Now)
	s.view.AddGang(&g)
	if g.Claim == "" {
		s.quota.Add(g.Account, g.Accelerators())
	}
}

func (s *session) decideOpportunistic(j job.Job) decision.Record {
	need := j.Spec.Shape.Accelerators()
	if !s.quota.Allows(j.Spec.Account, need) {
		rec := s.newRecord(j, decision.RuleQuota)
		limit, _ := s.quota.Limit(j.Spec.Account)
		rec.Reason = fmt.Sprintf("needs %d accelerators; account %s holds %d of its quota of %d",
			need, j.Spec.Account, s.quota.Held(j.Spec.Account), limit)
		return rec
	}
	if wait, ok := s.waitCache[j.Spec.Shape]; ok {
		return s.waitRecord(j, wait)
	}
	opts := searchOptions{usable: s.freeForOpportunistic, onlyFree: true, exposure: exposure(j.Spec)}
	found, alternatives := s.find(j.Spec.Shape, opts)
	if found == nil {
		wait := s.explainWait(j.Spec.Shape, s.shortfalls(j.Spec.Shape, opts))
		s.waitCache[j.Spec.Shape] = wait
		return s.waitRecord(j, wait)
	}
	if stranded := s.strandedBy(found.members); s.shouldDelay(j, stranded) {
		return s.waitRecord(j, waitReason{rule: decision.RulePacking, reason: fmt.Sprintf(
			"%s are free in %s, but would leave %d accelerators there that guaranteed shapes can't use, while another job waits for room; it waits for a better place for at most %v",
			describeShape(j.Spec.Shape), found.where, stranded, s.delayLimit(j.Spec, stranded).Round(time.Second))})
	}
	rec := s.newRecord(j, decision.RuleFree)
	rec.Members, rec.Costs, rec.Alternatives = found.members, found.costs, alternatives
	rec.Reason = "placed on free resources in " + found.where
	s.applyToView(&rec)
	return rec
}

// exposure returns the weight of the risk that a claim preempts the job on
// bound cells. It grows with the run time that a stop can lose: the declared
// run time, or the checkpoint interval of a job that takes checkpoints.
func exposure(spec job.Spec) float64 {
	unsavedRun := spec.DeclaredRun
	if spec.CheckpointEvery > 0 {
		unsavedRun = min(unsavedRun, spec.CheckpointEvery)
	}
	return min(1, 0.25+unsavedRun.Hours()/2)
}

func (s *session) waitRecord(j job.Job, wait waitReason) decision.Record {
	rec := s.newRecord(j, wait.rule)
	rec.Reason, rec.Alternatives = wait.reason, wait.alternatives
	return rec
}

// freeForOpportunistic returns what an opportunistic gang can use on a worker.
// Workers of a closed reservation offer nothing.
func (s *session) freeForOpportunistic(at fleet.Position, w *fleet.Worker) unit.Resources {
	if s.reservedWorkers != nil && s.reservedWorkers[at.Rack][at.Worker] {
		return unit.Resources{}
	}
	return w.Available()
}
