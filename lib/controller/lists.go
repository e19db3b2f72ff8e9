package controller

import (
	"context"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/kv"
	"bronzewinch.dev/lib/planner"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/task"
	"bronzewinch.dev/lib/timer"
	"bronzewinch.dev/lib/unit"

	"k8s.io/klog/v2"
)

// listRetryPause is the pause after a failed read of a list. It is short
// because the lists must be read soon after the store has recovered.
const listRetryPause = 150 * time.Millisecond

// activateConfig puts a configuration into force for subsequent calls if it is
// newer than the present one. The planner receives it in the next cycle.
func (s *session) activateConfig(u Update) {
	old := s.directory.Load()
	if u.Config == nil || old != nil && u.Config.Version <= old.config.Version {
		return
	}
	s.directory.Store(newDirectory(*u.Config))
	_ = s.events.Put(configEvent{*u.Config}) // fails only if the session has ended or the queue is full
	klog.InfoS("configuration in force", "event", "config", "config", u.Config.Number, "routes", len(u.Config.Routes),
		"storeVersion", u.Version)
}

func plannerRules(c Configuration) planner.Rules {
	r := planner.Rules{Queues: make(map[task.QueueName]task.Queue), Guaranteed: make(map[id.Account]unit.Accelerators)}
	for _, route := range c.Routes {
		r.Queues[route.Name] = route.Queue
	}
	for _, a := range c.Accounts {
		r.Guaranteed[a.Name] = a.Guaranteed
	}
	return r
}

type configEvent struct{ config Configuration }

func (e configEvent) apply(s *session, _ time.Time, _ *deferredWork) {
	s.planner.Configure(plannerRules(e.config))
}

// watchConfig applies changes of the configuration, of the waves and of the
// evacuations, and records when they were last confirmed as the newest.
func (s *session) watchConfig(ctx context.Context, version kv.Version) {
	for ctx.Err() == nil {
		sent, all := timer.SinceBoot(), false
		u, err := s.controller.config.Lists.WatchConfig(ctx, version, configWatchTimeout)
		if problem.Is(err, problem.Expired) {
			sent, all = timer.SinceBoot(), true
			u, err = boundedRead(ctx, s.controller.config.Lists.ReadConfig)
		}
		if err != nil {
			s.watchFailed(ctx, err)
			continue
		}
		s.controller.listHealth.Observe(nil)
		version = max(version, u.Version)
		s.activateConfig(u)
		s.updateEvacuations(u.Evacuations, all)
		if all || len(u.Waves)+len(u.Withdrawn) > 0 {
			if err := s.events.Put(waveEvent{u.Waves, u.Withdrawn, all}); err != nil && ctx.Err() == nil {
				klog.ErrorS(err, "change of the upkeep waves dropped; the event queue did not accept it", "event", "wave")
			}
		}
		if u.Unchanged {
			// The service waited for the whole timeout, so the configuration was still
			// the newest at its end.
			sent += configWatchTimeout
		}
		s.configConfirmedAt.Store(int64(sent))
	}
}

func (s *session) watchFailed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	s.controller.listHealth.Observe(err)
	_ = timer.Sleep(ctx, s.controller.config.Timer, timer.Jitter(listRetryPause))
}

// applyWorkers opens or updates the links to the workers of an update and
// passes the update to the planner.
func (s *session) applyWorkers(ctx context.Context, now time.Time, u Update) {
	for _, w := range u.Workers {
		s.links.Update(w.ID, func(l *link, ok bool) (*link, bool) {
			if !ok {
				l = newLink(ctx, s, w)
			} else {
				l.update(w)
			}
			return l, true
		})
		s.planner.UpdateWorker(now, w)
	}
	for _, name := range u.Removed {
		s.planner.UnlistWorker(now, name)
		if l, ok := s.links.Get(name); ok {
			l.markUnlisted(now)
		}
	}
	s.observeLoad()
}

// linkUnlistedWorkers opens links to workers that are not listed and may carry out a start
// late: a worker that restarts has an entry only some time after it accepts calls.
func (s *session) linkUnlistedWorkers(ctx context.Context, now time.Time, lateStarts []task.LateStart) {
	for _, late := range lateStarts {
		s.links.Update(late.Worker, func(l *link, ok bool) (*link, bool) {
			if !ok {
				l = newLink(ctx, s, task.Worker{ID: late.Worker, Address: late.Address, Incarnation: late.Incarnation, Zone: late.Zone, Rack: late.Rack})
				l.markUnlisted(now)
			}
			return l, true
		})
	}
}

// observeLoad reports the number of links if Workers adapts to it.
func (s *session) observeLoad() {
	if o, ok := s.controller.config.Workers.(LoadObserver); ok {
		o.SetWorkers(s.links.Len())
	}
}

// watchWorkers enqueues the changes of the list of workers.
func (s *session) watchWorkers(ctx context.Context, version kv.Version) {
	for ctx.Err() == nil {
		u, err := s.controller.config.Lists.WatchWorkers(ctx, version, workersWatchTimeout)
		if problem.Is(err, problem.Expired) {
			if u, err = boundedRead(ctx, s.controller.config.Lists.ReadWorkers); err == nil {
				u.Removed = s.unlistedWorkers(u.Workers)
			}
		}
		if err != nil {
			s.watchFailed(ctx, err)
			continue
		}
		version = max(version, u.Version)
		if len(u.Workers)+len(u.Removed) == 0 {
			continue
		}
		if err := s.events.Put(workersEvent{ctx: ctx, update: u}); err != nil && ctx.Err() == nil {
			klog.ErrorS(err, "change of the list of workers dropped; the event queue did not accept it", "event", "list")
		}
		_ = timer.Sleep(ctx, s.controller.config.Timer, workersWatchPause)
	}
}

// workersEvent is a change of the list of workers. It carries the context of
// the session, under which links to new workers run.
type workersEvent struct {
	ctx    context.Context
	update Update
}

func (e workersEvent) apply(s *session, now time.Time, _ *deferredWork) {
	s.applyWorkers(e.ctx, now, e.update)
}

// unlistedWorkers returns the workers that have a link and are missing from a
// complete list.
func (s *session) unlistedWorkers(present []task.Worker) []id.Worker {
	listed := make(map[id.Worker]struct{}, len(present))
	for _, w := range present {
		listed[w.ID] = struct{}{}
	}
	var unlisted []id.Worker
	s.links.Range(func(name id.Worker, _ *link) bool {
		if _, ok := listed[name]; !ok {
			unlisted = append(unlisted, name)
		}
		return true
	})
	return unlisted
}
