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

// UpkeepResult is the platform's answer to an order to begin an upkeep.
type UpkeepResult string

// The answers to an order to begin an upkeep.
const (
	// UpkeepBegun means that the upkeep has begun, now or before.
	UpkeepBegun UpkeepResult = "begun"
	// UpkeepRejected means that there is no such VM, or that it is not of the wave.
	UpkeepRejected UpkeepResult = "noUpkeep"
	// UpkeepDeferred means that nothing was done.
	UpkeepDeferred UpkeepResult = "notNow"
	// UpkeepUnanswered means that the upkeep may begin, now or later.
	UpkeepUnanswered UpkeepResult = "unheard"
)

const (
	// repeatTime is the pause before an order is given again.
	repeatTime = time.Second
	// cycleSlack is the time beside the upkeep itself from one VM of a wave to the
	// next: the list of VMs is read once a second, and orders take their way.
	cycleSlack = 1500 * time.Millisecond
	// handoverSlack covers orders of an earlier owner that were on their way when
	// its term ended.
	handoverSlack = 500 * time.Millisecond
	// clearAhead is how many times the VMs that may be down at once are cleared at
	// the same time, so that one is empty when its turn comes.
	clearAhead = 2
)

// phase is how far the upkeep of a VM is.
type phase int

const (
	waiting phase = iota
	clearing
	ordered
	over
)

// wave is a wave of upkeep that is not completed.
type wave struct {
	task.Wave
	seen time.Time
	vms  map[id.VM]*upkeep
}

// upkeep is one VM of a wave.
type upkeep struct {
	phase phase
	since time.Time // when clearing began
	asked time.Time // when the last order was given
	begun time.Time // when the platform confirmed it
	doubt bool      // an order was not answered
}

// AddWave takes over a wave that the operators ask for.
func (r *Planner) AddWave(now time.Time, t task.Wave) {
	if r.completed[t.Number] {
		return
	}
	w, ok := r.waves[t.Number]
	if !ok {
		w = &wave{seen: now, vms: make(map[id.VM]*upkeep)}
		r.waves[t.Number] = w
		r.noteWave(t.Number, "asked for", 0)
	}
	w.Wave = t
	for _, name := range t.VMs {
		if w.vms[name] == nil {
			w.vms[name] = &upkeep{}
		}
	}
	r.touchWave(w)
}

// SetWaves takes over all waves that the operators ask for, and forgets others.
func (r *Planner) SetWaves(now time.Time, all []task.Wave) {
	asked := make(map[task.WaveNumber]bool, len(all))
	for _, t := range all {
		asked[t.Number] = true
		r.AddWave(now, t)
	}
	for _, n := range append(slices.Sorted(maps.Keys(r.waves)), slices.Sorted(maps.Keys(r.completed))...) {
		if !asked[n] {
			r.WithdrawWave(n)
		}
	}
}

// WithdrawWave forgets a wave that the operators have withdrawn.
func (r *Planner) WithdrawWave(n task.WaveNumber) {
	if r.waves[n] == nil && !r.completed[n] {
		return
	}
	delete(r.waves, n)
	delete(r.dirtyWaves, n)
	delete(r.completed, n)
	r.finished = append(r.finished, n)
	r.noteWave(n, "withdrawn", 0)
	r.markCleared()
}

// RestoreWave takes over what an earlier owner stored of a wave. SetWaves tells
// afterwards what the operators ask for now.
func (r *Planner) RestoreWave(p task.WaveProgress) {
	if p.Completed {
		r.completed[p.Number] = true
		return
	}
	w := &wave{Wave: task.Wave{Number: p.Number}, seen: p.FirstSeen, vms: make(map[id.VM]*upkeep)}
	for _, name := range p.Ordered {
		w.vms[name] = &upkeep{phase: ordered, doubt: true}
	}
	for _, name := range p.Finished {
		w.vms[name] = &upkeep{phase: over}
	}
	r.waves[p.Number] = w
}

// UpdateVMs takes over the platform's list of VMs, which was asked for at sent.
func (r *Planner) UpdateVMs(now, sent time.Time, list []task.VM) {
	r.vms = make(map[id.VM]*task.VM, len(list))
	for _, v := range list {
		r.vms[v.Name] = &v
	}
	for _, w := range r.waves {
		for name, u := range w.vms {
			if u.phase == ordered && !u.begun.IsZero() && sent.After(u.begun) {
				r.checkUpkeep(now, w, name, u)
			}
		}
	}
}

