package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Bounds of the pages, as in the settings.
const (
	finishTime   = 14 * time.Second // finish_s
	visibleTime  = 3 * time.Second  // visible_ms
	contactTime  = 3 * time.Second  // contact_ms
	pendingAge   = visibleTime + 2*time.Second
	recoveryTime = 12 * time.Second // recovery_s
)

func start(root, dir string, nodes int, workers []*Worker) error {
	w, err := newWorld(root, dir, nodes, workers)
	world = w
	return err
}

func sameWorkers(n int) (all []*Worker) {
	for i := range n {
		all = append(all, newWorker(i, "a", fmt.Sprintf("r1-%d", i/6)))
	}
	return all
}

// loadCase kills the owner while the store is slow; while the next owner reads the stored
// jobs, the store becomes silent for some seconds.
func loadCase(root, dir string, trouble bool) (string, error) {
	if err := start(root, dir, 3, sameWorkers(6)); err != nil {
		return "", err
	}
	w := world
	var mu sync.Mutex
	var accepted []*Job
	var wg sync.WaitGroup
	stop := make(chan struct{})
	wg.Go(func() { // traffic
		for range time.Tick(500 * time.Millisecond) {
			select {
			case <-stop:
				return
			default:
			}
			wg.Go(func() {
				j := newJob(1, 2*time.Second, Step{Count: 2, CPU: 1000, MemMB: 100, GPU: 1, EstimateMS: 2000})
				if w.submit(j) {
					mu.Lock()
					accepted = append(accepted, j)
					mu.Unlock()
				}
			})
		}
	})
	time.Sleep(3 * time.Second)
	if trouble {
		logf("disruption: the store takes 240 ms for an answer, for 4.5 s")
		w.store.SetAnswerTime(60 * storeAnswerTime)
		time.Sleep(500 * time.Millisecond)
		n := w.owner()
		logf("disruption: %s is killed; it starts again after 3.5 s", n.name)
		n.kill()
		time.AfterFunc(3500*time.Millisecond, func() { _ = n.start() })
		time.Sleep(3700 * time.Millisecond)
		logf("disruption: the store is silent for 4.5 s")
		w.store.SetSilent(true)
		time.Sleep(300 * time.Millisecond)
		w.store.SetAnswerTime(storeAnswerTime)
		time.Sleep(4200 * time.Millisecond)
		w.store.SetSilent(false)
		logf("the store serves again")
	} else {
		time.Sleep(9 * time.Second)
	}
	time.Sleep(recoveryTime)
	close(stop)
	wg.Wait()
	logf("end of the traffic; finish_s begins")
	time.Sleep(finishTime)
	mu.Lock()
	defer mu.Unlock()
	lost := 0
	for i, j := range accepted {
		patience := 10 * time.Second
		if i > 0 && lost == i {
			patience = 0 // no job so far had an answer
		}
		if w.ask(j, patience) == "" {
			lost++
		}
	}
	if len(accepted) == 0 {
		return "", fmt.Errorf("no job was accepted before the disruption")
	}
	if lost > 0 {
		return fmt.Sprintf("LOST: %d of %d accepted jobs get no answer from any node finish_s after the end of the traffic", lost, len(accepted)), nil
	}
	return "", nil
}

// burstCase hands in many jobs of small tasks that are due at the same moment. Without
// trouble they are due one after the other.
func burstCase(root, dir string, trouble bool) (string, error) {
	if err := start(root, dir, 3, sameWorkers(6)); err != nil {
		return "", err
	}
	w := world
	const numJobs, width = 64, 94
	// The clients of the site hand in 3.76 jobs a second.
	const submitInterval = 270 * time.Millisecond
	var all []*Job
	due := time.Now().Add(numJobs*submitInterval + 5*time.Second)
	last := due
	for i := range numJobs {
		j := newJob(1, 300*time.Millisecond, Step{Count: width, CPU: 5, MemMB: 10, EstimateMS: 300})
		j.Times = 1
		last = due
		if !trouble {
			last = due.Add(time.Duration(i) * 300 * time.Millisecond)
		}
		j.StartAtMS = last.UnixMilli()
		if !w.submit(j) {
			return "", fmt.Errorf("job %d was not accepted", i)
		}
		all = append(all, j)
		time.Sleep(submitInterval)
	}
	logf("%d jobs of %d tasks each are accepted; the first is due in %.1f s", numJobs, width, time.Until(due).Seconds())
	time.Sleep(time.Until(last))
	// Wait until all tasks have ended as done, or nothing has run for finish_s.
	for {
		time.Sleep(500 * time.Millisecond)
		done, running, idle := countTasks(all)
		logf("%d of %d tasks are done, %d are running", done, numJobs*width, running)
		if done == numJobs*width {
			break
		}
		if time.Since(last) > 20*time.Second && running == 0 && idle > finishTime {
			states := map[string]int{}
			for _, j := range all {
				states[w.ask(j, 0)]++
			}
			return fmt.Sprintf("LOST: nothing has run for %.0f s, all capacity is free, and %d of %d tasks have never been started; states of the jobs: %v",
				idle.Seconds(), numJobs*width-done, numJobs*width, states), nil
		}
		if time.Since(last) > 60*time.Second {
			return "", fmt.Errorf("tasks still run after 60 s")
		}
	}
	return "", nil
}

