package controller

import (
	"crypto/sha256"
	"encoding/hex"

	"bronzewinch.dev/lib/codec"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/kv"
	"bronzewinch.dev/lib/planner"
	"bronzewinch.dev/lib/task"
	"bronzewinch.dev/lib/unit"

	"github.com/cockroachdb/errors"
)

// Key prefixes of the stored records.
const (
	jobPrefix      = "bronzewinch/job/"
	progressPrefix = "bronzewinch/progress/"
	// runTimesKey holds what was learned about run times.
	runTimesKey = "bronzewinch/runtimes"
	// lateStartPrefix is followed by the id of a worker that may carry out a start late.
	lateStartPrefix = "bronzewinch/late/"
)

// batch holds the writes and removals of one subject, such as a job. They are stored in one
// transaction: an owner that is lost between two transactions must not leave a job whose
// records contradict each other.
type batch struct {
	kind     recordKind
	job      id.Job          // of a batch of kind jobRecord
	wave     task.WaveNumber // of a batch of kind waveRecord
	writes   []kv.Write
	removals []string
}

// recordKind is what a batch is about.
type recordKind string

const (
	lateStartRecord recordKind = "lateStart"
	jobRecord       recordKind = "job"
	waveRecord      recordKind = "wave"
	runTimesRecord  recordKind = "runTimes"
	removedRecord   recordKind = "removal"
	partRecord      recordKind = "part"
)

// key returns a key of the batch, for the log.
func (b batch) key() string {
	if len(b.writes) > 0 {
		return b.writes[0].Key
	}
	if len(b.removals) > 0 {
		return b.removals[0]
	}
	return ""
}

func (b batch) entries() int { return len(b.writes) + len(b.removals) }

func (b batch) size() unit.Bytes {
	size := unit.Bytes(0)
	for _, w := range b.writes {
		size += unit.Bytes(len(w.Value))
	}
	return size
}

// add encodes a record into the batch.
func (b *batch) add(key string, record any) error {
	value, err := codec.CBOR.Marshal(record)
	if err != nil {
		return errors.Wrapf(err, "encode %s", key)
	}
	b.writes = append(b.writes, kv.Write{Key: key, Value: value})
	return nil
}

// waveStatus returns the record from which the operators read the progress of a wave.
type waveStatus func(task.WaveProgress) (kv.Write, error)

// encodeChanges returns the batches of a cycle in the order in which they are stored. Any
// first part of them is a state from which the next owner can continue: a batch follows
// those that it relies on.
func encodeChanges(c planner.Changes, status waveStatus) ([]batch, error) {
	var batches []batch
	// The record of an unanswered start must be there when its run is no longer in progress.
	for _, l := range c.LateStarts {
		b := batch{kind: lateStartRecord}
		if err := b.add(lateStartKey(l.Worker), l); err != nil {
			return nil, err
		}
		batches = append(batches, b)
	}
	jobs, err := encodeJobs(c)
	if err != nil {
		return nil, err
	}
	batches = append(batches, jobs...)
	// A wave drains workers, so the ends of their runs must be stored before.
	for _, p := range c.Waves {
		b := batch{kind: waveRecord, wave: p.Number}
		if err := b.add(waveKey(p.Number), p); err != nil {
			return nil, err
		}
		w, err := status(p)
		if err != nil {
			return nil, errors.Wrapf(err, "status of wave %d", p.Number)
		}
		b.writes = append(b.writes, w)
		batches = append(batches, b)
	}
	for _, name := range c.RemovedLateStarts {
		batches = append(batches, batch{kind: removedRecord, removals: []string{lateStartKey(name)}})
	}
	for _, n := range c.RemovedWaves {
		batches = append(batches, batch{kind: removedRecord, removals: []string{waveKey(n)}})
	}
	for _, name := range c.Removed {
		batches = append(batches, batch{kind: removedRecord, removals: []string{jobPrefix + string(name), progressPrefix + string(name)}})
	}
	for _, name := range c.RemovedProgress {
		batches = append(batches, batch{kind: removedRecord, removals: []string{progressPrefix + string(name)}})
	}
	return batches, nil
}

// encodeJobs returns a batch with the record and the progress of each changed job.
func encodeJobs(c planner.Changes) ([]batch, error) {
	var batches []batch
	index := make(map[id.Job]int, len(c.Jobs)+len(c.Progress))
	batchOf := func(name id.Job) *batch {
		i, ok := index[name]
		if !ok {
			i = len(batches)
			index[name] = i
			batches = append(batches, batch{kind: jobRecord, job: name})
		}
		return &batches[i]
	}
	for _, j := range c.Jobs {
		if err := batchOf(j.ID).add(jobPrefix+string(j.ID), j); err != nil {
			return nil, err
		}
	}
	for _, p := range c.Progress {
		if err := batchOf(p.Job).add(progressPrefix+string(p.Job), p); err != nil {
			return nil, err
		}
	}
	return batches, nil
}

const (
	// maxTxnEntries is what a transaction has room for beside the condition on the commit key
	// and the write of it.
	maxTxnEntries = kv.MaxTxn - 2
	// maxTxnSize bounds the values of a transaction with several batches. A batch alone may be
	// larger.
	maxTxnSize = 256 * unit.KiB
)

// packBatches combines batches into transactions, in their order. It divides no batch.
func packBatches[B interface {
	entries() int
	size() unit.Bytes
}](batches []B) [][]B {
	var txns [][]B
	entries, size := 0, unit.Bytes(0)
	for _, b := range batches {
		if n, s := b.entries(), b.size(); len(txns) == 0 || entries+n > maxTxnEntries || size+s > maxTxnSize {
			txns = append(txns, nil)
			entries, size = 0, 0
		}
		last := len(txns) - 1
		txns[last] = append(txns[last], b)
		entries, size = entries+b.entries(), size+b.size()
	}
	return txns
}

// removalBatches returns the removals of keys, one by one.
func removalBatches(keys []string) []dividedBatch {
	var batches []dividedBatch
	for _, key := range keys {
		batches = append(batches, dividedBatch{batch: batch{kind: removedRecord, removals: []string{key}}})
	}
	return batches
}

// maxPlainID is the length up to which the id of a worker is part of a key. The platform allows
// keys of 200 bytes.
const maxPlainID = 120

// lateStartKey returns the key of the record of a worker that may carry out a start late.
func lateStartKey(name id.Worker) string {
	if len(name) <= maxPlainID && !kv.IsPartKey(string(name)) {
		return lateStartPrefix + string(name)
	}
	hash := sha256.Sum256([]byte(name))
	return lateStartPrefix + hex.EncodeToString(hash[:])
}
