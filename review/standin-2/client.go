package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// step is a step of a job, as clients send it.
type step struct {
	Count        int    `json:"count"`
	CPU          int    `json:"cpu"`
	MemMB        int    `json:"mem_mb"`
	GPU          int    `json:"gpu,omitempty"`
	EstimateMS   int    `json:"estimate_ms,omitempty"`
	Constraints  string `json:"constraints,omitempty"`
	AntiAffinity int    `json:"anti_affinity,omitempty"`
	LongRunning  bool   `json:"long_running,omitempty"`
	MayMiss      int    `json:"may_miss,omitempty"`
	Gang         bool   `json:"gang,omitempty"`

	work time.Duration // how long a task works
}

type job struct {
	id        string
	priority  int
	steps     []step
	accepted  time.Time
	begun     bool
	cancelled bool
}

var httpClient = &http.Client{Timeout: 3 * time.Second}

// call makes one call at a node. The status is zero if no answer came.
func (w *world) call(n *node, method string, priority int, id string, body any) (int, map[string]any) {
	var reader io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			panic(err) // unreachable: bodies are plain
		}
		reader = bytes.NewReader(b)
	}
	req, err := http.NewRequest(method, "http://"+n.front+queuePrefix(priority)+id, reader)
	if err != nil {
		return 0, nil
	}
	req.Host = host
	req.Header.Set("X-Api-Key", apiKey)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Bronzewinch-Deadline-Ms", "3000")
	resp, err := httpClient.Do(req)
	if err != nil {
		w.rec.add("client: %s %s%s at %s: no answer", method, queuePrefix(priority), id, n.name)
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	var v map[string]any
	_ = json.NewDecoder(resp.Body).Decode(&v)
	w.rec.add("client: %s %s%s at %s: %d %v", method, queuePrefix(priority), id, n.name, resp.StatusCode, v)
	return resp.StatusCode, v
}

func jobID(number int) string { return fmt.Sprintf("%016x", 0x5c0e7a21d94b0000+uint64(number)) }

// submit hands a job in, until a node accepts it.
func (w *world) submit(priority int, number int, steps ...step) (*job, error) {
	j := &job{id: jobID(number), priority: priority, steps: steps}
	w.mu.Lock()
	w.jobs[j.id] = j
	w.mu.Unlock()
	for i := range 40 {
		if status, _ := w.call(w.nodes[i%len(w.nodes)], http.MethodPost, priority, j.id, map[string]any{"spec": "spec " + j.id, "steps": steps}); status/100 == 2 {
			w.mu.Lock()
			j.accepted = time.Now()
			w.mu.Unlock()
			return j, nil
		}
		time.Sleep(250 * time.Millisecond)
	}
	return nil, fmt.Errorf("job %s was not accepted", j.id)
}

// runsOf returns the runs of a task on minions that are up.
func (w *world) runsOf(task string) []*run {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []*run
	for _, m := range w.machines {
		if m.minion != nil && m.minion.runs[task] != nil {
			all = append(all, m.minion.runs[task])
		}
	}
	return all
}

// awaitRun waits until a task runs, and returns the run.
func (w *world) awaitRun(task string, limit time.Duration) (*run, error) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if all := w.runsOf(task); len(all) > 0 {
			return all[0], nil
		}
	}
	return nil, fmt.Errorf("task %s did not start within %v", task, limit)
}

func (j *job) task(step, index int) string { return fmt.Sprintf("%s.0.%d.%d", j.id, step, index) }

func (w *world) machineOf(r *run) *machine { return r.minion.machine }
