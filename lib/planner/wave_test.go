package planner_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/planner"
	"bronzewinch.dev/lib/task"

	"github.com/matryer/is"
)

const (
	simUpkeep       = 2 * time.Second
	simHandover     = 3 * time.Second
	simListInterval = time.Second // between two reads of the list of VMs
	firstWave       = 1
)

// simPlatform simulates the platform's part of a wave of upkeep: the VMs and their list.
type simPlatform struct {
	*sim
	wave            task.Wave
	begun           map[id.VM]bool
	upkeepEnds      map[id.VM]time.Time // end of the upkeep of VMs that are down
	incarnations    map[id.VM]int
	progress        task.WaveProgress
	maxDown         int // largest number of VMs that were down at the same time
	scriptedResults []planner.UpkeepResult
	endedByUpkeep   int // runs that an upkeep ended
	listedAt        time.Time
	firstOrderAt    time.Time // when the first upkeep was ordered
	offVM           id.VM     // a VM that is off, or empty
	orderedVMs      []id.VM
}

func vmName(i int) id.VM { return id.VM(fmt.Sprintf("m-%02d", i)) }

func (p *simPlatform) workerID(vm id.VM) id.Worker {
	if n := p.incarnations[vm]; n > 0 {
		return id.Worker(fmt.Sprintf("%s-%d", "w"+string(vm[1:]), n))
	}
	return id.Worker("w" + string(vm[1:]))
}

// newSimPlatform requests a wave over the first VMs of a simulation.
func newSimPlatform(s *sim, vms, maxDown int, timeLimit time.Duration) *simPlatform {
	p := &simPlatform{sim: s, begun: make(map[id.VM]bool), upkeepEnds: make(map[id.VM]time.Time), incarnations: make(map[id.VM]int),
		wave: task.Wave{Number: firstWave, TimeLimit: timeLimit, MaxDown: maxDown}}
	for i := range vms {
		p.wave.VMs = append(p.wave.VMs, vmName(i))
	}
	s.platform = p
	s.planner.AddWave(s.now, p.wave)
	return p
}

// tick ends upkeeps that are due, with a new worker on the VM, and passes the list of VMs
// to the planner every simListInterval.
func (p *simPlatform) tick() {
	for vm, at := range p.upkeepEnds {
		if p.now.Before(at) {
			continue
		}
		delete(p.upkeepEnds, vm)
		old := p.workers[p.workerID(vm)]
		delete(p.workers, old.ID)
		p.planner.UnlistWorker(p.now, old.ID)
		p.incarnations[vm]++
		next := &simWorker{runs: make(map[task.Name]*simRun), Worker: old.Worker}
		next.ID = p.workerID(vm)
		p.workers[next.ID] = next
		p.planner.UpdateWorker(p.now, next.Worker)
		p.report(next)
	}
	if !p.planner.HasOpenWaves() || p.now.Sub(p.listedAt) < simListInterval {
		return
	}
	p.listedAt = p.now
	var vms []task.VM
	for i := range len(p.workers) {
		vm := task.VM{Name: vmName(i)}
		if _, down := p.upkeepEnds[vm.Name]; !down && vm.Name != p.offVM {
			vm.Up, vm.Worker = true, p.workerID(vm.Name)
		}
		vms = append(vms, vm)
	}
	p.planner.UpdateVMs(p.now, p.now, vms)
}

