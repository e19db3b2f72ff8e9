package clusterbench

import (
	"context"
	"fmt"
	"strings"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/timer"
	"bronzewinch.dev/standin/deployment"
)

const (
	// takeoverTimeout bounds the time until a shard serves again.
	takeoverTimeout = 90 * time.Second
	// probeInterval is the time between two checks of a shard, and so the maximum
	// error of a measured time.
	probeInterval = 20 * time.Millisecond
	// probeTimeout bounds one attempt to submit or query a probe job. Without it,
	// an attempt that waits for the failed owner would delay the detection of the
	// new owner.
	probeTimeout = 500 * time.Millisecond
)

// measureTakeover fails the VM of the node that owns the most placement shards. It
// returns the distribution of the times until each of its shards serves again: a
// request shard when another node has opened it, a placement shard when a job
// that was submitted to it after the failure is placed.
func (c *cluster) measureTakeover(ctx context.Context) (distribution, error) {
	var victim *deployment.Node
	maxWeight := -1
	for _, n := range c.deployment.Nodes() {
		if weight := len(n.Owned()) + 100*placementShards(n.Owned()); weight > maxWeight {
			victim, maxWeight = n, weight
		}
	}
	lost := victim.Owned()
	at := c.clock.Now()
	// The time is measured from here: the node can't renew its lease any more.
	c.deployment.Store.Partition(string(victim.ID), true)
	go victim.Fail()
	defer c.deployment.Store.Partition(string(victim.ID), false)
	return c.awaitTakeover(ctx, lost, victim.ID, at)
}

func placementShards(owned map[id.Shard]id.Epoch) int {
	n := 0
	for s := range owned {
		if strings.HasPrefix(string(s), "place/") {
			n++
		}
	}
	return n
}

// awaitTakeover waits until each shard serves under a higher epoch on a node other
// than the excluded one.
func (c *cluster) awaitTakeover(ctx context.Context, lost map[id.Shard]id.Epoch, excluded id.Node, at time.Time) (distribution, error) {
	ctx, cancel := context.WithTimeout(ctx, takeoverTimeout)
	defer cancel()
	delays := make(chan time.Duration, len(lost))
	g := newGroup(max(1, len(lost)))
	for shard, epoch := range lost {
		g.run(func() error {
			if err := c.awaitOpen(ctx, shard, epoch, excluded); err != nil {
				return err
			}
			if zone, ok := strings.CutPrefix(string(shard), "place/"); ok {
				if err := c.awaitPlaced(ctx, id.Zone(zone), epoch, excluded); err != nil {
					return err
				}
			}
			delays <- c.clock.Now().Sub(at)
			return nil
		})
	}
	err := g.wait()
	close(delays)
	var all []time.Duration
	for d := range delays {
		all = append(all, d)
	}
	return distributionOf(all), err
}

// awaitOpen waits until a node has opened the shard under a higher epoch.
func (c *cluster) awaitOpen(ctx context.Context, shard id.Shard, epoch id.Epoch, excluded id.Node) error {
	for {
		for _, n := range c.deployment.Nodes() {
			if n.ID != excluded && n.Owned()[shard] > epoch {
				return nil
			}
		}
		if timer.Sleep(ctx, c.clock, probeInterval) != nil {
			return timeoutError(string(shard), "open")
		}
	}
}

// awaitPlaced submits a job to a zone, retries until it is accepted, and waits
// until it is placed.
func (c *cluster) awaitPlaced(ctx context.Context, zone id.Zone, epoch id.Epoch, excluded id.Node) error {
	name := id.Job(fmt.Sprintf("probe-%s-%d", zone, epoch))
	var entryNode *deployment.Node
	for _, n := range c.deployment.Nodes() {
		if n.ID != excluded {
			entryNode = n
		}
	}
	accepted := false
	for {
		probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		var j job.Job
		var err error
		if accepted {
			err = c.get(probeCtx, entryNode, "/v1/jobs/"+string(name), &j)
		} else {
			j, err = c.submit(probeCtx, entryNode, name, zone, 1)
			accepted = err == nil
		}
		cancel()
		if err == nil && j.Attempt > 0 {
			return nil
		}
		if timer.Sleep(ctx, c.clock, probeInterval) != nil {
			return timeoutError(string(zone), "place a job")
		}
	}
}

func timeoutError(shard, action string) error {
	return problem.New(problem.Expired, problem.Detail{Field: "shard", Value: shard, Limit: takeoverTimeout.String(),
		Remedy: "check the logs of the nodes; the shard did not " + action})
}
