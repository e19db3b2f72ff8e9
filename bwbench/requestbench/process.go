package requestbench

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"time"

	"bronzewinch.dev/lib/caller"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/unit"
)

// The roles of child processes. The parts of a measurement run in separate
// processes, so that the processor time of each can be measured.
const (
	roleBackends  = "backends"
	roleEntry     = "entry"
	roleForwarder = "forwarder"
)

// childConfig configures a child process. It is sent as JSON on the standard input of
// the child.
type childConfig struct {
	Role             string
	Backends         []backendAddress
	Count            int           // of backend servers
	ServiceTime      time.Duration `json:"Time"`  // mean
	FixedServiceTime bool          `json:"Fixed"` // every request takes ServiceTime
	Position         fixedPosition `json:"Seat"`
	GuaranteedSlots  unit.Slots    `json:"Sure"`
}

// process is a running child process and the addresses that it serves on.
type process struct {
	command   *exec.Cmd
	input     io.WriteCloser
	output    *json.Decoder
	addresses []backendAddress
}

// usage holds the counters of a child process.
type usage struct {
	// Served is the number of requests that the backend servers ran, and
	// Rejected the number that they rejected as busy.
	Served   int
	Rejected int `json:"Refused"`
	// RequestedTime is the sum of the service times that requests asked for,
	// and OccupiedTime the sum of the times that they occupied a slot.
	RequestedTime time.Duration `json:"Asked"`
	OccupiedTime  time.Duration `json:"Taken"`
	// Capacity is the number of slots that an entry node may use now, without
	// those of excluded servers.
	Capacity int
	// CPU is the processor time of the process.
	CPU time.Duration
}

func startProcess(c childConfig) (*process, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	p := &process{command: exec.Command(self, "requests", "-child")}
	p.command.Stderr = os.Stderr
	in, err := p.command.StdinPipe()
	if err != nil {
		return nil, err
	}
	out, err := p.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	p.input = in
	if err := json.NewEncoder(in).Encode(c); err != nil {
		return nil, err
	}
	p.output = json.NewDecoder(out)
	return p, p.output.Decode(&p.addresses)
}

// usage requests the counters of the child.
func (p *process) usage() (u usage) {
	if _, err := p.input.Write([]byte("\n")); err != nil {
		return u
	}
	_ = p.output.Decode(&u)
	u.CPU = p.cpu()
	return u
}

// stop closes the input of the child and waits until the child has exited.
func (p *process) stop() {
	p.input.Close()
	_ = p.command.Wait()
}

// cpu returns the processor time that the child has used.
func (p *process) cpu() time.Duration {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	// Of the fields after the command name in parentheses, utime and stime are
	// the 12th and 13th, in ticks of 10 ms.
	fields := strings.Fields(string(b[strings.LastIndexByte(string(b), ')')+1:]))
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * 10 * time.Millisecond
}

// child runs one role until its input ends.
func child() error {
	in := bufio.NewReader(os.Stdin)
	var t childConfig
	line, err := in.ReadBytes('\n')
	if err != nil {
		return err
	}
	if err := json.Unmarshal(line, &t); err != nil {
		return err
	}
	ready, counts, err := t.start()
	if err != nil {
		return err
	}
	out := json.NewEncoder(os.Stdout)
	if err := out.Encode(ready); err != nil {
		return err
	}
	for {
		if _, err := in.ReadBytes('\n'); err != nil {
			return nil // the parent has closed the input
		}
		if err := out.Encode(counts()); err != nil {
			return err
		}
	}
}

// start starts the role. It returns the addresses of its servers and a function
// that returns its counters.
func (c childConfig) start() ([]backendAddress, func() usage, error) {
	switch c.Role {
	case roleBackends:
		servers, list, err := newBackends(c.Count, serviceTime(c.ServiceTime, c.FixedServiceTime), false)
		return list, func() (u usage) {
			for _, s := range servers {
				stats := s.Stats()
				u.Served += stats.Served
				u.Rejected += stats.Rejected
				u.RequestedTime += stats.RequestedTime
				u.OccupiedTime += stats.OccupiedTime
			}
			return u
		}, err
	case roleForwarder:
		address, err := startForwarder(c.Backends)
		return []backendAddress{{roleForwarder, address}}, func() usage { return usage{} }, err
	}
	e, err := newEntryNode(entryNodeConfig{name: "n", configSource: fixedConfig{configuration(c.Backends, c.GuaranteedSlots)}, positionSource: c.Position,
		backends: caller.NoBackendLeaving{}, deduplicator: newOwners(nil)})
	if err != nil {
		return nil, nil, err
	}
	return []backendAddress{{id.Backend(roleEntry), strings.TrimPrefix(e.url, "http://")}},
		func() usage { return usage{Capacity: int(e.frontend.Capacity(serviceName))} }, nil
}

// serviceTime returns a function that returns fixed or exponentially distributed
// service times.
func serviceTime(mean time.Duration, fixed bool) func() time.Duration {
	if fixed {
		return func() time.Duration { return mean }
	}
	return func() time.Duration { return time.Duration(rand.ExpFloat64() * float64(mean)) }
}

// startForwarder starts a minimal HTTP proxy and returns its address. It selects
// a random backend server, uses the connection pool of net/http and copies the
// body. It is the baseline for the processor time per request.
func startForwarder(list []backendAddress) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	transport := &http.Transport{MaxIdleConnsPerHost: connections, DisableCompression: true}
	handler := func(w http.ResponseWriter, r *http.Request) {
		out := r.Clone(r.Context())
		out.URL.Scheme, out.URL.Host = "http", list[rand.IntN(len(list))].Address
		out.RequestURI = ""
		out.Header.Set("Bronzewinch-Request-Id", "r")
		out.Header.Set("Bronzewinch-Attempt", "1")
		response, err := transport.RoundTrip(out)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer response.Body.Close()
		for name, values := range response.Header {
			w.Header()[name] = values
		}
		w.WriteHeader(response.StatusCode)
		_, _ = io.Copy(w, response.Body)
	}
	server := &http.Server{Handler: http.HandlerFunc(handler), ErrorLog: log.New(io.Discard, "", 0),
		ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}
