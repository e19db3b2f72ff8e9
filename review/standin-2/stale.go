package main

import (
	"fmt"
	"strings"
	"time"
)

func init() {
	scenarios["stale"] = scenario{bounds: grownBounds, nodes: 3, guaranteed: 8, build: addMachines("a", "a", "a", "a"), play: playStale}
}

// wave requests a wave, as an operator does, and waits until it is said to be completed.
func (w *world) wave(number, duration, maxDown int, limit time.Duration, machines ...string) error {
	w.rec.add("operator: op/wave/%d for machines %v, cap %d, %d s", number, machines, maxDown, duration)
	w.store.write(fmt.Sprintf("op/wave/%d", number), map[string]any{"wave": number, "machines": machines, "duration_s": duration, "cap": maxDown})
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if status := string(w.store.value(fmt.Sprintf("status/wave/%d", number))); strings.Contains(status, "completed") {
			w.rec.add("status/wave/%d: %s", number, status)
			w.checkWave(number, machines)
			return nil
		}
	}
	return fmt.Errorf("wave %d is not completed within %v", number, limit)
}

// checkWave checks MIXED for a wave that is said to be completed.
func (w *world) checkWave(number int, machines []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range w.machines {
		for _, name := range machines {
			if m.name == name && !m.upkeeps[number] {
				w.rec.broken("MIXED", "wave %d is said to be completed, and its machine %s (%s) hasn't begun its upkeep", number, name, m.state)
			}
		}
	}
}

// playStale has a machine added between two waves of upkeep.
func playStale(w *world, trouble bool) error {
	if err := w.wave(1, 30, 1, 20*time.Second, "m01"); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	if trouble {
		if _, err := w.addMachine("m05", "a", "r1-1", 8); err != nil {
			return err
		}
	}
	time.Sleep(6 * time.Second)
	second := []string{"m02", "m05"}
	if !trouble {
		second = []string{"m02", "m03"}
	}
	return w.wave(2, 60, 1, 40*time.Second, second...)
}
