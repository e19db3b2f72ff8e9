// Package netguard counts what the clients of a listener hold, whatever protocol they speak,
// and closes the connections that package budget chooses. The servers of a protocol tell it
// what a connection holds and what it waits for.
package netguard

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"bronzewinch.dev/lib/budget"
	"bronzewinch.dev/lib/shard"
	"bronzewinch.dev/lib/timer"
	"bronzewinch.dev/lib/unit"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"
)

// Config configures a Guard.
type Config struct {
	// Name identifies the listener in metrics and logs.
	Name string
	// Memory and Connections bound what all clients hold together.
	Memory      unit.Bytes
	Connections int
	Timer       timer.Service
	Metrics     *metrics.Set
}

// Guard bounds what the clients of one listener hold.
type Guard struct {
	config Config
	budget *budget.Budget
	conns  *shard.Map[budget.Holder, *Conn]

	mu       sync.Mutex
	loggedAt time.Time
}

// New returns a Guard.
func New(c Config) *Guard {
	g := &Guard{config: c, budget: budget.New(budget.Config{Memory: c.Memory, Connections: c.Connections}),
		conns: shard.NewMap[budget.Holder, *Conn]()}
	c.Metrics.NewGauge(fmt.Sprintf("bronzewinch_client_connections{listener=%q}", c.Name),
		func() float64 { return float64(g.budget.Connections()) })
	c.Metrics.NewGauge(fmt.Sprintf("bronzewinch_client_held_bytes{listener=%q}", c.Name),
		func() float64 { return float64(g.budget.Held()) })
	return g
}

// Now returns the time of the guard's timer service.
func (g *Guard) Now() time.Time { return g.config.Timer.Now() }

// Listener returns a listener whose connections are counted. The function tells each
// connection who counts what it receives.
func (g *Guard) Listener(l net.Listener, newReceiver func(*Conn) Receiver) net.Listener {
	return listener{l, g, newReceiver}
}

type listener struct {
	net.Listener
	guard       *Guard
	newReceiver func(*Conn) Receiver
}

// Accept accepts a connection and closes those that give way to it.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	host, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err != nil {
		host = c.RemoteAddr().String()
	}
	id, evicted := l.guard.budget.Open(l.guard.Now(), budget.Client(host))
	counted := &Conn{Conn: c, guard: l.guard, id: id}
	counted.receiver = l.newReceiver(counted)
	l.guard.conns.Set(id, counted)
	l.guard.closeEvicted("connectionClosed", evicted)
	return counted, nil
}

// pressureLogInterval is the least time between two log lines about closed or refused
// clients.
const pressureLogInterval = 10 * time.Second

// Count counts clients that were refused or closed for a cause.
func (g *Guard) Count(cause string, n int) {
	g.config.Metrics.GetOrCreateCounter(fmt.Sprintf("bronzewinch_client_refusals_total{listener=%q,cause=%q}", g.config.Name, cause)).Add(n)
	now := g.Now()
	g.mu.Lock()
	due := now.Sub(g.loggedAt) >= pressureLogInterval
	if due {
		g.loggedAt = now
	}
	g.mu.Unlock()
	if due {
		klog.InfoS("clients refused or closed; see the metric for their number", "event", "clients", "listener", g.config.Name,
			"cause", cause, "connections", g.budget.Connections(), "heldBytes", int64(g.budget.Held()))
	}
}

func (g *Guard) closeEvicted(cause string, evicted []budget.Holder) {
	if len(evicted) == 0 {
		return
	}
	g.Count(cause, len(evicted))
	for _, id := range evicted {
		if c, ok := g.conns.Get(id); ok {
			_ = c.Close()
		}
	}
}

// Receiver counts what a connection receives.
type Receiver interface {
	// Received is called with what was read. It returns false if the connection may not
	// hold that much; it is then closed.
	Received(b []byte) bool
}

// Conn is a connection of a client.
type Conn struct {
	net.Conn
	guard    *Guard
	id       budget.Holder
	receiver Receiver
	once     sync.Once
}

// Receiver returns what counts the bytes that the connection receives.
func (c *Conn) Receiver() Receiver { return c.receiver }

var errNoMemory = errors.New("the clients of this node hold too much memory")

// Read reads from the client. It fails if the client may not hold what it sends.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if !c.receiver.Received(p[:n]) {
		c.guard.Count("memoryRefused", 1)
		_ = c.Close()
		return 0, errNoMemory
	}
	return n, err
}

// Write writes to the client, which makes progress by taking what is written.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if n > 0 {
		c.Progress()
	}
	return n, err
}

// Close closes the connection and frees what it holds.
func (c *Conn) Close() error {
	c.once.Do(func() {
		c.guard.budget.Close(c.id)
		c.guard.conns.Delete(c.id)
	})
	return c.Conn.Close()
}

// Progress records that the client has sent something, or has taken some of a reply.
func (c *Conn) Progress() { c.guard.budget.Progress(c.guard.Now(), c.id) }

// SetPhase records what the connection waits for.
func (c *Conn) SetPhase(p budget.Phase) { c.guard.budget.SetPhase(c.guard.Now(), c.id, p) }

// Hold sets the bytes that the connection holds, and closes those that give way to it. It
// returns false if the connection may not hold them; it then holds what it held before.
func (c *Conn) Hold(bytes unit.Bytes) bool {
	evicted, ok := c.guard.budget.Hold(c.guard.Now(), c.id, bytes)
	c.guard.closeEvicted("memoryClosed", evicted)
	return ok
}
