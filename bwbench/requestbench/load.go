package requestbench

import (
	"bytes"
	"io"
	"net/http"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"bronzewinch.dev/lib/unit"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxMicroseconds = int64(time.Minute / time.Microsecond) // of the histograms, in microseconds
	histogramDigits = 3
	recorderCount   = 16
	maxInFlight     = 20000
)

// load is an open-loop load generator: requests are sent at planned times,
// whether or not earlier ones have completed, and latencies are measured from the
// planned time. This avoids coordinated omission: a slow response does not delay
// other requests.
type load struct {
	rate     unit.PerSecond
	duration time.Duration
	urls     []string // used in turn
	token    string
	deadline time.Duration
	size     int // of the body, in bytes
	client   *http.Client
}

// sample is the result of one load run. Goodput counts only requests that were
// done between from and to, within their deadline.
type sample struct {
	Sent     int64   `json:"sent"`
	Done     int64   `json:"done"`
	Rejected int64   `json:"refused"` // outcome notRun
	Unknown  int64   `json:"unknown"`
	Failed   int64   `json:"failed"` // no response, or none of the above outcomes
	Late     int64   `json:"late"`   // done after the deadline
	Skipped  int64   `json:"skipped"`
	Rate     float64 `json:"ratePerSecond"`
	Goodput  float64 `json:"goodputPerSecond"`
	P50      float64 `json:"p50Ms"`
	P99      float64 `json:"p99Ms"`
	P999     float64 `json:"p999Ms"`
	times    *hdrhistogram.Histogram
	inTime   atomic.Int64
	from     time.Time
	to       time.Time
}

type recorder struct {
	mu    sync.Mutex
	times *hdrhistogram.Histogram
}

func newClient(connections int) *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConns: connections, MaxIdleConnsPerHost: connections,
		DisableCompression: true}, Timeout: time.Minute}
}

// run sends the load and waits for all responses. It excludes the first quarter
// from the goodput, as warm-up.
func (l load) run() *sample {
	s := &sample{from: time.Now().Add(l.duration / 4), to: time.Now().Add(l.duration)}
	recorders := make([]recorder, recorderCount)
	for i := range recorders {
		recorders[i].times = hdrhistogram.New(1, maxMicroseconds, histogramDigits)
	}
	var inFlight atomic.Int64
	var wait sync.WaitGroup
	body := bytes.Repeat([]byte("x"), l.size)
	total := int64(float64(l.rate) * l.duration.Seconds())
	l.pace(total, func(i int64, planned time.Time) {
		s.Sent++
		if inFlight.Add(1) > maxInFlight {
			inFlight.Add(-1)
			s.Skipped++
			return
		}
		wait.Go(func() {
			defer inFlight.Add(-1)
			l.sendOne(i, body, planned, s, &recorders[i%recorderCount])
		})
	})
	wait.Wait()
	s.times = hdrhistogram.New(1, maxMicroseconds, histogramDigits)
	for i := range recorders {
		s.times.Merge(recorders[i].times)
	}
	s.Rate = float64(l.rate)
	s.Goodput = float64(s.inTime.Load()) / s.to.Sub(s.from).Seconds()
	s.P50, s.P99, s.P999 = ms(s.times.ValueAtQuantile(50)), ms(s.times.ValueAtQuantile(99)), ms(s.times.ValueAtQuantile(99.9))
	return s
}

// pace calls send at evenly spaced times. It sleeps with nanosleep, because
// timers of the Go runtime fire up to 1 ms late in an idle process.
func (l load) pace(total int64, send func(i int64, planned time.Time)) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	gap := float64(time.Second) / float64(l.rate)
	begin := time.Now()
	for i := range total {
		planned := begin.Add(time.Duration(float64(i) * gap))
		if d := time.Until(planned); d > 0 {
			ts := syscall.NsecToTimespec(int64(d))
			_ = syscall.Nanosleep(&ts, nil)
		}
		send(i, planned)
	}
}

func (l load) sendOne(i int64, body []byte, planned time.Time, s *sample, r *recorder) {
	request, err := http.NewRequest(http.MethodPost, l.urls[int(i)%len(l.urls)], bytes.NewReader(body))
	if err != nil {
		atomic.AddInt64(&s.Failed, 1)
		return
	}
	request.Header.Set("Authorization", "Bearer "+l.token)
	request.Header.Set("Bronzewinch-Idempotent", "true")
	if l.deadline > 0 {
		request.Header.Set("Bronzewinch-Deadline", strconv.FormatInt(l.deadline.Milliseconds(), 10))
	}
	outcome, n, status := send(l.client, request)
	latency := time.Since(planned)
	switch {
	case status == http.StatusOK && n >= len(body):
		atomic.AddInt64(&s.Done, 1)
		if l.deadline > 0 && latency > l.deadline {
			atomic.AddInt64(&s.Late, 1)
		} else if now := planned.Add(latency); now.After(s.from) && now.Before(s.to) {
			s.inTime.Add(1)
		}
		r.mu.Lock()
		_ = r.times.RecordValue(min(max(latency.Microseconds(), 1), maxMicroseconds))
		r.mu.Unlock()
	case outcome == "notRun":
		atomic.AddInt64(&s.Rejected, 1)
	case outcome == "unknown":
		atomic.AddInt64(&s.Unknown, 1)
	default:
		atomic.AddInt64(&s.Failed, 1)
	}
}

func send(client *http.Client, r *http.Request) (outcome string, size, status int) {
	response, err := client.Do(r)
	if err != nil {
		return "", 0, 0
	}
	defer response.Body.Close()
	n, err := io.Copy(io.Discard, response.Body)
	if err != nil {
		return "", 0, 0
	}
	return response.Header.Get("Bronzewinch-Outcome"), int(n), response.StatusCode
}

func ms(microseconds int64) float64 { return float64(microseconds) / 1000 }