// countTasks returns the tasks that are done and running, and how long nothing has run.
func countTasks(all []*Job) (done, running int, idle time.Duration) {
	fleetMu.Lock()
	defer fleetMu.Unlock()
	var busy time.Time
	for _, j := range all {
		done, running = done+j.done, running+j.running
		if j.lastBusy.After(busy) {
			busy = j.lastBusy
		}
	}
	return done, running, time.Since(busy)
}

// largeCase hands in a scheduled job with many small tasks, beside small jobs. Without
// trouble the job has one occurrence.
func largeCase(root, dir string, trouble bool) (string, error) {
	if err := start(root, dir, 3, sameWorkers(12)); err != nil {
		return "", err
	}
	w := world
	const width = 10000
	due := time.Now().Add(6 * time.Second)
	large := newJob(2, 4*time.Second, Step{Count: width, CPU: 8, MemMB: 8, EstimateMS: 4000})
	large.Times, large.StartAtMS, large.IntervalMS = 1, due.UnixMilli(), 100
	if trouble {
		large.Times = 3
	}
	if !w.submit(large) {
		return "", fmt.Errorf("the large job was not accepted")
	}
	var small []*Job
	smallDue := due.Add(3 * time.Second)
	for range 5 {
		j := newJob(1, time.Second, Step{Count: 1, CPU: 1000, MemMB: 100, GPU: 1, EstimateMS: 1000})
		j.Times, j.StartAtMS = 1, smallDue.UnixMilli()
		if !w.submit(j) {
			return "", fmt.Errorf("a small job was not accepted")
		}
		small = append(small, j)
	}
	time.Sleep(time.Until(due))
	logf("the large job is due")
	for range 40 {
		time.Sleep(time.Second)
		done, running, _ := countTasks([]*Job{large})
		others, _, _ := countTasks(small)
		logf("large job: %d of %d tasks done, %d running; small jobs: %d of %d done; transactions with too large a value: %d",
			done, large.Times*width, running, others, len(small), w.store.Rejected())
		if others == len(small) {
			return "", nil
		}
	}
	lost := 0
	for _, j := range small {
		fleetMu.Lock()
		begun := j.starts
		fleetMu.Unlock()
		state := w.ask(j, 0)
		if begun == 0 && time.Since(smallDue) > finishTime {
			lost++
			logf("job %s was due %.0f s ago and has not begun; its state is %q", j.id, time.Since(smallDue).Seconds(), state)
		}
	}
	if lost == 0 {
		return "", fmt.Errorf("the small jobs have begun, but not ended")
	}
	return fmt.Sprintf("LOST: %d of %d small jobs, which were accepted and have been due for more than finish_s, have never been started, while all workers are empty", lost, len(small)), nil
}

