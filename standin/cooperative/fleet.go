package cooperative

import (
	"fmt"
	"sync"
	"time"
)

// Step is a step of a job as the fleet knows it.
type Step struct {
	Count int
	GPU   int
	Gang  bool
	// RunTime is how long a task runs.
	RunTime time.Duration
	// Failures is the number of runs of each task that fail.
	Failures int
	// LatencyTarget bounds the tail of a task that serves until it is cancelled; zero
	// means that the task ends.
	LatencyTarget time.Duration
	// MaxUnavailable is the number of serving tasks that may be away at once.
	MaxUnavailable int
	// BestEffort means that the task disturbs those that serve beside it.
	BestEffort bool
}

// isService reports whether the tasks of the step run until they are cancelled.
func (s Step) isService() bool { return s.LatencyTarget > 0 }

// Bounds of the workers, as in the users' deployments.
const (
	maxLease         = 6 * time.Second
	stopDuration     = 200 * time.Millisecond
	gangStartTimeout = 3 * time.Second
	// baseTailShare is the tail of a serving task by itself, as a share of its
	// target, and disturbance what a filling task at full pace adds to it.
	baseTailShare, bestEffortTailShare = 0.5, 0.8
	// outageNoticeTime is how long a serving task may be down before the scheduler has
	// to know.
	outageNoticeTime = 4500 * time.Millisecond
	// maxOverTarget is how long filling tasks may keep a serving task over its target.
	maxOverTarget = 4 * time.Second
	// WorkerGPUs is the room of a worker.
	WorkerGPUs = 8
)

// Fleet is a set of workers that share what they know of jobs. It checks what
// they are told.
type Fleet struct {
	mu              sync.Mutex
	jobs            map[string][]Step
	rejected        map[string]bool // jobs of which every submission was refused
	failures        map[string]int
	succeeded       map[string]bool // tasks of which a run ended as done
	acknowledged    map[string]bool // tasks of which such an end was acknowledged
	gangs           map[string]*gang
	outages         map[string]outage // serving tasks that ran and do not run now
	violations      []string
	starts          int
	skipUndisturbed bool
}

// outage is the end of the last run of a serving task.
type outage struct {
	since       time.Time
	byScheduler bool // the scheduler has ended it
}

// gang is one run of a gang.
type gang struct {
	size    int
	members []*run
	started bool
	ended   bool
}

// NewFleet returns a fleet without workers.
func NewFleet() *Fleet {
	return &Fleet{jobs: make(map[string][]Step), rejected: make(map[string]bool), failures: make(map[string]int),
		succeeded: make(map[string]bool), acknowledged: make(map[string]bool), gangs: make(map[string]*gang),
		outages: make(map[string]outage)}
}

// SkipUndisturbedChecks leaves out the check of promises that hold only while nothing is
// disturbed.
func (f *Fleet) SkipUndisturbedChecks() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.skipUndisturbed = true
}

// RegisterJob tells the fleet what a job is before it is submitted.
func (f *Fleet) RegisterJob(job string, steps []Step) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.jobs[job] = steps
}

// MarkRejected tells the fleet that all submissions of a job were refused.
func (f *Fleet) MarkRejected(job string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rejected[job] = true
}

// Violations returns the broken promises so far.
func (f *Fleet) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.violations...)
}

// Starts returns the number of runs that were started.
func (f *Fleet) Starts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts
}

// AllDone reports whether each task of a job has ended as done.
func (f *Fleet) AllDone(job string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for s, step := range f.jobs[job] {
		anySucceeded := false
		for i := range step.Count {
			ok := f.succeeded[fmt.Sprintf("%s.0.%d.%d", job, s, i)]
			anySucceeded = anySucceeded || ok
			if !ok && !step.Gang {
				return false
			}
		}
		if !anySucceeded {
			return false
		}
	}
	return true
}

// recordViolation notes a broken promise.
func (f *Fleet) recordViolation(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addViolation(format, args...)
}

