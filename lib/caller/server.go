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

// writeTimeout bounds the time in which a caller must read an answer. It
// begins when the answer is there, so that no service's timeout is cut short.
const writeTimeout = time.Minute

// ServerLimits bounds the HTTP front end. A field that is zero has the default
// of the daemon's settings.
type ServerLimits struct {
	// Connections is the greatest number of open connections.
	Connections int
	// HeaderSize is the greatest size of the head of a request.
	HeaderSize unit.Bytes
	// ReadTimeout is the time for a whole request: half of it for the head, and
	// half for the body. net/http does not tell when the first byte came.
	ReadTimeout time.Duration
	// IdleTimeout is the time after which an unused connection is closed.
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

// NewServer returns a server for the front that bounds connections, header
// sizes, slow senders, slow readers and idle connections.
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

// connections counts the open connections and closes new ones beyond a limit.
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

// setBodyDeadline bounds the time in which the body must follow the head.
// Server.ReadTimeout is not used for this, because it would also end the
// context of a request that runs longer.
func (l ServerLimits) setBodyDeadline(c *http.ResponseController) {
	_ = c.SetReadDeadline(time.Now().Add(l.ReadTimeout / 2))
}

// setWriteDeadline bounds the time in which the caller must read the answer.
func setWriteDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
}

// headerSize is the size of the headers as they are sent, without the request
// line.
func headerSize(h http.Header) (n unit.Bytes) {
	const separators = len(": \r\n")
	for name, values := range h {
		for _, v := range values {
			n += unit.Bytes(len(name) + len(v) + separators)
		}
	}
	return n
}
