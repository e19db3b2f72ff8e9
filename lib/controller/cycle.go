package controller

import (
	"context"
	"time"

	"bronzewinch.dev/lib/election"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/kv"
	"bronzewinch.dev/lib/planner"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/task"
	"bronzewinch.dev/lib/timer"
	"bronzewinch.dev/lib/unit"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"k8s.io/klog/v2"
)

// maxCycleEvents bounds the events that one cycle processes.
const maxCycleEvents = 1000

// event is an input of the planner.
type event interface {
	apply(s *session, now time.Time, work *deferredWork)
}

// deferredWork collects the replies and reports of a cycle that are released
// only after its changes are stored.
type deferredWork struct {
	replies []func()
	reports []*reportEvent
	// submitted holds the jobs that the cycle has accepted, and refused those of them that
	// can't be stored.
	submitted map[id.Job]struct{}
	refused   map[id.Job]struct{}
}

// tickEvent only wakes the cycle. Each cycle advances the planner's time after
// all other events.
type tickEvent struct{}

func (tickEvent) apply(*session, time.Time, *deferredWork) {}

// advanceTime advances the planner's time and removes expired links. It first
// records the lease extensions of the links: reports may still be queued, and a
// run must not be treated as lost while a call that extends its lease is in
// flight.
func (s *session) advanceTime(now time.Time) {
	s.extensions.Drain(s.planner.RecordLeaseGrant)
	if !s.settled && s.term.Settled() {
		s.settled = true
		s.planner.LimitRestoredLeases(s.controller.config.Planner.LeaseExpiry(now))
	}
	if now.Sub(s.linksCheckedAt) >= linkCheckPeriod {
		s.linksCheckedAt = now
		s.removeExpiredLinks(now)
	}
	s.planner.SetEvacuated(now, s.evacuatedZones())
	s.planner.Tick(now)
	s.evacuatedRuns.Store(int64(s.planner.EvacuatedRuns()))
}

// recordLeaseGrant records that a call that was sent at sent may extend the lease of a
// worker. The planner receives it before it next decides which leases have expired.
func (s *session) recordLeaseGrant(name id.Worker, sent time.Time) {
	s.extensions.Update(name, func(last time.Time, _ bool) (time.Time, bool) {
		if sent.After(last) {
			last = sent
		}
		return last, true
	})
}

// linkCheckPeriod is how often links are checked for expiry.
const linkCheckPeriod = time.Second

func (s *session) removeExpiredLinks(now time.Time) {
	var expired []id.Worker
	s.links.Range(func(name id.Worker, l *link) bool {
		if l.expired(now) && !s.planner.Busy(name) {
			l.stop()
			expired = append(expired, name)
		}
		return true
	})
	for _, name := range expired {
		s.links.Delete(name)
	}
	if len(expired) > 0 {
		s.observeLoad()
	}
}

type callEvent struct {
	call
	admitted unit.Bytes // what the job of a submission is counted for
	reply    chan Reply
}

func (e *callEvent) apply(s *session, now time.Time, work *deferredWork) {
	var reply Reply
	if e.Verb == Submit {
		_, known := s.planner.Status(e.job)
		if reply = s.submit(now, e.call); known || reply.Outcome != OK {
			s.withdraw(e)
		} else {
			work.submitted[e.job] = struct{}{}
		}
	} else {
		reply = s.cancel(now, e.call)
	}
	work.replies = append(work.replies, func() {
		s.undecided.Delete(e.job)
		if _, ok := work.refused[e.job]; ok && reply.Outcome == OK {
			reply = notStorable
		}
		e.reply <- reply
	})
}

func (s *session) submit(now time.Time, c call) Reply {
	j := *c.Job
	j.ID, j.Queue, j.Account = c.job, c.route.Name, c.account
	err := s.planner.Submit(now, j)
	switch problem.KindOf(err) {
	case "":
		return Reply{Outcome: OK}
	case problem.NotFound:
		return Reply{Outcome: NoQueue, Detail: err.Error()}
	}
	return Reply{Outcome: Malformed, Detail: err.Error()}
}

func (s *session) cancel(now time.Time, c call) Reply {
	if status, ok := s.planner.Status(c.job); !ok || !c.permits(status) {
		return noJob
	}
	if err := s.planner.Cancel(now, c.job); err != nil {
		return Reply{Outcome: NoJob, Detail: err.Error()}
	}
	return Reply{Outcome: OK}
}

