package record

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/tomlfile"
	"bronzewinch.dev/lib/unit"
)

// Indicator is a service-level indicator, the quantity that an objective
// measures.
type Indicator string

// The indicators.
const (
	// UrgentStart is the time from the submission of an urgent job until all
	// members of its gang run.
	UrgentStart Indicator = "urgentStart"
	// ReclaimTime is the time from a claim of a guaranteed shape until other
	// jobs have released the workers of the shape.
	ReclaimTime Indicator = "reclaimTime"
	// CompleteResponses is the time of requests whose caller received a
	// complete response. A request without one is a bad event.
	CompleteResponses Indicator = "wholeAnswers"
	// ConfigActivation is the time from the acceptance of a revision until it
	// is in force on a node.
	ConfigActivation Indicator = "configInForce"
	// Completion is the slowdown of finished jobs of one size class.
	Completion Indicator = "completion"
	// Fragmentation is the share of the free accelerators of a zone that are on
	// partly used workers.
	Fragmentation Indicator = "fragmentation"
)

// Indicators returns the indicators in the order in which reports show them.
func Indicators() []Indicator {
	return []Indicator{UrgentStart, ReclaimTime, CompleteResponses, ConfigActivation, Completion, Fragmentation}
}

// SizeClass is a class of jobs by the number of accelerators of the whole gang.
type SizeClass string

// The size classes.
const (
	Small  SizeClass = "small"
	Medium SizeClass = "medium"
	Large  SizeClass = "large"
)

// The maximum sizes of the small and the medium class. A medium job fits on
// one worker of either deployment.
const (
	MaxSmall  unit.Accelerators = 2
	MaxMedium unit.Accelerators = 8
)

// SizeClassOf returns the class of a job whose gang has n accelerators.
func SizeClassOf(n unit.Accelerators) SizeClass {
	switch {
	case n <= MaxSmall:
		return Small
	case n <= MaxMedium:
		return Medium
	}
	return Large
}

// Bound is the largest value of a good event. The field in use depends on the
// indicator: Slowdown for completion, Share for fragmentation, Time for the
// others.
type Bound struct {
	Time     time.Duration
	Slowdown unit.Slowdown
	Share    unit.Share
}

// String formats the bound for reports, for example "slowdown 2.5", "10%" or
// "3.6s".
func (b Bound) String() string {
	switch {
	case b.Slowdown > 0:
		return fmt.Sprintf("slowdown %g", float64(b.Slowdown))
	case b.Share > 0:
		return fmt.Sprintf("%g%%", percent(b.Share))
	}
	return b.Time.String()
}

// percent returns the share as a percentage, without the rounding errors of
// binary fractions.
func percent(s unit.Share) float64 { return math.Round(float64(s)*1e8) / 1e6 }

// Measure is the indicator of an objective with its size class. A set has at
// most one objective for each measure.
type Measure struct {
	Indicator Indicator
	// Class is set for completion only.
	Class SizeClass
}

// String formats the measure for reports, for example "completion of small
// jobs".
func (m Measure) String() string {
	if m.Class == "" {
		return string(m.Indicator)
	}
	return fmt.Sprintf("%s of %s jobs", m.Indicator, m.Class)
}

// Objective is a service-level objective: the share of events within a window
// that must be good.
type Objective struct {
	Name    id.Objective
	Measure Measure
	// Target is the required share of good events. It is less than 1, so that
	// the budget of bad events is more than zero.
	Target unit.Share
	Window time.Duration
	Bound  Bound
}

// Limits of an objective. Nodes retain counts of events for
// MaxObjectiveWindow.
const (
	MinObjectiveWindow                   = 24 * time.Hour
	MaxObjectiveWindow                   = 31 * 24 * time.Hour
	minTarget, maxTarget                 = 0.5, 0.99999
	minTimeBound                         = time.Millisecond
	maxTimeBound                         = 24 * time.Hour
	minSlowdown, maxSlowdown             = 1.001, 1000
	minShareBound, maxShareBound         = 0.001, 1
	day                                  = 24 * time.Hour
	thousandths                  float64 = 1000
)

// ObjectiveV1 is an objective in schema v1. Depending on the indicator, Bound
// is a number of seconds, a slowdown or a share.
type ObjectiveV1 struct {
	Header
	Indicator  Indicator  `toml:"indicator"`
	SizeClass  SizeClass  `toml:"sizeClass,omitempty"`
	Target     unit.Share `toml:"target"`
	WindowDays int64      `toml:"windowDays"`
	Bound      float64    `toml:"bound"`
}

// BoundV2 is a bound in schema v2. Exactly one field is set.
type BoundV2 struct {
	Time     Duration      `toml:"time,omitempty"`
	Slowdown unit.Slowdown `toml:"slowdown,omitempty"`
	Share    unit.Share    `toml:"share,omitempty"`
}

// ObjectiveV2 is an objective in schema v2.
type ObjectiveV2 struct {
	HeaderV2
	Indicator Indicator  `toml:"indicator"`
	SizeClass SizeClass  `toml:"sizeClass,omitempty"`
	Target    unit.Share `toml:"target"`
	Window    Duration   `toml:"window"`
	Bound     BoundV2    `toml:"bound"`
}

