package controller

import (
	"context"
	"fmt"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"bronzewinch.dev/lib/budget"
	"bronzewinch.dev/lib/dependency"
	"bronzewinch.dev/lib/election"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/kv"
	"bronzewinch.dev/lib/pipe"
	"bronzewinch.dev/lib/planner"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/shard"
	"bronzewinch.dev/lib/task"
	"bronzewinch.dev/lib/timer"
	"bronzewinch.dev/lib/unit"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/semaphore"
	"k8s.io/klog/v2"
)

const (
	// maxQueuedEvents bounds the events that wait for a cycle. A cycle takes a few
	// milliseconds, so a full queue means that the owner has fallen far behind.
	maxQueuedEvents = 10000
	// cyclePause follows each cycle that stored changes, so that events in quick
	// succession, such as the ended runs of a gang, are processed in one cycle.
	cyclePause = 10 * time.Millisecond
	// cyclePauseFactor is the pause after each cycle as a multiple of the time that
	// its decisions took. A large fleet reports many times in the time of a cycle, and
	// the owner needs processor time for its links and callers as well.
	cyclePauseFactor = 2
	tickPeriod       = 100 * time.Millisecond
	// stallTimeout is how long a transaction may take before new jobs are refused
	// immediately instead of being queued.
	stallTimeout = 400 * time.Millisecond
	// maxConfigAge bounds the age of the configuration with which calls are
	// decided.
	maxConfigAge = 1500 * time.Millisecond
	// configWatchTimeout bounds one watch of the configuration. Each response
	// confirms that the configuration in force is the newest.
	configWatchTimeout = 700 * time.Millisecond
	// workersWatchTimeout is short because a watch that began while the store
	// discarded its history receives no events until it times out. A worker that
	// leaves must receive no starts later than two seconds after the store has
	// recorded its departure.
	workersWatchTimeout = time.Second
	// workersWatchPause follows each change of the list of workers. Workers write their
	// entries every second or two, so without it nearly each entry would be a call to
	// the store of its own.
	workersWatchPause = 100 * time.Millisecond
	// retryAfter is the retry delay for refused callers. Brief disruptions of the
	// store end within this time.
	retryAfter = time.Second
	// outageRetryAfter replaces retryAfter once the store has been unreachable for
	// outageThreshold. Callers retry four times, so the longer delay lets them
	// bridge an outage of seven seconds.
	outageRetryAfter = 2 * time.Second
	outageThreshold  = 2 * time.Second
	// backlogRetryAfter is the retry delay for submissions that are refused for want of
	// memory, which becomes free as jobs end.
	backlogRetryAfter = 5 * time.Second
	// isolationTimeout is how long an owner that has received heartbeats keeps
	// ownership without receiving more. A partitioned owner must not prevent the
	// other nodes from taking over the scheduler.
	isolationTimeout = 2 * time.Second
)

// Store is the part of the key-value service that the controller needs.
type Store interface {
	List(ctx context.Context, prefix, after string, limit int) ([]kv.Item, error)
	Commit(ctx context.Context, txn kv.Txn) (kv.TxnResult, error)
}

// ListWatcher reads and watches the configuration and the list of workers.
type ListWatcher interface {
	// ReadConfig and ReadWorkers return the complete current state.
	ReadConfig(ctx context.Context) (Update, error)
	ReadWorkers(ctx context.Context) (Update, error)
	// WatchConfig and WatchWorkers wait for changes after a version. They return
	// an Expired problem when the store no longer has those changes.
	WatchConfig(ctx context.Context, after kv.Version, wait time.Duration) (Update, error)
	WatchWorkers(ctx context.Context, after kv.Version, wait time.Duration) (Update, error)
}

