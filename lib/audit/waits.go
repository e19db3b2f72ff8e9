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

// waits holds the times from which a wait counts.
type waits struct {
	// excused holds the jobs that waited for a reason, and when that was last
	// recorded.
	excused map[id.Job]time.Time
	// stopped holds when a job's last gang ended.
	stopped map[id.Job]time.Time
	// freed is when a claim last started or ended, or a worker's state last
	// changed, and changed when the revision did. Each can end the reason to
	// wait.
	freed, changed time.Time
}

func newWaits() waits {
	return waits{excused: make(map[id.Job]time.Time), stopped: make(map[id.Job]time.Time)}
}

// since returns when the wait that r ends began to count.
func (w *waits) since(r decision.Record) time.Time {
	at := latest(r.Submitted, w.stopped[r.Job])
	if excused, ok := w.excused[r.Job]; ok {
		at = latest(at, latest(excused, latest(w.freed, w.changed)))
	}
	return at
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// urgent checks how long an urgent claim waited.
func (c *Checker) urgent(r decision.Record) {
	defer delete(c.waits.excused, r.Job)
	if !r.Spec.Urgent {
		return
	}
	if r.Submitted.IsZero() {
		c.skip(Urgent, "the record does not say when the job was submitted")
		return
	}
	c.checked(Urgent)
	if waited := r.At.Sub(c.waits.since(r)); waited > MaxUrgentWait {
		c.find(Urgent, r, "the urgent claim waited %v; the bound is %v", waited, MaxUrgentWait)
	}
}

// waiting checks a record that leaves a job waiting.
func (c *Checker) waiting(r decision.Record, set *record.Set) {
	if r.Spec.Claim == "" {
		c.reserve(r)
	}
	switch {
	case set == nil:
	case c.partial && r.Spec.Claim != "":
		c.skip(ClaimStarts, reasonPartial)
	case c.partial:
		c.skip(NoNeedlessWait, reasonPartial)
	case r.Spec.Claim != "":
		c.claimWaits(r, set)
	case r.Rule == decision.RuleQuota:
		c.checked(NoNeedlessWait)
		if sum, quota := c.accountUse(r, set); quota == 0 || sum <= quota {
			c.find(NoNeedlessWait, r, "it waits for quota, and %d accelerators with it are within the quota of %d", sum, quota)
		}
	case r.Rule == decision.RulePacking:
		c.checked(NoNeedlessWait)
		if waited := r.At.Sub(r.Submitted); r.Spec.Urgent || waited >= MaxPackingWait {
			c.find(NoNeedlessWait, r, "it has room and waits for a better place for %v; the bound is %v, and none for urgent jobs", waited, MaxPackingWait)
		}
	case r.Rule == decision.RuleWait:
		c.checked(NoNeedlessWait)
		if newRoom(set.Zones[c.zone], c.taken(), c.out).fitsAlone(r.Spec.Shape) {
			c.find(NoNeedlessWait, r, "it waits for room, and %v is free", r.Spec.Shape)
		}
	}
}

// claimWaits checks that a claim within its guarantee waits only while workers
// are out and the guaranteed shapes can't all be held.
func (c *Checker) claimWaits(r decision.Record, set *record.Set) {
	c.checked(ClaimStarts)
	key := record.GuaranteeKey{Account: r.Spec.Account, Name: r.Spec.Claim}
	g, ok := set.Guarantees[key]
	n, owed := c.claims(key), c.sets.CopyCounts(r.Revision, c.zone)[key]
	if !ok || n >= owed || !within(r.Spec.Shape, g.Shape) {
		c.waits.excused[r.Job] = r.At
		return
	}
	if c.anyOut() && newRoom(set.Zones[c.zone], c.claimedRoom(), c.out).holdAll(c.open(r.Revision, set)) != yes {
		c.waits.excused[r.Job] = r.At
		c.skip(ClaimStarts, reasonOutage)
		return
	}
	c.find(ClaimStarts, r, "%d of %d of shape %s are claimed, and the claim waits", n, owed, key.Name)
}

func (c *Checker) anyOut() bool {
	for _, out := range c.out {
		if out {
			return true
		}
	}
	return false
}

// taken returns what gangs hold or may still hold on each worker.
func (c *Checker) taken() map[id.Worker]unit.Resources {
	taken := make(map[id.Worker]unit.Resources, len(c.used))
	for w, r := range c.used {
		taken[w] = r
	}
	for _, h := range c.stopping {
		for _, m := range h.members {
			taken[m.Worker] = taken[m.Worker].Plus(m.Resources)
		}
	}
	return taken
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
	index int
	most  int
	rec   decision.Record
}

// pass tells the records of one pass of the planner from others. They have the
// same time, and each pass of an epoch has a later one.
type pass struct {
	epoch id.Epoch
	at    int64
}

func (k *reservation) end(j id.Job) {
	if k.job == j {
		k.job, k.target, k.bypassed = "", nil, 0
	}
}

func (k *reservation) uses(r decision.Record) bool {
	for _, m := range r.Members {
		if slices.Contains(k.target, m.Worker) {
			return true
		}
	}
	return false
}

// nextPass checks the starts of the last pass when r belongs to another one.
func (c *Checker) nextPass(r decision.Record) {
	if p := (pass{r.Epoch, r.At.UnixNano()}); p != c.reserved.pass {
		c.countStarts()
		c.reserved.pass = p
	}
}

// reserve follows the reservation that a waiting job's record names.
func (c *Checker) reserve(r decision.Record) {
	k := &c.reserved
	if len(r.Target) == 0 {
		k.end(r.Job)
		return
	}
	if k.job != r.Job {
		k.bypassed = 0
	}
	k.job, k.target = r.Job, r.Target
	c.countStarts()
	if r.Bypassed < k.bypassed {
		c.find(Bypass, r, "the job was passed %d times, and the record says %d", k.bypassed, r.Bypassed)
	}
	k.bypassed = max(k.bypassed, r.Bypassed)
}

// bypass notes a job that may start on what is reserved for another.
func (c *Checker) bypass(r decision.Record, set *record.Set) {
	c.checked(Bypass)
	c.reserved.starts = append(c.reserved.starts, start{c.report.Records - 1, set.Policy.MaxBypass, r})
}

// countStarts checks the starts noted against the reservation.
func (c *Checker) countStarts() {
	k := &c.reserved
	for _, s := range k.starts {
		if k.job == "" || k.job == s.rec.Job || !k.uses(s.rec) {
			continue
		}
		if k.bypassed >= s.most {
			c.report.Findings = append(c.report.Findings, Finding{Invariant: Bypass, Index: s.index, Job: s.rec.Job,
				Detail: fmt.Sprintf("it starts on workers reserved for job %s, which was passed %d times already", k.job, k.bypassed)})
		}
		k.bypassed++
	}
	k.starts = nil
}
