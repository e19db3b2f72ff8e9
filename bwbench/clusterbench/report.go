package clusterbench

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"bronzewinch.dev/lib/unit"
	"bronzewinch.dev/standin/deployment"
)

// row holds the measurements of one size.
type row struct {
	size
	Rest    rates        `json:"rest"`
	Change  rates        `json:"change"`
	InForce distribution `json:"inForce"`
	// Conflicts is the number of times that a change was sent again because the
	// receiving node did not yet have an earlier change of the same record in
	// force.
	Conflicts int          `json:"conflicts"`
	Takeover  distribution `json:"takeover"`
	Poll      pollResult   `json:"baselinePolling"`
	Memory    unit.Bytes   `json:"liveMemoryBytes"`
	Resident  unit.Bytes   `json:"residentBytes"`
	Load      float64      `json:"loadAverage"`
}

// fittedLine is the least-squares fit of a figure as a function of a size.
type fittedLine struct {
	Figure string  `json:"figure"`
	Per    string  `json:"per"`
	Slope  float64 `json:"slope"`
	At0    float64 `json:"atZero"`
	// R2 is the coefficient of determination of the fit.
	R2     float64   `json:"r2"`
	Points []float64 `json:"points"`
}

// report holds the results of a run.
type report struct {
	Rows   []row         `json:"rows,omitempty"`
	Fits   []fittedLine  `json:"fits,omitempty"`
	Outage *outageReport `json:"outage,omitempty"`
}

// figure is a named value of a row.
type figure struct {
	name  string
	value func(row) float64
}

var figures = []figure{
	{"cores at rest", func(r row) float64 { return r.Rest.Cores }},
	{"live memory, MB", func(r row) float64 { return float64(r.Memory) / 1e6 }},
	{"resident memory, MB", func(r row) float64 { return float64(r.Resident) / 1e6 }},
	{"writes/s at rest", func(r row) float64 { return r.Rest.Writes }},
	{"reads/s at rest", func(r row) float64 { return r.Rest.Reads }},
	{"bytes/s with the store", func(r row) float64 { return r.Rest.Bytes[deployment.StoreLink] }},
	{"bytes/s with the VM list", func(r row) float64 { return r.Rest.Bytes[deployment.VMListLink] }},
	{"bytes/s between peers", func(r row) float64 { return r.Rest.Bytes[deployment.PeerLink] }},
	{"bytes/s with workers", func(r row) float64 { return r.Rest.Bytes[deployment.WorkerLink] }},
}

// fit fits each figure as a function of the number of nodes, at the base number
// of workers, and of the number of workers, at the base number of nodes.
func (r *report) fit(o options) {
	series := []struct {
		per      string
		includes func(row) bool
		size     func(row) float64
	}{
		{"node", func(r row) bool { return r.Workers == o.baseWorkers && slices.Contains(o.nodes, r.Nodes) },
			func(r row) float64 { return float64(r.Nodes) }},
		{"worker", func(r row) bool { return r.Nodes == o.baseNodes && slices.Contains(o.workers, r.Workers) },
			func(r row) float64 { return float64(r.Workers) }},
	}
	for _, s := range series {
		for _, f := range figures {
			var x, y []float64
			for _, row := range r.Rows {
				if s.includes(row) {
					x, y = append(x, s.size(row)), append(y, f.value(row))
				}
			}
			if len(x) > 1 {
				slope, at0, r2 := fitLine(x, y)
				r.Fits = append(r.Fits, fittedLine{f.name, s.per, slope, at0, r2, y})
			}
		}
	}
}

// fitLine returns the least-squares line through points.
func fitLine(x, y []float64) (slope, at0, r2 float64) {
	n := float64(len(x))
	var sx, sy, sxx, sxy, syy float64
	for i := range x {
		sx, sy = sx+x[i], sy+y[i]
		sxx, sxy, syy = sxx+x[i]*x[i], sxy+x[i]*y[i], syy+y[i]*y[i]
	}
	vx, vy, cov := sxx-sx*sx/n, syy-sy*sy/n, sxy-sx*sy/n
	if vx <= 0 {
		return 0, sy / n, 0
	}
	slope = cov / vx
	if vy > 0 {
		r2 = cov * cov / (vx * vy)
	}
	return slope, (sy - slope*sx) / n, r2
}

func (r report) print(out io.Writer) {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	defer t.Flush()
	if r.Outage != nil {
		r.Outage.print(t)
		return
	}
	fmt.Fprintln(t, "nodes\tworkers\ttasks\ttakeover p50\tmax ms\tin force p50\tp99\tmax ms\tof\twrites/s\treads/s\tunder change\t\tcores\tlive MB\tresident MB\tload\t")
	for _, w := range r.Rows {
		fmt.Fprintf(t, "%d\t%d\t%d\t%.0f\t%.0f\t%.1f\t%.1f\t%.1f\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.3f\t%.0f\t%.0f\t%.1f\t\n",
			w.Nodes, w.Workers, w.Tasks, w.Takeover.P50, w.Takeover.Max, w.InForce.P50, w.InForce.P99, w.InForce.Max,
			w.InForce.Count, w.Rest.Writes, w.Rest.Reads, w.Change.Writes, w.Change.Reads, w.Rest.Cores,
			float64(w.Memory)/1e6, float64(w.Resident)/1e6, w.Load)
	}
	fmt.Fprintln(t, "\nbaseline: each node polls\t\treads/s\tbytes/s per node\tcores per node\tin force p50\tmax ms\t")
	for _, w := range r.Rows {
		fmt.Fprintf(t, "%d\t%d\t%.1f\t%.0f\t%.4f\t%.0f\t%.0f\t\n", w.Nodes, w.Workers, w.Poll.ReadsPerSecond,
			w.Poll.BytesPerNode, w.Poll.CoresPerNode, w.Poll.InForce.P50, w.Poll.InForce.Max)
	}
	fmt.Fprintln(t, "\nfigure\tper\tslope\tat 0\tr2\tpoints\t")
	for _, f := range r.Fits {
		fmt.Fprintf(t, "%s\t%s\t%.5g\t%.4g\t%.3f\t%.4g\t\n", f.Figure, f.Per, f.Slope, f.At0, f.R2, f.Points)
	}
}

func (o outageReport) print(out io.Writer) {
	fmt.Fprintf(out, "outage of %.0f s, %d nodes, %d workers, %d tasks before and %d after, load %.1f\n",
		o.Seconds, o.Nodes, o.Workers, o.TasksBefore, o.TasksAfter, o.Load)
	for _, w := range []struct {
		name string
		rates
	}{{"before", o.Before}, {"during", o.During}, {"after", o.After}} {
		fmt.Fprintf(out, "%s\twrites/s %.1f\treads/s %.1f\tcores %.3f\t%v\n", w.name, w.Writes, w.Reads, w.Cores, w.Calls)
	}
	fmt.Fprintf(out, "most calls in one second after the end: %.0f; seconds above twice the normal rate: %d\n", o.Peak, o.ElevatedSeconds)
	fmt.Fprintf(out, "from the end until each of %d shards decided: p50 %.0f ms, p99 %.0f ms, max %.0f ms\n",
		o.Recovery.Count, o.Recovery.P50, o.Recovery.P99, o.Recovery.Max)
}