// pendingCase has one of twelve workers reject starts, and kills the owner.
func pendingCase(root, dir string, trouble bool) (string, error) {
	workers := sameWorkers(12)
	if err := start(root, dir, 3, workers); err != nil {
		return "", err
	}
	w := world
	for range len(workers) - 1 { // all workers but one are full
		j := newJob(0, 40*time.Second, Step{Count: 1, CPU: 8000, MemMB: 8000, GPU: 8, EstimateMS: 40000})
		if !w.submit(j) {
			return "", fmt.Errorf("a job was not accepted")
		}
	}
	time.Sleep(time.Second)
	var free *Worker
	fleetMu.Lock()
	for _, worker := range workers {
		if len(worker.runs) == 0 {
			free = worker
		}
	}
	fleetMu.Unlock()
	if free == nil {
		return "", fmt.Errorf("no worker is free")
	}
	if trouble {
		logf("disruption: %s is unhealthy and answers starts with 503, for 6.5 s", free.id)
		fleetMu.Lock()
		free.shed = true
		fleetMu.Unlock()
	}
	began := time.Now()
	const numJobs = 8
	var waiting []*Job
	for range numJobs {
		j := newJob(0, 2*time.Second, Step{Count: 1, CPU: 1000, MemMB: 1000, GPU: 1, EstimateMS: 2000})
		if !w.submit(j) {
			return "", fmt.Errorf("a job was not accepted")
		}
		waiting = append(waiting, j)
	}
	if trouble {
		time.Sleep(time.Until(began.Add(3 * time.Second)))
		n := w.owner()
		logf("disruption: %s is killed, and starts again", n.name)
		n.kill()
		_ = n.start()
		time.AfterFunc(time.Until(began.Add(6500*time.Millisecond)), func() {
			fleetMu.Lock()
			free.shed = false
			fleetMu.Unlock()
			logf("%s is healthy again", free.id)
		})
		broken := w.checkPending(waiting, n, began)
		if broken != "" {
			return broken, nil
		}
		return "", nil
	}
	return w.checkPending(waiting, nil, began), nil
}

