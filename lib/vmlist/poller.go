package vmlist

import (
	"context"
	"sync"
	"time"

	"bronzewinch.dev/lib/timer"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"
)

// Reader reads the list of VMs.
type Reader interface {
	Read(ctx context.Context) (List, error)
}

// PollerConfig configures a Poller.
type PollerConfig struct {
	Reader   Reader
	Interval time.Duration
	Timer    timer.Service
	// Receivers are called in order with each list that was read. They must not
	// block.
	Receivers []func(List)
	Metrics   *metrics.Set
}

// Poller reads the list periodically and passes it to the receivers. While reads
// fail it does not call the receivers, so they keep the last list.
type Poller struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// NewPoller starts a poller, which runs until Close.
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
				klog.InfoS("availability of the VM list changed", "readable", !failing, "error", err)
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

// Close cancels a read in progress, stops the poller and waits for its goroutine.
func (p *Poller) Close() {
	p.cancel()
	p.wg.Wait()
}
