// Package logaudit checks the decisions that the nodes of a deployment on the
// cooperative platform have logged against what the scheduler promises.
package logaudit

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/logline"
	"bronzewinch.dev/lib/task"
	"bronzewinch.dev/lib/unit"
)

// Invariant names what is checked.
type Invariant string

// The invariants.
const (
	// RunOnce: no task starts while a run of it is present, after a run of it is
	// done, or under a number that does not rise.
	RunOnce Invariant = "once"
	// Attempts: no task starts after it has failed as often as its queue allows.
	Attempts Invariant = "attempts"
	// Order: no task starts before all steps that it depends on are done.
	Order Invariant = "order"
	// WholeGang: all members of a gang are started together.
	WholeGang Invariant = "wholeGang"
	// Capacity: no worker is given more than it has.
	Capacity Invariant = "capacity"
	// Outcome: a job is completed only when all its tasks are done, and nothing
	// of it starts afterwards.
	Outcome Invariant = "outcome"
)

// Invariants lists all invariants.
var Invariants = []Invariant{RunOnce, Attempts, Order, WholeGang, Capacity, Outcome}

// Finding is a decision that breaks an invariant.
type Finding struct {
	Time      time.Time `json:"time"`
	Node      string    `json:"node"`
	Invariant Invariant `json:"promise"`
	Job       id.Job    `json:"job"`
	Reason    string    `json:"reason"`
}

// Report is the result of an audit.
type Report struct {
	Decisions int               `json:"decisions"`
	Jobs      int               `json:"jobs"`
	Owners    int               `json:"owners"`
	Checked   map[Invariant]int `json:"checked"`
	Findings  []Finding         `json:"findings"`
	// Unchecked counts what could not be checked, by its cause.
	Unchecked map[string]int `json:"unchecked"`
}

// Causes for which something can't be checked.
const (
	jobUnknown    = "the acceptance of the job is not in the logs"
	workerUnknown = "the capacity of the worker is not in the logs"
	ownerChanged  = "the owner changed, and its last lines may be lost"
	linesDropped  = "log lines were dropped"
	lineUnread    = "a line can't be read"
)

// line is a decision with the order in which it was taken.
type line struct {
	logline.Line
	fence, commit uint64
}

// auditor is the state of an audit.
type auditor struct {
	report  Report
	jobs    map[id.Job]*job
	workers map[id.Worker]*worker
	fence   uint64
}

type job struct {
	steps    []task.Step
	attempts int
	times    int // occurrences
	over     bool
	doubtful bool // lines about the job may be lost
	tasks    map[task.Name]*member
}

// member is what is known of one task.
type member struct {
	run      task.RunNumber
	worker   id.Worker // where the run is present, or empty
	done     bool
	failures int
}

type worker struct {
	capacity unit.Resources
	used     unit.Resources
	known    bool
}

// Check audits the lines of all nodes.
func Check(lines []logline.Line) Report {
	a := &auditor{jobs: make(map[id.Job]*job), workers: make(map[id.Worker]*worker),
		report: Report{Checked: make(map[Invariant]int), Unchecked: make(map[string]int), Findings: []Finding{}}}
	for _, l := range a.decisions(lines) {
		if l.fence != a.fence {
			a.changeOwner(l.fence)
		}
		a.take(l)
	}
	a.report.Jobs = len(a.jobs)
	return a.report
}

// decisions returns the decisions in the order in which they were stored. One
// owner logs its decisions in order, and fences rise from owner to owner.
func (a *auditor) decisions(lines []logline.Line) []line {
	var all []line
	for _, l := range lines {
		if l.Event == "dropped" {
			a.report.Unchecked[linesDropped]++
		}
		if l.Message != "decision" {
			continue
		}
		fence, err := strconv.ParseUint(l.Field("fence"), 10, 64)
		commit, err2 := strconv.ParseUint(l.Field("commit"), 10, 64)
		if err != nil || err2 != nil {
			a.report.Unchecked[lineUnread]++
			continue
		}
		all = append(all, line{l, fence, commit})
	}
	a.report.Decisions = len(all)
	slices.SortStableFunc(all, func(x, y line) int {
		return cmp.Or(cmp.Compare(x.fence, y.fence), cmp.Compare(x.commit, y.commit))
	})
	return all
}

