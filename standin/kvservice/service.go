// Package kvservice implements a small in-memory stand-in for the platform's
// key-value service, with compare-and-swap, leases, watches, rate limits, call
// counters and fault injection for tests.
package kvservice

import (
	"sort"
	"strings"
	"sync"
	"time"

	"bronzewinch.dev/lib/kv"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/shard"
	"bronzewinch.dev/lib/timer"
	"bronzewinch.dev/lib/unit"
)

const (
	// DefaultHistory is the default of Config.History.
	DefaultHistory = 100_000
	// sweepPeriod is the interval at which expired leases are revoked. It is the
	// longest delay with which a watch reports the expiry of a lease; other calls
	// see the expiry at once.
	sweepPeriod = 50 * time.Millisecond
	// maxListBytes limits the keys and values in the reply to a list call. A single
	// item is returned whatever its size.
	maxListBytes = 4 << 20
	// maxWatchWait is the longest time that a watch waits for a change.
	maxWatchWait = time.Minute
)

// Config configures a Service. Zero values select the defaults.
type Config struct {
	Timer timer.Service
	// WriteRate and ReadRate limit the calls of all clients together. Zero means no
	// limit.
	WriteRate, ReadRate unit.PerSecond
	// History is the minimum number of recent changes from which a watch can resume.
	History int
}

// Service is the key-value service. Items are in shards, each with its own lock;
// the leases have one lock, and so has the history of changes, under which every
// change gets its version.
type Service struct {
	timer  timer.Service
	shards [shard.Count]itemShard
	leases leases
	log    *history
	faults *faults
	limits limits
	counts counts

	stop chan struct{}
	done sync.WaitGroup
}

type itemShard struct {
	mu    sync.Mutex
	items map[string]kv.Item
}

// New returns a running service.
func New(config Config) *Service {
	if config.Timer == nil {
		config.Timer = timer.NewSystem()
	}
	if config.History <= 0 {
		config.History = DefaultHistory
	}
	s := &Service{
		timer:  config.Timer,
		log:    newHistory(config.History),
		faults: newFaults(),
		limits: newLimits(config.WriteRate, config.ReadRate),
		counts: newCounts(),
		stop:   make(chan struct{}),
	}
	s.leases.byID = make(map[kv.LeaseID]*lease)
	for i := range s.shards {
		s.shards[i].items = make(map[string]kv.Item)
	}
	sweep := config.Timer.Every(sweepPeriod)
	s.done.Go(func() {
		defer sweep.Stop()
		for {
			select {
			case <-s.stop:
				return
			case <-sweep.C:
				s.expireLeases()
			}
		}
	})
	return s
}

// Close ends the waiting watches and stops the expiry of leases.
func (s *Service) Close() {
	close(s.stop)
	s.done.Wait()
}

func (s *Service) shardOf(key string) *itemShard {
	h := uint32(2166136261) // FNV-1a
	for i := range len(key) {
		h = (h ^ uint32(key[i])) * 16777619
	}
	return &s.shards[h%shard.Count]
}

func (s *Service) get(key string) (kv.Item, error) {
	sh := s.shardOf(key)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	item, ok := sh.items[key]
	if !ok {
		return kv.Item{}, notFound("key", key)
	}
	return item, nil
}

func (s *Service) put(r kv.PutRequest) (kv.Version, error) {
	if len(r.Value) > kv.MaxValue {
		return 0, problem.New(problem.Invalid, problem.Detail{
			Field: "value", Limit: "1 MiB", Remedy: "split the value over several keys"})
	}
	sh := s.shardOf(r.Key)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.items[r.Key].Version != r.Expect {
		return 0, conflict(r.Key)
	}
	if r.Lease != "" && !s.leases.attach(r.Lease, r.Key) {
		return 0, notFound("lease", string(r.Lease))
	}
	item := kv.Item{Key: r.Key, Value: r.Value, Lease: r.Lease}
	item.Version = s.log.add(kv.Event{Item: item})
	sh.items[r.Key] = item
	return item.Version, nil
}

func (s *Service) remove(key string, expect kv.Version) error {
	sh := s.shardOf(key)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	item, ok := sh.items[key]
	switch {
	case !ok:
		return notFound("key", key)
	case item.Version != expect:
		return conflict(key)
	}
	s.deleteItem(sh, item)
	return nil
}

// deleteItem deletes an item and records the change. sh.mu must be held.
func (s *Service) deleteItem(sh *itemShard, item kv.Item) {
	delete(sh.items, item.Key)
	item.Value = nil
	s.log.add(kv.Event{Item: item, Deleted: true})
}

func (s *Service) list(prefix, after string, limit int) []kv.Item {
	var items []kv.Item
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.Lock()
		for key, item := range sh.items {
			if strings.HasPrefix(key, prefix) && key > after {
				items = append(items, item)
			}
		}
		sh.mu.Unlock()
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	size := 0
	for i := range items {
		size += len(items[i].Key) + len(items[i].Value)
		if i == limit || (i > 0 && size > maxListBytes) {
			return items[:i]
		}
	}
	return items
}

func notFound(field, value string) error {
	return problem.New(problem.NotFound, problem.Detail{
		Field: field, Value: value, Remedy: "create it first; it does not exist, was deleted or has expired"})
}

func conflict(key string) error {
	return problem.New(problem.Conflict, problem.Detail{
		Field: "version of key", Value: key, Remedy: "read the key and repeat the change with its current version"})
}
