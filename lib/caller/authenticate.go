package caller

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/outcome"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/route"
	"bronzewinch.dev/lib/unit"
)

// authenticated is a request of a known account for a known service.
type authenticated struct {
	*Request
	account  record.Account
	service  *service
	position route.Position
	deadline time.Time
	key      id.Request
}

// received is a request whose body was read completely.
type received struct {
	authenticated
	body []byte
	// release returns the permit of the request. It may be called more than once.
	release func()
}

// authenticator finds the account of the token and the requested service, and
// checks the request line and headers.
type authenticator struct{ frontend *Frontend }

// Process rejects a token that belongs to no account, an unknown service and an
// invalid request.
func (a *authenticator) Process(_ context.Context, r *Request) (authenticated, error) {
	account, ok := a.frontend.account(r.Token)
	if err := a.frontend.configured(); !ok && err != nil {
		// The token may be valid in the configuration, which is not read yet.
		return authenticated{}, failed(outcome.NotRun, time.Second, err)
	}
	if !ok {
		return authenticated{}, notRun(problem.Unauthenticated, problem.Detail{
			Field: "token", Remedy: "send a valid token as Authorization: Bearer TOKEN"})
	}
	all := a.frontend.services.Load()
	s := all.byName[r.Service]
	if s == nil {
		return authenticated{}, notRun(problem.NotFound, problem.Detail{
			Field: "service", Value: string(r.Service), Remedy: "use the name of a configured service"})
	}
	if r.AtMostOnce && r.ID == "" {
		return authenticated{}, notRun(problem.Invalid, problem.Detail{
			Field: "request id", Remedy: "send Bronzewinch-Request-Id with a request that is not idempotent"})
	}
	if r.BodySize > s.record.MaxRequest {
		return authenticated{}, tooLarge(s.record.MaxRequest)
	}
	timeout := s.record.Timeout
	if r.Timeout > 0 && r.Timeout < timeout {
		timeout = r.Timeout
	}
	return authenticated{Request: r, account: account, service: s, position: all.position,
		deadline: r.Arrived.Add(timeout), key: a.frontend.keyOf(account.Name, r.ID)}, nil
}

// receiver reads the whole body before the request occupies a slot, so that a slow
// sender does not occupy one. It bounds the total memory of all bodies.
type receiver struct {
	frontend *Frontend
	next     interface {
		Process(context.Context, received) (Reply, error)
	}
}

// Process reads the body and calls the next stage.
func (r *receiver) Process(ctx context.Context, in authenticated) (Reply, error) {
	if in.ReadBody == nil || in.BodySize == 0 {
		return r.next.Process(ctx, received{authenticated: in})
	}
	limit := r.frontend.config.MaxBodyBytes
	full := func() (Reply, error) {
		return Reply{}, rejectEarly(ctx, r.frontend, in, time.Second, problem.New(problem.Overloaded, problem.Detail{
			Field: "request bodies", Limit: limit.String(), Remedy: "retry later"}))
	}
	if !r.frontend.inFlight.hasRoom(in.BodySize, limit) {
		return full()
	}
	body, err := in.ReadBody(in.service.record.MaxRequest)
	if err != nil {
		return Reply{}, rejectEarly(ctx, r.frontend, in, 0, err)
	}
	// A body counts once it has arrived. If it counted with the size that its client has
	// announced, a few clients that send no more than the headers would lock out the others.
	size := unit.Bytes(len(body))
	if !r.frontend.inFlight.reserveBody(size, limit) {
		return full()
	}
	defer r.frontend.inFlight.releaseBody(size)
	if unit.Bytes(len(body)) > in.service.record.MaxRequest {
		return Reply{}, tooLarge(in.service.record.MaxRequest)
	}
	return r.next.Process(ctx, received{authenticated: in, body: body})
}

func tooLarge(limit unit.Bytes) error {
	return notRun(problem.Invalid, problem.Detail{
		Field: "body", Limit: limit.String(), Remedy: "send a smaller body"})
}

// rejectEarly returns the failure of a request that was not forwarded. This
// submission did not run, but an earlier one with the same id may have, which a
// lookup at the owner shows.
func rejectEarly(ctx context.Context, frontend *Frontend, in authenticated, retryAfter time.Duration, cause error) error {
	if !in.AtMostOnce {
		return failed(outcome.NotRun, retryAfter, cause)
	}
	if _, seen, err := frontend.config.Deduplicator.Lookup(ctx, in.key); seen || err != nil {
		return failed(outcome.Unknown, retryAfter, cause)
	}
	return failed(outcome.NotRun, retryAfter, cause)
}

// tokenIndex finds accounts by the first bytes of the hash of a token.
type tokenIndex struct{ byPrefix map[[8]byte][]hashedToken }

type hashedToken struct {
	hash    [sha256.Size]byte
	account id.Account
	set     *record.Set
}

func newTokenIndex(set *record.Set) *tokenIndex {
	index := &tokenIndex{byPrefix: make(map[[8]byte][]hashedToken)}
	for name, account := range set.Accounts {
		for _, t := range account.Tokens {
			h := hashedToken{account: name, set: set}
			if n, err := hex.Decode(h.hash[:], []byte(t)); err != nil || n != sha256.Size {
				continue
			}
			prefix := [8]byte(h.hash[:8])
			index.byPrefix[prefix] = append(index.byPrefix[prefix], h)
		}
	}
	return index
}

// account returns the account of a token. Full hashes are compared in constant
// time; the prefix only selects the candidates.
func (f *Frontend) account(t Token) (record.Account, bool) {
	hash := sha256.Sum256([]byte(t))
	for _, h := range f.tokens.Load().byPrefix[[8]byte(hash[:8])] {
		if subtle.ConstantTimeCompare(h.hash[:], hash[:]) == 1 {
			return h.set.Accounts[h.account], true
		}
	}
	return record.Account{}, false
}
