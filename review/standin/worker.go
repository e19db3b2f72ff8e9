package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Bounds of the deployment, as in the settings of the nodes.
const (
	holdMax  = 6 * time.Second
	stopTime = 200 * time.Millisecond // stop_ms is 400
	gangWait = 3 * time.Second
)

// Step is a step of a job, in the form in which clients send it.
type Step struct {
	Count      int    `json:"count"`
	CPU        int64  `json:"cpu,omitempty"`
	MemMB      int64  `json:"mem_mb,omitempty"`
	GPU        int    `json:"gpu,omitempty"`
	EstimateMS int64  `json:"estimate_ms,omitempty"`
	After      []int  `json:"after,omitempty"`
	Gang       bool   `json:"gang,omitempty"`
	Label      string `json:"constraints,omitempty"`
	Affinity   string `json:"affinity,omitempty"`
	Lasts      bool   `json:"long_running,omitempty"`
	MayMiss    int    `json:"may_miss,omitempty"`
}

// Job is a job as a client sends it. The stand-in workers run each of its tasks for
// runTime.
type Job struct {
	Spec       string `json:"spec"`
	Steps      []Step `json:"steps"`
	Times      int    `json:"times,omitempty"`
	StartAtMS  int64  `json:"start_at_ms,omitempty"`
	IntervalMS int64  `json:"interval_ms,omitempty"`

	id, path, key string
	runTime       time.Duration
	accepted      time.Time
	done          int // ends done that the workers had, of runs or of gangs
	starts        int
	running       int
	lastBusy      time.Time // when a task was last running
	firstStart    time.Time
}

// fleetMu guards all jobs and workers.
var (
	fleetMu sync.Mutex
	jobs    = map[string]*Job{}
	gangs   = map[string]*gangRun{}
)

type gangRun struct {
	size    int
	members []*run
	ended   bool
	timer   *time.Timer
}

type run struct {
	worker   *Worker
	job      *Job
	step     Step
	task     string
	number   uint32
	started  time.Time // zero while a gang waits
	timer    *time.Timer
	gang     *gangRun
	stopping bool
}

type endedRun struct {
	seq    uint64
	task   string
	number uint32
	how    string
}

// Worker is a stand-in for a minion that guards its capacity.
type Worker struct {
	id, rack, kind string
	cpu, mem       int64
	gpu            int

	born    int64
	epoch   time.Time
	fence   uint64
	leaseAt time.Duration
	lease   *time.Timer
	runs    map[string]*run
	highest map[string]uint32
	ends    []endedRun
	lastSeq uint64
	changed chan struct{}
	shed    bool // answers starts with 503
	address string
	left    time.Time // when it leaves, while it drains
	gone    bool
}

func newWorker(n int, kind, rack string) *Worker {
	now := time.Now()
	return &Worker{id: fmt.Sprintf("i-%010x", 0x31b1740000+n), kind: kind, rack: rack, cpu: 32000, mem: 131072, gpu: 8, born: now.UnixMilli(),
		epoch: now.Add(-time.Minute), runs: map[string]*run{}, highest: map[string]uint32{}, changed: make(chan struct{})}
}

func (w *Worker) entry() map[string]any {
	return map[string]any{"service": "skymap", "address": w.address, "zone": "entoto", "version": "v1", "slots": 8, "state": "ready",
		"cold_left_ms": 0, "seq": 1, "born": w.born, "labels": []string{w.kind, w.rack},
		"capacity": map[string]any{"cpu": w.cpu, "mem_mb": w.mem, "gpu": w.gpu}}
}

func (w *Worker) clock() time.Duration { return time.Since(w.epoch) }

