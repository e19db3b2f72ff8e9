package caller

import (
	"context"
	"net/http"
	"time"

	"bronzewinch.dev/lib/answers"
	"bronzewinch.dev/lib/backend"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/outcome"
	"bronzewinch.dev/lib/pipe"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/route"
	"bronzewinch.dev/lib/timer"
)

const (
	// minSlotWait is the first pause if no backend server has a free slot for
	// this node, and minRetryWait the first pause before another attempt. Both
	// pauses double up to maxWait and are jittered.
	minSlotWait  = time.Millisecond
	minRetryWait = 2 * time.Millisecond
	maxWait      = 20 * time.Millisecond
)

// pendingAttempt is one attempt of a request before a backend server is chosen.
type pendingAttempt struct {
	*identified
	tracker *outcome.Tracker
	number  outcome.Attempt
	avoid   id.Backend
}

// routedAttempt is an attempt with a slot reserved on a backend server.
type routedAttempt struct {
	pendingAttempt
	reservation route.Reservation
}

// finishedAttempt is an attempt with its result.
type finishedAttempt struct {
	routedAttempt
	result backend.Result
}

// completed is a request with its complete response.
type completed struct {
	*identified
	response answers.Response
}

// router chooses the backend server of an attempt.
type router struct{ frontend *Frontend }

// Process returns an error if no backend server has a free slot.
func (r *router) Process(_ context.Context, in pendingAttempt) (routedAttempt, error) {
	reservation, err := in.service.routes.Pick(route.Query{
		Now: r.frontend.config.Clock.Now(), Avoid: in.avoid, AllowProbe: in.Idempotent})
	return routedAttempt{in, reservation}, err
}

// forwarder sends the attempt to its backend server.
type forwarder struct {
	sender Sender
	clock  timer.Service
}

// Process returns the attempt with its result. The error is always nil.
func (f *forwarder) Process(ctx context.Context, in routedAttempt) (finishedAttempt, error) {
	in.tracker.Sent(in.number)
	result := f.sender.Do(ctx, in.reservation.Backend.Address, &backend.Request{
		ID: in.key, Attempt: in.number, Method: in.Method, Target: in.Target, Header: in.Header, Body: in.body,
		Deadline: in.deadline, Connections: in.reservation.Connections, MaxResponse: in.service.record.MaxResponse,
	})
	return finishedAttempt{in, result}, nil
}

// verifier accepts only complete responses. It releases the slot and records in
// the tracker whether the attempt may have run.
type verifier struct{ clock timer.Service }

// Process returns the response, or an error if there is none.
func (v *verifier) Process(_ context.Context, in finishedAttempt) (completed, error) {
	now := v.clock.Now()
	report := route.Report{Now: now, Result: resultOf(in.result, in.deadline, now), Load: in.result.Load}
	in.service.routes.Done(in.reservation, report)
	switch in.result.Class {
	case backend.Completed:
		if in.tracker.Completed(in.number) {
			return completed{in.identified, answers.Response(in.result.Response)}, nil
		}
		return completed{}, problem.New(problem.Unknown, problem.Detail{
			Field: "answer", Remedy: "fetch the response later; this one arrived too late"})
	case backend.Busy, backend.NotSent:
		in.tracker.Refused(in.number)
	default:
		in.tracker.Failed(in.number)
	}
	return completed{}, &attemptError{in.result.Err, in.reservation.Backend.Name}
}

// resultOf returns the result that is reported to the routing table.
func resultOf(r backend.Result, deadline, now time.Time) route.Result {
	switch r.Class {
	case backend.Completed:
		if r.Response.Status >= http.StatusInternalServerError {
			return route.ServerError
		}
		return route.Succeeded
	case backend.Busy:
		return route.Busy
	case backend.NotSent:
		if kind := problem.KindOf(r.Err); kind != problem.Unavailable {
			return route.Unused
		}
		return route.Unreachable
	}
	if !now.Before(deadline) {
		return route.TimedOut
	}
	return route.Lost
}

// attemptError is the error of an attempt that ended without a response.
type attemptError struct {
	error
	backend id.Backend
}

// Unwrap returns the underlying error.
func (e *attemptError) Unwrap() error { return e.error }

