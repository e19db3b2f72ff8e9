package command

import (
	"context"
	"os"
	"path/filepath"
	"strings"

	"bronzewinch.dev/lib/logline"
	"bronzewinch.dev/lib/problem"

	"github.com/integrii/flaggy"
)

// TraceResult is the timeline of one job.
type TraceResult struct {
	ID    string         `json:"id"`
	Lines []logline.Line `json:"lines"`
}

type traceCommand struct{}

func (*traceCommand) Info() Info {
	return Info{Name: "trace", Args: "ID LOG...", Summary: "Show from the nodes' logs what happened to a job, in order of time.",
		Example: "bronzewinch trace 5c0e7a21d94b36f8 logs/*.log", MinArgs: 2, MaxArgs: -1}
}

func (*traceCommand) Flags(*flaggy.Subcommand) {}

func (*traceCommand) Run(_ context.Context, e *Env) error {
	name := e.Args[0]
	all, err := readLogs(e.Args[1:])
	if err != nil {
		return err
	}
	r := TraceResult{ID: name, Lines: logline.Timeline(all, name)}
	if len(r.Lines) == 0 {
		return problem.New(problem.NotFound, problem.Detail{Field: "job", Value: name,
			Remedy: "none of these logs names it; give the logs of all nodes that ran at its time"})
	}
	return show(e, r, func(t *table) {
		t.row("TIME", "NODE", "EVENT", "WHAT")
		for _, l := range r.Lines {
			t.row(l.Time.Format("15:04:05.000"), l.Node, l.Event, l.Message+": "+l.Text())
		}
	})
}

// readLogs reads the log files of nodes. For lines that name no node, it takes
// the file's name without extension.
func readLogs(paths []string) ([]logline.Line, error) {
	var all []logline.Line
	for _, path := range paths {
		f, err := os.Open(path)
		if err != nil {
			return nil, problem.New(problem.NotFound, problem.Detail{Field: "log", Value: path, Remedy: "name a log file that can be read"})
		}
		lines, err := logline.Read(strings.TrimSuffix(filepath.Base(path), filepath.Ext(path)), f)
		_ = f.Close() // the file was only read, so nothing can be lost
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}
