package logline_test

import (
	"strings"
	"testing"

	"bronzewinch.dev/lib/logline"

	"github.com/matryer/is"
)

const sample = `I1204 14:28:08.752922     443 platform.go:147] "node started" event="start" node="node-0" zone="zone"
not a line of the log
I1204 14:28:09.238288     443 cycle.go:275] "decision" event="accepted" job="00bb" reason="queue-0" ageMs=0 config=3 fence=2
I1204 14:28:09.238323     443 cycle.go:275] "decision" event="stop" job="00aa" task="00aa.0.0.0" run=1 reason="job 00bb of account a claims the room"
   9.2493 edge-bole-1 I1204 14:28:09.249335     443 cycle.go:275] "decision" event="start" job="00bb" task="00bb.0.0.0" run=1 worker="i-1"
I1204 14:28:09.260000     443 front.go:173] "call not served" event="call" verb="look" path="/q0/00cc" outcome="refused"
`

// TestTimeline guards against a timeline that omits the lines that explain how a
// job was scheduled, or that contains lines about other jobs.
func TestTimeline(t *testing.T) {
	is := is.New(t)
	lines, err := logline.Read("node-0", strings.NewReader(sample))
	is.NoErr(err)
	is.Equal(len(lines), 5)
	timeline := logline.Timeline(lines, "00bb")
	var events []string
	for _, l := range timeline {
		events = append(events, l.Node+" "+l.Event)
	}
	is.Equal(events, []string{"node-0 start", "node-0 accepted", "node-0 stop", "edge-bole-1 start"})
	is.Equal(timeline[2].Field("reason"), "job 00bb of account a claims the room")
	is.Equal(len(logline.Timeline(lines, "00cc")), 2)
	is.Equal(logline.Timeline(lines, "00dd"), nil)
}