// retrier makes attempts until one returns a response or no further attempt is
// allowed.
type retrier struct {
	frontend *Frontend
	attempt  pipe.Filter[pendingAttempt, completed]
}

// Process returns the response, or a failure with the outcome over all attempts.
func (r *retrier) Process(ctx context.Context, in identified) (completed, error) {
	if in.storedResponse != nil {
		return completed{&in, *in.storedResponse}, nil
	}
	tracker := outcome.New()
	result, err := r.runAttempts(ctx, &in, tracker)
	in.release() // reporting the outcome to the owner needs no backend slot
	if err == nil {
		return result, nil
	}
	if in.AtMostOnce {
		r.frontend.finish(ctx, in.key, in.run, tracker.Outcome())
	}
	return completed{}, failed(tracker.Outcome(), retryAfterOf(err), r.callerError(err, tracker))
}

// runAttempts returns the first response, or the error of the last attempt.
func (r *retrier) runAttempts(ctx context.Context, in *identified, tracker *outcome.Tracker) (completed, error) {
	in.service.retryBudget.earn()
	next := pendingAttempt{identified: in, tracker: tracker}
	for pause := minRetryWait; ; pause = min(2*pause, maxWait) {
		number, ok := tracker.Start()
		if !ok {
			return completed{}, problem.New(problem.Unavailable, problem.Detail{
				Field: "attempts", Remedy: "retry later"})
		}
		next.number = number
		result, err := r.withSlot(ctx, next)
		if err == nil {
			return result, nil
		}
		failed, sent := err.(*attemptError)
		if !sent || !tracker.MayRetry(in.Idempotent) || !in.service.retryBudget.spend() {
			return completed{}, err
		}
		next.avoid = failed.backend
		r.frontend.counts.retries.Inc()
		if !r.sleep(ctx, in.deadline, pause) {
			return completed{}, err
		}
	}
}

// withSlot makes one attempt. If no backend server has a free slot, it waits and
// retries: the limiter admits only as many requests as there are slots, so that
// one becomes free soon.
func (r *retrier) withSlot(ctx context.Context, a pendingAttempt) (completed, error) {
	for pause := minSlotWait; ; pause = min(2*pause, maxWait) {
		result, err := r.attempt.Process(ctx, a)
		if err == nil {
			return result, nil
		}
		if _, sent := err.(*attemptError); sent || problem.KindOf(err) != problem.Overloaded {
			a.tracker.Failed(a.number)
			return completed{}, err
		}
		if !r.sleep(ctx, a.deadline, pause) {
			a.tracker.Refused(a.number)
			return completed{}, err
		}
	}
}

// sleep waits for d with jitter. It returns false if the deadline would pass first
// or ctx ends.
func (r *retrier) sleep(ctx context.Context, deadline time.Time, d time.Duration) bool {
	d = timer.Jitter(d)
	if !r.frontend.config.Clock.Now().Add(d).Before(deadline) {
		return false
	}
	return timer.Sleep(ctx, r.frontend.config.Clock, d) == nil
}

// callerError returns the error for the caller. Its kind is Unknown if any attempt may
// have run, whatever the result of the last one.
func (r *retrier) callerError(err error, tracker *outcome.Tracker) error {
	if tracker.Outcome() == outcome.Unknown && !problem.Is(err, problem.Unknown) {
		return problem.New(problem.Unknown, problem.Detail{
			Field: "attempt", Remedy: "an attempt may have run: " + problem.As(err).Remedy})
	}
	return err
}

// retryAfterOf returns the time after which the caller may retry, or zero.
func retryAfterOf(err error) time.Duration {
	switch problem.KindOf(err) {
	case problem.Overloaded, problem.Unavailable:
		return time.Second
	}
	return 0
}

// replier stores the response for later retrieval and reports the outcome to the
// owner.
type replier struct{ frontend *Frontend }

// Process returns the reply to the caller.
func (r *replier) Process(ctx context.Context, in completed) (Reply, error) {
	if in.ID != "" && in.identified.storedResponse == nil {
		r.frontend.config.Responses.Keep(in.key, in.response)
	}
	if in.AtMostOnce && in.identified.storedResponse == nil {
		r.frontend.finish(ctx, in.key, in.run, outcome.Done)
	}
	return Reply{Outcome: outcome.Done, Response: in.response, Key: in.key}, nil
}