// beginUpkeep checks an order to begin an upkeep and carries it out.
func (p *simPlatform) beginUpkeep(u planner.UpkeepOrder) {
	p.t.Helper()
	if p.firstOrderAt.IsZero() {
		p.firstOrderAt = p.now
	}
	result := planner.UpkeepBegun
	if len(p.scriptedResults) > 0 {
		result, p.scriptedResults = p.scriptedResults[0], p.scriptedResults[1:]
	}
	p.orderedVMs = append(p.orderedVMs, u.VM)
	if u.VM == p.offVM {
		result = planner.UpkeepDeferred
	}
	if result == planner.UpkeepBegun && !p.begun[u.VM] {
		if !slices.Contains(p.progress.Ordered, u.VM) {
			p.t.Errorf("the upkeep of %s is ordered before it is stored", u.VM)
		}
		p.begun[u.VM] = true
		w := p.workers[p.workerID(u.VM)]
		for name, run := range w.runs {
			p.endedByUpkeep++
			if run.step.MaxUnavailable > 0 {
				p.t.Errorf("the upkeep of %s ends service task %s", u.VM, name)
			}
			delete(w.runs, name)
		}
		w.endedRuns = nil
		p.upkeepEnds[u.VM] = p.now.Add(simUpkeep)
		p.maxDown = max(p.maxDown, len(p.upkeepEnds))
		if len(p.upkeepEnds) > p.wave.MaxDown {
			p.t.Errorf("%d VMs are down at the same time instead of %d at most", len(p.upkeepEnds), p.wave.MaxDown)
		}
	}
	p.planner.HandleUpkeepResult(p.now, u, result)
}

func (p *simPlatform) checkStored(progress task.WaveProgress) {
	p.progress = progress
	for _, vm := range p.wave.VMs {
		if progress.Completed && !p.begun[vm] {
			p.t.Errorf("the wave is completed without the upkeep of %s", vm)
		}
	}
}

// TestWave guards against waves that exceed their time limit, that take down too many VMs
// at the same time, or that end runs which could have completed in time.
func TestWave(t *testing.T) {
	for _, test := range []struct {
		name      string
		vms       int
		maxDown   int
		timeLimit time.Duration
		runTime   time.Duration // run time of the tasks on the VMs; zero means no tasks
		endsRuns  bool
	}{
		{"idle", 6, 2, 20 * time.Second, 0, false},
		{"one at a time", 5, 1, 20 * time.Second, 0, false},
		{"runs that complete in time", 4, 2, 30 * time.Second, 5 * time.Second, false},
		{"runs that do not complete in time", 4, 1, 20 * time.Second, time.Hour, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newSim(t, 1, 8)
			if test.runTime > 0 {
				s.submit(singleStepJob(1, task.Step{Tasks: 64, Estimate: test.runTime}), 1)
			}
			s.advance(time.Second)
			p := newSimPlatform(s, test.vms, test.maxDown, test.timeLimit)
			s.advance(test.timeLimit)
			is.True(p.progress.Completed)
			is.Equal(len(p.begun), test.vms)
			is.Equal(p.endedByUpkeep > 0, test.endsRuns)
		})
	}
}

// TestWaveKeepsServiceTasksAvailable guards against a wave that makes more tasks of a
// service step unavailable than MaxUnavailable.
func TestWaveKeepsServiceTasksAvailable(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 6)
	s.submit(singleStepJob(1, task.Step{Tasks: 6, Service: true, MaxUnavailable: 1, MaxPerWorker: 2, Estimate: time.Second}), 1)
	s.advance(3 * time.Second)
	p := newSimPlatform(s, 5, 5, 40*time.Second)
	for range 400 {
		s.advance(100 * time.Millisecond)
		unavailable := 6
		for _, w := range s.workers {
			for _, run := range w.runs {
				if run.endsAt.IsZero() && run.elapsed >= run.runTime {
					unavailable--
				}
			}
		}
		if unavailable > 1 {
			t.Fatalf("%d service tasks are unavailable instead of 1 at most", unavailable)
		}
	}
	is.True(p.progress.Completed)
}

