package main

import (
	"net/http"
	"time"
)

// The scenarios in this file are no cases of the review. REPORT-2.md tells what they show.
func init() {
	scenarios["preempt"] = scenario{bounds: skyBounds, nodes: 3, guaranteed: 8, build: addMachines("a", "a"), play: playPreempt}
	scenarios["kind"] = scenario{bounds: skyBounds, nodes: 3, guaranteed: 8, build: addMachines("a", "b", "b", "b", "b", "b", "b"), play: playKind}
	scenarios["stale2"] = scenario{bounds: grownBounds, nodes: 3, guaranteed: 8, build: addMachines("a", "a", "a", "a"), play: playStale2}
	scenarios["crash"] = scenario{bounds: largeBounds, nodes: 3, guaranteed: 8, build: addMachines("a", "a", "a", "a", "a", "a", "a", "a"), play: playCrash}
	scenarios["pending"] = scenario{bounds: skyBounds, nodes: 3, guaranteed: 8,
		build: addMachines("a", "a", "a", "a", "a", "a", "a", "a", "a", "a", "a", "b"), play: playPending}
	scenarios["wave"] = scenario{bounds: skyBounds, nodes: 3, guaranteed: 8, build: addMachines("a", "a", "a", "b"), play: playWave}
	scenarios["upkeep"] = scenario{bounds: skyBounds, nodes: 3, guaranteed: 8, build: addMachines("a", "a", "a", "a"), play: playUpkeep}
	scenarios["gone"] = scenario{bounds: largeBounds, nodes: 3, guaranteed: 8, build: addMachines("a", "a", "a", "a", "a", "a", "a", "a"), play: playGone}
}

// playCrash has a minion with one of two lasting tasks lost for good, and then a wave of upkeep
// for the machine of the other.
func playCrash(w *world, trouble bool) error {
	j, err := w.submit(1, 1, step{Count: 2, CPU: 4000, MemMB: 1024, GPU: 4, AntiAffinity: 1, LongRunning: true, MayMiss: 1})
	if err != nil {
		return err
	}
	var runs [2]*run
	for i := range runs {
		if runs[i], err = w.awaitRun(j.task(0, i), 3*time.Second); err != nil {
			return err
		}
	}
	time.Sleep(3 * time.Second)
	if trouble {
		w.mu.Lock()
		w.machineOf(runs[0]).crash()
		w.mu.Unlock()
	}
	time.Sleep(w.bounds.notice + 300*time.Millisecond)
	name := w.machineOf(runs[1]).name
	w.rec.add("operator: op/wave/1 for machine %s, cap 1, 30 s", name)
	w.store.write("op/wave/1", map[string]any{"wave": 1, "machines": []string{name}, "duration_s": 30, "cap": 1})
	time.Sleep(12 * time.Second)
	w.rec.add("status/wave/1: %s", w.store.value("status/wave/1"))
	return nil
}

// playPending has a minion reject all starts for 6.5 s, and the leader killed meanwhile.
func playPending(w *world, trouble bool) error {
	grey := w.machines[len(w.machines)-1]
	if trouble {
		end := time.Now().Add(6500 * time.Millisecond)
		w.mu.Lock()
		grey.fail = func(path string, _ order) (int, time.Duration) {
			if path == "/run-start" && time.Now().Before(end) {
				return http.StatusServiceUnavailable, 0
			}
			return 0, 0
		}
		w.mu.Unlock()
	}
	var jobs []*job
	for i := range 6 {
		j, err := w.submit(1, i, step{Count: 1, CPU: 2000, MemMB: 1024, GPU: 1, EstimateMS: 3000, Constraints: "b", work: 3 * time.Second})
		if err != nil {
			return err
		}
		jobs = append(jobs, j)
	}
	time.Sleep(2600 * time.Millisecond)
	var killed *node
	if trouble {
		killed = w.killLeader()
	}
	for end := time.Now().Add(9 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, n := range w.nodes {
			if n != killed {
				w.checkPending(n, jobs)
			}
		}
	}
	return nil
}

// playWave has a wave for a machine with a lasting task that can run nowhere else, beside a
// task that has to end first.
func playWave(w *world, trouble bool) error {
	j, err := w.submit(1, 1, step{Count: 1, CPU: 2000, MemMB: 1024, GPU: 1, Constraints: "b", LongRunning: true})
	if err != nil {
		return err
	}
	if _, err := w.submit(1, 2, step{Count: 1, CPU: 2000, MemMB: 1024, GPU: 1, EstimateMS: 25000, Constraints: "b", work: 25 * time.Second}); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	if trouble {
		w.rec.add("operator: op/wave/1 for machine m04, cap 1, 60 s")
		w.store.write("op/wave/1", map[string]any{"wave": 1, "machines": []string{"m04"}, "duration_s": 60, "cap": 1})
	}
	for end := time.Now().Add(32 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		w.checkLasting([]*job{j})
	}
	w.rec.add("status/wave/1: %s", w.store.value("status/wave/1"))
	return nil
}

