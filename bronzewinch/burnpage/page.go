// Package burnpage writes the burn report as one HTML page without scripts or
// other files. Plots are inline SVG. No information is in the colours alone, so
// that the page can be printed in black and white.
package burnpage

import (
	_ "embed" // for the template
	"fmt"
	"html/template"
	"io"
	"math"
	"slices"
	"time"

	"bronzewinch.dev/lib/burn"
	"bronzewinch.dev/lib/unit"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"percent": Percent, "rate": Rate, "time": formatTime, "part": contributorBar, "target": formatTarget,
}).Parse(pageText))

// Percent formats a share as a percentage with one decimal.
func Percent(s unit.Share) string { return fmt.Sprintf("%.1f%%", 100*float64(s)) }

// Rate formats a burn rate with two decimals, or fewer for rates from 10 on.
func Rate(r burn.Rate) string {
	switch {
	case r == 0:
		return "0"
	case r >= 100:
		return fmt.Sprintf("%.0f", float64(r))
	case r >= 10:
		return fmt.Sprintf("%.1f", float64(r))
	}
	return fmt.Sprintf("%.2f", float64(r))
}

func hasEvents(o burn.ObjectiveReport) bool { return Select(o, o.Window).Total != burn.Total{} }

// Budget formats the part of the budget that is left. An objective without events
// has no meaningful figure.
func Budget(o burn.ObjectiveReport) string {
	left := o.BudgetLeft
	if !hasEvents(o) {
		return "no events"
	}
	if left < 0 {
		return fmt.Sprintf("overspent by %.0f%%", -100*left)
	}
	return fmt.Sprintf("%.0f%%", 100*left)
}

// formatTarget formats a target with all its digits, since targets such as 99.9%
// and 99.99% differ only in the last ones.
func formatTarget(s unit.Share) string { return fmt.Sprintf("%g%%", math.Round(float64(s)*1e7)/1e5) }

func formatTime(t time.Time) string { return t.UTC().Format("2006-01-02 15:04") }

// Firing lists the names of the alerts that fire, separated by commas.
func Firing(o burn.ObjectiveReport) string {
	text := ""
	for _, a := range o.Alerts {
		if a.Firing {
			if text != "" {
				text += ", "
			}
			text += string(a.Name)
		}
	}
	return text
}

// Select returns the window of an objective for the details of the report: w, or
// the objective's own window if the objective has no window w.
func Select(o burn.ObjectiveReport, w burn.Window) burn.WindowReport {
	for _, window := range o.Windows {
		if window.Window == w {
			return window
		}
	}
	return o.Windows[len(o.Windows)-1]
}

// view is the data of the template.
type view struct {
	burn.Report
	Objectives []objectiveView
}

type objectiveView struct {
	burn.ObjectiveReport
	Shown  burn.WindowReport
	Firing string
	Budget string
	// Events reports whether the window has events. Without any, the page shows no
	// plots.
	Events bool
	Gauge  gauge
	Hours  plot
	Days   plot
}

// Write writes the page, with the details of the given window.
func Write(w io.Writer, r burn.Report, window burn.Window) error {
	v := view{Report: r}
	for _, o := range r.Objectives {
		v.Objectives = append(v.Objectives, objectiveView{ObjectiveReport: o, Shown: Select(o, window), Firing: Firing(o),
			Budget: Budget(o), Events: hasEvents(o),
			Gauge: newGauge(o.BudgetLeft), Hours: ratePlot(o, r.At), Days: budgetPlot(o, r.At)})
	}
	return page.Execute(w, v)
}

// The sizes of the drawings in pixels.
const (
	gaugeWidth          = 120
	plotWidth           = 460
	plotHeight          = 120
	contributorBarWidth = 90
)

// gauge is a bar for the budget that is left.
type gauge struct{ Box, Width, Left int }

func newGauge(left float64) gauge {
	return gauge{gaugeWidth + 1, gaugeWidth, int(math.Round(gaugeWidth * min(1, max(0, left))))}
}

func contributorBar(s unit.Share) int { return int(math.Round(contributorBarWidth * float64(s))) }

