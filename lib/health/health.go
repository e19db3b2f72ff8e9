// Package health attributes task failures to workers or to jobs, and excludes
// workers on which the tasks of several jobs fail. An excluded worker receives
// probe work, with exponential backoff, until one of its tasks succeeds.
package health

import (
	"slices"
	"sync"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/shard"
	"bronzewinch.dev/lib/unit"
)

// Outcome is the outcome of a task on a worker.
type Outcome string

// The outcomes of a task.
const (
	// Succeeded means that the task succeeded, or ran for longer than such
	// tasks usually take to fail.
	Succeeded Outcome = "succeeded"
	// Failed means that the task failed.
	Failed Outcome = "failed"
)

// Config configures a Tracker. Zero values select the defaults.
type Config struct {
	// FailureThreshold is the number of distinct jobs that must fail on a
	// worker, without a success between them, before the worker is excluded.
	// The default is 3.
	FailureThreshold int
	// MaxExcluded is the maximum fraction of the fleet that is excluded because
	// of failures. The default is 0.1, which is more workers than fail in a
	// day, and leaves the fleet usable when failures are wrongly attributed to
	// workers.
	MaxExcluded float64
	// FleetSize is the number of workers in the fleet.
	FleetSize unit.Workers
	// InitialBackoff is the time before the first probe. It doubles after each
	// failed probe, up to MaxBackoff. The defaults are one minute and one hour.
	InitialBackoff, MaxBackoff time.Duration
}

// Status is the status of a worker after an outcome.
type Status struct {
	// Excluded is true if the worker is excluded from placement.
	Excluded bool
	// Changed is true if the outcome changed Excluded.
	Changed bool
	// NextProbe is the time from which the worker may receive probe work. It is
	// zero unless Excluded is true.
	NextProbe time.Time
	// Reason is a human-readable reason. It is empty if there is nothing to
	// explain.
	Reason string
}

// jobFaultThreshold is the number of workers on which a job that succeeded
// nowhere may fail while its failures still count against the workers. If it
// fails on more, the job is at fault.
const jobFaultThreshold = 2

// accountFaultThreshold is the number of workers on which jobs of an account
// may fail, without a success of the account between them, while such failures
// still count against the workers. If they fail on more, the account's jobs are
// at fault.
const accountFaultThreshold = 4

// maxFailures bounds the failures stored for each worker, and the workers
// stored for each job and account.
const maxFailures = 16

// maxJobs bounds the memory used for jobs. It covers the 16,000 tasks expected
// in two years.
const maxJobs = 16384

// Tracker records task outcomes and tracks which workers are excluded. It is
// safe for concurrent use.
type Tracker struct {
	config   Config
	workers  *shard.Map[id.Worker, workerState]
	jobs     *shard.Map[id.Job, jobState]
	accounts *shard.Map[id.Account, []id.Worker]

	mu       sync.Mutex // protects excluded
	excluded map[id.Worker]struct{}
}

type failure struct {
	job     id.Job
	account id.Account
}

type workerState struct {
	failures  []failure // since the last success
	excluded  bool
	nextProbe time.Time
	backoff   time.Duration
}

type jobState struct {
	succeeded bool
	failedOn  []id.Worker
}

// New returns a tracker without recorded outcomes.
func New(config Config) *Tracker {
	if config.FailureThreshold == 0 {
		config.FailureThreshold = 3
	}
	if config.MaxExcluded == 0 {
		config.MaxExcluded = 0.1
	}
	if config.InitialBackoff == 0 {
		config.InitialBackoff = time.Minute
	}
	if config.MaxBackoff == 0 {
		config.MaxBackoff = time.Hour
	}
	return &Tracker{config: config, workers: shard.NewMap[id.Worker, workerState](),
		jobs: shard.NewMap[id.Job, jobState](), accounts: shard.NewMap[id.Account, []id.Worker](),
		excluded: make(map[id.Worker]struct{})}
}

// Record records the outcome of a task and returns the status of its worker.
func (t *Tracker) Record(worker id.Worker, job id.Job, account id.Account, outcome Outcome, now time.Time) Status {
	t.recordJob(worker, job, outcome)
	if outcome == Succeeded {
		t.accounts.Delete(account)
		return t.recordSuccess(worker)
	}
	t.recordAccountFailure(worker, account)
	var state workerState
	t.workers.Update(worker, func(s workerState, _ bool) (workerState, bool) {
		f := failure{job, account}
		if !slices.Contains(s.failures, f) {
			s.failures = append(slices.Clone(s.failures), f)
		}
		if excess := len(s.failures) - maxFailures; excess > 0 {
			s.failures = s.failures[excess:]
		}
		state = s
		return s, true
	})
	if state.excluded {
		return t.recordProbeFailure(worker, now)
	}
	if !t.workerAtFault(state.failures) {
		return Status{}
	}
	if !t.tryExclude(worker) {
		return Status{Reason: "tasks of several jobs fail on the worker, but the maximum number of workers is already excluded"}
	}
	return t.setExcluded(worker, t.config.InitialBackoff, now, true)
}

