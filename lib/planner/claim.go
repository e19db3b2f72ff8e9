package planner

import (
	"cmp"
	"slices"
	"time"

	"bronzewinch.dev/lib/unit"
)

// claim makes room for a group in one of several sets of rooms by stopping
// other work, with the least work lost. It returns the room of each task, or
// nil when that leaves too little or costs too much.
func (p *pass) claim(g *group, sets [][]*room) []*room {
	var best *eviction
	for _, set := range sets {
		if e := p.evict(g, set); e != nil && (best == nil || e.cost < best.cost) {
			best = e
		}
	}
	if best == nil || !p.protected[g.job] && !g.spec().Service && best.cost > p.worth(g) {
		return nil
	}
	for _, victim := range best.victims {
		for _, m := range victim.members {
			for _, room := range p.rooms {
				if room.worker == m.worker {
					room.later = room.later.Plus(victim.spec().Reserved())
				}
			}
		}
		p.r.stopGroup(p.now, victim, "job "+string(g.job.ID)+" of account "+string(g.job.Account)+" claims the room")
	}
	return best.rooms
}

// eviction is a choice of rooms with the groups to be stopped for them.
type eviction struct {
	rooms   []*room
	victims []*group
	cost    float64 // core-seconds lost
}

// evict chooses the rooms for a group one task at a time, each where the least
// further work is lost.
func (p *pass) evict(g *group, rooms []*room) *eviction {
	e := &eviction{}
	later := make(map[*room]unit.Resources, len(rooms))
	index := make(map[*worker]*room, len(rooms))
	taken := make(map[*room]int)
	for _, m := range rooms {
		later[m], index[m.worker] = m.later, m
	}
	for range g.tasks {
		room, victims, cost := p.cheapest(g, rooms, later, taken, e.victims)
		if room == nil {
			return nil
		}
		for _, v := range victims {
			for _, m := range v.members {
				if other := index[m.worker]; other != nil {
					later[other] = later[other].Plus(v.spec().Reserved())
				}
			}
		}
		later[room] = later[room].Minus(g.spec().Reserved())
		taken[room]++
		e.rooms, e.victims, e.cost = append(e.rooms, room), append(e.victims, victims...), e.cost+cost
	}
	return e
}

func (p *pass) cheapest(g *group, rooms []*room, later map[*room]unit.Resources, taken map[*room]int,
	chosen []*group) (best *room, victims []*group, cost float64) {
	for _, m := range rooms {
		if taken[m] >= p.allowed(g, m) {
			continue
		}
		v, c, ok := p.victims(g, m, later[m], chosen)
		if ok && (best == nil || c < cost || c == cost && later[m].Accelerators < later[best].Accelerators) {
			best, victims, cost = m, v, c
		}
	}
	return best, victims, cost
}

// victims returns the groups that have to stop so that one more task of g fits
// on a worker.
func (p *pass) victims(g *group, m *room, later unit.Resources, chosen []*group) ([]*group, float64, bool) {
	demand := g.spec().Reserved()
	if demand.Fits(later) {
		return nil, 0, true
	}
	gain := make(map[*group]int)
	var candidates []*group
	for _, mem := range m.members {
		v := mem.group
		if mem.stop || v.stopping || v.done || !p.mayStop(g, v) || slices.Contains(chosen, v) {
			continue
		}
		if gain[v] == 0 {
			candidates = append(candidates, v)
		}
		gain[v]++
	}
	slices.SortStableFunc(candidates, func(a, b *group) int {
		return cmp.Or(-cmp.Compare(a.job.queue.Priority, b.job.queue.Priority), cmp.Compare(p.loss(a), p.loss(b)))
	})
	var victims []*group
	cost := 0.0
	for _, v := range candidates {
		if demand.Fits(later) {
			break
		}
		later = later.Plus(v.spec().Reserved().Times(gain[v]))
		victims, cost = append(victims, v), cost+p.loss(v)
	}
	return victims, cost, demand.Fits(later)
}

// mayStop reports whether work of group v may be stopped for group g. A task
// that serves until it is cancelled comes before work that can be repeated, and
// is itself stopped only while its step may miss one more.
func (p *pass) mayStop(g, v *group) bool {
	switch {
	case p.protected[v.job]:
		return false
	case v.spec().Service:
		return p.protected[g.job] && p.r.mayMiss(v)
	case p.protected[g.job] || v.job.queue.Priority > g.job.queue.Priority:
		return true
	}
	return g.spec().Service
}

// mayMiss reports whether one more task of a group's step may be away. Tasks
// that were chosen to stop before count as away, as they are stopping.
func (r *Planner) mayMiss(v *group) bool {
	s := v.spec()
	if s.MaxUnavailable == 0 {
		return true
	}
	away := 0
	for _, other := range v.occurrence.steps[v.step] {
		if other != v && !other.atWork() {
			away++
		}
	}
	return away < s.MaxUnavailable
}

// atWork reports whether all members of a group are past their startup.
func (g *group) atWork() bool {
	if len(g.members) < g.tasks || g.stopping {
		return false
	}
	for _, m := range g.members {
		if m.percent < 100 {
			return false
		}
	}
	return true
}

// worth is the most work in core-seconds that may be lost for a group that is
// not guaranteed: as much as it brings itself.
func (p *pass) worth(g *group) float64 {
	s := g.spec()
	return cores(s.Demand) * float64(g.tasks) * p.r.expected(g.job, *s).Seconds()
}

// acceleratorCores is the number of cores that an accelerator counts for, from
// the price list of the platform.
const acceleratorCores = 8

// startTime is what a stop and a new start cost beside the work.
const startTime = 500 * time.Millisecond

// loss is the work in core-seconds that is lost when a group is stopped. Work
// of a higher priority weighs more, as its objective is nearer.
func (p *pass) loss(g *group) float64 {
	s := g.spec()
	ran := p.now.Sub(g.started)
	if s.Checkpoints {
		ran = min(ran, p.r.config.RestoreTime)
	}
	return cores(s.Demand) * float64(len(g.members)) * (ran + startTime).Seconds() / float64(1+g.job.queue.Priority)
}

// cores is a demand in cores, with accelerators at their price.
func cores(d unit.Resources) float64 {
	return float64(d.Cores)/float64(unit.Core) + acceleratorCores*float64(d.Accelerators)
}
