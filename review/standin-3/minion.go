package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds of the deployment, as in SYSTEM.md.
const (
	holdMax      = 6 * time.Second
	stopTime     = 400 * time.Millisecond
	gangWait     = 3 * time.Second
	checkpointMS = 2000
	restoreMS    = 600
	heartbeat    = 1500 * time.Millisecond
	finishTime   = 14 * time.Second
)

// Capacity of a minion.
const (
	minionCPU   = 32000
	minionMemMB = 131072
	minionGPU   = 8
)

// step is a step of a job as its client describes it, and how long its tasks work.
type step struct {
	Count      int    `json:"count"`
	CPU        int    `json:"cpu,omitempty"`
	MemMB      int    `json:"mem_mb,omitempty"`
	GPU        int    `json:"gpu,omitempty"`
	EstimateMS int    `json:"estimate_ms,omitempty"`
	After      []int  `json:"after,omitempty"`
	Checkpoint bool   `json:"checkpoint,omitempty"`
	Gang       bool   `json:"gang,omitempty"`
	Affinity   string `json:"affinity,omitempty"`

	work time.Duration
	// short is how long each fiftieth task works, if it is set.
	short time.Duration
}

// workOf is how long a task of the step works.
func (s step) workOf(index int) time.Duration {
	if s.short > 0 && index%50 == 0 {
		return s.short
	}
	return s.work
}

// fleet is what all minions know: the jobs that clients sent, and the runs of their tasks.
type fleet struct {
	mu      sync.Mutex
	log     *recorder
	jobs    map[string][]step
	running map[string]map[*run]bool // by task
	done    map[string]bool          // tasks of which a run has ended as done
	noted   map[string]bool          // those of which such an end has been taken note of
	gangs   map[string]*gang
	broken  []string // rules that were broken
	starts  int
	// late tells how long after its arrival a start is carried out. Late starts get no answer.
	late func(m *minion, o order) time.Duration
	// current returns the minion that has an id now.
	current func(id string) *minion
}

func newFleet(log *recorder) *fleet {
	return &fleet{log: log, jobs: make(map[string][]step), running: make(map[string]map[*run]bool), done: make(map[string]bool),
		noted: make(map[string]bool), gangs: make(map[string]*gang)}
}

func (f *fleet) addJob(id string, steps []step) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.jobs[id] = steps
}

// breakRule records a broken rule. The lock is held.
func (f *fleet) breakRule(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	f.broken = append(f.broken, text)
	f.log.write("BROKEN %s", text)
}

// unfinished returns the tasks of a job of which no done end has been taken note of, and how
// many of its tasks run.
func (f *fleet) unfinished(id string, occurrences int) (missing, ended, active int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for k := range occurrences {
		for s, st := range f.jobs[id] {
			for i := range st.Count {
				task := fmt.Sprintf("%s.%d.%d.%d", id, k, s, i)
				if !f.noted[task] {
					missing++
				}
				if f.done[task] {
					ended++
				}
				active += len(f.running[task])
			}
		}
	}
	return missing, ended, active
}

// inUse returns how many tasks run, and their cores in thousandths. The lock is held.
func (f *fleet) inUse() (tasks, cpu int) {
	for _, runs := range f.running {
		for r := range runs {
			tasks++
			cpu += r.step.CPU
		}
	}
	return tasks, cpu
}

type gang struct {
	size    int
	members []*run
	ended   bool
	started bool
}

type run struct {
	minion   *minion
	task     string
	job      string
	number   int
	step     step
	work     time.Duration
	from     int // progress in ms that its checkpoint had saved
	saved    string
	began    time.Time // when it began to work
	restored time.Duration
	timer    *time.Timer
	gang     *gang
	stopping bool
	over     bool
}

// progress returns the work that the run has done, in ms.
func (r *run) progress() int {
	if r.began.IsZero() {
		return r.from
	}
	return min(r.from+int(max(0, time.Since(r.began)-r.restored).Milliseconds()), int(r.work.Milliseconds()))
}

