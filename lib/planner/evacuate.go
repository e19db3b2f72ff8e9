package planner

import (
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/unit"
)

const (
	// refillTime is the time over which the workers of a zone become candidates again
	// after its evacuation was withdrawn. Otherwise a queue that has grown meanwhile would
	// start on all of them at once, with all loads of data on the same few racks.
	refillTime = 2 * time.Second
	// moveInterval is the time between two searches for runs to move out of evacuated
	// zones.
	moveInterval = time.Second
	// minRemainingToMove is the expected remaining run time from which a task with
	// checkpoints is moved out of an evacuated zone. Shorter runs empty the zone by
	// ending, without the cost of a restore and of another wait for capacity.
	minRemainingToMove = 30 * time.Second
)

// evacuation is a zone that gets no starts.
type evacuation struct {
	since time.Time
	empty bool // no runs are left in the zone
}

// SetEvacuated sets the zones that get no starts.
func (p *Planner) SetEvacuated(now time.Time, zones map[id.Zone]struct{}) {
	begun := false
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		if p.evacuations[zone] == nil {
			p.evacuations[zone] = &evacuation{since: now}
			delete(p.refills, zone)
			p.logEvacuation(zone, "begun", 0)
			begun = true
		}
	}
	for zone, e := range p.evacuations {
		if _, ok := zones[zone]; !ok {
			delete(p.evacuations, zone)
			p.refills[zone] = now
			p.logEvacuation(zone, "withdrawn", now.Sub(e.since))
		}
	}
	if begun {
		p.checkGuarantees()
	}
}

func (p *Planner) logEvacuation(zone id.Zone, reason string, age time.Duration) {
	p.logDecision(Decision{Event: "evacuation", Reason: reason, Age: age, Fields: []any{"zone", zone, "runs", p.runsIn(zone)}})
}

// checkGuarantees logs when the guarantees of all accounts exceed the accelerators
// outside the evacuated zones.
func (p *Planner) checkGuarantees() {
	var guaranteed, left unit.Accelerators
	for _, n := range p.rules.Guaranteed {
		guaranteed += n
	}
	for _, w := range p.workersByID {
		if w.listed && p.evacuations[w.Zone] == nil {
			left += w.Capacity.Accelerators
		}
	}
	if guaranteed > left {
		p.logDecision(Decision{Event: "evacuation", Reason: "the guarantees exceed the accelerators of the other zones",
			Fields: []any{"guaranteed", guaranteed, "accelerators", left}})
	}
}

// runsIn returns the number of runs in a zone that are not known to have ended.
func (p *Planner) runsIn(zone id.Zone) int {
	n := 0
	for _, w := range p.workersByID {
		if w.Zone == zone {
			n += len(w.members)
		}
	}
	return n
}

// EvacuatedRuns returns the number of runs in evacuated zones.
func (p *Planner) EvacuatedRuns() int {
	n := 0
	for zone := range p.evacuations {
		n += p.runsIn(zone)
	}
	return n
}

// isEvacuated reports whether a worker gets no starts because its zone is evacuated, or
// was until a moment ago.
func (p *Planner) isEvacuated(now time.Time, w *worker) bool {
	if p.evacuations[w.Zone] != nil {
		return true
	}
	since, ok := p.refills[w.Zone]
	return ok && now.Sub(since) < refillDelay(w.ID)
}

// refillDelay returns the time within refillTime at which a worker becomes a candidate
// again.
func refillDelay(name id.Worker) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name)) // never fails
	return time.Duration(float64(refillTime) * float64(h.Sum32()) / math.MaxUint32)
}

// advanceEvacuations moves runs out of evacuated zones, and logs those that have become
// empty.
func (p *Planner) advanceEvacuations(now time.Time) {
	maps.DeleteFunc(p.refills, func(_ id.Zone, since time.Time) bool { return now.Sub(since) > refillTime })
	for _, zone := range slices.Sorted(maps.Keys(p.evacuations)) {
		e := p.evacuations[zone]
		if empty := p.runsIn(zone) == 0; empty != e.empty {
			e.empty = empty
			if empty {
				p.logEvacuation(zone, "no runs are left", now.Sub(e.since))
			}
		}
	}
	if len(p.evacuations) > 0 && now.Sub(p.movedAt) >= moveInterval && !p.awaitsFirstReports(now) {
		p.movedAt = now
		p.moveRuns(now)
	}
}

// moveRuns stops runs in evacuated zones that would not end soon, if their group fits
// on workers of other zones now. A later pass starts them there.
func (p *Planner) moveRuns(now time.Time) {
	ps := newPass(p, now)
	for _, w := range p.workersByID {
		if p.evacuations[w.Zone] == nil {
			continue
		}
		for _, m := range slices.Clone(w.members) {
			g := m.group
			if g.stopping || g.done || !p.shouldMove(now, m) {
				continue
			}
			sets, _ := ps.candidateSets(g)
			for _, set := range sets {
				if ps.reserve(g, pack(g, set, ps, func(c *candidate) unit.Resources { return c.free })) {
					p.stopGroup(now, g, "the zone is evacuated")
					break
				}
			}
		}
	}
}

// shouldMove reports whether the run of a member is worth moving to another zone: a
// service task, whose step may have one more task unavailable, or a task with checkpoints
// that would run on for long.
func (p *Planner) shouldMove(now time.Time, m *member) bool {
	s := m.group.step()
	switch {
	case s.Service:
		return m.group.unavailableOthers(now) < max(1, s.MaxUnavailable) // one at a time without a limit
	case s.Checkpoints:
		total := p.expectedRunTime(m.group.job, *s)
		return time.Duration(float64(total)*float64(100-m.percent)/100) > minRemainingToMove
	}
	return false
}

// zonesToAwait returns the evacuated zones of the workers that may run a group, if no
// worker of another zone may.
func (ps *pass) zonesToAwait(g *group) []id.Zone {
	if len(ps.planner.evacuations) == 0 || len(ps.eligibleForStep(g)) > 0 {
		return nil
	}
	var zones []id.Zone
	for _, w := range ps.planner.workersByID {
		if w.described() && ps.planner.evacuations[w.Zone] != nil && ps.isEligible(g, &candidate{worker: w}) &&
			!slices.Contains(zones, w.Zone) {
			zones = append(zones, w.Zone)
		}
	}
	return zones
}
