// Package fleet keeps the placement state of one availability zone: its workers in
// racks, the gangs to which their resources are allocated, and the workers that are
// excluded from placement. Each rack is a shard of the state with its own lock.
// Each change replaces the state of a rack as a whole, so that a view of the zone
// only copies one pointer for each rack.
package fleet

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/shard"
)

// Config configures a Zone.
type Config struct {
	// Zone is the zone as declared in its record.
	Zone record.Zone
}

// Zone is the placement state of one availability zone. It is safe for concurrent
// use.
type Zone struct {
	name      id.Zone
	racks     []*rackShard
	positions map[id.Worker]Position // not changed after New
	gangs     *shard.Map[id.Job, *Gang]
	version   atomic.Uint64
}

// Position identifies a worker in a Zone and in its views by the indices of its rack
// and of the worker in the rack.
type Position struct {
	Rack, Worker int
}

type rackShard struct {
	mu    sync.Mutex
	state *Rack
}

// New returns the state of a zone without gangs.
func New(cfg Config) (*Zone, error) {
	z := &Zone{
		name:      cfg.Zone.Name,
		positions: make(map[id.Worker]Position, len(cfg.Zone.Workers)),
		gangs:     shard.NewMap[id.Job, *Gang](),
	}
	workers := slices.Clone(cfg.Zone.Workers)
	slices.SortFunc(workers, func(a, b record.Worker) int {
		if c := strings.Compare(string(a.Rack), string(b.Rack)); c != 0 {
			return c
		}
		return strings.Compare(string(a.Name), string(b.Name))
	})
	for _, w := range workers {
		if _, ok := z.positions[w.Name]; ok {
			return nil, problem.New(problem.Invalid, problem.Detail{
				Field: "worker", Value: string(w.Name), Limit: "one entry for each worker",
				Remedy: "remove the second entry from the zone record"})
		}
		if n := len(z.racks); n == 0 || z.racks[n-1].state.Name != w.Rack {
			z.racks = append(z.racks, &rackShard{state: &Rack{Name: w.Rack}})
		}
		r := z.racks[len(z.racks)-1].state
		z.positions[w.Name] = Position{Rack: len(z.racks) - 1, Worker: len(r.Workers)}
		r.Workers = append(r.Workers, Worker{Name: w.Name, Total: w.Resources, Free: w.Resources})
	}
	for _, r := range z.racks {
		r.state.summarize()
	}
	z.version.Store(1)
	return z, nil
}

// Version returns the version of the state. Each change increments it.
func (z *Zone) Version() uint64 { return z.version.Load() }

// Gang returns the gang of a job. It returns false if no resources are allocated to
// the job.
func (z *Zone) Gang(job id.Job) (Gang, bool) {
	g, ok := z.gangs.Get(job)
	if !ok {
		return Gang{}, false
	}
	return *g, true
}

// Reserve allocates the resources of all members of a gang, or none of them. A
// claim may also use the resources of gangs that are stopping; any other gang needs
// free resources. The error is a Conflict if the resources are not available, and
// NotFound if a worker is not in the zone.
func (z *Zone) Reserve(g Gang) error { return z.allocate(g, (*Worker).checkPlacement) }

// Restore allocates the resources of a gang that was placed earlier. Unlike
// Reserve, it accepts workers that are excluded from placement: the gang may run
// on a worker that drains or is lost.
func (z *Zone) Restore(g Gang) error { return z.allocate(g, (*Worker).checkFit) }

// allocate allocates the resources of all members of a gang, or none of them if
// check returns an error for one of them.
func (z *Zone) allocate(g Gang, check func(*Worker, *Gang, job.Member) error) error {
	if len(g.Members) == 0 {
		return problem.New(problem.Invalid, problem.Detail{
			Field: "members", Limit: "1 or more", Remedy: "reserve a gang with at least one member"})
	}
	positions, err := z.positionsOf(g.Members)
	if err != nil {
		return err
	}
	unlock := z.lockRacks(positions)
	defer unlock()
	if _, reserved := z.gangs.Get(g.Job); reserved {
		return problem.New(problem.Conflict, problem.Detail{
			Field: "job", Value: string(g.Job), Remedy: "release the gang before reserving it again"})
	}
	gang := &g
	gang.Members = slices.Clone(g.Members)
	next := z.copyRacks(positions)
	for i, m := range gang.Members {
		p := positions[i]
		w := &next[p.Rack].Workers[p.Worker]
		if err := check(w, gang, m); err != nil {
			return err
		}
		w.allocate(gang, m.Resources)
	}
	z.gangs.Set(g.Job, gang)
	z.publish(next)
	return nil
}

// Release frees the resources of all members of a gang. It reports whether the
// gang existed.
func (z *Zone) Release(job id.Job) bool {
	return z.replaceGang(job, func(*Gang) *Gang { return nil })
}

