package kv

import (
	"context"
	"fmt"
	"strings"

	"bronzewinch.dev/lib/codec"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/unit"

	"github.com/fxamacker/cbor/v2"
)

// Generation distinguishes the parts of successive values of one record.
type Generation string

// Head is the value of the key of a record that is stored in parts. It is encoded as an array,
// which no record is.
type Head struct {
	_          struct{} `cbor:",toarray"`
	Generation Generation
	Parts      int
}

// partSeparator follows the key of a record in the keys of its parts. It is less than any
// character of a record's key, so that the parts follow their record in the order of keys.
const partSeparator = "#"

// PartKey returns the key of a part of a record, from 0.
func (h Head) PartKey(record string, part int) string {
	return fmt.Sprintf("%s%s%s.%06d", record, partSeparator, h.Generation, part)
}

// PartKeys returns the keys of all parts of a record.
func (h Head) PartKeys(record string) []string {
	keys := make([]string, h.Parts)
	for i := range keys {
		keys[i] = h.PartKey(record, i)
	}
	return keys
}

// IsPartKey reports whether a key is that of a part.
func IsPartKey(key string) bool { return strings.Contains(key, partSeparator) }

// DecodeHead returns the Head that a value holds, or false if it is a whole record.
func DecodeHead(value []byte) (Head, bool) {
	const majorTypeArray = 4
	var h Head
	if len(value) == 0 || value[0]>>5 != majorTypeArray || cbor.Unmarshal(value, &h) != nil || h.Parts < 1 {
		return Head{}, false
	}
	return h, true
}

// Divide divides the value of a record into parts of at most size bytes. The parts have to be
// stored before the write of the head, which makes them the value of the record.
func Divide(record Write, size unit.Bytes, g Generation) (head Write, h Head, parts []Write, err error) {
	h = Head{Generation: g, Parts: (len(record.Value) + int(size) - 1) / int(size)}
	for i := range h.Parts {
		begin := i * int(size)
		parts = append(parts, Write{Key: h.PartKey(record.Key, i), Value: record.Value[begin:min(begin+int(size), len(record.Value))]})
	}
	value, err := codec.CBOR.Marshal(h)
	return Write{Key: record.Key, Value: value}, h, parts, err
}

// Getter reads single keys.
type Getter interface {
	Get(ctx context.Context, key string) (Item, error)
}

// GetRecord returns the value of a record, also of one that is stored in parts.
func GetRecord(ctx context.Context, store Getter, key string) ([]byte, error) {
	item, err := store.Get(ctx, key)
	if err != nil {
		return nil, err
	}
	head, ok := DecodeHead(item.Value)
	if !ok {
		return item.Value, nil
	}
	var value []byte
	for _, part := range head.PartKeys(key) {
		p, err := store.Get(ctx, part)
		if problem.Is(err, problem.NotFound) {
			return nil, problem.New(problem.Conflict, problem.Detail{Field: key, Remedy: "read it again; it was replaced meanwhile"})
		}
		if err != nil {
			return nil, err
		}
		value = append(value, p.Value...)
	}
	return value, nil
}
