package clusterbench

import (
	"context"
	"slices"
	"sync"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/timer"
	"bronzewinch.dev/standin/deployment"
)

const (
	// maxConcurrentChanges bounds the changes that are in progress at once.
	maxConcurrentChanges = 8
	// conflictBackoff is the wait before a change is sent again.
	conflictBackoff = 50 * time.Millisecond
	// inForceTimeout is the longest wait for the last change.
	inForceTimeout = 30 * time.Second
)

// distribution is the distribution of some times, in milliseconds.
type distribution struct {
	Count int     `json:"count"`
	P50   float64 `json:"p50Millis"`
	P99   float64 `json:"p99Millis"`
	Max   float64 `json:"maxMillis"`
}

func distributionOf(all []time.Duration) distribution {
	if len(all) == 0 {
		return distribution{}
	}
	slices.Sort(all)
	at := func(q float64) float64 {
		return float64(all[min(len(all)-1, int(q*float64(len(all))))].Microseconds()) / 1000
	}
	return distribution{len(all), at(0.5), at(0.99), at(1)}
}

// activations notes when each revision came into force on one node.
type activations struct {
	mu sync.Mutex
	at map[id.Revision]time.Time
}

// watch notes the revisions of a node until ctx ends. A node that passes
// several revisions at once has them all in force then.
func (a *activations) watch(ctx context.Context, n *deployment.Node, clock timer.Service) {
	last := n.Revision()
	for {
		changed := n.Changed()
		now, revision := clock.Now(), n.Revision()
		a.mu.Lock()
		for ; last < revision; last++ {
			a.at[last+1] = now
		}
		a.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (a *activations) activatedAt(r id.Revision) (time.Time, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t, ok := a.at[r]
	return t, ok
}

// measureChanges makes changes at a rate, on the nodes in turn, and returns the times
// from sending each to having it in force on all nodes.
func (c *cluster) measureChanges(ctx context.Context, changes int, rate float64) (distribution, int, rates, error) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	nodes := c.d.Nodes()
	all := make([]*activations, len(nodes))
	for i, n := range nodes {
		all[i] = &activations{at: make(map[id.Revision]time.Time)}
		wg.Go(func() { all[i].watch(ctx, n, c.clock) })
	}
	from := c.sample()
	sent, conflicts, err := c.sendChanges(ctx, nodes, changes, rate)
	w := c.ratesSince(from)
	if err != nil {
		return distribution{}, 0, w, err
	}
	var delays []time.Duration
	deadline := c.clock.Now().Add(inForceTimeout)
	for revision, at := range sent {
		last := at
		for _, a := range all {
			t, ok := a.activatedAt(revision)
			for ; !ok; t, ok = a.activatedAt(revision) {
				if c.clock.Now().After(deadline) || timer.Sleep(ctx, c.clock, 10*time.Millisecond) != nil {
					return distribution{}, 0, w, problem.New(problem.Expired, problem.Detail{Field: "configuration",
						Limit: inForceTimeout.String(), Remedy: "look at the log of the nodes; a change is not in force on all"})
				}
			}
			if t.After(last) {
				last = t
			}
		}
		delays = append(delays, last.Sub(at))
	}
	return distributionOf(delays), conflicts, w, nil
}

// sendChanges returns when each accepted revision was sent, and how many changes
// were sent again.
func (c *cluster) sendChanges(ctx context.Context, nodes []*deployment.Node, changes int, rate float64) (map[id.Revision]time.Time, int, error) {
	var mu sync.Mutex
	sent, conflicts := make(map[id.Revision]time.Time), 0
	tick := c.clock.Every(time.Duration(float64(time.Second) / rate))
	defer tick.Stop()
	g := newGroup(maxConcurrentChanges)
	for n := range changes {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return sent, conflicts, g.wait()
		}
		g.run(func() error {
			at := c.clock.Now()
			revision, err := c.changeAccount(ctx, nodes[n%len(nodes)], n)
			resent := 0
			for ; problem.Is(err, problem.Conflict) && timer.Sleep(ctx, c.clock, conflictBackoff) == nil; resent++ {
				revision, err = c.changeAccount(ctx, nodes[n%len(nodes)], n)
			}
			mu.Lock()
			defer mu.Unlock()
			sent[revision] = at
			conflicts += resent
			return err
		})
	}
	return sent, conflicts, g.wait()
}
