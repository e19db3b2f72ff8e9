// Package placer keeps the placement state of one owned zone and plans on it,
// for the scheduler of the zone. It combines package fleet, which holds the
// state, with the decisions of packages placement, guarantee and health.
package placer

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"bronzewinch.dev/lib/decision"
	"bronzewinch.dev/lib/fleet"
	"bronzewinch.dev/lib/guarantee"
	"bronzewinch.dev/lib/health"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/placement"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/timer"
	"bronzewinch.dev/lib/unit"

	"k8s.io/klog/v2"
)

// Config configures a Placer.
type Config struct {
	Zone  id.Zone
	Epoch id.Epoch
	Clock timer.Service
	// Records is the configuration in force.
	Records *record.Set
	// Draining holds the workers that operators are draining.
	Draining []id.Worker
}

// Placer is the placement state of one zone. Its lock guards the fields below
// it; the resources of the workers are guarded by fleet.Zone with one lock for
// each rack.
type Placer struct {
	config Config

	mu      sync.Mutex
	set     *record.Set
	zone    *fleet.Zone
	planner *placement.Planner
	health  *health.Tracker
	gangs   map[id.Job]fleet.Gang
	// victims holds the victims of decisions whose members are not reserved yet.
	victims             map[id.Job][]decision.Victim
	reservations        map[id.Job]placement.Reservation
	waitingAccelerators unit.Accelerators
	lostWorkers         map[id.Worker]bool
	draining            map[id.Worker]bool
	// overcommitted holds the workers on which more resources are allocated than
	// the zone record declares.
	overcommitted map[id.Worker]bool
	// exclusions holds what was last passed to zone.SetExclusion.
	exclusions map[id.Worker]fleet.ExclusionReason
	// recordedExcluded holds the workers that are excluded from placement according
	// to the decision records.
	recordedExcluded map[id.Worker]bool
}

// New returns the state of a zone without gangs.
func New(c Config) (*Placer, error) {
	p := &Placer{
		config: c, gangs: make(map[id.Job]fleet.Gang), victims: make(map[id.Job][]decision.Victim),
		reservations: make(map[id.Job]placement.Reservation), lostWorkers: make(map[id.Worker]bool),
		draining: make(map[id.Worker]bool), overcommitted: make(map[id.Worker]bool), exclusions: make(map[id.Worker]fleet.ExclusionReason), recordedExcluded: make(map[id.Worker]bool),
	}
	for _, w := range c.Draining {
		p.draining[w] = true
	}
	return p, p.applyConfig(c.Records)
}

// SetConfig applies a set of records. Gangs keep their resources. When the set
// can't be applied, it logs the error and the previous set stays in force.
func (p *Placer) SetConfig(set *record.Set) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if set.Revision == p.set.Revision {
		return
	}
	if err := p.applyConfig(set); err != nil {
		klog.ErrorS(err, "failed to apply configuration records; the zone continues with the previous revision",
			"zone", p.config.Zone, "revision", set.Revision)
	}
}

// applyConfig rebuilds the state for a set of records. The caller holds the
// lock, or p is new.
func (p *Placer) applyConfig(set *record.Set) error {
	declared := set.Zones[p.config.Zone]
	zone, err := fleet.New(fleet.Config{Zone: declared})
	if err != nil {
		return err
	}
	binding, err := guarantee.BindSet(set)
	if err != nil {
		return err
	}
	if p.set == nil || len(p.set.Zones[p.config.Zone].Workers) != len(declared.Workers) {
		p.health = health.New(health.Config{FleetSize: unit.Workers(len(declared.Workers))})
	}
	p.set, p.zone = set, zone
	p.planner = placement.New(placement.Config{
		Zone: declared, Accounts: set.Accounts, Binding: binding, Policy: set.Policy})
	p.reserveGangs()
	for _, w := range declared.Workers {
		p.updateExclusion(w.Name)
	}
	return nil
}

// reserveGangs reserves the resources of all gangs in a new state of the zone.
// Claims come last, because they may share resources with victims that are
// still stopping. The caller holds the lock, or p is new.
func (p *Placer) reserveGangs() {
	clear(p.overcommitted)
	gangs := slices.SortedFunc(maps.Values(p.gangs), func(a, b fleet.Gang) int {
		return cmp.Or(cmp.Compare(min(len(a.Claim), 1), min(len(b.Claim), 1)), cmp.Compare(a.Job, b.Job))
	})
	for _, g := range gangs {
		p.reserveGang(g)
	}
}

