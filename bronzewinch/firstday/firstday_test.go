package firstday_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"bronzewinch.dev/bronzewinch/command"
	"bronzewinch.dev/lib/caller"
	"bronzewinch.dev/lib/token"
)

const (
	testTimeout = 30 * time.Second
	// maxUrgentStart is the design's bound on the start of urgent work.
	maxUrgentStart = 3600 * time.Millisecond
	telescopeToken = "example-only-telescope-0123456789abcdef"
)

// step is one command, with its expected exit status and output.
type step struct {
	context, line string
	status        int
	want          []string
	unwanted      string // a text that the output must not contain
}

// TestFirstDay guards against a command that works with a fake server but not
// with a deployment, and against an error message for a mistake that lacks the
// cause or the remedy.
func TestFirstDay(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	r := newRig(t, ctx)
	r.writeRecords(t)
	r.runSteps(t, ctx, setUp)
	if err := r.d.AwaitReady(ctx, 1, caller.Shards+r.zones); err != nil {
		t.Fatal(err)
	}
	r.runSteps(t, ctx, newAccount)
	r.runSteps(t, ctx, []step{{"lighting-office", "submit DIR/gang.toml -id gang-1", 0, []string{"gang-1"}, ""}})
	r.await(t, ctx, "lighting-office", "jobs", "running")
	start := r.clock.Now()
	r.runSteps(t, ctx, []step{{"telescope", "submit DIR/claim.toml -id claim-1", 0, []string{"claim-1", "dome"}, ""}})
	r.await(t, ctx, "telescope", "jobs", "running")
	if took := r.clock.Now().Sub(start); took > maxUrgentStart {
		t.Errorf("the claim started after %v; the bound is %v", took, maxUrgentStart)
	}
	r.runSteps(t, ctx, whileRunning)
	r.await(t, ctx, "almaz", "workers -zone akaki", "evacuated")
	r.runSteps(t, ctx, []step{{"almaz", "evacuate akaki -undo", 0, []string{"zone/akaki"}, ""}})
	r.await(t, ctx, "almaz", "workers -zone akaki", " up ")
	r.await(t, ctx, "almaz", "history", "almaz")
	r.await(t, ctx, "almaz", "audit -zone akaki", "claims")
	r.await(t, ctx, "almaz", "nodes", "place/akaki")
	r.runSteps(t, ctx, reports)
}

func (r *rig) runSteps(t *testing.T, ctx context.Context, steps []step) {
	t.Helper()
	for _, s := range steps {
		status, out := r.run(ctx, s.context, s.line)
		t.Logf("%s> bronzewinch %s\n%sstatus %d", s.context, s.line, out, status)
		if status != s.status {
			t.Fatalf("%s> %s: status %d, want %d", s.context, s.line, status, s.status)
		}
		for _, text := range s.want {
			if !strings.Contains(out, text) {
				t.Errorf("%s> %s: the output lacks %q", s.context, s.line, text)
			}
		}
		if s.unwanted != "" && strings.Contains(out, s.unwanted) {
			t.Errorf("%s> %s: the output contains %q", s.context, s.line, s.unwanted)
		}
	}
}

var setUp = []step{
	{"wrong", "nodes", command.StatusDenied, []string{"token"}, ""},
	{"bootstrap", "check -offline DIR/records", 0, []string{"no mistakes"}, ""},
	{"bootstrap", "apply DIR/unknownfield.toml", command.StatusInvalid, []string{"unknownfield.toml:5", "weight"}, ""},
	// The first operator record invalidates the bootstrap token.
	{"bootstrap", "apply -wait DIR/records", command.StatusNotInForce, []string{"revision 1 is accepted", "token", "bronzewinch nodes"}, ""},
	{"bootstrap", "nodes", command.StatusDenied, []string{"token"}, ""},
	{"almaz", "nodes", 0, []string{"node-1", "node-2", "node-3", "live"}, "down"},
}

var newAccount = []step{
	{"almaz", "apply DIR/toobig.toml", command.StatusInvalid, []string{"neverFits", "toobig"}, ""},
	{"almaz", "apply -wait DIR/telescope.toml", 0, []string{"account/telescope", "guarantee/telescope/dome", "in force"}, "not yet"},
	{"almaz", "get account/telescope -schema v2 -o toml", 0, []string{"v2", "[[record.tokens]]", "baseRevision = 2"}, ""},
	{"dawit", "get guarantee/telescope/dome -schema v2 -o toml", 0, []string{"perWorker", "locality"}, ""},
	{"dawit", "apply DIR/heavier.toml", 0, []string{"account/telescope"}, ""},
	// A wrong base revision is a conflict with both versions.
	{"almaz", "apply DIR/lighter.toml", command.StatusConflict, []string{"weight = 7", "weight = 5", "baseRevision"}, ""},
}

