package soakbench_test

import (
	"testing"
	"time"

	"bronzewinch.dev/bwbench/soakbench"

	// Soak builds and runs the daemon. The imports make the daemon's packages
	// dependencies of the test, so that the go command does not reuse a cached
	// result after a change in them.
	_ "bronzewinch.dev/lib/relay"
	_ "bronzewinch.dev/platform"
)

// TestSoak guards against violations that only overlapping faults cause. Each
// seed has failed once; its comment gives the cause.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("takes a minute")
	}
	seeds := []uint64{
		1, // a gang that had failed on every worker with enough free resources was never started again
	}
	for _, seed := range seeds {
		r, err := soakbench.Soak(soakbench.Config{Seed: seed, FaultDuration: 15 * time.Second, Nodes: 3, Workers: 4, Dir: t.TempDir()})
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
