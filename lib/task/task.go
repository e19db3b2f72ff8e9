// Package task defines jobs that consist of steps of tasks, the runs of those tasks,
// and the workers that execute them.
package task

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/unit"
)

// RunNumber numbers the runs of a task, from 1. The members of a gang have the same
// run number.
type RunNumber uint32

// Fence is the fencing token of calls to a worker. It rises from owner to owner, and
// within the term of an owner whenever earlier calls to a worker must not take effect
// any more. A worker rejects calls with a lower fence than the highest that it has
// received.
type Fence uint64

// EndSeq numbers the ended runs that one incarnation of a worker reports, from 1.
type EndSeq uint64

// Checkpoint identifies the saved progress of a task. The empty value means none.
type Checkpoint string

// Incarnation is the start time of a worker's process in Unix milliseconds. A worker
// that restarts under the same id has lost its earlier runs.
type Incarnation int64

// ClockMillis is a time on the monotonic clock of a worker, in milliseconds.
type ClockMillis int64

// Percent is the progress of a run, or its pace: its speed as a share of full speed.
type Percent int

// FullPace is the pace at which a run starts.
const FullPace Percent = 100

// Priority orders queues; zero is the highest, also called the first priority.
type Priority int

// QueueName names a queue of jobs.
type QueueName string

// Name identifies a task: its index in a step of one occurrence of a job.
type Name struct {
	Job        id.Job
	Occurrence int
	Step       int
	Index      int
}

// String formats the name as JOB.OCCURRENCE.STEP.INDEX.
func (n Name) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", n.Job, n.Occurrence, n.Step, n.Index)
}

// Compare orders names by their job, occurrence, step and index.
func (n Name) Compare(other Name) int {
	return cmp.Or(cmp.Compare(n.Job, other.Job), cmp.Compare(n.Occurrence, other.Occurrence), cmp.Compare(n.Step, other.Step),
		cmp.Compare(n.Index, other.Index))
}