// runCycles processes the queued events, stores the resulting changes and
// releases their effects, cycle by cycle. It returns when ctx ends or another
// node has taken over.
func (s *session) runCycles(ctx context.Context) error {
	for {
		events, ok := s.events.TakeBatch(ctx, maxCycleEvents)
		if !ok {
			return context.Cause(ctx)
		}
		now := s.controller.config.Timer.Now()
		start := timer.SinceBoot()
		work := &deferredWork{submitted: make(map[id.Job]struct{}), refused: make(map[id.Job]struct{})}
		for _, e := range events {
			e.apply(s, now, work)
		}
		s.advanceTime(now)
		s.planner.Plan(now)
		changes := s.planner.TakeChanges()
		s.wavesOpen.Store(s.planner.HasOpenWaves())
		decided := timer.SinceBoot()
		if err := s.storeCycle(ctx, now, &changes, work); err != nil {
			s.term.End(err)
			return err
		}
		s.releaseFreed(changes.Freed)
		s.release(changes, work)
		pause := cyclePauseFactor * (decided - start)
		if len(changes.Jobs)+len(changes.Progress) > 0 {
			pause = max(pause, cyclePause)
		}
		if timer.Sleep(ctx, s.controller.config.Timer, pause) != nil {
			return context.Cause(ctx)
		}
	}
}

// release publishes job states, replies to callers and sends orders after the
// changes of a cycle are stored.
func (s *session) release(c planner.Changes, work *deferredWork) {
	s.publishStatus(c)
	for _, reply := range work.replies {
		reply()
	}
	for _, e := range work.reports {
		e.link.confirmReport(e, s.planner.Busy(e.link.name), s.planner.Colocated(e.link.name),
			s.planner.AwaitsLateStart(e.link.name))
	}
	for _, q := range c.AdviceRequests {
		if err := s.adviceRequests.Put(q); err != nil {
			_ = s.events.Put(&adviceEvent{request: q, err: err}) // the planner repeats the request
		}
	}
	for _, u := range c.UpkeepOrders {
		if err := s.upkeepOrders.Put(u); err != nil {
			_ = s.events.Put(&upkeepEvent{order: u, result: planner.UpkeepDeferred}) // the planner repeats the order
		}
	}
	for _, o := range c.Orders {
		if l, ok := s.links.Get(o.Worker); ok {
			l.enqueue(o)
		}
	}
	for _, d := range c.Decisions {
		s.controller.metrics.count(d)
		s.logDecision(d)
	}
}

// logDecision logs one decision with its subject and with the age or version of
// its inputs.
func (s *session) logDecision(d planner.Decision) {
	fields := []any{"event", d.Event}
	if d.Job != "" {
		fields = append(fields, "job", d.Job)
	}
	if d.Run > 0 {
		fields = append(fields, "task", d.Task.String(), "run", d.Run)
	}
	if d.Worker != "" {
		fields = append(fields, "worker", d.Worker)
	}
	if d.Reason != "" {
		fields = append(fields, "reason", d.Reason)
	}
	if d.Expected > 0 {
		fields = append(fields, "expectedMs", d.Expected.Milliseconds())
	}
	fields = append(fields, d.Fields...)
	fields = append(fields, "ageMs", d.Age.Milliseconds(), "config", s.directory.Load().config.Number, "fence", s.term.Fence,
		"commit", s.txnNumber)
	klog.InfoS("decision", fields...)
}

func (s *session) publishStatus(c planner.Changes) {
	for _, j := range c.Jobs {
		s.publishJobStatus(j.ID)
	}
	for _, p := range c.Progress {
		s.publishJobStatus(p.Job)
	}
	for _, name := range c.Started {
		s.publishJobStatus(name)
	}
	for _, name := range c.Removed {
		s.jobs.Delete(name)
	}
	pending := s.planner.PendingJobs()
	for _, r := range s.directory.Load().config.Routes {
		s.queueLengths.Set(r.Name, pending[r.Name])
	}
}

func (s *session) publishJobStatus(name id.Job) {
	if status, ok := s.planner.Status(name); ok {
		s.jobs.Set(name, status)
	}
}