// checkUpkeep compares a VM whose upkeep has begun with a later list.
func (r *Planner) checkUpkeep(now time.Time, w *wave, name id.VM, u *upkeep) {
	v := r.vms[name]
	for _, other := range r.workers {
		if other.vm == name && (v == nil || v.Worker != other.ID) {
			r.endWith(now, other)
		}
	}
	if v == nil || v.Up {
		u.phase = over
		r.touchWave(w)
		r.noteUpkeep(w.Number, name, "over", now.Sub(u.begun))
	}
}

// endWith ends the runs of a worker whose VM has had its upkeep since: the
// platform ends them when the upkeep begins.
func (r *Planner) endWith(now time.Time, w *worker) {
	for _, m := range slices.Clone(w.members) {
		r.memberEnded(now, m, task.EndLeaseExpired, "", "the upkeep of the VM ended the worker")
	}
}

// HandleUpkeepResult takes over the answer to an order.
func (r *Planner) HandleUpkeepResult(now time.Time, o UpkeepOrder, a UpkeepResult) {
	w := r.waves[o.Wave]
	if w == nil || w.vms[o.VM] == nil || w.vms[o.VM].phase != ordered {
		return
	}
	u := w.vms[o.VM]
	switch {
	case a == UpkeepRejected:
		u.phase = over
		r.touchWave(w)
	case a == UpkeepBegun && u.begun.IsZero():
		u.begun = now
	case a == UpkeepUnanswered:
		u.doubt = true
	case a == UpkeepDeferred && !u.doubt:
		u.phase = clearing
		r.touchWave(w)
	}
	r.noteUpkeep(o.Wave, o.VM, string(a), now.Sub(u.asked))
}

func (r *Planner) noteWave(n task.WaveNumber, reason string, age time.Duration) {
	r.note(Decision{Event: "wave", Reason: reason, Age: age, Fields: []any{"wave", n}})
}

func (r *Planner) noteUpkeep(n task.WaveNumber, name id.VM, reason string, age time.Duration) {
	r.note(Decision{Event: "upkeep", Reason: reason, Age: age, Fields: []any{"wave", n, "vm", name}})
}

// HasOpenWaves reports whether a wave is not over. The list of VMs is needed
// while one is.
func (r *Planner) HasOpenWaves() bool { return len(r.waves) > 0 }

func (r *Planner) touchWave(w *wave) { r.dirtyWaves[w.Number] = w }

// progress returns the durable state of a wave.
func (w *wave) progress() task.WaveProgress {
	p := task.WaveProgress{Number: w.Number, FirstSeen: w.seen, Completed: w.isOver()}
	for name, u := range w.vms {
		switch u.phase {
		case ordered:
			p.Ordered = append(p.Ordered, name)
		case over:
			p.Finished = append(p.Finished, name)
		}
	}
	slices.Sort(p.Ordered)
	slices.Sort(p.Finished)
	return p
}

func (w *wave) isOver() bool { return w.count(over) == len(w.vms) }

func (w *wave) count(p phase) int {
	n := 0
	for _, u := range w.vms {
		if u.phase == p {
			n++
		}
	}
	return n
}

// tendWaves lets the upkeep of all waves go on.
func (r *Planner) tendWaves(now time.Time) {
	if r.vms == nil || now.Sub(r.resumed) < r.config.HandoverPause+handoverSlack {
		return // an earlier owner may have given orders just now
	}
	for _, n := range slices.Sorted(maps.Keys(r.waves)) {
		w := r.waves[n]
		r.tendWave(now, w)
		if w.isOver() {
			r.noteWave(n, "completed", now.Sub(w.seen))
			r.touchWave(w)
			r.completed[n] = true
			delete(r.waves, n)
		}
	}
	r.markCleared()
}

