// Package burnstore keeps the burn counts of the entry nodes in the key-value
// service, one small value for each node, and reads all of them for the burn
// report, the alerts and the metrics. docs/burn.md gives its rates and what is
// lost when a node dies.
package burnstore

import (
	"context"
	"sync"
	"time"

	"bronzewinch.dev/lib/burn"
	"bronzewinch.dev/lib/decision"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/kv"
	"bronzewinch.dev/lib/pipe"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/timer"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"
)

// Prefix is what the keys of all nodes start with.
const Prefix = "burn/"

const (
	// DefaultWriteInterval is the time between two writes of a node.
	DefaultWriteInterval = time.Minute
	// DefaultReadInterval is the time between two reads of all nodes for the
	// metrics and alerts.
	DefaultReadInterval = 5 * time.Minute
	// boundsCheckInterval is the time between two looks at the set in force. A changed
	// bound holds for the events after that.
	boundsCheckInterval = time.Second
	// maxReportAge is the age up to which reports use what was read before, so that
	// several viewers that refresh every 2 s cost one read in 10 s.
	maxReportAge = 10 * time.Second
	// pageSize is the number of values that one List asks for.
	pageSize = 100
	// maxDecisions bounds the jobs of one report whose decisions are looked up.
	maxDecisions = 12
	callTimeout  = 10 * time.Second
)

// Store is the part of the key-value service that is used. Its errors are
// problem errors with the kinds of package kv.
type Store interface {
	Get(ctx context.Context, key string) (kv.Item, error)
	Put(ctx context.Context, key string, value []byte, expect kv.Version, lease kv.LeaseID) (kv.Version, error)
	Delete(ctx context.Context, key string, expect kv.Version) error
	List(ctx context.Context, prefix, after string, limit int) ([]kv.Item, error)
}

// ConfigSource is the records in force on this node.
type ConfigSource interface {
	Current() *record.Set
}

// Decisions returns the decisions about a job, the oldest first.
type Decisions func(ctx context.Context, job id.Job) ([]decision.Record, error)

// Config is what a Service is made from.
type Config struct {
	Node         id.Node
	Store        Store
	Counts       *burn.Counts
	ConfigSource ConfigSource
	// Decisions may be nil. Reports then name jobs without their decisions.
	Decisions Decisions
	Clock     timer.Service
	Metrics   *metrics.Set
	// WriteInterval and ReadInterval have the defaults above when zero.
	WriteInterval, ReadInterval time.Duration
}

// Service stores the counts of this node and reports those of all nodes.
type Service struct {
	Config
	writer   *writer
	gauges   *gauges
	failures *metrics.Counter
	// evaluation computes the report and sets the metrics; report adds the
	// decisions behind the examples.
	evaluation, reporting pipe.Filter[reportRequest, burn.Report]
	stop                  context.CancelFunc
	wg                    sync.WaitGroup

	// mu guards what was read last. No call is made under it.
	mu       sync.Mutex
	cached   []burn.Snapshot
	cachedAt time.Time
}

// New returns a service and starts to write and read.
func New(c Config) *Service {
	if c.WriteInterval == 0 {
		c.WriteInterval = DefaultWriteInterval
	}
	if c.ReadInterval == 0 {
		c.ReadInterval = DefaultReadInterval
	}
	s := &Service{Config: c, writer: newWriter(c), gauges: newGauges(c.Metrics),
		failures: c.Metrics.GetOrCreateCounter("bronzewinch_burn_store_failures_total")}
	s.evaluation, s.reporting = s.newStages()
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	set := c.ConfigSource.Current()
	c.Counts.SetBounds(burn.BoundsOf(set))
	boundsChecks := c.Clock.Every(boundsCheckInterval)
	// The first write is soon, so that counts of an earlier process are taken
	// over, and at another moment on each node.
	first := c.Clock.After(timer.Jitter(c.WriteInterval / 2))
	writes, reads := c.Clock.Every(c.WriteInterval), c.Clock.Every(c.ReadInterval)
	s.wg.Go(func() {
		defer boundsChecks.Stop()
		defer first.Stop()
		defer writes.Stop()
		defer reads.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-boundsChecks.C:
				if next := c.ConfigSource.Current(); next != set {
					set = next
					c.Counts.SetBounds(burn.BoundsOf(set))
				}
			case <-first.C:
				s.runRound(ctx, s.writer.save)
			case <-writes.C:
				s.runRound(ctx, s.writer.save)
			case <-reads.C:
				s.runRound(ctx, s.updateMetrics)
			}
		}
	})
	return s
}

// Close writes the counts once more and ends the service. ctx bounds the
// write.
func (s *Service) Close(ctx context.Context) error {
	s.stop()
	s.wg.Wait()
	return s.writer.save(ctx)
}

// updateMetrics sets the metrics from the counts of all nodes.
func (s *Service) updateMetrics(ctx context.Context) error {
	_, err := s.evaluation.Process(ctx, reportRequest{})
	return err
}

// Report computes the burn report. It has the form of operator.Report. While
// the key-value service is down it uses what was read last; the report names
// the time of each node's counts.
func (s *Service) Report(ctx context.Context) (any, error) {
	r, err := s.reporting.Process(ctx, reportRequest{maxAge: maxReportAge, allowStale: true})
	if err != nil {
		return nil, err
	}
	return r, nil
}

// runRound runs one round. A round that fails is made good by the next one.
func (s *Service) runRound(ctx context.Context, round func(context.Context) error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := round(ctx); err != nil && ctx.Err() == nil {
		s.failures.Inc()
		klog.V(1).Infof("burn: %v", err)
	}
}