// load reads the configuration, the list of workers and the stored jobs,
// progress and waves, and starts the watches.
func (s *session) load(ctx context.Context) error {
	start := s.controller.config.Timer.Now()
	config, err := s.awaitConfig(ctx)
	if err != nil {
		return errors.Wrap(err, "read the configuration")
	}
	s.activateConfig(config)
	s.updateEvacuations(config.Evacuations, true)
	s.planner.Configure(plannerRules(*config.Config)) // Restore uses the rules
	s.configConfirmedAt.Store(int64(timer.SinceBoot() - configWatchTimeout))
	workers, err := readStored(ctx, s, s.controller.config.Lists.ReadWorkers)
	if err != nil {
		return errors.Wrap(err, "read the list of workers")
	}
	lateStarts, err := readAll[task.LateStart](ctx, s, lateStartPrefix)
	if err != nil {
		return err
	}
	runTimes, err := readAll[cbor.RawMessage](ctx, s, runTimesKey)
	if err != nil {
		return err
	}
	for _, snapshot := range runTimes {
		s.planner.RestoreRunTimes(snapshot)
	}
	now := s.controller.config.Timer.Now()
	lastExtension := now.Add(election.OutageGrace)
	if s.settled = s.term.Settled(); s.settled {
		lastExtension = now
	}
	leaseExpiry := s.controller.config.Planner.LeaseExpiry(lastExtension)
	for _, l := range lateStarts {
		s.planner.RestoreLateStart(now, l)
	}
	jobs, err := s.loadJobs(ctx, now, leaseExpiry)
	if err != nil {
		return err
	}
	now = s.controller.config.Timer.Now()
	if err := s.loadWaves(ctx, now, config.Waves); err != nil {
		return err
	}
	s.planner.Resume(now)
	s.applyWorkers(ctx, now, workers)
	s.linkUnlistedWorkers(ctx, now, lateStarts)
	s.wg.Go(func() { s.watchConfig(ctx, config.Version) })
	s.wg.Go(func() { s.watchWorkers(ctx, workers.Version) })
	s.controller.metrics.loadSeconds.Update(s.controller.config.Timer.Now().Sub(start).Seconds())
	klog.InfoS("state loaded", "event", "load", "fence", s.term.Fence, "jobs", jobs, "workers", len(workers.Workers), "earlierTermsEnded", s.settled,
		"config", s.directory.Load().config.Number, "tookMs", s.controller.config.Timer.Now().Sub(start).Milliseconds())
	return nil
}

// loadJobs restores the stored jobs and returns their number. It reads jobs and progress side
// by side, both in the order of their keys, and keeps one page of each: the records of all
// jobs can take several times the memory of the jobs that have not ended.
func (s *session) loadJobs(ctx context.Context, now, leaseExpiry time.Time) (int, error) {
	jobs, progress := newPager[task.Job](ctx, s, jobPrefix), newPager[task.Progress](ctx, s, progressPrefix)
	var orphans []id.Job
	p, more, err := progress.next()
	if err != nil {
		return 0, err
	}
	n := 0
	for ; ; n++ {
		j, ok, err := jobs.next()
		if err != nil {
			return n, err
		}
		for more && (!ok || p.Job < j.ID) {
			orphans = append(orphans, p.Job)
			if p, more, err = progress.next(); err != nil {
				return n, err
			}
		}
		if !ok {
			break
		}
		stored := task.Progress{Job: j.ID}
		if more && p.Job == j.ID {
			stored = p
			if p, more, err = progress.next(); err != nil {
				return n, err
			}
		}
		if s.backlog != nil {
			s.backlog.Restore(j.Account, planner.JobMemory(&j))
		}
		s.planner.Restore(now, leaseExpiry, j, stored)
		s.publishJobStatus(j.ID)
	}
	if jobs.skipped == 0 { // otherwise the progress may be that of a job that can't be decoded
		for _, name := range orphans {
			s.planner.DiscardProgress(name)
		}
	}
	return n, nil
}

// awaitConfig reads the configuration. It waits in a new deployment, which has
// none at first.
func (s *session) awaitConfig(ctx context.Context) (Update, error) {
	for {
		u, err := readStored(ctx, s, s.controller.config.Lists.ReadConfig)
		if !problem.Is(err, problem.NotFound) {
			return u, err
		}
		if err := timer.Sleep(ctx, s.controller.config.Timer, 2*listRetryPause); err != nil {
			return u, context.Cause(ctx)
		}
	}
}

// SpecReader reads the specs of stored jobs. The record of a job does not change until it has
// ended.
type SpecReader struct {
	Store kv.Getter
}

// ReadSpec returns the spec of a job.
func (r SpecReader) ReadSpec(ctx context.Context, name id.Job) (string, error) {
	value, err := kv.GetRecord(ctx, r.Store, jobPrefix+string(name))
	if err != nil {
		return "", err
	}
	var j task.Job
	if err := cbor.Unmarshal(value, &j); err != nil {
		return "", errors.Wrapf(err, "job %s", name)
	}
	if len(j.Steps) == 0 {
		return "", problem.New(problem.NotFound, problem.Detail{Field: "spec of job " + string(name), Remedy: "start no task of this job; it has ended"})
	}
	return j.Spec, nil
}
