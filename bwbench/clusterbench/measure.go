package clusterbench

import (
	"context"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"
	"time"

	"bronzewinch.dev/lib/kv"
	"bronzewinch.dev/lib/timer"
	"bronzewinch.dev/lib/unit"
	"bronzewinch.dev/standin/deployment"
)

// rates are the rates of all nodes together during an interval.
type rates struct {
	Seconds float64 `json:"seconds"`
	// Calls is the rate of calls to the key-value service per second, by kind.
	Calls  map[kv.Op]float64 `json:"calls"`
	Writes float64           `json:"writesPerSecond"`
	Reads  float64           `json:"readsPerSecond"`
	// Bytes is the traffic on each link in bytes per second, in both directions.
	Bytes map[deployment.Link]float64 `json:"bytesPerSecond"`
	// Cores is the processor time of the process per second, including the
	// stand-ins.
	Cores float64 `json:"cores"`
}

// sample holds the values of the counters at one time.
type sample struct {
	at    time.Time
	calls map[kv.Op]uint64
	bytes map[deployment.Link]unit.Bytes
	cpu   time.Duration
}

func (c *cluster) sample() sample {
	return sample{c.clock.Now(), c.deployment.Store.Counts(), c.deployment.Traffic.Bytes(), processorTime()}
}

// ratesSince returns the rates since an earlier sample.
func (c *cluster) ratesSince(from sample) rates {
	to := c.sample()
	w := rates{Seconds: to.at.Sub(from.at).Seconds(), Calls: make(map[kv.Op]float64), Bytes: make(map[deployment.Link]float64)}
	for op, n := range to.calls {
		rate := float64(n-from.calls[op]) / w.Seconds
		w.Calls[op] = rate
		if op.Writes() {
			w.Writes += rate
		} else {
			w.Reads += rate
		}
	}
	for link, n := range to.bytes {
		w.Bytes[link] = float64(n-from.bytes[link]) / w.Seconds
	}
	w.Cores = (to.cpu - from.cpu).Seconds() / w.Seconds
	return w
}

// measureRates returns the rates during the next d.
func (c *cluster) measureRates(ctx context.Context, d time.Duration) rates {
	from := c.sample()
	_ = timer.Sleep(ctx, c.clock, d) // rates of a shorter interval are valid, too
	return c.ratesSince(from)
}

// processorTime returns the user and system time of the process.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// liveMemory returns the size of the reachable heap and the stacks.
func liveMemory() unit.Bytes {
	runtime.GC()
	runtime.GC() // the first cycle only moves pooled objects to the victim caches
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return unit.Bytes(m.HeapAlloc + m.StackInuse)
}

// residentMemory returns the resident memory of the process after returning free
// memory to the operating system, or zero if it can't be read.
func residentMemory() unit.Bytes {
	debug.FreeOSMemory()
	data, err := os.ReadFile("/proc/self/statm")
	fields := strings.Fields(string(data))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return unit.Bytes(pages * int64(os.Getpagesize()))
}

// loadAverage returns the load average of the last minute, or zero if it can't
// be read.
func loadAverage() float64 {
	data, err := os.ReadFile("/proc/loadavg")
	first, _, _ := strings.Cut(string(data), " ")
	if err != nil {
		return 0
	}
	load, _ := strconv.ParseFloat(first, 64)
	return load
}
