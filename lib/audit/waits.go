package audit

import (
	"fmt"
	"slices"
	"time"

	"bronzewinch.dev/lib/decision"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/unit"
)

// MaxUrgentWait is the longest allowed time between the moment from which an
// urgent claim can be placed and its placement.
const MaxUrgentWait = 3600 * time.Millisecond

// MaxPackingWait is the longest time for which a job that fits may be delayed for
// a better placement.
const MaxPackingWait = 12 * time.Hour

// waitTimes holds the events from which the wait of a job is measured.
type waitTimes struct {
	// justified holds the waiting claims that could not be placed, with the time
	// at which this was last recorded.
	justified map[id.Job]time.Time
	// gangEnded holds the time at which a job's last gang ended.
	gangEnded map[id.Job]time.Time
	// capacityChanged is when a claim last started or ended, or a worker's state
	// last changed; configChanged is when the revision last changed. Each of these
	// can remove the reason for a justified wait.
	capacityChanged, configChanged time.Time
}

func newWaitTimes() waitTimes {
	return waitTimes{justified: make(map[id.Job]time.Time), gangEnded: make(map[id.Job]time.Time)}
}

// waitStart returns the time from which the wait that r ends is measured.
func (w *waitTimes) waitStart(r decision.Record) time.Time {
	at := latest(r.Submitted, w.gangEnded[r.Job])
	if justifiedAt, ok := w.justified[r.Job]; ok {
		at = latest(at, latest(justifiedAt, latest(w.capacityChanged, w.configChanged)))
	}
	return at
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// checkUrgentWait checks that an urgent claim waited no longer than MaxUrgentWait.
func (c *Checker) checkUrgentWait(r decision.Record) {
	defer delete(c.waits.justified, r.Job)
	if !r.Spec.Urgent {
		return
	}
	if r.Submitted.IsZero() {
		c.addUnchecked(Urgent, "the record has no submission time")
		return
	}
	c.countCheck(Urgent)
	if waited := r.At.Sub(c.waits.waitStart(r)); waited > MaxUrgentWait {
		c.addFinding(Urgent, r, "the urgent claim waited %v; the limit is %v", waited, MaxUrgentWait)
	}
}

// checkWaiting checks a record that leaves a job waiting.
func (c *Checker) checkWaiting(r decision.Record, set *record.Set) {
	if r.Spec.Claim == "" {
		c.trackReservation(r)
	}
	switch {
	case set == nil:
	case c.partial && r.Spec.Claim != "":
		c.addUnchecked(ClaimStarts, reasonPartial)
	case c.partial:
		c.addUnchecked(NoNeedlessWait, reasonPartial)
	case r.Spec.Claim != "":
		c.checkClaimWait(r, set)
	case r.Rule == decision.RuleQuota:
		c.countCheck(NoNeedlessWait)
		if sum, quota := c.accountUsage(r, set); quota == 0 || sum <= quota {
			c.addFinding(NoNeedlessWait, r, "the job waits for quota, but the account's %d accelerators including the job are within its quota of %d", sum, quota)
		}
	case r.Rule == decision.RulePacking:
		c.countCheck(NoNeedlessWait)
		if waited := r.At.Sub(r.Submitted); r.Spec.Urgent || waited >= MaxPackingWait {
			c.addFinding(NoNeedlessWait, r, "the job fits but has waited %v for a better placement; the limit is %v, and urgent jobs must not wait", waited, MaxPackingWait)
		}
	case r.Rule == decision.RuleWait:
		c.countCheck(NoNeedlessWait)
		if newFreeCapacity(set.Zones[c.zone], c.occupied(), c.excluded).fitsGang(r.Spec.Shape) {
			c.addFinding(NoNeedlessWait, r, "the job waits for capacity, but %v fits", r.Spec.Shape)
		}
	}
}

// checkClaimWait checks that a claim within its guarantee waits only while workers
// are excluded and the guaranteed shapes don't all fit without them.
func (c *Checker) checkClaimWait(r decision.Record, set *record.Set) {
	c.countCheck(ClaimStarts)
	key := record.GuaranteeKey{Account: r.Spec.Account, Name: r.Spec.Claim}
	g, ok := set.Guarantees[key]
	n, copies := c.claimCount(key), c.configs.CopyCounts(r.Revision, c.zone)[key]
	if !ok || n >= copies || !withinGuarantee(r.Spec.Shape, g.Shape) {
		c.waits.justified[r.Job] = r.At
		return
	}
	if c.anyExcluded() && newFreeCapacity(set.Zones[c.zone], c.claimedResources(), c.excluded).placeAll(c.unclaimedShapes(r.Revision, set)) != feasible {
		c.waits.justified[r.Job] = r.At
		c.addUnchecked(ClaimStarts, reasonOutage)
		return
	}
	c.addFinding(ClaimStarts, r, "the claim waits, but only %d of %d copies of shape %s are claimed", n, copies, key.Name)
}

func (c *Checker) anyExcluded() bool {
	for _, excluded := range c.excluded {
		if excluded {
			return true
		}
	}
	return false
}

// occupied returns the resources on each worker that running gangs use and that
// stopping gangs may still use.
func (c *Checker) occupied() map[id.Worker]unit.Resources {
	occupied := make(map[id.Worker]unit.Resources, len(c.used))
	for w, r := range c.used {
		occupied[w] = r
	}
	for _, alloc := range c.stopping {
		for _, m := range alloc.members {
			occupied[m.Worker] = occupied[m.Worker].Plus(m.Resources)
		}
	}
	return occupied
}

// reservation is the workers reserved for the oldest job that can't start. A zone
// has at most one.
type reservation struct {
	job      id.Job
	target   []id.Worker
	bypassed int
	// starts holds the opportunistic jobs placed in the current pass. They are
	// checked later because the record that names the pass's reservation can
	// follow theirs.
	starts []start
	pass   pass
}

// start is the placement of an opportunistic job. index is the position of its
// record, and maxBypass the limit in force.
type start struct {
	index     int
	maxBypass int
	record    decision.Record
}

// pass identifies a planner pass. All records of a pass have the same time, and
// times increase from pass to pass within an epoch.
type pass struct {
	epoch id.Epoch
	at    int64
}

func (res *reservation) end(j id.Job) {
	if res.job == j {
		res.job, res.target, res.bypassed = "", nil, 0
	}
}

func (res *reservation) overlaps(r decision.Record) bool {
	for _, m := range r.Members {
		if slices.Contains(res.target, m.Worker) {
			return true
		}
	}
	return false
}

// startPass checks the starts of the previous pass if r belongs to a new one.
func (c *Checker) startPass(r decision.Record) {
	if p := (pass{r.Epoch, r.At.UnixNano()}); p != c.reservation.pass {
		c.checkBypasses()
		c.reservation.pass = p
	}
}

// trackReservation updates the reservation from the record of a waiting job.
func (c *Checker) trackReservation(r decision.Record) {
	res := &c.reservation
	if len(r.Target) == 0 {
		res.end(r.Job)
		return
	}
	if res.job != r.Job {
		res.bypassed = 0
	}
	res.job, res.target = r.Job, r.Target
	c.checkBypasses()
	if r.Bypassed < res.bypassed {
		c.addFinding(Bypass, r, "the job was bypassed %d times, but the record says %d", res.bypassed, r.Bypassed)
	}
	res.bypassed = max(res.bypassed, r.Bypassed)
}

// recordStart records a start that checkBypasses checks against the reservation.
func (c *Checker) recordStart(r decision.Record, set *record.Set) {
	c.countCheck(Bypass)
	c.reservation.starts = append(c.reservation.starts, start{c.report.Records - 1, set.Policy.MaxBypass, r})
}

// checkBypasses checks the recorded starts against the reservation.
func (c *Checker) checkBypasses() {
	res := &c.reservation
	for _, s := range res.starts {
		if res.job == "" || res.job == s.record.Job || !res.overlaps(s.record) {
			continue
		}
		if res.bypassed >= s.maxBypass {
			c.report.Findings = append(c.report.Findings, Finding{Invariant: Bypass, Index: s.index, Job: s.record.Job,
				Detail: fmt.Sprintf("the job starts on workers reserved for job %s, which was already bypassed %d times of at most %d", res.job, res.bypassed, s.maxBypass)})
		}
		res.bypassed++
	}
	res.starts = nil
}
