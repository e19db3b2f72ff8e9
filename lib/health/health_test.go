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

// TestFailingWorker guards against a worker that fails everything staying in
// placement, and against one that never comes back after repair.
func TestFailingWorker(t *testing.T) {
	is := is.New(t)
	h := health.New(health.Config{FleetSize: 50})
	var v health.Status
	for i := range 3 {
		v = h.Record("bad", jobID(i), "a", health.Failed, start)
		is.True(!v.Excluded) // one account's jobs that ran nowhere else prove nothing
		h.Record("good", jobID(i), "a", health.Succeeded, start)
	}
	v = h.Record("bad", jobID(3), "a", health.Failed, start)
	is.True(v.Excluded && v.Changed)
	is.Equal(h.Excluded(), []id.Worker{"bad"})
	is.True(!h.ProbeDue("bad", start))
	is.True(h.ProbeDue("bad", v.NextProbe))
	again := h.Record("bad", "probe", "a", health.Failed, v.NextProbe)
	is.Equal(again.NextProbe.Sub(v.NextProbe), 2*v.NextProbe.Sub(start)) // backoff doubles
	v = h.Record("bad", "probe2", "a", health.Succeeded, again.NextProbe)
	is.True(!v.Excluded && v.Changed)
	is.Equal(len(h.Excluded()), 0)
}

// TestBadJobs guards against a wave of bad jobs removing workers.
func TestBadJobs(t *testing.T) {
	const fleet = 50
	cases := []struct {
		name     string
		accounts []id.Account
		retries  int // workers on which each job is tried
		most     int
	}{
		{"one account, each job once", []id.Account{"a"}, 1, 0},
		{"one account, retried", []id.Account{"a"}, 5, 0},
		{"two accounts, retried", []id.Account{"a", "b"}, 5, 5},
		{"ten accounts, each job once", []id.Account{"a", "b", "c", "d", "e", "f", "g", "h", "i", "k"}, 1, 5},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := health.New(health.Config{FleetSize: fleet})
			for i := range 500 {
				for r := range c.retries {
					h.Record(worker((i*7+r*13)%fleet), jobID(i), c.accounts[i%len(c.accounts)], health.Failed, start)
				}
			}
			is.True(len(h.Excluded()) <= c.most)
		})
	}
}

// TestSeveralAccounts guards against a worker staying in that fails the jobs
// of several accounts, none of which was tried elsewhere.
func TestSeveralAccounts(t *testing.T) {
	is := is.New(t)
	h := health.New(health.Config{FleetSize: 50})
	h.Record("bad", "j1", "a", health.Failed, start)
	h.Record("bad", "j2", "b", health.Failed, start)
	is.True(h.Record("bad", "j3", "c", health.Failed, start).Excluded)
}
