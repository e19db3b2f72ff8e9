package clusterbench

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSmallCluster guards against a command that fails to start, fill or measure
// a deployment, and against shards that no node takes over after a failure.
func TestSmallCluster(t *testing.T) {
	is := is.New(t)
	o := options{nodes: sizes{3}, workers: sizes{12}, baseNodes: 3, baseWorkers: 12, tasks: 48, changes: 10,
		rate: 20, rest: time.Second, baseline: time.Second}
	r, err := o.measure(context.Background())
	is.NoErr(err)
	is.Equal(len(r.Rows), 1)
	w := r.Rows[0]
	is.Equal(w.Tasks, 48)
	is.Equal(w.InForce.Count, 10)
	is.True(w.Takeover.Count > 0)
	is.True(w.Rest.Writes > 0)
	for _, rate := range w.Rest.Bytes {
		is.True(rate > 0) // each link carries control traffic at rest
	}
	is.True(w.Poll.ReadsPerSecond > 0)
	r.print(io.Discard)
}

// TestSmallOutage guards against shards that stay closed, and tasks that are
// stopped, after an outage of the key-value service.
func TestSmallOutage(t *testing.T) {
	is := is.New(t)
	o := options{workers: sizes{12}, baseNodes: 3, tasks: 48, rest: time.Second, outage: 4 * time.Second}
	r, err := o.measure(context.Background())
	is.NoErr(err)
	is.Equal(r.Outage.Recovery.Count, shardCount)
	is.True(r.Outage.TasksAfter >= r.Outage.TasksBefore)
}

// TestFit guards against errors in the least-squares fit.
func TestFit(t *testing.T) {
	is := is.New(t)
	slope, at0, r2 := fitLine([]float64{3, 8, 16}, []float64{7, 17, 33})
	is.True(slope > 1.99 && slope < 2.01 && at0 > 0.99 && at0 < 1.01 && r2 > 0.99)
}

// TestPlan guards against sizes that are measured twice or omitted.
func TestPlan(t *testing.T) {
	is := is.New(t)
	o := options{nodes: sizes{3, 8}, workers: sizes{50, 960}, baseNodes: 8, baseWorkers: 50, tasks: 16000}
	is.Equal(o.plan(), []size{{3, 50, 833}, {8, 50, 833}, {8, 960, 16000}})
}
