package cooperative

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
)

// Worker is one incarnation of a worker of a fleet. The lock of the fleet guards
// its state.
type Worker struct {
	ID          string
	fleet       *Fleet
	vm          *vm // that it runs on, or nil
	startMillis int64

	epoch          time.Time
	clockDrift     float64 // share by which its clock is slow
	fence          uint64
	leaseExpiry    time.Duration // on its clock; zero without a lease
	leaseTimer     *time.Timer
	runs           map[string]*run
	highestEnded   map[string]uint32 // highest run number of each task that ended or was stopped
	unacknowledged []endedRun
	lastEndSeq     uint64
	formerEndSeq   uint64 // highest end number of earlier incarnations under its id
	gone           bool   // it has crashed, or its VM is down
	polled         bool   // it has answered a poll
	changed        chan struct{}
}

// NewWorker returns a worker of the fleet that has just started. Its clock is
// slow by a share of clockDrift. former is the earlier incarnation under the same
// id, or nil.
func (f *Fleet) NewWorker(id string, clockDrift float64, former *Worker) *Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	w := &Worker{ID: id, fleet: f, startMillis: now.UnixMilli(), epoch: now, clockDrift: clockDrift, runs: make(map[string]*run),
		highestEnded: make(map[string]uint32), changed: make(chan struct{})}
	if former != nil {
		w.formerEndSeq = max(former.lastEndSeq, former.formerEndSeq)
	}
	f.workers[w] = struct{}{}
	return w
}

// String names the worker and its incarnation.
func (w *Worker) String() string { return fmt.Sprintf("%s (born %d)", w.ID, w.startMillis) }

// StoreEntry returns the entry that the worker writes into the store to
// register itself.
func (w *Worker) StoreEntry(address, zone, rack, state string) map[string]any {
	return map[string]any{"service": "service", "address": address, "zone": zone, "version": "v1", "slots": 8, "state": state,
		"cold_left_ms": 0, "capacity": map[string]int{"cpu": 32000, "mem_mb": 131072, "gpu": WorkerGPUs},
		"labels": []string{"a", rack}, "seq": 1, "born": w.startMillis}
}

// Handler returns the HTTP handler for the scheduler's orders.
func (w *Worker) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/hold", w.poll)
	r.Post("/run-start", w.start)
	r.Post("/run-stop", w.stop)
	r.Post("/pace", w.pace)
	return r
}

