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

// identified is a request that may be forwarded. If an earlier submission of it
// is done, storedResponse is the response to that submission.
type identified struct {
	received
	run            once.RunNumber
	storedResponse *answers.Response
}

// limiter applies the limits of the service and of the account. Its permit is held
// while the later stages run.
type limiter struct {
	frontend *Frontend
	next     pipe.Filter[received, Reply]
}

// Process waits for a permit and calls the next stage.
func (l *limiter) Process(ctx context.Context, in received) (Reply, error) {
	// Without backend servers the request would wait until its deadline.
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

// wait waits until the permit is granted. It returns an Expired error if the
// deadline passes or ctx ends first.
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
		Field: "deadline", Remedy: "retry later, or with a later deadline; no slot became free in time"})
}

// finishTimeout bounds the time for recording the outcome in the journal after the
// request has ended.
const finishTimeout = 2 * time.Second

// deduplicator checks with the owner of the request shard that a request that is
// not idempotent runs at most once.
type deduplicator struct{ frontend *Frontend }

// Process returns the request if it may run or has a stored response, and an error
// otherwise.
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
			Remedy: "fetch the response from /v1/requests/" + string(in.ID) + " later"}))
	case once.Refused:
		return identified{}, failed(outcome.NotRun, time.Second, problem.New(problem.Unavailable, problem.Detail{
			Field: "journal", Remedy: "retry later with the same id"}))
	}
	return identified{}, failed(outcome.Unknown, 0, problem.New(problem.Unknown, problem.Detail{
		Field: "request id", Value: string(in.ID),
		Remedy: "the request may have run; check its effect before using a new id"}))
}

// fetchStored returns the request with the response to its earlier submission.
func (d *deduplicator) fetchStored(ctx context.Context, in received, result once.Result) (identified, error) {
	response, err := d.frontend.config.Responses.Fetch(ctx, in.key, result.Node)
	if err != nil {
		return identified{}, failed(outcome.Done, 0, problem.New(problem.NotFound, problem.Detail{
			Field: "answer", Value: string(in.ID), Limit: d.frontend.config.Retention.String(),
			Remedy: "the request has run, and its response is no longer stored"}))
	}
	return identified{received: in, storedResponse: &response}, nil
}

// beginFailed returns the failure for an error of Begin. The outcome is notRun if
// the error concerns this submission, or if a lookup shows that the owner knows no
// run of the id: nothing of this submission was forwarded, so that a run that a
// delayed call of Begin still registers is never executed. If no owner was found
// within the time of a takeover, the outcome is unknown without a lookup.
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

// fingerprint returns the hash by which a reused id with another request is
// detected.
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

// finish reports the outcome of a run to the owner. If that fails, the outcome
// that a duplicate receives is unknown, which is correct.
func (f *Frontend) finish(ctx context.Context, key id.Request, run once.RunNumber, o outcome.Outcome) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
	defer cancel()
	if err := f.config.Deduplicator.Finish(ctx, key, run, o, f.config.Node); err != nil {
		f.counts.finishFailures.Inc()
	}
}
