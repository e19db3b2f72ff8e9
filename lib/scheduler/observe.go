package scheduler

import (
	"time"

	"bronzewinch.dev/lib/burn"
	"bronzewinch.dev/lib/decision"
	"bronzewinch.dev/lib/gang"
	"bronzewinch.dev/lib/job"
)

func (s *Scheduler) observe(e burn.Event) {
	if s.cfg.Observer != nil {
		s.cfg.Observer.Observe(e)
	}
}

// recordRunning records the time at which all members of an attempt run. The first
// such time is the start of the job. The caller holds the entry's lock.
func (s *Scheduler) recordRunning(e *jobEntry) {
	if e.gang.Phase() != gang.Running || !e.runningSince.IsZero() {
		return
	}
	e.runningSince = s.cfg.Clock.Now()
	if !e.startReported {
		e.startReported = true
		s.observeUrgentStart(e, false)
	}
}

// observeUrgentStart reports to the observer that an urgent job started, or that
// it failed without having started. The caller holds the entry's lock.
func (s *Scheduler) observeUrgentStart(e *jobEntry, neverStarted bool) {
	if e.job.Spec.Urgent {
		s.observe(burn.UrgentStart{Account: e.job.Spec.Account, Zone: s.cfg.Zone, Job: e.job.ID,
			Elapsed: s.cfg.Clock.Now().Sub(e.job.Submitted), Abandoned: neverStarted})
	}
}

// observeEnd reports to the observer that a job is final. For an urgent job that
// was cancelled before its start, the time that it waited counts as the time to
// start. The caller holds the entry's lock.
func (s *Scheduler) observeEnd(e *jobEntry) {
	if !e.startReported {
		e.startReported = true
		s.observeUrgentStart(e, e.job.Phase == job.Failed)
	}
	if e.job.Phase == job.Succeeded && !e.runningSince.IsZero() {
		now := s.cfg.Clock.Now()
		s.observe(burn.Completion{Account: e.job.Spec.Account, Zone: s.cfg.Zone, Job: e.job.ID,
			Accelerators: e.job.Spec.Shape.Accelerators(), Turnaround: now.Sub(e.job.Submitted), RunTime: now.Sub(e.runningSince)})
	}
}

// observeReclaim reports to the observer that the last victim of a claim has
// released its workers. The caller holds the entry's lock.
func (s *Scheduler) observeReclaim(e *jobEntry) {
	s.observe(burn.Reclaim{Account: e.job.Spec.Account, Zone: s.cfg.Zone, Job: e.job.ID,
		Elapsed: s.cfg.Clock.Now().Sub(e.decidedAt)})
}

// observeFragmentation reports to the observer the fragmentation of the zone,
// together with the oldest waiting job of more than one accelerator that doesn't
// fit at present.
func (s *Scheduler) observeFragmentation() {
	if s.checkMayDecide() != nil {
		return
	}
	event := burn.Fragmentation{Zone: s.cfg.Zone}
	var oldest time.Time
	for _, e := range values(s.waiting) {
		e.mu.Lock()
		j, n := e.job, len(e.decisions)
		waitsForCapacity := n > 0 && e.decisions[n-1].Rule == decision.RuleWait
		e.mu.Unlock()
		if waitsForCapacity && j.Spec.Shape.Accelerators() > 1 && (oldest.IsZero() || j.Submitted.Before(oldest)) {
			oldest, event.Account, event.Job = j.Submitted, j.Spec.Account, j.ID
		}
	}
	s.runOnPlanner(func(p *planState) {
		event.Share = p.planner.Fragmentation()
		s.observe(event)
	})
}
