package history_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"bronzewinch.dev/lib/decision"
	"bronzewinch.dev/lib/history"
	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/kv"
	"bronzewinch.dev/lib/problem"
	"bronzewinch.dev/lib/timer"

	"github.com/matryer/is"
)

var start = time.Date(2026, 3, 1, 23, 50, 0, 0, time.UTC)

// memoryStore is an in-memory key-value service. If putError is set, the next Put
// fails with it; with applyFailedPut, that Put takes effect nevertheless.
type memoryStore struct {
	mu             sync.Mutex
	items          map[string]kv.Item
	puts, lists    int
	putError       problem.Kind
	applyFailedPut bool
	// flushed receives a value when the writer calls List after a Put. The writer
	// has processed the result of the Put by then.
	flushed      chan struct{}
	putSinceList bool
	maxPerList   int
}

func newMemoryStore() *memoryStore {
	return &memoryStore{items: make(map[string]kv.Item), flushed: make(chan struct{}, 1000), maxPerList: 3}
}

func (s *memoryStore) Put(_ context.Context, key string, value []byte, expect kv.Version, _ kv.LeaseID) (kv.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.puts++
	s.putSinceList = true
	failure := s.putError
	s.putError = ""
	if failure != "" && !s.applyFailedPut {
		return 0, problem.New(failure, problem.Detail{})
	}
	if _, ok := s.items[key]; ok || len(value) > kv.MaxValue {
		return 0, problem.New(problem.Conflict, problem.Detail{Field: key})
	}
	s.items[key] = kv.Item{Key: key, Value: value, Version: 1}
	if failure != "" {
		return 0, problem.New(failure, problem.Detail{})
	}
	return 1, nil
}

func (s *memoryStore) Delete(_ context.Context, key string, _ kv.Version) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.items, key)
	return nil
}

func (s *memoryStore) List(_ context.Context, prefix, after string, limit int) ([]kv.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	if s.putSinceList {
		s.putSinceList = false
		s.flushed <- struct{}{}
	}
	var list []kv.Item
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			list = append(list, it)
		}
	}
	slices.SortFunc(list, func(a, b kv.Item) int { return strings.Compare(a.Key, b.Key) })
	return list[:min(len(list), limit, s.maxPerList)], nil
}

func (s *memoryStore) segments() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.items)
}

func decisionRecord(n int) decision.Record {
	return decision.Record{Zone: "bole", Epoch: 1, Version: uint64(n), At: start.Add(time.Duration(n) * time.Minute), Job: id.Job(fmt.Sprint("j", n/2)),
		Spec: job.Spec{Account: id.Account(fmt.Sprint("a", n%3))}, Rule: decision.RuleFree, Members: []job.Member{{Worker: id.Worker(fmt.Sprint("w", n%5))}}}
}

func decisionRecords(from, to int) []decision.Record {
	var list []decision.Record
	for n := from; n < to; n++ {
		list = append(list, decisionRecord(n))
	}
	return list
}

func find(t *testing.T, s *memoryStore, q history.Query) []decision.Record {
	t.Helper()
	q.Zone = "bole"
	list, err := history.NewReader(history.ReaderConfig{Store: s, Clock: timer.NewManual(start.Add(48 * time.Hour))}).Find(context.Background(), q)
	if err != nil {
		t.Fatal(err)
	}
	return list
}

func versions(list []decision.Record) (out []uint64) {
	for _, r := range list {
		out = append(out, r.Version)
	}
	return out
}

