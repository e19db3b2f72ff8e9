// Package burnstore stores the burn counts of the entry nodes in the key-value
// service, one small value for each node, and reads the values of all nodes for
// the burn report, the alerts and the metrics. docs/burn.md gives the rates of
// reads and writes, and the counts that are lost when a node crashes.
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

// Prefix is the prefix of the keys of all nodes.
const Prefix = "burn/"

const (
	// DefaultWriteInterval is the time between two writes of a node.
	DefaultWriteInterval = time.Minute
	// DefaultReadInterval is the time between two reads of all nodes for the
	// metrics and alerts.
	DefaultReadInterval = 5 * time.Minute
	// boundsCheckInterval is the time between two checks whether the set in
	// force has changed. Events are compared with new bounds after the next
	// check.
	boundsCheckInterval = time.Second
	// maxReportAge is the maximum age of the cached counts for a report. With
	// it, several viewers that refresh every 2 s cause only one read in 10 s.
	maxReportAge = 10 * time.Second
	// pageSize is the maximum number of values that one List call requests.
	pageSize = 100
	// maxDecisions is the maximum number of jobs in one report whose decisions
	// are looked up.
	maxDecisions = 12
	callTimeout  = 10 * time.Second
)

// Store is the part of the key-value service that this package uses. Its errors
// are of package problem, with the kinds that package kv documents.
type Store interface {
	Get(ctx context.Context, key string) (kv.Item, error)
	Put(ctx context.Context, key string, value []byte, expect kv.Version, lease kv.LeaseID) (kv.Version, error)
	Delete(ctx context.Context, key string, expect kv.Version) error
	List(ctx context.Context, prefix, after string, limit int) ([]kv.Item, error)
}

// ConfigSource returns the set of records in force on this node.
type ConfigSource interface {
	Current() *record.Set
}

// Decisions returns the decisions about a job, the oldest first.
type Decisions func(ctx context.Context, job id.Job) ([]decision.Record, error)

// Config is the configuration of a Service.
type Config struct {
	Node         id.Node
	Store        Store
	Counts       *burn.Counts
	ConfigSource ConfigSource
	// Decisions may be nil. Reports then contain no decisions about jobs.
	Decisions Decisions
	Clock     timer.Service
	Metrics   *metrics.Set
	// WriteInterval and ReadInterval are DefaultWriteInterval and
	// DefaultReadInterval if they are zero.
	WriteInterval, ReadInterval time.Duration
}

// Service stores the counts of this node and reports those of all nodes.
type Service struct {
	Config
	writer   *writer
	gauges   *gauges
	failures *metrics.Counter
	// evaluation computes the report and sets the metrics. reporting also adds
	// the decisions about the jobs of the examples.
	evaluation, reporting pipe.Filter[reportRequest, burn.Report]
	stop                  context.CancelFunc
	wg                    sync.WaitGroup

	// mu guards the snapshots of the last read and its time. It is not held
	// during calls to the store.
	mu       sync.Mutex
	cached   []burn.Snapshot
	cachedAt time.Time
}

// New returns a service and starts its periodic writes and reads.
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
	// The first write happens early, so that the counts of an earlier process
	// are soon added. The jitter spreads the writes of the nodes.
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

// Close stops the service and writes the counts a last time, within the deadline
// of ctx.
func (s *Service) Close(ctx context.Context) error {
	s.stop()
	s.wg.Wait()
	return s.writer.save(ctx)
}

// updateMetrics reads the counts of all nodes and sets the metrics.
func (s *Service) updateMetrics(ctx context.Context) error {
	_, err := s.evaluation.Process(ctx, reportRequest{})
	return err
}

// Report computes the burn report. Its signature is that of operator.Report.
// During an outage of the key-value service it uses the counts of the last
// successful read; the report has the time of each node's counts.
func (s *Service) Report(ctx context.Context) (any, error) {
	r, err := s.reporting.Process(ctx, reportRequest{maxAge: maxReportAge, allowStale: true})
	if err != nil {
		return nil, err
	}
	return r, nil
}

// runRound runs one write or read with a timeout. It logs and counts a failure;
// the next round makes up for it.
func (s *Service) runRound(ctx context.Context, round func(context.Context) error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := round(ctx); err != nil && ctx.Err() == nil {
		s.failures.Inc()
		klog.V(1).Infof("burn: %v", err)
	}
}
