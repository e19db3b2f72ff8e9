// Package controller is the runtime of the scheduler on the node that owns it. Calls
// of clients and reports of workers pass the stages authenticate, route,
// decide, plan, store, release: a cycle takes all events that wait, lets the
// planner decide on them, stores what has changed in one transaction, and only
// then answers callers and sends orders.
package controller

import (
	"context"
	"strings"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/kv"
	"bronzewinch.dev/lib/task"
	"bronzewinch.dev/lib/unit"
)

// Verb is what a caller asks for.
type Verb string

// The verbs of calls.
const (
	Submit Verb = "submit"
	Query  Verb = "look"
	Cancel Verb = "cancel"
)

// Request is one call of a client, as the front of any node took it.
type Request struct {
	Verb Verb   `cbor:"verb"`
	Host string `cbor:"host"`
	Path string `cbor:"path"`
	Key  string `cbor:"key,omitempty"`
	// Job is the body of Submit, without the parts that the route gives.
	Job *task.Job `cbor:"job,omitempty"`
}

// Outcome tells what became of a call.
type Outcome string

// The outcomes of calls.
const (
	// OK means that the call was carried out, and is stored.
	OK Outcome = "ok"
	// Unauthorized means that no account has the key.
	Unauthorized Outcome = "unauthorized"
	// NoQueue means that no queue has the host and path.
	NoQueue Outcome = "noQueue"
	// NoJob means that the queue has no such job.
	NoJob Outcome = "noJob"
	// Malformed means that the job breaks a documented limit.
	Malformed Outcome = "malformed"
	// Refused means that the call was not and will not be carried out.
	Refused Outcome = "refused"
	// Unknown means that the call may have been carried out.
	Unknown Outcome = "unknown"
)

// Reply is the answer to a Request.
type Reply struct {
	Outcome Outcome    `cbor:"outcome"`
	State   task.State `cbor:"state,omitempty"`
	Waiting int        `cbor:"waiting,omitempty"`
	// IsQueue tells that Waiting is the answer.
	IsQueue bool   `cbor:"isQueue,omitempty"`
	Detail  string `cbor:"detail,omitempty"`
	// RetryAfter is when a refused caller should come again.
	RetryAfter time.Duration `cbor:"retryAfter,omitempty"`
}

// Route maps calls to a queue.
type Route struct {
	task.Queue
	Host   string
	Prefix string
	// Public routes take calls without a key.
	Public bool
}

// Account is a client account with its keys and its guarantee.
type Account struct {
	Name       id.Account
	Keys       []string
	Guaranteed unit.Accelerators
}

// Configuration is what the operators have put into force.
type Configuration struct {
	// Number is the operators' own, for people.
	Number uint64
	// Version is the store's, which orders configurations.
	Version  kv.Version
	Routes   []Route
	Accounts []Account
}

// Update is what a list of the platform says at a version, or how it changed.
type Update struct {
	Version kv.Version
	Config  *Configuration
	Workers []task.Worker
	Removed []id.Worker
	// Waves are those that the operators ask for, and Withdrawn those that they
	// ask for no more.
	Waves     []task.Wave
	Withdrawn []task.WaveNumber
	// Unchanged means that nothing changed during the whole wait.
	Unchanged bool
	// Skipped counts entries that could not be read.
	Skipped int
}

// directory answers which account a key belongs to and which queue a path
// leads to. It never changes; a new configuration makes a new one.
type directory struct {
	config   Configuration
	accounts map[string]id.Account
	hosts    map[string][]Route
}

func newDirectory(c Configuration) *directory {
	d := &directory{config: c, accounts: make(map[string]id.Account), hosts: make(map[string][]Route)}
	for _, a := range c.Accounts {
		for _, k := range a.Keys {
			d.accounts[k] = a.Name
		}
	}
	for _, r := range c.Routes {
		d.hosts[r.Host] = append(d.hosts[r.Host], r)
	}
	return d
}

// route returns the route of the longest prefix of a path, and the rest.
func (d *directory) route(host, path string) (Route, string, bool) {
	if h, _, ok := strings.Cut(host, ":"); ok {
		host = h
	}
	var best *Route
	for i, r := range d.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = &d.hosts[host][i]
		}
	}
	if best == nil {
		return Route{}, "", false
	}
	return *best, strings.TrimPrefix(path, best.Prefix), true
}

// call is a request on its way through the stages.
type call struct {
	Request
	dir     *directory
	account id.Account
	route   Route
	job     id.Job
}

// finalReply carries the final reply out of the stages.
type finalReply struct{ reply Reply }

// Error is never shown; the reply tells what happened.
func (e finalReply) Error() string { return string(e.reply.Outcome) }

func (ctrl *Controller) findRoute(_ context.Context, c call) (call, error) {
	route, rest, ok := c.dir.route(c.Host, c.Path)
	if !ok {
		return c, finalReply{Reply{Outcome: NoQueue, Detail: "use a host and path of a queue in the configuration"}}
	}
	c.route, c.job = route, id.Job(rest)
	return c, nil
}

func (ctrl *Controller) authenticate(_ context.Context, c call) (call, error) {
	account, ok := c.dir.accounts[c.Key]
	if !ok && !c.route.Public {
		return c, finalReply{Reply{Outcome: Unauthorized, Detail: "send a current key of the client account"}}
	}
	c.account = account
	return c, nil
}

// jobIDLen is the length of a job id in hexadecimal digits.
const jobIDLen = 16

func (ctrl *Controller) checkJob(_ context.Context, c call) (call, error) {
	if c.job == "" && c.Verb == Query {
		return c, nil
	}
	valid := len(c.job) == jobIDLen && strings.Trim(string(c.job), "0123456789abcdefABCDEF") == ""
	switch {
	case !valid && c.Verb == Submit:
		return c, finalReply{Reply{Outcome: Malformed, Detail: "the job id must have 16 hexadecimal digits; choose another id"}}
	case !valid:
		return c, finalReply{Reply{Outcome: NoJob, Detail: "the job id must have 16 hexadecimal digits"}}
	case c.Verb == Submit && c.Job == nil:
		return c, finalReply{Reply{Outcome: Malformed, Detail: "the body is missing; send spec and steps"}}
	}
	return c, nil
}
