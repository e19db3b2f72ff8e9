package coordination

import (
	"fmt"
	"testing"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/standin/kvservice"
)

// TestAddShards guards against a process that crashes when shards are added while
// it claims others. review/shards.sh runs it in package standin/coordination.
func TestAddShards(t *testing.T) {
	s := kvservice.New(kvservice.Config{})
	defer s.Close()
	var shards []id.Shard
	for i := range 61 {
		shards = append(shards, id.Shard(fmt.Sprintf("once/%02d", i)))
	}
	o, _ := startOwner(s, "n0", newMembers(1), shards, 0)
	defer o.Close()
	for i := range 900 {
		time.Sleep(2 * time.Millisecond)
		shards = append([]id.Shard{id.Shard(fmt.Sprintf("place/%d", i))}, shards...)
		o.SetShards(shards)
	}
}
