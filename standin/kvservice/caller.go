package kvservice

import (
	"context"
	"time"

	"bronzewinch.dev/lib/kv"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/timer"
)

// Caller makes calls in the name of one client without HTTP. It has the
// methods of kv.Client and passes through the same faults, limits and counters
// as calls over HTTP.
type Caller struct {
	service *Service
	client  string
	wait    time.Duration
}

// As returns a caller in the name of a client.
func (s *Service) As(client string) *Caller {
	return &Caller{service: s, client: client, wait: kv.DefaultWatchWait}
}

// invoke passes a call through counters, faults and limits.
func invoke[T any](ctx context.Context, c *Caller, op kv.Op, key string, f func() (T, error)) (T, error) {
	var none T
	s := c.service
	s.counts.add(op)
	fault, delay := s.faults.choose(Call{c.client, op, key})
	if delay > 0 && timer.Sleep(ctx, s.timer, delay) != nil {
		return none, noAnswer()
	}
	switch {
	case ctx.Err() != nil:
		return none, refused("try again; the call ended before it was sent")
	case fault == Refuse:
		return none, refused("try again later; the service is not reachable")
	case fault == LoseRequest:
		return none, lost(op)
	case fault == Late:
		s.faults.addLate(func() { _, _ = f() })
		return none, lost(op)
	case !s.limits.allow(op, s.timer.Now()):
		return none, refused("send fewer calls; the rate limit is reached")
	}
	s.expire()
	result, err := f()
	if fault == LoseAnswer {
		return none, lost(op)
	}
	return result, err
}

// lost is the error of a call without an answer. A read without an answer had
// no effect.
func lost(op kv.Op) error {
	if op.Writes() {
		return noAnswer()
	}
	return refused("try again; no answer came")
}

// Get returns the item of a key.
func (c *Caller) Get(ctx context.Context, key string) (kv.Item, error) {
	return invoke(ctx, c, kv.OpGet, key, func() (kv.Item, error) { return c.service.get(key) })
}

// Put sets the value of a key if its version is expect.
func (c *Caller) Put(ctx context.Context, key string, value []byte, expect kv.Version, lease kv.LeaseID) (kv.Version, error) {
	return invoke(ctx, c, kv.OpPut, key, func() (kv.Version, error) {
		return c.service.put(kv.PutRequest{Key: key, Value: value, Expect: expect, Lease: lease})
	})
}

// Delete removes a key if its version is expect.
func (c *Caller) Delete(ctx context.Context, key string, expect kv.Version) error {
	_, err := invoke(ctx, c, kv.OpDelete, key, func() (kv.EmptyReply, error) {
		return kv.EmptyReply{}, c.service.remove(key, expect)
	})
	return err
}

// List returns up to limit items under a prefix after a key.
func (c *Caller) List(ctx context.Context, prefix, after string, limit int) ([]kv.Item, error) {
	return invoke(ctx, c, kv.OpList, prefix, func() ([]kv.Item, error) {
		return c.service.list(prefix, after, limit), nil
	})
}

// Watch waits for changes under a prefix after a version.
func (c *Caller) Watch(ctx context.Context, prefix string, from kv.Version) ([]kv.Event, kv.Version, error) {
	r, err := c.watch(ctx, kv.WatchRequest{Prefix: prefix, From: from, WaitMillis: c.wait.Milliseconds()})
	return r.Events, r.Version, err
}

// Grant creates a lease.
func (c *Caller) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	return invoke(ctx, c, kv.OpGrant, "", func() (kv.LeaseID, error) {
		if ttl <= 0 {
			return "", problem.New(problem.Invalid, problem.Detail{
				Field: "time to live", Value: ttl.String(), Limit: "1 ms or more", Remedy: "give a positive time"})
		}
		return c.service.leases.grant(ttl, c.service.timer.Now()), nil
	})
}

// KeepAlive renews a lease.
func (c *Caller) KeepAlive(ctx context.Context, lease kv.LeaseID) error {
	_, err := invoke(ctx, c, kv.OpKeepAlive, "", func() (kv.EmptyReply, error) {
		if !c.service.leases.keepAlive(lease, c.service.timer.Now()) {
			return kv.EmptyReply{}, notFound("lease", string(lease))
		}
		return kv.EmptyReply{}, nil
	})
	return err
}

// Revoke ends a lease.
func (c *Caller) Revoke(ctx context.Context, lease kv.LeaseID) error {
	_, err := invoke(ctx, c, kv.OpRevoke, "", func() (kv.EmptyReply, error) {
		if !c.service.revoke(lease) {
			return kv.EmptyReply{}, notFound("lease", string(lease))
		}
		return kv.EmptyReply{}, nil
	})
	return err
}

func (c *Caller) watch(ctx context.Context, r kv.WatchRequest) (kv.WatchReply, error) {
	var w *waiter
	reply, err := invoke(ctx, c, kv.OpWatch, r.Prefix, func() (kv.WatchReply, error) {
		var reply kv.WatchReply
		var err error
		reply, w, err = c.service.look(r)
		return reply, err
	})
	if err != nil || w == nil {
		return reply, err
	}
	if !c.service.hold(ctx, w, min(r.Wait(), maxWait)) {
		return kv.WatchReply{}, refused("try again; the watch was cut")
	}
	if fault, _ := c.service.faults.choose(Call{c.client, kv.OpWatch, r.Prefix}); fault != NoFault {
		return kv.WatchReply{}, refused("try again; the service is not reachable")
	}
	events, version, w, err := c.service.log.since(r.Prefix, r.From)
	if w != nil {
		c.service.log.forget(w)
	}
	return kv.WatchReply{Events: events, Version: version}, err
}

// look returns the changes that a watch already finds, or a waiter.
func (s *Service) look(r kv.WatchRequest) (kv.WatchReply, *waiter, error) {
	if r.From > 0 {
		events, version, w, err := s.log.since(r.Prefix, r.From)
		return kv.WatchReply{Events: events, Version: version}, w, err
	}
	reply := kv.WatchReply{Version: s.log.version()}
	for _, item := range s.list(r.Prefix, "", 1<<30) {
		reply.Events = append(reply.Events, kv.Event{Item: item})
	}
	return reply, nil, nil
}

// hold waits for a waiter to wake or for the time to pass. It returns false
// when the client or the service ended the watch.
func (s *Service) hold(ctx context.Context, w *waiter, wait time.Duration) bool {
	defer s.log.forget(w)
	limit := s.timer.After(wait)
	defer limit.Stop()
	select {
	case <-w.woken:
		return true
	case <-limit.C:
		return true
	case <-ctx.Done():
	case <-s.stop:
	}
	return false
}
