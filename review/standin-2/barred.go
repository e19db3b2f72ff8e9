package main

import "time"

func init() {
	scenarios["barred"] = scenario{bounds: skyBounds, nodes: 3, guaranteed: 8, build: addMachines("a", "a", "a", "b"), play: playBarred}
}

// playBarred has the lasting tasks of three jobs on one minion fail once each, six seconds
// apart.
func playBarred(w *world, trouble bool) error {
	var jobs []*job
	for i := range 3 {
		j, err := w.submit(1, i, step{Count: 1, CPU: 2000, MemMB: 1024, GPU: 1, Constraints: "b", LongRunning: true})
		if err != nil {
			return err
		}
		jobs = append(jobs, j)
	}
	for i, j := range jobs {
		r, err := w.awaitRun(j.task(0, 0), 3*time.Second)
		if err != nil {
			return err
		}
		if trouble {
			w.mu.Lock()
			r.minion.finish(r, "failed")
			w.mu.Unlock()
		}
		if i < 2 {
			time.Sleep(6 * time.Second)
		}
	}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		w.checkLasting(jobs)
	}
	return nil
}
