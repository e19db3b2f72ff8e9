package caller_test

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"bronzewinch.dev/lib/backend"
	"bronzewinch.dev/lib/caller"

	"github.com/matryer/is"
)

// TestServerLimits guards against settings that the HTTP server for callers ignores.
// Each limit is set far from its default, so that the default can't pass the test.
func TestServerLimits(t *testing.T) {
	dial := func(is *is.I, f *fixture) net.Conn {
		c, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
		is.NoErr(err)
		is.NoErr(c.SetDeadline(time.Now().Add(4 * time.Second)))
		return c
	}
	head := "POST " + path + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer secret\r\n"
	t.Run("connections", func(t *testing.T) {
		is := is.New(t)
		f := startLimited(t, caller.ServerLimits{Connections: 1}, 0, echo)
		is.Equal(f.send(t, "GET", path, "").status, 200) // its connection stays open
		second := dial(is, f)
		defer second.Close()
		_, err := second.Read(make([]byte, 1))
		is.True(err != nil)
		is.Equal(f.send(t, "GET", path, "").status, 200)
	})
	t.Run("header size", func(t *testing.T) {
		is := is.New(t)
		f := startLimited(t, caller.ServerLimits{HeaderSize: 1024}, 0, echo)
		is.Equal(f.send(t, "GET", path, "", "Large", strings.Repeat("x", 1100)).status, 400)
		is.Equal(f.send(t, "GET", path, "", "Large", strings.Repeat("x", 500)).status, 200)
	})
	for name, sent := range map[string]string{"slow head": head, "slow body": head + "Content-Length: 9\r\n\r\nx"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := startLimited(t, caller.ServerLimits{ReadTimeout: 200 * time.Millisecond}, 0, echo)
			c := dial(is, f)
			defer c.Close()
			begin := time.Now()
			_, err := c.Write([]byte(sent))
			is.NoErr(err)
			if r, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
				is.Equal(r.StatusCode, 400)
			}
			is.True(time.Since(begin) < 2*time.Second) // the default would be 5 s
		})
	}
	t.Run("idle connection", func(t *testing.T) {
		is := is.New(t)
		f := startLimited(t, caller.ServerLimits{IdleTimeout: 100 * time.Millisecond}, 0, echo)
		c := dial(is, f)
		defer c.Close()
		_, err := c.Write([]byte(head + "Content-Length: 1\r\n\r\nx"))
		is.NoErr(err)
		in := bufio.NewReader(c)
		r, err := http.ReadResponse(in, nil)
		is.NoErr(err)
		_, err = in.Discard(int(r.ContentLength))
		is.NoErr(err)
		_, err = in.ReadByte()
		is.True(err != nil && !strings.Contains(err.Error(), "timeout")) // closed by the server
	})
	t.Run("response retention", func(t *testing.T) {
		is := is.New(t)
		f := startLimited(t, caller.ServerLimits{}, time.Nanosecond, echo)
		is.Equal(f.send(t, "POST", path, "x", caller.HeaderIdempotent, "false", backend.HeaderRequestID, "r").outcome, "done")
		got := f.send(t, "GET", "/v1/requests/r", "")
		is.Equal(got.status, 404)
		is.Equal(got.outcome, "done")
		is.True(strings.Contains(got.body, "1ns"))
	})
}
