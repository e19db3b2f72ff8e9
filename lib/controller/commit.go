package controller

import (
	"context"
	"slices"
	"time"

	"bronzewinch.dev/lib/election"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/kv"
	"bronzewinch.dev/lib/planner"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/task"
	"bronzewinch.dev/lib/timer"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"
)

// storeCycle stores the changes of a cycle. It sets apart what the store rejects, and takes its
// effects out of the changes.
func (s *session) storeCycle(ctx context.Context, now time.Time, c *planner.Changes, work *deferredWork) error {
	rejected, err := s.storeChanges(ctx, *c)
	if err != nil || len(rejected) == 0 {
		return err
	}
	jobs, waves := make(map[id.Job]struct{}), make(map[task.WaveNumber]struct{})
	for _, b := range rejected {
		switch b.kind {
		case jobRecord:
			jobs[b.job] = struct{}{}
			if _, ok := work.submitted[b.job]; ok {
				work.refused[b.job] = struct{}{}
				s.planner.Refuse(b.job)
			} else {
				s.planner.SetApart(now, b.job)
			}
		case waveRecord:
			waves[b.wave] = struct{}{}
		}
	}
	s.withdrawEffects(c, jobs, waves)
	final := s.planner.TakeChanges()
	if rejected, err = s.storeChanges(ctx, final); err != nil {
		return err
	}
	for _, b := range rejected {
		klog.ErrorS(nil, "final record rejected by the store; the next owner finds the job as it was", "event", "setApart", "key", b.key())
	}
	c.Progress = append(c.Progress, final.Progress...)
	c.Freed = append(c.Freed, final.Freed...)
	c.Orders = append(c.Orders, final.Orders...)
	c.Decisions = append(c.Decisions, final.Decisions...)
	return nil
}

// withdrawEffects takes out the effects of jobs and waves whose records are not stored. The
// planner repeats upkeep orders.
func (s *session) withdrawEffects(c *planner.Changes, jobs map[id.Job]struct{}, waves map[task.WaveNumber]struct{}) {
	concerned := func(name id.Job) bool { _, ok := jobs[name]; return ok }
	c.Jobs = slices.DeleteFunc(c.Jobs, func(j task.Job) bool { return concerned(j.ID) })
	c.Progress = slices.DeleteFunc(c.Progress, func(p task.Progress) bool { return concerned(p.Job) })
	c.Started = slices.DeleteFunc(c.Started, concerned)
	c.AdviceRequests = slices.DeleteFunc(c.AdviceRequests, func(q planner.AdviceRequest) bool { return concerned(q.Job) })
	c.Orders = slices.DeleteFunc(c.Orders, func(o planner.Order) bool { return o.Kind == planner.Start && concerned(o.Task.Job) })
	c.Decisions = slices.DeleteFunc(c.Decisions, func(d planner.Decision) bool { return d.Event == "start" && concerned(d.Job) })
	c.UpkeepOrders = slices.DeleteFunc(c.UpkeepOrders, func(u planner.UpkeepOrder) bool {
		if _, ok := waves[u.Wave]; !ok {
			return false
		}
		_ = s.events.Put(&upkeepEvent{order: u, result: planner.UpkeepDeferred}) // fails only if the session has ended or the queue is full
		return true
	})
}

// notStorable is the reply to a submission whose records the store does not take.
var notStorable = Reply{Outcome: Malformed, Detail: "the platform's store does not take the record of the job; shorten its spec, or split it"}

// storeChanges stores changes, in several transactions if they exceed the limit of one. It
// returns the batches that the store rejects; all others are stored.
func (s *session) storeChanges(ctx context.Context, c planner.Changes) (rejected []dividedBatch, err error) {
	var status waveStatus
	if s.controller.config.VMs != nil {
		status = s.controller.config.VMs.Status
	}
	batches, err := encodeChanges(c, status)
	if err != nil {
		return nil, err
	}
	divided := make([]dividedBatch, 0, len(batches)+1)
	for _, b := range batches {
		d, err := s.divider.divide(b)
		if err != nil {
			return nil, err
		}
		divided = append(divided, d)
	}
	if divided, err = s.addRunTimes(divided); err != nil {
		return nil, err
	}
	if divided, rejected, err = s.storeParts(ctx, divided); err != nil {
		return nil, err
	}
	stored, notStored, err := s.commitAll(ctx, divided)
	if err != nil {
		return nil, err
	}
	rejected = append(rejected, notStored...)
	old := s.divider.takeStale()
	for _, b := range rejected {
		for _, w := range b.parts {
			old = append(old, w.Key)
		}
	}
	for _, b := range stored {
		s.divider.stored(b)
		old = append(old, b.old...)
	}
	if _, _, err = s.commitAll(ctx, removalBatches(old)); err != nil {
		return nil, err
	}
	for _, b := range rejected {
		s.controller.metrics.setApart(b.kind)
		klog.ErrorS(nil, "record set apart; the store rejects it", "event", "setApart", "kind", b.kind, "key", b.key(), "bytes", int64(b.size()),
			"remedy", "compare value_bytes in the settings with the limit of the store")
	}
	return rejected, nil
}

