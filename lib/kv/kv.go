// Package kv is the client of the platform's key-value service over HTTP and
// JSON. Its errors tell a call that had no effect (Unavailable) from one that
// was sent and not answered (Unknown).
package kv

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/timer"
	"bronzewinch.dev/lib/unit"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/time/rate"
)

// Defaults of Config.
const (
	// DefaultTimeout is a thousand times the usual answer time.
	DefaultTimeout = 2 * time.Second
	// DefaultWatchWait keeps an idle watch at three calls a minute.
	DefaultWatchWait = 20 * time.Second
	// DefaultRate and DefaultBurst let one node take over all shards of
	// another within a second. Eight nodes at the full rate stay under half of
	// the service's read rate.
	DefaultRate  unit.PerSecond = 200
	DefaultBurst int            = 200
	// bulkShare is the part of the rate that Bulk clients take at most, and
	// bulkBursts the number of their bursts in the burst of all.
	bulkShare        = 0.3
	bulkBurstDivisor = 10
	// DefaultConnections bounds the connections of a node to the service.
	DefaultConnections unit.Connections = 16
)

// Config is what a Client needs. Zero values of the optional fields take the
// defaults.
type Config struct {
	// URL is the base address of the service, without a path.
	URL string
	// Name is sent with each call as the client's name.
	Name string
	// Timeout bounds each attempt except watches.
	Timeout time.Duration
	// WatchWait is how long the service may hold a watch.
	WatchWait time.Duration
	// Rate and Burst limit the calls of this client, retries included.
	Rate        unit.PerSecond
	Burst       int
	Connections unit.Connections
	Timer       timer.Service
	Metrics     *metrics.Set
}

func (c *Config) setDefaults() {
	if c.Timeout <= 0 {
		c.Timeout = DefaultTimeout
	}
	if c.WatchWait <= 0 {
		c.WatchWait = DefaultWatchWait
	}
	if c.Rate <= 0 {
		c.Rate = DefaultRate
	}
	if c.Burst <= 0 {
		c.Burst = DefaultBurst
	}
	if c.Connections <= 0 {
		c.Connections = DefaultConnections
	}
	if c.Timer == nil {
		c.Timer = timer.NewSystem()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}
}

// Client calls the key-value service. It is safe for use by several
// goroutines.
type Client struct {
	config  Config
	http    *http.Client
	limiter *rate.Limiter
	// bulkLimiter is one more limit for the calls of a client that Bulk made, or nil.
	bulkLimiter  *rate.Limiter
	retryBudget  *rate.Limiter
	callCounters map[Op]*metrics.Counter
}

// New returns a client. It makes no call.
func New(config Config) (*Client, error) {
	config.setDefaults()
	if !strings.HasPrefix(config.URL, "http://") && !strings.HasPrefix(config.URL, "https://") {
		return nil, problem.New(problem.Invalid, problem.Detail{
			Field: "key-value service address", Value: config.URL, Limit: "an http or https URL",
			Remedy: "set the URL of the key-value service in the settings"})
	}
	c := &Client{
		config:  config,
		limiter: rate.NewLimiter(rate.Limit(config.Rate), config.Burst),
		// Retries take at most a tenth of the rate, so an outage does not
		// multiply the load.
		retryBudget:  rate.NewLimiter(rate.Limit(config.Rate/10), max(1, config.Burst/10)),
		callCounters: make(map[Op]*metrics.Counter),
	}
	for _, op := range Ops {
		c.callCounters[op] = config.Metrics.GetOrCreateCounter(fmt.Sprintf("bronzewinch_kv_calls_total{op=%q}", op))
	}
	c.http = &http.Client{Transport: &http.Transport{
		MaxConnsPerHost:     int(config.Connections),
		MaxIdleConnsPerHost: int(config.Connections),
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}}
	return c, nil
}

// Bulk returns a client for calls that can wait, which grow with the load of
// callers. It shares the limit of c but takes at most bulkShare of it, in small
// bursts, so that the calls of c itself, such as claims of shards, find tokens
// at once. Closing c closes both.
func (c *Client) Bulk() *Client {
	bulk := *c
	bulk.bulkLimiter = rate.NewLimiter(rate.Limit(bulkShare*float64(c.config.Rate)), max(1, c.config.Burst/bulkBurstDivisor))
	return &bulk
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get returns the item of a key. It returns NotFound when there is none.
func (c *Client) Get(ctx context.Context, key string) (Item, error) {
	return read[KeyRequest, Item](ctx, c, OpGet, KeyRequest{Key: key}, c.config.Timeout)
}

// Put sets the value of a key if its present version is expect, where zero
// means that the key is absent. Otherwise it returns Conflict. With a lease,
// the key is deleted when the lease ends; NotFound means that the lease has
// ended.
func (c *Client) Put(ctx context.Context, key string, value []byte, expect Version, lease LeaseID) (Version, error) {
	if len(value) > MaxValue {
		return 0, problem.New(problem.Invalid, problem.Detail{
			Field: "value of " + key, Value: unit.Bytes(len(value)).String(), Limit: "1 MiB",
			Remedy: "split the value over several keys"})
	}
	r, err := write[PutRequest, VersionReply](ctx, c, OpPut,
		PutRequest{Key: key, Value: value, Expect: expect, Lease: lease})
	return r.Version, err
}

// Delete removes a key if its present version is expect. Otherwise it returns
// Conflict, or NotFound when the key is absent.
func (c *Client) Delete(ctx context.Context, key string, expect Version) error {
	_, err := write[KeyRequest, EmptyReply](ctx, c, OpDelete, KeyRequest{Key: key, Expect: expect})
	return err
}

// List returns up to limit items whose keys start with prefix and come after a
// key, in order of key. The service may return fewer than limit items to bound
// the size of an answer; it returns none only when no more are there.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) ([]Item, error) {
	r, err := read[ListRequest, ListReply](ctx, c, OpList,
		ListRequest{Prefix: prefix, After: after, Limit: limit}, c.config.Timeout)
	return r.Items, err
}

// Watch waits for changes under a prefix after a version and returns them with
// the version to watch from next. It returns no events when none came within
// the configured wait. From zero it returns the present items at once. Expired
// means that the service no longer has the changes after from: watch from zero
// again.
func (c *Client) Watch(ctx context.Context, prefix string, from Version) ([]Event, Version, error) {
	r, err := read[WatchRequest, WatchReply](ctx, c, OpWatch,
		WatchRequest{Prefix: prefix, From: from, WaitMillis: c.config.WatchWait.Milliseconds()},
		c.config.WatchWait+c.config.Timeout)
	return r.Events, r.Version, err
}

// Grant creates a lease that ends after ttl unless it is kept alive.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	r, err := write[LeaseRequest, LeaseReply](ctx, c, OpGrant, LeaseRequest{TTLMillis: ttl.Milliseconds()})
	return r.ID, err
}

// KeepAlive renews a lease for its time to live. NotFound means that it has
// ended.
func (c *Client) KeepAlive(ctx context.Context, lease LeaseID) error {
	_, err := write[LeaseRequest, EmptyReply](ctx, c, OpKeepAlive, LeaseRequest{ID: lease})
	return err
}

// Revoke ends a lease at once and deletes its keys.
func (c *Client) Revoke(ctx context.Context, lease LeaseID) error {
	_, err := write[LeaseRequest, EmptyReply](ctx, c, OpRevoke, LeaseRequest{ID: lease})
	return err
}
