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
	run            once.RunNumber
	storedResponse *answers.Response
}

// limiter holds a permit while the rest of the path runs.
type limiter struct {
	frontend *Frontend
	next     pipe.Filter[received, Reply]
}

// Process waits for a permit and passes the request on.
func (l *limiter) Process(ctx context.Context, in received) (Reply, error) {
	// Without backend servers the request would wait in vain.
	if err := in.service.routes.CheckServers(); err != nil {
		return Reply{}, rejectEarly(ctx, l.frontend, in.authenticated, time.Second, err)
	}
	limits := in.service.limits
	permit, retryAfter, err := limits.Admit(limitsOf(in.account, in.position), in.deadline, l.frontend.config.Clock.Now())
	if err != nil {
		l.frontend.counts.rejected.Inc()
		return Reply{}, rejectEarly(ctx, l.frontend, in.authenticated, retryAfter, err)
	}
	in.release = func() { limits.Release(permit, l.frontend.config.Clock.Now()) }
	defer in.release()
	if err := l.wait(ctx, limits, permit, in); err != nil {
		return Reply{}, rejectEarly(ctx, l.frontend, in.authenticated, 0, err)
	}
	return l.next.Process(ctx, in)
}

// wait waits until the permit is granted. A request whose caller is gone is
// not started.
func (l *limiter) wait(ctx context.Context, limits *limit.Limiter, permit *limit.Permit, in received) error {
	if permit.Ready == nil {
		return nil
	}
	expiry := l.frontend.config.Clock.After(in.deadline.Sub(l.frontend.config.Clock.Now()))
	defer expiry.Stop()
	select {
	case <-permit.Ready:
		if limits.Granted(permit) {
			return nil
		}
	case <-expiry.C:
	case <-ctx.Done():
	}
	l.frontend.counts.expired.Inc()
	return problem.New(problem.Expired, problem.Detail{
		Field: "deadline", Remedy: "try again later, or with a later deadline; the request waited for a slot"})
}

// finishTimeout bounds the wait for the journal after the answer is there.
const finishTimeout = 2 * time.Second

// deduplicator asks the owner of the request shard whether a request that is not
// idempotent may run.
type deduplicator struct{ frontend *Frontend }

// Process passes on what may run or has a known answer.
func (d *deduplicator) Process(ctx context.Context, in received) (identified, error) {
	if !in.AtMostOnce {
		return identified{received: in}, nil
	}
	remaining := in.deadline.Sub(d.frontend.config.Clock.Now())
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	result, err := d.frontend.config.Deduplicator.Begin(ctx, in.key, fingerprint(in), remaining)
	if err != nil {
		return identified{}, d.beginFailed(ctx, in, err)
	}
	switch result.Status {
	case once.Allowed:
		return identified{received: in, run: result.Run}, nil
	case once.Done:
		return d.fetchStored(ctx, in, result)
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

// fetchStored fetches the answer to an earlier submission.
func (d *deduplicator) fetchStored(ctx context.Context, in received, result once.Result) (identified, error) {
	response, err := d.frontend.config.Responses.Fetch(ctx, in.key, result.Node)
	if err != nil {
		return identified{}, failed(outcome.Done, 0, problem.New(problem.NotFound, problem.Detail{
			Field: "answer", Value: string(in.ID), Limit: d.frontend.config.Retention.String(),
			Remedy: "the request has run, and its answer is no longer kept"}))
	}
	return identified{received: in, storedResponse: &response}, nil
}

// beginFailed tells notRun for errors about this submission, and when the
// owner, asked again, knows no run of the id: nothing of this submission was
// forwarded, so a run that a late call still begins does not happen. An owner
// that was not found in the time of a takeover is not asked again.
func (d *deduplicator) beginFailed(ctx context.Context, in received, err error) error {
	switch problem.KindOf(err) {
	case problem.Conflict, problem.Invalid:
		return failed(outcome.NotRun, 0, err)
	case problem.NotOwner:
		return failed(outcome.Unknown, time.Second, err)
	}
	in.release()
	return rejectEarly(ctx, d.frontend, in.authenticated, time.Second, err)
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
		f.counts.finishFailures.Inc()
	}
}
