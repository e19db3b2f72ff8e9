package controller

import (
	"fmt"

	"bronzewinch.dev/lib/kv"
	"bronzewinch.dev/lib/unit"
)

// maxPartSize bounds the parts of a divided record, so that two of them fit into a transaction.
const maxPartSize = 120 * unit.KiB

// divider divides records that are too large for a value of the store, and knows which stored
// records are divided. It belongs to the goroutine of the cycles.
type divider struct {
	limit     unit.Bytes // of an undivided record
	partSize  unit.Bytes
	term      string // distinguishes the generations of this term from all others
	generated int
	heads     map[string]kv.Head // by the keys of divided records
	stale     []string           // parts of which nothing is known
}

func newDivider(maxValue unit.Bytes, term string) *divider {
	if maxValue <= 0 {
		maxValue = kv.MaxValue
	}
	limit := maxValue / 4 * 3 // the platform may count the base64 text in which values are sent
	return &divider{limit: limit, partSize: min(limit, maxPartSize), term: term, heads: make(map[string]kv.Head)}
}

// dividedBatch is a batch whose large records are divided.
type dividedBatch struct {
	batch                    // with heads in place of large records
	parts []kv.Write         // stored before the batch
	old   []string           // parts that are removed after the batch is stored
	heads map[string]kv.Head // of the large records
}

// divide divides the large records of a batch.
func (d *divider) divide(b batch) (dividedBatch, error) {
	divided := dividedBatch{batch: b, heads: make(map[string]kv.Head)}
	divided.writes = nil
	for _, w := range b.writes {
		divided.replace(d, w.Key)
		if unit.Bytes(len(w.Value)) > d.limit {
			d.generated++
			head, h, parts, err := kv.Divide(w, d.partSize, kv.Generation(fmt.Sprintf("%s.%d", d.term, d.generated)))
			if err != nil {
				return divided, err
			}
			w, divided.heads[w.Key], divided.parts = head, h, append(divided.parts, parts...)
		}
		divided.writes = append(divided.writes, w)
	}
	for _, key := range b.removals {
		divided.replace(d, key)
	}
	return divided, nil
}

// replace adds the parts that a record has now to those that are removed.
func (b *dividedBatch) replace(d *divider, key string) {
	if h, ok := d.heads[key]; ok {
		b.old = append(b.old, h.PartKeys(key)...)
	}
}

// stored records that a batch is stored.
func (d *divider) stored(b dividedBatch) {
	for _, w := range b.writes {
		delete(d.heads, w.Key)
	}
	for _, key := range b.removals {
		delete(d.heads, key)
	}
	for key, h := range b.heads {
		d.heads[key] = h
	}
}

// restored records that an earlier owner has stored a record in parts.
func (d *divider) restored(key string, h kv.Head) { d.heads[key] = h }

// foundStale records a part that belongs to no record: its owner was lost before it stored the
// head, or before it removed the part.
func (d *divider) foundStale(key string) { d.stale = append(d.stale, key) }

// takeStale returns the stale parts, once.
func (d *divider) takeStale() []string {
	stale := d.stale
	d.stale = nil
	return stale
}
