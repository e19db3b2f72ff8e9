package requestshard

import (
	"context"
	"sync"
)

// callTracker counts the calls in progress, so that a planned stop can finish them
// while the journal is still open. A call that the journal cut off would be
// told as unknown.
type callTracker struct {
	mu         sync.Mutex
	inProgress int
	closed     bool
	idle       chan struct{} // closed when the gate is closed and no call is left
}

func newCallTracker() *callTracker { return &callTracker{idle: make(chan struct{})} }

// start starts a call. It returns false once the gate is closed.
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

// drain lets no more calls in and waits for those in progress until ctx ends.
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
