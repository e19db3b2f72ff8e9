package cooperative

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
)

// upkeepTime is how long a VM is down for its upkeep.
const upkeepTime = 700 * time.Millisecond

// slot forwards requests to the worker that currently runs on a VM. It answers
// with status 503 while there is none.
type slot struct{ worker atomic.Pointer[Worker] }

func (s *slot) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w := s.worker.Load()
	if w == nil {
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Handler().ServeHTTP(rw, r)
}

// vm is a VM of the platform and the worker that runs on it. The platform's
// interface calls it a machine.
type vm struct {
	name        string
	address     string
	rack        string
	slot        *slot
	generation  int
	upkeepBegun map[uint64]bool // waves for which upkeep of the VM has begun
	upkeepWave  uint64          // the wave for which the VM is down, or zero
}

// Cloud is a stand-in for the platform's interface to the VMs on which workers
// run. It checks that upkeep orders keep the limits of their wave.
type Cloud struct {
	fleet *Fleet
	store *Store

	mu      sync.Mutex
	vms     []*vm
	wave    uint64
	maxDown int // VMs of the wave that may be down at once
	fence   uint64
	closed  bool
}

func newCloud(f *Fleet, s *Store) *Cloud { return &Cloud{fleet: f, store: s} }

// add adds a VM and starts its first worker.
func (c *Cloud) add(v *vm) {
	c.mu.Lock()
	defer c.mu.Unlock()
	v.upkeepBegun = make(map[uint64]bool)
	c.vms = append(c.vms, v)
	c.startWorker(v)
}

// startWorker starts the next worker of a VM. c.mu must be held.
func (c *Cloud) startWorker(v *vm) {
	v.generation++
	v.upkeepWave = 0
	w := c.fleet.NewWorker(fmt.Sprintf("i-%s-%d", v.name, v.generation))
	v.slot.worker.Store(w)
	c.store.Write("servers/"+w.ID, w.StoreEntry(v.address, v.rack, "ready"))
}

// RequestWave requests an upkeep wave over all VMs, as an operator does.
func (c *Cloud) RequestWave(wave uint64, timeLimit time.Duration, maxDown int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wave, c.maxDown = wave, maxDown
	var names []string
	for _, v := range c.vms {
		names = append(names, v.name)
	}
	c.store.Write(fmt.Sprintf("op/wave/%d", wave), map[string]any{"wave": wave, "machines": names,
		"duration_s": timeLimit.Seconds(), "cap": maxDown})
}

// LastWave returns the number of the last requested wave, or zero.
func (c *Cloud) LastWave() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wave
}

// WaveState returns the state of a wave that the scheduler has published, and
// whether the upkeep of all VMs has begun.
func (c *Cloud) WaveState(wave uint64) (state string, allBegun bool) {
	var status struct {
		State string `json:"state"`
	}
	c.store.mu.Lock()
	value := c.store.items[fmt.Sprintf("status/wave/%d", wave)].Value
	c.store.mu.Unlock()
	if len(value) > 0 {
		if err := json.Unmarshal(value, &status); err != nil {
			return err.Error(), false
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	allBegun = true
	for _, v := range c.vms {
		allBegun = allBegun && v.upkeepBegun[wave]
	}
	return status.State, allBegun
}

// Handler returns the HTTP handler for the nodes' calls.
func (c *Cloud) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/machines", c.list)
	r.Post("/machine-upkeep", c.upkeep)
	return r
}

func (c *Cloud) list(rw http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := []map[string]any{}
	for _, v := range c.vms {
		row := map[string]any{"machine": v.name, "pool": "service", "state": "up", "zone": "zone", "id": ""}
		if w := v.slot.worker.Load(); w != nil {
			row["id"] = w.ID
		}
		if v.upkeepWave > 0 {
			row["state"] = "upkeep"
		}
		all = append(all, row)
	}
	reply(rw, http.StatusOK, map[string]any{"machines": all, "next_token": nil})
}

func (c *Cloud) upkeep(rw http.ResponseWriter, r *http.Request) {
	var call struct {
		Machine string `json:"machine"`
		Wave    uint64 `json:"wave"`
	}
	var fence uint64
	_, err := fmt.Sscan(r.Header.Get("Bronzewinch-Fencing-Token"), &fence)
	if err != nil || json.NewDecoder(r.Body).Decode(&call) != nil {
		reply(rw, http.StatusBadRequest, struct{}{})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if fence < c.fence {
		c.fleet.recordViolation("upkeep ordered with fence %d after fence %d", fence, c.fence)
	}
	c.fence = max(c.fence, fence)
	down := 0
	var v *vm
	for _, other := range c.vms {
		if other.upkeepWave == call.Wave {
			down++
		}
		if other.name == call.Machine {
			v = other
		}
	}
	switch {
	case v == nil:
		reply(rw, http.StatusBadRequest, struct{}{})
		return
	case v.upkeepBegun[call.Wave]:
		reply(rw, http.StatusOK, struct{}{})
		return
	case v.upkeepWave > 0:
		reply(rw, http.StatusConflict, map[string]string{"reason": "busy"})
		return
	case down >= c.maxDown:
		c.fleet.recordViolation("upkeep of VM %s begins while %d VMs are down; the wave's limit is %d", v.name, down, c.maxDown)
	}
	v.upkeepBegun[call.Wave], v.upkeepWave = true, call.Wave
	w := v.slot.worker.Swap(nil)
	w.takeDown()
	c.store.Write("servers/"+w.ID, nil)
	time.AfterFunc(upkeepTime, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if !c.closed {
			c.startWorker(v)
		}
	})
	reply(rw, http.StatusOK, struct{}{})
}

func (c *Cloud) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
}
