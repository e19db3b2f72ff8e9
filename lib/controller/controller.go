package controller

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

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

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
)

const (
	// eventLimit bounds the events that wait for a cycle. A cycle takes some
	// milliseconds, so a full queue means that the owner is far behind.
	eventLimit = 10000
	// cyclePause gathers events that come together, such as the ends of a
	// gang, into one transaction.
	cyclePause = 10 * time.Millisecond
	tickPeriod = 100 * time.Millisecond
	// stallTime is how long a transaction may take before further jobs are
	// refused at once.
	stallTime = 400 * time.Millisecond
	// freshTime bounds the age of the configuration by which calls are decided.
	freshTime = 1500 * time.Millisecond
	// configWait is how long a watch of the configuration waits. Each answer
	// proves that the configuration in force is the newest.
	configWait = 700 * time.Millisecond
	// workersWait is short, as a watch that began while the store dropped its
	// history hears nothing until its wait ends. A worker that leaves must get
	// no starts two seconds after the store knows it.
	workersWait = time.Second
	// retryAfter is the time in which a short disturbance of the store is over.
	retryAfter = time.Second
	// outageAfter sends callers away for longer once the store has been out of
	// reach for outageTime. Callers come back four times, so they bridge an
	// outage of seven seconds.
	outageAfter = 2 * time.Second
	outageTime  = 2 * time.Second
	// isolationTime is how long an owner goes on without hearing of any other
	// node when there were some. A node that is cut off from the others must
	// not keep the scheduler from them.
	isolationTime = 2 * time.Second
)

// Store is the part of the key-value service that the controller needs.
type Store interface {
	List(ctx context.Context, prefix, after string, limit int) ([]kv.Item, error)
	Commit(ctx context.Context, txn kv.Txn) (kv.TxnResult, error)
}

// ListWatcher reads the configuration and the list of workers.
type ListWatcher interface {
	// ReadConfig and ReadWorkers return all that is there.
	ReadConfig(ctx context.Context) (Update, error)
	ReadWorkers(ctx context.Context) (Update, error)
	// WatchConfig and WatchWorkers wait for changes after a version. They return
	// an Expired problem when the changes are no longer known.
	WatchConfig(ctx context.Context, after kv.Version, wait time.Duration) (Update, error)
	WatchWorkers(ctx context.Context, after kv.Version, wait time.Duration) (Update, error)
}

// Config configures a Controller.
type Config struct {
	Node    id.Node
	Store   Store
	Lists   ListWatcher
	Workers Workers
	// Adviser may be nil where no queue has advice.
	Adviser Adviser
	// VMs may be nil where the platform has no VMs to keep up.
	VMs     VMs
	Planner planner.Config
	Timer   timer.Service
	Metrics *metrics.Set
}

// Controller is the runtime. It serves calls while this node owns the scheduler.
type Controller struct {
	config Config
	stages pipe.Filter[call, call]
	// store and lists tell of the metadata store as transactions and watches
	// see it.
	store   *dependency.Dependency
	lists   *dependency.Dependency
	figures *figures

	session atomic.Pointer[session]

	mu    sync.Mutex
	heard map[id.Node]time.Time // when other nodes last called
}

var _ election.Runner = (*Controller)(nil)

// New returns a controller that does not serve yet.
func New(c Config) *Controller {
	d := &Controller{config: c, heard: make(map[id.Node]time.Time), store: dependency.New("store", c.Timer),
		lists: dependency.New("lists", c.Timer), figures: newFigures(c.Metrics)}
	c.Metrics.NewGauge("bronzewinch_config_age_seconds", func() float64 {
		if s := d.session.Load(); s != nil {
			return s.age().Seconds()
		}
		return 0
	})
	d.stages = pipe.Then(
		pipe.Then(pipe.Named(c.Metrics, "route", pipe.Func[call, call](d.findRoute)),
			pipe.Named(c.Metrics, "authenticate", pipe.Func[call, call](d.authenticate))),
		pipe.Named(c.Metrics, "check", pipe.Func[call, call](d.checkJob)))
	return d
}

// Heartbeat notes that another node is in touch. It returns whether calls are
// served.
func (d *Controller) Heartbeat(from id.Node) bool {
	if from != "" && from != d.config.Node {
		d.mu.Lock()
		d.heard[from] = d.config.Timer.Now()
		d.mu.Unlock()
	}
	s := d.session.Load()
	return s != nil && s.fresh()
}

// alone reports whether other nodes were in touch and none is any more.
func (d *Controller) alone(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, at := range d.heard {
		if now.Sub(at) < isolationTime {
			return false
		}
		if now.Sub(at) > election.OutageGrace {
			delete(d.heard, name)
		}
	}
	return len(d.heard) > 0
}

