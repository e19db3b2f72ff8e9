// Package dependency logs the outages of the services that a node calls. It
// writes one line at the start and one at the end of an outage, regardless of the
// number of failed calls in between.
package dependency

import (
	"sync"
	"time"

	"bronzewinch.dev/lib/timer"

	"k8s.io/klog/v2"
)

// Dependency tracks the availability of one service that a node calls.
type Dependency struct {
	name  string
	clock timer.Service

	mu          sync.Mutex
	downSince   time.Time // start of the outage; zero while the dependency is available
	failedCalls int
}

// New returns a dependency that is considered available.
func New(name string, clock timer.Service) *Dependency { return &Dependency{name: name, clock: clock} }

// Observe records the result of a call and logs a change of availability.
func (d *Dependency) Observe(err error) {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case err != nil && d.downSince.IsZero():
		d.downSince, d.failedCalls = now, 1
		klog.InfoS("dependency unavailable", "event", "dependency", "dependency", d.name, "cause", err)
	case err != nil:
		d.failedCalls++
	case !d.downSince.IsZero():
		klog.InfoS("dependency available again", "event", "dependency", "dependency", d.name, "lostMs", now.Sub(d.downSince).Milliseconds(),
			"failedCalls", d.failedCalls)
		d.downSince = time.Time{}
	}
}

// Downtime returns the duration of the current outage, or zero if the dependency
// is available.
func (d *Dependency) Downtime() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.downSince.IsZero() {
		return 0
	}
	return d.clock.Now().Sub(d.downSince)
}
