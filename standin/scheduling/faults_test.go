package scheduling_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/worker"
	"bronzewinch.dev/standin/workers"
)

// envUint returns the number in an environment variable, or fallback.
func envUint(name string, fallback uint64) uint64 {
	if n, err := strconv.ParseUint(os.Getenv(name), 10, 64); err == nil {
		return n
	}
	return fallback
}

// runSchedules runs f for each seed from 1 to the number in the environment variable
// countVar, or to fallback if it is not set. BW_SEED=n runs only seed n.
func runSchedules(t *testing.T, countVar string, fallback uint64, f func(t *testing.T, seed uint64)) {
	first, n := uint64(1), envUint(countVar, fallback)
	if single := envUint("BW_SEED", 0); single != 0 {
		first, n = single, 1
	}
	for seed := first; seed < first+n; seed++ {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { f(t, seed) })
			if t.Failed() {
				t.Logf("replay: BW_SEED=%d go test ./scheduling -run '%s'", seed, t.Name())
			}
		})
	}
}

// TestFaultSchedules guards against combinations of faults in which a gang runs with
// only some of its members for longer than the bound, starts without reservations or
// commit, runs twice at a time, runs after its cancellation returned notRun, or never
// ends. BW_SEEDS sets the number of schedules; BW_SEED=n runs only schedule n.
func TestFaultSchedules(t *testing.T) { runSchedules(t, "BW_SEEDS", 300, runFaultSchedule) }

// runUnderFaults submits and cancels jobs for about 30 s, with faults and changes of
// owner. The order of the calls of rng determines the schedule of a seed.
func runUnderFaults(h *harness, rng *rand.Rand, submit func(name id.Job)) {
	trigger := newFaultTrigger(h, rng)
	jobs := 0
	for range 60 {
		for range rng.IntN(3) {
			submit(id.Job(fmt.Sprint("j", jobs)))
			jobs++
		}
		if jobs > 0 && rng.IntN(4) == 0 {
			h.cancel(id.Job(fmt.Sprint("j", rng.IntN(jobs))))
		}
		if rng.IntN(3) == 0 {
			injectFault(h, rng)
		}
		h.advance(timeStep * time.Duration(1+rng.IntN(9)))
		if trigger.ownerPaused.CompareAndSwap(true, false) {
			h.replaceOwner()
		}
	}
}

// runFaultSchedule runs one schedule: about 30 s with faults, then up to 10 minutes
// without faults until all jobs have ended.
func runFaultSchedule(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	h := newHarness(t, 6, runTimes(seed))
	runUnderFaults(h, rng, func(name id.Job) { h.submit(name, 1+rng.IntN(5), rng.IntN(8) == 0) })
	clearFaults(h)
	for range 60 { // 10 minutes: in one trace, 77 jobs that run one after the other had not all ended after 4 minutes
		if h.advance(10 * time.Second); h.allEnded() {
			break
		}
	}
	h.checkRuns()
	h.checkEnded()
	h.close()
}

// injectFault begins or ends one fault.
func injectFault(h *harness, rng *rand.Rand) {
	name := h.fleet.Names()[rng.IntN(6)]
	switch rng.IntN(14) {
	case 0:
		h.fleet.Kill(name)
	case 1, 2:
		h.fleet.Restart(name)
	case 3:
		h.fleet.Pause(name)
	case 4, 5:
		h.fleet.Resume(name)
	case 6:
		h.fleet.SetFaults(name, workers.Faults{FailTasks: rng.IntN(2) == 0, IgnoreStop: rng.IntN(2) == 0})
	case 7:
		h.fleet.SetFaults(name, workers.Faults{LoseResponses: rng.IntN(5), Unreachable: rng.IntN(2) == 0})
	case 8:
		h.fleet.SetFaults(name, workers.Faults{Overuse: true})
	case 9:
		h.store.withLock(func() { h.store.answersToLose = 1 })
	case 10:
		h.store.withLock(func() { h.store.unavailable = true })
	case 11:
		h.store.withLock(func() { h.store.unavailable = false })
	case 12:
		if len(h.owners) < 5 {
			h.replaceOwner()
		}
	case 13:
		h.resumeOwners()
	}
}

// clearFaults ends all faults.
func clearFaults(h *harness) {
	h.mu.Lock()
	h.onCall = nil
	h.mu.Unlock()
	h.store.withLock(func() { h.store.unavailable, h.store.answersToLose, h.store.onWrite = false, 0, nil })
	for _, name := range h.fleet.Names() {
		h.fleet.SetFaults(name, workers.Faults{})
		h.fleet.Resume(name)
		h.fleet.Restart(name)
	}
	h.resumeOwners()
}

// faultTrigger injects one fault at a given step of the protocol: at the n-th command
// of a kind it kills the worker, loses its answer or pauses the owner, or it pauses
// the owner at the n-th journal item of an operation.
type faultTrigger struct{ ownerPaused atomic.Bool }

func newFaultTrigger(h *harness, rng *rand.Rand) *faultTrigger {
	tr := &faultTrigger{}
	kind := []worker.Kind{worker.Reserve, worker.Start, worker.Renew, worker.Checkpoint, worker.Stop}[rng.IntN(5)]
	op := []string{"submit", "decision", "commit", "end", "cancel"}[rng.IntN(5)]
	action, at := rng.IntN(4), 1+rng.Int32N(20)
	var calls, writes atomic.Int32
	h.onCall = func(name id.Worker, c worker.Command) {
		if c.Kind != kind || calls.Add(1) != at {
			return
		}
		switch action {
		case 0:
			h.fleet.Kill(name)
		case 1:
			h.fleet.SetFaults(name, workers.Faults{LoseResponses: 1})
		case 2:
			h.pauseOwner(tr)
		}
	}
	h.store.onWrite = func(o string) {
		if action == 3 && o == op && writes.Add(1) == at {
			h.pauseOwner(tr)
		}
	}
	return tr
}

// pauseOwner blocks the calls of the current owner immediately. The schedule opens
// the next owner.
func (h *harness) pauseOwner(tr *faultTrigger) {
	h.currentOwner().term.close()
	tr.ownerPaused.Store(true)
}
