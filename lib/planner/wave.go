package planner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/task"
)

// UpkeepOrder is an order to begin the upkeep of a VM. It is sent only after the
// records of the same Changes are stored.
type UpkeepOrder struct {
	VM   id.VM
	Wave task.WaveNumber
}

// UpkeepResult is the result of an order to begin an upkeep.
type UpkeepResult string

// The results of an order to begin an upkeep.
const (
	// UpkeepBegun means that the upkeep has begun, with this order or an earlier one.
	UpkeepBegun UpkeepResult = "begun"
	// UpkeepRejected means that the VM does not exist or is not part of the wave.
	UpkeepRejected UpkeepResult = "noUpkeep"
	// UpkeepDeferred means that the order had no effect and may be repeated.
	UpkeepDeferred UpkeepResult = "notNow"
	// UpkeepUnanswered means that no answer arrived: the upkeep may have begun, or
	// may still begin.
	UpkeepUnanswered UpkeepResult = "unheard"
)

const (
	// upkeepRetryInterval is the pause before an order is repeated.
	upkeepRetryInterval = time.Second
	// cycleSlack is the time from one VM of a wave to the next, beyond the upkeep
	// itself: the list of VMs is read once a second, and orders take time to arrive.
	cycleSlack = 1500 * time.Millisecond
	// handoverSlack covers orders of an earlier owner that were in flight when its
	// term ended.
	handoverSlack = 500 * time.Millisecond
	// drainAheadFactor times MaxDown is the number of VMs that are drained at the same
	// time, so that one is already empty when the upkeep of another is over.
	drainAheadFactor = 2
)

// phase is the state of the upkeep of a VM.
type phase int

const (
	phaseWaiting phase = iota
	phaseDraining
	phaseOrdered
	phaseFinished
)

// wave is a wave of upkeep that is not completed.
type wave struct {
	task.Wave
	firstSeen time.Time
	// listed means that the list of VMs was read after the wave was first seen. An older
	// list lacks VMs that were added since.
	listed bool
	vms    map[id.VM]*vmUpkeep
}

// vmUpkeep is one VM of a wave.
type vmUpkeep struct {
	phase         phase
	drainingSince time.Time
	worker        id.Worker // when its upkeep was ordered
	orderedAt     time.Time // when the last order was issued
	begunAt       time.Time // when the platform confirmed that the upkeep has begun
	unconfirmed   bool      // an order was not answered and may still take effect
}

// AddWave adds a wave that the operators requested, or updates a known one.
func (p *Planner) AddWave(now time.Time, t task.Wave) {
	if p.completedWaves[t.Number] {
		return
	}
	w, ok := p.waves[t.Number]
	if !ok {
		w = &wave{firstSeen: now, vms: make(map[id.VM]*vmUpkeep)}
		p.waves[t.Number] = w
		p.logWave(t.Number, "requested", 0)
	}
	w.Wave = t
	for _, name := range t.VMs {
		if w.vms[name] == nil {
			w.vms[name] = &vmUpkeep{}
		}
	}
	p.markWaveDirty(w)
}

// SetWaves replaces the requested waves: it adds or updates those given, and
// withdraws all others.
func (p *Planner) SetWaves(now time.Time, all []task.Wave) {
	requested := make(map[task.WaveNumber]bool, len(all))
	for _, t := range all {
		requested[t.Number] = true
		p.AddWave(now, t)
	}
	for _, n := range append(slices.Sorted(maps.Keys(p.waves)), slices.Sorted(maps.Keys(p.completedWaves))...) {
		if !requested[n] {
			p.WithdrawWave(n)
		}
	}
}

// WithdrawWave removes a wave that the operators have withdrawn.
func (p *Planner) WithdrawWave(n task.WaveNumber) {
	if p.waves[n] == nil && !p.completedWaves[n] {
		return
	}
	delete(p.waves, n)
	delete(p.dirtyWaves, n)
	delete(p.completedWaves, n)
	p.removedWaves = append(p.removedWaves, n)
	p.logWave(n, "withdrawn", 0)
	p.markReservedWorkers()
}

