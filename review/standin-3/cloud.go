package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
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
	cut     atomic.Pointer[cut]
}

// cut is a partition of a machine from all nodes. Its channel is closed when it ends.
type cut struct{ over chan struct{} }

// ServeHTTP passes a call on to the minion, and the answer back unless the machine is cut off
// by then.
func (m *machine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c := m.cut.Load(); c != nil {
		c.drop(r)
	}
	life := m.minion.Load()
	if life == nil {
		panic(http.ErrAbortHandler)
	}
	reply := httptest.NewRecorder()
	lost := func() (lost bool) {
		defer func() { lost = recover() != nil }()
		life.ServeHTTP(reply, r)
		return false
	}()
	if c := m.cut.Load(); c != nil {
		c.drop(r)
	}
	if lost {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(reply.Code)
	_, _ = w.Write(reply.Body.Bytes())
}

// drop lets a call hang until the caller gives up or the partition ends. No answer is sent.
func (c *cut) drop(r *http.Request) {
	select {
	case <-c.over:
	case <-r.Context().Done():
	}
	panic(http.ErrAbortHandler)
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
	life.mute(m.cut.Load() != nil)
	m.minion.Store(life)
	m.state = "up"
	go life.register(c.world.store)
}

// machineOf returns the machine of a minion.
func (c *cloud) machineOf(id string) *machine {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		if life := m.minion.Load(); life != nil && life.id == id {
			return m
		}
	}
	return nil
}

// restartBehindCut cuts a machine off from all nodes and from the store. Behind the cut its
// minion crashes after a time, and starts again under its id. The store removes its entry
// after three heartbeat intervals of silence.
func (c *cloud) restartBehindCut(m *machine, length, crashAfter, downTime time.Duration) {
	life := m.minion.Load()
	partition := &cut{make(chan struct{})}
	m.cut.Store(partition)
	life.mute(true)
	c.world.log.write("%s is cut off from all nodes and from the store for %v", m.name, length)
	time.AfterFunc(3*heartbeat, func() {
		if m.cut.Load() == partition {
			c.world.store.write("servers/"+life.id, nil)
		}
	})
	time.AfterFunc(length, func() {
		m.cut.Store(nil)
		close(partition.over)
		if l := m.minion.Load(); l != nil {
			l.mute(false)
		}
		c.world.log.write("%s is no longer cut off", m.name)
	})
	time.AfterFunc(crashAfter, func() {
		m.minion.Store(nil)
		life.leave()
		c.world.log.write("%s crashes", life.id)
	})
	time.AfterFunc(crashAfter+downTime, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		m.lives--
		c.startMinion(m)
		c.world.log.write("%s starts again under its id", life.id)
	})
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
