package requestbench

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"bronzewinch.dev/lib/answers"
	"bronzewinch.dev/lib/backend"
	"bronzewinch.dev/lib/caller"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/route"
	"bronzewinch.dev/lib/timer"
	"bronzewinch.dev/lib/unit"
	"bronzewinch.dev/standin/backends"

	"github.com/VictoriaMetrics/metrics"
)

const (
	serviceName = "skymap"
	zoneName    = "entoto"
	slots       = 8
	connections = 64
)

// The accounts of the benchmark. The token of an account is its name.
const (
	accountGuaranteed = "school" // has guaranteed slots in the overload run
	accountOther      = "city"   // has no guaranteed slots
)

// backendAddress is the name and address of a backend server, as in the
// configuration of the entry nodes.
type backendAddress struct {
	Name    id.Backend
	Address string
}

// configuration returns the records of the benchmark.
func configuration(list []backendAddress, guaranteed unit.Slots) *record.Set {
	set := record.NewSet()
	s := record.Service{Name: serviceName, Slots: slots, Connections: connections, Timeout: 10 * time.Second,
		MaxRequest: 64 * unit.KiB, MaxResponse: 64 * unit.KiB}
	for _, b := range list {
		s.Backends = append(s.Backends, record.Backend{Name: b.Name, Address: b.Address, Zone: zoneName})
	}
	set.Services[s.Name] = s
	for _, name := range []string{accountGuaranteed, accountOther} {
		h := sha256.Sum256([]byte(name))
		a := record.Account{Name: id.Account(name), Weight: 1, Tokens: []record.TokenHash{record.TokenHash(hex.EncodeToString(h[:]))}}
		if name == accountGuaranteed {
			a.GuaranteedSlots = guaranteed
		}
		set.Accounts[a.Name] = a
	}
	return set
}

// fixedConfig is a configuration that does not change.
type fixedConfig struct{ set *record.Set }

// Current returns the configuration.
func (r fixedConfig) Current() *record.Set { return r.set }

// members holds the live entry nodes and the leaving backend servers. All nodes
// of the process share it.
type members struct {
	mu      sync.Mutex
	live    []bool
	leaving map[id.Backend]bool
}

func newMembers(nodes int) *members {
	m := &members{live: make([]bool, nodes), leaving: make(map[id.Backend]bool)}
	for i := range m.live {
		m.live[i] = true
	}
	return m
}

// Leaving implements caller.Backends.
func (m *members) Leaving(b id.Backend) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leaving[b]
}

func (m *members) setLeaving(b id.Backend, on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving[b] = on
}

func (m *members) setLive(node int, on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.live[node] = on
}

// memberPosition is the position of one node among the live members.
type memberPosition struct {
	members *members
	index   int
}

// Position implements caller.PositionSource.
func (s memberPosition) Position() route.Position {
	s.members.mu.Lock()
	defer s.members.mu.Unlock()
	var n route.Position
	for i, live := range s.members.live {
		if live && i < s.index {
			n.Rank++
		}
		if live {
			n.Count++
		}
	}
	return n
}

// fixedPosition is a position that does not change.
type fixedPosition route.Position

// Position implements caller.PositionSource.
func (s fixedPosition) Position() route.Position { return route.Position(s) }

// entryNode is an entry node that serves on loopback.
type entryNode struct {
	frontend *caller.Frontend
	sender   *backend.Client
	server   *http.Server
	set      *metrics.Set
	url      string
	done     chan struct{}
}

// entryNodeConfig configures an entryNode.
type entryNodeConfig struct {
	name           id.Node
	configSource   caller.ConfigSource
	positionSource caller.PositionSource
	backends       caller.Backends
	deduplicator   caller.Deduplicator
	responses      caller.ResponseStore
}

func newEntryNode(c entryNodeConfig) (*entryNode, error) {
	clock := timer.NewSystem()
	e := &entryNode{sender: backend.New(backend.Config{Clock: clock}), set: metrics.NewSet(), done: make(chan struct{})}
	if c.responses == nil {
		c.responses = caller.LocalResponseStore{Store: answers.New(answers.Config{MaxBytes: 64 * unit.MiB}), Clock: clock}
	}
	e.frontend = caller.New(caller.Config{
		Node: c.name, Zone: zoneName, ConfigSource: c.configSource, PositionSource: c.positionSource, Backends: c.backends, Deduplicator: c.deduplicator,
		Responses: c.responses, Sender: e.sender, Clock: clock, Metrics: e.set,
		MaxQueue: 4096, MaxAccountQueue: 2048, MaxBodyBytes: 64 * unit.MiB,
		ServerLimits: caller.ServerLimits{Connections: maxInFlight},
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e.url = "http://" + l.Addr().String()
	e.server = caller.NewServer(e.frontend)
	go func() {
		defer close(e.done)
		_ = e.server.Serve(l)
	}()
	return e, nil
}

// kill closes all connections of the node at once and releases its resources.
func (e *entryNode) kill() {
	e.server.Close()
	<-e.done
	e.frontend.Close()
	e.sender.Close()
}

// drain shuts the node down without interrupting a request.
func (e *entryNode) drain(ctx context.Context) error {
	if err := e.frontend.Drain(ctx); err != nil {
		return err
	}
	err := e.server.Shutdown(ctx)
	<-e.done
	e.frontend.Close()
	e.sender.Close()
	return err
}

// count returns the value of a counter of the node.
func (e *entryNode) count(name string) uint64 { return e.set.GetOrCreateCounter(name).Get() }

// newBackends starts stand-in backend servers and returns them with their
// addresses.
func newBackends(n int, serviceTime func() time.Duration, keepLog bool) ([]*backends.Server, []backendAddress, error) {
	var servers []*backends.Server
	var list []backendAddress
	for i := range n {
		s, err := backends.New(backends.Config{Name: id.Backend(fmt.Sprintf("b%02d", i)), Slots: slots,
			Connections: connections, ServiceTime: serviceTime, RecordRuns: keepLog})
		if err != nil {
			return nil, nil, err
		}
		servers = append(servers, s)
		list = append(list, backendAddress{s.Name(), s.Address()})
	}
	return servers, list, nil
}
