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
// only its reason has changed. The reason contains the free resources, which
// change with each pass, so the time doubles with each record.
const minReasonInterval = time.Minute

// nextTime returns the time for the next records. It is later than the time of all
// earlier records, so that the records of one pass can be identified by their time.
func (p *planState) nextTime(now time.Time) time.Time {
	if !now.After(p.lastTime) {
		now = p.lastTime.Add(1)
	}
	p.lastTime = now
	return now
}

// numberRecord sets the position of a record in the order of the zone's records.
// Within an epoch the version increases by one with each record.
func (s *Scheduler) numberRecord(p *planState, r decision.Record) decision.Record {
	p.lastVersion++
	r.Zone, r.Epoch, r.Version = s.cfg.Zone, s.cfg.Term.Epoch(), p.lastVersion
	return r
}

// worthRecording reports whether the record of a wait differs enough from the last
// record about the job to be stored.
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

// sameWorkers reports whether two targets contain the same workers. The order is
// ignored: it follows estimates that change with time alone.
func sameWorkers(a, b []id.Worker) bool {
	return slices.Equal(slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b)))
}

// releaseAllocation frees the resources of a job. It returns the record of the
// release, or nil when the end of the placement is already recorded. It runs on
// the goroutine of the plan stage.
func (s *Scheduler) releaseAllocation(p *planState, e *jobEntry, reason string) *decision.Record {
	e.mu.Lock()
	name, recorded := e.job.ID, e.allocationRecorded
	e.allocationRecorded = false
	e.mu.Unlock()
	p.planner.Release(name)
	if !recorded {
		return nil
	}
	r := s.stopRecord(p, e, reason)
	return &r
}

// stopRecord returns the record of the end of a placement, or of the cancellation
// of a waiting job.
func (s *Scheduler) stopRecord(p *planState, e *jobEntry, reason string) decision.Record {
	e.mu.Lock()
	r := s.numberRecord(p, decision.Record{Revision: p.revision, At: p.nextTime(s.cfg.Clock.Now()), Job: e.job.ID,
		Attempt: e.job.Attempt, Spec: e.job.Spec, Submitted: e.job.Submitted, Rule: decision.RuleStop, Reason: reason})
	e.decisions = appendDecision(e.decisions, r)
	e.mu.Unlock()
	return r
}

// journalRecord queues a record for the journal. Nothing waits until it is durable.
func (s *Scheduler) journalRecord(r decision.Record) {
	s.enqueueWrite(item{Op: opDecision, ID: r.Job, Decision: &r}, nil)
}

// retryUnwritten makes the journal stage retry the items whose append failed.
func (s *Scheduler) retryUnwritten() {
	if s.unwritten.Load() > 0 {
		_ = s.writes.Put(write{}) // if the queue is full, the next tick retries
	}
}

// publish makes durable records available to readers and adds them to the history.
func (s *Scheduler) publish(records []decision.Record) {
	if len(records) == 0 {
		return
	}
	s.log.add(records)
	if s.cfg.History == nil {
		return
	}
	if err := s.cfg.History.Add(records...); err != nil {
		klog.ErrorS(err, "adding decision records to the history failed; the history lacks them", "zone", s.cfg.Zone, "records", len(records))
	}
}

// dropFlushed removes the records that the history has stored from the durable
// state and from the log.
func (s *Scheduler) dropFlushed(durable *durableState) {
	drop := max(0, len(durable.Records)-MaxRecords)
	if s.cfg.History != nil {
		epoch, version := s.cfg.History.Flushed()
		drop = indexAfter(durable.Records, epoch, version)
	}
	durable.Records = slices.Clone(durable.Records[drop:])
	s.log.set(durable.Records)
}

// Records returns the durable records after a position, in order. It returns only
// records that the history may not have stored yet.
func (s *Scheduler) Records(epoch id.Epoch, version uint64) []decision.Record {
	return s.log.after(epoch, version)
}

// recordLog contains the durable records that the history may not have stored yet.
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
