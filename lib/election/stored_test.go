package election_test

import (
	"encoding/hex"
	"testing"

	"bronzewinch.dev/lib/codec"
	"bronzewinch.dev/lib/election"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
)

// TestStoredBytes guards against a renamed field that changes the encoding of
// the owner key or the commit key, which nodes of two versions share during an
// update.
func TestStoredBytes(t *testing.T) {
	is := is.New(t)
	record := election.CommitRecord{Fence: 1, Number: 2}
	data, err := record.Encode()
	is.NoErr(err)
	is.Equal(hex.EncodeToString(data), "a26566656e636501666e756d62657202")
	gotRecord, err := election.DecodeCommitRecord(data)
	is.NoErr(err)
	is.Equal(gotRecord, record)

	term := election.TermRecord{Fence: 1, Node: "n", Address: "a", Settled: true, Ended: true}
	data, err = codec.CBOR.Marshal(term)
	is.NoErr(err)
	is.Equal(hex.EncodeToString(data), "a5646e6f6465616e65656e646564f56566656e636501676164647265737361616773"+"6574746c6564f5")
	gotTerm, err := election.DecodeTermRecord(data)
	is.NoErr(err)
	is.Equal(gotTerm, term)

	term = election.TermRecord{Fence: 1, Node: "n", Address: "a", Witnesses: []string{"w"},
		Earlier: []election.EarlierTerm{{Fence: 2, Node: "m", Address: "b", Witnesses: []string{"v"}}}}
	data, err = codec.CBOR.Marshal(term)
	is.NoErr(err)
	is.Equal(hex.EncodeToString(data), "a5646e6f6465616e6566656e63650167616464726573736161676561726c69657281"+
		"a4646e6f6465616d6566656e63650267616464726573736162697769746e6573736573816176"+"697769746e6573736573816177")
	gotTerm, err = election.DecodeTermRecord(data)
	is.NoErr(err)
	is.Equal(gotTerm, term)

	owner := election.Owner{Node: "n", Address: "a", Fence: 3}
	data, err = codec.CBOR.Marshal(owner)
	is.NoErr(err)
	is.Equal(hex.EncodeToString(data), "a3646e6f6465616e6566656e63650367616464726573736161")
	var gotOwner election.Owner
	is.NoErr(cbor.Unmarshal(data, &gotOwner))
	is.Equal(gotOwner, owner)
}
