// Package ownership decides which node owns which shard, when a node claims a shard
// or hands it over, and whether a node's lease is valid. It makes no calls.
package ownership

import (
	"cmp"
	"slices"
	"strings"

	"bronzewinch.dev/lib/id"
)

// placementPrefix is the prefix of the names of placement shards, which end with
// their zone.
const placementPrefix = "place/"

// MaxOwners is the maximum number of nodes that own shards. Each of them renews its
// lease 1.67 times per second, and the whole system may make no more than 20 writes
// per second to the key-value service.
const MaxOwners = 8

// Candidate is a node that can own shards: live and not leaving.
type Candidate struct {
	ID   id.Node
	Zone id.Zone
}

// ZoneOf returns the zone of a placement shard.
func ZoneOf(shard id.Shard) (id.Zone, bool) {
	zone, ok := strings.CutPrefix(string(shard), placementPrefix)
	return id.Zone(zone), ok
}

// PreferenceOrder returns the nodes in the order in which they should own a shard,
// by rendezvous hashing. For a placement shard, the nodes of its zone come first.
// When a node joins or fails, the order of the other nodes does not change.
func PreferenceOrder(shard id.Shard, nodes []Candidate) []Candidate {
	zone, isPlacement := ZoneOf(shard)
	type ranked struct {
		Candidate
		sameZone bool
		score    uint64
	}
	list := make([]ranked, len(nodes))
	for i, n := range nodes {
		list[i] = ranked{n, isPlacement && n.Zone == zone, score(shard, n.ID)}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		if a.sameZone != b.sameZone {
			if a.sameZone {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.ID, b.ID))
	})
	order := make([]Candidate, len(list))
	for i := range list {
		order[i] = list[i].Candidate
	}
	return order
}

// score is FNV-1a with a finalizer, which distributes names that differ in one
// character. It must give the same result in all processes and versions.
func score(shard id.Shard, node id.Node) uint64 {
	h := uint64(14695981039346656037)
	for _, s := range []string{string(node), "\x00", string(shard)} {
		for i := range len(s) {
			h = (h ^ uint64(s[i])) * 1099511628211
		}
	}
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}

// EligibleOwners returns the nodes that may own shards, up to MaxOwners: first the
// best one of each zone by rendezvous hashing, so that placement shards can stay in
// their zone, then the best of the others. When a node joins or fails, at most one
// other node enters or leaves the result.
func EligibleOwners(nodes []Candidate) []Candidate {
	if len(nodes) <= MaxOwners {
		return nodes
	}
	order := PreferenceOrder("owners", nodes)
	bestInZone := make(map[id.Zone]id.Node)
	for _, n := range order {
		if _, ok := bestInZone[n.Zone]; !ok {
			bestInZone[n.Zone] = n.ID
		}
	}
	slices.SortStableFunc(order, func(a, b Candidate) int {
		switch bestA, bestB := bestInZone[a.Zone] == a.ID, bestInZone[b.Zone] == b.ID; {
		case bestA && !bestB:
			return -1
		case bestB && !bestA:
			return 1
		}
		return 0
	})
	return order[:MaxOwners]
}

// Assign returns the preferred owner of each shard: the first node in its preference
// order that is below the limit. The limit is the mean number of shards per node,
// rounded up, plus one, so that no owner has many more shards than the others;
// placement shards and other shards are counted separately. Only EligibleOwners get
// shards. The result does not depend on the order of the arguments.
func Assign(shards []id.Shard, nodes []Candidate) map[id.Shard]id.Node {
	owners := make(map[id.Shard]id.Node, len(shards))
	nodes = EligibleOwners(nodes)
	if len(nodes) == 0 {
		return owners
	}
	groups := make(map[bool][]id.Shard)
	for _, s := range shards {
		_, isPlacement := ZoneOf(s)
		groups[isPlacement] = append(groups[isPlacement], s)
	}
	for _, group := range groups {
		slices.Sort(group)
		limit := (len(group)+len(nodes)-1)/len(nodes) + 1
		load := make(map[id.Node]int)
		for _, s := range group {
			order := PreferenceOrder(s, nodes)
			i := max(0, slices.IndexFunc(order, func(c Candidate) bool { return load[c.ID] < limit }))
			owners[s] = order[i].ID
			load[order[i].ID]++
		}
	}
	return owners
}

// Rank returns the rank of a node in the succession of a shard: zero for the
// preferred owner, then the other EligibleOwners, then the remaining nodes, and
// len(nodes) for a node that is not a candidate.
func Rank(shard id.Shard, preferred, node id.Node, nodes []Candidate) int {
	if node == preferred {
		return 0
	}
	owners := EligibleOwners(nodes)
	rest := slices.DeleteFunc(slices.Clone(nodes), func(c Candidate) bool { return slices.Contains(owners, c) })
	rank := 1
	for _, c := range append(PreferenceOrder(shard, owners), PreferenceOrder(shard, rest)...) {
		if c.ID == node {
			return rank
		}
		if c.ID != preferred {
			rank++
		}
	}
	return len(nodes)
}
