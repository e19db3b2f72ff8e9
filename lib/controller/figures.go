package controller

import (
	"fmt"

	"bronzewinch.dev/lib/planner"

	"github.com/VictoriaMetrics/metrics"
)

// ownerMetrics are the metrics of the owner.
type ownerMetrics struct {
	set *metrics.Set
	// commitSeconds is the time from a decision until it is stored.
	commitSeconds *metrics.Histogram
	// startWaitSeconds is the time for which tasks that start have waited.
	startWaitSeconds *metrics.Histogram
	// stoppedRunSeconds is how long runs had gone on that were ordered to stop.
	stoppedRunSeconds *metrics.Histogram
	// loadSeconds is the time in which a new owner reads the stored state.
	loadSeconds *metrics.Histogram
}

func newOwnerMetrics(set *metrics.Set) *ownerMetrics {
	return &ownerMetrics{
		set:               set,
		commitSeconds:     set.GetOrCreateHistogram("bronzewinch_commit_seconds"),
		startWaitSeconds:  set.GetOrCreateHistogram("bronzewinch_start_wait_seconds"),
		stoppedRunSeconds: set.GetOrCreateHistogram("bronzewinch_stopped_run_seconds"),
		loadSeconds:       set.GetOrCreateHistogram("bronzewinch_load_seconds"),
	}
}

// count counts a decision.
func (f *ownerMetrics) count(d planner.Decision) {
	f.set.GetOrCreateCounter(fmt.Sprintf("bronzewinch_decisions_total{event=%q}", d.Event)).Inc()
	switch d.Event {
	case "start":
		f.startWaitSeconds.Update(d.Age.Seconds())
	case "stop":
		f.stoppedRunSeconds.Update(d.Age.Seconds())
	}
}
