package owner

import (
	"context"
	"sync"
	"time"

	"bronzewinch.dev/lib/kv"
	"bronzewinch.dev/lib/ownership"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/timer"
)

// nodeLease is a lease that the store granted to this node. It is safe for
// concurrent use.
type nodeLease struct {
	id    kv.LeaseID
	timer timer.Service

	mu    sync.Mutex
	lease *ownership.Lease
}

// State returns the current state of the lease.
func (l *nodeLease) State() ownership.LeaseState {
	l.mu.Lock()
	defer l.mu.Unlock()
	// The time is read while holding the lock, so that a pause of the process
	// while it waits for the lock is taken into account.
	return l.lease.State(l.timer.Now())
}

// recordRenewal records the result of a renewal and returns whether the lease is, or
// may still be, in force.
func (l *nodeLease) recordRenewal(sent time.Time, err error) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.timer.Now()
	switch problem.KindOf(err) {
	case "":
		return l.lease.Renewed(sent, now)
	case problem.NotFound:
		l.lease.End()
		return false
	}
	l.lease.Failed(now)
	return true
}

func (l *nodeLease) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lease.End()
}

// leaseManager obtains a lease when a shard needs one, renews it, and revokes it
// after three renewal intervals without a shard that uses it.
type leaseManager struct {
	config    Config
	changed   func()
	requested chan struct{} // contains a token while a lease is requested

	mu      sync.Mutex
	current *nodeLease
	users   int

	cancel context.CancelFunc
	loop   sync.WaitGroup
}

// newLeaseManager starts a lease manager. It calls changed after a lease was
// granted, was not granted, or has ended.
func newLeaseManager(config Config, changed func()) *leaseManager {
	m := &leaseManager{config: config, changed: changed, requested: make(chan struct{}, 1)}
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.loop.Go(func() {
		backoff := minBackoff
		for m.waitRequested(ctx) {
			if m.renewLoop(ctx) {
				backoff = minBackoff
				continue
			}
			if timer.Sleep(ctx, config.Timer, timer.Jitter(backoff)) != nil {
				return
			}
			backoff = min(2*backoff, maxBackoff)
		}
	})
	return m
}

// acquire returns the current lease if it is valid, and increments the number of its
// users. Otherwise it requests a lease and returns nil.
func (m *leaseManager) acquire() *nodeLease {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.current != nil && m.current.State() == ownership.Valid {
		m.users++
		return m.current
	}
	if m.current == nil {
		select {
		case m.requested <- struct{}{}:
		default:
		}
	}
	return nil
}

// isCurrent returns whether a lease is the node's current one.
func (m *leaseManager) isCurrent(id kv.LeaseID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.current != nil && m.current.id == id
}

// release decrements the number of users of the lease.
func (m *leaseManager) release() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.users--
}

func (m *leaseManager) idle() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.users == 0
}

func (m *leaseManager) setCurrent(lease *nodeLease) {
	m.mu.Lock()
	m.current = lease
	m.mu.Unlock()
	m.changed()
}

// close revokes the lease and stops the manager. It is called after all shards were
// closed.
func (m *leaseManager) close() {
	m.cancel()
	m.loop.Wait()
}

func (m *leaseManager) waitRequested(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-m.requested:
		return true
	}
}

// renewLoop obtains a lease and renews it until it ends or has been unused for three
// renewal intervals. It returns false if no lease was granted.
func (m *leaseManager) renewLoop(ctx context.Context) bool {
	sent := m.config.Timer.Now()
	leaseID, err := m.config.Store.Grant(ctx, m.config.TTL)
	if err != nil {
		m.changed()
		return false
	}
	lease := &nodeLease{id: leaseID, timer: m.config.Timer,
		lease: ownership.NewLease(m.config.TTL, m.config.Margin, sent)}
	m.setCurrent(lease)
	tick := m.config.Timer.Every(m.config.RenewInterval)
	defer tick.Stop()
	for unused := 0; unused < 3; {
		select {
		case <-ctx.Done():
			m.revoke(lease)
			return true
		case <-tick.C:
		}
		if m.idle() {
			unused++
		} else {
			unused = 0
		}
		if !m.renew(ctx, lease) {
			break
		}
	}
	m.revoke(lease)
	return true
}

// renew renews the lease once. It cancels a call that takes longer than the renewal
// interval, so that the next renewal can still be in time.
func (m *leaseManager) renew(ctx context.Context, lease *nodeLease) bool {
	ctx, cancel := context.WithTimeout(ctx, m.config.RenewInterval)
	defer cancel()
	sent := lease.timer.Now()
	return lease.recordRenewal(sent, m.config.Store.KeepAlive(ctx, lease.id))
}

// revoke ends a lease on this node and revokes it in the store, which deletes its
// keys.
func (m *leaseManager) revoke(lease *nodeLease) {
	lease.end()
	m.setCurrent(nil)
	ctx, cancel := context.WithTimeout(context.Background(), m.config.RenewInterval)
	defer cancel()
	// If the call fails, the lease ends after its time to live.
	_ = m.config.Store.Revoke(ctx, lease.id)
}
