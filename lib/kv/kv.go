// Package kv implements the client of the platform's key-value service, over HTTP
// and JSON. Its errors distinguish a call that had no effect (Unavailable) from one
// that was sent but got no reply (Unknown).
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

// Defaults of Config, and the limits of bulk clients.
const (
	// DefaultTimeout is a thousand times the usual response time.
	DefaultTimeout = 2 * time.Second
	// DefaultWatchWait limits an idle watch to three calls per minute.
	DefaultWatchWait = 20 * time.Second
	// DefaultRate, in calls per second, and DefaultBurst allow a node to take over
	// all shards of another within a second. Eight nodes at the full rate use less
	// than half of the service's read rate.
	DefaultRate  unit.PerSecond = 200
	DefaultBurst int            = 200
	// bulkShare is the maximum share of the rate that a bulk client uses. Its burst
	// is the total burst divided by bulkBurstDivisor.
	bulkShare        = 0.3
	bulkBurstDivisor = 10
	// DefaultConnections limits the connections of a node to the service.
	DefaultConnections unit.Connections = 16
)

// Config configures a Client. Fields other than URL and Name are optional: their
// zero values select the defaults.
type Config struct {
	// URL is the base address of the service, without a path.
	URL string
	// Name identifies the client to the service. It is sent with each call.
	Name string
	// Timeout limits each attempt of a call. Watches add WatchWait to it.
	Timeout time.Duration
	// WatchWait is the maximum time that the service waits for a change before it
	// replies to a watch.
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
	// bulkLimiter is an additional limit of a client that Bulk returned. It is nil
	// for other clients.
	bulkLimiter  *rate.Limiter
	retryBudget  *rate.Limiter
	callCounters map[Op]*metrics.Counter
}

// New returns a client of the service at config.URL. It makes no call.
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
		// Retries use at most a tenth of the rate, so that an outage does not
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

// Bulk returns a client for calls that can wait and whose number increases with the
// load of callers. It shares the rate limit of c, but uses at most bulkShare of it,
// in small bursts. Calls of c itself, such as claims of shards, therefore get a
// token immediately. Closing c closes both clients.
func (c *Client) Bulk() *Client {
	bulk := *c
	bulk.bulkLimiter = rate.NewLimiter(rate.Limit(bulkShare*float64(c.config.Rate)), max(1, c.config.Burst/bulkBurstDivisor))
	return &bulk
}

// Close closes idle connections to the service.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get returns the item of a key. If there is none, the error is NotFound.
func (c *Client) Get(ctx context.Context, key string) (Item, error) {
	return read[KeyRequest, Item](ctx, c, OpGet, KeyRequest{Key: key}, c.config.Timeout)
}

// Put sets the value of a key if its current version is expect, where zero means
// that the key is absent. Otherwise the error is Conflict. With a lease, the key is
// deleted when the lease expires or is revoked. If that has already happened, the
// error is NotFound.
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

// Delete deletes a key if its current version is expect. Otherwise the error is
// Conflict, or NotFound if the key is absent.
func (c *Client) Delete(ctx context.Context, key string, expect Version) error {
	_, err := write[KeyRequest, EmptyReply](ctx, c, OpDelete, KeyRequest{Key: key, Expect: expect})
	return err
}

// List returns up to limit items whose keys start with prefix and follow after, in
// the order of their keys. The service may return fewer items to limit the size of
// the reply. It returns none only if there are no further items.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) ([]Item, error) {
	r, err := read[ListRequest, ListReply](ctx, c, OpList,
		ListRequest{Prefix: prefix, After: after, Limit: limit}, c.config.Timeout)
	return r.Items, err
}

// Watch waits for changes under a prefix after a version and returns them with the
// version from which to watch next. It returns no events if none came within the
// configured wait. From version zero it returns the current items immediately. If
// the service no longer has the changes after the version, the error is Expired,
// and the caller must watch from zero again.
func (c *Client) Watch(ctx context.Context, prefix string, from Version) ([]Event, Version, error) {
	r, err := read[WatchRequest, WatchReply](ctx, c, OpWatch,
		WatchRequest{Prefix: prefix, From: from, WaitMillis: c.config.WatchWait.Milliseconds()},
		c.config.WatchWait+c.config.Timeout)
	return r.Events, r.Version, err
}

// Grant creates a lease that expires after ttl unless it is renewed.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	r, err := write[LeaseRequest, LeaseReply](ctx, c, OpGrant, LeaseRequest{TTLMillis: ttl.Milliseconds()})
	return r.ID, err
}

// KeepAlive renews a lease for its time to live. If the lease has expired, the error
// is NotFound.
func (c *Client) KeepAlive(ctx context.Context, lease LeaseID) error {
	_, err := write[LeaseRequest, EmptyReply](ctx, c, OpKeepAlive, LeaseRequest{ID: lease})
	return err
}

// Revoke ends a lease immediately and deletes its keys.
func (c *Client) Revoke(ctx context.Context, lease LeaseID) error {
	_, err := write[LeaseRequest, EmptyReply](ctx, c, OpRevoke, LeaseRequest{ID: lease})
	return err
}
