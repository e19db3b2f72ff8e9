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

// badJob is the number of workers on which a job fails before its failures
// count against none of them, as long as it ran well nowhere.
const badJob = 2

// badAccount is the number of workers on which the uncleared jobs of one
// account fail before such failures are taken as the account's own.
const badAccount = 4

// maxEvidence bounds the failures kept for each worker and account.
const maxEvidence = 16

// maxJobs bounds the memory for jobs, at the two-year size of 16,000 tasks.
const maxJobs = 16384

// Tracker holds the evidence. It is safe for use by several goroutines.
type Tracker struct {
	cfg      Config
	workers  *shard.Map[id.Worker, workerState]
	jobs     *shard.Map[id.Job, jobState]
	accounts *shard.Map[id.Account, []id.Worker]

	mu  sync.Mutex // of out
	out map[id.Worker]struct{}
}

type failure struct {
	job     id.Job
	account id.Account
}

type workerState struct {
	failures []failure // since the last success
	out      bool
	probe    time.Time
	backoff  time.Duration
}

type jobState struct {
	ranWell bool
	failed  []id.Worker
}

// New returns a tracker without evidence.
func New(cfg Config) *Tracker {
	if cfg.FailureThreshold == 0 {
		cfg.FailureThreshold = 3
	}
	if cfg.MaxExcluded == 0 {
		cfg.MaxExcluded = 0.1
	}
	if cfg.InitialBackoff == 0 {
		cfg.InitialBackoff = time.Minute
	}
	if cfg.MaxBackoff == 0 {
		cfg.MaxBackoff = time.Hour
	}
	return &Tracker{cfg: cfg, workers: shard.NewMap[id.Worker, workerState](),
		jobs: shard.NewMap[id.Job, jobState](), accounts: shard.NewMap[id.Account, []id.Worker](),
		out: make(map[id.Worker]struct{})}
}

// Record takes the outcome of one task and returns the status of its worker.
func (t *Tracker) Record(worker id.Worker, job id.Job, account id.Account, outcome Outcome, now time.Time) Status {
	t.noteJob(worker, job, outcome)
	if outcome == Succeeded {
		t.accounts.Delete(account)
		return t.succeeded(worker)
	}
	t.noteAccount(worker, account)
	var state workerState
	t.workers.Update(worker, func(s workerState, _ bool) (workerState, bool) {
		f := failure{job, account}
		if !slices.Contains(s.failures, f) {
			s.failures = append(slices.Clone(s.failures), f)
		}
		if extra := len(s.failures) - maxEvidence; extra > 0 {
			s.failures = s.failures[extra:]
		}
		state = s
		return s, true
	})
	if state.out {
		return t.probeFailed(worker, now)
	}
	if !t.convicts(state.failures) {
		return Status{}
	}
	if !t.remove(worker) {
		return Status{Reason: "the worker fails its tasks, but too many workers are out already"}
	}
	return t.setOut(worker, t.cfg.InitialBackoff, now, true)
}

// ProbeDue reports whether a worker that is out may get probe work.
func (t *Tracker) ProbeDue(worker id.Worker, now time.Time) bool {
	s, _ := t.workers.Get(worker)
	return s.out && !now.Before(s.probe)
}

// Excluded returns the workers that are out, in order of name.
func (t *Tracker) Excluded() []id.Worker {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]id.Worker, 0, len(t.out))
	for w := range t.out {
		out = append(out, w)
	}
	slices.Sort(out)
	return out
}

// Forget drops what is known of a job that has ended.
func (t *Tracker) Forget(job id.Job) { t.jobs.Delete(job) }

// convicts reports whether failures count against the worker: enough distinct
// jobs that ran well elsewhere, or as many jobs from several accounts that do
// not fail everywhere.
func (t *Tracker) convicts(failures []failure) bool {
	ranElsewhere, suspect := 0, 0
	accounts := make(map[id.Account]bool)
	for _, f := range failures {
		j, _ := t.jobs.Get(f.job)
		switch {
		case j.ranWell:
			ranElsewhere++
			suspect++
			accounts[f.account] = true
		case len(j.failed) > badJob || t.failsEverywhere(f.account):
		default:
			suspect++
			accounts[f.account] = true
		}
	}
	return ranElsewhere >= t.cfg.FailureThreshold || suspect >= t.cfg.FailureThreshold && len(accounts) > 1
}

func (t *Tracker) failsEverywhere(account id.Account) bool {
	workers, _ := t.accounts.Get(account)
	return len(workers) > badAccount
}

func (t *Tracker) noteJob(worker id.Worker, job id.Job, outcome Outcome) {
	if _, known := t.jobs.Get(job); !known && t.jobs.Len() >= maxJobs {
		return
	}
	t.jobs.Update(job, func(s jobState, _ bool) (jobState, bool) {
		if outcome == Succeeded {
			s.ranWell = true
		} else if !slices.Contains(s.failed, worker) && len(s.failed) < maxEvidence {
			s.failed = append(slices.Clone(s.failed), worker)
		}
		return s, true
	})
}

// noteAccount keeps the workers on which an account's jobs failed since one
// of its jobs succeeded.
func (t *Tracker) noteAccount(worker id.Worker, account id.Account) {
	t.accounts.Update(account, func(w []id.Worker, _ bool) ([]id.Worker, bool) {
		if !slices.Contains(w, worker) {
			w = append(slices.Clone(w), worker)
		}
		return w[max(0, len(w)-maxEvidence):], true
	})
}

func (t *Tracker) succeeded(worker id.Worker) Status {
	var was workerState
	t.workers.Update(worker, func(s workerState, _ bool) (workerState, bool) {
		was = s
		return workerState{}, false
	})
	if !was.out {
		return Status{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.out, worker)
	return Status{Changed: true, Reason: "probe work succeeded"}
}

func (t *Tracker) probeFailed(worker id.Worker, now time.Time) Status {
	s, _ := t.workers.Get(worker)
	if now.Before(s.probe) {
		return Status{Excluded: true, NextProbe: s.probe, Reason: "work from before the removal failed"}
	}
	return t.setOut(worker, min(2*s.backoff, t.cfg.MaxBackoff), now, false)
}

func (t *Tracker) setOut(worker id.Worker, backoff time.Duration, now time.Time, changed bool) Status {
	probe := now.Add(backoff)
	t.workers.Update(worker, func(s workerState, _ bool) (workerState, bool) {
		s.out, s.backoff, s.probe = true, backoff, probe
		return s, true
	})
	return Status{Excluded: true, Changed: changed, NextProbe: probe, Reason: "tasks of several jobs fail on it that do not fail everywhere"}
}

// remove counts a worker as out unless too many are.
func (t *Tracker) remove(worker id.Worker) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if float64(len(t.out)+1) > max(1, t.cfg.MaxExcluded*float64(t.cfg.FleetSize)) {
		return false
	}
	t.out[worker] = struct{}{}
	return true
}
