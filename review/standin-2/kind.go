package main

import (
	"net/http"
	"time"
)

func init() {
	scenarios["kind"] = scenario{bounds: skyBounds, nodes: 3, guaranteed: 8, build: addMachines("a", "b", "b", "b", "b", "b", "b"), play: playKind}
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
