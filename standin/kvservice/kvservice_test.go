package kvservice_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"bronzewinch.dev/lib/kv"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/timer"
	"bronzewinch.dev/standin/kvservice"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
)

var ctx = context.Background()

func startService(t *testing.T, config kvservice.Config) (*kvservice.Service, *kv.Client, *metrics.Set) {
	t.Helper()
	service := kvservice.New(config)
	server := httptest.NewServer(service.Handler())
	set := metrics.NewSet()
	client, err := kv.New(kv.Config{URL: server.URL, Name: "n1", Timeout: time.Second, WatchWait: 50 * time.Millisecond, Metrics: set})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		client.Close()
		server.CloseClientConnections()
		service.Close()
		server.Close()
	})
	return service, client, set
}

// TestCompareAndSwap guards against a write or delete that replaces a version
// other than the expected one, and against values above the size limit.
func TestCompareAndSwap(t *testing.T) {
	is := is.New(t)
	_, c, _ := startService(t, kvservice.Config{})
	v, err := c.Put(ctx, "a/1", []byte("x"), 0, "")
	is.NoErr(err)
	_, err = c.Put(ctx, "a/1", []byte("y"), 0, "")
	is.True(problem.Is(err, problem.Conflict))
	v2, err := c.Put(ctx, "a/1", []byte("z"), v, "")
	is.NoErr(err)
	is.True(v2 > v)
	is.True(problem.Is(c.Delete(ctx, "a/1", v), problem.Conflict))
	item, err := c.Get(ctx, "a/1")
	is.NoErr(err)
	is.Equal(string(item.Value), "z")
	is.NoErr(c.Delete(ctx, "a/1", v2))
	_, err = c.Get(ctx, "a/1")
	is.True(problem.Is(err, problem.NotFound))
	_, err = c.Put(ctx, "big", make([]byte, kv.MaxValue+1), 0, "")
	is.True(problem.Is(err, problem.Invalid))
	_, err = c.Put(ctx, "big", make([]byte, kv.MaxValue), 0, "")
	is.NoErr(err)
}

// TestErrorKinds guards against a lost reply to a write that is reported as
// unavailable, and against a rejection that is reported as an unknown result.
func TestErrorKinds(t *testing.T) {
	is := is.New(t)
	s, c, set := startService(t, kvservice.Config{})
	s.SetOutage(true)
	_, err := c.Put(ctx, "k", nil, 0, "")
	is.True(problem.Is(err, problem.Unavailable))
	s.SetOutage(false)
	s.LoseReplies("n1", 1)
	_, err = c.Put(ctx, "k", []byte("v"), 0, "")
	is.True(problem.Is(err, problem.Unknown))
	_, err = c.Get(ctx, "k") // the write took effect
	is.NoErr(err)
	s.Partition("n1", true)
	_, err = c.Get(ctx, "k")
	is.True(problem.Is(err, problem.Unavailable))
	s.Partition("n1", false)
	unreachable, err := kv.New(kv.Config{URL: "http://127.0.0.1:1", Name: "n2"})
	is.NoErr(err)
	_, err = unreachable.Put(ctx, "k", nil, 0, "")
	is.True(problem.Is(err, problem.Unavailable))
	var b strings.Builder
	set.WritePrometheus(&b)
	is.True(strings.Contains(b.String(), `bronzewinch_kv_calls_total{op="put"} 2`))
}

// TestLease guards against a key that remains after its lease has expired, also
// if no call but a watch is made.
func TestLease(t *testing.T) {
	is := is.New(t)
	clock := timer.NewManual(time.Unix(1000, 0))
	s := kvservice.New(kvservice.Config{Timer: clock})
	defer s.Close()
	c := s.LocalClient("n1")
	lease, err := c.Grant(ctx, time.Second)
	is.NoErr(err)
	v, err := c.Put(ctx, "own/a", nil, 0, lease)
	is.NoErr(err)
	clock.Advance(900 * time.Millisecond)
	is.NoErr(c.KeepAlive(ctx, lease))
	clock.Advance(900 * time.Millisecond)
	_, err = c.Get(ctx, "own/a")
	is.NoErr(err)
	clock.Advance(100 * time.Millisecond)
	events, _, err := c.Watch(ctx, "own/", v) // woken by the expiry of the lease
	is.NoErr(err)
	is.Equal(len(events), 1)
	is.True(events[0].Deleted)
	is.True(problem.Is(c.KeepAlive(ctx, lease), problem.NotFound))
	_, err = c.Put(ctx, "own/a", nil, 0, lease)
	is.True(problem.Is(err, problem.NotFound))
}