type orderRequest struct {
	Task     string `json:"task"`
	Run      uint32 `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Fence    uint64 `json:"fence"`
	Acked    uint64 `json:"acked_seq"`
	Wait     int64  `json:"wait_ms"`
	Percent  int64  `json:"percent"`
}

// clock returns the time on the worker's clock.
func (w *Worker) clock() time.Duration {
	return time.Duration(float64(time.Since(w.epoch)) * (1 - w.clockDrift))
}

func (w *Worker) clockMillis() int64 { return w.clock().Milliseconds() }

// breakConnection closes the connection of a call without an answer.
func breakConnection(rw http.ResponseWriter) {
	if conn, _, err := http.NewResponseController(rw).Hijack(); err == nil { // a call that is carried out late has no connection
		_ = conn.Close()
	}
}

// acceptOrder decodes an order and checks its target instance and its fence. If
// it returns true, the lock of the fleet is held and the caller must release it;
// otherwise it has sent an error.
func (w *Worker) acceptOrder(rw http.ResponseWriter, r *http.Request) (orderRequest, bool) {
	var order orderRequest
	if r.Header.Get("Bronzewinch-Target-Instance") != w.ID {
		reply(rw, http.StatusMisdirectedRequest, struct{}{}) // addressed to an earlier worker at this address
		return order, false
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		reply(rw, http.StatusBadRequest, struct{}{})
		return order, false
	}
	w.fleet.mu.Lock()
	w.expireLease()
	if w.gone {
		w.fleet.mu.Unlock()
		breakConnection(rw)
		return order, false
	}
	if order.Fence < w.fence {
		w.fleet.mu.Unlock()
		reply(rw, http.StatusConflict, map[string]any{"clock_ms": w.clockMillis(), "reason": "fence"})
		return order, false
	}
	w.fence = order.Fence
	return order, true
}

// extendLease extends the lease to a deadline on the worker's clock, but to no
// more than maxLease from now.
func (w *Worker) extendLease(deadline int64) {
	now := w.clock()
	until := min(time.Duration(deadline)*time.Millisecond, now+maxLease)
	if until <= now || until <= w.leaseExpiry {
		return
	}
	w.leaseExpiry = until
	if w.leaseTimer != nil {
		w.leaseTimer.Stop()
	}
	remaining := time.Duration(float64(until-now)/(1-w.clockDrift)) + time.Millisecond
	w.leaseTimer = time.AfterFunc(remaining, func() {
		w.fleet.mu.Lock()
		defer w.fleet.mu.Unlock()
		w.expireLease()
	})
}

// expireLease ends all runs if the lease has expired. The lock of the fleet must
// be held.
func (w *Worker) expireLease() {
	if w.leaseExpiry == 0 || w.clock() < w.leaseExpiry {
		return
	}
	w.leaseExpiry = 0
	for i := range w.unacknowledged {
		w.unacknowledged[i].leaseLapsed = true
	}
	for _, r := range w.runs {
		w.endRun(r, "lapsed")
	}
}

func (w *Worker) poll(rw http.ResponseWriter, r *http.Request) {
	order, ok := w.acceptOrder(rw, r)
	if !ok {
		return
	}
	w.extendLease(order.Deadline)
	w.acknowledge(order.Acked)
	if order.Wait > 0 && len(w.unacknowledged) == 0 {
		changed := w.changed
		w.fleet.mu.Unlock()
		limit := time.NewTimer(time.Duration(order.Wait) * time.Millisecond)
		defer limit.Stop()
		select {
		case <-changed:
		case <-limit.C:
		case <-r.Context().Done():
		}
		w.fleet.mu.Lock()
		w.expireLease()
	}
	if w.gone {
		w.fleet.mu.Unlock()
		breakConnection(rw)
		return
	}
	running, finished := [][]any{}, [][]any{}
	for _, run := range w.runs {
		running = append(running, []any{run.name, run.number, "", run.progress(), run.reportedLoad()})
	}
	for _, e := range w.unacknowledged {
		finished = append(finished, []any{e.seq, e.name, e.number, e.reason, ""})
	}
	w.polled = w.polled || sentAt(r.Context()).IsZero()
	body := map[string]any{"clock_ms": w.clockMillis(), "born": w.startMillis, "running": running, "finished": finished}
	w.fleet.mu.Unlock()
	reply(rw, http.StatusOK, body)
}

// acknowledge discards the ended runs up to seq. The lock of the fleet must be
// held.
func (w *Worker) acknowledge(seq uint64) {
	if last := max(w.lastEndSeq, w.formerEndSeq); seq > last {
		w.fleet.addViolation("worker %s: end %d acknowledged, but the last end so far is %d", w, seq, last)
	}
	remaining := w.unacknowledged[:0]
	for _, e := range w.unacknowledged {
		if e.seq > seq {
			remaining = append(remaining, e)
		} else if e.reason == "done" && !e.leaseLapsed {
			w.fleet.acknowledgeSuccess(e)
		}
	}
	w.unacknowledged = remaining
}

func (w *Worker) start(rw http.ResponseWriter, r *http.Request) {
	order, ok := w.acceptOrder(rw, r)
	if !ok {
		return
	}
	defer w.fleet.mu.Unlock()
	reject := func(reason string) {
		reply(rw, http.StatusConflict, map[string]any{"clock_ms": w.clockMillis(), "reason": reason})
	}
	existing := w.runs[order.Task]
	w.extendLease(order.Deadline)
	switch {
	case w.leaseExpiry == 0:
		reject("late")
		return
	case existing != nil && existing.number == order.Run:
		reply(rw, http.StatusOK, map[string]any{"clock_ms": w.clockMillis()})
		return
	case existing != nil || order.Run <= w.highestEnded[order.Task]:
		reject("old")
		return
	}
	run, fits := w.newRun(order)
	if run == nil {
		reply(rw, http.StatusBadRequest, struct{}{})
		return
	}
	if !fits {
		reject("room")
		return
	}
	if sent := sentAt(r.Context()); !sent.IsZero() {
		run.startDelay = time.Since(sent)
	}
	w.startRun(run, order)
	reply(rw, http.StatusOK, map[string]any{"clock_ms": w.clockMillis()})
}

// newRun returns the run of a start order, and whether the worker has enough
// free GPUs for it. The run is nil if the task is malformed or unknown.
func (w *Worker) newRun(order orderRequest) (*run, bool) {
	run := &run{worker: w, name: order.Task, number: order.Run, pace: 100}
	var occurrence int
	name := strings.ReplaceAll(order.Task, ".", " ")
	if _, err := fmt.Sscanf(name, "%s %d %d %d", &run.job, &occurrence, &run.step, &run.index); err != nil {
		return nil, false
	}
	steps := w.fleet.jobs[run.job]
	if run.step >= len(steps) {
		w.fleet.addViolation("task %s was started, but its job was never submitted", order.Task)
		return nil, false
	}
	used := steps[run.step].GPU
	for _, other := range w.runs {
		used += w.fleet.jobs[other.job][other.step].GPU
	}
	return run, used <= WorkerGPUs
}

// startRun checks that the run may start, and starts it. The work of a gang
// starts with its last member. The lock of the fleet must be held.
func (w *Worker) startRun(r *run, order orderRequest) {
	f := w.fleet
	f.starts++
	r.beforeFirstPoll = !w.polled
	step := f.jobs[r.job][r.step]
	if f.rejected[r.job] {
		f.addViolation("task %s of a rejected job was started", r.name)
	}
	if w.vm != nil {
		f.checkEvacuation(r, w.vm)
	}
	if f.acknowledged[r.group()] {
		f.addViolation("task %s was started again after an acknowledged success (%s)", r.name, r)
	}
	f.lastStarts[r.group()] = startRecord{r, time.Now()}
	f.checkSingleRun(r)
	w.runs[r.name] = r
	if !step.Gang {
		r.startedAt = time.Now()
		delete(f.outages, r.name)
		if !step.isService() {
			r.timer = time.AfterFunc(step.RunTime, func() { f.completeRun(r) })
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
	if g.present() == g.size && !g.ended {
		g.started = true
		for _, m := range g.members {
			if m.timer != nil {
				m.timer.Stop()
			}
			m.startedAt = time.Now()
		}
		r.timer = time.AfterFunc(step.RunTime, func() { f.completeRun(r) })
		return
	}
	r.timer = time.AfterFunc(gangStartTimeout, func() { f.failIncompleteGang(r) })
}

// endRun ends a run. If the run belongs to a gang that has not ended, the other
// members end as broken. The lock of the fleet must be held.
func (w *Worker) endRun(r *run, reason string) {
	if w.runs[r.name] != r {
		return
	}
	delete(w.runs, r.name)
	w.highestEnded[r.name] = max(w.highestEnded[r.name], r.number)
	w.lastEndSeq++
	w.unacknowledged = append(w.unacknowledged, endedRun{seq: w.lastEndSeq, name: r.name, group: r.group(), number: r.number, reason: reason, at: time.Now()})
	if reason == "done" {
		w.fleet.succeeded[r.name] = true
	}
	if r.stepSpec().isService() && !r.stopping {
		w.fleet.outages[r.name] = outage{since: time.Now()}
	}
	if r.timer != nil {
		r.timer.Stop()
	}
	close(w.changed)
	w.changed = make(chan struct{})
	if r.gang == nil || r.gang.ended {
		return
	}
	r.gang.ended = true
	for _, m := range r.gang.members {
		m.worker.endRun(m, "broken")
	}
}

// takeDown takes the worker's VM down for upkeep. All runs end, and the worker
// reports none of them.
func (w *Worker) takeDown() {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	for _, r := range w.runs {
		if s := r.stepSpec(); s.isService() && w.fleet.unavailableTasks(r) >= s.MaxUnavailable {
			w.fleet.addViolation("upkeep of worker %s makes more than %d tasks of step %d of job %s unavailable", w.ID, s.MaxUnavailable, r.step, r.job)
		}
	}
	for _, r := range w.runs {
		w.endRun(r, "lapsed")
		if r.stepSpec().isService() {
			w.fleet.outages[r.name] = outage{time.Now(), true}
		}
	}
	w.leave()
}

// crash ends the incarnation without notice. Its runs are gone, and nobody
// learns of the ends that it had not reported.
func (w *Worker) crash() {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.leave()
}

// leave ends all runs and marks the incarnation as gone. The lock of the fleet
// must be held.
func (w *Worker) leave() {
	for _, r := range w.runs {
		w.endRun(r, "lapsed")
	}
	w.gone = true
	delete(w.fleet.workers, w)
	if w.leaseTimer != nil {
		w.leaseTimer.Stop()
	}
	close(w.changed) // breaks the polls that wait
	w.changed = make(chan struct{})
}

func (w *Worker) pace(rw http.ResponseWriter, r *http.Request) {
	order, ok := w.acceptOrder(rw, r)
	if !ok {
		return
	}
	defer w.fleet.mu.Unlock()
	run := w.runs[order.Task]
	if run == nil || run.number != order.Run {
		reply(rw, http.StatusConflict, map[string]any{"clock_ms": w.clockMillis(), "reason": "old"})
		return
	}
	run.pace = order.Percent
	reply(rw, http.StatusOK, map[string]any{"clock_ms": w.clockMillis()})
}

func (w *Worker) stop(rw http.ResponseWriter, r *http.Request) {
	order, ok := w.acceptOrder(rw, r)
	if !ok {
		return
	}
	defer w.fleet.mu.Unlock()
	w.highestEnded[order.Task] = max(w.highestEnded[order.Task], order.Run)
	if run := w.runs[order.Task]; run != nil && run.number <= order.Run {
		run.stopping = true
		if run.stepSpec().isService() {
			w.fleet.outages[run.name] = outage{time.Now(), true}
		}
		time.AfterFunc(stopDuration, func() {
			w.fleet.mu.Lock()
			defer w.fleet.mu.Unlock()
			w.endRun(run, "stopped")
		})
	}
	reply(rw, http.StatusOK, map[string]any{"clock_ms": w.clockMillis()})
}
