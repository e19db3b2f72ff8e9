// Package logaudit checks the decisions in the logs of a deployment on the
// cooperative platform against the invariants of the scheduler.
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

// Invariant names a property that an audit checks.
type Invariant string

// The invariants.
const (
	// RunOnce: no task starts while one of its runs is present, after one of its
	// runs has succeeded, or with a run number that is not higher than all
	// earlier ones. No worker reports a run while another run of its task is
	// present.
	RunOnce Invariant = "once"
	// Attempts: no task starts after it has failed the number of times that its
	// queue allows.
	Attempts Invariant = "attempts"
	// Order: no task starts before all steps that it depends on have succeeded.
	Order Invariant = "order"
	// WholeGang: all members of a gang are started together.
	WholeGang Invariant = "wholeGang"
	// Capacity: the tasks on a worker use no more than its capacity.
	Capacity Invariant = "capacity"
	// Outcome: a job is completed only after all its tasks have succeeded, and
	// none of its tasks starts after the job has ended.
	Outcome Invariant = "outcome"
)

// Invariants lists all invariants.
var Invariants = []Invariant{RunOnce, Attempts, Order, WholeGang, Capacity, Outcome}

// Finding is a decision that violates an invariant.
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
	// Unchecked counts checks and lines that could not be evaluated, by cause.
	Unchecked map[string]int `json:"unchecked"`
}

// Causes of unchecked lines and checks.
const (
	jobUnknown     = "the acceptance of the job is not in the logs"
	workerUnknown  = "the capacity of the worker is not in the logs"
	ownerChanged   = "the owner changed, and its last lines may be lost"
	linesDropped   = "log lines were dropped"
	lineUnreadable = "a line can't be read"
)

// decisionLine is a logged decision with the fence and commit number that order
// it.
type decisionLine struct {
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
	steps       []task.Step
	attempts    int
	occurrences int
	ended       bool
	incomplete  bool // some log lines of the job may be lost
	tasks       map[task.Name]*taskState
}

// taskState is the state of one task, as far as the log shows it.
type taskState struct {
	run      task.RunNumber
	worker   id.Worker // where a run is present, or empty
	done     bool
	failures int
}

type worker struct {
	capacity      unit.Resources
	used          unit.Resources
	capacityKnown bool
}

// Check audits the log lines of all nodes.
func Check(lines []logline.Line) Report {
	a := &auditor{jobs: make(map[id.Job]*job), workers: make(map[id.Worker]*worker),
		report: Report{Checked: make(map[Invariant]int), Unchecked: make(map[string]int), Findings: []Finding{}}}
	for _, l := range a.decisions(lines) {
		if l.fence != a.fence {
			a.startTerm(l.fence)
		}
		a.apply(l)
	}
	a.report.Jobs = len(a.jobs)
	return a.report
}

// decisions returns the decisions in the order in which they were stored. Each
// owner logs its decisions in order, and each new owner has a higher fence.
func (a *auditor) decisions(lines []logline.Line) []decisionLine {
	var all []decisionLine
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
			a.report.Unchecked[lineUnreadable]++
			continue
		}
		all = append(all, decisionLine{l, fence, commit})
	}
	a.report.Decisions = len(all)
	slices.SortStableFunc(all, func(x, y decisionLine) int {
		return cmp.Or(cmp.Compare(x.fence, y.fence), cmp.Compare(x.commit, y.commit))
	})
	return all
}

// startTerm prepares for the decisions of a new owner. The last lines of the
// previous owner may have been lost with its process, so only the runs that the
// new owner restores count as present.
func (a *auditor) startTerm(fence uint64) {
	a.fence = fence
	a.report.Owners++
	if a.report.Owners == 1 {
		return
	}
	for _, j := range a.jobs {
		j.incomplete = j.incomplete || !j.ended
		for _, state := range j.tasks {
			state.worker = ""
		}
	}
	clear(a.workers)
}

