package member_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/member"
	"bronzewinch.dev/lib/timer"
	"bronzewinch.dev/lib/vmlist"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

func joinNames(nodes []member.Node, match func(member.Node) bool) string {
	out := ""
	for _, n := range nodes {
		if match(n) {
			out += string(n.ID) + " "
		}
	}
	return out
}

func live(n member.Node) bool { return n.Live }

// TestOldHeartbeatsAreIgnored guards against a delayed message that makes a failed
// node look live, or that overwrites the state of a restarted node with that of its
// predecessor.
func TestOldHeartbeatsAreIgnored(t *testing.T) {
	tests := []struct {
		name         string
		heartbeat    member.Heartbeat
		wantLive     bool
		wantRevision id.Revision
	}{
		{"same heartbeat again", member.Heartbeat{ID: "b", Start: 2, Seq: 9, Revision: 1}, false, 7},
		{"older seq", member.Heartbeat{ID: "b", Start: 2, Seq: 8, Revision: 1}, false, 7},
		{"older start", member.Heartbeat{ID: "b", Start: 1, Seq: 99, Revision: 1}, false, 7},
		{"newer seq", member.Heartbeat{ID: "b", Start: 2, Seq: 10, Revision: 8}, true, 8},
		{"restarted", member.Heartbeat{ID: "b", Start: 3, Seq: 1, Revision: 8}, true, 8},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table := member.NewTable("a")
			table.Merge([]member.Heartbeat{{ID: "b", Start: 2, Seq: 9, Revision: 7}}, start)
			later := start.Add(member.SuspectAfter)
			table.Merge([]member.Heartbeat{tt.heartbeat}, later)
			n, ok := table.Node("b", later)
			is.True(ok)
			is.Equal(n.Live, tt.wantLive)
			is.Equal(n.Revision, tt.wantRevision)
		})
	}
}

// TestVMListIsMerged guards against an outdated VM list that overrides heartbeats,
// and against nodes that remain in the table after they are no longer listed and
// send no heartbeats.
func TestVMListIsMerged(t *testing.T) {
	is := is.New(t)
	table := member.NewTable("a")
	table.Merge([]member.Heartbeat{{ID: "b", Start: 1, Seq: 1, Leaving: true}}, start)
	table.MergeVMList(vmlist.List{VMs: []vmlist.VM{
		{Name: "b", Role: vmlist.Entry, State: vmlist.Live},
		{Name: "c", Role: vmlist.Entry, State: vmlist.Leaving},
		{Name: "s1", Role: vmlist.Backend, State: vmlist.Live},
	}}, start)
	is.Equal(joinNames(table.Nodes(start), live), "b c ")
	is.Equal(joinNames(table.Nodes(start), func(n member.Node) bool { return n.Leaving }), "b c ")

	later := start.Add(member.SuspectAfter)
	is.Equal(joinNames(table.Nodes(later), live), "") // still listed, but without heartbeats
	table.MergeVMList(vmlist.List{}, later)
	is.Equal(len(table.Nodes(later)), 0)
}

// TestOwnerOf guards against the wrong owner after a takeover, while heartbeats of
// the previous owner still arrive.
func TestOwnerOf(t *testing.T) {
	is := is.New(t)
	table := member.NewTable("a")
	table.Merge([]member.Heartbeat{
		{ID: "b", Start: 1, Seq: 1, Owned: map[id.Shard]id.Epoch{"place/bole": 3}},
		{ID: "c", Start: 1, Seq: 1, Owned: map[id.Shard]id.Epoch{"place/bole": 4}},
	}, start)
	n, epoch, ok := table.OwnerOf("place/bole", start)
	is.True(ok)
	is.Equal(n.ID, id.Node("c"))
	is.Equal(epoch, id.Epoch(4))
	_, _, ok = table.OwnerOf("place/bole", start.Add(member.SuspectAfter))
	is.True(!ok)
}

// TestSubscribe guards against subscribers that are not notified of a failed node,
// and against notifications without a change.
func TestSubscribe(t *testing.T) {
	is := is.New(t)
	table := member.NewTable("a")
	changes, stop := table.Subscribe()
	defer stop()
	table.Merge([]member.Heartbeat{{ID: "b", Start: 1, Seq: 1}}, start)
	table.NotifySubscribers(start)
	<-changes
	table.NotifySubscribers(start)
	is.Equal(len(changes), 0)
	table.NotifySubscribers(start.Add(member.SuspectAfter))
	<-changes
}

// fakeNetwork runs exchanges between the tables of several nodes in one process.
type fakeNetwork struct {
	tables       map[string]*member.Table
	disconnected map[string]bool
	now          time.Time
}

func (n *fakeNetwork) exchange(from, to string) {
	if n.disconnected[from] || n.disconnected[to] {
		return
	}
	digest := n.tables[from].Digest(0)
	n.tables[to].Merge(digest, n.now)
	n.tables[from].Merge(n.tables[to].Missing(digest), n.now)
}

