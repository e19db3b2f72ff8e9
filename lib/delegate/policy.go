package delegate

import (
	"hash/fnv"
	"math"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/unit"
)

const (
	// directWorkersPerCore and directWorkersPerMbit bound the workers that an owner
	// calls itself, by its processor time and by the rate of its network link. At
	// peak load an owner of the large deployment spends about 0.05% of a core and 17
	// kbit/s on each worker; the bounds leave half of the processor and three quarters
	// of the link for the store, the other nodes and bursts.
	directWorkersPerCore = 750
	directWorkersPerMbit = 15
)

// capacity is the number of workers that an owner with the given resources calls
// itself. Resources that are not known do not bound it.
func capacity(cores float64, link unit.MegabitsPerSecond) int {
	limit := math.MaxInt
	if cores > 0 {
		limit = min(limit, int(cores*directWorkersPerCore))
	}
	if link > 0 {
		limit = min(limit, int(float64(link)*directWorkersPerMbit))
	}
	return limit
}

// choose returns the node that makes the calls to the workers of a rack: by weighted
// rendezvous hashing, so that a node that joins or leaves moves only its own share,
// and nodes get workers in proportion to their processor time. Nodes in the zone of
// the worker are preferred, because then only one short message of each call crosses
// zones. All workers of a rack have one node, because the tasks of a job often run in
// one rack and the node receives the job's spec once.
func choose(nodes []Node, zone id.Zone, key string) (Node, bool) {
	var best Node
	bestScore, bestLocal, found := 0.0, false, false
	for _, n := range nodes {
		local := n.Zone == zone
		if bestLocal && !local {
			continue
		}
		score := rendezvousScore(n, key)
		if !found || local && !bestLocal || score > bestScore {
			best, bestScore, bestLocal, found = n, score, local, true
		}
	}
	return best, found
}

// rendezvousScore is exponentially distributed with the node's processor time as rate,
// so that the highest score falls to a node with a probability in proportion to it.
func rendezvousScore(n Node, key string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(n.Address)) // never fails
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(key))
	u := (float64(mix(h.Sum64())>>11) + 0.5) / (1 << 53)
	weight := n.Cores
	if weight <= 0 {
		weight = 1
	}
	return -weight / math.Log(u)
}

// mix spreads the differences of similar keys over all bits of a hash (the finalizer
// of SplitMix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
