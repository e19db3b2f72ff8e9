// Package vmlist implements a stand-in for the platform's list of VMs, in which
// changes become visible after a lag.
package vmlist

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"bronzewinch.dev/lib/timer"
	"bronzewinch.dev/lib/vmlist"
)

// Config configures a Server.
type Config struct {
	Timer timer.Service
	// Lag is the time after which a change becomes visible to readers.
	Lag time.Duration
}

// Server stores the list. It is an http.Handler for reads.
type Server struct {
	config Config

	mu      sync.Mutex
	visible map[string]vmlist.VM // by name, without pending changes
	pending []change             // not yet visible, oldest first
	reads   int
	down    bool
}

type change struct {
	at   time.Time
	name string
	vm   *vmlist.VM // nil removes the VM
}

// New returns a server with an empty list.
func New(c Config) *Server {
	return &Server{config: c, visible: make(map[string]vmlist.VM)}
}

// Set adds or replaces a VM, after the lag.
func (s *Server) Set(vm vmlist.VM) { s.add(vm.Name, &vm) }

// Remove removes a VM, after the lag.
func (s *Server) Remove(name string) { s.add(name, nil) }

// SetDown starts or ends an outage, in which reads fail.
func (s *Server) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// Reads returns the number of reads so far, including those that failed.
func (s *Server) Reads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

// ServeHTTP returns the list as JSON, or status 304 if the client already has it.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	list, down := s.read()
	if down {
		http.Error(w, "the list is down", http.StatusServiceUnavailable)
		return
	}
	body, err := json.Marshal(list)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	tag := fmt.Sprintf("\"%x\"", sha256.Sum256(body))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

func (s *Server) add(name string, vm *vmlist.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = append(s.pending, change{at: s.config.Timer.Now(), name: name, vm: vm})
}

func (s *Server) read() (vmlist.List, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	s.applyPending()
	var list vmlist.List
	for _, vm := range s.visible {
		list.VMs = append(list.VMs, vm)
	}
	slices.SortFunc(list.VMs, func(a, b vmlist.VM) int { return strings.Compare(a.Name, b.Name) })
	return list, s.down
}

// applyPending applies the pending changes whose lag has passed. s.mu must be
// held.
func (s *Server) applyPending() {
	now := s.config.Timer.Now()
	for len(s.pending) > 0 && !s.pending[0].at.Add(s.config.Lag).After(now) {
		c := s.pending[0]
		s.pending = s.pending[1:]
		if c.vm == nil {
			delete(s.visible, c.name)
		} else {
			s.visible[c.name] = *c.vm
		}
	}
}
