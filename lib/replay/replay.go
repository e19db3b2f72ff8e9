// Package replay runs recorded placements through the planner again, on the
// state that the records before them give, and compares the choices.
package replay

import (
	"fmt"

	"bronzewinch.dev/lib/decision"
	"bronzewinch.dev/lib/fleet"
	"bronzewinch.dev/lib/guarantee"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/placement"
	"bronzewinch.dev/lib/record"
)

// ConfigSource returns the configuration in force at a revision, with the binding of
// its guaranteed shapes.
type ConfigSource interface {
	At(revision id.Revision) (*record.Set, bool)
	Binding(revision id.Revision) (*guarantee.Binding, bool)
}

// Difference is a placement that the planner decides otherwise now.
type Difference struct {
	// Index is the position of the record among those replayed.
	Index    int          `json:"index"`
	Job      id.Job       `json:"job"`
	Recorded []job.Member `json:"recorded"`
	Replayed []job.Member `json:"now,omitempty"`
	Reason   string       `json:"reason"`
}

// Report is the result of a replay.
type Report struct {
	// Replayed counts the placements that were compared.
	Replayed    int          `json:"replayed"`
	Differences []Difference `json:"differences"`
	// Skipped counts the placements that were not compared, by reason.
	Skipped map[string]int `json:"skipped,omitempty"`
}

// The reasons for which a placement is not replayed.
const (
	ReasonState    = "the state before it can't be rebuilt from the records"
	ReasonConfig   = "the configuration at its revision is no longer kept"
	ReasonPreempt  = "the choice of gangs to stop depends on checkpoints, which are not recorded"
	ReasonReserved = "resources were reserved for an older job at the time"
)

// Replayer replays the records of one zone in order.
type Replayer struct {
	sets     ConfigSource
	zone     id.Zone
	state    *fleet.Zone
	planner  *placement.Planner
	revision id.Revision
	gangs    map[id.Job]fleet.Gang
	out      map[id.Worker]bool
	reserved id.Job
	pass     pass
	lost     bool
	records  int
	report   Report
}

// pass tells the records of one pass of the planner from others, and holds how
// many differences there were before it. Records of a pass have the same time.
type pass struct {
	epoch  id.Epoch
	at     int64
	before int
}

// New returns a player for a zone in which nothing is held.
func New(zone id.Zone, sets ConfigSource) *Replayer {
	return &Replayer{sets: sets, zone: zone, gangs: make(map[id.Job]fleet.Gang), out: make(map[id.Worker]bool),
		report: Report{Skipped: make(map[string]int)}}
}

// MarkPartial tells the player that the records before the first are missing, so
// that no state can be rebuilt.
func (p *Replayer) MarkPartial() { p.lost = true }

// Report returns what was found so far.
func (p *Replayer) Report() Report { return p.report }

// Add replays the next record.
func (p *Replayer) Add(r decision.Record) {
	p.records++
	if at := r.At.UnixNano(); p.pass.epoch != r.Epoch || p.pass.at != at {
		p.pass = pass{r.Epoch, at, len(p.report.Differences)}
	}
	switch r.Rule {
	case decision.RuleStop:
		p.release(r.Job)
	case decision.RuleWorkerExcluded, decision.RuleWorkerRecovered:
		p.worker(r)
	case decision.RuleFree, decision.RuleBackfill, decision.RuleClaim, decision.RulePreempt:
		if reason := p.skip(r); reason != "" {
			p.report.Skipped[reason]++
		} else {
			p.compare(r)
		}
		p.apply(r)
	default:
		p.wait(r)
	}
}

// skip returns why a placement can't be compared, or nothing.
func (p *Replayer) skip(r decision.Record) string {
	switch {
	case p.lost:
		return ReasonState
	case !p.configure(r.Revision):
		return ReasonConfig
	case p.lost:
		return ReasonState
	case r.Rule == decision.RulePreempt:
		return ReasonPreempt
	case p.reserved != "" && p.reserved != r.Job && r.Spec.Claim == "":
		return ReasonReserved
	}
	return ""
}