func (r *Planner) tendWave(now time.Time, w *wave) {
	r.chooseVMs(now, w)
	patience := w.patience(now, r.config.UpkeepTime+cycleSlack)
	for _, name := range slices.Sorted(maps.Keys(w.vms)) {
		u := w.vms[name]
		switch u.phase {
		case clearing:
			r.clear(now, name)
			if w.count(ordered) < w.MaxDown && now.Sub(u.asked) >= repeatTime && r.isCleared(name, now.Sub(u.since) >= patience) {
				u.phase = ordered
				r.touchWave(w)
				r.orderUpkeep(now, w, name, u)
			}
		case ordered:
			if u.begun.IsZero() && now.Sub(u.asked) >= repeatTime {
				r.orderUpkeep(now, w, name, u)
			}
		}
	}
}

func (r *Planner) orderUpkeep(now time.Time, w *wave, name id.VM, u *upkeep) {
	u.asked = now
	r.upkeeps = append(r.upkeeps, UpkeepOrder{VM: name, Wave: w.Number})
	r.noteUpkeep(w.Number, name, "ordered", now.Sub(w.seen))
}

// chooseVMs begins to clear VMs of a wave, those with the least work first.
// VMs that left the platform are over.
func (r *Planner) chooseVMs(now time.Time, w *wave) {
	var candidates []id.VM
	for _, name := range slices.Sorted(maps.Keys(w.vms)) {
		u := w.vms[name]
		if r.vms[name] == nil && (u.phase == waiting || u.phase == clearing) {
			u.phase = over
			r.touchWave(w)
			r.noteUpkeep(w.Number, name, "the VM has left the platform", 0)
		}
		if u.phase == waiting && r.vms[name].Up {
			candidates = append(candidates, name)
		}
	}
	work := func(name id.VM) float64 {
		sum := 0.0
		if on := r.workers[r.vms[name].Worker]; on != nil {
			for _, m := range on.members {
				sum += cores(m.group.spec().Demand)
			}
		}
		return sum
	}
	slices.SortStableFunc(candidates, func(a, b id.VM) int { return cmp.Compare(work(a), work(b)) })
	most := clearAhead*w.MaxDown - w.count(clearing)
	for _, name := range candidates[:max(0, min(most, len(candidates)))] {
		w.vms[name].phase, w.vms[name].since = clearing, now
	}
}

// patience is how long a VM may take to become empty without making the wave
// late.
func (w *wave) patience(now time.Time, cycle time.Duration) time.Duration {
	left := w.count(waiting) + w.count(clearing)
	batches := (left + w.MaxDown - 1) / max(1, w.MaxDown)
	if batches == 0 {
		return 0
	}
	return (w.seen.Add(w.TimeLimit).Sub(now) - time.Duration(batches)*cycle) / time.Duration(batches)
}

// markCleared keeps new work off the workers of VMs that are being cleared or
// have their upkeep.
func (r *Planner) markCleared() {
	cleared := make(map[id.Worker]id.VM)
	for _, w := range r.waves {
		for name, u := range w.vms {
			if v := r.vms[name]; v != nil && v.Worker != "" && (u.phase == clearing || u.phase == ordered) {
				cleared[v.Worker] = name
			}
		}
	}
	for _, w := range r.workers {
		name, ok := cleared[w.ID]
		if ok {
			w.vm = name
		}
		v := r.vms[w.vm]
		w.cleared = ok || v != nil && v.Worker != w.ID // an upkeep has ended it
	}
}

// clear moves work off a VM that loses nothing by it. Tasks that serve are
// moved only while their step may miss them.
func (r *Planner) clear(now time.Time, name id.VM) {
	w := r.workers[r.vms[name].Worker]
	if w == nil {
		return
	}
	for _, m := range slices.Clone(w.members) {
		s := m.group.spec()
		if s.Gang || m.stop || s.Service && !r.mayMiss(m.group) || !s.Service && !s.Checkpoints {
			continue
		}
		r.stopGroup(now, m.group, "the VM gets its upkeep")
	}
}

// isCleared reports whether the upkeep of a VM may begin: when nothing runs on
// it, or, if late is true, nothing but work that can be repeated.
func (r *Planner) isCleared(name id.VM, late bool) bool {
	w := r.workers[r.vms[name].Worker]
	if w == nil {
		return true
	}
	for _, m := range w.members {
		if !late || m.group.spec().Service && m.group.spec().MaxUnavailable > 0 {
			return false
		}
	}
	return true
}
