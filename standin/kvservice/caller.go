package kvservice

import (
	"context"
	"time"

	"bronzewinch.dev/lib/kv"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/timer"
)

// LocalClient makes the calls of one client without HTTP. It has the methods of
// kv.Client, and its calls are subject to the same faults, limits and counters as
// calls over HTTP.
type LocalClient struct {
	service   *Service
	name      string
	watchWait time.Duration
}

// LocalClient returns a client without HTTP. Its name selects the faults that
// apply to it.
func (s *Service) LocalClient(client string) *LocalClient {
	return &LocalClient{service: s, name: client, watchWait: kv.DefaultWatchWait}
}

// invoke counts a call, applies the chosen fault and the rate limits, and
// executes it.
func invoke[T any](ctx context.Context, c *LocalClient, op kv.Op, key string, f func() (T, error)) (T, error) {
	var zero T
	s := c.service
	s.counts.add(op)
	fault, delay := s.faults.choose(Call{c.name, op, key})
	if delay > 0 && timer.Sleep(ctx, s.timer, delay) != nil {
		return zero, unknownResult()
	}
	switch {
	case ctx.Err() != nil:
		return zero, unavailable("retry; the call timed out or was cancelled before it was sent")
	case fault == Reject:
		return zero, unavailable("retry later; the service is not reachable")
	case fault == LoseRequest:
		return zero, noReply(op)
	case fault == DelayRequest:
		s.faults.addDelayed(func() { _, _ = f() })
		return zero, noReply(op)
	case !s.limits.allow(op, s.timer.Now()):
		return zero, unavailable("send fewer calls; the rate limit was exceeded")
	}
	s.expireLeases()
	result, err := f()
	if fault == LoseReply {
		return zero, noReply(op)
	}
	return result, err
}

// noReply returns the error of a call without a reply. A write may have taken
// effect, so its result is unknown; a read has no effect, so it is unavailable.
func noReply(op kv.Op) error {
	if op.Writes() {
		return unknownResult()
	}
	return unavailable("retry; no reply was received")
}

// Get returns the item of a key.
func (c *LocalClient) Get(ctx context.Context, key string) (kv.Item, error) {
	return invoke(ctx, c, kv.OpGet, key, func() (kv.Item, error) { return c.service.get(key) })
}

// Put sets the value of a key if its current version is expect. Version zero
// means that the key does not exist.
func (c *LocalClient) Put(ctx context.Context, key string, value []byte, expect kv.Version, lease kv.LeaseID) (kv.Version, error) {
	return invoke(ctx, c, kv.OpPut, key, func() (kv.Version, error) {
		return c.service.put(kv.PutRequest{Key: key, Value: value, Expect: expect, Lease: lease})
	})
}

// Delete removes a key if its current version is expect.
func (c *LocalClient) Delete(ctx context.Context, key string, expect kv.Version) error {
	_, err := invoke(ctx, c, kv.OpDelete, key, func() (kv.EmptyReply, error) {
		return kv.EmptyReply{}, c.service.remove(key, expect)
	})
	return err
}

// List returns up to limit items with a prefix in key order. It starts with the
// first key that is greater than after.
func (c *LocalClient) List(ctx context.Context, prefix, after string, limit int) ([]kv.Item, error) {
	return invoke(ctx, c, kv.OpList, prefix, func() ([]kv.Item, error) {
		return c.service.list(prefix, after, limit), nil
	})
}

// Watch waits for changes of keys with a prefix after a version. It returns the
// changes and the version to continue from.
func (c *LocalClient) Watch(ctx context.Context, prefix string, from kv.Version) ([]kv.Event, kv.Version, error) {
	r, err := c.watch(ctx, kv.WatchRequest{Prefix: prefix, From: from, WaitMillis: c.watchWait.Milliseconds()})
	return r.Events, r.Version, err
}

// Grant creates a lease.
func (c *LocalClient) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	return invoke(ctx, c, kv.OpGrant, "", func() (kv.LeaseID, error) {
		if ttl <= 0 {
			return "", problem.New(problem.Invalid, problem.Detail{
				Field: "time to live", Value: ttl.String(), Limit: "1 ms or more", Remedy: "give a positive time"})
		}
		return c.service.leases.grant(ttl, c.service.timer.Now()), nil
	})
}

// KeepAlive renews a lease.
func (c *LocalClient) KeepAlive(ctx context.Context, lease kv.LeaseID) error {
	_, err := invoke(ctx, c, kv.OpKeepAlive, "", func() (kv.EmptyReply, error) {
		if !c.service.leases.keepAlive(lease, c.service.timer.Now()) {
			return kv.EmptyReply{}, notFound("lease", string(lease))
		}
		return kv.EmptyReply{}, nil
	})
	return err
}

// Revoke ends a lease.
func (c *LocalClient) Revoke(ctx context.Context, lease kv.LeaseID) error {
	_, err := invoke(ctx, c, kv.OpRevoke, "", func() (kv.EmptyReply, error) {
		if !c.service.revoke(lease) {
			return kv.EmptyReply{}, notFound("lease", string(lease))
		}
		return kv.EmptyReply{}, nil
	})
	return err
}

func (c *LocalClient) watch(ctx context.Context, r kv.WatchRequest) (kv.WatchReply, error) {
	var w *waiter
	reply, err := invoke(ctx, c, kv.OpWatch, r.Prefix, func() (kv.WatchReply, error) {
		var reply kv.WatchReply
		var err error
		reply, w, err = c.service.pollChanges(r)
		return reply, err
	})
	if err != nil || w == nil {
		return reply, err
	}
	if !c.service.awaitChange(ctx, w, min(r.Wait(), maxWatchWait)) {
		return kv.WatchReply{}, unavailable("retry; the watch was cancelled or the service was closed")
	}
	if fault, _ := c.service.faults.choose(Call{c.name, kv.OpWatch, r.Prefix}); fault != NoFault {
		return kv.WatchReply{}, unavailable("retry; the service is not reachable")
	}
	events, version, w, err := c.service.log.since(r.Prefix, r.From)
	if w != nil {
		c.service.log.removeWaiter(w)
	}
	return kv.WatchReply{Events: events, Version: version}, err
}

// pollChanges returns the changes that are available to a watch, or a waiter if
// there are none. A watch from version zero gets all current items.
func (s *Service) pollChanges(r kv.WatchRequest) (kv.WatchReply, *waiter, error) {
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

// awaitChange waits until a change wakes the waiter or the wait time has passed.
// It returns false if the call was cancelled or the service was closed.
func (s *Service) awaitChange(ctx context.Context, w *waiter, wait time.Duration) bool {
	defer s.log.removeWaiter(w)
	limit := s.timer.After(wait)
	defer limit.Stop()
	select {
	case <-w.wake:
		return true
	case <-limit.C:
		return true
	case <-ctx.Done():
	case <-s.stop:
	}
	return false
}