type workerCall struct {
	Task     string `json:"task"`
	Run      uint32 `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Fence    uint64 `json:"fence"`
	Acked    uint64 `json:"acked_seq"`
	Wait     int64  `json:"wait_ms"`
}

// ServeHTTP serves the calls of the scheduler.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Bronzewinch-Target-Instance") != w.id {
		reply(rw, 421, struct{}{})
		return
	}
	var c workerCall
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		reply(rw, 400, struct{}{})
		return
	}
	fleetMu.Lock()
	if w.gone {
		fleetMu.Unlock()
		panic(http.ErrAbortHandler) // breaks the connection
	}
	if c.Fence < w.fence {
		fleetMu.Unlock()
		reply(rw, 409, map[string]any{"clock_ms": w.clock().Milliseconds(), "reason": "fence"})
		return
	}
	w.fence = c.Fence
	status, body := 404, map[string]any{}
	switch r.URL.Path {
	case "/hold":
		status, body = w.hold(r, c)
	case "/run-start":
		status, body = w.start(c)
	case "/run-stop":
		status, body = w.stop(c)
	case "/pace":
		status = 200
	}
	fleetMu.Unlock()
	if r.URL.Path != "/hold" {
		logf("%s answers %s of %s run %d, fence %d: %d %v", w.id, r.URL.Path, c.Task, c.Run, c.Fence, status, body)
	}
	body["clock_ms"] = w.clock().Milliseconds()
	reply(rw, status, body)
}

func (w *Worker) extend(deadline int64) {
	until := min(time.Duration(deadline)*time.Millisecond, w.clock()+holdMax)
	if until <= w.clock() || until <= w.leaseAt {
		return
	}
	w.leaseAt = until
	if w.lease != nil {
		w.lease.Stop()
	}
	w.lease = time.AfterFunc(until-w.clock()+time.Millisecond, func() {
		fleetMu.Lock()
		defer fleetMu.Unlock()
		if w.clock() < w.leaseAt {
			return
		}
		for _, r := range w.runs {
			w.endRun(r, "lapsed")
		}
	})
}

func (w *Worker) hold(r *http.Request, c workerCall) (int, map[string]any) {
	w.extend(c.Deadline)
	left := w.ends[:0]
	for _, e := range w.ends {
		if e.seq > c.Acked {
			left = append(left, e)
		}
	}
	w.ends = left
	if c.Wait > 0 && len(w.ends) == 0 {
		changed := w.changed
		fleetMu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(c.Wait) * time.Millisecond):
		case <-r.Context().Done():
		}
		fleetMu.Lock()
	}
	running, finished := [][]any{}, [][]any{}
	for _, r := range w.runs {
		running = append(running, []any{r.task, r.number, "", r.percent(), 0})
	}
	for _, e := range w.ends[:min(len(w.ends), 500)] {
		finished = append(finished, []any{e.seq, e.task, e.number, e.how, ""})
	}
	body := map[string]any{"running": running, "finished": finished, "born": w.born}
	if !w.left.IsZero() {
		body["remaining_ms"] = max(0, time.Until(w.left).Milliseconds())
	}
	return 200, body
}

func (r *run) percent() int {
	switch {
	case r.started.IsZero():
		return 0
	case r.step.Lasts:
		return 100
	}
	return min(99, int(100*time.Since(r.started)/r.job.runTime))
}

func (w *Worker) start(c workerCall) (int, map[string]any) {
	if w.shed {
		return 503, map[string]any{}
	}
	w.extend(c.Deadline)
	refuse := func(reason string) (int, map[string]any) { return 409, map[string]any{"reason": reason} }
	existing := w.runs[c.Task]
	switch {
	case w.clock() >= w.leaseAt:
		return refuse("late")
	case existing != nil && existing.number == c.Run:
		return 200, map[string]any{}
	case existing != nil || c.Run <= w.highest[c.Task]:
		return refuse("old")
	}
	var occurrence, step, index int
	name, rest, _ := strings.Cut(c.Task, ".")
	j := jobs[name]
	if n, err := fmt.Sscanf(strings.ReplaceAll(rest, ".", " "), "%d %d %d", &occurrence, &step, &index); j == nil || n != 3 || err != nil || step >= len(j.Steps) {
		logf("UNASKED: %s is told to start %s", w.id, c.Task)
		return 400, map[string]any{}
	}
	s := j.Steps[step]
	cpu, mem, gpu := s.CPU, s.MemMB, s.GPU
	for _, r := range w.runs {
		cpu, mem, gpu = cpu+r.step.CPU, mem+r.step.MemMB, gpu+r.step.GPU
		if len(w.runs) > 64 {
			break // the sum over thousands of small runs would be slow
		}
	}
	if len(w.runs) > 64 {
		cpu, mem = s.CPU*int64(len(w.runs)+1), s.MemMB*int64(len(w.runs)+1)
	}
	if cpu > w.cpu || mem > w.mem || gpu > w.gpu {
		return refuse("room")
	}
	r := &run{worker: w, job: j, step: s, task: c.Task, number: c.Run}
	w.runs[c.Task] = r
	j.starts++
	j.running++
	if j.firstStart.IsZero() {
		j.firstStart = time.Now()
	}
	logf("%s starts %s run %d", w.id, c.Task, c.Run)
	if !s.Gang {
		r.begin()
		return 200, map[string]any{}
	}
	key := fmt.Sprintf("%s.%d.%d/%d", name, occurrence, step, c.Run)
	g := gangs[key]
	if g == nil {
		g = &gangRun{size: s.Count}
		gangs[key] = g
		g.timer = time.AfterFunc(gangWait, func() {
			fleetMu.Lock()
			defer fleetMu.Unlock()
			for _, m := range g.members {
				m.worker.endRun(m, "alone")
			}
		})
	}
	r.gang = g
	g.members = append(g.members, r)
	if len(g.members) == g.size && !g.ended {
		g.timer.Stop()
		for _, m := range g.members {
			m.begin()
		}
	}
	return 200, map[string]any{}
}

func (r *run) begin() {
	r.started = time.Now()
	if !r.step.Lasts {
		r.timer = time.AfterFunc(r.job.runTime, r.finish)
	}
}

func (r *run) finish() {
	fleetMu.Lock()
	defer fleetMu.Unlock()
	if r.worker.runs[r.task] != r || r.stopping {
		return
	}
	if r.gang == nil || !r.gang.ended {
		r.job.done++
	}
	r.worker.endRun(r, "done")
}

// endRun ends a run; the other members of its gang end with it. fleetMu is held.
func (w *Worker) endRun(r *run, how string) {
	if w.runs[r.task] != r {
		return
	}
	delete(w.runs, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.number)
	w.lastSeq++
	w.ends = append(w.ends, endedRun{w.lastSeq, r.task, r.number, how})
	r.job.running--
	r.job.lastBusy = time.Now()
	if r.timer != nil {
		r.timer.Stop()
	}
	logf("%s ends %s run %d: %s", w.id, r.task, r.number, how)
	close(w.changed)
	w.changed = make(chan struct{})
	if r.gang == nil || r.gang.ended {
		return
	}
	r.gang.ended = true
	for _, m := range r.gang.members {
		other := "broken"
		if how == "done" {
			other = "done"
		}
		m.worker.endRun(m, other)
	}
}

func (w *Worker) stop(c workerCall) (int, map[string]any) {
	w.highest[c.Task] = max(w.highest[c.Task], c.Run)
	if r := w.runs[c.Task]; r != nil && r.number <= c.Run && !r.stopping {
		r.stopping = true
		time.AfterFunc(stopTime, func() {
			fleetMu.Lock()
			defer fleetMu.Unlock()
			w.endRun(r, "stopped")
		})
	}
	return 200, map[string]any{}
}

// leave drains the worker for a time; then it exits.
func (w *Worker) leave(s *Store, drain time.Duration) {
	logf("disruption: %s drains, and leaves in %v", w.id, drain)
	entry := w.entry()
	entry["state"] = "draining"
	s.Write("servers/"+w.id, entry)
	fleetMu.Lock()
	w.left = time.Now().Add(drain)
	close(w.changed)
	w.changed = make(chan struct{})
	fleetMu.Unlock()
	time.AfterFunc(drain, func() {
		w.end()
		s.Remove("servers/" + w.id)
		logf("%s has left", w.id)
	})
}

// end ends the worker with all that runs on it.
func (w *Worker) end() {
	fleetMu.Lock()
	defer fleetMu.Unlock()
	for _, r := range w.runs {
		w.endRun(r, "lapsed")
	}
	w.gone = true
}

// heartbeat is heartbeat_ms of the settings.
const heartbeat = 1500 * time.Millisecond

// crash ends the worker. Its entry goes after three heartbeats of silence.
func (w *Worker) crash(s *Store) {
	logf("disruption: %s crashes", w.id)
	w.end()
	time.AfterFunc(3*heartbeat, func() { s.Remove("servers/" + w.id) })
}
