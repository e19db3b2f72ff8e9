package operator_test

import (
	"bytes"
	"strings"
	"testing"

	"bronzewinch.dev/lib/decision"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/operator"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/token"

	"github.com/matryer/is"
	"k8s.io/klog/v2"
)

func changeRequest(name string, text string) operator.ChangeRequest {
	return operator.ChangeRequest{ChangeID: record.ChangeID(name), Files: []operator.File{{Name: "a.toml", Text: "[[record]]\n" + text}}}
}

// TestRequests guards against a missing access check, a response with the wrong
// status, and input that is accepted without validation.
func TestRequests(t *testing.T) {
	reweighted := accountText("skymap", skymapToken, "weight = 2\n")
	tests := []struct {
		name         string
		token        token.Token
		method, path string
		body         any
		status       int
		contains     string
	}{
		{"no token", token.Token{}, "GET", "/v1/jobs", nil, 401, "unauthenticated"},
		{"wrong token", token.New("example-token-nobody"), "GET", "/v1/jobs", nil, 401, "unauthenticated"},
		{"hash as token", token.New(string(aliceToken.Hash())), "GET", "/v1/jobs", nil, 401, "unauthenticated"},
		{"account reads records", skymapToken, "GET", "/v1/records", nil, 403, "denied"},
		{"account applies", skymapToken, "POST", "/v1/changes", changeRequest("c2", reweighted), 403, "denied"},
		{"account drains", skymapToken, "PUT", "/v1/workers/w1/drain", operator.DrainRequest{Drain: true}, 403, "denied"},
		{"account lists another's jobs", skymapToken, "GET", "/v1/jobs?account=yard", nil, 403, "denied"},
		{"account reads another's job", skymapToken, "GET", "/v1/jobs/j2", nil, 404, "notFound"},
		{"account explains another's job", skymapToken, "GET", "/v1/jobs/j2/explain", nil, 404, "notFound"},
		{"account reads another's decisions", skymapToken, "GET", "/v1/jobs/j2/decisions", nil, 404, "notFound"},
		{"account submits for another", yardToken, "POST", "/v1/jobs", operator.SubmitRequest{Job: "x", File: operator.File{Text: jobFile}}, 403, "denied"},
		{"account submits", skymapToken, "POST", "/v1/jobs", operator.SubmitRequest{Job: "x", File: operator.File{Text: jobFile}}, 200, `"waiting"`},
		{"job of an unknown zone", skymapToken, "POST", "/v1/jobs", operator.SubmitRequest{Job: "x", File: operator.File{Text: jobFile + "zone = \"z9\"\n"}}, 404, "z9"},
		{"operator drains", aliceToken, "PUT", "/v1/workers/w1/drain", operator.DrainRequest{Drain: true}, 200, `"draining"`},
		{"conflict", aliceToken, "POST", "/v1/changes", changeRequest("c2", reweighted), 409, `"currentText"`},
		{"overwrite", aliceToken, "POST", "/v1/changes/check", `{"overwrite":true,"files":[{"name":"a","text":"[[record]]\nschema = \"v1\""}]}`, 400, `"mistakes"`},
		{"bad change id", aliceToken, "POST", "/v1/changes", changeRequest("C 2", reweighted), 400, "changeId"},
		{"unknown field", aliceToken, "POST", "/v1/changes", `{"changeID":"c2","filez":[]}`, 400, "filez"},
		{"wrong type", aliceToken, "POST", "/v1/changes", `{"files":3}`, 400, "files"},
		{"two values", aliceToken, "POST", "/v1/changes", `{}{}`, 400, "one JSON value"},
		{"unknown parameter", aliceToken, "GET", "/v1/jobs?acount=x", nil, 400, "acount"},
		{"bad number", aliceToken, "GET", "/v1/jobs?limit=-1", nil, 400, "limit"},
		{"too large", aliceToken, "POST", "/v1/changes", `{"changeId":"` + strings.Repeat("x", 65<<10), 413, "split"},
		{"v1 and v2", aliceToken, "GET", "/v1/records?record=account/yard&schema=v2", nil, 200, `"writtenSchema":"v1"`},
		{"bad schema", aliceToken, "GET", "/v1/records?schema=v3", nil, 400, "v1 or v2"},
		{"absent record", aliceToken, "GET", "/v1/records?record=account/none", nil, 404, "account/none"},
		{"history", aliceToken, "GET", "/v1/changes?record=account/yard", nil, 200, `"changeId":"c1"`},
		{"history with times", aliceToken, "GET", "/v1/changes", nil, 200, `"inForce":[{"node":"n1"`},
		{"in force", aliceToken, "GET", "/v1/inForce?revision=1", nil, 200, `"everywhere":true`},
		{"not in force", aliceToken, "GET", "/v1/inForce?revision=2", nil, 200, `"everywhere":false`},
		{"report", aliceToken, "GET", "/v1/reports/burn", nil, 200, `"burn":1`},
		{"fault hides its text", aliceToken, "GET", "/v1/reports/fault", nil, 500, "see the log"},
		// net/http panics on status 0, so that the client gets no response.
		{"shard is moving", aliceToken, "GET", "/v1/reports/moving", nil, 503, "notOwner"},
		{"kind without a status", aliceToken, "GET", "/v1/reports/new", nil, 500, "see the log"},
		{"no report", aliceToken, "GET", "/v1/reports/none", nil, 404, "notFound"},
		{"no path", aliceToken, "GET", "/v2/x", nil, 404, "notFound"},
		{"wrong method", aliceToken, "DELETE", "/v1/jobs", nil, 405, "DELETE"},
		{"health", token.Token{}, "GET", "/healthz", nil, 200, "ok"},
		{"ready", token.Token{}, "GET", "/readyz", nil, 200, "ready"},
		{"metrics", token.Token{}, "GET", "/metrics", nil, 200, "bronzewinch_stage_seconds"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newFake(t).frontend()
			if tt.name == "metrics" {
				send(f, aliceToken, "GET", "/v1/nodes", nil)
			}
			w := send(f, tt.token, tt.method, tt.path, tt.body)
			is.Equal(w.Code, tt.status)
			is.True(strings.Contains(w.Body.String(), tt.contains))
			is.True(!strings.Contains(w.Body.String(), "internal detail"))
			if tt.status >= 400 {
				is.Equal(w.Header().Get("Content-Type"), "application/problem+json")
				is.True(decodeResponse[operator.ErrorBody](t, w).Problem.Remedy != "")
			}
		})
	}
}

