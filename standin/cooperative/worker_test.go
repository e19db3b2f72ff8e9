package cooperative

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// call sends an order to a handler and returns the status and the reason.
func call(h http.Handler, target, path string, order orderRequest) (int, string) {
	return callContext(context.Background(), h, target, path, order)
}

func callContext(ctx context.Context, h http.Handler, target, path string, order orderRequest) (int, string) {
	b, err := json.Marshal(order)
	if err != nil {
		panic(err) // unreachable: an order can be encoded
	}
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, path, bytes.NewReader(b))
	r.Header.Set("Bronzewinch-Target-Instance", target)
	rw := httptest.NewRecorder()
	h.ServeHTTP(rw, r)
	var body struct {
		Reason string `json:"reason"`
	}
	_ = json.Unmarshal(rw.Body.Bytes(), &body) // a call without an answer has no body
	return rw.Code, body.Reason
}

// testJob is a job with a single task in step 0 and a gang in step 1.
const testJob = "00000000000000aa"

func testFleet() *Fleet {
	f := NewFleet()
	f.RegisterJob(testJob, []Step{{Count: 1, GPU: 5, RunTime: time.Minute}, {Count: 2, GPU: 1, Gang: true, RunTime: time.Minute}})
	return f
}

// TestRejectionOrder checks the protocol's sequence: fence, late (without any lease), old, room.
func TestRejectionOrder(t *testing.T) {
	const single, gang = testJob + ".0.0.0", testJob + ".0.1.0"
	f := testFleet()
	f.RegisterJob("00000000000000bb", []Step{{Count: 1, GPU: 5, RunTime: time.Minute}})
	w := f.NewWorker("w", 0, nil)
	w.epoch = w.epoch.Add(-time.Minute) // its clock shows 60 s
	for i, step := range []struct {
		path   string
		order  orderRequest
		status int
		reason string
	}{
		{StartPath, orderRequest{Task: single, Run: 1, Fence: 2, Deadline: 50000}, http.StatusConflict, "late"},
		{StartPath, orderRequest{Task: single, Run: 1, Fence: 1, Deadline: 50000}, http.StatusConflict, "fence"},
		{PollPath, orderRequest{Fence: 2, Deadline: 64000}, http.StatusOK, ""},
		{StartPath, orderRequest{Task: single, Run: 1, Fence: 2, Deadline: 50000}, http.StatusOK, ""},
		{StartPath, orderRequest{Task: single, Run: 1, Fence: 2, Deadline: 50000}, http.StatusOK, ""},
		{StartPath, orderRequest{Task: "00000000000000bb.0.0.0", Run: 1, Fence: 2, Deadline: 65000}, http.StatusConflict, "room"},
		{StopPath, orderRequest{Task: gang, Run: 3, Fence: 2}, http.StatusOK, ""},
		{StartPath, orderRequest{Task: gang, Run: 3, Fence: 2, Deadline: 65500}, http.StatusConflict, "old"},
	} {
		if status, reason := call(w.Handler(), "w", step.path, step.order); status != step.status || reason != step.reason {
			t.Errorf("order %d: status %d %q, want %d %q", i, status, reason, step.status, step.reason)
		}
	}
	if w.leaseExpiry != 65500*time.Millisecond {
		t.Errorf("lease until %v, want 65.5s from the start that was rejected as old", w.leaseExpiry)
	}
}

// TestSlowClockLengthensLease guards against leases that do not run on the worker's clock.
func TestSlowClockLengthensLease(t *testing.T) {
	is := is.New(t)
	w := testFleet().NewWorker("w", 0.5, nil)
	status, _ := call(w.Handler(), "w", StartPath, orderRequest{Task: testJob + ".0.0.0", Run: 1, Deadline: 200})
	is.Equal(status, http.StatusOK)
	running := func() int {
		w.fleet.mu.Lock()
		defer w.fleet.mu.Unlock()
		return len(w.runs)
	}
	time.Sleep(300 * time.Millisecond)
	is.Equal(running(), 1)
	time.Sleep(200 * time.Millisecond)
	is.Equal(running(), 0)
}

