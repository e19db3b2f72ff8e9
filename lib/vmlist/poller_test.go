package vmlist_test

import (
	"context"
	"testing"
	"time"

	"bronzewinch.dev/lib/timer"
	"bronzewinch.dev/lib/vmlist"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// fakeReader is a Reader whose reads return a list of one VM and the errors that
// the test sends to the channel.
type fakeReader chan error

func (r fakeReader) Read(ctx context.Context) (vmlist.List, error) {
	select {
	case err := <-r:
		return vmlist.List{VMs: []vmlist.VM{{Name: "n1"}}}, err
	case <-ctx.Done():
		return vmlist.List{}, ctx.Err()
	}
}

// TestPollerSkipsFailedReads guards against an outage of the platform that is
// passed to the receivers as an empty list of VMs.
func TestPollerSkipsFailedReads(t *testing.T) {
	is := is.New(t)
	clock := timer.NewManual(time.Unix(0, 0))
	reader, lists := make(fakeReader), make(chan vmlist.List, 10)
	p := vmlist.NewPoller(vmlist.PollerConfig{
		Reader: reader, Interval: time.Second, Timer: clock, Metrics: metrics.NewSet(),
		Receivers: []func(vmlist.List){func(l vmlist.List) { lists <- l }},
	})
	reader <- nil
	is.Equal(len((<-lists).VMs), 1)
	clock.Advance(time.Second)
	reader <- errors.New("down")
	clock.Advance(time.Second)
	reader <- nil
	is.Equal(len((<-lists).VMs), 1)
	is.Equal(len(lists), 0) // the failed read was not passed on
	p.Close()
}
