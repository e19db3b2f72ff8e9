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

// refreshPeriod bounds the delay until a change of the configuration, of the live
// nodes or of the leaving backend servers takes effect. It is far below the 1 s
// within which the other nodes must use the share of a node that has ended.
const refreshPeriod = 100 * time.Millisecond

// service is the state of one service on this node.
type service struct {
	record      record.Service
	routes      *route.Table
	limits      *limit.Limiter
	retryBudget *retryBudget
}

// services is the state of all services on this node. Each refresh replaces it
// as a whole.
type services struct {
	set      *record.Set
	position route.Position
	byName   map[id.Service]*service
}

// Refresh applies the current configuration, live nodes and leaving backend
// servers.
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

// Capacity returns the maximum number of concurrent requests of a service on this
// node.
func (f *Frontend) Capacity(name id.Service) unit.Slots {
	s := f.services.Load().byName[name]
	if s == nil {
		return 0
	}
	return s.routes.Capacity(f.config.Clock.Now())
}

// service returns the state for the record r. It reuses the state of old if the
// limits per backend server are unchanged.
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

// limitsOf returns the share of this node in the limits of an account, which are
// divided evenly among the live nodes.
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

// refresher refreshes the state of the services once in each refreshPeriod.
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
	// retryRatio is the maximum ratio of retries to requests. It prevents retries
	// from multiplying the load during an outage.
	retryRatio = 0.1
	// retryBurst is the maximum number of saved retries. If a third of 50 backend
	// servers fail at half load, each of 4 nodes needs about 30 retries at the
	// same time.
	retryBurst = 50
	milli      = 1000
)

// retryBudget limits retries to a ratio of the requests. Its tokens are thousandths
// of a retry.
type retryBudget struct{ tokens atomic.Int64 }

func newRetryBudget() *retryBudget {
	b := &retryBudget{}
	b.tokens.Store(retryBurst * milli)
	return b
}

// earn adds the tokens of one request.
func (b *retryBudget) earn() {
	if b.tokens.Load() < retryBurst*milli {
		b.tokens.Add(retryRatio * milli)
	}
}

// spend takes the tokens of one retry. It returns false if there are too few.
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
