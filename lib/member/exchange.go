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

// Periods and bounds of the exchange. Each node calls Fanout others each
// ExchangeEvery, in turn, so its traffic grows with the size of one table and
// not with the square of the number of nodes.
const (
	ExchangeInterval = 700 * time.Millisecond
	Fanout           = 2
	exchangeTimeout  = 500 * time.Millisecond
	// statusRounds is the number of rounds in which a node sends its new status
	// without being asked, so that a leaving node is known at once.
	statusRounds = 4
)

// Peers sends beats to the node at an address and returns the beats it knows.
type Peers interface {
	Exchange(ctx context.Context, address string, digest []Heartbeat) ([]Heartbeat, error)
}

// Status is what the node says of itself in each beat.
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
	// Seeds are addresses of nodes that are tried while no other is known.
	Seeds []string
	Timer timer.Service
	Peers Peers
	// Status returns what the node says of itself.
	Status func() Status
	Table  *Table
}

// Exchanger passes beats between this node and the others.
type Exchanger struct {
	config Config
	start  int64
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu            sync.Mutex
	seq           uint64
	statusVersion uint64 // count at the last change of said
	lastStatus    Status
	round         int
}

// NewExchanger starts the exchange. Close ends it.
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

// Close ends the exchange and waits for the calls in progress.
func (x *Exchanger) Close() {
	x.cancel()
	x.wg.Wait()
}

// RunRound offers the known beats to the next nodes in turn and takes over their
// answers. A planned stop calls it once more, so that others learn of it.
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

// HandleExchange takes over the beats of a caller and returns those that it lacks.
func (x *Exchanger) HandleExchange(_ context.Context, digest []Heartbeat) ([]Heartbeat, error) {
	now := x.config.Timer.Now()
	x.config.Table.Merge(digest, now)
	x.config.Table.NotifySubscribers(now)
	return x.config.Table.Missing(digest), nil
}

// mergeOwnHeartbeat writes a new beat of this node into the table.
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

// targets returns the addresses for this round: the next live nodes in turn,
// one node that counts as failed from time to time, or the seeds.
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

// HandleVMList takes over what the VM list says.
func (x *Exchanger) HandleVMList(list vmlist.List) {
	now := x.config.Timer.Now()
	x.config.Table.MergeVMList(list, now)
	x.config.Table.NotifySubscribers(now)
}
