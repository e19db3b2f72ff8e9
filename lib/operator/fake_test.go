package operator_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

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

var (
	bootstrapToken = token.New("example-token-bootstrap")
	aliceToken     = token.New("example-token-alice")
	skymapToken    = token.New("example-token-skymap")
	yardToken      = token.New("example-token-yard")
)

const jobFile = "[[record]]\nschema = \"v1\"\nkind = \"job\"\nname = \"j\"\naccount = \"skymap\"\ndeclaredRunSeconds = 60\nprogram = \"p\"\nworkers = 1\ncoresPerWorker = 1\nmemoryGB = 1\nnear = \"rack\"\n"

func accountText(name string, t token.Token, more string) string {
	return fmt.Sprintf("schema = \"v1\"\nkind = \"account\"\nname = %q\ntokens = [%q]\n%s", name, t.Hash(), more)
}

// fake implements Configuration, Jobs, Cluster and the binder.
type fake struct {
	set       *record.Set
	jobs      map[id.Job]job.Job
	decisions []decision.Record
	block     chan struct{}
	err       error
}

func newFake(t *testing.T) *fake {
	t.Helper()
	c := record.Change{ID: "c1", Author: "alice"}
	for _, text := range []string{accountText("skymap", skymapToken, ""), accountText("yard", yardToken, ""),
		fmt.Sprintf("schema = \"v1\"\nkind = \"operator\"\nname = \"alice\"\ntokens = [%q]\n", aliceToken.Hash())} {
		r, err := record.Parse(text)
		if err != nil {
			t.Fatal(err)
		}
		c.Put(r)
	}
	s, err := record.NewSet().With(c, 1)
	if err != nil {
		t.Fatal(err)
	}
	jobs := map[id.Job]job.Job{"j1": {ID: "j1", Spec: job.Spec{Account: "skymap"}}, "j2": {ID: "j2", Spec: job.Spec{Account: "yard"}}}
	return &fake{set: s, jobs: jobs}
}

func (f *fake) Apply(_ context.Context, c record.Change) (id.Revision, error) {
	next, err := f.set.With(c, f.set.Revision+1)
	if err != nil {
		return 0, err
	}
	f.set = next
	return next.Revision, nil
}

func (f *fake) Current() *record.Set                                     { return f.set }
func (f *fake) History(context.Context) ([]record.AcceptedChange, error) { return f.set.History(), nil }
func (f *fake) InForceSince(context.Context) (map[id.Revision][]operator.NodeTime, error) {
	return map[id.Revision][]operator.NodeTime{f.set.Revision: {{Node: "n1", At: time.Unix(200, 0)}}}, f.err
}
func (f *fake) Bind(*record.Set) ([]record.CopyZones, error) { return nil, f.err }
func (f *fake) Nodes(context.Context) ([]operator.Node, error) {
	return []operator.Node{{ID: "n1"}}, f.err
}
func (f *fake) Workers(context.Context, id.Zone) ([]operator.Worker, error) {
	if f.block != nil {
		f.block <- struct{}{}
		<-f.block
	}
	return nil, nil
}

func (f *fake) InForce(context.Context) ([]operator.NodeRevision, error) {
	return []operator.NodeRevision{{Node: "n1", Revision: f.set.Revision}, {Node: "n2", Revision: 1}}, nil
}

func (f *fake) Drain(_ context.Context, w id.Worker, drain bool) (operator.Worker, error) {
	return operator.Worker{Name: w, State: map[bool]operator.WorkerState{true: operator.WorkerDraining, false: operator.WorkerUp}[drain]}, nil
}

func (f *fake) Submit(_ context.Context, name id.Job, spec job.Spec) (job.Job, error) {
	f.jobs[name] = job.Job{ID: name, Spec: spec, Phase: job.Waiting}
	return f.jobs[name], nil
}

func (f *fake) Get(_ context.Context, name id.Job) (job.Job, error) {
	j, ok := f.jobs[name]
	if !ok {
		return j, problem.New(problem.NotFound, problem.Detail{Field: "job", Value: string(name), Remedy: "list the jobs with `bronzewinch jobs`"})
	}
	return j, nil
}

// List ignores q.Account, so that the tests cover the Frontend's own access check.
func (f *fake) List(_ context.Context, q operator.JobQuery) ([]job.Job, error) {
	var list []job.Job
	for _, name := range []id.Job{"j1", "j2"} {
		if len(q.IDs) == 0 || slices.Contains(q.IDs, name) {
			list = append(list, f.jobs[name])
		}
	}
	return list, nil
}

func (f *fake) Cancel(_ context.Context, names []id.Job) ([]job.Job, error) {
	var list []job.Job
	for _, name := range names {
		j := f.jobs[name]
		j.Phase = job.Cancelled
		f.jobs[name] = j
		list = append(list, j)
	}
	return list, nil
}

func (f *fake) Decisions(context.Context, operator.DecisionQuery) ([]decision.Record, error) {
	return f.decisions, nil
}

func (f *fake) frontend() *operator.Frontend {
	return operator.New(operator.Config{Configuration: f, Jobs: f, Cluster: f, Binder: f, Metrics: metrics.NewSet(),
		Clock: timer.NewManual(time.Unix(100, 0)), MaxBody: 64 << 10, MaxRequests: 1, Bootstrap: bootstrapToken.Hash(),
		Ready: func() error {
			if f.set == nil {
				return problem.New(problem.Unavailable, problem.Detail{Field: "configuration", Remedy: "wait"})
			}
			return nil
		},
		Reports: map[string]operator.Report{
			"burn":  func(context.Context) (any, error) { return map[string]int{"burn": 1}, nil },
			"fault": func(context.Context) (any, error) { return nil, errors.New("internal detail") },
			"moving": func(context.Context) (any, error) {
				return nil, problem.New(problem.NotOwner, problem.Detail{Remedy: "retry later"})
			},
			"new": func(context.Context) (any, error) {
				return nil, problem.New("kind of a later release", problem.Detail{Remedy: "see the log"})
			},
		}})
}

func send(f http.Handler, t token.Token, method, path string, body any) *httptest.ResponseRecorder {
	data, ok := body.(string)
	if !ok && body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		data = string(raw)
	}
	r := httptest.NewRequest(method, path, bytes.NewBufferString(data))
	if !t.Empty() {
		r.Header.Set("Authorization", "Bearer "+t.Reveal())
	}
	w := httptest.NewRecorder()
	f.ServeHTTP(w, r)
	return w
}

func decodeResponse[T any](t *testing.T, w *httptest.ResponseRecorder) T {
	t.Helper()
	var v T
	if err := json.Unmarshal(w.Body.Bytes(), &v); err != nil {
		t.Fatalf("%v: %s", err, w.Body)
	}
	return v
}
