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
	simUpkeep   = 2 * time.Second
	simHandover = 3 * time.Second
	simListTime = time.Second // between two reads of the list of VMs
	firstWave   = 1
)

// simCloud is the platform's side of upkeep. It plays the waves of a sim.
type simCloud struct {
	*sim
	wave     task.Wave
	begun    map[id.VM]bool
	back     map[id.VM]time.Time // end of the upkeep of VMs that are down
	life     map[id.VM]int
	progress task.WaveProgress
	most     int // VMs down at once
	script   []planner.UpkeepResult
	killed   int // runs that an upkeep ended
	listed   time.Time
	first    time.Time // the first order
	off      id.VM     // this VM is off
	orders   []id.VM
}

func vmName(i int) id.VM { return id.VM(fmt.Sprintf("m-%02d", i)) }

func (c *simCloud) worker(vm id.VM) id.Worker {
	if n := c.life[vm]; n > 0 {
		return id.Worker(fmt.Sprintf("%s-%d", "w"+string(vm[1:]), n))
	}
	return id.Worker("w" + string(vm[1:]))
}

// newCloud asks for the upkeep of the first VMs of a sim.
func newCloud(s *sim, vms, atOnce int, within time.Duration) *simCloud {
	c := &simCloud{sim: s, begun: make(map[id.VM]bool), back: make(map[id.VM]time.Time), life: make(map[id.VM]int),
		wave: task.Wave{Number: firstWave, TimeLimit: within, MaxDown: atOnce}}
	for i := range vms {
		c.wave.VMs = append(c.wave.VMs, vmName(i))
	}
	s.cloud = c
	s.r.AddWave(s.now, c.wave)
	return c
}

// step lets VMs come back and reads the list.
func (c *simCloud) step() {
	for vm, at := range c.back {
		if c.now.Before(at) {
			continue
		}
		delete(c.back, vm)
		old := c.workers[c.worker(vm)]
		delete(c.workers, old.ID)
		c.r.UnlistWorker(c.now, old.ID)
		c.life[vm]++
		next := &simWorker{runs: make(map[task.Name]*simRun), Worker: old.Worker}
		next.ID = c.worker(vm)
		c.workers[next.ID] = next
		c.r.UpdateWorker(c.now, next.Worker)
		c.report(next)
	}
	if !c.r.HasOpenWaves() || c.now.Sub(c.listed) < simListTime {
		return
	}
	c.listed = c.now
	var vms []task.VM
	for i := range len(c.workers) {
		vm := task.VM{Name: vmName(i)}
		if _, down := c.back[vm.Name]; !down && vm.Name != c.off {
			vm.Up, vm.Worker = true, c.worker(vm.Name)
		}
		vms = append(vms, vm)
	}
	c.r.UpdateVMs(c.now, c.now, vms)
}

// order carries out an order to begin an upkeep and checks it.
func (c *simCloud) order(u planner.UpkeepOrder) {
	c.t.Helper()
	if c.first.IsZero() {
		c.first = c.now
	}
	answer := planner.UpkeepBegun
	if len(c.script) > 0 {
		answer, c.script = c.script[0], c.script[1:]
	}
	c.orders = append(c.orders, u.VM)
	if u.VM == c.off {
		answer = planner.UpkeepDeferred
	}
	if answer == planner.UpkeepBegun && !c.begun[u.VM] {
		if !slices.Contains(c.progress.Ordered, u.VM) {
			c.t.Errorf("the upkeep of %s is ordered and not stored", u.VM)
		}
		c.begun[u.VM] = true
		w := c.workers[c.worker(u.VM)]
		for name, run := range w.runs {
			c.killed++
			if run.step.MaxUnavailable > 0 {
				c.t.Errorf("the upkeep of %s ends serving task %s", u.VM, name)
			}
			delete(w.runs, name)
		}
		w.ends = nil
		c.back[u.VM] = c.now.Add(simUpkeep)
		c.most = max(c.most, len(c.back))
		if len(c.back) > c.wave.MaxDown {
			c.t.Errorf("%d VMs are down at once", len(c.back))
		}
	}
	c.r.HandleUpkeepResult(c.now, u, answer)
}

func (c *simCloud) stored(p task.WaveProgress) {
	c.progress = p
	for _, vm := range c.wave.VMs {
		if p.Completed && !c.begun[vm] {
			c.t.Errorf("the wave is completed without %s", vm)
		}
	}
}