// TestWatch guards against a watch that misses a change, returns a change of
// another prefix, or polls in a tight loop: an idle watch makes one call for each
// wait time.
func TestWatch(t *testing.T) {
	is := is.New(t)
	s, c, _ := startService(t, kvservice.Config{History: 2})
	_, from, err := c.Watch(ctx, "a/", 0)
	is.NoErr(err)
	got := make(chan []kv.Event, 1)
	go func() {
		for {
			events, next, err := c.Watch(ctx, "a/", from)
			if err != nil || len(events) > 0 {
				got <- events
				return
			}
			from = next
		}
	}()
	_, err = s.LocalClient("x").Put(ctx, "b/1", nil, 0, "")
	is.NoErr(err)
	_, err = s.LocalClient("x").Put(ctx, "a/1", []byte("v"), 0, "")
	is.NoErr(err)
	events := <-got
	is.Equal(len(events), 1)
	is.Equal(events[0].Key, "a/1")
	for i := range 5 {
		_, err = s.LocalClient("x").Put(ctx, "b/2"+string(rune('a'+i)), nil, 0, "")
		is.NoErr(err)
	}
	_, _, err = c.Watch(ctx, "a/", 1)
	is.True(problem.Is(err, problem.Expired))
	before := s.Counts()[kv.OpWatch]
	_, v, err := c.Watch(ctx, "a/", 0)
	is.NoErr(err)
	_, _, err = c.Watch(ctx, "a/", v)
	is.NoErr(err)
	is.Equal(s.Counts()[kv.OpWatch]-before, uint64(2))
}

// TestRetryBudgetDuringOutage guards against retries that multiply the load while
// the service is unavailable.
func TestRetryBudgetDuringOutage(t *testing.T) {
	is := is.New(t)
	s, c, _ := startService(t, kvservice.Config{})
	s.SetOutage(true)
	for range 60 {
		short, cancel := context.WithTimeout(ctx, 10*time.Millisecond)
		_, err := c.Get(short, "k")
		cancel()
		is.True(problem.Is(err, problem.Unavailable))
	}
	is.True(s.Counts()[kv.OpGet] <= 60+20) // 20: the burst of the retry budget and its refill during the test
}

// TestLimits guards against a service that accepts more calls than its rate limit.
func TestLimits(t *testing.T) {
	is := is.New(t)
	s := kvservice.New(kvservice.Config{Timer: timer.NewManual(time.Unix(1000, 0)), WriteRate: 3})
	defer s.Close()
	rejected := 0
	for range 10 {
		if _, err := s.LocalClient("n").Grant(ctx, time.Second); problem.Is(err, problem.Unavailable) {
			rejected++
		}
	}
	is.Equal(rejected, 7)
}

// TestBulkCallsLeaveBudget guards against bulk calls, whose number grows with the
// load of callers, that use up the call budget: after a failure they would delay
// the calls with which nodes take over shards.
func TestBulkCallsLeaveBudget(t *testing.T) {
	is := is.New(t)
	_, c, _ := startService(t, kvservice.Config{})
	bulk := c.Bulk()
	served := 0
	for range 2 * kv.DefaultBurst { // until the share of bulk calls is used up
		short, cancel := context.WithTimeout(ctx, time.Millisecond)
		if _, err := bulk.List(short, "k", "", 1); err == nil {
			served++
		}
		cancel()
	}
	is.True(served < kv.DefaultBurst) // bulk calls must not use the whole burst
	_, err := c.List(ctx, "k", "", 1)
	is.NoErr(err)
	short, cancel := context.WithTimeout(ctx, time.Second/10)
	defer cancel()
	_, err = c.List(short, "k", "", 1) // must find a token at once
	is.NoErr(err)
}
