package unit_test

import (
	"fmt"
	"testing"

	"bronzewinch.dev/lib/unit"

	"github.com/matryer/is"
)

// TestFits guards against a task that is placed on a worker with too few resources
// in one dimension.
func TestFits(t *testing.T) {
	free := unit.Resources{Accelerators: 4, Cores: 8 * unit.Core, Memory: 16 * unit.GiB}
	tests := []struct {
		name string
		need unit.Resources
		want bool
	}{
		{"exact", free, true},
		{"accelerators short", unit.Resources{Accelerators: 5}, false},
		{"cores short", unit.Resources{Cores: 8*unit.Core + 1}, false},
		{"memory short", unit.Resources{Memory: 16*unit.GiB + 1}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(tt.need.Fits(free), tt.want)
		})
	}
}

func ExampleBytes_String() {
	fmt.Println(512*unit.GiB, 1536*unit.KiB, unit.Bytes(12))
	// Output: 512 GiB 1.5 MiB 12 B
}
