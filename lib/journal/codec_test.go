package journal

import (
	"testing"

	"bronzewinch.dev/lib/kv"
	"bronzewinch.dev/lib/problem"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
)

// TestDecodeRejects guards against decoding without an error a damaged entry,
// an entry in a later format or an entry stored under another key.
func TestDecodeRejects(t *testing.T) {
	is := is.New(t)
	e := Entry{Seq: 7, Epoch: 2, Writer: "n1", Batch: 9, Items: [][]byte{[]byte("item")}}
	value, err := Encode(e)
	is.NoErr(err)
	got, err := Decode("p", kv.Item{Key: EntryKey("p", 7), Value: value})
	is.NoErr(err)
	is.Equal(got, e)
	for i := range value { // damage to any single byte is detected
		bad := append([]byte{}, value...)
		bad[i] ^= 0x10
		_, err := Decode("p", kv.Item{Key: EntryKey("p", 7), Value: bad})
		is.True(problem.Is(err, problem.Internal))
	}
	_, err = Decode("p", kv.Item{Key: EntryKey("p", 8), Value: value})
	is.True(problem.Is(err, problem.Internal))
	var f frame
	is.NoErr(cbor.Unmarshal(value, &f))
	f.Format++
	later, err := cbor.Marshal(f)
	is.NoErr(err)
	_, err = Decode("p", kv.Item{Key: EntryKey("p", 7), Value: later})
	is.True(problem.Is(err, problem.Internal))
}
