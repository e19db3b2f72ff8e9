package placementbench

import (
	"math"
	"slices"
	"time"

	"bronzewinch.dev/lib/fleet"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/placement"
	"bronzewinch.dev/lib/unit"
)

// outcome collects the measurements of one run.
type outcome struct {
	trace  *trace
	policy string

	completion       map[string][]float64 // seconds, by size class
	slowdown         []float64
	runTimes         []float64 // seconds, of the finished jobs
	longestWait      float64   // seconds
	reclaimWaits     []float64
	passTimes        []time.Duration
	maxWaiting       int // maximum number of waiting jobs in a pass
	evicted          int
	cancelled        int
	neverFits        int
	unfinished       int
	failed           int
	lostWork         float64 // accelerator-seconds
	doneWork         float64
	freeAccelerators float64 // sums over samples
	stranded         float64
	capacity         float64
	aged             int
	overBound        int
	violations       []string
	lostShapes       int // states in which excluded workers leave a copy without usable cells
}

// The size classes of jobs by number of accelerators. Large jobs need several
// workers.
const (
	sizeSmall  = "small"  // up to 2 accelerators
	sizeMedium = "medium" // up to 8
	sizeLarge  = "large"
)

func newOutcome(t *trace, policy string) *outcome {
	return &outcome{trace: t, policy: policy, completion: make(map[string][]float64)}
}

func sizeOf(s job.Shape) string {
	switch n := s.Accelerators(); {
	case n <= 2:
		return sizeSmall
	case n <= 8:
		return sizeMedium
	}
	return sizeLarge
}

func (o *outcome) addFinished(j *tracedJob, p *progress, now time.Time) {
	o.doneWork += j.run.Seconds() * float64(j.Spec.Shape.Accelerators())
	if j.fails {
		o.failed++
		return
	}
	completion := now.Sub(j.Submitted).Seconds()
	size := sizeOf(j.Spec.Shape)
	o.runTimes = append(o.runTimes, j.run.Seconds())
	o.completion[size] = append(o.completion[size], completion)
	// Run times below a minute count as a minute, so that very short jobs do not
	// dominate the mean slowdown.
	o.slowdown = append(o.slowdown, max(1, completion/max(j.run.Seconds(), 60)))
}

func (o *outcome) addStart(j *tracedJob, p *progress, at time.Time) {
	if p.attempt > 1 {
		return
	}
	o.longestWait = max(o.longestWait, at.Sub(j.Submitted).Seconds())
	if j.Spec.Claim != "" && !p.eligibleAt.IsZero() {
		o.reclaimWaits = append(o.reclaimWaits, at.Sub(p.eligibleAt).Seconds())
	}
}

// addWait checks the wait of an opportunistic job against its bound: AgedAfter,
// plus the longest run time once for the job itself and once for each older job
// that waited with it after that.
func (o *outcome) addWait(j *tracedJob, p *progress, at time.Time) {
	wait := at.Sub(j.Submitted)
	if p.attempt > 1 || j.Spec.Claim != "" || wait <= placement.AgedAfter {
		return
	}
	o.aged++
	if wait > placement.AgedAfter+time.Duration(1+p.olderJobs)*o.trace.longestRun {
		o.overBound++
	}
}

func (o *outcome) addPass(elapsed time.Duration, waiting int) {
	o.passTimes = append(o.passTimes, elapsed)
	o.maxWaiting = max(o.maxWaiting, waiting)
}

// addSample adds the free accelerators of a zone, and the stranded ones among
// them, which neither the largest waiting gang nor a guaranteed shape can use.
func (o *outcome) addSample(view *fleet.View, largest job.Shape) {
	free := make([][]unit.Resources, len(view.Racks()))
	var total unit.Accelerators
	for i, r := range view.Racks() {
		free[i] = make([]unit.Resources, len(r.Workers))
		for j := range r.Workers {
			free[i][j] = r.Workers[j].Available()
			total += free[i][j].Accelerators
			o.capacity += float64(r.Workers[j].Total.Accelerators)
		}
	}
	shapes := []job.Shape{}
	if largest.Workers > 0 {
		shapes = append(shapes, largest)
	}
	var guaranteed []job.Shape
	for _, g := range o.trace.deployment.guarantees {
		if !slices.Contains(guaranteed, g.Shape) {
			guaranteed = append(guaranteed, g.Shape)
		}
	}
	slices.SortStableFunc(guaranteed, func(a, b job.Shape) int { return int(b.Accelerators() - a.Accelerators()) })
	unusable := total
	for _, s := range append(shapes, guaranteed...) {
		for allocateGang(free, s) {
			unusable -= s.Accelerators()
		}
	}
	o.freeAccelerators += float64(total)
	o.stranded += float64(unusable)
}

// allocateGang subtracts one gang of a shape from the free resources, on the
// workers with the fewest accelerators left over, and reports whether it fits.
func allocateGang(free [][]unit.Resources, s job.Shape) bool {
	if s.Accelerators() == 0 {
		return false
	}
	var fits []*unit.Resources
	for i := range free {
		if s.Locality != job.SameZone {
			fits = fits[:0]
		}
		for j := range free[i] {
			if s.PerWorker.Fits(free[i][j]) {
				fits = append(fits, &free[i][j])
			}
		}
		if len(fits) < int(s.Workers) {
			continue
		}
		slices.SortStableFunc(fits, func(a, b *unit.Resources) int { return int(a.Accelerators - b.Accelerators) })
		for _, f := range fits[:s.Workers] {
			*f = f.Minus(s.PerWorker)
		}
		return true
	}
	return false
}

// quantiles are the mean, percentiles and maximum of a sample, in the unit of the
// sample.
type quantiles struct {
	Mean float64 `json:"mean"`
	P50  float64 `json:"p50"`
	P95  float64 `json:"p95"`
	P99  float64 `json:"p99"`
	Max  float64 `json:"max"`
}

func quantilesOf(v []float64) quantiles {
	if len(v) == 0 {
		return quantiles{}
	}
	v = slices.Sorted(slices.Values(v))
	sum := 0.0
	for _, x := range v {
		sum += x
	}
	at := func(q float64) float64 { return v[min(len(v)-1, int(math.Ceil(q*float64(len(v))))-1)] }
	return quantiles{Mean: sum / float64(len(v)), P50: at(0.5), P95: at(0.95), P99: at(0.99), Max: v[len(v)-1]}
}
