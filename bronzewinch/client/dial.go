package client

import (
	"net"

	"github.com/cockroachdb/errors"
)

// isDialError reports whether a request failed before a connection was
// established, so that it can't have had an effect.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
