// Package backends has stand-ins for backend servers: HTTP servers on loopback
// with a few slots and connections each, a service time, and faults. Each
// logs what truly ran, so that tests can compare it with what callers were
// told.
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

// Fault is a way to misbehave.
type Fault uint8

// The faults of a backend server.
const (
	// NoFault answers correctly.
	NoFault Fault = iota
	// ResetBefore breaks the connection before running the request.
	ResetBefore
	// ResetAfter runs the request and breaks the connection mid-answer.
	ResetAfter
	// Truncated runs the request and ends the answer early.
	Truncated
	// WrongEcho runs the request and echoes another request id.
	WrongEcho
	// Slow runs the request in ten times the service time.
	Slow
	// Fail runs the request and answers 500.
	Fail
	// RejectBusy refuses before running although there is a slot.
	RejectBusy
	// Hang runs the request and never answers.
	Hang
	faultCount
)

// FaultMix is the probability of each fault.
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
	Address     string // 127.0.0.1:0 when empty
	Slots       int    // 8 when zero
	Connections int    // 64 when zero
	// ServiceTime returns the time that one request takes.
	ServiceTime func() time.Duration
	// RecordRuns records the runs.
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

	mu   sync.Mutex // guards log, http and done
	runs []Run
	http *http.Server
	done chan struct{}
}

// New returns a server that listens.
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

// HideLoad leaves the load out of all answers from now on. Entry nodes then
// stay within their shares.
func (s *Server) HideLoad() { s.loadHidden.Store(true) }

// Start listens again after Kill.
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

// Kill refuses new connections and breaks the open ones. Requests that run go
// on, as on a server whose network is gone.
func (s *Server) Kill() {
	s.mu.Lock()
	server, done := s.http, s.done
	s.mu.Unlock()
	server.Close()
	<-done
}

// Close stops the server.
func (s *Server) Close() { s.Kill() }

// Stop ends the server after the requests in progress.
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

// Stats is what a server counted.
type Stats struct {
	// Peak and ConnectionPeak are the most running requests and the most open
	// connections at once.
	Peak, ConnectionPeak int
	// Served ran, Rejected found no slot, RejectedConnections no connection.
	Served, Rejected, RejectedConnections int
	// RequestedTime is the service time that the requests asked for, and OccupiedTime the
	// time that they held their slots. On a busy machine OccupiedTime is greater.
	RequestedTime, OccupiedTime time.Duration
}

// Stats returns the counts so far.
func (s *Server) Stats() Stats {
	return Stats{int(s.peak.Load()), int(s.connectionPeak.Load()),
		int(s.served.Load()), int(s.rejected.Load()), int(s.rejectedConnections.Load()),
		time.Duration(s.requestedTime.Load()), time.Duration(s.occupiedTime.Load())}
}

// Running returns the number of requests that run now.
func (s *Server) Running() int { return int(s.running.Load()) }

// Wait returns when no request runs any more. The server must be stopped.
func (s *Server) Wait() { s.handlers.Wait() }

// ServeHTTP runs one request, unless all slots are in use.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.handlers.Add(1)
	defer s.handlers.Done()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the request did not arrive whole, so it does not run
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

// run takes the service time and logs the run. The slot is free at its end.
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
		time.Sleep(serviceTime) // stands for the work of the service
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

// respond sends the request id, a space and the body back, or misbehaves.
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

// chooseFault chooses a fault by its probability.
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

// reset breaks the connection with RST instead of FIN.
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

func raiseTo(peak *atomic.Int64, n int64) {
	for {
		old := peak.Load()
		if n <= old || peak.CompareAndSwap(old, n) {
			return
		}
	}
}

// limitedListener closes connections above the limit at once.
type limitedListener struct {
	net.Listener
	server *Server
}

// Accept waits for a connection within the limit.
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

// countedConn counts itself until it is closed.
type countedConn struct {
	net.Conn
	server *Server
	once   sync.Once
}

// Close closes the connection.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.server.connections.Add(-1) })
	return c.Conn.Close()
}

// SetLinger sets what happens to unsent data on Close.
func (c *countedConn) SetLinger(seconds int) error { return c.Conn.(*net.TCPConn).SetLinger(seconds) }