var whileRunning = []step{
	{"lighting-office", "explain gang-1", 0, []string{"gang-1", "waiting"}, "telescope"},
	{"telescope", "explain claim-1", 0, []string{"dome", "a gang of another account was stopped"}, "lighting-office"},
	{"almaz", "explain claim-1", 0, []string{"gang-1 of account lighting-office was stopped"}, ""},
	{"schools", "explain claim-1", command.StatusNotFound, []string{"claim-1"}, "dome"},
	{"schools", "cancel claim-1", command.StatusNotFound, []string{"claim-1"}, "running"},
	{"schools", "submit DIR/never.toml", command.StatusInvalid, []string{"neverFits", "ask for at most"}, ""},
	{"schools", "submit DIR/claim.toml", command.StatusDenied, []string{"telescope"}, ""},
	{"schools", "drain akaki-r1-w1", command.StatusDenied, []string{"operator"}, ""},
	{"members", "submit DIR/wide.toml -id wide-1", 0, []string{"wide-1", "waiting"}, ""},
	{"members", "explain wide-1", 0, []string{"wide-1", "waiting"}, ""},
	{"almaz", "workers -zone akaki", 0, []string{"akaki-r1-w1", "up"}, ""},
	{"almaz", "drain akaki-r1-w1", 0, []string{"draining"}, ""},
	{"almaz", "workers -zone akaki", 0, []string{"draining"}, ""},
	{"almaz", "drain akaki-r9-w1", command.StatusNotFound, []string{"akaki-r9-w1"}, ""},
	{"almaz", "drain akaki-r1-w1 -undo", 0, []string{"up"}, ""},
	{"schools", "evacuate akaki", command.StatusDenied, []string{"operator"}, ""},
	{"almaz", "evacuate nowhere", command.StatusNotFound, []string{"zone/nowhere"}, ""},
	{"almaz", "evacuate akaki", 0, []string{"zone/akaki"}, ""},
	{"almaz", "workers -zone nowhere", command.StatusNotFound, []string{"nowhere"}, ""},
}

var reports = []step{
	{"almaz", "history account/telescope", 0, []string{"dawit", "almaz", "3 nodes, after "}, ""},
	{"almaz", "audit", 0, []string{"checked"}, "FINDING"},
	{"almaz", "report burn", 0, []string{"urgent-start", "config-in-force"}, ""},
	{"almaz", "top -once", 0, []string{"node-1", "akaki"}, ""},
	{"almaz", "workers", 0, []string{"entoto-r1-w1"}, ""},
	{"almaz", "cancel claim-1 wide-1", 0, []string{"cancelled"}, "by its account"},
	{"almaz", "cancel claim-9", command.StatusNotFound, []string{"claim-9"}, "PHASE"},
	{"almaz", "cancel gang-1", 0, []string{"gang-1"}, ""},
}

// writeRecords writes the record files that the steps apply and submit.
func (r *rig) writeRecords(t *testing.T) {
	t.Helper()
	account := "[[record]]\nschema = \"v1\"\nkind = \"account\"\nname = \"telescope\"\ntokens = [\"" + string(token.New(telescopeToken).Hash()) +
		"\"]\nquotaAccelerators = 64\nrequestsPerSecond = 10\nconcurrency = 10\n"
	guarantee := "[[record]]\nschema = \"v1\"\nkind = \"guarantee\"\naccount = \"telescope\"\ncount = 1\nzone = \"akaki\"\n" +
		"acceleratorsPerWorker = 8\ncoresPerWorker = 32\nmemoryGB = 128\nnear = \"rack\"\n"
	work := "[[record]]\nschema = \"v2\"\nkind = \"job\"\nzone = \"akaki\"\ndeclaredRun = \"1h\"\ncheckpointEvery = \"5m\"\nprogram = \"skymap/average\"\n"
	for name, text := range map[string]string{
		"unknownfield": "[[record]]\nschema = \"v1\"\nkind = \"account\"\nname = \"telescope\"\nweigth = 2\n",
		"toobig":       strings.Replace(guarantee, "telescope", "members", 1) + "name = \"toobig\"\nworkers = 7\n",
		"telescope":    account + guarantee + "name = \"dome\"\nworkers = 4\n",
		"heavier":      account + "weight = 7\nbaseRevision = 2\n",
		"lighter":      account + "weight = 5\nbaseRevision = 2\n",
		"gang":         work + "name = \"gang\"\naccount = \"lighting-office\"\nshape = { workers = 12, locality = \"zone\", perWorker = { accelerators = 1, cores = 4, memory = \"16GiB\" } }\n",
		"claim": "[[record]]\nschema = \"v1\"\nkind = \"job\"\nname = \"claim\"\naccount = \"telescope\"\nclaim = \"dome\"\nurgent = true\nworkers = 4\n" +
			"acceleratorsPerWorker = 8\ncoresPerWorker = 32\nmemoryGB = 128\nnear = \"rack\"\ndeclaredRunSeconds = 3600\ncheckpointEverySeconds = 600\nprogram = \"skymap/dome\"\n",
		"never": work + "name = \"never\"\naccount = \"schools\"\nshape = { workers = 13, locality = \"zone\", perWorker = { accelerators = 1, cores = 1, memory = \"1GiB\" } }\n",
		"wide":  work + "name = \"wide\"\naccount = \"members\"\nshape = { workers = 12, locality = \"zone\", perWorker = { accelerators = 1, cores = 1, memory = \"1GiB\" } }\n",
	} {
		r.write(t, name+".toml", text)
	}
}