// TestTakeover guards against records that are lost or written twice in a
// takeover. The previous owner stops during a write with each possible outcome,
// and the next owner adds the records in the journal.
func TestTakeover(t *testing.T) {
	for _, tt := range []struct {
		name    string
		failure problem.Kind
		applied bool
	}{
		{"write confirmed", "", false},
		{"outcome unknown, write lost", problem.Unknown, false},
		{"outcome unknown, write took effect", problem.Unknown, true},
		{"service unavailable", problem.Unavailable, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s, ctx := newMemoryStore(), context.Background()
			cfg := history.Config{Zone: "bole", Store: s, Clock: timer.NewManual(start), BatchSize: 700}
			first := history.New(cfg)
			is.NoErr(first.Add(decisionRecords(1, 8)...))
			s.putError, s.applyFailedPut = tt.failure, tt.applied
			err := first.Close(ctx)
			is.Equal(err == nil, tt.failure == "")
			epoch, version := first.Flushed()
			if err != nil {
				is.Equal(version, uint64(0))
			} else {
				is.Equal(epoch, id.Epoch(1))
				is.Equal(version, uint64(7))
			}
			second := history.New(cfg)
			is.NoErr(second.Add(decisionRecords(int(version)+1, 20)...))
			is.NoErr(second.Close(ctx))
			_, version = second.Flushed()
			is.Equal(version, uint64(19))
			is.Equal(versions(find(t, s, history.Query{})), versions(decisionRecords(1, 20)))
			found := 0
			for n := 1; n < 20; n++ {
				found += len(find(t, s, history.Query{After: history.Position{Epoch: 1, Version: uint64(n - 1)}, Limit: 1}))
			}
			is.Equal(found, 19)
			third := history.New(cfg) // an owner whose journal was not truncated
			is.NoErr(third.Add(decisionRecords(1, 20)...))
			before := s.puts
			is.NoErr(third.Close(ctx))
			is.Equal(s.puts, before) // nothing is written again
		})
	}
}

// TestFlushedExcludesPendingVersion guards against an owner that truncates a
// pending record from its journal because an earlier record of the same version is
// stored.
func TestFlushedExcludesPendingVersion(t *testing.T) {
	is := is.New(t)
	s := newMemoryStore()
	clock := timer.NewManual(start)
	w := history.New(history.Config{Zone: "bole", Store: s, Clock: clock})
	is.NoErr(w.Add(decisionRecord(4)))
	clock.Advance(history.DefaultMaxAge)
	<-s.flushed
	again := decisionRecord(4)
	again.Rule = decision.RuleStop
	is.NoErr(w.Add(again))
	_, version := w.Flushed()
	is.Equal(version, uint64(3))
	is.NoErr(w.Close(context.Background()))
	is.Equal(len(find(t, s, history.Query{})), 2)
}

// TestWriteRate guards against a writer that writes more than once per
// WriteInterval, or writes while the zone is idle.
func TestWriteRate(t *testing.T) {
	is := is.New(t)
	s := newMemoryStore()
	clock := timer.NewManual(start)
	w := history.New(history.Config{Zone: "bole", Store: s, Clock: clock, BatchSize: 400})
	is.NoErr(w.Add(decisionRecords(1, 200)...))
	for range 5 {
		clock.Advance(history.DefaultWriteInterval)
		<-s.flushed
	}
	is.Equal(s.segments(), 5) // one per interval, however many records are pending
	is.NoErr(w.Close(context.Background()))
	before := s.puts
	idle := history.New(history.Config{Zone: "bole", Store: s, Clock: clock})
	clock.Advance(time.Hour)
	is.NoErr(idle.Close(context.Background()))
	is.Equal(s.puts, before)
}

// TestRetention guards against a history that exceeds its age or size limit.
func TestRetention(t *testing.T) {
	is := is.New(t)
	s := newMemoryStore()
	clock := timer.NewManual(start)
	old := history.New(history.Config{Zone: "bole", Store: s, Clock: clock, BatchSize: 400})
	is.NoErr(old.Add(decisionRecords(1, 9)...))
	is.NoErr(old.Close(context.Background()))
	full := s.segments()
	clock.Advance(40 * 24 * time.Hour)
	late := decisionRecord(40 * 24 * 60)
	w := history.New(history.Config{Zone: "bole", Store: s, Clock: clock, MaxSize: 500})
	is.NoErr(w.Add(late))
	is.NoErr(w.Close(context.Background()))
	is.Equal(s.segments(), full+1-min(full, 3)) // the store lists 3 segments per call
	small := history.New(history.Config{Zone: "bole", Store: s, Clock: clock, MaxSize: 1})
	late.Version++
	is.NoErr(small.Add(late))
	is.NoErr(small.Close(context.Background()))
	is.True(s.segments() <= full)
}

