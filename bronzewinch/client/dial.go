package client

import (
	"net"

	"github.com/cockroachdb/errors"
)

// isDialError reports whether a request failed before a connection was there, so
// that it certainly had no effect.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
