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

// Fetch returns the kept answer to a request of the token's account. The
// failure tells done when the request has run and its answer is gone, and
// unknown when nothing is certain.
func (f *Frontend) Fetch(ctx context.Context, token Token, request id.Request) (answers.Response, error) {
	account, ok := f.account(token)
	if !ok {
		return answers.Response{}, failed(outcome.Unknown, 0, problem.New(problem.Unauthenticated, problem.Detail{
			Field: "token", Remedy: "send a valid token as Authorization: Bearer TOKEN"}))
	}
	key := f.keyOf(account.Name, request)
	result, seen, err := f.config.Deduplicator.Lookup(ctx, key)
	if err != nil {
		seen = false // the answer may still be kept
	}
	response, err := f.config.Responses.Fetch(ctx, key, result.Node)
	if err == nil {
		return response, nil
	}
	return answers.Response{}, f.noResponse(request, result, seen, err)
}

func (f *Frontend) noResponse(request id.Request, result once.Result, seen bool, err error) error {
	if !problem.Is(err, problem.NotFound) {
		return failed(outcome.Unknown, time.Second, err)
	}
	d := problem.Detail{Field: "answer", Value: string(request), Limit: f.config.Retention.String()}
	switch {
	case seen && result.Status == once.Done:
		d.Remedy = "the request has run, and its answer is no longer kept"
		return failed(outcome.Done, 0, problem.New(problem.NotFound, d))
	case seen && result.Status == once.InProgress:
		d.Remedy = "ask again later; the request is in progress"
		return failed(outcome.Unknown, time.Second, problem.New(problem.NotFound, d))
	}
	d.Remedy = "nothing is known about this id; a request that is not idempotent may be sent again with the same id"
	return failed(outcome.Unknown, 0, problem.New(problem.NotFound, d))
}