// changeOwner begins the decisions of a new owner. The last lines of the earlier
// one may be lost with its process, so what runs is what the new one restores.
func (a *auditor) changeOwner(fence uint64) {
	a.fence = fence
	a.report.Owners++
	if a.report.Owners == 1 {
		return
	}
	for _, j := range a.jobs {
		j.doubtful = j.doubtful || !j.over
		for _, m := range j.tasks {
			m.worker = ""
		}
	}
	clear(a.workers)
}

func (a *auditor) find(l line, p Invariant, name id.Job, format string, args ...any) {
	a.report.Findings = append(a.report.Findings, Finding{Time: l.Time, Node: l.Node, Invariant: p, Job: name,
		Reason: fmt.Sprintf(format, args...)})
}

// check counts a check, and notes a finding if it fails. Where lines may be
// lost, a failure only counts as unchecked.
func (a *auditor) check(l line, p Invariant, name id.Job, kept, doubtful bool, format string, args ...any) {
	switch {
	case kept:
		a.report.Checked[p]++
	case doubtful:
		a.report.Unchecked[ownerChanged]++
	default:
		a.report.Checked[p]++
		a.find(l, p, name, format, args...)
	}
}

func (a *auditor) take(l line) {
	switch l.Event {
	case "workerListed":
		a.listed(l)
	case "accepted":
		a.accepted(l)
	case "start":
		a.started(l)
	case "restored":
		if j, m, name, run, ok := a.member(l); ok {
			m.run, m.worker = max(m.run, run), id.Worker(l.Field("worker"))
			w := a.worker(m.worker)
			w.used = w.used.Plus(j.steps[name.Step].Demand)
		}
	case "ended":
		a.ended(l)
	case "completed", "failed", "cancelled":
		a.over(l)
	}
}

func (a *auditor) worker(name id.Worker) *worker {
	if a.workers[name] == nil {
		a.workers[name] = &worker{}
	}
	return a.workers[name]
}

func (a *auditor) listed(l line) {
	capacity, err := task.ParseResources(l.Field("capacity"))
	if err != nil {
		a.report.Unchecked[lineUnread]++
		return
	}
	w := a.worker(id.Worker(l.Field("worker")))
	w.capacity, w.known = capacity, true
}

func (a *auditor) accepted(l line) {
	name := id.Job(l.Field("job"))
	steps, err := task.ParseSteps(l.Field("steps"))
	attempts, err2 := strconv.Atoi(l.Field("attempts"))
	times, err3 := strconv.Atoi(l.Field("occurrences"))
	if err != nil || err2 != nil || err3 != nil {
		a.report.Unchecked[lineUnread]++
		return
	}
	a.jobs[name] = &job{steps: steps, attempts: attempts, times: times, tasks: make(map[task.Name]*member)}
}

// member returns the job and the task that a line is about, and the run.
func (a *auditor) member(l line) (*job, *member, task.Name, task.RunNumber, bool) {
	name, err := task.ParseName(l.Field("task"))
	run, err2 := strconv.ParseUint(l.Field("run"), 10, 32)
	if err != nil || err2 != nil {
		a.report.Unchecked[lineUnread]++
		return nil, nil, name, 0, false
	}
	j := a.jobs[name.Job]
	if j == nil || name.Step >= len(j.steps) {
		a.report.Unchecked[jobUnknown]++
		return nil, nil, name, 0, false
	}
	if j.tasks[name] == nil {
		j.tasks[name] = &member{}
	}
	return j, j.tasks[name], name, task.RunNumber(run), true
}