// TestApplyIsIdempotent guards against a retried change that is applied twice or
// reported as failed. A client retries when it did not get the first response.
func TestApplyIsIdempotent(t *testing.T) {
	is := is.New(t)
	fake := newFake(t)
	f := fake.frontend()
	req := changeRequest("c2", accountText("skymap", skymapToken, "weight = 2\nbaseRevision = 1\n"))
	first := decodeResponse[operator.ChangeResult](t, send(f, aliceToken, "POST", "/v1/changes", req))
	is.Equal(first.Revision, id.Revision(2))
	is.Equal(first.Changed, []string{"account/skymap"})
	is.Equal(fake.set.Accounts["skymap"].Weight, 2)
	is.Equal(decodeResponse[operator.ChangeResult](t, send(f, aliceToken, "POST", "/v1/changes", req)).Revision, id.Revision(2))
	req.ChangeID = "c3"
	same := decodeResponse[operator.ChangeResult](t, send(f, aliceToken, "POST", "/v1/changes", req))
	is.Equal(same.Revision, id.Revision(2))
	is.Equal(len(same.Changed), 0)
	req.Files[0].Text = strings.Replace(req.Files[0].Text, "weight = 2", "weight = 5", 1)
	diff := decodeResponse[operator.DiffResult](t, send(f, aliceToken, "POST", "/v1/changes/diff", req))
	is.Equal(len(diff.Diffs), 1)
	req.Overwrite = true
	is.Equal(decodeResponse[operator.ChangeResult](t, send(f, aliceToken, "POST", "/v1/changes", req)).Revision, id.Revision(3))
}

// TestBootstrapEndsWithFirstOperator guards against a new deployment that nobody
// can configure, and a bootstrap token that stays valid once there is an operator.
func TestBootstrapEndsWithFirstOperator(t *testing.T) {
	is := is.New(t)
	fake := newFake(t)
	fake.set = record.NewSet()
	f := fake.frontend()
	is.Equal(send(f, aliceToken, "GET", "/v1/records", nil).Code, 401)
	is.Equal(send(f, token.Token{}, "GET", "/v1/records", nil).Code, 401)
	text := "schema = \"v1\"\nkind = \"operator\"\nname = \"alice\"\ntokens = [\"" + string(aliceToken.Hash()) + "\"]\n"
	is.Equal(send(f, bootstrapToken, "POST", "/v1/changes", changeRequest("c1", text)).Code, 200)
	is.Equal(fake.set.History()[0].Author, operator.BootstrapName)
	is.Equal(send(f, bootstrapToken, "GET", "/v1/records", nil).Code, 401)
	is.Equal(send(f, aliceToken, "GET", "/v1/records", nil).Code, 200)
}

// TestInfeasibleGuaranteesAreRejected guards against a configuration that
// guarantees more capacity than the fleet has.
func TestInfeasibleGuaranteesAreRejected(t *testing.T) {
	is := is.New(t)
	fake := newFake(t)
	fake.err = problem.New(problem.NeverFits, problem.Detail{Field: "guarantee/skymap/big", Remedy: "request 2 workers"})
	req := changeRequest("c2", accountText("skymap", skymapToken, "weight = 2\nbaseRevision = 1\n"))
	for _, path := range []string{"/v1/changes", "/v1/changes/check"} {
		is.Equal(send(fake.frontend(), aliceToken, "POST", path, req).Code, 422)
	}
	is.Equal(fake.set.Revision, id.Revision(1))
}

