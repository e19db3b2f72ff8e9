// Package controller is the runtime of the scheduler on the node that owns it.
// Client calls pass through the stages route, authenticate and check. Queries and
// submissions of known jobs are answered immediately. Other calls, worker reports
// and list changes are queued as events. A cycle takes queued events, has the
// planner decide on them and plan, stores the changes, and only then replies to
// callers and sends orders. The changes of a cycle are stored in one transaction,
// or in several if they exceed the limit of a transaction.
package controller

import (
	"context"
	"strings"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/kv"
	"bronzewinch.dev/lib/planner"
	"bronzewinch.dev/lib/task"
	"bronzewinch.dev/lib/unit"
)

// Verb is the operation that a caller requests.
type Verb string

// The verbs of calls.
const (
	Submit Verb = "submit"
	Query  Verb = "look"
	Cancel Verb = "cancel"
)

// Request is one client call, as received by the frontend of any node.
type Request struct {
	Verb Verb   `cbor:"verb"`
	Host string `cbor:"host"`
	Path string `cbor:"path"`
	Key  string `cbor:"key,omitempty"`
	// Job is the body of Submit, without the fields that are set from the route
	// and the path.
	Job *task.Job `cbor:"job,omitempty"`
}

// Outcome is the result of a call.
type Outcome string

// The outcomes of calls.
const (
	// OK means that the call was executed and its effect is stored.
	OK Outcome = "ok"
	// Unauthorized means that the key belongs to no account.
	Unauthorized Outcome = "unauthorized"
	// NoQueue means that no queue matches the host and path.
	NoQueue Outcome = "noQueue"
	// NoJob means that the queue has no such job.
	NoJob Outcome = "noJob"
	// Malformed means that the job violates a documented limit.
	Malformed Outcome = "malformed"
	// Refused means that the call was not executed and will not be.
	Refused Outcome = "refused"
	// Unknown means that the call may have been executed.
	Unknown Outcome = "unknown"
)

// Reply is the answer to a Request.
type Reply struct {
	Outcome Outcome    `cbor:"outcome"`
	State   task.State `cbor:"state,omitempty"`
	Waiting int        `cbor:"waiting,omitempty"`
	// IsQueue means that the reply is about a queue, in Waiting.
	IsQueue bool   `cbor:"isQueue,omitempty"`
	Detail  string `cbor:"detail,omitempty"`
	// RetryAfter is the delay after which a refused caller should retry.
	RetryAfter time.Duration `cbor:"retryAfter,omitempty"`
}

// Route maps calls to a queue.
type Route struct {
	task.Queue
	Host   string
	Prefix string
	// Public routes accept calls without a key.
	Public bool
}

// Account is a client account with its keys and its guaranteed accelerators.
type Account struct {
	Name       id.Account
	Keys       []string
	Guaranteed unit.Accelerators
}

// Configuration is a configuration that the operators have put into force.
type Configuration struct {
	// Number is the operators' own version number. It only appears in logs.
	Number uint64
	// Version is the version in the store, which orders configurations.
	Version  kv.Version
	Routes   []Route
	Accounts []Account
}

// Update is the state of a list of the platform at a version, or a change of
// it.
type Update struct {
	Version kv.Version
	Config  *Configuration
	Workers []task.Worker
	Removed []id.Worker
	// Waves are the waves that the operators request, and Withdrawn those that
	// they have withdrawn.
	Waves     []task.Wave
	Withdrawn []task.WaveNumber
	// Evacuations holds, for each zone of which the request to evacuate it has changed,
	// whether it is requested now. A complete state holds the requested zones.
	Evacuations map[id.Zone]bool
	// Unchanged means that nothing changed until the watch timed out.
	Unchanged bool
	// Skipped counts entries that could not be decoded.
	Skipped int
}

// directory maps keys to accounts and paths to routes. It is immutable; each
// new configuration gets a new directory.
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

// route returns the route with the longest prefix of a path, and the rest of
// the path.
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

// call is a request with the results of the stages that it has passed.
type call struct {
	Request
	dir     *directory
	account id.Account
	route   Route
	job     id.Job
}

// noJob is also the reply about a job of another account, which must not learn that
// the job exists.
var noJob = Reply{Outcome: NoJob, Detail: "no job of this queue has this id; check the id"}

// permits reports whether the caller may see and cancel a job: one of the queue that it
// calls, and of its own account. Callers of public routes, and jobs submitted without a
// key, have no account to compare.
func (c call) permits(j planner.Status) bool {
	return j.Queue == c.route.Name && (c.route.Public || j.Account == "" || j.Account == c.account)
}

// finalReply is the error with which a stage ends the processing of a call. It
// carries the reply.
type finalReply struct{ reply Reply }

// Error returns the outcome. It is never shown, because the caller receives the
// reply.
func (e finalReply) Error() string { return string(e.reply.Outcome) }

func (ctrl *Controller) findRoute(_ context.Context, c call) (call, error) {
	route, rest, ok := c.dir.route(c.Host, c.Path)
	if !ok {
		return c, finalReply{Reply{Outcome: NoQueue, Detail: "no queue matches the host and path; use those of a queue in the configuration"}}
	}
	c.route, c.job = route, id.Job(rest)
	return c, nil
}

func (ctrl *Controller) authenticate(_ context.Context, c call) (call, error) {
	account, ok := c.dir.accounts[c.Key]
	if (!ok || c.Key == "") && !c.route.Public {
		return c, finalReply{Reply{Outcome: Unauthorized,
			Detail: "the key belongs to no client account; send a current key of the client account"}}
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
