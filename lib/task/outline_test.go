package task_test

import (
	"fmt"
	"testing"
	"time"

	"bronzewinch.dev/lib/task"
	"bronzewinch.dev/lib/unit"

	"github.com/matryer/is"
)

func ExampleFormatSteps() {
	room := unit.Resources{Accelerators: 8, Cores: 13 * unit.Core, Memory: 38 * unit.GiB}
	fmt.Println(task.FormatSteps([]task.Step{{Tasks: 4, Demand: room, Gang: true}, {Tasks: 20, Demand: room, BestEffort: true, After: []int{0}}}))
	// Output: 4x8a13000c38912m,gang 20x8a0c38912m,after=0
}

// TestFormatSteps guards against steps that change when they are formatted and parsed
// again, as an audit of the logs does, and against invalid texts that are accepted.
func TestFormatSteps(t *testing.T) {
	is := is.New(t)
	steps := []task.Step{{Tasks: 4, Demand: unit.Resources{Accelerators: 8, Cores: 500, Memory: unit.GiB}, Gang: true},
		{Tasks: 1, Service: true, Estimate: 1500 * time.Millisecond, After: []int{0}}, {Tasks: 30, Demand: unit.Resources{Cores: 1}, After: []int{0, 1}}}
	got, err := task.ParseSteps(task.FormatSteps(steps))
	is.NoErr(err)
	is.Equal(got, steps)
	for _, text := range []string{"4", "x8a1c1m", "4x8a", "4x8a1c1m,after=", "4x8a1c1m,est=", "4x8a1c1m,after=b"} {
		if _, err := task.ParseSteps(text); err == nil {
			t.Errorf("invalid steps %q were accepted", text)
		}
	}
}
