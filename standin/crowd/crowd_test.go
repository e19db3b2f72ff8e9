//go:build crowd

// Package crowd_test lets crowds of clients that keep no limits press a node, as a process
// on loopback. The tests run one at a time, apart from other load (.ci/test), as the
// memory that a process needs depends on the processor time that it gets.
package crowd_test

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"bronzewinch.dev/standin/cooperative"
)

// The limits of the node, and the bounds of the tests. The smallest entry VMs have more of
// both, so that a small crowd shows what a large one does to them.
const (
	memoryMB = 64
	maxFDs   = 400
)

const (
	// sendTimeout bounds the time in which a client of a crowd sends. A node that does
	// not read holds it up.
	sendTimeout = 10 * time.Second
	// ordinaryAttempts bounds the attempts of the ordinary client. Each may be refused.
	ordinaryAttempts = 5
)

var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "crowd")
	if err != nil {
		panic(err)
	}
	if binary, err = cooperative.BuildDaemon(dir); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// crowd is a number of clients that each send the same on a connection of their own, and
// leave it open.
type crowd struct {
	clients int
	send    func(c net.Conn) error
	// readiness means that the crowd presses the listener of the readiness probe in place
	// of the one of clients.
	readiness bool
}

// press lets a crowd press a node, and checks that the process lives within its limits and
// serves an ordinary client while the connections of the crowd are still open.
func press(t *testing.T, c crowd) {
	t.Helper()
	d, err := cooperative.StartDeployment(cooperative.DeploymentConfig{Binary: binary, Dir: t.TempDir(), Nodes: 1, Workers: 1,
		MemoryMB: memoryMB, MaxFDs: maxFDs})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	if !d.AwaitReady(20 * time.Second) {
		t.Fatal("the node is not ready after 20s")
	}
	node := d.Nodes[0]
	pid := node.PID()
	idle := peakMB(t, pid)
	var wg sync.WaitGroup
	address := node.FrontAddress
	if c.readiness {
		address = node.ReadinessAddress
	}
	for range c.clients {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		wg.Go(func() {
			_ = conn.SetDeadline(time.Now().Add(sendTimeout))
			_ = c.send(conn) // the node may refuse or close the connection
		})
	}
	wg.Wait()
	awaitRest(t, pid)
	steps := []cooperative.Step{{Count: 1, GPU: 1, RunTime: 10 * time.Millisecond}}
	d.Fleet.RegisterJob("00000000000000aa", steps)
	client, status := cooperative.NewClient(), 0
	for attempt := 0; attempt < ordinaryAttempts && status != http.StatusOK; attempt++ {
		status, _ = client.Call(http.MethodPost, node.FrontAddress, 1, "00000000000000aa", cooperative.JobBody(steps))
	}
	if now := node.PID(); now != pid {
		t.Fatalf("the process has ended: pid %d, was %d", now, pid)
	}
	peak, fds := peakMB(t, pid), descriptors(t, pid)
	t.Logf("peak %d MB (idle %d MB), %d descriptors, ordinary request: status %d", peak, idle, fds, status)
	if peak > memoryMB {
		t.Errorf("peak of %d MB, the limit is %d MB", peak, memoryMB)
	}
	if fds > maxFDs {
		t.Errorf("%d descriptors are open, the limit is %d", fds, maxFDs)
	}
	if status != http.StatusOK {
		t.Errorf("an ordinary request got status %d in the last of %d attempts", status, ordinaryAttempts)
	}
}

// awaitRest waits until a process uses no more processor time, so that it has read what the
// crowd has sent.
func awaitRest(t *testing.T, pid int) {
	t.Helper()
	const calm = 5 // looks without a change
	for last, same, n := "", 0, 0; same < calm && n < 200; n++ {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
		if err != nil {
			t.Fatalf("the process has ended: %v", err)
		}
		_, fields, _ := strings.Cut(string(stat), ") ")
		if used := strings.Join(strings.Fields(fields)[11:13], " "); used == last {
			same++
		} else {
			last, same = used, 0
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// peakMB returns the largest resident size that a process has had.
func peakMB(t *testing.T, pid int) int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatalf("the process has ended: %v", err)
	}
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.Atoi(strings.Fields(value)[0])
			if err != nil {
				t.Fatal(err)
			}
			return kb >> 10
		}
	}
	t.Fatal("no peak in the status of the process")
	return 0
}

func descriptors(t *testing.T, pid int) int {
	t.Helper()
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		t.Fatalf("the process has ended: %v", err)
	}
	return len(open)
}

// request returns the first lines of a submission, without the empty line that ends the head.
func request(contentLength int) string {
	return fmt.Sprintf("POST %s00000000000000bb HTTP/1.1\r\nHost: %s\r\nX-Api-Key: %s\r\nContent-Length: %d\r\n",
		cooperative.PathPrefix(1), cooperative.Host, cooperative.APIKey, contentLength)
}

// fill appends pieces, of which the number is the argument, up to a size.
func fill(head string, size int, piece func(n int) string) []byte {
	b := bytes.NewBufferString(head)
	for n := 0; ; n++ {
		p := piece(n)
		if b.Len()+len(p) > size {
			return b.Bytes()
		}
		b.WriteString(p)
	}
}

func sendAll(b []byte) func(net.Conn) error {
	return func(c net.Conn) error {
		_, err := c.Write(b)
		return err
	}
}

// sendPieces sends b in pieces of a size, with a pause between them.
func sendPieces(b []byte, size int, pause time.Duration) func(net.Conn) error {
	return func(c net.Conn) error {
		for rest := b; len(rest) > 0; rest = rest[min(size, len(rest)):] {
			if _, err := c.Write(rest[:min(size, len(rest))]); err != nil {
				return err
			}
			time.Sleep(pause)
		}
		return nil
	}
}