// ParseName parses the format of String.
func ParseName(s string) (Name, error) {
	invalid := problem.New(problem.Invalid, problem.Detail{
		Field: "task name", Value: s, Limit: "JOB.OCCURRENCE.STEP.INDEX", Remedy: "use a task name that the scheduler issued"})
	parts := strings.Split(s, ".")
	if len(parts) != 4 {
		return Name{}, invalid
	}
	var numbers [3]int
	for i, p := range parts[1:] {
		n, err := strconv.Atoi(p)
		if err != nil || n < 0 {
			return Name{}, invalid
		}
		numbers[i] = n
	}
	return Name{Job: id.Job(parts[0]), Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, nil
}

// Step is a set of identical tasks of a job.
//
// Fields that are zero are not encoded. A job can have 10,000 steps, and its record would
// exceed the size of a value in the platform's store.
type Step struct {
	Tasks  int            `cbor:"Tasks,omitempty"`
	Demand unit.Resources `cbor:"Demand,omitzero"`
	// Estimate is the submitter's estimate of the run time of one task. It is often wrong
	// by a large factor, and may be zero.
	Estimate time.Duration `cbor:"Estimate,omitempty"`
	// After lists the indexes of the steps whose tasks must all be done first.
	After []int `cbor:"After,omitempty"`
	// Gang means that the tasks only run all together.
	Gang bool `cbor:"Gang,omitempty"`
	// SameRack means that the tasks run much longer when spread over racks.
	SameRack bool `cbor:"SameRack,omitempty"`
	// Checkpoints means that the tasks save their progress, so that a new run continues
	// from the last checkpoint.
	Checkpoints bool `cbor:"Checkpoints,omitempty"`
	// Label is a label that a worker must have to run the tasks; empty means no
	// requirement.
	Label string `cbor:"Label,omitempty"`
	// DataRack is the rack of the tasks' data, or empty. The tasks run much longer on any
	// other rack.
	DataRack id.Rack `cbor:"DataRack,omitempty"`
	// MaxPerWorker bounds the tasks of the step on one worker; zero means no bound.
	MaxPerWorker int `cbor:"MaxPerWorker,omitempty"`
	// Service marks tasks that run until the job is cancelled.
	Service bool `cbor:"Service,omitempty"`
	// MaxUnavailable is the number of tasks of a Service step that the scheduler may
	// make unavailable at the same time; zero means no bound.
	MaxUnavailable int `cbor:"MaxAway,omitempty"`
	// TailTarget bounds the tail latency that the users of a Service task see; zero
	// means no bound.
	TailTarget time.Duration `cbor:"TailTarget,omitempty"`
	// BestEffort means that the tasks use the processor time that other tasks leave
	// idle: their cores do not count against a worker's capacity, and their pace may be
	// lowered.
	BestEffort bool `cbor:"Fills,omitempty"`
}

// Reserved returns the part of a worker's capacity that one task occupies.
func (s Step) Reserved() unit.Resources {
	reserved := s.Demand
	if s.BestEffort {
		reserved.Cores = 0
	}
	return reserved
}

// ProgressesSteadily reports whether a lack of progress means that a task has stalled. A
// service task has no progress, and a best-effort task may wait for processor time.
func (s Step) ProgressesSteadily() bool { return !s.Service && !s.BestEffort }

// Job is an accepted job.
type Job struct {
	ID      id.Job
	Queue   QueueName
	Account id.Account
	// Spec is passed to the workers unchanged.
	Spec  string
	Steps []Step
	// Occurrences is the number of times that the steps run. Occurrence K, from zero, is
	// due at First plus K times Interval. Zero occurrences means that the steps run once,
	// due on acceptance.
	Occurrences int
	First       time.Time
	Interval    time.Duration
	Accepted    time.Time
	// Admitted is the queue as it was when the job was accepted. It is used when the
	// queue has been removed from the configuration.
	Admitted Queue
}

const (
	// stepSize is the size of a Step in a slice with spare capacity.
	stepSize unit.Bytes = 192
	// stepMemory is what a step takes beyond its size while it is decoded and encoded.
	stepMemory unit.Bytes = 320
	indexSize  unit.Bytes = 8
)

// Size returns what the fields of a job take.
func (j *Job) Size() unit.Bytes {
	size := unit.Bytes(len(j.Spec)) + unit.Bytes(len(j.Steps))*stepSize
	for i := range j.Steps {
		s := &j.Steps[i]
		size += unit.Bytes(len(s.Label)+len(s.DataRack)) + unit.Bytes(len(s.After))*indexSize
	}
	return size
}

// TaskCount returns the number of tasks of one occurrence.
func (j *Job) TaskCount() int {
	n := 0
	for i := range j.Steps {
		n += j.Steps[i].Tasks
	}
	return n
}

// Memory returns what a decoded job takes until it has been processed.
func (j *Job) Memory() unit.Bytes { return j.Size() + unit.Bytes(len(j.Steps))*stepMemory }

// CompactDependencies removes repetitions of the steps that a step depends on.
func (j *Job) CompactDependencies() {
	for i := range j.Steps {
		s := &j.Steps[i]
		sorted := slices.Clone(s.After)
		slices.Sort(sorted)
		if sorted = slices.Compact(sorted); len(sorted) < len(s.After) {
			s.After = slices.Clip(sorted)
		}
	}
}

// Validate returns an error for the first invalid field of a submitted job.
func (j Job) Validate() error {
	invalid := func(field, value, limit, remedy string) error {
		return problem.New(problem.Invalid, problem.Detail{Field: field, Value: value, Limit: limit, Remedy: remedy})
	}
	if len(j.Steps) == 0 {
		return invalid("steps", "", "at least one step", "add a step")
	}
	if j.Occurrences < 0 || j.Occurrences > MaxOccurrences {
		return invalid("times", strconv.Itoa(j.Occurrences), fmt.Sprintf("0 to %d", MaxOccurrences), "submit several jobs")
	}
	if j.Interval < 0 {
		return invalid("interval", j.Interval.String(), "no negative interval", "correct the interval")
	}
	tasks := 0
	for i, s := range j.Steps {
		field := fmt.Sprintf("steps[%d]", i)
		if s.Tasks < 1 || s.Tasks > MaxTasks {
			return invalid(field+".count", strconv.Itoa(s.Tasks), fmt.Sprintf("1 to %d", MaxTasks), "change the number of tasks")
		}
		if tasks += s.Tasks; tasks > MaxTasks || tasks*max(1, j.Occurrences) > MaxJobTasks {
			return invalid("steps", strconv.Itoa(tasks)+" tasks", fmt.Sprintf("%d tasks, and %d in all occurrences", MaxTasks, MaxJobTasks),
				"split the job")
		}
		d := s.Demand
		if d.Cores < 0 || d.Memory < 0 || d.Accelerators < 0 {
			return invalid(field, d.String(), "no negative demand", "correct the demand of a task")
		}
		for _, a := range s.After {
			if a < 0 || a >= i {
				return invalid(field+".after", strconv.Itoa(a), "an earlier step", "name only steps before this one")
			}
		}
	}
	return nil
}

// Bounds of a job. At the two-year target size the largest job has some hundred tasks.
// An owner keeps about 300 bytes for each task of an occurrence that is due, and has 160
// MB on the smallest VMs.
const (
	// MaxTasks bounds the tasks of all steps of a job.
	MaxTasks = 10000
	// MaxOccurrences bounds the occurrences of a job.
	MaxOccurrences = 10000
	// MaxJobTasks bounds the tasks of all occurrences of a job, which may be due at the
	// same time.
	MaxJobTasks = 100000
)

// Queue is a queue of jobs as the configuration describes it.
type Queue struct {
	Name     QueueName
	Service  id.Service
	Priority Priority
	// Attempts is the number of failed runs after which a job has failed.
	Attempts int
	// Slack and Target set the objective for the time from submission to completion:
	// Slack times the run time of the longest chain of dependent steps, plus Target.
	Slack  float64
	Target time.Duration
	// Advised means that the platform's advice service decides which workers may run the
	// steps, and that starts carry its tickets.
	Advised bool
}

// Worker is a worker as the platform's list describes it.
type Worker struct {
	ID          id.Worker
	Service     id.Service
	Zone        id.Zone
	Rack        id.Rack
	Address     string
	Incarnation Incarnation
	Capacity    unit.Resources
	Labels      []string
	Draining    bool
	// Remaining is the least time that a draining worker stays, or zero if it is not known.
	Remaining time.Duration
}

// State is the state of a job that is reported to its submitter.
type State string

// The states of a job.
const (
	Pending   State = "pending"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Ended reports whether the state is final.
func (s State) Ended() bool { return s == Completed || s == Failed || s == Cancelled }

// EndReason is the reason for which a run ended.
type EndReason string

// The reasons for which a run ends.
const (
	// EndDone means that the task succeeded.
	EndDone EndReason = "done"
	// EndFailed means that the task or its worker failed. It counts as an attempt.
	EndFailed EndReason = "failed"
	// EndStopped means that the run was ordered to stop.
	EndStopped EndReason = "stopped"
	// EndLost means that the run ended without a result: the worker's lease expired,
	// or the planner found that the worker has restarted, no longer lists the run or did
	// not start it.
	EndLost EndReason = "lapsed"
	// EndGangBroken means that another member of the gang ended.
	EndGangBroken EndReason = "broken"
	// EndGangIncomplete means that the other members of the gang did not start in time.
	EndGangIncomplete EndReason = "alone"
)

// ActiveRun is a run that a worker reports as active.
type ActiveRun struct {
	Task       Name
	Run        RunNumber
	Checkpoint Checkpoint
	Percent    Percent
	// TailLatency is the tail latency over the last half second, for service tasks.
	TailLatency time.Duration
}

// EndedRun is a run that a worker reports as ended.
type EndedRun struct {
	Seq        EndSeq
	Task       Name
	Run        RunNumber
	Reason     EndReason
	Checkpoint Checkpoint
}

// Report is a worker's report on its runs.
type Report struct {
	Worker      id.Worker
	Incarnation Incarnation
	Clock       ClockMillis
	// AsOf is the latest time at which the worker can have made the report, on the clock
	// of the node that requested it.
	AsOf   time.Time
	Active []ActiveRun
	Ends   []EndedRun
	// Truncated means that the worker has ended runs that the report does not contain.
	Truncated bool
	// Draining means that the worker will shut down, at the earliest after Remaining.
	Draining  bool
	Remaining time.Duration
}
