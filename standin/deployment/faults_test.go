package deployment_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/operator"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/timer"
	"bronzewinch.dev/lib/vmlist"
)

const (
	maxUrgentDelay = 3600 * time.Millisecond
	maxLeaveDelay  = 3 * time.Second
	// faultDuration is how long a fault lasts. It is longer than the owners' lease.
	faultDuration = 3 * time.Second
	// completionTimeout is the time within which each accepted job must end.
	completionTimeout = 40 * time.Second
	harnessTimeout    = 2 * time.Minute
)

// fault is one kind of fault. Its run function injects the fault and ends it.
// Requests must not lose their connection or their outcome during a planned
// fault.
type fault struct {
	name    string
	planned bool
	run     func(h *harness, r *rand.Rand)
}

func faults() []fault {
	return []fault{
		{"rollingRestart", true, rollingRestart},
		{"plannedStop", true, plannedStop},
		{"nodeFails", false, nodeFails},
		{"storeDown", false, storeDown},
		{"answersLost", false, answersLost},
		{"nodeCutOff", false, nodeCutOff},
		{"racingOperators", true, racingOperators},
		{"backendLeaves", true, backendLeaves},
		{"joinWhileDown", false, joinWhileDown},
	}
}

// TestFaults injects each fault on its own under load. It guards against requests
// that are lost, mixed up, run twice or reported with a wrong outcome, gangs that
// run partially, nodes that return to an earlier configuration, and lost jobs.
func TestFaults(t *testing.T) {
	for _, f := range faults() {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			runSchedule(t, []fault{f}, rand.New(rand.NewPCG(1, 1)))
		})
	}
}

// TestSchedules checks the same as TestFaults under seeded random sequences of
// faults. BRONZEWINCH_FAULT_SEEDS=FIRST-LAST sets the seeds, and
// BRONZEWINCH_FAULT_SEEDS=N replays one.
func TestSchedules(t *testing.T) {
	first, last, _ := strings.Cut(os.Getenv("BRONZEWINCH_FAULT_SEEDS"), "-")
	from, err := strconv.ParseUint(first, 10, 32)
	if err != nil {
		from = 1
	}
	to, err := strconv.ParseUint(last, 10, 32)
	if err != nil {
		to = from
	}
	for seed := from; seed <= to; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 0))
			all := faults()
			var schedule []fault
			for range 3 {
				schedule = append(schedule, all[r.IntN(len(all))])
			}
			runSchedule(t, schedule, r)
		})
	}
}

// runSchedule injects faults one after the other under load and checks the
// results of all requests and jobs.
func runSchedule(t *testing.T, schedule []fault, r *rand.Rand) {
	for _, f := range schedule {
		t.Logf("fault %s", f.name)
	}
	h := newHarness(t, harnessTimeout)
	stop := h.startLoad()
	planned := true
	for _, f := range schedule {
		planned = planned && f.planned
		f.run(h, r)
		h.awaitOwners()
	}
	stop()
	for _, name := range h.jobs {
		if !h.awaitPhase(name, job.Succeeded, completionTimeout) {
			h.recordViolation("job %s was accepted but did not succeed within %v", name, completionTimeout)
			break
		}
	}
	counts := h.checkRequests(planned)
	for i, text := range h.violations {
		if i < 10 {
			t.Error(text)
		}
	}
	if len(h.violations) > 0 {
		t.Errorf("%d violations; replay a seed with BRONZEWINCH_FAULT_SEEDS=N go test ./deployment -run TestSchedules", len(h.violations))
	}
	t.Logf("%d requests: %v; %d jobs", len(h.requests), counts, len(h.jobs))
	if counts["done"] == 0 || len(h.jobs) == 0 {
		t.Error("no request or job was served; the load did not reach the deployment")
	}
}

func (h *harness) randomNodeID(r *rand.Rand) id.Node {
	nodes := h.deployment.Nodes()
	return nodes[r.IntN(len(nodes))].ID
}

func (h *harness) target(name id.Node) *target {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, t := range h.targets {
		if t.ID == name {
			return t
		}
	}
	return nil
}

func (h *harness) sleep(d time.Duration) { _ = timer.Sleep(h.ctx, h.clock, d) }

func plannedStop(h *harness, r *rand.Rand) {
	name := h.randomNodeID(r)
	if err := h.target(name).Stop(h.ctx); err != nil {
		h.recordViolation("stop of %s: %v", name, err)
	}
	h.removeTarget(name)
	h.startNode(name)
}

func rollingRestart(h *harness, _ *rand.Rand) {
	for _, n := range h.deployment.Nodes() {
		if err := h.target(n.ID).Stop(h.ctx); err != nil {
			h.recordViolation("stop of %s: %v", n.ID, err)
		}
		h.removeTarget(n.ID)
		h.startNode(n.ID)
		h.awaitOwners()
	}
}

// TestUrgentAfterNodeFailure guards against an urgent job that starts later than
// maxUrgentDelay after the owner of its zone fails while the key-value service is
// available.
func TestUrgentAfterNodeFailure(t *testing.T) {
	for range 3 {
		h := newHarness(t, harnessTimeout)
		stop := h.startLoad()
		if took := measureUrgentStart(h, rand.New(rand.NewPCG(1, 1))); took > maxUrgentDelay {
			t.Errorf("urgent work was seen running %v after the failure; the bound is %v", took, maxUrgentDelay)
		}
		stop()
	}
}

// nodeFails fails a node. The urgent job must start; TestUrgentAfterNodeFailure
// checks that it starts in time.
func nodeFails(h *harness, r *rand.Rand) {
	h.t.Logf("urgent work was seen running %v after the failure", measureUrgentStart(h, r))
}

