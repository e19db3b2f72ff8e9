// Package scheduler runs the jobs of one placement shard on the node that owns
// the shard. A job passes through the stages journal, queue, plan, reserve,
// commit, start, watch and finish. Stages that run on different goroutines are
// connected by bounded queues.
package scheduler

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"bronzewinch.dev/lib/budget"
	"bronzewinch.dev/lib/burn"
	"bronzewinch.dev/lib/decision"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/pipe"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/shard"
	"bronzewinch.dev/lib/timer"
	"bronzewinch.dev/lib/unit"
	"bronzewinch.dev/lib/worker"

	"github.com/VictoriaMetrics/metrics"
)

// Planner decides where jobs run. All calls come from one goroutine.
type Planner interface {
	// Plan returns the decision records of one pass: first those of workers that
	// were excluded from placement or returned to it, which have no job id, then
	// those of the waiting jobs.
	Plan(now time.Time, waiting []job.Job) []decision.Record
	// Reserve allocates the resources of members to a job. For a preemption it is
	// called while the victims still use their workers; the victims' resources
	// stay allocated to them until their Release.
	Reserve(j job.Job, members []job.Member)
	// Release frees the resources of a job. It does nothing if none are allocated
	// to the job.
	Release(j id.Job)
	// WorkerLost excludes a worker from placement, and WorkerRecovered returns
	// it to placement.
	WorkerLost(w id.Worker)
	WorkerRecovered(w id.Worker)
	// TaskEnded records the end of a task on a worker and whether it succeeded.
	TaskEnded(w id.Worker, j id.Job, ok bool)
	SetConfig(set *record.Set)
	// RestoreRecords restores the planner's state from those records of earlier
	// owners that are still in force: workers excluded from placement, and the
	// reservation of a waiting job.
	RestoreRecords(records []decision.Record)
	// Fragmentation returns the share of the free accelerators that are on
	// partly used workers.
	Fragmentation() unit.Share
}

// Journal stores items durably and in order. An error of kind Unknown means that
// the items may be durable; after any other error they are not.
type Journal interface {
	Append(ctx context.Context, items ...[]byte) (id.Seq, error)
}

// Snapshotter is implemented by a Journal that takes snapshots.
type Snapshotter interface {
	Snapshot(ctx context.Context, state []byte, covers id.Seq) error
}

// History stores the decision records after they have been journaled.
type History interface {
	Add(records ...decision.Record) error
	// Flushed returns the position up to which the history has stored records.
	Flushed() (id.Epoch, uint64)
}

// Observer receives the events from which the service-level indicators are
// computed. Observe must not block.
type Observer interface {
	Observe(e burn.Event)
}

// Term is the period in which this node owns the shard.
type Term interface {
	// Check returns an error as soon as the node must not create new work.
	Check() error
	// CheckContinue returns an error as soon as the node must not keep existing
	// work running.
	CheckContinue() error
	Epoch() id.Epoch
}

// Workers sends commands to workers.
type Workers interface {
	Call(ctx context.Context, w id.Worker, c worker.Command) ([]worker.Report, error)
}

// Limits of a scheduler.
const (
	// WorkerTimeout is the time without an answer after which a worker counts as
	// lost.
	WorkerTimeout = 3 * time.Second
	// TickInterval is the time between lease renewals, and the longest time
	// between passes of the planner.
	TickInterval = time.Second
	// VictimTickInterval is the time between ticks of a gang that a claim
	// preempts. A worker reports a checkpoint or a stop only in its answer to a
	// call, so with TickInterval alone a claim waited up to a second for the
	// report.
	VictimTickInterval = 100 * time.Millisecond
	// MaxFailures is the number of attempts with a failed task after which the
	// job itself counts as failed.
	MaxFailures = 3
	// MaxFinished is the number of finished jobs that are kept for lookup.
	MaxFinished = 20_000
	// JobMemory is what an unfinished job takes, with the latest decisions about it.
	JobMemory = 8 * unit.KiB
	// MaxDecisions is the number of decisions that are kept for one job.
	MaxDecisions = 16
	// MaxRecords is the number of decision records that a shard without a
	// history keeps.
	MaxRecords = 4096
	// FragmentationInterval is the time between two measurements of the
	// fragmentation.
	FragmentationInterval = time.Minute
	// EntriesPerSnapshot is the number of journal entries between snapshots.
	EntriesPerSnapshot = 256
	// AppendTimeout bounds one append, so that callers soon get an error during
	// an outage of the store.
	AppendTimeout = 2 * time.Second

	maxBatch         = 4096
	maxEntryBytes    = 512 << 10 // of one journal entry; the store accepts values of up to 1 MB
	writeQueueSize   = 1 << 15
	planQueueSize    = 1 << 16
	reportQueueSize  = 1 << 14
	commandQueueSize = 1 << 12
	reportQueueCount = 4
)

