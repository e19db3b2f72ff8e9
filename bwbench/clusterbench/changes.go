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
	// maxConcurrentChanges is the maximum number of changes in progress.
	maxConcurrentChanges = 8
	// conflictBackoff is the delay before a change is sent again after a conflict.
	conflictBackoff = 50 * time.Millisecond
	// inForceTimeout bounds the time until all changes are in force on all nodes,
	// from the end of sending.
	inForceTimeout = 30 * time.Second
)

// distribution is the distribution of durations, in milliseconds.
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

// activations records the time at which each revision came into force on one node.
type activations struct {
	mu sync.Mutex
	at map[id.Revision]time.Time
}

// watch records the revisions of a node until ctx ends. If several revisions came into
// force since the last notification, all are recorded with the current time.
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

// measureChanges sends configuration changes to the nodes in turn, at a rate. It
// returns the distribution of the times until a change was in force on all nodes,
// the number of conflicts, and the rates of calls meanwhile.
func (c *cluster) measureChanges(ctx context.Context, changes int, rate float64) (distribution, int, rates, error) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	nodes := c.deployment.Nodes()
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
						Limit: inForceTimeout.String(), Remedy: "check the logs of the nodes; a change is not in force on all of them"})
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

// sendChanges returns the time at which the change of each accepted revision was
// sent, and the number of conflicts after which a change was sent again.
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
