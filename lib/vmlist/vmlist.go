// Package vmlist reads the platform's list of VMs over HTTP. The list lags:
// a VM may have failed or begun to leave some seconds before the list says so.
package vmlist

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/unit"

	"github.com/cockroachdb/errors"
)

// State is what the platform says of a VM.
type State string

// The states of a VM.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Role says what a VM is for.
type Role string

// The roles of VMs.
const (
	Entry   Role = "entry"
	Backend Role = "backend"
)

// VM is one VM of the list.
type VM struct {
	// Name is the node id of an entry VM, or the name of a backend server.
	Name string  `json:"name"`
	Role Role    `json:"role"`
	Zone id.Zone `json:"zone"`
	// Address is the IP address and port at which other nodes reach the VM.
	Address string `json:"address"`
	State   State  `json:"state"`
}

// List is the VMs as the platform saw them at some time before now.
type List struct {
	VMs []VM `json:"vms"`
}

// maxListSize is the greatest size of a list. It holds some ten thousand VMs.
const maxListSize = 2 * unit.MiB

// Config configures a Client.
type Config struct {
	// URL is the address of the list, for example "http://10.0.0.5:7002/v1/vms".
	URL string
	// Timeout is the longest time for one read.
	Timeout time.Duration
	// HTTP is the client to use; nil for one with default settings.
	HTTP *http.Client
}

// Client reads the list.
type Client struct {
	config Config

	mu   sync.Mutex
	last List
	etag string // entity tag of last; empty when the platform gave none
}

// New returns a client.
func New(c Config) *Client {
	if c.HTTP == nil {
		c.HTTP = &http.Client{}
	}
	return &Client{config: c}
}

// Read returns the present list. Where the platform gives entity tags, a list
// that has not changed is not sent again. It returns an Unavailable error when the
// platform does not answer; the caller goes on with the list it has.
func (c *Client) Read(ctx context.Context) (List, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.config.URL, nil)
	if err != nil {
		return List{}, errors.Wrap(err, "VM list address")
	}
	last, etag := c.cached()
	if etag != "" {
		req.Header.Set("If-None-Match", etag)
	}
	resp, err := c.config.HTTP.Do(req)
	if err != nil {
		return List{}, unavailable(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotModified && etag != "" {
		return last, nil
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(maxListSize)+1))
	if err != nil {
		return List{}, unavailable(err)
	}
	if resp.StatusCode != http.StatusOK || len(body) > int(maxListSize) {
		return List{}, unavailable(errors.Newf("status %d, %d bytes", resp.StatusCode, len(body)))
	}
	var list List
	if err := json.Unmarshal(body, &list); err != nil {
		return List{}, unavailable(err)
	}
	c.store(list, resp.Header.Get("ETag"))
	return list, nil
}

func (c *Client) cached() (List, string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last, c.etag
}

func (c *Client) store(list List, etag string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last, c.etag = list, etag
}

func unavailable(cause error) error {
	return errors.WithSecondaryError(problem.New(problem.Unavailable, problem.Detail{
		Field: "VM list", Remedy: "use the last list and try again later"}), cause)
}
