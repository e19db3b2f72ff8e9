// Package audit checks decision records after the fact. From the records and
// the configuration alone it tells whether each promise was kept. It shares
// no code with the planner, so that a fault of the planner can't hide itself.
package audit

import (
	"fmt"

	"bronzewinch.dev/lib/decision"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/unit"
)

// Invariant names what a record is checked against.
type Invariant string

// The promises that records are checked against.
const (
	// Capacity: no worker ever holds more than it has.
	Capacity Invariant = "capacity"
	// WholeGang: a placed gang has all its members, near enough to each other.
	WholeGang Invariant = "wholeGang"
	// Reclaimable: every unclaimed guaranteed shape could be claimed by
	// stopping only opportunistic gangs.
	Reclaimable Invariant = "reclaimable"
	// ClaimStarts: a claim within its guarantee is never left waiting.
	ClaimStarts Invariant = "claimStarts"
	// ClaimCovered: a claim uses no more than its account's guarantee.
	ClaimCovered Invariant = "claimCovered"
	// Victims: only whole opportunistic gangs are stopped, and only for claims.
	Victims Invariant = "victims"
	// Quota: opportunistic gangs stay within their account's quota.
	Quota Invariant = "quota"
	// NeverFits: a job that was refused for good fits no zone as declared.
	NeverFits Invariant = "never"
	// Order: epochs and versions only rise.
	Order Invariant = "order"
	// InPlacement: no gang is placed on a worker that is out of placement.
	InPlacement Invariant = "inPlacement"
	// NoNeedlessWait: no opportunistic job waits for room or quota that is there.
	NoNeedlessWait Invariant = "room"
	// Bypass: at most Policy.MaxBypass later jobs start on what is reserved
	// for the oldest job that can't start.
	Bypass Invariant = "bypass"
	// Urgent: an urgent claim is placed within UrgentBound.
	Urgent Invariant = "urgent"
)

// Finding is one promise that one record breaks.
type Finding struct {
	Invariant Invariant `json:"promise"`
	// Index is the position of the record among those that were checked.
	Index  int    `json:"index"`
	Job    id.Job `json:"job"`
	Detail string `json:"detail"`
}

// Unchecked is why some records could not be checked for a promise.
type Unchecked struct {
	Invariant Invariant `json:"promise"`
	Reason    string    `json:"reason"`
	Records   int       `json:"records"`
}

// Report is the result of a check.
type Report struct {
	Records  int       `json:"records"`
	Findings []Finding `json:"findings"`
	// Checked counts the checks made for each promise.
	Checked map[Invariant]int `json:"checked"`
	// Unchecked tells what could not be checked, in the order met.
	Unchecked []Unchecked `json:"unchecked,omitempty"`
	// Undecided counts the records after which the search for a way to hold
	// all unclaimed shapes reached its bound without an answer.
	Undecided int `json:"undecided"`
}

// ConfigSource returns the configuration in force at a revision.
type ConfigSource interface {
	At(revision id.Revision) (*record.Set, bool)
	// Discarded reports whether the revision was in force and is no longer kept.
	Discarded(revision id.Revision) bool
	// CopyCounts returns how many copies of each guaranteed shape a zone holds.
	CopyCounts(revision id.Revision, zone id.Zone) map[record.GuaranteeKey]int
}

// allocation is a gang that holds workers.
type allocation struct {
	account      id.Account
	claim        id.Shape
	members      []job.Member
	accelerators unit.Accelerators
}

// Checker checks the records of one availability zone in the order in which
// they were made.
type Checker struct {
	configs     ConfigSource
	zone        id.Zone
	allocations map[id.Job]allocation
	// stopping holds the victims whose end is not recorded yet. They may still
	// take room, which only claims can use.
	stopping    map[id.Job]allocation
	used        map[id.Worker]unit.Resources
	excluded    map[id.Worker]bool
	partial     bool
	reservation reservation
	waits       waitTimes
	epoch       id.Epoch
	version     uint64
	revision    id.Revision
	report      Report
}

// New returns a checker for one zone. Nothing is held at first.
func New(zone id.Zone, configs ConfigSource) *Checker {
	return &Checker{
		configs: configs, zone: zone,
		allocations: make(map[id.Job]allocation),
		stopping:    make(map[id.Job]allocation),
		used:        make(map[id.Worker]unit.Resources),
		excluded:    make(map[id.Worker]bool),
		waits:       newWaitTimes(),
		report:      Report{Checked: make(map[Invariant]int)},
	}
}

