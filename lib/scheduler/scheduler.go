// Package scheduler is the runtime of one owned placement shard. Jobs pass the
// stages journal, queue, plan, reserve, commit, start, watch and finish; the
// stages that run on different goroutines are joined by bounded queues.
package scheduler

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

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
	// Plan returns records of the workers that left placement or came back,
	// which name no job, then decisions about waiting jobs.
	Plan(now time.Time, waiting []job.Job) []decision.Record
	// Reserve counts members as used by a job. For a preemption it is called
	// while the victims still hold their workers; they keep counting until
	// their Release.
	Reserve(j job.Job, members []job.Member)
	// Release ends what the job holds. Releasing nothing is allowed.
	Release(j id.Job)
	// WorkerLost and WorkerRecovered take a worker out of placement and back.
	WorkerLost(w id.Worker)
	WorkerRecovered(w id.Worker)
	// TaskEnded reports the end of a task, and whether it was a success.
	TaskEnded(w id.Worker, j id.Job, ok bool)
	SetConfig(set *record.Set)
	// RestoreRecords takes over what the records of earlier owners leave in force:
	// workers that are out of placement, and the reservation of a waiting job.
	RestoreRecords(records []decision.Record)
	// Fragmentation returns the share of the free accelerators that are on
	// workers which are partly used.
	Fragmentation() unit.Share
}

// Journal makes items durable in order. An error of kind Unknown means that
// the items may be durable; after any other error they are not.
type Journal interface {
	Append(ctx context.Context, items ...[]byte) (id.Seq, error)
}

// Snapshotter is implemented by a Journal that takes snapshots.
type Snapshotter interface {
	Snapshot(ctx context.Context, state []byte, covers id.Seq) error
}

// History keeps the decision records after the journal.
type History interface {
	Add(records ...decision.Record) error
	// Flushed returns the position up to which the records are kept there.
	Flushed() (id.Epoch, uint64)
}

// Observer takes the events of the service-level indicators. It must not block.
type Observer interface {
	Observe(e burn.Event)
}

// Term is the period of ownership of the shard.
type Term interface {
	// Check returns an error once no work may be created any more.
	Check() error
	// CheckContinue returns an error once running work may not be kept any more.
	CheckContinue() error
	Epoch() id.Epoch
}

// Workers sends commands to workers.
type Workers interface {
	Call(ctx context.Context, w id.Worker, c worker.Command) ([]worker.Report, error)
}

// Limits of a scheduler.
const (
	// WorkerTimeout is how long a worker may be silent before it counts as lost.
	WorkerTimeout = 3 * time.Second
	// TickInterval is the time between renewals, and between passes of the
	// planner when nothing else asks for one.
	TickInterval = time.Second
	// VictimTickInterval is the time between ticks of a gang that a claim waits for. A
	// worker tells of a checkpoint and of a stop only in an answer, and with
	// TickInterval alone a claim waited up to a second for that.
	VictimTickInterval = 100 * time.Millisecond
	// MaxFailures is how many attempts may fail by themselves before the job
	// counts as failed.
	MaxFailures = 3
	// MaxFinished is how many finished jobs are kept for lookup.
	MaxFinished = 20_000
	// MaxDecisions is how many decisions are kept for one job.
	MaxDecisions = 16
	// MaxRecords is how many decision records a shard without a history keeps.
	MaxRecords = 4096
	// FragmentationInterval is the time between two looks at the fragmentation.
	FragmentationInterval = time.Minute
	// EntriesPerSnapshot is the number of journal entries between snapshots.
	EntriesPerSnapshot = 256
	// AppendTimeout bounds one append, so that callers learn of an outage of the
	// store soon.
	AppendTimeout = 2 * time.Second

	maxBatch         = 4096
	maxEntryBytes    = 512 << 10 // bytes of one journal entry; values are up to 1 MB
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
	// History may be nil. Then the latest MaxRecords are kept.
	History History
	// Observer may be nil.
	Observer Observer
	// Metrics may be nil.
	Metrics *metrics.Set
	// Records is the configuration in force. It declares the zone's workers.
	Records *record.Set
	// Snapshot and Items are what the journal held at the takeover.
	Snapshot []byte
	Items    [][]byte
}

// Scheduler runs the jobs of one placement shard.
type Scheduler struct {
	cfg       Config
	jobs      *shard.Map[id.Job, *jobEntry]
	active    *shard.Map[id.Job, *jobEntry] // those with a gang
	waiting   *shard.Map[id.Job, *jobEntry]
	victims   *shard.Map[id.Job, *jobEntry] // those that a claim waits for
	links     *shard.Map[id.Worker, *link]
	recordSet atomic.Pointer[record.Set]
	writes    *pipe.Queue[write]
	changes   *pipe.Queue[func(p *planState)]
	reports   [reportQueueCount]*pipe.Queue[report]
	recovery  *recovery
	stages    stages
	log       recordLog
	unwritten atomic.Int64 // records that failed to become durable

	ctx        context.Context
	cancel     context.CancelFunc
	closing    atomic.Bool
	fenced     chan struct{}
	fenceOnce  sync.Once
	loops      sync.WaitGroup // the goroutines that end with ctx
	writer     sync.WaitGroup
	linksMu    sync.Mutex // serialises changes of the set of links
	finishedMu sync.Mutex
	finished   []id.Job // in order of their end
}

// New returns a scheduler that takes over from the journal and the workers'
// lists, and starts its stages.
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

// SetConfig puts a set of records in force.
func (s *Scheduler) SetConfig(set *record.Set) {
	s.linksMu.Lock()
	defer s.linksMu.Unlock()
	s.recordSet.Store(set)
	s.runOnPlanner(func(p *planState) {
		p.planner.SetConfig(set)
		p.revision = set.Revision
	})
	workers := set.Zones[s.cfg.Zone].Workers
	for _, w := range workers { // all before the first list is answered
		s.recovery.expect(w.Name)
	}
	for _, w := range workers {
		if _, ok := s.links.Get(w.Name); !ok {
			s.links.Set(w.Name, s.newLink(w.Name))
		}
	}
}

// Close is a planned stop: it decides nothing more, writes what is in
// progress, and leaves running work running.
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
			Field: "shard", Value: string(s.cfg.Shard), Remedy: "allow more time for the stop"})
	}
}

// fence stops all decisions: a later owner has the shard.
func (s *Scheduler) fence() { s.fenceOnce.Do(func() { close(s.fenced) }) }

// checkServing returns an error when the scheduler takes no more requests.
func (s *Scheduler) checkServing() error {
	if s.isFenced() {
		return s.shardProblem(problem.Fenced, "send it to the present owner of the shard")
	}
	if s.closing.Load() {
		return s.shardProblem(problem.Unavailable, "send it again; the shard is moving to another node")
	}
	return s.checkMayDecide()
}

// checkMayDecide returns an error when nothing new may be decided: Unavailable
// while the lease can't be renewed, and Fenced once the shard is lost.
func (s *Scheduler) checkMayDecide() error {
	err := s.cfg.Term.Check()
	if err != nil && s.cfg.Term.CheckContinue() == nil {
		return s.shardProblem(problem.Unavailable, "send it again later; the store can't be reached")
	}
	return err
}

// isFenced reports whether a later owner is known to have the shard.
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

// tickLoop repeats and renews, and asks each worker for a sign of life.
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

// victimTickLoop repeats for the gangs that a claim waits for, until they have ended.
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
