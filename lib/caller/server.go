package caller

import (
	"io"
	"log"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"bronzewinch.dev/lib/unit"
)

// writeTimeout is the time in which a caller must read a response. It starts when
// the response is available, so that it does not shorten the timeout of a service.
const writeTimeout = time.Minute

// ServerLimits are the limits of the HTTP server. A zero field is replaced by the
// default of the daemon's settings.
type ServerLimits struct {
	// Connections is the maximum number of open connections.
	Connections int
	// HeaderSize is the maximum size of the request line and headers.
	HeaderSize unit.Bytes
	// ReadTimeout is the time limit for reading a request: half of it for the
	// headers and half for the body. It is split because net/http does not report
	// when the first byte arrived.
	ReadTimeout time.Duration
	// IdleTimeout is the time after which an idle connection is closed.
	IdleTimeout time.Duration
}

func (l ServerLimits) withDefaults() ServerLimits {
	if l.Connections == 0 {
		l.Connections = 4096
	}
	if l.HeaderSize == 0 {
		l.HeaderSize = 16 * unit.KiB
	}
	if l.ReadTimeout == 0 {
		l.ReadTimeout = 10 * time.Second
	}
	if l.IdleTimeout == 0 {
		l.IdleTimeout = time.Minute
	}
	return l
}

// NewServer returns an HTTP server for the frontend. It limits the number of
// connections and the size of headers, and closes the connections of slow senders,
// of slow readers and of idle callers.
func NewServer(f *Frontend) *http.Server {
	limits := f.config.ServerLimits
	open := &connections{limit: int64(limits.Connections)}
	return &http.Server{
		Handler:           f.Handler(),
		ReadHeaderTimeout: limits.ReadTimeout / 2,
		IdleTimeout:       limits.IdleTimeout,
		MaxHeaderBytes:    int(limits.HeaderSize),
		ConnState:         open.countConnection,
		ErrorLog:          log.New(io.Discard, "", 0), // connection errors of callers are counted, not logged
	}
}

// connections counts the open connections and closes new ones above the limit.
type connections struct {
	limit int64
	open  atomic.Int64
}

// countConnection implements http.Server.ConnState.
func (c *connections) countConnection(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		if c.open.Add(1) > c.limit {
			conn.Close()
		}
	case http.StateClosed, http.StateHijacked:
		c.open.Add(-1)
	}
}

// setBodyDeadline sets the time by which the body must be read. It does not use
// http.Server.ReadTimeout, which would also cancel the context of a request that
// runs longer.
func (l ServerLimits) setBodyDeadline(c *http.ResponseController) {
	_ = c.SetReadDeadline(time.Now().Add(l.ReadTimeout / 2))
}

// setWriteDeadline sets the time by which the caller must read the response.
func setWriteDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
}

// headerSize returns the size of the headers in their HTTP/1 encoding, without the
// request line.
func headerSize(h http.Header) (n unit.Bytes) {
	const separators = len(": \r\n")
	for name, values := range h {
		for _, v := range values {
			n += unit.Bytes(len(name) + len(v) + separators)
		}
	}
	return n
}
