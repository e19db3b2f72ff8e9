package requestshard

import (
	"context"
	"sync"
)

// callTracker counts the calls in progress, so that a planned stop can wait for them
// while the journal is still open. The result of a call whose append is cut off by
// the close of the journal would be unknown.
type callTracker struct {
	mu         sync.Mutex
	inProgress int
	closed     bool
	idle       chan struct{} // closed once no new calls are accepted and none is in progress
}

func newCallTracker() *callTracker { return &callTracker{idle: make(chan struct{})} }

// start registers a call. It returns false after drain was called.
func (c *callTracker) start() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.inProgress++
	return true
}

func (c *callTracker) finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inProgress--
	if c.closed && c.inProgress == 0 {
		close(c.idle)
	}
}

// drain rejects new calls and waits until those in progress have finished or ctx
// ends.
func (c *callTracker) drain(ctx context.Context) {
	c.mu.Lock()
	if !c.closed {
		c.closed = true
		if c.inProgress == 0 {
			close(c.idle)
		}
	}
	c.mu.Unlock()
	select {
	case <-c.idle:
	case <-ctx.Done():
	}
}
