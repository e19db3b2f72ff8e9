// Package audit checks decision records after the fact. It verifies each
// invariant from the records and the configuration alone. It shares no code
// with the planner, so that a fault in the planner can't also hide the
// violations that it causes.
package audit

import (
	"fmt"

	"bronzewinch.dev/lib/decision"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/unit"
)

// Invariant names a property that the decision records must satisfy.
type Invariant string

// The invariants that records are checked against.
const (
	// Capacity: the resources allocated on a worker never exceed its capacity.
	Capacity Invariant = "capacity"
	// WholeGang: a placed gang has all its members, within its locality.
	WholeGang Invariant = "wholeGang"
	// Reclaimable: all unclaimed guaranteed shapes could be placed by preempting
	// only opportunistic gangs.
	Reclaimable Invariant = "reclaimable"
	// ClaimStarts: a claim within its guarantee never waits.
	ClaimStarts Invariant = "claimStarts"
	// ClaimCovered: a claim uses no more than its account's guarantee.
	ClaimCovered Invariant = "claimCovered"
	// Victims: only whole opportunistic gangs are preempted, and only for claims.
	Victims Invariant = "victims"
	// Quota: opportunistic gangs stay within their account's quota.
	Quota Invariant = "quota"
	// NeverFits: a job that was rejected permanently does not fit the declared
	// zone.
	NeverFits Invariant = "never"
	// Order: epochs, and versions within an epoch, never decrease.
	Order Invariant = "order"
	// InPlacement: no gang is placed on a worker that is excluded from placement.
	InPlacement Invariant = "inPlacement"
	// NoNeedlessWait: no opportunistic job waits for capacity or quota that is
	// available.
	NoNeedlessWait Invariant = "room"
	// Bypass: at most Policy.MaxBypass later jobs start on the workers that are
	// reserved for the oldest job that can't start.
	Bypass Invariant = "bypass"
	// Urgent: an urgent claim is placed within MaxUrgentWait.
	Urgent Invariant = "urgent"
)

// Finding is the violation of an invariant by a record.
type Finding struct {
	Invariant Invariant `json:"promise"`
	// Index is the position of the record among the checked records.
	Index  int    `json:"index"`
	Job    id.Job `json:"job"`
	Detail string `json:"detail"`
}

// Unchecked counts the records that could not be checked for an invariant, by
// reason.
type Unchecked struct {
	Invariant Invariant `json:"promise"`
	Reason    string    `json:"reason"`
	Records   int       `json:"records"`
}

// Report is the result of an audit.
type Report struct {
	Records  int       `json:"records"`
	Findings []Finding `json:"findings"`
	// Checked counts the checks of each invariant.
	Checked map[Invariant]int `json:"checked"`
	// Unchecked lists what could not be checked, in order of first occurrence.
	Unchecked []Unchecked `json:"unchecked,omitempty"`
	// Undecided counts the records after which the search for a placement of
	// all unclaimed shapes reached its step limit without a result.
	Undecided int `json:"undecided"`
}

// ConfigSource provides the configuration that was in force at a revision.
type ConfigSource interface {
	At(revision id.Revision) (*record.Set, bool)
	// Discarded reports whether the revision was in force and its configuration
	// is no longer stored.
	Discarded(revision id.Revision) bool
	// CopyCounts returns how many copies of each guaranteed shape are bound to
	// cells in a zone.
	CopyCounts(revision id.Revision, zone id.Zone) map[record.GuaranteeKey]int
}

// allocation is the resources that a gang has on its workers.
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
	// stopping holds the victims whose end is not recorded yet. Until then they may
	// still occupy their resources, and only claims can be placed on those.
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

// New returns a checker for one zone. Initially no resources are allocated.
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

// MarkPartial marks the log as incomplete: records before the first are
// missing, so gangs unknown to the checker may occupy workers.
func (c *Checker) MarkPartial() { c.partial = true }

// Check checks all records of one zone.
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

func (c *Checker) addFinding(invariant Invariant, r decision.Record, format string, args ...any) {
	c.report.Findings = append(c.report.Findings, Finding{
		Invariant: invariant, Index: c.report.Records - 1, Job: r.Job, Detail: fmt.Sprintf(format, args...),
	})
}

// countCheck counts a check of an invariant.
func (c *Checker) countCheck(invariant Invariant) { c.report.Checked[invariant]++ }

