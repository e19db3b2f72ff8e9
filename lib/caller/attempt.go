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
	// slotWait is the first pause when no backend server has a free slot for
	// this node, and retryWait the pause before another attempt. Both double,
	// up to maxWait, and are jittered.
	slotWait  = time.Millisecond
	retryWait = 2 * time.Millisecond
	maxWait   = 20 * time.Millisecond
)

// attempting is one attempt of a request.
type attempting struct {
	*identified
	tracker *outcome.Tracker
	number  outcome.Attempt
	avoid   id.Backend
}

// routed is an attempt with a backend server.
type routed struct {
	attempting
	lease route.Reservation
}

// forwarded is an attempt that ended.
type forwarded struct {
	routed
	result backend.Result
}

// answered is a request with its whole answer.
type answered struct {
	*identified
	answer answers.Response
}

// router chooses the backend server.
type router struct{ front *Frontend }

// Process returns an error when no server has a free slot.
func (r *router) Process(_ context.Context, in attempting) (routed, error) {
	lease, err := in.service.routes.Pick(route.Query{
		Now: r.front.config.Clock.Now(), Avoid: in.avoid, AllowProbe: in.Idempotent})
	return routed{in, lease}, err
}

// forwarder sends the attempt.
type forwarder struct {
	sender Sender
	clock  timer.Service
}

// Process always passes on how the attempt ended.
func (f *forwarder) Process(ctx context.Context, in routed) (forwarded, error) {
	in.tracker.Sent(in.number)
	result := f.sender.Do(ctx, in.lease.Backend.Address, &backend.Request{
		ID: in.key, Attempt: in.number, Method: in.Method, Target: in.Target, Header: in.Header, Body: in.body,
		Deadline: in.deadline, Connections: in.lease.Connections, MaxResponse: in.service.record.MaxAnswer,
	})
	return forwarded{in, result}, nil
}

// verifier accepts whole answers only, gives the slot back and records what is
// certain about the attempt.
type verifier struct{ clock timer.Service }

// Process returns the answer, or an error when there is none.
func (v *verifier) Process(_ context.Context, in forwarded) (answered, error) {
	now := v.clock.Now()
	report := route.Report{Now: now, Result: ending(in.result, in.deadline, now), Load: in.result.Load}
	in.service.routes.Done(in.lease, report)
	switch in.result.Class {
	case backend.Completed:
		if in.tracker.Completed(in.number) {
			return answered{in.identified, answers.Response(in.result.Response)}, nil
		}
		return answered{}, problem.New(problem.Unknown, problem.Detail{
			Field: "answer", Remedy: "fetch the answer later; this one came too late"})
	case backend.Busy, backend.NotSent:
		in.tracker.Refused(in.number)
	default:
		in.tracker.Failed(in.number)
	}
	return answered{}, &attemptError{in.result.Err, in.lease.Backend.Name}
}

func ending(r backend.Result, deadline, now time.Time) route.Result {
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
	front   *Frontend
	attempt pipe.Filter[attempting, answered]
}

// Process returns the answer, or a failure with the outcome over all attempts.
func (r *retrier) Process(ctx context.Context, in identified) (answered, error) {
	if in.answer != nil {
		return answered{&in, *in.answer}, nil
	}
	tracker := outcome.New()
	result, err := r.attempts(ctx, &in, tracker)
	in.release() // the report of the end to the owner needs no backend server
	if err == nil {
		return result, nil
	}
	if in.AtMostOnce {
		r.front.finish(ctx, in.key, in.run, tracker.Outcome())
	}
	return answered{}, failed(tracker.Outcome(), retryAfterOf(err), r.explain(err, tracker))
}

func (r *retrier) attempts(ctx context.Context, in *identified, tracker *outcome.Tracker) (answered, error) {
	in.service.budget.earn()
	next := attempting{identified: in, tracker: tracker}
	for pause := retryWait; ; pause = min(2*pause, maxWait) {
		number, ok := tracker.Start()
		if !ok {
			return answered{}, problem.New(problem.Unavailable, problem.Detail{
				Field: "attempts", Remedy: "try again later"})
		}
		next.number = number
		result, err := r.withSlot(ctx, next)
		if err == nil {
			return result, nil
		}
		failed, sent := err.(*attemptError)
		if !sent || !tracker.MayRetry(in.Idempotent) || !in.service.budget.spend() {
			return answered{}, err
		}
		next.avoid = failed.backend
		r.front.counts.retries.Inc()
		if !r.sleep(ctx, in.deadline, pause) {
			return answered{}, err
		}
	}
}

// withSlot makes one attempt. While no server has a free slot it waits: the
// limiter admits only as many requests as there are slots, so one is free soon.
func (r *retrier) withSlot(ctx context.Context, a attempting) (answered, error) {
	for pause := slotWait; ; pause = min(2*pause, maxWait) {
		result, err := r.attempt.Process(ctx, a)
		if err == nil {
			return result, nil
		}
		if _, sent := err.(*attemptError); sent || problem.KindOf(err) != problem.Overloaded {
			a.tracker.Failed(a.number)
			return answered{}, err
		}
		if !r.sleep(ctx, a.deadline, pause) {
			a.tracker.Refused(a.number)
			return answered{}, err
		}
	}
}

// sleep waits for about d. It returns false when the deadline comes first or
// the caller is gone.
func (r *retrier) sleep(ctx context.Context, deadline time.Time, d time.Duration) bool {
	d = timer.Jitter(d)
	if !r.front.config.Clock.Now().Add(d).Before(deadline) {
		return false
	}
	return timer.Sleep(ctx, r.front.config.Clock, d) == nil
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
type replier struct{ front *Frontend }

// Process returns what the caller is told.
func (r *replier) Process(ctx context.Context, in answered) (Reply, error) {
	if in.ID != "" && in.identified.answer == nil {
		r.front.config.Responses.Keep(in.key, in.answer)
	}
	if in.AtMostOnce && in.identified.answer == nil {
		r.front.finish(ctx, in.key, in.run, outcome.Done)
	}
	return Reply{Outcome: outcome.Done, Response: in.answer, Key: in.key}, nil
}
