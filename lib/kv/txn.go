package kv

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

// MaxTxn is the maximum number of conditions, writes and removals of a Txn.
const MaxTxn = 32

// TxnResult is the result of a transaction. If it was not committed, Current holds
// the current items of the keys in its conditions.
type TxnResult struct {
	Committed bool
	Version   Version
	Current   []Item
}