// Config describes a Scheduler.
type Config struct {
	Shard   id.Shard
	Zone    id.Zone
	Clock   timer.Service
	Planner Planner
	Journal Journal
	Term    Term
	Workers Workers
	// History may be nil. The shard then keeps the latest MaxRecords records.
	History History
	// Observer may be nil.
	Observer Observer
	// Metrics may be nil.
	Metrics *metrics.Set
	// Records is the current configuration. It declares the zone's workers.
	Records *record.Set
	// JobMemory bounds what unfinished jobs take. Zero means that they are not bounded.
	JobMemory unit.Bytes
	// Snapshot and Items are the content of the journal at the takeover.
	Snapshot []byte
	Items    [][]byte
}

// Scheduler runs the jobs of one placement shard. It is safe for concurrent use.
type Scheduler struct {
	cfg       Config
	jobs      *shard.Map[id.Job, *jobEntry]
	active    *shard.Map[id.Job, *jobEntry] // jobs with a gang
	waiting   *shard.Map[id.Job, *jobEntry]
	victims   *shard.Map[id.Job, *jobEntry] // jobs that a claim preempts and that have not ended
	links     *shard.Map[id.Worker, *link]
	recordSet atomic.Pointer[record.Set]
	writes    *pipe.Queue[write]
	changes   *pipe.Queue[func(p *planState)]
	reports   [reportQueueCount]*pipe.Queue[report]
	recovery  *recovery
	stages    stages
	log       recordLog
	unwritten atomic.Int64 // items to write again after a failed append

	ctx        context.Context
	cancel     context.CancelFunc
	closing    atomic.Bool
	fenced     chan struct{}
	fenceOnce  sync.Once
	loops      sync.WaitGroup // goroutines that end with ctx
	writer     sync.WaitGroup
	linksMu    sync.Mutex      // serialises changes of the set of links
	backlog    *budget.Backlog // what unfinished jobs take, or nil if they are not bounded
	finishedMu sync.Mutex
	finished   []id.Job // in the order in which they ended
}

