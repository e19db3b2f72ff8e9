package operator

import (
	"context"
	"net/http"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/token"
)

// Caller is the authenticated sender of a request: an operator or a client
// account.
type Caller struct {
	Operator id.Operator
	Account  id.Account
}

// MayAccess reports whether the caller may submit, see and cancel the jobs of an
// account.
func (c Caller) MayAccess(account id.Account) bool { return c.Operator != "" || c.Account == account }

// Access is the set of callers that may use a request.
type Access int

// Operators may use all requests. Accounts may use only requests about their own
// jobs, which are open to Everyone.
const (
	Operators Access = iota
	Everyone
)

// identify returns the caller to whom a token belongs. It compares the token with
// all records, so that its run time does not reveal which one matched.
func identify(s *record.Set, t token.Token) (Caller, error) {
	var found Caller
	for name, o := range s.Operators {
		if t.Matches(o.Tokens) {
			found = Caller{Operator: name}
		}
	}
	for name, a := range s.Accounts {
		if t.Matches(a.Tokens) {
			found = Caller{Account: name}
		}
	}
	if found == (Caller{}) {
		return found, problem.New(problem.Unauthenticated, problem.Detail{Field: "token",
			Remedy: "send the header Authorization: Bearer TOKEN with a token of an operator or account record in force"})
	}
	return found, nil
}

// BootstrapName is the author of changes made with the bootstrap token.
const BootstrapName id.Operator = "bootstrap"

// call is an authenticated request.
type call struct {
	http   *http.Request
	caller Caller
}

// authenticate is the first stage of all requests. It identifies the caller by
// the token.
func (f *Frontend) authenticate(_ context.Context, r *http.Request) (call, error) {
	s := f.Configuration.Current()
	// Before the node has read the configuration, it can't tell which tokens are
	// valid, nor whether the bootstrap token still is.
	if s == nil || s.Revision == 0 && f.Ready() != nil {
		return call{}, problem.New(problem.Unavailable, problem.Detail{Field: "configuration",
			Remedy: "wait until this node has read the configuration, or send the request to another node"})
	}
	t := token.FromRequest(r)
	if len(s.Operators) == 0 && t.Matches([]record.TokenHash{f.Bootstrap}) {
		return call{r, Caller{Operator: BootstrapName}}, nil
	}
	caller, err := identify(s, t)
	return call{r, caller}, err
}

// authorize returns the stage that rejects callers without the required access.
func authorize(access Access) func(context.Context, call) (call, error) {
	return func(_ context.Context, c call) (call, error) {
		if access == Operators && c.caller.Operator == "" {
			return c, problem.New(problem.Denied, problem.Detail{Field: "token", Value: string(c.caller.Account),
				Limit: "operators only", Remedy: "use the token of an operator"})
		}
		return c, nil
	}
}
