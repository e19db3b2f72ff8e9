package command

import (
	"fmt"
	"maps"
	"slices"

	"bronzewinch.dev/lib/logaudit"
)

// logInvariantTexts describes each invariant of the logs for the output.
var logInvariantTexts = map[logaudit.Invariant]string{
	logaudit.RunOnce:   "no task runs twice, or again after its success",
	logaudit.Attempts:  "no task runs more often than its queue allows",
	logaudit.Order:     "no task starts before the steps that it depends on",
	logaudit.WholeGang: "gangs start whole",
	logaudit.Capacity:  "no worker is given more than it has",
	logaudit.Outcome:   "a job is completed when all its tasks are done",
}

// auditLogs checks the decisions in the logs of nodes.
func auditLogs(e *Env) error {
	lines, err := readLogs(e.Args)
	if err != nil {
		return err
	}
	r := logaudit.Check(lines)
	if err := show(e, r, func(t *table) { logTable(t, r) }); err != nil {
		return err
	}
	if len(r.Findings) > 0 {
		return &statusError{StatusFindings, fmt.Sprintf("%d findings; `bronzewinch trace ID LOG...` shows the timeline of a job", len(r.Findings))}
	}
	return nil
}

func logTable(t *table, r logaudit.Report) {
	t.row("DECISIONS", "JOBS", "OWNERS")
	t.row(r.Decisions, r.Jobs, r.Owners)
	t.row("PROMISE", "CHECKED", "MEANS")
	for _, invariant := range logaudit.Invariants {
		t.row(invariant, r.Checked[invariant], logInvariantTexts[invariant])
	}
	for _, cause := range slices.Sorted(maps.Keys(r.Unchecked)) {
		t.row("not checked", r.Unchecked[cause], cause)
	}
	for _, f := range r.Findings {
		t.row("FINDING", f.Time.Format("15:04:05.000"), f.Invariant, f.Job, f.Reason)
	}
}
