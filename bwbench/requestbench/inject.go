package requestbench

import (
	"context"
	"math/rand/v2"
	"time"

	"bronzewinch.dev/lib/caller"
	"bronzewinch.dev/standin/backends"
)

// faultInterval is the time between two faults.
const faultInterval = 50 * time.Millisecond

// serverFaults are the faults of backend servers, of which one is selected at random.
// The empty entries keep servers free of faults for part of the time.
var serverFaults = []backends.FaultMix{
	{},
	{},
	{},
	{backends.ResetBefore: 0.05, backends.ResetAfter: 0.05, backends.Truncated: 0.05, backends.WrongEcho: 0.05},
	{backends.RejectBusy: 0.2, backends.Slow: 0.2},
	{backends.Fail: 1},
	{backends.Hang: 0.02},
}

// injectFaults injects one fault in each interval, until ctx ends.
func (f *faultRun) injectFaults(ctx context.Context) {
	ticks := time.NewTicker(faultInterval)
	defer ticks.Stop()
	down := make(map[int]bool)
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			for i := range down {
				_ = f.servers[i].Start()
			}
			return
		case <-ticks.C:
		}
		i := rand.IntN(len(f.servers))
		switch n % 6 {
		case 0, 1:
			f.servers[i].SetFaults(serverFaults[rand.IntN(len(serverFaults))])
		case 2:
			f.restartServers(down, i)
		case 3:
			f.members.setLeaving(f.servers[i].Name(), rand.IntN(2) == 0)
		case 4:
			f.owners.takeover(rand.IntN(caller.Shards))
		case 5:
			f.replaceNode(n)
		}
	}
}

// restartServers starts the killed servers again and kills server i.
func (f *faultRun) restartServers(down map[int]bool, i int) {
	for j := range down {
		_ = f.servers[j].Start()
		delete(down, j)
	}
	f.servers[i].Kill()
	down[i] = true
}

// replaceNode replaces an entry node in every 30th interval. The old node is
// alternately killed and drained.
func (f *faultRun) replaceNode(n int) {
	if n%30 != 5 {
		return
	}
	i := rand.IntN(len(f.nodes))
	old := f.nodes[i].Load()
	f.members.setLive(i, false)
	if err := f.startNode(i); err != nil {
		return
	}
	f.members.setLive(i, true)
	if n%60 == 5 {
		old.kill()
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	_ = old.drain(ctx)
}