// MarkStopping marks a gang as stopping, so that claims may be placed on its
// resources. It reports whether the gang existed.
func (z *Zone) MarkStopping(job id.Job) bool {
	return z.replaceGang(job, func(g *Gang) *Gang {
		c := *g
		c.Stopping = true
		return &c
	})
}

// RecordCheckpoint sets the time of the last checkpoint of a gang. It reports
// whether the gang existed.
func (z *Zone) RecordCheckpoint(job id.Job, at time.Time) bool {
	return z.replaceGang(job, func(g *Gang) *Gang {
		c := *g
		c.LastCheckpoint = at
		return &c
	})
}

// SetExclusion excludes a worker from placement for a reason, or includes it again
// with the reason NotExcluded. Allocations on the worker are not changed.
func (z *Zone) SetExclusion(worker id.Worker, reason ExclusionReason) error {
	p, ok := z.positions[worker]
	if !ok {
		return unknownWorker(worker)
	}
	unlock := z.lockRacks([]Position{p})
	defer unlock()
	if z.racks[p.Rack].state.Workers[p.Worker].Exclusion == reason {
		return nil
	}
	next := z.copyRacks([]Position{p})
	next[p.Rack].Workers[p.Worker].Exclusion = reason
	z.publish(next)
	return nil
}

// View returns the current state of the whole zone. The view shares its racks with
// the Zone and copies a rack before it changes it.
func (z *Zone) View() *View {
	for _, r := range z.racks {
		r.mu.Lock()
	}
	v := &View{Zone: z.name, Version: z.version.Load(), positions: z.positions,
		racks: make([]*Rack, len(z.racks)), owned: make([]bool, len(z.racks))}
	for i, r := range z.racks {
		v.racks[i] = r.state
	}
	for _, r := range z.racks {
		r.mu.Unlock()
	}
	return v
}

// replaceGang replaces a gang on all its workers by the result of change, and
// removes it if the result is nil. It reports whether the gang existed.
func (z *Zone) replaceGang(job id.Job, change func(*Gang) *Gang) bool {
	found, ok := z.gangs.Get(job)
	if !ok {
		return false
	}
	positions, err := z.positionsOf(found.Members)
	if err != nil {
		return false
	}
	unlock := z.lockRacks(positions)
	defer unlock()
	old, ok := z.gangs.Get(job)
	if !ok || !slices.Equal(old.Members, found.Members) {
		return false
	}
	next := z.copyRacks(positions)
	changed := change(old)
	for _, p := range positions {
		next[p.Rack].Workers[p.Worker].replaceGang(old, changed)
	}
	if changed == nil {
		z.gangs.Delete(job)
	} else {
		z.gangs.Set(job, changed)
	}
	z.publish(next)
	return true
}

// positionsOf returns the positions of the workers of members, which must be
// distinct.
func (z *Zone) positionsOf(members []job.Member) ([]Position, error) {
	positions := make([]Position, len(members))
	for i, m := range members {
		p, ok := z.positions[m.Worker]
		if !ok {
			return nil, unknownWorker(m.Worker)
		}
		if slices.Contains(positions[:i], p) {
			return nil, problem.New(problem.Invalid, problem.Detail{
				Field: "members", Value: string(m.Worker), Limit: "distinct workers",
				Remedy: "assign at most one member to each worker"})
		}
		positions[i] = p
	}
	return positions, nil
}

// lockRacks locks the racks at the positions in ascending order, so that two calls
// for gangs with common racks can't deadlock.
func (z *Zone) lockRacks(positions []Position) (unlock func()) {
	racks := make([]int, 0, len(positions))
	for _, p := range positions {
		racks = append(racks, p.Rack)
	}
	slices.Sort(racks)
	racks = slices.Compact(racks)
	for _, r := range racks {
		z.racks[r].mu.Lock()
	}
	return func() {
		for _, r := range racks {
			z.racks[r].mu.Unlock()
		}
	}
}

// copyRacks returns copies of the racks at the positions, by index. The caller holds
// their locks.
func (z *Zone) copyRacks(positions []Position) map[int]*Rack {
	next := make(map[int]*Rack, 1)
	for _, p := range positions {
		if next[p.Rack] == nil {
			next[p.Rack] = z.racks[p.Rack].state.clone()
		}
	}
	return next
}

// publish replaces the state of the changed racks and increments the version. The
// caller holds the locks of the racks.
func (z *Zone) publish(next map[int]*Rack) {
	for i, r := range next {
		r.summarize()
		r.countAllocations()
		z.racks[i].state = r
	}
	z.version.Add(1)
}

func unknownWorker(worker id.Worker) error {
	return problem.New(problem.NotFound, problem.Detail{
		Field: "worker", Value: string(worker), Limit: "a worker of the zone",
		Remedy: "declare the worker in the zone record"})
}

func insufficientResources(w *Worker, m job.Member) error {
	return problem.New(problem.Conflict, problem.Detail{
		Field: "worker", Value: string(w.Name), Limit: fmt.Sprintf("free: %v", w.Free),
		Remedy: fmt.Sprintf("plan again; the worker does not have %v free", m.Resources)})
}
