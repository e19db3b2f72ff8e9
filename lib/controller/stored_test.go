package controller_test

import (
	"encoding/hex"
	"testing"
	"time"

	"bronzewinch.dev/lib/codec"
	"bronzewinch.dev/lib/controller"
	"bronzewinch.dev/lib/task"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
)

// TestMessageBytes guards against a renamed field that changes the encoding of
// calls that nodes of two versions pass to each other during an update.
func TestMessageBytes(t *testing.T) {
	checkBytes(t, controller.Request{Verb: controller.Submit, Host: "h", Path: "p", Key: "k", Job: &task.Job{ID: "j"}},
		"a5636a6f62aa624944616a645370656360654669727374f665517565756560655374657073f6674163636f756e746068"+
			"4163636570746564f66841646d6974746564a7644e616d656065536c61636bf900006654617267657400674164766973"+
			"6564f467536572766963656068417474656d70747300685072696f726974790068496e74657276616c006b4f63637572"+
			"72656e63657300636b6579616b64686f73746168647061746861706476657262667375626d6974")
	checkBytes(t, controller.Reply{Outcome: controller.Refused, State: task.Pending, Waiting: 1, IsQueue: true, Detail: "d", RetryAfter: time.Second},
		"a66573746174656770656e64696e676664657461696c61646769735175657565f5676f7574636f6d6567726566757365"+
			"646777616974696e67016a726574727941667465721a3b9aca00")
}

// checkBytes checks that the encoding of message is want, in hexadecimal, and
// that it decodes to the same message.
func checkBytes[T any](t *testing.T, message T, want string) {
	t.Helper()
	is := is.New(t)
	data, err := codec.CBOR.Marshal(message)
	is.NoErr(err)
	is.Equal(hex.EncodeToString(data), want)
	var got T
	is.NoErr(cbor.Unmarshal(data, &got))
	is.Equal(got, message)
}
