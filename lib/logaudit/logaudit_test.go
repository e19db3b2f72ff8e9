package logaudit_test

import (
	"fmt"
	"strings"
	"testing"

	"bronzewinch.dev/lib/logaudit"
	"bronzewinch.dev/lib/logline"

	"github.com/matryer/is"
)

// logLines returns log lines for decisions of the form "FENCE COMMIT FIELDS".
func logLines(t *testing.T, decisions ...string) []logline.Line {
	t.Helper()
	var text strings.Builder
	for i, d := range decisions {
		var fence, commit string
		fields := strings.SplitN(d, " ", 3)
		fence, commit = fields[0], fields[1]
		fmt.Fprintf(&text, "I1204 14:28:%02d.000000     443 cycle.go:275] \"decision\" %s fence=%s commit=%s\n", i, fields[2], fence, commit)
	}
	lines, err := logline.Read("node-1", strings.NewReader(text.String()))
	if err != nil {
		t.Fatal(err)
	}
	return lines
}

const (
	listed   = `1 1 event="workerListed" worker="w" capacity="8a32000c1000m"`
	accepted = `1 2 event="accepted" job="j" attempts=2 occurrences=1 steps="2x4a100c10m 1x1a100c10m,after=0"`
	gang     = `1 2 event="accepted" job="g" attempts=2 occurrences=1 steps="2x4a100c10m,gang"`
)

func start(commit int, name string, run int) string {
	return fmt.Sprintf(`1 %d event="start" task=%q run=%d worker="w"`, commit, name, run)
}

func ended(commit int, name string, run int, reason string) string {
	return fmt.Sprintf(`1 %d event="ended" task=%q run=%d worker="w" reason="%s: reported by the worker"`, commit, name, run, reason)
}