// New rebuilds the state of the shard from the journal and starts the stages.
// Gangs that earlier owners committed are taken over once the workers have
// listed their tasks.
func New(cfg Config) (*Scheduler, error) {
	durable, err := decodeDurableState(cfg.Snapshot, cfg.Items)
	if err != nil {
		return nil, err
	}
	s := &Scheduler{
		cfg:     cfg,
		jobs:    shard.NewMap[id.Job, *jobEntry](),
		active:  shard.NewMap[id.Job, *jobEntry](),
		waiting: shard.NewMap[id.Job, *jobEntry](),
		victims: shard.NewMap[id.Job, *jobEntry](),
		links:   shard.NewMap[id.Worker, *link](),
		writes:  pipe.NewQueue[write](writeQueueSize),
		changes: pipe.NewQueue[func(*planState)](planQueueSize),
		fenced:  make(chan struct{}),
	}
	if s.cfg.Metrics == nil {
		s.cfg.Metrics = metrics.NewSet()
	}
	if cfg.JobMemory > 0 {
		s.backlog = budget.NewBacklog(budget.BacklogConfig{Memory: cfg.JobMemory})
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	for i := range s.reports {
		s.reports[i] = pipe.NewQueue[report](reportQueueSize)
	}
	s.stages = s.newStages()
	s.recovery = newRecovery(cfg.Clock.Now())
	s.loadDurable(durable)
	s.writer.Go(func() { s.writeLoop(durable) })
	for _, q := range s.reports {
		s.loops.Go(func() { s.watchLoop(q) })
	}
	s.loops.Go(s.planLoop)
	ticks := cfg.Clock.Every(TickInterval)
	s.loops.Go(func() { s.tickLoop(ticks) })
	victimTicks := cfg.Clock.Every(VictimTickInterval)
	s.loops.Go(func() { s.victimTickLoop(victimTicks) })
	s.SetConfig(cfg.Records)
	return s, nil
}

// SetConfig replaces the configuration.
func (s *Scheduler) SetConfig(set *record.Set) {
	s.linksMu.Lock()
	defer s.linksMu.Unlock()
	s.recordSet.Store(set)
	s.runOnPlanner(func(p *planState) {
		p.planner.SetConfig(set)
		p.revision = set.Revision
	})
	workers := set.Zones[s.cfg.Zone].Workers
	for _, w := range workers { // before any link is started and can receive a list
		s.recovery.expect(w.Name)
	}
	for _, w := range workers {
		if _, ok := s.links.Get(w.Name); !ok {
			s.links.Set(w.Name, s.newLink(w.Name))
		}
	}
}

// Close performs a planned stop: it stops all decisions, writes the queued
// journal items, and leaves running tasks running.
func (s *Scheduler) Close(ctx context.Context) error {
	s.closing.Store(true)
	s.cancel()
	done := make(chan struct{})
	go func() {
		s.loops.Wait()
		s.writes.Close()
		s.writer.Wait()
		s.unregisterGauges()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return problem.New(problem.Expired, problem.Detail{
			Field: "shard", Value: string(s.cfg.Shard), Remedy: "increase the timeout of the planned stop"})
	}
}

// fence stops all decisions after a later owner has taken over the shard.
func (s *Scheduler) fence() { s.fenceOnce.Do(func() { close(s.fenced) }) }

// checkServing returns an error when the scheduler accepts no requests.
func (s *Scheduler) checkServing() error {
	if s.isFenced() {
		return s.shardProblem(problem.Fenced, "send the request to the current owner of the shard")
	}
	if s.closing.Load() {
		return s.shardProblem(problem.Unavailable, "retry in a few seconds; another node is taking over the shard")
	}
	return s.checkMayDecide()
}

// checkMayDecide returns an error when the scheduler must not make new
// decisions: Unavailable while the lease can't be renewed, and Fenced once the
// node has lost the shard.
func (s *Scheduler) checkMayDecide() error {
	err := s.cfg.Term.Check()
	if err != nil && s.cfg.Term.CheckContinue() == nil {
		return s.shardProblem(problem.Unavailable, "retry later; this node can't reach the key-value service")
	}
	return err
}

// isFenced reports whether this node knows that a later owner has taken over the
// shard.
func (s *Scheduler) isFenced() bool {
	select {
	case <-s.fenced:
		return true
	default:
		return false
	}
}

func (s *Scheduler) shardProblem(kind problem.Kind, remedy string) error {
	return problem.New(kind, problem.Detail{Field: "shard", Value: string(s.cfg.Shard), Remedy: remedy})
}

// tickLoop runs the periodic work: it repeats unanswered commands, renews the
// leases of tasks, polls each worker, requests a pass of the planner and retries
// journal items.
func (s *Scheduler) tickLoop(ticks *timer.Subscription) {
	defer ticks.Stop()
	lastObserved := s.cfg.Clock.Now()
	for {
		select {
		case <-ticks.C:
		case <-s.ctx.Done():
			return
		}
		now := s.cfg.Clock.Now()
		if s.recovery.overdue(now) {
			s.takeOver()
		}
		for _, e := range values(s.active) {
			s.tickJob(e, now)
		}
		s.removeUndeclaredLinks()
		for _, l := range values(s.links) {
			s.checkLink(l, now)
		}
		s.requestPass()
		s.retryUnwritten()
		if now.Sub(lastObserved) >= FragmentationInterval {
			lastObserved = now
			s.observeFragmentation()
		}
	}
}

// victimTickLoop ticks the gangs that claims preempt until those gangs have
// ended.
func (s *Scheduler) victimTickLoop(ticks *timer.Subscription) {
	defer ticks.Stop()
	for {
		select {
		case <-ticks.C:
		case <-s.ctx.Done():
			return
		}
		for _, e := range values(s.victims) {
			s.tickJob(e, s.cfg.Clock.Now())
		}
	}
}

func values[K comparable, V any](m *shard.Map[K, V]) []V {
	var out []V
	m.Range(func(_ K, v V) bool {
		out = append(out, v)
		return true
	})
	return out
}
