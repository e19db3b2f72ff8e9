//go:build crowd

package crowd_test

import (
	"bytes"
	wire "encoding/binary"
	"net"
	"strings"
	"testing"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// TestMetricsListener guards against a crowd on the listener of the metrics.
func TestMetricsListener(t *testing.T) {
	for name, send := range map[string]func(net.Conn) error{
		"silent":      sendAll(nil),
		"begun":       sendAll([]byte("GET /met")),
		"short lines": sendAll(fill("GET /metrics HTTP/1.1\r\nHost: a\r\n", largeHead, func(int) string { return "a:\n" })),
		"body":        sendAll(fill("GET /metrics HTTP/1.1\r\nHost: a\r\nContent-Length: 100000000\r\n\r\n", largeBody, func(int) string { return "x" })),
	} {
		t.Run(name, func(t *testing.T) {
			s := startSite(t, 1)
			openClients(t, s.Nodes[0].MetricsAddress, 500, &net.Dialer{}, send)
			s.rest()
			s.check(s.Nodes[0])
		})
	}
}

// peerCall returns the frames that begin a call of another node on a stream: the head, with
// further headers, and a message that is announced with a size.
func peerCall(stream uint32, headers, announced int) []byte {
	var b bytes.Buffer
	var block bytes.Buffer
	e := hpack.NewEncoder(&block)
	for _, h := range [][2]string{{":method", "POST"}, {":scheme", "http"}, {":path", "/bronzewinch.Peer/call"}, {":authority", "a"},
		{"content-type", "application/grpc+cbor"}, {"te", "trailers"}} {
		_ = e.WriteField(hpack.HeaderField{Name: h[0], Value: h[1]})
	}
	for range headers {
		_ = e.WriteField(hpack.HeaderField{Name: "a", Value: strings.Repeat("x", 100), Sensitive: true})
	}
	f := http2.NewFramer(&b, nil)
	const maxFrame = 16 << 10
	rest := block.Bytes()
	_ = f.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: rest[:min(len(rest), maxFrame)], EndHeaders: len(rest) <= maxFrame})
	for rest = rest[min(len(rest), maxFrame):]; len(rest) > 0; rest = rest[min(len(rest), maxFrame):] {
		_ = f.WriteContinuation(stream, len(rest) <= maxFrame, rest[:min(len(rest), maxFrame)])
	}
	prefix := wire.BigEndian.AppendUint32([]byte{0}, uint32(announced))
	_ = f.WriteData(stream, false, prefix)
	return b.Bytes()
}

// beginPeerConnection opens HTTP/2 as a node does.
func beginPeerConnection(c net.Conn) (*http2.Framer, error) {
	if _, err := c.Write([]byte(http2.ClientPreface)); err != nil {
		return nil, err
	}
	f := http2.NewFramer(c, c)
	return f, f.WriteSettings()
}

// TestPeerListener guards against a crowd on the listener of the other nodes.
func TestPeerListener(t *testing.T) {
	const mib = 1 << 20
	streams := func(count, headers, announced, sent int) func(net.Conn) error {
		return func(c net.Conn) error {
			f, err := beginPeerConnection(c)
			if err != nil {
				return err
			}
			go func() { // the node's frames must be read, or it stops reading
				for {
					if _, err := f.ReadFrame(); err != nil {
						return
					}
				}
			}()
			for n := range count {
				if _, err := c.Write(peerCall(uint32(2*n+1), headers, announced)); err != nil {
					return err
				}
			}
			chunk := make([]byte, 16<<10)
			for range sent / len(chunk) {
				for n := range count {
					if err := f.WriteData(uint32(2*n+1), false, chunk); err != nil {
						return err
					}
				}
			}
			return nil
		}
	}
	for name, test := range map[string]struct {
		clients int
		send    func(net.Conn) error
	}{
		"silent":                   {500, sendAll(nil)},
		"begun":                    {500, func(c net.Conn) error { _, err := beginPeerConnection(c); return err }},
		"many streams":             {20, streams(2000, 0, 100, 0)},
		"many headers":             {50, streams(10, 8000, 100, 0)},
		"announced messages":       {50, streams(10, 0, 15*mib, 0)},
		"messages that stop short": {100, streams(2, 0, 15*mib, 48<<10)},
	} {
		t.Run(name, func(t *testing.T) {
			s := startSite(t, 2)
			n := s.owner()
			openClients(t, n.PeerAddress, test.clients, &net.Dialer{}, test.send)
			s.rest()
			s.check(s.follower())
			s.check(n)
		})
	}
}
