package command_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"bronzewinch.dev/bronzewinch/command"
	"bronzewinch.dev/lib/burn"
	"bronzewinch.dev/lib/decision"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/operator"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/timer"
	"bronzewinch.dev/lib/token"

	"github.com/VictoriaMetrics/metrics"
)

var aliceToken = token.New("example-token-alice")

// fakeCluster implements the interfaces behind the operator frontend.
type fakeCluster struct {
	set *record.Set
	// staleReads is the number of calls of InForce in which the second node still
	// has the previous revision.
	staleReads int
	jobs       map[id.Job]job.Job
	// nextPhase is the phase that a job has from its second Get on.
	nextPhase job.Phase
	// decisions holds the decision records of zone z1.
	decisions []decision.Record
	// stopAfterGets is the number of calls of Get after which the server stops;
	// zero means never.
	stopAfterGets int
	stop          func()
}

func (f *fakeCluster) Apply(_ context.Context, c record.Change) (id.Revision, error) {
	next, err := f.set.With(c, f.set.Revision+1)
	if err == nil {
		f.set = next
	}
	return f.set.Revision, err
}

func (f *fakeCluster) Current() *record.Set { return f.set }
func (f *fakeCluster) History(context.Context) ([]record.AcceptedChange, error) {
	return f.set.History(), nil
}
func (f *fakeCluster) InForceSince(context.Context) (map[id.Revision][]operator.NodeTime, error) {
	history := f.set.History()
	if len(history) == 0 {
		return nil, nil
	}
	last := history[len(history)-1]
	return map[id.Revision][]operator.NodeTime{last.Revision: {{Node: "n1", At: last.At.Add(time.Second)}}}, nil
}
func (f *fakeCluster) Bind(*record.Set) ([]record.CopyZones, error) { return nil, nil }

func (f *fakeCluster) InForce(context.Context) ([]operator.NodeRevision, error) {
	second := f.set.Revision
	if f.staleReads--; f.staleReads >= 0 {
		second--
	}
	return []operator.NodeRevision{{Node: "n1", Zone: "z1", Revision: f.set.Revision}, {Node: "n2", Zone: "z1", Revision: second}}, nil
}

func (f *fakeCluster) Nodes(context.Context) ([]operator.Node, error) {
	return []operator.Node{{ID: "n1", Zone: "z1", Live: true, Revision: 3, Owned: map[id.Shard]id.Epoch{"place/z1": 4, "once/01": 1}}}, nil
}

func (f *fakeCluster) Workers(context.Context, id.Zone) ([]operator.Worker, error) {
	return []operator.Worker{{Name: "w1", State: operator.WorkerUp}}, nil
}

func (f *fakeCluster) Drain(_ context.Context, w id.Worker, drain bool) (operator.Worker, error) {
	if drain {
		return operator.Worker{Name: w, State: operator.WorkerDraining}, nil
	}
	return operator.Worker{Name: w, State: operator.WorkerUp}, nil
}

// burn reports 20 bad requests of 100 and a late urgent start.
func (f *fakeCluster) burn(context.Context) (any, error) {
	set, now := record.NewSet(), time.Now()
	set.Objectives["answers"] = record.Objective{Name: "answers", Measure: record.Measure{Indicator: record.CompleteResponses}, Target: 0.99, Window: 720 * time.Hour, Bound: record.Bound{Time: time.Second}}
	set.Objectives["urgent"] = record.Objective{Name: "urgent", Measure: record.Measure{Indicator: record.UrgentStart}, Target: 0.99, Window: 720 * time.Hour, Bound: record.Bound{Time: 3600 * time.Millisecond}}
	c := burn.NewCounts(burn.Config{})
	c.SetBounds(burn.BoundsOf(set))
	for n := range 100 {
		c.Observe(burn.Request{Account: "skymap", Zone: "z1", ID: id.Request(fmt.Sprint("r", n)), Done: n%5 > 0, Cause: "<b>backend"}, now)
	}
	c.Observe(burn.UrgentStart{Account: "skymap", Zone: "z1", Job: "j1", Elapsed: time.Minute}, now)
	return burn.Evaluate(burn.Merge([]burn.Snapshot{c.Snapshot("n1", now)}), set, now), nil
}

func (f *fakeCluster) Submit(_ context.Context, name id.Job, spec job.Spec) (job.Job, error) {
	f.jobs[name] = job.Job{ID: name, Spec: spec, Phase: job.Waiting, Zone: "z1"}
	return f.jobs[name], nil
}

func (f *fakeCluster) Get(_ context.Context, name id.Job) (job.Job, error) {
	if f.stopAfterGets > 0 {
		if f.stopAfterGets--; f.stopAfterGets == 0 {
			f.stop()
		}
	}
	j, ok := f.jobs[name]
	if !ok {
		return j, problem.New(problem.NotFound, problem.Detail{Field: "job", Value: string(name), Remedy: "list the jobs"})
	}
	next := j
	next.Phase = f.nextPhase
	f.jobs[name] = next
	return j, nil
}

func (f *fakeCluster) List(_ context.Context, q operator.JobQuery) ([]job.Job, error) {
	var list []job.Job
	for _, j := range f.jobs {
		list = append(list, j)
	}
	return list, nil
}

func (f *fakeCluster) Cancel(_ context.Context, names []id.Job) ([]job.Job, error) {
	return []job.Job{{ID: names[0], Phase: job.Cancelled}}, nil
}