// addRunTimes adds what was learned about run times if that takes no further transaction.
func (s *session) addRunTimes(batches []dividedBatch) ([]dividedBatch, error) {
	txns := packBatches(batches)
	if len(txns) == 0 || merge(txns[len(txns)-1]).entries() >= maxTxnEntries {
		return batches, nil
	}
	snapshot, ok := s.planner.RunTimesSnapshot(s.controller.config.Timer.Now())
	if !ok {
		return batches, nil
	}
	d, err := s.divider.divide(batch{kind: runTimesRecord, writes: []kv.Write{{Key: runTimesKey, Value: snapshot}}})
	return append(batches, d), err
}

// storeParts stores the parts of large records. It returns the batches of which all parts are
// stored, and the others.
func (s *session) storeParts(ctx context.Context, batches []dividedBatch) (ready, rejected []dividedBatch, err error) {
	for _, b := range batches {
		var parts []dividedBatch
		for _, w := range b.parts {
			parts = append(parts, dividedBatch{batch: batch{kind: partRecord, writes: []kv.Write{w}}})
		}
		_, notStored, err := s.commitAll(ctx, parts)
		if err != nil {
			return nil, nil, err
		}
		if len(notStored) > 0 {
			rejected = append(rejected, b)
			continue
		}
		ready = append(ready, b)
	}
	return ready, rejected, nil
}

// commitAll commits batches in as few transactions as possible. If the store rejects a
// transaction, its batches are committed one by one.
func (s *session) commitAll(ctx context.Context, batches []dividedBatch) (stored, rejected []dividedBatch, err error) {
	for _, txn := range packBatches(batches) {
		err := s.commitBatch(ctx, merge(txn))
		switch {
		case err == nil:
			stored = append(stored, txn...)
			continue
		case !problem.Is(err, problem.Invalid):
			return nil, nil, err
		}
		for _, b := range txn {
			err := s.commitBatch(ctx, b.batch)
			switch {
			case err == nil:
				stored = append(stored, b)
			case !problem.Is(err, problem.Invalid):
				return nil, nil, err
			default:
				rejected = append(rejected, b)
			}
		}
	}
	if len(rejected) > 0 { // the fault may be in the commit record, which each transaction has
		if err := s.commitBatch(ctx, batch{}); err != nil {
			return nil, nil, errors.Wrap(err, "commit record")
		}
	}
	return stored, rejected, nil
}

// merge returns the writes and removals of several batches.
func merge(batches []dividedBatch) batch {
	var all batch
	for _, b := range batches {
		all.writes, all.removals = append(all.writes, b.writes...), append(all.removals, b.removals...)
	}
	return all
}

const (
	// commitTimeout is the time limit of a small transaction. A large one gets
	// kv.Txn.SendTime in addition.
	commitTimeout = 1200 * time.Millisecond
	// minCommitRetryPause and maxCommitRetryPause bound the backoff between
	// attempts. Every call to the store has a cost, even during an outage.
	minCommitRetryPause = 60 * time.Millisecond
	maxCommitRetryPause = 300 * time.Millisecond
)

// commitBatch writes one transaction and repeats it until its outcome is known.
// The commit key holds the number of the last transaction of the term. It
// distinguishes a lost response from a lost request, and rejects an attempt that
// the store executes late.
func (s *session) commitBatch(ctx context.Context, b batch) error {
	s.txnNumber++
	record := s.term.CommitRecord(s.txnNumber)
	value, err := record.Encode()
	if err != nil {
		return err
	}
	txn := kv.Txn{
		Expect: []kv.Expect{{Key: election.CommitKey, Version: s.commitVersion}},
		Writes: append([]kv.Write{{Key: election.CommitKey, Value: value}}, b.writes...),
		Remove: b.removals,
	}
	start, pause := s.controller.config.Timer.Now(), minCommitRetryPause
	s.commitStartedAt.Store(int64(timer.SinceBoot()))
	defer s.commitStartedAt.Store(0)
	for {
		callCtx, cancel := context.WithTimeout(ctx, commitTimeout+txn.SendTime())
		result, err := s.controller.config.Store.Commit(callCtx, txn)
		cancel()
		switch {
		case err == nil && result.Committed:
			s.controller.metrics.commitSeconds.Update(s.controller.config.Timer.Now().Sub(start).Seconds())
			s.commitVersion = result.Version
			s.controller.storeHealth.Observe(nil)
			return nil
		case err == nil:
			s.controller.storeHealth.Observe(nil)
			return s.resolveConflict(result, record)
		case ctx.Err() != nil:
			return context.Cause(ctx)
		case problem.Is(err, problem.Invalid):
			return err
		}
		s.controller.storeHealth.Observe(err)
		s.term.StoreFailed()
		if err := timer.Sleep(ctx, s.controller.config.Timer, timer.Jitter(pause)); err != nil {
			return context.Cause(ctx)
		}
		pause = min(2*pause, maxCommitRetryPause)
	}
}

// resolveConflict determines from the present commit key whether an earlier
// attempt took effect or another node has taken over.
func (s *session) resolveConflict(result kv.TxnResult, record election.CommitRecord) error {
	i := slices.IndexFunc(result.Current, func(item kv.Item) bool { return item.Key == election.CommitKey })
	if i >= 0 {
		present, err := election.DecodeCommitRecord(result.Current[i].Value)
		if err == nil && present == record {
			s.commitVersion = result.Current[i].Version
			return nil
		}
	}
	return problem.New(problem.Fenced, problem.Detail{
		Field: "commit key", Remedy: "follow the new owner; another node has taken over"})
}
