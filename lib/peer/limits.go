package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"bronzewinch.dev/lib/budget"
	"bronzewinch.dev/lib/netguard"
	"bronzewinch.dev/lib/shard"
	"bronzewinch.dev/lib/unit"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"
	"google.golang.org/grpc/tap"
)

const (
	// handshakeTimeout bounds the time from a connection to its first HTTP/2 frames.
	handshakeTimeout = 5 * time.Second
	// maxHeaderSize bounds the headers of a call. Other nodes send less than 1 KiB.
	maxHeaderSize = 16 << 10
	// maxConnCalls bounds the calls in progress on one connection. Further calls of a node
	// wait until others have ended.
	maxConnCalls = 1024
	// callMemory is what a call in progress takes without its message: two goroutines, the
	// stream and the headers.
	callMemory = 12 * unit.KiB
	// callOverhead is what a call sends beside its message, as far as it is not known.
	callOverhead = 256 * unit.Bytes(1)
	// connMemory is what an open connection takes without calls.
	connMemory = 64 * unit.KiB
	// connShare is the share of a VM's memory that idle connections may take, as a divisor.
	connShare = 4
	// reservedFDs are the descriptors for files, and fdShare the share of the others that
	// connections of other nodes may take, as a divisor.
	reservedFDs = 200
	fdShare     = 2
	// defaultConns and minConns bound the connections on VMs that state no limits, or very
	// low ones.
	defaultConns = 4096
	minConns     = 64
)

// ConnectionsFor returns the connections that other nodes may open on a VM, of which the
// memory and the descriptors are zero if they are not known.
func ConnectionsFor(vm unit.Bytes, fds int) int {
	n := defaultConns
	if vm > 0 {
		n = min(n, int(vm/connShare/connMemory))
	}
	if fds > 0 {
		n = min(n, (fds-reservedFDs)/fdShare)
	}
	return max(n, minConns)
}

// callers counts what the connections of other nodes hold: calls in progress, and messages
// that have not arrived completely. It answers crowds that open connections, begin calls
// and don't end their messages.
type callers struct {
	guard *netguard.Guard
	conns *shard.Map[string, *callerConn] // by remote address
}

func newCallers(g *netguard.Guard) *callers {
	return &callers{guard: g, conns: shard.NewMap[string, *callerConn]()}
}

func (c *callers) options() []grpc.ServerOption {
	return []grpc.ServerOption{grpc.InTapHandle(c.admit), grpc.StatsHandler(callStats{c})}
}

func (c *callers) listen(l net.Listener) net.Listener {
	return c.guard.Listener(l, func(nc *netguard.Conn) netguard.Receiver {
		counted := &callerConn{conn: nc}
		c.conns.Set(nc.RemoteAddr().String(), counted)
		return counted
	})
}

type callerKey struct{}

// admit counts a new call, or rejects it if its connection may hold no more.
func (c *callers) admit(ctx context.Context, _ *tap.Info) (context.Context, error) {
	counted, ok := ctx.Value(callerKey{}).(*callerConn)
	if !ok {
		return ctx, nil
	}
	if !counted.begin() {
		c.guard.Count("callRefused", 1)
		return ctx, status.Error(codes.ResourceExhausted, "the calls of other nodes take too much memory; repeat the call")
	}
	context.AfterFunc(ctx, counted.end)
	return ctx, nil
}

// callerConn counts what one connection holds.
type callerConn struct {
	conn *netguard.Conn

	mu         sync.Mutex
	calls      int        // in progress
	incomplete int        // of these, those whose message has not arrived
	received   unit.Bytes // of messages that have not arrived completely
}

// Received counts what has arrived. Most of it belongs to messages.
func (c *callerConn) Received(b []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.calls == 0 {
		c.conn.Progress()
		return true
	}
	c.received += unit.Bytes(len(b))
	return c.hold()
}

// begin counts a call.
func (c *callerConn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	c.incomplete++
	if c.hold() {
		return true
	}
	c.calls--
	c.incomplete--
	return false
}

// complete records that the message of a call has arrived.
func (c *callerConn) complete(size unit.Bytes) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.incomplete = max(0, c.incomplete-1)
	c.received = max(0, c.received-size-callOverhead)
	c.hold()
}

// end ends the count of a call.
func (c *callerConn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.calls--; c.calls == 0 {
		c.incomplete, c.received = 0, 0
	}
	c.incomplete = min(c.incomplete, c.calls)
	c.hold()
}

// hold sets what the connection holds. It gives way to others only while it has incomplete
// calls or none. The lock is held.
func (c *callerConn) hold() bool {
	phase := budget.Reading
	if c.calls > 0 && c.incomplete == 0 {
		phase = budget.Processing
	}
	c.conn.SetPhase(phase)
	return c.conn.Hold(unit.Bytes(c.calls)*callMemory + c.received)
}

// callStats tells callers which connection a call belongs to, and when its message has
// arrived.
type callStats struct{ callers *callers }

// TagConn adds the connection to the context of its calls.
func (s callStats) TagConn(ctx context.Context, i *stats.ConnTagInfo) context.Context {
	if c, ok := s.callers.conns.Get(i.RemoteAddr.String()); ok {
		return context.WithValue(ctx, callerKey{}, c)
	}
	return ctx
}

// HandleConn forgets connections that have ended.
func (s callStats) HandleConn(ctx context.Context, e stats.ConnStats) {
	c, ok := ctx.Value(callerKey{}).(*callerConn)
	if _, ended := e.(*stats.ConnEnd); !ok || !ended {
		return
	}
	s.callers.conns.Update(c.conn.RemoteAddr().String(), func(present *callerConn, ok bool) (*callerConn, bool) {
		return present, ok && present != c
	})
}

// TagRPC implements stats.Handler.
func (callStats) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC records messages that have arrived.
func (s callStats) HandleRPC(ctx context.Context, e stats.RPCStats) {
	if in, ok := e.(*stats.InPayload); ok {
		if c, ok := ctx.Value(callerKey{}).(*callerConn); ok {
			c.complete(unit.Bytes(in.WireLength))
		}
	}
}
