package main

import (
	"net/http"
	"time"
)

func init() {
	scenarios["done"] = scenario{bounds: skyBounds, nodes: 3, guaranteed: 8, build: addMachines("a", "a", "a", "a", "a", "b"), play: playDone}
}

// playDone has a lasting task end on a minion that is cut off.
func playDone(w *world, trouble bool) error {
	// The cut ends 13 s after the start of the task. The next entry of the minion then follows
	// over a second later, so that its answer to a poll comes first.
	const phase = 800 * time.Millisecond
	born := w.machines[len(w.machines)-1].minion.born
	time.Sleep((phase - time.Since(born)%beatInterval + beatInterval) % beatInterval)
	j, err := w.submit(1, 1, step{Count: 1, CPU: 2000, MemMB: 1024, GPU: 1, Constraints: "b", LongRunning: true})
	if err != nil {
		return err
	}
	r, err := w.awaitRun(j.task(0, 0), 3*time.Second)
	if err != nil {
		return err
	}
	m := w.machineOf(r)
	time.Sleep(7500 * time.Millisecond)
	if trouble {
		w.mu.Lock()
		m.cutUntil = time.Now().Add(5500 * time.Millisecond)
		w.rec.add("machine %s is cut off for 5.5 s", m.name)
		w.mu.Unlock()
	}
	time.Sleep(time.Second)
	w.mu.Lock()
	m.minion.finish(r, "done")
	w.mu.Unlock()
	time.Sleep(18 * time.Second)
	_, v := w.call(w.nodes[0], http.MethodGet, 1, j.id, nil)
	if len(w.runsOf(j.task(0, 0))) == 0 {
		w.rec.broken("LOST", "task %s, which lasts until its job is cancelled, has not run for 18 s, though machine %s is up and empty; its job is shown as %v",
			j.task(0, 0), m.name, v["state"])
	}
	return nil
}
