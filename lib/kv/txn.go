package kv

// Expect is a condition of a transaction: a key has a version, where zero
// means that the key is absent.
type Expect struct {
	Key     string
	Version Version
}

// Write sets the value of a key. With a lease, the key ends with it.
type Write struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Txn changes several keys together, or none if a condition fails.
type Txn struct {
	Expect []Expect
	Writes []Write
	Remove []string
}

// MaxTxn is the greatest number of conditions, writes and removals of a Txn.
const MaxTxn = 32

// TxnResult tells whether a transaction took effect, and otherwise the present
// items of its conditions.
type TxnResult struct {
	Committed bool
	Version   Version
	Current   []Item
}
