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

// inFlight counts the requests in progress and the bytes of their bodies.
type inFlight struct {
	requests  atomic.Int64
	bodyBytes atomic.Int64
	draining  atomic.Bool
	idle      chan struct{} // receives a token when a request ends while draining and none is left
	prefix    string        // of generated request ids; random for each process
	serial    atomic.Uint64
}

func (i *inFlight) init() {
	i.idle = make(chan struct{}, 1)
	i.prefix = "~" + strconv.FormatUint(rand.Uint64(), 36) + "-"
}

func (i *inFlight) start() { i.requests.Add(1) }

func (i *inFlight) end() {
	if i.requests.Add(-1) == 0 && i.draining.Load() {
		i.signal()
	}
}

func (i *inFlight) signal() {
	select {
	case i.idle <- struct{}{}:
	default:
	}
}

// reserveBody reserves memory for a body. It returns false if the total would
// exceed the limit.
func (i *inFlight) reserveBody(size, limit unit.Bytes) bool {
	if i.bodyBytes.Add(int64(size)) <= int64(limit) {
		return true
	}
	i.bodyBytes.Add(-int64(size))
	return false
}

// hasRoom reports whether a body of a size, or of -1 if it is not known, would fit now.
func (i *inFlight) hasRoom(size, limit unit.Bytes) bool {
	return unit.Bytes(i.bodyBytes.Load())+max(0, size) <= limit
}

func (i *inFlight) releaseBody(size unit.Bytes) { i.bodyBytes.Add(-int64(size)) }

// Ready reports whether this node accepts new requests.
func (f *Frontend) Ready() bool { return !f.inFlight.draining.Load() && f.configured() == nil }

// configured returns an error as long as this node has no configuration.
func (f *Frontend) configured() error {
	if f.config.Ready == nil {
		return nil
	}
	return f.config.Ready()
}

// StartDraining makes the node report that it is not ready and close the connection
// of a caller after its next response. Requests that still arrive are served.
func (f *Frontend) StartDraining() { f.inFlight.draining.Store(true) }

// Drain calls StartDraining and waits until no request is in progress or ctx ends.
func (f *Frontend) Drain(ctx context.Context) error {
	f.StartDraining()
	for f.inFlight.requests.Load() > 0 {
		select {
		case <-f.inFlight.idle:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// keyOf returns the key of a request, which contains the account, so that accounts
// can't fetch each other's responses. For a request without an id it generates one
// that no caller can choose, because the ids of callers contain no '~'.
func (f *Frontend) keyOf(account id.Account, request id.Request) id.Request {
	if request == "" {
		request = id.Request(f.inFlight.prefix + strconv.FormatUint(f.inFlight.serial.Add(1), 36))
	}
	return id.Request(account) + "/" + request
}

// counts contains the counters of the request path.
type counts struct {
	retries, rejected, expired, finishFailures *metrics.Counter
	outcomes                                   map[outcome.Outcome]*metrics.Counter
}

func newCounts(set *metrics.Set) counts {
	c := counts{
		retries:        set.GetOrCreateCounter("bronzewinch_request_retries_total"),
		rejected:       set.GetOrCreateCounter("bronzewinch_request_refused_total"),
		expired:        set.GetOrCreateCounter("bronzewinch_request_dropped_total"),
		finishFailures: set.GetOrCreateCounter("bronzewinch_request_unfinished_total"),
		outcomes:       make(map[outcome.Outcome]*metrics.Counter),
	}
	for _, o := range []outcome.Outcome{outcome.Done, outcome.NotRun, outcome.Unknown} {
		c.outcomes[o] = set.GetOrCreateCounter(fmt.Sprintf("bronzewinch_requests_total{outcome=%q}", o))
	}
	return c
}

// record counts the outcome of a request.
func (c *counts) record(reply Reply, err error) {
	o := reply.Outcome
	if err != nil {
		o = FailureOf(err).Outcome
	}
	if counter := c.outcomes[o]; counter != nil {
		counter.Inc()
	}
}
