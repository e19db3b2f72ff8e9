package cooperative

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
)

// Worker is one worker of a fleet. Its state is under the lock of the fleet.
type Worker struct {
	ID    string
	fleet *Fleet
	born  int64

	epoch   time.Time
	fence   uint64
	lease   time.Time
	runs    map[string]*run
	highest map[string]uint32 // highest run that ended or was stopped
	ends    []end
	seq     uint64
	gone    bool // its machine has gone down
	changed chan struct{}
}

// NewWorker adds a worker.
func (f *Fleet) NewWorker(id string) *Worker {
	now := time.Now()
	return &Worker{ID: id, fleet: f, born: now.UnixMilli(), epoch: now, runs: make(map[string]*run),
		highest: make(map[string]uint32), changed: make(chan struct{})}
}

// Entry is what the worker writes into the store.
func (w *Worker) Entry(address, rack, state string) map[string]any {
	return map[string]any{"service": "service", "address": address, "zone": "zone", "version": "v1", "slots": 8, "state": state,
		"cold_left_ms": 0, "capacity": map[string]int{"cpu": 32000, "mem_mb": 131072, "gpu": WorkerGPUs},
		"labels": []string{"a", rack}, "seq": 1, "born": w.born}
}

// Handler serves the orders of the scheduler.
func (w *Worker) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/hold", w.hold)
	r.Post("/run-start", w.start)
	r.Post("/run-stop", w.stop)
	r.Post("/pace", w.pace)
	return r
}

