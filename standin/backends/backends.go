// Package backends implements stand-ins for backend servers: HTTP servers on
// loopback with limited slots and connections, a service time, and fault
// injection. Each server records the requests that it ran, so that tests can
// compare them with the outcomes that callers received.
package backends

import (
	"context"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"bronzewinch.dev/lib/id"
)

// Fault is a fault injected into one request.
type Fault uint8

// The faults of a backend server.
const (
	// NoFault runs the request and responds correctly.
	NoFault Fault = iota
	// ResetBefore resets the connection before running the request.
	ResetBefore
	// ResetAfter runs the request and resets the connection halfway through the
	// response.
	ResetAfter
	// Truncated runs the request and ends the response one byte early.
	Truncated
	// WrongEcho runs the request and responds with another request id.
	WrongEcho
	// Slow runs the request for ten times the service time.
	Slow
	// Fail runs the request and responds with status 500.
	Fail
	// RejectBusy rejects the request as busy although a slot is free.
	RejectBusy
	// Hang runs the request and never responds.
	Hang
	faultCount
)

// FaultMix holds the probability of each fault.
type FaultMix [faultCount]float64

// Run is one request that a backend server ran.
type Run struct {
	Backend    id.Backend
	Request    string
	Attempt    string
	Body       string
	Start, End time.Time
}

// Config configures a Server.
type Config struct {
	Name        id.Backend
	Address     string // default 127.0.0.1:0
	Slots       int    // default 8
	Connections int    // default 64
	// ServiceTime returns how long one request runs.
	ServiceTime func() time.Duration
	// RecordRuns makes the server record the runs for Server.Runs.
	RecordRuns bool
}

// Server is one backend server.
type Server struct {
	config     Config
	address    string
	mix        atomic.Pointer[FaultMix]
	loadHidden atomic.Bool

	running, peak                         atomic.Int64
	connections, connectionPeak           atomic.Int64
	served, rejected, rejectedConnections atomic.Int64
	requestedTime, occupiedTime           atomic.Int64 // nanoseconds

	handlers sync.WaitGroup

	mu   sync.Mutex // guards runs, http and done
	runs []Run
	http *http.Server
	done chan struct{}
}

// New returns a started server.
func New(c Config) (*Server, error) {
	if c.Slots == 0 {
		c.Slots = 8
	}
	if c.Connections == 0 {
		c.Connections = 64
	}
	if c.Address == "" {
		c.Address = "127.0.0.1:0"
	}
	s := &Server{config: c, address: c.Address}
	s.mix.Store(&FaultMix{})
	return s, s.Start()
}

// Name returns the server's name.
func (s *Server) Name() id.Backend { return s.config.Name }

// Address returns the IP address and port. It stays the same after Kill and
// Start.
func (s *Server) Address() string { return s.address }

// SetFaults sets the probability of each fault.
func (s *Server) SetFaults(m FaultMix) { s.mix.Store(&m) }

// HideLoad omits the load header from all further responses. Entry nodes then
// stay within their shares of the server's slots.
func (s *Server) HideLoad() { s.loadHidden.Store(true) }

// Start makes the server listen, also again after Kill.
func (s *Server) Start() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.address = l.Addr().String()
	server := &http.Server{Handler: s, ErrorLog: log.New(io.Discard, "", 0), ReadHeaderTimeout: time.Minute}
	done := make(chan struct{})
	s.http, s.done = server, done
	go func() {
		defer close(done)
		_ = server.Serve(&limitedListener{l, s})
	}()
	return nil
}

// Kill closes the listener and all connections. Running requests continue, as on
// a server that has lost its network.
func (s *Server) Kill() {
	s.mu.Lock()
	server, done := s.http, s.done
	s.mu.Unlock()
	server.Close()
	<-done
}

// Close stops the server.
func (s *Server) Close() { s.Kill() }

// Stop stops the server after the requests in progress have ended.
func (s *Server) Stop(ctx context.Context) error {
	s.mu.Lock()
	server := s.http
	s.mu.Unlock()
	return server.Shutdown(ctx)
}

// Runs returns the runs recorded so far.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// Stats are the counters of a server.
type Stats struct {
	// Peak and ConnectionPeak are the greatest numbers of running requests and of
	// open connections so far.
	Peak, ConnectionPeak int
	// Served is the number of requests that ran. Rejected is the number of requests
	// rejected as busy. RejectedConnections is the number of connections closed
	// because the connection limit was reached.
	Served, Rejected, RejectedConnections int
	// RequestedTime is the sum of the requests' service times, and OccupiedTime the sum
	// of the times for which they occupied their slots. OccupiedTime is greater on an
	// overloaded machine.
	RequestedTime, OccupiedTime time.Duration
}

