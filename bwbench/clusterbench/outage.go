package clusterbench

import (
	"context"
	"time"

	"bronzewinch.dev/lib/id"
)

// outageReport is what an outage of the key-value service did.
type outageReport struct {
	size
	Seconds float64 `json:"seconds"`
	// Before, During and After are calls a second before the outage, in it,
	// and in as long a time after its end, at most a minute.
	Before rates `json:"before"`
	During rates `json:"during"`
	After  rates `json:"after"`
	// Peak is the most calls in one second after the end.
	Peak float64 `json:"peakCallsPerSecond"`
	// ElevatedSeconds is the number of seconds after the end with more than twice
	// the calls of a second before the outage.
	ElevatedSeconds int `json:"secondsAboveTwiceNormal"`
	// Recovery is the times from the end of the outage until each shard decided
	// again.
	Recovery distribution `json:"decideAfterEnd"`
	// TasksBefore and TasksAfter are the running tasks. The owners renew the
	// leases of tasks in the outage.
	TasksBefore int     `json:"tasksBefore"`
	TasksAfter  int     `json:"tasksAfter"`
	Load        float64 `json:"loadAverage"`
}

// measureOutage takes the key-value service away from a running size for a
// time.
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
	for _, n := range c.d.Nodes() {
		for shard, epoch := range n.Owned() {
			owned[shard] = epoch
		}
	}
	c.d.Store.SetOutage(true)
	report.During = c.measureRates(ctx, o.outage)
	c.d.Store.SetOutage(false)
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

// measureRecovery counts calls second by second.
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
