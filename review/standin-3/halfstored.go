package main

import (
	"fmt"
	"sync/atomic"
	"time"
)

// halfStored kills all nodes while the owner stores a cycle in several transactions. The rule
// is LOST: finish_s after the end of the traffic, for three seconds, a job has nothing running
// while a task's turn has come.
func halfStored(log *recorder, trouble bool) (bool, error) {
	const (
		jobs     = 48
		slow     = 60 * storeLatency       // platform_slow x = 60
		slowFor  = 4500 * time.Millisecond // for_s
		downTime = 9500 * time.Millisecond // herd_kill, power, for_s
		work     = 8 * time.Second
	)
	w, err := newWorld(log, 3, 12)
	if err != nil {
		return false, err
	}
	defer w.close()
	c := w.newClient()
	steps := []step{{Count: 9, CPU: 500, MemMB: 512, EstimateMS: int(work.Milliseconds())}}
	begin := time.Now()
	accepted := make([]bool, jobs)
	for n := range jobs {
		// The last tasks of all jobs end within a fifth of a second.
		own := []step{steps[0]}
		own[0].work = work - time.Since(begin) + time.Duration(n)*4*time.Millisecond
		w.fleet.addJob(jobID(n), own)
		status, _ := c.retried("POST", prefix+jobID(n), jobBody("s", 0, 0, own), 5*time.Second)
		accepted[n] = status == 200
	}
	traffic := time.Now()
	if trouble {
		time.Sleep(time.Until(begin.Add(work - time.Second)))
		w.store.setLatency(slow)
		log.write("the store becomes slow")
		time.AfterFunc(slowFor, func() {
			w.store.setLatency(storeLatency)
			log.write("the store is no longer slow")
		})
		// The nodes are killed when one of them has just written to the store under a
		// condition, with a transaction of the largest size.
		var killed atomic.Bool
		done := make(chan struct{})
		w.store.setOnTxn(func(entries int) {
			if entries >= maxTxnEntries && !killed.Swap(true) {
				w.killAll()
				close(done)
			}
		})
		select {
		case <-done:
		case <-time.After(slowFor):
			return false, fmt.Errorf("no transaction of the largest size was seen")
		}
		w.store.setOnTxn(nil)
		time.Sleep(downTime)
		w.startAll()
	}
	time.Sleep(time.Until(traffic.Add(work + finishTime + 12*time.Second)))
	log.write("the jobs are asked for")
	stuck, missing := w.findStuck(c, accepted, 1)
	log.write("%d of %d accepted jobs have nothing running for 3 s although a task's turn has come (%d tasks)", stuck, jobs, missing)
	return stuck > 0 || len(w.fleet.broken) > 0, nil
}

// findStuck asks for the accepted jobs, and counts those that are not shown as ended and have
// had nothing running for three seconds, while tasks wait of which no done end has been taken
// note of, and less than half of the cores are in use.
func (w *world) findStuck(c *client, accepted []bool, occurrences int) (stuck, tasks int) {
	idle := make(map[int]int)
	const looks = 7
	for look := range looks {
		w.fleet.mu.Lock()
		_, cpu := w.fleet.inUse()
		w.fleet.mu.Unlock()
		for n, ok := range accepted {
			missing, _, active := w.fleet.unfinished(jobID(n), occurrences)
			if ok && missing > 0 && active == 0 && 2*cpu < len(w.cloud.machines)*minionCPU {
				idle[n]++
			}
		}
		if look < looks-1 {
			time.Sleep(500 * time.Millisecond)
		}
	}
	for n := range accepted {
		if idle[n] < looks {
			continue
		}
		status, text := c.retried("GET", prefix+jobID(n), "", 3*time.Second)
		state := stateOf(status, text)
		missing, ended, _ := w.fleet.unfinished(jobID(n), occurrences)
		if state == "completed" || state == "failed" {
			continue // the end of its tasks was reported to the owner
		}
		w.log.write("job %s is shown as %q (%d); %d of its tasks have ended as done, of %d no such end was taken note of, nothing runs",
			jobID(n), state, status, ended, missing)
		stuck++
		tasks += missing
	}
	return stuck, tasks
}
