// Package dependency logs when something that a node needs is lost and when it
// is back, in one line each, however many calls fail in between.
package dependency

import (
	"sync"
	"time"

	"bronzewinch.dev/lib/timer"

	"k8s.io/klog/v2"
)

// Dependency is one thing that a node calls.
type Dependency struct {
	name  string
	clock timer.Service

	mu          sync.Mutex
	downSince   time.Time // when it was lost; zero while it answers
	failedCalls int
}

// New returns a dependency that counts as answering.
func New(name string, clock timer.Service) *Dependency { return &Dependency{name: name, clock: clock} }

// Observe takes over the result of a call.
func (d *Dependency) Observe(err error) {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case err != nil && d.downSince.IsZero():
		d.downSince, d.failedCalls = now, 1
		klog.InfoS("dependency lost", "event", "dependency", "dependency", d.name, "cause", err)
	case err != nil:
		d.failedCalls++
	case !d.downSince.IsZero():
		klog.InfoS("dependency regained", "event", "dependency", "dependency", d.name, "lostMs", now.Sub(d.downSince).Milliseconds(),
			"failedCalls", d.failedCalls)
		d.downSince = time.Time{}
	}
}

// Downtime returns for how long the dependency has been lost, or zero.
func (d *Dependency) Downtime() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.downSince.IsZero() {
		return 0
	}
	return d.clock.Now().Sub(d.downSince)
}
