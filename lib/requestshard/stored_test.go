package requestshard_test

import (
	"encoding/hex"
	"testing"
	"time"

	"bronzewinch.dev/lib/once"
	"bronzewinch.dev/lib/outcome"
	"bronzewinch.dev/lib/requestshard"

	"github.com/matryer/is"
)

// TestStoredBytes guards against a renamed field that changes the encoding of
// journal items: after it, a new owner could let a request run twice.
func TestStoredBytes(t *testing.T) {
	is := is.New(t)
	at := time.UnixMilli(1_764_896_523_004)
	items := []once.Item{
		{Kind: once.Intent, ID: "r", Run: 1, At: at, Fingerprint: once.Fingerprint{1, 2, 3}},
		{Kind: once.Completion, ID: "r", Run: 1, At: at, Outcome: outcome.Done, Node: "n"},
	}
	data, err := requestshard.EncodeSnapshot(items)
	is.NoErr(err)
	is.Equal(hex.EncodeToString(data), "a26776657273696f6e01656974656d7382a66776657273696f6e01646b696e640162696461726372756e016261741b00"+
		"00019aec07c2fc6b66696e6765727072696e745820010203000000000000000000000000000000000000000000000000"+
		"0000000000a76776657273696f6e01646b696e640262696461726372756e016261741b0000019aec07c2fc676f757463"+
		"6f6d6564646f6e65646e6f6465616e")
	got, err := requestshard.DecodeSnapshot(data)
	is.NoErr(err)
	is.Equal(got, items)
}