// Handle decides on a call. It answers Refused when this node does not own
// the scheduler.
func (d *Controller) Handle(ctx context.Context, req Request) Reply {
	refused := Reply{Outcome: Refused, Detail: "no owner serves at present; try again", RetryAfter: retryAfter}
	s := d.session.Load()
	if s == nil {
		return refused
	}
	if age := s.age(); age > outageTime {
		refused.RetryAfter = outageAfter
	}
	if !s.fresh() {
		return refused
	}
	c, err := d.stages.Process(ctx, call{Request: req, dir: s.directory.Load()})
	var end ended
	if errors.As(err, &end) {
		return end.reply
	}
	switch {
	case req.Verb == Query && c.job == "":
		return Reply{Outcome: OK, IsQueue: true, Waiting: s.waiting(c.route.Name)}
	case req.Verb == Query:
		return s.look(c)
	}
	if status, ok := s.jobs.Get(c.job); ok && req.Verb == Submit && status.Queue == c.route.Name {
		return Reply{Outcome: OK}
	}
	unknown := Reply{Outcome: Unknown, Detail: "send the call again with the same id; it may have been carried out"}
	if s.stalled() {
		if _, ok := s.pending.Get(c.job); ok {
			return unknown // an earlier attempt may yet be stored
		}
		return refused
	}
	e := &callEvent{call: c, reply: make(chan Reply, 1)}
	s.pending.Set(c.job, struct{}{})
	if err := s.events.Put(e); err != nil {
		s.pending.Delete(c.job)
		return refused
	}
	select {
	case r := <-e.reply:
		return r
	case <-ctx.Done():
	case <-s.over:
		// The cycle that held the call may have been stored.
		select {
		case r := <-e.reply:
			return r
		default:
		}
	}
	return unknown
}

// session is one time of ownership.
type session struct {
	controller *Controller
	term       *election.Term
	planner    *planner.Planner // used by the cycle's goroutine alone
	events     *pipe.Queue[event]
	directory  atomic.Pointer[directory]
	confirmed  atomic.Int64 // timer.Boot when the directory was last known to be the newest
	committing atomic.Int64 // timer.Boot when the transaction in progress began, or zero
	jobs       *shard.Map[id.Job, planner.Status]
	asks       *pipe.Queue[planner.AdviceRequest]
	upkeeps    *pipe.Queue[planner.UpkeepOrder]
	upkeeping  atomic.Bool                  // a wave of upkeep is not over
	pending    *shard.Map[id.Job, struct{}] // jobs of calls that wait for a cycle
	queues     *shard.Map[task.QueueName, int]
	links      *shard.Map[id.Worker, *link]
	commit     kv.Version
	number     uint64
	over       chan struct{}
	wg         sync.WaitGroup
}

// fresh reports whether calls may be decided.
func (s *session) fresh() bool {
	return s.term.Valid() && s.age() < freshTime
}

// age is the time since the configuration was last known to be the newest.
func (s *session) age() time.Duration { return timer.Boot() - time.Duration(s.confirmed.Load()) }

// stalled reports whether a transaction has been in progress for so long that
// further jobs are refused at once.
func (s *session) stalled() bool {
	begun := s.committing.Load()
	return begun > 0 && timer.Boot()-time.Duration(begun) > stallTime
}

func (s *session) waiting(queue task.QueueName) int {
	n, _ := s.queues.Get(queue)
	return n
}

func (s *session) look(c call) Reply {
	status, ok := s.jobs.Get(c.job)
	if !ok || status.Queue != c.route.Name {
		return Reply{Outcome: NoJob, Detail: "check the id; no job of this queue has it"}
	}
	return Reply{Outcome: OK, State: status.State}
}

// Serve loads what earlier owners stored and works as the owner until ctx
// ends.
func (d *Controller) Serve(ctx context.Context, term *election.Term) error {
	s := &session{
		controller: d, term: term, planner: planner.New(d.config.Planner), events: pipe.NewQueue[event](eventLimit),
		jobs: shard.NewMap[id.Job, planner.Status](), queues: shard.NewMap[task.QueueName, int](),
		pending: shard.NewMap[id.Job, struct{}](), asks: pipe.NewQueue[planner.AdviceRequest](askLimit),
		upkeeps: pipe.NewQueue[planner.UpkeepOrder](upkeepLimit),
		links:   shard.NewMap[id.Worker, *link](), commit: term.CommitVersion, over: make(chan struct{}),
	}
	d.mu.Lock()
	clear(d.heard) // other nodes may have greeted an earlier term of this node
	d.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	defer s.wg.Wait()
	defer cancel()
	defer close(s.over)
	if err := s.load(ctx); err != nil {
		term.End(err)
		return err
	}
	s.wg.Go(func() { s.tick(ctx) })
	if d.config.Adviser != nil {
		s.wg.Go(func() { s.advise(ctx, d.config.Adviser) })
	}
	if d.config.VMs != nil {
		s.wg.Go(func() { s.orderUpkeep(ctx, d.config.VMs) })
		s.wg.Go(func() { s.followVMs(ctx, d.config.VMs) })
	}
	d.session.Store(s)
	defer d.session.Store(nil)
	return s.run(ctx)
}

// tick brings time into the cycle.
func (s *session) tick(ctx context.Context) {
	ticks := s.controller.config.Timer.Every(tickPeriod)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			s.events.Close()
			return
		case now := <-ticks.C:
			if s.controller.alone(now) {
				s.term.End(problem.New(problem.Unavailable, problem.Detail{
					Field: "other nodes", Remedy: "let a node that reaches the others become the owner"}))
			}
			_ = s.events.Put(tickEvent{}) // a full queue has events to wake the cycle
		}
	}
}