func (f *fakeCluster) Decisions(_ context.Context, q operator.DecisionQuery) ([]decision.Record, error) {
	if f.decisions != nil {
		var list []decision.Record
		for _, r := range f.decisions {
			if r.Epoch > q.Epoch || r.Epoch == q.Epoch && r.Version > q.Version {
				list = append(list, r)
			}
		}
		return list[:min(len(list), q.Limit)], nil
	}
	return []decision.Record{{Rule: decision.RuleWait, Zone: "z1"}}, nil
}

// rig is a server with a fakeCluster behind it, and a directory of files for
// the commands.
type rig struct {
	*fakeCluster
	dir, url string
}

func newRig(t *testing.T) *rig {
	t.Helper()
	f := &fakeCluster{jobs: make(map[id.Job]job.Job), nextPhase: job.Succeeded}
	change := record.Change{ID: "c1", Author: "alice"}
	for _, text := range []string{fmt.Sprintf("schema = \"v1\"\nkind = \"operator\"\nname = \"alice\"\ntokens = [%q]\n", aliceToken.Hash()),
		fmt.Sprintf("schema = \"v1\"\nkind = \"account\"\nname = \"skymap\"\ntokens = [%q]\n", token.New("example-token-skymap").Hash())} {
		r, err := record.Parse(text)
		if err != nil {
			t.Fatal(err)
		}
		change.Put(r)
	}
	var err error
	if f.set, err = record.NewSet().With(change, 1); err != nil {
		t.Fatal(err)
	}
	s := httptest.NewServer(operator.New(operator.Config{Configuration: f, Jobs: f, Cluster: f, Binder: f, Metrics: metrics.NewSet(),
		Reports: map[string]operator.Report{"burn": f.burn}, Clock: timer.NewSystem(), Ready: func() error { return nil }}))
	t.Cleanup(s.Close)
	f.stop = func() {
		_ = s.Listener.Close() // later connections are refused
		go s.CloseClientConnections()
	}
	r := &rig{fakeCluster: f, dir: t.TempDir(), url: s.URL}
	r.write(t, "token", aliceToken.Reveal()+"\n")
	r.write(t, "contexts.toml", fmt.Sprintf("current = \"demo\"\n[context.demo]\naddresses = [%q]\ntokenFile = \"token\"\n", s.URL))
	r.write(t, "weight.toml", "[[record]]\nbaseRevision = 1\nweight = 7\n"+f.recordText(t, "account/skymap"))
	r.write(t, "old.toml", "[[record]]\nbaseRevision = 0\nweight = 8\n"+f.recordText(t, "account/skymap"))
	r.write(t, "wrong.toml", "[[record]]\nschema = \"v1\"\nkind = \"account\"\nname = \"A\"\ntokens = 3\n")
	r.write(t, "job.toml", "[[record]]\nschema = \"v2\"\nkind = \"job\"\nname = \"j\"\naccount = \"skymap\"\ndeclaredRun = \"1h\"\nprogram = \"p\"\n[record.shape]\nworkers = 1\nlocality = \"rack\"\nperWorker = {cores = 1, memory = \"1GiB\"}\n")
	const header = "I1204 14:28:08.000000 443 cycle.go:275] \"decision\" fence=1 commit=1 "
	validLog := header + "event=\"accepted\" job=\"00aa\" attempts=2 occurrences=1 steps=\"1x1a1c1m\"\n" +
		header + "event=\"start\" job=\"00aa\" task=\"00aa.0.0.0\" run=1 worker=\"w\"\n"
	const config = "{\"version\":%d,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"prefix\":\"/r/\",\"service\":\"s\",\"attempts\":%d,\"slack_factor\":2}]," +
		"\"services\":[{\"name\":\"s\"}],\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"k\"]}]}"
	r.write(t, "platform.json", fmt.Sprintf(config, 7, 4))
	r.write(t, "platform-bad.json", fmt.Sprintf(config, 8, 0))
	r.write(t, "workers.json", "{}")
	r.write(t, "done.log", header+"event=\"accepted\" job=\"00aa\" reason=\"q\" account=\"a\" steps=\"1x1a1c1m,est=900\"\n"+
		header+"event=\"ended\" job=\"00aa\" task=\"00aa.0.0.0\" run=1 reason=\"done: reported by the worker\" ageMs=1000 expectedMs=900\n")
	r.write(t, "sound.log", validLog)
	r.write(t, "twice.log", validLog+header+"event=\"start\" job=\"00aa\" task=\"00aa.0.0.0\" run=2 worker=\"w\"\n")
	return r
}

func (f *fakeCluster) recordText(t *testing.T, name string) string {
	t.Helper()
	key, err := record.ParseKey(name)
	if err != nil {
		t.Fatal(err)
	}
	w, err := f.set.Get(key)
	if err != nil {
		t.Fatal(err)
	}
	return w.Record.Text()
}

func (r *rig) write(t *testing.T, name, text string) {
	t.Helper()
	if err := os.WriteFile(filepath.Join(r.dir, name), []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// run runs a command line, with DIR and URL replaced by those of the rig.
func (r *rig) run(ctx context.Context, line string) (status int, out, errs string) {
	args := strings.Fields(strings.NewReplacer("DIR", r.dir, "URL", r.url).Replace(line))
	var stdout, stderr bytes.Buffer
	status = command.Run(ctx, args, command.Config{Out: &stdout, Err: &stderr, Clock: fastClock{}, Commands: command.All()})
	return status, stdout.String(), stderr.String()
}

// fastClock is the system clock, but every wait takes 1 ms.
type fastClock struct{ timer.System }

func (fastClock) After(time.Duration) *timer.Subscription {
	return timer.NewSystem().After(time.Millisecond)
}
