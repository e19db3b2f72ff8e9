package cooperative_test

import (
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"bronzewinch.dev/standin/cooperative"
)

// startJob submits a job to queue 1 and waits until its first task runs. It
// returns the index of the worker on which that task runs.
func startJob(t *testing.T, d *cooperative.Deployment, job string, step cooperative.Step) int {
	t.Helper()
	submitJob(t, d, job, step)
	for end := time.Now().Add(5 * second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if index := d.Cloud.WorkerOf(job + ".0.0.0"); index >= 0 {
			return index
		}
	}
	t.Fatalf("the task of job %s does not run after 5 s", job)
	return -1
}

// submitJob submits a job to queue 1.
func submitJob(t *testing.T, d *cooperative.Deployment, job string, step cooperative.Step) {
	t.Helper()
	if status := submit(d, 1, job, []cooperative.Step{step}); status != http.StatusOK {
		t.Fatalf("job %s: status %d", job, status)
	}
}

// awaitLog waits until a node has logged a text.
func awaitLog(t *testing.T, n *cooperative.Node, text string) {
	t.Helper()
	for limit := time.Now().Add(5 * second); !strings.Contains(n.Log(), text); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("no %q in the log after 5 s", text)
		}
	}
}

// awaitWorker waits until the first task of a job runs on a worker.
func awaitWorker(t *testing.T, d *cooperative.Deployment, job string, worker int, limit time.Duration) {
	t.Helper()
	for end := time.Now().Add(limit); d.Cloud.WorkerOf(job+".0.0.0") != worker; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the task of job %s is not on worker %d after %v", job, worker, limit)
		}
	}
}

// lateCalls is the fault of a worker that carries out all calls of a path after a
// delay.
func lateCalls(path string, delay time.Duration) *cooperative.LateCalls {
	return &cooperative.LateCalls{Paths: []string{path}, Share: 1, MinDelay: delay, MaxDelay: delay}
}

// TestTaskRunsOnceAcrossWorkerRestart guards against a second run while a restarted worker carries out the start of the first.
func TestTaskRunsOnceAcrossWorkerRestart(t *testing.T) {
	const (
		job        = "00000000000000aa"
		largeOther = "00000000000000b1"
		smallOther = "00000000000000b2"
		startDelay = 3 * second
	)
	step := cooperative.Step{Count: 1, GPU: 2, RunTime: 4 * second}
	startAfterRestart := func(t *testing.T, d *cooperative.Deployment, worker int) {
		restart := cooperative.Restart{Downtime: 50 * time.Millisecond, RegisterDelay: second}
		d.Cloud.RestartWorker(worker, restart)
		time.Sleep(2 * restart.Downtime)
		if got := startJob(t, d, job, step); got != worker {
			t.Fatalf("the task started on worker %d, want %d", got, worker)
		}
	}
	for _, test := range []struct {
		name   string
		inject func(t *testing.T, d *cooperative.Deployment, worker int)
	}{
		{"idle worker", startAfterRestart},
		{"busy worker", func(t *testing.T, d *cooperative.Deployment, worker int) {
			startJob(t, d, "00000000000000cc", cooperative.Step{Count: 1, GPU: 4, RunTime: 4 * second})
			startAfterRestart(t, d, worker)
		}},
		{"late start", func(t *testing.T, d *cooperative.Deployment, worker int) {
			d.Cloud.SetLateCalls(worker, lateCalls(cooperative.StartPath, startDelay))
			submitJob(t, d, job, step)
			awaitLog(t, d.Nodes[0], `event="start" job="`+job)
			time.Sleep(200 * time.Millisecond)
			d.Cloud.RestartWorker(worker, cooperative.Restart{Downtime: 700 * time.Millisecond, RegisterDelay: second})
			time.AfterFunc(600*time.Millisecond, func() { d.Cloud.SetLateCalls(worker, nil) })
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, 1, 2)
			// The other worker has no room for the task at first, and is the best fit later.
			other := startJob(t, d, largeOther, cooperative.Step{Count: 1, GPU: 6, RunTime: 9 * second})
			if got := startJob(t, d, smallOther, cooperative.Step{Count: 1, GPU: 1, RunTime: 9 * second}); got != other {
				t.Fatalf("worker %d runs job %s, want %d", got, smallOther, other)
			}
			test.inject(t, d, 1-other)
			d.Fleet.CompleteTask(smallOther + ".0.0.0")
			time.Sleep(startDelay)
			awaitState(t, d, 1, job, "completed")
			checkInvariants(t, d)
		})
	}
}

// TestLateStartAfterLease guards against a start that a worker carries out under a later lease.
func TestLateStartAfterLease(t *testing.T) {
	t.Parallel()
	const (
		job   = "00000000000000aa"
		delay = 11 * second // longer than the lease that the start may have granted
	)
	d := newDeployment(t, 1, 2)
	// The other worker has no room for the task until that lease has expired.
	other := startJob(t, d, "00000000000000bb", cooperative.Step{Count: 1, GPU: 2, RunTime: 6 * second})
	worker := 1 - other
	d.Cloud.SetLateCalls(worker, lateCalls(cooperative.StartPath, delay))
	submitJob(t, d, job, cooperative.Step{Count: 1, GPU: 7, RunTime: 4 * second})
	awaitLog(t, d.Nodes[0], `event="start" job="`+job)
	time.Sleep(200 * time.Millisecond)
	d.WorkerProxies[worker].SetMode(cooperative.BlockAll)
	d.Cloud.CutOffWorker(worker, true)
	awaitWorker(t, d, job, other, delay)
	d.Cloud.SetLateCalls(worker, lateCalls(cooperative.StopPath, delay))
	d.WorkerProxies[worker].Reset() // the calls that were held back are lost
	d.WorkerProxies[worker].SetMode(cooperative.Forward)
	d.Cloud.CutOffWorker(worker, false)
	submitJob(t, d, "00000000000000cc", cooperative.Step{Count: 2, GPU: 1, RunTime: 2 * second}) // gives both workers a lease
	awaitState(t, d, 1, job, "completed")
	checkInvariants(t, d)
}

// TestNewOwnerKeepsRunsOfRestartedWorker guards against runs that end because the list still has the former incarnation.
func TestNewOwnerKeepsRunsOfRestartedWorker(t *testing.T) {
	const job, largeOther = "00000000000000aa", "00000000000000b1"
	d := newDeployment(t, 2, 2)
	other := startJob(t, d, largeOther, cooperative.Step{Count: 1, GPU: 6, RunTime: 9 * second})
	startJob(t, d, "00000000000000b2", cooperative.Step{Count: 1, GPU: 1, RunTime: 9 * second})
	worker := startJob(t, d, job, cooperative.Step{Count: 1, GPU: 4, RunTime: 4 * second})
	if worker == other {
		t.Fatalf("worker %d runs both jobs", worker)
	}
	owner := d.Owner()
	d.Cloud.RestartWorker(worker, cooperative.Restart{Downtime: 50 * time.Millisecond,
		RegisterDelay: cooperative.HeartbeatInterval + cooperative.NoticeTime})
	awaitLog(t, owner, `event="start" job="`+job+`" task="`+job+`.0.0.0" run=2`)
	awaitWorker(t, d, job, worker, 5*second)
	d.Fleet.CompleteTask(largeOther + ".0.0.0") // the task would now fit on the other worker
	awaitState(t, d, 1, largeOther, "completed")
	owner.Signal(syscall.SIGTERM)
	awaitState(t, d, 1, job, "completed")
	checkInvariants(t, d)
}