// plot is a plot with the coordinates of its SVG image.
type plot struct {
	Width, Height int
	Bars          []bar
	Line          string // points of a polyline
	Ticks, Marks  []tick
}

type bar struct {
	X, Y, Width, Height float64
	// Over marks a rate over 1, which is drawn hatched.
	Over  bool
	Title string
}

type tick struct {
	At   float64
	Text string
	// Limit marks the line of the threshold, which is drawn dashed: a burn rate of
	// 1, or a budget of 0.
	Limit bool
}

// ratePlot shows the burn rate of each hour of the last three days. The scale is
// logarithmic, so that a rate of 1 is distinguishable from 0 in a plot with the
// high rates of an outage.
func ratePlot(o burn.ObjectiveReport, now time.Time) plot {
	const hours = 73
	p := plot{Width: plotWidth, Height: plotHeight}
	maxRate := 10.0
	for _, h := range o.Hours {
		maxRate = max(maxRate, float64(h.Rate(o.Target)))
	}
	maxRate = math.Pow(10, math.Ceil(math.Log10(maxRate)))
	height := func(rate float64) float64 { return plotHeight * math.Log10(1+rate) / math.Log10(1+maxRate) }
	for rate := 1.0; rate <= maxRate; rate *= 10 {
		p.Ticks = append(p.Ticks, tick{plotHeight - height(rate), fmt.Sprintf("%g", rate), rate == 1})
	}
	first, width := burn.Hours.BucketStart(burn.Hours.BucketAt(now)-hours+1), float64(plotWidth)/hours
	for _, h := range o.Hours {
		rate := h.Rate(o.Target)
		x, y := h.Start.Sub(first).Hours()*width, height(float64(rate))
		if rate > 0 && x >= 0 {
			p.Bars = append(p.Bars, bar{x, plotHeight - y, width - 1, y, rate > 1,
				fmt.Sprintf("%s: burn rate %s, %d bad of %d", formatTime(h.Start), Rate(rate), h.Bad, h.Good+h.Bad)})
		}
	}
	for back := 72; back >= 0; back -= 24 {
		p.Marks = append(p.Marks, tick{float64(hours-1-back) * width, now.Add(-time.Duration(back) * time.Hour).UTC().Format("Jan 2 15h"), false})
	}
	return p
}

// budgetPlot shows the budget that was left after each day of the window.
func budgetPlot(o burn.ObjectiveReport, now time.Time) plot {
	p := plot{Width: plotWidth, Height: plotHeight}
	days := int(time.Duration(o.Window)/(24*time.Hour)) + 1
	var total burn.Total
	for _, d := range o.Days {
		total.Good, total.Bad = total.Good+d.Good, total.Bad+d.Bad
	}
	budget := float64(total.Good+total.Bad) * (1 - float64(o.Target))
	minLeft := min(0, math.Floor(2*o.BudgetLeft)/2)
	height := func(left float64) float64 { return plotHeight * (1 - left) / (1 - minLeft) }
	for _, left := range slices.Compact([]float64{1, 0.5, 0, minLeft}) {
		p.Ticks = append(p.Ticks, tick{height(left), fmt.Sprintf("%.0f%%", 100*left), left == 0})
	}
	first, width := burn.Days.BucketStart(burn.Days.BucketAt(now)-burn.BucketIndex(days)+1), float64(plotWidth)/float64(days)
	left := 1.0
	p.Line = fmt.Sprintf("0,%.1f", height(1))
	for _, d := range o.Days {
		x := float64(d.Start.Sub(first)/(24*time.Hour)) * width
		if budget > 0 {
			p.Line += fmt.Sprintf(" %.1f,%.1f", x, height(left))
			left -= float64(d.Bad) / budget
			p.Line += fmt.Sprintf(" %.1f,%.1f", x+width, height(left))
		}
	}
	p.Line += fmt.Sprintf(" %d,%.1f", plotWidth, height(left))
	for i := 0; i < days-days/10; i += max(1, days/5) {
		p.Marks = append(p.Marks, tick{float64(i) * width, first.AddDate(0, 0, i).Format("Jan 2"), false})
	}
	return p
}
