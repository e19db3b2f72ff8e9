package pipe

import (
	"context"
	"sync"

	"bronzewinch.dev/lib/problem"
)

// Queue is a bounded pipe. When it is full, Put returns an error immediately
// instead of blocking, so that the caller can reject the request early.
// Consumers take items in batches.
type Queue[T any] struct {
	limit int
	ready chan struct{} // contains a value while the queue is not empty or is closed

	mu     sync.Mutex
	items  []T
	closed bool
}

// NewQueue returns a queue with a capacity of limit items.
func NewQueue[T any](limit int) *Queue[T] {
	return &Queue[T]{limit: limit, ready: make(chan struct{}, 1)}
}

// Put adds an item. It returns an Overloaded error when the queue is full and
// an Unavailable error when it is closed.
func (q *Queue[T]) Put(item T) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return problem.New(problem.Unavailable, problem.Detail{
			Field: "queue", Remedy: "send it to another node; this one is stopping"})
	}
	if len(q.items) >= q.limit {
		return problem.New(problem.Overloaded, problem.Detail{
			Field: "queue", Remedy: "retry later; the queue is full"})
	}
	q.items = append(q.items, item)
	q.wake()
	return nil
}

// TakeBatch waits until the queue is not empty, and removes and returns at most
// max items. It returns false when the queue is closed and empty, or when ctx is
// done.
func (q *Queue[T]) TakeBatch(ctx context.Context, max int) ([]T, bool) {
	for {
		select {
		case <-ctx.Done():
			return nil, false
		case <-q.ready:
		}
		if batch, closed := q.take(max); len(batch) > 0 || closed {
			return batch, len(batch) > 0
		}
	}
}

// Len returns the number of items in the queue.
func (q *Queue[T]) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.items)
}

// Close makes Put return an error. Items that are already in the queue can still
// be taken.
func (q *Queue[T]) Close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.wake()
}

func (q *Queue[T]) take(max int) (batch []T, closed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := min(max, len(q.items))
	batch = q.items[:n:n]
	q.items = q.items[n:]
	if len(q.items) > 0 || q.closed {
		q.wake()
	}
	return batch, q.closed
}

// wake makes one consumer check the queue. The caller must hold q.mu.
func (q *Queue[T]) wake() {
	select {
	case q.ready <- struct{}{}:
	default:
	}
}