// ProbeDue reports whether an excluded worker may receive probe work now.
func (t *Tracker) ProbeDue(worker id.Worker, now time.Time) bool {
	s, _ := t.workers.Get(worker)
	return s.excluded && !now.Before(s.nextProbe)
}

// Excluded returns the excluded workers, ordered by name.
func (t *Tracker) Excluded() []id.Worker {
	t.mu.Lock()
	defer t.mu.Unlock()
	workers := make([]id.Worker, 0, len(t.excluded))
	for w := range t.excluded {
		workers = append(workers, w)
	}
	slices.Sort(workers)
	return workers
}

// Forget removes the state of a job that has ended.
func (t *Tracker) Forget(job id.Job) { t.jobs.Delete(job) }

// workerAtFault reports whether failures are attributed to the worker: enough
// distinct jobs that succeeded elsewhere, or as many jobs of several accounts
// that are not themselves at fault.
func (t *Tracker) workerAtFault(failures []failure) bool {
	succeededElsewhere, unexplained := 0, 0
	accounts := make(map[id.Account]bool)
	for _, f := range failures {
		j, _ := t.jobs.Get(f.job)
		switch {
		case j.succeeded:
			succeededElsewhere++
			unexplained++
			accounts[f.account] = true
		case len(j.failedOn) > jobFaultThreshold || t.accountAtFault(f.account):
		default:
			unexplained++
			accounts[f.account] = true
		}
	}
	return succeededElsewhere >= t.config.FailureThreshold || unexplained >= t.config.FailureThreshold && len(accounts) > 1
}

func (t *Tracker) accountAtFault(account id.Account) bool {
	workers, _ := t.accounts.Get(account)
	return len(workers) > accountFaultThreshold
}

func (t *Tracker) recordJob(worker id.Worker, job id.Job, outcome Outcome) {
	if _, tracked := t.jobs.Get(job); !tracked && t.jobs.Len() >= maxJobs {
		return
	}
	t.jobs.Update(job, func(s jobState, _ bool) (jobState, bool) {
		if outcome == Succeeded {
			s.succeeded = true
		} else if !slices.Contains(s.failedOn, worker) && len(s.failedOn) < maxFailures {
			s.failedOn = append(slices.Clone(s.failedOn), worker)
		}
		return s, true
	})
}

// recordAccountFailure records a worker on which a job of an account failed.
// The next success of a job of the account clears the record.
func (t *Tracker) recordAccountFailure(worker id.Worker, account id.Account) {
	t.accounts.Update(account, func(workers []id.Worker, _ bool) ([]id.Worker, bool) {
		if !slices.Contains(workers, worker) {
			workers = append(slices.Clone(workers), worker)
		}
		return workers[max(0, len(workers)-maxFailures):], true
	})
}

func (t *Tracker) recordSuccess(worker id.Worker) Status {
	var previous workerState
	t.workers.Update(worker, func(s workerState, _ bool) (workerState, bool) {
		previous = s
		return workerState{}, false
	})
	if !previous.excluded {
		return Status{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.excluded, worker)
	return Status{Changed: true, Reason: "a probe task succeeded"}
}

func (t *Tracker) recordProbeFailure(worker id.Worker, now time.Time) Status {
	s, _ := t.workers.Get(worker)
	if now.Before(s.nextProbe) {
		return Status{Excluded: true, NextProbe: s.nextProbe, Reason: "a task that started before the exclusion failed"}
	}
	return t.setExcluded(worker, min(2*s.backoff, t.config.MaxBackoff), now, false)
}

func (t *Tracker) setExcluded(worker id.Worker, backoff time.Duration, now time.Time, changed bool) Status {
	nextProbe := now.Add(backoff)
	t.workers.Update(worker, func(s workerState, _ bool) (workerState, bool) {
		s.excluded, s.backoff, s.nextProbe = true, backoff, nextProbe
		return s, true
	})
	return Status{Excluded: true, Changed: changed, NextProbe: nextProbe, Reason: "tasks of several jobs fail on the worker but not on other workers"}
}

// tryExclude adds a worker to the excluded ones, unless the maximum number is
// reached.
func (t *Tracker) tryExclude(worker id.Worker) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if float64(len(t.excluded)+1) > max(1, t.config.MaxExcluded*float64(t.config.FleetSize)) {
		return false
	}
	t.excluded[worker] = struct{}{}
	return true
}
