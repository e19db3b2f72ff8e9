// Package planner is the state of the jobs and workers of a deployment on the
// node that owns it, and the decisions taken on that state: what starts where,
// what is stopped, and when a job is over. It makes no calls: events go in,
// and the records to store and the orders to send come out.
package planner

import (
	"maps"
	"slices"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/task"
	"bronzewinch.dev/lib/unit"
)

// Config holds the bounds of the deployment. Zero values take no default: the
// platform's settings give all of them.
type Config struct {
	// MaxLease is the longest lease that a worker grants to its runs.
	MaxLease time.Duration
	// RemoteFactor is how much longer a task runs away from its rack.
	RemoteFactor float64
	// Retention is how long an ended job stays known.
	Retention time.Duration
	// MaxGuaranteedWait bounds the time from the acceptance of a guaranteed job to its start.
	MaxGuaranteedWait time.Duration
	// MaxStopTime is the longest time that a worker takes to stop a run.
	MaxStopTime time.Duration
	// UpkeepTime is how long a VM is down for its upkeep.
	UpkeepTime time.Duration
	// HandoverPause is the pause that the platform wants between orders of two owners
	// for one VM.
	HandoverPause time.Duration
	// RestoreTime is the time that a start from a checkpoint takes beforehand.
	RestoreTime time.Duration
}

const (
	// clockError is the most by which a worker's clock is slow, from the
	// platform's contract.
	clockError = 0.02
	// lapseSlack covers the time between a lease's end and the end of its runs.
	lapseSlack = 200 * time.Millisecond
)

// LeaseExpiry returns the time after which a lease granted at sent has surely ended.
func (c Config) LeaseExpiry(sent time.Time) time.Time {
	return sent.Add(time.Duration(float64(c.MaxLease)*(1+clockError)) + lapseSlack)
}

// Rules is the part of the operators' configuration that placement follows.
type Rules struct {
	Queues     map[task.QueueName]task.Queue
	Guaranteed map[id.Account]unit.Accelerators
}

// OrderKind is what a worker is told to do.
type OrderKind string

// The kinds of orders.
const (
	Start OrderKind = "start"
	Stop  OrderKind = "stop"
	// Pace sets the share of its speed at which a run works.
	Pace OrderKind = "pace"
)

// Order is one instruction to a worker. It is sent only after the records of
// the same Changes are stored.
type Order struct {
	Kind        OrderKind
	Worker      id.Worker
	Incarnation task.Incarnation
	Task        task.Name
	Run         task.RunNumber
	Spec        string
	Checkpoint  task.Checkpoint
	// Ticket is the advice service's, for queues with advice.
	Ticket string
	// Pace is the new pace, for orders of that kind.
	Pace   task.Percent
	Issued time.Time
}

// Decision is one decision or change of belief, for the log.
type Decision struct {
	Event  string
	Job    id.Job
	Task   task.Name
	Run    task.RunNumber
	Worker id.Worker
	Reason string
	// Age is how long the subject has waited or run.
	Age time.Duration
	// Fields are further names and values, by turns.
	Fields []any
}

// Changes is what a series of events led to.
type Changes struct {
	Jobs     []task.Job
	Progress []task.Progress
	// Started are jobs of which the first task has started.
	Started        []id.Job
	Removed        []id.Job
	AdviceRequests []AdviceRequest
	Orders         []Order
	Waves          []task.WaveProgress
	// FinishedWaves are waves of which no record is needed any more.
	FinishedWaves []task.WaveNumber
	UpkeepOrders  []UpkeepOrder
	Decisions     []Decision
}

// Planner is the state. It is used by one goroutine at a time.
type Planner struct {
	config  Config
	rules   Rules
	jobs    map[id.Job]*job
	active  []*job // jobs that have not ended, in order of acceptance
	workers map[id.Worker]*worker
	runTime map[task.QueueName]*estimate
	resumed time.Time // when the state of earlier owners was complete
	urgent  time.Time // when the last job of the first priority was accepted
	waves   map[task.WaveNumber]*wave
	// completed are the waves that the operators have not removed yet.
	completed map[task.WaveNumber]bool
	vms       map[id.VM]*task.VM // the platform's list, or nil while none has been read

	fresh   []task.Job
	dirty   map[id.Job]*job
	begun   []id.Job
	removed []id.Job
	asks    []AdviceRequest
	orders  []Order
	notes   []Decision

	dirtyWaves map[task.WaveNumber]*wave
	finished   []task.WaveNumber
	upkeeps    []UpkeepOrder
}

