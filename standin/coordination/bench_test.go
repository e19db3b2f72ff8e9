package coordination

import (
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"bronzewinch.dev/lib/journal"
	"bronzewinch.dev/lib/kv"
	"bronzewinch.dev/standin/kvservice"
)

// newHTTPService returns a service and a client that calls it over HTTP on loopback.
func newHTTPService(b *testing.B) (*kvservice.Service, *kv.Client) {
	b.Helper()
	service := kvservice.New(kvservice.Config{})
	server := httptest.NewServer(service.Handler())
	client, err := kv.New(kv.Config{URL: server.URL, Name: "n", Rate: 1e9, Burst: 1e9})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		client.Close()
		service.Close()
		server.Close()
	})
	return service, client
}

func takeJournal(b *testing.B, store journal.Store) *journal.Writer {
	b.Helper()
	w, _, _, err := journal.TakeOver(ctx, journal.Config{Store: store, Prefix: prefix, Node: "n"})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(w.Close)
	return w
}

// BenchmarkAppend measures appends of 200 bytes over HTTP by concurrent callers, and
// the number of writes and reads of the service per append.
func BenchmarkAppend(b *testing.B) {
	for _, callers := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			s, c := newHTTPService(b)
			w := takeJournal(b, c)
			before := s.Counts()
			item := make([]byte, 200)
			work := make(chan struct{})
			var done sync.WaitGroup
			b.ResetTimer()
			for range callers {
				done.Go(func() {
					for range work {
						if _, err := w.Append(ctx, item); err != nil {
							b.Error(err)
						}
					}
				})
			}
			for range b.N {
				work <- struct{}{}
			}
			close(work)
			done.Wait()
			after := s.Counts()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "appends/s")
			b.ReportMetric(float64(after[kv.OpPut]-before[kv.OpPut])/float64(b.N), "writes/append")
			b.ReportMetric(float64(after[kv.OpGet]-before[kv.OpGet])/float64(b.N), "reads/append")
		})
	}
}

// BenchmarkRead measures a read and a takeover of a journal of 10,000 entries of 200
// bytes over HTTP.
func BenchmarkRead(b *testing.B) {
	s, c := newHTTPService(b)
	direct := s.LocalClient("filler")
	w := takeJournal(b, direct)
	for range 10_000 {
		if _, err := w.Append(ctx, make([]byte, 200)); err != nil {
			b.Fatal(err)
		}
	}
	b.Run("read", func(b *testing.B) {
		for b.Loop() {
			if _, entries, err := journal.Read(ctx, c, prefix); err != nil || len(entries) < 10_000 {
				b.Fatal(len(entries), err)
			}
		}
	})
	b.Run("take", func(b *testing.B) {
		for b.Loop() {
			w, _, _, err := journal.TakeOver(ctx, journal.Config{Store: c, Prefix: prefix, Node: "n"})
			if err != nil {
				b.Fatal(err)
			}
			w.Close()
		}
	})
}

// BenchmarkTakeover measures the time from the failure or the planned stop of an
// owner until the next owner has opened the shard, with the default lease of 1.8 s.
func BenchmarkTakeover(b *testing.B) {
	for _, planned := range []bool{false, true} {
		b.Run(fmt.Sprintf("planned=%v", planned), func(b *testing.B) {
			var total time.Duration
			for range b.N {
				s := kvservice.New(kvservice.Config{})
				a, opA := startOwner(s, "n0", newMembers(2), ownedShards[:1], 0)
				<-opA.opened
				c, opC := startOwner(s, "n1", newMembers(2), ownedShards[:1], 0)
				start := time.Now()
				if !planned {
					s.Partition("n0", true)
				} else {
					a.Close()
				}
				<-opC.opened
				total += time.Since(start)
				if !planned {
					a.Close()
				}
				c.Close()
				s.Close()
			}
			b.ReportMetric(total.Seconds()/float64(b.N), "s/takeover")
		})
	}
}
