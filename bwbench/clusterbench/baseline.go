package clusterbench

import (
	"context"
	"fmt"
	"sync"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/journal"
	"bronzewinch.dev/lib/kv"
	"bronzewinch.dev/lib/timer"
)

const (
	pollInterval = time.Second
	pollPageSize = 1000
	// pollChanges is the number of configuration changes that are made while the
	// nodes poll.
	pollChanges = 5
)

// pollResult is the cost of the baseline in addition to the cost at rest.
type pollResult struct {
	ReadsPerSecond float64 `json:"readsPerSecond"`
	// BytesPerNode is the size of the keys and values that a node reads per
	// second. It excludes the encoding, which adds a third.
	BytesPerNode float64      `json:"bytesPerSecondPerNode"`
	CoresPerNode float64      `json:"coresPerNode"`
	InForce      distribution `json:"inForce"`
}

// poller simulates a node of the baseline, which reads all configuration keys
// once per second.
type poller struct {
	store *kv.Client
	clock timer.Service

	mu        sync.Mutex
	calls     int
	bytes     int
	firstRead map[string]time.Time // when each key of the journal was first read
}

// run polls until ctx ends. The offset spreads the nodes over the poll interval.
func (p *poller) run(ctx context.Context, offset time.Duration) {
	if timer.Sleep(ctx, p.clock, offset) != nil {
		return
	}
	tick := p.clock.Every(pollInterval)
	defer tick.Stop()
	for {
		p.readAll(ctx)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// readAll reads every key under the prefix of the configuration.
func (p *poller) readAll(ctx context.Context) {
	for after := ""; ; {
		items, err := p.store.List(ctx, "config/", after, pollPageSize)
		p.mu.Lock()
		p.calls++
		for _, item := range items {
			p.bytes += len(item.Key) + len(item.Value)
			if _, ok := p.firstRead[item.Key]; !ok {
				p.firstRead[item.Key] = p.clock.Now()
			}
		}
		p.mu.Unlock()
		if err != nil || len(items) == 0 {
			return
		}
		after = items[len(items)-1].Key
	}
}

// measurePolling runs one poller for each node, makes a few configuration changes,
// and returns the cost in addition to that at rest.
func (c *cluster) measurePolling(ctx context.Context, d time.Duration, atRest rates) (pollResult, error) {
	url, err := c.deployment.ServeStoreUncounted()
	if err != nil {
		return pollResult{}, err
	}
	polling, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	var pollers []*poller
	for n := range c.Nodes {
		store, err := kv.New(kv.Config{URL: url, Name: fmt.Sprintf("poller-%d", n), Timer: c.clock})
		if err != nil {
			return pollResult{}, err
		}
		defer store.Close()
		p := &poller{store: store, clock: c.clock, firstRead: make(map[string]time.Time)}
		pollers = append(pollers, p)
		wg.Go(func() { p.run(polling, time.Duration(n)*pollInterval/time.Duration(c.Nodes)) })
	}
	if err := timer.Sleep(ctx, c.clock, pollInterval); err != nil {
		return pollResult{}, err
	}
	before, from := sumPollers(pollers), c.sample()
	w := c.measureRates(ctx, d)
	after := sumPollers(pollers)
	seconds := c.clock.Now().Sub(from.at).Seconds()
	out := pollResult{
		ReadsPerSecond: float64(after.calls-before.calls) / seconds,
		BytesPerNode:   float64(after.bytes-before.bytes) / seconds / float64(c.Nodes),
		CoresPerNode:   (w.Cores - atRest.Cores) / float64(c.Nodes),
	}
	out.InForce, err = c.measurePollDelays(ctx, pollers)
	return out, err
}

type pollTotals struct{ calls, bytes int }

func sumPollers(pollers []*poller) pollTotals {
	var t pollTotals
	for _, p := range pollers {
		p.mu.Lock()
		t.calls, t.bytes = t.calls+p.calls, t.bytes+p.bytes
		p.mu.Unlock()
	}
	return t
}

// measurePollDelays makes a few changes and returns the distribution of the times
// until all pollers have read each.
func (c *cluster) measurePollDelays(ctx context.Context, pollers []*poller) (distribution, error) {
	sent := make(map[id.Revision]time.Time)
	for n := range pollChanges {
		at := c.clock.Now()
		revision, err := c.changeAccount(ctx, c.deployment.Nodes()[n%c.Nodes], firstPollChange+n)
		if err != nil {
			return distribution{}, err
		}
		sent[revision] = at
		if err := timer.Sleep(ctx, c.clock, 170*time.Millisecond); err != nil {
			return distribution{}, err
		}
	}
	if err := timer.Sleep(ctx, c.clock, 2*pollInterval); err != nil {
		return distribution{}, err
	}
	var delays []time.Duration
	for revision, at := range sent {
		last := at
		for _, p := range pollers {
			p.mu.Lock()
			t := p.firstRead[journal.EntryKey("config", revision)]
			p.mu.Unlock()
			if t.After(last) {
				last = t
			}
		}
		delays = append(delays, last.Sub(at))
	}
	return distributionOf(delays), nil
}

// firstPollChange is the number of the first change of the baseline. It separates
// the change IDs of the baseline from the others.
const firstPollChange = 1 << 20
