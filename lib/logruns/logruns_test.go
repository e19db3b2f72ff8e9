package logruns_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"bronzewinch.dev/lib/logline"
	"bronzewinch.dev/lib/logruns"

	"github.com/matryer/is"
)

// TestCompare guards against runs that are compared with the wrong estimate or counted more
// than once, and against errors that are mixed up.
func TestCompare(t *testing.T) {
	is := is.New(t)
	const header = "I1204 14:28:%02d.000000 443 cycle.go:275] \"decision\" fence=1 commit=1 "
	var log strings.Builder
	write := func(n int, fields string) { log.WriteString(fmt.Sprintf(header, n) + fields + "\n") }
	for n := range 10 {
		job := fmt.Sprintf("%016x", n)
		write(n, fmt.Sprintf(`event="accepted" job=%q reason="q" account="a" steps="2x1a1000c1m,gang,est=1000 1x1a1000c1m,est=500"`, job))
		for i := range 2 {
			write(n, fmt.Sprintf(`event="ended" job=%q task="%s.0.0.%d" run=1 reason="done: reported by the worker" ageMs=4000 expectedMs=2000`, job, job, i))
		}
		write(n, fmt.Sprintf(`event="ended" job=%q task="%s.0.1.0" run=1 reason="failed: reported by the worker" ageMs=100 expectedMs=2000`, job, job))
		write(n, fmt.Sprintf(`event="ended" job=%q task="%s.0.1.0" run=2 reason="done: reported by the worker" ageMs=4000`, job, job))
	}
	lines, err := logline.Read("node", strings.NewReader(log.String()))
	is.NoErr(err)
	all := logruns.Compare(lines)
	is.Equal(len(all), 1)
	q := all[0]
	is.Equal(q.Expected.Runs, 10) // gangs, each once
	is.True(q.Expected.Median > 1.99 && q.Expected.Median < 2.01)
	is.True(q.Estimate.Median > 3.99 && q.Estimate.Median < 4.01)
	is.True(q.Ratio.Median < 1.5)
	is.True(q.Median > 3*time.Second && q.Median < 5*time.Second)
	worst, ok := logruns.Worst(all)
	is.True(ok)
	is.Equal(worst.Name, q.Name)
	_, ok = logruns.Worst(nil)
	is.True(!ok)
}