func (r *run) checkpoint(exact bool) string {
	if !r.step.Checkpoint {
		return ""
	}
	p := r.progress()
	if !exact {
		p -= p % checkpointMS
	}
	if p > r.from {
		r.saved = fmt.Sprintf("%016x", p)
	}
	return r.saved
}

type end struct {
	seq    int
	task   string
	run    int
	how    string
	saved  string
	lapsed bool // the lease lapsed before the end was acknowledged
}

// minion is one life of a minion.
type minion struct {
	fleet    *fleet
	id       string
	address  string
	zone     string
	rack     string
	cpu      int
	memMB    int
	gpu      int
	born     time.Time
	offset   time.Duration // of its clock at its start
	fence    uint64
	deadline time.Duration
	runs     map[string]*run
	highest  map[string]int
	ends     []end
	lastSeq  int
	changed  chan struct{}
	gone     bool
	muted    atomic.Bool // it does not reach the store
	stop     chan struct{}
}

func (f *fleet) newMinion(id, address, zone, rack string) *minion {
	m := &minion{fleet: f, id: id, address: address, zone: zone, rack: rack, cpu: minionCPU, memMB: minionMemMB, gpu: minionGPU, born: time.Now(),
		offset: 5 * time.Minute, runs: make(map[string]*run), highest: make(map[string]int), changed: make(chan struct{}), stop: make(chan struct{})}
	go m.lapse()
	return m
}

func (m *minion) clock() time.Duration { return m.offset + time.Since(m.born) }

func (m *minion) entry(seq int) map[string]any {
	return map[string]any{"service": "skymap", "address": m.address, "zone": m.zone, "version": "v1", "slots": 8, "state": "ready",
		"cold_left_ms": 0, "seq": seq, "born": m.born.UnixMilli(), "labels": []string{"a", m.rack},
		"capacity": map[string]int{"cpu": m.cpu, "mem_mb": m.memMB, "gpu": m.gpu}}
}

func (m *minion) mute(muted bool) { m.muted.Store(muted) }

// register writes the minion's entry into the store until it leaves.
func (m *minion) register(s *store) {
	for seq := 1; ; seq++ {
		if !m.muted.Load() {
			s.write("servers/"+m.id, m.entry(seq))
		}
		select {
		case <-time.After(heartbeat):
		case <-m.stop:
			return
		}
	}
}

// lapse ends all runs when the lease has expired.
func (m *minion) lapse() {
	for {
		select {
		case <-time.After(10 * time.Millisecond):
		case <-m.stop:
			return
		}
		m.fleet.mu.Lock()
		m.checkLease()
		m.fleet.mu.Unlock()
	}
}

func (m *minion) checkLease() {
	if m.clock() < m.deadline {
		return
	}
	for i := range m.ends {
		m.ends[i].lapsed = true
	}
	for _, r := range m.runs {
		m.finish(r, "lapsed")
	}
}

func (m *minion) extend(deadlineMS int64) {
	until := min(time.Duration(deadlineMS)*time.Millisecond, m.clock()+holdMax)
	m.deadline = max(m.deadline, until)
}

// finish ends a run. The lock of the fleet is held.
func (m *minion) finish(r *run, how string) {
	if r.over {
		return
	}
	r.over = true
	if r.timer != nil {
		r.timer.Stop()
	}
	saved := r.saved
	if how == "stopped" {
		saved = r.checkpoint(true)
	}
	delete(m.runs, r.task)
	delete(m.fleet.running[r.task], r)
	m.highest[r.task] = max(m.highest[r.task], r.number)
	if !m.gone {
		m.lastSeq++
		m.ends = append(m.ends, end{seq: m.lastSeq, task: r.task, run: r.number, how: how, saved: saved})
	}
	if how == "done" {
		m.fleet.done[r.task] = true
	}
	m.fleet.log.run("end %s run %d on %s: %s", r.task, r.number, m.id, how)
	close(m.changed)
	m.changed = make(chan struct{})
	if g := r.gang; g != nil && !g.ended {
		g.ended = true
		other := "broken"
		if how == "done" {
			other = "done"
		}
		for _, o := range g.members {
			o.minion.finish(o, other)
		}
	}
}

