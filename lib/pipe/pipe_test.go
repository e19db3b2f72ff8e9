package pipe_test

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"testing"

	"bronzewinch.dev/lib/pipe"
	"bronzewinch.dev/lib/problem"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
)

func parse(_ context.Context, s string) (int, error) {
	n, err := strconv.Atoi(s)
	if err != nil {
		return 0, problem.New(problem.Invalid, problem.Detail{Field: "number", Value: s, Remedy: "use digits"})
	}
	return n, nil
}

func double(_ context.Context, n int) (int, error) { return 2 * n, nil }

func ExampleThen() {
	f := pipe.Then(pipe.Func[string, int](parse), pipe.Func[int, int](double))
	fmt.Println(f.Process(context.Background(), "21"))
	// Output: 42 <nil>
}

// TestInstrumentCountsRejections guards against rejected items that are
// missing from the metrics.
func TestInstrumentCountsRejections(t *testing.T) {
	is := is.New(t)
	set := metrics.NewSet()
	f := pipe.Instrument(set, "parse", pipe.Func[string, int](parse))
	_, err := f.Process(context.Background(), "x")
	is.True(problem.Is(err, problem.Invalid))
	var b strings.Builder
	set.WritePrometheus(&b)
	is.True(strings.Contains(b.String(), `bronzewinch_stage_refused_total{stage="parse",kind="invalid"} 1`))
}

// TestQueueDeliversEachItemOnce guards against lost and duplicated items with
// several concurrent producers and consumers, and against a lost wake-up, with
// which a consumer would wait although the queue is not empty.
func TestQueueDeliversEachItemOnce(t *testing.T) {
	is := is.New(t)
	const producers, perProducer = 4, 2000
	q := pipe.NewQueue[int](producers * perProducer)
	var produce, consume sync.WaitGroup
	var mu sync.Mutex
	seen := make(map[int]int)
	for range 3 {
		consume.Go(func() {
			for {
				batch, ok := q.TakeBatch(context.Background(), 7)
				if !ok {
					return
				}
				mu.Lock()
				for _, v := range batch {
					seen[v]++
				}
				mu.Unlock()
			}
		})
	}
	for p := range producers {
		produce.Go(func() {
			for i := range perProducer {
				if err := q.Put(p*perProducer + i); err != nil {
					t.Error(err)
				}
			}
		})
	}
	produce.Wait()
	q.Close()
	consume.Wait()
	is.Equal(len(seen), producers*perProducer)
	for v, n := range seen {
		if n != 1 {
			t.Fatalf("item %d was taken %d times", v, n)
		}
	}
}

// TestQueueRejectsWhenFull guards against a queue whose memory use grows without
// bound under overload.
func TestQueueRejectsWhenFull(t *testing.T) {
	is := is.New(t)
	q := pipe.NewQueue[int](1)
	is.NoErr(q.Put(1))
	is.True(problem.Is(q.Put(2), problem.Overloaded))
	q.Close()
	is.True(problem.Is(q.Put(3), problem.Unavailable))
	batch, ok := q.TakeBatch(context.Background(), 10)
	is.True(ok)
	is.Equal(batch, []int{1})
	_, ok = q.TakeBatch(context.Background(), 10)
	is.True(!ok)
}
