// Package planner holds the state of the jobs and workers of a deployment on the
// node that owns it, and takes the decisions on that state: which runs start on
// which worker, which are stopped, and when a job has ended. It makes no calls:
// callers pass in events, and take out the records to store and the orders to send.
package planner

import (
	"maps"
	"slices"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/predict"
	"bronzewinch.dev/lib/task"
	"bronzewinch.dev/lib/unit"
)

// Config holds the bounds of the deployment. There are no defaults: the platform's
// settings must set all fields.
type Config struct {
	// MaxLease is the longest lease that a worker grants to its runs.
	MaxLease time.Duration
	// RemoteFactor is the factor by which a task runs longer away from its rack.
	RemoteFactor float64
	// Retention is the time for which the state of an ended job is kept.
	Retention time.Duration
	// MaxGuaranteedWait bounds the time from the acceptance of a guaranteed job to its
	// start.
	MaxGuaranteedWait time.Duration
	// MaxStopTime is the longest time that a worker takes to stop a run.
	MaxStopTime time.Duration
	// UpkeepTime is how long a VM is down for its upkeep.
	UpkeepTime time.Duration
	// HandoverPause is the pause that the platform requires between orders of two
	// owners for one VM.
	HandoverPause time.Duration
	// RestoreTime is the time that a run from a checkpoint needs before it makes
	// progress again.
	RestoreTime time.Duration
	// RunTimes learns and expects run times. The default learns from the runs of this
	// planner.
	RunTimes RunTimes
}

// RunTimes expects the run times of tasks.
type RunTimes interface {
	Add(predict.Run)
	Predict(predict.Subject) predict.Prediction
	// Learned returns the number of runs that were added.
	Learned() uint64
	Snapshot() ([]byte, error)
	Restore([]byte) error
}

const (
	// maxClockDrift is the share by which a worker's clock may be slow, from the
	// platform's contract.
	maxClockDrift = 0.02
	// leaseSlack covers the time between the expiry of a lease and the end of its runs.
	leaseSlack = 200 * time.Millisecond
)

// LeaseExpiry returns the time after which a lease that was granted by a call sent at
// sent has expired even on a slow clock.
func (c Config) LeaseExpiry(sent time.Time) time.Time {
	return sent.Add(time.Duration(float64(c.MaxLease)/(1-maxClockDrift)) + leaseSlack)
}

// WorkerTime returns the least time that passes on a worker's clock during d.
func WorkerTime(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - maxClockDrift))
}

// Rules is the part of the operators' configuration on which placement depends.
type Rules struct {
	Queues     map[task.QueueName]task.Queue
	Guaranteed map[id.Account]unit.Accelerators
}

// OrderKind is the action that a worker is ordered to take.
type OrderKind string

// The kinds of orders.
const (
	Start OrderKind = "start"
	Stop  OrderKind = "stop"
	// Pace sets the speed of a run, in percent of its full speed.
	Pace OrderKind = "pace"
)

// Order is an instruction to a worker. It is sent only after the records of the
// same Changes are stored.
type Order struct {
	Kind        OrderKind
	Worker      id.Worker
	Incarnation task.Incarnation
	Task        task.Name
	Run         task.RunNumber
	Spec        string
	Checkpoint  task.Checkpoint
	// Ticket is issued by the advice service, for starts of queues with advice.
	Ticket string
	// Pace is the new pace, for orders of kind Pace.
	Pace   task.Percent
	Issued time.Time
}

// Decision is one decision of the planner, or one change of the state on which it
// decides, for the log.
type Decision struct {
	Event  string
	Job    id.Job
	Task   task.Name
	Run    task.RunNumber
	Worker id.Worker
	Reason string
	// Age is how long the subject of the decision has waited or run.
	Age time.Duration
	// Expected is the run time that was expected of a run that has ended as done, or zero.
	Expected time.Duration
	// Fields holds further keys and values, alternating.
	Fields []any
}

