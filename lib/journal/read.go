package journal

import (
	"context"
	"hash/crc32"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/kv"
	"bronzewinch.dev/lib/problem"
)

const (
	// pageEntries is the maximum number of keys in one List call.
	pageEntries = 1000
	// readAttempts is the maximum number of attempts of a read during which
	// compactions occur. Even two compactions during one read are rare.
	readAttempts = 8
)

// contents is the snapshot of a journal and the entries after it.
type contents struct {
	manifest manifest
	version  kv.Version // of the manifest's key; zero without a snapshot
	state    []byte
	entries  []Entry
}

// last returns the sequence number and epoch of the last entry.
func (c contents) last() (id.Seq, id.Epoch) {
	if n := len(c.entries); n > 0 {
		return c.entries[n-1].Seq, c.entries[n-1].Epoch
	}
	return c.manifest.Covers, c.manifest.Epoch
}

// Read returns the newest snapshot, or nil if there is none, and all entries
// after it.
func Read(ctx context.Context, store Store, prefix string) (snapshot []byte, entries []Entry, err error) {
	c, err := read(ctx, store, prefix)
	return c.state, c.entries, err
}

// ReadWithSeq does the same as Read. It also returns the sequence number of the
// last entry that the snapshot covers, or zero if there is no snapshot.
func ReadWithSeq(ctx context.Context, store Store, prefix string) (snapshot []byte, covered id.Seq, entries []Entry, err error) {
	c, err := read(ctx, store, prefix)
	return c.state, c.manifest.Covers, c.entries, err
}

// read repeats readOnce until no compaction changed the snapshot meanwhile.
// Entries are deleted only after a snapshot covers them. Therefore, if the
// snapshot is unchanged at the end, no entry was deleted during the read. A gap
// with an unchanged snapshot is retried too, because it can result from entries
// that were written during a List call.
func read(ctx context.Context, store Store, prefix string) (contents, error) {
	gap := false
	for range readAttempts {
		c, complete, err := readOnce(ctx, store, prefix)
		if err != nil {
			return contents{}, err
		}
		_, version, err := getManifest(ctx, store, prefix)
		if err != nil {
			return contents{}, err
		}
		gap = !complete && version == c.version
		if complete && version == c.version {
			return c, nil
		}
	}
	if gap {
		return contents{}, corrupt(prefix, "an entry or a part of the snapshot is missing")
	}
	return contents{}, problem.New(problem.Unavailable, problem.Detail{
		Field: "journal", Value: prefix, Remedy: "read it again; compactions changed the snapshot during each attempt"})
}

// readOnce makes one attempt to read a journal. It returns false if an entry or
// a part of the snapshot is missing.
func readOnce(ctx context.Context, store Store, prefix string) (c contents, complete bool, err error) {
	if c.manifest, c.version, err = getManifest(ctx, store, prefix); err != nil {
		return c, false, err
	}
	if c.version != 0 {
		if c.state, complete, err = getState(ctx, store, c.manifest); err != nil || !complete {
			return c, complete, err
		}
	}
	c.entries, complete, err = entriesAfter(ctx, store, prefix, c.manifest.Covers, ^id.Seq(0))
	return c, complete, err
}

// getManifest returns the manifest and its version, which is zero if there is no
// snapshot.
func getManifest(ctx context.Context, store Store, prefix string) (manifest, kv.Version, error) {
	var m manifest
	item, err := store.Get(ctx, SnapshotKey(prefix))
	if problem.Is(err, problem.NotFound) {
		return m, 0, nil
	}
	if err != nil {
		return m, 0, err
	}
	return m, item.Version, decode(item.Key, item.Value, &m)
}

// getState returns the state of a snapshot. It returns false if a part is missing
// or the checksum does not match.
func getState(ctx context.Context, store Store, m manifest) ([]byte, bool, error) {
	state := []byte{}
	for i := range m.Parts {
		item, err := store.Get(ctx, partKey(m.Name, i))
		if problem.Is(err, problem.NotFound) {
			return nil, false, nil
		}
		if err != nil {
			return nil, false, err
		}
		state = append(state, item.Value...)
	}
	return state, crc32.Checksum(state, castagnoli) == m.Sum, nil
}

// entriesAfter returns the entries with numbers above after, up to last. It
// returns false if there is a gap between them.
func entriesAfter(ctx context.Context, store Store, prefix string, after, last id.Seq) ([]Entry, bool, error) {
	var entries []Entry
	next := after + 1
	for next <= last {
		page, err := store.List(ctx, LogPrefix(prefix), EntryKey(prefix, next-1), pageEntries)
		if err != nil {
			return nil, false, err
		}
		if len(page) == 0 {
			break
		}
		for _, item := range page {
			e, err := Decode(prefix, item)
			switch {
			case err != nil:
				return nil, false, err
			case e.Seq != next:
				return nil, false, nil
			case e.Seq > last:
				return entries, true, nil
			}
			entries = append(entries, e)
			next++
		}
	}
	return entries, true, nil
}
