package node

import (
	"sync/atomic"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/member"
	"bronzewinch.dev/lib/owner"
	"bronzewinch.dev/lib/timer"
)

// directory looks up the owners of shards. It uses the watch of the owners' keys
// in the key-value service; while that is unavailable, it uses the heartbeats.
type directory struct {
	table *member.Table
	clock timer.Service
	owner atomic.Pointer[owner.Owner] // nil until the owner.Owner has started
}

// OwnerOf returns the owner of a shard and its address. It returns false if the
// owner is not known.
func (d *directory) OwnerOf(s id.Shard) (id.Node, string, bool) {
	now := d.clock.Now()
	if o := d.owner.Load(); o != nil {
		if holder, ok := o.HolderOf(s); ok {
			if n, known := d.table.Node(holder, now); known {
				return n.ID, n.Address, true
			}
		}
	}
	n, _, ok := d.table.OwnerOf(s, now)
	return n.ID, n.Address, ok
}