// Stats returns the current counters.
func (s *Server) Stats() Stats {
	return Stats{int(s.peak.Load()), int(s.connectionPeak.Load()),
		int(s.served.Load()), int(s.rejected.Load()), int(s.rejectedConnections.Load()),
		time.Duration(s.requestedTime.Load()), time.Duration(s.occupiedTime.Load())}
}

// Running returns the number of requests that are running.
func (s *Server) Running() int { return int(s.running.Load()) }

// Wait waits until no request is running. The server must be stopped.
func (s *Server) Wait() { s.handlers.Wait() }

// ServeHTTP runs one request, or rejects it if all slots are in use.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.handlers.Add(1)
	defer s.handlers.Done()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // an incomplete request does not run
	}
	fault := s.chooseFault()
	if fault == ResetBefore {
		reset(w)
		return
	}
	n := s.running.Add(1)
	if n > int64(s.config.Slots) || fault == RejectBusy {
		s.running.Add(-1)
		s.rejected.Add(1)
		s.setEchoHeaders(w, r)
		w.Header().Set("Bronzewinch-Outcome", "notRun")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	raiseTo(&s.peak, n)
	s.run(r, string(body), fault)
	s.respond(w, r, body, fault)
}

// run waits for the service time, frees the slot and records the run.
func (s *Server) run(r *http.Request, body string, fault Fault) {
	start := time.Now()
	serviceTime := time.Duration(0)
	if s.config.ServiceTime != nil {
		serviceTime = s.config.ServiceTime()
	}
	if fault == Slow {
		serviceTime *= 10
	}
	if serviceTime > 0 {
		time.Sleep(serviceTime) // simulates the work of the service
	}
	s.requestedTime.Add(int64(serviceTime))
	s.occupiedTime.Add(int64(time.Since(start)))
	s.running.Add(-1)
	s.served.Add(1)
	if !s.config.RecordRuns {
		return
	}
	run := Run{s.config.Name, r.Header.Get("Bronzewinch-Request-Id"), r.Header.Get("Bronzewinch-Attempt"),
		body, start, time.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, run)
}

// respond sends a response that consists of the request id, a space and the
// request body, modified by the fault.
func (s *Server) respond(w http.ResponseWriter, r *http.Request, body []byte, fault Fault) {
	s.setEchoHeaders(w, r)
	text := append([]byte(r.Header.Get("Bronzewinch-Request-Id")+" "), body...)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	switch fault {
	case Fail:
		w.WriteHeader(http.StatusInternalServerError)
	case WrongEcho:
		w.Header().Set("Bronzewinch-Request-Id", fmt.Sprintf("other-%d", rand.Uint64()))
	case ResetAfter:
		_, _ = w.Write(text[:len(text)/2])
		_ = http.NewResponseController(w).Flush()
		reset(w)
		return
	case Truncated:
		_, _ = w.Write(text[:len(text)-1])
		return
	case Hang:
		<-r.Context().Done()
		return
	}
	_, _ = w.Write(text)
}

func (s *Server) setEchoHeaders(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Bronzewinch-Request-Id", r.Header.Get("Bronzewinch-Request-Id"))
	h.Set("Bronzewinch-Attempt", r.Header.Get("Bronzewinch-Attempt"))
	if !s.loadHidden.Load() {
		h.Set("Bronzewinch-Load", strconv.FormatInt(s.running.Load(), 10))
	}
}

// chooseFault chooses a fault at random with the probabilities of the mix.
func (s *Server) chooseFault() Fault {
	x := rand.Float64()
	for f, p := range s.mix.Load() {
		if x < p {
			return Fault(f)
		}
		x -= p
	}
	return NoFault
}

// reset closes the connection with RST instead of FIN.
func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(interface{ SetLinger(int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}

// raiseTo sets peak to n if n is greater.
func raiseTo(peak *atomic.Int64, n int64) {
	for {
		old := peak.Load()
		if n <= old || peak.CompareAndSwap(old, n) {
			return
		}
	}
}

// limitedListener immediately closes connections above the connection limit.
type limitedListener struct {
	net.Listener
	server *Server
}

// Accept returns the next connection that is within the limit.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		n := l.server.connections.Add(1)
		if n > int64(l.server.config.Connections) {
			l.server.connections.Add(-1)
			l.server.rejectedConnections.Add(1)
			c.Close()
			continue
		}
		raiseTo(&l.server.connectionPeak, n)
		return &countedConn{Conn: c, server: l.server}, nil
	}
}

// countedConn is a connection that counts as open until it is closed.
type countedConn struct {
	net.Conn
	server *Server
	once   sync.Once
}

// Close closes the connection. Repeated calls count once.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.server.connections.Add(-1) })
	return c.Conn.Close()
}

// SetLinger sets the linger time of the TCP connection. It lets reset close a
// hijacked connection with RST.
func (c *countedConn) SetLinger(seconds int) error { return c.Conn.(*net.TCPConn).SetLinger(seconds) }