// New returns a planner without jobs and workers.
func New(c Config) *Planner {
	return &Planner{
		config: c, jobs: make(map[id.Job]*job), workers: make(map[id.Worker]*worker),
		runTime: make(map[task.QueueName]*estimate), dirty: make(map[id.Job]*job),
		waves: make(map[task.WaveNumber]*wave), completed: make(map[task.WaveNumber]bool),
		dirtyWaves: make(map[task.WaveNumber]*wave),
	}
}

// Configure puts rules into force.
func (r *Planner) Configure(rules Rules) {
	r.rules = rules
	for _, j := range r.jobs {
		if q, ok := rules.Queues[j.Queue]; ok {
			j.queue = q
		}
	}
}

// TakeChanges returns what has changed since the last call.
func (r *Planner) TakeChanges() Changes {
	c := Changes{Jobs: r.fresh, Started: r.begun, Removed: r.removed, AdviceRequests: r.asks, Orders: r.orders, Decisions: r.notes}
	for _, j := range r.dirty {
		c.Progress = append(c.Progress, j.progress())
	}
	for _, n := range slices.Sorted(maps.Keys(r.dirtyWaves)) {
		c.Waves = append(c.Waves, r.dirtyWaves[n].progress())
	}
	c.FinishedWaves, c.UpkeepOrders = r.finished, r.upkeeps
	clear(r.dirty)
	clear(r.dirtyWaves)
	r.fresh, r.begun, r.removed, r.asks, r.orders, r.notes = nil, nil, nil, nil, nil, nil
	r.finished, r.upkeeps = nil, nil
	return c
}

// Status is what a submitter sees of a job.
type Status struct {
	Queue   task.QueueName
	Account id.Account
	State   task.State
}

// Status returns the status of a job, or false when it is not known.
func (r *Planner) Status(name id.Job) (Status, bool) {
	j, ok := r.jobs[name]
	if !ok {
		return Status{}, false
	}
	return Status{Queue: j.Queue, Account: j.Account, State: j.visible()}, true
}

// PendingJobs returns the number of jobs of a queue of which no task has started.
func (r *Planner) PendingJobs(queue task.QueueName) int {
	n := 0
	for _, j := range r.active {
		if j.Queue == queue && !j.begun {
			n++
		}
	}
	return n
}

// Busy reports whether a worker has runs that are not known to have ended.
func (r *Planner) Busy(name id.Worker) bool {
	w := r.workers[name]
	return w != nil && len(w.members) > 0
}

func (r *Planner) note(n Decision) { r.notes = append(r.notes, n) }

func (r *Planner) touch(j *job) { r.dirty[j.ID] = j }

func (r *Planner) order(now time.Time, kind OrderKind, m *member) {
	o := Order{Kind: kind, Worker: m.worker.ID, Incarnation: m.incarnation, Task: m.name(), Run: m.group.run, Issued: now}
	if kind == Start {
		o.Spec, o.Checkpoint = m.group.job.Spec, m.group.saved
		if m.group.job.queue.Advised {
			o.Ticket = m.group.occurrence.advised(m.group.step).tickets[m.worker.ID].value
		}
		w := m.worker
		if lapse := r.config.LeaseExpiry(now.Add(orderTime)); lapse.After(w.lapse) {
			w.lapse = lapse
		}
	}
	r.orders = append(r.orders, o)
}

// orderTime bounds the time that an order waits for its record to be stored
// and is sent and sent again. Links give up on older orders.
const orderTime = 3 * time.Second

// SendDeadline returns the time after which an order must not be sent any more.
func (o Order) SendDeadline() time.Time { return o.Issued.Add(orderTime) }

// AcceptedAt returns the time at which a job was accepted.
func (r *Planner) AcceptedAt(name id.Job) (time.Time, bool) {
	j, ok := r.jobs[name]
	if !ok {
		return time.Time{}, false
	}
	return j.Accepted, true
}
