package history_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"bronzewinch.dev/lib/decision"
	"bronzewinch.dev/lib/history"
	"bronzewinch.dev/lib/timer"
)

// filledStore returns a store with a thousand records per day of one zone, in
// segments of seven records.
func filledStore(b *testing.B, days int) *memoryStore {
	b.Helper()
	s := newMemoryStore()
	s.maxPerList = 1000
	clock := timer.NewManual(start)
	w := history.New(history.Config{Zone: "bole", Store: s, Clock: clock, BatchSize: 3500, Retention: 1000 * 24 * time.Hour})
	for n := range days * 1000 {
		r := decisionRecord(n)
		r.At = start.Add(time.Duration(n) * 24 * time.Hour / 1000)
		for i := range 3 {
			r.Alternatives = append(r.Alternatives, decision.Alternative{Where: fmt.Sprint("r", i), Reason: "costs more",
				Costs: []decision.Cost{{Term: "fragmentation", Value: float64(n*i%97) / 97}}})
		}
		if err := w.Add(r); err != nil {
			b.Fatal(err)
		}
	}
	s.flushed = make(chan struct{}, days*1000)
	if err := w.Close(context.Background()); err != nil {
		b.Fatal(err)
	}
	return s
}

// BenchmarkFindJob measures the search for one job with an empty cache. The store
// is in memory, so the latency of the key-value service is not included.
func BenchmarkFindJob(b *testing.B) {
	for _, days := range []int{1, 30} {
		b.Run(fmt.Sprint(days, "days"), func(b *testing.B) {
			s := filledStore(b, days)
			cfg := history.ReaderConfig{Store: s, Clock: timer.NewManual(start.Add(time.Duration(days) * 24 * time.Hour)), Retention: 1000 * 24 * time.Hour}
			for b.Loop() {
				list, err := history.NewReader(cfg).Find(context.Background(), history.Query{Zone: "bole", Job: "j250"})
				if err != nil || len(list) != 2 {
					b.Fatal(len(list), err)
				}
			}
		})
	}
}