func checkMeasure(r *report, i Indicator, c SizeClass, target unit.Share) {
	if !slices.Contains(Indicators(), i) {
		r.add("indicator", string(i), "urgentStart, reclaimTime, wholeAnswers, configInForce, completion or fragmentation", "choose one of these indicators")
	}
	switch {
	case i != Completion && c != "":
		r.add("sizeClass", string(c), "only with the indicator completion", "remove the field")
	case i == Completion && c != Small && c != Medium && c != Large:
		r.add("sizeClass", string(c), "small, medium or large", "write one objective for each size class")
	}
	checkRange(r, "target", target, minTarget, maxTarget)
}

func (o *ObjectiveV1) check(r *report) {
	checkMeasure(r, o.Indicator, o.SizeClass, o.Target)
	checkRange(r, "windowDays", o.WindowDays, int64(MinObjectiveWindow/day), int64(MaxObjectiveWindow/day))
	switch o.Indicator {
	case Completion:
		checkRange(r, "bound", o.Bound, minSlowdown, maxSlowdown)
	case Fragmentation:
		checkRange(r, "bound", o.Bound, minShareBound, maxShareBound)
	default:
		checkRange(r, "bound", o.Bound, minTimeBound.Seconds(), maxTimeBound.Seconds())
	}
	checkDecimals(r, "bound", o.Bound)
}

func (o *ObjectiveV2) check(r *report) {
	checkMeasure(r, o.Indicator, o.SizeClass, o.Target)
	checkDuration(r, "window", o.Window, MinObjectiveWindow, MaxObjectiveWindow)
	b, unused := o.Bound, o.Bound
	switch o.Indicator {
	case Completion:
		checkRange(r, "bound.slowdown", b.Slowdown, minSlowdown, maxSlowdown)
		unused.Slowdown = 0
	case Fragmentation:
		checkRange(r, "bound.share", b.Share, minShareBound, maxShareBound)
		unused.Share = 0
	default:
		checkDuration(r, "bound.time", b.Time, minTimeBound, maxTimeBound)
		unused.Time = 0
	}
	if unused != (BoundV2{}) {
		r.add("bound", "", "exactly one of time, slowdown (completion) or share (fragmentation)", "remove the bound that the indicator does not use")
	}
	checkDecimals(r, "bound.slowdown", float64(b.Slowdown))
	checkDecimals(r, "bound.share", float64(b.Share))
}

// checkDecimals reports a value with more than 3 decimals, so that bounds are
// exact in both schema versions.
func checkDecimals(r *report, field string, v float64) {
	if math.Round(v*thousandths)/thousandths != v {
		r.add(field, fmt.Sprint(v), "at most 3 decimals", "round the value")
	}
}

func (o *ObjectiveV1) toV2() bodyV2 {
	v2 := &ObjectiveV2{Indicator: o.Indicator, SizeClass: o.SizeClass, Target: o.Target,
		Window: Duration(time.Duration(o.WindowDays) * day)}
	switch o.Indicator {
	case Completion:
		v2.Bound.Slowdown = unit.Slowdown(o.Bound)
	case Fragmentation:
		v2.Bound.Share = unit.Share(o.Bound)
	default:
		v2.Bound.Time = Duration(time.Duration(math.Round(o.Bound*thousandths)) * time.Millisecond)
	}
	return v2
}

func (o *ObjectiveV2) toV1(r *report) bodyV1 {
	v1 := &ObjectiveV1{Indicator: o.Indicator, SizeClass: o.SizeClass, Target: o.Target}
	window, limit := time.Duration(o.Window), time.Duration(o.Bound.Time)
	if window%day != 0 {
		r.addUnsupported("window", window.String(), "whole days")
	}
	if limit%time.Millisecond != 0 {
		r.addUnsupported("bound.time", limit.String(), "whole milliseconds")
	}
	v1.WindowDays = int64(window / day)
	// Only one of the three is set, so the sum is its value.
	v1.Bound = float64(limit/time.Millisecond)/thousandths + float64(o.Bound.Slowdown) + float64(o.Bound.Share)
	return v1
}

func (o *ObjectiveV2) addTo(s *Set) {
	name := id.Objective(o.Name)
	s.Objectives[name] = Objective{Name: name, Measure: Measure{o.Indicator, o.SizeClass}, Target: o.Target,
		Window: time.Duration(o.Window), Bound: Bound{time.Duration(o.Bound.Time), o.Bound.Slowdown, o.Bound.Share}}
}

func (o *ObjectiveV2) removeFrom(s *Set) { delete(s.Objectives, id.Objective(o.Name)) }

// SortedObjectives returns the objectives in the order in which reports show
// them: by indicator, size class and name.
func (s *Set) SortedObjectives() []Objective {
	rank := func(o Objective) int { return slices.Index(Indicators(), o.Measure.Indicator) }
	class := func(o Objective) int { return slices.Index([]SizeClass{Small, Medium, Large}, o.Measure.Class) }
	return slices.SortedFunc(maps.Values(s.Objectives), func(a, b Objective) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(class(a), class(b)), cmp.Compare(a.Name, b.Name))
	})
}

// checkObjectives reports two objectives for one measure, because each event is
// classified as good or bad by a single bound.
func (s *Set) checkObjectives(m *tomlfile.Mistakes) {
	first := make(map[Measure]id.Objective)
	for _, o := range s.SortedObjectives() {
		if other, ok := first[o.Measure]; ok {
			m.Add(0, problem.Detail{Field: Key{Kind: KindObjective, Name: string(o.Name)}.String() + " indicator", Value: o.Measure.String(),
				Limit: "one objective for each indicator and size class", Remedy: fmt.Sprintf("remove this objective or objective/%s", other)})
		}
		first[o.Measure] = o.Name
	}
}