func (a *auditor) addFinding(l decisionLine, inv Invariant, jobID id.Job, format string, args ...any) {
	a.report.Findings = append(a.report.Findings, Finding{Time: l.Time, Node: l.Node, Invariant: inv, Job: jobID,
		Reason: fmt.Sprintf(format, args...)})
}

// check counts a check and adds a finding if it failed. If log lines may be
// lost, a failed check counts as unchecked instead.
func (a *auditor) check(l decisionLine, inv Invariant, jobID id.Job, ok, incomplete bool, format string, args ...any) {
	switch {
	case ok:
		a.report.Checked[inv]++
	case incomplete:
		a.report.Unchecked[ownerChanged]++
	default:
		a.report.Checked[inv]++
		a.addFinding(l, inv, jobID, format, args...)
	}
}

func (a *auditor) apply(l decisionLine) {
	switch l.Event {
	case "workerListed":
		a.workerListed(l)
	case "accepted":
		a.jobAccepted(l)
	case "start":
		a.runStarted(l)
	case "restored":
		if j, state, name, run, found := a.lookupTask(l); found {
			state.run, state.worker = max(state.run, run), id.Worker(l.Field("worker"))
			w := a.worker(state.worker)
			w.used = w.used.Plus(j.steps[name.Step].Demand)
		}
	case "ended":
		a.runEnded(l)
	case "stop":
		a.runStopped(l)
	case "completed", "failed", "cancelled":
		a.jobEnded(l)
	}
}

func (a *auditor) worker(name id.Worker) *worker {
	if a.workers[name] == nil {
		a.workers[name] = &worker{}
	}
	return a.workers[name]
}

func (a *auditor) workerListed(l decisionLine) {
	capacity, err := task.ParseResources(l.Field("capacity"))
	if err != nil {
		a.report.Unchecked[lineUnreadable]++
		return
	}
	w := a.worker(id.Worker(l.Field("worker")))
	w.capacity, w.capacityKnown = capacity, true
}

func (a *auditor) jobAccepted(l decisionLine) {
	name := id.Job(l.Field("job"))
	steps, err := task.ParseSteps(l.Field("steps"))
	attempts, err2 := strconv.Atoi(l.Field("attempts"))
	occurrences, err3 := strconv.Atoi(l.Field("occurrences"))
	if err != nil || err2 != nil || err3 != nil {
		a.report.Unchecked[lineUnreadable]++
		return
	}
	a.jobs[name] = &job{steps: steps, attempts: attempts, occurrences: occurrences, tasks: make(map[task.Name]*taskState)}
}

// lookupTask returns the job, the task and the run that a line refers to.
func (a *auditor) lookupTask(l decisionLine) (*job, *taskState, task.Name, task.RunNumber, bool) {
	name, err := task.ParseName(l.Field("task"))
	run, err2 := strconv.ParseUint(l.Field("run"), 10, 32)
	if err != nil || err2 != nil {
		a.report.Unchecked[lineUnreadable]++
		return nil, nil, name, 0, false
	}
	j := a.jobs[name.Job]
	if j == nil || name.Step >= len(j.steps) {
		a.report.Unchecked[jobUnknown]++
		return nil, nil, name, 0, false
	}
	if j.tasks[name] == nil {
		j.tasks[name] = &taskState{}
	}
	return j, j.tasks[name], name, task.RunNumber(run), true
}

