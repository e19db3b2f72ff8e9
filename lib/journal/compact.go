package journal

import (
	"context"
	"fmt"
	"hash/crc32"
	"math/rand/v2"
	"strconv"
	"strings"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/kv"
	"bronzewinch.dev/lib/problem"
)

// partSize is the maximum size of one part of a snapshot in bytes.
const partSize = 900_000

func partKey(name string, i int) string { return fmt.Sprintf("%s/%04d", name, i) }

// Compact stores the state after the entry with the number covered as the
// snapshot, and deletes the entries up to that number. It returns nil if a
// snapshot covers that entry, including one that another writer stored. Several
// writers may compact at the same time: the manifest is replaced by a
// compare-and-swap, and the states of all writers after the same entry are
// equal. If deleting an entry fails, the next compaction deletes it.
func Compact(ctx context.Context, store Store, prefix string, state []byte, covered id.Seq) error {
	for range readAttempts {
		m, version, err := getManifest(ctx, store, prefix)
		if err != nil {
			return err
		}
		if m.Covers >= covered {
			return nil
		}
		next, complete, err := nextManifest(ctx, store, prefix, m, covered)
		if err != nil {
			return err
		}
		if !complete {
			continue // another writer compacted, or the entry covered is not written yet
		}
		next.Name = fmt.Sprintf("%s%016x-%016x", partPrefix(prefix), uint64(version), rand.Uint64())
		next.Sum = crc32.Checksum(state, castagnoli)
		if next.Parts, err = putParts(ctx, store, next.Name, state); err != nil {
			return err
		}
		version, err = putManifest(ctx, store, prefix, next, version)
		if problem.Is(err, problem.Conflict) {
			continue
		}
		if err != nil {
			return err
		}
		deleteObsolete(ctx, store, prefix, next, version)
		return nil
	}
	return problem.New(problem.Conflict, problem.Detail{
		Field: "snapshot", Value: prefix, Limit: "the last entry",
		Remedy: "read the journal again; the entry to cover is not in it, or other writers compacted it during each attempt"})
}

// nextManifest returns the manifest that follows m when the snapshot covers the
// entries up to covered. Their batch numbers are appended to those of m. It
// returns false if one of the entries is missing.
func nextManifest(ctx context.Context, store Store, prefix string, m manifest, covered id.Seq) (manifest, bool, error) {
	entries, complete, err := entriesAfter(ctx, store, prefix, m.Covers, covered)
	if err != nil || !complete || uint64(len(entries)) != uint64(covered-m.Covers) {
		return m, false, err
	}
	next := manifest{Covers: covered, Epoch: entries[len(entries)-1].Epoch, Batches: m.Batches}
	for _, e := range entries {
		next.Batches = append(next.Batches, e.Batch)
	}
	next.Batches = next.Batches[max(0, len(next.Batches)-maxBatches):]
	return next, true, nil
}

// putParts stores the state in parts and returns their number.
func putParts(ctx context.Context, store Store, name string, state []byte) (int, error) {
	n := 0
	for rest := state; len(rest) > 0; n++ {
		size := min(len(rest), partSize)
		// The name is random, so that a Conflict means that this part is stored.
		_, err := store.Put(ctx, partKey(name, n), rest[:size], 0, "")
		if problem.Is(err, problem.Unknown) {
			_, err = store.Put(ctx, partKey(name, n), rest[:size], 0, "")
		}
		if err != nil && !problem.Is(err, problem.Conflict) {
			return 0, err
		}
		rest = rest[size:]
	}
	return n, nil
}

// putManifest replaces the manifest at the version expect and returns the new
// version. If the result of the write is unknown, it reads the manifest back.
func putManifest(ctx context.Context, store Store, prefix string, m manifest, expect kv.Version) (kv.Version, error) {
	value, err := encode(m)
	if err != nil {
		return 0, err
	}
	version, err := store.Put(ctx, SnapshotKey(prefix), value, expect, "")
	if !problem.Is(err, problem.Unknown) {
		return version, err
	}
	now, version, readErr := getManifest(ctx, store, prefix)
	switch {
	case readErr != nil:
		return 0, err
	case now.Name == m.Name:
		return version, nil
	}
	return 0, err
}

// deleteObsolete deletes the entries and parts that the manifest m, stored at
// version, makes obsolete. The name of a part contains the version that its
// manifest was to replace. No manifest can refer to a part with a version below
// this one any more, because its compare-and-swap would fail.
func deleteObsolete(ctx context.Context, store Store, prefix string, m manifest, version kv.Version) {
	deleteMatching(ctx, store, LogPrefix(prefix), func(key string) bool {
		seq, err := seqOf(prefix, key)
		return err == nil && seq <= m.Covers
	})
	deleteMatching(ctx, store, partPrefix(prefix), func(key string) bool {
		if strings.HasPrefix(key, m.Name+"/") {
			return false
		}
		base, _, _ := strings.Cut(strings.TrimPrefix(key, partPrefix(prefix)), "-")
		n, err := strconv.ParseUint(base, 16, 64)
		return err == nil && kv.Version(n) < version
	})
}

// deleteMatching deletes the keys under a prefix for which obsolete returns
// true. It stops if a List fails or a deletion returns Unavailable or Unknown;
// the next compaction deletes the remaining keys.
func deleteMatching(ctx context.Context, store Store, prefix string, obsolete func(key string) bool) {
	after := ""
	for {
		page, err := store.List(ctx, prefix, after, pageEntries)
		if err != nil || len(page) == 0 {
			return
		}
		deleted := false
		for _, item := range page {
			after = item.Key
			if !obsolete(item.Key) {
				continue
			}
			deleted = true
			err := store.Delete(ctx, item.Key, item.Version)
			if k := problem.KindOf(err); k == problem.Unavailable || k == problem.Unknown {
				return
			}
		}
		if !deleted {
			return // keys are listed in order, so that all following ones are newer
		}
	}
}
