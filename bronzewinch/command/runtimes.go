package command

import (
	"context"
	"fmt"
	"time"

	"bronzewinch.dev/lib/logruns"
	"bronzewinch.dev/lib/problem"

	"github.com/integrii/flaggy"
)

// RunTimesResult tells for each queue what is expected of its runs, and how good that was.
type RunTimesResult struct {
	Queues []logruns.Queue `json:"queues"`
}

type runTimesCommand struct{}

func (*runTimesCommand) Info() Info {
	return Info{Name: "runtimes", Args: "LOG...", Summary: "Show from the nodes' logs what run times are expected for each queue, and by which factors that was off.",
		Example: "bronzewinch runtimes logs/*.log", MinArgs: 1, MaxArgs: -1}
}

func (*runTimesCommand) Flags(*flaggy.Subcommand) {}

func (*runTimesCommand) Run(_ context.Context, e *Env) error {
	all, err := readLogs(e.Args)
	if err != nil {
		return err
	}
	r := RunTimesResult{Queues: logruns.Compare(all)}
	worst, ok := logruns.Worst(r.Queues)
	if !ok {
		return problem.New(problem.NotFound, problem.Detail{Field: "completed run", Value: "none",
			Remedy: "give the logs of the nodes that owned the scheduler, with the lines in which jobs were accepted"})
	}
	return show(e, r, func(t *table) {
		t.row("QUEUE", "EXPECTED", "10% TO 90%", "STEPS", "RUNS", "OFF BY", "90%", "ESTIMATES", "90%", "RATIO", "90%")
		for _, q := range r.Queues {
			t.row(q.Name, q.Median.Round(time.Millisecond), fmt.Sprintf("%v to %v", q.Low.Round(time.Millisecond), q.High.Round(time.Millisecond)),
				fmt.Sprintf("%.0f", q.Steps), q.Expected.Runs, factor(q.Expected.Median), factor(q.Expected.P90),
				factor(q.Estimate.Median), factor(q.Estimate.P90), factor(q.Ratio.Median), factor(q.Ratio.P90))
		}
		t.row("least certain: " + string(worst.Name))
	})
}

func factor(f logruns.Factor) string { return fmt.Sprintf("%.2f", f) }