func (a *auditor) runStarted(l decisionLine) {
	j, state, name, run, ok := a.lookupTask(l)
	if !ok {
		return
	}
	step := j.steps[name.Step]
	a.check(l, RunOnce, name.Job, run > state.run, false, "run %d of task %s starts after run %d", run, name, state.run)
	a.check(l, RunOnce, name.Job, !state.done, false, "task %s starts after it has succeeded", name)
	a.check(l, RunOnce, name.Job, state.worker == "", false, "task %s starts while its run %d is present on %s", name, state.run, state.worker)
	a.check(l, Outcome, name.Job, !j.ended, false, "task %s starts after its job has ended", name)
	if !step.Service {
		a.check(l, Attempts, name.Job, state.failures < j.attempts, false, "task %s starts after %d failed runs", name, state.failures)
	}
	for _, dependency := range step.After {
		unfinished, done := j.unfinishedTask(dependency, name.Occurrence)
		a.check(l, Order, name.Job, done, j.incomplete, "task %s starts before task %s is done", name, unfinished)
	}
	if state.worker != "" {
		a.worker(state.worker).used = a.worker(state.worker).used.Minus(step.Demand)
	}
	state.run, state.worker = run, id.Worker(l.Field("worker"))
	w := a.worker(state.worker)
	w.used = w.used.Plus(step.Demand)
	if !w.capacityKnown {
		a.report.Unchecked[workerUnknown]++
	} else {
		a.check(l, Capacity, name.Job, w.used.Fits(w.capacity), false, "worker %s uses %v of its capacity %v", state.worker, w.used, w.capacity)
	}
	if step.Gang && name.Index == step.Tasks-1 {
		a.checkWholeGang(l, j, name, run)
	}
}

// checkWholeGang checks that all members of a gang have been started when its
// last member starts.
func (a *auditor) checkWholeGang(l decisionLine, j *job, last task.Name, run task.RunNumber) {
	complete := true
	for i := range j.steps[last.Step].Tasks {
		n := last
		n.Index = i
		complete = complete && j.tasks[n] != nil && j.tasks[n].run == run && j.tasks[n].worker != ""
	}
	a.check(l, WholeGang, last.Job, complete, false, "run %d of step %d starts without all members", run, last.Step)
}

// unfinishedTask returns an unfinished task of a step, if one was logged, and
// whether the step is done.
func (j *job) unfinishedTask(step, occurrence int) (task.Name, bool) {
	var unfinished task.Name
	done := 0
	for name, state := range j.tasks {
		if name.Step != step || name.Occurrence != occurrence {
			continue
		}
		if state.done {
			done++
		} else {
			unfinished = name
		}
	}
	if j.steps[step].Gang && done > 0 {
		return unfinished, true // the success of one member counts for all
	}
	return unfinished, done == j.steps[step].Tasks
}

func (a *auditor) runEnded(l decisionLine) {
	j, state, name, run, ok := a.lookupTask(l)
	if !ok {
		return
	}
	reason, _, _ := strings.Cut(l.Field("reason"), ":")
	if state.worker != "" && run == state.run {
		w := a.worker(state.worker)
		w.used = w.used.Minus(j.steps[name.Step].Demand)
		state.worker = ""
	}
	state.run = max(state.run, run)
	switch task.EndReason(reason) {
	case task.EndDone:
		state.done = !j.steps[name.Step].Service
	case task.EndFailed:
		state.failures++
	}
}

// runStopped checks a run that a worker reported without a record: no other run of
// its task may be in progress.
func (a *auditor) runStopped(l decisionLine) {
	other := l.Field("recordedWorker")
	if other == "" {
		return
	}
	if _, _, name, run, ok := a.lookupTask(l); ok {
		a.check(l, RunOnce, name.Job, false, false, "run %d of task %s is active on %s while run %s is present on %s", run, name,
			l.Field("worker"), l.Field("recordedRun"), other)
	}
}

func (a *auditor) jobEnded(l decisionLine) {
	name := id.Job(l.Field("job"))
	j := a.jobs[name]
	if j == nil {
		a.report.Unchecked[jobUnknown]++
		return
	}
	a.check(l, Outcome, name, !j.ended, false, "the job is %s after it has ended", l.Event)
	j.ended = true
	if l.Event != string(task.Completed) {
		return
	}
	for occurrence := range j.occurrences {
		for step := range j.steps {
			unfinished, done := j.unfinishedTask(step, occurrence)
			a.check(l, Outcome, name, done, j.incomplete, "the job is completed and step %d of occurrence %d is not done (task %s)",
				step, occurrence, unfinished)
		}
	}
}
