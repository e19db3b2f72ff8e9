package main

import (
	"encoding/json"
	"fmt"
	"slices"
	"syscall"
	"time"
)

// waveRequestedAgain kills the owner once after a wave is complete. Before another node has
// taken over, the operator withdraws the wave and requests it with other machines. The rule is
// MIXED: a wave is said to be completed, and a machine of it that stays hasn't begun its
// upkeep.
func waveRequestedAgain(log *recorder, trouble bool) (bool, error) {
	const (
		wave = 7
		key  = "op/wave/7"
	)
	w, err := newWorld(log, 3, 12)
	if err != nil {
		return false, err
	}
	defer w.close()
	request := func(machines ...string) {
		w.cloud.resetWave(wave)
		w.store.write(key, map[string]any{"wave": wave, "machines": machines, "duration_s": 20, "cap": 1})
		log.write("the operator requests wave %d of %v", wave, machines)
	}
	early, late := []string{"m-00", "m-01"}, []string{"m-02", "m-03"}
	request(early...)
	if !w.waitForWave(wave, early, 40*time.Second) {
		return false, fmt.Errorf("the wave is not complete after 40 s")
	}
	time.Sleep(3 * time.Second)
	if trouble {
		n := w.owner()
		if n == nil {
			return false, fmt.Errorf("no node owns the jobs")
		}
		log.write("%s is killed", n.name)
		<-n.signal(syscall.SIGKILL)
		time.AfterFunc(3*time.Second, func() { _ = n.start() }) // node_kill, for_s = 3.0
	}
	w.store.write(key, nil)
	log.write("the operator withdraws wave %d", wave)
	time.Sleep(500 * time.Millisecond)
	request(late...)
	w.waitForWave(wave, late, 40*time.Second)
	completed := w.waveState(wave) == "completed"
	missing := slices.DeleteFunc(late, func(m string) bool { return w.cloud.begun(m, wave) })
	log.write("wave %d is said to be %q; the upkeep of %v has not begun", wave, w.waveState(wave), missing)
	return completed && len(missing) > 0, nil
}

// waitForWave waits until a wave is said to be completed and its machines have begun their
// upkeep, and reports whether that is so.
func (w *world) waitForWave(wave int, machines []string, limit time.Duration) bool {
	last := ""
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		state := w.waveState(wave)
		if state != last {
			w.log.write("wave %d is said to be %q", wave, state)
			last = state
		}
		if state == "completed" && !slices.ContainsFunc(machines, func(m string) bool { return !w.cloud.begun(m, wave) }) {
			return true
		}
	}
	return false
}

func (w *world) waveState(wave int) string {
	var status struct {
		State string `json:"state"`
	}
	if json.Unmarshal(w.store.read(fmt.Sprintf("status/wave/%d", wave)), &status) != nil {
		return ""
	}
	return status.State
}
