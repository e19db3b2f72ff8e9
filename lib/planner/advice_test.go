package planner_test

import (
	"errors"
	"testing"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/planner"
	"bronzewinch.dev/lib/task"

	"github.com/matryer/is"
)

// TestAdvice guards against starts on workers that the advice service has not
// permitted, and against a step for which advice is not requested again after an error
// or a rejected ticket.
func TestAdvice(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 3)
	s.planner.Configure(planner.Rules{Queues: map[task.QueueName]task.Queue{"q1": {Name: "q1", Service: simService, Priority: 1, Attempts: 4,
		Slack: 3, Advised: true}}})
	plan := func(after time.Duration) planner.Changes {
		s.now = s.now.Add(after)
		s.planner.Tick(s.now)
		s.planner.Plan(s.now)
		return s.planner.TakeChanges()
	}
	s.submit(singleStepJob(1, task.Step{Tasks: 9, Estimate: time.Second}), 1)
	first := plan(0)
	is.Equal(len(first.Orders), 0)
	is.Equal(len(first.AdviceRequests), 1)
	is.Equal(first.AdviceRequests[0].Workers, []id.Worker{"w-00", "w-01", "w-02"})
	is.Equal(len(plan(5*time.Second).AdviceRequests), 0) // one request is pending at a time
	s.planner.HandleAdvice(first.AdviceRequests[0], nil, time.Time{}, errors.New("busy"))
	again := plan(0)
	is.Equal(len(again.AdviceRequests), 1)
	s.planner.HandleAdvice(again.AdviceRequests[0], []planner.Ticket{{Worker: "w-01", Value: "ticket"}}, s.now.Add(3*time.Second), nil)
	started := plan(0)
	is.Equal(len(started.Orders), 8) // the worker has the capacity for eight of the nine tasks
	for _, o := range started.Orders {
		is.Equal(o.Worker, id.Worker("w-01"))
		is.Equal(o.Ticket, "ticket")
	}
	is.Equal(len(plan(time.Second).AdviceRequests), 0) // the other workers may never run the step
	s.planner.HandleOrderResult(s.now, started.Orders[0], planner.TicketRejected)
	next := plan(600 * time.Millisecond) // until the worker gets starts again
	is.Equal(len(next.Orders), 0)
	is.Equal(len(next.AdviceRequests), 1)
	is.Equal(next.AdviceRequests[0].Workers, []id.Worker{"w-01"})
}
