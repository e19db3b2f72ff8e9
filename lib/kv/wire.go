package kv

import "time"

// Version is the revision of the service at which an item last changed. Zero means
// that the item is absent.
type Version uint64

// LeaseID identifies a lease. The empty id means that there is no lease.
type LeaseID string

// MaxValue is the maximum size of a value in bytes.
const MaxValue = 1 << 20

// ClientHeader is the header with the name of the client. The service counts calls
// and limits their rate by this name.
const ClientHeader = "Kv-Client"

// Item is a key with its value.
type Item struct {
	Key     string  `json:"key"`
	Value   []byte  `json:"value,omitempty"`
	Version Version `json:"version"`
	Lease   LeaseID `json:"lease,omitempty"`
}

// Event is one change of an item. The event of a deletion has no value. It has the
// version of the deletion and the lease of the deleted item.
type Event struct {
	Item
	Deleted bool `json:"deleted,omitempty"`
}

// Op is an operation of the service. Its name is the last element of the URL path.
type Op string

// The operations. All of them are POST requests to /v1/<op>.
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

// Ops lists all operations.
var Ops = []Op{OpGet, OpPut, OpDelete, OpList, OpWatch, OpGrant, OpKeepAlive, OpRevoke}

// Writes reports whether the operation changes the state of the service.
func (o Op) Writes() bool {
	return o != OpGet && o != OpList && o != OpWatch
}

// KeyRequest is the request body of get and delete. Get does not use Expect.
type KeyRequest struct {
	Key    string  `json:"key"`
	Expect Version `json:"expect,omitempty"`
}

// PutRequest is the request body of put.
type PutRequest struct {
	Key    string  `json:"key"`
	Value  []byte  `json:"value"`
	Expect Version `json:"expect"`
	Lease  LeaseID `json:"lease,omitempty"`
}

// VersionReply is the response body of put.
type VersionReply struct {
	Version Version `json:"version"`
}

// ListRequest is the request body of list.
type ListRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after,omitempty"`
	Limit  int    `json:"limit"`
}

// ListReply is the response body of list.
type ListReply struct {
	Items []Item `json:"items"`
}

// WatchRequest is the request body of watch.
type WatchRequest struct {
	Prefix     string  `json:"prefix"`
	From       Version `json:"from"`
	WaitMillis int64   `json:"waitMillis"`
}

// Wait returns the maximum time that the service waits for a change.
func (r WatchRequest) Wait() time.Duration { return time.Duration(r.WaitMillis) * time.Millisecond }

// WatchReply is the response body of watch.
type WatchReply struct {
	Events  []Event `json:"events"`
	Version Version `json:"version"`
}

// LeaseRequest is the request body of grant, keepAlive and revoke. Grant uses the
// time to live, the other operations use the id.
type LeaseRequest struct {
	ID        LeaseID `json:"id,omitempty"`
	TTLMillis int64   `json:"ttlMillis,omitempty"`
}

// TTL returns the time to live of the lease.
func (r LeaseRequest) TTL() time.Duration { return time.Duration(r.TTLMillis) * time.Millisecond }

// LeaseReply is the response body of grant.
type LeaseReply struct {
	ID LeaseID `json:"id"`
}

// EmptyReply is the response body of operations without a result.
type EmptyReply struct{}