func (a *auditor) started(l line) {
	j, m, name, run, ok := a.member(l)
	if !ok {
		return
	}
	step := j.steps[name.Step]
	a.check(l, RunOnce, name.Job, run > m.run, false, "run %d of task %s starts after run %d", run, name, m.run)
	a.check(l, RunOnce, name.Job, !m.done, false, "task %s starts and is done", name)
	a.check(l, RunOnce, name.Job, m.worker == "", false, "task %s starts while its run %d is present on %s", name, m.run, m.worker)
	a.check(l, Outcome, name.Job, !j.over, false, "task %s starts after its job has ended", name)
	if !step.Service {
		a.check(l, Attempts, name.Job, m.failures < j.attempts, false, "task %s starts after %d failed runs", name, m.failures)
	}
	for _, before := range step.After {
		missing, kept := j.missing(before, name.Occurrence)
		a.check(l, Order, name.Job, kept, j.doubtful, "task %s starts before task %s is done", name, missing)
	}
	if m.worker != "" {
		a.worker(m.worker).used = a.worker(m.worker).used.Minus(step.Demand)
	}
	m.run, m.worker = run, id.Worker(l.Field("worker"))
	w := a.worker(m.worker)
	w.used = w.used.Plus(step.Demand)
	if !w.known {
		a.report.Unchecked[workerUnknown]++
	} else {
		a.check(l, Capacity, name.Job, w.used.Fits(w.capacity), false, "worker %s holds %v of %v", m.worker, w.used, w.capacity)
	}
	if step.Gang && name.Index == step.Tasks-1 {
		a.wholeGang(l, j, name, run)
	}
}

// wholeGang checks that all members of a gang were started with its last one.
func (a *auditor) wholeGang(l line, j *job, last task.Name, run task.RunNumber) {
	kept := true
	for i := range j.steps[last.Step].Tasks {
		n := last
		n.Index = i
		kept = kept && j.tasks[n] != nil && j.tasks[n].run == run && j.tasks[n].worker != ""
	}
	a.check(l, WholeGang, last.Job, kept, false, "run %d of step %d starts without all members", run, last.Step)
}

// missing returns a task of a step that is not done, if there is one.
func (j *job) missing(step, occurrence int) (task.Name, bool) {
	var first task.Name
	done := 0
	for name, m := range j.tasks {
		if name.Step != step || name.Occurrence != occurrence {
			continue
		}
		if m.done {
			done++
		} else {
			first = name
		}
	}
	if j.steps[step].Gang && done > 0 {
		return first, true // one end stands for all members
	}
	return first, done == j.steps[step].Tasks
}

func (a *auditor) ended(l line) {
	j, m, name, run, ok := a.member(l)
	if !ok {
		return
	}
	how, _, _ := strings.Cut(l.Field("reason"), ":")
	if m.worker != "" && run == m.run {
		w := a.worker(m.worker)
		w.used = w.used.Minus(j.steps[name.Step].Demand)
		m.worker = ""
	}
	m.run = max(m.run, run)
	switch task.EndReason(how) {
	case task.EndDone:
		m.done = !j.steps[name.Step].Service
	case task.EndFailed:
		m.failures++
	}
}

func (a *auditor) over(l line) {
	name := id.Job(l.Field("job"))
	j := a.jobs[name]
	if j == nil {
		a.report.Unchecked[jobUnknown]++
		return
	}
	a.check(l, Outcome, name, !j.over, false, "the job is %s after its end", l.Event)
	j.over = true
	if l.Event != string(task.Completed) {
		return
	}
	for occurrence := range j.times {
		for step := range j.steps {
			missing, kept := j.missing(step, occurrence)
			a.check(l, Outcome, name, kept, j.doubtful, "the job is completed and step %d of occurrence %d is not done (task %s)",
				step, occurrence, missing)
		}
	}
}
