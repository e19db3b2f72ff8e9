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
	// Work is how long a task runs.
	Work time.Duration
	// Fails is the number of runs of each task that fail.
	Fails int
	// Target bounds the tail of a task that serves until it is cancelled; zero
	// means that the task ends.
	Target time.Duration
	// MayMiss is the number of serving tasks that may be away at once.
	MayMiss int
	// Fills means that the task disturbs those that serve beside it.
	Fills bool
}

// serves reports whether the tasks of the step run until they are cancelled.
func (s Step) serves() bool { return s.Target > 0 }

// Bounds of the workers, as in the users' deployments.
const (
	holdMax  = 6 * time.Second
	stopTime = 200 * time.Millisecond
	gangWait = 3 * time.Second
	// quietTail is the tail of a serving task by itself, as a share of its
	// target, and disturbance what a filling task at full pace adds to it.
	quietTail, disturbance = 0.5, 0.8
	// noticeTime is how long a serving task may be down before the scheduler has
	// to know.
	noticeTime = 4500 * time.Millisecond
	// harmTime is how long filling tasks may keep a serving task over its target.
	harmTime = 4 * time.Second
	// WorkerGPUs is the room of a worker.
	WorkerGPUs = 8
)

// Fleet is a set of workers that share what they know of jobs. It checks what
// they are told.
type Fleet struct {
	mu         sync.Mutex
	jobs       map[string][]Step
	rejected   map[string]bool // jobs of which every submission was refused
	failures   map[string]int
	succeeded  map[string]bool // tasks of which a run ended as done
	done       map[string]bool // tasks of which such an end was acknowledged
	gangs      map[string]*gang
	down       map[string]outage // serving tasks that ran and do not run now
	violations []string
	starts     int
	lenient    bool
}

// outage is the end of the last run of a serving task.
type outage struct {
	since   time.Time
	ordered bool // the scheduler has ended it
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
		succeeded: make(map[string]bool), done: make(map[string]bool), gangs: make(map[string]*gang),
		down: make(map[string]outage)}
}

// Lenient leaves out the check of promises that hold only while nothing is
// disturbed.
func (f *Fleet) Lenient() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lenient = true
}

// Define tells the fleet what a job is before it is submitted.
func (f *Fleet) Define(job string, steps []Step) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.jobs[job] = steps
}

// Rejected tells the fleet that all submissions of a job were refused.
func (f *Fleet) Rejected(job string) {
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
		found := false
		for i := range step.Count {
			ok := f.succeeded[fmt.Sprintf("%s.0.%d.%d", job, s, i)]
			found = found || ok
			if !ok && !step.Gang {
				return false
			}
		}
		if !found {
			return false
		}
	}
	return true
}

// report notes a broken promise.
func (f *Fleet) report(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.violate(format, args...)
}

// violate is report with the lock held.
func (f *Fleet) violate(format string, args ...any) {
	f.violations = append(f.violations, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

type run struct {
	worker   *Worker
	name     string
	job      string
	step     int
	index    int
	number   uint32
	gang     *gang
	ends     *time.Timer
	began    time.Time // when the work began; zero while a gang waits
	pace     int64     // in percent
	stopping bool
	harmed   time.Time // since when the tail of a serving task is over its target, or zero
}

// percent is the progress of a run. The lock of the fleet is held.
func (r *run) percent() int64 {
	if r.began.IsZero() {
		return 0
	}
	if r.spec().serves() {
		return 100
	}
	work := r.worker.fleet.jobs[r.job][r.step].Work
	return min(99, int64(100*time.Since(r.began)/work))
}

// spec is the step of the run's task. The lock of the fleet is held.
func (r *run) spec() Step { return r.worker.fleet.jobs[r.job][r.step] }

// load is the tail of a serving task in milliseconds, or the processor time of
// another in thousandths of a core. The lock of the fleet is held.
func (r *run) load() int64 {
	target := r.spec().Target
	if target == 0 {
		return 5 * r.pace
	}
	share := quietTail
	for _, other := range r.worker.runs {
		if other.spec().Fills {
			share += disturbance * float64(other.pace) / 100
		}
	}
	switch over := share > 1; {
	case !over:
		r.harmed = time.Time{}
	case r.harmed.IsZero():
		r.harmed = time.Now()
	case time.Since(r.harmed) > harmTime && !r.worker.fleet.lenient:
		r.worker.fleet.violate("task %s on %s is kept over its target for %v", r.name, r.worker.ID, time.Since(r.harmed))
		r.harmed = time.Now()
	}
	return int64(share * float64(target.Milliseconds()))
}

type end struct {
	seq    uint64
	name   string
	number uint32
	how    string
}

// checkSingle reports a second run of a task that is not a member of a gang.
func (f *Fleet) checkSingle(r *run) *gang {
	if old := f.gangs[r.name]; old != nil {
		for _, m := range old.members {
			if m.worker.runs[m.name] == m && m != r {
				f.violate("task %s runs twice: run %d on %s and run %d on %s", r.name, m.number, m.worker.ID, r.number, r.worker.ID)
			}
		}
	}
	return &gang{members: []*run{r}}
}

// complete ends a run, or all of a gang, by itself.
func (f *Fleet) complete(r *run) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r.worker.expire()
	if r.worker.runs[r.name] != r {
		return
	}
	how := "done"
	key := fmt.Sprintf("%s.%d", r.job, r.step)
	if f.failures[key] < f.jobs[r.job][r.step].Fails {
		f.failures[key]++
		how = "failed"
	}
	if r.gang == nil {
		r.worker.finish(r, how)
		return
	}
	r.gang.ended = true
	for _, m := range r.gang.members {
		if m.worker.runs[m.name] == m {
			m.worker.finish(m, how)
		}
	}
}

func (f *Fleet) alone(r *run) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.worker.runs[r.name] == r && !r.gang.started {
		r.worker.finish(r, "alone")
	}
}

// away is the number of other tasks of a run's step that the scheduler has made
// unavailable, or must know to be so.
func (f *Fleet) away(r *run) int {
	n := 0
	for i := range f.jobs[r.job][r.step].Count {
		name := fmt.Sprintf("%s.0.%d.%d", r.job, r.step, i)
		if o, ok := f.down[name]; ok && name != r.name && (o.ordered || time.Since(o.since) > noticeTime) {
			n++
		}
	}
	return n
}
