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

// nodeLease is one lease of this node.
type nodeLease struct {
	id    kv.LeaseID
	timer timer.Service

	mu    sync.Mutex
	lease *ownership.Lease
}

// State returns the state of the lease now.
func (l *nodeLease) State() ownership.LeaseState {
	l.mu.Lock()
	defer l.mu.Unlock()
	// The time is read under the lock, so a pause while waiting for it counts.
	return l.lease.State(l.timer.Now())
}

// recordRenewal records the result of a renewal and returns whether the lease holds
// or may hold.
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

// leaseManager grants a lease when one is needed, renews it while shards use
// it, and revokes it when none has used it for a while.
type leaseManager struct {
	config    Config
	changed   func()
	requested chan struct{} // holds a token while a lease is wanted

	mu      sync.Mutex
	current *nodeLease
	users   int

	cancel context.CancelFunc
	loop   sync.WaitGroup
}

// newLeaseManager starts a keeper. It calls changed when a lease was granted or
// has ended.
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

// acquire returns the valid lease and counts a user, or asks for a lease and
// returns nil.
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

// isCurrent returns whether a lease is the present one.
func (m *leaseManager) isCurrent(id kv.LeaseID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.current != nil && m.current.id == id
}

// release ends a use.
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

// close revokes the lease and ends the keeper. The shards have been released.
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

// renewLoop grants a lease and renews it until it ends or nothing uses it. It
// returns false when there was no lease.
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

// renew makes one renewal. A call that takes longer than a period is given up,
// so that the next one can still be in time.
func (m *leaseManager) renew(ctx context.Context, lease *nodeLease) bool {
	ctx, cancel := context.WithTimeout(ctx, m.config.RenewInterval)
	defer cancel()
	sent := lease.timer.Now()
	return lease.recordRenewal(sent, m.config.Store.KeepAlive(ctx, lease.id))
}

// revoke ends a lease here and in the store, so that its keys are free.
func (m *leaseManager) revoke(lease *nodeLease) {
	lease.end()
	m.setCurrent(nil)
	ctx, cancel := context.WithTimeout(context.Background(), m.config.RenewInterval)
	defer cancel()
	// Without an answer, the lease ends by its time to live.
	_ = m.config.Store.Revoke(ctx, lease.id)
}
