package backend

import (
	"bufio"
	"io"
	"net"
	"syscall"
	"time"
)

// conn is one connection to a backend server. It carries one attempt at a
// time.
type conn struct {
	netConn   net.Conn
	rawConn   syscall.RawConn
	limited   io.LimitedReader
	reader    *bufio.Reader
	idleSince time.Time // since when it is idle
}

const readBufferSize = 4 << 10

func newConn(netConn net.Conn) *conn {
	c := &conn{netConn: netConn}
	if s, ok := netConn.(syscall.Conn); ok {
		c.rawConn, _ = s.SyscallConn()
	}
	c.limited.R = netConn
	c.reader = bufio.NewReaderSize(&c.limited, readBufferSize)
	return c
}

// usable reports whether the idle connection is open and has nothing to read.
// A connection that the backend server closed would turn a certain notRun
// into an unknown; unread bytes are a late answer to an earlier request.
func (c *conn) usable() bool {
	if c.reader.Buffered() > 0 || c.rawConn == nil {
		return false
	}
	open := false
	err := c.rawConn.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
	})
	return err == nil && open
}

// write writes the head and the body, and returns how many bytes may have
// left.
func (c *conn) write(head, body []byte) (int64, error) {
	if len(body) == 0 {
		n, err := c.netConn.Write(head)
		return int64(n), err
	}
	buffers := net.Buffers{head, body}
	return buffers.WriteTo(c.netConn)
}
