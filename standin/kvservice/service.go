// Package kvservice is a small stand-in for the platform's key-value service:
// compare-and-swap, leases, watches, limits and counters, with faults that
// tests inject. Its state is in memory.
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
	// DefaultHistory is the number of changes that a watch can start behind.
	DefaultHistory = 100_000
	// sweepPeriod is how late a watch may see that a lease ended. Other calls
	// see it at once.
	sweepPeriod = 50 * time.Millisecond
	// maxListBytes cuts the answer to a list.
	maxListBytes = 4 << 20
	// maxWatchWait is the longest time that a watch is held.
	maxWatchWait = time.Minute
)

// Config is what a Service needs. Zero values take the defaults.
type Config struct {
	Timer timer.Service
	// WriteRate and ReadRate limit the calls of all clients. Zero is no limit.
	WriteRate, ReadRate unit.PerSecond
	// History is the number of changes kept for watches.
	History int
}

// Service is the state of the key-value service. Items and leases are in
// shards, each under its own lock; the history of changes has one lock, which
// gives every change its version.
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

// Close ends the waiting watches and stops the service.
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

// deleteItem deletes an item and records the change. The lock of sh is held.
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
		Field: field, Value: value, Remedy: "create it first; it may have been deleted or have expired"})
}

func conflict(key string) error {
	return problem.New(problem.Conflict, problem.Detail{
		Field: "version of key", Value: key, Remedy: "read the key and repeat the change on its present version"})
}
