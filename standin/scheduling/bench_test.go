package scheduling_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"bronzewinch.dev/lib/id"
	"bronzewinch.dev/lib/job"
	"bronzewinch.dev/lib/record"
	"bronzewinch.dev/lib/scheduler"
	"bronzewinch.dev/lib/timer"
	"bronzewinch.dev/lib/unit"
	"bronzewinch.dev/lib/worker"
	"bronzewinch.dev/standin/workers"
)

// countingConn counts the bytes of a connection in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkRenewCall measures one renewal call over HTTP on loopback, for workers
// with different numbers of tasks. Client and server run in this process. A worker
// is called once per second, so wireBytes/op is its traffic in bytes per second.
func BenchmarkRenewCall(b *testing.B) {
	for _, n := range []int{0, 1, 17} {
		b.Run(fmt.Sprint("tasks=", n), func(b *testing.B) { benchmarkRenewCall(b, n) })
	}
}

func benchmarkRenewCall(b *testing.B, n int) {
	clock := timer.NewSystem()
	fleet := workers.New(workers.Config{Clock: clock, Workers: map[id.Worker]unit.Resources{"w": oneAccelerator.Times(100)}})
	server := httptest.NewServer(fleet.Handler())
	defer server.Close()
	var bytes atomic.Int64
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return countingConn{c, &bytes}, err
	}
	client := worker.New(worker.Config{Clock: clock, Transport: worker.NewHTTP(worker.HTTPConfig{
		Client: &http.Client{Transport: &http.Transport{DialContext: dial}},
		URL:    func(w id.Worker) (string, bool) { return server.URL + "/" + string(w), true }})})
	call := func(kind worker.Kind) {
		var tasks []worker.Task
		for i := range n {
			tasks = append(tasks, worker.Task{Ref: worker.Ref{Job: id.Job(fmt.Sprint("night-map-", i)), Attempt: 1},
				Resources: oneAccelerator, LeaseExpiry: clock.Now().Add(10 * time.Second)})
		}
		if _, err := client.Call(context.Background(), "w", worker.Command{Kind: kind, Shard: "place/entoto", Epoch: 7, Tasks: tasks}); err != nil {
			b.Fatal(err)
		}
	}
	call(worker.Reserve)
	call(worker.Start)
	bytes.Store(0)
	b.ReportAllocs()
	for b.Loop() {
		call(worker.Renew)
	}
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "wireBytes/op")
}

// slowStore takes 2 ms for an append, as the key-value service does.
type slowStore struct{ *term }

func (s slowStore) Append(_ context.Context, items ...[]byte) (id.Seq, error) {
	time.Sleep(2 * time.Millisecond)
	return s.store.append(s.epoch, items)
}

// newBenchScheduler returns a scheduler that uses the system clock. All its jobs
// wait, because the zone has no workers.
func newBenchScheduler(b *testing.B) *scheduler.Scheduler {
	t := &term{store: newStore()}
	t.epoch, _ = t.store.beginEpoch()
	set := record.NewSet()
	set.Zones["a"] = record.Zone{Name: "a"}
	s, err := scheduler.New(scheduler.Config{Shard: "place/a", Zone: "a", Clock: timer.NewSystem(),
		Planner: newFirstFit(set), Journal: slowStore{t}, Term: t, Workers: t, Records: set})
	if err != nil {
		b.Fatal(err)
	}
	return s
}

var benchSpec = job.Spec{Account: "acme", DeclaredRun: time.Hour, Program: "p",
	Shape: job.Shape{Workers: 4, PerWorker: oneAccelerator, Locality: job.SameZone}}

// BenchmarkSubmit measures submissions by 256 concurrent callers, with a journal
// that takes 2 ms for an append.
func BenchmarkSubmit(b *testing.B) {
	s := newBenchScheduler(b)
	defer s.Close(context.Background())
	var next atomic.Int64
	b.ReportAllocs()
	b.SetParallelism(max(1, 256/runtime.GOMAXPROCS(0)))
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := s.Submit(context.Background(), benchSpec, id.Job(fmt.Sprint("j", next.Add(1)))); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkCancelWave measures 10,000 concurrent cancellations, from the first call
// to the last answer, with a journal that takes 2 ms for an append.
func BenchmarkCancelWave(b *testing.B) {
	const n = 10_000
	for b.Loop() {
		b.StopTimer()
		s := newBenchScheduler(b)
		forEachJob(n, func(name id.Job) error {
			_, err := s.Submit(context.Background(), benchSpec, name)
			return err
		}, b)
		b.StartTimer()
		forEachJob(n, func(name id.Job) error {
			_, err := s.Cancel(context.Background(), name)
			return err
		}, b)
		b.StopTimer()
		if err := s.Close(context.Background()); err != nil {
			b.Fatal(err)
		}
		b.StartTimer()
	}
}

func forEachJob(n int, f func(id.Job) error, b *testing.B) {
	var all sync.WaitGroup
	for i := range n {
		all.Go(func() {
			if err := f(id.Job(fmt.Sprint("j", i))); err != nil {
				b.Error(err)
			}
		})
	}
	all.Wait()
}
