package scheduler

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"bronzewinch.dev/lib/decision"
	"bronzewinch.dev/lib/id"

	"k8s.io/klog/v2"
)

// minReasonInterval is the shortest time after which a wait is recorded again when
// only its reason changed. The time doubles with each record: the reason
// names free resources, which change with each pass.
const minReasonInterval = time.Minute

// nextTime returns the time for the next records. It is later than that of all
// records before, so that the time tells the records of one pass from others.
func (p *planState) nextTime(now time.Time) time.Time {
	if !now.After(p.lastTime) {
		now = p.lastTime.Add(1)
	}
	p.lastTime = now
	return now
}

// numberRecord gives a record its place in the order of the zone's records. Versions
// rise by one with each record of an epoch.
func (s *Scheduler) numberRecord(p *planState, r decision.Record) decision.Record {
	p.lastVersion++
	r.Zone, r.Epoch, r.Version = s.cfg.Zone, s.cfg.Term.Epoch(), p.lastVersion
	return r
}

// worthRecording reports whether the record of a wait says more than the last one
// about the job.
func worthRecording(earlier []decision.Record, r decision.Record) bool {
	if len(earlier) == 0 {
		return true
	}
	last := earlier[len(earlier)-1]
	if last.Rule != r.Rule || last.Bypassed != r.Bypassed || !sameWorkers(last.Target, r.Target) {
		return true
	}
	return last.Reason != r.Reason && r.At.Sub(last.At) >= max(minReasonInterval, last.At.Sub(r.Submitted))
}

// sameWorkers compares targets. Their order follows estimates that change with
// time alone.
func sameWorkers(a, b []id.Worker) bool {
	return slices.Equal(slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b)))
}

// releaseHold ends what a job holds. It returns the record of that, or nil when it
// is recorded already. It runs on the plan stage's goroutine.
func (s *Scheduler) releaseHold(p *planState, e *jobEntry, reason string) *decision.Record {
	e.mu.Lock()
	name, recorded := e.job.ID, e.holdRecorded
	e.holdRecorded = false
	e.mu.Unlock()
	p.planner.Release(name)
	if !recorded {
		return nil
	}
	r := s.stopRecord(p, e, reason)
	return &r
}

// stopRecord returns the record of the end of a hold, or of a wait that was
// cancelled.
func (s *Scheduler) stopRecord(p *planState, e *jobEntry, reason string) decision.Record {
	e.mu.Lock()
	r := s.numberRecord(p, decision.Record{Revision: p.revision, At: p.nextTime(s.cfg.Clock.Now()), Job: e.job.ID,
		Attempt: e.job.Attempt, Spec: e.job.Spec, Submitted: e.job.Submitted, Rule: decision.RuleStop, Reason: reason})
	e.decisions = appendDecision(e.decisions, r)
	e.mu.Unlock()
	return r
}

// journalRecord makes a record durable that no command waits for.
func (s *Scheduler) journalRecord(r decision.Record) {
	s.enqueueWrite(item{Op: opDecision, ID: r.Job, Decision: &r}, nil)
}

// retryUnwritten makes the journal stage try again to write what it kept.
func (s *Scheduler) retryUnwritten() {
	if s.unwritten.Load() > 0 {
		_ = s.writes.Put(write{}) // the next tick repeats
	}
}

// publish passes durable records on to readers and to the history.
func (s *Scheduler) publish(records []decision.Record) {
	if len(records) == 0 {
		return
	}
	s.log.add(records)
	if s.cfg.History == nil {
		return
	}
	if err := s.cfg.History.Add(records...); err != nil {
		klog.ErrorS(err, "decision records are left out of the history", "zone", s.cfg.Zone, "records", len(records))
	}
}

// dropFlushed drops the records that the history has, from the durable state and
// from the log.
func (s *Scheduler) dropFlushed(durable *durableState) {
	drop := max(0, len(durable.Records)-MaxRecords)
	if s.cfg.History != nil {
		epoch, version := s.cfg.History.Flushed()
		drop = indexAfter(durable.Records, epoch, version)
	}
	durable.Records = slices.Clone(durable.Records[drop:])
	s.log.set(durable.Records)
}

// Records returns the durable records after a position, in their order, as far
// as the history does not have them yet.
func (s *Scheduler) Records(epoch id.Epoch, version uint64) []decision.Record {
	return s.log.after(epoch, version)
}

// recordLog is the durable records that the history may not have yet.
type recordLog struct {
	mu   sync.Mutex
	list []decision.Record
}

func (l *recordLog) add(records []decision.Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, records...)
}

func (l *recordLog) set(records []decision.Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = slices.Clone(records)
}

func (l *recordLog) after(epoch id.Epoch, version uint64) []decision.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.list[indexAfter(l.list, epoch, version):])
}

// indexAfter returns the index of the first record after a position.
func indexAfter(list []decision.Record, epoch id.Epoch, version uint64) int {
	i, _ := slices.BinarySearchFunc(list, struct{}{}, func(r decision.Record, _ struct{}) int {
		if cmp.Or(cmp.Compare(r.Epoch, epoch), cmp.Compare(r.Version, version)) <= 0 {
			return -1
		}
		return 1
	})
	return i
}
