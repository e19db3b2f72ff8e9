package command_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"bronzewinch.dev/bronzewinch/command"
	"bronzewinch.dev/lib/decision"
	"bronzewinch.dev/lib/fleet"
	"bronzewinch.dev/lib/guarantee"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/placement"
	"bronzewinch.dev/lib/unit"

	"github.com/matryer/is"
)

const auditRecords = `[[record]]
schema = "v1"
kind = "zone"
name = "z1"
region = "r"
workers = [
  {name = "w1", rack = "r1", address = "127.0.0.1:1", accelerators = 8, cores = 8, memoryGB = 8},
  {name = "w2", rack = "r1", address = "127.0.0.1:2", accelerators = 8, cores = 8, memoryGB = 8},
]
[[record]]
schema = "v1"
kind = "guarantee"
name = "map"
account = "skymap"
count = 1
workers = 1
acceleratorsPerWorker = 8
coresPerWorker = 1
memoryGB = 1
near = "worker"
`

// newAuditRig returns a rig with the decision records of the real planner for
// one zone. So many jobs wait that one version has more records than a page.
func newAuditRig(t *testing.T, is *is.I) *rig {
	t.Helper()
	r := newRig(t)
	r.write(t, "zone.toml", auditRecords)
	status, _, errs := r.run(context.Background(), "apply DIR/zone.toml"+useContexts)
	is.Equal(errs, "")
	is.Equal(status, 0)
	binding, err := guarantee.BindSet(r.set)
	is.NoErr(err)
	zone, err := fleet.New(fleet.Config{Zone: r.set.Zones["z1"]})
	is.NoErr(err)
	p := placement.New(placement.Config{Zone: r.set.Zones["z1"], Accounts: r.set.Accounts, Binding: binding, Policy: r.set.Policy})
	at := time.Date(2026, 11, 1, 0, 0, 0, 0, time.UTC)
	spec := job.Spec{Account: "skymap", DeclaredRun: time.Hour, Program: "p",
		Shape: job.Shape{Workers: 1, PerWorker: unit.Resources{Accelerators: 8, Cores: unit.Core, Memory: unit.GiB}, Locality: job.SameWorker}}
	var waiting []placement.WaitingJob
	for n := range 2500 {
		waiting = append(waiting, placement.WaitingJob{Job: job.Job{ID: id.Job(fmt.Sprintf("j%04d", n)), Spec: spec, Submitted: at}})
	}
	claim := spec
	claim.Claim, claim.Urgent = "map", true
	for n, list := range [][]placement.WaitingJob{waiting, {{Job: job.Job{ID: "claim", Spec: claim, Submitted: at.Add(time.Second)}}}} {
		res := p.Pass(placement.State{View: zone.View(), Now: at.Add(time.Duration(n+1) * time.Second), Epoch: 1, Revision: r.set.Revision}, list)
		r.decisions = append(r.decisions, res.Records...)
		for _, d := range res.Records {
			if len(d.Members) > 0 && d.Spec.Claim == "" {
				is.NoErr(zone.Reserve(fleet.NewGang(d.Job, d.Spec, d.Members, d.At)))
			}
		}
	}
	return r
}

// TestAudit guards against an audit that reads only part of the records, reports
// findings in valid records, or misses a violation.
func TestAudit(t *testing.T) {
	is := is.New(t)
	r := newAuditRig(t, is)
	status, out, errs := r.run(context.Background(), "audit"+useContexts)
	is.Equal(errs, "")
	is.Equal(status, command.StatusDone)
	is.True(strings.Contains(out, "2501 records"))
	is.True(strings.Contains(out, "depends on checkpoints"))
	is.True(!strings.Contains(out, "FINDING"))

	last := &r.decisions[len(r.decisions)-1]
	is.Equal(last.Rule, decision.RulePreempt)
	last.Victims = nil
	status, out, _ = r.run(context.Background(), "audit -zone z1"+useContexts)
	is.Equal(status, command.StatusFindings)
	is.True(strings.Contains(out, "job claim: not kept: no worker holds more than it has"))
	status, out, _ = r.run(context.Background(), "audit -json -from 2026-11-02"+useContexts)
	is.Equal(status, command.StatusDone)
	var result command.AuditResult
	is.NoErr(json.Unmarshal([]byte(out), &result))
	is.Equal(result.Zones[0].Records, 2501)
	status, out, _ = r.run(context.Background(), "audit -to 2026-11-01T00:00:01Z"+useContexts)
	is.Equal(status, command.StatusDone)
	is.True(strings.Contains(out, "2500 records"))
	status, _, _ = r.run(context.Background(), "audit -from yesterday"+useContexts)
	is.Equal(status, command.StatusUsage)
}

// TestAuditReportsMissingHistory guards against an audit that doesn't report
// missing earlier records or a missing configuration.
func TestAuditReportsMissingHistory(t *testing.T) {
	is := is.New(t)
	r := newAuditRig(t, is)
	records := r.decisions
	r.decisions = records[2500:]
	r.decisions[0].Version = 9
	status, out, errs := r.run(context.Background(), "audit"+useContexts)
	is.Equal(errs, "")
	is.Equal(status, command.StatusDone)
	is.True(strings.Contains(out, "records before the first one are no longer kept"))
	is.True(strings.Contains(out, "can't be rebuilt"))
	r.decisions[0].Revision = 99
	status, out, _ = r.run(context.Background(), "audit"+useContexts)
	is.Equal(status, command.StatusFindings)
	is.True(strings.Contains(out, "no configuration is known at revision 99"))
}
