package worker

import (
	"context"
	"fmt"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/shard"
	"bronzewinch.dev/lib/timer"
)

// Transport sends a command to a worker. Its errors have one of these kinds:
// Unavailable when the worker could not be reached, Unknown when the command was
// sent and no valid response arrived, Fenced when the worker rejected the epoch,
// and Conflict when the worker has restarted.
type Transport interface {
	Call(ctx context.Context, worker id.Worker, c Command) (Response, error)
}

// Defaults of a Config.
const (
	// DefaultTimeout equals the renewal interval of leases, so that a
	// worker that responds slowly misses at most one renewal per call.
	DefaultTimeout = time.Second
	// DefaultConcurrency is the maximum number of concurrent calls of a client.
	// The largest zones have about 160 workers, so it allows a call to each.
	DefaultConcurrency = 256
)

// Config describes a Client.
type Config struct {
	Transport   Transport
	Clock       timer.Service
	Timeout     time.Duration // of one call; zero means DefaultTimeout
	Concurrency int           // maximum number of concurrent calls; zero means DefaultConcurrency
}

// Client sends commands to workers. It is safe for concurrent use.
type Client struct {
	cfg    Config
	slots  chan struct{}
	clocks *shard.Map[id.Worker, clockReading]
}

// clockReading is the clock of a worker as it stood in the last response.
type clockReading struct {
	boot  uint64
	clock time.Duration // time since the worker started
	at    time.Time     // time on the client's clock when the response arrived
}

// workerTime converts t to the worker's clock. The worker read its clock before
// the response arrived, so the result is never later than t.
func (r clockReading) workerTime(t time.Time) time.Duration { return r.clock + t.Sub(r.at) }

// New returns a client.
func New(cfg Config) *Client {
	if cfg.Timeout == 0 {
		cfg.Timeout = DefaultTimeout
	}
	if cfg.Concurrency == 0 {
		cfg.Concurrency = DefaultConcurrency
	}
	return &Client{cfg: cfg, slots: make(chan struct{}, cfg.Concurrency), clocks: shard.NewMap[id.Worker, clockReading]()}
}

// Call sends a command and returns the reports of the response. If no clock
// reading of the worker is known, it sends a List command before a command that
// grants a lease, because the expiry has to be converted to the worker's clock.
func (c *Client) Call(ctx context.Context, worker id.Worker, cmd Command) ([]Report, error) {
	select {
	case c.slots <- struct{}{}:
		defer func() { <-c.slots }()
	case <-ctx.Done():
		return nil, problem.New(problem.Unavailable, problem.Detail{
			Field: "worker", Value: string(worker),
			Limit: fmt.Sprintf("%d concurrent calls", c.cfg.Concurrency), Remedy: "retry when fewer calls to workers are in progress"})
	}
	r, known := c.clocks.Get(worker)
	if !known && (cmd.Kind.Creates() || cmd.Kind == Renew) {
		if _, err := c.call(ctx, worker, Command{Kind: List, Shard: cmd.Shard, Epoch: cmd.Epoch}); err != nil {
			return nil, err
		}
		r, _ = c.clocks.Get(worker)
	}
	cmd.Boot = r.boot
	for i := range cmd.Tasks {
		if t := &cmd.Tasks[i]; !t.LeaseExpiry.IsZero() {
			t.WorkerLeaseExpiry = r.workerTime(t.LeaseExpiry)
		}
	}
	return c.call(ctx, worker, cmd)
}

// call sends cmd with the timeout of one call, and stores the clock reading of
// the response. On a Conflict error it deletes the reading, because the worker has
// restarted.
func (c *Client) call(ctx context.Context, worker id.Worker, cmd Command) ([]Report, error) {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	resp, err := c.cfg.Transport.Call(ctx, worker, cmd)
	if err != nil {
		if problem.Is(err, problem.Conflict) {
			c.clocks.Delete(worker)
		}
		return nil, err
	}
	c.clocks.Set(worker, clockReading{boot: resp.Boot, clock: resp.Clock, at: c.cfg.Clock.Now()})
	return resp.Tasks, nil
}

// withTimeout returns a context that is cancelled after the timeout of one call,
// measured on the client's clock. context.WithTimeout would not use that clock.
func (c *Client) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	sub := c.cfg.Clock.After(c.cfg.Timeout)
	go func() {
		select {
		case <-sub.C:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, func() {
		sub.Stop()
		cancel()
	}
}
