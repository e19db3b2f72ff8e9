package dependency_test

import (
	"bytes"
	"errors"
	"flag"
	"strings"
	"testing"
	"time"

	"bronzewinch.dev/lib/dependency"
	"bronzewinch.dev/lib/timer"

	"github.com/matryer/is"
	"k8s.io/klog/v2"
)

// TestLogsOneLinePerStateChange guards against an outage that fills the log with
// one line for each failed call.
func TestLogsOneLinePerStateChange(t *testing.T) {
	is := is.New(t)
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	is.NoErr(flags.Set("logtostderr", "false"))
	var out bytes.Buffer
	klog.SetOutput(&out)
	defer klog.SetOutput(nil)
	clock := timer.NewManual(time.Unix(0, 0))
	d := dependency.New("store", clock)
	d.Observe(nil)
	for range 100 {
		d.Observe(errors.New("no answer"))
		clock.Advance(10 * time.Millisecond)
	}
	is.Equal(d.Downtime(), time.Second)
	d.Observe(nil)
	d.Observe(nil)
	klog.Flush()
	is.Equal(d.Downtime(), time.Duration(0))
	is.Equal(strings.Count(out.String(), "\n"), 2)
	is.True(strings.Contains(out.String(), "failedCalls=100"))
}