// RestoreWave restores the progress of a wave that an earlier owner stored. SetWaves
// has to be called afterwards with the waves that are requested now.
func (p *Planner) RestoreWave(stored task.WaveProgress) {
	if stored.Completed {
		p.completedWaves[stored.Number] = true
		return
	}
	// A new owner has no list yet. FirstSeen is of the clock of another node.
	w := &wave{Wave: task.Wave{Number: stored.Number}, firstSeen: stored.FirstSeen, listed: true, vms: make(map[id.VM]*vmUpkeep)}
	for _, name := range stored.Ordered {
		w.vms[name] = &vmUpkeep{phase: phaseOrdered, unconfirmed: true, worker: stored.Workers[name]}
	}
	for _, name := range stored.Finished {
		w.vms[name] = &vmUpkeep{phase: phaseFinished}
	}
	p.waves[stored.Number] = w
}

// UpdateVMs replaces the platform's list of VMs, which was requested at sent.
func (p *Planner) UpdateVMs(now, sent time.Time, list []task.VM) {
	p.vms = make(map[id.VM]*task.VM, len(list))
	for _, v := range list {
		p.vms[v.Name] = &v
	}
	for _, w := range p.waves {
		w.listed = w.listed || !sent.Before(w.firstSeen)
		for name, u := range w.vms {
			if u.phase == phaseOrdered && !u.begunAt.IsZero() && sent.After(u.begunAt) {
				p.checkUpkeep(now, w, name, u)
			}
		}
	}
}

// checkUpkeep looks up a VM whose upkeep has begun in a list that was requested
// later. It ends the runs of the VM's former worker, unless that may start again under
// its id, and the upkeep if the VM is up again or no longer listed.
func (p *Planner) checkUpkeep(now time.Time, w *wave, name id.VM, u *vmUpkeep) {
	v := p.vms[name]
	for _, other := range p.workers {
		if other.vm == name && (v == nil || v.Worker != "" && v.Worker != other.ID) {
			p.endRunsOn(now, other)
		}
	}
	if v == nil || v.Up {
		u.phase = phaseFinished
		p.markWaveDirty(w)
		p.logUpkeep(w.Number, name, "over", now.Sub(u.begunAt))
	}
}

// endRunsOn ends the runs of a worker whose VM has had its upkeep: the platform has
// ended them when the upkeep began.
func (p *Planner) endRunsOn(now time.Time, w *worker) {
	for _, m := range slices.Clone(w.members) {
		p.endMember(now, m, task.EndLost, "", "the upkeep of the VM ended the worker")
	}
}

// HandleUpkeepResult records the result of an order to begin an upkeep.
func (p *Planner) HandleUpkeepResult(now time.Time, o UpkeepOrder, result UpkeepResult) {
	w := p.waves[o.Wave]
	if w == nil || w.vms[o.VM] == nil || w.vms[o.VM].phase != phaseOrdered {
		return
	}
	u := w.vms[o.VM]
	switch {
	case result == UpkeepRejected:
		u.phase = phaseFinished
		p.markWaveDirty(w)
	case result == UpkeepBegun && u.begunAt.IsZero():
		u.begunAt = now
	case result == UpkeepUnanswered:
		u.unconfirmed = true
	case result == UpkeepDeferred && !u.unconfirmed:
		u.phase = phaseDraining
		p.markWaveDirty(w)
	}
	p.logUpkeep(o.Wave, o.VM, string(result), now.Sub(u.orderedAt))
}

func (p *Planner) logWave(n task.WaveNumber, reason string, age time.Duration) {
	p.logDecision(Decision{Event: "wave", Reason: reason, Age: age, Fields: []any{"wave", n}})
}

func (p *Planner) logUpkeep(n task.WaveNumber, name id.VM, reason string, age time.Duration) {
	p.logDecision(Decision{Event: "upkeep", Reason: reason, Age: age, Fields: []any{"wave", n, "vm", name}})
}

