package cooperative_test

import (
	"syscall"
	"testing"
	"time"

	"bronzewinch.dev/standin/cooperative"

	"github.com/matryer/is"
)

// TestRunStartsElsewhereAfterOwnerIsGone guards against a run on a lost worker that is kept for the time of an outage because
// the owner has been removed for good, although the store was up all the time.
func TestRunStartsElsewhereAfterOwnerIsGone(t *testing.T) {
	t.Parallel()
	const job = "00000000000000aa"
	d := newDeployment(t, 3, 2)
	worker := startJob(t, d, job, cooperative.Step{Count: 1, GPU: 4, RunTime: 30 * second})
	owner := d.Owner()
	awaitLog(t, owner, "witnesses changed")
	d.WorkerProxies[worker].SetMode(cooperative.BlockAll)
	d.Cloud.CutOffWorker(worker, true)
	<-owner.Signal(syscall.SIGKILL)
	// A job may not be idle later than finish_s after the traffic, for three seconds.
	const limit = 14*second + 3*second
	awaitWorker(t, d, job, 1-worker, limit)
	checkInvariants(t, d)
}

// TestRunOutlastsStoreOutage guards against a run that is lost because the owner gets no confirmations while nobody reaches
// the store.
func TestRunOutlastsStoreOutage(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const job, lease = "00000000000000aa", 6 * second
	d := newDeployment(t, 3, 2)
	startJob(t, d, job, cooperative.Step{Count: 1, GPU: 4, RunTime: 14 * second})
	awaitLog(t, d.Owner(), "witnesses changed")
	d.Store.SetSilent(true)
	time.Sleep(lease + 4*second)
	d.Store.SetSilent(false)
	awaitState(t, d, 1, job, "completed")
	is.Equal(d.Fleet.Starts(), 1)
	checkInvariants(t, d)
}
