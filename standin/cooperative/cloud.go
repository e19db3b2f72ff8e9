package cooperative

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
)

// upkeepTime is how long a VM is down for its upkeep.
const upkeepTime = 700 * time.Millisecond

// slot forwards requests to the worker that currently runs on a VM. It breaks
// the connection while there is none.
type slot struct {
	worker atomic.Pointer[Worker]
	late   atomic.Pointer[LateCalls]
}

func (s *slot) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if l := s.late.Load(); l != nil && slices.Contains(l.Paths, r.URL.Path) && rand.Float64() < l.Share {
		if body, err := io.ReadAll(r.Body); err == nil {
			call := r.Clone(context.WithValue(context.Background(), sentAtKey{}, time.Now()))
			time.AfterFunc(l.MinDelay+rand.N(l.MaxDelay-l.MinDelay+1), func() { s.carryOut(call, body) })
		}
		<-r.Context().Done()
		return
	}
	w := s.worker.Load()
	if w == nil {
		breakConnection(rw)
		return
	}
	w.Handler().ServeHTTP(rw, r)
}

// sentAtKey is the context key of the time at which a late call was sent.
type sentAtKey struct{}

// sentAt returns when a late call was sent, or zero for other calls.
func sentAt(ctx context.Context) time.Time {
	sent, _ := ctx.Value(sentAtKey{}).(time.Time)
	return sent
}

// carryOut carries out a late call on the worker that now runs on the VM.
func (s *slot) carryOut(call *http.Request, body []byte) {
	if w := s.worker.Load(); w != nil {
		call.Body = io.NopCloser(bytes.NewReader(body))
		w.Handler().ServeHTTP(discardWriter{http.Header{}}, call)
	}
}

// LateCalls is a fault of a worker: calls get no answer and are carried out
// later, by the worker that then runs under the same id.
type LateCalls struct {
	Paths              []string
	Share              float64
	MinDelay, MaxDelay time.Duration
}

// Paths of the calls to a worker.
const (
	PollPath  = "/hold"
	StartPath = "/run-start"
	StopPath  = "/run-stop"
)

// Timing of the workers' store entries.
const (
	// HeartbeatInterval is the interval at which a worker writes its entry.
	HeartbeatInterval = 1500 * time.Millisecond
	// NoticeTime is the longest time from the write of an entry until readers see it.
	NoticeTime = 800 * time.Millisecond
	// SilenceTime is the silence after which the entry of a worker is removed.
	SilenceTime = 3 * HeartbeatInterval
)

// Restart is a crash of a worker and the start of the next one on its VM.
type Restart struct {
	Downtime time.Duration
	// RegisterDelay is the time from the start until the store entry is visible.
	RegisterDelay time.Duration
	// NewID gives the next worker an id of its own.
	NewID bool
}

// vm is a VM of the platform and the worker that runs on it. The platform's
// interface calls it a machine.
type vm struct {
	name        string
	address     string
	rack        string
	zone        string
	proxy       *Proxy // in front of its worker
	clockDrift  float64
	slot        *slot
	generation  int
	former      *Worker         // the last worker under the id of the current generation
	down        bool            // its worker has crashed
	cutOffAt    time.Time       // since when its worker does not reach the store, or zero
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
	c.startWorker(v, false, 0)
}

// startWorker starts the next worker of a VM, and writes its store entry after
// registerDelay. It has a new id unless keepID is set. c.mu must be held.
func (c *Cloud) startWorker(v *vm, keepID bool, registerDelay time.Duration) {
	if !keepID {
		v.generation++
		v.former = nil
	}
	v.upkeepWave, v.down = 0, false
	w := c.fleet.NewWorker(fmt.Sprintf("i-%s-%d", v.name, v.generation), v.clockDrift, v.former)
	w.vm = v
	if v.former == nil && v.generation == 1 {
		w.epoch = w.epoch.Add(-initialUptime)
	}
	v.former = w
	v.slot.worker.Store(w)
	if registerDelay == 0 {
		c.register(v)
		return
	}
	time.AfterFunc(registerDelay, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if v.slot.worker.Load() == w {
			c.register(v)
		}
	})
}