// Changes holds the records to store, the orders to send and the decisions to log
// that resulted from a series of events.
type Changes struct {
	// Jobs holds new jobs, and what is left of large jobs that have ended.
	Jobs     []task.Job
	Progress []task.Progress
	// Started lists jobs whose first task has started.
	Started []id.Job
	Removed []id.Job
	// RemovedProgress lists jobs that are not known and whose stored progress can be deleted.
	RemovedProgress []id.Job
	// Freed lists the memory that jobs no longer take.
	Freed          []Freed
	AdviceRequests []AdviceRequest
	Orders         []Order
	Waves          []task.WaveProgress
	// LateStarts lists workers that may carry out a start late. Their records are stored
	// before the other ones.
	LateStarts []task.LateStart
	// RemovedLateStarts lists workers whose stored record can be deleted.
	RemovedLateStarts []id.Worker
	// RemovedWaves lists waves whose stored record can be deleted.
	RemovedWaves []task.WaveNumber
	UpkeepOrders []UpkeepOrder
	Decisions    []Decision
}

// Planner holds the state of a deployment's jobs, workers and waves. It is not safe
// for concurrent use.
type Planner struct {
	config              Config
	rules               Rules
	jobs                map[id.Job]*job
	activeJobs          []*job // jobs that have not ended, in order of acceptance
	untrimmedJobs       []*job // ended jobs that may have runs in progress
	workers             map[id.Worker]*worker
	workersByID         []*worker   // the same workers, in the order of their ids
	candidates          []candidate // of the last pass, for reuse
	runTimes            expectations
	resumedAt           time.Time // when the stored state of earlier owners was restored
	lastFirstPriorityAt time.Time // when the last job of the first priority was accepted
	waves               map[task.WaveNumber]*wave
	// completedWaves holds completed waves that the operators have not withdrawn yet.
	completedWaves map[task.WaveNumber]bool
	vms            map[id.VM]*task.VM // the platform's list, or nil while none has been read
	lateStarts     map[id.Worker]*lateStart
	silent         map[id.Worker]struct{} // workers that have not answered several polls in a row
	evacuations    map[id.Zone]*evacuation
	refills        map[id.Zone]time.Time // zones whose evacuation was withdrawn, and when
	departuresAt   time.Time             // when the runs on draining workers were last looked at
	movedAt        time.Time             // when runs were last considered for a move out of evacuated zones

	newJobs        []task.Job
	dirtyJobs      map[id.Job]*job
	startedJobs    []id.Job
	removedJobs    []id.Job
	orphans        map[id.Job]struct{} // jobs that are not known and have stored progress
	freed          []Freed
	adviceRequests []AdviceRequest
	orders         []Order
	decisions      []Decision

	dirtyLateStarts   map[id.Worker]struct{} // workers whose record of late starts has changed
	removedLateStarts []id.Worker

	dirtyWaves   map[task.WaveNumber]*wave
	removedWaves []task.WaveNumber
	upkeepOrders []UpkeepOrder
}

// New returns a planner without jobs and workers.
func New(config Config) *Planner {
	return &Planner{
		config: config, jobs: make(map[id.Job]*job), workers: make(map[id.Worker]*worker),
		runTimes: newExpectations(config.RunTimes), dirtyJobs: make(map[id.Job]*job), orphans: make(map[id.Job]struct{}),
		waves: make(map[task.WaveNumber]*wave), completedWaves: make(map[task.WaveNumber]bool),
		dirtyWaves: make(map[task.WaveNumber]*wave), lateStarts: make(map[id.Worker]*lateStart), silent: make(map[id.Worker]struct{}), dirtyLateStarts: make(map[id.Worker]struct{}),
		evacuations: make(map[id.Zone]*evacuation), refills: make(map[id.Zone]time.Time),
	}
}

// Configure puts rules into force, also for the queues of known jobs.
func (p *Planner) Configure(rules Rules) {
	p.rules = rules
	for _, j := range p.jobs {
		if q, ok := rules.Queues[j.Queue]; ok {
			j.queue = q
		}
	}
}