// addViolation is recordViolation with the lock held.
func (f *Fleet) addViolation(format string, args ...any) {
	f.violations = append(f.violations, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

type run struct {
	worker          *Worker
	name            string
	job             string
	step            int
	index           int
	number          uint32
	gang            *gang
	timer           *time.Timer
	startedAt       time.Time // when the work began; zero while a gang waits
	pace            int64     // in percent
	stopping        bool
	overTargetSince time.Time // since when the tail of a serving task is over its target, or zero
}

// progress is the progress of a run. The lock of the fleet is held.
func (r *run) progress() int64 {
	if r.startedAt.IsZero() {
		return 0
	}
	if r.stepSpec().isService() {
		return 100
	}
	work := r.worker.fleet.jobs[r.job][r.step].RunTime
	return min(99, int64(100*time.Since(r.startedAt)/work))
}

// stepSpec is the step of the run's task. The lock of the fleet is held.
func (r *run) stepSpec() Step { return r.worker.fleet.jobs[r.job][r.step] }

// reportedLoad is the tail of a serving task in milliseconds, or the processor time of
// another in thousandths of a core. The lock of the fleet is held.
func (r *run) reportedLoad() int64 {
	target := r.stepSpec().LatencyTarget
	if target == 0 {
		return 5 * r.pace
	}
	tailShare := baseTailShare
	for _, other := range r.worker.runs {
		if other.stepSpec().BestEffort {
			tailShare += bestEffortTailShare * float64(other.pace) / 100
		}
	}
	switch over := tailShare > 1; {
	case !over:
		r.overTargetSince = time.Time{}
	case r.overTargetSince.IsZero():
		r.overTargetSince = time.Now()
	case time.Since(r.overTargetSince) > maxOverTarget && !r.worker.fleet.skipUndisturbed:
		r.worker.fleet.addViolation("task %s on %s is kept over its target for %v", r.name, r.worker.ID, time.Since(r.overTargetSince))
		r.overTargetSince = time.Now()
	}
	return int64(tailShare * float64(target.Milliseconds()))
}

type endedRun struct {
	seq    uint64
	name   string
	number uint32
	reason string
}

// checkSingleRun reports a second run of a task that is not a member of a gang.
func (f *Fleet) checkSingleRun(r *run) *gang {
	if old := f.gangs[r.name]; old != nil {
		for _, m := range old.members {
			if m.worker.runs[m.name] == m && m != r {
				f.addViolation("task %s runs twice: run %d on %s and run %d on %s", r.name, m.number, m.worker.ID, r.number, r.worker.ID)
			}
		}
	}
	return &gang{members: []*run{r}}
}

// completeRun ends a run, or all of a gang, by itself.
func (f *Fleet) completeRun(r *run) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r.worker.expireLease()
	if r.worker.runs[r.name] != r {
		return
	}
	reason := "done"
	key := fmt.Sprintf("%s.%d", r.job, r.step)
	if f.failures[key] < f.jobs[r.job][r.step].Failures {
		f.failures[key]++
		reason = "failed"
	}
	if r.gang == nil {
		r.worker.endRun(r, reason)
		return
	}
	r.gang.ended = true
	for _, m := range r.gang.members {
		if m.worker.runs[m.name] == m {
			m.worker.endRun(m, reason)
		}
	}
}

func (f *Fleet) failIncompleteGang(r *run) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.worker.runs[r.name] == r && !r.gang.started {
		r.worker.endRun(r, "alone")
	}
}

// unavailableTasks is the number of other tasks of a run's step that the scheduler has made
// unavailable, or must know to be so.
func (f *Fleet) unavailableTasks(r *run) int {
	n := 0
	for i := range f.jobs[r.job][r.step].Count {
		name := fmt.Sprintf("%s.0.%d.%d", r.job, r.step, i)
		if o, ok := f.outages[name]; ok && name != r.name && (o.byScheduler || time.Since(o.since) > outageNoticeTime) {
			n++
		}
	}
	return n
}
