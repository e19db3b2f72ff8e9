// Package task holds the types of jobs that consist of steps of tasks, of the
// runs of those tasks, and of the workers that run them.
package task

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/unit"
)

// RunNumber numbers the starts of a task, from 1. All members of a gang share it.
type RunNumber uint32

// Fence orders the owners of the scheduler. A worker refuses orders under a
// fence lower than the highest it has seen.
type Fence uint64

// EndSeq numbers the ends that one incarnation of a worker reports, from 1.
type EndSeq uint64

// Checkpoint names saved progress of a task. The empty value means none.
type Checkpoint string

// Incarnation is the start of a worker's process in Unix milliseconds. A
// worker that starts again under its id knows nothing of its earlier runs.
type Incarnation int64

// ClockMillis is a time on a worker's own steady clock.
type ClockMillis int64

// Percent is the progress of a run, or the pace at which it works.
type Percent int

// FullPace is the pace at which a run starts.
const FullPace Percent = 100

// Priority orders queues; zero comes first.
type Priority int

// QueueName names a queue of jobs.
type QueueName string

// Name identifies a task: a member of a step in one occurrence of a job.
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

// ParseName reads a name that String wrote.
func ParseName(s string) (Name, error) {
	invalid := problem.New(problem.Invalid, problem.Detail{
		Field: "task name", Value: s, Limit: "JOB.OCCURRENCE.STEP.INDEX", Remedy: "use a name that the scheduler gave"})
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

// Step is a set of equal tasks of a job.
type Step struct {
	Tasks  int
	Demand unit.Resources
	// Estimate is the submitter's estimate of the duration of one task. It is
	// often far off, and may be zero.
	Estimate time.Duration
	// After lists the steps whose tasks must all be done first.
	After []int
	// Gang means that the tasks run together or not at all.
	Gang bool
	// SameRack means that the tasks run much longer when spread over racks.
	SameRack bool
	// Checkpoints means that the tasks save their progress.
	Checkpoints bool
	// Label must be among the labels of a worker, unless it is empty.
	Label string
	// DataRack is the rack that holds the data. The tasks run much longer on
	// any other rack. It is empty when there is none.
	DataRack id.Rack
	// MaxPerWorker bounds the tasks of the step on one worker; zero is no bound.
	MaxPerWorker int
	// Service marks tasks that run until the job is cancelled.
	Service bool
	// MaxUnavailable is the number of tasks of a Service step that the scheduler may
	// make unavailable at once.
	MaxUnavailable int `cbor:"MaxAway"`
	// TailTarget bounds the tail of the response times of a Service task's own
	// users; zero is no bound.
	TailTarget time.Duration
	// BestEffort means that the tasks use the processor time that other tasks leave
	// over: their cores do not count against a worker's capacity, and they may be
	// paced down.
	BestEffort bool `cbor:"Fills"`
}

// Reserved returns what one task takes from the capacity of a worker.
func (s Step) Reserved() unit.Resources {
	reserved := s.Demand
	if s.BestEffort {
		reserved.Cores = 0
	}
	return reserved
}

// ProgressesSteadily reports whether the progress of a task rises all the time. A task
// that serves has none, and one that fills may have to wait for processor time.
func (s Step) ProgressesSteadily() bool { return !s.Service && !s.BestEffort }

// Job is an accepted job.
type Job struct {
	ID      id.Job
	Queue   QueueName
	Account id.Account
	// Spec is passed to the workers unchanged.
	Spec  string
	Steps []Step
	// Occurrences is the number of times the steps run; zero means once, at
	// once. Occurrence K is due at First plus K times Interval.
	Occurrences int
	First       time.Time
	Interval    time.Duration
	Accepted    time.Time
	// Admitted is the queue as it was when the job was accepted. It stands in
	// for a queue that the configuration no longer has.
	Admitted Queue
}

// Validate reports the first mistake of a submitted job.
func (j Job) Validate() error {
	invalid := func(field, value, limit, remedy string) error {
		return problem.New(problem.Invalid, problem.Detail{Field: field, Value: value, Limit: limit, Remedy: remedy})
	}
	if len(j.Steps) == 0 {
		return invalid("steps", "", "at least one step", "add a step")
	}
	for i, s := range j.Steps {
		field := fmt.Sprintf("steps[%d]", i)
		if s.Tasks < 1 || s.Tasks > MaxTasks {
			return invalid(field+".count", strconv.Itoa(s.Tasks), fmt.Sprintf("1 to %d", MaxTasks), "change the number of tasks")
		}
		d := s.Demand
		if d.Cores < 0 || d.Memory < 0 || d.Accelerators < 0 {
			return invalid(field, d.String(), "no negative demand", "correct the demand of a task")
		}
		for _, a := range s.After {
			if a < 0 || a >= i {
				return invalid(field+".after", strconv.Itoa(a), "an earlier step", "name steps that stand before this one")
			}
		}
	}
	return nil
}

// MaxTasks bounds the tasks of one step. The largest step of the two-year
// target has some hundred; a value in the store holds the state of many more.
const MaxTasks = 10000

// Queue is a queue of jobs as the configuration describes it.
type Queue struct {
	Name     QueueName
	Service  id.Service
	Priority Priority
	// Attempts is the number of failed runs after which a job has failed.
	Attempts int
	// Slack times the longest chain of work plus Target is the objective for
	// the time from submission to completion.
	Slack  float64
	Target time.Duration
	// Advised means that a service of the platform tells which workers may run
	// the steps, and that starts carry its tickets.
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
}

// State is the state of a job that its submitter sees.
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

// EndReason says how a run ended.
type EndReason string

// The ways in which a run ends.
const (
	// EndDone is success.
	EndDone EndReason = "done"
	// EndFailed is a failure of the task or of its worker. It counts as an attempt.
	EndFailed EndReason = "failed"
	// EndStopped was ordered.
	EndStopped EndReason = "stopped"
	// EndLost means that the worker's lease ran out.
	EndLost EndReason = "lapsed"
	// EndGangBroken means that another member of the gang ended.
	EndGangBroken EndReason = "broken"
	// EndGangIncomplete means that the other members of the gang did not come in time.
	EndGangIncomplete EndReason = "alone"
)

// ActiveRun is a run that a worker reports as present.
type ActiveRun struct {
	Task       Name
	Run        RunNumber
	Checkpoint Checkpoint
	Percent    Percent
	// TailLatency is the tail of the response times over the last half second. It holds
	// for tasks that serve only.
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

// Report is what a worker tells of its runs.
type Report struct {
	Worker      id.Worker
	Incarnation Incarnation
	Clock       ClockMillis
	// AsOf is the latest time at which the worker can have made the report, on
	// the clock of the node that asked for it.
	AsOf   time.Time
	Active []ActiveRun
	Ends   []EndedRun
	// Draining and Remaining tell that the worker leaves, and the least time
	// until then.
	Draining  bool
	Remaining time.Duration
}
