// Package replay repeats recorded placements with the current planner and compares
// the results. It rebuilds the state before each placement from the preceding
// records.
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

// ConfigSource provides the configuration that was in force at a revision, and the
// binding of its guaranteed shapes.
type ConfigSource interface {
	At(revision id.Revision) (*record.Set, bool)
	Binding(revision id.Revision) (*guarantee.Binding, bool)
}

// Difference is a placement for which the planner now makes a different decision.
type Difference struct {
	// Index is the position of the record among all added records.
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

// Reasons why a placement is not replayed.
const (
	ReasonState    = "the state before it can't be rebuilt from the records"
	ReasonConfig   = "the configuration at its revision is no longer kept"
	ReasonPreempt  = "the choice of gangs to stop depends on checkpoints, which are not recorded"
	ReasonReserved = "resources were reserved for an older job at the time"
)

// Replayer replays the records of one zone in order.
type Replayer struct {
	configs      ConfigSource
	zone         id.Zone
	state        *fleet.Zone
	planner      *placement.Planner
	revision     id.Revision
	gangs        map[id.Job]fleet.Gang
	excluded     map[id.Worker]bool
	reservedFor  id.Job
	pass         pass
	stateUnknown bool
	records      int
	report       Report
}

// pass identifies a planner pass and holds the number of differences before it.
// All records of a pass have the same time.
type pass struct {
	epoch             id.Epoch
	at                int64
	differencesBefore int
}

// New returns a Replayer for a zone in which no resources are allocated yet.
func New(zone id.Zone, configs ConfigSource) *Replayer {
	return &Replayer{configs: configs, zone: zone, gangs: make(map[id.Job]fleet.Gang), excluded: make(map[id.Worker]bool),
		report: Report{Skipped: make(map[string]int)}}
}

// MarkPartial marks the log as incomplete: records before the first are
// missing, so the state can't be rebuilt.
func (rp *Replayer) MarkPartial() { rp.stateUnknown = true }

// Report returns the result for the records added so far.
func (rp *Replayer) Report() Report { return rp.report }

// Add replays the next record.
func (rp *Replayer) Add(r decision.Record) {
	rp.records++
	if at := r.At.UnixNano(); rp.pass.epoch != r.Epoch || rp.pass.at != at {
		rp.pass = pass{r.Epoch, at, len(rp.report.Differences)}
	}
	switch r.Rule {
	case decision.RuleStop:
		rp.release(r.Job)
	case decision.RuleWorkerExcluded, decision.RuleWorkerRecovered:
		rp.updateExclusions(r)
	case decision.RuleFree, decision.RuleBackfill, decision.RuleClaim, decision.RulePreempt:
		if reason := rp.skipReason(r); reason != "" {
			rp.report.Skipped[reason]++
		} else {
			rp.compare(r)
		}
		rp.addPlacement(r)
	default:
		rp.trackReservation(r)
	}
}

// skipReason returns the reason why a placement can't be compared, or "".
func (rp *Replayer) skipReason(r decision.Record) string {
	switch {
	case rp.stateUnknown:
		return ReasonState
	case !rp.setRevision(r.Revision):
		return ReasonConfig
	case rp.stateUnknown:
		return ReasonState
	case r.Rule == decision.RulePreempt:
		return ReasonPreempt
	case rp.reservedFor != "" && rp.reservedFor != r.Job && r.Spec.Claim == "":
		return ReasonReserved
	}
	return ""
}

func (rp *Replayer) compare(r decision.Record) {
	rp.report.Replayed++
	st := placement.State{View: rp.state.View(), Now: r.At, Epoch: r.Epoch, Revision: r.Revision}
	decided := rp.planner.Plan(st, job.Job{ID: r.Job, Spec: r.Spec, Attempt: r.Attempt, Submitted: r.Submitted})
	if sameMembers(r.Members, decided.Members) {
		return
	}
	rp.report.Differences = append(rp.report.Differences, Difference{Index: rp.records - 1, Job: r.Job, Recorded: r.Members,
		Replayed: decided.Members, Reason: fmt.Sprintf("the planner now decides %q: %s", decided.Rule, decided.Reason)})
}

func sameMembers(a, b []job.Member) bool {
	inA := make(map[job.Member]bool)
	for _, m := range a {
		inA[m] = true
	}
	for _, m := range b {
		if !inA[m] {
			return false
		}
	}
	return len(a) == len(b)
}

// setRevision rebuilds the planner and the state for a revision. It returns false
// if the configuration is not known.
func (rp *Replayer) setRevision(revision id.Revision) bool {
	if rp.planner != nil && rp.revision == revision {
		return true
	}
	set, ok := rp.configs.At(revision)
	binding, bound := rp.configs.Binding(revision)
	if !ok || !bound {
		rp.planner = nil
		return false
	}
	zone := set.Zones[rp.zone]
	state, err := fleet.New(fleet.Config{Zone: zone})
	if err != nil {
		rp.stateUnknown = true
		return true
	}
	rp.state, rp.revision = state, revision
	rp.planner = placement.New(placement.Config{Zone: zone, Accounts: set.Accounts, Binding: binding, Policy: set.Policy})
	// Claims may be placed on resources of gangs that are still stopping, so the
	// stopping gangs are added first.
	for _, g := range rp.gangs {
		if g.Stopping {
			g.Stopping = false
			rp.addGang(g)
			rp.state.MarkStopping(g.Job)
		}
	}
	for _, g := range rp.gangs {
		if !g.Stopping {
			rp.addGang(g)
		}
	}
	for w, excluded := range rp.excluded {
		rp.setExclusion(w, excluded)
	}
	return true
}

// addGang adds a gang to the state. If it does not fit, the records are incomplete
// and the state is no longer known.
func (rp *Replayer) addGang(g fleet.Gang) {
	if rp.state != nil && rp.state.Reserve(g) != nil {
		rp.stateUnknown = true
	}
}

func (rp *Replayer) setExclusion(w id.Worker, excluded bool) {
	reason := fleet.NotExcluded
	if excluded {
		reason = fleet.Lost
	}
	if rp.state != nil && rp.state.SetExclusion(w, reason) != nil {
		rp.stateUnknown = true
	}
}

func (rp *Replayer) updateExclusions(r decision.Record) {
	for _, m := range r.Members {
		rp.excluded[m.Worker] = r.Rule == decision.RuleWorkerExcluded
		rp.setExclusion(m.Worker, rp.excluded[m.Worker])
	}
}

func (rp *Replayer) release(j id.Job) {
	if rp.reservedFor == j {
		rp.reservedFor = ""
	}
	delete(rp.gangs, j)
	if rp.state != nil {
		rp.state.Release(j)
	}
}

func (rp *Replayer) addPlacement(r decision.Record) {
	if rp.reservedFor == r.Job {
		rp.reservedFor = ""
	}
	for _, v := range r.Victims {
		if g, ok := rp.gangs[v.Job]; ok {
			g.Stopping = true
			rp.gangs[v.Job] = g
			if rp.state != nil {
				rp.state.MarkStopping(v.Job)
			}
		}
	}
	if _, placed := rp.gangs[r.Job]; placed {
		rp.release(r.Job)
	}
	g := fleet.NewGang(r.Job, r.Spec, r.Members, r.At)
	rp.gangs[r.Job] = g
	rp.addGang(g)
}

func (rp *Replayer) trackReservation(r decision.Record) {
	switch {
	case len(r.Target) > 0:
		if rp.reservedFor != r.Job {
			// The reservation was made in this pass and may have affected placements
			// whose records precede this one, so their differences don't count.
			removed := len(rp.report.Differences) - rp.pass.differencesBefore
			rp.report.Differences = rp.report.Differences[:rp.pass.differencesBefore]
			rp.report.Replayed -= removed
			if removed > 0 {
				rp.report.Skipped[ReasonReserved] += removed
			}
		}
		rp.reservedFor = r.Job
	case rp.reservedFor == r.Job:
		rp.reservedFor = ""
	}
}
