// Package peer implements calls between entry nodes over gRPC. Messages are encoded
// in CBOR. A handler is a function that takes a typed request and returns a typed
// response.
package peer

import (
	"bytes"

	"bronzewinch.dev/lib/codec"
	"bronzewinch.dev/lib/problem"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"google.golang.org/grpc/encoding"
	"google.golang.org/grpc/mem"
)

const serviceName = "bronzewinch.Peer"

// MaxMessage is the maximum size of a message in bytes. A message must be able to
// carry a complete response of a service with its headers.
const MaxMessage = 16 << 20

// envelope carries the response of a handler, or its error. An error of a handler
// is not a failure of the call, so it is not passed to gRPC as an error.
type envelope[T any] struct {
	Err   *problem.Error `cbor:"err,omitempty"`
	Value T              `cbor:"value"`
}

// messageCodec encodes messages as CBOR for gRPC.
type messageCodec struct{}

var _ encoding.CodecV2 = messageCodec{}

// Name returns the content subtype that the codec is used for.
func (messageCodec) Name() string { return "cbor" }

// Marshal encodes a message.
func (messageCodec) Marshal(v any) (mem.BufferSlice, error) {
	b, err := codec.CBOR.Marshal(v)
	if err != nil {
		return nil, errors.Wrap(err, "encode peer message")
	}
	return mem.BufferSlice{mem.SliceBuffer(b)}, nil
}

// Unmarshal decodes a message.
func (messageCodec) Unmarshal(data mem.BufferSlice, v any) error {
	var b []byte
	if len(data) == 1 {
		b = data[0].ReadOnlyData()
	} else {
		b = data.Materialize()
	}
	return errors.Wrap(cbor.NewDecoder(bytes.NewReader(b)).Decode(v), "decode peer message")
}
