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

// settle is how long events of a zone are collected before the next pass.
// Urgent claims don't wait for it.
const settle = 10 * time.Second

// sampleEvery is the time between samples of fragmentation.
const sampleEvery = 15 * time.Minute

type eventKind int

const (
	arrive eventKind = iota
	finish
	cancel
	lose
	restore
	decide
	sample
)

type event struct {
	at   time.Time
	seq  int // keeps events of one time in order
	kind eventKind
	zone int
	task int // or the fault
	run  int // attempt that finishes
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

// progress is what happened to a task so far.
type progress struct {
	left     time.Duration // run time that is left
	started  time.Time
	attempt  int
	running  bool
	done     bool
	standing placement.Reservation
	// older is the most older opportunistic jobs that waited with the task
	// after it was aged.
	older int
	// eligible is when a claim found its shape unclaimed.
	eligible time.Time
}

type zoneRun struct {
	state   *fleet.Zone
	policy  decider
	waiting []int // positions of tasks, by age
	pending bool  // a decide event is queued
}

// driver runs one trace under one policy.
type driver struct {
	trace    *trace
	tasks    []task // of the trace, with claims as they were submitted
	binding  *guarantee.Binding
	zones    []zoneRun
	zoneAt   map[id.Zone]int
	taskAt   map[id.Job]int
	progress []progress
	events   queue
	seq      int
	now      time.Time
	out      *outcome
	// checks verifies each state against the promises.
	checks bool
}

func newDriver(t *trace, policy string, checks bool) (*driver, error) {
	binding, err := bind(&t.deployment)
	if err != nil {
		return nil, err
	}
	d := &driver{trace: t, tasks: slices.Clone(t.tasks), binding: binding, zoneAt: make(map[id.Zone]int), taskAt: make(map[id.Job]int),
		progress: make([]progress, len(t.tasks)), out: newOutcome(t, policy), checks: checks}
	for i, z := range t.deployment.zones {
		state, err := fleet.New(fleet.Config{Zone: z})
		if err != nil {
			return nil, err
		}
		d.zoneAt[z.Name] = i
		d.zones = append(d.zones, zoneRun{state: state, policy: newDecider(policy, t, z, binding)})
	}
	for i, k := range t.tasks {
		d.taskAt[k.ID] = i
		d.progress[i].left = k.run
		z := d.zoneAt[k.Spec.Zone]
		d.push(event{at: k.Submitted, kind: arrive, zone: z, task: i})
		if k.cancelAt > 0 {
			d.push(event{at: k.Submitted.Add(k.cancelAt), kind: cancel, zone: z, task: i})
		}
	}
	for i, f := range t.faults {
		d.push(event{at: f.at, kind: lose, zone: f.zone, task: i})
		d.push(event{at: f.at.Add(f.length), kind: restore, zone: f.zone, task: i})
	}
	for at := t.horizon() / 10; at < t.horizon(); at += sampleEvery {
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

// run handles all events. It ends when every job has ended.
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
	case lose:
		d.lose(e)
	case restore:
		if err := d.zones[e.zone].state.SetExclusion(d.trace.faults[e.task].worker, fleet.NotExcluded); err != nil {
			return err
		}
		d.decideSoon(e.zone)
	case decide:
		return d.decide(e.zone)
	case sample:
		for z := range d.zones {
			d.out.addSample(d.free(z))
		}
	}
	return nil
}

func (d *driver) arrive(e event) error {
	k := &d.tasks[e.task]
	if _, fits := fleet.NearestShape([]record.Zone{d.trace.deployment.zones[e.zone]}, k.Spec.Shape); !fits {
		d.progress[e.task].done = true
		d.out.never++
		return nil
	}
	z := &d.zones[e.zone]
	if k.Spec.Claim != "" && d.unclaimed(e.zone, k.Spec) == 0 {
		// The account sees that all copies are claimed and asks for an
		// opportunistic job instead.
		k.Spec.Claim, k.Spec.Urgent = "", false
	}
	z.waiting = append(z.waiting, e.task)
	if k.Spec.Urgent {
		return d.decide(e.zone)
	}
	d.decideSoon(e.zone)
	return nil
}

// unclaimed returns the copies of a claim's shape that neither a running nor a
// waiting claim uses.
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

func (d *driver) decideSoon(zone int) {
	if z := &d.zones[zone]; !z.pending {
		z.pending = true
		d.push(event{at: d.now.Add(settle), kind: decide, zone: zone})
	}
}

func (d *driver) finish(e event) {
	p := &d.progress[e.task]
	if !p.running || p.attempt != e.run {
		return // stopped before its end
	}
	d.release(e.zone, e.task)
	p.done = true
	d.out.addFinished(&d.tasks[e.task], p, d.now)
	d.decideSoon(e.zone)
}

func (d *driver) cancel(e event) {
	p := &d.progress[e.task]
	if p.done {
		return
	}
	if p.running {
		d.release(e.zone, e.task)
		d.decideSoon(e.zone)
	}
	p.done = true
	d.out.cancelled++
}

func (d *driver) lose(e event) {
	z := &d.zones[e.zone]
	name := d.trace.faults[e.task].worker
	if err := z.state.SetExclusion(name, fleet.Lost); err != nil {
		return
	}
	view := z.state.View()
	at, _ := view.Position(name)
	for _, h := range view.Worker(at).Allocations {
		d.stop(e.zone, d.taskAt[h.Gang.Job])
	}
	d.decideSoon(e.zone)
}

// stop ends a run early and queues the task again. Work since the last
// checkpoint is lost; the loss is returned in accelerator-seconds.
func (d *driver) stop(zone, task int) float64 {
	k, p := &d.tasks[task], &d.progress[task]
	ran := d.now.Sub(p.started)
	kept := time.Duration(0)
	if every := k.Spec.CheckpointEvery; every > 0 {
		kept = ran.Truncate(every)
	}
	p.left -= kept
	d.release(zone, task)
	d.insert(zone, task)
	return (ran - kept).Seconds() * float64(k.Spec.Shape.Accelerators())
}

func (d *driver) release(zone, task int) {
	d.zones[zone].state.Release(d.tasks[task].ID)
	d.progress[task].running = false
}

// insert queues a task again in order of age.
func (d *driver) insert(zone, task int) {
	z := &d.zones[zone]
	at := len(z.waiting)
	for at > 0 && z.waiting[at-1] > task { // tasks are numbered by age
		at--
	}
	z.waiting = append(z.waiting, 0)
	copy(z.waiting[at+1:], z.waiting[at:])
	z.waiting[at] = task
}

// queued returns the waiting tasks of a zone without those that were cancelled.
func (d *driver) queued(zone int) []placement.WaitingJob {
	z := &d.zones[zone]
	kept := z.waiting[:0]
	waiting := make([]placement.WaitingJob, 0, len(z.waiting))
	for _, i := range z.waiting {
		if p := &d.progress[i]; !p.done {
			kept = append(kept, i)
			j := d.tasks[i].Job
			j.Attempt = p.attempt
			waiting = append(waiting, placement.WaitingJob{Job: j, Reservation: p.standing})
		}
	}
	z.waiting = kept
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
	d.noteClaims(view, waiting)
	d.noteAged(waiting)
	began := time.Now()
	res := z.policy.Pass(placement.State{View: view, Now: d.now}, waiting)
	d.out.addDecision(time.Since(began), len(waiting))
	for _, w := range waiting {
		d.progress[d.taskAt[w.Job.ID]].standing = res.Reservations[w.Job.ID]
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
		return d.check(zone)
	}
	return nil
}

func (d *driver) apply(zone int, r *decision.Record) error {
	if r.Rule == decision.RuleNeverFits {
		return problem.New(problem.Internal, problem.Detail{Field: "job", Value: string(r.Job), Remedy: "refused by the policy: " + r.Reason})
	}
	if len(r.Members) == 0 {
		return nil
	}
	var grace time.Duration
	for _, v := range r.Victims {
		task := d.taskAt[v.Job]
		if !d.progress[task].running {
			continue // another claim of this pass stopped it
		}
		d.out.evicted++
		d.out.lostWork += d.stop(zone, task)
		grace = d.trace.deployment.policy.CheckpointGrace
		d.decideSoon(zone)
	}
	i := d.taskAt[r.Job]
	p := &d.progress[i]
	if err := d.zones[zone].state.Reserve(fleet.NewGang(r.Job, r.Spec, r.Members, d.now)); err != nil {
		return fmt.Errorf("%s at %s: %w", r.Job, d.now, err)
	}
	p.running, p.started = true, d.now
	p.attempt++
	d.out.addStart(&d.tasks[i], p, d.now.Add(grace))
	d.out.addWait(&d.tasks[i], p, d.now.Add(grace))
	d.push(event{at: d.now.Add(grace + p.left), kind: finish, zone: zone, task: i, run: p.attempt})
	return nil
}

// noteAged counts the older opportunistic jobs that wait with each aged one.
func (d *driver) noteAged(waiting []placement.WaitingJob) {
	older := 0
	for _, w := range waiting { // by age
		if w.Job.Spec.Claim != "" {
			continue
		}
		if d.now.Sub(w.Job.Submitted) < placement.AgedAfter {
			return
		}
		p := &d.progress[d.taskAt[w.Job.ID]]
		p.older = max(p.older, older)
		older++
	}
}

// noteClaims sets since when each waiting claim finds its shape unclaimed.
func (d *driver) noteClaims(view *fleet.View, waiting []placement.WaitingJob) {
	left := make(map[record.GuaranteeKey]int)
	for _, c := range d.binding.Copies {
		if c.Zone == view.Zone {
			left[c.Key]++
		}
	}
	for _, g := range view.Claims() {
		left[record.GuaranteeKey{Account: g.Account, Name: g.Claim}]--
	}
	for _, w := range waiting {
		key := record.GuaranteeKey{Account: w.Job.Spec.Account, Name: w.Job.Spec.Claim}
		if p := &d.progress[d.taskAt[w.Job.ID]]; key.Name != "" && left[key] > 0 {
			left[key]--
			if p.eligible.IsZero() {
				p.eligible = d.now
			}
		}
	}
}

func (d *driver) free(zone int) (view *fleet.View, largest job.Shape) {
	for _, w := range d.queued(zone) {
		if s := w.Job.Spec.Shape; s.Workers > 1 && s.Accelerators() > largest.Accelerators() {
			largest = s
		}
	}
	return d.zones[zone].state.View(), largest
}
