package placementbench

import (
	"container/heap"
	"fmt"
	"slices"
	"time"

	"bronzewinch.dev/lib/decision"
	"bronzewinch.dev/lib/fleet"
	"bronzewinch.dev/lib/guarantee"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/placement"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/record"
)

// decisionDelay is the time for which events of a zone are batched before the
// next pass. An urgent claim triggers a pass at once.
const decisionDelay = 10 * time.Second

// sampleInterval is the time between samples of fragmentation.
const sampleInterval = 15 * time.Minute

type eventKind int

const (
	arrive eventKind = iota
	finish
	cancel
	workerFails
	workerRecovers
	decide
	sample
)

type event struct {
	at      time.Time
	seq     int // orders events of the same time
	kind    eventKind
	zone    int
	index   int // of the job in driver.jobs, or of the fault in trace.faults
	attempt int // the attempt that finishes
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// progress is the state of one job during the run.
type progress struct {
	remaining   time.Duration // run time that remains
	started     time.Time
	attempt     int
	running     bool
	done        bool
	reservation placement.Reservation
	// olderJobs is the maximum number of older opportunistic jobs that waited
	// together with this job in a pass after it was aged.
	olderJobs int
	// eligibleAt is when a copy of the claim's shape was first unclaimed.
	eligibleAt time.Time
}

// zoneRun is the state of one zone.
type zoneRun struct {
	state   *fleet.Zone
	policy  decider
	waiting []int // indexes in driver.jobs, oldest first
	pending bool  // a decide event is in the event queue
}

// driver replays one trace under one policy.
type driver struct {
	trace    *trace
	jobs     []tracedJob // copied from the trace; a claim may become opportunistic on arrival
	binding  *guarantee.Binding
	zones    []zoneRun
	zoneAt   map[id.Zone]int
	jobIndex map[id.Job]int
	progress []progress
	events   queue
	seq      int
	now      time.Time
	out      *outcome
	// checks enables the verification of the state after each pass.
	checks bool
}

func newDriver(t *trace, policy string, checks bool) (*driver, error) {
	binding, err := bind(&t.deployment)
	if err != nil {
		return nil, err
	}
	d := &driver{trace: t, jobs: slices.Clone(t.jobs), binding: binding, zoneAt: make(map[id.Zone]int), jobIndex: make(map[id.Job]int),
		progress: make([]progress, len(t.jobs)), out: newOutcome(t, policy), checks: checks}
	for i, z := range t.deployment.zones {
		state, err := fleet.New(fleet.Config{Zone: z})
		if err != nil {
			return nil, err
		}
		d.zoneAt[z.Name] = i
		d.zones = append(d.zones, zoneRun{state: state, policy: newDecider(policy, t, z, binding)})
	}
	for i, j := range t.jobs {
		d.jobIndex[j.ID] = i
		d.progress[i].remaining = j.run
		z := d.zoneAt[j.Spec.Zone]
		d.push(event{at: j.Submitted, kind: arrive, zone: z, index: i})
		if j.cancelAt > 0 {
			d.push(event{at: j.Submitted.Add(j.cancelAt), kind: cancel, zone: z, index: i})
		}
	}
	for i, f := range t.faults {
		d.push(event{at: f.at, kind: workerFails, zone: f.zone, index: i})
		d.push(event{at: f.at.Add(f.duration), kind: workerRecovers, zone: f.zone, index: i})
	}
	for at := t.horizon() / 10; at < t.horizon(); at += sampleInterval {
		d.push(event{at: start.Add(at), kind: sample})
	}
	return d, nil
}

func bind(d *deployment) (*guarantee.Binding, error) {
	return guarantee.Bind(guarantee.Config{Zones: d.zones, Guarantees: d.guarantees, GuardRackLoss: d.policy.GuardRackLoss})
}

// The policies that are compared.
const (
	policyPlanner = "bronzewinch"
	policyFIFO    = "first-fit-fifo"
	policyEASY    = "best-fit-easy"
)

func newDecider(policy string, t *trace, z record.Zone, b *guarantee.Binding) decider {
	switch policy {
	case policyFIFO:
		return &baseline{accounts: t.deployment.accounts}
	case policyEASY:
		return &baseline{accounts: t.deployment.accounts, easy: true, bestFit: true}
	}
	return placement.New(placement.Config{Zone: z, Accounts: t.deployment.accounts, Binding: b, Policy: t.deployment.policy})
}

func (d *driver) push(e event) {
	e.seq = d.seq
	d.seq++
	heap.Push(&d.events, e)
}

// run handles events until none is left, and counts the jobs that have not
// ended by then.
func (d *driver) run() error {
	for len(d.events) > 0 {
		e := heap.Pop(&d.events).(event)
		d.now = e.at
		if err := d.handle(e); err != nil {
			return err
		}
	}
	for i := range d.progress {
		if !d.progress[i].done {
			d.out.unfinished++
		}
	}
	return nil
}

func (d *driver) handle(e event) error {
	switch e.kind {
	case arrive:
		return d.arrive(e)
	case finish:
		d.finish(e)
	case cancel:
		d.cancel(e)
	case workerFails:
		d.failWorker(e)
	case workerRecovers:
		if err := d.zones[e.zone].state.SetExclusion(d.trace.faults[e.index].worker, fleet.NotExcluded); err != nil {
			return err
		}
		d.scheduleDecision(e.zone)
	case decide:
		return d.decide(e.zone)
	case sample:
		for z := range d.zones {
			d.out.addSample(d.viewAndLargestGang(z))
		}
	}
	return nil
}

func (d *driver) arrive(e event) error {
	j := &d.jobs[e.index]
	if _, fits := fleet.NearestShape([]record.Zone{d.trace.deployment.zones[e.zone]}, j.Spec.Shape); !fits {
		d.progress[e.index].done = true
		d.out.neverFits++
		return nil
	}
	z := &d.zones[e.zone]
	if j.Spec.Claim != "" && d.unclaimed(e.zone, j.Spec) == 0 {
		// All copies are claimed, so the account submits an opportunistic job
		// instead.
		j.Spec.Claim, j.Spec.Urgent = "", false
	}
	z.waiting = append(z.waiting, e.index)
	if j.Spec.Urgent {
		return d.decide(e.zone)
	}
	d.scheduleDecision(e.zone)
	return nil
}

// unclaimed returns the number of copies of a claim's shape that neither a
// running nor a waiting claim uses.
func (d *driver) unclaimed(zone int, spec job.Spec) int {
	view := d.zones[zone].state.View()
	n := 0
	for _, c := range d.binding.Copies {
		if c.Zone == view.Zone && c.Key == (record.GuaranteeKey{Account: spec.Account, Name: spec.Claim}) {
			n++
		}
	}
	for _, g := range view.Claims() {
		if g.Account == spec.Account && g.Claim == spec.Claim {
			n--
		}
	}
	for _, w := range d.queued(zone) {
		if w.Job.Spec.Account == spec.Account && w.Job.Spec.Claim == spec.Claim {
			n--
		}
	}
	return max(0, n)
}

// scheduleDecision schedules a pass after decisionDelay unless one is pending.
func (d *driver) scheduleDecision(zone int) {
	if z := &d.zones[zone]; !z.pending {
		z.pending = true
		d.push(event{at: d.now.Add(decisionDelay), kind: decide, zone: zone})
	}
}

func (d *driver) finish(e event) {
	p := &d.progress[e.index]
	if !p.running || p.attempt != e.attempt {
		return // this attempt was stopped early
	}
	d.release(e.zone, e.index)
	p.done = true
	d.out.addFinished(&d.jobs[e.index], p, d.now)
	d.scheduleDecision(e.zone)
}

func (d *driver) cancel(e event) {
	p := &d.progress[e.index]
	if p.done {
		return
	}
	if p.running {
		d.release(e.zone, e.index)
		d.scheduleDecision(e.zone)
	}
	p.done = true
	d.out.cancelled++
}

// failWorker excludes a worker and stops its gangs.
func (d *driver) failWorker(e event) {
	z := &d.zones[e.zone]
	name := d.trace.faults[e.index].worker
	if err := z.state.SetExclusion(name, fleet.Lost); err != nil {
		return
	}
	view := z.state.View()
	at, _ := view.Position(name)
	for _, allocation := range view.Worker(at).Allocations {
		d.stop(e.zone, d.jobIndex[allocation.Gang.Job])
	}
	d.scheduleDecision(e.zone)
}

// stop ends a run early and queues the job again. It returns the work lost since
// the last checkpoint, in accelerator-seconds.
func (d *driver) stop(zone, index int) float64 {
	j, p := &d.jobs[index], &d.progress[index]
	ran := d.now.Sub(p.started)
	checkpointed := time.Duration(0)
	if every := j.Spec.CheckpointEvery; every > 0 {
		checkpointed = ran.Truncate(every)
	}
	p.remaining -= checkpointed
	d.release(zone, index)
	d.insert(zone, index)
	return (ran - checkpointed).Seconds() * float64(j.Spec.Shape.Accelerators())
}

func (d *driver) release(zone, index int) {
	d.zones[zone].state.Release(d.jobs[index].ID)
	d.progress[index].running = false
}

// insert queues a job again in order of age.
func (d *driver) insert(zone, index int) {
	z := &d.zones[zone]
	at := len(z.waiting)
	for at > 0 && z.waiting[at-1] > index { // jobs are indexed by submission time
		at--
	}
	z.waiting = append(z.waiting, 0)
	copy(z.waiting[at+1:], z.waiting[at:])
	z.waiting[at] = index
}

// queued returns the waiting jobs of a zone and removes those that have been
// cancelled from its queue.
func (d *driver) queued(zone int) []placement.WaitingJob {
	z := &d.zones[zone]
	stillWaiting := z.waiting[:0]
	waiting := make([]placement.WaitingJob, 0, len(z.waiting))
	for _, i := range z.waiting {
		if p := &d.progress[i]; !p.done {
			stillWaiting = append(stillWaiting, i)
			j := d.jobs[i].Job
			j.Attempt = p.attempt
			waiting = append(waiting, placement.WaitingJob{Job: j, Reservation: p.reservation})
		}
	}
	z.waiting = stillWaiting
	return waiting
}

func (d *driver) decide(zone int) error {
	z := &d.zones[zone]
	z.pending = false
	waiting := d.queued(zone)
	if len(waiting) == 0 {
		return nil
	}
	view := z.state.View()
	d.recordEligibleClaims(view, waiting)
	d.recordAgedJobs(waiting)
	began := time.Now()
	res := z.policy.Pass(placement.State{View: view, Now: d.now}, waiting)
	d.out.addPass(time.Since(began), len(waiting))
	for _, w := range waiting {
		d.progress[d.jobIndex[w.Job.ID]].reservation = res.Reservations[w.Job.ID]
	}
	for i := range res.Records {
		if err := d.apply(zone, &res.Records[i]); err != nil {
			return err
		}
	}
	kept := z.waiting[:0]
	for _, i := range z.waiting {
		if p := &d.progress[i]; !p.running && !p.done {
			kept = append(kept, i)
		}
	}
	z.waiting = kept
	if d.checks {
		return d.checkState(zone)
	}
	return nil
}

func (d *driver) apply(zone int, r *decision.Record) error {
	if r.Rule == decision.RuleNeverFits {
		return problem.New(problem.Internal, problem.Detail{Field: "job", Value: string(r.Job), Remedy: "rejected by the policy: " + r.Reason})
	}
	if len(r.Members) == 0 {
		return nil
	}
	var grace time.Duration
	for _, v := range r.Victims {
		victim := d.jobIndex[v.Job]
		if !d.progress[victim].running {
			continue // already preempted by another claim of this pass
		}
		d.out.evicted++
		d.out.lostWork += d.stop(zone, victim)
		grace = d.trace.deployment.policy.CheckpointGrace
		d.scheduleDecision(zone)
	}
	i := d.jobIndex[r.Job]
	p := &d.progress[i]
	if err := d.zones[zone].state.Reserve(fleet.NewGang(r.Job, r.Spec, r.Members, d.now)); err != nil {
		return fmt.Errorf("%s at %s: %w", r.Job, d.now, err)
	}
	p.running, p.started = true, d.now
	p.attempt++
	d.out.addStart(&d.jobs[i], p, d.now.Add(grace))
	d.out.addWait(&d.jobs[i], p, d.now.Add(grace))
	d.push(event{at: d.now.Add(grace + p.remaining), kind: finish, zone: zone, index: i, attempt: p.attempt})
	return nil
}

// recordAgedJobs updates the number of older opportunistic jobs that wait with each
// aged one.
func (d *driver) recordAgedJobs(waiting []placement.WaitingJob) {
	older := 0
	for _, w := range waiting { // oldest first
		if w.Job.Spec.Claim != "" {
			continue
		}
		if d.now.Sub(w.Job.Submitted) < placement.AgedAfter {
			return
		}
		p := &d.progress[d.jobIndex[w.Job.ID]]
		p.olderJobs = max(p.olderJobs, older)
		older++
	}
}

// recordEligibleClaims sets the time since which a copy of the shape has been
// unclaimed for each waiting claim.
func (d *driver) recordEligibleClaims(view *fleet.View, waiting []placement.WaitingJob) {
	unclaimed := make(map[record.GuaranteeKey]int)
	for _, c := range d.binding.Copies {
		if c.Zone == view.Zone {
			unclaimed[c.Key]++
		}
	}
	for _, g := range view.Claims() {
		unclaimed[record.GuaranteeKey{Account: g.Account, Name: g.Claim}]--
	}
	for _, w := range waiting {
		key := record.GuaranteeKey{Account: w.Job.Spec.Account, Name: w.Job.Spec.Claim}
		if p := &d.progress[d.jobIndex[w.Job.ID]]; key.Name != "" && unclaimed[key] > 0 {
			unclaimed[key]--
			if p.eligibleAt.IsZero() {
				p.eligibleAt = d.now
			}
		}
	}
}

// viewAndLargestGang returns the view of a zone, and the shape of the largest
// waiting gang of several workers.
func (d *driver) viewAndLargestGang(zone int) (view *fleet.View, largest job.Shape) {
	for _, w := range d.queued(zone) {
		if s := w.Job.Spec.Shape; s.Workers > 1 && s.Accelerators() > largest.Accelerators() {
			largest = s
		}
	}
	return d.zones[zone].state.View(), largest
}
