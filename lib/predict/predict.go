// Package predict expects the run times of tasks from finished runs. It has no network and
// no clock. It answers estimates that are missing, wrong by factors, or chosen to get ahead
// of others.
package predict

import (
	"math"
	"math/bits"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/task"
	"bronzewinch.dev/lib/unit"

	"github.com/DataDog/sketches-go/ddsketch"
	"github.com/DataDog/sketches-go/ddsketch/mapping"
	"github.com/DataDog/sketches-go/ddsketch/store"
)

// Shape is the part of a step's description by which its run times are grouped.
type Shape struct {
	Accelerators unit.Accelerators `cbor:"1,keyasint,omitempty"`
	// CoresLog2 is the number of bits of the whole cores.
	CoresLog2 int  `cbor:"2,keyasint,omitempty"`
	Gang      bool `cbor:"3,keyasint,omitempty"`
}

// ShapeOf returns the shape of a step.
func ShapeOf(s task.Step) Shape {
	return Shape{Accelerators: s.Demand.Accelerators, CoresLog2: bits.Len64(uint64(max(0, s.Demand.Cores) / unit.Core)), Gang: s.Gang}
}

// Subject describes the tasks of a step.
type Subject struct {
	Queue   task.QueueName
	Account id.Account
	Shape   Shape
	// Estimate is the submitter's estimate, or zero.
	Estimate time.Duration
}

// Level is how wide a group of runs is, from the narrowest.
type Level int

// The levels of groups.
const (
	QueueAccountShape Level = iota
	QueueShape
	QueueAccount
	Queue
	All
	numLevels
)

// String names what the runs of a group have in common.
func (l Level) String() string {
	return [...]string{"queue, account and shape", "queue and shape", "queue and account", "queue", "all", "estimate"}[min(l, numLevels)]
}

// Prediction is an expected run time. The zero value means that nothing is known.
type Prediction struct {
	// Low, Median and High are the 10th, 50th and 90th percentile.
	Low, Median, High time.Duration
	// Steps is the weight of the steps that it rests on. It is zero for a submitter's
	// estimate.
	Steps float64
	// Level is the level of the group, and Relative tells whether the estimate was used.
	Level    Level
	Relative bool
}

const (
	// minSteps is the weight that a group needs. With fewer steps, the 10th and 90th
	// percentile are single runs.
	minSteps = 4
	// halvingSteps is the number of steps after which the weight of earlier ones has
	// halved.
	halvingSteps = 32
	// estimateSpread is the factor by which estimates are off either way.
	estimateSpread = 10
	// accuracy is the relative accuracy of sketches, and maxBins bounds their size: a
	// factor of 350,000 between the shortest and the longest run.
	accuracy = 0.1
	maxBins  = 64
	// maxRunTime bounds expected run times: estimates are any number that a client sends,
	// and products with one exceed what a time.Duration holds.
	maxRunTime = 30 * 24 * time.Hour
	// maxGroups bounds the groups that are kept.
	maxGroups = 256
)

// decayFactor is the weight of earlier steps after one more.
var decayFactor = math.Exp2(-1.0 / halvingSteps)

// key identifies a group. Fields that its level leaves out are empty.
type key struct {
	Level   Level          `cbor:"1,keyasint,omitempty"`
	Queue   task.QueueName `cbor:"2,keyasint,omitempty"`
	Account id.Account     `cbor:"3,keyasint,omitempty"`
	Shape   Shape          `cbor:"4,keyasint"`
}

func (s Subject) key(l Level) key {
	k := key{Level: l}
	if l != All {
		k.Queue = s.Queue
	}
	if l == QueueAccountShape || l == QueueAccount {
		k.Account = s.Account
	}
	if l == QueueAccountShape || l == QueueShape {
		k.Shape = s.Shape
	}
	return k
}

// group holds the run times of a group in seconds, and their ratios to the estimates.
type group struct {
	times  *ddsketch.DDSketch
	ratios *ddsketch.DDSketch
	// learned numbers the last run that was added, over all groups.
	learned uint64
}