// Config configures a Controller.
type Config struct {
	Node    id.Node
	Store   Store
	Lists   ListWatcher
	Workers Workers
	// Adviser may be nil if no queue uses the advice service.
	Adviser Adviser
	// VMs may be nil if the platform has no VMs that need upkeep.
	VMs     VMs
	Planner planner.Config
	// MaxValue is the size of the largest value that the store takes. Zero means kv.MaxValue.
	MaxValue unit.Bytes
	// JobMemory bounds what accepted jobs take. Zero means that they are not bounded.
	JobMemory unit.Bytes
	// StartMemory bounds what starts with large specs take while they are sent to workers.
	// Zero means that it is not bounded.
	StartMemory unit.Bytes
	// MaxEvacuationDelay bounds the time from a request to evacuate a zone to the last
	// start in that zone. Zero means that the deployment sets no bound.
	MaxEvacuationDelay time.Duration
	Timer              timer.Service
	Metrics            *metrics.Set
}

// Controller is the runtime of the scheduler. It serves calls while this node
// is the owner.
type Controller struct {
	config Config
	stages pipe.Filter[call, call]
	// storeHealth and listHealth track whether the metadata store answers
	// transactions and watches.
	storeHealth *dependency.Dependency
	listHealth  *dependency.Dependency
	metrics     *ownerMetrics

	session atomic.Pointer[session]

	mu            sync.Mutex
	lastHeartbeat map[id.Node]time.Time // of the other nodes
}

var _ election.Runner = (*Controller)(nil)

// New returns a controller that refuses all calls until Serve has loaded the
// state of a term.
func New(c Config) *Controller {
	ctrl := &Controller{config: c, lastHeartbeat: make(map[id.Node]time.Time), storeHealth: dependency.New("store", c.Timer),
		listHealth: dependency.New("lists", c.Timer), metrics: newOwnerMetrics(c.Metrics)}
	for name, value := range map[string]func(*session) int64{
		"bronzewinch_evacuated_zones": func(s *session) int64 { return int64(len(s.evacuatedZones())) },
		"bronzewinch_evacuated_runs":  func(s *session) int64 { return s.evacuatedRuns.Load() },
		"bronzewinch_job_held_bytes":  (*session).heldByJobs,
	} {
		c.Metrics.NewGauge(name, func() float64 {
			if s := ctrl.session.Load(); s != nil {
				return float64(value(s))
			}
			return 0
		})
	}
	c.Metrics.NewGauge("bronzewinch_config_age_seconds", func() float64 {
		if s := ctrl.session.Load(); s != nil {
			return s.configAge().Seconds()
		}
		return 0
	})
	ctrl.stages = pipe.Then(
		pipe.Then(pipe.Instrument(c.Metrics, "route", pipe.Func[call, call](ctrl.findRoute)),
			pipe.Instrument(c.Metrics, "authenticate", pipe.Func[call, call](ctrl.authenticate))),
		pipe.Instrument(c.Metrics, "check", pipe.Func[call, call](ctrl.checkJob)))
	return ctrl
}

// Heartbeat records a heartbeat from another node and reports whether this node
// serves calls. An empty name, or the name of this node, is not recorded.
func (ctrl *Controller) Heartbeat(from id.Node) bool {
	if from != "" && from != ctrl.config.Node {
		ctrl.mu.Lock()
		ctrl.lastHeartbeat[from] = ctrl.config.Timer.Now()
		ctrl.mu.Unlock()
	}
	s := ctrl.session.Load()
	return s != nil && s.canDecide()
}

// isolated reports whether this node has received heartbeats but none within
// isolationTimeout. Heartbeats older than election.OutageGrace no longer count.
func (ctrl *Controller) isolated(now time.Time) bool {
	ctrl.mu.Lock()
	defer ctrl.mu.Unlock()
	for name, at := range ctrl.lastHeartbeat {
		if now.Sub(at) < isolationTimeout {
			return false
		}
		if now.Sub(at) > election.OutageGrace {
			delete(ctrl.lastHeartbeat, name)
		}
	}
	return len(ctrl.lastHeartbeat) > 0
}