// playUpkeep has the cloud silent when an upkeep is ordered, and the leader killed then.
func playUpkeep(w *world, trouble bool) error {
	if _, err := w.submit(1, 9, step{Count: 1, CPU: 2000, MemMB: 1024, GPU: 1, EstimateMS: 4000, work: 4 * time.Second}); err != nil {
		return err
	}
	w.rec.add("operator: op/wave/1 for machine m01, cap 1, 30 s")
	w.store.write("op/wave/1", map[string]any{"wave": 1, "machines": []string{"m01"}, "duration_s": 30, "cap": 1})
	time.Sleep(3 * time.Second)
	if trouble {
		w.mu.Lock()
		w.cloud.silentUntil = time.Now().Add(5 * time.Second)
		w.rec.add("the cloud is silent for 5 s")
		w.mu.Unlock()
		time.Sleep(2500 * time.Millisecond)
		w.killLeader()
	}
	time.Sleep(500 * time.Millisecond)
	j, err := w.submit(1, 1, step{Count: 2, CPU: 2000, MemMB: 1024, GPU: 4, LongRunning: true, MayMiss: 1})
	if err != nil {
		return err
	}
	for i := range 2 {
		if _, err = w.awaitRun(j.task(0, i), 5*time.Second); err != nil {
			return err
		}
	}
	time.Sleep(10 * time.Second)
	w.rec.add("status/wave/1: %s", w.store.value("status/wave/1"))
	return nil
}

// playGone has a minion with a lasting task lost for good.
func playGone(w *world, trouble bool) error {
	j, err := w.submit(1, 1, step{Count: 1, CPU: 2000, MemMB: 1024, GPU: 1, LongRunning: true})
	if err != nil {
		return err
	}
	r, err := w.awaitRun(j.task(0, 0), 3*time.Second)
	if err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	if trouble {
		w.mu.Lock()
		w.machineOf(r).crash()
		w.mu.Unlock()
	}
	for end := time.Now().Add(16 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		w.checkLasting([]*job{j})
	}
	return nil
}

// checkPending asks a node for the number of pending jobs. It is wrong if it is under half
// of the jobs that were accepted over visible_ms + 2 s ago and haven't begun, then and 2 s ago.
func (w *world) checkPending(n *node, jobs []*job) {
	waiting := 0
	w.mu.Lock()
	for _, j := range jobs {
		if !j.begun && time.Since(j.accepted) > w.bounds.visible+2*time.Second {
			waiting++
		}
	}
	w.mu.Unlock()
	status, v := w.call(n, http.MethodGet, 1, "", nil)
	pending, ok := v["pending_jobs"].(float64)
	if status != http.StatusOK || !ok {
		return
	}
	still := 0
	w.mu.Lock()
	for _, j := range jobs {
		if !j.begun {
			still++
		}
	}
	w.mu.Unlock()
	if waiting = min(waiting, still); 2*pending < float64(waiting) {
		w.rec.broken("MIXED", "%s gives %v as pending_jobs; %d jobs that were accepted over 5 s ago haven't begun", n.name, pending, waiting)
	}
}

// playPreempt has an urgent job come that needs a whole machine. One machine has work that
// may be stopped, the other has both tasks of a step of which one may be away.
func playPreempt(w *world, trouble bool) error {
	if _, err := w.submit(2, 1, step{Count: 1, CPU: 4000, MemMB: 1024, GPU: 8, EstimateMS: 60000, work: 60 * time.Second}); err != nil {
		return err
	}
	time.Sleep(15 * time.Second)
	j, err := w.submit(1, 2, step{Count: 2, CPU: 4000, MemMB: 1024, GPU: 4, LongRunning: true, MayMiss: 1})
	if err != nil {
		return err
	}
	for i := range 2 {
		if _, err = w.awaitRun(j.task(0, i), 3*time.Second); err != nil {
			return err
		}
	}
	time.Sleep(5 * time.Second)
	if trouble {
		w.rec.add("an urgent job comes")
		if _, err := w.submit(0, 3, step{Count: 1, CPU: 4000, MemMB: 1024, GPU: 8, EstimateMS: 3000, work: 3 * time.Second}); err != nil {
			return err
		}
	}
	time.Sleep(6 * time.Second)
	return nil
}

// playKind has a minion crash and start again under its id as one of another kind.
func playKind(w *world, trouble bool) error {
	j, err := w.submit(1, 1, step{Count: 1, CPU: 4000, MemMB: 1024, GPU: 2, EstimateMS: 8000, Constraints: "a", work: 8 * time.Second})
	if err != nil {
		return err
	}
	r, err := w.awaitRun(j.task(0, 0), 3*time.Second)
	if err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		m := w.machineOf(r)
		w.mu.Lock()
		id := m.minion.id
		m.crash()
		w.mu.Unlock()
		time.Sleep(500 * time.Millisecond)
		w.mu.Lock()
		m.kind = "b"
		m.up(id, beatInterval)
		w.mu.Unlock()
	}
	time.Sleep(8 * time.Second)
	w.call(w.nodes[0], http.MethodGet, 1, j.id, nil)
	return nil
}

// playStale2 has a minion crash between two waves; the next one on its machine has another id.
func playStale2(w *world, trouble bool) error {
	if err := w.wave(1, 30, 1, 20*time.Second, "m04"); err != nil {
		return err
	}
	time.Sleep(time.Second)
	if trouble {
		w.mu.Lock()
		w.machines[0].crash()
		w.mu.Unlock()
		time.Sleep(time.Second)
		w.mu.Lock()
		w.machines[0].up("", 0)
		w.mu.Unlock()
	}
	time.Sleep(8 * time.Second)
	j, err := w.submit(1, 1, step{Count: 2, CPU: 2000, MemMB: 1024, GPU: 4, LongRunning: true, MayMiss: 1})
	if err != nil {
		return err
	}
	for i := range 2 {
		if _, err = w.awaitRun(j.task(0, i), 3*time.Second); err != nil {
			return err
		}
	}
	time.Sleep(4 * time.Second)
	return w.wave(2, 60, 1, 40*time.Second, w.machineOf(w.runsOf(j.task(0, 0))[0]).name)
}
