package placer

import (
	"bronzewinch.dev/lib/fleet"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/unit"
)

// Worker is a declared worker with its free resources and its jobs.
type Worker struct {
	Name     id.Worker
	Rack     id.Rack
	Address  string
	Out      fleet.ExclusionReason
	Declared unit.Resources
	Free     unit.Resources
	Jobs     []id.Job
}

// Workers returns the declared workers in order of rack and name.
func (p *Placer) Workers() []Worker {
	p.mu.Lock()
	set, view := p.set, p.zone.View()
	jobs := make(map[id.Worker][]id.Job)
	for _, g := range p.gangs {
		for _, m := range g.Members {
			jobs[m.Worker] = append(jobs[m.Worker], g.Job)
		}
	}
	p.mu.Unlock()
	addresses := make(map[id.Worker]string)
	for _, w := range set.Zones[p.config.Zone].Workers {
		addresses[w.Name] = w.Address
	}
	var out []Worker
	for _, rack := range view.Racks() {
		for _, w := range rack.Workers {
			out = append(out, Worker{Name: w.Name, Rack: rack.Name, Address: addresses[w.Name],
				Out: w.Exclusion, Declared: w.Total, Free: w.Free, Jobs: jobs[w.Name]})
		}
	}
	return out
}

// Load is the load of a zone. The dispatcher chooses a zone for a job by it.
type Load struct {
	// Free counts the free accelerators of workers in placement.
	Free unit.Accelerators
	// Waiting counts the accelerators that the jobs of the last pass requested.
	Waiting unit.Accelerators
}

// Load returns the load of the zone.
func (p *Placer) Load() Load {
	p.mu.Lock()
	view, waiting := p.zone.View(), p.waitingAccelerators
	p.mu.Unlock()
	l := Load{Waiting: waiting}
	for _, rack := range view.Racks() {
		l.Free += rack.Summary.FreeAccelerators
	}
	return l
}

// Fragmentation returns the share of the free accelerators that are on partly
// used workers. It is 0 when none are free.
func (p *Placer) Fragmentation() unit.Share {
	p.mu.Lock()
	view := p.zone.View()
	p.mu.Unlock()
	var free, partly unit.Accelerators
	for _, rack := range view.Racks() {
		for _, w := range rack.Workers {
			if n := w.Free.Accelerators; w.Exclusion == fleet.NotExcluded && n > 0 {
				free += n
				if n < w.Total.Accelerators {
					partly += n
				}
			}
		}
	}
	if free == 0 {
		return 0
	}
	return unit.Share(float64(partly) / float64(free))
}
