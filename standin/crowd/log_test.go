//go:build crowd

package crowd_test

import (
	"io"
	"net"
	"strings"
	"testing"
)

// TestSlowLog guards against lines of the log that take memory while nobody reads the
// output of the process.
func TestSlowLog(t *testing.T) {
	s := startSite(t, 1)
	n := s.Nodes[0]
	release, err := n.StopReadingLog()
	if err != nil {
		t.Fatal(err)
	}
	defer release()
	s.awaitReady()
	long := "GET /" + strings.Repeat("x", legalHead-200) + " HTTP/1.1\r\nHost: a\r\n\r\n"
	openClients(t, n.FrontAddress, 20, &net.Dialer{}, func(c net.Conn) error {
		go func() { _, _ = io.Copy(io.Discard, c) }()
		return sendAll([]byte(strings.Repeat(long, 400)))(c)
	})
	s.rest()
	s.check(n)
}