// addUnchecked counts a record that can't be checked for an invariant.
func (c *Checker) addUnchecked(invariant Invariant, reason string) {
	for i := range c.report.Unchecked {
		if u := &c.report.Unchecked[i]; u.Invariant == invariant && u.Reason == reason {
			u.Records++
			return
		}
	}
	c.report.Unchecked = append(c.report.Unchecked, Unchecked{Invariant: invariant, Reason: reason, Records: 1})
}

// Reasons why a record is not checked.
const (
	reasonPartial = "records before the first one are no longer kept, so unknown gangs may occupy workers"
	reasonOutage  = "workers were excluded from placement, and not all guaranteed shapes fit without them"
)

func (c *Checker) checkOrder(r decision.Record) {
	c.countCheck(Order)
	switch {
	case r.Zone != c.zone:
		c.addFinding(Order, r, "the record belongs to zone %s, not %s", r.Zone, c.zone)
	case r.Epoch < c.epoch:
		c.addFinding(Order, r, "epoch %d follows epoch %d", r.Epoch, c.epoch)
	case r.Epoch == c.epoch && r.Version < c.version:
		c.addFinding(Order, r, "version %d follows version %d", r.Version, c.version)
	}
	c.epoch, c.version = r.Epoch, r.Version
}

// endGang releases the resources of a gang, or ends the wait of a job.
func (c *Checker) endGang(r decision.Record) {
	if alloc, ok := c.allocations[r.Job]; ok && alloc.claim != "" {
		c.waits.capacityChanged = r.At
	}
	c.waits.gangEnded[r.Job] = r.At
	c.release(r.Job)
	delete(c.stopping, r.Job)
	c.reservation.end(r.Job)
}

// updateExclusion excludes workers from placement or includes them again.
func (c *Checker) updateExclusion(r decision.Record, set *record.Set) {
	for _, m := range r.Members {
		if _, ok := c.declaredWorker(set, m.Worker); !ok && set != nil {
			c.addFinding(InPlacement, r, "worker %s is not in the zone", m.Worker)
		}
		c.excluded[m.Worker] = r.Rule == decision.RuleWorkerExcluded
	}
	c.waits.capacityChanged = r.At
}

