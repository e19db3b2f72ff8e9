package record

import (
	"cmp"
	"fmt"
	"slices"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/unit"
)

// Limits of a zone.
const (
	MaxZoneWorkers = 1000
	MaxRacks       = 500
)

// WorkerV1 is a worker in schema v1.
type WorkerV1 struct {
	Name         id.Worker         `toml:"name"`
	Rack         id.Rack           `toml:"rack"`
	Address      string            `toml:"address"`
	Accelerators unit.Accelerators `toml:"accelerators,omitempty"`
	Cores        int64             `toml:"cores"`
	MemoryGB     int64             `toml:"memoryGB"`
}

// ZoneV1 is an availability zone in schema v1: a flat list of workers.
type ZoneV1 struct {
	Header
	Region  id.Region  `toml:"region"`
	Workers []WorkerV1 `toml:"workers,inline,multiline"`
}

// WorkerV2 is a worker in schema v2. PerWorker is set only if it differs from
// the rack's.
type WorkerV2 struct {
	Name      id.Worker    `toml:"name"`
	Address   string       `toml:"address"`
	PerWorker *ResourcesV2 `toml:"perWorker,omitempty"`
}

// RackV2 is a rack in schema v2.
type RackV2 struct {
	Name      id.Rack     `toml:"name"`
	PerWorker ResourcesV2 `toml:"perWorker,inline"`
	Workers   []WorkerV2  `toml:"workers,inline,multiline"`
}

// ZoneV2 is an availability zone in schema v2: racks of workers.
type ZoneV2 struct {
	HeaderV2
	Region id.Region `toml:"region"`
	// Evacuated means that no new work is placed in the zone.
	Evacuated bool     `toml:"evacuated,omitempty"`
	Racks     []RackV2 `toml:"racks"`
}

func (z *ZoneV1) check(r *report) {
	r.checkID("region", string(z.Region))
	checkRange(r, "workers", len(z.Workers), 0, MaxZoneWorkers)
	names, addresses := make(map[id.Worker]bool), make(map[string]bool)
	for i, w := range z.Workers {
		prefix := fmt.Sprintf("workers[%d].", i)
		r.checkID(prefix+"name", string(w.Name))
		r.checkID(prefix+"rack", string(w.Rack))
		checkAddress(r, prefix+"address", w.Address)
		checkRange(r, prefix+"accelerators", w.Accelerators, 0, maxAcceleratorsPerWorker)
		checkRange(r, prefix+"cores", w.Cores, 1, maxCores)
		checkRange(r, prefix+"memoryGB", w.MemoryGB, 1, maxMemoryGB)
		checkUnique(r, prefix+"name", names, w.Name)
		checkUnique(r, prefix+"address", addresses, w.Address)
	}
	z.sort()
}

func (z *ZoneV2) check(r *report) {
	r.checkID("region", string(z.Region))
	checkRange(r, "racks", len(z.Racks), 0, MaxRacks)
	racks := make(map[id.Rack]bool)
	names, addresses := make(map[id.Worker]bool), make(map[string]bool)
	total := 0
	for i, rack := range z.Racks {
		prefix := fmt.Sprintf("racks[%d].", i)
		r.checkID(prefix+"name", string(rack.Name))
		checkUnique(r, prefix+"name", racks, rack.Name)
		checkResources(r, prefix+"perWorker.", rack.PerWorker)
		total += len(rack.Workers)
		for j, w := range rack.Workers {
			prefix := fmt.Sprintf("%sworkers[%d].", prefix, j)
			r.checkID(prefix+"name", string(w.Name))
			checkAddress(r, prefix+"address", w.Address)
			checkUnique(r, prefix+"name", names, w.Name)
			checkUnique(r, prefix+"address", addresses, w.Address)
			if w.PerWorker != nil {
				checkResources(r, prefix+"perWorker.", *w.PerWorker)
			}
		}
	}
	checkRange(r, "racks", total, 0, MaxZoneWorkers)
	z.sort()
}

