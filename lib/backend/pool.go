package backend

import (
	"context"
	"net"
	"sync"
	"time"

	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/unit"
)

// pool holds the connections to one backend server. Each pool has its own lock.
type pool struct {
	address string
	dialer  net.Dialer

	mu   sync.Mutex
	open unit.Connections // in use and idle
	idle []*conn          // in order of use, the most recent last
}

// get returns an idle connection, or dials a new one if fewer than limit are
// open. The connection counts as open until it is discarded.
func (p *pool) get(ctx context.Context, limit unit.Connections, now, deadline time.Time) (*conn, error) {
	for {
		c, dial, err := p.reserve(limit, now)
		if err != nil {
			return nil, err
		}
		if dial {
			return p.dial(ctx, deadline)
		}
		if c.usable() {
			return c, nil
		}
		p.discard(c)
	}
}

// reserve returns an idle connection, or reports that the caller may dial a new
// one, which then counts as open.
func (p *pool) reserve(limit unit.Connections, now time.Time) (c *conn, dial bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 && now.Sub(p.idle[0].idleSince) > idleTimeout {
		p.idle[0].netConn.Close()
		p.idle = p.idle[1:]
		p.open--
	}
	if n := len(p.idle); n > 0 {
		c = p.idle[n-1]
		p.idle = p.idle[:n-1]
		return c, false, nil
	}
	if p.open >= limit {
		return nil, false, problem.New(problem.Overloaded, problem.Detail{
			Field: "connections", Value: p.address, Remedy: "try another backend server"})
	}
	p.open++
	return nil, true, nil
}

func (p *pool) dial(ctx context.Context, deadline time.Time) (*conn, error) {
	dialer := p.dialer
	dialer.Deadline = deadline
	netConn, err := dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, problem.New(problem.Unavailable, problem.Detail{
			Field: "backend", Value: p.address, Remedy: "try another backend server: " + err.Error()})
	}
	return newConn(netConn), nil
}

// put returns a connection to the pool. It closes the connection if more than
// limit are open, which happens after the node's share was reduced.
func (p *pool) put(c *conn, limit unit.Connections, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open > limit {
		p.open--
		c.netConn.Close()
		return
	}
	c.idleSince = now
	p.idle = append(p.idle, c)
}

func (p *pool) discard(c *conn) {
	c.netConn.Close()
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

func (p *pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		c.netConn.Close()
		p.open--
	}
	p.idle = nil
}
