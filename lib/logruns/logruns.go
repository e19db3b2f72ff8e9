// Package logruns compares, from the decisions in the logs of a deployment on the
// cooperative platform, the run times of tasks with what was expected of them.
package logruns

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/logline"
	"bronzewinch.dev/lib/predict"
	"bronzewinch.dev/lib/task"
)

// Factor is by which factor an expected run time is off: 2 means twice or half as long.
type Factor float64

// Errors are the errors of a number of expected run times.
type Errors struct {
	Runs   int    `json:"runs"`
	Median Factor `json:"median"`
	P90    Factor `json:"p90"`
}

// Queue tells what is expected of the runs of a queue, and how good that was.
type Queue struct {
	Name task.QueueName `json:"name"`
	// Low, Median and High are what is expected of a run without an estimate at the end of
	// the logs, and Steps the weight of the steps that it rests on.
	Low    time.Duration `json:"low"`
	Median time.Duration `json:"median"`
	High   time.Duration `json:"high"`
	Steps  float64       `json:"steps"`
	// Expected are the errors of what the owners expected when the runs started.
	Expected Errors `json:"expected"`
	// Estimate and Ratio are the errors that the submitters' estimates had, and those of
	// the estimates times the mean ratio of earlier runs of the queue.
	Estimate Errors `json:"estimate"`
	Ratio    Errors `json:"ratio"`
}

// run is a run that has ended as done.
type run struct {
	at             time.Time
	queue          task.QueueName
	subject        predict.Subject
	tasks          int
	took, expected time.Duration
}

// Compare compares the runs in the logs of all nodes. Runs from a checkpoint and those that
// an owner found running have no expected run time in the logs, and are left out.
func Compare(lines []logline.Line) []Queue {
	runs := completedRuns(lines)
	slices.SortStableFunc(runs, func(a, b run) int { return a.at.Compare(b.at) })
	predictor := predict.New()
	factors := make(map[task.QueueName]*[3][]Factor)
	ratios := make(map[task.QueueName]*meanRatio)
	for _, r := range runs {
		if factors[r.queue] == nil {
			factors[r.queue], ratios[r.queue] = &[3][]Factor{}, &meanRatio{}
		}
		f, ratio := factors[r.queue], ratios[r.queue]
		for i, expected := range []time.Duration{r.expected, r.subject.Estimate, ratio.expect(r.subject.Estimate)} {
			if expected > 0 {
				f[i] = append(f[i], offBy(expected, r.took))
			}
		}
		ratio.add(r.took, r.subject.Estimate)
		predictor.Add(predict.Run{Subject: r.subject, Took: r.took, Tasks: r.tasks})
	}
	var all []Queue
	for _, name := range slices.Sorted(maps.Keys(factors)) {
		now := predictor.Predict(predict.Subject{Queue: name})
		f := factors[name]
		all = append(all, Queue{Name: name, Low: now.Low, Median: now.Median, High: now.High, Steps: now.Steps,
			Expected: errorsOf(f[0]), Estimate: errorsOf(f[1]), Ratio: errorsOf(f[2])})
	}
	return all
}

func offBy(expected, took time.Duration) Factor {
	return Factor(math.Exp(math.Abs(math.Log(expected.Seconds() / took.Seconds()))))
}

func errorsOf(f []Factor) Errors {
	if len(f) == 0 {
		return Errors{}
	}
	slices.Sort(f)
	return Errors{Runs: len(f), Median: f[len(f)/2], P90: f[len(f)*9/10]}
}

// meanRatio is the moving geometric mean of the ratios of run times to estimates.
type meanRatio struct {
	log  float64
	runs int
}

// minRatioWeight is the least weight of the newest run in the mean.
const minRatioWeight = 0.1

func (m *meanRatio) expect(estimate time.Duration) time.Duration {
	return time.Duration(math.Exp(m.log) * float64(estimate))
}

func (m *meanRatio) add(took, estimate time.Duration) {
	if estimate > 0 {
		m.runs++
		m.log += max(minRatioWeight, 1/float64(m.runs+1)) * (math.Log(took.Seconds()/estimate.Seconds()) - m.log)
	}
}

// job is an accepted job.
type job struct {
	queue   task.QueueName
	account id.Account
	steps   []task.Step
}

func completedRuns(lines []logline.Line) []run {
	jobs := make(map[string]job)
	for _, l := range lines {
		if l.Event != "accepted" {
			continue
		}
		if steps, err := task.ParseSteps(l.Field("steps")); err == nil {
			jobs[l.Field("job")] = job{task.QueueName(l.Field("reason")), id.Account(l.Field("account")), steps}
		}
	}
	var runs []run
	gangs := make(map[string]bool) // gang runs of which a member has been counted
	for _, l := range lines {
		if l.Event != "ended" || !strings.HasPrefix(l.Field("reason"), string(task.EndDone)+":") {
			continue
		}
		j, known := jobs[l.Field("job")]
		name, err := task.ParseName(l.Field("task"))
		took, expected := milliseconds(l, "ageMs"), milliseconds(l, "expectedMs")
		if !known || err != nil || name.Step >= len(j.steps) || took <= 0 || expected <= 0 {
			continue
		}
		s := j.steps[name.Step]
		r := run{at: l.Time, queue: j.queue, tasks: s.Tasks, took: took, expected: expected,
			subject: predict.Subject{Queue: j.queue, Account: j.account, Shape: predict.ShapeOf(s), Estimate: s.Estimate}}
		if s.Gang {
			r.tasks, name.Index = 1, 0
			if key := name.String() + "/" + l.Field("run"); gangs[key] {
				continue
			} else {
				gangs[key] = true
			}
		}
		runs = append(runs, r)
	}
	return runs
}

func milliseconds(l logline.Line, field string) time.Duration {
	ms, err := strconv.ParseInt(l.Field(field), 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// Worst returns the queue with the largest median error of what was expected.
func Worst(all []Queue) (Queue, bool) {
	if len(all) == 0 {
		return Queue{}, false
	}
	return slices.MaxFunc(all, func(a, b Queue) int { return cmp.Compare(a.Expected.Median, b.Expected.Median) }), true
}
