// Package placer keeps the placement state of one owned zone and plans on it.
// It joins the decisions of packages placement, guarantee and health with the
// state of package fleet, for the scheduler of the zone.
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
	// Draining are the workers that operators drain.
	Draining []id.Worker
}

// Placer is the placement state of one zone. One lock guards the parts that
// change with the configuration; the resources have locks by rack.
type Placer struct {
	config Config

	mu                  sync.Mutex
	set                 *record.Set
	zone                *fleet.Zone
	planner             *placement.Planner
	health              *health.Tracker
	gangs               map[id.Job]fleet.Gang
	victims             map[id.Job][]decision.Victim // of decisions that are not reserved yet
	reservations        map[id.Job]placement.Reservation
	waitingAccelerators unit.Accelerators
	lostWorkers         map[id.Worker]bool
	draining            map[id.Worker]bool
	// overcommitted are the workers that are declared with less than gangs hold.
	overcommitted map[id.Worker]bool
	outStates     map[id.Worker]fleet.Out // as the zone has it
	recordedOut   map[id.Worker]bool      // those out by the records
}

// New returns the state of a zone in which nothing is held.
func New(c Config) (*Placer, error) {
	p := &Placer{
		config: c, gangs: make(map[id.Job]fleet.Gang), victims: make(map[id.Job][]decision.Victim),
		reservations: make(map[id.Job]placement.Reservation), lostWorkers: make(map[id.Worker]bool),
		draining: make(map[id.Worker]bool), overcommitted: make(map[id.Worker]bool), outStates: make(map[id.Worker]fleet.Out), recordedOut: make(map[id.Worker]bool),
	}
	for _, w := range c.Draining {
		p.draining[w] = true
	}
	return p, p.applyConfig(c.Records)
}

// SetConfig puts a set of records in force. Gangs keep what they hold.
func (p *Placer) SetConfig(set *record.Set) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if set.Revision == p.set.Revision {
		return
	}
	if err := p.applyConfig(set); err != nil {
		klog.ErrorS(err, "records not taken over; the zone goes on with the earlier ones",
			"zone", p.config.Zone, "revision", set.Revision)
	}
}

// applyConfig makes the state anew for a set of records. The lock is held, or p
// is new.
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
		p.updateOut(w.Name)
	}
	return nil
}

// reserveGangs gives the gangs what they hold in a new state of the zone. Claims come
// last, because they may hold what gangs that are stopping still have. The lock
// is held, or p is new.
func (p *Placer) reserveGangs() {
	clear(p.overcommitted)
	gangs := slices.SortedFunc(maps.Values(p.gangs), func(a, b fleet.Gang) int {
		return cmp.Or(cmp.Compare(min(len(a.Claim), 1), min(len(b.Claim), 1)), cmp.Compare(a.Job, b.Job))
	})
	for _, g := range gangs {
		p.reserveGang(g)
	}
}

// reserveGang counts a gang in the state of the zone. A worker that was removed, or is
// declared with less than before, can no longer hold its part of a gang; the
// other parts are still held, so that nothing else is placed there. The lock is
// held, or p is new.
func (p *Placer) reserveGang(g fleet.Gang) {
	if p.zone.Reserve(g) == nil {
		return
	}
	view, reduced := p.zone.View(), g
	reduced.Members = nil
	for _, m := range g.Members {
		at, isDeclared := view.Place(m.Worker)
		switch {
		case !isDeclared:
		case m.Resources.Fits(view.Worker(at).Free):
			reduced.Members = append(reduced.Members, m)
		default:
			p.overcommitted[m.Worker] = true
			p.updateOut(m.Worker)
		}
	}
	klog.InfoS("gang holds workers that are no longer declared as they were", "zone", p.config.Zone,
		"job", g.Job, "members", len(g.Members), "held", len(reduced.Members))
	if len(reduced.Members) == 0 {
		return
	}
	if err := p.zone.Reserve(reduced); err != nil {
		klog.ErrorS(err, "gang can't be held", "zone", p.config.Zone, "job", g.Job)
	}
}

// updateOut sets why a worker is out of placement, or that it is in. The lock is
// held, or p is new.
func (p *Placer) updateOut(w id.Worker) {
	out := fleet.In
	switch {
	case p.lostWorkers[w]:
		out = fleet.Lost
	case p.draining[w], p.overcommitted[w]:
		out = fleet.Draining
	case p.isUnhealthy(w):
		out = fleet.Unhealthy
	}
	p.outStates[w] = out
	_ = p.zone.SetOut(w, out) // an undeclared worker has no state
}

// isUnhealthy reports whether a worker is out on the evidence of failures, and
// no probe is due.
func (p *Placer) isUnhealthy(w id.Worker) bool {
	for _, out := range p.health.Excluded() {
		if out == w {
			return !p.health.ProbeDue(w, p.config.Clock.Now())
		}
	}
	return false
}

// Plan returns the records of the workers that left placement or came back
// since the last call, then decisions about the waiting jobs. It holds nothing
// for them yet.
func (p *Placer) Plan(now time.Time, waiting []job.Job) []decision.Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.health.Excluded() {
		p.updateOut(w) // a probe may be due
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

// Reserve counts members as used by a job. The victims of the decision count
// as stopping from then on.
func (p *Placer) Reserve(j job.Job, members []job.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, v := range p.victims[j.ID] {
		p.zone.Stopping(v.Job)
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
	g := fleet.GangOf(j.ID, j.Spec, members, started)
	p.gangs[j.ID] = g
	p.reserveGang(g)
}

// Release ends what a job holds.
func (p *Placer) Release(j id.Job) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.zone.Release(j)
	delete(p.gangs, j)
	if len(p.overcommitted) > 0 {
		_ = p.applyConfig(p.set) // the set is in force, so it was taken over before
	}
}

// WorkerLost takes a silent worker out of placement.
func (p *Placer) WorkerLost(w id.Worker) { p.setLost(w, true) }

// WorkerRecovered brings a worker that answers again back into placement.
func (p *Placer) WorkerRecovered(w id.Worker) { p.setLost(w, false) }

func (p *Placer) setLost(w id.Worker, lost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if lost {
		p.lostWorkers[w] = true
	} else {
		delete(p.lostWorkers, w)
	}
	p.updateOut(w)
}

// TaskEnded takes the end of a task as evidence about its worker.
func (p *Placer) TaskEnded(w id.Worker, j id.Job, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	outcome := health.Failed
	if ok {
		outcome = health.Succeeded
	}
	v := p.health.Record(w, j, p.gangs[j].Account, outcome, p.config.Clock.Now())
	if v.Changed {
		klog.InfoS("worker in placement", "worker", w, "in", !v.Excluded, "reason", v.Reason)
		p.updateOut(w)
	}
}

// SetDraining ends or restores the use of a worker for new work.
func (p *Placer) SetDraining(w id.Worker, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if on {
		p.draining[w] = true
	} else {
		delete(p.draining, w)
	}
	p.updateOut(w)
}
