package record

import (
	"fmt"
	"math"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/unit"
)

// ShapeV1 is a shape in schema v1. Cores and GiB of memory are whole numbers.
type ShapeV1 struct {
	Workers               unit.Workers      `toml:"workers"`
	AcceleratorsPerWorker unit.Accelerators `toml:"acceleratorsPerWorker,omitempty"`
	CoresPerWorker        int64             `toml:"coresPerWorker"`
	MemoryGB              int64             `toml:"memoryGB"`
	Near                  job.Locality      `toml:"near"`
}

// ResourcesV2 is the resources of a worker in schema v2.
type ResourcesV2 struct {
	Accelerators unit.Accelerators `toml:"accelerators,omitempty"`
	Cores        float64           `toml:"cores"`
	Memory       Size              `toml:"memory"`
}

// ShapeV2 is a shape in schema v2.
type ShapeV2 struct {
	Workers   unit.Workers `toml:"workers"`
	Locality  job.Locality `toml:"locality"`
	PerWorker ResourcesV2  `toml:"perWorker"`
}

// Limits of the resources on one worker, and of the copies of a guarantee.
const (
	maxAcceleratorsPerWorker         = 64
	maxCores                         = 4096
	maxMemoryGB                      = 65536
	maxCopies                        = 1000
	minMemory                        = Size(unit.MiB)
	maxMemory                        = Size(maxMemoryGB * unit.GiB)
	minCores                 float64 = 0.001
)

func toResources(r ResourcesV2) unit.Resources {
	return unit.Resources{Accelerators: r.Accelerators, Cores: toMillicores(r.Cores), Memory: unit.Bytes(r.Memory)}
}

func resourcesToV2(accelerators unit.Accelerators, wholeCores, memoryGB int64) ResourcesV2 {
	return ResourcesV2{accelerators, float64(wholeCores), Size(unit.Bytes(memoryGB) * unit.GiB)}
}

// resourcesToV1 returns the cores and the memory in GiB. It reports values that
// are not whole.
func resourcesToV1(r *report, prefix string, res ResourcesV2) (wholeCores, memoryGB int64) {
	if res.Cores != math.Trunc(res.Cores) {
		r.addUnsupported(prefix+"cores", fmt.Sprint(res.Cores), "whole cores")
	}
	if unit.Bytes(res.Memory)%unit.GiB != 0 {
		r.addUnsupported(prefix+"memory", unit.Bytes(res.Memory).String(), "whole GB of 2^30 bytes")
	}
	return int64(res.Cores), int64(unit.Bytes(res.Memory) / unit.GiB)
}

func checkResources(r *report, prefix string, res ResourcesV2) {
	checkRange(r, prefix+"accelerators", res.Accelerators, 0, maxAcceleratorsPerWorker)
	checkRange(r, prefix+"cores", res.Cores, minCores, maxCores)
	if toCores(toMillicores(res.Cores)) != res.Cores {
		r.add(prefix+"cores", fmt.Sprint(res.Cores), "at most 3 decimals", "round the value")
	}
	if res.Memory < minMemory || res.Memory > maxMemory {
		r.add(prefix+"memory", unit.Bytes(res.Memory).String(), "1MiB to 65536GiB", "give the memory of one worker")
	}
}

func checkGang(r *report, workersField, nearField string, workers unit.Workers, near job.Locality) {
	checkRange(r, workersField, workers, 1, job.MaxWorkers)
	if !near.Valid() {
		r.add(nearField, string(near), "worker, rack or zone", "choose one of these localities")
	}
	if near == job.SameWorker && workers > 1 {
		r.add(workersField, fmt.Sprint(int(workers)), "1 when near is worker", "use rack or zone")
	}
}

func (s ShapeV1) check(r *report) {
	checkGang(r, "workers", "near", s.Workers, s.Near)
	checkRange(r, "acceleratorsPerWorker", s.AcceleratorsPerWorker, 0, maxAcceleratorsPerWorker)
	checkRange(r, "coresPerWorker", s.CoresPerWorker, 1, maxCores)
	checkRange(r, "memoryGB", s.MemoryGB, 1, maxMemoryGB)
}

func (s ShapeV2) check(r *report) {
	checkGang(r, "shape.workers", "shape.locality", s.Workers, s.Locality)
	checkResources(r, "shape.perWorker.", s.PerWorker)
}

func (s ShapeV1) toV2() ShapeV2 {
	return ShapeV2{s.Workers, s.Near, resourcesToV2(s.AcceleratorsPerWorker, s.CoresPerWorker, s.MemoryGB)}
}

func (s ShapeV2) toV1(r *report) ShapeV1 {
	whole, memory := resourcesToV1(r, "shape.perWorker.", s.PerWorker)
	return ShapeV1{s.Workers, s.PerWorker.Accelerators, whole, memory, s.Locality}
}

