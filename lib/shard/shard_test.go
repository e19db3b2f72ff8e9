package shard_test

import (
	"sync"
	"testing"

	"bronzewinch.dev/lib/shard"

	"github.com/matryer/is"
)

// TestUpdateIsAtomic guards against lost updates when goroutines update the
// same key concurrently.
func TestUpdateIsAtomic(t *testing.T) {
	is := is.New(t)
	m := shard.NewMap[string, int]()
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 1000 {
				m.Update("k", func(v int, _ bool) (int, bool) { return v + 1, true })
			}
		})
	}
	wg.Wait()
	v, ok := m.Get("k")
	is.True(ok)
	is.Equal(v, 8000)
	m.Update("k", func(int, bool) (int, bool) { return 0, false })
	is.Equal(m.Len(), 0)
}

// TestRangeStops guards against a Range that continues with the next shard after
// its function has returned false.
func TestRangeStops(t *testing.T) {
	is := is.New(t)
	m := shard.NewMap[int, int]()
	for i := range 500 {
		m.Set(i, i)
	}
	seen := 0
	m.Range(func(int, int) bool { seen++; return seen < 3 })
	is.Equal(seen, 3)
	is.Equal(m.Len(), 500)
}

// BenchmarkUpdate compares the sharded map with a plain map under one lock.
func BenchmarkUpdate(b *testing.B) {
	b.Run("sharded", func(b *testing.B) {
		m := shard.NewMap[int, int]()
		b.RunParallel(func(pb *testing.PB) {
			for i := 0; pb.Next(); i++ {
				m.Update(i&1023, func(v int, _ bool) (int, bool) { return v + 1, true })
			}
		})
	})
	b.Run("oneLock", func(b *testing.B) {
		var mu sync.Mutex
		m := make(map[int]int)
		b.RunParallel(func(pb *testing.PB) {
			for i := 0; pb.Next(); i++ {
				mu.Lock()
				m[i&1023]++
				mu.Unlock()
			}
		})
	})
}
