// Package vmlist reads the platform's list of VMs over HTTP. The list is updated
// with a delay: it may show a failure or the start of a departure of a VM some
// seconds late.
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

// State is the state of a VM as reported by the platform.
type State string

// The states of a VM.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Role is the purpose of a VM.
type Role string

// The roles of VMs.
const (
	Entry   Role = "entry"
	Backend Role = "backend"
)

// VM is an entry of the list.
type VM struct {
	// Name is the node id for an entry VM, and the name of the backend server for
	// a backend VM.
	Name string  `json:"name"`
	Role Role    `json:"role"`
	Zone id.Zone `json:"zone"`
	// Address is the IP address and port on which other nodes reach the VM.
	Address string `json:"address"`
	State   State  `json:"state"`
}

// List is a list of VMs. It may be out of date.
type List struct {
	VMs []VM `json:"vms"`
}

// maxListSize is the maximum size of an encoded list. It is enough for about ten
// thousand VMs.
const maxListSize = 2 * unit.MiB

// Config configures a Client.
type Config struct {
	// URL is the URL of the list, for example "http://10.0.0.5:7002/v1/vms".
	URL string
	// Timeout is the maximum duration of one read.
	Timeout time.Duration
	// HTTP is the HTTP client; nil means one with default settings.
	HTTP *http.Client
}

// Client reads the list. It caches the last list and its entity tag.
type Client struct {
	config Config

	mu   sync.Mutex
	last List
	etag string // entity tag of last; empty when the platform sent none
}

func New(c Config) *Client {
	if c.HTTP == nil {
		c.HTTP = &http.Client{}
	}
	return &Client{config: c}
}

// Read returns the current list. If the platform sends entity tags, an unchanged
// list is not transferred again. Read returns an Unavailable error when the platform
// returns no valid list; the caller should continue with its last list.
func (c *Client) Read(ctx context.Context) (List, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.config.URL, nil)
	if err != nil {
		return List{}, errors.Wrap(err, "create request for the VM list")
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
		return List{}, unavailable(errors.Newf("VM list response has status %d and at least %d bytes (limit: %v)", resp.StatusCode, len(body), maxListSize))
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
		Field: "VM list", Remedy: "use the last list and retry later"}), cause)
}
