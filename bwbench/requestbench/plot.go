package requestbench

import (
	"bytes"
	"fmt"
)

const (
	plotWidth, plotHeight = 720, 360
	plotLeft, plotTop     = 60, 30
	axisWidth, axisHeight = 620, 270
	maxLoad               = 3.0
)

var colours = []string{"#1b6ca8", "#c0392b", "#27ae60", "#8e44ad", "#d35400"}

// plot returns an SVG plot of the goodput over the load for each number of entry
// nodes or, without an overload run, of the latencies of the overhead run.
func plot(r report) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">`+"\n",
		plotWidth, plotHeight)
	fmt.Fprintf(&b, `<rect x="%d" y="%d" width="%d" height="%d" fill="none" stroke="#888"/>`+"\n", plotLeft, plotTop, axisWidth, axisHeight)
	if len(r.Overload) > 0 {
		plotOverload(&b, r.Overload)
	} else {
		plotOverhead(&b, r.Overhead)
	}
	b.WriteString("</svg>\n")
	return b.Bytes()
}

func plotOverload(b *bytes.Buffer, rows []overloadRow) {
	fmt.Fprintf(b, `<text x="%d" y="20">goodput (part of capacity, or of the load below it) over load (times capacity)</text>`+"\n", plotLeft)
	for i := range 5 {
		y := plotTop + axisHeight - axisHeight*i/5
		fmt.Fprintf(b, `<text x="20" y="%d">%.2f</text>`+"\n", y, float64(i)/4)
	}
	lines := make(map[int][]overloadRow)
	for _, row := range rows {
		lines[row.Nodes] = append(lines[row.Nodes], row)
	}
	n := 0
	for _, nodes := range []int{1, 2, 4, 8} {
		line := lines[nodes]
		if len(line) == 0 {
			continue
		}
		fmt.Fprintf(b, `<polyline fill="none" stroke="%s" points="`, colours[n])
		for _, row := range line {
			x := plotLeft + axisWidth*row.Load/maxLoad
			y := plotTop + axisHeight*(1-0.8*min(row.Goodput, 1.25))
			fmt.Fprintf(b, "%.1f,%.1f ", x, y)
		}
		fmt.Fprintf(b, `"/><text x="%d" y="%d" fill="%s">%d nodes</text>`+"\n", plotLeft+10, plotTop+200+16*n, colours[n], nodes)
		n++
	}
	for _, load := range []float64{0.5, 1, 2, 3} {
		fmt.Fprintf(b, `<text x="%.1f" y="%d">%.1f</text>`+"\n", plotLeft+axisWidth*load/maxLoad-8, plotTop+axisHeight+16, load)
	}
}

func plotOverhead(b *bytes.Buffer, rows []overheadRow) {
	fmt.Fprintf(b, `<text x="%d" y="20">p99 at half load, in ms, by way to the backend servers</text>`+"\n", plotLeft)
	most := 1.0
	for _, row := range rows {
		most = max(most, row.P99)
	}
	for i, row := range rows {
		height := axisHeight * row.P99 / (1.1 * most)
		x := plotLeft + 10 + i*axisWidth/max(len(rows), 1)
		fmt.Fprintf(b, `<rect x="%d" y="%.1f" width="40" height="%.1f" fill="%s"/><text x="%d" y="%d">%s %.2f</text>`+"\n",
			x, plotTop+axisHeight-height, height, colours[i%3], x, plotTop+axisHeight+16+14*(i%2), row.Path, row.P99)
	}
}
