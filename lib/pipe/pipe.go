// Package pipe joins the stages that requests, jobs, records and decisions
// travel through. A stage is a Filter with one job. Filters that run on the
// same goroutine are joined by Then; a Queue is the bounded pipe between
// filters that run on different goroutines.
package pipe

import (
	"context"
	"fmt"
	"time"

	"bronzewinch.dev/lib/problem"

	"github.com/VictoriaMetrics/metrics"
)

// Filter turns one item into the next stage's item, or refuses it with an
// error. A filter is safe for use by several goroutines.
type Filter[In, Out any] interface {
	Process(ctx context.Context, in In) (Out, error)
}

// Func makes a function a Filter.
type Func[In, Out any] func(ctx context.Context, in In) (Out, error)

// Process calls f.
func (f Func[In, Out]) Process(ctx context.Context, in In) (Out, error) { return f(ctx, in) }

type chain[A, B, C any] struct {
	first  Filter[A, B]
	second Filter[B, C]
}

// Then returns a filter that passes the output of first to second. An item
// that first refuses does not reach second.
func Then[A, B, C any](first Filter[A, B], second Filter[B, C]) Filter[A, C] {
	return chain[A, B, C]{first, second}
}

// Process passes in through both filters.
func (j chain[A, B, C]) Process(ctx context.Context, in A) (C, error) {
	mid, err := j.first.Process(ctx, in)
	if err != nil {
		var zero C
		return zero, err
	}
	return j.second.Process(ctx, mid)
}

type instrumented[In, Out any] struct {
	filter  Filter[In, Out]
	name    string
	set     *metrics.Set
	seconds *metrics.Histogram
}

// Instrument returns f with metrics: the histogram bronzewinch_stage_seconds and
// the counter bronzewinch_stage_refused_total by kind of error, both with the
// label stage.
func Instrument[In, Out any](set *metrics.Set, name string, f Filter[In, Out]) Filter[In, Out] {
	return &instrumented[In, Out]{
		filter:  f,
		name:    name,
		set:     set,
		seconds: set.GetOrCreateHistogram(fmt.Sprintf("bronzewinch_stage_seconds{stage=%q}", name)),
	}
}

// Process passes in through the filter and counts the result.
func (n *instrumented[In, Out]) Process(ctx context.Context, in In) (Out, error) {
	start := time.Now()
	out, err := n.filter.Process(ctx, in)
	n.seconds.UpdateDuration(start)
	if err != nil {
		n.set.GetOrCreateCounter(fmt.Sprintf("bronzewinch_stage_refused_total{stage=%q,kind=%q}",
			n.name, problem.KindOf(err))).Inc()
	}
	return out, err
}
