package journal

import (
	"context"
	"hash/crc32"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/kv"
	"bronzewinch.dev/lib/problem"
)

const (
	// pageEntries is the number of entries in one list call.
	pageEntries = 1000
	// readAttempts bounds the repeats of a read that meets compactions. Two in
	// one read are already rare.
	readAttempts = 8
)

// contents is a consistent view of a journal.
type contents struct {
	manifest manifest
	version  kv.Version // of the manifest's key
	state    []byte
	entries  []Entry
}

// last returns the last sequence number and its epoch.
func (c contents) last() (id.Seq, id.Epoch) {
	if n := len(c.entries); n > 0 {
		return c.entries[n-1].Seq, c.entries[n-1].Epoch
	}
	return c.manifest.Covers, c.manifest.Epoch
}

// Read returns the newest snapshot, nil when there is none, and all entries
// after it.
func Read(ctx context.Context, store Store, prefix string) (snapshot []byte, entries []Entry, err error) {
	c, err := read(ctx, store, prefix)
	return c.state, c.entries, err
}

// ReadWithSeq is Read that also returns the sequence number that the snapshot
// covers, zero when there is no snapshot.
func ReadWithSeq(ctx context.Context, store Store, prefix string) (snapshot []byte, covered id.Seq, entries []Entry, err error) {
	c, err := read(ctx, store, prefix)
	return c.state, c.manifest.Covers, c.entries, err
}

// read repeats a view until no compaction changed the snapshot during it.
// Entries are deleted only after a snapshot covers them, so a view whose
// snapshot is still the same at its end has missed none. A gap alone can also
// come from a list during which entries were written.
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
		Field: "journal", Value: prefix, Remedy: "read it again; compactions changed it during each attempt"})
}

// readOnce reads a journal once. It returns false when something is missing.
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

// entriesAfter returns the entries after a number, up to last. It returns
// false when one is missing.
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
