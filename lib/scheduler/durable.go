package scheduler

import (
	"slices"
	"time"

	"bronzewinch.dev/lib/decision"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/job"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// formatVersion is the version of journal items and snapshots. Readers refuse
// a later one.
const formatVersion = 1

type operation string

const (
	opSubmit   operation = "submit"
	opDecision operation = "decision"
	opCommit   operation = "commit"
	opCancel   operation = "cancel"
	opEnd      operation = "end" // an attempt ended; Phase says what follows
)

// item is one change of the jobs of a shard, as journaled.
type item struct {
	Version    int              `cbor:"v"`
	Op         operation        `cbor:"op"`
	ID         id.Job           `cbor:"id"`
	Job        *job.Job         `cbor:"job,omitempty"`
	Decision   *decision.Record `cbor:"decision,omitempty"`
	Attempt    int              `cbor:"attempt,omitempty"`
	Members    []job.Member     `cbor:"members,omitempty"`
	Phase      job.Phase        `cbor:"phase,omitempty"`
	Reason     string           `cbor:"reason,omitempty"`
	MayHaveRun bool             `cbor:"ran,omitempty"`
	Failures   int              `cbor:"failures,omitempty"`
	At         time.Time        `cbor:"at"`
}

// jobState is what the journal says of one job.
type jobState struct {
	Job        job.Job `cbor:"job"`
	MayHaveRun bool    `cbor:"ran"` // some member may have run
	Cancelled  bool    `cbor:"cancelled"`
	Failures   int     `cbor:"failures"`
	// HoldRecorded says that a hold is recorded, and its end is not.
	HoldRecorded bool              `cbor:"holds,omitempty"`
	Decisions    []decision.Record `cbor:"decisions"`
}

// durableState is the state that the journal's items add up to. The live state
// differs from it by what is not durable yet.
type durableState struct {
	Version  int                  `cbor:"v"`
	Jobs     map[id.Job]*jobState `cbor:"jobs"`
	Finished []id.Job             `cbor:"finished"`
	// Records are those that the history may not have yet, in order.
	Records []decision.Record `cbor:"records,omitempty"`
	// OutWorkers holds the last record of each worker that is out of placement.
	OutWorkers map[id.Worker]decision.Record `cbor:"out,omitempty"`
	// Epoch and Last are the position of the last record.
	Epoch       id.Epoch `cbor:"epoch,omitempty"`
	LastVersion uint64   `cbor:"last,omitempty"`
}

// decodeDurableState returns the durable state of a snapshot and the items after it.
func decodeDurableState(snapshot []byte, items [][]byte) (*durableState, error) {
	d := &durableState{Version: formatVersion, Jobs: make(map[id.Job]*jobState)}
	if len(snapshot) > 0 {
		if err := cbor.Unmarshal(snapshot, d); err != nil {
			return nil, errors.Wrap(err, "decode the snapshot of a placement shard")
		}
	}
	if d.Version > formatVersion {
		return nil, errors.Newf("snapshot has version %d; this node reads up to %d: update it", d.Version, formatVersion)
	}
	for i, data := range items {
		var it item
		if err := cbor.Unmarshal(data, &it); err != nil {
			return nil, errors.Wrapf(err, "decode journal item %d of a placement shard", i)
		}
		if it.Version > formatVersion {
			return nil, errors.Newf("journal item %d has version %d; this node reads up to %d: update it",
				i, it.Version, formatVersion)
		}
		d.apply(it)
	}
	return d, nil
}

// apply applies one durable item. An item that is journaled twice has the
// effect of one.
func (d *durableState) apply(it item) {
	if it.Decision != nil && !d.addRecord(*it.Decision) && it.Op == opDecision {
		return
	}
	js := d.Jobs[it.ID]
	if it.Op == opSubmit {
		if js == nil {
			d.Jobs[it.ID] = &jobState{Job: *it.Job}
		}
		return
	}
	if js == nil {
		return
	}
	switch it.Op {
	case opDecision:
		js.Job.Attempt = max(js.Job.Attempt, it.Decision.Attempt)
		js.HoldRecorded = len(it.Decision.Members) > 0 || js.HoldRecorded && it.Decision.Rule != decision.RuleStop
		if !js.Job.Phase.Final() { // those of final jobs are in Records or the history
			js.Decisions = appendDecision(js.Decisions, *it.Decision)
		}
	case opCommit:
		js.MayHaveRun = true
		js.Job.Phase, js.Job.Attempt, js.Job.Members, js.Job.Started = job.Committed, it.Attempt, it.Members, it.At
	case opCancel:
		js.Cancelled = true
		if js.Job.Phase == job.Waiting {
			d.finalize(js, it, job.Cancelled)
		}
	case opEnd:
		if it.Decision != nil {
			js.HoldRecorded, js.Decisions = false, appendDecision(js.Decisions, *it.Decision)
		}
		d.applyEnd(js, it)
	}
}

func (d *durableState) applyEnd(js *jobState, it item) {
	if js.Job.Phase.Final() || it.Attempt != js.Job.Attempt {
		return
	}
	js.MayHaveRun, js.Failures = it.MayHaveRun, it.Failures
	if js.Cancelled && it.Phase == job.Waiting {
		it.Phase = job.Cancelled
	}
	if it.Phase.Final() {
		d.finalize(js, it, it.Phase)
		return
	}
	js.Job.Phase, js.Job.Members, js.Job.Reason = it.Phase, nil, it.Reason
}

func (d *durableState) finalize(js *jobState, it item, phase job.Phase) {
	js.Job.Phase, js.Job.Ended, js.Job.Reason, js.Decisions = phase, it.At, it.Reason, nil
	d.Finished = append(d.Finished, it.ID)
	for len(d.Finished) > MaxFinished {
		delete(d.Jobs, d.Finished[0])
		d.Finished = slices.Delete(d.Finished, 0, 1)
	}
}

// addRecord adds a decision record. It returns false for one that is there.
func (d *durableState) addRecord(r decision.Record) bool {
	if r.Epoch < d.Epoch || r.Epoch == d.Epoch && r.Version <= d.LastVersion {
		return false
	}
	d.Epoch, d.LastVersion = r.Epoch, r.Version
	d.Records = append(d.Records, r)
	for _, m := range r.Members {
		switch r.Rule {
		case decision.RuleWorkerOut:
			if d.OutWorkers == nil {
				d.OutWorkers = make(map[id.Worker]decision.Record)
			}
			d.OutWorkers[m.Worker] = r
		case decision.RuleWorkerBack:
			delete(d.OutWorkers, m.Worker)
		}
	}
	return true
}

// recordsInForce returns the records that the planner of a new owner takes over.
func (d *durableState) recordsInForce() []decision.Record {
	var out []decision.Record
	for _, r := range d.OutWorkers {
		out = append(out, r)
	}
	for _, js := range d.Jobs {
		if n := len(js.Decisions); n > 0 && js.Job.Phase == job.Waiting && len(js.Decisions[n-1].Target) > 0 {
			out = append(out, js.Decisions[n-1])
		}
	}
	return out
}

// appendDecision adds a decision and drops the oldest past the bound.
func appendDecision(list []decision.Record, r decision.Record) []decision.Record {
	if len(list) >= MaxDecisions {
		list = list[len(list)-MaxDecisions+1:]
	}
	return append(slices.Clip(list), r)
}