// TestWave guards against waves that are late, that take too many VMs at once,
// or that end work which could have ended in time.
func TestWave(t *testing.T) {
	for _, test := range []struct {
		name   string
		vms    int
		atOnce int
		within time.Duration
		work   time.Duration // of the tasks that run; zero is none
		killed bool
	}{
		{"idle", 6, 2, 20 * time.Second, 0, false},
		{"one at a time", 5, 1, 20 * time.Second, 0, false},
		{"work that ends in time", 4, 2, 30 * time.Second, 5 * time.Second, false},
		{"work that does not end", 4, 1, 20 * time.Second, time.Hour, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newSim(t, 1, 8)
			if test.work > 0 {
				s.submit(single(1, task.Step{Tasks: 64, Estimate: test.work}), 1)
			}
			s.advance(time.Second)
			c := newCloud(s, test.vms, test.atOnce, test.within)
			s.advance(test.within)
			is.True(c.progress.Completed)
			is.Equal(len(c.begun), test.vms)
			is.Equal(c.killed > 0, test.killed)
		})
	}
}

// TestWaveSparesServing guards against an upkeep that makes more tasks of a
// serving step unavailable than it may miss.
func TestWaveSparesServing(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 6)
	s.submit(single(1, task.Step{Tasks: 6, Service: true, MaxUnavailable: 1, MaxPerWorker: 2, Estimate: time.Second}), 1)
	s.advance(3 * time.Second)
	c := newCloud(s, 5, 5, 40*time.Second)
	for range 400 {
		s.advance(100 * time.Millisecond)
		away := 6
		for _, w := range s.workers {
			for _, run := range w.runs {
				if run.ends.IsZero() && run.done >= run.work {
					away--
				}
			}
		}
		if away > 1 {
			t.Fatalf("%d serving tasks are away", away)
		}
	}
	is.True(c.progress.Completed)
}

// TestWaveAnswers guards against a VM that is left out, or a wave that never
// ends, after an answer that is not what was hoped for.
func TestWaveAnswers(t *testing.T) {
	for _, test := range []struct {
		name   string
		answer planner.UpkeepResult
		begun  int
	}{{"nothing done", planner.UpkeepDeferred, 3}, {"no answer", planner.UpkeepUnanswered, 3}, {"gone", planner.UpkeepRejected, 2}} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newSim(t, 1, 4)
			c := newCloud(s, 3, 1, 20*time.Second)
			c.script = []planner.UpkeepResult{test.answer}
			if test.answer == planner.UpkeepRejected {
				c.begun[vmName(0)] = true // so that the wave counts as complete without it
			}
			s.advance(25 * time.Second)
			is.True(c.progress.Completed)
			is.Equal(c.life[vmName(0)]+c.life[vmName(1)]+c.life[vmName(2)], test.begun)
		})
	}
}

// TestNewOwnerGoesOnWithWave guards against a new owner that takes further VMs
// down beside those that the earlier one has ordered, or that gives orders in
// turn with it.
func TestNewOwnerGoesOnWithWave(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 4)
	s.r.RestoreWave(task.WaveProgress{Number: firstWave, FirstSeen: s.now, Ordered: []id.VM{vmName(2)}, Finished: []id.VM{vmName(0)}})
	s.r.Resume(s.now)
	begun := s.now
	c := newCloud(s, 3, 1, 20*time.Second)
	c.begun[vmName(0)], c.begun[vmName(2)] = true, true
	c.back[vmName(2)] = s.now.Add(4 * time.Second) // ordered late by the earlier owner
	s.advance(20 * time.Second)
	is.True(c.progress.Completed)
	is.Equal(c.life[vmName(0)], 0)
	is.Equal(c.life[vmName(1)], 1)
	is.Equal(c.most, 1)
	is.True(c.first.Sub(begun) >= simHandover)
}

// TestWavePassesOverVMThatIsOff guards against a wave that waits for a VM that
// can't have its upkeep now, and against one that is completed without it.
func TestWavePassesOverVMThatIsOff(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 4)
	c := newCloud(s, 3, 1, 20*time.Second)
	c.off = vmName(0)
	s.advance(20 * time.Second)
	is.Equal(len(c.begun), 2)
	is.True(!c.progress.Completed)
	is.True(!slices.Contains(c.orders, vmName(0))) // such orders are only refused
	c.off = ""
	s.advance(6 * time.Second)
	is.True(c.progress.Completed)
}

