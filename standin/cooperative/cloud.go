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

// upkeepTime is how long a machine is down for its upkeep.
const upkeepTime = 700 * time.Millisecond

// slot serves the worker that lives on a machine at present.
type slot struct{ worker atomic.Pointer[Worker] }

func (s *slot) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w := s.worker.Load()
	if w == nil {
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Handler().ServeHTTP(rw, r)
}

// machine is a machine of the platform and the worker that lives on it.
type machine struct {
	name    string
	address string
	rack    string
	slot    *slot
	lives   int
	begun   map[uint64]bool // waves of which it has had its upkeep
	down    uint64          // the wave for which it is down, or zero
}

// Cloud is the platform's interface to the machines on which workers live.
type Cloud struct {
	fleet *Fleet
	store *Store

	mu       sync.Mutex
	machines []*machine
	wave     uint64
	most     int // machines of the wave that may be down at once
	fence    uint64
	closed   bool
}

func newCloud(f *Fleet, s *Store) *Cloud { return &Cloud{fleet: f, store: s} }

// add adds a machine with its first worker.
func (c *Cloud) add(m *machine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m.begun = make(map[uint64]bool)
	c.machines = append(c.machines, m)
	c.bear(m)
}

// bear starts the next worker of a machine. The lock is held.
func (c *Cloud) bear(m *machine) {
	m.lives++
	m.down = 0
	w := c.fleet.NewWorker(fmt.Sprintf("i-%s-%d", m.name, m.lives))
	m.slot.worker.Store(w)
	c.store.Write("servers/"+w.ID, w.Entry(m.address, m.rack, "ready"))
}

// Ask writes a wave of upkeep for all machines.
func (c *Cloud) Ask(wave uint64, within time.Duration, most int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wave, c.most = wave, most
	var names []string
	for _, m := range c.machines {
		names = append(names, m.name)
	}
	c.store.Write(fmt.Sprintf("op/wave/%d", wave), map[string]any{"wave": wave, "machines": names,
		"duration_s": within.Seconds(), "cap": most})
}

// Waves is the number of the last wave.
func (c *Cloud) Waves() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wave
}

// State returns what the system says of a wave, and whether all its machines
// have begun their upkeep.
func (c *Cloud) State(wave uint64) (state string, begun bool) {
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
	begun = true
	for _, m := range c.machines {
		begun = begun && m.begun[wave]
	}
	return status.State, begun
}

// Handler serves the nodes.
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
	for _, m := range c.machines {
		row := map[string]any{"machine": m.name, "pool": "service", "state": "up", "zone": "zone", "id": ""}
		if w := m.slot.worker.Load(); w != nil {
			row["id"] = w.ID
		}
		if m.down > 0 {
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
		c.fleet.report("an upkeep is ordered under fence %d after %d", fence, c.fence)
	}
	c.fence = max(c.fence, fence)
	down := 0
	var m *machine
	for _, other := range c.machines {
		if other.down == call.Wave {
			down++
		}
		if other.name == call.Machine {
			m = other
		}
	}
	switch {
	case m == nil:
		reply(rw, http.StatusBadRequest, struct{}{})
		return
	case m.begun[call.Wave]:
		reply(rw, http.StatusOK, struct{}{})
		return
	case m.down > 0:
		reply(rw, http.StatusConflict, map[string]string{"reason": "busy"})
		return
	case down >= c.most:
		c.fleet.report("the upkeep of %s begins while %d machines are down", m.name, down)
	}
	m.begun[call.Wave], m.down = true, call.Wave
	w := m.slot.worker.Swap(nil)
	w.vanish()
	c.store.Write("servers/"+w.ID, nil)
	time.AfterFunc(upkeepTime, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if !c.closed {
			c.bear(m)
		}
	})
	reply(rw, http.StatusOK, struct{}{})
}

func (c *Cloud) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
}
