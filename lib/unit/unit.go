// Package unit defines a type for each kind of quantity.
package unit

import "fmt"

// Accelerators is a number of whole accelerators.
type Accelerators int

// Millicores is an amount of processor capacity in thousandths of a core.
type Millicores int64

// Core is one whole core.
const Core Millicores = 1000

// String formats the amount in cores.
func (m Millicores) String() string {
	return fmt.Sprintf("%g cores", float64(m)/float64(Core))
}

// Bytes is an amount of memory or data in bytes.
type Bytes int64

// Multiples of a byte.
const (
	KiB Bytes = 1 << 10
	MiB Bytes = 1 << 20
	GiB Bytes = 1 << 30
)

// String formats the amount in the largest binary unit that does not exceed it.
func (b Bytes) String() string {
	switch {
	case b >= GiB || b <= -GiB:
		return fmt.Sprintf("%.4g GiB", float64(b)/float64(GiB))
	case b >= MiB || b <= -MiB:
		return fmt.Sprintf("%.4g MiB", float64(b)/float64(MiB))
	case b >= KiB || b <= -KiB:
		return fmt.Sprintf("%.4g KiB", float64(b)/float64(KiB))
	}
	return fmt.Sprintf("%d B", int64(b))
}

// Slots is a number of concurrent requests of a backend server.
type Slots int

// Connections is a number of open connections.
type Connections int

// PerSecond is a rate in events per second.
type PerSecond float64

// MegabitsPerSecond is the rate of a network link.
type MegabitsPerSecond float64

// Workers is a number of workers.
type Workers int

// Resources are the resources that a task uses, or those of a worker.
type Resources struct {
	Accelerators Accelerators `json:"accelerators"`
	Cores        Millicores   `json:"millicores"`
	Memory       Bytes        `json:"memoryBytes"`
}

// Plus returns the sum of r and s.
func (r Resources) Plus(s Resources) Resources {
	return Resources{r.Accelerators + s.Accelerators, r.Cores + s.Cores, r.Memory + s.Memory}
}

// Minus returns r minus s.
func (r Resources) Minus(s Resources) Resources {
	return Resources{r.Accelerators - s.Accelerators, r.Cores - s.Cores, r.Memory - s.Memory}
}

// Times returns n times r.
func (r Resources) Times(n int) Resources {
	return Resources{r.Accelerators * Accelerators(n), r.Cores * Millicores(n), r.Memory * Bytes(n)}
}

// Fits reports whether r is at most free in every dimension.
func (r Resources) Fits(free Resources) bool {
	return r.Accelerators <= free.Accelerators && r.Cores <= free.Cores && r.Memory <= free.Memory
}

// IsZero reports whether all amounts are zero.
func (r Resources) IsZero() bool { return r == Resources{} }

// String formats the resources for messages.
func (r Resources) String() string {
	return fmt.Sprintf("%d accelerators, %v, %v", r.Accelerators, r.Cores, r.Memory)
}

// Seconds is a duration in seconds. It is used for sums of work that may exceed the
// range of time.Duration, which is about 292 years.
type Seconds float64

// Share is a fraction from 0 to 1.
type Share float64

// Slowdown is the time from the submission to the end of a job, divided by its run
// time. It is 1 for a job that did not wait.
type Slowdown float64
