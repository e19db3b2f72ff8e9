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
	pollEvery = time.Second
	pollPage  = 1000
	// pollChanges is how many changes are made while the nodes poll.
	pollChanges = 5
)

// polled is what the baseline costs beyond what runs anyway.
type polled struct {
	ReadsPerSecond float64 `json:"readsPerSecond"`
	// BytesPerNode are bytes of the values and keys that a node reads in a
	// second; the encoding adds a third.
	BytesPerNode float64 `json:"bytesPerSecondPerNode"`
	CoresPerNode float64 `json:"coresPerNode"`
	InForce      times   `json:"inForce"`
}

// poller is a node of the baseline: it reads all configuration keys each
// second.
type poller struct {
	store *kv.Client
	clock timer.Service

	mu    sync.Mutex
	calls int
	bytes int
	seen  map[string]time.Time // when each key of the journal was read first
}

// run polls until ctx ends. The nodes start at different times of the period.
func (p *poller) run(ctx context.Context, offset time.Duration) {
	if timer.Sleep(ctx, p.clock, offset) != nil {
		return
	}
	tick := p.clock.Every(pollEvery)
	defer tick.Stop()
	for {
		p.round(ctx)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// round reads every key under the configuration's prefix.
func (p *poller) round(ctx context.Context) {
	for after := ""; ; {
		items, err := p.store.List(ctx, "config/", after, pollPage)
		p.mu.Lock()
		p.calls++
		for _, item := range items {
			p.bytes += len(item.Key) + len(item.Value)
			if _, ok := p.seen[item.Key]; !ok {
				p.seen[item.Key] = p.clock.Now()
			}
		}
		p.mu.Unlock()
		if err != nil || len(items) == 0 {
			return
		}
		after = items[len(items)-1].Key
	}
}

// poll runs one poller for each node for a time, with a few changes, and
// returns what they add to the measurement at rest.
func (c *cluster) poll(ctx context.Context, d time.Duration, rest window) (polled, error) {
	url, err := c.d.OpenStore()
	if err != nil {
		return polled{}, err
	}
	polling, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	var pollers []*poller
	for n := range c.Nodes {
		store, err := kv.New(kv.Config{URL: url, Name: fmt.Sprintf("poller-%d", n), Timer: c.clock})
		if err != nil {
			return polled{}, err
		}
		defer store.Close()
		p := &poller{store: store, clock: c.clock, seen: make(map[string]time.Time)}
		pollers = append(pollers, p)
		wg.Go(func() { p.run(polling, time.Duration(n)*pollEvery/time.Duration(c.Nodes)) })
	}
	if err := timer.Sleep(ctx, c.clock, pollEvery); err != nil {
		return polled{}, err
	}
	before, from := total(pollers), c.sample()
	w := c.window(ctx, d)
	after := total(pollers)
	seconds := c.clock.Now().Sub(from.at).Seconds()
	out := polled{
		ReadsPerSecond: float64(after.calls-before.calls) / seconds,
		BytesPerNode:   float64(after.bytes-before.bytes) / seconds / float64(c.Nodes),
		CoresPerNode:   (w.Cores - rest.Cores) / float64(c.Nodes),
	}
	out.InForce, err = c.pollInForce(ctx, pollers)
	return out, err
}

type totals struct{ calls, bytes int }

func total(all []*poller) totals {
	var t totals
	for _, p := range all {
		p.mu.Lock()
		t.calls, t.bytes = t.calls+p.calls, t.bytes+p.bytes
		p.mu.Unlock()
	}
	return t
}

// pollInForce makes a few changes and returns the times until all pollers have
// read each.
func (c *cluster) pollInForce(ctx context.Context, pollers []*poller) (times, error) {
	sent := make(map[id.Revision]time.Time)
	for n := range pollChanges {
		at := c.clock.Now()
		revision, err := c.changeAccount(ctx, c.d.Nodes()[n%c.Nodes], firstPolled+n)
		if err != nil {
			return times{}, err
		}
		sent[revision] = at
		if err := timer.Sleep(ctx, c.clock, 170*time.Millisecond); err != nil {
			return times{}, err
		}
	}
	if err := timer.Sleep(ctx, c.clock, 2*pollEvery); err != nil {
		return times{}, err
	}
	var took []time.Duration
	for revision, at := range sent {
		last := at
		for _, p := range pollers {
			p.mu.Lock()
			t := p.seen[journal.EntryKey("config", revision)]
			p.mu.Unlock()
			if t.After(last) {
				last = t
			}
		}
		took = append(took, last.Sub(at))
	}
	return timesOf(took), nil
}

// firstPolled numbers the changes of the baseline apart from the others.
const firstPolled = 1 << 20
