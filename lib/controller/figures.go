package controller

import (
	"fmt"

	"bronzewinch.dev/lib/planner"

	"github.com/VictoriaMetrics/metrics"
)

// figures are the metrics of the owner.
type figures struct {
	set *metrics.Set
	// commit is the time from a decision until it is stored.
	commit *metrics.Histogram
	// wait is the time for which tasks that start have waited.
	wait *metrics.Histogram
	// stop is how long runs had gone on that were ordered to stop.
	stop *metrics.Histogram
	// load is the time in which a new owner reads the stored state.
	load *metrics.Histogram
}

func newFigures(set *metrics.Set) *figures {
	return &figures{
		set:    set,
		commit: set.GetOrCreateHistogram("bronzewinch_commit_seconds"),
		wait:   set.GetOrCreateHistogram("bronzewinch_start_wait_seconds"),
		stop:   set.GetOrCreateHistogram("bronzewinch_stopped_run_seconds"),
		load:   set.GetOrCreateHistogram("bronzewinch_load_seconds"),
	}
}

// note counts a decision.
func (f *figures) note(n planner.Decision) {
	f.set.GetOrCreateCounter(fmt.Sprintf("bronzewinch_decisions_total{event=%q}", n.Event)).Inc()
	switch n.Event {
	case "start":
		f.wait.Update(n.Age.Seconds())
	case "stop":
		f.stop.Update(n.Age.Seconds())
	}
}
