package main

import (
	"encoding/json"
	"net/http"
	"time"
)

// cloud serves the platform's calls about machines.
type cloud struct {
	world *world
	// silentUntil is until when the cloud carries out no call and answers none.
	silentUntil time.Time
}

func (c *cloud) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", c.list)
	mux.HandleFunc("POST /machine-upkeep", c.upkeep)
	return mux
}

// silent reports whether the cloud is silent. It then waits until the caller gives up.
func (c *cloud) silent(r *http.Request) bool {
	c.world.mu.Lock()
	silent := time.Now().Before(c.silentUntil)
	c.world.mu.Unlock()
	if silent {
		<-r.Context().Done()
	}
	return silent
}

func (c *cloud) list(rw http.ResponseWriter, r *http.Request) {
	if c.silent(r) {
		return
	}
	w := c.world
	w.mu.Lock()
	defer w.mu.Unlock()
	all := []map[string]any{}
	for _, m := range w.machines {
		id := ""
		if m.minion != nil {
			id = m.minion.id
		}
		all = append(all, map[string]any{"machine": m.name, "pool": "skymap", "state": m.state, "zone": "entoto",
			"labels": []string{m.kind, m.rack}, "capacity": map[string]int{"cpu": 32000, "mem_mb": 131072, "gpu": m.gpus}, "id": id})
	}
	answer(rw, http.StatusOK, map[string]any{"machines": all, "next_token": ""})
}

func (c *cloud) upkeep(rw http.ResponseWriter, r *http.Request) {
	var call struct {
		Machine string `json:"machine"`
		Wave    int    `json:"wave"`
	}
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		answer(rw, http.StatusBadRequest, struct{}{})
		return
	}
	if c.silent(r) {
		return
	}
	w := c.world
	w.mu.Lock()
	defer w.mu.Unlock()
	var m *machine
	for _, other := range w.machines {
		if other.name == call.Machine {
			m = other
		}
	}
	switch {
	case m == nil:
		answer(rw, http.StatusBadRequest, struct{}{})
		return
	case m.upkeeps[call.Wave]:
		answer(rw, http.StatusOK, struct{}{})
		return
	case m.state != "up":
		answer(rw, http.StatusConflict, map[string]any{"reason": "busy"})
		return
	}
	w.rec.add("upkeep of machine %s for wave %d begins, by %s with token %s; %d tasks run there", m.name, call.Wave,
		r.Header.Get("Bronzewinch-Lease-Holder"), r.Header.Get("Bronzewinch-Fencing-Token"), len(m.minion.runs))
	m.upkeeps[call.Wave] = true
	n := m.minion
	for _, run := range n.runs {
		w.checkStop(run, "an upkeep")
		run.stopped = true
	}
	for _, run := range n.runs {
		n.drop(run, "upkeep")
	}
	m.crash()
	m.state = "upkeep"
	w.store.remove("servers/" + n.id)
	time.AfterFunc(w.bounds.upkeep, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		m.up("", 0)
	})
	answer(rw, http.StatusOK, struct{}{})
}
