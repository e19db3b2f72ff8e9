package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// upkeepTime is how long a machine is down for its upkeep.
const upkeepTime = 2 * time.Second

// machine hosts one minion at a time, at one address.
type machine struct {
	name    string
	rack    string
	address string
	minion  atomic.Pointer[minion]
	lives   int
	state   string
	upkeeps map[int]bool // waves in which its upkeep has begun
}

func (m *machine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	life := m.minion.Load()
	if life == nil {
		panic(http.ErrAbortHandler)
	}
	life.ServeHTTP(w, r)
}

// cloud is the platform's interface of the machines.
type cloud struct {
	world *world

	mu       sync.Mutex
	machines []*machine
	busy     bool // each call is answered with 503
}

func newCloud(w *world) *cloud { return &cloud{world: w} }

func (c *cloud) addMachine(name, rack string) (*machine, error) {
	m := &machine{name: name, rack: rack, state: "up", upkeeps: make(map[int]bool)}
	var err error
	if m.address, err = c.world.listen(m); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.machines = append(c.machines, m)
	c.startMinion(m)
	return m, nil
}

// startMinion starts the next minion of a machine. The lock is held.
func (c *cloud) startMinion(m *machine) {
	m.lives++
	life := c.world.fleet.newMinion(fmt.Sprintf("i-%s-%05d", m.name, m.lives), m.address, "entoto", m.rack)
	c.world.minions = append(c.world.minions, life)
	m.minion.Store(life)
	m.state = "up"
	go life.register(c.world.store)
}

func (c *cloud) begun(name string, wave int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		if m.name == name {
			return m.upkeeps[wave]
		}
	}
	return false
}

// resetWave forgets the upkeeps of an earlier request of a wave.
func (c *cloud) resetWave(wave int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		delete(m.upkeeps, wave)
	}
}

func (c *cloud) setBusy(busy bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = busy
}

func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy {
		answer(w, http.StatusServiceUnavailable, struct{}{})
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /machines":
		all := []map[string]any{}
		for _, m := range c.machines {
			id := ""
			if life := m.minion.Load(); life != nil {
				id = life.id
			}
			all = append(all, map[string]any{"machine": m.name, "pool": "skymap", "state": m.state, "zone": "entoto", "labels": []string{"a", m.rack},
				"capacity": map[string]int{"cpu": minionCPU, "mem_mb": minionMemMB, "gpu": minionGPU}, "id": id})
		}
		answer(w, http.StatusOK, map[string]any{"machines": all, "next_token": ""})
	case "POST /machine-upkeep":
		c.upkeep(w, r)
	default:
		answer(w, http.StatusNotFound, struct{}{})
	}
}

func (c *cloud) upkeep(w http.ResponseWriter, r *http.Request) {
	var req struct {
		Machine string `json:"machine"`
		Wave    int    `json:"wave"`
	}
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	var m *machine
	for _, other := range c.machines {
		if other.name == req.Machine {
			m = other
		}
	}
	if m == nil {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	if !c.inWave(req.Machine, req.Wave) {
		answer(w, http.StatusConflict, map[string]any{"reason": "wave"})
		return
	}
	if m.upkeeps[req.Wave] {
		answer(w, http.StatusOK, struct{}{})
		return
	}
	if m.state != "up" {
		answer(w, http.StatusConflict, map[string]any{"reason": "busy"})
		return
	}
	m.upkeeps[req.Wave], m.state = true, "upkeep"
	life := m.minion.Load()
	m.minion.Store(nil)
	life.leave()
	c.world.store.write("servers/"+life.id, nil)
	c.world.log.write("upkeep of %s for wave %d begins, ordered by %s with %s", m.name, req.Wave,
		r.Header.Get("Bronzewinch-Lease-Holder"), r.Header.Get("Bronzewinch-Fencing-Token"))
	time.AfterFunc(upkeepTime, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.startMinion(m)
		c.world.log.write("upkeep of %s is over", m.name)
	})
	answer(w, http.StatusOK, struct{}{})
}

// inWave reports whether a machine is part of a wave that the operator requests now.
func (c *cloud) inWave(name string, n int) bool {
	var wave struct {
		Machines []string `json:"machines"`
	}
	if json.Unmarshal(c.world.store.read(fmt.Sprintf("op/wave/%d", n)), &wave) != nil {
		return false
	}
	for _, m := range wave.Machines {
		if m == name {
			return true
		}
	}
	return false
}
