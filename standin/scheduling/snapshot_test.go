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
	is := is.New(t)
	w, state, log, err := journal.TakeOver(t.Context(), journal.Config{
		Store: service.LocalClient(string(node)), Prefix: "place/a", Node: node})
	is.NoErr(err)
	t.Cleanup(w.Close)
	var items [][]byte
	for _, e := range log {
		items = append(items, e.Items...)
	}
	set := record.NewSet()
	set.Zones["a"] = record.Zone{Name: "a"}
	s, err = scheduler.New(scheduler.Config{Shard: "place/a", Zone: "a", Clock: timer.NewManual(time.Unix(1_000_000, 0)), Planner: newFirstFit(set),
		Journal: w, Term: alwaysValid(w.Epoch()), Workers: noWorkers{}, Records: set, Snapshot: state, Items: items, Metrics: stageMetrics})
	is.NoErr(err)
	return s, len(state), len(log)
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
