package health_test

import (
	"fmt"
	"testing"
	"time"

	"bronzewinch.dev/lib/health"
	"bronzewinch.dev/lib/id"

	"github.com/matryer/is"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func worker(n int) id.Worker { return id.Worker(fmt.Sprintf("w%d", n)) }
func jobID(n int) id.Job     { return id.Job(fmt.Sprintf("j%d", n)) }

// TestFailingWorker guards against a worker on which every task fails and that
// stays in placement, and against one that is not used again after its repair.
func TestFailingWorker(t *testing.T) {
	is := is.New(t)
	tracker := health.New(health.Config{FleetSize: 50})
	var status health.Status
	for i := range 3 {
		status = tracker.Record("bad", jobID(i), "a", health.Failed, start)
		is.True(!status.Excluded) // the jobs of a single account have not yet succeeded elsewhere
		tracker.Record("good", jobID(i), "a", health.Succeeded, start)
	}
	status = tracker.Record("bad", jobID(3), "a", health.Failed, start)
	is.True(status.Excluded && status.Changed)
	is.Equal(tracker.Excluded(), []id.Worker{"bad"})
	is.True(!tracker.ProbeDue("bad", start))
	is.True(tracker.ProbeDue("bad", status.NextProbe))
	retried := tracker.Record("bad", "probe", "a", health.Failed, status.NextProbe)
	is.Equal(retried.NextProbe.Sub(status.NextProbe), 2*status.NextProbe.Sub(start)) // the backoff doubles
	status = tracker.Record("bad", "probe2", "a", health.Succeeded, retried.NextProbe)
	is.True(!status.Excluded && status.Changed)
	is.Equal(len(tracker.Excluded()), 0)
}

// TestFailingJobs guards against the exclusion of workers because of many jobs
// that fail everywhere.
func TestFailingJobs(t *testing.T) {
	const fleet = 50
	cases := []struct {
		name        string
		accounts    []id.Account
		retries     int // number of workers on which each job runs
		maxExcluded int
	}{
		{"one account, each job once", []id.Account{"a"}, 1, 0},
		{"one account, retried", []id.Account{"a"}, 5, 0},
		{"two accounts, retried", []id.Account{"a", "b"}, 5, 5},
		{"ten accounts, each job once", []id.Account{"a", "b", "c", "d", "e", "f", "g", "h", "i", "k"}, 1, 5},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			tracker := health.New(health.Config{FleetSize: fleet})
			for i := range 500 {
				for r := range c.retries {
					tracker.Record(worker((i*7+r*13)%fleet), jobID(i), c.accounts[i%len(c.accounts)], health.Failed, start)
				}
			}
			is.True(len(tracker.Excluded()) <= c.maxExcluded)
		})
	}
}

// TestFailuresOfSeveralAccounts guards against a worker that stays in placement
// although jobs of several accounts fail on it, because none of them ran
// elsewhere.
func TestFailuresOfSeveralAccounts(t *testing.T) {
	is := is.New(t)
	tracker := health.New(health.Config{FleetSize: 50})
	tracker.Record("bad", "j1", "a", health.Failed, start)
	tracker.Record("bad", "j2", "b", health.Failed, start)
	is.True(tracker.Record("bad", "j3", "c", health.Failed, start).Excluded)
}