// sort sorts the workers by rack and name. Their order has no meaning, but zones
// with equal content must have equal texts in both schema versions.
func (z *ZoneV1) sort() {
	slices.SortFunc(z.Workers, func(a, b WorkerV1) int {
		return cmp.Or(cmp.Compare(a.Rack, b.Rack), cmp.Compare(a.Name, b.Name))
	})
}

// sort sorts the racks and workers and gives each rack the resources of its
// first worker, so that zones with equal content have equal texts.
func (z *ZoneV2) sort() {
	slices.SortFunc(z.Racks, func(a, b RackV2) int { return cmp.Compare(a.Name, b.Name) })
	for i := range z.Racks {
		rack := &z.Racks[i]
		slices.SortFunc(rack.Workers, func(a, b WorkerV2) int { return cmp.Compare(a.Name, b.Name) })
		all := make([]ResourcesV2, len(rack.Workers))
		for j, w := range rack.Workers {
			all[j] = rack.resourcesOf(w)
		}
		rack.setResources(all)
	}
}

// resourcesOf returns the resources of a worker of the rack.
func (rack *RackV2) resourcesOf(w WorkerV2) ResourcesV2 {
	if w.PerWorker != nil {
		return *w.PerWorker
	}
	return rack.PerWorker
}

// setResources sets the resources of the rack's workers to those in the list,
// which has one entry for each worker. The rack gets those of the first one.
func (rack *RackV2) setResources(all []ResourcesV2) {
	for i, res := range all {
		if i == 0 {
			rack.PerWorker = res
		}
		rack.Workers[i].PerWorker = nil
		if res != rack.PerWorker {
			rack.Workers[i].PerWorker = &res
		}
	}
}

func (z *ZoneV1) toV2() bodyV2 {
	v2 := &ZoneV2{Region: z.Region, Racks: []RackV2{}}
	z = &ZoneV1{Workers: slices.Clone(z.Workers)}
	z.sort()
	var all []ResourcesV2
	finish := func() {
		if n := len(v2.Racks); n > 0 {
			v2.Racks[n-1].setResources(all)
		}
		all = nil
	}
	for i, w := range z.Workers {
		if i == 0 || w.Rack != z.Workers[i-1].Rack {
			finish()
			v2.Racks = append(v2.Racks, RackV2{Name: w.Rack})
		}
		rack := &v2.Racks[len(v2.Racks)-1]
		rack.Workers = append(rack.Workers, WorkerV2{Name: w.Name, Address: w.Address})
		all = append(all, resourcesToV2(w.Accelerators, w.Cores, w.MemoryGB))
	}
	finish()
	return v2
}

func (z *ZoneV2) toV1(r *report) bodyV1 {
	v1 := &ZoneV1{Region: z.Region, Workers: []WorkerV1{}}
	if z.Evacuated {
		r.addUnsupported("evacuated", "true", "no evacuated zone")
	}
	for i, rack := range z.Racks {
		if len(rack.Workers) == 0 {
			r.addUnsupported(fmt.Sprintf("racks[%d]", i), string(rack.Name), "no rack without workers")
		}
		for j, w := range rack.Workers {
			res := rack.resourcesOf(w)
			whole, memory := resourcesToV1(r, fmt.Sprintf("racks[%d].workers[%d].perWorker.", i, j), res)
			v1.Workers = append(v1.Workers, WorkerV1{w.Name, rack.Name, w.Address, res.Accelerators, whole, memory})
		}
	}
	return v1
}

func (z *ZoneV2) addTo(s *Set) {
	in := Zone{Name: id.Zone(z.Name), Region: z.Region, Evacuated: z.Evacuated}
	for _, rack := range z.Racks {
		for _, w := range rack.Workers {
			in.Workers = append(in.Workers, Worker{w.Name, rack.Name, w.Address, toResources(rack.resourcesOf(w))})
		}
	}
	s.Zones[in.Name] = in
}

func (z *ZoneV2) removeFrom(s *Set) { delete(s.Zones, id.Zone(z.Name)) }