// TestFind guards against a query over several days that misses records or returns
// records that don't match, and against a cache that hides new segments.
func TestFind(t *testing.T) {
	s := newMemoryStore()
	w := history.New(history.Config{Zone: "bole", Store: s, Clock: timer.NewManual(start), BatchSize: 700})
	is.New(t).NoErr(w.Add(decisionRecords(1, 30)...))
	is.New(t).NoErr(w.Close(context.Background()))
	for _, tt := range []struct {
		name string
		q    history.Query
		want []uint64
	}{
		{"job", history.Query{Job: "j10"}, []uint64{20, 21}},
		{"account", history.Query{Account: "a2", Limit: 3}, []uint64{2, 5, 8}},
		{"worker", history.Query{Worker: "w4", After: history.Position{Epoch: 1, Version: 9}}, []uint64{14, 19, 24, 29}},
		{"time range across midnight", history.Query{From: start.Add(9 * time.Minute), To: start.Add(11 * time.Minute)}, []uint64{9, 10, 11}},
		{"job name used as worker name", history.Query{Worker: "j10"}, nil},
		{"position", history.Query{After: history.Position{Epoch: 1, Version: 28}}, []uint64{29}},
	} {
		t.Run(tt.name, func(t *testing.T) { is.New(t).Equal(versions(find(t, s, tt.q)), tt.want) })
	}
	is := is.New(t)
	clock := timer.NewManual(start.Add(72 * time.Hour))
	r := history.NewReader(history.ReaderConfig{Store: s, Clock: clock})
	q := history.Query{Zone: "bole"}
	first, err := r.Find(context.Background(), q)
	is.NoErr(err)
	later := decisionRecord(30)
	later.At = clock.Now()
	w = history.New(history.Config{Zone: "bole", Store: s, Clock: clock})
	is.NoErr(w.Add(later))
	is.NoErr(w.Close(context.Background()))
	s.lists = 0
	second, err := r.Find(context.Background(), q)
	is.NoErr(err)
	is.Equal(len(second), len(first)+1)
	is.True(s.lists <= 2) // past days come from the cache
}

// TestDamagedSegmentIsRejected guards against records read from a damaged segment.
// It flips a bit in each byte of a segment.
func TestDamagedSegmentIsRejected(t *testing.T) {
	is := is.New(t)
	s := newMemoryStore()
	w := history.New(history.Config{Zone: "bole", Store: s, Clock: timer.NewManual(start)})
	is.NoErr(w.Add(decisionRecord(1)))
	is.NoErr(w.Close(context.Background()))
	for key, it := range s.items {
		for i := range it.Value {
			damaged := it
			damaged.Value = slices.Clone(it.Value)
			damaged.Value[i] ^= 0x10
			s.items[key] = damaged
			_, err := history.NewReader(history.ReaderConfig{Store: s, Clock: timer.NewManual(start)}).Find(context.Background(), history.Query{Zone: "bole"})
			is.True(problem.Is(err, problem.Internal))
		}
	}
}

// TestMergeRemovesDuplicates guards against duplicate or unsorted results for
// records that both the owner and the segments have.
func TestMergeRemovesDuplicates(t *testing.T) {
	is := is.New(t)
	at := func(epoch id.Epoch, version uint64) decision.Record {
		return decision.Record{Epoch: epoch, Version: version, Job: "j", At: time.Unix(int64(version), 0)}
	}
	merged := history.Merge([]decision.Record{at(1, 1), at(1, 2), at(2, 1)}, []decision.Record{at(1, 2), at(2, 1), at(2, 2)})
	is.Equal(merged, []decision.Record{at(1, 1), at(1, 2), at(2, 1), at(2, 2)})
}
