package owner

import (
	"math/rand/v2"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/kv"
	"bronzewinch.dev/lib/ownership"
	"bronzewinch.dev/lib/timer"
)

// plan is the assignment for one set of members.
type plan struct {
	members  []ownership.Candidate
	assigned map[id.Shard]id.Node
	here     bool // this node is a candidate
}

// decide makes the moves that are due whenever a key, the members, the lease
// or the time gives a reason.
func (o *Owner) decide() {
	p := o.plan()
	for {
		next := o.pass(p)
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
			p = o.plan()
		case <-o.replan:
			p = o.plan()
		}
		if sub != nil {
			sub.Stop()
		}
		if o.ctx.Err() != nil {
			return
		}
	}
}

func (o *Owner) plan() plan {
	p := plan{members: o.config.Membership.Members()}
	p.assigned = ownership.Assign(o.shardNames(), p.members)
	for _, m := range p.members {
		p.here = p.here || m.ID == o.config.Node
	}
	return p
}

// pass makes the moves that are due and returns the time of the next one.
func (o *Owner) pass(p plan) time.Time {
	var next time.Time
	now := o.config.Timer.Now()
	opening, returning := o.moving()
	for _, name := range o.shardNames() {
		s, _ := o.slots.Get(name)
		v, ok := o.view(s, p, now)
		if !ok {
			continue
		}
		move, at := ownership.Next(v, now)
		switch {
		case move == ownership.Drop:
			o.start(s, phaseClosing, func() { o.release(s, false) })
		case move == ownership.HandOver && returning < maxReturning:
			returning++
			s.setReturned(now)
			o.start(s, phaseReturning, func() { o.release(s, true) })
		case move == ownership.Claim && opening < maxOpening:
			if g := o.lease.use(); g != nil {
				opening++
				o.start(s, phaseOpening, func() { o.claim(s, g) })
			}
		}
		if !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next
}

// moving counts the moves in progress. A move that ends wakes the loop, which
// then starts the next one.
func (o *Owner) moving() (opening, returning int) {
	for _, s := range o.allSlots() {
		switch s.current() {
		case phaseOpening:
			opening++
		case phaseReturning:
			returning++
		}
	}
	return opening, returning
}

func (o *Owner) start(s *slot, to phase, move func()) {
	s.set(to)
	o.moves.Go(func() {
		move()
		o.signal()
	})
}

// view returns what is known of a shard. It returns false while a move of the
// shard is in progress, and before the first view of the keys.
func (o *Owner) view(s *slot, p plan, now time.Time) (ownership.View, bool) {
	key, loaded := o.keys.get(s.shard)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !loaded || (s.phase != phaseIdle && s.phase != phaseOpen) {
		return ownership.View{}, false
	}
	v := ownership.View{
		Open:         s.phase == phaseOpen,
		Free:         key.lease == "",
		FreeSince:    key.since,
		Rank:         ownership.Rank(s.shard, p.assigned[s.shard], o.config.Node, p.members),
		Candidate:    p.here,
		HandedOverAt: s.returned,
		RetryAt:      s.retryAt,
	}
	if v.Open {
		// A view of the keys that is older than the claim says nothing.
		stale := key.version < s.version
		state := s.grant.State()
		v.Owned = state != ownership.Ended && (stale || key.lease == s.grant.id)
		if state != ownership.Valid {
			v.Rank = 0 // nothing can be returned without the store
		}
	} else if key.version > s.version && o.lease.has(key.lease) {
		v.Free = true // a late write of this node; a claim finds it as its own
	}
	s.follow(key.version, p.assigned[s.shard], now)
	v.Jitter, v.OtherPreferredSince = s.jitter, s.otherSince
	if s.openedAt.After(v.OtherPreferredSince) {
		v.OtherPreferredSince = s.openedAt
	}
	return v, true
}

// follow draws a new jitter at each change of the key and notes since when
// another node is preferred. The lock is held.
func (s *slot) follow(version kv.Version, preferred id.Node, now time.Time) {
	if s.seen != version || s.jitter == 0 {
		s.seen, s.jitter = version, rand.Float64()
	}
	if s.preferred != preferred {
		s.preferred, s.otherSince = preferred, now
	}
}