// TestUpkeepInDoubt guards against a further VM that is taken down while an
// order for another may yet be carried out.
func TestUpkeepInDoubt(t *testing.T) {
	for _, test := range []struct {
		name     string
		restored bool // an earlier owner gave the order
		script   []planner.UpkeepResult
	}{
		{"an order without an answer", false, []planner.UpkeepResult{planner.UpkeepUnanswered, planner.UpkeepDeferred, planner.UpkeepDeferred}},
		{"an order of an earlier owner", true, []planner.UpkeepResult{planner.UpkeepDeferred, planner.UpkeepDeferred}},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newSim(t, 1, 4)
			if test.restored {
				s.r.RestoreWave(task.WaveProgress{Number: firstWave, FirstSeen: s.now, Ordered: []id.VM{vmName(1)}})
			}
			c := newCloud(s, 3, 1, 20*time.Second)
			c.script = test.script
			s.advance(20 * time.Second)
			is.True(c.progress.Completed)
			for _, vm := range c.orders[:len(test.script)+1] {
				is.Equal(vm, c.orders[0])
			}
		})
	}
}

// TestOldListOfVMs guards against a VM that counts as back because a list from
// before its upkeep shows it up.
func TestOldListOfVMs(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 1)
	list := []task.VM{{Name: vmName(0), Up: true, Worker: "w-00"}}
	s.r.AddWave(s.now, task.Wave{Number: firstWave, VMs: []id.VM{vmName(0)}, MaxDown: 1})
	s.r.UpdateVMs(s.now, s.now, list)
	asked := s.now.Add(time.Minute)
	s.now = asked.Add(time.Second)
	s.r.Tick(s.now)
	orders := s.r.TakeChanges().UpkeepOrders
	is.Equal(len(orders), 1)
	s.r.HandleUpkeepResult(s.now, orders[0], planner.UpkeepBegun)
	s.r.UpdateVMs(s.now, asked, list)
	s.r.Tick(s.now)
	is.True(s.r.HasOpenWaves())
	s.r.UpdateVMs(s.now.Add(time.Second), s.now.Add(time.Second), list)
	s.r.Tick(s.now.Add(time.Second))
	is.True(!s.r.HasOpenWaves())
}

// TestWorkerKeepsItsName guards against a worker that gets no work after its
// upkeep because it lives again under the id that it had, and the last list of
// VMs did not name it yet.
func TestWorkerKeepsItsName(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 1)
	s.r.AddWave(s.now, task.Wave{Number: firstWave, VMs: []id.VM{vmName(0)}, MaxDown: 1})
	list := func(after time.Duration, worker id.Worker) {
		s.now = s.now.Add(after)
		s.r.UpdateVMs(s.now, s.now, []task.VM{{Name: vmName(0), Up: true, Worker: worker}})
		s.r.Tick(s.now)
	}
	list(time.Minute, "w-00")
	orders := s.r.TakeChanges().UpkeepOrders
	is.Equal(len(orders), 1)
	s.r.HandleUpkeepResult(s.now, orders[0], planner.UpkeepBegun)
	list(time.Second, "")
	is.True(!s.r.HasOpenWaves())
	anew := s.workers["w-00"].Worker
	anew.Incarnation = 2
	s.r.UpdateWorker(s.now, anew)
	s.r.HandleReport(s.now, s.now, task.Report{Worker: anew.ID, Incarnation: 2})
	s.r.Tick(s.now)
	is.Equal(len(place(s, single(1, task.Step{Tasks: 1}), 1)), 1)
}

// TestWithdrawnWave guards against upkeep that the operators no longer want.
func TestWithdrawnWave(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 4)
	c := newCloud(s, 4, 1, time.Minute)
	s.advance(5 * time.Second)
	before := len(c.begun)
	is.True(before > 0 && before < 4)
	s.r.WithdrawWave(firstWave)
	s.advance(20 * time.Second)
	is.Equal(len(c.begun), before)
	is.True(!s.r.HasOpenWaves())
	s.submit(single(1, task.Step{Tasks: 32, Estimate: time.Second}), 1)
	s.advance(time.Second / 2)
	is.Equal(len(s.placed), 32) // all workers take work again
}