// MarkPartial tells the checker that the records before the first are missing, so
// that gangs which it does not know may hold workers.
func (c *Checker) MarkPartial() { c.partial = true }

// Check checks the records of one zone and returns what it found.
func Check(zone id.Zone, configs ConfigSource, records []decision.Record) Report {
	c := New(zone, configs)
	for _, r := range records {
		c.Add(r)
	}
	return c.Report()
}

// Add checks the next record.
func (c *Checker) Add(r decision.Record) {
	c.report.Records++
	c.checkOrder(r)
	c.startPass(r)
	set, ok := c.configs.At(r.Revision)
	if !ok {
		if c.configs.Discarded(r.Revision) {
			c.addUnchecked(Order, "the configuration at the revision is no longer kept")
		} else {
			c.addFinding(Order, r, "no configuration is known at revision %d", r.Revision)
		}
	}
	if r.Revision != c.revision {
		c.revision = r.Revision
		c.waits.configChanged = r.At
	}
	switch r.Rule {
	case decision.RuleStop:
		c.endGang(r)
	case decision.RuleWorkerExcluded, decision.RuleWorkerRecovered:
		c.updateExclusion(r, set)
	case decision.RuleNeverFits:
		c.checkNeverFits(r, set)
	case decision.RuleFree, decision.RuleBackfill, decision.RuleClaim, decision.RulePreempt:
		c.checkPlacement(r, set)
	default:
		c.checkWaiting(r, set)
	}
}

// Report returns the findings so far.
func (c *Checker) Report() Report {
	c.checkBypasses()
	return c.report
}

func (c *Checker) addFinding(p Invariant, r decision.Record, format string, args ...any) {
	c.report.Findings = append(c.report.Findings, Finding{
		Invariant: p, Index: c.report.Records - 1, Job: r.Job, Detail: fmt.Sprintf(format, args...),
	})
}

// countCheck counts a check of a promise.
func (c *Checker) countCheck(p Invariant) { c.report.Checked[p]++ }

// addUnchecked counts a record that can't be checked for a promise.
func (c *Checker) addUnchecked(p Invariant, reason string) {
	for i := range c.report.Unchecked {
		if u := &c.report.Unchecked[i]; u.Invariant == p && u.Reason == reason {
			u.Records++
			return
		}
	}
	c.report.Unchecked = append(c.report.Unchecked, Unchecked{Invariant: p, Reason: reason, Records: 1})
}

// The reasons for which a record is not checked.
const (
	reasonPartial = "records before the first one are no longer kept, so other gangs may hold workers"
	reasonOutage  = "workers were out of placement, and not all guaranteed shapes could be held without them"
)

func (c *Checker) checkOrder(r decision.Record) {
	c.countCheck(Order)
	switch {
	case r.Zone != c.zone:
		c.addFinding(Order, r, "the record is of zone %s, not %s", r.Zone, c.zone)
	case r.Epoch < c.epoch:
		c.addFinding(Order, r, "epoch %d follows epoch %d", r.Epoch, c.epoch)
	case r.Epoch == c.epoch && r.Version < c.version:
		c.addFinding(Order, r, "version %d follows version %d", r.Version, c.version)
	}
	c.epoch, c.version = r.Epoch, r.Version
}

// endGang ends the hold of a gang, or the wait of a job.
func (c *Checker) endGang(r decision.Record) {
	if h, ok := c.allocations[r.Job]; ok && h.claim != "" {
		c.waits.capacityChanged = r.At
	}
	c.waits.gangEnded[r.Job] = r.At
	c.release(r.Job)
	delete(c.stopping, r.Job)
	c.reservation.end(r.Job)
}

// updateExclusion takes a worker out of placement or in again.
func (c *Checker) updateExclusion(r decision.Record, set *record.Set) {
	for _, m := range r.Members {
		if _, ok := c.declaredWorker(set, m.Worker); !ok && set != nil {
			c.addFinding(InPlacement, r, "worker %s is not in the zone", m.Worker)
		}
		c.excluded[m.Worker] = r.Rule == decision.RuleWorkerExcluded
	}
	c.waits.capacityChanged = r.At
}

