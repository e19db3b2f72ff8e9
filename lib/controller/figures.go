package controller

import (
	"fmt"

	"bronzewinch.dev/lib/planner"

	"github.com/VictoriaMetrics/metrics"
)

// ownerMetrics holds the metrics that the owner records.
type ownerMetrics struct {
	set *metrics.Set
	// commitSeconds is the time from a decision until it is stored, including
	// retries.
	commitSeconds *metrics.Histogram
	// startWaitSeconds is how long started tasks had waited.
	startWaitSeconds *metrics.Histogram
	// stoppedRunSeconds is how long runs had been running when they were ordered
	// to stop.
	stoppedRunSeconds *metrics.Histogram
	// runTimeRatio is the ratio of run times to what was expected of them.
	runTimeRatio *metrics.Histogram
	// refusedJobs counts submissions that were refused for want of memory.
	refusedJobs *metrics.Counter
	// loadSeconds is how long a new owner took to load the stored state.
	loadSeconds *metrics.Histogram
}

func newOwnerMetrics(set *metrics.Set) *ownerMetrics {
	return &ownerMetrics{
		set:               set,
		commitSeconds:     set.GetOrCreateHistogram("bronzewinch_commit_seconds"),
		startWaitSeconds:  set.GetOrCreateHistogram("bronzewinch_start_wait_seconds"),
		stoppedRunSeconds: set.GetOrCreateHistogram("bronzewinch_stopped_run_seconds"),
		runTimeRatio:      set.GetOrCreateHistogram("bronzewinch_run_time_ratio"),
		refusedJobs:       set.GetOrCreateCounter("bronzewinch_jobs_refused_total"),
		loadSeconds:       set.GetOrCreateHistogram("bronzewinch_load_seconds"),
	}
}

// setApart counts a record that the store rejects.
func (m *ownerMetrics) setApart(kind recordKind) {
	m.set.GetOrCreateCounter(fmt.Sprintf("bronzewinch_records_set_apart_total{kind=%q}", kind)).Inc()
}

// count adds a decision to the metrics.
func (m *ownerMetrics) count(d planner.Decision) {
	m.set.GetOrCreateCounter(fmt.Sprintf("bronzewinch_decisions_total{event=%q}", d.Event)).Inc()
	switch d.Event {
	case "start":
		m.startWaitSeconds.Update(d.Age.Seconds())
	case "ended":
		if d.Expected > 0 && d.Age > 0 {
			m.runTimeRatio.Update(d.Age.Seconds() / d.Expected.Seconds())
		}
	case "stop":
		m.stoppedRunSeconds.Update(d.Age.Seconds())
	}
}
