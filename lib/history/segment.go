package history

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"hash/crc32"
	"io"
	"sync"

	"bronzewinch.dev/lib/codec"
	"bronzewinch.dev/lib/decision"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/unit"

	"github.com/fxamacker/cbor/v2"
)

// format is the version of the encoding. A reader rejects other versions, so that
// an old node never misinterprets a segment written by a newer one.
const format = 1

// maxDecompressed bounds the memory that a reader uses for the records of one
// segment.
const maxDecompressed = 8 * unit.MiB

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// segment is the value of a key: a compressed batch of records with an index of
// the jobs, accounts and workers that they name.
type segment struct {
	_      struct{} `cbor:",toarray"`
	Format uint
	// Sum is the checksum of the fields after it.
	Sum uint32
	// Total is the cumulative size of the zone's segments up to and including
	// this one, counting deleted segments. The difference of the totals of two
	// segments is the size of the segments between them.
	Total unit.Bytes
	// Table is the index that shows without decompression whether the body may
	// contain a value.
	Table hashIndex
	Body  []byte
}

func (s *segment) checksum() uint32 {
	var total [8]byte
	binary.BigEndian.PutUint64(total[:], uint64(s.Total))
	sum := crc32.Update(crc32.Checksum(total[:], castagnoli), castagnoli, s.Table)
	return crc32.Update(sum, castagnoli, s.Body)
}

// size returns the size of the segment without its key.
func (s *segment) size() unit.Bytes { return unit.Bytes(len(s.Table) + len(s.Body)) }

// compressors is a pool, because each compressor allocates about 1 MB.
var compressors = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.DefaultCompression)
	if err != nil {
		panic(err) // can't happen: the level is valid
	}
	return w
}}

var decompressors = sync.Pool{New: func() any { return flate.NewReader(bytes.NewReader(nil)) }}

// encodeSegment encodes a batch of records. totalBefore is the Total of the
// previous segment.
func encodeSegment(batch []pendingRecord, totalBefore unit.Bytes) ([]byte, segment, error) {
	encoded := make([]cbor.RawMessage, len(batch))
	var hashes []uint32
	for i, it := range batch {
		encoded[i] = it.encoded
		hashes = append(hashes, it.hashes...)
	}
	plain, err := codec.CBOR.Marshal(encoded)
	if err != nil {
		return nil, segment{}, err
	}
	var body bytes.Buffer
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(&body)
	if _, err := w.Write(plain); err != nil {
		return nil, segment{}, err
	}
	if err := w.Close(); err != nil {
		return nil, segment{}, err
	}
	s := segment{Format: format, Table: newHashIndex(hashes), Body: body.Bytes()}
	s.Total = totalBefore + s.size()
	s.Sum = s.checksum()
	value, err := codec.CBOR.Marshal(s)
	return value, s, err
}

// openSegment decodes a segment and checks its format and checksum. It leaves the
// body compressed.
func openSegment(key string, value []byte) (segment, error) {
	var s segment
	if err := cbor.Unmarshal(value, &s); err != nil {
		return s, corruptError(key, "the value is not a segment")
	}
	switch {
	case s.Format != format:
		return s, corruptError(key, "its format is not supported by this version of the program")
	case s.Sum != s.checksum():
		return s, corruptError(key, "its checksum does not match")
	}
	return s, nil
}

// records decompresses and decodes the records of the segment.
func (s *segment) records(key string) ([]decision.Record, error) {
	r := decompressors.Get().(io.ReadCloser)
	defer decompressors.Put(r)
	if err := r.(flate.Resetter).Reset(bytes.NewReader(s.Body), nil); err != nil {
		return nil, corruptError(key, err.Error())
	}
	plain, err := io.ReadAll(io.LimitReader(r, int64(maxDecompressed)))
	if err != nil {
		return nil, corruptError(key, err.Error())
	}
	var list []decision.Record
	if err := cbor.Unmarshal(plain, &list); err != nil {
		return nil, corruptError(key, err.Error())
	}
	return list, nil
}

func corruptError(key, reason string) error {
	return problem.New(problem.Internal, problem.Detail{Field: "history segment", Value: key,
		Remedy: reason + "; upgrade this node if other nodes can read the key, otherwise delete the key: its records are lost"})
}
