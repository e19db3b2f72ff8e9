// Package pipe composes the stages that process requests, jobs, records and
// decisions. Each stage is a Filter. Then composes filters that run on the same
// goroutine; a Queue is a bounded pipe between filters that run on different
// goroutines.
package pipe

import (
	"context"
	"fmt"
	"time"

	"bronzewinch.dev/lib/problem"

	"github.com/VictoriaMetrics/metrics"
)

// Filter converts an item to the input of the next stage, or rejects it with an
// error. Filters are safe for concurrent use.
type Filter[In, Out any] interface {
	Process(ctx context.Context, in In) (Out, error)
}

// Func adapts a function to the Filter interface.
type Func[In, Out any] func(ctx context.Context, in In) (Out, error)

func (f Func[In, Out]) Process(ctx context.Context, in In) (Out, error) { return f(ctx, in) }

type chain[A, B, C any] struct {
	first  Filter[A, B]
	second Filter[B, C]
}

// Then returns a filter that passes the output of first to second. An item that
// first rejects does not reach second.
func Then[A, B, C any](first Filter[A, B], second Filter[B, C]) Filter[A, C] {
	return chain[A, B, C]{first, second}
}

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

// Instrument returns a filter that calls f and updates metrics in set: the
// histogram bronzewinch_stage_seconds and, for rejected items, the counter
// bronzewinch_stage_refused_total with the kind of error. Both have the label
// stage, whose value is name.
func Instrument[In, Out any](set *metrics.Set, name string, f Filter[In, Out]) Filter[In, Out] {
	return &instrumented[In, Out]{
		filter:  f,
		name:    name,
		set:     set,
		seconds: set.GetOrCreateHistogram(fmt.Sprintf("bronzewinch_stage_seconds{stage=%q}", name)),
	}
}

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
