package main

import (
	"net/http"
	"strings"
	"time"
)

func init() {
	scenarios["late"] = scenario{bounds: skyBounds, nodes: 3, guaranteed: 8, build: addMachines("a", "b", "c", "d", "d", "d", "d"), play: playLate}
}

// playLate has a start carried out late by a minion that has restarted under its id, after
// the leader that sent the start was stopped and started again.
func playLate(w *world, trouble bool) error {
	// The first machine has the least free capacity until its tasks end.
	work := []time.Duration{6900 * time.Millisecond, 30 * time.Second, 30 * time.Second}
	gpus := []int{2, 1, 1}
	for i := range work {
		if _, err := w.submit(1, i, step{Count: 1, CPU: 4000, MemMB: 1024, GPU: gpus[i], EstimateMS: int(work[i].Milliseconds()),
			Constraints: string(rune('a' + i)), work: work[i]}); err != nil {
			return err
		}
	}
	time.Sleep(6 * time.Second)
	var first *machine
	var start time.Time
	const number = 10
	late := jobID(number)
	if trouble {
		w.rec.add("orders are carried out late, among them the start of job %s", late)
		w.mu.Lock()
		for _, m := range w.machines {
			m.fail = func(path string, o order) (int, time.Duration) {
				if path != "/run-start" || o.Run != 1 || !strings.HasPrefix(o.Task, late) {
					return 0, 0
				}
				if first == nil {
					first, start = m, time.Now()
				}
				return 0, time.Until(start.Add(10200 * time.Millisecond))
			}
		}
		w.mu.Unlock()
	}
	for i := range 2 { // orders that are answered
		if _, err := w.submit(1, 4+i, step{Count: 1, CPU: 1000, MemMB: 1024, EstimateMS: 2000, Constraints: string(rune('b' + i)),
			work: 2 * time.Second}); err != nil {
			return err
		}
	}
	j, err := w.submit(1, number, step{Count: 1, CPU: 4000, MemMB: 1024, GPU: 1, EstimateMS: 14000, work: 14 * time.Second})
	if err != nil {
		return err
	}
	if _, err := w.awaitRun(j.task(0, 0), 6*time.Second); err != nil {
		return err
	}
	if trouble {
		w.mu.Lock()
		for _, m := range w.machines {
			m.fail = nil
		}
		w.mu.Unlock()
		time.Sleep(time.Until(start.Add(5800 * time.Millisecond)))
		go w.restartLeader()
		time.Sleep(time.Until(start.Add(9 * time.Second)))
		w.mu.Lock()
		id := first.minion.id
		first.crash()
		w.mu.Unlock()
		time.Sleep(400 * time.Millisecond)
		w.mu.Lock()
		first.up(id, beatInterval)
		w.mu.Unlock()
	}
	time.Sleep(8 * time.Second)
	w.call(w.nodes[1], http.MethodGet, 1, j.id, nil)
	w.call(w.nodes[2], http.MethodGet, 1, j.id, nil)
	return nil
}
