package burnstore_test

import (
	"bytes"
	"compress/flate"
	"encoding/hex"
	"io"
	"testing"
	"time"

	"bronzewinch.dev/lib/burn"
	"bronzewinch.dev/lib/burnstore"
	"bronzewinch.dev/lib/record"

	"github.com/matryer/is"
)

// TestStoredBytes guards against a changed encoding of the stored counts, for
// example by a reordered field. During an update, nodes of two versions read the
// same values.
func TestStoredBytes(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1_764_896_523, 0).UTC()
	measure := record.Measure{Indicator: "i", Class: "c"}
	row := burn.Row{Key: burn.Key{Measure: measure, Account: "a", Zone: "z", Cause: "u"}}
	row.Buckets[0] = []burn.Bucket{{Index: 5, Good: 6, Bad: 7}}
	snapshot := burn.Snapshot{Node: "n", Process: 1, Seq: 2, At: at, Rows: []burn.Row{row},
		Examples: []burn.Examples{{Measure: measure, Resolution: 1, Index: 3,
			List: []burn.Example{{Ref: burn.Ref{Job: "j"}, Account: "a", Zone: "z", Cause: "u", At: at}}}}}
	data, err := burnstore.Encode(snapshot)
	is.NoErr(err)
	plain, err := io.ReadAll(flate.NewReader(bytes.NewReader(data)))
	is.NoErr(err)
	is.Equal(hex.EncodeToString(plain), "8801616e01021a69322f0b85616961636161617a6175818582000102030483833a0059c4660607f6f681848200010103"+
		"8187616a60000203041a69322f0b")
	got, err := burnstore.Decode(data)
	is.NoErr(err)
	is.Equal(got, snapshot)
}