// checkPlacement checks a record that gives workers to a job.
func (c *Checker) checkPlacement(r decision.Record, set *record.Set) {
	c.countCheck(WholeGang)
	if _, ok := c.allocations[r.Job]; ok {
		c.addFinding(WholeGang, r, "the job holds workers already")
		return
	}
	claimedBefore := c.claimedResources()
	c.checkVictims(r)
	if set != nil {
		c.checkGang(r, set)
		if r.Spec.Claim != "" {
			c.checkClaimCovered(r, set)
		} else {
			c.checkQuota(r, set)
			c.recordStart(r, set)
		}
		c.checkUrgentWait(r)
	}
	c.reservation.end(r.Job)
	c.allocate(r)
	if r.Spec.Claim != "" {
		c.waits.capacityChanged = r.At
	}
	if set != nil {
		c.checkCapacity(r, set)
		c.checkReclaimable(r, set, claimedBefore)
	}
}

// checkVictims checks the gangs that were stopped for r, and releases them. A gang
// that is stopping for one claim can be named again by the next.
func (c *Checker) checkVictims(r decision.Record) {
	c.countCheck(Victims)
	if len(r.Victims) > 0 && r.Spec.Claim == "" {
		c.addFinding(Victims, r, "gangs were stopped for a job that claims nothing")
	}
	for _, v := range r.Victims {
		h, ok := c.allocations[v.Job]
		if !ok {
			h, ok = c.stopping[v.Job]
		}
		switch {
		case !ok && c.partial:
			c.addUnchecked(Victims, reasonPartial)
		case !ok:
			c.addFinding(Victims, r, "job %s was stopped and held nothing", v.Job)
		case h.claim != "":
			c.addFinding(Victims, r, "job %s was stopped and is a claim of %s", v.Job, h.account)
		case !sameMembers(h.members, v.Members):
			c.addFinding(Victims, r, "job %s was stopped on some of its workers only", v.Job)
		}
		if ok {
			c.stopping[v.Job] = h
		}
		c.release(v.Job)
	}
}

// checkGang checks that the members are the whole shape, near each other.
func (c *Checker) checkGang(r decision.Record, set *record.Set) {
	c.countCheck(InPlacement)
	shape := r.Spec.Shape
	if len(r.Members) != int(shape.Workers) {
		c.addFinding(WholeGang, r, "%d members for %d workers", len(r.Members), shape.Workers)
	}
	racks := make(map[id.Rack]bool)
	seen := make(map[id.Worker]bool)
	for _, m := range r.Members {
		w, ok := c.declaredWorker(set, m.Worker)
		if !ok {
			c.addFinding(WholeGang, r, "worker %s is not in the zone", m.Worker)
			continue
		}
		if seen[m.Worker] {
			c.addFinding(WholeGang, r, "worker %s is used twice", m.Worker)
		}
		if m.Resources != shape.PerWorker {
			c.addFinding(WholeGang, r, "worker %s gives %v, not %v", m.Worker, m.Resources, shape.PerWorker)
		}
		if c.excluded[m.Worker] {
			c.addFinding(InPlacement, r, "worker %s is out of placement", m.Worker)
		}
		seen[m.Worker] = true
		racks[w.Rack] = true
	}
	if shape.Locality == job.SameRack && len(racks) > 1 {
		c.addFinding(WholeGang, r, "the gang spans %d racks", len(racks))
	}
}

// checkClaimCovered checks that a claim uses a guarantee that is not used up.
func (c *Checker) checkClaimCovered(r decision.Record, set *record.Set) {
	c.countCheck(ClaimCovered)
	key := record.GuaranteeKey{Account: r.Spec.Account, Name: r.Spec.Claim}
	g, ok := set.Guarantees[key]
	if !ok {
		c.addFinding(ClaimCovered, r, "%s has no guaranteed shape %s", key.Account, key.Name)
		return
	}
	if n, copies := c.claimCount(key), c.configs.CopyCounts(r.Revision, c.zone)[key]; n >= copies {
		c.addFinding(ClaimCovered, r, "%d of %d of shape %s were claimed already", n, copies, key.Name)
	}
	if !withinGuarantee(r.Spec.Shape, g.Shape) {
		c.addFinding(ClaimCovered, r, "%v is more than the guaranteed %v", r.Spec.Shape, g.Shape)
	}
}