// TakeChanges returns the changes since the last call.
func (p *Planner) TakeChanges() Changes {
	for _, name := range p.removedJobs { // their records are removed, whatever else has changed
		delete(p.dirtyJobs, name)
		p.newJobs = slices.DeleteFunc(p.newJobs, func(t task.Job) bool { return t.ID == name })
	}
	c := Changes{Jobs: latestJobs(p.newJobs), RemovedProgress: slices.Sorted(maps.Keys(p.orphans)), Started: p.startedJobs, Removed: p.removedJobs, Freed: p.freed,
		AdviceRequests: p.adviceRequests, Orders: p.orders, Decisions: p.decisions}
	for _, j := range p.dirtyJobs {
		c.Progress = append(c.Progress, j.progress())
	}
	for _, n := range slices.Sorted(maps.Keys(p.dirtyWaves)) {
		c.Waves = append(c.Waves, p.dirtyWaves[n].progress())
	}
	c.RemovedWaves, c.UpkeepOrders = p.removedWaves, p.upkeepOrders
	for _, name := range slices.Sorted(maps.Keys(p.dirtyLateStarts)) {
		c.LateStarts = append(c.LateStarts, p.lateStarts[name].toStore())
	}
	c.RemovedLateStarts = p.removedLateStarts
	clear(p.dirtyJobs)
	clear(p.dirtyWaves)
	clear(p.orphans)
	p.newJobs, p.startedJobs, p.removedJobs, p.adviceRequests, p.orders, p.decisions = nil, nil, nil, nil, nil, nil
	p.removedWaves, p.upkeepOrders, p.freed = nil, nil, nil
	p.removedLateStarts = nil
	clear(p.dirtyLateStarts)
	return c
}

// latestJobs returns the last record of each job. A job that is submitted and cancelled in one
// cycle has two.
func latestJobs(records []task.Job) []task.Job {
	last := make(map[id.Job]int, len(records))
	for i := range records {
		last[records[i].ID] = i
	}
	var latest []task.Job
	for i := range records {
		if last[records[i].ID] == i {
			latest = append(latest, records[i])
		}
	}
	return latest
}

// Status is the state of a job that is reported to its submitter.
type Status struct {
	Queue   task.QueueName
	Account id.Account
	State   task.State
}

// Status returns the status of a job, or false when it is not known.
func (p *Planner) Status(name id.Job) (Status, bool) {
	j, ok := p.jobs[name]
	if !ok {
		return Status{}, false
	}
	return Status{Queue: j.Queue, Account: j.Account, State: j.reportedState()}, true
}

// PendingJobs returns the number of jobs of each queue of which no task has started.
func (p *Planner) PendingJobs() map[task.QueueName]int {
	pending := make(map[task.QueueName]int)
	for _, j := range p.activeJobs {
		if !j.started {
			pending[j.Queue]++
		}
	}
	return pending
}

// Busy reports whether a worker has runs that are not known to have ended.
func (p *Planner) Busy(name id.Worker) bool {
	w := p.workers[name]
	return w != nil && len(w.members) > 0
}

func (p *Planner) logDecision(d Decision) { p.decisions = append(p.decisions, d) }

func (p *Planner) markDirty(j *job) { p.dirtyJobs[j.ID] = j }

func (p *Planner) enqueueOrder(now time.Time, kind OrderKind, m *member) {
	o := Order{Kind: kind, Worker: m.worker.ID, Incarnation: m.incarnation, Task: m.taskName(), Run: m.group.run, Issued: now}
	if kind == Start {
		o.Spec, o.Checkpoint = m.group.job.Spec, m.group.checkpoint
		if m.group.job.queue.Advised {
			o.Ticket = m.group.occurrence.adviceFor(m.group.stepIndex).tickets[m.worker.ID].value
		}
	}
	p.orders = append(p.orders, o)
}

// orderLifetime bounds the time in which an order waits for its record to be stored,
// is sent, and is sent again. Older orders are dropped, as the expiry of the lease that
// a start without a result may have granted is computed from it.
const orderLifetime = 3 * time.Second

// SendDeadline returns the time after which the order must no longer be sent.
func (o Order) SendDeadline() time.Time { return o.Issued.Add(orderLifetime) }

// AcceptedAt returns the time at which a job was accepted.
func (p *Planner) AcceptedAt(name id.Job) (time.Time, bool) {
	j, ok := p.jobs[name]
	if !ok {
		return time.Time{}, false
	}
	return j.Accepted, true
}
