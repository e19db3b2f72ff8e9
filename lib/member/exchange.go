package member

import (
	"context"
	"maps"
	"sync"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/timer"
	"bronzewinch.dev/lib/vmlist"
)

// Intervals and limits of the exchange. In each ExchangeInterval a node calls
// Fanout other nodes, in rotation. Its traffic therefore grows with the size of one
// table and not with the square of the number of nodes.
const (
	ExchangeInterval = 700 * time.Millisecond
	Fanout           = 2
	exchangeTimeout  = 500 * time.Millisecond
	// statusRounds is the number of rounds in which a node's digest contains its new
	// status after a change, so that other nodes learn immediately that it is leaving.
	statusRounds = 4
)

// Peers calls other nodes.
type Peers interface {
	// Exchange sends a digest to the node at an address and returns the heartbeats
	// that the digest lacks.
	Exchange(ctx context.Context, address string, digest []Heartbeat) ([]Heartbeat, error)
}

// Status is the part of a heartbeat that changes rarely.
type Status struct {
	Leaving  bool
	Revision id.Revision
	Owned    map[id.Shard]id.Epoch
}

func (s Status) equal(other Status) bool {
	return s.Leaving == other.Leaving && s.Revision == other.Revision && maps.Equal(s.Owned, other.Owned)
}

// Config configures an Exchanger.
type Config struct {
	Self    id.Node
	Zone    id.Zone
	Address string
	// Seeds are the addresses that the node calls while it knows no live node.
	Seeds []string
	Timer timer.Service
	Peers Peers
	// Status returns the current status of this node.
	Status func() Status
	Table  *Table
}

// Exchanger exchanges heartbeats with the other nodes, as a gossip protocol.
type Exchanger struct {
	config Config
	start  int64
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu            sync.Mutex
	seq           uint64
	statusVersion uint64 // seq at the last change of lastStatus
	lastStatus    Status
	round         int
}

// NewExchanger starts the periodic exchange. Stop it with Close.
func NewExchanger(c Config) *Exchanger {
	ctx, cancel := context.WithCancel(context.Background())
	x := &Exchanger{config: c, start: c.Timer.Now().UnixNano(), cancel: cancel}
	x.mergeOwnHeartbeat()
	x.wg.Go(func() {
		tick := c.Timer.Every(ExchangeInterval)
		defer tick.Stop()
		for {
			x.RunRound(ctx)
			select {
			case <-tick.C:
			case <-ctx.Done():
				return
			}
		}
	})
	return x
}

// Close stops the exchange and waits for the calls in progress.
func (x *Exchanger) Close() {
	x.cancel()
	x.wg.Wait()
}

// RunRound sends the digest of the table to the next nodes in rotation and merges
// their replies into the table. A planned stop calls it once more, to notify the
// other nodes immediately.
func (x *Exchanger) RunRound(ctx context.Context) {
	x.mergeOwnHeartbeat()
	digest := x.config.Table.Digest(statusRounds)
	var wg sync.WaitGroup
	for _, address := range x.targets() {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
			defer cancel()
			reply, err := x.config.Peers.Exchange(ctx, address, digest)
			if err == nil {
				x.config.Table.Merge(reply, x.config.Timer.Now())
			}
		})
	}
	wg.Wait()
	x.config.Table.NotifySubscribers(x.config.Timer.Now())
}

// HandleExchange merges the digest of a caller into the table and returns the
// heartbeats that the digest lacks.
func (x *Exchanger) HandleExchange(_ context.Context, digest []Heartbeat) ([]Heartbeat, error) {
	now := x.config.Timer.Now()
	x.config.Table.Merge(digest, now)
	x.config.Table.NotifySubscribers(now)
	return x.config.Table.Missing(digest), nil
}

// mergeOwnHeartbeat merges a new heartbeat of this node into the table.
func (x *Exchanger) mergeOwnHeartbeat() {
	s := x.config.Status()
	x.mu.Lock()
	x.seq++
	if x.statusVersion == 0 || !s.equal(x.lastStatus) {
		x.statusVersion, x.lastStatus = x.seq, s
	}
	seq, statusVersion := x.seq, x.statusVersion
	x.mu.Unlock()
	x.config.Table.Merge([]Heartbeat{{
		ID: x.config.Self, Zone: x.config.Zone, Address: x.config.Address, Start: x.start,
		Seq: seq, StatusVersion: statusVersion, Leaving: s.Leaving, Revision: s.Revision, Owned: s.Owned,
	}}, x.config.Timer.Now())
}

// targets returns the addresses to call in this round: the next live nodes in
// rotation and, in every fourth round, a failed node. Without a live node it
// returns a failed node or a seed.
func (x *Exchanger) targets() []string {
	var live, failed []string
	for _, n := range x.config.Table.Nodes(x.config.Timer.Now()) {
		switch {
		case n.ID == x.config.Self || n.Address == "" || n.Address == x.config.Address:
		case n.Live:
			live = append(live, n.Address)
		default:
			failed = append(failed, n.Address)
		}
	}
	if len(live) == 0 {
		failed = append(failed, x.seeds()...)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.round++
	var out []string
	for i := range min(Fanout, len(live)) {
		out = append(out, live[(x.round*Fanout+i)%len(live)])
	}
	if len(failed) > 0 && (len(live) == 0 || x.round%4 == 0) {
		out = append(out, failed[x.round%len(failed)])
	}
	return out
}

func (x *Exchanger) seeds() []string {
	var out []string
	for _, s := range x.config.Seeds {
		if s != x.config.Address {
			out = append(out, s)
		}
	}
	return out
}

// HandleVMList merges a new VM list into the table.
func (x *Exchanger) HandleVMList(list vmlist.List) {
	now := x.config.Timer.Now()
	x.config.Table.MergeVMList(list, now)
	x.config.Table.NotifySubscribers(now)
}
