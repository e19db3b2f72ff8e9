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

// grant is one lease of this node.
type grant struct {
	id    kv.LeaseID
	timer timer.Service

	mu     sync.Mutex
	holder *ownership.Lease
}

// State returns the state of the lease now.
func (g *grant) State() ownership.LeaseState {
	g.mu.Lock()
	defer g.mu.Unlock()
	// The time is read under the lock, so a pause while waiting for it counts.
	return g.holder.State(g.timer.Now())
}

// renewed records the result of a renewal and returns whether the lease holds
// or may hold.
func (g *grant) renewed(sent time.Time, err error) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.timer.Now()
	switch problem.KindOf(err) {
	case "":
		return g.holder.Renewed(sent, now)
	case problem.NotFound:
		g.holder.End()
		return false
	}
	g.holder.Failed(now)
	return true
}

func (g *grant) end() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.holder.End()
}

// leaseKeeper grants a lease when one is needed, renews it while shards use
// it, and revokes it when none has used it for a while.
type leaseKeeper struct {
	config  Config
	changed func()
	need    chan struct{} // holds a token while a lease is wanted

	mu      sync.Mutex
	current *grant
	users   int

	cancel context.CancelFunc
	done   sync.WaitGroup
}

// newLeaseKeeper starts a keeper. It calls changed when a lease was granted or
// has ended.
func newLeaseKeeper(config Config, changed func()) *leaseKeeper {
	k := &leaseKeeper{config: config, changed: changed, need: make(chan struct{}, 1)}
	ctx, cancel := context.WithCancel(context.Background())
	k.cancel = cancel
	k.done.Go(func() {
		pause := retryFirst
		for k.wait(ctx) {
			if k.renewLoop(ctx) {
				pause = retryFirst
				continue
			}
			if timer.Sleep(ctx, config.Timer, timer.Jitter(pause)) != nil {
				return
			}
			pause = min(2*pause, retryMost)
		}
	})
	return k
}

// use returns the valid lease and counts a user, or asks for a lease and
// returns nil.
func (k *leaseKeeper) use() *grant {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.current != nil && k.current.State() == ownership.Valid {
		k.users++
		return k.current
	}
	if k.current == nil {
		select {
		case k.need <- struct{}{}:
		default:
		}
	}
	return nil
}

// has returns whether a lease is the present one.
func (k *leaseKeeper) has(id kv.LeaseID) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.current != nil && k.current.id == id
}

// leave ends a use.
func (k *leaseKeeper) leave() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.users--
}

func (k *leaseKeeper) idle() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.users == 0
}

func (k *leaseKeeper) set(g *grant) {
	k.mu.Lock()
	k.current = g
	k.mu.Unlock()
	k.changed()
}

// close revokes the lease and ends the keeper. The shards have been released.
func (k *leaseKeeper) close() {
	k.cancel()
	k.done.Wait()
}

func (k *leaseKeeper) wait(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-k.need:
		return true
	}
}

// renewLoop grants a lease and renews it until it ends or nothing uses it. It
// returns false when there was no lease.
func (k *leaseKeeper) renewLoop(ctx context.Context) bool {
	sent := k.config.Timer.Now()
	lease, err := k.config.Store.Grant(ctx, k.config.TTL)
	if err != nil {
		k.changed()
		return false
	}
	g := &grant{id: lease, timer: k.config.Timer,
		holder: ownership.NewLease(k.config.TTL, k.config.Margin, sent)}
	k.set(g)
	tick := k.config.Timer.Every(k.config.RenewInterval)
	defer tick.Stop()
	for unused := 0; unused < 3; {
		select {
		case <-ctx.Done():
			k.drop(g)
			return true
		case <-tick.C:
		}
		if k.idle() {
			unused++
		} else {
			unused = 0
		}
		if !k.renew(ctx, g) {
			break
		}
	}
	k.drop(g)
	return true
}

// renew makes one renewal. A call that takes longer than a period is given up,
// so that the next one can still be in time.
func (k *leaseKeeper) renew(ctx context.Context, g *grant) bool {
	ctx, cancel := context.WithTimeout(ctx, k.config.RenewInterval)
	defer cancel()
	sent := g.timer.Now()
	return g.renewed(sent, k.config.Store.KeepAlive(ctx, g.id))
}

// drop ends a lease here and in the store, so that its keys are free.
func (k *leaseKeeper) drop(g *grant) {
	g.end()
	k.set(nil)
	ctx, cancel := context.WithTimeout(context.Background(), k.config.RenewInterval)
	defer cancel()
	// Without an answer, the lease ends by its time to live.
	_ = k.config.Store.Revoke(ctx, g.id)
}
