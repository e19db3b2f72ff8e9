package configsync_test

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"

	"bronzewinch.dev/lib/configsync"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/kv"
	"bronzewinch.dev/lib/problem"
)

// fakeStore is an in-memory key-value service with injected faults.
type fakeStore struct {
	mu            sync.Mutex
	items         map[string]kv.Item
	version       kv.Version
	changed       chan struct{}
	down          bool
	loseResponses int // number of writes whose response is lost after they took effect
	puts          int
	gets          int
}

func newFakeStore() *fakeStore {
	return &fakeStore{items: make(map[string]kv.Item), changed: make(chan struct{})}
}

func (f *fakeStore) set(edit func(*fakeStore)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	edit(f)
	close(f.changed)
	f.changed = make(chan struct{})
}

func storeError(kind problem.Kind) error {
	return problem.New(kind, problem.Detail{Field: "fake store", Remedy: "test"})
}

func (f *fakeStore) Get(_ context.Context, key string) (kv.Item, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gets++
	if f.down {
		return kv.Item{}, storeError(problem.Unavailable)
	}
	item, ok := f.items[key]
	if !ok {
		return kv.Item{}, storeError(problem.NotFound)
	}
	return item, nil
}

func (f *fakeStore) Put(_ context.Context, key string, value []byte, expect kv.Version, _ kv.LeaseID) (kv.Version, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return 0, storeError(problem.Unavailable)
	}
	if f.items[key].Version != expect {
		return 0, storeError(problem.Conflict)
	}
	f.puts++
	f.version++
	f.items[key] = kv.Item{Key: key, Value: value, Version: f.version}
	close(f.changed)
	f.changed = make(chan struct{})
	if f.loseResponses > 0 {
		f.loseResponses--
		return 0, storeError(problem.Unknown)
	}
	return f.version, nil
}

func (f *fakeStore) Delete(_ context.Context, key string, _ kv.Version) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return storeError(problem.Unavailable)
	}
	delete(f.items, key)
	return nil
}

func (f *fakeStore) List(_ context.Context, prefix, after string, limit int) ([]kv.Item, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, storeError(problem.Unavailable)
	}
	var out []kv.Item
	for key, item := range f.items {
		if strings.HasPrefix(key, prefix) && key > after {
			out = append(out, item)
		}
	}
	slices.SortFunc(out, func(a, b kv.Item) int { return cmp.Compare(a.Key, b.Key) })
	return out[:min(limit, len(out))], nil
}

func (f *fakeStore) Watch(ctx context.Context, prefix string, from kv.Version) ([]kv.Event, kv.Version, error) {
	for {
		f.mu.Lock()
		changed, down, version := f.changed, f.down, f.version
		var events []kv.Event
		for key, item := range f.items {
			if strings.HasPrefix(key, prefix) && item.Version > from {
				events = append(events, kv.Event{Item: item})
			}
		}
		f.mu.Unlock()
		if down {
			return nil, from, storeError(problem.Unavailable)
		}
		slices.SortFunc(events, func(a, b kv.Event) int { return cmp.Compare(a.Version, b.Version) })
		if len(events) > 0 {
			return events, version, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, from, ctx.Err()
		}
	}
}

// fakePeers implements configsync.Peers for syncers in one process.
type fakePeers struct {
	mu    sync.Mutex
	nodes map[string]*configsync.Syncer
}

func (p *fakePeers) add(name string, s *configsync.Syncer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nodes[name] = s
}

func (p *fakePeers) Ahead(revision id.Revision) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for name, s := range p.nodes {
		if s.Current().Revision > revision || s.Ready() == nil && revision == 0 {
			out = append(out, name)
		}
	}
	return out
}

func (p *fakePeers) Since(_ context.Context, name string, revision id.Revision) (configsync.Update, error) {
	p.mu.Lock()
	s := p.nodes[name]
	p.mu.Unlock()
	return s.Since(revision)
}
