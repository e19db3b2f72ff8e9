package fleet

import (
	"slices"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/unit"
)

// NearestShape reports whether a shape fits into an empty zone as declared. If not,
// it returns the nearest shape that would fit: the same resources on fewer workers
// if at least one worker is large enough, otherwise the largest part of the
// resources that a worker has. If no such shape exists, the returned one has zero
// workers.
func NearestShape(zones []record.Zone, s job.Shape) (nearest job.Shape, fits bool) {
	if n := maxWorkers(zones, s); n >= s.Workers {
		return s, true
	} else if n > 0 {
		s.Workers = n
		return s, false
	}
	var best unit.Resources
	for _, z := range zones {
		for _, w := range z.Workers {
			r := minResources(s.PerWorker, w.Resources)
			if r.Accelerators > best.Accelerators ||
				r.Accelerators == best.Accelerators && r.Cores > best.Cores ||
				r.Accelerators == best.Accelerators && r.Cores == best.Cores && r.Memory > best.Memory {
				best = r
			}
		}
	}
	if best.Cores == 0 || best.Memory == 0 {
		return job.Shape{Locality: s.Locality}, false
	}
	s.PerWorker = best
	s.Workers = min(s.Workers, maxWorkers(zones, s))
	return s, false
}

// maxWorkers returns the maximum number of workers within the locality of s (one
// worker, rack or zone) that each have the resources of s.
func maxWorkers(zones []record.Zone, s job.Shape) unit.Workers {
	var maximum unit.Workers
	for _, z := range zones {
		racks := make(map[id.Rack]unit.Workers)
		for _, w := range z.Workers {
			if !s.PerWorker.Fits(w.Resources) {
				continue
			}
			key := w.Rack
			if s.Locality == job.SameZone {
				key = ""
			}
			racks[key]++
			if s.Locality == job.SameWorker {
				racks[key] = 1
			}
			maximum = max(maximum, racks[key])
		}
	}
	return maximum
}

// minResources returns the minimum of each resource.
func minResources(a, b unit.Resources) unit.Resources {
	return unit.Resources{Accelerators: min(a.Accelerators, b.Accelerators),
		Cores: min(a.Cores, b.Cores), Memory: min(a.Memory, b.Memory)}
}

// EligibleZones returns the zones that a job or guarantee may use: the zone with the
// given name, or all zones if the name is empty.
func EligibleZones(zones []record.Zone, name id.Zone) []record.Zone {
	if name == "" {
		return zones
	}
	return slices.DeleteFunc(slices.Clone(zones), func(z record.Zone) bool { return z.Name != name })
}