// checkPending compares pending_jobs with the jobs that have not begun, at nodes in touch.
func (w *World) checkPending(waiting []*Job, killed *Node, began time.Time) string {
	time.Sleep(time.Until(began.Add(pendingAge + 300*time.Millisecond)))
	for time.Since(began) < 6400*time.Millisecond {
		for _, n := range w.nodes {
			if n == killed {
				continue
			}
			sent := time.Now()
			status, body := n.call(http.MethodGet, "/q0/", nil)
			var r struct {
				Pending *int `json:"pending_jobs"`
			}
			if status != 200 || json.Unmarshal(body, &r) != nil || r.Pending == nil {
				logf("GET /q0/ at %s: %d %.80s", n.name, status, body)
				continue
			}
			old := 0
			fleetMu.Lock()
			for _, j := range waiting {
				if j.firstStart.IsZero() && sent.Sub(j.accepted) > pendingAge {
					old++
				}
			}
			fleetMu.Unlock()
			logf("GET /q0/ at %s: pending_jobs %d; %d jobs were accepted over visible_ms + 2 s before and have not begun", n.name, *r.Pending, old)
			if 2**r.Pending < old {
				return fmt.Sprintf("MIXED: %s gives pending_jobs %d, while %d jobs that were accepted over visible_ms + 2 s before have not begun", n.name, *r.Pending, old)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return ""
}

// stallCase hands in jobs that run for minutes. With trouble they have no estimate.
func stallCase(root, dir string, trouble bool) (string, error) {
	workers := sameWorkers(12)
	if err := start(root, dir, 3, workers); err != nil {
		return "", err
	}
	w := world
	const numJobs = 5
	const idleLimit = 3 * time.Second // of the rule
	var all []*Job
	for range numJobs {
		s := Step{Count: 1, CPU: 13000, MemMB: 38000, GPU: 8}
		if !trouble {
			s.EstimateMS = 10 * 60 * 1000
		}
		j := newJob(1, 10*time.Minute, s)
		if !w.submit(j) {
			return "", fmt.Errorf("a job was not accepted")
		}
		all = append(all, j)
	}
	logf("end of the traffic; finish_s begins")
	time.Sleep(finishTime)
	longest, whole := time.Duration(0), ""
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		fleetMu.Lock()
		busy := 0
		for _, worker := range workers {
			if len(worker.runs) > 0 {
				busy++
			}
		}
		for _, j := range all {
			// Under half of the capacity is in use in the whole time: five jobs of a worker
			// each, on twelve workers.
			if j.running > 0 || j.lastBusy.IsZero() {
				continue
			}
			if idle := time.Since(j.lastBusy); idle > longest {
				longest = idle
				whole = fmt.Sprintf("job %s has had nothing running for %.1f s after %d starts; %d of %d workers are busy", j.id, idle.Seconds(), j.starts, busy, len(workers))
			}
		}
		fleetMu.Unlock()
	}
	starts := 0
	for _, j := range all {
		logf("job %s: %d starts of its one task, state %s", j.id, j.starts, w.ask(j, 0))
		starts += j.starts
	}
	if longest > idleLimit {
		return fmt.Sprintf("LOST: %s; %d starts for %d tasks, and nothing disturbs the deployment", whole, starts, numJobs), nil
	}
	return "", nil
}

// affinityCase has the worker of a lasting task leave. The rack of the task's data is full
// of other lasting tasks; another rack is empty.
func affinityCase(root, dir string, trouble bool) (string, error) {
	workers := sameWorkers(12)
	if err := start(root, dir, 3, workers); err != nil {
		return "", err
	}
	w := world
	lasting := func(count int) *Job {
		return newJob(1, time.Hour, Step{Count: count, CPU: 8000, MemMB: 8000, GPU: 8, EstimateMS: 60000, Affinity: "r1-0", Lasts: true})
	}
	j := lasting(2)
	if !w.submit(j) {
		return "", fmt.Errorf("the job was not accepted")
	}
	for range 4 {
		if !w.submit(lasting(1)) {
			return "", fmt.Errorf("a job was not accepted")
		}
	}
	time.Sleep(3 * time.Second)
	var leaving *Worker
	fleetMu.Lock()
	for _, worker := range workers {
		for _, r := range worker.runs {
			if r.task == j.id+".0.0.1" {
				leaving = worker
			}
		}
	}
	fleetMu.Unlock()
	if leaving == nil {
		return "", fmt.Errorf("the second task does not run")
	}
	if trouble {
		leaving.leave(w.store, 3*time.Second)
	}
	const (
		lastRunAge = 6 * time.Second // of the rule, for tasks that last
		idleLimit  = 3 * time.Second
		calm       = 4 * time.Second
	)
	for range 25 {
		time.Sleep(time.Second)
		fleetMu.Lock()
		running, idle, empty := j.running, time.Since(j.lastBusy), 0
		for _, worker := range workers {
			if !worker.gone && len(worker.runs) == 0 {
				empty++
			}
		}
		left := leaving.left
		fleetMu.Unlock()
		logf("%d of 2 tasks run; %d workers are empty", running, empty)
		if running < 2 && idle > lastRunAge+idleLimit && time.Since(left) > contactTime+calm+idleLimit {
			return fmt.Sprintf("LOST: a task that lasts has not run for %.0f s, while %d workers are empty; its worker left %.0f s ago", idle.Seconds(), empty, time.Since(left).Seconds()), nil
		}
	}
	return "", nil
}

// goneCase removes the owner for good, and has the worker of a task crash.
func goneCase(root, dir string, trouble bool) (string, error) {
	workers := sameWorkers(12)
	if err := start(root, dir, 3, workers); err != nil {
		return "", err
	}
	w := world
	var all []*Job
	for range 3 {
		j := newJob(1, 20*time.Second, Step{Count: 1, CPU: 8000, MemMB: 8000, GPU: 8, EstimateMS: 20000})
		if !w.submit(j) {
			return "", fmt.Errorf("a job was not accepted")
		}
		all = append(all, j)
	}
	time.Sleep(2 * time.Second)
	if trouble {
		fleetMu.Lock()
		var worker *Worker
		for _, other := range workers {
			for _, r := range other.runs {
				if r.job == all[0] {
					worker = other
				}
			}
		}
		fleetMu.Unlock()
		if worker == nil {
			return "", fmt.Errorf("the task does not run")
		}
		worker.crash(w.store)
		time.Sleep(600 * time.Millisecond)
		n := w.owner()
		logf("disruption: %s is removed for good", n.name)
		n.kill()
	}
	logf("end of the traffic; finish_s begins")
	time.Sleep(finishTime)
	const idleLimit = 3 * time.Second // of the rule
	for range 4 * 10 {
		fleetMu.Lock()
		j := all[0]
		idle, done, busy := time.Since(j.lastBusy), j.done > 0, 0
		if j.running > 0 || j.lastBusy.IsZero() {
			idle = 0
		}
		for _, other := range workers {
			if len(other.runs) > 0 {
				busy++
			}
		}
		fleetMu.Unlock()
		if !done && idle > idleLimit {
			return fmt.Sprintf("LOST: finish_s after the end of the traffic, job %s has had nothing running for %.1f s, while %d of %d workers are busy", j.id, idle.Seconds(), busy, len(workers)-1), nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return "", nil
}