// checkPlacement checks a record that places a job on workers.
func (c *Checker) checkPlacement(r decision.Record, set *record.Set) {
	c.countCheck(WholeGang)
	if _, ok := c.allocations[r.Job]; ok {
		c.addFinding(WholeGang, r, "the job is already placed on workers")
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

// checkVictims checks the gangs that were preempted for r, and releases their
// resources. A gang that is still stopping for one claim may also be a victim of
// the next.
func (c *Checker) checkVictims(r decision.Record) {
	c.countCheck(Victims)
	if len(r.Victims) > 0 && r.Spec.Claim == "" {
		c.addFinding(Victims, r, "%d gangs were preempted for a job that is not a claim", len(r.Victims))
	}
	for _, v := range r.Victims {
		alloc, ok := c.allocations[v.Job]
		if !ok {
			alloc, ok = c.stopping[v.Job]
		}
		switch {
		case !ok && c.partial:
			c.addUnchecked(Victims, reasonPartial)
		case !ok:
			c.addFinding(Victims, r, "job %s was preempted but had no resources allocated", v.Job)
		case alloc.claim != "":
			c.addFinding(Victims, r, "job %s was preempted but is a claim of account %s", v.Job, alloc.account)
		case !sameMembers(alloc.members, v.Members):
			c.addFinding(Victims, r, "job %s was preempted on only some of its workers", v.Job)
		}
		if ok {
			c.stopping[v.Job] = alloc
		}
		c.release(v.Job)
	}
}

// checkGang checks that the members match the shape, including its locality.
func (c *Checker) checkGang(r decision.Record, set *record.Set) {
	c.countCheck(InPlacement)
	shape := r.Spec.Shape
	if len(r.Members) != int(shape.Workers) {
		c.addFinding(WholeGang, r, "the gang has %d members; its shape has %d workers", len(r.Members), shape.Workers)
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
			c.addFinding(WholeGang, r, "worker %s is in the gang twice", m.Worker)
		}
		if m.Resources != shape.PerWorker {
			c.addFinding(WholeGang, r, "worker %s allocates %v instead of %v", m.Worker, m.Resources, shape.PerWorker)
		}
		if c.excluded[m.Worker] {
			c.addFinding(InPlacement, r, "worker %s is excluded from placement", m.Worker)
		}
		seen[m.Worker] = true
		racks[w.Rack] = true
	}
	if shape.Locality == job.SameRack && len(racks) > 1 {
		c.addFinding(WholeGang, r, "the gang spans %d racks instead of one", len(racks))
	}
}

// checkClaimCovered checks that a claim matches a guarantee with an unclaimed
// copy.
func (c *Checker) checkClaimCovered(r decision.Record, set *record.Set) {
	c.countCheck(ClaimCovered)
	key := record.GuaranteeKey{Account: r.Spec.Account, Name: r.Spec.Claim}
	g, ok := set.Guarantees[key]
	if !ok {
		c.addFinding(ClaimCovered, r, "account %s has no guaranteed shape %s", key.Account, key.Name)
		return
	}
	if n, copies := c.claimCount(key), c.configs.CopyCounts(r.Revision, c.zone)[key]; n >= copies {
		c.addFinding(ClaimCovered, r, "%d of %d copies of shape %s were already claimed", n, copies, key.Name)
	}
	if !withinGuarantee(r.Spec.Shape, g.Shape) {
		c.addFinding(ClaimCovered, r, "the claim's shape %v exceeds the guaranteed shape %v", r.Spec.Shape, g.Shape)
	}
}

func (c *Checker) checkQuota(r decision.Record, set *record.Set) {
	c.countCheck(Quota)
	if sum, quota := c.accountUsage(r, set); quota > 0 && sum > quota {
		c.addFinding(Quota, r, "account %s uses %d accelerators; its quota is %d", r.Spec.Account, sum, quota)
	}
}

// accountUsage returns the accelerators of the account's opportunistic gangs and
// the job of r together, and the account's quota.
func (c *Checker) accountUsage(r decision.Record, set *record.Set) (sum, quota unit.Accelerators) {
	sum = r.Spec.Shape.Accelerators()
	for _, alloc := range c.allocations {
		if alloc.account == r.Spec.Account && alloc.claim == "" {
			sum += alloc.accelerators
		}
	}
	return sum, set.Accounts[r.Spec.Account].Quota
}

func (c *Checker) checkCapacity(r decision.Record, set *record.Set) {
	c.countCheck(Capacity)
	for _, m := range r.Members {
		if w, ok := c.declaredWorker(set, m.Worker); ok && !c.used[m.Worker].Fits(w.Resources) {
			c.addFinding(Capacity, r, "worker %s has %v allocated of a capacity of %v", m.Worker, c.used[m.Worker], w.Resources)
		}
	}
}

// checkNeverFits checks that the job does not fit the declared zone, even if the
// zone is empty.
func (c *Checker) checkNeverFits(r decision.Record, set *record.Set) {
	c.reservation.end(r.Job)
	if set == nil || r.Spec.Zone != "" && r.Spec.Zone != c.zone {
		return
	}
	c.countCheck(NeverFits)
	if r.Spec.Claim != "" {
		key := record.GuaranteeKey{Account: r.Spec.Account, Name: r.Spec.Claim}
		if copies := c.configs.CopyCounts(r.Revision, c.zone)[key]; copies > 0 && withinGuarantee(r.Spec.Shape, set.Guarantees[key].Shape) {
			c.addFinding(NeverFits, r, "the job was rejected permanently, but shape %s has %d guaranteed copies in the zone", key.Name, copies)
		}
		return
	}
	quota := set.Accounts[r.Spec.Account].Quota
	if newFreeCapacity(set.Zones[c.zone], nil, nil).fitsGang(r.Spec.Shape) && (quota == 0 || r.Spec.Shape.Accelerators() <= quota) {
		c.addFinding(NeverFits, r, "the job was rejected permanently, but %v fits the declared zone", r.Spec.Shape)
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

// claimCount returns how many copies of a guaranteed shape are claimed.
func (c *Checker) claimCount(key record.GuaranteeKey) int {
	n := 0
	for _, alloc := range c.allocations {
		if alloc.account == key.Account && alloc.claim == key.Name {
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

// withinGuarantee reports whether a requested shape fits the guaranteed one.
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