type orderCall struct {
	Task     string `json:"task"`
	Run      uint32 `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Fence    uint64 `json:"fence"`
	Acked    uint64 `json:"acked_seq"`
	Wait     int64  `json:"wait_ms"`
	Percent  int64  `json:"percent"`
}

func (w *Worker) clock() int64 { return time.Since(w.epoch).Milliseconds() }

// admit decodes a call and checks its fence. It returns with the lock of the
// fleet held if the call may go on.
func (w *Worker) admit(rw http.ResponseWriter, r *http.Request) (orderCall, bool) {
	var c orderCall
	if r.Header.Get("Bronzewinch-Target-Instance") != w.ID {
		reply(rw, http.StatusMisdirectedRequest, struct{}{}) // meant for an earlier worker at this address
		return c, false
	}
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		reply(rw, http.StatusBadRequest, struct{}{})
		return c, false
	}
	w.fleet.mu.Lock()
	w.expire()
	if w.gone {
		w.fleet.mu.Unlock()
		reply(rw, http.StatusServiceUnavailable, struct{}{})
		return c, false
	}
	if c.Fence < w.fence {
		w.fleet.mu.Unlock()
		reply(rw, http.StatusConflict, map[string]any{"clock_ms": w.clock(), "reason": "fence"})
		return c, false
	}
	w.fence = c.Fence
	return c, true
}

// extend takes over a lease until a time on the worker's clock.
func (w *Worker) extend(deadline int64) {
	until := w.epoch.Add(time.Duration(deadline) * time.Millisecond)
	if most := time.Now().Add(holdMax); until.After(most) {
		until = most
	}
	if deadline > 0 && until.After(w.lease) {
		w.lease = until
	}
}

// expire ends everything when the lease has run out.
func (w *Worker) expire() {
	if len(w.runs) > 0 && time.Now().After(w.lease) {
		for _, r := range w.runs {
			w.finish(r, "lapsed")
		}
	}
}

func (w *Worker) hold(rw http.ResponseWriter, r *http.Request) {
	c, ok := w.admit(rw, r)
	if !ok {
		return
	}
	w.extend(c.Deadline)
	w.acknowledge(c.Acked)
	if c.Wait > 0 && len(w.ends) == 0 {
		changed := w.changed
		w.fleet.mu.Unlock()
		limit := time.NewTimer(time.Duration(c.Wait) * time.Millisecond)
		defer limit.Stop()
		select {
		case <-changed:
		case <-limit.C:
		case <-r.Context().Done():
		}
		w.fleet.mu.Lock()
		w.expire()
	}
	if w.gone {
		w.fleet.mu.Unlock()
		reply(rw, http.StatusServiceUnavailable, struct{}{})
		return
	}
	running, finished := [][]any{}, [][]any{}
	for _, run := range w.runs {
		running = append(running, []any{run.name, run.number, "", run.percent(), run.load()})
	}
	for _, e := range w.ends {
		finished = append(finished, []any{e.seq, e.name, e.number, e.how, ""})
	}
	body := map[string]any{"clock_ms": w.clock(), "born": w.born, "running": running, "finished": finished}
	w.fleet.mu.Unlock()
	reply(rw, http.StatusOK, body)
}

// acknowledge forgets ends. The lock is held.
func (w *Worker) acknowledge(seq uint64) {
	if seq > w.seq {
		w.fleet.violate("worker %s: end %d acknowledged before it happened", w.ID, seq)
	}
	kept := w.ends[:0]
	for _, e := range w.ends {
		if e.seq > seq {
			kept = append(kept, e)
		} else if e.how == "done" {
			w.fleet.done[e.name] = true
		}
	}
	w.ends = kept
}

func (w *Worker) start(rw http.ResponseWriter, r *http.Request) {
	c, ok := w.admit(rw, r)
	if !ok {
		return
	}
	defer w.fleet.mu.Unlock()
	refuse := func(reason string) {
		reply(rw, http.StatusConflict, map[string]any{"clock_ms": w.clock(), "reason": reason})
	}
	present := w.runs[c.Task]
	w.extend(c.Deadline)
	switch {
	case c.Deadline <= w.clock():
		refuse("late")
		return
	case present != nil && present.number == c.Run:
		reply(rw, http.StatusOK, map[string]any{"clock_ms": w.clock()})
		return
	case present != nil || c.Run <= w.highest[c.Task]:
		refuse("old")
		return
	}
	run, room := w.newRun(c)
	if run == nil {
		reply(rw, http.StatusBadRequest, struct{}{})
		return
	}
	if !room {
		refuse("room")
		return
	}
	w.begin(run, c)
	reply(rw, http.StatusOK, map[string]any{"clock_ms": w.clock()})
}

// newRun returns the run of an order, and whether there is room for it.
func (w *Worker) newRun(c orderCall) (*run, bool) {
	run := &run{worker: w, name: c.Task, number: c.Run, pace: 100}
	var occurrence int
	name := strings.ReplaceAll(c.Task, ".", " ")
	if _, err := fmt.Sscanf(name, "%s %d %d %d", &run.job, &occurrence, &run.step, &run.index); err != nil {
		return nil, false
	}
	steps := w.fleet.jobs[run.job]
	if run.step >= len(steps) {
		w.fleet.violate("task %s was started and never submitted", c.Task)
		return nil, false
	}
	used := steps[run.step].GPU
	for _, other := range w.runs {
		used += w.fleet.jobs[other.job][other.step].GPU
	}
	return run, used <= WorkerGPUs
}

// begin checks and starts a run. The lock is held.
func (w *Worker) begin(r *run, c orderCall) {
	f := w.fleet
	f.starts++
	step := f.jobs[r.job][r.step]
	if f.rejected[r.job] {
		f.violate("task %s of a refused job was started", r.name)
	}
	if f.done[r.name] {
		f.violate("task %s was started again after an acknowledged success (run %d on %s)", r.name, r.number, w.ID)
	}
	w.runs[r.name] = r
	if !step.Gang {
		f.gangs[r.name] = f.checkSingle(r)
		r.began = time.Now()
		delete(f.down, r.name)
		if !step.serves() {
			r.ends = time.AfterFunc(step.Work, func() { f.complete(r) })
		}
		return
	}
	key := fmt.Sprintf("%s.%d.%d", r.job, r.step, r.number)
	g := f.gangs[key]
	if g == nil {
		g = &gang{size: step.Count}
		f.gangs[key] = g
	}
	r.gang = g
	g.members = append(g.members, r)
	if len(g.members) == g.size && !g.ended {
		g.started = true
		for _, m := range g.members {
			if m.ends != nil {
				m.ends.Stop()
			}
			m.began = time.Now()
		}
		r.ends = time.AfterFunc(step.Work, func() { f.complete(r) })
		return
	}
	r.ends = time.AfterFunc(gangWait, func() { f.alone(r) })
}

// finish ends a run and breaks its gang. The lock is held.
func (w *Worker) finish(r *run, how string) {
	if w.runs[r.name] != r {
		return
	}
	delete(w.runs, r.name)
	w.highest[r.name] = max(w.highest[r.name], r.number)
	w.seq++
	w.ends = append(w.ends, end{w.seq, r.name, r.number, how})
	if how == "done" {
		w.fleet.succeeded[r.name] = true
	}
	if r.spec().serves() && !r.stopping {
		w.fleet.down[r.name] = outage{since: time.Now()}
	}
	if r.ends != nil {
		r.ends.Stop()
	}
	close(w.changed)
	w.changed = make(chan struct{})
	if r.gang == nil || r.gang.ended {
		return
	}
	r.gang.ended = true
	for _, m := range r.gang.members {
		m.worker.finish(m, "broken")
	}
}

// vanish ends all runs without a report: the machine of the worker goes down.
func (w *Worker) vanish() {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	for _, r := range w.runs {
		if s := r.spec(); s.serves() && w.fleet.away(r) >= s.MayMiss {
			w.fleet.violate("the upkeep of %s makes more than %d tasks of step %d of job %s unavailable", w.ID, s.MayMiss, r.step, r.job)
		}
	}
	for _, r := range w.runs {
		w.finish(r, "lapsed")
		if r.spec().serves() {
			w.fleet.down[r.name] = outage{time.Now(), true}
		}
	}
	w.gone = true
}

func (w *Worker) pace(rw http.ResponseWriter, r *http.Request) {
	c, ok := w.admit(rw, r)
	if !ok {
		return
	}
	defer w.fleet.mu.Unlock()
	run := w.runs[c.Task]
	if run == nil || run.number != c.Run {
		reply(rw, http.StatusConflict, map[string]any{"clock_ms": w.clock(), "reason": "old"})
		return
	}
	run.pace = c.Percent
	reply(rw, http.StatusOK, map[string]any{"clock_ms": w.clock()})
}

func (w *Worker) stop(rw http.ResponseWriter, r *http.Request) {
	c, ok := w.admit(rw, r)
	if !ok {
		return
	}
	defer w.fleet.mu.Unlock()
	w.highest[c.Task] = max(w.highest[c.Task], c.Run)
	if run := w.runs[c.Task]; run != nil && run.number <= c.Run {
		run.stopping = true
		if run.spec().serves() {
			w.fleet.down[run.name] = outage{time.Now(), true}
		}
		time.AfterFunc(stopTime, func() {
			w.fleet.mu.Lock()
			defer w.fleet.mu.Unlock()
			w.finish(run, "stopped")
		})
	}
	reply(rw, http.StatusOK, map[string]any{"clock_ms": w.clock()})
}
