package burn

import (
	"cmp"
	"slices"
	"time"

	"bronzewinch.dev/lib/decision"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/unit"
)

// The maximum number of contributors and examples in a report of a window.
const (
	maxContributors   = 5
	maxReportExamples = 5
)

// Rate is a burn rate: the speed at which an objective uses its budget of bad
// events. At 1, the budget lasts exactly for the objective's window.
type Rate float64

// Total is the number of events in a window or bucket.
type Total struct {
	Good uint64 `json:"good"`
	Bad  uint64 `json:"bad"`
}

// BadShare returns the share of bad events, 0 if there are no events.
func (t Total) BadShare() unit.Share {
	if t.Good+t.Bad == 0 {
		return 0
	}
	return unit.Share(float64(t.Bad) / float64(t.Good+t.Bad))
}

// Rate returns the burn rate for a target.
func (t Total) Rate(target unit.Share) Rate {
	return Rate(float64(t.BadShare()) / (1 - float64(target)))
}

// Contributor is an account, zone or cause with its number of bad events.
type Contributor struct {
	Name string `json:"name"`
	Bad  uint64 `json:"bad"`
	// Share is the share of all bad events.
	Share unit.Share `json:"share"`
}

// Decision is the last scheduling decision about the job of an example.
type Decision struct {
	Zone    id.Zone       `json:"zone"`
	Epoch   id.Epoch      `json:"epoch"`
	Version uint64        `json:"version"`
	Rule    decision.Rule `json:"rule"`
	Reason  string        `json:"reason,omitempty"`
}

// ReportExample is an example in a report, with a decision that may explain it.
type ReportExample struct {
	Example
	Decision *Decision `json:"decision,omitempty"`
}

// WindowReport is the report of one objective for one window. Accounts, Zones
// and Causes have the largest contributors, the largest first.
type WindowReport struct {
	Window Window `json:"window"`
	Total
	Rate     Rate            `json:"rate"`
	Accounts []Contributor   `json:"accounts"`
	Zones    []Contributor   `json:"zones"`
	Causes   []Contributor   `json:"causes"`
	Examples []ReportExample `json:"examples"`
}

// Point is the number of events in one bucket.
type Point struct {
	Start time.Time `json:"start"`
	Total
}

// AlertName is the name of an alert.
type AlertName string

// The alerts. The burn rates of two windows must reach the threshold: the long
// window avoids alerts for insignificant events, and the short one ends the
// alert soon after the cause is gone.
const (
	// Fast fires at a burn rate that uses up the budget within about two days.
	Fast AlertName = "fast"
	// Slow fires at a burn rate that uses up the budget before its window ends.
	Slow AlertName = "slow"
)

// Alert is the state of one alert of an objective.
type Alert struct {
	Name      AlertName `json:"name"`
	Firing    bool      `json:"firing"`
	Long      Window    `json:"long"`
	Short     Window    `json:"short"`
	Threshold Rate      `json:"threshold"`
}

// ObjectiveReport is the report of one objective.
type ObjectiveReport struct {
	Name      id.Objective     `json:"name"`
	Indicator record.Indicator `json:"indicator"`
	Class     record.SizeClass `json:"sizeClass,omitempty"`
	Target    unit.Share       `json:"target"`
	Bound     string           `json:"bound"`
	Window    Window           `json:"window"`
	// BudgetLeft is the unused share of the budget of the window. It is negative
	// if more than the budget was used.
	BudgetLeft float64 `json:"budgetLeft"`
	// Windows is sorted by duration. The last one is the objective's own window.
	Windows []WindowReport `json:"windows"`
	Alerts  []Alert        `json:"alerts"`
	// Hours and Days are the history for charts, without empty buckets.
	Hours []Point `json:"hours"`
	Days  []Point `json:"days"`
}

// Report is the burn report of all objectives.
type Report struct {
	At         time.Time         `json:"at"`
	Revision   id.Revision       `json:"revision"`
	Sources    []Source          `json:"sources"`
	Objectives []ObjectiveReport `json:"objectives"`
}

// Evaluate computes the report of the objectives of a set, which may be nil.
func Evaluate(v View, set *record.Set, now time.Time) Report {
	r := Report{At: now, Sources: v.Sources, Objectives: []ObjectiveReport{}}
	if set == nil {
		return r
	}
	r.Revision = set.Revision
	for _, o := range set.SortedObjectives() {
		r.Objectives = append(r.Objectives, v.objectiveReport(o, now))
	}
	return r
}

func (v View) objectiveReport(o record.Objective, now time.Time) ObjectiveReport {
	own := Window(o.Window)
	r := ObjectiveReport{Name: o.Name, Indicator: o.Measure.Indicator, Class: o.Measure.Class, Target: o.Target,
		Bound: o.Bound.String(), Window: own, Hours: v.history(o.Measure, Hours, now.Add(-time.Duration(Window3d)), now),
		Days: v.history(o.Measure, Days, now.Add(-o.Window), now)}
	rates := make(map[Window]WindowReport)
	windows := []Window{Window5m, Window1h, Window6h, Window3d, own}
	slices.Sort(windows)
	for _, w := range slices.Compact(windows) {
		rates[w] = v.windowReport(o, w, now)
		r.Windows = append(r.Windows, rates[w])
	}
	r.BudgetLeft = 1 - float64(rates[own].Rate)
	r.Alerts = []Alert{
		newAlert(Fast, rates[Window1h], rates[Window5m], burnRate(fastShare, own, Window1h)),
		newAlert(Slow, rates[Window3d], rates[Window6h], burnRate(slowShare, own, Window3d)),
	}
	return r
}

