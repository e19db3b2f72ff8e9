package deployment_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"bronzewinch.dev/lib/audit"
	"bronzewinch.dev/lib/caller"
	"bronzewinch.dev/lib/decision"
	"bronzewinch.dev/lib/dispatch"
	"bronzewinch.dev/lib/guarantee"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/operator"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/replay"
	"bronzewinch.dev/lib/timer"
	"bronzewinch.dev/lib/token"
	"bronzewinch.dev/lib/unit"
	"bronzewinch.dev/lib/worker"
	"bronzewinch.dev/standin/deployment"

	"github.com/matryer/is"
)

// site is a running example deployment and a token for its operator frontend.
type site struct {
	*deployment.Deployment
	t     *testing.T
	token string
	clock timer.Service
}

// newSite starts a deployment with the records of an example, with one node in
// each of the first three zones.
func newSite(t *testing.T, example string) *site {
	is := is.New(t)
	paths, err := filepath.Glob("../../examples/" + example + "/records/*.toml")
	is.NoErr(err)
	var files []operator.File
	for _, p := range paths {
		text, err := os.ReadFile(p)
		is.NoErr(err)
		files = append(files, operator.File{Name: filepath.Base(p), Text: string(text)})
	}
	bootstrap := token.Random()
	s := &site{t: t, token: bootstrap.Reveal(), clock: timer.NewSystem()}
	s.Deployment, err = deployment.Start(deployment.Config{Records: files, BootstrapHash: bootstrap.Hash(), Timer: s.clock,
		RunTime: func(r worker.Ref) time.Duration {
			h := fnv.New32a()
			fmt.Fprint(h, r.Job)
			return time.Duration(500+h.Sum32()%4000) * time.Millisecond
		}})
	is.NoErr(err)
	t.Cleanup(s.Close)
	zones := slices.Sorted(maps.Keys(s.Set.Zones))
	for i := range 3 {
		_, err := s.StartNode(id.Node(fmt.Sprint("node-", i)), zones[i])
		is.NoErr(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	is.NoErr(s.AwaitReady(ctx, 0, caller.Shards))
	is.NoErr(s.call("POST", "/v1/changes", operator.ChangeRequest{ChangeID: "first", Files: s.Records}, nil))
	text, err := os.ReadFile("../../examples/" + example + "/operator.token")
	is.NoErr(err)
	s.token = strings.TrimSpace(string(text))
	is.NoErr(s.AwaitReady(ctx, 1, caller.Shards+len(zones)))
	return s
}

// call sends a request to the operator frontends of the nodes in turn until one
// returns success.
func (s *site) call(method, path string, body, response any) error {
	var err error
	for _, n := range s.Nodes() {
		data, _ := json.Marshal(body)
		req, _ := http.NewRequest(method, n.OperatorURL()+path, bytes.NewReader(data))
		req.Header.Set("Authorization", "Bearer "+s.token)
		var resp *http.Response
		if resp, err = http.DefaultClient.Do(req); err != nil {
			continue
		}
		defer resp.Body.Close()
		var text bytes.Buffer
		if _, err = text.ReadFrom(resp.Body); err != nil {
			continue
		}
		if resp.StatusCode/100 != 2 {
			err = fmt.Errorf("%s %s: %d %s", method, path, resp.StatusCode, text.String())
			continue
		}
		if response != nil {
			return json.Unmarshal(text.Bytes(), response)
		}
		return nil
	}
	return err
}

func (s *site) submit(name id.Job, spec job.Spec) error {
	perWorker := spec.Shape.PerWorker
	text := fmt.Sprintf(`[[record]]
schema = "v2"
kind = "job"
name = %q
account = %q
claim = %q
urgent = %v
declaredRun = "1m"
checkpointEvery = "10s"
program = "p"
shape = { workers = %d, locality = %q, perWorker = { accelerators = %d, cores = %g, memory = "%dMiB" } }
`, name, spec.Account, spec.Claim, spec.Claim != "", spec.Shape.Workers, spec.Shape.Locality,
		perWorker.Accelerators, float64(perWorker.Cores)/float64(unit.Core), perWorker.Memory/unit.MiB)
	if spec.Claim == "" {
		text = strings.NewReplacer("claim = \"\"\n", "", "urgent = false\n", "").Replace(text)
	}
	return s.call("POST", "/v1/jobs", operator.SubmitRequest{Job: name, File: operator.File{Name: "job.toml", Text: text}}, nil)
}

// records reads all decision records of a zone in order, page by page.
func (s *site) records(zone id.Zone) []decision.Record {
	var log []decision.Record
	epoch, after := id.Epoch(0), uint64(0)
	for {
		var page operator.Decisions
		err := s.call("GET", fmt.Sprintf("/v1/zones/%s/decisions?epoch=%d&after=%d&limit=50", zone, epoch, after), nil, &page)
		if err != nil {
			s.t.Fatal(err)
		}
		if len(page.Decisions) == 0 {
			return log
		}
		log = append(log, page.Decisions...)
		epoch, after = log[len(log)-1].Epoch, log[len(log)-1].Version
	}
}

// submitMix submits a seeded mix of jobs and claims and cancels some of them.
// Meanwhile a worker fails and recovers, and the owner of the first zone fails.
func (s *site) submitMix(seed uint64) []id.Job {
	rng := rand.New(rand.NewPCG(seed, 0))
	accounts := slices.Sorted(maps.Keys(s.Set.Accounts))
	shapes := slices.SortedFunc(maps.Keys(s.Set.Guarantees), func(a, b record.GuaranteeKey) int {
		return strings.Compare(string(a.Account)+string(a.Name), string(b.Account)+string(b.Name))
	})
	fleet := s.Workers.Names()
	var jobs []id.Job
	for i := range 120 {
		switch i {
		case 30:
			s.Workers.Kill(fleet[rng.IntN(len(fleet))])
		case 60:
			s.failOwner()
		case 90:
			for _, w := range fleet {
				s.Workers.Restart(w)
			}
		}
		name := id.Job(fmt.Sprint("job-", i))
		spec := job.Spec{Account: accounts[rng.IntN(len(accounts))], Shape: job.Shape{Workers: unit.Workers(1 + rng.IntN(3)), Locality: job.SameRack,
			PerWorker: unit.Resources{Accelerators: unit.Accelerators(1 + rng.IntN(8)), Cores: 2 * unit.Core, Memory: 4 * unit.GiB}}}
		if rng.IntN(4) == 0 {
			key := shapes[rng.IntN(len(shapes))]
			spec = job.Spec{Account: key.Account, Claim: key.Name, Shape: s.Set.Guarantees[key].Shape}
		}
		if s.submit(name, spec) == nil { // jobs that exceed a quota are rejected
			jobs = append(jobs, name)
		}
		if rng.IntN(6) == 0 && len(jobs) > 0 {
			_ = s.call("POST", "/v1/jobs/cancel", operator.CancelRequest{Jobs: []id.Job{jobs[rng.IntN(len(jobs))]}}, nil)
		}
		_ = timer.Sleep(context.Background(), s.clock, time.Duration(rng.IntN(120))*time.Millisecond)
	}
	return jobs
}

// failOwner fails the owner of the first zone.
func (s *site) failOwner() {
	zone := slices.Sorted(maps.Keys(s.Set.Zones))[0]
	for _, n := range s.Nodes() {
		if _, ok := n.Owned()[dispatch.ShardOf(zone)]; ok {
			n.Fail()
			return
		}
	}
	s.t.Fatal("no node owns the zone")
}

// awaitGangEnds waits until ten checks in a row find no gang that is starting,
// running or stopping. Jobs that wait for quota or can never run remain.
func (s *site) awaitGangEnds(limit time.Duration) {
	idlePolls := 0
	for end := s.clock.Now().Add(limit); idlePolls < 10 && s.clock.Now().Before(end); {
		idlePolls++
		for _, phase := range []job.Phase{job.Reserving, job.Committed, job.Running, job.Stopping} {
			var list operator.JobList
			if s.call("GET", "/v1/jobs?phase="+string(phase), nil, &list) != nil || len(list.Jobs) > 0 {
				idlePolls = 0
			}
		}
		_ = timer.Sleep(context.Background(), s.clock, 100*time.Millisecond)
	}
}

// configSource provides the only configuration of a site to the audit and the
// replay.
type configSource struct {
	set     *record.Set
	binding *guarantee.Binding
}

func (s configSource) At(r id.Revision) (*record.Set, bool) { return s.set, r == s.set.Revision }
func (s configSource) Discarded(id.Revision) bool           { return false }
func (s configSource) Binding(r id.Revision) (*guarantee.Binding, bool) {
	return s.binding, r == s.set.Revision
}
func (s configSource) CopyCounts(_ id.Revision, zone id.Zone) map[record.GuaranteeKey]int {
	return s.binding.CopyCounts(zone)
}

// TestAuditOfRealRun guards against an audit or replay that reports correct
// decision records of a real run, with a failed worker and a failed owner, as
// faulty, and against an audit that accepts a corrupted record.
func TestAuditOfRealRun(t *testing.T) {
	is := is.New(t)
	s := newSite(t, "cooperative")
	s.submitMix(1)
	s.awaitGangEnds(12 * time.Second)
	binding, err := guarantee.BindSet(s.Set)
	is.NoErr(err)
	source := configSource{s.Set, binding}
	rules := make(map[decision.Rule]int)
	epochs := make(map[id.Epoch]bool)
	replayed, corruptedFindings := 0, 0
	for zone := range s.Set.Zones {
		log := s.records(zone)
		replayer := replay.New(zone, source)
		for _, r := range log {
			rules[r.Rule]++
			epochs[r.Epoch] = true
			replayer.Add(r)
		}
		for _, f := range audit.Check(zone, source, log).Findings {
			t.Errorf("zone %s, record %d, job %s: %s: %s\n%+v", zone, f.Index, f.Job, f.Invariant, f.Detail, log[f.Index])
		}
		for _, d := range replayer.Report().Differences {
			t.Errorf("zone %s, record %d, job %s: replay: %s: %v, now %v", zone, d.Index, d.Job, d.Reason, d.Recorded, d.Replayed)
		}
		replayed += replayer.Report().Replayed
		corruptedFindings += auditWithMissingMember(zone, source, log)
	}
	t.Log(rules, "replayed", replayed, "epochs", epochs)
	is.True(rules[decision.RuleStop] > 50)
	is.True(rules[decision.RuleWorkerExcluded] > 0)
	is.True(rules[decision.RuleWorkerRecovered] > 0)
	is.True(rules[decision.RuleClaim] > 0)
	is.True(len(epochs) > 1)
	is.True(replayed > 20)
	is.True(corruptedFindings > 0) // the audit found the corrupted record
}

// auditWithMissingMember removes one member from the record of the first gang
// that has several, and returns the number of findings of the audit.
func auditWithMissingMember(zone id.Zone, source configSource, log []decision.Record) int {
	for i, r := range log {
		if len(r.Members) > 1 {
			log = slices.Clone(log)
			log[i].Members = r.Members[1:]
			return len(audit.Check(zone, source, log).Findings)
		}
	}
	return 0
}
