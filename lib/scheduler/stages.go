package scheduler

import (
	"context"
	"fmt"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/pipe"
	"bronzewinch.dev/lib/worker"
)

// submission is the input of the submit stage: a job and the id that its caller
// chose.
type submission struct {
	spec job.Spec
	name id.Job
}

// workerCall is the input of a call stage: one command for one worker.
type workerCall struct {
	worker  id.Worker
	command worker.Command
}

// stages contains the stages that have metrics: the number of items, the time, and
// the errors by kind.
type stages struct {
	submit pipe.Filter[submission, job.Job]
	cancel pipe.Filter[id.Job, CancelResult]
	append pipe.Filter[[][]byte, id.Seq]
	plan   pipe.Filter[*planState, struct{}]
	call   map[worker.Kind]pipe.Filter[workerCall, []worker.Report]
}

func (s *Scheduler) newStages() stages {
	set := s.cfg.Metrics
	out := stages{
		submit: pipe.Instrument(set, "jobSubmit", pipe.Func[submission, job.Job](func(ctx context.Context, q submission) (job.Job, error) {
			return s.submit(ctx, q.spec, q.name)
		})),
		cancel: pipe.Instrument(set, "jobCancel", pipe.Func[id.Job, CancelResult](s.cancelJob)),
		append: pipe.Instrument(set, "placementJournal", pipe.Func[[][]byte, id.Seq](func(ctx context.Context, items [][]byte) (id.Seq, error) {
			return s.cfg.Journal.Append(ctx, items...)
		})),
		plan: pipe.Instrument(set, "placementPass", pipe.Func[*planState, struct{}](func(_ context.Context, p *planState) (struct{}, error) {
			s.runPass(p)
			return struct{}{}, nil
		})),
		call: make(map[worker.Kind]pipe.Filter[workerCall, []worker.Report]),
	}
	for _, kind := range sendOrder {
		out.call[kind] = pipe.Instrument(set, "worker_"+string(kind), pipe.Func[workerCall, []worker.Report](func(ctx context.Context, c workerCall) ([]worker.Report, error) {
			return s.cfg.Workers.Call(ctx, c.worker, c.command)
		}))
	}
	for name, length := range s.queueLengths() {
		set.UnregisterMetric(name) // may be registered from an earlier term of this node
		set.NewGauge(name, func() float64 { return float64(length()) })
	}
	return out
}

// queueLengths returns the functions that report the lengths of the queues and
// tables, by the name of their gauge.
func (s *Scheduler) queueLengths() map[string]func() int {
	out := make(map[string]func() int)
	add := func(queue string, length func() int) {
		out[fmt.Sprintf("bronzewinch_placement_queue_length{shard=%q,queue=%q}", s.cfg.Shard, queue)] = length
	}
	add("journal", s.writes.Len)
	add("plan", s.changes.Len)
	add("waiting", s.waiting.Len)
	add("active", s.active.Len)
	add("owedRecords", func() int { return int(s.unwritten.Load()) })
	add("reports", func() int {
		n := 0
		for _, q := range s.reports {
			n += q.Len()
		}
		return n
	})
	return out
}

// unregisterGauges removes the gauges of a closed shard.
func (s *Scheduler) unregisterGauges() {
	for name := range s.queueLengths() {
		s.cfg.Metrics.UnregisterMetric(name)
	}
}