const (
	// legalHead and legalBody are the sizes that the platform's configurations allow.
	legalHead = 16 << 10
	legalBody = 256 << 10
	// largeHead and largeBody are near the limits of net/http and of the front end before
	// it had limits of its own.
	largeHead = 1000 << 10
	largeBody = 1 << 20
)

// TestHeadsOfShortLines guards against heads of legal size whose many short lines take many
// times their size in memory.
func TestHeadsOfShortLines(t *testing.T) {
	t.Run("repeated", func(t *testing.T) {
		head := fill(request(legalBody), legalHead-2, func(int) string { return "a:\r\n" })
		press(t, crowd{clients: 350, send: sendAll(append(head, "\r\n"...))})
	})
	t.Run("distinct", func(t *testing.T) {
		head := fill(request(legalBody), legalHead-2, func(n int) string { return strconv.FormatInt(int64(n), 36) + ":\r\n" })
		press(t, crowd{clients: 350, send: sendAll(append(head, "\r\n"...))})
	})
	t.Run("without end", func(t *testing.T) {
		press(t, crowd{clients: 350, send: sendAll(fill(request(legalBody), legalHead, func(n int) string { return strconv.FormatInt(int64(n), 36) + ":\r\n" }))})
	})
}

// TestHeadsOverTheLimit guards against heads over the limit that take memory before they
// are refused, or for as long as the client does not end them.
func TestHeadsOverTheLimit(t *testing.T) {
	t.Run("short lines", func(t *testing.T) {
		press(t, crowd{clients: 60, send: sendAll(fill(request(0), largeHead, func(int) string { return "a:\n" }))})
	})
	t.Run("one line", func(t *testing.T) {
		press(t, crowd{clients: 120, send: sendAll(fill(request(0)+"a: ", largeHead, func(int) string { return "aaaaaaaa" }))})
	})
	t.Run("request line", func(t *testing.T) {
		press(t, crowd{clients: 60, send: sendAll(fill("GET /", largeHead, func(int) string { return "aaaaaaaa" }))})
	})
	t.Run("folded lines", func(t *testing.T) {
		press(t, crowd{clients: 200, send: sendAll(fill(request(0)+"a: b\r\n", largeHead, func(int) string { return " c\r\n" }))})
	})
}

// TestEmptyLinesBeforeRequest guards against clients that send empty lines without end
// where a request should begin.
func TestEmptyLinesBeforeRequest(t *testing.T) {
	empty := fill("", largeHead, func(int) string { return "\r\n" })
	press(t, crowd{clients: 60, send: func(c net.Conn) error {
		for range 4 {
			if _, err := c.Write(empty); err != nil {
				return err
			}
		}
		return nil
	}})
}

// TestBodiesThatStopShort guards against bodies that take memory for as long as their
// client does not send the end.
func TestBodiesThatStopShort(t *testing.T) {
	body := func(size int) []byte {
		return fill(request(size)+"\r\n{\"spec\":\"", len(request(size))+2+size-6, func(int) string { return "x" })
	}
	t.Run("legal size", func(t *testing.T) { press(t, crowd{clients: 350, send: sendAll(body(legalBody))}) })
	t.Run("legal size in pieces", func(t *testing.T) {
		press(t, crowd{clients: 350, send: sendPieces(body(legalBody), 32<<10, 50*time.Millisecond)})
	})
	t.Run("large", func(t *testing.T) { press(t, crowd{clients: 150, send: sendAll(body(largeBody))}) })
	t.Run("chunked", func(t *testing.T) {
		head := strings.Replace(request(0), "Content-Length: 0", "Transfer-Encoding: chunked", 1) + "\r\n"
		press(t, crowd{clients: 350, send: sendAll(fill(head, legalBody, func(int) string { return "1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n" }))})
	})
}

// TestBodiesOfManySteps guards against bodies of legal size that take many times their size
// once they are decoded.
func TestBodiesOfManySteps(t *testing.T) {
	for name, piece := range map[string]string{"empty steps": "{},", "nested lists": "[[[[", "steps after steps": `{"after":[0,0,0,0,0,0,0,0]},`} {
		t.Run(name, func(t *testing.T) {
			const end = `{"count":1}]}`
			body := fill(`{"spec":"s","steps":[`, legalBody-len(end), func(int) string { return piece })
			body = append(body, end...)
			press(t, crowd{clients: 100, send: sendAll(append([]byte(request(len(body))+"\r\n"), body...))})
		})
	}
}

// TestOpenConnections guards against connections without requests that take the
// descriptors that the node needs for workers, other nodes and the store.
func TestOpenConnections(t *testing.T) {
	t.Run("silent", func(t *testing.T) { press(t, crowd{clients: 600, send: sendAll(nil)}) })
	t.Run("begun", func(t *testing.T) { press(t, crowd{clients: 600, send: sendAll([]byte("GET /"))}) })
	t.Run("kept alive", func(t *testing.T) {
		press(t, crowd{clients: 600, send: sendAll([]byte("GET / HTTP/1.1\r\nHost: " + cooperative.Host + "\r\n\r\n"))})
	})
}

// TestReadinessListener guards against a crowd on the listener that only the platform calls.
func TestReadinessListener(t *testing.T) {
	t.Run("short lines", func(t *testing.T) {
		head := fill("GET /ready HTTP/1.1\r\nHost: a\r\n", largeHead, func(int) string { return "a:\n" })
		press(t, crowd{clients: 60, send: sendAll(head), readiness: true})
	})
	t.Run("open connections", func(t *testing.T) {
		press(t, crowd{clients: 600, send: sendAll([]byte("GET /ready")), readiness: true})
	})
}
