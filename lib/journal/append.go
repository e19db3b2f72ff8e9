package journal

import (
	"context"
	"math/rand/v2"

	"bronzewinch.dev/lib/kv"
	"bronzewinch.dev/lib/problem"
)

// appendAttempts is the maximum number of writes in one call of appendEntry.
const appendAttempts = 4

// NewBatch returns a random batch number for the first entry of a writer. The
// highest bit is zero, so that the writer can increment it without overflow.
func NewBatch() uint64 { return rand.Uint64() >> 1 }

// AppendAt writes an entry at its sequence number. It returns nil if the entry
// is in the journal, even if the response to the write was lost. A Conflict
// error means that the entry is certainly not in the journal, because another
// entry has its number. An Unavailable error means that it was not written.
// After an Unknown error it may be in the journal; appending the same entry
// again is safe, because it is stored at most once.
func AppendAt(ctx context.Context, store Store, prefix string, e Entry) error {
	value, err := encode(e)
	if err != nil {
		return err
	}
	status, err := appendEntry(ctx, store, prefix, e, value)
	switch {
	case err != nil:
		return err
	case status == notAppended:
		return conflict(EntryKey(prefix, e.Seq))
	case status != committed:
		return unknownResult(EntryKey(prefix, e.Seq), nil)
	}
	return nil
}

// appendEntry writes an entry and returns its status. The status notFound means
// that no attempt has stored the entry yet. An error other than Unknown means
// that this call did not write the entry.
func appendEntry(ctx context.Context, store Store, prefix string, e Entry, value []byte) (appendStatus, error) {
	key := EntryKey(prefix, e.Seq)
	for attempt := range appendAttempts {
		_, err := store.Put(ctx, key, value, 0, "")
		switch problem.KindOf(err) {
		case "", problem.Conflict, problem.Unknown:
		default:
			if attempt > 0 {
				err = unknownResult(key, err) // an earlier write may still take effect
			}
			return notFound, err
		}
		status, err := resolveWrite(ctx, store, prefix, e, err)
		if err != nil {
			return notFound, unknownResult(key, err)
		}
		if status != notFound {
			return status, nil
		}
	}
	return notFound, nil
}

// resolveWrite determines the status of an entry after a write that returned
// writeErr. It reads the key back unless the write succeeded, and always reads
// the manifest of the snapshot: after a takeover and a compaction, the key of a
// covered number no longer exists, so that a write to it succeeds although the
// entry is not in the journal.
func resolveWrite(ctx context.Context, store Store, prefix string, e Entry, writeErr error) (appendStatus, error) {
	status := committed
	if writeErr != nil {
		var err error
		if status, err = readBack(ctx, store, prefix, e); err != nil {
			return notFound, err
		}
	}
	m, _, err := getManifest(ctx, store, prefix)
	if err != nil {
		return notFound, err
	}
	if m.Covers >= e.Seq {
		return m.status(e), nil
	}
	return status, nil
}

// readBack compares the entry stored at e's sequence number with e.
func readBack(ctx context.Context, store Store, prefix string, e Entry) (appendStatus, error) {
	item, err := store.Get(ctx, EntryKey(prefix, e.Seq))
	if problem.Is(err, problem.NotFound) {
		return notFound, nil
	}
	if err != nil {
		return notFound, err
	}
	found, err := Decode(prefix, kv.Item{Key: item.Key, Value: item.Value})
	if err != nil {
		return notFound, err
	}
	if found.Batch == e.Batch && found.Writer == e.Writer && found.Epoch == e.Epoch {
		return committed, nil
	}
	return notAppended, nil
}
