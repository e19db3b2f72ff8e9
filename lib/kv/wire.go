package kv

import "time"

// Version is the revision of the service at which an item last changed. Zero
// means "absent".
type Version uint64

// LeaseID names a lease. The empty id means "no lease".
type LeaseID string

// MaxValue is the greatest size of a value in bytes.
const MaxValue = 1 << 20

// ClientHeader carries the name of the calling client. The service counts and
// limits calls by it.
const ClientHeader = "Kv-Client"

// Item is a key with its value.
type Item struct {
	Key     string  `json:"key"`
	Value   []byte  `json:"value,omitempty"`
	Version Version `json:"version"`
	Lease   LeaseID `json:"lease,omitempty"`
}

// Event is one change of an item. A deletion has the last value's lease, no
// value, and the version of the deletion.
type Event struct {
	Item
	Deleted bool `json:"deleted,omitempty"`
}

// Op is a kind of call. Its name is the last element of the URL path.
type Op string

// The kinds of calls. All of them are POST requests to /v1/<op>.
const (
	OpGet       Op = "get"
	OpPut       Op = "put"
	OpDelete    Op = "delete"
	OpList      Op = "list"
	OpWatch     Op = "watch"
	OpGrant     Op = "grant"
	OpKeepAlive Op = "keepAlive"
	OpRevoke    Op = "revoke"
)

// Ops lists every kind of call.
var Ops = []Op{OpGet, OpPut, OpDelete, OpList, OpWatch, OpGrant, OpKeepAlive, OpRevoke}

// Writes reports whether a call of this kind changes the state of the service.
func (o Op) Writes() bool {
	return o != OpGet && o != OpList && o != OpWatch
}

// KeyRequest is the body of get and delete. Expect is unused by get.
type KeyRequest struct {
	Key    string  `json:"key"`
	Expect Version `json:"expect,omitempty"`
}

// PutRequest is the body of put.
type PutRequest struct {
	Key    string  `json:"key"`
	Value  []byte  `json:"value"`
	Expect Version `json:"expect"`
	Lease  LeaseID `json:"lease,omitempty"`
}

// VersionReply is the answer to put.
type VersionReply struct {
	Version Version `json:"version"`
}

// ListRequest is the body of list.
type ListRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after,omitempty"`
	Limit  int    `json:"limit"`
}

// ListReply is the answer to list.
type ListReply struct {
	Items []Item `json:"items"`
}

// WatchRequest is the body of watch.
type WatchRequest struct {
	Prefix     string  `json:"prefix"`
	From       Version `json:"from"`
	WaitMillis int64   `json:"waitMillis"`
}

// Wait returns the longest time that the service holds the call.
func (r WatchRequest) Wait() time.Duration { return time.Duration(r.WaitMillis) * time.Millisecond }

// WatchReply is the answer to watch.
type WatchReply struct {
	Events  []Event `json:"events"`
	Version Version `json:"version"`
}

// LeaseRequest is the body of grant, keepAlive and revoke. Grant uses the
// time to live, the others the id.
type LeaseRequest struct {
	ID        LeaseID `json:"id,omitempty"`
	TTLMillis int64   `json:"ttlMillis,omitempty"`
}

// TTL returns the time to live.
func (r LeaseRequest) TTL() time.Duration { return time.Duration(r.TTLMillis) * time.Millisecond }

// LeaseReply is the answer to grant.
type LeaseReply struct {
	ID LeaseID `json:"id"`
}

// EmptyReply is the answer to a call without a result.
type EmptyReply struct{}
