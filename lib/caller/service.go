package caller

import (
	"sync"
	"sync/atomic"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/limit"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/route"
	"bronzewinch.dev/lib/timer"
	"bronzewinch.dev/lib/unit"
)

// refreshPeriod bounds how long a change of the configuration, of the live
// nodes or of leaving backend servers takes to have effect. It is far under
// the 1 s in which an ended node's share must be in use again.
const refreshPeriod = 100 * time.Millisecond

// service is the state of one service on this node.
type service struct {
	record      record.Service
	routes      *route.Table
	limits      *limit.Limiter
	retryBudget *retryBudget
}

// services is replaced as a whole when something changes.
type services struct {
	set      *record.Set
	position route.Position
	byName   map[id.Service]*service
}

// Refresh takes over the present configuration, live nodes and leaving
// backend servers.
func (f *Frontend) Refresh() { f.refresh.refresh(f) }

func (r *refresher) refresh(f *Frontend) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := f.config.Clock.Now()
	old := f.services.Load()
	next := &services{set: f.config.ConfigSource.Current(), position: f.config.PositionSource.Position(),
		byName: make(map[id.Service]*service)}
	for name, service := range next.set.Services {
		s := f.service(old.byName[name], service)
		s.routes.Update(f.activeBackends(service), next.position, now)
		s.limits.SetCapacity(s.routes.Capacity(now), now)
		next.byName[name] = s
	}
	if old.set != next.set {
		f.tokens.Store(newTokenIndex(next.set))
	}
	f.services.Store(next)
}

// Capacity returns how many requests of a service this node may have in
// progress at once.
func (f *Frontend) Capacity(name id.Service) unit.Slots {
	s := f.services.Load().byName[name]
	if s == nil {
		return 0
	}
	return s.routes.Capacity(f.config.Clock.Now())
}

// service keeps the state of a service whose backend limits are unchanged.
func (f *Frontend) service(old *service, r record.Service) *service {
	if old == nil || old.record.Slots != r.Slots || old.record.Connections != r.Connections {
		return &service{
			record:      r,
			routes:      route.New(route.Config{Zone: f.config.Zone, Slots: r.Slots, Connections: r.Connections}),
			limits:      limit.New(limit.Config{MaxQueue: f.config.MaxQueue, MaxAccountQueue: f.config.MaxAccountQueue}),
			retryBudget: newRetryBudget(),
		}
	}
	return &service{record: r, routes: old.routes, limits: old.limits, retryBudget: old.retryBudget}
}

// activeBackends returns the backend servers that are not leaving.
func (f *Frontend) activeBackends(r record.Service) []route.Backend {
	var list []route.Backend
	for _, b := range r.Backends {
		if !f.config.Backends.Leaving(b.Name) {
			list = append(list, route.Backend{Name: b.Name, Address: b.Address, Zone: b.Zone})
		}
	}
	return list
}

// limitsOf divides the limits of an account over the live nodes.
func limitsOf(a record.Account, position route.Position) limit.Account {
	n := max(position.Count, 1)
	return limit.Account{
		Name:        a.Name,
		Rate:        a.Rate / unit.PerSecond(n),
		Concurrency: (a.Concurrency + n - 1) / n,
		Guaranteed:  (a.GuaranteedSlots + unit.Slots(n) - 1) / unit.Slots(n),
		Weight:      a.Weight,
	}
}

// refresher calls Refresh in each period.
type refresher struct {
	mu   sync.Mutex
	stop chan struct{}
	done sync.WaitGroup
}

func newRefresher(f *Frontend, clock timer.Service) *refresher {
	r := &refresher{stop: make(chan struct{})}
	r.refresh(f)
	ticks := clock.Every(refreshPeriod)
	r.done.Go(func() {
		defer ticks.Stop()
		for {
			select {
			case <-r.stop:
				return
			case <-ticks.C:
				r.refresh(f)
			}
		}
	})
	return r
}

func (r *refresher) close() {
	close(r.stop)
	r.done.Wait()
}

const (
	// retryRatio is the part of requests that may be retries, so that an
	// outage does not multiply the load.
	retryRatio = 0.1
	// retryBurst is how many retries may be saved up. When a third of 50
	// backend servers fail at half load, about 30 requests of each of 4 nodes
	// need one at once.
	retryBurst = 50
	milli      = 1000
)

// retryBudget bounds retries to a part of the requests. It counts in thousandths.
type retryBudget struct{ tokens atomic.Int64 }

func newRetryBudget() *retryBudget {
	b := &retryBudget{}
	b.tokens.Store(retryBurst * milli)
	return b
}

// earn adds the part of one request.
func (b *retryBudget) earn() {
	if b.tokens.Load() < retryBurst*milli {
		b.tokens.Add(retryRatio * milli)
	}
}

// spend takes a retry, when there is one.
func (b *retryBudget) spend() bool {
	for {
		n := b.tokens.Load()
		if n < milli {
			return false
		}
		if b.tokens.CompareAndSwap(n, n-milli) {
			return true
		}
	}
}
