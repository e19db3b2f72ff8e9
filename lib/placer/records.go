package placer

import (
	"time"

	"bronzewinch.dev/lib/decision"
	"bronzewinch.dev/lib/fleet"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/placement"
)

var exclusionReasons = map[fleet.ExclusionReason]string{
	fleet.Lost:      "it does not answer, or may still run a gang that was stopped",
	fleet.Draining:  "an operator drains it",
	fleet.Unhealthy: "tasks of several jobs failed on it",
	fleet.Evacuated: "its zone is evacuated",
}

// workerChanges returns a record for each worker that was excluded from placement
// or returned to it since its last record. The caller holds the lock.
func (p *Placer) workerChanges(now time.Time) []decision.Record {
	var changes []decision.Record
	for _, w := range p.set.Zones[p.config.Zone].Workers {
		exclusion := p.exclusions[w.Name]
		if (exclusion != fleet.NotExcluded) == p.recordedExcluded[w.Name] {
			continue
		}
		r := decision.Record{Zone: p.config.Zone, Epoch: p.config.Epoch, Revision: p.set.Revision, At: now,
			Rule: decision.RuleWorkerExcluded, Members: []job.Member{{Worker: w.Name}}, Reason: exclusionReasons[exclusion]}
		if exclusion == fleet.NotExcluded {
			r.Rule, r.Reason = decision.RuleWorkerRecovered, "it can run new work"
			delete(p.recordedExcluded, w.Name)
		} else {
			p.recordedExcluded[w.Name] = true
		}
		changes = append(changes, r)
	}
	return changes
}

// RestoreRecords restores state from the decision records of earlier owners:
// which workers are recorded as excluded from placement, and the reservation of
// a waiting job.
func (p *Placer) RestoreRecords(records []decision.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range records {
		switch {
		case r.Rule == decision.RuleWorkerExcluded:
			for _, m := range r.Members {
				p.recordedExcluded[m.Worker] = true
			}
		case len(r.Target) > 0:
			p.reservations[r.Job] = placement.Reservation{Target: r.Target, Bypassed: r.Bypassed}
		}
	}
}
