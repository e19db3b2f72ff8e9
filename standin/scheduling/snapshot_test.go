package scheduling_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/journal"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/scheduler"
	"bronzewinch.dev/lib/timer"
	"bronzewinch.dev/lib/unit"
	"bronzewinch.dev/lib/worker"
	"bronzewinch.dev/standin/kvservice"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
)

// alwaysValid is a term that never ends.
type alwaysValid id.Epoch

func (alwaysValid) Check() error         { return nil }
func (alwaysValid) CheckContinue() error { return nil }
func (e alwaysValid) Epoch() id.Epoch    { return id.Epoch(e) }

// noWorkers returns no reports for any call.
type noWorkers struct{}

func (noWorkers) Call(context.Context, id.Worker, worker.Command) ([]worker.Report, error) {
	return nil, nil
}

// stageMetrics contains the metrics of the node that owns the shard.
var stageMetrics = metrics.NewSet()

// takeOverFrom takes over a shard from its journal in the key-value service, as an
// entry node does. It also returns the size of the snapshot in bytes and the number
// of journal entries after it.
func takeOverFrom(t *testing.T, service *kvservice.Service, node id.Node) (s *scheduler.Scheduler, snapshot, entries int) {
	return takeOverWith(t, service, node, stageMetrics, 0)
}

// takeOverWith is like takeOverFrom, with metrics and a bound on what unfinished jobs take.
func takeOverWith(t *testing.T, service *kvservice.Service, node id.Node, set *metrics.Set, memory unit.Bytes) (s *scheduler.Scheduler, snapshot, entries int) {
	is := is.New(t)
	w, state, log, err := journal.TakeOver(t.Context(), journal.Config{
		Store: service.LocalClient(string(node)), Prefix: "place/a", Node: node})
	is.NoErr(err)
	t.Cleanup(w.Close)
	var items [][]byte
	for _, e := range log {
		items = append(items, e.Items...)
	}
	records := record.NewSet()
	records.Zones["a"] = record.Zone{Name: "a"}
	s, err = scheduler.New(scheduler.Config{Shard: "place/a", Zone: "a", Clock: timer.NewManual(time.Unix(1_000_000, 0)), Planner: newFirstFit(records),
		Journal: w, Term: alwaysValid(w.Epoch()), Workers: noWorkers{}, Records: records, Snapshot: state, Items: items, Metrics: set, JobMemory: memory})
	is.NoErr(err)
	return s, len(state), len(log)
}

// TestJobsBeyondMemoryAreRefused guards against a shard that accepts jobs until its node runs
// out of memory, an owner that does not count the jobs that it takes over, and one that
// accepts no jobs any more when others have ended.
func TestJobsBeyondMemoryAreRefused(t *testing.T) {
	is := is.New(t)
	service := kvservice.New(kvservice.Config{Timer: timer.NewSystem()})
	defer service.Close()
	spec := job.Spec{Account: "crowd", DeclaredRun: time.Hour, Program: "p",
		Shape: job.Shape{Workers: 1, PerWorker: oneAccelerator, Locality: job.SameWorker}}
	submit := func(s *scheduler.Scheduler, account id.Account, n int) error {
		spec := spec
		spec.Account = account
		_, err := s.Submit(t.Context(), spec, id.Job(fmt.Sprintf("%s-%d", account, n)))
		return err
	}
	first, _, _ := takeOverWith(t, service, "first", metrics.NewSet(), 20*scheduler.JobMemory)
	accepted := 0
	for submit(first, "crowd", accepted) == nil {
		accepted++
	}
	is.True(accepted > 1 && accepted < 20)
	is.True(problem.Is(submit(first, "crowd", accepted), problem.Overloaded))
	is.NoErr(submit(first, "crowd", 0)) // it is known
	is.NoErr(submit(first, "other", 0))
	is.NoErr(first.Close(t.Context()))
	next, _, _ := takeOverWith(t, service, "next", metrics.NewSet(), 20*scheduler.JobMemory)
	is.True(problem.Is(submit(next, "crowd", accepted), problem.Overloaded))
	for n := range accepted {
		_, err := next.Cancel(t.Context(), id.Job(fmt.Sprintf("crowd-%d", n)))
		is.NoErr(err)
	}
	is.NoErr(submit(next, "crowd", accepted))
}

// TestTakeoverFromSnapshot guards against snapshots that are never written, and
// against a new owner that rebuilds other jobs from a snapshot than the old owner
// had.
func TestTakeoverFromSnapshot(t *testing.T) {
	is := is.New(t)
	service := kvservice.New(kvservice.Config{Timer: timer.NewSystem()})
	defer service.Close()
	first, _, _ := takeOverFrom(t, service, "n1")
	const n = scheduler.EntriesPerSnapshot + 40
	for i := range n {
		_, err := first.Submit(t.Context(), job.Spec{Account: "acme", Program: "p", DeclaredRun: time.Hour,
			Shape: job.Shape{Workers: unit.Workers(1 + i%5), PerWorker: oneAccelerator, Locality: job.SameZone}}, id.Job(fmt.Sprint("j", i)))
		is.NoErr(err)
	}
	for i := range 20 {
		_, err := first.Cancel(t.Context(), id.Job(fmt.Sprint("j", 10*i)))
		is.NoErr(err)
	}
	_, err := first.Cancel(t.Context(), "unknown")
	is.True(err != nil)
	var shown strings.Builder
	stageMetrics.WritePrometheus(&shown)
	for _, line := range []string{
		fmt.Sprintf("bronzewinch_stage_seconds_count{stage=\"jobSubmit\"} %d", n),
		"bronzewinch_stage_seconds_count{stage=\"placementJournal\"} ",
		"bronzewinch_stage_refused_total{stage=\"jobCancel\",kind=\"notFound\"} 1",
		fmt.Sprintf("bronzewinch_placement_queue_length{shard=\"place/a\",queue=\"waiting\"} %d", n-20),
	} {
		is.True(strings.Contains(shown.String(), line)) // each stage has its metrics
	}
	is.NoErr(first.Close(t.Context()))
	before, records := first.List(), first.Records(0, 0)
	second, snapshot, entries := takeOverFrom(t, service, "n2")
	defer second.Close(context.Background())
	is.True(snapshot > 0)
	is.True(entries < scheduler.EntriesPerSnapshot) // the entries that the snapshot covers were deleted
	after := second.List()
	is.Equal(len(after), n)
	for i := range after {
		is.Equal(after[i].Phase, before[i].Phase)
		is.Equal(after[i].Spec, before[i].Spec)
		is.True(after[i].Submitted.Equal(before[i].Submitted))
	}
	kept := second.Records(0, 0)
	is.Equal(len(kept), len(records))
	for i := range kept {
		is.Equal(kept[i].Version, records[i].Version)
	}
}
