package journal

import (
	"hash/crc32"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/kv"

	"github.com/fxamacker/cbor/v2"
)

// format is the version of the encoding. A reader refuses a later one, so an
// old node never misreads what a new one wrote.
const format = 1

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// frame is the value of every key of a journal.
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
		return corrupt(key, "it is not a frame: "+err.Error())
	}
	switch {
	case f.Format != format:
		return corrupt(key, "its format is not known to this version of the program")
	case f.Sum != crc32.Checksum(f.Body, castagnoli):
		return corrupt(key, "its checksum does not match")
	}
	if err := cbor.Unmarshal(f.Body, v); err != nil {
		return corrupt(key, err.Error())
	}
	return nil
}

// Encode returns the value of an entry's key.
func Encode(e Entry) ([]byte, error) { return encode(e) }

// Decode returns the entry of a key, for a consumer that watches LogPrefix. It
// checks the format, the checksum and that the entry belongs to this key.
func Decode(prefix string, item kv.Item) (Entry, error) {
	var e Entry
	if err := decode(item.Key, item.Value, &e); err != nil {
		return e, err
	}
	if EntryKey(prefix, e.Seq) != item.Key {
		return e, corrupt(item.Key, "it holds the entry of another number")
	}
	return e, nil
}

// manifest is the value of the snapshot key. The state is in parts, because it
// can be larger than one value.
type manifest struct {
	Covers id.Seq   `cbor:"1,keyasint"`
	Epoch  id.Epoch `cbor:"2,keyasint,omitempty"` // of the entry Covers
	Name   string   `cbor:"3,keyasint"`           // prefix of the keys of the parts
	Parts  int      `cbor:"4,keyasint"`
	Sum    uint32   `cbor:"5,keyasint"`
	// Batches are the batch numbers of the newest covered entries, up to the
	// entry Covers. They show a writer whose entry is deleted whether the
	// entry of that number was its own.
	Batches []uint64 `cbor:"6,keyasint"`
}

// maxBatches bounds the manifest to a few kilobytes. A writer that is behind
// by more entries than this learns only that its result is unknown.
const maxBatches = 256

// appendStatus is what a writer can know of an entry.
type appendStatus int

const (
	committed    appendStatus = iota // in the journal
	notAppended                      // certainly not in the journal
	notFound                         // not there now; it may still arrive
	undetermined                     // covered by a snapshot that no longer shows it
)

// status returns what the manifest shows of a covered entry.
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

// SnapshotSeq returns the number that a snapshot key's value covers, zero when
// the value is not readable. Tools that inspect a journal use it.
func SnapshotSeq(item kv.Item) id.Seq {
	var m manifest
	if decode(item.Key, item.Value, &m) != nil {
		return 0
	}
	return m.Covers
}
