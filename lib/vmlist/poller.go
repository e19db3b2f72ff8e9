package vmlist

import (
	"context"
	"sync"
	"time"

	"bronzewinch.dev/lib/timer"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"
)

// Reader reads the list.
type Reader interface {
	Read(ctx context.Context) (List, error)
}

// PollerConfig configures a Poller.
type PollerConfig struct {
	Reader   Reader
	Interval time.Duration
	Timer    timer.Service
	// Receivers get each list that was read, one after the other. They must
	// not block.
	Receivers []func(List)
	Metrics   *metrics.Set
}

// Poller reads the list at intervals and passes it on. While the platform does
// not answer, the receivers keep the last list.
type Poller struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// NewPoller starts the reads. Close ends them.
func NewPoller(c PollerConfig) *Poller {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Poller{cancel: cancel}
	failures := c.Metrics.GetOrCreateCounter("bronzewinch_vm_list_failures_total")
	p.wg.Go(func() {
		tick := c.Timer.Every(c.Interval)
		defer tick.Stop()
		failing := false
		for {
			list, err := c.Reader.Read(ctx)
			if ctx.Err() != nil {
				return
			}
			if err != nil {
				failures.Inc()
			} else {
				for _, receive := range c.Receivers {
					receive(list)
				}
			}
			if failing != (err != nil) {
				failing = err != nil
				klog.InfoS("VM list", "readable", !failing, "error", err)
			}
			select {
			case <-tick.C:
			case <-ctx.Done():
				return
			}
		}
	})
	return p
}

// Close ends the reads and waits for the one in progress.
func (p *Poller) Close() {
	p.cancel()
	p.wg.Wait()
}