// Handle processes a call. It replies Refused when this node does not own the
// scheduler.
func (ctrl *Controller) Handle(ctx context.Context, req Request) Reply {
	refused := Reply{Outcome: Refused, Detail: "the owner of the scheduler is not serving calls; retry later", RetryAfter: retryAfter}
	s := ctrl.session.Load()
	if s == nil {
		return refused
	}
	if age := s.configAge(); age > outageThreshold {
		refused.RetryAfter = outageRetryAfter
	}
	if !s.canDecide() {
		return refused
	}
	c, err := ctrl.stages.Process(ctx, call{Request: req, dir: s.directory.Load()})
	var final finalReply
	if errors.As(err, &final) {
		return final.reply
	}
	switch {
	case req.Verb == Query && c.job == "":
		return Reply{Outcome: OK, IsQueue: true, Waiting: s.pendingJobs(c.route.Name)}
	case req.Verb == Query:
		return s.query(c)
	}
	if status, ok := s.jobs.Get(c.job); ok && req.Verb == Submit && status.Queue == c.route.Name {
		return Reply{Outcome: OK}
	}
	unknown := Reply{Outcome: Unknown, Detail: "the call may have been executed; repeat it with the same job id"}
	_, undecided := s.undecided.Get(c.job)
	if s.stalled() {
		if undecided {
			return unknown // an earlier attempt may still be stored
		}
		return refused
	}
	e := &callEvent{call: c, reply: make(chan Reply, 1)}
	if req.Verb == Submit {
		if reply, ok := s.admit(e, undecided); !ok {
			return reply
		}
	}
	s.undecided.Set(c.job, struct{}{})
	if err := s.events.Put(e); err != nil {
		s.undecided.Delete(c.job)
		s.withdraw(e)
		return refused
	}
	select {
	case r := <-e.reply:
		return r
	case <-ctx.Done():
	case <-s.done:
		// The cycle that processed the call may have been stored.
		select {
		case r := <-e.reply:
			return r
		default:
		}
	}
	return unknown
}

// session is the state of one term.
type session struct {
	controller        *Controller
	term              *election.Term
	planner           *planner.Planner // used by the goroutine of runCycles only
	events            *pipe.Queue[event]
	directory         atomic.Pointer[directory]
	evacuations       atomic.Pointer[evacuations]
	configConfirmedAt atomic.Int64 // timer.SinceBoot when the directory was last confirmed as the newest
	commitStartedAt   atomic.Int64 // timer.SinceBoot at the start of the transaction in progress, or zero
	jobs              *shard.Map[id.Job, planner.Status]
	adviceRequests    *pipe.Queue[planner.AdviceRequest]
	upkeepOrders      *pipe.Queue[planner.UpkeepOrder]
	wavesOpen         atomic.Bool                  // an upkeep wave is not finished
	evacuatedRuns     atomic.Int64                 // runs in evacuated zones after the last cycle
	undecided         *shard.Map[id.Job, struct{}] // jobs whose calls wait for a cycle
	backlog           *budget.Backlog              // what accepted jobs take, or nil if they are not bounded
	queueLengths      *shard.Map[task.QueueName, int]
	links             *shard.Map[id.Worker, *link]
	settled           bool                             // the planner knows that all earlier terms have ended
	linksCheckedAt    time.Time                        // when the cycle last looked for expired links
	extensions        *shard.Map[id.Worker, time.Time] // when calls that may extend leases were sent, until a cycle records it
	divider           *divider
	commitVersion     kv.Version
	txnNumber         uint64
	done              chan struct{}
	wg                sync.WaitGroup
	starting          *semaphore.Weighted // bytes of starts with large specs that are being sent, or nil
	sending           context.Context     // of calls that deliver orders; outlives the session's context in finishOrders
	deliveries        sync.WaitGroup      // the goroutines that deliver orders
}

// canDecide reports whether the term is valid and the configuration is recent
// enough to decide calls.
func (s *session) canDecide() bool {
	return s.term.Valid() && s.configAge() < maxConfigAge
}

// configAge returns the time since the configuration was last confirmed as the
// newest.
func (s *session) configAge() time.Duration {
	return timer.SinceBoot() - time.Duration(s.configConfirmedAt.Load())
}

// stalled reports whether the transaction in progress has taken longer than
// stallTimeout.
func (s *session) stalled() bool {
	start := s.commitStartedAt.Load()
	return start > 0 && timer.SinceBoot()-time.Duration(start) > stallTimeout
}

func (s *session) pendingJobs(queue task.QueueName) int {
	n, _ := s.queueLengths.Get(queue)
	return n
}