// TestCheckFindsViolations guards against violations that are not found, and
// against valid decisions that are reported as violations.
func TestCheckFindsViolations(t *testing.T) {
	valid := []string{listed, accepted, start(3, "j.0.0.0", 1), start(3, "j.0.0.1", 1), ended(4, "j.0.0.0", 1, "done"),
		ended(5, "j.0.0.1", 1, "failed"), start(5, "j.0.0.1", 2), ended(6, "j.0.0.1", 2, "done"), start(6, "j.0.1.0", 1),
		ended(7, "j.0.1.0", 1, "done"), `1 7 event="completed" job="j" reason="all tasks are done"`}
	for _, test := range []struct {
		name string
		log  []string
		want []logaudit.Invariant
	}{
		{"valid", valid, nil},
		{"gang", []string{listed, gang, start(3, "g.0.0.0", 1), start(3, "g.0.0.1", 1), ended(4, "g.0.0.0", 1, "done"),
			`1 4 event="completed" job="g"`}, nil},
		{"started twice", []string{listed, accepted, start(3, "j.0.0.0", 1), start(4, "j.0.0.0", 2)}, []logaudit.Invariant{logaudit.RunOnce}},
		{"started after success", []string{listed, accepted, start(3, "j.0.0.0", 1), ended(4, "j.0.0.0", 1, "done"),
			start(5, "j.0.0.0", 2)}, []logaudit.Invariant{logaudit.RunOnce}},
		{"active without a record beside another run", []string{listed, accepted, start(3, "j.0.0.0", 2),
			`1 4 event="stop" task="j.0.0.0" run=1 worker="v" reason="no record of this run" recordedRun=2 recordedWorker="w"`},
			[]logaudit.Invariant{logaudit.RunOnce}},
		{"active without a record", []string{listed, accepted, start(3, "j.0.0.0", 1), ended(4, "j.0.0.0", 1, "lapsed"),
			`1 5 event="stop" task="j.0.0.0" run=1 worker="w" reason="no record of this run" recordedRun=1 recordedWorker=""`}, nil},
		{"run number reused", []string{listed, accepted, start(3, "j.0.0.0", 1), ended(4, "j.0.0.0", 1, "stopped"),
			start(5, "j.0.0.0", 1)}, []logaudit.Invariant{logaudit.RunOnce}},
		{"too many attempts", []string{listed, accepted, start(3, "j.0.0.0", 1), ended(4, "j.0.0.0", 1, "failed"),
			start(5, "j.0.0.0", 2), ended(6, "j.0.0.0", 2, "failed"), start(7, "j.0.0.0", 3)}, []logaudit.Invariant{logaudit.Attempts}},
		{"started before its dependency", []string{listed, accepted, start(3, "j.0.0.0", 1), start(3, "j.0.0.1", 1), ended(4, "j.0.0.0", 1, "done"),
			start(5, "j.0.1.0", 1)}, []logaudit.Invariant{logaudit.Order}},
		{"part of a gang", []string{listed, gang, start(3, "g.0.0.1", 1)}, []logaudit.Invariant{logaudit.WholeGang}},
		{"worker over capacity", []string{listed, accepted, gang, start(3, "j.0.0.0", 1), start(3, "j.0.0.1", 1),
			start(4, "g.0.0.0", 1)}, []logaudit.Invariant{logaudit.Capacity}},
		{"completed before its last step", []string{listed, accepted, start(3, "j.0.0.0", 1), start(3, "j.0.0.1", 1),
			ended(4, "j.0.0.0", 1, "done"), ended(4, "j.0.0.1", 1, "done"), `1 5 event="completed" job="j"`}, []logaudit.Invariant{logaudit.Outcome}},
		{"completed before its second occurrence", []string{listed, strings.Replace(gang, "occurrences=1", "occurrences=2", 1),
			start(3, "g.0.0.0", 1), start(3, "g.0.0.1", 1), ended(4, "g.0.0.0", 1, "done"), `1 4 event="completed" job="g"`},
			[]logaudit.Invariant{logaudit.Outcome}},
		{"started after job end", append(valid[:len(valid):len(valid)], start(8, "j.0.1.0", 2)),
			[]logaudit.Invariant{logaudit.RunOnce, logaudit.Outcome}},
		{"job ended twice", append(valid[:len(valid):len(valid)], `1 9 event="cancelled" job="j"`), []logaudit.Invariant{logaudit.Outcome}},
		{"log lines of the previous owner are lost", []string{listed, accepted, start(3, "j.0.0.0", 1),
			`2 4 event="start" task="j.0.0.0" run=2 worker="w"`}, nil},
		{"run of the previous owner is present", []string{listed, accepted, start(3, "j.0.0.0", 1),
			`2 4 event="restored" task="j.0.0.0" run=1 worker="w"`, `2 4 event="start" task="j.0.0.0" run=2 worker="w"`},
			[]logaudit.Invariant{logaudit.RunOnce}},
		{"worker over capacity with runs of the previous owner", []string{listed, accepted, start(3, "j.0.0.0", 1), start(3, "j.0.0.1", 1),
			`2 4 event="workerListed" worker="w" capacity="8a32000c1000m"`, `2 4 event="restored" task="j.0.0.0" run=1 worker="w"`,
			`2 4 event="restored" task="j.0.0.1" run=1 worker="w"`, `2 4 event="accepted" job="k" attempts=2 occurrences=1 steps="1x1a1c1m"`,
			`2 5 event="start" task="k.0.0.0" run=1 worker="w"`}, []logaudit.Invariant{logaudit.Capacity}},
		{"run number decreases with a new owner", []string{listed, accepted, start(3, "j.0.0.0", 3),
			`2 4 event="start" task="j.0.0.0" run=2 worker="w"`}, []logaudit.Invariant{logaudit.RunOnce}},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			r := logaudit.Check(logLines(t, test.log...))
			var got []logaudit.Invariant
			for _, f := range r.Findings {
				got = append(got, f.Invariant)
			}
			is.Equal(got, test.want)
			is.Equal(r.Decisions, len(test.log))
		})
	}
}

// TestUncheckedIsCounted guards against an audit that does not report what it
// could not check.
func TestUncheckedIsCounted(t *testing.T) {
	is := is.New(t)
	lines := logLines(t, start(1, "x.0.0.0", 1), accepted, start(3, "j.0.0.0", 1), `2 4 event="completed" job="j"`,
		`2 5 event="accepted" job="k" attempts="many"`)
	lines = append(lines, logline.Line{Event: "dropped"})
	r := logaudit.Check(lines)
	is.Equal(len(r.Findings), 0)
	is.Equal(len(r.Unchecked), 5)
	is.Equal(r.Owners, 2)
}
