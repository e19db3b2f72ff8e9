//go:build crowd

package crowd_test

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"bronzewinch.dev/standin/cooperative"

	"golang.org/x/sys/unix"
)

// query is a call about a job that does not exist.
func query(n int) string {
	return fmt.Sprintf("GET %s%016x HTTP/1.1\r\nHost: %s\r\nX-Api-Key: %s\r\n\r\n", cooperative.PathPrefix(1), n, cooperative.Host, cooperative.APIKey)
}

// limitBuffers gives a connection small segments and a small receive buffer, so that few
// replies fill the buffers of both sides.
func limitBuffers(_, _ string, c syscall.RawConn) error {
	var err error
	control := c.Control(func(fd uintptr) {
		err = errors.Join(unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, 536),
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4<<10))
	})
	return errors.Join(control, err)
}

// unreadPause is the time between two clients that do not read their replies. The node waits
// for the one when the next one comes.
const unreadPause = 25 * time.Millisecond

// openUnread lets clients one after the other send requests whose replies they do not read.
func openUnread(t *testing.T, address string, clients int, send func(net.Conn) error) {
	t.Helper()
	for range clients {
		openClients(t, address, 1, &net.Dialer{Control: limitBuffers}, func(c net.Conn) error {
			_ = c.SetDeadline(time.Time{})
			go func() { _ = send(c) }() // until the end of the test closes the connection
			return nil
		})
		time.Sleep(unreadPause)
	}
}

func (s *site) pressUnread(address string, clients int, send func(net.Conn) error) {
	s.t.Helper()
	openUnread(s.t, address, clients, send)
	s.rest()
}

// TestUnreadReplies guards against clients that do not read the replies to their requests,
// or read them slowly, and hold connections, descriptors and memory for as long as they like.
func TestUnreadReplies(t *testing.T) {
	var requests bytes.Buffer
	for n := range 5000 {
		requests.WriteString(query(n))
	}
	unread := sendAll(requests.Bytes())
	slowly := func(c net.Conn) error {
		go func() { // until the end of the test closes the connection
			for b := make([]byte, 64); ; time.Sleep(200 * time.Millisecond) {
				if _, err := c.Read(b); err != nil {
					return
				}
			}
		}()
		return unread(c)
	}
	metrics := sendAll([]byte(strings.Repeat("GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n", 1000)))
	t.Run("pipelined", func(t *testing.T) {
		s := startSite(t, 1)
		s.pressUnread(s.Nodes[0].FrontAddress, maxFDs, unread)
		s.check(s.Nodes[0])
	})
	t.Run("read slowly", func(t *testing.T) {
		s := startSite(t, 1)
		s.pressUnread(s.Nodes[0].FrontAddress, 120, slowly)
		s.check(s.Nodes[0])
	})
	t.Run("metrics", func(t *testing.T) {
		s := startSite(t, 1)
		s.pressUnread(s.Nodes[0].MetricsAddress, maxFDs, metrics)
		s.check(s.Nodes[0])
	})
	t.Run("stopped node", func(t *testing.T) {
		s := startSite(t, 1)
		s.pressUnread(s.Nodes[0].FrontAddress, 120, unread)
		s.roll(s.Nodes[0])
		s.check(s.Nodes[0])
	})
}
