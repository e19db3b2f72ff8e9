// Package delegate spreads the calls of the owner to workers over the nodes. In a
// large deployment the owner keeps all decisions and all state of the links to
// workers, and other nodes, its delegates, only make the calls: each call carries
// its fence, run number and lease, so that a delegate keeps no state of its own
// beyond the specs of jobs. It reads a spec from the store once, because the specs
// that are sent with every start are most of the bytes of an owner.
//
// A call passes the stages choose (which node makes it) and forward on the owner, and
// admit, complete (with the spec of its job) and execute on the delegate. When a
// delegate has certainly not made a call, the owner makes it itself.
package delegate

import (
	"time"

	"bronzewinch.dev/lib/id"
)

// Names of the methods that the owner calls on its delegates.
const (
	pollMethod  = "workerPoll"
	orderMethod = "workerOrder"
)

// Node describes a node that can make calls for the owner.
type Node struct {
	ID      id.Node `cbor:"node"`
	Address string  `cbor:"address"`
	Zone    id.Zone `cbor:"zone"`
	// Cores is the processor time of the node, in cores.
	Cores float64 `cbor:"cores"`
	// Clock is timer.SinceBoot on the node when it sent this description. The owner
	// sets the expiry of calls on this clock.
	Clock time.Duration `cbor:"clock"`
}