// The thresholds of the alerts, as the share of the budget that is used within
// the long window. For an objective with a window of 30 days, these are burn
// rates of 14.4 and 1.
const (
	fastShare = 0.02
	slowShare = 0.1
	// minAlertBad is the minimum number of bad events for an alert. It prevents
	// an alert for a single event of a rare indicator, such as an urgent start.
	// The report shows the event nevertheless.
	minAlertBad = 2
)

// burnRate returns the burn rate that uses a share of the budget of one window
// within a shorter one.
func burnRate(share float64, budget, within Window) Rate {
	return Rate(share * float64(budget) / float64(within))
}

func newAlert(name AlertName, long, short WindowReport, threshold Rate) Alert {
	return Alert{Name: name, Long: long.Window, Short: short.Window, Threshold: threshold,
		Firing: long.Rate >= threshold && short.Rate >= threshold && long.Bad >= minAlertBad}
}

func (v View) windowReport(o record.Objective, w Window, now time.Time) WindowReport {
	res, since, until := w.Resolution(), w.firstBucket(now), w.Resolution().BucketAt(now)
	r := WindowReport{Window: w}
	accounts, zones, causes := make(map[string]uint64), make(map[string]uint64), make(map[string]uint64)
	for _, row := range v.rows[o.Measure] {
		var bad uint64
		for _, b := range row.Buckets[res] {
			if b.Index >= since && b.Index <= until {
				r.Good += uint64(b.Good)
				bad += uint64(b.Bad)
			}
		}
		if bad > 0 {
			r.Bad += bad
			accounts[string(row.Key.Account)] += bad
			zones[string(row.Key.Zone)] += bad
			causes[string(row.Key.Cause)] += bad
		}
	}
	r.Rate = r.Total.Rate(o.Target)
	r.Accounts, r.Zones, r.Causes = topContributors(accounts, r.Bad), topContributors(zones, r.Bad), topContributors(causes, r.Bad)
	r.Examples = v.reportExamples(o.Measure, res, since, until, r.Causes)
	return r
}

// topContributors returns the contributors with the most bad events. It omits an
// empty name, which means that the indicator has no such attribute; for example,
// revisions have no account.
func topContributors(bad map[string]uint64, total uint64) []Contributor {
	list := []Contributor{}
	for name, n := range bad {
		if name != "" {
			list = append(list, Contributor{name, n, unit.Share(float64(n) / float64(total))})
		}
	}
	slices.SortFunc(list, func(a, b Contributor) int { return cmp.Or(cmp.Compare(b.Bad, a.Bad), cmp.Compare(a.Name, b.Name)) })
	return list[:min(len(list), maxContributors)]
}

// reportExamples returns the newest examples of each cause. The causes are in
// the order of the top contributors.
func (v View) reportExamples(m record.Measure, res Resolution, since, until BucketIndex, causes []Contributor) []ReportExample {
	list := []ReportExample{}
	for _, x := range v.examples[m] {
		if x.Resolution != res || x.Index < since || x.Index > until {
			continue
		}
		for _, e := range x.List {
			list = append(list, ReportExample{Example: e})
		}
	}
	rank := make(map[Cause]int, len(causes))
	for i, p := range causes {
		rank[Cause(p.Name)] = i - len(causes) // negative, before the 0 of causes that are not listed
	}
	slices.SortFunc(list, func(a, b ReportExample) int {
		return cmp.Or(cmp.Compare(rank[a.Cause], rank[b.Cause]), b.At.Compare(a.At), a.Ref.compare(b.Ref))
	})
	list = slices.CompactFunc(list, func(a, b ReportExample) bool { return a.Ref == b.Ref })
	// The newest example of each cause comes before the second newest of any.
	position, perCause := make(map[Ref]int, len(list)), make(map[Cause]int)
	for _, e := range list {
		position[e.Ref] = perCause[e.Cause]
		perCause[e.Cause]++
	}
	slices.SortStableFunc(list, func(a, b ReportExample) int { return cmp.Compare(position[a.Ref], position[b.Ref]) })
	return list[:min(len(list), maxReportExamples)]
}

// history returns the number of events in each non-empty bucket between two
// times.
func (v View) history(m record.Measure, res Resolution, from, until time.Time) []Point {
	first, last := res.BucketAt(from), res.BucketAt(until)
	totals := make([]Total, last-first+1)
	for _, row := range v.rows[m] {
		for _, b := range row.Buckets[res] {
			if b.Index >= first && b.Index <= last {
				t := &totals[b.Index-first]
				t.Good, t.Bad = t.Good+uint64(b.Good), t.Bad+uint64(b.Bad)
			}
		}
	}
	points := []Point{}
	for i, t := range totals {
		if t != (Total{}) {
			points = append(points, Point{res.BucketStart(first + BucketIndex(i)), t})
		}
	}
	return points
}