// HasOpenWaves reports whether a wave is not complete. While it returns true, the
// caller has to keep the list of VMs up to date with UpdateVMs.
func (p *Planner) HasOpenWaves() bool { return len(p.waves) > 0 }

func (p *Planner) markWaveDirty(w *wave) { p.dirtyWaves[w.Number] = w }

// progress returns the state of a wave to store.
func (w *wave) progress() task.WaveProgress {
	p := task.WaveProgress{Number: w.Number, FirstSeen: w.firstSeen, Completed: w.isFinished()}
	for name, u := range w.vms {
		switch u.phase {
		case phaseOrdered:
			p.Ordered = append(p.Ordered, name)
			if u.worker != "" {
				if p.Workers == nil {
					p.Workers = make(map[id.VM]id.Worker)
				}
				p.Workers[name] = u.worker
			}
		case phaseFinished:
			p.Finished = append(p.Finished, name)
		}
	}
	slices.Sort(p.Ordered)
	slices.Sort(p.Finished)
	return p
}

func (w *wave) isFinished() bool { return w.countPhase(phaseFinished) == len(w.vms) }

func (w *wave) countPhase(p phase) int {
	n := 0
	for _, u := range w.vms {
		if u.phase == p {
			n++
		}
	}
	return n
}

// advanceWaves drains VMs of all waves and orders upkeeps, as far as the limits of
// each wave allow.
func (p *Planner) advanceWaves(now time.Time) {
	if p.vms == nil || now.Sub(p.resumedAt) < p.config.HandoverPause+handoverSlack {
		p.markReservedWorkers() // an order of an earlier owner may end what starts there
		return                  // orders of an earlier owner may still be in flight
	}
	for _, n := range slices.Sorted(maps.Keys(p.waves)) {
		w := p.waves[n]
		if !w.listed {
			continue
		}
		p.advanceWave(now, w)
		if w.isFinished() {
			p.logWave(n, "completed", now.Sub(w.firstSeen))
			p.markWaveDirty(w)
			p.completedWaves[n] = true
			delete(p.waves, n)
		}
	}
	p.markReservedWorkers()
}

func (p *Planner) advanceWave(now time.Time, w *wave) {
	p.drainNextVMs(now, w)
	timeout := w.drainTimeout(now, p.config.UpkeepTime+cycleSlack)
	for _, name := range slices.Sorted(maps.Keys(w.vms)) {
		u := w.vms[name]
		switch u.phase {
		case phaseDraining:
			mayFollow := w.countPhase(phaseOrdered) < w.MaxDown
			p.drainVM(now, name, mayFollow)
			if mayFollow && now.Sub(u.orderedAt) >= upkeepRetryInterval &&
				p.isDrained(name, now.Sub(u.drainingSince) >= timeout) {
				u.phase, u.worker = phaseOrdered, p.vms[name].Worker
				p.markWaveDirty(w)
				p.enqueueUpkeepOrder(now, w, name, u)
			}
		case phaseOrdered:
			if !u.begunAt.IsZero() || now.Sub(u.orderedAt) < upkeepRetryInterval {
				continue
			}
			p.drainVM(now, name, true)
			if p.isDrained(name, true) {
				p.enqueueUpkeepOrder(now, w, name, u)
			}
		}
	}
}

func (p *Planner) enqueueUpkeepOrder(now time.Time, w *wave, name id.VM, u *vmUpkeep) {
	u.orderedAt = now
	p.upkeepOrders = append(p.upkeepOrders, UpkeepOrder{VM: name, Wave: w.Number})
	p.logUpkeep(w.Number, name, "ordered", now.Sub(w.firstSeen))
}

