package delegate

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"bronzewinch.dev/lib/controller"
	"bronzewinch.dev/lib/peer"
	"bronzewinch.dev/lib/planner"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/task"
	"bronzewinch.dev/lib/timer"
	"bronzewinch.dev/lib/unit"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"
)

// replyMargin is the part of a call's time that is reserved for the delegate's reply,
// so that a worker that does not answer can be told from a delegate that does not.
const replyMargin = 60 * time.Millisecond

// WorkersConfig configures Workers.
type WorkersConfig struct {
	// Direct makes calls from this node.
	Direct controller.Workers
	Table  *Table
	Pool   *peer.Pool
	// Cores and Link are the processor time and the network link of this node. Zero
	// means that they are not known.
	Cores   float64
	Link    unit.MegabitsPerSecond
	Metrics *metrics.Set
	// SinceBoot returns the time since this machine started, including the time for
	// which it was suspended. The default is timer.SinceBoot.
	SinceBoot func() time.Duration
}

// Workers makes the calls of the owner to workers: itself in a deployment that its
// resources suffice for, and otherwise through delegates.
type Workers struct {
	config   WorkersConfig
	capacity int
	spread   atomic.Bool // calls go through delegates
}

var (
	_ controller.Workers      = (*Workers)(nil)
	_ controller.LoadObserver = (*Workers)(nil)
)

// NewWorkers returns Workers that call workers directly until SetWorkers reports more
// of them than this node has the resources for.
func NewWorkers(c WorkersConfig) *Workers {
	if c.SinceBoot == nil {
		c.SinceBoot = timer.SinceBoot
	}
	return &Workers{config: c, capacity: capacity(c.Cores, c.Link)}
}

// SetWorkers sets the number of workers that the owner calls.
func (w *Workers) SetWorkers(n int) {
	spread := n > w.capacity
	if w.spread.Swap(spread) == spread {
		return
	}
	message := "the owner calls the workers itself"
	if spread {
		message = "other nodes call the workers for the owner"
	}
	klog.InfoS(message, "event", "delegate", "delegates", spread, "workers", n, "capacity", w.capacity)
}

// Poll requests a report of a worker's runs.
func (w *Workers) Poll(ctx context.Context, t controller.Target, req controller.PollRequest) (task.Report, error) {
	r, ok := w.route(ctx, t, req.Fence)
	if !ok {
		return w.config.Direct.Poll(ctx, t, req)
	}
	reply, err := forward[pollCall, pollReply](ctx, w, r, pollMethod, pollCall{Permit: r.permit, Worker: t.Worker, Address: t.Address,
		Acked: req.Acked, Until: req.Until, Wait: req.Wait})
	switch {
	case notMade(err):
		return w.config.Direct.Poll(ctx, t, req)
	case err != nil:
		return task.Report{}, err
	case reply.Err != nil:
		return task.Report{}, reply.Err
	}
	return reply.Report.decode(t.Worker), nil
}

// SendOrder sends an order about a run to a worker. After an error the worker may
// have executed the order.
func (w *Workers) SendOrder(ctx context.Context, t controller.Target, o planner.Order, fence task.Fence,
	until task.ClockMillis) (planner.OrderResult, error) {
	r, ok := w.route(ctx, t, fence)
	if !ok {
		return w.config.Direct.SendOrder(ctx, t, o, fence, until)
	}
	reply, err := w.forwardOrder(ctx, r, t, o, until)
	switch {
	case notMade(err):
		return w.config.Direct.SendOrder(ctx, t, o, fence, until)
	case err != nil:
		return "", err
	case reply.Err != nil:
		return "", reply.Err
	}
	return reply.Result, nil
}

// forwardOrder sends an order through a delegate. The spec is sent only if the delegate
// can't read it.
func (w *Workers) forwardOrder(ctx context.Context, r route, t controller.Target, o planner.Order, until task.ClockMillis) (orderReply, error) {
	call := orderCall{Permit: r.permit, Worker: t.Worker, Address: t.Address, Kind: o.Kind, Task: encodeName(o.Task), Run: o.Run,
		Checkpoint: o.Checkpoint, Ticket: o.Ticket, Pace: o.Pace, Until: until}
	reply, err := forward[orderCall, orderReply](ctx, w, r, orderMethod, call)
	if problem.Is(err, problem.NotFound) {
		call.Spec = &o.Spec
		return forward[orderCall, orderReply](ctx, w, r, orderMethod, call)
	}
	return reply, err
}

// route is the choice of a delegate for one call.
type route struct {
	node   Node
	permit permit
}

// route chooses the delegate for a call to a worker. It returns false if this node
// makes the call itself.
func (w *Workers) route(ctx context.Context, t controller.Target, fence task.Fence) (route, bool) {
	if !w.spread.Load() {
		return route{}, false
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		return route{}, false
	}
	key := string(t.Rack)
	if key == "" {
		key = string(t.Worker)
	}
	node, clock, ok := w.config.Table.Choose(w.config.SinceBoot(), t.Zone, key)
	if !ok {
		return route{}, false
	}
	return route{node: node, permit: permit{Fence: fence, Expires: clock + time.Until(deadline) - replyMargin}}, true
}

// notMade reports whether an error means that the delegate has certainly not made
// the call, so that the owner may make it. After a delegate has refused a call because
// it knows a later owner, this node must not make it either.
func notMade(err error) bool {
	return errors.Is(err, peer.ErrNotSent) || problem.Is(err, problem.Expired) || problem.Is(err, problem.NotFound)
}

// forward calls a method of a delegate. A delegate that does not answer is suspended.
func forward[Req, Resp any](ctx context.Context, w *Workers, r route, method string, req Req) (Resp, error) {
	resp, err := peer.Call[Req, Resp](ctx, w.config.Pool, r.node.Address, method, req)
	result := "ok"
	if err != nil {
		result = string(problem.KindOf(err))
	}
	w.config.Metrics.GetOrCreateCounter(fmt.Sprintf("bronzewinch_delegated_calls_total{method=%q,result=%q}", method, result)).Inc()
	unanswered := problem.Is(err, problem.Unavailable) || problem.Is(err, problem.Unknown)
	if unanswered && !errors.Is(ctx.Err(), context.Canceled) {
		w.config.Table.Suspend(w.config.SinceBoot(), r.node.Address)
	}
	return resp, err
}
