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
	// minSlotWait is the first pause when no backend server has a free slot for
	// this node, and minRetryWait the pause before another attempt. Both double,
	// up to maxWait, and are jittered.
	minSlotWait  = time.Millisecond
	minRetryWait = 2 * time.Millisecond
	maxWait      = 20 * time.Millisecond
)

// pendingAttempt is one attempt of a request.
type pendingAttempt struct {
	*identified
	tracker *outcome.Tracker
	number  outcome.Attempt
	avoid   id.Backend
}

// routedAttempt is an attempt with a backend server.
type routedAttempt struct {
	pendingAttempt
	reservation route.Reservation
}

// finishedAttempt is an attempt that ended.
type finishedAttempt struct {
	routedAttempt
	result backend.Result
}

// completed is a request with its whole answer.
type completed struct {
	*identified
	response answers.Response
}

// router chooses the backend server.
type router struct{ frontend *Frontend }

// Process returns an error when no server has a free slot.
func (r *router) Process(_ context.Context, in pendingAttempt) (routedAttempt, error) {
	reservation, err := in.service.routes.Pick(route.Query{
		Now: r.frontend.config.Clock.Now(), Avoid: in.avoid, AllowProbe: in.Idempotent})
	return routedAttempt{in, reservation}, err
}

// forwarder sends the attempt.
type forwarder struct {
	sender Sender
	clock  timer.Service
}

// Process always passes on how the attempt ended.
func (f *forwarder) Process(ctx context.Context, in routedAttempt) (finishedAttempt, error) {
	in.tracker.Sent(in.number)
	result := f.sender.Do(ctx, in.reservation.Backend.Address, &backend.Request{
		ID: in.key, Attempt: in.number, Method: in.Method, Target: in.Target, Header: in.Header, Body: in.body,
		Deadline: in.deadline, Connections: in.reservation.Connections, MaxResponse: in.service.record.MaxAnswer,
	})
	return finishedAttempt{in, result}, nil
}

// verifier accepts whole answers only, gives the slot back and records what is
// certain about the attempt.
type verifier struct{ clock timer.Service }

// Process returns the answer, or an error when there is none.
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
			Field: "answer", Remedy: "fetch the answer later; this one came too late"})
	case backend.Busy, backend.NotSent:
		in.tracker.Refused(in.number)
	default:
		in.tracker.Failed(in.number)
	}
	return completed{}, &attemptError{in.result.Err, in.reservation.Backend.Name}
}

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

// attemptError is the end of an attempt without an answer.
type attemptError struct {
	error
	backend id.Backend
}

// Unwrap returns the cause.
func (e *attemptError) Unwrap() error { return e.error }

// retrier makes attempts until one is answered or another may not be made.
type retrier struct {
	frontend *Frontend
	attempt  pipe.Filter[pendingAttempt, completed]
}

// Process returns the answer, or a failure with the outcome over all attempts.
func (r *retrier) Process(ctx context.Context, in identified) (completed, error) {
	if in.storedResponse != nil {
		return completed{&in, *in.storedResponse}, nil
	}
	tracker := outcome.New()
	result, err := r.attempts(ctx, &in, tracker)
	in.release() // the report of the end to the owner needs no backend server
	if err == nil {
		return result, nil
	}
	if in.AtMostOnce {
		r.frontend.finish(ctx, in.key, in.run, tracker.Outcome())
	}
	return completed{}, failed(tracker.Outcome(), retryAfterOf(err), r.explain(err, tracker))
}

func (r *retrier) attempts(ctx context.Context, in *identified, tracker *outcome.Tracker) (completed, error) {
	in.service.retryBudget.earn()
	next := pendingAttempt{identified: in, tracker: tracker}
	for pause := minRetryWait; ; pause = min(2*pause, maxWait) {
		number, ok := tracker.Start()
		if !ok {
			return completed{}, problem.New(problem.Unavailable, problem.Detail{
				Field: "attempts", Remedy: "try again later"})
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

// withSlot makes one attempt. While no server has a free slot it waits: the
// limiter admits only as many requests as there are slots, so one is free soon.
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

// sleep waits for about d. It returns false when the deadline comes first or
// the caller is gone.
func (r *retrier) sleep(ctx context.Context, deadline time.Time, d time.Duration) bool {
	d = timer.Jitter(d)
	if !r.frontend.config.Clock.Now().Add(d).Before(deadline) {
		return false
	}
	return timer.Sleep(ctx, r.frontend.config.Clock, d) == nil
}

// explain returns the error for the caller. Its kind is Unknown when an
// earlier attempt may have run, whatever became of the last one.
func (r *retrier) explain(err error, tracker *outcome.Tracker) error {
	if tracker.Outcome() == outcome.Unknown && !problem.Is(err, problem.Unknown) {
		return problem.New(problem.Unknown, problem.Detail{
			Field: "attempt", Remedy: "an attempt may have run: " + problem.As(err).Remedy})
	}
	return err
}

func retryAfterOf(err error) time.Duration {
	switch problem.KindOf(err) {
	case problem.Overloaded, problem.Unavailable:
		return time.Second
	}
	return 0
}

// replier keeps the answer for a later fetch and reports the completion.
type replier struct{ frontend *Frontend }

// Process returns what the caller is told.
func (r *replier) Process(ctx context.Context, in completed) (Reply, error) {
	if in.ID != "" && in.identified.storedResponse == nil {
		r.frontend.config.Responses.Keep(in.key, in.response)
	}
	if in.AtMostOnce && in.identified.storedResponse == nil {
		r.frontend.finish(ctx, in.key, in.run, outcome.Done)
	}
	return Reply{Outcome: outcome.Done, Response: in.response, Key: in.key}, nil
}
