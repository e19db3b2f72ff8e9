package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"
)

// machine is a machine of the platform. Minions are its lives, one after the other, at
// one address.
type machine struct {
	world   *world
	name    string
	kind    string
	rack    string
	gpus    int
	address string
	minion  *minion // nil while the machine is down
	state   string  // up, upkeep or down
	lives   int
	upkeeps map[int]bool // waves for which it has begun its upkeep

	// cutUntil is until when the machine is cut off from all others: what is sent to it
	// waits, and what it sends.
	cutUntil time.Time
	// fail decides what happens to a call: it may be answered with a status, or get no
	// answer and be carried out after a delay. The lock of the world is held.
	fail func(path string, o order) (status int, late time.Duration)
}

// minion is one life of a machine.
type minion struct {
	machine  *machine
	id       string
	kind     string
	born     time.Time
	fence    uint64
	until    time.Time // end of the lease of all that runs
	runs     map[string]*run
	ended    map[string]uint32 // highest run of each task that ended or was stopped
	finished []end
	lastEnd  uint64
	draining bool
	changed  chan struct{}
	seq      int
	stopBeat chan struct{}
}

type run struct {
	minion  *minion
	task    string
	job     *job
	step    step
	number  uint32
	started time.Time
	stopped bool
	timer   *time.Timer
	pace    int
}

type end struct {
	seq  uint64
	task string
	run  uint32
	how  string
}

