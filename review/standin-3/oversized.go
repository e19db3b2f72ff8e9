package main

import (
	"fmt"
	"time"
)

// oversized hands in a job with many small tasks between ordinary ones. The rule is LOST:
// finish_s after the end of the traffic, for three seconds, an accepted job has nothing running
// while a task's turn has come, although less than half of the capacity is in use.
func oversized(log *recorder, trouble bool) (bool, error) {
	const (
		minions  = 48
		tasks    = 10000
		first    = 6 // ordinary jobs before the large one
		ordinary = 60
		traffic  = 25 * time.Second
	)
	log.quiet = true
	w, err := newWorld(log, 3, minions)
	if err != nil {
		return false, err
	}
	defer w.close()
	c := w.newClient()
	ordinarySteps := []step{
		{Count: 2, CPU: 1000, MemMB: 512, EstimateMS: 6000, work: 6 * time.Second},
		{Count: 1, CPU: 1000, MemMB: 512, EstimateMS: 4000, After: []int{0}, work: 4 * time.Second},
	}
	accepted := make([]bool, ordinary)
	submit := func(n int) {
		w.fleet.addJob(jobID(n), ordinarySteps)
		status, _ := c.retried("POST", prefix+jobID(n), jobBody("s", 0, 0, ordinarySteps), 8*time.Second)
		accepted[n] = status == 200
	}
	begin := time.Now()
	for n := range first {
		submit(n)
	}
	// The tasks of the large job ask for a third of the cores at most. Each fiftieth ends
	// after 5 s.
	largeSteps := []step{{Count: tasks, CPU: 25, MemMB: 100, EstimateMS: 20000, Checkpoint: true, work: 100 * time.Second, short: 5 * time.Second}}
	times := 1
	if trouble {
		times = 2
	}
	large := jobID(ordinary)
	w.fleet.addJob(large, largeSteps)
	if status, _ := c.retried("POST", prefix+large, jobBody("s", times, time.Now().UnixMilli(), largeSteps), 5*time.Second); status != 200 {
		return false, fmt.Errorf("the large job was answered with %d", status)
	}
	for n := first; n < ordinary && time.Since(begin) < traffic; n++ {
		submit(n)
		time.Sleep(time.Until(begin.Add(time.Duration(n) * 500 * time.Millisecond)))
		w.logState()
	}
	ended := time.Now()
	log.write("end of the traffic")
	for time.Since(ended) < finishTime {
		time.Sleep(time.Second)
		w.logState()
	}
	stuck, missing := w.findStuck(c, accepted, 1)
	log.write("%d accepted ordinary jobs have nothing running for 3 s although a task's turn has come (%d tasks)", stuck, missing)
	w.logState()
	return stuck > 0 || len(w.fleet.broken) > 0, nil
}

// logState records how many tasks run, and the conditional writes that the store refused.
func (w *world) logState() {
	w.store.mu.Lock()
	refused, text := w.store.refused, w.store.refusedText
	w.store.mu.Unlock()
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	tasks, _ := w.fleet.inUse()
	w.log.write("%d starts so far, %d tasks run; the store has answered %d conditional writes with 400 %s", w.fleet.starts, tasks, refused, text)
}
