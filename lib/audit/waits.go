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

// MaxUrgentWait is the longest time from when an urgent claim can be placed to
// its placement.
const MaxUrgentWait = 3600 * time.Millisecond

// MaxPackingWait is the longest time for which a job that has room may wait for
// a better place.
const MaxPackingWait = 12 * time.Hour

// waitTimes holds the times from which a wait counts.
type waitTimes struct {
	// justified holds the jobs that waited for a reason, and when that was last
	// recorded.
	justified map[id.Job]time.Time
	// gangEnded holds when a job's last gang ended.
	gangEnded map[id.Job]time.Time
	// capacityChanged is when a claim last started or ended, or a worker's state last
	// changed, and changed when the revision did. Each can end the reason to
	// wait.
	capacityChanged, configChanged time.Time
}

func newWaitTimes() waitTimes {
	return waitTimes{justified: make(map[id.Job]time.Time), gangEnded: make(map[id.Job]time.Time)}
}

// waitStart returns when the wait that r ends began to count.
func (w *waitTimes) waitStart(r decision.Record) time.Time {
	at := latest(r.Submitted, w.gangEnded[r.Job])
	if excused, ok := w.justified[r.Job]; ok {
		at = latest(at, latest(excused, latest(w.capacityChanged, w.configChanged)))
	}
	return at
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// checkUrgentWait checks how long an urgent claim waited.
func (c *Checker) checkUrgentWait(r decision.Record) {
	defer delete(c.waits.justified, r.Job)
	if !r.Spec.Urgent {
		return
	}
	if r.Submitted.IsZero() {
		c.addUnchecked(Urgent, "the record does not say when the job was submitted")
		return
	}
	c.countCheck(Urgent)
	if waited := r.At.Sub(c.waits.waitStart(r)); waited > MaxUrgentWait {
		c.addFinding(Urgent, r, "the urgent claim waited %v; the bound is %v", waited, MaxUrgentWait)
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
			c.addFinding(NoNeedlessWait, r, "it waits for quota, and %d accelerators with it are within the quota of %d", sum, quota)
		}
	case r.Rule == decision.RulePacking:
		c.countCheck(NoNeedlessWait)
		if waited := r.At.Sub(r.Submitted); r.Spec.Urgent || waited >= MaxPackingWait {
			c.addFinding(NoNeedlessWait, r, "it has room and waits for a better place for %v; the bound is %v, and none for urgent jobs", waited, MaxPackingWait)
		}
	case r.Rule == decision.RuleWait:
		c.countCheck(NoNeedlessWait)
		if newFreeCapacity(set.Zones[c.zone], c.occupied(), c.excluded).fitsGang(r.Spec.Shape) {
			c.addFinding(NoNeedlessWait, r, "it waits for room, and %v is free", r.Spec.Shape)
		}
	}
}

// checkClaimWait checks that a claim within its guarantee waits only while workers
// are out and the guaranteed shapes can't all be held.
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
	c.addFinding(ClaimStarts, r, "%d of %d of shape %s are claimed, and the claim waits", n, copies, key.Name)
}

func (c *Checker) anyExcluded() bool {
	for _, out := range c.excluded {
		if out {
			return true
		}
	}
	return false
}

// occupied returns what gangs hold or may still hold on each worker.
func (c *Checker) occupied() map[id.Worker]unit.Resources {
	occupied := make(map[id.Worker]unit.Resources, len(c.used))
	for w, r := range c.used {
		occupied[w] = r
	}
	for _, h := range c.stopping {
		for _, m := range h.members {
			occupied[m.Worker] = occupied[m.Worker].Plus(m.Resources)
		}
	}
	return occupied
}

// reservation is what is kept for the oldest job that can't start. There is at
// most one in a zone.
type reservation struct {
	job      id.Job
	target   []id.Worker
	bypassed int
	// starts holds the opportunistic jobs placed in the present pass. The
	// record that names the reservation of the pass can come after them.
	starts []start
	pass   pass
}

// start is a placement with its position among the records.
type start struct {
	index     int
	maxBypass int
	record    decision.Record
}

// pass tells the records of one pass of the planner from others. They have the
// same time, and each pass of an epoch has a later one.
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

// startPass checks the starts of the last pass when r belongs to another one.
func (c *Checker) startPass(r decision.Record) {
	if p := (pass{r.Epoch, r.At.UnixNano()}); p != c.reservation.pass {
		c.checkBypasses()
		c.reservation.pass = p
	}
}

// trackReservation follows the reservation that a waiting job's record names.
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
		c.addFinding(Bypass, r, "the job was passed %d times, and the record says %d", res.bypassed, r.Bypassed)
	}
	res.bypassed = max(res.bypassed, r.Bypassed)
}

// recordStart notes a job that may start on what is reserved for another.
func (c *Checker) recordStart(r decision.Record, set *record.Set) {
	c.countCheck(Bypass)
	c.reservation.starts = append(c.reservation.starts, start{c.report.Records - 1, set.Policy.MaxBypass, r})
}

// checkBypasses checks the starts noted against the reservation.
func (c *Checker) checkBypasses() {
	res := &c.reservation
	for _, s := range res.starts {
		if res.job == "" || res.job == s.record.Job || !res.overlaps(s.record) {
			continue
		}
		if res.bypassed >= s.maxBypass {
			c.report.Findings = append(c.report.Findings, Finding{Invariant: Bypass, Index: s.index, Job: s.record.Job,
				Detail: fmt.Sprintf("it starts on workers reserved for job %s, which was passed %d times already", res.job, res.bypassed)})
		}
		res.bypassed++
	}
	res.starts = nil
}
