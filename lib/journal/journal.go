// Package journal stores append-only journals in the key-value service. Each
// entry is one key that is written only if it does not exist. Therefore each
// sequence number is written once, and a writer detects another writer when its
// own number is already taken.
package journal

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/kv"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/unit"
)

// MaxEntry is the maximum total size of the items of one entry. With the
// encoding, an entry stays below the service's limit of 1 MiB for a value.
const MaxEntry unit.Bytes = 900_000

// itemOverhead is the maximum number of bytes that the encoding adds to an item.
const itemOverhead = 5

// Store is the part of the key-value service that a journal uses. Its errors
// are problem errors of the kinds that package kv documents.
type Store interface {
	Get(ctx context.Context, key string) (kv.Item, error)
	Put(ctx context.Context, key string, value []byte, expect kv.Version, lease kv.LeaseID) (kv.Version, error)
	Delete(ctx context.Context, key string, expect kv.Version) error
	List(ctx context.Context, prefix, after string, limit int) ([]kv.Item, error)
}

// Entry is one entry of a journal.
type Entry struct {
	Seq    id.Seq   `cbor:"1,keyasint"`
	Epoch  id.Epoch `cbor:"2,keyasint,omitempty"`
	Writer id.Node  `cbor:"3,keyasint"`
	// Batch distinguishes the entries of different writers. A writer starts at
	// a random number (NewBatch) and increments it, because two processes can
	// run under the same node id for a short time.
	Batch    uint64   `cbor:"4,keyasint"`
	Takeover bool     `cbor:"5,keyasint,omitempty"`
	Items    [][]byte `cbor:"6,keyasint,omitempty"`
}

// LogPrefix returns the key prefix of the entries of a journal, for a watch.
func LogPrefix(prefix string) string { return prefix + "/log/" }

// EntryKey returns the key of an entry.
func EntryKey(prefix string, seq id.Seq) string {
	return fmt.Sprintf("%s%016x", LogPrefix(prefix), uint64(seq))
}

// SnapshotKey returns the key of the journal's snapshot manifest.
func SnapshotKey(prefix string) string { return prefix + "/snapshot" }

func partPrefix(prefix string) string { return prefix + "/part/" }

func seqOf(prefix, key string) (id.Seq, error) {
	n, err := strconv.ParseUint(strings.TrimPrefix(key, LogPrefix(prefix)), 16, 64)
	if err != nil {
		return 0, corrupt(key, "the key does not end in a sequence number")
	}
	return id.Seq(n), nil
}

func corrupt(key, reason string) error {
	return problem.New(problem.Internal, problem.Detail{
		Field: "journal key", Value: key,
		Remedy: "restore the journal from a backup of the key-value service: " + reason})
}

func conflict(key string) error {
	return problem.New(problem.Conflict, problem.Detail{
		Field: "journal entry", Value: key, Remedy: "read the journal again; another writer wrote the entry with this number"})
}

func unknownResult(key string, err error) error {
	remedy := "append the same entry again, or read the journal"
	if err != nil {
		remedy += ": " + err.Error()
	}
	return problem.New(problem.Unknown, problem.Detail{
		Field: "result of the append", Value: key, Remedy: remedy})
}
