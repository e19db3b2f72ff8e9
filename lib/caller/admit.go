package caller

import (
	"context"
	"crypto/sha256"
	"time"

	"bronzewinch.dev/lib/answers"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/limit"
	"bronzewinch.dev/lib/once"
	"bronzewinch.dev/lib/outcome"
	"bronzewinch.dev/lib/pipe"
	"bronzewinch.dev/lib/problem"
)

// identified is a request that may be forwarded, or the known answer to an
// earlier submission of it.
type identified struct {
	received
	run    once.RunNumber
	answer *answers.Response
}

// limiter holds a permit while the rest of the path runs.
type limiter struct {
	front *Frontend
	next  pipe.Filter[received, Reply]
}

// Process waits for a permit and passes the request on.
func (l *limiter) Process(ctx context.Context, in received) (Reply, error) {
	// Without backend servers the request would wait in vain.
	if err := in.service.routes.CheckServers(); err != nil {
		return Reply{}, refusedEarly(ctx, l.front, in.authenticated, time.Second, err)
	}
	limits := in.service.limits
	ticket, retryAfter, err := limits.Admit(limitsOf(in.account, in.nodes), in.deadline, l.front.config.Clock.Now())
	if err != nil {
		l.front.counts.refused.Inc()
		return Reply{}, refusedEarly(ctx, l.front, in.authenticated, retryAfter, err)
	}
	in.release = func() { limits.Release(ticket, l.front.config.Clock.Now()) }
	defer in.release()
	if err := l.wait(ctx, limits, ticket, in); err != nil {
		return Reply{}, refusedEarly(ctx, l.front, in.authenticated, 0, err)
	}
	return l.next.Process(ctx, in)
}

// wait waits until the permit is granted. A request whose caller is gone is
// not started.
func (l *limiter) wait(ctx context.Context, limits *limit.Limiter, ticket *limit.Permit, in received) error {
	if ticket.Ready == nil {
		return nil
	}
	late := l.front.config.Clock.After(in.deadline.Sub(l.front.config.Clock.Now()))
	defer late.Stop()
	select {
	case <-ticket.Ready:
		if limits.Granted(ticket) {
			return nil
		}
	case <-late.C:
	case <-ctx.Done():
	}
	l.front.counts.dropped.Inc()
	return problem.New(problem.Expired, problem.Detail{
		Field: "deadline", Remedy: "try again later, or with a later deadline; the request waited for a slot"})
}

// finishTimeout bounds the wait for the journal after the answer is there.
const finishTimeout = 2 * time.Second

// identifier asks the owner of the request shard whether a request that is not
// idempotent may run.
type identifier struct{ front *Frontend }

// Process passes on what may run or has a known answer.
func (i *identifier) Process(ctx context.Context, in received) (identified, error) {
	if !in.AtMostOnce {
		return identified{received: in}, nil
	}
	left := in.deadline.Sub(i.front.config.Clock.Now())
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	v, err := i.front.config.Deduplicator.Begin(ctx, in.key, fingerprint(in), left)
	if err != nil {
		return identified{}, i.beginFailed(ctx, in, err)
	}
	switch v.Status {
	case once.Allowed:
		return identified{received: in, run: v.Run}, nil
	case once.Done:
		return i.known(ctx, in, v)
	case once.InProgress:
		return identified{}, failed(outcome.Unknown, time.Second, problem.New(problem.Conflict, problem.Detail{
			Field: "request id", Value: string(in.ID), Limit: "one submission in progress",
			Remedy: "fetch the answer from /v1/requests/" + string(in.ID) + " later"}))
	case once.Refused:
		return identified{}, failed(outcome.NotRun, time.Second, problem.New(problem.Unavailable, problem.Detail{
			Field: "journal", Remedy: "try again later with the same id"}))
	}
	return identified{}, failed(outcome.Unknown, 0, problem.New(problem.Unknown, problem.Detail{
		Field: "request id", Value: string(in.ID),
		Remedy: "the request may have run; check its effect before using a new id"}))
}

// known fetches the answer to an earlier submission.
func (i *identifier) known(ctx context.Context, in received, v once.Result) (identified, error) {
	a, err := i.front.config.Responses.Fetch(ctx, in.key, v.Node)
	if err != nil {
		return identified{}, failed(outcome.Done, 0, problem.New(problem.NotFound, problem.Detail{
			Field: "answer", Value: string(in.ID), Limit: i.front.config.Retention.String(),
			Remedy: "the request has run, and its answer is no longer kept"}))
	}
	return identified{received: in, answer: &a}, nil
}

// beginFailed tells notRun for errors about this submission, and when the
// owner, asked again, knows no run of the id: nothing of this submission was
// forwarded, so a run that a late call still begins does not happen. An owner
// that was not found in the time of a takeover is not asked again.
func (i *identifier) beginFailed(ctx context.Context, in received, err error) error {
	switch problem.KindOf(err) {
	case problem.Conflict, problem.Invalid:
		return failed(outcome.NotRun, 0, err)
	case problem.NotOwner:
		return failed(outcome.Unknown, time.Second, err)
	}
	in.release()
	return refusedEarly(ctx, i.front, in.authenticated, time.Second, err)
}

func fingerprint(in received) (f once.Fingerprint) {
	h := sha256.New()
	for _, part := range []string{string(in.Service), in.Method, in.Target} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(in.body)
	h.Sum(f[:0])
	return f
}

// finish tells the owner how the run ended. When that fails, a duplicate is
// told unknown, which is true.
func (f *Frontend) finish(ctx context.Context, key id.Request, run once.RunNumber, o outcome.Outcome) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
	defer cancel()
	if err := f.config.Deduplicator.Finish(ctx, key, run, o, f.config.Node); err != nil {
		f.counts.unfinished.Inc()
	}
}
