//go:build crowd

package crowd_test

import (
	"fmt"
	"net"
	"sync"
	"testing"
)

// address returns a loopback address of a client's own.
func address(client int) string { return fmt.Sprintf("127.1.%d.%d", client/250, client%250+1) }

// manyAddresses opens each connection from another address.
type manyAddresses struct{ next int }

func (m *manyAddresses) Dial(network, to string) (net.Conn, error) {
	m.next++
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(address(m.next))}}
	return d.Dial(network, to)
}

// TestCrowdFromManyAddresses guards against limits that hold only while the crowd comes
// from few addresses.
func TestCrowdFromManyAddresses(t *testing.T) {
	head := fill(request(legalBody), legalHead, func(n int) string { return "a:\r\n" })
	body := fill(request(legalBody)+"\r\n{\"spec\":\"", legalBody, func(int) string { return "x" })
	for name, send := range map[string]func(net.Conn) error{"heads": sendAll(head), "bodies": sendAll(body), "silent": sendAll(nil)} {
		t.Run(name, func(t *testing.T) {
			s := startSite(t, 1)
			openClients(t, s.Nodes[0].FrontAddress, 500, &manyAddresses{}, send)
			s.rest()
			s.check(s.Nodes[0])
		})
	}
	t.Run("submissions", func(t *testing.T) {
		s := startSite(t, 1)
		c := largeSpec()
		c.local = address
		accepted := s.submit(s.Nodes[0], c)
		s.check(s.Nodes[0])
		s.checkKept(s.Nodes[0], c, accepted)
	})
}

// TestCrowdDuringRoll guards against nodes that do not stop, or do not come back, while
// crowds hold connections and submit jobs.
func TestCrowdDuringRoll(t *testing.T) {
	s := startSite(t, 3)
	body := fill(request(legalBody)+"\r\n{\"spec\":\"", legalBody, func(int) string { return "x" })
	var jobs sync.WaitGroup
	var mu sync.Mutex
	accepted := make(map[string]bool)
	for _, n := range s.Nodes {
		openClients(t, n.FrontAddress, 200, &net.Dialer{}, sendAll(body))
		jobs.Go(func() {
			c := largeSpec()
			c.clients, c.rounds = 20, 20
			for _, job := range s.submit(n, c) {
				mu.Lock()
				accepted[job] = true
				mu.Unlock()
			}
		})
	}
	for _, n := range s.Nodes {
		s.roll(n)
		openClients(t, n.FrontAddress, 200, &net.Dialer{}, sendAll(body))
	}
	jobs.Wait()
	var all []string
	for job := range accepted {
		all = append(all, job)
	}
	s.rest()
	s.check(s.Nodes[0])
	s.checkKept(s.Nodes[1], submitters{}, all)
}