// TestAllNodesDetectFailure guards against a failed node that remains live on some
// node because others continue to forward its last heartbeat.
func TestAllNodesDetectFailure(t *testing.T) {
	is := is.New(t)
	const nodes = 8
	network := &fakeNetwork{tables: make(map[string]*member.Table), disconnected: make(map[string]bool), now: start}
	name := func(i int) string { return fmt.Sprint("n", i) }
	for i := range nodes {
		network.tables[name(i)] = member.NewTable(id.Node(name(i)))
	}
	round := func(r int) {
		network.now = network.now.Add(member.ExchangeInterval)
		for i := range nodes {
			if network.disconnected[name(i)] {
				continue
			}
			network.tables[name(i)].Merge([]member.Heartbeat{{ID: id.Node(name(i)), Start: 1, Seq: uint64(r)}}, network.now)
			for k := range member.Fanout {
				network.exchange(name(i), name((i+1+(r*member.Fanout+k)%(nodes-1))%nodes))
			}
		}
	}
	for r := 1; r <= 10; r++ {
		round(r)
	}
	network.disconnected["n3"] = true
	// The last heartbeat reaches all nodes in a few rounds. The timeout
	// SuspectAfter takes four more.
	for r := 11; r <= 18; r++ {
		round(r)
	}
	for i := range nodes {
		if i == 3 {
			continue
		}
		n, _ := network.tables[name(i)].Node("n3", network.now)
		is.True(!n.Live) // n3 must not count as live on any other node
		is.Equal(len(joinNames(network.tables[name(i)].Nodes(network.now), live)), (nodes-1)*3)
	}
}

// TestHeartbeatsWithoutStatus guards against a status that is lost, reverts to an
// older one, or is sent repeatedly, when most heartbeats carry no status.
func TestHeartbeatsWithoutStatus(t *testing.T) {
	is := is.New(t)
	a, b := member.NewTable("a"), member.NewTable("b")
	status := func(seq, statusVersion uint64, revision id.Revision) []member.Heartbeat {
		return []member.Heartbeat{{ID: "a", Address: "x", Start: 1, Seq: seq, StatusVersion: statusVersion, Revision: revision}}
	}
	a.Merge(status(9, 1, 7), start)
	digest := a.Digest(4)
	is.True(digest[0].WithoutStatus)
	b.Merge(digest, start)
	is.Equal(len(b.Nodes(start)), 0) // a heartbeat without status does not add a node
	b.Merge(a.Missing(nil), start)
	n, _ := b.Node("a", start)
	is.Equal(n.Revision, id.Revision(7))
	is.Equal(len(a.Missing(b.Heartbeats())), 0) // a status that the peer has is not sent again

	a.Merge(status(10, 1, 7), start)
	later := start.Add(member.SuspectAfter)
	b.Merge(a.Digest(4), later)
	n, _ = b.Node("a", later)
	is.True(n.Live)
	is.Equal(n.Address, "x")

	// The StatusVersion of a new status arrives before the status.
	a.Merge(status(11, 11, 8), later)
	b.Merge(a.Digest(0), later)
	n, _ = b.Node("a", later)
	is.Equal(n.Revision, id.Revision(7))
	b.Merge(a.Missing(b.Digest(0)), later)
	n, _ = b.Node("a", later)
	is.Equal(n.Revision, id.Revision(8))
	b.Merge(status(12, 1, 7), later) // an older status is ignored
	n, _ = b.Node("a", later)
	is.Equal(n.Revision, id.Revision(8))
}

type unresponsivePeers struct{}

func (unresponsivePeers) Exchange(context.Context, string, []member.Heartbeat) ([]member.Heartbeat, error) {
	return nil, context.DeadlineExceeded
}

// TestHandleExchangeReturnsOwnHeartbeat guards against a reply without the heartbeat
// of the called node, from which the caller learns of it. It also guards against a
// Close that hangs while no peer replies.
func TestHandleExchangeReturnsOwnHeartbeat(t *testing.T) {
	is := is.New(t)
	table := member.NewTable("a")
	x := member.NewExchanger(member.Config{
		Self: "a", Zone: "bole", Address: "127.0.0.1:1", Seeds: []string{"127.0.0.1:2"},
		Timer: timer.NewManual(start), Peers: unresponsivePeers{}, Table: table,
		Status: func() member.Status { return member.Status{Revision: 4} },
	})
	defer x.Close()
	reply, err := x.HandleExchange(t.Context(), []member.Heartbeat{{ID: "b", Start: 1, Seq: 1}})
	is.NoErr(err)
	is.Equal(len(reply), 1) // without the heartbeat of the caller
	is.Equal(reply[0].ID, id.Node("a"))
	is.Equal(reply[0].Revision, id.Revision(4))
	n, ok := table.Node("a", start)
	is.True(ok)
	is.Equal(n.Revision, id.Revision(4))
}
