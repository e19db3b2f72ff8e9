package placementbench

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/placement"

	"github.com/matryer/is"
)

// TestGuarantees guards against guaranteed shapes that can't be claimed, double
// allocation, incomplete gangs and exceeded quotas, in short seeded runs of all
// deployments with worker failures. "bwbench placement --check" performs more
// of these runs.
func TestGuarantees(t *testing.T) {
	is := is.New(t)
	outs, err := runAll(checkSpecs(deployments(), 0, 30), 2)
	is.NoErr(err)
	for _, o := range outs {
		is.Equal(o.violations, nil)
		is.Equal(o.unfinished, 0) // each job ends
	}
}

// TestSameTrace guards against a comparison of policies on different jobs, and
// against runs that are not reproducible from their seed.
func TestSameTrace(t *testing.T) {
	is := is.New(t)
	d := cooperative()
	d.days = 1
	var outs []*outcome
	for _, p := range []string{policyPlanner, policyPlanner, policyFIFO, policyEASY} {
		more, err := runAll([]runSpec{{deployment: d, load: 0.9, seed: 7, policy: p}}, 1)
		is.NoErr(err)
		is.Equal(more[0].unfinished, 0)
		is.Equal(more[0].trace.jobs, append(outs, more...)[0].trace.jobs)
		outs = append(outs, more...)
	}
	is.Equal(outs[0].completion, outs[1].completion)
	var b bytes.Buffer
	c := NewCommand()
	c.output, c.json = &b, true
	is.NoErr(c.write(summarize(outs)))
	var rows []row
	is.NoErr(json.Unmarshal(b.Bytes(), &rows))
	is.Equal(len(rows), 3)
	is.Equal(rows[0].Seeds, 2)
}

// TestQuantiles guards against off-by-one errors in the percentiles.
func TestQuantiles(t *testing.T) {
	is := is.New(t)
	v := make([]float64, 100)
	for i := range v {
		v[i] = float64(100 - i)
	}
	is.Equal(quantilesOf(v), quantiles{Mean: 50.5, P50: 50, P95: 95, P99: 99, Max: 100})
	is.Equal(quantilesOf(nil), quantiles{})
}

// TestWaitBound guards against a wait above the bound that is not counted, and
// against a wait within it that is counted.
func TestWaitBound(t *testing.T) {
	limit := placement.AgedAfter + 2*time.Hour // one older job, runs of an hour
	cases := []struct {
		wait       time.Duration
		claim      id.Shape
		aged, over int
	}{{placement.AgedAfter, "", 0, 0}, {limit, "", 1, 0}, {limit + 1, "", 1, 1}, {limit + 1, "g", 0, 0}}
	for _, c := range cases {
		is := is.New(t)
		o := newOutcome(&trace{longestRun: time.Hour}, policyPlanner)
		j := &tracedJob{Job: job.Job{Spec: job.Spec{Claim: c.claim}, Submitted: start}}
		o.addWait(j, &progress{attempt: 1, olderJobs: 1}, start.Add(c.wait))
		is.Equal(o.aged, c.aged)
		is.Equal(o.overBound, c.over)
	}
}
