package deployment

import (
	"net"
	"sync/atomic"

	"bronzewinch.dev/lib/unit"
)

// Link is a kind of control connection whose traffic is counted separately.
type Link string

// The links that carry control traffic. Requests of callers and operators are
// not control traffic and are not counted.
const (
	StoreLink  Link = "store"
	VMListLink Link = "vmList"
	WorkerLink Link = "workers"
	PeerLink   Link = "peers"
)

// Traffic counts the payload bytes of TCP connections in both directions, on the
// side that accepted them. TCP and IP headers are not included.
type Traffic struct {
	links map[Link]*atomic.Int64
}

func newTraffic() *Traffic {
	t := &Traffic{links: make(map[Link]*atomic.Int64)}
	for _, l := range []Link{StoreLink, VMListLink, WorkerLink, PeerLink} {
		t.links[l] = new(atomic.Int64)
	}
	return t
}

// Bytes returns the bytes counted on each link since the start.
func (t *Traffic) Bytes() map[Link]unit.Bytes {
	out := make(map[Link]unit.Bytes)
	for l, n := range t.links {
		out[l] = unit.Bytes(n.Load())
	}
	return out
}

// countListener returns a listener that counts the bytes of the connections that
// l accepts. It returns l itself for a link that is not counted.
func (t *Traffic) countListener(link Link, l net.Listener) net.Listener {
	if n, ok := t.links[link]; ok {
		return countedListener{l, n}
	}
	return l
}

// countedListener counts the bytes of the connections that it accepts.
type countedListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept returns the next connection, wrapped so that its bytes are counted.
func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{c, l.bytes}, nil
}

// countedConn counts the bytes of one connection.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read reads from the connection and counts the bytes read.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes written.
func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}
