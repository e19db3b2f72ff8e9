package owner

import (
	"math/rand/v2"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/kv"
	"bronzewinch.dev/lib/ownership"
	"bronzewinch.dev/lib/timer"
)

// assignment contains the preferred owners of the shards for one set of members.
type assignment struct {
	members   []ownership.Candidate
	preferred map[id.Shard]id.Node
	candidate bool // whether this node is among the members
}

// decideLoop starts the actions that are due. It runs again after each change of a
// key, the members, the shards or the lease, and when the next action becomes due.
func (o *Owner) decideLoop() {
	a := o.assign()
	for {
		next := o.startDueActions(a)
		var due <-chan time.Time
		var sub *timer.Subscription
		if !next.IsZero() {
			sub = o.config.Timer.After(next.Sub(o.config.Timer.Now()))
			due = sub.C
		}
		select {
		case <-o.ctx.Done():
		case <-o.wake:
		case <-due:
		case <-o.config.Membership.Changed():
			a = o.assign()
		case <-o.shardsChanged:
			a = o.assign()
		}
		if sub != nil {
			sub.Stop()
		}
		if o.ctx.Err() != nil {
			return
		}
	}
}

func (o *Owner) assign() assignment {
	a := assignment{members: o.config.Membership.Members()}
	a.preferred = ownership.Assign(o.shardNames(), a.members)
	for _, m := range a.members {
		a.candidate = a.candidate || m.ID == o.config.Node
	}
	return a
}

// startDueActions starts the actions that are due, and returns the time at which
// the next one becomes due, or zero.
func (o *Owner) startDueActions(a assignment) time.Time {
	var next time.Time
	now := o.config.Timer.Now()
	opening, handingOver := o.countInProgress()
	for _, name := range o.shardNames() {
		s, _ := o.states.Get(name)
		v, ok := o.view(s, a, now)
		if !ok {
			continue
		}
		action, at := ownership.Next(v, now)
		switch {
		case action == ownership.Drop:
			o.startAction(s, phaseClosing, func() { o.closeShard(s, false) })
		case action == ownership.Handover && handingOver < maxHandingOver:
			handingOver++
			s.setHandedOver(now)
			o.startAction(s, phaseHandingOver, func() { o.closeShard(s, true) })
		case action == ownership.Claim && opening < maxOpening:
			if lease := o.leases.acquire(); lease != nil {
				opening++
				o.startAction(s, phaseOpening, func() { o.claim(s, lease) })
			}
		}
		if !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next
}

// countInProgress counts the shards that are being opened and handed over. The end
// of an action wakes decideLoop, which can then start the next one.
func (o *Owner) countInProgress() (opening, handingOver int) {
	for _, s := range o.allStates() {
		switch s.currentPhase() {
		case phaseOpening:
			opening++
		case phaseHandingOver:
			handingOver++
		}
	}
	return opening, handingOver
}

func (o *Owner) startAction(s *shardState, to phase, action func()) {
	s.setPhase(to)
	o.actions.Go(func() {
		action()
		o.wakeDecider()
	})
}

// view returns what this node knows about a shard. It returns false while an action
// on the shard is in progress, and until the keys have been loaded.
func (o *Owner) view(s *shardState, a assignment, now time.Time) (ownership.View, bool) {
	key, loaded := o.keys.get(s.shard)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !loaded || (s.phase != phaseIdle && s.phase != phaseOpen) {
		return ownership.View{}, false
	}
	v := ownership.View{
		Open:         s.phase == phaseOpen,
		Free:         key.lease == "",
		FreeSince:    key.absentSince,
		Rank:         ownership.Rank(s.shard, a.preferred[s.shard], o.config.Node, a.members),
		Candidate:    a.candidate,
		HandedOverAt: s.handedOverAt,
		RetryAt:      s.retryAt,
	}
	if v.Open {
		// A key state that is older than this node's claim is outdated and is
		// ignored.
		stale := key.version < s.keyVersion
		state := s.lease.State()
		v.Owned = state != ownership.Ended && (stale || key.lease == s.lease.id)
		if state != ownership.Valid {
			v.Rank = 0 // a handover needs the store, so none is started
		}
	} else if key.version > s.keyVersion && o.leases.isCurrent(key.lease) {
		v.Free = true // a delayed write of this node's lease; the next claim takes the key over
	}
	s.observeKey(key.version, a.preferred[s.shard], now)
	v.Jitter, v.OtherPreferredSince = s.jitter, s.otherPreferredSince
	if s.openedAt.After(v.OtherPreferredSince) {
		v.OtherPreferredSince = s.openedAt
	}
	return v, true
}

// observeKey draws a new jitter after each change of the key, and records when the
// preferred owner changed. The caller holds the lock.
func (s *shardState) observeKey(version kv.Version, preferred id.Node, now time.Time) {
	if s.seenVersion != version || s.jitter == 0 {
		s.seenVersion, s.jitter = version, rand.Float64()
	}
	if s.preferred != preferred {
		s.preferred, s.otherPreferredSince = preferred, now
	}
}