func (p *Replayer) compare(r decision.Record) {
	p.report.Replayed++
	st := placement.State{View: p.state.View(), Now: r.At, Epoch: r.Epoch, Revision: r.Revision}
	now := p.planner.Plan(st, job.Job{ID: r.Job, Spec: r.Spec, Attempt: r.Attempt, Submitted: r.Submitted})
	if same(r.Members, now.Members) {
		return
	}
	p.report.Differences = append(p.report.Differences, Difference{Index: p.records - 1, Job: r.Job, Recorded: r.Members,
		Replayed: now.Members, Reason: fmt.Sprintf("the planner now decides %q: %s", now.Rule, now.Reason)})
}

func same(a, b []job.Member) bool {
	held := make(map[job.Member]bool)
	for _, m := range a {
		held[m] = true
	}
	for _, m := range b {
		if !held[m] {
			return false
		}
	}
	return len(a) == len(b)
}

// configure makes the planner and the state of a revision. It returns false
// when the configuration is not known.
func (p *Replayer) configure(revision id.Revision) bool {
	if p.planner != nil && p.revision == revision {
		return true
	}
	set, ok := p.sets.At(revision)
	binding, bound := p.sets.Binding(revision)
	if !ok || !bound {
		p.planner = nil
		return false
	}
	zone := set.Zones[p.zone]
	state, err := fleet.New(fleet.Config{Zone: zone})
	if err != nil {
		p.lost = true
		return true
	}
	p.state, p.revision = state, revision
	p.planner = placement.New(placement.Config{Zone: zone, Accounts: set.Accounts, Binding: binding, Policy: set.Policy})
	// Claims may hold what gangs that are stopping still hold, so these go first.
	for _, g := range p.gangs {
		if g.Stopping {
			g.Stopping = false
			p.hold(g)
			p.state.MarkStopping(g.Job)
		}
	}
	for _, g := range p.gangs {
		if !g.Stopping {
			p.hold(g)
		}
	}
	for w, out := range p.out {
		p.setOut(w, out)
	}
	return true
}

// hold puts a gang into the state. Where it does not fit, the records leave
// something out.
func (p *Replayer) hold(g fleet.Gang) {
	if p.state != nil && p.state.Reserve(g) != nil {
		p.lost = true
	}
}

func (p *Replayer) setOut(w id.Worker, out bool) {
	reason := fleet.NotExcluded
	if out {
		reason = fleet.Lost
	}
	if p.state != nil && p.state.SetExclusion(w, reason) != nil {
		p.lost = true
	}
}

func (p *Replayer) worker(r decision.Record) {
	for _, m := range r.Members {
		p.out[m.Worker] = r.Rule == decision.RuleWorkerExcluded
		p.setOut(m.Worker, p.out[m.Worker])
	}
}

func (p *Replayer) release(j id.Job) {
	if p.reserved == j {
		p.reserved = ""
	}
	delete(p.gangs, j)
	if p.state != nil {
		p.state.Release(j)
	}
}

func (p *Replayer) apply(r decision.Record) {
	if p.reserved == r.Job {
		p.reserved = ""
	}
	for _, v := range r.Victims {
		if g, ok := p.gangs[v.Job]; ok {
			g.Stopping = true
			p.gangs[v.Job] = g
			if p.state != nil {
				p.state.MarkStopping(v.Job)
			}
		}
	}
	if _, again := p.gangs[r.Job]; again {
		p.release(r.Job)
	}
	g := fleet.NewGang(r.Job, r.Spec, r.Members, r.At)
	p.gangs[r.Job] = g
	p.hold(g)
}

func (p *Replayer) wait(r decision.Record) {
	switch {
	case len(r.Target) > 0:
		if p.reserved != r.Job {
			// The reservation was made in this pass, perhaps before records that
			// come first.
			n := len(p.report.Differences) - p.pass.before
			p.report.Differences = p.report.Differences[:p.pass.before]
			p.report.Replayed -= n
			if n > 0 {
				p.report.Skipped[ReasonReserved] += n
			}
		}
		p.reserved = r.Job
	case p.reserved == r.Job:
		p.reserved = ""
	}
}
