package clusterbench

import (
	"context"
	"time"

	"bronzewinch.dev/lib/id"
)

// outageReport is the measured effect of an outage of the key-value service.
type outageReport struct {
	size
	Seconds float64 `json:"seconds"`
	// Before, During and After are the rates before and during the outage, and
	// for the same duration after its end, at most a minute.
	Before rates `json:"before"`
	During rates `json:"during"`
	After  rates `json:"after"`
	// Peak is the maximum number of calls in one second after the end.
	Peak float64 `json:"peakCallsPerSecond"`
	// ElevatedSeconds is the number of seconds after the end in which the rate of
	// calls was more than twice the rate before the outage.
	ElevatedSeconds int `json:"secondsAboveTwiceNormal"`
	// Recovery is the distribution of the times from the end of the outage until each
	// shard served again.
	Recovery distribution `json:"decideAfterEnd"`
	// TasksBefore and TasksAfter are the numbers of running tasks. TasksAfter
	// should not be lower, because owners renew task leases during the outage.
	TasksBefore int     `json:"tasksBefore"`
	TasksAfter  int     `json:"tasksAfter"`
	Load        float64 `json:"loadAverage"`
}

// measureOutage makes the key-value service unavailable to a running deployment
// for the configured duration.
func (o options) measureOutage(ctx context.Context) (outageReport, error) {
	s := size{o.baseNodes, maxOf(o.workers), o.tasks}
	report := outageReport{size: s, Seconds: o.outage.Seconds()}
	c, err := startCluster(ctx, s)
	if err != nil {
		return report, err
	}
	defer c.close()
	report.TasksBefore = c.runningTasks()
	report.Before = c.measureRates(ctx, o.rest)
	owned := make(map[id.Shard]id.Epoch)
	for _, n := range c.deployment.Nodes() {
		for shard, epoch := range n.Owned() {
			owned[shard] = epoch
		}
	}
	c.deployment.Store.SetOutage(true)
	report.During = c.measureRates(ctx, o.outage)
	c.deployment.Store.SetOutage(false)
	decided := make(chan error, 1)
	at := c.clock.Now()
	go func() {
		var err error
		report.Recovery, err = c.awaitTakeover(ctx, owned, "", at)
		decided <- err
	}()
	c.measureRecovery(ctx, min(o.outage, time.Minute), &report)
	err = <-decided
	report.TasksAfter, report.Load = c.runningTasks(), loadAverage()
	return report, err
}

// measureRecovery measures the rate of calls in each second after an outage.
func (c *cluster) measureRecovery(ctx context.Context, d time.Duration, report *outageReport) {
	from := c.sample()
	normal := report.Before.Writes + report.Before.Reads
	tick := c.clock.Every(time.Second)
	defer tick.Stop()
	for last := from; last.at.Sub(from.at) < d; {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		w := c.ratesSince(last)
		last = c.sample()
		report.Peak = max(report.Peak, w.Writes+w.Reads)
		if w.Writes+w.Reads > 2*normal {
			report.ElevatedSeconds++
		}
	}
	report.After = c.ratesSince(from)
}