// TestWaveStopsServiceTaskLast guards against a service task that is stopped for an
// upkeep long before it begins, since other work still runs on the VM, and that can run
// nowhere else meanwhile.
func TestWaveStopsServiceTaskLast(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 1)
	s.submit(singleStepJob(1, task.Step{Tasks: 1, Service: true, Estimate: time.Second}), 1)
	s.submit(singleStepJob(2, task.Step{Tasks: 1, Estimate: 8 * time.Second}), 1)
	s.advance(2 * time.Second)
	p := newSimPlatform(s, 1, 1, 40*time.Second)
	for range 200 {
		s.advance(100 * time.Millisecond)
		runs := s.workers[p.workerID(vmName(0))].runs
		_, other := runs[task.Name{Job: "0000000000000002"}]
		is.True(!other || len(runs) == 2) // the other work does not run alone
	}
	is.True(p.progress.Completed)
}

// TestWaveOrderResults guards against a VM that is left out, or a wave that is never
// completed, after an order to begin an upkeep has failed.
func TestWaveOrderResults(t *testing.T) {
	for _, test := range []struct {
		name   string
		result planner.UpkeepResult
		begun  int
	}{{"deferred", planner.UpkeepDeferred, 3}, {"unanswered", planner.UpkeepUnanswered, 3}, {"rejected", planner.UpkeepRejected, 2}} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newSim(t, 1, 4)
			p := newSimPlatform(s, 3, 1, 20*time.Second)
			p.scriptedResults = []planner.UpkeepResult{test.result}
			if test.result == planner.UpkeepRejected {
				p.begun[vmName(0)] = true // so that checkStored accepts the wave without it
			}
			s.advance(25 * time.Second)
			is.True(p.progress.Completed)
			is.Equal(p.incarnations[vmName(0)]+p.incarnations[vmName(1)]+p.incarnations[vmName(2)], test.begun)
		})
	}
}

// TestNewOwnerContinuesWave guards against a new owner that takes down further VMs in
// addition to those that the earlier owner has ordered, or that issues orders while
// those of the earlier owner may still arrive.
func TestNewOwnerContinuesWave(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 4)
	s.planner.RestoreWave(task.WaveProgress{Number: firstWave, FirstSeen: s.now, Ordered: []id.VM{vmName(2)},
		Finished: []id.VM{vmName(0)}})
	s.planner.Resume(s.now)
	begun := s.now
	p := newSimPlatform(s, 3, 1, 20*time.Second)
	p.begun[vmName(0)], p.begun[vmName(2)] = true, true
	p.upkeepEnds[vmName(2)] = s.now.Add(4 * time.Second) // an order of the earlier owner that arrived late
	s.advance(20 * time.Second)
	is.True(p.progress.Completed)
	is.Equal(p.incarnations[vmName(0)], 0)
	is.Equal(p.incarnations[vmName(1)], 1)
	is.Equal(p.maxDown, 1)
	is.True(p.firstOrderAt.Sub(begun) >= simHandover)
}

// TestNewOwnerKeepsOrderedVMEmpty guards against a new owner that starts service tasks on
// a VM whose upkeep the earlier owner has ordered, and then repeats the order.
func TestNewOwnerKeepsOrderedVMEmpty(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 2)
	s.planner.RestoreWave(task.WaveProgress{Number: firstWave, FirstSeen: s.now, Ordered: []id.VM{vmName(0)},
		Workers: map[id.VM]id.Worker{vmName(0): "w-00"}})
	s.planner.Resume(s.now)
	s.submit(singleStepJob(1, task.Step{Tasks: 2, Service: true, MaxUnavailable: 1, MaxPerWorker: 2, Estimate: time.Second}), 1)
	p := newSimPlatform(s, 1, 1, 20*time.Second)
	s.advance(20 * time.Second) // beginUpkeep fails the test if an upkeep ends a service task
	is.True(p.progress.Completed)
	is.Equal(p.incarnations[vmName(0)], 1)
}

// TestWaveSkipsVMThatIsOff guards against a wave that is blocked by a VM that is off and
// can't have its upkeep now, and against one that is completed without it.
func TestWaveSkipsVMThatIsOff(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 4)
	p := newSimPlatform(s, 3, 1, 20*time.Second)
	p.offVM = vmName(0)
	s.advance(20 * time.Second)
	is.Equal(len(p.begun), 2)
	is.True(!p.progress.Completed)
	is.True(!slices.Contains(p.orderedVMs, vmName(0))) // the platform would reject such orders
	p.offVM = ""
	s.advance(6 * time.Second)
	is.True(p.progress.Completed)
}

