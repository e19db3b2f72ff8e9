package main

import (
	"fmt"
	"slices"
	"time"
)

// waveAmended makes the interface of the machines unavailable while a wave runs. Meanwhile a
// machine is added, and the operator adds it to the wave. The rule is MIXED: a wave is said to
// be completed, and a machine of it that stays hasn't begun its upkeep.
func waveAmended(log *recorder, trouble bool) (bool, error) {
	const (
		wave    = 7
		downFor = 5 * time.Second // cloud_down, for_s
	)
	w, err := newWorld(log, 3, 12)
	if err != nil {
		return false, err
	}
	defer w.close()
	request := func(machines ...string) {
		w.store.write(fmt.Sprintf("op/wave/%d", wave), map[string]any{"wave": wave, "machines": machines, "duration_s": 30, "cap": 1})
		log.write("the operator requests wave %d of %v", wave, machines)
	}
	early := []string{"m-00", "m-01", "m-02"}
	request(early...)
	for end := time.Now().Add(20 * time.Second); !slices.ContainsFunc(early, func(m string) bool { return w.cloud.begun(m, wave) }); {
		if time.Now().After(end) {
			return false, fmt.Errorf("no upkeep has begun after 20 s")
		}
		time.Sleep(20 * time.Millisecond)
	}
	if trouble {
		w.cloud.setBusy(true)
		log.write("the interface of the machines answers 503")
		time.AfterFunc(downFor, func() {
			w.cloud.setBusy(false)
			log.write("the interface of the machines answers again")
		})
	}
	time.Sleep(500 * time.Millisecond)
	if _, err := w.cloud.addMachine("m-12", "r-2"); err != nil {
		return false, err
	}
	log.write("m-12 is added")
	time.Sleep(2500 * time.Millisecond)
	all := append(early, "m-12")
	request(all...)
	w.waitForWave(wave, all, 40*time.Second)
	completed := w.waveState(wave) == "completed"
	missing := slices.DeleteFunc(all, func(m string) bool { return w.cloud.begun(m, wave) })
	log.write("wave %d is said to be %q; the upkeep of %v has not begun", wave, w.waveState(wave), missing)
	return completed && len(missing) > 0, nil
}