func (s ShapeV2) toShape() job.Shape {
	return job.Shape{Workers: s.Workers, PerWorker: toResources(s.PerWorker), Locality: s.Locality}
}

// GuaranteeV1 is a guaranteed shape in schema v1.
type GuaranteeV1 struct {
	Header
	Account id.Account `toml:"account"`
	Count   int        `toml:"count"`
	Zone    id.Zone    `toml:"zone,omitempty"`
	ShapeV1
}

// GuaranteeV2 is a guaranteed shape in schema v2. With several zones, each of
// them has Count copies of the shape, and a claim refers to "name.zone".
type GuaranteeV2 struct {
	HeaderV2
	Account id.Account `toml:"account"`
	Count   int        `toml:"count"`
	Zones   []id.Zone  `toml:"zones,omitempty"`
	Shape   ShapeV2    `toml:"shape"`
}

func (g *GuaranteeV1) check(r *report) {
	r.checkID("account", string(g.Account))
	checkRange(r, "count", g.Count, 1, maxCopies)
	if g.Zone != "" {
		r.checkID("zone", string(g.Zone))
	}
	g.ShapeV1.check(r)
}

func (g *GuaranteeV2) check(r *report) {
	r.checkID("account", string(g.Account))
	checkRange(r, "count", g.Count, 1, maxCopies)
	seen := make(map[id.Zone]bool)
	for i, z := range g.Zones {
		field := fmt.Sprintf("zones[%d]", i)
		r.checkID(field, string(z))
		if seen[z] {
			r.add(field, string(z), "at most one entry for each zone", "remove the entry")
		}
		seen[z] = true
	}
	if len(g.Zones) > 1 {
		for _, one := range g.guarantees() {
			r.checkID("name", string(one.Name))
		}
	}
	g.Shape.check(r)
}

func (g *GuaranteeV1) toV2() bodyV2 {
	v2 := &GuaranteeV2{Account: g.Account, Count: g.Count, Shape: g.ShapeV1.toV2()}
	if g.Zone != "" {
		v2.Zones = []id.Zone{g.Zone}
	}
	return v2
}

func (g *GuaranteeV2) toV1(r *report) bodyV1 {
	v1 := &GuaranteeV1{Account: g.Account, Count: g.Count, ShapeV1: g.Shape.toV1(r)}
	switch len(g.Zones) {
	case 0:
	case 1:
		v1.Zone = g.Zones[0]
	default:
		r.addUnsupported("zones", fmt.Sprint(g.Zones), "at most one zone")
	}
	return v1
}

// guarantees returns the guaranteed shapes that the record declares: one for
// each zone, or a single one for at most one zone.
func (g *GuaranteeV2) guarantees() []Guarantee {
	one := Guarantee{Account: g.Account, Name: id.Shape(g.Name), Shape: g.Shape.toShape(), Count: g.Count}
	switch len(g.Zones) {
	case 0:
		return []Guarantee{one}
	case 1:
		one.Zone = g.Zones[0]
		return []Guarantee{one}
	}
	var all []Guarantee
	for _, z := range g.Zones {
		in := one
		in.Zone, in.Name = z, id.Shape(g.Name+"."+string(z))
		all = append(all, in)
	}
	return all
}

func (g *GuaranteeV2) addTo(s *Set) {
	for _, one := range g.guarantees() {
		s.Guarantees[GuaranteeKey{one.Account, one.Name}] = one
	}
}

func (g *GuaranteeV2) removeFrom(s *Set) {
	for _, one := range g.guarantees() {
		delete(s.Guarantees, GuaranteeKey{one.Account, one.Name})
	}
}

// wholeSeconds returns the duration in seconds, for schema v1. It reports a
// duration that is not a whole number of seconds.
func wholeSeconds(r *report, field string, s Duration) int64 {
	if time.Duration(s)%time.Second != 0 {
		r.addUnsupported(field, time.Duration(s).String(), "whole seconds")
	}
	return int64(time.Duration(s) / time.Second)
}

func durationFromSeconds(seconds int64) Duration {
	return Duration(time.Duration(seconds) * time.Second)
}

// checkDuration reports a duration outside the limits.
func checkDuration(r *report, field string, s Duration, low, high time.Duration) {
	if d := time.Duration(s); d < low || d > high {
		r.add(field, d.String(), fmt.Sprintf("%v to %v", low, high), "give a duration within the limits")
	}
}

// checkSeconds reports a number of seconds outside the limits.
func checkSeconds(r *report, field string, seconds int64, low, high time.Duration) {
	checkRange(r, field, seconds, int64(low/time.Second), int64(high/time.Second))
}
