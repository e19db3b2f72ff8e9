package worker

import (
	"context"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/shard"
	"bronzewinch.dev/lib/timer"
)

// Transport carries one command to a worker. Its errors are problem errors:
// Unavailable when the worker was not reached, Unknown when the command was
// sent and no answer came, Fenced when the worker refused the epoch, and
// Conflict when it has started again.
type Transport interface {
	Call(ctx context.Context, worker id.Worker, c Command) (Response, error)
}

// Defaults of a Config.
const (
	// DefaultTimeout is one renewal interval, so that a slow worker misses at
	// most one renewal for each call.
	DefaultTimeout = time.Second
	// DefaultConcurrency bounds the open calls of one client. The largest
	// zones have about 160 workers.
	DefaultConcurrency = 256
)

// Config describes a Client.
type Config struct {
	Transport   Transport
	Clock       timer.Service
	Timeout     time.Duration // for one call, zero for DefaultTimeout
	Concurrency int           // calls at once, zero for DefaultConcurrency
}

// Client sends commands to workers. It is safe for concurrent use.
type Client struct {
	cfg    Config
	slots  chan struct{}
	clocks *shard.Map[id.Worker, clockReading]
}

// clockReading is a worker's clock as last heard, and when.
type clockReading struct {
	boot  uint64
	clock time.Duration
	at    time.Time
}

// workerTime returns t by the worker's clock. The reading was older than at when it
// arrived, so the result is never later than t.
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

// Call sends one command and returns the reports of the answer. Before the
// first command that grants a lease it lists the worker, to learn its clock.
func (c *Client) Call(ctx context.Context, worker id.Worker, cmd Command) ([]Report, error) {
	select {
	case c.slots <- struct{}{}:
		defer func() { <-c.slots }()
	case <-ctx.Done():
		return nil, problem.New(problem.Unavailable, problem.Detail{
			Field: "worker", Value: string(worker), Remedy: "try again; too many calls were in progress"})
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

// call sends cmd within the timeout and keeps the reading of the clock.
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

// withTimeout returns a context that ends after the timeout by the client's
// clock.
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
