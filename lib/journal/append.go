package journal

import (
	"context"
	"math/rand/v2"

	"bronzewinch.dev/lib/kv"
	"bronzewinch.dev/lib/problem"
)

// appendAttempts bounds the writes of one AppendAt.
const appendAttempts = 4

// NewBatch returns a random batch number for the first entry of a writer. It
// leaves room to count up.
func NewBatch() uint64 { return rand.Uint64() >> 1 }

// AppendAt writes an entry at its sequence number. Nil means that the entry is
// in the journal, also when the answer to the write was lost. Conflict means
// that it is certainly not there, because the number holds another entry.
// Unavailable means that it was not written. After Unknown, it may be there,
// and the same entry may be appended again: it is never there twice.
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

// appendEntry writes an entry and learns its verdict, which is absent only
// when every attempt was lost. An error other than Unknown means that the
// entry was not written by this call.
func appendEntry(ctx context.Context, store Store, prefix string, e Entry, value []byte) (appendStatus, error) {
	key := EntryKey(prefix, e.Seq)
	for attempt := range appendAttempts {
		_, err := store.Put(ctx, key, value, 0, "")
		switch problem.KindOf(err) {
		case "", problem.Conflict, problem.Unknown:
		default:
			if attempt > 0 {
				err = unknownResult(key, err) // an earlier attempt may still arrive
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

// resolveWrite finds out what became of a write. It reads the key unless the write
// was answered with success, and then the snapshot in any case: after a
// takeover and a compaction, the number is free again and a write to it
// succeeds, but it is not in the journal.
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
