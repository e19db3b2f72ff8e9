package planner_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/planner"
	"bronzewinch.dev/lib/predict"
	"bronzewinch.dev/lib/task"
	"bronzewinch.dev/lib/unit"

	"github.com/matryer/is"
)

// givenEstimates expects what submitters estimate.
type givenEstimates struct{ planner.RunTimes }

func (givenEstimates) Predict(s predict.Subject) predict.Prediction {
	return predict.Prediction{Median: s.Estimate}
}

// queueRatio expects the estimate times the geometric mean of the ratios of the run times to
// the estimates of all runs so far.
type queueRatio struct {
	planner.RunTimes
	log  float64
	runs int
}

func (q *queueRatio) Add(r predict.Run) {
	q.runs++
	q.log += max(0.1, 1/float64(q.runs)) * (math.Log(r.Took.Seconds()/r.Estimate.Seconds()) - q.log)
	q.RunTimes.Add(r)
}

func (q *queueRatio) Predict(s predict.Subject) predict.Prediction {
	return predict.Prediction{Median: time.Duration(math.Exp(q.log) * float64(s.Estimate))}
}

// perfect expects the true run times, which the estimates of the jobs are not.
type perfect struct {
	planner.RunTimes
	times map[time.Duration]time.Duration // by the estimate
}

func (p perfect) Predict(s predict.Subject) predict.Prediction {
	return predict.Prediction{Median: p.times[s.Estimate]}
}

// playMisestimatedLoad plays an overload of short and long jobs of two shapes, whose estimates say
// nothing, and returns the share of them that meet their objective once there was time to
// learn. Short jobs are most of the jobs, and long ones most of the work.
func playMisestimatedLoad(t *testing.T, seed uint64, runTimes planner.RunTimes, times map[time.Duration]time.Duration) float64 {
	t.Helper()
	s := newSimWithRunTimes(t, seed, 12, runTimes)
	s.runTimes = make(map[id.Job]time.Duration)
	const duration, learning = 120 * time.Second, 40 * time.Second
	begin, n, counted := s.now, 0, make(map[id.Job]time.Time)
	for s.now.Sub(begin) < duration {
		short := s.random.IntN(4) > 0
		step := task.Step{Tasks: 1, Demand: unit.Resources{Accelerators: 8, Cores: unit.Core},
			Estimate: time.Duration(200+s.random.IntN(40000))*time.Millisecond + time.Duration(n)}
		took := time.Duration(8000+s.random.IntN(2000)) * time.Millisecond
		if short {
			step.Demand.Cores, took = 16*unit.Core, time.Duration(900+s.random.IntN(200))*time.Millisecond
		}
		n++
		j := singleStepJob(n, step)
		s.runTimes[j.ID] = took
		times[step.Estimate] = took
		if s.now.Sub(begin) > learning {
			counted[j.ID] = s.now
		}
		s.submit(j, 1)
		s.advance(time.Duration(50+s.random.IntN(400)) * time.Millisecond)
	}
	s.advance(time.Minute)
	met := 0
	for name, at := range counted {
		if end, ok := s.endedAt[name]; ok && end.Sub(at) <= 3*s.runTimes[name]+250*time.Millisecond {
			met++
		}
	}
	return float64(met) / float64(len(counted))
}

// TestExpectedRunTimesOrderWork guards against short jobs that wait behind long ones because
// of wrong estimates, on a load that no order serves whole.
func TestExpectedRunTimesOrderWork(t *testing.T) {
	is := is.New(t)
	var learned, given, ratio, oracle float64
	const seeds = 4
	for seed := range uint64(seeds) {
		times := make(map[time.Duration]time.Duration)
		learned += playMisestimatedLoad(t, seed, predict.New(), times) / seeds
		given += playMisestimatedLoad(t, seed, givenEstimates{predict.New()}, times) / seeds
		ratio += playMisestimatedLoad(t, seed, &queueRatio{RunTimes: predict.New()}, times) / seeds
		oracle += playMisestimatedLoad(t, seed, perfect{predict.New(), times}, times) / seeds
	}
	t.Logf("objectives met: %.3f with learned run times, %.3f with the estimates, %.3f with their mean ratio, %.3f with the true ones",
		learned, given, ratio, oracle)
	is.True(learned > given+0.05)
	is.True(learned > oracle-0.05)
}

// TestRunWithoutExpectationIsNotStopped guards against long runs of which nothing is known
// and that are stopped for good before their first progress can show.
func TestRunWithoutExpectationIsNotStopped(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 2)
	o := submitAndPlan(s, singleStepJob(1, task.Step{Tasks: 1}), 1)[0]
	s.planner.HandleOrderResult(s.now, o, planner.Accepted)
	stops := 0
	for start := s.now; s.now.Sub(start) < time.Hour; {
		s.now = s.now.Add(2 * time.Second)
		percent := task.Percent(s.now.Sub(start) * 100 / (time.Hour))
		s.planner.HandleReport(s.now, s.now, task.Report{Worker: o.Worker, Incarnation: 1,
			Active: []task.ActiveRun{{Task: o.Task, Run: o.Run, Percent: percent}}})
		for _, order := range s.planner.TakeChanges().Orders {
			if order.Kind == planner.Stop {
				stops++
			}
		}
	}
	is.Equal(stops, 0)
}

// TestStallTimeoutGrows guards against a task that is stopped for stalling on each worker,
// as it runs for much longer than expected.
func TestStallTimeoutGrows(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 8)
	orders := submitAndPlan(s, singleStepJob(1, task.Step{Tasks: 1, Estimate: time.Second}), 1)
	runs := 0
	for begin := s.now; s.now.Sub(begin) < 20*time.Minute && runs < 20; {
		for _, o := range orders {
			if o.Kind == planner.Stop {
				s.planner.HandleReport(s.now, s.now, task.Report{Worker: o.Worker, Incarnation: 1,
					Ends: []task.EndedRun{{Seq: task.EndSeq(runs), Task: o.Task, Run: o.Run, Reason: task.EndStopped}}})
				continue
			}
			runs++
			s.planner.HandleOrderResult(s.now, o, planner.Accepted)
			s.lastWorker[o.Task] = o.Worker
		}
		s.now = s.now.Add(time.Second)
		name := task.Name{Job: id.Job(fmt.Sprintf("%016x", 1))}
		s.planner.RecordLeaseGrant(s.lastWorker[name], s.now)
		s.planner.HandleReport(s.now, s.now, task.Report{Worker: s.lastWorker[name], Incarnation: 1,
			Active: []task.ActiveRun{{Task: name, Run: task.RunNumber(runs)}}})
		s.planner.Tick(s.now)
		s.planner.Plan(s.now)
		orders = s.planner.TakeChanges().Orders
	}
	is.True(runs < 12) // each waits twice as long as the one before
}
