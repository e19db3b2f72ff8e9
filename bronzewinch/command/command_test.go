package command_test

import (
	"context"
	"encoding/json"
	"strings"
	"testing"

	"bronzewinch.dev/bronzewinch/command"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/record"

	"github.com/matryer/is"
	"github.com/pelletier/go-toml/v2"
)

// useContexts selects the rig's file of contexts.
const useContexts = " -contexts DIR/contexts.toml"

// TestCommandLine guards against an exit status that differs from the
// documented one, a flag that is ignored, output without the command's result,
// and output that contains the token.
func TestCommandLine(t *testing.T) {
	tests := []struct {
		line   string
		status int
		want   string
	}{
		{"", 0, "Commands:"},
		{"-help", 0, "Commands:"},
		{"apply -help", 0, "Example:"},
		{"nonsense", 2, "nonsense"},
		{"jobs -nonsense", 2, "-nonsense"},
		{"jobs -limit", 2, "-limit"},
		{"jobs -limit x" + useContexts, 2, "flag"},
		{"jobs -o xml" + useContexts, 2, "table, json or toml"},
		{"jobs a b" + useContexts, 2, "arguments"},
		{"explain" + useContexts, 2, "explain JOB"},
		{"apply" + useContexts, 2, "directory"},
		{"version", 0, "bronzewinch"},
		{"completion bash", 0, "bronzewinch"},
		{"completion cmd", 2, "bash"},
		{"trace", 2, "trace ID"},
		{"trace 00aa DIR/none.log", 4, "none.log"},
		{"runtimes DIR/none.log", 4, "none.log"},
		{"runtimes DIR/sound.log", 4, "completed run"},
		{"runtimes DIR/done.log", 0, "least certain: q"},
		{"audit DIR/none.log", 4, "none.log"},
		{"audit DIR/sound.log", 0, "gangs start whole"},
		{"audit DIR/twice.log", 11, "runs"},
		{"audit -json DIR/twice.log", 11, "\"promise\": \"once\""},
		{"nodes", 4, "absent.toml"},
		{"nodes -contexts DIR/contexts.toml -context none", 4, "none"},
		{"nodes -address URL", 2, "tokenFile"},
		{"nodes -address URL -tokenFile DIR/token", 0, "place/z1 (epoch 4), 1 request shards"},
		{"nodes --address=URL --tokenFile=DIR/token", 0, "place/z1"},
		{"nodes -address http://127.0.0.1:1 -tokenFile DIR/token", 7, "unavailable"},
		{"workers -zone z1" + useContexts, 0, "up"},
		{"drain w1" + useContexts, 0, "draining"},
		{"drain w1 -undo" + useContexts, 0, "up"},
		{"check DIR/weight.toml" + useContexts, 0, "account/skymap"},
		{"check DIR/wrong.toml" + useContexts, 3, "wrong.toml:5: account/A tokens"},
		{"check -offline DIR/wrong.toml", 3, "2 mistakes"},
		{"check -offline DIR/weight.toml", 3, "operators"},
		{"check DIR/none.toml" + useContexts, 4, "none.toml"},
		{"check -platform DIR/platform.json", 0, "1 routes, 1 tenants, 0 findings, 0 changes"},
		{"check -platform DIR/platform.json -against DIR/platform.json", 3, "more than 7"},
		{"check -platform DIR/platform-bad.json -against DIR/platform.json", 3, "4 -> 0"},
		{"check -platform DIR/platform.json -workers DIR/workers.json", 0, "at least one worker"},
		{"check -platform DIR/weight.toml", 3, "line 1"},
		{"check -platform DIR/none.json", 4, "none.json"},
		{"check -against DIR/platform.json DIR/weight.toml", 2, "-platform"},
		{"diff DIR/weight.toml" + useContexts, 0, "+ weight = 7"},
		{"apply DIR/weight.toml" + useContexts, 0, "revision  2"},
		{"apply -wait DIR/weight.toml" + useContexts, 0, "n2"},
		{"apply DIR/old.toml" + useContexts, 5, "in force at revision 1"},
		{"apply -overwrite DIR/old.toml" + useContexts, 0, "revision  2"},
		{"apply -remove account/skymap@1" + useContexts, 0, "changed   account/skymap"},
		{"apply -remove account/skymap" + useContexts, 2, "REVISION"},
		{"apply -remove operator/alice@1" + useContexts, 3, "operators"},
		{"get" + useContexts, 0, "account/skymap"},
		{"get account/none" + useContexts, 4, "account/none"},
		{"get account/skymap -schema v2 -o toml" + useContexts, 0, "baseRevision = 1"},
		{"history" + useContexts, 0, "alice"},
		{"history" + useContexts, 0, "1 nodes, after 1s"},
		{"convert DIR/weight.toml -schema v2", 0, "[[record.tokens]]"},
		{"convert DIR/weight.toml", 2, "schema"},
		{"submit DIR/job.toml -id j-1" + useContexts, 0, "waiting"},
		{"submit DIR/weight.toml" + useContexts, 3, "kind"},
		{"submit DIR/job.toml -wait" + useContexts, 0, "succeeded"},
		{"watch none" + useContexts, 4, "none"},
		{"explain j1" + useContexts, 0, "nothing fits now"},
		{"cancel j1 j2" + useContexts, 4, "j2"},
		{"report burn" + useContexts, 0, "skymap 100.0%"},
		{"report burn" + useContexts, 0, "FAST, SLOW"},
		{"report burn -window 5m" + useContexts, 0, "last 5m: 20 bad of 100"},
		{"report burn -window 30d -o json" + useContexts, 0, `"budgetLeft"`},
		{"report burn -window 2h" + useContexts, 2, "window"},
		{"report burn -window x" + useContexts, 2, "window"},
		{"report sales" + useContexts, 2, "sales"},
		{"report burn -o xml" + useContexts, 2, "table, json, toml or html"},
		{"nodes -o html" + useContexts, 2, "table, json or toml"},
		{"top -once" + useContexts, 0, "place/z1 (epoch 4)"},
		{"top -once" + useContexts, 0, "overspent by 1900%"},
		{"top -o json" + useContexts, 0, `"freeAccelerators"`},
		{"jobs -phase waiting" + useContexts, 0, "j1"},
	}
	for _, tt := range tests {
		t.Run(tt.line, func(t *testing.T) {
			is := is.New(t)
			r := newRig(t)
			r.jobs["j1"] = job.Job{ID: "j1", Phase: job.Waiting}
			t.Setenv("BRONZEWINCH_CONTEXTS", r.dir+"/absent.toml")
			status, out, errs := r.run(context.Background(), tt.line)
			if status != tt.status || !strings.Contains(out+errs, tt.want) {
				t.Fatalf("status %d, want %d and %q:\n%s%s", status, tt.status, tt.want, out, errs)
			}
			is.True(!strings.Contains(out+errs, aliceToken.Reveal()))
		})
	}
}

