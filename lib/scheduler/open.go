package scheduler

import (
	"sync"
	"time"

	"bronzewinch.dev/lib/gang"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/worker"
)

// recovery collects the task lists of the workers after a change of owner. The
// scheduler makes no decisions until all workers have answered or WorkerTimeout
// has passed.
type recovery struct {
	mu           sync.Mutex
	deadline     time.Time
	expected     map[id.Worker]bool
	earliestSent time.Time // when the earliest answered call was sent
	observations map[worker.Ref]map[id.Worker]gang.Observation
	answered     map[id.Worker]bool
	begun        bool // takeOver has begun
	ended        bool // takeOver has ended
}

func newRecovery(now time.Time) *recovery {
	return &recovery{deadline: now.Add(WorkerTimeout), expected: make(map[id.Worker]bool),
		observations: make(map[worker.Ref]map[id.Worker]gang.Observation), answered: make(map[id.Worker]bool)}
}

func (rc *recovery) expect(w id.Worker) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if !rc.begun {
		rc.expected[w] = true
	}
}

// addList adds the list of a worker, and reports whether all expected workers have
// answered now.
func (rc *recovery) addList(w id.Worker, sent time.Time, reports []worker.Report) bool {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if rc.begun || rc.answered[w] {
		return false
	}
	rc.answered[w] = true
	if rc.earliestSent.IsZero() || sent.Before(rc.earliestSent) {
		rc.earliestSent = sent
	}
	for _, r := range reports {
		if rc.observations[r.Ref] == nil {
			rc.observations[r.Ref] = make(map[id.Worker]gang.Observation)
		}
		rc.observations[r.Ref][w] = gang.Observation{State: gang.ObservedState(r.State), LeaseRemaining: r.LeaseRemaining}
	}
	return len(rc.answered) == len(rc.expected)
}

func (rc *recovery) overdue(now time.Time) bool {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return !rc.begun && !now.Before(rc.deadline)
}

func (rc *recovery) done() bool {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return rc.ended
}

// begin reports whether this is the first call, whose caller performs the takeover.
func (rc *recovery) begin() bool {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	first := !rc.begun
	rc.begun = true
	return first
}

func (rc *recovery) end() {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.ended, rc.observations = true, nil
}

// observationsOf returns what the workers' lists contain about the members of an
// attempt. No lists are added after the takeover has begun.
func (rc *recovery) observationsOf(ref worker.Ref, members []job.Member) map[id.Worker]gang.Observation {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	out := make(map[id.Worker]gang.Observation)
	for _, m := range members {
		observation, ok := rc.observations[ref][m.Worker]
		if !ok && rc.answered[m.Worker] {
			observation.State = gang.ObservedAbsent
		}
		out[m.Worker] = observation
	}
	return out
}

// loadDurable fills the job tables and the planner from the durable state.
func (s *Scheduler) loadDurable(durable *durableState) {
	records := durable.recordsInForce()
	s.runOnPlanner(func(p *planState) { p.planner.RestoreRecords(records) })
	for name, js := range durable.Jobs {
		e := newJobEntry(*js)
		s.jobs.Set(name, e)
		if !e.job.Phase.Final() {
			s.countUnfinished(e.job)
		}
		if js.AllocationRecorded && (e.job.Phase == job.Waiting || e.job.Phase.Final()) { // placed, and not committed
			s.runOnPlanner(func(p *planState) {
				if r := s.releaseAllocation(p, e, "the owner of the zone changed before the gang started"); r != nil {
					s.journalRecord(*r)
				}
			})
		}
		switch {
		case e.job.Phase == job.Waiting:
			s.waiting.Set(name, e)
		case !e.job.Phase.Final():
			e.needsRecovery, e.commitQueued = true, true
			j := e.job
			s.runOnPlanner(func(p *planState) { p.planner.Reserve(j, j.Members) })
		}
	}
	s.finished = append(s.finished, durable.Finished...)
	s.publish(durable.Records)
}

// takeOver completes or stops the gangs that earlier owners committed, and then
// allows passes of the planner. Only the first call has an effect.
func (s *Scheduler) takeOver() {
	if !s.recovery.begin() {
		return
	}
	for _, e := range values(s.jobs) {
		s.resumeGang(e)
	}
	s.recovery.end()
	s.requestPass()
}

func (s *Scheduler) resumeGang(e *jobEntry) {
	e.mu.Lock()
	if !e.needsRecovery {
		e.mu.Unlock()
		return
	}
	e.needsRecovery = false
	var commands []gang.Command
	now := s.cfg.Clock.Now()
	e.gang, commands = gang.Recover(s.gangConfig(e.job), s.recovery.earliestSent, now, s.recovery.observationsOf(e.ref(), e.job.Members))
	if e.gang.Phase() == gang.Running { // an earlier owner has reported the start
		e.startReported, e.runningSince = true, e.job.Started
	}
	s.active.Set(e.job.ID, e)
	after := s.executeCommands(e, commands)
	if e.cancelled {
		after = append(after, s.executeCommands(e, e.gang.Step(gang.Event{Kind: gang.Cancel, At: now}))...)
	}
	e.mu.Unlock()
	for _, f := range after {
		f()
	}
}
