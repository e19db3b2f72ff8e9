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
	idleSince time.Time // when it was returned to the pool
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

// usable reports whether the idle connection is open and has no unread bytes.
// An attempt on a connection that the backend server has closed would end as
// unknown instead of a certain notRun; unread bytes are a late response to an
// earlier request.
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

// write writes the head and the body, and returns the number of bytes that may
// have been sent.
func (c *conn) write(head, body []byte) (int64, error) {
	if len(body) == 0 {
		n, err := c.netConn.Write(head)
		return int64(n), err
	}
	buffers := net.Buffers{head, body}
	return buffers.WriteTo(c.netConn)
}