// register writes the store entry of the worker on a VM, unless the worker is
// cut off from the store. c.mu must be held.
func (c *Cloud) register(v *vm) {
	if w := v.slot.worker.Load(); w != nil && v.cutOffAt.IsZero() {
		c.store.Write("servers/"+w.ID, w.StoreEntry(v.address, v.zone, v.rack, "ready"))
	}
}

// RestartWorker crashes the worker on a VM and starts the next one. It does
// nothing if no worker is up there.
func (c *Cloud) RestartWorker(index int, r Restart) {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.vms[index]
	w := v.slot.worker.Swap(nil)
	if w == nil {
		return
	}
	v.down = true
	w.crash()
	if r.NewID {
		time.AfterFunc(SilenceTime, func() { c.store.Write("servers/"+w.ID, nil) })
	}
	time.AfterFunc(r.Downtime, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if !c.closed {
			c.startWorker(v, !r.NewID, r.RegisterDelay)
		}
	})
}

// CutOffWorker cuts the worker on a VM off from the store, or ends that. After
// SilenceTime without a write, its entry leaves the list.
func (c *Cloud) CutOffWorker(index int, cutOff bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.vms[index]
	if !cutOff {
		v.cutOffAt = time.Time{}
		c.register(v)
		return
	}
	v.cutOffAt = time.Now()
	time.AfterFunc(SilenceTime, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if w := v.slot.worker.Load(); w != nil && !v.cutOffAt.IsZero() && time.Since(v.cutOffAt) >= SilenceTime {
			c.store.Write("servers/"+w.ID, nil)
		}
	})
}

// ReplaceWorker lets the worker on a VM drain for a time, and then replaces it.
func (c *Cloud) ReplaceWorker(index int, drain time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.vms[index]
	w := v.slot.worker.Load()
	if w == nil || !v.cutOffAt.IsZero() {
		return
	}
	entry := w.StoreEntry(v.address, v.zone, v.rack, "draining")
	entry["remaining_ms"] = drain.Milliseconds()
	c.store.Write("servers/"+w.ID, entry)
	time.AfterFunc(drain, func() {
		c.mu.Lock()
		current := v.slot.worker.Load()
		c.mu.Unlock()
		if current == w {
			c.RestartWorker(index, Restart{Downtime: time.Second, RegisterDelay: time.Millisecond, NewID: true})
		}
	})
}

// SetLateCalls sets which calls to the worker on a VM are carried out late; nil
// means none.
func (c *Cloud) SetLateCalls(index int, l *LateCalls) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.vms[index].slot.late.Store(l)
}

// WorkerOf returns the index of the VM on which a task runs, or -1.
func (c *Cloud) WorkerOf(task string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	return slices.IndexFunc(c.vms, func(v *vm) bool {
		w := v.slot.worker.Load()
		return w != nil && w.runs[task] != nil
	})
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

// Evacuate requests that a zone gets no starts, or withdraws the request.
func (c *Cloud) Evacuate(zone string, requested bool) {
	var request any
	if requested {
		request = struct{}{}
	}
	c.store.Write("op/evacuate/"+zone, request)
	c.fleet.setEvacuated(zone, requested)
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
		row := map[string]any{"machine": v.name, "pool": "service", "state": "up", "zone": v.zone, "id": ""}
		if w := v.slot.worker.Load(); w != nil {
			row["id"] = w.ID
		}
		switch {
		case v.upkeepWave > 0:
			row["state"] = "upkeep"
		case v.down:
			row["state"] = "down"
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
	case v.upkeepWave > 0, v.down:
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
			c.startWorker(v, false, 0)
		}
	})
	reply(rw, http.StatusOK, struct{}{})
}

func (c *Cloud) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
}