// TestHelpHasExamples guards against a command without help or example.
func TestHelpHasExamples(t *testing.T) {
	is := is.New(t)
	for _, cmd := range command.All() {
		info := cmd.Info()
		is.True(strings.HasPrefix(info.Example, "bronzewinch "+info.Name))
		status, out, _ := newRig(t).run(context.Background(), info.Name+" -help")
		is.Equal(status, 0)
		is.True(strings.Contains(out, info.Example[:strings.IndexByte(info.Example+"\n", '\n')]))
		is.True(strings.Contains(out, "-contexts"))
	}
}

// TestOutputFormats guards against JSON and TOML output that can't be parsed,
// and a document from get that can't be applied.
func TestOutputFormats(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	var v map[string]any
	_, out, _ := r.run(context.Background(), "nodes -o json"+useContexts)
	is.NoErr(json.Unmarshal([]byte(out), &v))
	_, out, _ = r.run(context.Background(), "nodes -o toml"+useContexts)
	is.NoErr(toml.Unmarshal([]byte(out), &v))
	_, out, _ = r.run(context.Background(), "get -o toml -schema v1"+useContexts)
	records, err := record.ParseFile("get", []byte(out))
	is.NoErr(err)
	is.Equal(len(records), 2)
	r.write(t, "get.toml", strings.Replace(out, "name = 'skymap'", "name = 'skymap'\nweight = 9", 1))
	status, _, errs := r.run(context.Background(), "apply DIR/get.toml"+useContexts)
	is.Equal(errs, "")
	is.Equal(status, 0)
	is.Equal(r.set.Accounts["skymap"].Weight, 9)
}

// TestApplyWaitStatus guards against apply -wait that reports success before the
// revision is in force on all nodes, or waits beyond its timeout.
func TestApplyWaitStatus(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.staleReads = 3
	status, out, _ := r.run(context.Background(), "apply -wait DIR/weight.toml"+useContexts)
	is.Equal(status, command.StatusDone)
	is.Equal(r.staleReads, -1)
	is.True(!strings.Contains(out, "not yet"))
	r.staleReads = 1 << 30
	status, out, _ = r.run(context.Background(), "apply -wait -timeout 50ms -overwrite DIR/old.toml"+useContexts)
	is.Equal(status, command.StatusNotInForce)
	is.True(strings.Contains(out, "not yet in force"))
}

// TestWatchStatus guards against a watch that continues after its job has ended
// or after Ctrl-C, and against the exit status of success for a failed job.
func TestWatchStatus(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.nextPhase = job.Failed
	status, _, errs := r.run(context.Background(), "submit -wait DIR/job.toml"+useContexts)
	is.Equal(status, command.StatusJobFailed)
	is.True(strings.Contains(errs, "explain"))
	r.nextPhase = job.Running
	r.jobs["j1"] = job.Job{ID: "j1", Phase: job.Waiting}
	ctx, stop := context.WithCancel(context.Background())
	stop()
	status, _, errs = r.run(ctx, "watch j1"+useContexts)
	is.Equal(status, command.StatusInterrupted)
	is.True(strings.Contains(errs, "goes on"))
}

// TestWatchReportsUnreachableNodes guards against a watch that reports nothing,
// or polls without end, when no node of its context answers any more.
func TestWatchReportsUnreachableNodes(t *testing.T) {
	for _, line := range []string{"submit -wait -timeout 100ms DIR/job.toml", "watch -timeout 100ms j1"} {
		t.Run(line, func(t *testing.T) {
			is := is.New(t)
			r := newRig(t)
			r.nextPhase = job.Running
			r.jobs["j1"] = job.Job{ID: "j1", Phase: job.Waiting}
			r.stopAfterGets = 2
			status, _, errs := r.run(context.Background(), line+useContexts)
			is.Equal(status, command.StatusUnavailable)
			is.True(strings.Contains(errs, "no node answers"))
			is.True(strings.Contains(errs, "goes on"))
		})
	}
}
