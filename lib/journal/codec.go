package journal

import (
	"hash/crc32"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/kv"

	"github.com/fxamacker/cbor/v2"
)

// format is the version of the encoding. A reader rejects any other version, so
// that an old node does not misread values written by a newer one.
const format = 1

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// frame is the encoding of the entries and of the snapshot manifest. Sum is the
// CRC-32C of Body.
type frame struct {
	_      struct{} `cbor:",toarray"`
	Format uint
	Sum    uint32
	Body   []byte
}

func encode(v any) ([]byte, error) {
	body, err := cbor.Marshal(v)
	if err != nil {
		return nil, corrupt("", "encoding failed: "+err.Error())
	}
	value, err := cbor.Marshal(frame{Format: format, Sum: crc32.Checksum(body, castagnoli), Body: body})
	if err != nil {
		return nil, corrupt("", "encoding failed: "+err.Error())
	}
	return value, nil
}

func decode(key string, value []byte, v any) error {
	var f frame
	if err := cbor.Unmarshal(value, &f); err != nil {
		return corrupt(key, "the value is not a frame: "+err.Error())
	}
	switch {
	case f.Format != format:
		return corrupt(key, "this version of the program does not support its format")
	case f.Sum != crc32.Checksum(f.Body, castagnoli):
		return corrupt(key, "its checksum does not match")
	}
	if err := cbor.Unmarshal(f.Body, v); err != nil {
		return corrupt(key, err.Error())
	}
	return nil
}

// Encode returns the value that is stored under the key of an entry.
func Encode(e Entry) ([]byte, error) { return encode(e) }

// Decode returns the entry that is stored under a key. Consumers that watch
// LogPrefix use it. It checks the format, the checksum and that the sequence
// number of the entry matches the key.
func Decode(prefix string, item kv.Item) (Entry, error) {
	var e Entry
	if err := decode(item.Key, item.Value, &e); err != nil {
		return e, err
	}
	if EntryKey(prefix, e.Seq) != item.Key {
		return e, corrupt(item.Key, "its entry has another sequence number than its key")
	}
	return e, nil
}

// manifest is the value of the snapshot key. The state itself is stored in
// parts under other keys, because it can exceed the maximum size of one value.
type manifest struct {
	Covers id.Seq   `cbor:"1,keyasint"`
	Epoch  id.Epoch `cbor:"2,keyasint,omitempty"` // epoch of the entry Covers
	Name   string   `cbor:"3,keyasint"`           // key prefix of the parts
	Parts  int      `cbor:"4,keyasint"`
	Sum    uint32   `cbor:"5,keyasint"`
	// Batches are the batch numbers of the newest covered entries, the last
	// one that of the entry Covers. A writer whose entry was deleted by a
	// compaction finds out here whether the covered entry was its own.
	Batches []uint64 `cbor:"6,keyasint"`
}

// maxBatches is the maximum number of batch numbers in a manifest, which keeps
// it to a few kilobytes. The result of an append whose entry is further behind
// the snapshot is unknown.
const maxBatches = 256

// appendStatus is the state of an entry as its writer can determine it.
type appendStatus int

const (
	committed    appendStatus = iota // in the journal
	notAppended                      // certainly not in the journal: its number belongs to another entry
	notFound                         // not in the journal now; a write in progress may still store it
	undetermined                     // covered by a snapshot whose manifest no longer has its batch number
)

// status returns the status of an entry that the snapshot covers.
func (m manifest) status(e Entry) appendStatus {
	back := uint64(m.Covers - e.Seq)
	switch {
	case back >= uint64(len(m.Batches)):
		return undetermined
	case m.Batches[uint64(len(m.Batches))-1-back] == e.Batch:
		return committed
	}
	return notAppended
}

// SnapshotSeq returns the sequence number of the last entry that a snapshot
// covers, given the item of its key, or zero if the value can't be decoded.
// Tools that inspect a journal use it.
func SnapshotSeq(item kv.Item) id.Seq {
	var m manifest
	if decode(item.Key, item.Value, &m) != nil {
		return 0
	}
	return m.Covers
}