// TestUnconfirmedUpkeep guards against a VM that is taken down while an order for another
// VM may still be carried out, so that more than MaxDown are down.
func TestUnconfirmedUpkeep(t *testing.T) {
	for _, test := range []struct {
		name     string
		restored bool // an earlier owner issued the order
		results  []planner.UpkeepResult
	}{
		{"unanswered order", false, []planner.UpkeepResult{planner.UpkeepUnanswered, planner.UpkeepDeferred, planner.UpkeepDeferred}},
		{"order of an earlier owner", true, []planner.UpkeepResult{planner.UpkeepDeferred, planner.UpkeepDeferred}},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newSim(t, 1, 4)
			if test.restored {
				s.planner.RestoreWave(task.WaveProgress{Number: firstWave, FirstSeen: s.now, Ordered: []id.VM{vmName(1)}})
			}
			p := newSimPlatform(s, 3, 1, 20*time.Second)
			p.scriptedResults = test.results
			s.advance(20 * time.Second)
			is.True(p.progress.Completed)
			for _, vm := range p.orderedVMs[:len(test.results)+1] {
				is.Equal(vm, p.orderedVMs[0])
			}
		})
	}
}

// TestOldListOfVMs guards against an upkeep that counts as finished because a list that
// was requested before it began shows the VM as up.
func TestOldListOfVMs(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 1)
	list := []task.VM{{Name: vmName(0), Up: true, Worker: "w-00"}}
	s.planner.AddWave(s.now, task.Wave{Number: firstWave, VMs: []id.VM{vmName(0)}, MaxDown: 1})
	s.planner.UpdateVMs(s.now, s.now, list)
	requestedAt := s.now.Add(time.Minute)
	s.now = requestedAt.Add(time.Second)
	s.planner.Tick(s.now)
	orders := s.planner.TakeChanges().UpkeepOrders
	is.Equal(len(orders), 1)
	s.planner.HandleUpkeepResult(s.now, orders[0], planner.UpkeepBegun)
	s.planner.UpdateVMs(s.now, requestedAt, list)
	s.planner.Tick(s.now)
	is.True(s.planner.HasOpenWaves())
	s.planner.UpdateVMs(s.now.Add(time.Second), s.now.Add(time.Second), list)
	s.planner.Tick(s.now.Add(time.Second))
	is.True(!s.planner.HasOpenWaves())
}

// TestVMAddedBeforeWave guards against a wave that is completed without the upkeep of a VM that
// was added after the last list of VMs was read.
func TestVMAddedBeforeWave(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 2)
	list := []task.VM{{Name: vmName(0), Up: true, Worker: "w-00"}}
	s.planner.UpdateVMs(s.now, s.now, list) // for an earlier wave
	s.now = s.now.Add(time.Minute)
	s.planner.AddWave(s.now, task.Wave{Number: firstWave, VMs: []id.VM{vmName(1)}, MaxDown: 1})
	s.planner.Tick(s.now)
	is.True(s.planner.HasOpenWaves())
	s.planner.UpdateVMs(s.now, s.now.Add(-time.Second), list) // requested before the wave
	s.planner.Tick(s.now)
	is.True(s.planner.HasOpenWaves())
	s.planner.UpdateVMs(s.now, s.now, append(list, task.VM{Name: vmName(1), Up: true, Worker: "w-01"}))
	s.planner.Tick(s.now)
	is.Equal(len(s.planner.TakeChanges().UpkeepOrders), 1)
}

