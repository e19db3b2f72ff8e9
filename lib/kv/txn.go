package kv

import (
	"time"

	"bronzewinch.dev/lib/unit"
)

// Expect is a condition of a transaction: the current version of a key, where zero
// means that the key is absent.
type Expect struct {
	Key     string
	Version Version
}

// Write sets the value of a key. With a lease, the key is deleted when the lease
// expires or is revoked.
type Write struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Txn is a transaction. It applies all its writes and removals, or none if a
// condition fails.
type Txn struct {
	Expect []Expect
	Writes []Write
	Remove []string
}

const (
	// smallTxn is the size up to which a transaction is sent in no time.
	smallTxn = 64 * unit.KiB
	// minSendRate is the rate, for each second, at which even the slowest link sends, a
	// fraction of 2 Mbit/s. Values are sent as base64 text.
	minSendRate = 96 * unit.KiB
)

// SendTime returns the time that the values of a large transaction may take on a slow link,
// or zero for a small one.
func (t Txn) SendTime() time.Duration {
	size := unit.Bytes(0)
	for _, w := range t.Writes {
		size += unit.Bytes(len(w.Value))
	}
	return time.Duration(float64(max(0, size-smallTxn)) / float64(minSendRate) * float64(time.Second))
}

// MaxTxn is the maximum number of conditions, writes and removals of a Txn.
const MaxTxn = 32

// TxnResult is the result of a transaction. If it was not committed, Current holds
// the current items of the keys in its conditions.
type TxnResult struct {
	Committed bool
	Version   Version
	Current   []Item
}
