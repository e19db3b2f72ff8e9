package caller

import (
	"context"
	"time"

	"bronzewinch.dev/lib/answers"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/once"
	"bronzewinch.dev/lib/outcome"
	"bronzewinch.dev/lib/problem"
)

// Fetch returns the stored response to a request of the token's account. If the
// request has run but its response is no longer stored, the outcome of the
// failure is done, otherwise unknown.
func (f *Frontend) Fetch(ctx context.Context, token Token, request id.Request) (answers.Response, error) {
	account, ok := f.account(token)
	if !ok {
		return answers.Response{}, failed(outcome.Unknown, 0, problem.New(problem.Unauthenticated, problem.Detail{
			Field: "token", Remedy: "send a valid token as Authorization: Bearer TOKEN"}))
	}
	key := f.keyOf(account.Name, request)
	result, seen, err := f.config.Deduplicator.Lookup(ctx, key)
	if err != nil {
		seen = false // the response may still be stored
	}
	response, err := f.config.Responses.Fetch(ctx, key, result.Node)
	if err == nil {
		return response, nil
	}
	return answers.Response{}, f.noResponse(request, result, seen, err)
}

// noResponse returns the failure of a Fetch that found no response.
func (f *Frontend) noResponse(request id.Request, result once.Result, seen bool, err error) error {
	if !problem.Is(err, problem.NotFound) {
		return failed(outcome.Unknown, time.Second, err)
	}
	d := problem.Detail{Field: "answer", Value: string(request), Limit: f.config.Retention.String()}
	switch {
	case seen && result.Status == once.Done:
		d.Remedy = "the request has run, and its response is no longer stored"
		return failed(outcome.Done, 0, problem.New(problem.NotFound, d))
	case seen && result.Status == once.InProgress:
		d.Remedy = "retry later; the request is in progress"
		return failed(outcome.Unknown, time.Second, problem.New(problem.NotFound, d))
	}
	d.Remedy = "no request with this id is known; a request that is not idempotent may be sent again with the same id"
	return failed(outcome.Unknown, 0, problem.New(problem.NotFound, d))
}
