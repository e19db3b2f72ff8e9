package predict_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/predict"
	"bronzewinch.dev/lib/task"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// load is a stream of runs whose run times and estimates vary by given factors.
type load struct {
	random *rand.Rand
	median time.Duration
	// spread and estimateSpread are the standard deviations of the logarithms of the run
	// time and of the estimate against it.
	spread, estimateSpread float64
	bias                   float64 // of the estimates
	account                id.Account
}

func newLoad(seed uint64, median time.Duration, spread, estimateSpread, bias float64) *load {
	return &load{random: rand.New(rand.NewPCG(seed, 1)), median: median, spread: spread, estimateSpread: estimateSpread, bias: bias, account: "a"}
}

func (l *load) next() predict.Run {
	took := time.Duration(float64(l.median) * math.Exp(l.spread*l.random.NormFloat64()))
	estimate := time.Duration(float64(took) * l.bias * math.Exp(l.estimateSpread*l.random.NormFloat64()))
	return predict.Run{Subject: predict.Subject{Queue: "q", Account: l.account, Estimate: estimate}, Took: took, Tasks: 1}
}

// errorFactor returns by which factor a prediction is off.
func errorFactor(p predict.Prediction, took time.Duration) float64 {
	return math.Exp(math.Abs(math.Log(float64(p.Median) / float64(took))))
}

// learn lets a predictor learn from a number of runs, and returns the median error factors
// over the last half of them: of the predictor and of the estimates as given.
func learn(p *predict.Predictor, l *load, runs int) (predicted, given float64) {
	var a, b []float64
	for n := range runs {
		r := l.next()
		if n >= runs/2 {
			a = append(a, errorFactor(p.Predict(r.Subject), r.Took))
			b = append(b, errorFactor(predict.Prediction{Median: r.Estimate}, r.Took))
		}
		p.Add(r)
	}
	slices.Sort(a)
	slices.Sort(b)
	return a[len(a)/2], b[len(b)/2]
}

// TestErrors guards against expectations that are worse than both the submitters' estimates
// and the run times of earlier runs, for good, bad, biased and random estimates.
func TestErrors(t *testing.T) {
	for _, test := range []struct {
		name  string
		load  *load
		limit float64 // of the median error factor
	}{
		{"good estimates, run times vary", newLoad(1, 5*time.Second, 1, 0.1, 1), 1.15},
		{"estimates too low by a factor", newLoad(2, 5*time.Second, 1, 0.1, 0.2), 1.15},
		{"random estimates, similar run times", newLoad(3, 5*time.Second, 0.2, 1, 1), 1.2},
		{"both vary", newLoad(4, 5*time.Second, 0.5, 0.5, 1), 1.5},
	} {
		t.Run(test.name, func(t *testing.T) {
			predicted, given := learn(predict.New(), test.load, 400)
			t.Logf("median error factor %.2f, of the estimates %.2f", predicted, given)
			is.New(t).True(predicted <= test.limit)
			is.New(t).True(predicted <= given*1.1)
		})
	}
}

// TestGamedEstimates guards against an account that gets ahead of others by estimates that
// it varies at will: its expected run times must not follow them.
func TestGamedEstimates(t *testing.T) {
	is := is.New(t)
	p := predict.New()
	l := newLoad(5, 10*time.Second, 0.1, 0, 1)
	for n := range 200 {
		r := l.next()
		r.Estimate = time.Duration(1+n%50) * 100 * time.Millisecond
		p.Add(r)
	}
	low := p.Predict(predict.Subject{Queue: "q", Account: "a", Estimate: time.Millisecond})
	is.True(low.Median > 8*time.Second)
	is.True(!low.Relative)
}

// TestDriftIsFollowed guards against expectations that rest on runs of long ago.
func TestDriftIsFollowed(t *testing.T) {
	is := is.New(t)
	p := predict.New()
	learn(p, newLoad(6, 2*time.Second, 0.1, 1, 1), 2000)
	learn(p, newLoad(7, 20*time.Second, 0.1, 1, 1), 100)
	got := p.Predict(predict.Subject{Queue: "q", Account: "a"}).Median
	is.True(got > 15*time.Second)
}