type order struct {
	Task     string `json:"task"`
	Run      uint32 `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Fence    uint64 `json:"fence"`
	Acked    uint64 `json:"acked_seq"`
	Wait     int64  `json:"wait_ms"`
	Percent  int    `json:"percent"`
}

// startup is how long a lasting task needs until it is at work.
const startup = 300 * time.Millisecond

// uptime is the time on the clock of a machine's first minion when the script starts.
const uptime = 5 * time.Minute

const (
	beatInterval = 1500 * time.Millisecond
	silence      = 3 * beatInterval
)

// up starts a minion on the machine. Its first write to the store follows after wait. With
// an id, it starts under that id again. The lock of the world is held.
func (m *machine) up(id string, wait time.Duration) *minion {
	m.lives++
	if id == "" {
		id = "i-" + m.name + "-" + string(rune('a'+m.lives-1))
	}
	n := &minion{machine: m, id: id, kind: m.kind, born: time.Now(), runs: make(map[string]*run), ended: make(map[string]uint32),
		changed: make(chan struct{}), stopBeat: make(chan struct{})}
	m.minion, m.state = n, "up"
	m.world.rec.add("minion %s starts on machine %s, labels %q %q", id, m.name, n.kind, m.rack)
	go n.beat(wait)
	return n
}

// beat writes the minion's entry at each interval.
func (n *minion) beat(wait time.Duration) {
	w := n.machine.world
	for {
		select {
		case <-time.After(wait):
		case <-n.stopBeat:
			return
		}
		wait = beatInterval
		w.mu.Lock()
		if n.machine.minion == n && time.Now().After(n.machine.cutUntil) {
			n.register()
		}
		w.mu.Unlock()
	}
}

// register writes the minion's entry. The lock of the world is held.
func (n *minion) register() {
	n.seq++
	m := n.machine
	state := "ready"
	if n.draining {
		state = "draining"
	}
	m.world.lastBeat[n.id] = time.Now()
	m.world.store.write("servers/"+n.id, map[string]any{"service": "skymap", "address": m.address, "zone": "entoto", "version": "v1",
		"slots": 8, "state": state, "cold_left_ms": 0, "seq": n.seq, "capacity": map[string]int{"cpu": 32000, "mem_mb": 131072, "gpu": m.gpus},
		"labels": []string{n.kind, m.rack}, "born": n.born.UnixMilli()})
}

// crash ends the minion without notice. The lock of the world is held.
func (m *machine) crash() {
	n := m.minion
	if n == nil {
		return
	}
	m.world.rec.add("minion %s crashes; %d tasks run there", n.id, len(n.runs))
	for _, r := range n.runs {
		n.drop(r, "crash")
	}
	m.minion, m.state = nil, "down"
	close(n.stopBeat)
	close(n.changed)
	n.changed = make(chan struct{})
}

func (n *minion) clock() int64 {
	c := time.Since(n.born)
	if n.machine.lives == 1 {
		c += uptime
	}
	return c.Milliseconds()
}

func hijackClose(rw http.ResponseWriter) {
	if c, _, err := http.NewResponseController(rw).Hijack(); err == nil {
		_ = c.Close()
	}
}

// discard is the response of a call that is carried out late.
type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(b []byte) (int, error) { return len(b), nil }
func (d discard) WriteHeader(int)             {}

func (m *machine) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w := m.world
	var o order
	_ = json.Unmarshal(body, &o)
	w.mu.Lock()
	for time.Now().Before(m.cutUntil) { // what is held up is lost if its sender gives up
		w.mu.Unlock()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(20 * time.Millisecond):
		}
		w.mu.Lock()
	}
	if m.fail != nil {
		if status, late := m.fail(r.URL.Path, o); late > 0 {
			w.rec.add("%s %s run %d at %s gets no answer; it is carried out %.1f s later", r.URL.Path, o.Task, o.Run, m.name, late.Seconds())
			w.mu.Unlock()
			call := r.Clone(r.Context())
			time.AfterFunc(late, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				if m.minion == nil || time.Now().Before(m.cutUntil) {
					return
				}
				w.rec.add("the late %s %s run %d reaches minion %s", call.URL.Path, o.Task, o.Run, m.minion.id)
				call.Body = io.NopCloser(bytes.NewReader(body))
				m.carryOut(discard{http.Header{}}, call, o)
			})
			<-r.Context().Done()
			return
		} else if status != 0 {
			w.rec.add("%s %s run %d at %s: %d", r.URL.Path, o.Task, o.Run, m.name, status)
			w.mu.Unlock()
			answer(rw, status, struct{}{})
			return
		}
	}
	defer w.mu.Unlock()
	m.carryOut(rw, r, o)
}

// carryOut carries out a call on the present minion. The lock of the world is held.
func (m *machine) carryOut(rw http.ResponseWriter, r *http.Request, o order) {
	n := m.minion
	if n == nil {
		hijackClose(rw)
		return
	}
	if target := r.Header.Get("Bronzewinch-Target-Instance"); target != n.id {
		if r.URL.Path == "/run-start" {
			m.world.rec.add("start %s run %d for %s reaches %s: 421", o.Task, o.Run, target, n.id)
		}
		answer(rw, http.StatusMisdirectedRequest, struct{}{})
		return
	}
	n.lapse()
	if o.Fence < n.fence {
		m.world.rec.add("%s %s run %d at %s: 409 fence %d < %d", r.URL.Path, o.Task, o.Run, n.id, o.Fence, n.fence)
		answer(rw, http.StatusConflict, map[string]any{"clock_ms": n.clock(), "reason": "fence", "born": n.born.UnixMilli()})
		return
	}
	n.fence = o.Fence
	switch r.URL.Path {
	case "/hold":
		n.hold(rw, r, o)
	case "/run-start":
		n.start(rw, o)
	case "/run-stop":
		n.stop(rw, o)
	case "/pace":
		if r := n.runs[o.Task]; r != nil && r.number == o.Run {
			r.pace = o.Percent
		}
		answer(rw, http.StatusOK, map[string]any{"clock_ms": n.clock()})
	default:
		answer(rw, http.StatusNotFound, struct{}{})
	}
}

// extend extends the lease to a time on the minion's clock.
func (n *minion) extend(deadline int64) {
	now := time.Now()
	until := now.Add(min(time.Duration(deadline-n.clock())*time.Millisecond, n.machine.world.bounds.holdMax))
	if until.After(now) && until.After(n.until) {
		n.until = until
		time.AfterFunc(time.Until(until)+time.Millisecond, func() {
			n.machine.world.mu.Lock()
			defer n.machine.world.mu.Unlock()
			n.lapse()
		})
	}
}

// lapse kills all that runs if the lease has expired.
func (n *minion) lapse() {
	if time.Now().Before(n.until) {
		return
	}
	for _, r := range n.runs {
		n.finish(r, "lapsed")
	}
}

func (n *minion) hold(rw http.ResponseWriter, r *http.Request, o order) {
	n.extend(o.Deadline)
	n.finished = slices.DeleteFunc(n.finished, func(e end) bool { return e.seq <= o.Acked })
	w := n.machine.world
	if o.Wait > 0 && len(n.finished) == 0 {
		changed := n.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(o.Wait) * time.Millisecond):
		case <-r.Context().Done():
		}
		w.mu.Lock()
		for time.Now().Before(n.machine.cutUntil) { // a cut holds up the answer
			w.mu.Unlock()
			select {
			case <-time.After(20 * time.Millisecond):
				w.mu.Lock()
			case <-r.Context().Done():
				w.mu.Lock()
				return
			}
		}
	}
	if n.machine.minion != n {
		hijackClose(rw)
		return
	}
	n.lapse()
	running, finished := [][]any{}, [][]any{}
	for _, r := range n.runs {
		running = append(running, []any{r.task, r.number, "", r.percent(), 1})
	}
	for _, e := range n.finished {
		finished = append(finished, []any{e.seq, e.task, e.run, e.how, ""})
	}
	body := map[string]any{"clock_ms": n.clock(), "born": n.born.UnixMilli(), "running": running, "finished": finished}
	if n.draining {
		body["remaining_ms"] = 2000
	}
	answer(rw, http.StatusOK, body)
}

func (r *run) percent() int {
	if r.step.LongRunning {
		if time.Since(r.started) < startup {
			return 0
		}
		return 100
	}
	return min(99, int(100*time.Since(r.started)/r.step.work))
}

func (n *minion) start(rw http.ResponseWriter, o order) {
	w := n.machine.world
	n.extend(o.Deadline)
	reject := func(reason string) {
		w.rec.add("start %s run %d at %s: 409 %s", o.Task, o.Run, n.id, reason)
		answer(rw, http.StatusConflict, map[string]any{"clock_ms": n.clock(), "reason": reason})
	}
	old := n.runs[o.Task]
	id, _, _ := strings.Cut(o.Task, ".")
	j := w.jobs[id]
	if j == nil {
		w.rec.broken("UNASKED", "task %s is started, but no client sent its job", o.Task)
		answer(rw, http.StatusBadRequest, struct{}{})
		return
	}
	s := j.step(o.Task)
	used := s.GPU
	for _, r := range n.runs {
		used += r.step.GPU
	}
	switch {
	case old != nil && old.number == o.Run:
		answer(rw, http.StatusOK, map[string]any{"clock_ms": n.clock()})
		return
	case old != nil, o.Run <= n.ended[o.Task]:
		reject("old")
		return
	case !time.Now().Before(n.until):
		reject("late")
		return
	case used > n.machine.gpus:
		reject("room")
		return
	}
	r := &run{minion: n, task: o.Task, job: j, step: s, number: o.Run, started: time.Now(), pace: 100}
	n.runs[o.Task] = r
	w.rec.add("task %s run %d starts on %s (fence %d)", o.Task, o.Run, n.id, o.Fence)
	w.checkStart(r)
	if !s.LongRunning {
		r.timer = time.AfterFunc(s.work, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			n.finish(r, "done")
		})
	}
	answer(rw, http.StatusOK, map[string]any{"clock_ms": n.clock()})
}

func (n *minion) stop(rw http.ResponseWriter, o order) {
	w := n.machine.world
	n.ended[o.Task] = max(n.ended[o.Task], o.Run)
	w.rec.add("stop %s run %d at %s: 200", o.Task, o.Run, n.id)
	if r := n.runs[o.Task]; r != nil && r.number == o.Run && !r.stopped {
		w.checkStop(r, "a stop")
		r.stopped = true
		time.AfterFunc(w.bounds.stop/2, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			n.finish(r, "stopped")
		})
	}
	answer(rw, http.StatusOK, map[string]any{"clock_ms": n.clock()})
}

// drop removes a run whose end nobody will be told.
func (n *minion) drop(r *run, why string) {
	delete(n.runs, r.task)
	if r.timer != nil {
		r.timer.Stop()
	}
	n.machine.world.rec.add("task %s run %d on %s is gone: %s", r.task, r.number, n.id, why)
	n.machine.world.noteAway(r)
}

// finish ends a run and lists its end.
func (n *minion) finish(r *run, how string) {
	if n.runs[r.task] != r {
		return
	}
	n.drop(r, how)
	n.ended[r.task] = max(n.ended[r.task], r.number)
	n.lastEnd++
	n.finished = append(n.finished, end{n.lastEnd, r.task, r.number, how})
	close(n.changed)
	n.changed = make(chan struct{})
}