// leave ends the life of the minion at once.
func (m *minion) leave() {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	if m.gone {
		return
	}
	m.gone = true
	for _, r := range m.runs {
		m.finish(r, "lost")
	}
	close(m.stop)
	close(m.changed)
	m.changed = make(chan struct{})
}

type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	Deadline   int64  `json:"deadline_ms"`
	Fence      uint64 `json:"fence"`
	Acked      int    `json:"acked_seq"`
	Wait       int    `json:"wait_ms"`
	Checkpoint string `json:"last_checkpoint"`
}

func (m *minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var o order
	if r.Header.Get("Bronzewinch-Target-Instance") != m.id {
		answer(w, http.StatusMisdirectedRequest, struct{}{})
		return
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	f := m.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if m.gone {
		panic(http.ErrAbortHandler)
	}
	m.checkLease()
	reply := map[string]any{"born": m.born.UnixMilli()}
	respond := func(status int) {
		reply["clock_ms"] = m.clock().Milliseconds()
		answer(w, status, reply)
	}
	if o.Fence < m.fence {
		reply["reason"] = "fence"
		respond(http.StatusConflict)
		return
	}
	m.fence = o.Fence
	switch r.URL.Path {
	case "/hold":
		m.hold(r, o)
		m.list(reply)
		respond(http.StatusOK)
	case "/run-stop":
		m.highest[o.Task] = max(m.highest[o.Task], o.Run)
		if r := m.runs[o.Task]; r != nil && r.number <= o.Run && !r.stopping {
			r.stopping = true
			f.log.run("stop %s run %d on %s", o.Task, o.Run, m.id)
			time.AfterFunc(stopTime, func() {
				f.mu.Lock()
				defer f.mu.Unlock()
				m.finish(r, "stopped")
			})
		}
		respond(http.StatusOK)
	case "/run-start":
		if f.late != nil {
			if d := f.late(m, o); d > 0 {
				f.startLate(m.id, o, d)
				f.mu.Unlock()
				<-r.Context().Done()
				f.mu.Lock()
				panic(http.ErrAbortHandler)
			}
		}
		if reason := m.start(o); reason != "" {
			reply["reason"] = reason
			respond(http.StatusConflict)
			return
		}
		respond(http.StatusOK)
	default:
		respond(http.StatusOK) // pace
	}
}

// startLate carries out a start after a time, at the minion that has the id by then.
func (f *fleet) startLate(id string, o order, after time.Duration) {
	f.log.write("start %s run %d on %s gets no answer; it is carried out in %v", o.Task, o.Run, id, after)
	time.AfterFunc(after, func() {
		m := f.current(id)
		if m == nil {
			return
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		reason := "fence"
		if o.Fence >= m.fence && !m.gone {
			m.fence = o.Fence
			reason = m.start(o)
		}
		if reason == "" {
			reason = "started"
		}
		f.log.write("late start %s run %d on %s: %s", o.Task, o.Run, id, reason)
	})
}

// hold carries out a poll. The lock of the fleet is held, but not while it waits.
func (m *minion) hold(r *http.Request, o order) {
	if o.Deadline > 0 {
		m.extend(o.Deadline)
	}
	left := m.ends[:0]
	for _, e := range m.ends {
		switch {
		case e.seq > o.Acked:
			left = append(left, e)
		case e.how == "done" && !e.lapsed:
			m.fleet.noted[e.task] = true
		}
	}
	m.ends = left
	if o.Wait <= 0 || len(m.ends) > 0 {
		return
	}
	limit := time.NewTimer(time.Duration(o.Wait) * time.Millisecond)
	defer limit.Stop()
	changed := m.changed
	m.fleet.mu.Unlock()
	select {
	case <-changed:
	case <-limit.C:
	case <-r.Context().Done():
	}
	m.fleet.mu.Lock()
	if m.gone {
		panic(http.ErrAbortHandler)
	}
}

func (m *minion) list(reply map[string]any) {
	running, finished := [][]any{}, [][]any{}
	for _, r := range m.runs {
		percent := 0
		if ms := int(r.work.Milliseconds()); ms > 0 {
			percent = 100 * r.progress() / ms
		}
		running = append(running, []any{r.task, r.number, r.checkpoint(false), percent, r.step.CPU})
	}
	for _, e := range m.ends[:min(500, len(m.ends))] {
		finished = append(finished, []any{e.seq, e.task, e.run, e.how, e.saved})
	}
	reply["running"], reply["finished"] = running, finished
}

// start carries out an order to start. It returns the reason if it does not.
func (m *minion) start(o order) string {
	f := m.fleet
	m.extend(o.Deadline)
	if m.clock() >= m.deadline {
		return "late"
	}
	if r := m.runs[o.Task]; r != nil && r.number == o.Run {
		return ""
	}
	if m.runs[o.Task] != nil || o.Run <= m.highest[o.Task] {
		return "old"
	}
	parts := strings.Split(o.Task, ".")
	if len(parts) != 4 {
		return "old"
	}
	n, _ := strconv.Atoi(parts[2])
	index, _ := strconv.Atoi(parts[3])
	steps, ok := f.jobs[parts[0]]
	if !ok || n >= len(steps) {
		f.breakRule("UNASKED %s was started", o.Task)
		return "old"
	}
	st := steps[n]
	cpu, mem, gpu := st.CPU, st.MemMB, st.GPU
	for _, r := range m.runs {
		cpu, mem, gpu = cpu+r.step.CPU, mem+r.step.MemMB, gpu+r.step.GPU
	}
	if cpu > m.cpu || mem > m.memMB || gpu > m.gpu {
		return "room"
	}
	if len(f.running[o.Task]) > 0 {
		f.breakRule("TWICE %s run %d on %s while another run goes on", o.Task, o.Run, m.id)
	}
	if f.noted[o.Task] {
		f.breakRule("TWICE %s run %d on %s after a done end was taken note of", o.Task, o.Run, m.id)
	}
	r := &run{minion: m, task: o.Task, job: parts[0], number: o.Run, step: st, work: st.workOf(index), saved: o.Checkpoint}
	if o.Checkpoint != "" {
		p, _ := strconv.ParseInt(o.Checkpoint, 16, 64)
		r.from, r.restored = int(p), restoreMS*time.Millisecond
	}
	if f.running[o.Task] == nil {
		f.running[o.Task] = make(map[*run]bool)
	}
	f.running[o.Task][r] = true
	m.runs[o.Task] = r
	f.starts++
	f.log.run("start %s run %d on %s", o.Task, o.Run, m.id)
	if !st.Gang {
		m.begin(r)
		return ""
	}
	key := strings.Join(parts[:3], ".") + "/" + strconv.Itoa(o.Run)
	g := f.gangs[key]
	if g == nil {
		g = &gang{size: st.Count}
		f.gangs[key] = g
	}
	r.gang = g
	g.members = append(g.members, r)
	if g.ended {
		m.finish(r, "broken")
		return ""
	}
	if len(g.members) == g.size {
		g.started = true
		for _, o := range g.members {
			o.minion.begin(o)
		}
		return ""
	}
	r.timer = time.AfterFunc(gangWait, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if !g.started && !r.over {
			m.finish(r, "alone")
		}
	})
	return ""
}

// begin lets a run work.
func (m *minion) begin(r *run) {
	if r.timer != nil {
		r.timer.Stop()
	}
	r.began = time.Now()
	left := r.work - time.Duration(r.from)*time.Millisecond + r.restored
	r.timer = time.AfterFunc(left, func() {
		m.fleet.mu.Lock()
		defer m.fleet.mu.Unlock()
		m.finish(r, "done")
	})
}
