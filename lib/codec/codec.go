// Package codec defines the CBOR encoding of messages, journal items and stored
// records.
package codec

import "github.com/fxamacker/cbor/v2"

// CBOR is the encoding mode. It is deterministic, so that a record is encoded to the
// same bytes on every node. It encodes times with nanoseconds, because records from
// different nodes are compared by time and the default of the library truncates
// times to seconds.
var CBOR = func() cbor.EncMode {
	o := cbor.CoreDetEncOptions()
	o.Time = cbor.TimeRFC3339Nano
	mode, err := o.EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()