// TestWorkerKeepsItsIDAfterUpkeep guards against a worker that gets no work after its
// upkeep because it has restarted under the same id, and the last list of VMs did not
// contain it yet.
func TestWorkerKeepsItsIDAfterUpkeep(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 1)
	s.planner.AddWave(s.now, task.Wave{Number: firstWave, VMs: []id.VM{vmName(0)}, MaxDown: 1})
	list := func(after time.Duration, worker id.Worker) {
		s.now = s.now.Add(after)
		s.planner.UpdateVMs(s.now, s.now, []task.VM{{Name: vmName(0), Up: true, Worker: worker}})
		s.planner.Tick(s.now)
	}
	list(time.Minute, "w-00")
	orders := s.planner.TakeChanges().UpkeepOrders
	is.Equal(len(orders), 1)
	s.planner.HandleUpkeepResult(s.now, orders[0], planner.UpkeepBegun)
	list(time.Second, "")
	is.True(!s.planner.HasOpenWaves())
	restarted := s.restartedWorker("w-00")
	s.planner.UpdateWorker(s.now, restarted)
	s.planner.HandleReport(s.now, s.now, task.Report{Worker: restarted.ID, Incarnation: 2})
	s.planner.Tick(s.now)
	is.Equal(len(submitAndPlan(s, singleStepJob(1, task.Step{Tasks: 1}), 1)), 1)
}

// TestStartAfterUpkeepIsNotRepeated guards against a second run of a task whose start is
// carried out by the worker that starts under the same id after the upkeep of its VM.
func TestStartAfterUpkeepIsNotRepeated(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 2)
	start := submitAndPlan(s, singleStepJob(1, task.Step{Tasks: 1, Estimate: time.Hour}), 1)[0]
	s.planner.HandleOrderResult(s.now, start, planner.Accepted)
	restarted := s.restartedWorker(start.Worker)
	vm := id.VM("m" + string(start.Worker[1:]))
	s.planner.AddWave(s.now, task.Wave{Number: firstWave, VMs: []id.VM{vm}, MaxDown: 1, TimeLimit: time.Second})
	update := func(listed task.VM) planner.Changes {
		s.now = s.now.Add(time.Second)
		s.planner.RecordLeaseGrant(start.Worker, s.now)
		s.planner.UpdateVMs(s.now, s.now, []task.VM{listed})
		s.planner.Tick(s.now)
		s.planner.Plan(s.now)
		return s.planner.TakeChanges()
	}
	var upkeeps []planner.UpkeepOrder
	for range 10 { // until orders of an earlier owner can't be in flight any more
		upkeeps = append(upkeeps, update(task.VM{Name: vm, Up: true, Worker: start.Worker}).UpkeepOrders...)
	}
	s.planner.HandleUpkeepResult(s.now, upkeeps[0], planner.UpkeepBegun)
	is.Equal(len(update(task.VM{Name: vm}).Orders), 0)
	s.planner.UpdateWorker(s.now, restarted)
	s.planner.HandleReport(s.now, s.now, task.Report{Worker: start.Worker, Incarnation: 2,
		Active: []task.ActiveRun{{Task: start.Task, Run: start.Run}}})
	is.Equal(len(update(task.VM{Name: vm, Up: true, Worker: start.Worker}).Orders), 0)
	is.True(s.planner.Busy(start.Worker))
}

// TestWithdrawnWave guards against upkeeps that begin after the operators have withdrawn
// the wave.
func TestWithdrawnWave(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 4)
	p := newSimPlatform(s, 4, 1, time.Minute)
	s.advance(5 * time.Second)
	before := len(p.begun)
	is.True(before > 0 && before < 4)
	s.planner.WithdrawWave(firstWave)
	s.advance(20 * time.Second)
	is.Equal(len(p.begun), before)
	is.True(!s.planner.HasOpenWaves())
	s.submit(singleStepJob(1, task.Step{Tasks: 32, Estimate: time.Second}), 1)
	s.advance(time.Second / 2)
	is.Equal(len(s.lastWorker), 32) // all workers get work again
}
