package cooperative

import (
	"io"
	"net"
	"sync"
	"time"
)

// ProxyMode is how a proxy treats the bytes of its connections.
type ProxyMode int

// The modes of a proxy.
const (
	// Forward forwards bytes in both directions.
	Forward ProxyMode = iota
	// Delay forwards bytes after proxyDelay.
	Delay
	// BlockReplies holds back the bytes that the target sends, as in a one-way
	// partition.
	BlockReplies
	// BlockAll holds back the bytes of both directions and keeps connections open.
	BlockAll
)

const proxyDelay = 150 * time.Millisecond

// Proxy forwards TCP connections on loopback and injects network faults.
type Proxy struct {
	target   string
	listener net.Listener

	mu      sync.Mutex
	mode    ProxyMode
	modeAt  time.Time // when mode was last set, or zero
	changed chan struct{}
	conns   map[net.Conn]struct{}
}

// NewProxy listens on an address and forwards to a target.
func NewProxy(address, target string) (*Proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, listener: l, changed: make(chan struct{}), conns: make(map[net.Conn]struct{})}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetMode sets the mode of open and new connections.
func (p *Proxy) SetMode(m ProxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode, p.modeAt = m, time.Now()
	close(p.changed)
	p.changed = make(chan struct{})
}

// mayHoldBytes reports whether the proxy may have held back bytes within a time.
func (p *Proxy) mayHoldBytes(within time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode != Forward || time.Since(p.modeAt) < within
}

// Reset closes all connections with a TCP reset.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// Close stops listening and resets the open connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.SetMode(Forward)
	p.Reset()
}

func (p *Proxy) track(c net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[c] = struct{}{}
	} else {
		delete(p.conns, c)
		_ = c.Close()
	}
}

func (p *Proxy) serve(c net.Conn) {
	p.track(c, true)
	defer p.track(c, false)
	t, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		return
	}
	p.track(t, true)
	defer p.track(t, false)
	done := make(chan struct{})
	go func() {
		p.forward(c, t, true)
		close(done)
	}()
	p.forward(t, c, false)
	<-done
}

// forward forwards one direction of a connection; replies means the direction
// from the target.
func (p *Proxy) forward(to, from net.Conn, replies bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			p.awaitForwarding(replies)
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	if t, ok := to.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
	_, _ = io.Copy(io.Discard, from) // until the peer closes: an earlier close would reset it
}

// awaitForwarding blocks until the mode lets the next bytes through.
func (p *Proxy) awaitForwarding(replies bool) {
	for {
		p.mu.Lock()
		mode, changed := p.mode, p.changed
		p.mu.Unlock()
		switch {
		case mode == BlockAll, mode == BlockReplies && replies:
			<-changed
		case mode == Delay:
			time.Sleep(proxyDelay)
			return
		default:
			return
		}
	}
}
