package soakbench_test

import (
	"testing"
	"time"

	"bronzewinch.dev/bwbench/soakbench"

	// The soak runs the daemon that is made of these packages. Without the
	// imports the go command would repeat an earlier result after a change there.
	_ "bronzewinch.dev/lib/relay"
	_ "bronzewinch.dev/platform"
)

// TestSoak guards against promises that break when faults overlap. Each
// seed has failed once; the comment tells why.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("takes a minute")
	}
	seeds := []uint64{
		1, // a gang that had failed on all workers with room never started again
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