// measureUrgentStart fails the owner of the zone with the guaranteed shape and
// returns the time from the failure until an urgent job that claims it runs.
func measureUrgentStart(h *harness, r *rand.Rand) (took time.Duration) {
	n := h.owner("z1")
	start := h.clock.Now()
	var failing sync.WaitGroup
	failing.Go(n.Fail)
	name := id.Job(fmt.Sprintf("claim-%d", r.Uint32()))
	if h.submit(name, jobText(name, true)) {
		accepted := h.clock.Now().Sub(start)
		started := h.awaitPhase(name, job.Running, completionTimeout)
		took = h.clock.Now().Sub(start)
		if !started {
			h.recordViolation("urgent job %s was accepted %v after the failure of %s and did not run within %v", name, accepted, n.ID, took)
		}
	}
	failing.Wait()
	h.removeTarget(n.ID)
	h.cancelUrgent(name)
	h.startNode(n.ID + "x") // the platform replaces the VM
	return took
}

// cancelUrgent cancels an urgent job and removes it from the jobs that must
// succeed.
func (h *harness) cancelUrgent(name id.Job) {
	for h.ctx.Err() == nil {
		status, _, err := h.request(h.nextTarget(nil).Node, operatorToken, "/v1/jobs/cancel", operator.CancelRequest{Jobs: []id.Job{name}})
		if err == nil && status == http.StatusOK {
			break
		}
		h.sleep(50 * time.Millisecond)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, j := range h.jobs {
		if j == name {
			h.jobs = append(h.jobs[:i], h.jobs[i+1:]...)
			return
		}
	}
}

func storeDown(h *harness, r *rand.Rand) {
	h.deployment.Store.SetOutage(true)
	h.sleep(faultDuration + time.Duration(r.IntN(2000))*time.Millisecond)
	h.deployment.Store.SetOutage(false)
}

func answersLost(h *harness, r *rand.Rand) {
	for range 5 {
		h.deployment.Store.LoseReplies(string(h.randomNodeID(r)), 1+r.IntN(4))
		h.sleep(faultDuration / 5)
	}
}

func nodeCutOff(h *harness, r *rand.Rand) {
	name := string(h.randomNodeID(r))
	h.deployment.Store.Partition(name, true)
	h.sleep(faultDuration)
	h.deployment.Store.Partition(name, false)
}

// racingOperators submits two conflicting changes at a time through two nodes, from
// the same base revision. Exactly one of them must be accepted.
func racingOperators(h *harness, r *rand.Rand) {
	nodes := h.deployment.Nodes()
	base := nodes[0].Revision()
	for round := range 5 {
		var wg sync.WaitGroup
		var accepted [2]bool
		for i := range accepted {
			text := fmt.Sprintf("[[record]]\nschema = \"v2\"\nkind = \"account\"\nname = \"race-%d-%d\"\nweight = %d\ntokens = [{ sha256 = %q }]\nrequests = { perSecond = 1, concurrency = 1 }\n",
				base, round, i+1, string(operatorToken.Hash()[:60])+fmt.Sprintf("%04x", int(base)*100+round))
			wg.Go(func() {
				status, body, err := h.request(nodes[i%len(nodes)], operatorToken, "/v1/changes",
					operator.ChangeRequest{ChangeID: record.ChangeID(fmt.Sprintf("race-%d-%d-%d", base, round, i)), Files: []operator.File{{Name: "race.toml", Text: text}}})
				accepted[i] = err == nil && status == http.StatusOK
				if !accepted[i] && status != http.StatusConflict {
					h.recordViolation("conflicting change: status %d, want 200 or 409; error %v: %s", status, err, body)
				}
			})
		}
		wg.Wait()
		if accepted[0] == accepted[1] {
			h.recordViolation("exactly one of two conflicting changes must be accepted; accepted: %v", accepted)
		}
	}
	ctx, cancel := context.WithTimeout(h.ctx, 11*time.Second)
	defer cancel()
	for _, n := range h.deployment.Nodes() {
		for n.Revision() < base+5 {
			if timer.Sleep(ctx, h.clock, 20*time.Millisecond) != nil {
				h.recordViolation("node %s has revision %d, not %d, in force after 11 s", n.ID, n.Revision(), base+5)
				return
			}
		}
	}
}

// backendLeaves marks one backend server as leaving, and later as live again. No
// request may reach it later than maxLeaveDelay after the mark.
func backendLeaves(h *harness, r *rand.Rand) {
	name := id.Backend(fmt.Sprintf("b%d", 1+r.IntN(4)))
	vm := vmlist.VM{Name: string(name), Role: vmlist.Backend, Zone: "z1", Address: h.deployment.Backends[name].Address(), State: vmlist.Leaving}
	h.deployment.VMList.Set(vm)
	start := h.clock.Now()
	h.sleep(maxLeaveDelay + time.Second)
	for _, run := range h.deployment.Backends[name].Runs() {
		if run.Start.After(start.Add(maxLeaveDelay)) {
			h.recordViolation("backend server %s got a request %v after it was marked as leaving", name, run.Start.Sub(start))
			break
		}
	}
	vm.State = vmlist.Live
	h.deployment.VMList.Set(vm)
	h.sleep(time.Second)
}

func joinWhileDown(h *harness, r *rand.Rand) {
	h.deployment.Store.SetOutage(true)
	h.startNode(id.Node(fmt.Sprintf("j%d", r.Uint32())))
	h.sleep(faultDuration)
	h.deployment.Store.SetOutage(false)
}
