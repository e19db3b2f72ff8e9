package record

import (
	"strings"
	"testing"
	"time"

	"bronzewinch.dev/lib/unit"

	"github.com/matryer/is"
)

const urgent = "schema = \"v2\"\nkind = \"objective\"\nname = \"urgent\"\nindicator = \"urgentStart\"\ntarget = 0.99\nwindow = \"720h\"\nbound = {time = \"3.6s\"}\n"

// TestObjectiveLimits guards against objectives that can't be evaluated, such as
// one whose bound does not belong to its indicator, or one whose target leaves
// no budget of bad events.
func TestObjectiveLimits(t *testing.T) {
	v1 := "schema = \"v1\"\nkind = \"objective\"\nname = \"large\"\nindicator = \"completion\"\nsizeClass = \"large\"\ntarget = 0.9\nwindowDays = 30\nbound = 2.5\n"
	tests := []struct{ name, text, old, new, field string }{
		{"indicator", urgent, "urgentStart", "speed", "indicator"},
		{"target 1", urgent, "0.99", "1.0", "target"},
		{"window too long", urgent, "720h", "768h", "window"},
		{"time too short", urgent, "3.6s", "3us", "bound.time"},
		{"bound of another indicator", urgent, `time = "3.6s"`, `time = "3.6s", share = 0.5`, "bound"},
		{"class without completion", urgent, "target", "sizeClass = \"small\"\ntarget", "sizeClass"},
		{"completion without class", v1, "sizeClass = \"large\"\n", "", "sizeClass"},
		{"days beyond the range of a duration", v1, "windowDays = 30", "windowDays = 9223372036854775807", "windowDays"},
		{"slowdown 1", v1, "2.5", "1.0", "bound"},
		{"four decimals", v1, "2.5", "2.0001", "bound"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse(tt.text)
			is.NoErr(err)
			_, err = Parse(strings.Replace(tt.text, tt.old, tt.new, 1))
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), " "+tt.field+" "))
		})
	}
}

// TestObjectivesInForce guards against objectives that get lost when a change is
// applied, and against two objectives with different bounds for one measure.
func TestObjectivesInForce(t *testing.T) {
	is := is.New(t)
	s, err := firstSet(t).With(newChange(t, "c2", urgent), 2)
	is.NoErr(err)
	want := Objective{Name: "urgent", Measure: Measure{Indicator: UrgentStart}, Target: 0.99, Window: 720 * time.Hour, Bound: Bound{Time: 3600 * time.Millisecond}}
	is.Equal(s.SortedObjectives(), []Objective{want})
	_, err = s.With(newChange(t, "c3", strings.Replace(urgent, `"urgent"`, `"other"`, 1)), 3)
	is.True(err != nil && strings.Contains(err.Error(), "objective/"))
	removal := Change{ID: "c3", Author: "alice"}
	removal.Remove(Key{Kind: KindObjective, Name: "urgent"}, 2)
	next, err := s.With(removal, 3)
	is.NoErr(err)
	is.Equal(len(next.Objectives), 0)
	is.Equal(len(s.Objectives), 1) // the earlier set is unchanged
}

// TestSizeClassOf guards against changed limits of the size classes, which would
// count jobs for another objective.
func TestSizeClassOf(t *testing.T) {
	is := is.New(t)
	for n, want := range map[unit.Accelerators]SizeClass{0: Small, 2: Small, 3: Medium, 8: Medium, 9: Large} {
		is.Equal(SizeClassOf(n), want)
	}
}
