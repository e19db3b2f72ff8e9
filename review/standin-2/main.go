// Command world plays one case of the review: a small deployment with nodes as processes
// and stand-ins for the platform, its minions and its clients.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// scenario is a case that is played as a script.
type scenario struct {
	bounds bounds
	nodes  int
	// guaranteed is the number of GPUs that belong to the tenant.
	guaranteed int
	// build adds the machines.
	build func(w *world) error
	// play plays the case. Without trouble, it leaves the disruptions out.
	play func(w *world, trouble bool) error
}

// limit is the longest time that a script runs.
const limit = 110 * time.Second

var scenarios = map[string]scenario{}

// addMachines returns a function that adds machines m1, m2 and so on, one to a rack of six.
func addMachines(kinds ...string) func(*world) error {
	return func(w *world) error {
		for i, kind := range kinds {
			if _, err := w.addMachine(fmt.Sprintf("m%02d", i+1), kind, fmt.Sprintf("r1-%d", i/6+1), 8); err != nil {
				return err
			}
		}
		return nil
	}
}

func play() int {
	name := flag.String("case", "", "the case to play")
	path := flag.String("record", "record.txt", "the file to which is added what was sent, answered and run")
	disruptions := flag.String("trouble", "1", "0 leaves the disruptions out")
	flag.Parse()
	s, ok := scenarios[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", *name)
		return 2
	}
	rec, err := newRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	failed := func(err error) int {
		rec.add("the case could not be played: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return failed(err)
	}
	w, err := newWorld(rec, dir, s.bounds)
	if err != nil {
		return failed(err)
	}
	defer w.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-stopped:
		case <-time.After(limit):
		}
		rec.add("the case was ended early")
		w.close()
		os.Exit(2)
	}()
	trouble := *disruptions != "0"
	rec.add("case %s, disruptions: %v", *name, trouble)
	w.configure(s.guaranteed)
	for _, step := range []func() error{
		func() error { return s.build(w) },
		func() error { return w.startNodes(s.nodes) },
		func() error { time.Sleep(3500 * time.Millisecond); return s.play(w, trouble) },
	} {
		if err := step(); err != nil {
			return failed(err)
		}
	}
	if n := rec.broke(); n > 0 {
		rec.add("end: %d breaks", n)
		return 1
	}
	rec.add("end: no rule was broken")
	fmt.Println("no rule was broken")
	return 0
}

func main() { os.Exit(play()) }