// TestFewRunsUseWiderGroups guards against an expectation from a single run, and against
// none for an account or a queue that is new.
func TestFewRunsUseWiderGroups(t *testing.T) {
	is := is.New(t)
	p := predict.New()
	is.Equal(p.Predict(predict.Subject{Queue: "q"}), predict.Prediction{Level: predict.All + 1})
	given := p.Predict(predict.Subject{Queue: "q", Estimate: time.Second})
	is.Equal(given.Median, time.Second)
	is.True(given.High > 5*given.Median) // a guess
	learn(p, newLoad(8, 4*time.Second, 0.1, 1, 1), 100)
	is.Equal(p.Predict(predict.Subject{Queue: "q", Account: "a"}).Level, predict.QueueAccountShape)
	is.Equal(p.Predict(predict.Subject{Queue: "q", Account: "new"}).Level, predict.QueueShape)
	is.Equal(p.Predict(predict.Subject{Queue: "q", Account: "a", Shape: predict.Shape{Gang: true}}).Level, predict.QueueAccount)
	is.Equal(p.Predict(predict.Subject{Queue: "q", Account: "new", Shape: predict.Shape{Gang: true}}).Level, predict.Queue)
	is.Equal(p.Predict(predict.Subject{Queue: "new"}).Level, predict.All)
	p.Add(predict.Run{Subject: predict.Subject{Queue: "q", Account: "new"}, Took: time.Hour, Tasks: 1})
	is.True(p.Predict(predict.Subject{Queue: "q", Account: "new"}).Median < 10*time.Second)
}

// TestTasksOfOneStepCountOnce guards against a large step that outweighs all others.
func TestTasksOfOneStepCountOnce(t *testing.T) {
	is := is.New(t)
	p := predict.New()
	learn(p, newLoad(9, time.Second, 0.1, 1, 1), 50)
	for range 1000 {
		p.Add(predict.Run{Subject: predict.Subject{Queue: "q", Account: "a"}, Took: time.Hour, Tasks: 1000})
	}
	is.True(p.Predict(predict.Subject{Queue: "q", Account: "a"}).Median < 2*time.Second)
}

// TestSizeIsBounded guards against state that grows with the number of queues and accounts,
// and against a snapshot that exceeds what the store takes.
func TestSizeIsBounded(t *testing.T) {
	is := is.New(t)
	p := predict.New()
	l := newLoad(10, time.Second, 2, 2, 1)
	for n := range 20000 {
		r := l.next()
		r.Queue, r.Account = task.QueueName(fmt.Sprint("q", n%300)), id.Account(fmt.Sprint("a", n%70))
		p.Add(r)
	}
	b, err := p.Snapshot()
	is.NoErr(err)
	t.Logf("snapshot of %d bytes", len(b))
	is.True(len(b) < 64<<10)
}

// TestSnapshot guards against a new owner that expects something else than the one before,
// and against a snapshot that can't be read and ends a term.
func TestSnapshot(t *testing.T) {
	is := is.New(t)
	p, next := predict.New(), predict.New()
	l := newLoad(11, 3*time.Second, 0.3, 0.5, 2)
	learn(p, l, 200)
	b, err := p.Snapshot()
	is.NoErr(err)
	is.NoErr(next.Restore(b))
	subject := l.next().Subject
	got, want := next.Predict(subject), p.Predict(subject)
	is.True(math.Abs(got.Steps-want.Steps) < 1e-6) // the order of the sum of the weights differs
	got.Steps = want.Steps
	is.Equal(got, want)
	learn(next, l, 10) // it goes on
	for n := range len(b) {
		broken := slices.Clone(b)
		broken[n] ^= 0x55
		if err := next.Restore(broken); err == nil {
			next.Predict(subject)
			next.Add(l.next())
		}
	}
	is.True(next.Restore([]byte("not a snapshot")) != nil)
	is.True(next.Restore(nil) != nil)
}

// TestPredictionsAreBounded guards against percentiles that overflow, for estimates of
// any size and for runs that took far longer than their estimate.
func TestPredictionsAreBounded(t *testing.T) {
	is := is.New(t)
	p := predict.New()
	for _, runs := range []int{0, 16} {
		for n := range runs {
			p.Add(predict.Run{Subject: predict.Subject{Queue: "q", Estimate: 1}, Took: time.Second + time.Duration(n)})
		}
		for _, estimate := range []time.Duration{time.Second, math.MaxInt64 / 5, math.MaxInt64} {
			got := p.Predict(predict.Subject{Queue: "q", Estimate: estimate})
			is.True(got.Low > 0 && got.Low <= got.Median && got.Median <= got.High)
		}
	}
}

// TestPredictionsAreOrdered guards against percentiles out of order or not positive.
func TestPredictionsAreOrdered(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := predict.New()
		durations := rapid.Int64Range(1, int64(1000*time.Hour))
		for range rapid.IntRange(0, 30).Draw(t, "runs") {
			p.Add(predict.Run{Subject: predict.Subject{Queue: "q", Estimate: time.Duration(durations.Draw(t, "estimate"))},
				Took: time.Duration(durations.Draw(t, "took")), Tasks: rapid.IntRange(0, 100).Draw(t, "tasks")})
		}
		got := p.Predict(predict.Subject{Queue: "q", Estimate: time.Duration(durations.Draw(t, "asked"))})
		if got.Low > got.Median || got.Median > got.High || got.Median < 0 {
			t.Fatalf("%+v", got)
		}
	})
}
