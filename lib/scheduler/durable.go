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

// formatVersion is the version of journal items and snapshots. Readers reject
// later versions.
const formatVersion = 1

type operation string

const (
	opSubmit   operation = "submit"
	opDecision operation = "decision"
	opCommit   operation = "commit"
	opCancel   operation = "cancel"
	opEnd      operation = "end" // an attempt ended; Phase is the job's next phase
)

// item is one journaled change of the jobs of a shard.
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

// jobState is the state of one job according to the journal.
type jobState struct {
	Job        job.Job `cbor:"job"`
	MayHaveRun bool    `cbor:"ran"` // some member may have run
	Cancelled  bool    `cbor:"cancelled"`
	Failures   int     `cbor:"failures"`
	// AllocationRecorded is set from the record of a placement, which allocates
	// resources, until the record of its end.
	AllocationRecorded bool              `cbor:"holds,omitempty"`
	Decisions          []decision.Record `cbor:"decisions"`
}

// durableState is the state that results from the items of the journal. The live
// state also contains changes that are not durable yet.
type durableState struct {
	Version  int                  `cbor:"v"`
	Jobs     map[id.Job]*jobState `cbor:"jobs"`
	Finished []id.Job             `cbor:"finished"`
	// Records are the decision records that the history may not have stored yet,
	// in order.
	Records []decision.Record `cbor:"records,omitempty"`
	// ExcludedWorkers holds the last record of each worker that is excluded from
	// placement.
	ExcludedWorkers map[id.Worker]decision.Record `cbor:"out,omitempty"`
	// Epoch and LastVersion are the position of the last record.
	Epoch       id.Epoch `cbor:"epoch,omitempty"`
	LastVersion uint64   `cbor:"last,omitempty"`
}

// decodeDurableState decodes a snapshot, which may be empty, and applies the items
// that follow it.
func decodeDurableState(snapshot []byte, items [][]byte) (*durableState, error) {
	d := &durableState{Version: formatVersion, Jobs: make(map[id.Job]*jobState)}
	if len(snapshot) > 0 {
		if err := cbor.Unmarshal(snapshot, d); err != nil {
			return nil, errors.Wrap(err, "decode the snapshot of a placement shard")
		}
	}
	if d.Version > formatVersion {
		return nil, errors.Newf("snapshot of a placement shard has format version %d, this node reads up to %d; update the node",
			d.Version, formatVersion)
	}
	for i, data := range items {
		var it item
		if err := cbor.Unmarshal(data, &it); err != nil {
			return nil, errors.Wrapf(err, "decode journal item %d of a placement shard", i)
		}
		if it.Version > formatVersion {
			return nil, errors.Newf("journal item %d of a placement shard has format version %d, this node reads up to %d; update the node",
				i, it.Version, formatVersion)
		}
		d.apply(it)
	}
	return d, nil
}

// apply applies one durable item. An item that was journaled twice takes effect
// once.
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
		js.AllocationRecorded = len(it.Decision.Members) > 0 || js.AllocationRecorded && it.Decision.Rule != decision.RuleStop
		if !js.Job.Phase.Final() { // the decisions of final jobs are in Records or the history
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
			js.AllocationRecorded, js.Decisions = false, appendDecision(js.Decisions, *it.Decision)
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

// addRecord adds a decision record. It returns false for a record that was added
// before.
func (d *durableState) addRecord(r decision.Record) bool {
	if r.Epoch < d.Epoch || r.Epoch == d.Epoch && r.Version <= d.LastVersion {
		return false
	}
	d.Epoch, d.LastVersion = r.Epoch, r.Version
	d.Records = append(d.Records, r)
	for _, m := range r.Members {
		switch r.Rule {
		case decision.RuleWorkerExcluded:
			if d.ExcludedWorkers == nil {
				d.ExcludedWorkers = make(map[id.Worker]decision.Record)
			}
			d.ExcludedWorkers[m.Worker] = r
		case decision.RuleWorkerRecovered:
			delete(d.ExcludedWorkers, m.Worker)
		}
	}
	return true
}

// recordsInForce returns the records from which the planner of a new owner
// restores its state: the exclusions of workers and the reservations of waiting
// jobs.
func (d *durableState) recordsInForce() []decision.Record {
	var out []decision.Record
	for _, r := range d.ExcludedWorkers {
		out = append(out, r)
	}
	for _, js := range d.Jobs {
		if n := len(js.Decisions); n > 0 && js.Job.Phase == job.Waiting && len(js.Decisions[n-1].Target) > 0 {
			out = append(out, js.Decisions[n-1])
		}
	}
	return out
}

// appendDecision appends a decision and removes the oldest ones beyond
// MaxDecisions.
func appendDecision(list []decision.Record, r decision.Record) []decision.Record {
	if len(list) >= MaxDecisions {
		list = list[len(list)-MaxDecisions+1:]
	}
	return append(slices.Clip(list), r)
}
