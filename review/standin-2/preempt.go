package main

import "time"

func init() {
	scenarios["preempt"] = scenario{bounds: skyBounds, nodes: 3, guaranteed: 8, build: addMachines("a", "a"), play: playPreempt}
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