// drainNextVMs starts to drain further VMs of a wave, those with the least work
// first. VMs that are no longer on the platform's list count as finished.
func (p *Planner) drainNextVMs(now time.Time, w *wave) {
	var candidates []id.VM
	for _, name := range slices.Sorted(maps.Keys(w.vms)) {
		u := w.vms[name]
		if p.vms[name] == nil && (u.phase == phaseWaiting || u.phase == phaseDraining) {
			u.phase = phaseFinished
			p.markWaveDirty(w)
			p.logUpkeep(w.Number, name, "the VM has left the platform", 0)
		}
		if u.phase == phaseWaiting && p.vms[name].Up {
			candidates = append(candidates, name)
		}
	}
	load := func(name id.VM) float64 {
		sum := 0.0
		if w := p.workerOn(name); w != nil {
			for _, m := range w.members {
				sum += weightedCores(m.group.step().Demand)
			}
		}
		return sum
	}
	slices.SortStableFunc(candidates, func(a, b id.VM) int { return cmp.Compare(load(a), load(b)) })
	limit := drainAheadFactor*w.MaxDown - w.countPhase(phaseDraining)
	for _, name := range candidates[:max(0, min(limit, len(candidates)))] {
		w.vms[name].phase, w.vms[name].drainingSince = phaseDraining, now
	}
}

// drainTimeout is how long the drain of a VM may take without making the wave exceed
// its time limit.
func (w *wave) drainTimeout(now time.Time, cycle time.Duration) time.Duration {
	remaining := w.countPhase(phaseWaiting) + w.countPhase(phaseDraining)
	batches := (remaining + w.MaxDown - 1) / max(1, w.MaxDown)
	if batches == 0 {
		return 0
	}
	return (w.firstSeen.Add(w.TimeLimit).Sub(now) - time.Duration(batches)*cycle) / time.Duration(batches)
}

// markReservedWorkers excludes the workers of VMs that are being drained or have
// their upkeep from placement.
func (p *Planner) markReservedWorkers() {
	reserved := make(map[id.Worker]id.VM)
	for _, w := range p.waves {
		for name, u := range w.vms {
			if u.phase != phaseDraining && u.phase != phaseOrdered {
				continue
			}
			switch v := p.vms[name]; {
			case v != nil && v.Worker != "":
				reserved[v.Worker] = name
			case p.vms == nil && u.worker != "":
				reserved[u.worker] = name
			}
		}
	}
	for _, w := range p.workers {
		name, ok := reserved[w.ID]
		if ok {
			w.vm = name
		}
		v := p.vms[w.vm]
		w.reservedForUpkeep = ok || v != nil && v.Worker != w.ID // the upkeep has ended this worker
	}
}

// workerOn returns the worker on a VM, or nil if there is none.
func (p *Planner) workerOn(name id.VM) *worker {
	if v := p.vms[name]; v != nil {
		return p.workers[v.Worker]
	}
	return nil
}

// drainVM stops those runs on a VM that lose no work by it, so that they start
// elsewhere. Service tasks are stopped only while their step may have one more task
// unavailable. Those without such a limit may be able to run nowhere else: they are
// stopped last, when the upkeep may follow.
func (p *Planner) drainVM(now time.Time, name id.VM, mayFollow bool) {
	w := p.workerOn(name)
	if w == nil {
		return
	}
	isLast := func(m *member) bool { return m.group.step().Service && m.group.step().MaxUnavailable == 0 }
	last := mayFollow && !slices.ContainsFunc(w.members, func(m *member) bool { return !isLast(m) })
	for _, m := range slices.Clone(w.members) {
		s := m.group.step()
		if s.Gang || m.stopRequested || s.Service && !p.disruptionAllowed(now, m.group) || !s.Service && !s.Checkpoints ||
			isLast(m) && !last {
			continue
		}
		p.stopGroup(now, m.group, "the VM is drained for its upkeep")
	}
}

// isDrained reports whether the upkeep of a VM may begin: when no run is left on it,
// or, if overdue is set, when all remaining runs can be repeated.
func (p *Planner) isDrained(name id.VM, overdue bool) bool {
	w := p.workerOn(name)
	if w == nil {
		return true
	}
	for _, m := range w.members {
		if !overdue || m.group.step().Service && m.group.step().MaxUnavailable > 0 {
			return false
		}
	}
	return true
}
