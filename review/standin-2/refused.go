package main

import (
	"fmt"
	"time"
)

func init() {
	scenarios["refused"] = scenario{bounds: skyBounds, nodes: 3, guaranteed: 8, build: addMachines("a", "a", "a", "a", "a", "a", "a", "a"),
		play: playRefused}
}

// playRefused has a minion crash and another one start in its place, under another id, while
// small jobs come all the time. A lasting task ran on the minion that crashed.
func playRefused(w *world, trouble bool) error {
	j, err := w.submit(1, 1, step{Count: 1, CPU: 2000, MemMB: 1024, GPU: 4, LongRunning: true})
	if err != nil {
		return err
	}
	r, err := w.awaitRun(j.task(0, 0), 3*time.Second)
	if err != nil {
		return err
	}
	m := w.machineOf(r)
	begin := time.Now()
	for i := 0; time.Since(begin) < 24*time.Second; i++ {
		if _, err := w.submit(1, 100+i, step{Count: 1, CPU: 1000, MemMB: 512, GPU: 1, EstimateMS: 1000, work: time.Second}); err != nil {
			return fmt.Errorf("job %d: %w", i, err)
		}
		time.Sleep(250 * time.Millisecond)
		if trouble && m.lives == 1 && time.Since(begin) > 6*time.Second {
			w.mu.Lock()
			m.crash()
			w.mu.Unlock()
			time.Sleep(300 * time.Millisecond)
			w.mu.Lock()
			m.up("", 0)
			w.mu.Unlock()
		}
		w.checkLasting([]*job{j})
	}
	return nil
}
