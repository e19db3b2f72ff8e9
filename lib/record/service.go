package record

import (
	"fmt"
	"net/netip"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/unit"
)

// Limits of a service.
const (
	MaxBackends    = 1000
	MinTimeout     = time.Second
	MaxTimeout     = time.Hour
	maxPerBackend  = 10000
	maxBodyKB      = 64 << 10
	defaultBodyKB  = 1 << 10
	defaultTimeout = 30 * time.Second
)

// BackendRecord is one backend server. Both schema versions have the same
// fields.
type BackendRecord struct {
	Name    id.Backend `toml:"name"`
	Address string     `toml:"address"`
	Zone    id.Zone    `toml:"zone"`
}

// ServiceV1 is a service in schema v1.
type ServiceV1 struct {
	Header
	Slots          unit.Slots       `toml:"slots"`
	Connections    unit.Connections `toml:"connections"`
	TimeoutSeconds int64            `toml:"timeoutSeconds,omitempty"`
	MaxRequestKB   int64            `toml:"maxRequestKB,omitempty"`
	MaxAnswerKB    int64            `toml:"maxAnswerKB,omitempty"`
	Backends       []BackendRecord  `toml:"backends,inline,multiline"`
}

// PerBackendV2 limits the concurrent use of each backend server.
type PerBackendV2 struct {
	Slots       unit.Slots       `toml:"slots"`
	Connections unit.Connections `toml:"connections"`
}

// ServiceV2 is a service in schema v2.
type ServiceV2 struct {
	HeaderV2
	Timeout    Duration        `toml:"timeout,omitempty"`
	MaxRequest Size            `toml:"maxRequest,omitempty"`
	MaxAnswer  Size            `toml:"maxAnswer,omitempty"`
	PerBackend PerBackendV2    `toml:"perBackend"`
	Backends   []BackendRecord `toml:"backends,inline,multiline"`
}

func (s *ServiceV1) check(r *report) {
	checkRange(r, "slots", s.Slots, 1, maxPerBackend)
	checkRange(r, "connections", s.Connections, 1, maxPerBackend)
	if s.TimeoutSeconds != 0 {
		checkSeconds(r, "timeoutSeconds", s.TimeoutSeconds, MinTimeout, MaxTimeout)
	}
	checkRange(r, "maxRequestKB", s.MaxRequestKB, 0, maxBodyKB)
	checkRange(r, "maxAnswerKB", s.MaxAnswerKB, 0, maxBodyKB)
	checkBackends(r, s.Backends)
}

func (s *ServiceV2) check(r *report) {
	checkRange(r, "perBackend.slots", s.PerBackend.Slots, 1, maxPerBackend)
	checkRange(r, "perBackend.connections", s.PerBackend.Connections, 1, maxPerBackend)
	if s.Timeout != 0 {
		checkDuration(r, "timeout", s.Timeout, MinTimeout, MaxTimeout)
	}
	for field, size := range map[string]Size{"maxRequest": s.MaxRequest, "maxAnswer": s.MaxAnswer} {
		if size < 0 || size > Size(maxBodyKB*unit.KiB) {
			r.add(field, unit.Bytes(size).String(), "0B to 64MiB", "give a size within the limits")
		}
	}
	checkBackends(r, s.Backends)
}

func checkBackends(r *report, backends []BackendRecord) {
	checkRange(r, "backends", len(backends), 1, MaxBackends)
	names, addresses := make(map[id.Backend]bool), make(map[string]bool)
	for i, b := range backends {
		prefix := fmt.Sprintf("backends[%d].", i)
		r.checkID(prefix+"name", string(b.Name))
		r.checkID(prefix+"zone", string(b.Zone))
		checkAddress(r, prefix+"address", b.Address)
		checkUnique(r, prefix+"name", names, b.Name)
		checkUnique(r, prefix+"address", addresses, b.Address)
	}
}

// checkAddress reports an address that is not an IP address and port. Host names
// are rejected, because the platform's VMs are addressed by IP address.
func checkAddress(r *report, field, address string) {
	a, err := netip.ParseAddrPort(address)
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() {
		r.add(field, address, "IP address and port", `write it as "10.0.0.1:8080" or "[fd00::1]:8080"`)
	}
}

// checkUnique reports a value that is in seen already, and adds it otherwise.
func checkUnique[T comparable](r *report, field string, seen map[T]bool, v T) {
	if seen[v] {
		r.add(field, fmt.Sprint(v), "unique within the record", "correct one of the two")
	}
	seen[v] = true
}

func (s *ServiceV1) toV2() bodyV2 {
	return &ServiceV2{Timeout: durationFromSeconds(s.TimeoutSeconds), MaxRequest: Size(unit.Bytes(s.MaxRequestKB) * unit.KiB),
		MaxAnswer: Size(unit.Bytes(s.MaxAnswerKB) * unit.KiB), PerBackend: PerBackendV2{s.Slots, s.Connections},
		Backends: s.Backends}
}

func (s *ServiceV2) toV1(r *report) bodyV1 {
	for field, size := range map[string]Size{"maxRequest": s.MaxRequest, "maxAnswer": s.MaxAnswer} {
		if unit.Bytes(size)%unit.KiB != 0 {
			r.addUnsupported(field, unit.Bytes(size).String(), "whole KB of 1024 bytes")
		}
	}
	return &ServiceV1{Slots: s.PerBackend.Slots, Connections: s.PerBackend.Connections,
		TimeoutSeconds: wholeSeconds(r, "timeout", s.Timeout), MaxRequestKB: int64(unit.Bytes(s.MaxRequest) / unit.KiB),
		MaxAnswerKB: int64(unit.Bytes(s.MaxAnswer) / unit.KiB), Backends: s.Backends}
}

func (s *ServiceV2) addTo(set *Set) {
	in := Service{Name: id.Service(s.Name), Slots: s.PerBackend.Slots, Connections: s.PerBackend.Connections,
		Timeout: time.Duration(s.Timeout), MaxRequest: unit.Bytes(s.MaxRequest), MaxResponse: unit.Bytes(s.MaxAnswer)}
	if in.Timeout == 0 {
		in.Timeout = defaultTimeout
	}
	if in.MaxRequest == 0 {
		in.MaxRequest = defaultBodyKB * unit.KiB
	}
	if in.MaxResponse == 0 {
		in.MaxResponse = defaultBodyKB * unit.KiB
	}
	for _, b := range s.Backends {
		in.Backends = append(in.Backends, Backend(b))
	}
	set.Services[in.Name] = in
}

func (s *ServiceV2) removeFrom(set *Set) { delete(set.Services, id.Service(s.Name)) }
