package journal_test

import (
	"encoding/hex"
	"testing"

	"bronzewinch.dev/lib/journal"
	"bronzewinch.dev/lib/kv"

	"github.com/matryer/is"
)

// TestStoredBytes guards against a change in the encoding of journal entries,
// for example by a renamed field. During an update, nodes of two versions read
// the same journal.
func TestStoredBytes(t *testing.T) {
	is := is.New(t)
	entry := journal.Entry{Seq: 1, Epoch: 2, Writer: "n", Batch: 3, Takeover: true, Items: [][]byte{{4}}}
	data, err := journal.Encode(entry)
	is.NoErr(err)
	is.Equal(hex.EncodeToString(data), "83011a3c979ecf50a60101020203616e040305f506814104")
	got, err := journal.Decode("p/", kv.Item{Key: journal.EntryKey("p/", 1), Value: data})
	is.NoErr(err)
	is.Equal(got, entry)
}
