package delegate

import (
	"context"
	"sync"
	"time"

	"bronzewinch.dev/lib/id"
)

const (
	// specRetention is how long a delegate keeps the spec of a job after its last use.
	// It is shorter than the time for which the id of an ended job is known, so that a
	// later job with the same id is read anew.
	specRetention = 30 * time.Second
	// maxSpecBytes bounds the specs that a delegate keeps, in bytes.
	maxSpecBytes = 4 << 20
	// specTimeout bounds the read of a spec. It leaves time to send the order within
	// the owner's timeout.
	specTimeout = 150 * time.Millisecond
	// specRetryPause is how long a spec that could not be read is not read again; the
	// owner sends it with its orders meanwhile.
	specRetryPause = 2 * time.Second
)

// Specs reads the specs of jobs.
type Specs interface {
	ReadSpec(ctx context.Context, job id.Job) (string, error)
}

// specCache holds the specs of jobs on a delegate.
type specCache struct {
	mu    sync.Mutex
	specs map[id.Job]*cachedSpec
	bytes int
}

// cachedSpec is a spec that was read or, until done is closed, is being read.
type cachedSpec struct {
	done   chan struct{}
	spec   string
	err    error
	usedAt time.Duration
}

func newSpecCache() *specCache { return &specCache{specs: make(map[id.Job]*cachedSpec)} }

// get returns the spec of a job. Orders of the same job that arrive together share one
// read.
func (c *specCache) get(ctx context.Context, now time.Duration, job id.Job, specs Specs) (string, error) {
	c.mu.Lock()
	s, ok := c.specs[job]
	if ok && (!s.failed() || now-s.usedAt < specRetryPause) {
		if !s.failed() {
			s.usedAt = now
		}
		c.mu.Unlock()
		select {
		case <-s.done:
			return s.spec, s.err
		case <-ctx.Done():
			return "", context.Cause(ctx)
		}
	}
	s = &cachedSpec{done: make(chan struct{}), usedAt: now}
	c.specs[job] = s
	c.mu.Unlock()
	// The read serves the other orders as well, so it does not end with this one.
	readCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), specTimeout)
	defer cancel()
	s.spec, s.err = specs.ReadSpec(readCtx, job)
	close(s.done)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bytes += len(s.spec)
	c.prune(now)
	return s.spec, s.err
}

// failed reports whether the spec could not be read.
func (s *cachedSpec) failed() bool {
	select {
	case <-s.done:
		return s.err != nil
	default:
		return false
	}
}

// prune removes expired specs and, if the cache is full, those that were not used for
// the longest time. The lock is held.
func (c *specCache) prune(now time.Duration) {
	for job, s := range c.specs {
		if now-s.usedAt > specRetention {
			c.remove(job, s)
		}
	}
	for c.bytes > maxSpecBytes {
		var oldest id.Job
		for job, s := range c.specs {
			if o := c.specs[oldest]; o == nil || s.usedAt < o.usedAt {
				oldest = job
			}
		}
		c.remove(oldest, c.specs[oldest])
	}
}

// remove removes a spec. The lock is held.
func (c *specCache) remove(job id.Job, s *cachedSpec) {
	select {
	case <-s.done:
		c.bytes -= len(s.spec)
		delete(c.specs, job)
	default: // it is being read
	}
}