func newSketch() *ddsketch.DDSketch {
	m, err := mapping.NewLogarithmicMapping(accuracy)
	if err != nil {
		panic(err) // unreachable: the accuracy is a valid constant
	}
	return ddsketch.NewDDSketch(m, store.NewCollapsingLowestDenseStore(maxBins), store.NewCollapsingLowestDenseStore(maxBins))
}

// Predictor learns run times. It is not safe for concurrent use.
type Predictor struct {
	groups  map[key]*group
	learned uint64
}

// New returns a Predictor that has learned nothing.
func New() *Predictor { return &Predictor{groups: make(map[key]*group)} }

// Learned returns the number of runs that were added.
func (p *Predictor) Learned() uint64 { return p.learned }

// Run is a finished run of a task.
type Run struct {
	Subject
	Took time.Duration
	// Tasks is the number of tasks of its step that run by themselves. All of them together
	// have the weight of one step.
	Tasks int
}

// Add learns from a finished run.
func (p *Predictor) Add(r Run) {
	if r.Took <= 0 {
		return
	}
	p.learned++
	weight := 1 / float64(max(1, r.Tasks))
	for l := range numLevels {
		g := p.ensureGroup(r.key(l))
		g.learned = p.learned
		decay := math.Pow(decayFactor, weight)
		add(g.times, r.Took.Seconds(), weight, decay)
		if r.Estimate > 0 {
			add(g.ratios, r.Took.Seconds()/r.Estimate.Seconds(), weight, decay)
		}
	}
}

// add adds a value after the decay of the earlier ones. Both calls fail only for values and
// weights that are not positive numbers.
func add(s *ddsketch.DDSketch, value, weight, decay float64) {
	if s.Reweight(decay) != nil || s.AddWithCount(value, weight) != nil {
		panic("predict: value or weight out of range")
	}
}

func (p *Predictor) ensureGroup(k key) *group {
	if g, ok := p.groups[k]; ok {
		return g
	}
	if len(p.groups) >= maxGroups {
		p.removeOldest()
	}
	g := &group{times: newSketch(), ratios: newSketch()}
	p.groups[k] = g
	return g
}

// removeOldest removes the group that has learned nothing for longest.
func (p *Predictor) removeOldest() {
	var oldest key
	first := true
	for k, g := range p.groups {
		if first || g.learned < p.groups[oldest].learned {
			oldest, first = k, false
		}
	}
	delete(p.groups, oldest)
}

// Predict returns the expected run time of a task.
func (p *Predictor) Predict(s Subject) Prediction {
	for l := range numLevels {
		g, ok := p.groups[s.key(l)]
		if !ok || g.times.GetCount() < minSteps {
			continue
		}
		best, spread := quantiles(g.times, 1)
		best.Level, best.Steps = l, g.times.GetCount()
		if s.Estimate > 0 && g.ratios.GetCount() >= minSteps {
			if relative, relativeSpread := quantiles(g.ratios, s.Estimate.Seconds()); relativeSpread < spread {
				relative.Level, relative.Steps, relative.Relative = l, g.ratios.GetCount(), true
				return relative
			}
		}
		return best
	}
	if s.Estimate <= 0 {
		return Prediction{Level: numLevels}
	}
	median := min(s.Estimate, maxRunTime)
	return Prediction{Low: median / estimateSpread, Median: median, High: min(median*estimateSpread, maxRunTime), Level: numLevels,
		Relative: true}
}

// quantiles returns the percentiles of a sketch times a number of seconds, and their spread.
func quantiles(s *ddsketch.DDSketch, seconds float64) (Prediction, float64) {
	values, err := s.GetValuesAtQuantiles([]float64{0.1, 0.5, 0.9})
	if err != nil {
		return Prediction{}, math.Inf(1) // unreachable: the sketch is not empty
	}
	at := func(i int) time.Duration {
		return time.Duration(min(values[i]*seconds*float64(time.Second), float64(maxRunTime)))
	}
	return Prediction{Low: at(0), Median: at(1), High: at(2)}, values[2] / values[0]
}