// TestCancelOwnOnly guards against an account that cancels or lists the jobs of
// other accounts.
func TestCancelOwnOnly(t *testing.T) {
	is := is.New(t)
	fake := newFake(t)
	w := send(fake.frontend(), skymapToken, "POST", "/v1/jobs/cancel", operator.CancelRequest{Jobs: []id.Job{"j1", "j2", "j1", "j9"}})
	got := decodeResponse[operator.CancelResult](t, w)
	is.Equal(len(got.Jobs), 1)
	is.Equal(got.NotFound, []id.Job{"j2", "j9"})
	is.Equal(fake.jobs["j2"].Phase, job.Phase(""))
	list := decodeResponse[operator.JobList](t, send(fake.frontend(), skymapToken, "GET", "/v1/jobs", nil))
	is.Equal(len(list.Jobs), 1)
}

// TestDecisionsAreRedactedForAccounts guards against decisions that reveal to an
// account which jobs of other accounts were preempted, or how others' jobs
// influenced the choice of workers.
func TestDecisionsAreRedactedForAccounts(t *testing.T) {
	is := is.New(t)
	fake := newFake(t)
	fake.decisions = []decision.Record{{Job: "j1", Spec: job.Spec{Account: "skymap"}, Rule: decision.RulePreempt,
		Reason: "preempts yard", Members: []job.Member{{Worker: "w1"}}, Victims: []decision.Victim{{Job: "j2", Account: "yard"}},
		Alternatives: []decision.Alternative{{Where: "rack r2", Reason: "runs a job of yard"}}}}
	for _, path := range []string{"/v1/jobs/j1/explain", "/v1/jobs/j1/decisions"} {
		body := send(fake.frontend(), skymapToken, "GET", path, nil).Body.String()
		is.True(strings.Contains(body, "w1"))
		is.True(!strings.Contains(body, "yard") && !strings.Contains(body, "j2"))
		is.True(strings.Contains(send(fake.frontend(), aliceToken, "GET", path, nil).Body.String(), "yard"))
	}
}

// TestOverload guards against an unbounded number of requests in progress, and a
// rejection without a Retry-After header.
func TestOverload(t *testing.T) {
	is := is.New(t)
	fake := newFake(t)
	fake.block = make(chan struct{})
	f := fake.frontend()
	done := make(chan int)
	go func() { done <- send(f, aliceToken, "GET", "/v1/workers", nil).Code }()
	<-fake.block
	w := send(f, aliceToken, "GET", "/v1/nodes", nil)
	is.Equal(w.Code, 429)
	is.Equal(w.Header().Get("Retry-After"), "1")
	fake.block <- struct{}{}
	is.Equal(<-done, 200)
	fake.set = nil
	is.Equal(send(f, aliceToken, "GET", "/v1/nodes", nil).Code, 503)
	is.Equal(send(f, token.Token{}, "GET", "/readyz", nil).Code, 503)
}

// TestNoTokenInLogsOrErrors guards against a token that appears in a log line or a
// response, also when the client sent it in the wrong place.
func TestNoTokenInLogsOrErrors(t *testing.T) {
	is := is.New(t)
	var logs bytes.Buffer
	klog.LogToStderr(false)
	klog.SetOutput(&logs)
	defer klog.LogToStderr(true)
	f := newFake(t).frontend()
	secret := token.New("example-token-secret")
	var responses strings.Builder
	for _, body := range []any{
		changeRequest("c2", "schema = \"v1\"\nkind = \"operator\"\nname = \"eve\"\ntokens = [\""+secret.Reveal()+"\"]\n"),
		changeRequest("c2", "schema = \"v2\"\nkind = \"operator\"\nname = \"eve\"\ntokens = [{sha256 = \""+secret.Reveal()+"\"}]\n"),
		changeRequest("c2", "schema = \"v2\"\nkind = \"account\"\nname = \"eve\"\ntokens = \""+secret.Reveal()+"\"\n"),
		changeRequest("c2", "tokens = "+secret.Reveal()+"\n"),
		`{"token":"` + secret.Reveal() + `"}`, `{"files":"` + secret.Reveal() + `"}`, secret.Reveal(),
	} {
		for _, caller := range []token.Token{aliceToken, secret} {
			w := send(f, caller, "POST", "/v1/changes", body)
			is.True(w.Code >= 400)
			responses.WriteString(w.Body.String())
		}
	}
	responses.WriteString(send(f, aliceToken, "GET", "/v1/reports/fault", nil).Body.String())
	responses.WriteString(send(f, aliceToken, "GET", "/metrics", nil).Body.String())
	klog.Flush()
	is.True(strings.Contains(logs.String(), "internal detail")) // the log output is captured
	for _, text := range []string{secret.Reveal(), aliceToken.Reveal()} {
		is.True(!strings.Contains(responses.String(), text))
		is.True(!strings.Contains(logs.String(), text))
	}
}
