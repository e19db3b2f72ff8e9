package caller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync/atomic"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/outcome"
	"bronzewinch.dev/lib/unit"

	"github.com/VictoriaMetrics/metrics"
)

// work counts what is in progress on this node.
type work struct {
	requests atomic.Int64
	bodies   atomic.Int64
	draining atomic.Bool
	idle     chan struct{} // receives a token when a request ends while draining and none is left
	prefix   string
	serial   atomic.Uint64
}

func (w *work) init() {
	w.idle = make(chan struct{}, 1)
	w.prefix = "~" + strconv.FormatUint(rand.Uint64(), 36) + "-"
}

func (w *work) start() { w.requests.Add(1) }

func (w *work) end() {
	if w.requests.Add(-1) == 0 && w.draining.Load() {
		w.signal()
	}
}

func (w *work) signal() {
	select {
	case w.idle <- struct{}{}:
	default:
	}
}

// reserve takes memory for a body, within a limit.
func (w *work) reserve(size, limit unit.Bytes) bool {
	if w.bodies.Add(int64(size)) <= int64(limit) {
		return true
	}
	w.bodies.Add(-int64(size))
	return false
}

func (w *work) free(size unit.Bytes) { w.bodies.Add(-int64(size)) }

// Ready reports whether this node wants new requests.
func (f *Frontend) Ready() bool { return !f.work.draining.Load() && f.configured() == nil }

// configured returns why this node has no configuration yet, or nil.
func (f *Frontend) configured() error {
	if f.config.Ready == nil {
		return nil
	}
	return f.config.Ready()
}

// StartDraining makes the node report that it is not ready and close each caller's
// connection after its answer. Requests that still arrive are served.
func (f *Frontend) StartDraining() { f.work.draining.Store(true) }

// Drain leaves, and returns when no request is in progress, or when ctx ends.
func (f *Frontend) Drain(ctx context.Context) error {
	f.StartDraining()
	for f.work.requests.Load() > 0 {
		select {
		case <-f.work.idle:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// keyOf scopes an id by account, so that accounts can't see each other's
// answers. A request without an id gets one that no caller can choose, because
// a caller's id has no '~'.
func (f *Frontend) keyOf(account id.Account, request id.Request) id.Request {
	if request == "" {
		request = id.Request(f.work.prefix + strconv.FormatUint(f.work.serial.Add(1), 36))
	}
	return id.Request(account) + "/" + request
}

// counts are the counters of the request path.
type counts struct {
	retries, refused, dropped, unfinished *metrics.Counter
	outcomes                              map[outcome.Outcome]*metrics.Counter
}

func newCounts(set *metrics.Set) counts {
	c := counts{
		retries:    set.GetOrCreateCounter("bronzewinch_request_retries_total"),
		refused:    set.GetOrCreateCounter("bronzewinch_request_refused_total"),
		dropped:    set.GetOrCreateCounter("bronzewinch_request_dropped_total"),
		unfinished: set.GetOrCreateCounter("bronzewinch_request_unfinished_total"),
		outcomes:   make(map[outcome.Outcome]*metrics.Counter),
	}
	for _, o := range []outcome.Outcome{outcome.Done, outcome.NotRun, outcome.Unknown} {
		c.outcomes[o] = set.GetOrCreateCounter(fmt.Sprintf("bronzewinch_requests_total{outcome=%q}", o))
	}
	return c
}

func (c *counts) ended(reply Reply, err error) {
	o := reply.Outcome
	if err != nil {
		o = FailureOf(err).Outcome
	}
	if counter := c.outcomes[o]; counter != nil {
		counter.Inc()
	}
}
