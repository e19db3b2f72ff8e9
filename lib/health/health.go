// Package health tells workers that fail every task from jobs that fail on
// every worker, and says which workers are out of placement and when they are
// tried again.
package health

import (
	"slices"
	"sync"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/shard"
	"bronzewinch.dev/lib/unit"
)

// Outcome is how the task of a job ended on a worker.
type Outcome string

// The outcomes of a task.
const (
	// Succeeded is a task that ended well, or ran well for as long as such
	// tasks usually take to fail.
	Succeeded Outcome = "succeeded"
	// Failed is a task that failed.
	Failed Outcome = "failed"
)

// Config holds the bounds of a Tracker. A zero value takes the default.
type Config struct {
	// FailureThreshold is the number of distinct jobs that must fail on a worker, with
	// no success between them, before it is removed. The default is 3.
	FailureThreshold int
	// MaxExcluded is the greatest share of the fleet that is out on the evidence
	// of failures. The default is 0.1, which is more than the failures of a
	// day and leaves the fleet usable when the evidence is wrong.
	MaxExcluded float64
	// FleetSize is the number of workers.
	FleetSize unit.Workers
	// InitialBackoff is the time before the first probe, doubled after each failed
	// one up to MaxBackoff. The defaults are one minute and one hour.
	InitialBackoff, MaxBackoff time.Duration
}

// Status says what to do about a worker.
type Status struct {
	// Excluded says that the worker is out of placement.
	Excluded bool
	// Changed says that Excluded changed with this outcome.
	Changed bool
	// NextProbe is when the worker gets probe work. It is zero unless Excluded.
	NextProbe time.Time
	// Reason says why, for people.
	Reason string
}

// jobFaultThreshold is the number of workers on which a job fails before its failures
// count against none of them, as long as it ran well nowhere.
const jobFaultThreshold = 2

// accountFaultThreshold is the number of workers on which the uncleared jobs of one
// account fail before such failures are taken as the account's own.
const accountFaultThreshold = 4

// maxFailures bounds the failures kept for each worker and account.
const maxFailures = 16

// maxJobs bounds the memory for jobs, at the two-year size of 16,000 tasks.
const maxJobs = 16384

// Tracker holds the evidence. It is safe for use by several goroutines.
type Tracker struct {
	config   Config
	workers  *shard.Map[id.Worker, workerState]
	jobs     *shard.Map[id.Job, jobState]
	accounts *shard.Map[id.Account, []id.Worker]

	mu       sync.Mutex // of out
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

// New returns a tracker without evidence.
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

// Record takes the outcome of one task and returns the status of its worker.
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
		return Status{Reason: "the worker fails its tasks, but too many workers are out already"}
	}
	return t.setExcluded(worker, t.config.InitialBackoff, now, true)
}

// ProbeDue reports whether a worker that is out may get probe work.
func (t *Tracker) ProbeDue(worker id.Worker, now time.Time) bool {
	s, _ := t.workers.Get(worker)
	return s.excluded && !now.Before(s.nextProbe)
}

// Excluded returns the workers that are out, in order of name.
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

// Forget drops what is known of a job that has ended.
func (t *Tracker) Forget(job id.Job) { t.jobs.Delete(job) }

// workerAtFault reports whether failures count against the worker: enough distinct
// jobs that ran well elsewhere, or as many jobs from several accounts that do
// not fail everywhere.
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

// recordAccountFailure keeps the workers on which an account's jobs failed since one
// of its jobs succeeded.
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
	return Status{Changed: true, Reason: "probe work succeeded"}
}

func (t *Tracker) recordProbeFailure(worker id.Worker, now time.Time) Status {
	s, _ := t.workers.Get(worker)
	if now.Before(s.nextProbe) {
		return Status{Excluded: true, NextProbe: s.nextProbe, Reason: "work from before the removal failed"}
	}
	return t.setExcluded(worker, min(2*s.backoff, t.config.MaxBackoff), now, false)
}

func (t *Tracker) setExcluded(worker id.Worker, backoff time.Duration, now time.Time, changed bool) Status {
	nextProbe := now.Add(backoff)
	t.workers.Update(worker, func(s workerState, _ bool) (workerState, bool) {
		s.excluded, s.backoff, s.nextProbe = true, backoff, nextProbe
		return s, true
	})
	return Status{Excluded: true, Changed: changed, NextProbe: nextProbe, Reason: "tasks of several jobs fail on it that do not fail everywhere"}
}

// tryExclude counts a worker as out unless too many are.
func (t *Tracker) tryExclude(worker id.Worker) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if float64(len(t.excluded)+1) > max(1, t.config.MaxExcluded*float64(t.config.FleetSize)) {
		return false
	}
	t.excluded[worker] = struct{}{}
	return true
}