// TestChecksSpanWorkersAndIncarnations guards against missed and false violations of TWICE.
func TestChecksSpanWorkersAndIncarnations(t *testing.T) {
	const single = testJob + ".0.0.0"
	start := func(w *Worker, task string, run uint32) {
		call(w.Handler(), w.ID, StartPath, orderRequest{Task: task, Run: run, Deadline: w.clockMillis() + 5000})
	}
	finish := func(w *Worker, task string) {
		w.fleet.mu.Lock()
		defer w.fleet.mu.Unlock()
		w.endRun(w.runs[task], "done")
	}
	acknowledge := func(w *Worker) { call(w.Handler(), w.ID, PollPath, orderRequest{Acked: w.lastEndSeq}) }
	for _, test := range []struct {
		name  string
		steps func(f *Fleet, a, b *Worker)
		want  string // part of the only violation, or empty
	}{
		{"one run", func(_ *Fleet, a, _ *Worker) { start(a, single, 1) }, ""},
		{"same run on two workers", func(_ *Fleet, a, b *Worker) { start(a, single, 1); start(b, single, 1) }, "running twice"},
		{"earlier run starts after the later one", func(_ *Fleet, a, b *Worker) { start(a, single, 2); start(b, single, 1) }, "running twice"},
		{"the first worker has crashed", func(f *Fleet, a, b *Worker) { start(a, single, 1); a.crash(); start(b, single, 2) }, ""},
		{"next incarnation carries out the start", func(f *Fleet, a, b *Worker) {
			start(a, single, 1)
			a.crash()
			start(b, single, 2)
			start(f.NewWorker(a.ID, 0, a), single, 1)
		}, "running twice"},
		{"members of two runs of a gang", func(_ *Fleet, a, b *Worker) { start(a, testJob+".0.1.0", 1); start(b, testJob+".0.1.1", 2) }, "running twice"},
		{"members of one run of a gang", func(_ *Fleet, a, b *Worker) { start(a, testJob+".0.1.0", 1); start(b, testJob+".0.1.1", 1) }, ""},
		{"start after an acknowledged success", func(_ *Fleet, a, b *Worker) {
			start(a, single, 1)
			finish(a, single)
			acknowledge(a)
			start(b, single, 2)
		}, "after an acknowledged success"},
		{"success acknowledged after the next start", func(_ *Fleet, a, b *Worker) {
			start(a, single, 1)
			finish(a, single)
			start(b, single, 2)
			acknowledge(a)
		}, "that end was acknowledged"},
		{"lease lapsed before the acknowledgement", func(f *Fleet, a, b *Worker) {
			start(a, single, 1)
			finish(a, single)
			f.mu.Lock()
			a.epoch = a.epoch.Add(-time.Minute)
			f.mu.Unlock()
			start(b, single, 2)
			acknowledge(a)
		}, ""},
		{"success that the crash of the worker hides", func(_ *Fleet, a, b *Worker) { start(a, single, 1); finish(a, single); a.crash(); start(b, single, 2) }, ""},
		{"acknowledged number of the former incarnation", func(f *Fleet, a, _ *Worker) {
			start(a, single, 1)
			finish(a, single)
			a.crash()
			call(f.NewWorker(a.ID, 0, a).Handler(), a.ID, PollPath, orderRequest{Acked: 1})
		}, ""},
		{"acknowledged number that no incarnation used", func(f *Fleet, a, _ *Worker) {
			a.crash()
			call(f.NewWorker(a.ID, 0, a).Handler(), a.ID, PollPath, orderRequest{Acked: 1})
		}, "the last end so far is 0"},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := testFleet()
			test.steps(f, f.NewWorker("a", 0, nil), f.NewWorker("b", 0, nil))
			got := f.Violations()
			if ok := len(got) == 0 && test.want == "" || len(got) == 1 && test.want != "" && strings.Contains(got[0], test.want); !ok {
				t.Errorf("violations %q, want %q", got, test.want)
			}
		})
	}
}

// TestGangBreaksWithItsWorker guards against members that run on after another's worker crashed.
func TestGangBreaksWithItsWorker(t *testing.T) {
	f := testFleet()
	a, b := f.NewWorker("a", 0, nil), f.NewWorker("b", 0, nil)
	for i, w := range []*Worker{a, b} {
		call(w.Handler(), w.ID, StartPath, orderRequest{Task: fmt.Sprintf("%s.0.1.%d", testJob, i), Run: 1, Deadline: 5000})
	}
	a.crash()
	if len(b.runs) != 0 || len(b.unacknowledged) != 1 || b.unacknowledged[0].reason != "broken" {
		t.Errorf("runs %d, ends %+v, want one end as broken", len(b.runs), b.unacknowledged)
	}
}

// TestLateCallReachesNextIncarnation also covers a new id, for which the call is dropped.
func TestLateCallReachesNextIncarnation(t *testing.T) {
	const delay = 100 * time.Millisecond
	for _, newID := range []bool{false, true} {
		t.Run(fmt.Sprintf("new id %v", newID), func(t *testing.T) {
			f := testFleet()
			c := newCloud(f, NewStore())
			v := &vm{name: "m", slot: &slot{}}
			c.add(v)
			c.SetLateCalls(0, &LateCalls{Paths: []string{StartPath}, Share: 1, MinDelay: delay, MaxDelay: delay})
			ctx, cancel := context.WithTimeout(context.Background(), delay/5)
			defer cancel()
			id := v.slot.worker.Load().ID
			callContext(ctx, v.slot, id, StartPath, orderRequest{Task: testJob + ".0.0.0", Run: 1, Deadline: 5000})
			c.RestartWorker(0, Restart{Downtime: delay / 5, NewID: newID})
			time.Sleep(2 * delay)
			if next := v.slot.worker.Load(); (next.ID == id) == newID {
				t.Errorf("the id of the next worker is %s, of the former %s", next.ID, id)
			}
			want := 1
			if newID {
				want = 0
			}
			if starts := f.Starts(); starts != want {
				t.Errorf("%d starts, want %d", starts, want)
			}
		})
	}
}