func (s *session) query(c call) Reply {
	status, ok := s.jobs.Get(c.job)
	if !ok || !c.permits(status) {
		return noJob
	}
	return Reply{Outcome: OK, State: status.State}
}

// Serve loads the state that earlier owners stored and serves as the owner
// until ctx ends or another node has taken over.
func (ctrl *Controller) Serve(ctx context.Context, term *election.Term) error {
	s := &session{
		controller: ctrl, term: term, planner: planner.New(ctrl.config.Planner), events: pipe.NewQueue[event](maxQueuedEvents),
		jobs: shard.NewMap[id.Job, planner.Status](), queueLengths: shard.NewMap[task.QueueName, int](),
		undecided: shard.NewMap[id.Job, struct{}](), adviceRequests: pipe.NewQueue[planner.AdviceRequest](maxQueuedAdviceRequests),
		upkeepOrders: pipe.NewQueue[planner.UpkeepOrder](maxQueuedUpkeepOrders),
		links:        shard.NewMap[id.Worker, *link](), extensions: shard.NewMap[id.Worker, time.Time](), commitVersion: term.CommitVersion, done: make(chan struct{}),
	}
	s.divider = newDivider(ctrl.config.MaxValue, strconv.FormatUint(uint64(term.Fence), 10))
	if ctrl.config.JobMemory > 0 {
		s.backlog = budget.NewBacklog(budget.BacklogConfig{Memory: ctrl.config.JobMemory})
	}
	if ctrl.config.StartMemory > 0 {
		s.starting = semaphore.NewWeighted(int64(ctrl.config.StartMemory))
	}
	ctrl.mu.Lock()
	clear(ctrl.lastHeartbeat) // heartbeats received in an earlier term of this node do not count
	ctrl.mu.Unlock()
	termCtx := ctx
	ctx, cancel := context.WithCancel(ctx)
	var stopSending context.CancelFunc
	s.sending, stopSending = context.WithCancel(context.WithoutCancel(ctx))
	defer func() {
		close(s.done)
		if errors.Is(context.Cause(termCtx), context.Canceled) { // the node stops; an end of the term has another cause
			s.finishOrders()
		}
		stopSending()
		cancel()
		s.deliveries.Wait()
		s.wg.Wait()
	}()
	if err := recovered("load", func() error { return s.load(ctx) }); err != nil {
		term.End(err)
		return err
	}
	s.wg.Go(func() { s.tick(ctx) })
	if ctrl.config.Adviser != nil {
		s.wg.Go(func() { s.requestAdvice(ctx, ctrl.config.Adviser) })
	}
	if ctrl.config.VMs != nil {
		s.wg.Go(func() { s.sendUpkeepOrders(ctx, ctrl.config.VMs) })
		s.wg.Go(func() { s.pollVMs(ctx, ctrl.config.VMs) })
	}
	ctrl.session.Store(s)
	defer ctrl.session.Store(nil)
	err := recovered("cycle", func() error { return s.runCycles(ctx) })
	term.End(err)
	return err
}

// recovered calls f and turns a panic into an error. A fault in the decisions on some
// input then ends the term only; the process goes on forwarding calls to the next owner.
func recovered(part string, f func() error) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			klog.ErrorS(fmt.Errorf("%v", cause), "term ends; report a bug with this stack", "event", "panic", "part", part,
				"stack", string(debug.Stack()))
			err = problem.New(problem.Internal, problem.Detail{Field: "scheduler", Value: fmt.Sprint(cause),
				Remedy: "let another node become the owner, and report the stack in the log"})
		}
	}()
	return f()
}

// tick wakes the cycle every tickPeriod, and ends the term if this node is
// isolated.
func (s *session) tick(ctx context.Context) {
	ticks := s.controller.config.Timer.Every(tickPeriod)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			s.events.Close()
			return
		case now := <-ticks.C:
			if s.controller.isolated(now) {
				s.term.End(problem.New(problem.Unavailable, problem.Detail{
					Field: "other nodes", Remedy: "let a node that reaches the others become the owner"}))
			}
			_ = s.events.Put(tickEvent{}) // the events of a full queue wake the cycle anyway
		}
	}
}