// reserveGang reserves the resources of a gang in the state of the zone, also on
// workers that were excluded from placement after the decision. When a worker was
// removed from the zone record, or is declared with less than before, the gang's
// member there can't be reserved. The other members are
// still reserved, so that their resources are not allocated twice. The caller
// holds the lock, or p is new.
func (p *Placer) reserveGang(g fleet.Gang) {
	if p.zone.Restore(g) == nil {
		return
	}
	view, reduced := p.zone.View(), g
	reduced.Members = nil
	for _, m := range g.Members {
		at, isDeclared := view.Position(m.Worker)
		switch {
		case !isDeclared:
		case m.Resources.Fits(view.Worker(at).Free):
			reduced.Members = append(reduced.Members, m)
		default:
			p.overcommitted[m.Worker] = true
			p.updateExclusion(m.Worker)
		}
	}
	klog.InfoS("gang runs on workers that were removed or reduced in the zone record", "zone", p.config.Zone,
		"job", g.Job, "members", len(g.Members), "held", len(reduced.Members))
	if len(reduced.Members) == 0 {
		return
	}
	if err := p.zone.Restore(reduced); err != nil {
		klog.ErrorS(err, "failed to reserve the resources of a running gang", "zone", p.config.Zone, "job", g.Job)
	}
}

// updateExclusion recomputes whether and why a worker is excluded from placement.
// The caller holds the lock, or p is new.
func (p *Placer) updateExclusion(w id.Worker) {
	exclusion := fleet.NotExcluded
	switch {
	case p.lostWorkers[w]:
		exclusion = fleet.Lost
	case p.draining[w], p.overcommitted[w]:
		exclusion = fleet.Draining
	case p.set.Zones[p.config.Zone].Evacuated:
		exclusion = fleet.Evacuated
	case p.isUnhealthy(w):
		exclusion = fleet.Unhealthy
	}
	p.exclusions[w] = exclusion
	_ = p.zone.SetExclusion(w, exclusion) // fails only for a worker that is not declared
}

// isUnhealthy reports whether a worker is excluded from placement because of task
// failures and no probe of it is due. The caller holds the lock, or p is new.
func (p *Placer) isUnhealthy(w id.Worker) bool {
	for _, excluded := range p.health.Excluded() {
		if excluded == w {
			return !p.health.ProbeDue(w, p.config.Clock.Now())
		}
	}
	return false
}

// Plan returns records of the workers that were excluded from placement or
// returned to it since the last call, then decisions about the waiting jobs. It
// reserves nothing; the caller calls Reserve for the decisions that it carries
// out.
func (p *Placer) Plan(now time.Time, waiting []job.Job) []decision.Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.health.Excluded() {
		p.updateExclusion(w) // a probe may be due
	}
	records := p.workerChanges(now)
	p.waitingAccelerators = 0
	waitingJobs := make([]placement.WaitingJob, len(waiting))
	for i, j := range waiting {
		p.waitingAccelerators += j.Spec.Shape.Accelerators()
		waitingJobs[i] = placement.WaitingJob{Job: j, Reservation: p.reservations[j.ID]}
	}
	result := p.planner.Pass(placement.State{
		View: p.zone.View(), Now: now, Epoch: p.config.Epoch, Revision: p.set.Revision}, waitingJobs)
	p.reservations = result.Reservations
	clear(p.victims)
	for _, r := range result.Records {
		if len(r.Victims) > 0 {
			p.victims[r.Job] = r.Victims
		}
	}
	return append(records, result.Records...)
}

// Reserve reserves the resources of members for a job, and marks the victims
// of its decision as stopping.
func (p *Placer) Reserve(j job.Job, members []job.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, v := range p.victims[j.ID] {
		p.zone.MarkStopping(v.Job)
		if g, ok := p.gangs[v.Job]; ok {
			g.Stopping = true
			p.gangs[v.Job] = g
		}
	}
	delete(p.victims, j.ID)
	started := j.Started
	if started.IsZero() {
		started = p.config.Clock.Now()
	}
	g := fleet.NewGang(j.ID, j.Spec, members, started)
	p.gangs[j.ID] = g
	p.reserveGang(g)
}

// Release frees the resources of a job.
func (p *Placer) Release(j id.Job) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.zone.Release(j)
	delete(p.gangs, j)
	if len(p.overcommitted) > 0 {
		_ = p.applyConfig(p.set) // the set was applied before, so this can't fail
	}
}

// WorkerLost excludes a worker from placement that doesn't answer, or that may
// still run a gang that was stopped.
func (p *Placer) WorkerLost(w id.Worker) { p.setLost(w, true) }

// WorkerRecovered returns a worker to placement after WorkerLost.
func (p *Placer) WorkerRecovered(w id.Worker) { p.setLost(w, false) }

func (p *Placer) setLost(w id.Worker, lost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if lost {
		p.lostWorkers[w] = true
	} else {
		delete(p.lostWorkers, w)
	}
	p.updateExclusion(w)
}

// TaskEnded records the end of a task in the health of its worker.
func (p *Placer) TaskEnded(w id.Worker, j id.Job, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	outcome := health.Failed
	if ok {
		outcome = health.Succeeded
	}
	v := p.health.Record(w, j, p.gangs[j].Account, outcome, p.config.Clock.Now())
	if v.Changed {
		klog.InfoS("worker health changed its placement state", "worker", w, "in", !v.Excluded, "reason", v.Reason)
		p.updateExclusion(w)
	}
}

// SetDraining starts or ends the drain of a worker: no new gangs are placed on a
// draining worker.
func (p *Placer) SetDraining(w id.Worker, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if on {
		p.draining[w] = true
	} else {
		delete(p.draining, w)
	}
	p.updateExclusion(w)
}
