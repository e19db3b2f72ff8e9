package cooperative_test

import (
	"fmt"
	"testing"
	"time"

	"bronzewinch.dev/standin/cooperative"
)

// TestLostRunStartsElsewhereBesideNewJobs guards against starts that a crashed worker can't take, and that prolong the wait for
// the runs that were lost with it.
func TestLostRunStartsElsewhereBesideNewJobs(t *testing.T) {
	t.Parallel()
	const (
		job = "00000000000000aa"
		// limit is from the rule that a service task may be without a run for 6 s and 3 s more.
		limit = 6*second + 3*second
	)
	d := newDeployment(t, 1, 4)
	worker := startJob(t, d, job, cooperative.Step{Count: 1, GPU: 4, LatencyTarget: second})
	d.Cloud.RestartWorker(worker, cooperative.Restart{Downtime: 300 * time.Millisecond, NewID: true})
	crashed := time.Now()
	for i := 0; d.Cloud.WorkerOf(job+".0.0.0") < 0; i++ {
		if time.Since(crashed) > limit {
			t.Fatalf("the task of job %s does not run %v after its worker crashed", job, limit)
		}
		submitJob(t, d, fmt.Sprintf("%016x", 0xb00+i), cooperative.Step{Count: 1, GPU: 1, RunTime: second})
		time.Sleep(250 * time.Millisecond)
	}
	checkInvariants(t, d)
}