func (c *Checker) checkQuota(r decision.Record, set *record.Set) {
	c.countCheck(Quota)
	if sum, quota := c.accountUsage(r, set); quota > 0 && sum > quota {
		c.addFinding(Quota, r, "%s holds %d accelerators of a quota of %d", r.Spec.Account, sum, quota)
	}
}

// accountUsage returns what an account's opportunistic gangs hold together with
// the job of r, and its quota.
func (c *Checker) accountUsage(r decision.Record, set *record.Set) (sum, quota unit.Accelerators) {
	sum = r.Spec.Shape.Accelerators()
	for _, h := range c.allocations {
		if h.account == r.Spec.Account && h.claim == "" {
			sum += h.accelerators
		}
	}
	return sum, set.Accounts[r.Spec.Account].Quota
}

func (c *Checker) checkCapacity(r decision.Record, set *record.Set) {
	c.countCheck(Capacity)
	for _, m := range r.Members {
		if w, ok := c.declaredWorker(set, m.Worker); ok && !c.used[m.Worker].Fits(w.Resources) {
			c.addFinding(Capacity, r, "worker %s holds %v and has %v", m.Worker, c.used[m.Worker], w.Resources)
		}
	}
}

// checkNeverFits checks that the declared zone, empty, can't hold the job.
func (c *Checker) checkNeverFits(r decision.Record, set *record.Set) {
	c.reservation.end(r.Job)
	if set == nil || r.Spec.Zone != "" && r.Spec.Zone != c.zone {
		return
	}
	c.countCheck(NeverFits)
	if r.Spec.Claim != "" {
		key := record.GuaranteeKey{Account: r.Spec.Account, Name: r.Spec.Claim}
		if copies := c.configs.CopyCounts(r.Revision, c.zone)[key]; copies > 0 && withinGuarantee(r.Spec.Shape, set.Guarantees[key].Shape) {
			c.addFinding(NeverFits, r, "shape %s is guaranteed %d times in the zone", key.Name, copies)
		}
		return
	}
	quota := set.Accounts[r.Spec.Account].Quota
	if newFreeCapacity(set.Zones[c.zone], nil, nil).fitsGang(r.Spec.Shape) && (quota == 0 || r.Spec.Shape.Accelerators() <= quota) {
		c.addFinding(NeverFits, r, "%v fits the declared zone", r.Spec.Shape)
	}
}

func (c *Checker) allocate(r decision.Record) {
	delete(c.stopping, r.Job)
	c.allocations[r.Job] = allocation{
		account: r.Spec.Account, claim: r.Spec.Claim, members: r.Members, accelerators: r.Spec.Shape.Accelerators(),
	}
	for _, m := range r.Members {
		c.used[m.Worker] = c.used[m.Worker].Plus(m.Resources)
	}
}

func (c *Checker) release(j id.Job) {
	for _, m := range c.allocations[j].members {
		c.used[m.Worker] = c.used[m.Worker].Minus(m.Resources)
	}
	delete(c.allocations, j)
}

// claimCount returns how many copies of a guaranteed shape are in use.
func (c *Checker) claimCount(key record.GuaranteeKey) int {
	n := 0
	for _, h := range c.allocations {
		if h.account == key.Account && h.claim == key.Name {
			n++
		}
	}
	return n
}

func (c *Checker) declaredWorker(set *record.Set, name id.Worker) (record.Worker, bool) {
	if set == nil {
		return record.Worker{}, false
	}
	for _, w := range set.Zones[c.zone].Workers {
		if w.Name == name {
			return w, true
		}
	}
	return record.Worker{}, false
}

// withinGuarantee reports whether a claim asks for no more than its guarantee gives.
func withinGuarantee(requested, guaranteed job.Shape) bool {
	rank := map[job.Locality]int{job.SameZone: 0, job.SameRack: 1, job.SameWorker: 2}
	return requested.Workers <= guaranteed.Workers && requested.PerWorker.Fits(guaranteed.PerWorker) &&
		(requested.Workers == 1 || rank[requested.Locality] <= rank[guaranteed.Locality])
}

func sameMembers(a, b []job.Member) bool {
	if len(a) != len(b) {
		return false
	}
	inA := make(map[id.Worker]unit.Resources)
	for _, m := range a {
		inA[m.Worker] = m.Resources
	}
	for _, m := range b {
		if r, ok := inA[m.Worker]; !ok || r != m.Resources {
			return false
		}
	}
	return true
}
